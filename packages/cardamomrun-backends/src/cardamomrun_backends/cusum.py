"""CUSUM (Page's test) over the outcomes of attempts at one backend server.

Each failure domain that observes the server has a statistic of its own.
"""

import math
from dataclasses import dataclass, field

from cardamomrun_backends.profiles import DetectionSettings, OutcomeRates

__all__ = [
    "AttemptCounts",
    "DecayingCounts",
    "DomainStatistic",
    "LogLikelihoodRatios",
    "log_likelihood_ratios",
]

# Keeps the logarithms finite when nearly every attempt of a service fails.
MAX_TYPICAL_RATIO = 0.98
# Statistics decay, so that failures hours apart do not add up.
DECAY_HALF_LIFE_MS = 60_000


@dataclass
class AttemptCounts:
    """Attempts at one server by outcome; an unreachable server is a weighted failure."""

    good: float = 0.0
    failed: float = 0.0
    slow: float = 0.0

    @property
    def total(self) -> float:
        """All attempts."""
        return self.good + self.failed + self.slow

    def add(self, other: "AttemptCounts", factor: float = 1.0) -> None:
        """Add other counts, times a factor."""
        self.good += factor * other.good
        self.failed += factor * other.failed
        self.slow += factor * other.slow

    def scale(self, factor: float) -> None:
        """Multiply all counts."""
        self.good *= factor
        self.failed *= factor
        self.slow *= factor

    def failed_ratio(self) -> float:
        """Return the share of failed attempts."""
        return self.failed / self.total if self.total else 0.0

    def slow_ratio(self) -> float:
        """Return the share of slow attempts among the answered ones."""
        answered = self.good + self.slow
        return self.slow / answered if answered else 0.0


@dataclass
class DecayingCounts:
    """Attempt counts that decay exponentially with the half-life `half_life_ms`."""

    half_life_ms: float
    counts: AttemptCounts = field(default_factory=AttemptCounts)
    _updated_ms: float = 0.0

    def add(self, now_ms: float, counts: AttemptCounts) -> None:
        """Decay the counts up to `now_ms`, then add new ones."""
        self.decay(now_ms)
        self.counts.add(counts)

    def decay(self, now_ms: float) -> AttemptCounts:
        """Decay the counts up to `now_ms` and return them."""
        self.counts.scale(0.5 ** ((now_ms - self._updated_ms) / self.half_life_ms))
        self._updated_ms = now_ms
        return self.counts


@dataclass(frozen=True)
class LogLikelihoodRatios:
    """Log-likelihood ratios that one bad and one good outcome add to a statistic."""

    bad: float
    good: float


def log_likelihood_ratios(
    rates: OutcomeRates, typical_ratio: float
) -> LogLikelihoodRatios:
    """Return the log-likelihood ratios of an unhealthy server to a typical one.

    `typical_ratio` is the share of bad outcomes at the service's typical server.

    >>> rates = OutcomeRates(0.005, 0.10, 6.0)
    >>> ratios = log_likelihood_ratios(rates, 0.0)
    >>> [round(value, 2) for value in (ratios.bad, ratios.good)]
    [3.0, -0.1]
    >>> round(log_likelihood_ratios(rates, 0.5).bad, 2)
    0.54
    """
    typical = min(MAX_TYPICAL_RATIO, max(rates.typical_floor_ratio, typical_ratio))
    odds = rates.unhealthy_odds_factor * typical / (1 - typical)
    unhealthy = max(rates.unhealthy_ratio, odds / (1 + odds))
    return LogLikelihoodRatios(
        math.log(unhealthy / typical), math.log((1 - unhealthy) / (1 - typical))
    )


class DomainStatistic:
    """CUSUM of the failures and CUSUM of the slowness that one failure domain observes.

    The two have separate sums, since a gray failure often shows only as slowness, and
    many fast answers must not hide failures or the reverse. Each sum is between 0 and
    the profile's threshold.
    """

    def __init__(self, profile: DetectionSettings) -> None:
        self._max_sum = profile.threshold
        self.failures = 0.0
        self.slowness = 0.0
        self._updated_ms: float | None = None
        self.last_traffic_ms = float("-inf")

    def add(
        self,
        now_ms: float,
        counts: AttemptCounts,
        failures: LogLikelihoodRatios,
        slowness: LogLikelihoodRatios,
    ) -> None:
        """Add the outcomes of one interval."""
        self.decay(now_ms)
        self.last_traffic_ms = now_ms
        answered = counts.good + counts.slow
        failure_sum = counts.failed * failures.bad + answered * failures.good
        slow_sum = counts.slow * slowness.bad + counts.good * slowness.good
        self.failures = self._clamp(self.failures + failure_sum)
        self.slowness = self._clamp(self.slowness + slow_sum)

    def decay(self, now_ms: float) -> None:
        """Decay the sums up to `now_ms`."""
        if self._updated_ms is not None and (self.failures or self.slowness):
            factor = 0.5 ** ((now_ms - self._updated_ms) / DECAY_HALF_LIFE_MS)
            self.failures *= factor
            self.slowness *= factor
        self._updated_ms = now_ms

    def reset(self) -> None:
        """Set both sums to 0."""
        self.failures = 0.0
        self.slowness = 0.0

    def _clamp(self, value: float) -> float:
        return min(self._max_sum, max(0.0, value))
