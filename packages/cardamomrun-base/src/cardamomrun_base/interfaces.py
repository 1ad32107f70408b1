"""Interfaces between packages; each is implemented in the package named."""

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
    Kind,
    MemberBody,
    Record,
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
    "UnknownEnd",
    "Won",
]


class RecordStore(Protocol):
    """Replicated records (`cardamomrun_fleet.store`)."""

    def get(self, kind: Kind, key: str) -> Record | None:
        """Return the live record of a key."""

    def all(self, kind: Kind) -> list[Record]:
        """Return all live records of a kind."""

    def put(self, record: Record) -> bool:
        """Merge a record; flood it and return True if it is newer than what was held."""

    def subscribe(self, kind: Kind, callback: Callable[[Record], None]) -> None:
        """Call back with each record of the kind that wins, from here or from a peer."""


class Fleet(Protocol):
    """Peer links and membership (`cardamomrun_fleet.fleet`)."""

    instance_id: InstanceId
    store: RecordStore

    async def request(
        self, instance_id: InstanceId, message: Any, *, timeout_ms: int
    ) -> Any:
        """Send a message and return the answer; opens a link if there is none.

        Raises `PeerUnreachableError` if no byte left, `PeerTimeoutError` otherwise.
        """

    async def deliver(self, record: Record, *, copy_count: int, timeout_ms: int) -> int:
        """Hand a record to linked peers and return how many of them confirmed it.

        Peers pass it on, so it spreads even if this instance dies next. Returns
        `copy_count` where no other member is known.
        """

    def handle(
        self,
        message_type: type,
        handler: Callable[[InstanceId, Any], Awaitable[Any]],
    ) -> None:
        """Answer messages of a type with the result of `handler(peer_id, message)`."""

    def add_address(self, instance_id: InstanceId, peer_address: str) -> None:
        """Name the peer address of an instance that has no member record yet."""

    def members(self) -> list[MemberBody]:
        """Return the instances that are not gone and not taken as failed."""

    def may_be_behind(self) -> bool:
        """Return True while this instance knows that it may lack newer records."""


@dataclass(frozen=True)
class Environment:
    """An environment in force on this instance."""

    body: EnvironmentBody
    document: EnvironmentDocument


class Environments(Protocol):
    """Documents in force on this instance (`cardamomrun_node.environments`)."""

    def get(self, environment: EnvironmentId) -> Environment | None:
        """Return an environment by its name."""

    def by_host(self, host: str) -> Environment | None:
        """Return the environment that a Host header selects."""

    def all(self) -> Iterable[Environment]:
        """Return all environments in force."""


class AttemptResult(StrEnum):
    """How one attempt at a backend server ended, as evidence about the server."""

    GOOD = "good"
    FAILED = "failed"
    SLOW = "slow"
    UNREACHABLE = "unreachable"
    SHED = "shed"
    NO_EVIDENCE = "no-evidence"


@dataclass(frozen=True)
class Attempt:
    """A request in flight at a backend server."""

    environment: EnvironmentId
    server: BackendBody
    started_ms: float


@dataclass(frozen=True)
class ServiceView:
    """Backend servers of an environment as this instance sees them.

    `floor_count` is the smallest number of healthy servers that the document allows.
    """

    environment: EnvironmentId
    healthy: tuple[ServerId, ...]
    ejected: tuple[ServerId, ...]
    avoided: tuple[ServerId, ...]
    draining: tuple[ServerId, ...]
    starting: tuple[ServerId, ...]
    floor_count: int


class Backends(Protocol):
    """Knowledge of backend servers (`cardamomrun_backends.backends`)."""

    def choose(
        self, environment: EnvironmentId, *, exclude: frozenset[ServerId] = frozenset()
    ) -> BackendBody | None:
        """Return a backend server for one attempt, or None if there is none."""

    def started(self, server: BackendBody) -> Attempt:
        """Count a request in flight; end it with `finished`."""

    def finished(
        self,
        attempt: Attempt,
        result: AttemptResult,
        *,
        retry_after_s: int | None = None,
    ) -> None:
        """Record how an attempt ended; `retry_after_s` goes with `SHED`."""

    def is_current(self, server: BackendBody) -> bool:
        """Return False once the server drains, is gone, or has a newer incarnation."""

    def view(self, environment: EnvironmentId) -> ServiceView:
        """Return the state of all backend servers of an environment."""


@dataclass(frozen=True)
class ClaimKey:
    """An idempotency key in its scope; the hashes are hexadecimal.

    `request_hash` covers method, path, query and body.
    """

    key_hash: str
    request_hash: str


@dataclass(frozen=True)
class Won:
    """The attempt may run; its first byte must leave before `start_before_ms`."""

    key: ClaimKey
    attempt_id: str
    start_before_ms: float


@dataclass(frozen=True)
class AlreadyDone:
    """An earlier attempt with this key was run and answered with `status`."""

    status: int


@dataclass(frozen=True)
class StillRunning:
    """An earlier attempt with this key has not ended yet."""


@dataclass(frozen=True)
class UnknownEnd:
    """It is not known whether an earlier attempt with this key was run."""


@dataclass(frozen=True)
class KeyMismatch:
    """The key was used for a different request."""


@dataclass(frozen=True)
class NoQuorum:
    """Too few keepers answered; the request must not run now."""


ClaimResult = Won | AlreadyDone | StillRunning | UnknownEnd | KeyMismatch | NoQuorum


class Claims(Protocol):
    """Claims of idempotency keys (`cardamomrun_requests.claims`)."""

    async def claim(self, key: ClaimKey) -> ClaimResult:
        """Reserve a key for one attempt at a quorum of its keepers."""

    async def settle_done(self, won: Won, status: int) -> None:
        """Tell the keepers that the request was run and answered."""

    async def settle_unknown(self, won: Won) -> None:
        """Tell the keepers that bytes of the request left and no whole answer came."""

    async def release(self, won: Won) -> None:
        """Give the key back; allowed only if the request was not run."""

    async def finish(self) -> None:
        """Wait for updates of keepers under way, before the fleet is closed."""


class Quarantine(Protocol):
    """Requests that crash backend servers (`cardamomrun_requests.quarantine`)."""

    def is_quarantined(self, environment: EnvironmentId, fingerprint: str) -> bool:
        """Return True if requests with this fingerprint must not run now."""

    def turn(
        self, environment: EnvironmentId, fingerprint: str
    ) -> AbstractAsyncContextManager[bool]:
        """Hold one attempt of a request; the value is False if it must not run.

        Left normally at the end of an answer head, and by an exception if none came;
        after `connection_died` if the connection ended.
        """

    async def connection_died(self, attempt: Attempt, fingerprint: str) -> bool:
        """Find out whether the server died of this request; True if a death counted.

        Called when a connection ended between the first request byte and the end of
        the answer head. Opens a fresh connection to tell a dead server from a dead
        connection.
        """


class RosterReports(Protocol):
    """Rosters that instances reported (`cardamomrun_backends.decider`)."""

    def roster_epoch(self, instance_id: InstanceId) -> int | None:
        """Return the epoch in an instance's last report; None if that is too old."""


class Leadership(Protocol):
    """Whether this control instance leads (`cardamomrun_control.agreement`)."""

    @property
    def term(self) -> int:
        """The current term."""

    def holds_lease(self) -> bool:
        """Return True while no other instance can lead."""

    def lease_held_since_ms(self) -> float:
        """Return when this instance's current leader lease began, monotonic ms."""
