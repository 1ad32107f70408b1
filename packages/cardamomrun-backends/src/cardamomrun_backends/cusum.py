"""Page's test on the outcomes at one backend server, per observing failure domain."""

import math
from dataclasses import dataclass, field

from cardamomrun_backends.profiles import JudgementProfile, OutcomeRates

__all__ = ["Counts", "DecayingCounts", "DomainStatistic", "Ratios", "log_ratios"]

# Keeps the logarithms finite when nearly every attempt of a service fails.
MAX_RATIO = 0.98
# Without traffic a statistic fades, so that failures hours apart do not add up.
FADE_HALF_LIFE_MS = 60_000


@dataclass
class Counts:
    """Attempts at one server by outcome; unreachable ones are weighted failures."""

    good: float = 0.0
    failed: float = 0.0
    slow: float = 0.0

    @property
    def total(self) -> float:
        """All attempts."""
        return self.good + self.failed + self.slow

    def add(self, other: "Counts", factor: float = 1.0) -> None:
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
    """Recent counts that halve in each `half_life_ms`."""

    half_life_ms: float
    counts: Counts = field(default_factory=Counts)
    _updated_ms: float = 0.0

    def add(self, now_ms: float, counts: Counts) -> None:
        """Add counts of now."""
        self.fade(now_ms)
        self.counts.add(counts)

    def fade(self, now_ms: float) -> Counts:
        """Return the counts as of now."""
        self.counts.scale(0.5 ** ((now_ms - self._updated_ms) / self.half_life_ms))
        self._updated_ms = now_ms
        return self.counts


@dataclass(frozen=True)
class Ratios:
    """What one bad and one good outcome add to a statistic."""

    bad: float
    good: float


def log_ratios(rates: OutcomeRates, typical_ratio: float) -> Ratios:
    """Return the log likelihood ratios of a sick server to a typical one.

    >>> rates = OutcomeRates(0.005, 0.10, 6.0)
    >>> [round(value, 2) for value in (log_ratios(rates, 0.0).bad, log_ratios(rates, 0.0).good)]
    [3.0, -0.1]
    >>> round(log_ratios(rates, 0.5).bad, 2)
    0.54
    """
    typical = min(MAX_RATIO, max(rates.typical_floor_ratio, typical_ratio))
    odds = rates.sick_odds_factor * typical / (1 - typical)
    sick = max(rates.sick_ratio, odds / (1 + odds))
    return Ratios(math.log(sick / typical), math.log((1 - sick) / (1 - typical)))


class DomainStatistic:
    """CUSUM of the failures and of the slowness that one failure domain observes.

    The two have separate sums, since a gray failure often shows only as slowness, and
    many fast answers must not hide failures or the reverse. Each is at most the
    profile's threshold.
    """

    def __init__(self, profile: JudgementProfile) -> None:
        self._limit = profile.threshold
        self.failures = 0.0
        self.slowness = 0.0
        self._updated_ms: float | None = None
        self.seen_ms = float("-inf")

    def add(
        self, now_ms: float, counts: Counts, failures: Ratios, slowness: Ratios
    ) -> None:
        """Take the outcomes of one interval."""
        self.fade(now_ms)
        self.seen_ms = now_ms
        answered = counts.good + counts.slow
        failure_sum = counts.failed * failures.bad + answered * failures.good
        slow_sum = counts.slow * slowness.bad + counts.good * slowness.good
        self.failures = self._bounded(self.failures + failure_sum)
        self.slowness = self._bounded(self.slowness + slow_sum)

    def fade(self, now_ms: float) -> None:
        """Let the sums fade up to now."""
        if self._updated_ms is not None and (self.failures or self.slowness):
            factor = 0.5 ** ((now_ms - self._updated_ms) / FADE_HALF_LIFE_MS)
            self.failures *= factor
            self.slowness *= factor
        self._updated_ms = now_ms

    def reset(self) -> None:
        """Begin anew."""
        self.failures = 0.0
        self.slowness = 0.0

    def _bounded(self, value: float) -> float:
        return min(self._limit, max(0.0, value))
