"""A request with its route and deadline, and the response times of routes."""

from collections.abc import Set
from dataclasses import dataclass

from tornado.httputil import HTTPHeaders

from cardamomrun_base import headers as names
from cardamomrun_base.clock import Clock
from cardamomrun_base.headers import GatewayHeaders
from cardamomrun_base.routing_document import Organisation, RoutePattern, RoutingRoute
from cardamomrun_gateway.organisations import combined_rank, encode_header_text
from cardamomrun_requests.framing import end_to_end_headers
from cardamomrun_requests.request import ClientRequest

__all__ = ["DEADLINE_GRACE_MS", "RouteTimes", "RoutedRequest"]

# Time after the deadline for a response that a server sent at the deadline.
DEADLINE_GRACE_MS = 40.0
# Weight of a new response time in the running mean of a route.
MEAN_WEIGHT = 0.05
# Share of a route's objective that is assumed as its mean until it has responses.
FIRST_MEAN_RATIO = 0.3
# Response times vary by a factor of about two; at this multiple of the mean an attempt
# is overdue.
OVERDUE_FACTOR = 3.0
# Assumed length of a download until its route has had responses.
FIRST_DOWNLOAD_BYTES = 65_536


class RouteTimes:
    """Running means of the response times of routes, in ms, and of download lengths."""

    def __init__(self) -> None:
        self._means_ms: dict[RoutePattern, float] = {}
        self._mean_bytes: dict[RoutePattern, float] = {}

    def expected_ms(self, route: RoutingRoute) -> float:
        """Return the mean response time of a route; an assumed one before the first."""
        mean_ms = self._means_ms.get(route.pattern)
        return route.objective_ms * FIRST_MEAN_RATIO if mean_ms is None else mean_ms

    def overdue_ms(self, route: RoutingRoute) -> float:
        """Return the age from which an attempt on a route is overdue."""
        return self.expected_ms(route) * OVERDUE_FACTOR

    def record(
        self, route: RoutingRoute, duration_ms: float, link_wait_ms: float = 0.0
    ) -> None:
        """Add the duration of a successful attempt, less its wait for the own link.

        The wait is an estimate that may be too long, so it never makes a duration
        shorter than the mean.
        """
        mean_ms = self.expected_ms(route)
        duration_ms = max(duration_ms - link_wait_ms, min(duration_ms, mean_ms))
        mean_ms += MEAN_WEIGHT * (duration_ms - mean_ms)
        self._means_ms[route.pattern] = mean_ms

    def download_bytes(self, route: RoutingRoute) -> float:
        """Return the mean length of a download's responses; 0 for other routes."""
        if not route.is_download:
            return 0.0
        return self._mean_bytes.get(route.pattern, FIRST_DOWNLOAD_BYTES)

    def record_bytes(self, route: RoutingRoute, length_bytes: int) -> None:
        """Add the length of a response to the mean, if the route is a download."""
        if route.is_download:
            mean_bytes = self.download_bytes(route)
            mean_bytes += MEAN_WEIGHT * (length_bytes - mean_bytes)
            self._mean_bytes[route.pattern] = mean_bytes

    def keep_only(self, patterns: Set[RoutePattern]) -> None:
        """Forget the routes that are not among `patterns`."""
        for values in (self._means_ms, self._mean_bytes):
            for pattern in values.keys() - patterns:
                del values[pattern]


@dataclass(frozen=True)
class RoutedRequest:
    """What all attempts of a request share; times are of the local clock, in ms.

    `hides_key`: the request's key and any name of an organisation from its client stay
    here, since the document has organisations.
    """

    request: ClientRequest
    route: RoutingRoute
    service: str
    document_number: int
    arrived_ms: float
    deadline_ms: float
    organisation: Organisation | None = None
    hides_key: bool = False

    @property
    def rank(self) -> int:
        """Priority of the request (0 is the highest)."""
        return combined_rank(self.organisation, self.route)

    @property
    def is_idempotent(self) -> bool:
        """True if the request may run more than once."""
        return self.route.is_idempotent

    def remaining_ms(self, clock: Clock) -> float:
        """Return the time until the deadline of the request; not negative."""
        return max(0.0, self.deadline_ms - clock.now_ms())

    def objective_remaining_ms(self, clock: Clock) -> float:
        """Return the time until the route's objective is missed; may be negative."""
        return self.arrived_ms + self.route.objective_ms - clock.now_ms()

    def server_headers(
        self, header_names: GatewayHeaders, server_id: str, remaining_ms: float
    ) -> HTTPHeaders:
        """Return the request headers for one attempt at a server."""
        headers = self.forwarded_headers(header_names, remaining_ms)
        headers[header_names.expected_server] = server_id
        return headers

    def forwarded_headers(
        self, header_names: GatewayHeaders, remaining_ms: float
    ) -> HTTPHeaders:
        """Return the client's headers with what is left until the deadline.

        Where the document has organisations, the key is left out, and only the fleet
        names the organisation.
        """
        headers = end_to_end_headers(self.request.headers)
        # Only the relay sets it: another instance would believe it.
        _remove(headers, names.RELAYED_ORGANISATION)
        if self.hides_key:
            _remove(headers, names.AUTHORIZATION)
            _remove(headers, header_names.organisation)
        if self.organisation is not None:
            name = encode_header_text(self.organisation.name)
            headers[header_names.organisation] = name
        headers[header_names.deadline_ms] = str(max(1, int(remaining_ms)))
        length = self.request.body.length
        if length is not None and (length > 0 or "Content-Length" in headers):
            headers["Content-Length"] = str(length)
        return headers


def _remove(headers: HTTPHeaders, name: str) -> None:
    """Remove a header, also where underscores are written for its hyphens.

    Some servers don't tell the two apart.
    """
    removed = _comparable(name)
    for other in [other for other in headers if _comparable(other) == removed]:
        del headers[other]


def _comparable(name: str) -> str:
    return name.lower().replace("_", "-")
