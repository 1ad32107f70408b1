"""Health of a backend server, derived from the attempts of all instances.

One instance sends few requests to one server, so all instances apply the same rules to
the same pooled results. A single reset makes a server suspected: it usually resets the
next requests too, and a request that must not be retried is lost with it.
"""

from dataclasses import dataclass, field
from enum import IntEnum

__all__ = [
    "CONNECT_FAILURES",
    "RESPONSE_ENDS",
    "TRIAL_FIRST_MS",
    "AttemptEnd",
    "ServerHealth",
]

# One error response is ordinary; two with at most one good response between are not.
SUSPICION_WEIGHT = 1.5
# Share of the failure weight that is left after a good response.
GOOD_DECAY_RATIO = 0.5
# A faulty server still serves some requests: at a failure rate of three in four, two
# trials in a row succeed in one of 16 cases, four in one of 256.
SUCCESSES_TO_TRUST = 4
# Half-life of the weight of a success or failure.
HALF_LIFE_MS = 2_000.0
# First pause before a suspected server gets a trial, and its growth with each failed
# trial. A suspicion lasts for seconds, and each failed trial costs a second attempt.
TRIAL_FIRST_MS = 1_000.0
TRIAL_GROWTH_FACTOR = 1.5
TRIAL_MAX_MS = 3_000.0
# A server that refused a request as too busy gets others only if no other server is
# free for this long; the time grows while it goes on refusing.
SHED_FIRST_MS = 500.0
SHED_GROWTH_FACTOR = 2.0
SHED_MAX_MS = 4_000.0


class AttemptEnd(IntEnum):
    """How an attempt at a backend server ended; the values are sent to peers.

    `RESET` is a connection closed at once, `BROKEN_OFF` one that was closed after the
    server had accepted the request, or a response that is not valid.
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
# may have lost its own path, so it takes several of them to make the server suspected.
FAILURE_WEIGHTS = {
    AttemptEnd.RESET: 2.0,
    AttemptEnd.BROKEN_OFF: 1.0,
    AttemptEnd.ERROR: 1.0,
    AttemptEnd.OVERDUE: 0.8,
    AttemptEnd.REFUSED: 2.0,
    AttemptEnd.UNREACHABLE: 0.5,
}
# Ends that may show a lost path of one instance only.
CONNECT_FAILURES = frozenset((AttemptEnd.REFUSED, AttemptEnd.UNREACHABLE))
# Ends that show that the server's process runs.
RESPONSE_ENDS = frozenset((AttemptEnd.GOOD, AttemptEnd.ERROR, AttemptEnd.SHED))


@dataclass
class ServerHealth:
    """Health of one incarnation of a server; times are of the local clock, in ms.

    `last_accepted_ms` is the latest time at which it is known to accept requests,
    `last_responded_ms` the start of the latest attempt that got a response.
    `unreached_by` are the instances whose failed connections count against it.
    """

    failure_weight: float = 0.0
    suspected_since_ms: float | None = None
    is_suspected_unreachable: bool = False
    unreached_by: set[int] = field(default_factory=set)
    trial_due_ms: float = 0.0
    trial_pause_ms: float = TRIAL_FIRST_MS
    good_streak: int = 0
    last_accepted_ms: float = float("-inf")
    last_responded_ms: float = float("-inf")
    recent_good: float = 0.0
    recent_failed: float = 0.0
    recent_ms: float = 0.0
    shed_until_ms: float = float("-inf")
    shed_pause_ms: float = 0.0

    @property
    def is_suspected(self) -> bool:
        """True while the server gets only trial requests."""
        return self.suspected_since_ms is not None

    @property
    def has_evidence(self) -> bool:
        """True once an attempt counted for or against the server or was accepted."""
        return self.last_accepted_ms > float("-inf") or self.recent_ms > 0.0

    def record_end(
        self,
        end: AttemptEnd,
        started_ms: float,
        ended_ms: float,
        instance_tag: int = 0,
    ) -> bool:
        """Record how an attempt ended; return True if suspicion began or ended.

        `instance_tag` identifies the instance that made it.
        """
        if end in CONNECT_FAILURES:
            self.unreached_by.add(instance_tag)
        if end in RESPONSE_ENDS:
            self.last_responded_ms = max(self.last_responded_ms, started_ms)
        if end is AttemptEnd.SHED:
            self._record_shed(started_ms, ended_ms)
        weight = FAILURE_WEIGHTS.get(end)
        if end is AttemptEnd.GOOD:
            self._add_recent(1.0, 0.0, ended_ms)
            return self._record_success(started_ms, ended_ms)
        if weight is None:
            return False
        self._add_recent(0.0, 1.0, ended_ms)
        has_begun = self._record_failure(weight, started_ms, ended_ms)
        if has_begun:
            self.is_suspected_unreachable = end in CONNECT_FAILURES
        return has_begun

    def retract_connect_failure(self, instance_tag: int) -> bool:
        """Withdraw the failed connections of an instance that lost its paths.

        Returns True if that ended the suspicion.
        """
        if instance_tag not in self.unreached_by:
            return False
        self.unreached_by.discard(instance_tag)
        if self.unreached_by:
            return False
        self.recent_failed = max(0.0, self.recent_failed - 1.0)
        if self.suspected_since_ms is None:
            self.failure_weight = 0.0
            return False
        if not self.is_suspected_unreachable:
            return False
        self.suspected_since_ms = None
        self.trial_pause_ms = TRIAL_FIRST_MS
        self.failure_weight = 0.0
        return True

    def record_accepted(self, started_ms: float) -> None:
        """Record that the server accepted an attempt begun at `started_ms`."""
        self.last_accepted_ms = max(self.last_accepted_ms, started_ms)

    def is_shedding(self, now_ms: float, spread_ratio: float = 0.0) -> bool:
        """Return True for a while after the server refused a request as too busy.

        `spread_ratio` makes it longer by this share, so that instances do not all
        return to the server at the same moment.
        """
        return now_ms < self.shed_until_ms + spread_ratio * self.shed_pause_ms

    def suspected_for_ms(self, now_ms: float) -> float:
        """Return for how long the server has been suspected; 0 if it is not."""
        if self.suspected_since_ms is None:
            return 0.0
        return now_ms - self.suspected_since_ms

    def success_ratio(self, now_ms: float) -> float:
        """Return the expected share of successful attempts, by recent results."""
        decay = self._decay_factor(now_ms)
        good, failed = self.recent_good * decay, self.recent_failed * decay
        return (good + 1.0) / (good + failed + 1.0)

    def _record_shed(self, started_ms: float, ended_ms: float) -> None:
        if started_ms < self.shed_until_ms:
            # Sent before the first refusal was known, or since no other was free.
            self.shed_until_ms = max(self.shed_until_ms, ended_ms + self.shed_pause_ms)
            return
        # Instances return to the server during one more pause.
        is_again = started_ms - self.shed_until_ms < 2 * self.shed_pause_ms
        pause_ms = self.shed_pause_ms * SHED_GROWTH_FACTOR if is_again else 0.0
        self.shed_pause_ms = min(SHED_MAX_MS, max(SHED_FIRST_MS, pause_ms))
        self.shed_until_ms = ended_ms + self.shed_pause_ms

    def _add_recent(self, good: float, failed: float, at_ms: float) -> None:
        decay = self._decay_factor(at_ms)
        self.recent_good = self.recent_good * decay + good
        self.recent_failed = self.recent_failed * decay + failed
        self.recent_ms = max(self.recent_ms, at_ms)

    def _decay_factor(self, now_ms: float) -> float:
        return 0.5 ** (max(0.0, now_ms - self.recent_ms) / HALF_LIFE_MS)

    def _record_success(self, started_ms: float, ended_ms: float) -> bool:
        self.last_accepted_ms = max(self.last_accepted_ms, ended_ms)
        self.failure_weight *= GOOD_DECAY_RATIO
        self.unreached_by.clear()
        # An attempt begun before the suspicion is no evidence about the time after.
        if self.suspected_since_ms is None or started_ms < self.suspected_since_ms:
            return False
        self.good_streak += 1
        self.trial_due_ms = ended_ms
        if self.good_streak < SUCCESSES_TO_TRUST:
            return False
        self.suspected_since_ms = None
        self.trial_pause_ms = TRIAL_FIRST_MS
        self.failure_weight = 0.0
        return True

    def _record_failure(
        self, weight: float, started_ms: float, ended_ms: float
    ) -> bool:
        if self.suspected_since_ms is not None:
            if started_ms >= self.suspected_since_ms:
                self._delay_next_trial(ended_ms)
            return False
        self.failure_weight += weight
        if self.failure_weight < SUSPICION_WEIGHT:
            return False
        self.suspected_since_ms = ended_ms
        self.good_streak = 0
        self.trial_due_ms = ended_ms + self.trial_pause_ms
        return True

    def _delay_next_trial(self, ended_ms: float) -> None:
        self.good_streak = 0
        self.trial_pause_ms = min(
            TRIAL_MAX_MS, self.trial_pause_ms * TRIAL_GROWTH_FACTOR
        )
        self.trial_due_ms = max(self.trial_due_ms, ended_ms + self.trial_pause_ms)
