"""A request with its route and deadline, and the response times of routes."""

from dataclasses import dataclass

from tornado.httputil import HTTPHeaders

from cardamomrun_base.clock import Clock
from cardamomrun_base.headers import GatewayHeaders
from cardamomrun_base.routing_document import Organisation, RoutingRoute
from cardamomrun_requests.framing import end_to_end_headers
from cardamomrun_requests.request import ClientRequest

__all__ = ["RouteTimes", "RoutedRequest"]

# Weight of a new response time in the running mean of a route.
MEAN_WEIGHT = 0.05
# Share of a route's objective that is assumed as its mean until it has responses.
FIRST_MEAN_RATIO = 0.3
# Response times vary by a factor of about two; at this multiple of the mean an attempt
# is overdue.
OVERDUE_FACTOR = 3.0


class RouteTimes:
    """Running means of the response times of routes, in ms."""

    def __init__(self) -> None:
        self._means_ms: dict[str, float] = {}

    def expected_ms(self, route: RoutingRoute) -> float:
        """Return the mean response time of a route; an assumed one before the first."""
        mean_ms = self._means_ms.get(route.name)
        return route.objective_ms * FIRST_MEAN_RATIO if mean_ms is None else mean_ms

    def overdue_ms(self, route: RoutingRoute) -> float:
        """Return the age from which an attempt on a route is overdue."""
        return self.expected_ms(route) * OVERDUE_FACTOR

    def record(self, route: RoutingRoute, duration_ms: float) -> None:
        """Add the duration of a successful attempt to the mean."""
        mean_ms = self.expected_ms(route)
        mean_ms += MEAN_WEIGHT * (duration_ms - mean_ms)
        self._means_ms[route.name] = mean_ms


@dataclass(frozen=True)
class RoutedRequest:
    """What all attempts of a request share; times are of the local clock, in ms."""

    request: ClientRequest
    route: RoutingRoute
    service: str
    document_number: int
    arrived_ms: float
    deadline_ms: float
    organisation: Organisation | None = None

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
        """Return the client's headers with what is left until the deadline."""
        headers = end_to_end_headers(self.request.headers)
        headers[header_names.deadline_ms] = str(max(1, int(remaining_ms)))
        length = self.request.body.length
        if length is not None and (length > 0 or "Content-Length" in headers):
            headers["Content-Length"] = str(length)
        return headers
