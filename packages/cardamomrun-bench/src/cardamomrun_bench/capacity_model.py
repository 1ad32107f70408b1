"""The target sizes and what the measured slopes say about them."""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from cardamomrun_bench.capacity_fit import Series
from cardamomrun_bench.capacity_world import filler_bytes

__all__ = ["Estimate", "Slopes", "Target"]


@dataclass(frozen=True)
class Target:
    """Sizes and budgets of section 2 of `docs/design.md`; the rest is assumed here."""

    nodes: int = 420
    servers: int = 3_700
    services: int = 110
    requests_per_s: float = 45_000.0
    routes: int = 6_500
    customers: int = 28_000
    changes_a_day: int = 290
    failures_a_day: int = 20
    restarts_a_day: int = 480
    cpu_ms_per_s: float = 16.0
    memory_bytes: float = 128e6
    bytes_per_s: float = 6_000.0
    in_force_ms: float = 4_000.0
    added_ms: float = 4.6
    control_instances: int = 8
    # Assumptions: one request in ten carries a key (section 4.5), a backend server is
    # restarted once a day, and one service in twenty has an ejection at a time.
    keyed_ratio: float = 0.1
    server_restarts_a_day: float = 1.0
    ejecting_ratio: float = 0.05
    domains: int = 4
    rack_nodes: int = 20

    @property
    def requests_per_node(self) -> float:
        """Requests a second of one entry instance."""
        return self.requests_per_s / self.nodes

    @property
    def claims_per_node(self) -> float:
        """Claims a second that one entry instance makes."""
        return self.requests_per_node * self.keyed_ratio

    @property
    def claims_held(self) -> float:
        """Claims that one keeper holds: 3 keepers each, for 10 minutes."""
        return self.claims_per_node * 3 * 600

    @property
    def routes_per_service(self) -> float:
        """Routes of an average document."""
        return self.routes / self.services

    @property
    def servers_per_service(self) -> float:
        """Backend servers of an average service."""
        return self.servers / self.services

    @property
    def records(self) -> int:
        """Members and backend servers together."""
        return self.nodes + self.servers

    def servers_seen(self, interval_s: float) -> float:
        """Return how many of 12 servers a service an instance meets in an interval."""
        subset = min(12.0, self.servers_per_service) * self.services
        requests = self.requests_per_node * interval_s
        return subset * (1 - math.exp(-requests / subset))


@dataclass(frozen=True)
class Estimate:
    """A figure at the target with the error and the source of its slopes."""

    value: float
    error: float
    slopes: tuple[str, ...]
    ranges: tuple[str, ...] = ()

    def times(self, factor: float) -> "Estimate":
        """Return the figure and its error multiplied."""
        return Estimate(
            self.value * factor, self.error * abs(factor), self.slopes, self.ranges
        )

    def plus(self, other: "Estimate") -> "Estimate":
        """Return the sum; errors are independent."""
        return Estimate(
            self.value + other.value,
            math.hypot(self.error, other.error),
            tuple(dict.fromkeys(self.slopes + other.slopes)),
            tuple(dict.fromkeys(self.ranges + other.ranges)),
        )


class Slopes:
    """All measured series by name, with the command that measured each."""

    def __init__(self, results: Iterable[dict[str, Any]]) -> None:
        self.series: dict[str, Series] = {}
        self.results: dict[str, dict[str, Any]] = {}
        for result in results:
            for value in result["series"]:
                series = Series.from_json(value)
                self.series[series.name] = series
                self.results[series.name] = result

    def at(self, name: str, x: float) -> Estimate:
        """Return the value of a line, with its intercept."""
        fit = self.series[name].fit
        return Estimate(fit.at(x), fit.error_at(x), (name,), self._range(name, x))

    def per(self, name: str, count: float = 1.0) -> Estimate:
        """Return the slope of a line times a count, without the intercept."""
        fit = self.series[name].fit
        ranges = self._range(name, count) if count != 1.0 else ()
        return Estimate(fit.slope * count, fit.slope_error * count, (name,), ranges)

    def level(self, name: str, x: float) -> Estimate:
        """Return the mean of the points from the half of the range up.

        For figures that level off because the overlay has a bounded degree. The error
        is half the distance between the lowest and highest of these points.
        """
        series = self.series[name]
        top = max(point[0] for point in series.points)
        values = [y for x, y in series.points if x >= top / 3]
        error = (max(values) - min(values)) / 2
        mean = sum(values) / len(values)
        return Estimate(mean, error, (name,), self._range(name, x))

    def flood(self, meter: str, size: float, nodes: float) -> Estimate:
        """Return the cost of a changed record of `size` bytes, a node.

        The line goes through the levels of the measured record sizes.
        """
        names = [
            name
            for name in self.series
            if name.startswith("flood.") and name.endswith(f".{meter}")
            and name.split(".")[1].isdigit()
        ]  # fmt: skip
        sizes = [float(filler_bytes(int(name.split(".")[1]))) for name in names]
        levels = [self.level(name, nodes) for name in names]
        points = tuple((x, level.value) for x, level in zip(sizes, levels, strict=True))
        fit = Series("flood", "bytes", "", points).fit
        spread = max(one.error / one.value for one in levels)
        error = math.hypot(fit.error_at(size), spread * fit.at(size))
        ranges = tuple(dict.fromkeys(r for one in levels for r in one.ranges))
        if fit.is_extrapolated(size):
            ranges += (f"{size:.0f} from {fit.lowest:.0f}-{fit.highest:.0f} bytes",)
        return Estimate(fit.at(size), error, (f"flood.*.{meter}",), ranges)

    def source(self, name: str) -> dict[str, Any]:
        """Return the result file's content for a series; `*` stands for any size."""
        if "*" in name:
            meter = name.rsplit(".", 1)[1]
            name = next(
                one
                for one in self.series
                if one.startswith("flood.") and one.endswith(f".{meter}")
            )
        return self.results[name]

    def _range(self, name: str, x: float) -> tuple[str, ...]:
        series = self.series[name]
        fit = series.fit
        if not fit.is_extrapolated(x):
            return ()
        return (f"{x:,.0f} from {fit.lowest:,.0f}-{fit.highest:,.0f} {series.x}",)
