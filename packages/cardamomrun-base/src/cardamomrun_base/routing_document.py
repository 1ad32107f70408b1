"""The routing document: routes of several services, numbered by its operators.

An instance replaces its document as a whole, between two requests. Of two documents
the one with the higher number wins; `docs/interfaces.md` lists the fields.
"""

import math
import zlib
from dataclasses import dataclass, field
from enum import StrEnum
from functools import cached_property

from cardamomrun_base.codec import CodecError, decode, encode, message
from cardamomrun_base.errors import DocumentError

__all__ = [
    "FrontLimits",
    "Organisation",
    "RouteKind",
    "RoutePattern",
    "RoutedService",
    "RoutingDocument",
    "RoutingRoute",
    "ServiceWeight",
    "check_routing",
    "pack_routing",
    "unpack_routing",
]

# An objective this far above the timeout can only be a mistake in the unit.
MAX_OBJECTIVE_EXCESS_MS = 60_000
# Documents repeat the same keys for each route and compress well; 6 is zlib's default.
COMPRESSION_LEVEL = 6


class RouteKind(StrEnum):
    """What may be done with a request whose response is missing."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    UPLOAD = "upload"


@dataclass(frozen=True)
class ServiceWeight:
    """A service's share of a route's requests, relative to the other weights."""

    service: str
    weight: float


# The host in lower case, and the prefix.
RoutePattern = tuple[str, str]


@dataclass(frozen=True)
class RoutingRoute:
    """Rules for requests to a host with a path prefix; the longest match wins.

    `objective_ms` is the target response time, `timeout_ms` the longest time that a
    request is held, `rank` its priority (0 is the highest), and `attempt_count` the
    largest number of backend servers that one request may reach. A public route needs no
    key. The responses of downloads are large. Names are for operators: several routes may
    have the same one, and a later document may give it to another route.
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
    is_public: bool = False
    is_download: bool = False

    @cached_property
    def pattern(self) -> RoutePattern:
        """Host and prefix, which tell a route from all others, also of later documents."""
        return self.host.lower(), self.prefix

    @property
    def is_idempotent(self) -> bool:
        """True if a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT


@dataclass(frozen=True)
class RoutedService:
    """A service that routes may refer to."""

    name: str
    probe_path: str = "/health"
    connection_count: int = 0


@dataclass(frozen=True)
class Organisation:
    """A customer whose requests carry one of its keys.

    `rank` goes before the rank of the route (0 is the highest). All instances together
    may send `requests_per_s` of its requests, and `burst_count` at once; 0 is no limit.
    """

    name: str
    # Keys must not reach logs, so no representation shows them.
    keys: tuple[str, ...] = field(repr=False)
    rank: int = 0
    requests_per_s: float = 0.0
    burst_count: float = 0.0


@dataclass(frozen=True)
class FrontLimits:
    """Limits on the size and duration of what clients send."""

    head_bytes: int = 65_536
    body_bytes: int = 104_857_600
    head_timeout_ms: float = 10_000
    idle_timeout_ms: float = 60_000


@message("routing-document")
@dataclass(frozen=True)
class RoutingDocument:
    """All routes and services, put in force together.

    `source` holds the operator's original text, which a read returns. Requests need the
    key of an organisation unless `organisations` is None.
    """

    number: int
    routes: tuple[RoutingRoute, ...]
    services: tuple[RoutedService, ...]
    limits: FrontLimits = FrontLimits()
    # The text contains the keys of organisations.
    source: bytes = field(default=b"", repr=False)
    organisations: tuple[Organisation, ...] | None = None

    @property
    def patterns(self) -> frozenset[RoutePattern]:
        """Patterns of all routes."""
        return frozenset(route.pattern for route in self.routes)

    @cached_property
    def service_names(self) -> frozenset[str]:
        """Names of all services."""
        return frozenset(service.name for service in self.services)


def check_routing(document: RoutingDocument) -> None:
    """Raise `DocumentError` for the first error in a document."""
    patterns: set[RoutePattern] = set()
    for route in document.routes:
        _check_route(route, document.service_names)
        if route.pattern in patterns:
            raise DocumentError(
                f"route {route.name!r}: host {route.host!r} and prefix "
                f"{route.prefix!r} belong to another route too.",
                remedy="remove one of the two routes",
            )
        patterns.add(route.pattern)
    _check_organisations(document.organisations or ())


def _check_organisations(organisations: tuple[Organisation, ...]) -> None:
    """Raise `DocumentError` for the first error; its text gives positions, from 1.

    Positions rather than names: a key that was entered as a name stays secret.
    """
    positions_by_name: dict[str, int] = {}
    positions_by_key: dict[str, int] = {}
    for position, organisation in enumerate(organisations, 1):
        _check_organisation(organisation, position)
        earlier = positions_by_name.setdefault(organisation.name, position)
        if earlier != position:
            raise DocumentError(
                f"organisations {earlier} and {position} have the same name.",
                remedy="rename or remove one of the two",
            )
        for key in organisation.keys:
            earlier = positions_by_key.setdefault(key, position)
            if earlier != position:
                raise DocumentError(
                    f"organisations {earlier} and {position} share a key.",
                    remedy="remove the key from one of the two",
                )


def _check_organisation(organisation: Organisation, position: int) -> None:
    name = organisation.name
    # A header carries the name, without surrounding spaces and control characters.
    if not name or name != name.strip() or not name.isprintable():
        raise DocumentError(
            f"organisation {position} has a name that is empty or that no header can "
            "carry.",
            remedy="give a name of printable characters without surrounding spaces",
        )
    for limit in (organisation.requests_per_s, organisation.burst_count):
        if not math.isfinite(limit) or limit < 0:
            raise DocumentError(
                f"organisation {position} has a rate or burst that is negative or not "
                "finite.",
                remedy="give a number of 0 or more; 0 is no limit",
            )


def _check_route(route: RoutingRoute, service_names: frozenset[str]) -> None:
    if not route.host:
        raise DocumentError(f"route {route.name!r} has no host.", remedy="name a host")
    if not route.prefix.startswith("/"):
        raise DocumentError(
            f"route {route.name!r}: prefix {route.prefix!r} is not a path.",
            remedy="begin the prefix with a slash",
        )
    for share in route.split:
        if share.service not in service_names:
            raise DocumentError(
                f"route {route.name!r} names the unknown service {share.service!r}.",
                remedy="add the service to the document or correct its name",
            )
    weights = [share.weight for share in route.split]
    if any(weight < 0 for weight in weights) or sum(weights) <= 0:
        raise DocumentError(
            f"route {route.name!r}: a weight is negative, or none is positive.",
            remedy="give no negative and at least one positive weight",
        )
    if route.objective_ms >= route.timeout_ms + MAX_OBJECTIVE_EXCESS_MS:
        raise DocumentError(
            f"route {route.name!r}: its objective of {route.objective_ms:g} ms is far "
            f"above its timeout of {route.timeout_ms:g} ms.",
            remedy="check the units of both",
        )


def pack_routing(document: RoutingDocument) -> bytes:
    """Return a document in compressed form, for the control log and for records."""
    return zlib.compress(encode(document), COMPRESSION_LEVEL)


def unpack_routing(data: bytes) -> RoutingDocument:
    """Return the document that `pack_routing` encoded, or raise `DocumentError`."""
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
