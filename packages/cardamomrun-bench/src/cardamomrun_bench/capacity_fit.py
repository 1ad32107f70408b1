"""Least-squares fits of measured points, with standard errors."""

import math
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from typing import Any

__all__ = ["Fit", "Series", "fit_line"]

Point = tuple[float, float]


@dataclass(frozen=True)
class Fit:
    """The line y = intercept + slope x.

    `slope_error` and `residual` are standard errors of the slope and of a point around
    the line. `lowest` and `highest` bound the measured range of x.
    """

    slope: float
    intercept: float
    slope_error: float
    residual: float
    lowest: float
    highest: float
    mean: float
    point_count: int

    def at(self, x: float) -> float:
        """Return the value of the line.

        >>> fit_line([(1, 3), (2, 5), (3, 7)]).at(10)
        21.0
        """
        return self.intercept + self.slope * x

    def error_at(self, x: float) -> float:
        """Return the standard error of the line's value at x, extrapolated or not."""
        mean_error = self.residual / math.sqrt(self.point_count)
        return math.hypot(mean_error, self.slope_error * (x - self.mean))

    def is_extrapolated(self, x: float) -> bool:
        """Return True if x lies outside the measured range."""
        return not self.lowest <= x <= self.highest


def fit_line(points: Sequence[Point]) -> Fit:
    """Fit a least-squares line.

    Raises `ValueError` for fewer than three points; their x must not all be equal.
    """
    if len(points) < 3:
        raise ValueError("a fit with an error needs three points or more")
    count = len(points)
    xs = [float(x) for x, _ in points]
    mean_x = sum(xs) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x in xs)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    intercept = mean_y - slope * mean_x
    squares = sum((y - intercept - slope * x) ** 2 for x, y in points)
    residual = math.sqrt(squares / (count - 2))
    return Fit(
        slope=slope,
        intercept=intercept,
        slope_error=residual / math.sqrt(spread),
        residual=residual,
        lowest=min(xs),
        highest=max(xs),
        mean=mean_x,
        point_count=count,
    )


@dataclass(frozen=True)
class Series:
    """Measured points of `y` against `x`; both name their unit."""

    name: str
    x: str
    y: str
    points: tuple[Point, ...]

    @property
    def fit(self) -> Fit:
        """The line through the points."""
        return fit_line(self.points)

    def to_json(self) -> dict[str, Any]:
        """Return points and fit as JSON-ready values."""
        return {
            "name": self.name,
            "x": self.x,
            "y": self.y,
            "points": [list(point) for point in self.points],
            "fit": asdict(self.fit),
        }

    @classmethod
    def from_json(cls, value: dict[str, Any]) -> "Series":
        """Return the series from the form of `to_json`; recomputes the fit."""
        points = tuple((x, y) for x, y in value["points"])
        return cls(value["name"], value["x"], value["y"], points)
