"""The budget of retries and hedged attempts, which all instances share.

An instance knows what it spends itself and, later, what others report. What it can't
know counts as spent: what instances that are not heard of may do, and what was spent
before this instance started.
"""

from bisect import bisect_left
from collections import deque
from collections.abc import Sequence
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
# Requests are counted in buckets; one that has partly left the window does not count.
BUCKET_COUNT = 40


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

    A retry is an attempt of a request of which a server may have received an earlier
    one. `instance_count` is how many instances share the budget.
    """

    def __init__(self, settings: GatewaySettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._started_ms = clock.now_ms()
        self.instance_count = 1
        self._silent_since_ms: Sequence[float] = ()
        self._windows: dict[int, _Window] = {}

    def update_settings(self, settings: GatewaySettings) -> None:
        """Replace the ratio and slack; the window stays as it is until a restart."""
        self._settings = replace(
            settings, retry_window_ms=self._settings.retry_window_ms
        )

    def update_instances(self, count: int, silent_since_ms: Sequence[float]) -> None:
        """Set how many instances share the budget, and since when some are silent.

        Unreachable instances share it too: they may be on the other side of a cut.
        """
        self.instance_count = count
        self._silent_since_ms = sorted(silent_since_ms)

    def allows_retry(self, service_key: int) -> bool:
        """Return True if one more retry of a service fits the budget."""
        return self.state(service_key).allows_retry

    def state(self, service_key: int) -> BudgetState:
        """Return what is known of the budget of a service.

        What others have spent and not reported yet is assumed to be what was received
        of them in `COUNT_DELAY_MS`, or what this instance spent for each of them. An
        instance that is silent for longer is assumed to spend what this one does.
        """
        now_ms = self._clock.now_ms()
        requests, retries, unreported = 0.0, 0.0, 0
        window = self._windows.get(service_key)
        if window is not None:
            requests, retries = window.sums(now_ms)
            received, own = window.recent_retries(now_ms)
            unreported = max(received, own * (self.instance_count - 1))
            unreported += self._assumed_of_silent(window, now_ms)
        allowed = self._settings.retry_ratio * requests + self._slack(now_ms)
        reserve = min(self.instance_count - 1, UNREPORTED_RATIO * allowed)
        return BudgetState(
            requests, retries, unreported, allowed * (1 - RESERVE_RATIO) - reserve
        )

    def count(
        self, service_key: int, requests: int, retries: int, *, is_own: bool = True
    ) -> None:
        """Count requests and retries of a service."""
        window = self._windows.get(service_key)
        if window is None:
            window = _Window(self._settings.retry_window_ms)
            self._windows[service_key] = window
        window.add(self._clock.now_ms(), requests, retries, is_own=is_own)

    def _slack(self, now_ms: float) -> float:
        """Return the slack for the part of the window since this instance started.

        From its start it may use its own share.
        """
        known_ratio = (now_ms - self._started_ms) / self._settings.retry_window_ms
        share = max(min(1.0, known_ratio), 1 / self.instance_count)
        return self._settings.retry_slack_count * share

    def _assumed_of_silent(self, window: "_Window", now_ms: float) -> int:
        if not self._silent_since_ms:
            return 0
        return sum(
            retries * bisect_left(self._silent_since_ms, at_ms)
            for at_ms, retries in window.own_retries(now_ms)
            if at_ms <= now_ms - COUNT_DELAY_MS
        )


class _Window:
    """Requests and retries of one service in the last `window_ms`."""

    def __init__(self, window_ms: float) -> None:
        self._window_ms = window_ms
        self._bucket_ms = window_ms / BUCKET_COUNT
        self._request_buckets: deque[list[float]] = deque()
        self._own_retries: deque[tuple[float, int]] = deque()
        self._received_retries: deque[tuple[float, int]] = deque()

    def add(self, now_ms: float, requests: int, retries: int, *, is_own: bool) -> None:
        """Add requests and retries that are known from now on."""
        self._drop_old(now_ms)
        if retries:
            spent = self._own_retries if is_own else self._received_retries
            spent.append((now_ms, retries))
        start_ms = now_ms - now_ms % self._bucket_ms
        buckets = self._request_buckets
        if not buckets or buckets[-1][0] != start_ms:
            buckets.append([start_ms, 0])
        buckets[-1][1] += requests

    def sums(self, now_ms: float) -> tuple[float, float]:
        """Return the requests and retries in the window."""
        self._drop_old(now_ms)
        retries = sum(n for _, n in self._own_retries)
        retries += sum(n for _, n in self._received_retries)
        return sum(requests for _, requests in self._request_buckets), retries

    def recent_retries(self, now_ms: float) -> tuple[int, int]:
        """Return the retries of others and of this instance in `COUNT_DELAY_MS`."""
        recent_ms = now_ms - COUNT_DELAY_MS
        received = sum(n for at_ms, n in self._received_retries if at_ms > recent_ms)
        own = sum(n for at_ms, n in self._own_retries if at_ms > recent_ms)
        return received, own

    def own_retries(self, now_ms: float) -> Sequence[tuple[float, int]]:
        """Return the times of the own retries in the window, and how many each."""
        self._drop_old(now_ms)
        return self._own_retries

    def _drop_old(self, now_ms: float) -> None:
        oldest_ms = now_ms - self._window_ms
        for entries in (
            self._request_buckets,
            self._own_retries,
            self._received_retries,
        ):
            while entries and entries[0][0] <= oldest_ms:
                entries.popleft()
