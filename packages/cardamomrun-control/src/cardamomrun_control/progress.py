"""What a leader knows about one other replica."""

import asyncio
from dataclasses import dataclass, field

__all__ = ["Progress"]


@dataclass
class Progress:
    """Progress of one peer in one term of this leader.

    `acknowledged_ms` is the time at which the last answered request was sent, not the
    time of its answer: the peer cannot have promised anything before it.
    """

    instance_id: str
    replica_id: str
    next_index: int
    acknowledged_ms: float = float("-inf")
    match_index: int = 0
    refused_replica: bool = False
    wakeup: asyncio.Event = field(default_factory=asyncio.Event)
    task: asyncio.Task | None = None
