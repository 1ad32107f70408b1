"""The retry budget of an environment."""

from collections import deque

from cardamomrun_base.clock import Clock

__all__ = ["RetryBudget"]

WINDOW_MS = 10_000
# Below 30 requests in 10 s, a ratio of a tenth allows almost no retries, and clients of
# an environment with little traffic would see the errors of one unreachable server.
MIN_RETRY_COUNT = 3


class RetryBudget:
    """Allows retries up to a ratio of the requests of the last 10 s."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # One bucket per second limits the memory: [second, requests, retries].
        self._buckets: deque[list[int]] = deque()

    def count_request(self) -> None:
        """Count a request that may be retried later."""
        self._bucket()[1] += 1

    def try_acquire(self, ratio: float) -> bool:
        """Count a retry and return True if the budget allows it."""
        bucket = self._bucket()
        requests = sum(entry[1] for entry in self._buckets)
        retries = sum(entry[2] for entry in self._buckets)
        allowed = max(MIN_RETRY_COUNT, int(requests * ratio)) if ratio > 0 else 0
        if retries >= allowed:
            return False
        bucket[2] += 1
        return True

    def _bucket(self) -> list[int]:
        now_ms = self._clock.now_ms()
        second = int(now_ms // 1_000)
        while self._buckets and (self._buckets[0][0] + 1) * 1_000 <= now_ms - WINDOW_MS:
            self._buckets.popleft()
        if not self._buckets or self._buckets[-1][0] != second:
            self._buckets.append([second, 0, 0])
        return self._buckets[-1]
