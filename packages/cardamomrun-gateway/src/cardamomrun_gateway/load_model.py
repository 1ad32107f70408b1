"""The load reports and messages that instances exchange."""

from dataclasses import dataclass
from typing import NamedTuple

import xxhash

from cardamomrun_base.model import InstanceId
from cardamomrun_gateway.server_health import AttemptEnd

__all__ = [
    "DomainEnd",
    "DomainLoad",
    "EndedAttempt",
    "InFlightAttempt",
    "InstanceLoad",
    "ReportedState",
    "ServerLoad",
    "ServiceCount",
    "instance_key",
]


def instance_key(instance_id: InstanceId) -> int:
    """Return the 32-bit hash that identifies an instance in messages."""
    return xxhash.xxh32_intdigest(instance_id.encode())


class InFlightAttempt(NamedTuple):
    """An attempt at a server that has not ended."""

    server_key: int
    age_ms: float


class EndedAttempt(NamedTuple):
    """The end of an attempt; `sequence` counts the ends that one sender reports."""

    sequence: int
    server_key: int
    end: AttemptEnd
    duration_ms: float
    age_ms: float


class ServiceCount(NamedTuple):
    """Requests and retries of a service since the sender started."""

    service_key: int
    request_count: int
    retry_count: int


@dataclass(frozen=True)
class InstanceLoad:
    """The whole state that one instance reports to the relay of its domain.

    `incarnation` identifies a run of the instance, `sequence` counts its reports.
    """

    instance_id: InstanceId
    incarnation: int
    sequence: int
    in_flight: tuple[InFlightAttempt, ...]
    ended: tuple[EndedAttempt, ...]
    counts: tuple[ServiceCount, ...] = ()


class ServerLoad(NamedTuple):
    """The attempts in flight at a server from the instances of one domain.

    `oldest_ms` is the age of the oldest one, `accepted_ms` that of the latest one that
    the server is known to have accepted; None if there is none.
    """

    server_key: int
    attempt_count: int
    oldest_ms: float
    accepted_ms: float | None


class DomainEnd(NamedTuple):
    """An end and the lower 16 bits of the key of the instance that reported it."""

    instance_tag: int
    ended: EndedAttempt


@dataclass(frozen=True)
class DomainLoad:
    """A relay's message about the instances of its failure domain.

    `in_flight` is the whole state, or None in a message with ends only.
    `included_reports` pairs instance keys with the lower 16 bits of the sequence of the
    last report that `in_flight` includes, 0 once it includes none. It lists what has
    changed, and at intervals all instances.
    """

    relay_key: int
    incarnation: int
    sequence: int
    in_flight: tuple[ServerLoad, ...] | None
    ended: tuple[DomainEnd, ...] = ()
    counts: tuple[ServiceCount, ...] = ()
    included_reports: tuple[tuple[int, int], ...] = ()


@dataclass(frozen=True)
class ReportedState:
    """State in a report of this instance.

    `in_flight` counts attempts by server, `counts` are requests and retries by service.
    `base` are the counts with which the reports to this relay began.
    """

    in_flight: dict[int, int]
    counts: dict[int, tuple[int, int]]
    base: dict[int, tuple[int, int]]
