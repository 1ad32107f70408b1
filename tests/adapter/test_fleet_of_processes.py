"""Starts the adapter's processes, serves a request and stops an instance gracefully."""

import asyncio
import itertools
import json
import os
import signal
import subprocess
import sys

import pytest
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from cardamomrun_bench.scripted_server import ScriptedServer, Step

from .builders import check_in, manifest, route_fields, settings_fields, settings_text

WAIT_S = 40.0
PEER_PORT, CONTROL_PORT, DIRECTORY_PORT = 17660, 18146, 18143
FRONT_PORT, READY_PORT = 18144, 18140
ANSWER = (
    b"HTTP/1.1 200 OK\r\nCardamomrun-Attempt-Id: id-1\r\n"
    b"Cardamomrun-Response-Seal: seal\r\nContent-Length: 2\r\n\r\nok"
)
_networks = itertools.count(1)


class Fleet:
    """Three control machines and two entry machines on loopback addresses."""

    def __init__(self, folder):
        self.folder = folder
        self.network = f"127.{20 + os.getpid() % 200}.{100 + next(_networks)}"
        self.control = [f"{self.network}.{n}" for n in (1, 2, 3)]
        self.entry = [f"{self.network}.{n}" for n in (11, 12)]
        self.running = {}

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

    def start(self, ip, serves, listen, data_dir):
        fields = settings_fields(
            node_name=ip,
            ip=ip,
            serves=serves,
            listen=listen,
            data_dir=data_dir,
            internal_ports=[PEER_PORT, PEER_PORT + 9],
            seeds=[f"{host}:{CONTROL_PORT}" for host in self.control],
        )
        path = self.folder / f"{ip}.json"
        path.write_text(settings_text(fields))
        log = (self.folder / f"{ip}.log").open("wb")
        self.running[ip] = subprocess.Popen(
            [sys.executable, "-P", "-m", "cardamomrun_platform"],
            env=os.environ | {"CARDAMOMRUN_CONFIG": str(path)},
            stdout=log,
            stderr=log,
        )

    def stop(self):
        for process in self.running.values():
            process.kill()
            process.wait()


@pytest.fixture
def fleet(tmp_path):
    fleet = Fleet(tmp_path)
    yield fleet
    fleet.stop()


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


def test_a_fleet_forms_serves_and_stops(fleet):
    """Guards against parts that work in isolation but not as running processes."""

    async def main():
        server = ScriptedServer([Step(ANSWER)])
        port = await server.start()
        control = [f"{ip}:{CONTROL_PORT}" for ip in fleet.control]
        rpc = "/v1/rpc?call="
        fleet.start_all()
        body = manifest(routes=[route_fields(host="a.example", path_prefix="/a/")])
        await wait_for_success(lambda: fetch(control[1], f"{rpc}config.put", body))
        read = await wait_for_success(
            lambda: fetch(control[2], f"{rpc}config.get", b"")
        )
        assert read.body == body
        check_in_body = check_in(address=f"127.0.0.1:{port}")
        path = f"{rpc}instances.heartbeat&of=i-1"
        await wait_for_success(lambda: fetch(control[0], path, check_in_body))
        for ip in fleet.entry:
            await wait_for_success(
                lambda ip=ip: fetch(f"{ip}:{READY_PORT}", "/v1/ready")
            )
        directory = f"{fleet.control[0]}:{DIRECTORY_PORT}"
        found = await wait_for_success(
            lambda: fetch(directory, "/v1/resolve?zone=kelowna-a")
        )
        assert set(json.loads(found.body)["addresses"]) == {
            f"{ip}:{FRONT_PORT}" for ip in fleet.entry
        }
        headers = {"Host": "a.example", "Cardamomrun-Attempt-Id": "id-1"}
        front = f"{fleet.entry[0]}:{FRONT_PORT}"
        served = await wait_for_success(
            lambda: fetch(front, "/a/x", b"order", **headers)
        )
        assert served.body == b"ok"
        assert b"Cardamomrun-Expect-Instance: i-1" in server.heads[-1]
        stopping = fleet.running[fleet.entry[0]]
        stopping.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.5)
        ready = await fetch(f"{fleet.entry[0]}:{READY_PORT}", "/v1/ready")
        assert ready.code == 503
        assert (await fetch(front, "/a/x", b"order", **headers)).code == 200
        await asyncio.to_thread(stopping.wait, WAIT_S)
        assert stopping.returncode == 0
        server.stop()

    asyncio.run(main())
