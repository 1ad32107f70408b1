"""Slopes of idempotency claims: messages, bytes, processor time and memory."""

import asyncio
import random
import tempfile
from pathlib import Path
from typing import Any

from cardamomrun_base.clock import SystemClock
from cardamomrun_base.interfaces import ClaimGranted, ClaimKey
from cardamomrun_base.model import Record, RecordKind, RosterBody, RosterMember
from cardamomrun_bench.capacity_fit import Series
from cardamomrun_bench.capacity_fleet import start_fleets, stop_fleets
from cardamomrun_bench.capacity_meters import cpu_ms, wire
from cardamomrun_bench.claim_cost import _keeper_memory_bytes
from cardamomrun_requests.claims import QuorumClaims
from cardamomrun_requests.keeper import ROSTER_KEY, Keeper

__all__ = ["measure_claims"]

CLAIM_COUNTS = (200, 400, 800)
MEMORY_COUNTS = (1_000, 5_000, 19_000)
NODE_COUNT = 8
SETTLE_S = 3.0


def measure_claims(
    seed: int,
    claim_counts: tuple[int, ...] = CLAIM_COUNTS,
    memory_counts: tuple[int, ...] = MEMORY_COUNTS,
    settle_s: float = SETTLE_S,
) -> Any:
    """Return all series; the seed draws the keys."""
    with tempfile.TemporaryDirectory() as folder:
        rows = asyncio.run(_measure_claims(Path(folder), seed, claim_counts, settle_s))
    memory = tuple((float(n), n * _keeper_memory_bytes(n)) for n in memory_counts)
    return [
        Series("claim.messages", "claims", "messages sent in all", tuple((n, r[0]) for n, r in rows)),
        Series("claim.bytes", "claims", "bytes sent in all", tuple((n, r[1]) for n, r in rows)),
        Series("claim.cpu", "claims", "ms of origin and keepers in all", tuple((n, r[2]) for n, r in rows)),
        Series("claim.memory", "claims held", "bytes at one keeper", memory),
    ]  # fmt: skip


async def _measure_claims(
    folder: Path, seed: int, claim_counts: tuple[int, ...], settle_s: float
) -> list[tuple[float, tuple[float, float, float]]]:
    """Make and settle claims over peer links; one instance is the origin."""
    wire.install()
    fleets = await start_fleets(folder, NODE_COUNT)
    try:
        clock = SystemClock()
        keepers = [
            Keeper(fleet._settings, clock, fleet, fleet.start_incarnation)
            for fleet in fleets
        ]
        members = tuple(
            RosterMember(f.instance_id, f.start_incarnation, f._settings.failure_domain)
            for f in fleets
        )
        roster = RosterBody(1, members, ())
        fleets[0].store.put(
            Record.from_content(
                RecordKind.ROSTER, ROSTER_KEY, "control-1", (0, 1), roster
            )
        )
        await asyncio.sleep(settle_s)
        origin = fleets[0]
        claims = QuorumClaims(origin._settings, clock, origin, keeper=keepers[0])
        rng = random.Random(seed)
        await _make_claims(claims, rng, 20)
        return [
            (float(count), await _measure_cost(fleets, claims, rng, count))
            for count in claim_counts
        ]
    finally:
        await stop_fleets(fleets)


async def _measure_cost(
    fleets: list[Any], claims: QuorumClaims, rng: random.Random, count: int
) -> tuple[float, float, float]:
    sent = sum(fleet.traffic.sent_count for fleet in fleets)
    wire_bytes, cpu = wire.sent_bytes, cpu_ms()
    await _make_claims(claims, rng, count)
    return (
        float(sum(fleet.traffic.sent_count for fleet in fleets) - sent),
        float(wire.sent_bytes - wire_bytes),
        cpu_ms() - cpu,
    )


async def _make_claims(claims: QuorumClaims, rng: random.Random, count: int) -> None:
    for _ in range(count):
        key = ClaimKey(rng.randbytes(16).hex(), rng.randbytes(16).hex())
        won = await claims.claim(key)
        assert isinstance(won, ClaimGranted)
        await claims.settle_done(won, 200)
    await claims.finish()
