"""The budget of further attempts, which all instances share."""

from collections import deque
from dataclasses import replace

from cardamomrun_base.clock import Clock
from cardamomrun_base.settings import GatewaySettings

__all__ = ["RetryBudget"]

# Instances hear of each other's attempts late and lose some reports, so each leaves
# this share of the budget unused.
RESERVE_RATIO = 0.25
BUCKET_COUNT = 10


class RetryBudget:
    """Counts requests and further attempts of the fleet in a sliding window."""

    def __init__(self, settings: GatewaySettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._windows: dict[int, _Window] = {}

    def use(self, settings: GatewaySettings) -> None:
        """Replace the ratio and slack; the window stays as it is until a restart."""
        self._settings = replace(
            settings, retry_window_ms=self._settings.retry_window_ms
        )

    def may_repeat(self, service_key: int) -> bool:
        """Return True if one more attempt at a service fits the budget."""
        window = self._windows.get(service_key)
        if window is None:
            return True
        requests, extras = window.sums(self._clock.now_ms())
        settings = self._settings
        allowed = settings.retry_ratio * requests + settings.retry_slack_count
        return extras + 1 <= allowed * (1 - RESERVE_RATIO)

    def count(self, service_key: int, requests: int, extras: int) -> None:
        """Count requests for a service and further attempts."""
        window = self._windows.get(service_key)
        if window is None:
            bucket_ms = self._settings.retry_window_ms / BUCKET_COUNT
            window = self._windows[service_key] = _Window(bucket_ms)
        window.add(self._clock.now_ms(), requests, extras)


class _Window:
    """Sums over the last `BUCKET_COUNT` buckets."""

    def __init__(self, bucket_ms: float) -> None:
        self._bucket_ms = bucket_ms
        self._buckets: deque[list[float]] = deque()

    def add(self, now_ms: float, requests: int, extras: int) -> None:
        """Count in the bucket of now."""
        self._drop(now_ms)
        start_ms = now_ms - now_ms % self._bucket_ms
        if not self._buckets or self._buckets[-1][0] != start_ms:
            self._buckets.append([start_ms, 0, 0])
        self._buckets[-1][1] += requests
        self._buckets[-1][2] += extras

    def sums(self, now_ms: float) -> tuple[float, float]:
        """Return the requests and further attempts of the window."""
        self._drop(now_ms)
        return sum(b[1] for b in self._buckets), sum(b[2] for b in self._buckets)

    def _drop(self, now_ms: float) -> None:
        oldest_ms = now_ms - self._bucket_ms * BUCKET_COUNT
        while self._buckets and self._buckets[0][0] <= oldest_ms:
            self._buckets.popleft()
