"""The budget of retries and hedged attempts, which all instances share."""

from collections import deque
from dataclasses import dataclass, replace

from cardamomrun_base.clock import Clock
from cardamomrun_base.settings import GatewaySettings

__all__ = ["BudgetState", "RetryBudget"]

# Counts of other instances arrive up to this late: 300 ms until they are reported, and
# 250 ms and a pause of 300 ms on the way. What they spend meanwhile is not known yet.
COUNT_DELAY_MS = 1_000.0
# Reserve for lost datagrams, which delay a count by another quarter of a second.
RESERVE_RATIO = 0.05
# Each other instance may spend one retry before its count shows that nothing is left.
# This share bounds what that takes from a small budget in a large fleet.
UNREPORTED_RATIO = 0.2
BUCKET_COUNT = 10


@dataclass(frozen=True)
class BudgetState:
    """What an instance knows of the budget of one service.

    `requests` and `retries` are those of the window; `unreported` is what other
    instances are assumed to have spent since their last counts, `limit` what all may
    spend together.
    """

    requests: float
    retries: float
    unreported: float
    limit: float

    @property
    def allows_retry(self) -> bool:
        """True if one more retry fits."""
        return self.retries + self.unreported + 1 <= self.limit


class RetryBudget:
    """Limits the retries of the whole fleet by its requests in a sliding window.

    A retry is any attempt of a request after its first. `instance_count` is how many
    instances share the budget.
    """

    def __init__(self, settings: GatewaySettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self.instance_count = 1
        self._windows: dict[int, _Window] = {}

    def update_settings(self, settings: GatewaySettings) -> None:
        """Replace the ratio and slack; the window stays as it is until a restart."""
        self._settings = replace(
            settings, retry_window_ms=self._settings.retry_window_ms
        )

    def allows_retry(self, service_key: int) -> bool:
        """Return True if one more retry of a service fits the budget."""
        return self.state(service_key).allows_retry

    def state(self, service_key: int) -> BudgetState:
        """Return what is known of the budget of a service.

        What others have spent and not reported yet is assumed to be what was received
        of them in `COUNT_DELAY_MS`, or what this instance spent for each of them.
        """
        now_ms = self._clock.now_ms()
        requests, retries, received, own = 0.0, 0.0, 0, 0
        window = self._windows.get(service_key)
        if window is not None:
            requests, retries = window.sums(now_ms)
            received, own = window.recent_retries(now_ms)
        settings = self._settings
        allowed = settings.retry_ratio * requests + settings.retry_slack_count
        reserve = min(self.instance_count - 1, UNREPORTED_RATIO * allowed)
        return BudgetState(
            requests,
            retries,
            max(received, own * (self.instance_count - 1)),
            allowed * (1 - RESERVE_RATIO) - reserve,
        )

    def count(
        self, service_key: int, requests: int, retries: int, *, is_own: bool = True
    ) -> None:
        """Count requests and retries of a service."""
        window = self._windows.get(service_key)
        if window is None:
            bucket_ms = self._settings.retry_window_ms / BUCKET_COUNT
            window = self._windows[service_key] = _Window(bucket_ms)
        window.add(self._clock.now_ms(), requests, retries, is_own=is_own)


class _Window:
    """Sums over the last `BUCKET_COUNT` buckets."""

    def __init__(self, bucket_ms: float) -> None:
        self._bucket_ms = bucket_ms
        self._buckets: deque[list[float]] = deque()
        self._recent_retries: deque[tuple[float, int, bool]] = deque()

    def add(self, now_ms: float, requests: int, retries: int, *, is_own: bool) -> None:
        """Add to the current bucket."""
        self._drop_old(now_ms)
        if retries:
            self._recent_retries.append((now_ms, retries, is_own))
        start_ms = now_ms - now_ms % self._bucket_ms
        if not self._buckets or self._buckets[-1][0] != start_ms:
            self._buckets.append([start_ms, 0, 0])
        self._buckets[-1][1] += requests
        self._buckets[-1][2] += retries

    def sums(self, now_ms: float) -> tuple[float, float]:
        """Return the requests and retries in the window."""
        self._drop_old(now_ms)
        return sum(b[1] for b in self._buckets), sum(b[2] for b in self._buckets)

    def recent_retries(self, now_ms: float) -> tuple[int, int]:
        """Return the retries of others and of this instance in `COUNT_DELAY_MS`."""
        while (
            self._recent_retries
            and self._recent_retries[0][0] <= now_ms - COUNT_DELAY_MS
        ):
            self._recent_retries.popleft()
        received = sum(
            retries for _, retries, is_own in self._recent_retries if not is_own
        )
        own = sum(retries for _, retries, is_own in self._recent_retries if is_own)
        return received, own

    def _drop_old(self, now_ms: float) -> None:
        oldest_ms = now_ms - self._bucket_ms * BUCKET_COUNT
        while self._buckets and self._buckets[0][0] <= oldest_ms:
            self._buckets.popleft()
