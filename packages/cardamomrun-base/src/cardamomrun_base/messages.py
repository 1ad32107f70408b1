"""Messages between instances that more than one package uses."""

from dataclasses import dataclass

from cardamomrun_base.codec import message
from cardamomrun_base.model import EnvironmentId, InstanceId, ServerId

__all__ = [
    "BackendEvidence",
    "ClaimAnswer",
    "ClaimRequest",
    "ClaimUpdate",
    "Report",
    "ReportAnswer",
    "Settled",
]


@message("settled")
@dataclass(frozen=True)
class Settled:
    """An answer without content."""


@dataclass(frozen=True)
class BackendEvidence:
    """Counts of attempts at one backend server since the last report."""

    environment: EnvironmentId
    server_id: ServerId
    good_count: int
    failed_count: int
    slow_count: int
    unreachable_count: int


@message("report")
@dataclass(frozen=True)
class Report:
    """What an entry instance tells the decider; one each report interval.

    `versions_in_force` names only environments whose version changed since the last
    report that was answered by the same leader; all of them in the first one.
    `roster_epoch` is the epoch of the roster of keepers in force; 0 if there is none.
    """

    instance_id: InstanceId
    failure_domain: str
    sequence: int
    evidence: tuple[BackendEvidence, ...]
    versions_in_force: tuple[tuple[EnvironmentId, int], ...]
    may_be_behind: bool
    roster_epoch: int = 0


@message("report-answer")
@dataclass(frozen=True)
class ReportAnswer:
    """The leader's answer; `accepted` is False if the receiver does not lead."""

    accepted: bool
    term: int


@message("claim")
@dataclass(frozen=True)
class ClaimRequest:
    """Asks a keeper to reserve an idempotency key for one attempt.

    `key_hash` covers environment, customer and key; `request_hash` covers method,
    path and body, so that a reused key with other content can be refused.
    """

    key_hash: str
    request_hash: str
    attempt_id: str
    origin_id: InstanceId
    roster_epoch: int


@message("claim-answer")
@dataclass(frozen=True)
class ClaimAnswer:
    """A keeper's answer: `granted`, `held`, `mismatch` or `abstains`.

    With `held`, `state` is `running`, `done` or `unknown`, and `status` is the HTTP
    status of a done request.
    """

    verdict: str
    state: str = ""
    status: int = 0
    origin_id: InstanceId = ""
    attempt_id: str = ""


@message("claim-update")
@dataclass(frozen=True)
class ClaimUpdate:
    """Tells a keeper how an attempt ended: `done`, `unknown` or `released`."""

    key_hash: str
    attempt_id: str
    state: str
    status: int = 0
