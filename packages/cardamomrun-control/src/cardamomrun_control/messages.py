"""Messages between control instances.

Each message names the replica ids of its sender and its receiver. An instance that
lost its data folder gets a new replica id, so the promises of the old folder are not
attributed to the new one.
"""

from dataclasses import dataclass

from cardamomrun_base.codec import message
from cardamomrun_control.storage import Entry

__all__ = [
    "AppendResponse",
    "AppendRequest",
    "IdentityResponse",
    "IdentityRequest",
    "Resignation",
    "SnapshotResponse",
    "SnapshotChunk",
    "VoteResponse",
    "VoteRequest",
]


@dataclass(frozen=True)
class Envelope:
    """The sender's term, cluster id and replica id, and the receiver's replica id."""

    term: int
    cluster_id: str
    sender_replica_id: str
    recipient_replica_id: str


@message("control-vote")
@dataclass(frozen=True)
class VoteRequest:
    """Requests a vote; `is_trial` marks a pre-vote, for which nothing is stored."""

    envelope: Envelope
    last_index: int
    last_term: int
    is_trial: bool


@message("control-vote-answer")
@dataclass(frozen=True)
class VoteResponse:
    """Whether the vote is granted, with the replica id of the voter."""

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
class AppendResponse:
    """Whether the entries were appended, and how far the log equals the leader's.

    If `accepted`, the log is durable and equal up to `match_index`; otherwise
    `match_index` is the last index that may be equal.
    """

    term: int
    replica_id: str
    accepted: bool
    match_index: int


@message("control-resignation")
@dataclass(frozen=True)
class Resignation:
    """States that the sender no longer leads in its term and holds no lease."""

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
class SnapshotResponse:
    """The number of bytes received; `installed` once the snapshot is durable."""

    term: int
    replica_id: str
    accepted: bool
    held_bytes: int
    installed: bool


@message("control-identity-request")
@dataclass(frozen=True)
class IdentityRequest:
    """Asks a control instance for the replica id in its data folder."""


@message("control-identity-answer")
@dataclass(frozen=True)
class IdentityResponse:
    """The replica id in the data folder of the responding instance."""

    replica_id: str
