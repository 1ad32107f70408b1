"""A request with the route and deadline that were resolved for it."""

from dataclasses import dataclass

from tornado.httputil import HTTPHeaders

from cardamomrun_base.clock import Clock
from cardamomrun_base.headers import GatewayHeaders
from cardamomrun_base.routing_document import RoutingRoute
from cardamomrun_requests.framing import end_to_end_headers
from cardamomrun_requests.request import CallerRequest

__all__ = ["RouteTimes", "RoutedRequest"]

# Weight of a new answer time in the running mean of a route.
MEAN_WEIGHT = 0.05
# Until a route has answers, it is taken to use this share of its objective.
FIRST_MEAN_RATIO = 0.3
# Answer times vary by a factor of two or so; one this far above the mean is overdue.
OVERDUE_FACTOR = 3.0


class RouteTimes:
    """Running means of the answer times of routes, in ms."""

    def __init__(self) -> None:
        self._means_ms: dict[str, float] = {}

    def usual_ms(self, route: RoutingRoute) -> float:
        """Return the usual answer time of a route."""
        held = self._means_ms.get(route.name)
        return route.objective_ms * FIRST_MEAN_RATIO if held is None else held

    def overdue_ms(self, route: RoutingRoute) -> float:
        """Return the age from which an attempt is overdue."""
        return self.usual_ms(route) * OVERDUE_FACTOR

    def note(self, route: RoutingRoute, duration_ms: float) -> None:
        """Take the time of a good answer."""
        mean_ms = self.usual_ms(route)
        mean_ms += MEAN_WEIGHT * (duration_ms - mean_ms)
        self._means_ms[route.name] = mean_ms


@dataclass(frozen=True)
class RoutedRequest:
    """What all attempts of a request have in common; times are of the own clock."""

    request: CallerRequest
    route: RoutingRoute
    service: str
    document_number: int
    arrived_ms: float
    ends_ms: float

    @property
    def is_idempotent(self) -> bool:
        """True if the request may run more than once."""
        return self.route.is_idempotent

    def left_ms(self, clock: Clock) -> float:
        """Return the time until the request is given up; not negative."""
        return max(0.0, self.ends_ms - clock.now_ms())

    def objective_left_ms(self, clock: Clock) -> float:
        """Return the time in which an answer has its full value; may be negative."""
        return self.arrived_ms + self.route.objective_ms - clock.now_ms()

    def server_headers(
        self, names: GatewayHeaders, server_id: str, left_ms: float
    ) -> HTTPHeaders:
        """Return the headers for one attempt."""
        headers = end_to_end_headers(self.request.headers)
        headers[names.deadline_ms] = str(max(1, int(left_ms)))
        headers[names.expected_server] = server_id
        length = self.request.body.length
        if length is not None and (length > 0 or "Content-Length" in headers):
            headers["Content-Length"] = str(length)
        return headers
