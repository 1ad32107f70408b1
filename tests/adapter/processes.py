"""Runs the adapter's processes on loopback addresses and calls them."""

import asyncio
import itertools
import os
import subprocess
import sys

from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from .builders import settings_fields, settings_text

WAIT_S = 40.0
PEER_PORT, CONTROL_PORT, DIRECTORY_PORT = 17660, 18146, 18143
FRONT_PORT, READY_PORT = 18144, 18140
_networks = itertools.count(1)


class Fleet:
    """Three control machines and some entry machines on loopback addresses."""

    def __init__(self, folder, entry_count=2):
        self.folder = folder
        self.network = f"127.{20 + os.getpid() % 200}.{100 + next(_networks)}"
        self.control = [f"{self.network}.{n}" for n in (1, 2, 3)]
        self.entry = [f"{self.network}.{n}" for n in range(11, 11 + entry_count)]
        self.running = {}
        self._starts = {}

    def start_all(self):
        for ip in self.control:
            listen = {
                "control": f"{ip}:{CONTROL_PORT}",
                "directory": f"{ip}:{DIRECTORY_PORT}",
            }
            self.start(ip, ["control", "directory"], listen, str(self.folder / ip))
        for ip in self.entry:
            listen = {"front": f"{ip}:{FRONT_PORT}", "ready": f"{ip}:{READY_PORT}"}
            self.start(ip, ["edge"], listen, None)

    def start(self, ip, serves, listen, data_dir, **changes):
        """Start a machine; `changes` replace fields of its settings."""
        self._starts[ip] = (serves, listen, data_dir)
        fields = settings_fields(
            node_name=ip,
            ip=ip,
            serves=serves,
            listen=listen,
            data_dir=data_dir,
            internal_ports=[PEER_PORT, PEER_PORT + 9],
            seeds=[f"{host}:{CONTROL_PORT}" for host in self.control],
            **changes,
        )
        path = self.folder / f"{ip}.json"
        path.write_text(settings_text(fields))
        log = (self.folder / f"{ip}.log").open("ab")
        self.running[ip] = subprocess.Popen(
            [sys.executable, "-P", "-m", "cardamomrun_platform"],
            env=os.environ | {"CARDAMOMRUN_CONFIG": str(path)},
            stdout=log,
            stderr=log,
        )

    def restart(self, ip):
        """Start a machine that was started before, with its settings and data."""
        self.start(ip, *self._starts[ip])

    def stop(self):
        for process in self.running.values():
            process.kill()
            process.wait()


async def fetch(address, path, body=None, method=None, **headers):
    method = method or ("GET" if body is None else "POST")
    request = HTTPRequest(
        f"http://{address}{path}", method, headers, body, request_timeout=3
    )
    try:
        return await AsyncHTTPClient().fetch(request, raise_error=False)
    except OSError as error:
        return error


async def wait_for_success(probe):
    """Return the first answer with status 200."""
    async with asyncio.timeout(WAIT_S):
        while True:
            answer = await probe()
            if getattr(answer, "code", None) == 200:
                return answer
            await asyncio.sleep(0.1)
