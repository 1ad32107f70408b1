"""What one entry instance knows about one backend server from its own requests."""

from dataclasses import dataclass

from cardamomrun_base.interfaces import AttemptResult

__all__ = ["ServerState"]

MS_PER_S = 1_000

# Local avoidance (docs/design.md, section 4.4).
CONNECT_FAILURES_TO_AVOID = 2
FAILURES_TO_AVOID = 5
FIRST_AVOIDANCE_MS = 5_000
MAX_AVOIDANCE_MS = 60_000

# Limited, since a wrong Retry-After must not take a server out of use for long.
DEFAULT_RETRY_AFTER_S = 1
MAX_RETRY_AFTER_S = 30
# A shed answer counts as one request in flight at first and decays with this half-life.
SHED_HALF_LIFE_MS = 5_000

SLOW_START_MS = 10_000
# Weight at the beginning of slow start; a server needs some work to warm its caches.
MIN_WEIGHT = 0.1


@dataclass
class ServerState:
    """Requests in flight, shed answers, avoidance and slow start of one server.

    The state is valid for the run of the server with `incarnation`. Local avoidance is
    this instance's own decision to send no work after repeated failures.
    """

    incarnation: int
    in_flight_count: int = 0
    slow_start_since_ms: float = 0.0
    avoided_since_ms: float = float("-inf")
    avoided_until_ms: float = float("-inf")
    _next_avoidance_ms: float = FIRST_AVOIDANCE_MS
    _connect_failures: int = 0
    _failures: int = 0
    _shed_count: float = 0.0
    _shed_ms: float = 0.0
    _shed_until_ms: float = float("-inf")

    def should_avoid(self, now_ms: float) -> bool:
        """Return True for a limited time after too many failures in a row."""
        return now_ms < self.avoided_until_ms

    def is_shedding(self, now_ms: float) -> bool:
        """Return True during the Retry-After time of the last shed answer."""
        return now_ms < self._shed_until_ms

    def load(self, now_ms: float) -> float:
        """Return requests in flight plus decayed shed answers."""
        age_ms = now_ms - self._shed_ms
        return self.in_flight_count + self._shed_count * 0.5 ** (
            age_ms / SHED_HALF_LIFE_MS
        )

    def weight(self, now_ms: float) -> float:
        """Return the share of work: from `MIN_WEIGHT` to 1 during slow start, then 1."""
        return min(
            1.0, max(MIN_WEIGHT, (now_ms - self.slow_start_since_ms) / SLOW_START_MS)
        )

    def restart_slow_start(self, now_ms: float) -> None:
        """Begin slow start at `now_ms`, for a server that starts or returns."""
        self.slow_start_since_ms = now_ms

    def record_shed(self, now_ms: float, retry_after_s: int | None) -> None:
        """Count a shed answer; the server is shedding for its limited Retry-After time."""
        wait_s = DEFAULT_RETRY_AFTER_S if retry_after_s is None else retry_after_s
        wait_s = min(MAX_RETRY_AFTER_S, max(0, wait_s))
        self._shed_count = self.load(now_ms) - self.in_flight_count + 1
        self._shed_ms = now_ms
        self._shed_until_ms = max(self._shed_until_ms, now_ms + wait_s * MS_PER_S)

    def record(
        self,
        now_ms: float,
        started_ms: float,
        result: AttemptResult,
        *,
        others_fail: bool = False,
    ) -> None:
        """Count the result of an attempt, and avoid the server after repeated failures.

        While the other servers of the service fail too (`others_fail`), only failed
        connections are evidence against this one.
        """
        if started_ms < self.avoided_since_ms:
            # The attempt began before the avoidance, so it is no new evidence.
            return
        if result is AttemptResult.GOOD:
            self._connect_failures = 0
            self._failures = 0
            self._next_avoidance_ms = FIRST_AVOIDANCE_MS
            return
        if result is AttemptResult.UNREACHABLE:
            self._connect_failures += 1
        elif result is not AttemptResult.FAILED:
            return
        if not others_fail:
            self._failures += 1
        if self._reached_failure_limit() and not self.should_avoid(now_ms):
            self._avoid(now_ms)

    def _reached_failure_limit(self) -> bool:
        refused = self._connect_failures >= CONNECT_FAILURES_TO_AVOID
        return refused or self._failures >= FAILURES_TO_AVOID

    def _avoid(self, now_ms: float) -> None:
        """Avoid the server; the counts stay, so one more failure renews the avoidance."""
        self.avoided_since_ms = now_ms
        self.avoided_until_ms = now_ms + self._next_avoidance_ms
        self.restart_slow_start(self.avoided_until_ms)
        self._next_avoidance_ms = min(MAX_AVOIDANCE_MS, 2 * self._next_avoidance_ms)
