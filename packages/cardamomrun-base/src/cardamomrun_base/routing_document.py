"""The routing document: routes of several services, numbered by its operators.

An instance puts a whole document in force between two requests. Of two documents the
one with the higher number wins; `docs/interfaces.md` lists the fields.
"""

import zlib
from dataclasses import dataclass
from enum import StrEnum
from functools import cached_property

from cardamomrun_base.codec import CodecError, decode, encode, message
from cardamomrun_base.errors import DocumentError

__all__ = [
    "FrontLimits",
    "RouteKind",
    "RoutedService",
    "RoutingDocument",
    "RoutingRoute",
    "ServiceWeight",
    "check_routing",
    "pack_routing",
    "unpack_routing",
]

# An objective this far above the time-out can only be a mistake of units.
MAX_OBJECTIVE_EXCESS_MS = 60_000
# Documents repeat the same keys for each route; level 6 is the default of zlib.
COMPRESSION_LEVEL = 6


class RouteKind(StrEnum):
    """What may be done with a request whose answer is missing."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    UPLOAD = "upload"


@dataclass(frozen=True)
class ServiceWeight:
    """A service's part of a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True)
class RoutingRoute:
    """Requests of a host with a path prefix; the longest prefix of a path wins.

    `objective_ms` is the time within which an answer has its full value, `timeout_ms`
    the longest time that a request is kept, `rank` its urgency (0 is the highest), and
    `attempt_count` the largest number of backend servers that one request may reach.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_ms: float
    objective_ms: float
    rank: int
    attempt_count: int
    split: tuple[ServiceWeight, ...]

    @property
    def is_idempotent(self) -> bool:
        """True if a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT


@dataclass(frozen=True)
class RoutedService:
    """A service to which routes may lead."""

    name: str
    probe_path: str = "/health"
    connection_count: int = 0


@dataclass(frozen=True)
class FrontLimits:
    """What callers may send and how long they may take."""

    head_bytes: int = 65_536
    body_bytes: int = 104_857_600
    head_timeout_ms: float = 10_000
    idle_timeout_ms: float = 60_000


@message("routing-document")
@dataclass(frozen=True)
class RoutingDocument:
    """All routes and services, in force together.

    `source` holds the operator's own text, which is what a read returns.
    """

    number: int
    routes: tuple[RoutingRoute, ...]
    services: tuple[RoutedService, ...]
    limits: FrontLimits = FrontLimits()
    source: bytes = b""

    @cached_property
    def service_names(self) -> frozenset[str]:
        """Names of all services."""
        return frozenset(service.name for service in self.services)


def check_routing(document: RoutingDocument) -> None:
    """Raise `DocumentError` that names the first fault of a document."""
    places: set[tuple[str, str]] = set()
    for route in document.routes:
        _check_route(route, document.service_names)
        place = route.host.lower(), route.prefix
        if place in places:
            raise DocumentError(
                f"route {route.name!r}: host {route.host!r} and prefix "
                f"{route.prefix!r} belong to another route too.",
                remedy="remove one of the two routes",
            )
        places.add(place)


def _check_route(route: RoutingRoute, service_names: frozenset[str]) -> None:
    if not route.host:
        raise DocumentError(f"route {route.name!r} has no host.", remedy="name a host")
    if not route.prefix.startswith("/"):
        raise DocumentError(
            f"route {route.name!r}: prefix {route.prefix!r} is not a path.",
            remedy="begin the prefix with a slash",
        )
    for part in route.split:
        if part.service not in service_names:
            raise DocumentError(
                f"route {route.name!r} names the unknown service {part.service!r}.",
                remedy="add the service to the document or correct its name",
            )
    weights = [part.weight for part in route.split]
    if any(weight < 0 for weight in weights) or sum(weights) <= 0:
        raise DocumentError(
            f"route {route.name!r}: its weights add up to nothing.",
            remedy="give at least one service a positive weight",
        )
    if route.objective_ms >= route.timeout_ms + MAX_OBJECTIVE_EXCESS_MS:
        raise DocumentError(
            f"route {route.name!r}: its objective of {route.objective_ms:g} ms is far "
            f"above its time-out of {route.timeout_ms:g} ms.",
            remedy="check the units of both",
        )


def pack_routing(document: RoutingDocument) -> bytes:
    """Return the compressed form of a document, for logs and records."""
    return zlib.compress(encode(document), COMPRESSION_LEVEL)


def unpack_routing(data: bytes) -> RoutingDocument:
    """Return the document in `data`, or raise `DocumentError`."""
    try:
        document = decode(zlib.decompress(data))
    except (zlib.error, CodecError) as error:
        raise DocumentError(
            f"a routing document of {len(data)} bytes cannot be read: {error}.",
            remedy="run the same release on all instances",
        ) from error
    if not isinstance(document, RoutingDocument):
        raise DocumentError(
            f"expected a routing document, found {type(document).__name__}.",
            remedy="run the same release on all instances",
        )
    return document
