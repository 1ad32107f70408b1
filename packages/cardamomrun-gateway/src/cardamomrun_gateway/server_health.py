"""Whether a backend server is to be trusted, judged by the results of all instances.

An instance sees few requests of one server, so all instances judge the same pooled
results by the same rules. One reset is enough for doubt: a server that resets one
request usually resets the next ones, and a request that may run once is lost by it.
"""

from dataclasses import dataclass
from enum import IntEnum

__all__ = ["TRIAL_FIRST_MS", "AttemptEnd", "ServerHealth"]

# A single error answer is ordinary; two with at most one good answer between are not.
DOUBT_WEIGHT = 1.5
# Share of the weight of earlier failures that is left after a good answer.
GOOD_DECAY_RATIO = 0.5
# A sick server still answers some requests: of one that fails three in four, two in a row
# are good after one trial in sixteen, and four after one in 256.
GOODS_TO_TRUST = 4
# Half of the weight of an answer or failure is gone after this time.
MEMORY_MS = 2_000.0
# First pause before a doubted server gets a trial, and its growth with each failed
# trial. Doubts last for seconds, and each failed trial costs a second attempt.
TRIAL_FIRST_MS = 1_000.0
TRIAL_GROWTH_FACTOR = 1.5
TRIAL_MAX_MS = 3_000.0


class AttemptEnd(IntEnum):
    """How an attempt at a backend server ended; the numbers are sent to peers.

    `RESET` came at once, `BROKEN_OFF` after the server had accepted the request.
    """

    NO_EVIDENCE = 0
    GOOD = 1
    RESET = 2
    ERROR = 3
    OVERDUE = 4
    REFUSED = 5
    UNREACHABLE = 6
    SHED = 7
    BROKEN_OFF = 8


# How much an end counts against the server. An instance that cannot reach a server
# may have lost its own path, so it takes several of them to put the server in doubt.
FAILURE_WEIGHTS = {
    AttemptEnd.RESET: 2.0,
    AttemptEnd.BROKEN_OFF: 1.0,
    AttemptEnd.ERROR: 1.0,
    AttemptEnd.OVERDUE: 0.8,
    AttemptEnd.REFUSED: 2.0,
    AttemptEnd.UNREACHABLE: 0.5,
}


@dataclass
class ServerHealth:
    """The judgement of one incarnation of a server; times are local, in ms."""

    failure_weight: float = 0.0
    doubted_since_ms: float | None = None
    trial_due_ms: float = 0.0
    trial_pause_ms: float = TRIAL_FIRST_MS
    good_streak: int = 0
    proven_ms: float = float("-inf")
    recent_good: float = 0.0
    recent_failed: float = 0.0
    recent_ms: float = 0.0

    @property
    def is_doubted(self) -> bool:
        """True while the server gets trials only."""
        return self.doubted_since_ms is not None

    @property
    def has_evidence(self) -> bool:
        """True once any attempt at the server was judged or seen to be accepted."""
        return self.proven_ms > float("-inf") or self.recent_ms > 0.0

    def note(self, end: AttemptEnd, started_ms: float, ended_ms: float) -> bool:
        """Judge the end of an attempt; return True if doubt began or ended."""
        weight = FAILURE_WEIGHTS.get(end)
        if end is AttemptEnd.GOOD:
            self._remember(1.0, 0.0, ended_ms)
            return self._good(started_ms, ended_ms)
        if weight is None:
            return False
        self._remember(0.0, 1.0, ended_ms)
        return self._failed(weight, started_ms, ended_ms)

    def survived(self, started_ms: float) -> None:
        """Note that an attempt begun at `started_ms` was accepted by the server."""
        self.proven_ms = max(self.proven_ms, started_ms)

    def doubt_age_ms(self, now_ms: float) -> float:
        """Return for how long the server has been in doubt; 0 if it is not."""
        if self.doubted_since_ms is None:
            return 0.0
        return now_ms - self.doubted_since_ms

    def success_ratio(self, now_ms: float) -> float:
        """Return the share of attempts that may be expected to succeed."""
        left = self._memory_left(now_ms)
        good, failed = self.recent_good * left, self.recent_failed * left
        return (good + 1.0) / (good + failed + 1.0)

    def _remember(self, good: float, failed: float, at_ms: float) -> None:
        left = self._memory_left(at_ms)
        self.recent_good = self.recent_good * left + good
        self.recent_failed = self.recent_failed * left + failed
        self.recent_ms = max(self.recent_ms, at_ms)

    def _memory_left(self, now_ms: float) -> float:
        return 0.5 ** (max(0.0, now_ms - self.recent_ms) / MEMORY_MS)

    def _good(self, started_ms: float, ended_ms: float) -> bool:
        self.proven_ms = max(self.proven_ms, ended_ms)
        self.failure_weight *= GOOD_DECAY_RATIO
        # An attempt from before the doubt says nothing about the time after.
        if self.doubted_since_ms is None or started_ms < self.doubted_since_ms:
            return False
        self.good_streak += 1
        self.trial_due_ms = ended_ms
        if self.good_streak < GOODS_TO_TRUST:
            return False
        self.doubted_since_ms = None
        self.trial_pause_ms = TRIAL_FIRST_MS
        self.failure_weight = 0.0
        return True

    def _failed(self, weight: float, started_ms: float, ended_ms: float) -> bool:
        if self.doubted_since_ms is not None:
            if started_ms >= self.doubted_since_ms:
                self._trial_failed(ended_ms)
            return False
        self.failure_weight += weight
        if self.failure_weight < DOUBT_WEIGHT:
            return False
        self.doubted_since_ms = ended_ms
        self.good_streak = 0
        self.trial_due_ms = ended_ms + self.trial_pause_ms
        return True

    def _trial_failed(self, ended_ms: float) -> None:
        self.good_streak = 0
        self.trial_pause_ms = min(
            TRIAL_MAX_MS, self.trial_pause_ms * TRIAL_GROWTH_FACTOR
        )
        self.trial_due_ms = max(self.trial_due_ms, ended_ms + self.trial_pause_ms)
