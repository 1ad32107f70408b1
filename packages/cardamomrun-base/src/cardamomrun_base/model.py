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
    "ROUTING_KEY",
    "DEFAULT_LINK_MBPS",
    "BackendBody",
    "BackendPhase",
    "CrashBody",
    "EjectionsBody",
    "EnvironmentBody",
    "RateLimitBody",
    "RecordKind",
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

# Key of the one record of kind `routing`.
ROUTING_KEY = "routing"
# Link capacity of an instance whose settings don't give one.
DEFAULT_LINK_MBPS = 1_000.0

EnvironmentId = str
InstanceId = str
ServerId = str


class Stage(StrEnum):
    """The stage of a service in which a document is in force."""

    TRIAL = "trial"
    PRODUCTION = "production"


class RecordKind(StrEnum):
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
    RATE_LIMIT = "rate-limit"


class MemberPhase(StrEnum):
    """Lifecycle phases of an instance."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"
    GONE = "gone"


class BackendPhase(StrEnum):
    """Lifecycle phases of a backend server, as announced."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    GONE = "gone"


def environment_id(service: str, stage: Stage | str) -> EnvironmentId:
    """Return the identifier of a service's environment: `service/stage`.

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
    """A replicated value; of two records with one key the higher version wins.

    `body` is the encoded form of one of the body classes of this module.
    `lifetime_ms` counts from the arrival at each instance; None means no limit.
    """

    kind: RecordKind
    key: str
    owner_id: InstanceId
    epoch: int
    counter: int
    body: bytes
    lifetime_ms: int | None = None

    @property
    def version(self) -> tuple[int, int]:
        """Epoch and counter, compared in this order."""
        return self.epoch, self.counter

    @cached_property
    def content(self) -> Any:
        """The decoded body."""
        return decode(self.body)

    @classmethod
    def from_content(
        cls,
        kind: RecordKind,
        key: str,
        owner_id: InstanceId,
        version: tuple[int, int],
        content: Any,
        lifetime_ms: int | None = None,
    ) -> "Record":
        """Return a record whose body is the encoded `content`."""
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
    """An overlay neighbour's report that it lost contact with an instance.

    `active` is False once the neighbour has withdrawn it.
    """

    instance_id: InstanceId
    incarnation: int
    observer_id: InstanceId
    observer_failure_domain: str
    active: bool


@message("backend")
@dataclass(frozen=True)
class BackendBody:
    """A backend server as announced; `incarnation` increases at each start."""

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

    `checked` is the encoded `EnvironmentDocument`, so that instances need not parse the
    text: that takes about 1 ms a route and would delay a start with 6,500 routes.
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
    """Backend servers that the decider ejected, in the order in which to apply them.

    `probation_server_ids` have returned to service and are still watched. The ejections
    end `lease_ms` after the record's arrival unless a later record renews them.
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
    """A crash of a backend server while it ran a request with this fingerprint."""

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
    `roster_epoch` the epoch of the roster that it knew to be committed then.
    """

    instance_id: InstanceId
    term: int
    admin_address: str
    peer_address: str
    confirmed_wall_ms: int = 0
    roster_epoch: int = 0


@dataclass(frozen=True)
class RosterMember:
    """One incarnation of an entry instance that keeps idempotency claims."""

    instance_id: InstanceId
    incarnation: int
    failure_domain: str


@message("roster")
@dataclass(frozen=True)
class RosterBody:
    """The keepers: entry instances that keep idempotency claims.

    Claims need the previous keepers too while `previous_members` is not empty.
    """

    epoch: int
    members: tuple[RosterMember, ...]
    previous_members: tuple[RosterMember, ...]


@message("routing")
@dataclass(frozen=True)
class RoutingBody:
    """A committed routing document, encoded by `pack_routing`."""

    number: int
    digest: str
    packed: bytes


@message("routed-server")
@dataclass(frozen=True)
class RoutedServerBody:
    """A backend server of a routed service, as announced.

    `incarnation` increases at each start. For `warm_up_ms` after its first announcement
    the server is slower than later.
    """

    service: str
    server_id: ServerId
    incarnation: int
    address: str
    failure_domain: str
    slots: int
    phase: BackendPhase
    warm_up_ms: int = 0


@message("rate-limit")
@dataclass(frozen=True)
class RateLimitBody:
    """The requests a second that a backend server accepts from the whole fleet.

    `limit_per_s` is None once a response showed that the limit has ended.
    """

    server_id: ServerId
    incarnation: int
    limit_per_s: float | None
