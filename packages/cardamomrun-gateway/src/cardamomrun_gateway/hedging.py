"""Decides when a request gets a second attempt while the first one still runs.

Load that this is for: a few responses in a hundred take several times the usual time, on
servers that are otherwise well. A second server mostly responds before the first one
does. The extra work is bounded by a share of the requests that operators set.
"""

from collections.abc import Set

from cardamomrun_base.routing_document import RoutePattern, RoutingRoute
from cardamomrun_base.settings import GatewaySettings
from cardamomrun_gateway.routed_request import RouteTimes

__all__ = ["Hedging"]

# Hedges that may start at the same moment after a time with few of them. More would put
# the extra work of many seconds on the servers at once.
MAX_CREDITS = 3.0
# Change of the quantile after a response, as a share of the mean response time. A change
# of the response times is followed within some tens of responses.
STEP_RATIO = 0.1
# Below this multiple of the mean, a second attempt would start for ordinary responses
# while the quantile is still being learned.
MIN_DELAY_RATIO = 1.25
# Before the first responses, an attempt is slow at this multiple of the assumed mean.
FIRST_DELAY_RATIO = 2.0


class Hedging:
    """Learns when an attempt is slow, and limits the share of hedged requests.

    Without a `hedge_ratio` in the settings, an attempt is hedged once it is overdue, and
    only the retry budget limits that.
    """

    def __init__(self, settings: GatewaySettings, route_times: RouteTimes) -> None:
        self._ratio = settings.hedge_ratio
        self._route_times = route_times
        self._credits = MAX_CREDITS
        self._quantiles_ms: dict[RoutePattern, float] = {}

    def update_settings(self, settings: GatewaySettings) -> None:
        """Replace the share of requests that may be hedged."""
        self._ratio = settings.hedge_ratio

    def count_request(self) -> None:
        """Count a request that may be repeated; each allows a share of a hedge."""
        if self._ratio is not None:
            self._credits = min(MAX_CREDITS, self._credits + self._ratio)

    def delay_ms(self, route: RoutingRoute) -> float:
        """Return the age of an attempt from which a second one may start.

        With a `hedge_ratio`, that share of the route's attempts takes longer.
        """
        if self._ratio is None:
            return self._route_times.overdue_ms(route)
        return max(
            self._quantile_ms(route),
            self._route_times.expected_ms(route) * MIN_DELAY_RATIO,
        )

    @property
    def is_limited(self) -> bool:
        """True if operators set a share of the requests."""
        return self._ratio is not None

    @property
    def has_credit(self) -> bool:
        """True if another hedge keeps to the share of requests."""
        return self._ratio is None or (self._ratio > 0 and self._credits >= 1)

    def take(self) -> None:
        """Use up the credit for a hedge that starts."""
        if self._ratio is not None:
            self._credits -= 1

    def record(self, route: RoutingRoute, duration_ms: float) -> None:
        """Learn from an attempt that took `duration_ms`, or had run so long when hedged.

        An attempt that was cancelled for the second one must count too, or the quantile
        would be learned from the fast attempts only.
        """
        if not self._ratio:
            return
        quantile_ms = self._quantile_ms(route)
        step_ms = STEP_RATIO * self._route_times.expected_ms(route)
        if duration_ms >= quantile_ms:
            quantile_ms += step_ms * (1 - self._ratio)
        else:
            quantile_ms -= step_ms * self._ratio
        self._quantiles_ms[route.pattern] = max(0.0, quantile_ms)

    def keep_only(self, patterns: Set[RoutePattern]) -> None:
        """Forget the routes that are not among `patterns`."""
        for pattern in self._quantiles_ms.keys() - patterns:
            del self._quantiles_ms[pattern]

    def _quantile_ms(self, route: RoutingRoute) -> float:
        quantile_ms = self._quantiles_ms.get(route.pattern)
        if quantile_ms is None:
            return self._route_times.expected_ms(route) * FIRST_DELAY_RATIO
        return quantile_ms
