"""The budget of further attempts, which all instances share."""

from collections import deque
from dataclasses import replace

from cardamomrun_base.clock import Clock
from cardamomrun_base.settings import GatewaySettings

__all__ = ["RetryBudget"]

# Counts of other instances arrive up to this much late: 300 ms until they are reported,
# 250 ms and a pause of 300 ms on the way. What they spend in this time is not known yet.
NEWS_MS = 1_000.0
# Lost datagrams make a count late by another quarter of a second; this share covers it.
RESERVE_RATIO = 0.05
# Each other instance may spend one attempt before it is heard that nothing is left. The
# share bounds what that takes from a small budget of a large fleet.
UNHEARD_RATIO = 0.2
BUCKET_COUNT = 10


class RetryBudget:
    """Counts requests and further attempts of the fleet in a sliding window.

    `instance_count` is how many instances share the budget.
    """

    def __init__(self, settings: GatewaySettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self.instance_count = 1
        self._windows: dict[int, _Window] = {}

    def use(self, settings: GatewaySettings) -> None:
        """Replace the ratio and slack; the window stays as it is until a restart."""
        self._settings = replace(
            settings, retry_window_ms=self._settings.retry_window_ms
        )

    def may_repeat(self, service_key: int) -> bool:
        """Return True if one more attempt at a service fits the budget.

        Others are taken to spend as much until they are heard as they did lately, or
        each as much as this instance did.
        """
        window = self._windows.get(service_key)
        if window is None:
            return True
        now_ms = self._clock.now_ms()
        requests, extras = window.sums(now_ms)
        heard, own = window.late_extras(now_ms)
        extras += max(heard, own * (self.instance_count - 1))
        settings = self._settings
        allowed = settings.retry_ratio * requests + settings.retry_slack_count
        unheard = min(self.instance_count - 1, UNHEARD_RATIO * allowed)
        return extras + 1 <= allowed * (1 - RESERVE_RATIO) - unheard

    def count(
        self, service_key: int, requests: int, extras: int, *, is_own: bool = True
    ) -> None:
        """Count requests for a service and further attempts."""
        window = self._windows.get(service_key)
        if window is None:
            bucket_ms = self._settings.retry_window_ms / BUCKET_COUNT
            window = self._windows[service_key] = _Window(bucket_ms)
        window.add(self._clock.now_ms(), requests, extras, is_own=is_own)


class _Window:
    """Sums over the last `BUCKET_COUNT` buckets."""

    def __init__(self, bucket_ms: float) -> None:
        self._bucket_ms = bucket_ms
        self._buckets: deque[list[float]] = deque()
        self._late: deque[tuple[float, int, bool]] = deque()

    def add(self, now_ms: float, requests: int, extras: int, *, is_own: bool) -> None:
        """Count in the bucket of now."""
        self._drop(now_ms)
        if extras:
            self._late.append((now_ms, extras, is_own))
        start_ms = now_ms - now_ms % self._bucket_ms
        if not self._buckets or self._buckets[-1][0] != start_ms:
            self._buckets.append([start_ms, 0, 0])
        self._buckets[-1][1] += requests
        self._buckets[-1][2] += extras

    def sums(self, now_ms: float) -> tuple[float, float]:
        """Return the requests and further attempts of the window."""
        self._drop(now_ms)
        return sum(b[1] for b in self._buckets), sum(b[2] for b in self._buckets)

    def late_extras(self, now_ms: float) -> tuple[int, int]:
        """Return what was heard of others lately, and what was spent here."""
        while self._late and self._late[0][0] <= now_ms - NEWS_MS:
            self._late.popleft()
        heard = sum(extras for _, extras, is_own in self._late if not is_own)
        own = sum(extras for _, extras, is_own in self._late if is_own)
        return heard, own

    def _drop(self, now_ms: float) -> None:
        oldest_ms = now_ms - self._bucket_ms * BUCKET_COUNT
        while self._buckets and self._buckets[0][0] <= oldest_ms:
            self._buckets.popleft()
