"""Runs a seeded soak: a fleet under load with injected faults, and its checks.

`python -m tests.soak.run --first 1 --count 50` runs seeds one after the other.
"""

import asyncio
import itertools
import json
import os
import random
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

import fire
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest

from cardamomrun_bench.caller import ClientError, PooledClient

from ..adapter.builders import manifest, route_fields
from .faults import (
    KINDS,
    PLANNED_KINDS,
    TURNOVER_FAULT_KINDS,
    FaultInjector,
    draw_faults,
    draw_limits,
    draw_notices,
    draw_series,
    draw_shedding,
)
from .ledger import Ledger, LostRequest, SentRequest
from .machines import CONTROL_COUNT, FRONT_PORT, READY_PORT, Instances
from .organisations import PUBLIC_PREFIX, Organisations
from .raw_clients import RawClients
from .servers import SLOTS, StandInServer

__all__ = ["SoakOptions", "run_soak"]

HOST = "soak.example"
DEADLINE_MS = 1_500
LONG_DEADLINE_MS = 6_000
LONG_WORK_RANGE_MS = (300, 4_500)
# Share of the servers' slots that long requests use on average.
LONG_SLOT_RATIO = 0.4
# How long callers use the directory's answer: its time to live, or as long as clients may.
FRESH_S, STALE_S = 1.0, 9.0
FIRST_NUMBER = 7
# Requests are served again this long after the last fault, as the user documentation
# guarantees.
RECOVERY_LIMIT_S = 15.0
START_LIMIT_S = 40.0
CALL_TIMEOUT_S = 1.0
SEND_INTERVAL_S = 0.02
UPLOAD_BYTES = 60_000
# Control instances of a run that replaces them.
TURNOVER_CORE_COUNT = 5
# Parts that each seed includes with this probability.
PARTS = ("organisations", "downloads", "sending ahead", "misbehaviour")
PART_RATIO = 0.5
RAW_INTERVAL_S = 0.3
# Traffic goes on this long after the recovery, so that the drop of a key is checked
# without faults.
UNDISTURBED_S = 3.5


@dataclass(frozen=True)
class SoakOptions:
    """Seed, size and length of a run; `is_planned` leaves out unplanned faults."""

    seed: int
    entry_count: int = 3
    server_count: int = 4
    caller_count: int = 8
    fault_count: int = 14
    duration_s: float = 12.0
    is_planned: bool = False
    # Replaces this many of five control instances, one after the other.
    turnover_count: int = 0
    # The parts of the run; drawn from the seed if None.
    parts: frozenset[str] | None = None


class _SoakRun:
    def __init__(self, options: SoakOptions, folder: Path) -> None:
        self.options = options
        self.rng = random.Random(options.seed)
        network_number = (os.getpid() * 7 + options.seed) % 60_000
        self.network = (
            f"127.{20 + network_number // 250 % 200}.{1 + network_number % 250}"
        )
        self.ledger = Ledger()
        control_count = TURNOVER_CORE_COUNT if options.turnover_count else CONTROL_COUNT
        self.instances = Instances(
            folder, self.network, options.entry_count, control_count
        )
        self.servers: list[StandInServer] = []
        self.numbers = itertools.count(1)
        self.is_over = False
        self.acknowledged = 0
        self.parts = (
            draw_parts(options.seed) if options.parts is None else options.parts
        )
        self.organisations: Organisations | None = None
        if "organisations" in self.parts:
            self.organisations = Organisations(
                options.seed, self.ledger, options.duration_s
            )

    async def run(self) -> Ledger:
        try:
            await self._run_phases()
        finally:
            self.is_over = True
            for server in self.servers:
                server.stop()
            self.instances.stop()
        return self.ledger

    async def _run_phases(self) -> None:
        for instance in self.instances.all:
            instance.start()
        async with asyncio.timeout(START_LIMIT_S):
            await self._put_document(FIRST_NUMBER)
            for _ in range(self.options.server_count):
                await self.add_server()
            await self._wait_until_ready()
        working = [asyncio.create_task(self._run_operator())]
        for number in range(self.options.caller_count):
            working.append(asyncio.create_task(self._run_caller(number)))
        for number in range(self.options.caller_count // 2):
            working.append(asyncio.create_task(self._run_long_caller(number)))
        working += self._start_raw_clients()
        if self.organisations is not None:
            self.organisations.start()
        options = self.options
        has_turnover = options.turnover_count > 0
        injector = FaultInjector(
            self.instances, self.servers, self.ledger, self.add_server,
            spares_control=has_turnover,
        )  # fmt: skip
        kinds = PLANNED_KINDS if options.is_planned else KINDS
        faults = draw_faults(
            options.seed,
            options.duration_s,
            options.fault_count,
            TURNOVER_FAULT_KINDS if has_turnover else kinds,
        )
        faults += draw_limits(options.seed, options.duration_s)
        if not has_turnover:
            faults += draw_series(options.seed, options.duration_s)
        faults += draw_notices(options.seed, options.duration_s)
        if not options.is_planned:
            faults += draw_shedding(options.seed, options.duration_s)
        await asyncio.gather(
            injector.replace_core(
                options.seed, options.turnover_count, lambda: self.acknowledged
            ),
            *(injector.inject(fault) for fault in faults),
        )
        await injector.heal()
        await self._check_recovery()
        if self.organisations is not None:
            await asyncio.sleep(UNDISTURBED_S)
        self.is_over = True
        await asyncio.gather(*working)
        injector.check_exits()
        await self._check_final_read()
        self.ledger.check_lost()
        self.ledger.check_retries()
        self.ledger.check_behind_close()
        if self.organisations is not None:
            self.organisations.check_run()

    async def add_server(self) -> None:
        number = len(self.servers) + 1
        server = StandInServer(
            f"{self.network}.{200 + number}", number, self.ledger,
            self.instances.control_addresses, self.options.seed, self.organisations,
        )  # fmt: skip
        self.servers.append(server)
        await server.start()

    async def _wait_until_ready(self) -> None:
        for instance in self.instances.entry:
            while await self._get(f"{instance.ip}:{READY_PORT}", "/v1/ready") is None:
                await asyncio.sleep(0.1)

    async def _check_recovery(self) -> None:
        healed_s = time.monotonic()
        self.ledger.record_fault("all faults are healed")
        served = 0
        caller = PooledClient(timeout_ms=2_000)
        while served < 20:
            if time.monotonic() - healed_s > RECOVERY_LIMIT_S:
                self.ledger.record_violation(
                    f"requests fail {RECOVERY_LIMIT_S} s after the last fault"
                )
                return
            entry = self.rng.choice(self.instances.entry)
            status = await self._send(
                caller, f"{entry.ip}:{FRONT_PORT}", "recover", is_steady=True
            )
            served = served + 1 if status == 200 else 0
            await asyncio.sleep(SEND_INTERVAL_S)
        caller.close()

    # The operator

    async def _put_document(self, number: int) -> None:
        """Send a document until it is acknowledged or the run is over."""
        route = route_fields(host=HOST, path_prefix="/a/", timeout_ms=DEADLINE_MS)
        safe = route_fields(
            name="r-2", host=HOST, path_prefix="/s/", route_type="safe",
            timeout_ms=DEADLINE_MS,
        )  # fmt: skip
        long = route_fields(
            name="r-4", host=HOST, path_prefix="/l/", timeout_ms=LONG_DEADLINE_MS,
            slo_latency_ms=2_200,
        )  # fmt: skip
        extra = route_fields(name="r-3", host=HOST, path_prefix=f"/v{number}/")
        routes = [route, safe, long, extra]
        if "downloads" in self.parts or "misbehaviour" in self.parts:
            routes.append(
                route_fields(
                    name="r-5", host=HOST, path_prefix="/d/", route_type="download",
                    timeout_ms=DEADLINE_MS,
                )
            )  # fmt: skip
        fields: dict[str, object] = {}
        organisations = self.organisations
        is_key_dropped = organisations is not None and organisations.is_key_dropped
        if organisations is not None:
            routes.append(
                route_fields(
                    name="r-6", host=HOST, path_prefix=PUBLIC_PREFIX, public=True,
                    route_type="safe", timeout_ms=DEADLINE_MS,
                )
            )  # fmt: skip
            fields["tenants"] = organisations.document_fields(
                is_key_dropped=is_key_dropped
            )
        body = manifest(f"{number:08x}", routes=routes, **fields)
        while not self.is_over:
            target = self.rng.choice(self.instances.control_addresses())
            code, _ = await self._rpc(target, "config.put", body)
            if code == 200:
                self.acknowledged = max(self.acknowledged, number)
                if organisations is not None and is_key_dropped:
                    organisations.record_drop()
                return
            if code is not None and 400 <= code < 500:
                self.ledger.record_violation(
                    f"document {number} was refused with {code}"
                )
            await asyncio.sleep(0.1)

    async def _run_operator(self) -> None:
        number = FIRST_NUMBER
        while not self.is_over:
            number += self.rng.randrange(1, 4)
            await self._put_document(number)
            for _ in range(4):
                await asyncio.sleep(0.2)
                await self._read_version()

    async def _read_version(self) -> int | None:
        """Return the document's version at a random control instance, or None.

        A version older than the last one acknowledged is a violation.
        """
        known = self.acknowledged
        target = self.rng.choice(self.instances.control_addresses())
        code, body = await self._rpc(target, "config.get", b"")
        if code != 200:
            return None
        number = int(json.loads(body)["version"], 16)
        if number < known:
            self.ledger.record_violation(
                f"{target} read {number} after {known} was acknowledged"
            )
        return number

    async def _check_final_read(self) -> None:
        end_s = time.monotonic() + RECOVERY_LIMIT_S
        while time.monotonic() < end_s:
            if await self._read_version() is not None:
                return
            await asyncio.sleep(0.2)
        self.ledger.record_violation("the document cannot be read at the end")

    async def _rpc(
        self, target: str, call: str, body: bytes
    ) -> tuple[int | None, bytes]:
        url = f"http://{target}/v1/rpc?call={call}"
        return await self._fetch(HTTPRequest(url, "POST", body=body))

    async def _get(self, target: str, path: str) -> bytes | None:
        code, body = await self._fetch(HTTPRequest(f"http://{target}{path}"))
        return body if code == 200 else None

    async def _fetch(self, request: HTTPRequest) -> tuple[int | None, bytes]:
        request.request_timeout = CALL_TIMEOUT_S
        try:
            answer = await AsyncHTTPClient().fetch(request, raise_error=False)
        except (OSError, HTTPClientError):
            return None, b""
        return answer.code, answer.body

    # The callers

    async def _run_caller(self, number: int) -> None:
        """Send one request after the other over persistent connections."""
        rng = random.Random(self.options.seed * 100 + number)
        caller = PooledClient(timeout_ms=DEADLINE_MS + 1_000)
        addresses: list[str] = []
        expires_s = 0.0
        while not self.is_over:
            if time.monotonic() >= expires_s:
                found = await self._resolve(rng)
                addresses = found or addresses
                kept_s = STALE_S if number % 2 else FRESH_S
                expires_s = time.monotonic() + (kept_s if found else 0.2)
            if addresses:
                await self._send(caller, rng.choice(addresses), f"c{number}", rng)
            await asyncio.sleep(SEND_INTERVAL_S)
        caller.close()

    async def _run_long_caller(self, number: int) -> None:
        """Send long requests to one address until it takes no connections."""
        rng = random.Random(self.options.seed * 100 + 50 + number)
        caller = PooledClient(timeout_ms=LONG_DEADLINE_MS + 1_000)
        address: str | None = None
        in_flight: set[asyncio.Task[None]] = set()
        slots = LONG_SLOT_RATIO * SLOTS * self.options.server_count
        callers = self.options.caller_count // 2
        interval_s = callers * sum(LONG_WORK_RANGE_MS) / 2 / 1_000 / slots

        async def send(target: str) -> None:
            nonlocal address
            work_ms = rng.randint(*LONG_WORK_RANGE_MS)
            request_id = f"l{number}-{next(self.numbers)}"
            sent = SentRequest("POST", f"/l/{request_id}?work_ms={work_ms}", b"long")
            try:
                await self._exchange(
                    caller, target, request_id, sent, LONG_DEADLINE_MS, is_steady=True
                )
            except ClientError as error:
                if not error.sent and address == target:
                    address = None

        while not self.is_over:
            if address is None:
                address = rng.choice(await self._resolve(rng) or [None])
            if address is not None:
                task = asyncio.create_task(send(address))
                in_flight.add(task)
                task.add_done_callback(in_flight.discard)
            await asyncio.sleep(interval_s)
        await asyncio.gather(*in_flight)
        caller.close()

    async def _resolve(self, rng: random.Random) -> list[str]:
        target = rng.choice(self.instances.directory_addresses())
        path = f"/v1/resolve?name={HOST}&region=bc-interior&zone=kelowna-a"
        body = await self._get(target, path)
        return [] if body is None else json.loads(body)["addresses"]

    async def _send(
        self,
        caller: PooledClient,
        address: str,
        name: str,
        rng: random.Random | None = None,
        *,
        is_steady: bool = False,
    ) -> int | None:
        rng = rng or self.rng
        request_id = f"{name}-{next(self.numbers)}"
        kind = rng.choice(("safe", "order", "upload"))
        if kind == "safe":
            is_public = (
                self.organisations is not None and self.organisations.draws_public()
            )
            prefix = PUBLIC_PREFIX if is_public else "/s/"
            sent = SentRequest("GET", f"{prefix}{request_id}?q=1", b"")
        else:
            size_bytes = UPLOAD_BYTES if kind == "upload" else 200
            sent = SentRequest("POST", f"/a/{request_id}", rng.randbytes(size_bytes))
        try:
            return await self._exchange(
                caller, address, request_id, sent, DEADLINE_MS, is_steady=is_steady
            )
        except ClientError:
            return None

    async def _exchange(
        self,
        caller: PooledClient,
        address: str,
        request_id: str,
        sent: SentRequest,
        deadline_ms: int,
        *,
        is_steady: bool,
    ) -> int:
        """Send a request, record what comes of it, and return the status."""
        self.ledger.sent[request_id] = sent
        entry_ip = address.rpartition(":")[0]
        self.ledger.sent_to[request_id] = (entry_ip, time.monotonic())
        headers = {
            "Host": HOST,
            "Cardamomrun-Attempt-Id": request_id,
            "Cardamomrun-Deadline-Ms": str(deadline_ms),
        }
        headers |= self._draw_headers(request_id, is_steady)
        sent_s = time.monotonic()
        try:
            answer = await caller.request(
                address, sent.method, sent.path, headers, sent.body
            )
        except ClientError as error:
            self.ledger.caller_errors[str(error)] += 1
            ended_s = time.monotonic()
            if error.sent and ended_s - sent_s < deadline_ms / 1_000:
                self.ledger.lost.append(
                    LostRequest(request_id, entry_ip, sent_s, ended_s)
                )
            raise
        if answer.headers.get("Server-Leaving") is not None:
            self.ledger.record_leaving(request_id, answer.headers["Soak-Server"])
        echo = answer.headers.get("Cardamomrun-Attempt-Id", "")
        self.ledger.record_answer(request_id, answer.status, answer.body, echo)
        return answer.status

    def _draw_headers(self, request_id: str, is_steady: bool) -> dict[str, str]:
        if self.organisations is None:
            return {}
        return self.organisations.draw_headers(request_id, is_steady=is_steady)

    def _start_raw_clients(self) -> list[asyncio.Task[None]]:
        """Start the clients of the parts that this run includes."""

        def draw_address(rng: random.Random) -> tuple[str, int]:
            return rng.choice(self.instances.entry).ip, FRONT_PORT

        clients = RawClients(
            self.options.seed,
            self.ledger,
            self.numbers,
            draw_address,
            self._draw_headers,
        )
        talks = {
            "downloads": [clients.download] * 3,
            "sending ahead": [clients.send_ahead] * 2,
            "misbehaviour": [clients.misbehave],
        }
        return [
            asyncio.create_task(self._repeat(talk))
            for part, choices in talks.items()
            if part in self.parts
            for talk in choices
        ]

    async def _repeat(self, talk: Callable[[], Awaitable[None]]) -> None:
        while not self.is_over:
            await talk()
            await asyncio.sleep(RAW_INTERVAL_S)


def draw_parts(seed: int) -> frozenset[str]:
    """Return the parts that a seed includes; drawn apart from its faults."""
    rng = random.Random(f"parts of {seed}")
    return frozenset(part for part in PARTS if rng.random() < PART_RATIO)


async def run_soak(options: SoakOptions, folder: Path) -> Ledger:
    """Run one seed with its files in `folder`; return the records of the run."""
    AsyncHTTPClient.configure(None, max_clients=100)
    return await _SoakRun(options, folder).run()


def main(first: int = 1, count: int = 50, **sizes: float) -> None:
    """Run seeds one after the other; exit with 1 if any of them had a violation.

    The report of a failed seed is written to its folder.
    """
    failed = []
    for seed in range(first, first + count):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        ledger = asyncio.run(run_soak(SoakOptions(seed, **sizes), folder))  # type: ignore[arg-type]
        print(
            f"seed {seed}: {len(ledger.sent)} sent, {ledger.served_count} served, "
            f"{ledger.caller_errors.total()} caller errors, "
            f"{len(ledger.violations)} violations, checked {dict(ledger.checked)}",
            flush=True,
        )
        if ledger.violations:
            failed.append(seed)
            report = "\n".join([*sorted(ledger.faults), *ledger.violations])
            (folder / "report.txt").write_text(report)
            print(f"{folder}\n" + "\n".join(ledger.violations[:5]), flush=True)
    print(f"failed seeds: {failed or 'none'}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    fire.Fire(main)
