"""Runs one seed: the fleet, its callers and operator, faults, and the checks.

`python -m tests.soak.run --first 1 --count 50` plays seeds one after the other.
"""

import asyncio
import itertools
import json
import os
import random
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import fire
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest

from cardamomrun_bench.caller import Caller, CallerError

from ..adapter.builders import manifest, route_fields
from .faults import Strikes, draw
from .ledger import Ledger, Sent
from .machines import FRONT_PORT, READY_PORT, Machines
from .servers import StandIn

__all__ = ["Soak", "play"]

HOST = "soak.example"
DEADLINE_MS = 1_500
FIRST_NUMBER = 7
# Promised on the users' pages: served again this long after the last fault.
RECOVER_S = 15.0
START_LIMIT_S = 40.0
CALL_TIMEOUT_S = 1.0
PAUSE_S = 0.02
UPLOAD_BYTES = 60_000


@dataclass(frozen=True)
class Soak:
    """The size of a run."""

    seed: int
    entry_count: int = 3
    server_count: int = 4
    caller_count: int = 8
    fault_count: int = 14
    duration_s: float = 12.0


class _Run:
    def __init__(self, soak: Soak, folder: Path) -> None:
        self.soak = soak
        self.rng = random.Random(soak.seed)
        place = (os.getpid() * 7 + soak.seed) % 60_000
        self.network = f"127.{20 + place // 250 % 200}.{1 + place % 250}"
        self.ledger = Ledger()
        self.machines = Machines(folder, self.network, soak.entry_count)
        self.servers: list[StandIn] = []
        self.numbers = itertools.count(1)
        self.is_over = False
        self.acknowledged = 0

    async def play(self) -> Ledger:
        try:
            await self._play()
        finally:
            self.is_over = True
            for server in self.servers:
                server.stop()
            self.machines.stop()
        return self.ledger

    async def _play(self) -> None:
        for machine in self.machines.all:
            machine.start()
        async with asyncio.timeout(START_LIMIT_S):
            await self._put(FIRST_NUMBER)
            for _ in range(self.soak.server_count):
                await self.add_server()
            await self._ready()
        working = [asyncio.create_task(self._operate())]
        for number in range(self.soak.caller_count):
            working.append(asyncio.create_task(self._call(number)))
        strikes = Strikes(self.machines, self.servers, self.ledger, self.add_server)
        faults = draw(self.soak.seed, self.soak.duration_s, self.soak.fault_count)
        await asyncio.gather(*(strikes.strike(fault) for fault in faults))
        await strikes.heal()
        await self._recovers()
        self.is_over = True
        await asyncio.gather(*working)
        await self._read_at_end()

    async def add_server(self) -> None:
        number = len(self.servers) + 1
        server = StandIn(
            f"{self.network}.{100 + number}", number, self.ledger,
            self.machines.control_addresses(), self.soak.seed,
        )  # fmt: skip
        self.servers.append(server)
        await server.start()

    async def _ready(self) -> None:
        for machine in self.machines.entry:
            while await self._get(f"{machine.ip}:{READY_PORT}", "/v1/ready") is None:
                await asyncio.sleep(0.1)

    async def _recovers(self) -> None:
        healed_s = time.monotonic()
        self.ledger.fault("everything is healed")
        served = 0
        caller = Caller(timeout_ms=2_000)
        while served < 20:
            if time.monotonic() - healed_s > RECOVER_S:
                self.ledger.broke(f"not served {RECOVER_S} s after the last fault")
                return
            entry = self.rng.choice(self.machines.entry)
            status = await self._send(caller, f"{entry.ip}:{FRONT_PORT}", "recover")
            served = served + 1 if status == 200 else 0
            await asyncio.sleep(PAUSE_S)
        caller.close()

    # The operator

    async def _put(self, number: int) -> None:
        """Send a document until it is acknowledged."""
        route = route_fields(host=HOST, path_prefix="/a/", timeout_ms=DEADLINE_MS)
        safe = route_fields(
            name="r-2", host=HOST, path_prefix="/s/", route_type="safe",
            timeout_ms=DEADLINE_MS,
        )  # fmt: skip
        extra = route_fields(name="r-3", host=HOST, path_prefix=f"/v{number}/")
        body = manifest(f"{number:08x}", routes=[route, safe, extra])
        while not self.is_over:
            target = self.rng.choice(self.machines.control_addresses())
            code, _ = await self._rpc(target, "config.put", body)
            if code == 200:
                self.acknowledged = max(self.acknowledged, number)
                return
            if code is not None and 400 <= code < 500:
                self.ledger.broke(f"document {number} was refused with {code}")
            await asyncio.sleep(0.1)

    async def _operate(self) -> None:
        number = FIRST_NUMBER
        while not self.is_over:
            number += self.rng.randrange(1, 4)
            await self._put(number)
            for _ in range(4):
                await asyncio.sleep(0.2)
                await self._read()

    async def _read(self) -> int | None:
        """Read the document anywhere; it is never older than one acknowledged."""
        known = self.acknowledged
        target = self.rng.choice(self.machines.control_addresses())
        code, body = await self._rpc(target, "config.get", b"")
        if code != 200:
            return None
        number = int(json.loads(body)["version"], 16)
        if number < known:
            self.ledger.broke(f"{target} read {number} after {known} was acknowledged")
        return number

    async def _read_at_end(self) -> None:
        end_s = time.monotonic() + RECOVER_S
        while time.monotonic() < end_s:
            if await self._read() is not None:
                return
            await asyncio.sleep(0.2)
        self.ledger.broke("the document cannot be read at the end")

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

    async def _call(self, number: int) -> None:
        """Send one request after the other, over connections that are kept."""
        rng = random.Random(self.soak.seed * 100 + number)
        caller = Caller(timeout_ms=DEADLINE_MS + 1_000)
        addresses: list[str] = []
        expires_s = 0.0
        while not self.is_over:
            if time.monotonic() >= expires_s:
                found = await self._resolve(rng)
                addresses = found or addresses
                expires_s = time.monotonic() + (1.0 if found else 0.2)
            if addresses:
                await self._send(caller, rng.choice(addresses), f"c{number}", rng)
            await asyncio.sleep(PAUSE_S)
        caller.close()

    async def _resolve(self, rng: random.Random) -> list[str]:
        target = rng.choice(self.machines.directory_addresses())
        path = f"/v1/resolve?name={HOST}&region=bc-interior&zone=kelowna-a"
        body = await self._get(target, path)
        return [] if body is None else json.loads(body)["addresses"]

    async def _send(
        self, caller: Caller, address: str, name: str, rng: random.Random | None = None
    ) -> int | None:
        rng = rng or self.rng
        request_id = f"{name}-{next(self.numbers)}"
        kind = rng.choice(("safe", "order", "upload"))
        if kind == "safe":
            sent = Sent("GET", f"/s/{request_id}?q=1", b"")
        else:
            size_bytes = UPLOAD_BYTES if kind == "upload" else 200
            sent = Sent("POST", f"/a/{request_id}", rng.randbytes(size_bytes))
        self.ledger.sent[request_id] = sent
        headers = {
            "Host": HOST,
            "Cardamomrun-Attempt-Id": request_id,
            "Cardamomrun-Deadline-Ms": str(DEADLINE_MS),
        }
        try:
            answer = await caller.request(
                address, sent.method, sent.path, headers, sent.body
            )
        except CallerError as error:
            self.ledger.cuts[str(error)] += 1
            return None
        echo = answer.headers.get("Cardamomrun-Attempt-Id", "")
        self.ledger.answered(request_id, answer.status, answer.body, echo)
        return answer.status


async def play(soak: Soak, folder: Path) -> Ledger:
    """Run one seed with its files in `folder`; return what was seen."""
    AsyncHTTPClient.configure(None, max_clients=100)
    return await _Run(soak, folder).play()


def main(first: int = 1, count: int = 50, **sizes: float) -> None:
    """Play seeds one after the other; a failed one keeps its folder and ends with 1."""
    failed = []
    for seed in range(first, first + count):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        ledger = asyncio.run(play(Soak(seed, **sizes), folder))  # type: ignore[arg-type]
        print(
            f"seed {seed}: {len(ledger.sent)} sent, {ledger.served_count} served, "
            f"{ledger.cuts.total()} cut, {len(ledger.broken)} broken",
            flush=True,
        )
        if ledger.broken:
            failed.append(seed)
            report = "\n".join([*sorted(ledger.faults), *ledger.broken])
            (folder / "report.txt").write_text(report)
            print(f"{folder}\n" + "\n".join(ledger.broken[:5]), flush=True)
    print(f"failed seeds: {failed or 'none'}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    fire.Fire(main)
