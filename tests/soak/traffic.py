"""Measures what a fleet without faults sends, by kind of message and failure domain.

`python -m tests.soak.traffic --entry_count 36` starts instances, backend servers and
callers on loopback addresses, and prints bytes and messages a second of all instances.
"""

import asyncio
import itertools
import json
import os
import random
import re
import socket
import subprocess
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

import fire
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from cardamomrun_bench.caller import ClientError, PooledClient

from ..adapter.builders import manifest, route_fields, settings_fields, settings_text

__all__ = ["TrafficOptions", "measure"]

HOST = "traffic.example"
SERVICE = "huvo11a"
FRONT_PORT, CONTROL_PORT, METRICS_PORT = 18144, 18146, 7661
FAILURE_DOMAINS = ("kelowna-a", "kelowna-b", "vernon-a")
REQUEST_BYTES, RESPONSE_BYTES = 400, 800
SETTLE_S = 12.0
START_LIMIT_S = 90.0
SAMPLE = re.compile(
    r'^cardamomrun_traffic_(bytes|messages)_total\{failure_domain="(\w+)",'
    r'kind="([\w-]+)"\} (\S+)$',
    re.M,
)
SECONDS = re.compile(
    r'^cardamomrun_handler_seconds_total\{kind="([\w-]+)"\} (\S+)$', re.M
)


@dataclass(frozen=True)
class TrafficOptions:
    """The size and load of a run; the default load is that of 174 instances, scaled."""

    entry_count: int = 36
    control_count: int = 5
    server_count: int = 36
    slots: int = 3
    requests_per_s: float = 113.0
    service_time_s: float = 0.25
    announce_s: float = 1.5
    link_mbps: float = 1.4
    duration_s: float = 20.0
    route_type: str = "unsafe"


class _Instances:
    """Processes of instances, spread over the failure domains in turn."""

    def __init__(self, folder: Path, options: TrafficOptions) -> None:
        self.network = f"127.{20 + os.getpid() % 200}.{os.getpid() // 200 % 250}"
        self.control = [f"{self.network}.{n + 1}" for n in range(options.control_count)]
        self.entry = [f"{self.network}.{n + 31}" for n in range(options.entry_count)]
        self._folder = folder
        self._options = options
        self._processes: list[subprocess.Popen[bytes]] = []

    def start(self) -> None:
        for number, ip in enumerate((*self.control, *self.entry)):
            path = self._folder / f"{ip}.json"
            fields = self._settings_fields(ip, FAILURE_DOMAINS[number % 3])
            path.write_text(settings_text(fields, METRICS_PORT))
            with (self._folder / f"{ip}.log").open("ab") as log:
                process = subprocess.Popen(
                    [sys.executable, "-P", "-m", "cardamomrun_platform"],
                    env=os.environ | {"CARDAMOMRUN_CONFIG": str(path)},
                    stdout=log,
                    stderr=log,
                )
            self._processes.append(process)

    def stop(self) -> None:
        for process in self._processes:
            process.kill()
            process.wait()

    def _settings_fields(self, ip: str, domain: str) -> dict[str, object]:
        is_control = ip in self.control
        listen = {"control": f"{ip}:{CONTROL_PORT}"}
        if not is_control:
            listen = {"front": f"{ip}:{FRONT_PORT}", "ready": f"{ip}:18140"}
        return settings_fields(
            node_name=ip,
            ip=ip,
            serves=["control"] if is_control else ["edge"],
            zone=domain,
            zones=dict.fromkeys(FAILURE_DOMAINS, "bc-interior"),
            listen=listen,
            data_dir=str(self._folder / ip) if is_control else None,
            internal_ports=[17660, 17669],
            seeds=[f"{host}:{CONTROL_PORT}" for host in self.control],
            limits={"memory_mb": 296, "link_mbps": self._options.link_mbps},
        )


class _Handler(RequestHandler):
    def initialize(self, service_time_s: float) -> None:
        self._service_time_s = service_time_s

    async def post(self) -> None:
        await asyncio.sleep(random.expovariate(1 / self._service_time_s))
        request_id = self.request.headers.get("Cardamomrun-Attempt-Id", "")
        self.set_header("Cardamomrun-Attempt-Id", request_id)
        self.set_header("Cardamomrun-Response-Seal", f"seal-{request_id}")
        self.write(b"x" * RESPONSE_BYTES)


async def _fetch(request: HTTPRequest) -> bytes | None:
    request.request_timeout = 5
    try:
        answer = await AsyncHTTPClient().fetch(request, raise_error=False)
    except (OSError, HTTPClientError):
        return None
    return answer.body if answer.code == 200 else None


class _Run:
    def __init__(self, options: TrafficOptions, folder: Path) -> None:
        self._options = options
        self._instances = _Instances(folder, options)
        self._control = [f"{ip}:{CONTROL_PORT}" for ip in self._instances.control]
        self._statuses: Counter[str] = Counter()
        self._tasks: list[asyncio.Task[None]] = []

    async def run(self) -> None:
        try:
            self._instances.start()
            async with asyncio.timeout(START_LIMIT_S):
                await self._put_document()
                for number in range(self._options.server_count):
                    self._start_server(number)
                await self._wait_until_ready()
            self._tasks.append(asyncio.create_task(self._send_requests()))
            await asyncio.sleep(SETTLE_S)
            self._statuses.clear()
            before, before_s = await self._read_metrics(), time.monotonic()
            await asyncio.sleep(self._options.duration_s)
            counted = await self._read_metrics() - before
            self._print(counted, time.monotonic() - before_s)
        finally:
            for task in self._tasks:
                task.cancel()
            self._instances.stop()

    async def _put_document(self) -> None:
        route = route_fields(
            host=HOST, path_prefix="/a/", timeout_ms=4_000, slo_latency_ms=2_000,
            route_type=self._options.route_type,
        )  # fmt: skip
        url = f"http://{self._control[0]}/v1/rpc?call=config.put"
        body = manifest("00000007", routes=[route])
        while await _fetch(HTTPRequest(url, "POST", body=body)) is None:
            await asyncio.sleep(0.2)

    async def _wait_until_ready(self) -> None:
        for ip in self._instances.entry:
            while await _fetch(HTTPRequest(f"http://{ip}:18140/v1/ready")) is None:
                await asyncio.sleep(0.2)

    def _start_server(self, number: int) -> None:
        host = f"{self._instances.network}.{210 + number % 40}"
        server_id = f"i-{number + 1}"
        rules = [(r"/.*", _Handler, {"service_time_s": self._options.service_time_s})]
        server = HTTPServer(Application(rules, log_function=lambda _: None))
        listener = socket.create_server((host, 0), backlog=64)
        listener.setblocking(False)
        server.add_socket(listener)
        address = f"{host}:{listener.getsockname()[1]}"
        announcing = self._announce(server_id, address, FAILURE_DOMAINS[number % 3])
        self._tasks.append(asyncio.create_task(announcing))

    async def _announce(self, server_id: str, address: str, domain: str) -> None:
        target = random.choice(self._control)
        url = f"http://{target}/v1/rpc?call=instances.heartbeat&of={server_id}"
        born_ms = int(time.time() * 1_000)
        for number in itertools.count(1):
            fields = {
                "service": SERVICE, "address": address, "zone": domain,
                "version": "v1", "slots": self._options.slots, "state": "ready",
                "warmup_left_ms": 0, "seq": number, "born": born_ms,
            }  # fmt: skip
            await _fetch(HTTPRequest(url, "POST", body=json.dumps(fields)))
            await asyncio.sleep(self._options.announce_s * random.uniform(0.9, 1.1))

    async def _send_requests(self) -> None:
        caller = PooledClient(timeout_ms=5_000)
        sending: set[asyncio.Task[None]] = set()
        for number in itertools.count(1):
            task = asyncio.create_task(self._send(caller, number))
            sending.add(task)
            task.add_done_callback(sending.discard)
            await asyncio.sleep(random.expovariate(self._options.requests_per_s))

    async def _send(self, caller: PooledClient, number: int) -> None:
        headers = {
            "Host": HOST,
            "Cardamomrun-Attempt-Id": f"t-{number}",
            "Cardamomrun-Deadline-Ms": "4000",
        }
        address = f"{random.choice(self._instances.entry)}:{FRONT_PORT}"
        try:
            answer = await caller.request(
                address, "POST", "/a/x", headers, b"u" * REQUEST_BYTES
            )
            self._statuses[str(answer.status)] += 1
        except ClientError as error:
            self._statuses[str(error)] += 1

    async def _read_metrics(self) -> Counter[tuple[str, str, str]]:
        ips = (*self._instances.control, *self._instances.entry)
        requests = [HTTPRequest(f"http://{ip}:{METRICS_PORT}/metrics") for ip in ips]
        total: Counter[tuple[str, str, str]] = Counter()
        for page in await asyncio.gather(*map(_fetch, requests)):
            assert page is not None, "an instance does not answer"
            for unit, domain, kind, value in SAMPLE.findall(page.decode()):
                total[unit, domain, kind] += float(value)  # type: ignore[assignment]
            for kind, value in SECONDS.findall(page.decode()):
                total["seconds", "", kind] += float(value)  # type: ignore[assignment]
        return total

    def _print(self, counted: Counter[tuple[str, str, str]], length_s: float) -> None:
        print(f"{self._options}; statuses {dict(self._statuses)}")
        print("| kind | own B/s | other B/s | own msgs/s | other msgs/s | ms/s |")
        print("|---|---|---|---|---|---|")
        columns = [
            ("bytes", "own"), ("bytes", "other"),
            ("messages", "own"), ("messages", "other"),
        ]  # fmt: skip
        kinds = sorted({kind for _, _, kind in counted})
        for kind in kinds:
            rates = [counted[unit, domain, kind] / length_s for unit, domain in columns]
            seconds = counted["seconds", "", kind] / length_s
            cells = [f"{rate:,.1f}" for rate in (*rates, seconds * 1_000)]
            print(f"| {kind} | {' | '.join(cells)} |")


async def measure(options: TrafficOptions) -> None:
    """Run a fleet and print what its instances sent in all."""
    AsyncHTTPClient.configure(None, max_clients=100)
    with tempfile.TemporaryDirectory(prefix="traffic-") as folder:
        await _Run(options, Path(folder)).run()


def main(**options: float | str) -> None:
    """Measure one fleet."""
    asyncio.run(measure(TrafficOptions(**options)))  # type: ignore[arg-type]


if __name__ == "__main__":
    fire.Fire(main)
