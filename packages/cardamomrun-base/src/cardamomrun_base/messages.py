"""Messages between instances that more than one package uses."""

from dataclasses import dataclass

from cardamomrun_base.codec import message
from cardamomrun_base.model import EnvironmentId, InstanceId, ServerId

__all__ = [
    "BackendEvidence",
    "ClaimAnswer",
    "ClaimRequest",
    "ClaimUpdate",
    "ConfirmedNumber",
    "DocumentRequest",
    "Report",
    "ReportAnswer",
    "Acknowledgement",
]


@message("settled")
@dataclass(frozen=True)
class Acknowledgement:
    """Acknowledgement: an answer without content."""


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
    """State and evidence that an entry instance sends each report interval.

    The receiver is the decider. `versions_in_force` holds only environments whose
    version changed since the last report that the same leader answered; the first
    report holds all of them. `roster_epoch` is the epoch of the roster of keepers in
    force; 0 if there is none.
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

    `key_hash` covers environment, customer and key; `request_hash` covers method, path,
    query and body, so that a key reused for a different request is refused.
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

    With `held`, `state` is `running`, `done` or `unknown`. `status` is the HTTP status
    of the response if the state is `done`.
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


@message("control-newest-number-answer")
@dataclass(frozen=True)
class ConfirmedNumber:
    """The number of the newest routing document `age_ms` ago; -1 if there was none."""

    number: int
    age_ms: float


@message("control-document-request")
@dataclass(frozen=True)
class DocumentRequest:
    """Asks a control instance for the record of its routing document.

    It refuses to answer if it has none with this number or a higher one.
    """

    number: int
