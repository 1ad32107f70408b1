"""Machines of the core are replaced two at a time, in the order of their addresses."""

import asyncio
import json
import os
import signal
import sys
import time
import traceback
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand_ins_2"))

from callers import Operator, Record, manifest  # noqa: E402
from fleet import Machines  # noqa: E402

SERVICE = "huvo11a"
CORE_COUNT, TOLERATED_COUNT, STEP_COUNT = 11, 2, 2
# `catch_up_s` of the site, and a little more.
CATCH_UP_S = 6.05
# After the start of the machines, in seconds.
FIRST_REMOVAL_S, READ_S, END_S = 18.0, 55.0, 85.0
ROUTE = {
    "name": "r-x73d3zj", "host": "ficu95.example", "path_prefix": "/lohu930/",
    "route_type": "safe", "timeout_ms": 2000, "slo_latency_ms": 1200, "priority": 2,
    "service": SERVICE, "max_attempts": 2,
}  # fmt: skip


async def replace_machines(machines: Machines, record: Record) -> None:
    """Add two machines, and remove two once the new ones have had their time."""
    for step in range(STEP_COUNT):
        first = step * TOLERATED_COUNT
        victims = machines.core[first : first + TOLERATED_COUNT]
        for victim in victims:
            added = machines.add_core(victim.zone)
            record.line(f"platform: {added.ip} is added, with an empty disk")
        await asyncio.sleep(CATCH_UP_S)
        for victim in victims:
            victim.remove()
            record.line(f"platform: {victim.ip} is removed for good")


async def play(has_trouble: bool) -> int:
    """Play the case; return the exit code."""
    record = Record(FOLDER / "record.txt")
    # Addresses of equal length, so that they have one order.
    machines = Machines(CORE_COUNT, edge_count=2, first_core_number=101)
    try:
        start_s = time.monotonic()
        machines.start()
        operator = Operator(machines.control_addresses, record)
        if not await operator.put(manifest(1, [ROUTE], [SERVICE]), FIRST_REMOVAL_S - 4):
            return 2
        await asyncio.sleep(start_s + FIRST_REMOVAL_S - time.monotonic())
        if has_trouble:
            await replace_machines(machines, record)
        running = machines.control_addresses
        record.line(f"{len(running)} core machines run: {' '.join(running)}")
        await asyncio.sleep(start_s + READ_S - time.monotonic())
        operator = Operator(machines.control_addresses, record)
        body = await operator.get(start_s + END_S - time.monotonic())
        version = None if body is None else json.loads(body)["version"]
        record.line(f"read back at the end: {version}")
        if len(machines.control_addresses) != len(running):
            return 2
        return 0 if version == "00000001" else 1
    finally:
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
