"""Status of the consensus, as a control instance reports it."""

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
    """The consensus as this instance sees it.

    `may_lose_one` is True if the cluster has no change of voters under way and keeps a
    majority of caught-up voters without any one of them. It and `may_change_voters`
    are None if not reported by the leader. `failure` states why the data folder is
    unusable, in which case the instance takes no part.
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
