"""Cost of idempotency claims: keeper memory per claim, and claims per second.

Run with `python -m cardamomrun_bench.claim_cost`; prints one JSON object per size. All
instances share one process and call each other directly, so the figures exclude the
cost of peer links.
"""

import asyncio
import gc
import json
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path
from typing import Any

from cardamomrun_base.clock import SystemClock
from cardamomrun_base.interfaces import ClaimGranted, ClaimKey, RecordStore
from cardamomrun_base.messages import ClaimRequest, ClaimUpdate
from cardamomrun_base.model import (
    InstanceId,
    LeaderBody,
    MemberBody,
    Record,
    RecordKind,
    RosterBody,
    RosterMember,
)
from cardamomrun_base.settings import FleetSettings, NodeSettings, Role
from cardamomrun_requests.claims import QuorumClaims
from cardamomrun_requests.keeper import LEADER_KEY, ROSTER_KEY, Keeper

__all__ = ["main"]

# Claims held at one keeper: about 19,000 at the target scale. The table holds at most
# 65,536.
CLAIM_COUNTS = (1_000, 19_000, 65_000)
ROSTER_COUNT = 420
DOMAIN_COUNT = 4
QUORUM_CLAIM_COUNT = 500
INCARNATION = 1


class _StaticStore:
    """A fixed store with a roster and a leader that has just confirmed it.

    Without a leader, keepers hold no roster lease and abstain.
    """

    def __init__(self, roster: Record) -> None:
        self._records = {RecordKind.ROSTER: roster, RecordKind.LEADER: _leader()}

    def get(self, kind: RecordKind, key: str) -> Record | None:
        return self._records.get(kind)

    def all(self, kind: RecordKind) -> list[Record]:
        return [self._records[kind]] if kind in self._records else []

    def put(self, record: Record) -> bool:
        return False

    def subscribe(self, kind: RecordKind, callback: Callable[[Record], None]) -> None:
        pass


class _DirectFleet:
    """Delivers requests by direct calls to the handlers of the other instances."""

    def __init__(
        self,
        instance_id: InstanceId,
        roster: Record,
        fleets: "dict[InstanceId, _DirectFleet]",
    ) -> None:
        self.instance_id = instance_id
        self.store: RecordStore = _StaticStore(roster)
        self._fleets = fleets
        self._handlers: dict[type, Callable] = {}
        fleets[instance_id] = self

    def handle(self, message_type: type, handler: Callable) -> None:
        self._handlers[message_type] = handler

    def members(self) -> list[MemberBody]:
        return []

    def known_members(self) -> list[MemberBody]:
        return []

    def add_address(self, instance_id: InstanceId, peer_address: str) -> None:
        pass

    def may_be_behind(self) -> bool:
        return False

    async def deliver(self, record: Record, *, copy_count: int, timeout_ms: int) -> int:
        return copy_count

    async def request(
        self, instance_id: InstanceId, message: Any, *, timeout_ms: int
    ) -> Any:
        handler = self._fleets[instance_id]._handlers[type(message)]
        return await handler(self.instance_id, message)


def _settings() -> NodeSettings:
    return NodeSettings(
        instance_id="i0",
        region="r",
        failure_domain="d0",
        roles=(Role.ENTRY,),
        host="127.0.0.1",  # type: ignore[arg-type]
        front_port=1,
        admin_port=2,
        peer_port=3,
        fleet=FleetSettings(key_file=Path("unused")),
        announcement_tokens_file=Path("unused"),
    )


def _roster() -> Record:
    members = tuple(
        RosterMember(f"i{number}", INCARNATION, f"d{number % DOMAIN_COUNT}")
        for number in range(ROSTER_COUNT)
    )
    body = RosterBody(1, members, ())
    return Record.from_content(RecordKind.ROSTER, ROSTER_KEY, "control", (1, 0), body)


def _leader() -> Record:
    wall_ms = SystemClock().wall_ms()
    body = LeaderBody("c0", 1, "", "", confirmed_wall_ms=wall_ms, roster_epoch=1)
    return Record.from_content(RecordKind.LEADER, LEADER_KEY, "c0", (1, 0), body)


def _request(number: int) -> ClaimRequest:
    # New strings for every claim, as they are after decoding a message.
    return ClaimRequest(
        f"{number:032x}", f"{number + 1:032x}", f"{number + 2:032x}", f"i{number}", 1
    )


def _keeper_memory_bytes(claim_count: int) -> float:
    """Return the traced memory that a keeper allocates per claim."""
    fleet = _DirectFleet("i0", _roster(), {})
    keeper = Keeper(_settings(), SystemClock(), fleet, INCARNATION)
    keeper.request(_request(0))
    gc.collect()
    tracemalloc.start()
    for number in range(1, claim_count):
        keeper.request(_request(number))
    gc.collect()
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert keeper.claim_count == claim_count
    return held_bytes / (claim_count - 1)


def _keeper_claims_per_s(claim_count: int) -> float:
    """Return the claims that one keeper grants and settles per second of CPU time."""
    fleet = _DirectFleet("i0", _roster(), {})
    keeper = Keeper(_settings(), SystemClock(), fleet, INCARNATION)
    requests = [_request(number) for number in range(claim_count)]
    updates = [
        ClaimUpdate(claim.key_hash, claim.attempt_id, "done", 200) for claim in requests
    ]
    started_s = time.process_time()
    for request in requests:
        keeper.request(request)
    for update in updates:
        keeper.update(update)
    return claim_count / (time.process_time() - started_s)


async def _quorum_claims_per_s(held_count: int) -> float:
    """Return claims granted by a quorum and settled per second of CPU time.

    The CPU time includes the origin and its 3 keepers, which share the process.
    """
    roster = _roster()
    fleets: dict[InstanceId, _DirectFleet] = {}
    for number in range(ROSTER_COUNT):
        fleet = _DirectFleet(f"i{number}", roster, fleets)
        keeper = Keeper(_settings(), SystemClock(), fleet, INCARNATION)
        for claim_number in range(held_count * 3 // ROSTER_COUNT):
            keeper.request(_request(claim_number))
    claims = QuorumClaims(_settings(), SystemClock(), fleets["i0"])
    started_s = time.process_time()
    for number in range(QUORUM_CLAIM_COUNT):
        won = await claims.claim(ClaimKey(f"claim-{number}", "r"))
        assert isinstance(won, ClaimGranted)
        await claims.settle_done(won, 200)
    await claims.finish()
    return QUORUM_CLAIM_COUNT / (time.process_time() - started_s)


def main() -> None:
    """Print the costs for each number of held claims."""
    for claim_count in CLAIM_COUNTS:
        row = {
            "claim_count": claim_count,
            "roster_count": ROSTER_COUNT,
            "keeper_bytes_per_claim": round(_keeper_memory_bytes(claim_count)),
            "keeper_claims_per_cpu_s": round(_keeper_claims_per_s(claim_count)),
            "whole_claims_per_cpu_s": round(
                asyncio.run(_quorum_claims_per_s(claim_count))
            ),
        }
        print(json.dumps(row))


if __name__ == "__main__":
    main()
