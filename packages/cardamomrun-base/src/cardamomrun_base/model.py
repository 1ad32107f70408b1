"""Data that all instances share: the bodies of replicated records and their keys.

Each body is a frozen data class registered with the codec. `docs/design.md`, section
4.1, lists who writes which kind and which of two versions wins.
"""

from dataclasses import dataclass
from enum import StrEnum
from functools import cached_property
from typing import Any

from cardamomrun_base.codec import decode, encode, message

__all__ = [
    "DEFAULT_LINK_MBPS",
    "BackendBody",
    "BackendPhase",
    "CrashBody",
    "EjectionsBody",
    "EnvironmentBody",
    "Kind",
    "LeaderBody",
    "MemberBody",
    "MemberPhase",
    "Record",
    "RosterBody",
    "RosterMember",
    "RoutedServerBody",
    "RoutingBody",
    "Stage",
    "SuspicionBody",
    "backend_key",
    "environment_id",
]

# Of the network link of an instance whose settings state none.
DEFAULT_LINK_MBPS = 1_000.0

EnvironmentId = str
InstanceId = str
ServerId = str


class Stage(StrEnum):
    """Where a document runs."""

    TRIAL = "trial"
    PRODUCTION = "production"


class Kind(StrEnum):
    """Kinds of replicated records."""

    MEMBER = "member"
    SUSPICION = "suspicion"
    BACKEND = "backend"
    ENVIRONMENT = "environment"
    EJECTIONS = "ejections"
    CRASH = "crash"
    LEADER = "leader"
    ROSTER = "roster"
    ROUTING = "routing"
    ROUTED_SERVER = "routed-server"


class MemberPhase(StrEnum):
    """Phases of an instance's life."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"
    GONE = "gone"


class BackendPhase(StrEnum):
    """Phases of a backend server's life, as announced."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    GONE = "gone"


def environment_id(service: str, stage: Stage | str) -> EnvironmentId:
    """Return the name of an environment.

    >>> environment_id("rota-desk", Stage.TRIAL)
    'rota-desk/trial'
    """
    return f"{service}/{stage}"


def backend_key(environment: EnvironmentId, server_id: ServerId) -> str:
    """Return the record key of a backend server.

    >>> backend_key("rota-desk/trial", "b1")
    'rota-desk/trial/b1'
    """
    return f"{environment}/{server_id}"


@message("record")
@dataclass(frozen=True)
class Record:
    """A versioned piece of shared state; the higher (epoch, counter) of a key wins.

    `body` is the encoded form of one of the body classes of this module.
    `lifetime_ms` counts from the arrival at each instance; None means unlimited.
    """

    kind: Kind
    key: str
    owner_id: InstanceId
    epoch: int
    counter: int
    body: bytes
    lifetime_ms: int | None = None

    @property
    def version(self) -> tuple[int, int]:
        """The pair that decides which of two records of one key wins."""
        return self.epoch, self.counter

    @cached_property
    def content(self) -> Any:
        """The decoded body."""
        return decode(self.body)

    @classmethod
    def of(
        cls,
        kind: Kind,
        key: str,
        owner_id: InstanceId,
        version: tuple[int, int],
        content: Any,
        lifetime_ms: int | None = None,
    ) -> "Record":
        """Return a record with the encoded `content`."""
        epoch, counter = version
        body = encode(content)
        return cls(kind, key, owner_id, epoch, counter, body, lifetime_ms)


@message("member")
@dataclass(frozen=True)
class MemberBody:
    """An instance as it describes itself; addresses are `host:port`.

    `link_mbps` is the capacity of its network link in Mbit/s.
    """

    instance_id: InstanceId
    incarnation: int
    region: str
    failure_domain: str
    roles: tuple[str, ...]
    front_address: str
    admin_address: str
    peer_address: str
    phase: MemberPhase
    link_mbps: float = DEFAULT_LINK_MBPS


@message("suspicion")
@dataclass(frozen=True)
class SuspicionBody:
    """An overlay neighbour's claim that it lost an instance; withdrawn if not active."""

    instance_id: InstanceId
    incarnation: int
    observer_id: InstanceId
    observer_failure_domain: str
    active: bool


@message("backend")
@dataclass(frozen=True)
class BackendBody:
    """A backend server as announced; `incarnation` is raised at each of its starts."""

    environment: EnvironmentId
    server_id: ServerId
    incarnation: int
    address: str
    failure_domain: str
    slots: int
    connections: int
    registrar_id: InstanceId
    phase: BackendPhase


@message("environment")
@dataclass(frozen=True)
class EnvironmentBody:
    """A committed document; `digest` is the SHA-256 of its exact bytes.

    `checked` is the encoded `EnvironmentDocument`. Parsing JSON with comments takes
    about 1 ms a route, which would delay the start of an instance at 6,500 routes.
    """

    environment: EnvironmentId
    version: int
    revision: int
    digest: str
    document: bytes
    checked: bytes = b""


@message("ejections")
@dataclass(frozen=True)
class EjectionsBody:
    """Backend servers a decider took out of service, in the order to be honoured.

    The grant ends `lease_ms` after arrival unless it is renewed by a later record.
    """

    environment: EnvironmentId
    decider_id: InstanceId
    decider_epoch: int
    server_ids: tuple[ServerId, ...]
    probation_server_ids: tuple[ServerId, ...]
    lease_ms: int


@message("crash")
@dataclass(frozen=True)
class CrashBody:
    """A death of a backend server while it ran the request with this fingerprint."""

    environment: EnvironmentId
    fingerprint: str
    server_id: ServerId
    server_incarnation: int
    observer_id: InstanceId


@message("leader")
@dataclass(frozen=True)
class LeaderBody:
    """The control instance that leads in `term`.

    `confirmed_wall_ms` is the leader's wall time when it last confirmed the record, and
    `roster_epoch` the epoch of the roster that it knew as committed then.
    """

    instance_id: InstanceId
    term: int
    admin_address: str
    peer_address: str
    confirmed_wall_ms: int = 0
    roster_epoch: int = 0


@dataclass(frozen=True)
class RosterMember:
    """An entry instance that keeps idempotency claims, in one run of its process."""

    instance_id: InstanceId
    incarnation: int
    failure_domain: str


@message("roster")
@dataclass(frozen=True)
class RosterBody:
    """Keepers of idempotency claims.

    Claims need the previous keepers too while `previous_members` is not empty.
    """

    epoch: int
    members: tuple[RosterMember, ...]
    previous_members: tuple[RosterMember, ...]


@message("routing")
@dataclass(frozen=True)
class RoutingBody:
    """A committed routing document in the form of `pack_routing`."""

    number: int
    digest: str
    packed: bytes


@message("routed-server")
@dataclass(frozen=True)
class RoutedServerBody:
    """A backend server of a routed service, as announced.

    `incarnation` is raised at each of its starts. For `warm_up_ms` after its first
    announcement the server is slower than later.
    """

    service: str
    server_id: ServerId
    incarnation: int
    address: str
    failure_domain: str
    slots: int
    phase: BackendPhase
    warm_up_ms: int = 0
