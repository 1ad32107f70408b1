"""Messages between control instances.

`sender_replica` and `to_replica` bind every message to the folder of an instance: an
instance that lost its folder has a new replica id and does not pass for its old self.
"""

from dataclasses import dataclass

from cardamomrun_base.codec import message
from cardamomrun_control.storage import Entry

__all__ = [
    "AppendAnswer",
    "AppendRequest",
    "IdentityAnswer",
    "IdentityRequest",
    "Resignation",
    "SnapshotAnswer",
    "SnapshotChunk",
    "VoteAnswer",
    "VoteRequest",
]


@dataclass(frozen=True)
class Envelope:
    """The sender's term, cluster and replica, and the replica that is meant."""

    term: int
    cluster_id: str
    sender_replica: str
    to_replica: str


@message("control-vote")
@dataclass(frozen=True)
class VoteRequest:
    """Asks for a vote; with `is_trial` (pre-vote) nothing is stored."""

    envelope: Envelope
    last_index: int
    last_term: int
    is_trial: bool


@message("control-vote-answer")
@dataclass(frozen=True)
class VoteAnswer:
    """A vote, with the replica that gives it."""

    term: int
    replica_id: str
    granted: bool


@message("control-append")
@dataclass(frozen=True)
class AppendRequest:
    """Entries after `previous_index`, or a heartbeat without entries."""

    envelope: Envelope
    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    commit_index: int


@message("control-append-answer")
@dataclass(frozen=True)
class AppendAnswer:
    """`accepted`: the log is durable and equal to the leader's up to `match_index`.

    Otherwise `match_index` is the last index that may be equal.
    """

    term: int
    replica_id: str
    accepted: bool
    match_index: int


@message("control-resignation")
@dataclass(frozen=True)
class Resignation:
    """Tells that the sender no longer leads in its term and holds no lease."""

    envelope: Envelope


@message("control-snapshot-chunk")
@dataclass(frozen=True)
class SnapshotChunk:
    """A piece of the encoded snapshot at `offset_bytes`."""

    envelope: Envelope
    index: int
    offset_bytes: int
    total_bytes: int
    data: bytes


@message("control-snapshot-answer")
@dataclass(frozen=True)
class SnapshotAnswer:
    """The number of bytes held; `installed` once the snapshot is durable."""

    term: int
    replica_id: str
    accepted: bool
    held_bytes: int
    installed: bool


@message("control-identity-request")
@dataclass(frozen=True)
class IdentityRequest:
    """Asks a control instance for the identity of its folder."""


@message("control-identity-answer")
@dataclass(frozen=True)
class IdentityAnswer:
    """The replica id in the folder of the instance that answers."""

    replica_id: str
