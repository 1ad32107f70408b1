"""A manifest splits two routes that have one name; requests run at the other's services."""

import asyncio
import os
import signal
import sys
import time
import traceback
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand_ins_2"))

from callers import Operator, Record, Target, call, manifest  # noqa: E402
from fleet import FRONT_PORT, Machines  # noqa: E402

HOST, REQUEST_COUNT, LIMIT_S = "ficu95.example", 20, 40.0
SERVICES_BY_PREFIX = {
    "/lohu930/": ["huvo11a", "wuno96b"],
    "/pufi791/": ["dele69a", "xano55b"],
}


def route(name: str, prefix: str) -> dict[str, object]:
    """Return a route that is split evenly between the services of its prefix."""
    parts = [{"service": s, "weight": 50} for s in SERVICES_BY_PREFIX[prefix]]
    return {
        "name": name, "host": HOST, "path_prefix": prefix, "route_type": "safe",
        "timeout_ms": 2000, "slo_latency_ms": 1200, "priority": 2, "max_attempts": 2,
        "traffic_split": parts,
    }  # fmt: skip


class Runs:
    """Which service ran each request."""

    def __init__(self) -> None:
        self.by_request: dict[str, str] = {}

    async def answer(self, target, first, headers, body, reader, writer) -> bool:
        """Run a request that names this target, and answer it."""
        request_id = headers.get("cardamomrun-attempt-id", "")
        target.run(request_id, f"{first} at {target.service}")
        self.by_request[request_id] = target.service
        writer.write(
            f"HTTP/1.1 200 OK\r\nCardamomrun-Attempt-Id: {request_id}\r\n"
            "Cardamomrun-Response-Seal: 3e1b.07\r\nContent-Length: 2\r\n\r\nok".encode()
        )
        await writer.drain()
        return True


async def send(ip: str, request_id: str, prefix: str) -> int | None:
    """Send one request; return the status of the answer."""
    headers = {
        "Host": HOST,
        "Cardamomrun-Attempt-Id": request_id,
        "Cardamomrun-Deadline-Ms": "2000",
    }
    address = f"{ip}:{FRONT_PORT}"
    answer = await call(address, "GET", f"{prefix}2f", headers, timeout_s=2.0)
    return None if answer is None else answer[0]


async def play(has_trouble: bool) -> int:
    """Play the case; return the exit code."""
    record, runs = Record(FOLDER / "record.txt"), Runs()
    machines = Machines(core_count=3, edge_count=1)
    services = [name for names in SERVICES_BY_PREFIX.values() for name in names]
    targets = []
    try:
        machines.start()
        for number, service in enumerate(services, 201):
            ip = f"{machines.network}.{number}"
            control = machines.control_addresses
            target = Target(record, ip, service, "karachi-a", control, runs.answer)
            await target.start()
            targets.append(target)
        operator = Operator(machines.control_addresses, record)
        names = ("r-x73d3zj", "r-i9n73hh")
        first = [route(*pair) for pair in zip(names, SERVICES_BY_PREFIX, strict=True)]
        if not await operator.put(manifest(1, first, services), LIMIT_S):
            return 2
        edge, end_s = machines.edge[0].ip, time.monotonic() + LIMIT_S
        while await send(edge, "first", "/lohu930/") != 200:
            if time.monotonic() > end_s:
                return 2
            await asyncio.sleep(0.3)
        if has_trouble:
            names = (names[0], names[0])
        second = [route(*pair) for pair in zip(names, SERVICES_BY_PREFIX, strict=True)]
        body = manifest(2, second, services)
        is_taken = await operator.put(body, 4.0)
        record.line(f"operator: version 2 acknowledged: {is_taken}")
        # `config_apply_ms`, and as long again.
        await asyncio.sleep(4.0)
        wrong = ran = 0
        for number in range(REQUEST_COUNT):
            for prefix, allowed in SERVICES_BY_PREFIX.items():
                request_id = f"a-{number}-{prefix.strip('/')}"
                status = await send(edge, request_id, prefix)
                service = runs.by_request.get(request_id)
                record.line(f"requester: {request_id}: {status}, ran at {service}")
                ran += service is not None
                wrong += service is not None and service not in allowed
        record.line(f"{ran} requests ran, {wrong} at a service of the other route")
        if not ran:
            return 2
        return 1 if wrong else 0
    finally:
        for target in targets:
            target.stop()
        machines.stop()


if __name__ == "__main__":
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        exit_code = asyncio.run(play(os.environ.get("TROUBLE", "1") != "0"))
    except BaseException:
        # Neither a fault of the script nor an interruption shows a broken rule.
        traceback.print_exc()
        exit_code = 2
    sys.exit(exit_code)
