"""What instances tell each other about their attempts at backend servers."""

from dataclasses import dataclass

import xxhash

from cardamomrun_base.model import InstanceId
from cardamomrun_gateway.server_health import AttemptEnd

__all__ = [
    "AttemptInWork",
    "DomainEnd",
    "DomainLoad",
    "EndedAttempt",
    "InstanceLoad",
    "OwnState",
    "ServerWork",
    "ServiceCount",
    "instance_key",
]


def instance_key(instance_id: InstanceId) -> int:
    """Return the short name of an instance in messages, 32 bits."""
    return xxhash.xxh32_intdigest(instance_id.encode())


@dataclass(frozen=True)
class AttemptInWork:
    """An attempt at a server that has not ended."""

    server_key: int
    age_ms: float


@dataclass(frozen=True)
class EndedAttempt:
    """The end of an attempt; `sequence` counts the ends of one sender."""

    sequence: int
    server_key: int
    end: AttemptEnd
    duration_ms: float
    age_ms: float


@dataclass(frozen=True)
class ServiceCount:
    """Requests for a service and further attempts since a sender started."""

    service_key: int
    request_count: int
    extra_count: int


@dataclass(frozen=True)
class InstanceLoad:
    """The whole state that one instance reports to the relay of its domain.

    `sequence` counts the reports of one run of the instance, `incarnation` names it.
    """

    instance_id: InstanceId
    incarnation: int
    sequence: int
    in_work: tuple[AttemptInWork, ...]
    ended: tuple[EndedAttempt, ...]
    counts: tuple[ServiceCount, ...] = ()


@dataclass(frozen=True)
class ServerWork:
    """What the instances of one domain have in work at a server.

    `oldest_ms` is the age of the oldest attempt, `accepted_ms` the time since the last
    attempt was begun that the server is known to have accepted; None if there is none.
    """

    server_key: int
    count: int
    oldest_ms: float
    accepted_ms: float | None


@dataclass(frozen=True)
class DomainEnd:
    """An end with the lower 16 bits of the key of the instance that saw it."""

    instance_tag: int
    ended: EndedAttempt


@dataclass(frozen=True)
class DomainLoad:
    """What a relay tells of the instances of its failure domain.

    `in_work` is the whole state; None in a message that only brings ends. `taken` holds
    the keys of instances with the lower 16 bits of the sequence of the last report that
    is contained in `in_work`; 0 for an instance that is not contained any more. It
    lists what changed, and everything now and then.
    """

    relay_key: int
    incarnation: int
    sequence: int
    in_work: tuple[ServerWork, ...] | None
    ended: tuple[DomainEnd, ...] = ()
    counts: tuple[ServiceCount, ...] = ()
    taken: tuple[tuple[int, int], ...] = ()


@dataclass(frozen=True)
class OwnState:
    """What a report of this instance contained: attempts by server, counts by service."""

    in_work: dict[int, int]
    counts: dict[int, tuple[int, int]]
