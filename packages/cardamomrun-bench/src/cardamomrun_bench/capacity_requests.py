"""Slopes of the request path of one entry process, with a stand-in backend server."""

import asyncio
import json
import random
import subprocess
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace
from pathlib import Path
from statistics import quantiles
from typing import Any

from cardamomrun_base.clock import SystemClock
from cardamomrun_base.codec import decode
from cardamomrun_base.documents import Limits
from cardamomrun_base.interfaces import Environment
from cardamomrun_base.model import MemberPhase
from cardamomrun_bench.backend_server import BackendServer, BackendServerSettings
from cardamomrun_bench.caller import PooledClient
from cardamomrun_bench.capacity_fit import Series
from cardamomrun_bench.capacity_fleet import settings_json, start_node, wait_until_ready
from cardamomrun_bench.capacity_meters import (
    held_bytes,
    process_cpu_ms,
    process_rss_bytes,
)
from cardamomrun_bench.capacity_world import (
    HOST,
    backend_record,
    environment_record,
    node_settings,
    service_name,
)
from cardamomrun_fleet import Fleet
from cardamomrun_requests.admission import Admission
from cardamomrun_requests.routing import Router

__all__ = ["measure_requests"]

REQUEST_COUNTS = (500, 1_000, 2_000)
IN_FLIGHT_COUNTS = (50, 100, 200)
IDLE_COUNTS = (200, 400, 800)
ROUTE_COUNTS = (100, 1_000, 6_500)
CUSTOMER_COUNTS = (1_000, 10_000, 28_000)
LOOKUP_COUNT = 20_000
RATE_PER_S = 107.0
LATENCY_S = 6.0
WORKER_COUNT = 4
BACKEND_PORT = 19_000
SLOW_PORT = 19_001
SLOW_MS = 1_500.0
READY_S = 15.0


def measure_requests(
    seed: int,
    request_counts: tuple[int, ...] = REQUEST_COUNTS,
    in_flight_counts: tuple[int, ...] = IN_FLIGHT_COUNTS,
    idle_counts: tuple[int, ...] = IDLE_COUNTS,
    latency_s: float = LATENCY_S,
) -> Any:
    """Return all series; the seed draws arrival times and paths."""
    # Freed memory of a process hides growth in the next measurement, so each kind of
    # memory is measured in its own process.
    requests, _, idle, latency = _entry_run(
        seed, request_counts, (), idle_counts, latency_s
    )
    _, in_flight, _, _ = _entry_run(seed, (), in_flight_counts, (), 0.0)
    routes = [(float(n), *_route_lookup(n, seed)) for n in ROUTE_COUNTS]
    customers = tuple((float(n), _customer_bytes(n)) for n in CUSTOMER_COUNTS)
    return [
        Series("request.cpu", "requests", "ms of the entry process in all", requests),
        Series("request.memory", "requests in flight", "bytes of resident memory", in_flight),
        Series("request.idle", "idle connections", "bytes of resident memory", idle),
        Series("request.latency", "percentile", "ms added at 107 requests/s", latency),
        Series("request.lookup", "routes", "us a lookup", tuple((n, us) for n, us, _ in routes)),
        Series("request.table", "routes", "bytes of the index", tuple((n, b) for n, _, b in routes)),
        Series("request.customer", "customers", "bytes after all were served", customers),
    ]  # fmt: skip


def _entry_run(
    seed: int,
    request_counts: tuple[int, ...],
    in_flight_counts: tuple[int, ...],
    idle_counts: tuple[int, ...],
    latency_s: float,
) -> tuple[Any, ...]:
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        (folder / "announcements.jsonc").write_text("{}")
        settings = node_settings(folder, 0)
        path = folder / "entry.json"
        path.write_text(json.dumps(settings_json(settings)))
        with _node(path) as process:
            entry = _EntryMeasurement(folder, settings, process.pid, seed)
            return asyncio.run(
                entry.measure(request_counts, in_flight_counts, idle_counts, latency_s)
            )


@contextmanager
def _node(path: Path) -> Iterator["subprocess.Popen[str]"]:
    process = start_node(path)
    try:
        wait_until_ready(process)
        yield process
    finally:
        process.kill()
        process.wait()


class _EntryMeasurement:
    """Measures an entry process; this process is its peer, backend server and client."""

    def __init__(self, folder: Path, settings: Any, pid: int, seed: int) -> None:
        self._folder = folder
        self._settings = settings
        self._pid = pid
        self._seed = seed

    async def measure(
        self,
        request_counts: tuple[int, ...],
        in_flight_counts: tuple[int, ...],
        idle_counts: tuple[int, ...],
        latency_s: float,
    ) -> tuple[Any, ...]:
        """Return the points of all series of the process."""
        peer = Fleet(
            node_settings(self._folder, 1, (self._settings.peer_address,)),
            SystemClock(),
        )
        await peer.start()
        peer.set_phase(MemberPhase.SERVING)
        backends = [_backend(0, BACKEND_PORT, 1.0), _backend(1, SLOW_PORT, SLOW_MS)]
        limits = {"concurrency_count": 1_000, "connections_per_server_count": 100}
        for number, backend in enumerate(backends):
            backend.start()
            address = f"{HOST}:{backend.settings.port}"
            peer.store.put(_backend_record(number, peer.instance_id, address))
            peer.store.put(environment_record(number, 59, limits))
        caller = PooledClient()
        try:
            await self._warm_up(caller)
            requests = [
                (float(n), await self._requests_cpu_ms(caller, n))
                for n in request_counts
            ]
            latency = await self._latency(caller, latency_s) if latency_s else ()
            idle = [(float(n), await self._idle_memory_bytes(n)) for n in idle_counts]
            flights = [
                (float(n), await self._in_flight_memory_bytes(n))
                for n in in_flight_counts
            ]
            return tuple(requests), tuple(flights), tuple(idle), latency
        finally:
            caller.close()
            for backend in backends:
                await backend.stop()
            await peer.stop()

    async def _warm_up(self, caller: PooledClient) -> None:
        end_s = time.monotonic() + READY_S
        while True:
            response = await self._get(caller, 0)
            if response.status == 200:
                break
            if time.monotonic() > end_s:
                raise RuntimeError(
                    f"the entry process responds with status {response.status}"
                )
            await asyncio.sleep(0.1)
        await self._requests_cpu_ms(caller, 200)

    async def _get(self, caller: PooledClient, service: int) -> Any:
        headers = {"Host": f"{service_name(service)}.example"}
        front = self._settings.front_address
        return await caller.request(front, "GET", "/area-00007/orders/1", headers)

    async def _requests_cpu_ms(self, caller: PooledClient, count: int) -> float:
        """Return the processor time of the entry process for `count` requests."""
        before = process_cpu_ms(self._pid)

        async def work() -> None:
            for _ in range(count // WORKER_COUNT):
                response = await self._get(caller, 0)
                assert response.status == 200, response

        await asyncio.gather(*(work() for _ in range(WORKER_COUNT)))
        return process_cpu_ms(self._pid) - before

    async def _latency(
        self, caller: PooledClient, duration_s: float
    ) -> tuple[tuple[float, float], ...]:
        """Return the added latency by percentile, from pairs of direct and proxied calls."""
        rng = random.Random(self._seed)
        direct: list[float] = []
        proxied: list[float] = []
        tasks = []
        end_s = time.monotonic() + duration_s
        while time.monotonic() < end_s:
            await asyncio.sleep(rng.expovariate(RATE_PER_S))
            tasks.append(
                asyncio.ensure_future(self._record_latency(caller, direct, True))
            )
            tasks.append(
                asyncio.ensure_future(self._record_latency(caller, proxied, False))
            )
        await asyncio.gather(*tasks)
        direct_ms, proxied_ms = quantiles(direct, n=100), quantiles(proxied, n=100)
        return tuple(
            (float(percent), proxied_ms[percent - 1] - direct_ms[percent - 1])
            for percent in (50, 75, 90, 95, 99)
        )

    async def _record_latency(
        self, caller: PooledClient, times: list[float], direct: bool
    ) -> None:
        started_s = time.monotonic()
        if direct:
            await caller.request(f"{HOST}:{BACKEND_PORT}", "GET", "/", {"Host": "x"})
        else:
            await self._get(caller, 0)
        times.append((time.monotonic() - started_s) * 1_000)

    async def _idle_memory_bytes(self, count: int) -> float:
        host, port = self._settings.front_address.rsplit(":", 1)
        writers = []
        try:
            for _ in range(count):
                _, writer = await asyncio.open_connection(host, int(port))
                writers.append(writer)
            await asyncio.sleep(0.5)
            return float(process_rss_bytes(self._pid))
        finally:
            for writer in writers:
                writer.transport.abort()
            await asyncio.sleep(0.3)

    async def _in_flight_memory_bytes(self, count: int) -> float:
        caller = PooledClient()
        tasks = [asyncio.ensure_future(self._get(caller, 1)) for _ in range(count)]
        await asyncio.sleep(SLOW_MS / 2_000)
        rss = float(process_rss_bytes(self._pid))
        await asyncio.gather(*tasks)
        caller.close()
        return rss


def _backend(number: int, port: int, service_ms: float) -> BackendServer:
    settings = BackendServerSettings(
        service=service_name(number),
        stage="production",
        server_id=f"server-{number:05d}",
        failure_domain="kelowna-a",
        host=HOST,
        port=port,
        slots=1_000,
        queue_count=1_000,
        connections=1_000,
        service_time_ms=service_ms,
        drain_ms=0,
    )
    return BackendServer(settings, SystemClock())


def _backend_record(number: int, registrar_id: str, address: str) -> Any:
    record = backend_record(number, 110, address)
    body = replace(record.content, registrar_id=registrar_id, connections=1_000)
    return type(record).from_content(
        record.kind, record.key, registrar_id, record.version, body
    )


def _route_lookup(route_count: int, seed: int) -> tuple[float, float]:
    """Return the time of a lookup and the memory of the index of one document."""
    body = environment_record(0, route_count).content
    environment = Environment(body, decode(body.checked))
    rng = random.Random(seed)
    paths = [
        f"/area-{rng.randrange(1, route_count):05d}/orders/{rng.randrange(1000)}"
        for _ in range(LOOKUP_COUNT)
    ]
    router = Router(_NoEnvironments())
    router.route(environment, "GET", "/")
    started_s = time.process_time()
    for path in paths:
        router.route(environment, "GET", path)
    elapsed_us = (time.process_time() - started_s) * 1_000_000 / LOOKUP_COUNT

    def index() -> Router:
        held = Router(_NoEnvironments())
        held.route(environment, "GET", "/")
        return held

    return elapsed_us, float(held_bytes(index))


class _NoEnvironments:
    """No environments; the router looks them up by host only, which is unused here."""

    def get(self, name: str) -> None:
        return None

    def by_host(self, host: str) -> None:
        return None

    def all(self) -> tuple[Environment, ...]:
        return ()


def _customer_bytes(count: int) -> float:
    """Return the memory that admission holds after `count` customers were served."""

    def serve() -> Admission:
        admission = Admission(Limits(concurrency_count=1, queue_count=64))
        asyncio.run(_serve(admission, count))
        return admission

    return float(held_bytes(serve))


async def _serve(admission: Admission, count: int) -> None:
    for number in range(0, count, 32):
        entering = [
            asyncio.ensure_future(admission.enter(f"customer-{one}", 5.0))
            for one in range(number, min(count, number + 32))
        ]
        for _ in entering:
            await asyncio.sleep(0)
            admission.leave()
        await asyncio.gather(*entering)
