"""Protocols between packages; each docstring names the implementing module."""

from collections.abc import Awaitable, Callable, Iterable
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Protocol

from cardamomrun_base.documents import EnvironmentDocument
from cardamomrun_base.model import (
    BackendBody,
    EnvironmentBody,
    EnvironmentId,
    InstanceId,
    MemberBody,
    Record,
    RecordKind,
    ServerId,
)

__all__ = [
    "AlreadyDone",
    "Attempt",
    "AttemptResult",
    "Backends",
    "ClaimKey",
    "ClaimResult",
    "Claims",
    "Environment",
    "Environments",
    "Fleet",
    "KeyMismatch",
    "Leadership",
    "NoQuorum",
    "Quarantine",
    "RecordStore",
    "RosterReports",
    "ServiceView",
    "StillRunning",
    "UnknownOutcome",
    "ClaimGranted",
]


class RecordStore(Protocol):
    """Replicated records (`cardamomrun_fleet.store`)."""

    def get(self, kind: RecordKind, key: str) -> Record | None:
        """Return the unexpired record of a key, or None."""

    def all(self, kind: RecordKind) -> list[Record]:
        """Return all unexpired records of a kind."""

    def put(self, record: Record) -> bool:
        """Store and flood a record; return False if the held one is not older."""

    def subscribe(self, kind: RecordKind, callback: Callable[[Record], None]) -> None:
        """Call back with each newer record of the kind, local or from a peer."""


class Fleet(Protocol):
    """Peer links and membership (`cardamomrun_fleet.fleet`)."""

    instance_id: InstanceId
    store: RecordStore

    async def request(
        self, instance_id: InstanceId, message: Any, *, timeout_ms: int
    ) -> Any:
        """Send a message and return the answer; opens a link if there is none.

        Without an answer, raises `PeerUnreachableError` if no byte was sent and
        `PeerTimeoutError` otherwise.
        """

    async def deliver(self, record: Record, *, copy_count: int, timeout_ms: int) -> int:
        """Send a record to linked peers and return how many of them confirmed it.

        Waits for at most `copy_count` confirmations. Peers forward the record, so it
        spreads even if this instance fails next. Returns `copy_count` if no other
        member is known.
        """

    def handle(
        self,
        message_type: type,
        handler: Callable[[InstanceId, Any], Awaitable[Any]],
    ) -> None:
        """Answer messages of a type with the result of `handler(peer_id, message)`."""

    def add_address(self, instance_id: InstanceId, peer_address: str) -> None:
        """Set the peer address of an instance that has no member record yet."""

    def members(self) -> list[MemberBody]:
        """Return the instances that are neither gone nor considered failed."""

    def known_members(self) -> list[MemberBody]:
        """Return the instances that are not gone, with those considered failed.

        One that is considered failed may only be unreachable from here.
        """

    def may_be_behind(self) -> bool:
        """Return True while this instance knows that it may lack newer records."""


@dataclass(frozen=True)
class Environment:
    """A committed environment in force on this instance, with its parsed document."""

    body: EnvironmentBody
    document: EnvironmentDocument


class Environments(Protocol):
    """Documents in force on this instance (`cardamomrun_node.environments`)."""

    def get(self, environment: EnvironmentId) -> Environment | None:
        """Return an environment by its identifier."""

    def by_host(self, host: str) -> Environment | None:
        """Return the environment that a Host header selects."""

    def all(self) -> Iterable[Environment]:
        """Return all environments in force."""


class AttemptResult(StrEnum):
    """Result of one attempt, as evidence about the health of its backend server."""

    GOOD = "good"
    FAILED = "failed"
    SLOW = "slow"
    UNREACHABLE = "unreachable"
    SHED = "shed"
    NO_EVIDENCE = "no-evidence"


@dataclass(frozen=True)
class Attempt:
    """An attempt in flight at a backend server; `started_ms` is monotonic time."""

    environment: EnvironmentId
    server: BackendBody
    started_ms: float


@dataclass(frozen=True)
class ServiceView:
    """Backend servers of an environment as this instance sees them.

    The decider took the `ejected` ones out of service; this instance avoids the
    `avoided` ones because of its own attempts. `floor_count` is the smallest number of
    healthy servers that the document allows.
    """

    environment: EnvironmentId
    healthy: tuple[ServerId, ...]
    ejected: tuple[ServerId, ...]
    avoided: tuple[ServerId, ...]
    draining: tuple[ServerId, ...]
    starting: tuple[ServerId, ...]
    floor_count: int


class Backends(Protocol):
    """State and selection of backend servers (`cardamomrun_backends.backends`)."""

    def choose(
        self, environment: EnvironmentId, *, exclude: frozenset[ServerId] = frozenset()
    ) -> BackendBody | None:
        """Return a backend server for one attempt, or None if none is available."""

    def started(self, server: BackendBody) -> Attempt:
        """Count an attempt as in flight; the caller ends it with `finished`."""

    def finished(
        self,
        attempt: Attempt,
        result: AttemptResult,
        *,
        retry_after_s: int | None = None,
    ) -> None:
        """Record the result of an attempt; `retry_after_s` applies to `SHED` only."""

    def is_current(self, server: BackendBody) -> bool:
        """Return False once the server drains, is gone, or has a newer incarnation."""

    def view(self, environment: EnvironmentId) -> ServiceView:
        """Return the state of all backend servers of an environment."""


@dataclass(frozen=True)
class ClaimKey:
    """Hexadecimal hashes of an idempotency key and of the request that carries it.

    `key_hash` covers environment, customer and key; `request_hash` covers method, path,
    query and body.
    """

    key_hash: str
    request_hash: str


@dataclass(frozen=True)
class ClaimGranted:
    """The claim is granted; the first byte must be sent before `start_before_ms`."""

    key: ClaimKey
    attempt_id: str
    start_before_ms: float


@dataclass(frozen=True)
class AlreadyDone:
    """An earlier attempt with this key ran; its response had `status`."""

    status: int


@dataclass(frozen=True)
class StillRunning:
    """An earlier attempt with this key has not ended yet."""


@dataclass(frozen=True)
class UnknownOutcome:
    """It is unknown whether an earlier attempt with this key ran."""


@dataclass(frozen=True)
class KeyMismatch:
    """The key was used for a different request."""


@dataclass(frozen=True)
class NoQuorum:
    """Too few keepers answered; the request must not run now."""


ClaimResult = (
    ClaimGranted | AlreadyDone | StillRunning | UnknownOutcome | KeyMismatch | NoQuorum
)


class Claims(Protocol):
    """Claims of idempotency keys (`cardamomrun_requests.claims`)."""

    async def claim(self, key: ClaimKey) -> ClaimResult:
        """Reserve a key for one attempt at a quorum of its keepers."""

    async def settle_done(self, won: ClaimGranted, status: int) -> None:
        """Tell the keepers that the request ran and its response had `status`."""

    async def settle_unknown(self, won: ClaimGranted) -> None:
        """Tell the keepers that bytes were sent but no complete response arrived."""

    async def release(self, won: ClaimGranted) -> None:
        """Release the key; allowed only if the request was not run."""

    async def finish(self) -> None:
        """Wait for keeper updates in flight; call it before the fleet is closed."""


class Quarantine(Protocol):
    """Requests that crash backend servers (`cardamomrun_requests.quarantine`)."""

    def is_quarantined(self, environment: EnvironmentId, fingerprint: str) -> bool:
        """Return True if requests with this fingerprint must not run now."""

    def attempt_permit(
        self, environment: EnvironmentId, fingerprint: str
    ) -> AbstractAsyncContextManager[bool]:
        """Enclose one attempt of a request; the value is False if it must not run.

        The caller leaves the context normally at the end of the response head, and by
        an exception if there was none. If the connection ended, it calls
        `confirm_crash` first.
        """

    async def confirm_crash(self, attempt: Attempt, fingerprint: str) -> bool:
        """Determine whether the request crashed the server; True if the crash counted.

        Called when a connection ended between the first request byte and the end of
        the response head. Opens a new connection to tell a crashed server from a lost
        connection.
        """


class RosterReports(Protocol):
    """Roster epochs that instances reported (`cardamomrun_backends.decider`)."""

    def roster_epoch(self, instance_id: InstanceId) -> int | None:
        """Return the epoch in an instance's last report; None without a recent one."""


class Leadership(Protocol):
    """Leadership of this control instance (`cardamomrun_control.agreement`)."""

    @property
    def term(self) -> int:
        """The current term."""

    def holds_lease(self) -> bool:
        """Return True while no other instance can be the leader."""

    def lease_held_since_ms(self) -> float:
        """Return when this instance's current leader lease began, in monotonic ms."""
