"""Replication progress of one peer, as the leader tracks it."""

import asyncio
from dataclasses import dataclass, field

__all__ = ["Progress"]


@dataclass
class Progress:
    """Progress of one peer in one term of this leader.

    `acknowledged_ms` is when the last acknowledged request was sent, not when its
    response came: the peer's election timeout may have started at any time between.
    `silent_since_ms` is since when the peer counts as silent if it never acknowledges a
    request. `is_replaced` is True if the peer responds with another replica id than
    expected.
    """

    instance_id: str
    replica_id: str
    next_index: int
    silent_since_ms: float
    acknowledged_ms: float = float("-inf")
    match_index: int = 0
    is_replaced: bool = False
    wakeup: asyncio.Event = field(default_factory=asyncio.Event)
    task: asyncio.Task | None = None
