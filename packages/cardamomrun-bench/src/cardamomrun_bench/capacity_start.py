"""Cost of starting all instances of a fleet at once, and of being idle afterwards.

`python -m cardamomrun_bench.capacity_start COUNT` starts the peer links and membership
of `COUNT` instances in one process, all within 0.3 s, three of them seeds. They share one
core, so times are longer than on separate machines; costs are per node.
"""

import asyncio
import json
import random
import resource
import tempfile
import time
from dataclasses import replace
from pathlib import Path
from typing import Any

import fire

from cardamomrun_base.clock import SystemClock
from cardamomrun_bench.capacity_meters import cpu_ms, wire
from cardamomrun_bench.capacity_world import node_settings
from cardamomrun_fleet import Fleet

__all__ = ["measure_start"]

SEED_COUNT = 3
START_SPREAD_S = 0.3
MEMBERSHIP_TIMEOUT_S = 60.0
SETTLE_S = 10.0
IDLE_S = 10.0
# One process does the work of all instances, so links respond late; a long silence
# limit keeps them from being considered dead.
SILENCE_MS = 60_000


class _CountingFleet(Fleet):
    """A fleet that counts the links that it opens."""

    opened_count = 0

    async def _connect(self, address: str, purpose: Any) -> Any:
        self.opened_count += 1
        return await super()._connect(address, purpose)


def _fleets(folder: Path, count: int) -> list[_CountingFleet]:
    all_settings = [node_settings(folder, number) for number in range(count)]
    seeds = tuple(one.peer_address for one in all_settings[:SEED_COUNT])
    return [
        _CountingFleet(
            replace(one, fleet=replace(one.fleet, seeds=seeds, silence_ms=SILENCE_MS)),
            SystemClock(),
        )
        for one in all_settings
    ]


async def _start_late(fleet: Fleet, rng: random.Random) -> None:
    await asyncio.sleep(rng.uniform(0, START_SPREAD_S))
    await fleet.start()


async def _measure_start(folder: Path, count: int, seed: int) -> dict[str, float]:
    rng = random.Random(seed)
    wire.install()
    fleets = _fleets(folder, count)
    started_s, started_cpu_ms = time.monotonic(), cpu_ms()
    started_bytes = wire.sent_bytes
    await asyncio.gather(*(_start_late(fleet, rng) for fleet in fleets))
    end_s = started_s + MEMBERSHIP_TIMEOUT_S
    while time.monotonic() < end_s:
        if all(len(fleet.members()) == count for fleet in fleets):
            break
        await asyncio.sleep(0.1)
    known_s = time.monotonic() - started_s
    known_cpu_ms = cpu_ms() - started_cpu_ms
    await asyncio.sleep(SETTLE_S)
    settled_cpu_ms, settled_bytes = cpu_ms(), wire.sent_bytes
    opened = [fleet.opened_count for fleet in fleets]
    links = [len(fleet.linked_peers()) for fleet in fleets]
    await asyncio.sleep(IDLE_S)
    result = {
        "instances": count,
        "known_by_all_s": known_s,
        "known_by": sum(len(fleet.members()) == count for fleet in fleets),
        "start_cpu_ms_a_node": known_cpu_ms / count,
        "settle_cpu_ms_a_node": (settled_cpu_ms - started_cpu_ms) / count,
        "start_bytes_a_node": (settled_bytes - started_bytes) / count,
        "opened_links_a_node": sum(opened) / count,
        "links_a_node": sum(links) / count,
        "most_links": max(links),
        "rest_cpu_ms_a_node_and_s": (cpu_ms() - settled_cpu_ms) / count / IDLE_S,
        "rest_bytes_a_node_and_s": (wire.sent_bytes - settled_bytes) / count / IDLE_S,
    }
    await asyncio.gather(*(fleet.stop() for fleet in fleets), return_exceptions=True)
    return result


def measure_start(count: int, seed: int = 1) -> str:
    """Start `count` instances at once; return the costs as JSON."""
    # All links of all instances are sockets of this process.
    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard_limit, hard_limit))
    with tempfile.TemporaryDirectory() as folder:
        result = asyncio.run(_measure_start(Path(folder), count, seed))
    return json.dumps({name: round(value, 2) for name, value in result.items()})


if __name__ == "__main__":
    fire.Fire(measure_start)
