"""What a control instance shows of its agreement."""

from dataclasses import dataclass

from cardamomrun_base.codec import message

__all__ = ["LEADER_KEY", "Status", "StatusRequest", "VoterStatus"]

# Key of the record of kind `leader`.
LEADER_KEY = "control"


@dataclass(frozen=True)
class VoterStatus:
    """A voter as the leader sees it."""

    instance_id: str
    peer_address: str
    is_learner: bool
    caught_up: bool
    heard_ms_ago: float | None
    replaced: bool


@message("control-status-request")
@dataclass(frozen=True)
class StatusRequest:
    """Asks the leader for its `Status`."""


@message("control-status")
@dataclass(frozen=True)
class Status:
    """The agreement as this instance sees it.

    `may_lose_one` and `may_change_voters` are None if no leader says so.
    `failure` says why the data folder is out of use; the instance takes no part then.
    """

    role: str
    term: int
    leader_id: str | None
    last_index: int
    commit_index: int
    holds_lease: bool
    voters: tuple[VoterStatus, ...]
    may_lose_one: bool | None
    may_change_voters: bool | None
    failure: str | None
