"""Decisions about the quotas of organisations, without a network.

`GrantBucket` is the bucket of an organisation on its token server, `InstanceQuota` what
each instance holds of it. `quotas` carries the lease requests between them, and
`docs/design/quotas.md` derives the bounds.
"""

import math
import random
from collections import deque
from dataclasses import dataclass, field

from cardamomrun_base.clock import MS_PER_S
from cardamomrun_base.routing_document import Organisation
from cardamomrun_base.settings import GatewaySettings

__all__ = [
    "LEASE_MS",
    "Admitted",
    "Denied",
    "FleetShare",
    "GrantBucket",
    "InstanceQuota",
    "Lease",
    "OverQuota",
    "PauseDetector",
    "Quota",
]

# A lease is used within this time from its question on. Longer leases would cost more
# unused tokens and more of the tolerance.
LEASE_MS = 250.0
# How long an instance uses its local share before it asks the token server again.
LOCAL_SHARE_MS = 250.0
# Share of the limit that instances without a token server use together. The rest covers
# what the token server grants until it notices that they are unreachable.
OFFLINE_RATIO = 0.7
# Share of the slack with which a new token server starts, and that an old one may still
# grant during the handover. Two of each fit into the half that the capacity leaves.
START_RATIO = 0.25
# A token server that is silent is replaced after about this time. Local admissions at
# the offline rate for so long are within the limit and not deducted.
TAKEOVER_MS = 1_500.0
# They are less so the more instances are unreachable, since the old token server may
# have granted to those. From a quarter on, everything is deducted.
TAKEOVER_UNREACHABLE_FACTOR = 4.0
# A wait for a token up to this is preferred to a refusal. Clients are not told to return
# sooner.
MAX_WAIT_MS = 20.0
# Shortest time for which a denial is cached. With a shorter one, each refused request of
# an organisation far over its quota would be a question.
MIN_DENIAL_MS = 100.0
# Longest time for which a denial is cached: the token server may change meanwhile.
MAX_DENIAL_MS = 2_000.0
# Bounds of the time over which clients are told to return, beyond the next free token.
MIN_SPREAD_MS = 250.0
MAX_SPREAD_MS = 2_000.0
# Averaging time of the demand estimate.
DEMAND_MS = 1_000.0
# A process that ran nothing for this long was paused; its loop runs each 100 ms.
PAUSE_MS = 400.0


@dataclass(frozen=True)
class Admitted:
    """The request may be sent, after `delay_ms`.

    `asked_ms` is when the lease of its token was asked for.
    """

    delay_ms: float = 0.0
    is_local: bool = False
    asked_ms: float = field(default=float("-inf"), compare=False)


@dataclass(frozen=True)
class OverQuota:
    """The request is refused; its client should return after `retry_after_ms`."""

    retry_after_ms: float


@dataclass(frozen=True)
class Lease:
    """Tokens that may be used after `delay_ms`.

    `level_count` are those left in the token server's bucket.
    """

    count: int
    delay_ms: float
    level_count: float


@dataclass(frozen=True)
class Denied:
    """No token is free; the next one is in `free_in_ms`."""

    free_in_ms: float


@dataclass(frozen=True)
class FleetShare:
    """How many of the known entry instances are reached, with this one."""

    reached_count: int
    known_count: int

    @property
    def rate_ratio(self) -> float:
        """Share of the limit that a token server here may grant.

        All parts of a partitioned fleet stay within the limit together: at most one
        reaches a majority, and the others grant only their local shares.
        """
        reached = self.reached_count / self.known_count
        if 2 * self.reached_count <= self.known_count:
            return OFFLINE_RATIO * reached
        return 1.0 - OFFLINE_RATIO * (1.0 - reached)

    @property
    def capacity_ratio(self) -> float:
        """Share of the bucket's capacity that belongs to the reached instances."""
        return self.reached_count / self.known_count


@dataclass(frozen=True)
class Quota:
    """The rate and the capacity of a token bucket.

    A new token server deducts local admissions beyond `takeover_count`.
    """

    per_s: float
    capacity_count: float
    start_count: float
    takeover_count: float = 0.0

    @classmethod
    def of(cls, organisation: Organisation, settings: GatewaySettings) -> "Quota":
        """Return the quota of an organisation in the whole fleet.

        Tokens granted up to `LEASE_MS` before a window may be used in it. The rate is
        lowered if the tolerance doesn't cover that.
        """
        window_ms = settings.quota_window_ms
        tolerated = window_ms * (1 + settings.quota_over_ratio)
        per_s = organisation.requests_per_s * min(1, tolerated / (window_ms + LEASE_MS))
        return cls(
            per_s,
            organisation.burst_count + settings.quota_slack_count / 2,
            settings.quota_slack_count * START_RATIO,
        )

    def granted(self, share: FleetShare) -> "Quota":
        """Return the part that a token server which reaches `share` may grant."""
        unreached_ratio = 1.0 - share.capacity_ratio
        takeover_ratio = max(0.0, 1.0 - TAKEOVER_UNREACHABLE_FACTOR * unreached_ratio)
        offline_per_ms = self.per_s * OFFLINE_RATIO / MS_PER_S
        return Quota(
            self.per_s * share.rate_ratio,
            self.capacity_count * share.capacity_ratio,
            self.start_count * share.capacity_ratio,
            offline_per_ms * TAKEOVER_MS * takeover_ratio,
        )

    def local(self, known_count: int) -> "Quota":
        """Return the part of one instance without a token server."""
        capacity_count = self.capacity_count / known_count
        per_s = self.per_s * OFFLINE_RATIO / known_count
        return Quota(per_s, capacity_count, capacity_count)


class _Bucket:
    """A token bucket whose rate and capacity may change."""

    def __init__(self, now_ms: float, level_count: float) -> None:
        self._level_count = level_count
        self._filled_ms = now_ms

    def refill(self, quota: Quota, now_ms: float) -> None:
        elapsed_ms = max(0.0, now_ms - self._filled_ms)
        self._filled_ms = now_ms
        level_count = self._level_count + elapsed_ms * quota.per_s / MS_PER_S
        self._level_count = min(quota.capacity_count, level_count)

    def limit(self, level_count: float) -> None:
        """Drop what exceeds a level."""
        self._level_count = min(self._level_count, level_count)

    def take_fraction(self, randomness: random.Random) -> bool:
        """Take one token; part of a token is one with that probability.

        Buckets of small shares hold less than one token. Rounding them at random lets
        all of them together grant what they hold together, which full tokens in each
        would exceed.
        """
        if self._level_count >= 1.0:
            self._level_count -= 1.0
            return True
        is_granted = randomness.random() < self._level_count
        self._level_count = min(0.0, self._level_count)
        return is_granted


class GrantBucket(_Bucket):
    """The bucket of one organisation on its token server.

    A new one doesn't know what the last token server granted, so it starts small.
    `since_ms` is since when this instance is the token server.
    """

    def __init__(
        self,
        quota: Quota,
        since_ms: float,
        now_ms: float,
        randomness: random.Random | None = None,
    ) -> None:
        super().__init__(since_ms, min(quota.start_count, quota.capacity_count))
        self._random = randomness or random.Random()
        self._allowance_count = quota.takeover_count
        self._allowance_until_ms = since_ms + 2 * TAKEOVER_MS
        self._handover_since_ms: float | None = None
        self.refill(quota, now_ms)

    def take(
        self, quota: Quota, asked_count: int, debt_count: int, now_ms: float
    ) -> Lease | Denied:
        """Grant up to `asked_count` tokens after deducting a debt."""
        if self._handover_since_ms is None:
            self.refill(quota, now_ms)
        self._deduct(quota, debt_count, now_ms)
        if quota.capacity_count < 1.0:
            if self.take_fraction(self._random):
                return Lease(1, 0.0, max(0.0, self._level_count))
            # Few instances are reached, as after a pause until reports arrive. That may
            # be over long before the next token of so small a share.
            return Denied(LOCAL_SHARE_MS)
        count = min(asked_count, math.floor(self._level_count))
        if count >= 1:
            self._level_count -= count
            return Lease(count, 0.0, self._level_count)
        if self._handover_since_ms is not None:
            # The successor may have tokens.
            return Denied(MIN_DENIAL_MS)
        if quota.per_s <= 0.0:
            return Denied(MAX_DENIAL_MS)
        wait_ms = (1.0 - self._level_count) * MS_PER_S / quota.per_s
        if wait_ms > MAX_WAIT_MS:
            return Denied(wait_ms)
        self._level_count -= 1.0
        return Lease(1, wait_ms, 0.0)

    def give_back(self, quota: Quota, count: int) -> None:
        """Add tokens that were granted and not used."""
        level_count = self._level_count + count
        self._level_count = min(quota.capacity_count, level_count)

    def restart(self, quota: Quota, now_ms: float) -> None:
        """Start again after a pause, in which another instance may have granted."""
        self.limit(quota.start_count)
        self._filled_ms = now_ms

    def hand_over(self, quota: Quota, now_ms: float) -> None:
        """Grant only a few more tokens, to instances that don't know the successor."""
        if self._handover_since_ms is None:
            self._handover_since_ms = now_ms
            self.limit(quota.start_count)

    def resume(self, now_ms: float) -> None:
        """End a handover, with what is left of the bucket."""
        if self._handover_since_ms is not None:
            self._handover_since_ms = None
            self._filled_ms = now_ms

    def allow_takeover(self, quota: Quota, now_ms: float) -> None:
        """Expect local admissions that were within the limit, as a new bucket does."""
        self._allowance_count = quota.takeover_count
        self._allowance_until_ms = now_ms + 2 * TAKEOVER_MS

    def handover_age_ms(self, now_ms: float) -> float | None:
        """Return the time since the handover began; None if it has not."""
        if self._handover_since_ms is None:
            return None
        return now_ms - self._handover_since_ms

    def _deduct(self, quota: Quota, debt_count: float, now_ms: float) -> None:
        if now_ms <= self._allowance_until_ms:
            allowed_count = min(debt_count, self._allowance_count)
            self._allowance_count -= allowed_count
            debt_count -= allowed_count
        if debt_count:
            # Older debts would refuse requests for longer than a window.
            lowest_count = min(self._level_count, -quota.capacity_count)
            self._level_count = max(lowest_count, self._level_count - debt_count)


class InstanceQuota:
    """What an instance holds of an organisation's quota: a lease or its local share."""

    def __init__(
        self,
        settings: GatewaySettings,
        now_ms: float,
        randomness: random.Random | None = None,
    ) -> None:
        self.settings = settings
        self._random = randomness or random.Random()
        self._quota: Quota | None = None
        self._token_count = 0
        self._ready_ms = now_ms
        self._asked_ms = self._asked_wall_ms = float("-inf")
        self._denied_until_ms = float("-inf")
        self._local_until_ms = float("-inf")
        # Full; it is limited to the local share before it is used.
        self._local = _Bucket(now_ms, float("inf"))
        self._level_count = float("inf")
        self._level_known_ms = float("-inf")
        self._local_admitted_ms: deque[float] = deque()
        self._demand = _DecayingCount(now_ms)
        self._refused = _DecayingCount(now_ms)
        self.used_ms = now_ms

    def count_request(self, now_ms: float) -> None:
        """Count a request for the demand estimate."""
        self._demand.add(now_ms)
        self.used_ms = now_ms

    def wanted_count(self, waiting_count: int, now_ms: float) -> int:
        """Return how many tokens to ask for: those waited for and the next ones."""
        # The requests that wait are part of the demand and no estimate of later ones.
        known_count = self._demand.get(now_ms) - waiting_count
        expected_count = max(0.0, known_count) * LEASE_MS / DEMAND_MS
        return max(1, waiting_count) + math.floor(expected_count)

    def decide(
        self, quota: Quota, known_count: int, now_ms: float, wall_ms: float
    ) -> Admitted | OverQuota | None:
        """Return the decision on one request; None if it needs a lease."""
        if quota is not self._quota:
            self._change_quota(quota)
        if self._token_count:
            if self._is_lease_valid(now_ms, wall_ms):
                self._token_count -= 1
                delay_ms = max(0.0, self._ready_ms - now_ms)
                return Admitted(delay_ms, asked_ms=self._asked_ms)
            self._token_count = 0
        if now_ms < self._denied_until_ms:
            return self._refuse(quota, known_count, self._denied_until_ms, now_ms)
        if now_ms >= self._local_until_ms:
            return None
        return self.use_local_share(quota, known_count, now_ms)

    def use_local_share(
        self, quota: Quota, known_count: int, now_ms: float
    ) -> Admitted | OverQuota:
        """Return the decision without a token server."""
        self._local.refill(quota.local(known_count), now_ms)
        if self._local.take_fraction(self._random):
            self._local_admitted_ms.append(now_ms)
            return Admitted(is_local=True)
        return self._refuse(quota, known_count, self._local_until_ms, now_ms)

    def refusal_if_denied(
        self, quota: Quota, known_count: int, now_ms: float
    ) -> OverQuota | None:
        """Return the refusal of a request if a denial is cached that applies to it."""
        if self._token_count or quota is not self._quota:
            return None
        if now_ms >= self._denied_until_ms:
            return None
        return self._refuse(quota, known_count, self._denied_until_ms, now_ms)

    def give_back(self, admitted: Admitted, now_ms: float, wall_ms: float) -> bool:
        """Take back the token of a request that was not sent.

        Returns True if the token is of use to the token server only, since no other
        request is expected here while it is valid.
        """
        if admitted.is_local:
            # It is not reported to the token server if it has not been yet.
            if self._local_admitted_ms:
                self._local_admitted_ms.pop()
            return False
        is_of_lease = admitted.asked_ms == self._asked_ms
        if not is_of_lease or not self._is_lease_valid(now_ms, wall_ms):
            return False
        if self._demand.get(now_ms) * LEASE_MS < DEMAND_MS:
            return True
        self._token_count += 1
        return False

    def add_lease(
        self, lease: Lease, asked_ms: float, asked_wall_ms: float, now_ms: float
    ) -> None:
        """Record tokens, which expire by the time of the question."""
        self._token_count = lease.count
        self._ready_ms = now_ms + lease.delay_ms
        self._asked_ms, self._asked_wall_ms = asked_ms, asked_wall_ms
        self._record_level(lease.level_count, now_ms)

    def add_denial(self, denied: Denied, now_ms: float) -> None:
        """Record that no token is free."""
        denial_ms = min(MAX_DENIAL_MS, max(MIN_DENIAL_MS, denied.free_in_ms))
        self._denied_until_ms = now_ms + denial_ms
        self._record_level(0.0, now_ms)

    def add_no_answer(self, quota: Quota, known_count: int, now_ms: float) -> None:
        """Record that the token server gave no answer."""
        self._local.refill(quota.local(known_count), now_ms)
        if now_ms - self._level_known_ms <= self.settings.quota_window_ms:
            # What the token server granted of the burst isn't available once more.
            self._local.limit(max(0.0, self._level_count) / known_count)
            # The local bucket refills by itself from now on.
            self._level_known_ms = float("-inf")
        self._local_until_ms = now_ms + LOCAL_SHARE_MS

    def debt_count(self, now_ms: float) -> int:
        """Return how many requests of the last window were admitted without tokens."""
        oldest_ms = now_ms - self.settings.quota_window_ms
        while self._local_admitted_ms and self._local_admitted_ms[0] < oldest_ms:
            self._local_admitted_ms.popleft()
        return len(self._local_admitted_ms)

    def settle_debt(self, count: int) -> None:
        """Remove admissions that the token server has deducted."""
        for _ in range(min(count, len(self._local_admitted_ms))):
            self._local_admitted_ms.popleft()

    def _change_quota(self, quota: Quota) -> None:
        """Drop what was granted or denied by a document with other limits."""
        if self._quota is not None and quota != self._quota:
            self._token_count = 0
            self._denied_until_ms = float("-inf")
        self._quota = quota

    def _is_lease_valid(self, now_ms: float, wall_ms: float) -> bool:
        """Return False for a lease that is too old by one of the clocks.

        The monotonic clock may have stood still in a pause of the machine.
        """
        return (
            now_ms - self._asked_ms <= LEASE_MS
            and abs(wall_ms - self._asked_wall_ms) <= LEASE_MS
        )

    def _record_level(self, level_count: float, now_ms: float) -> None:
        self._level_count, self._level_known_ms = level_count, now_ms

    def _refuse(
        self, quota: Quota, known_count: int, until_ms: float, now_ms: float
    ) -> OverQuota:
        """Return a refusal; clients return over the time that their number needs."""
        self._refused.add(now_ms)
        spread_ms = MAX_SPREAD_MS
        if quota.per_s > 0.0:
            fleet_count = self._refused.get(now_ms) * known_count
            spread_ms = fleet_count * MS_PER_S / quota.per_s
        spread_ms = min(MAX_SPREAD_MS, max(MIN_SPREAD_MS, spread_ms))
        free_in_ms = max(MAX_WAIT_MS, until_ms - now_ms)
        return OverQuota(free_in_ms + spread_ms * self._random.random())


class PauseDetector:
    """Notices that the process ran nothing for a while, by two clocks.

    One of them may have stood still in a pause. A step of the wall clock counts as a
    pause too, which costs little.
    """

    def __init__(self, now_ms: float, wall_ms: float) -> None:
        self._now_ms = now_ms
        self._wall_ms = wall_ms

    def has_paused(self, now_ms: float, wall_ms: float) -> bool:
        """Return True if the last call was long ago."""
        gap_ms = max(now_ms - self._now_ms, abs(wall_ms - self._wall_ms))
        self._now_ms, self._wall_ms = now_ms, wall_ms
        return gap_ms > PAUSE_MS


class _DecayingCount:
    """A count of the last `DEMAND_MS`, with exponential decay."""

    def __init__(self, now_ms: float) -> None:
        self._count = 0.0
        self._counted_ms = now_ms

    def get(self, now_ms: float) -> float:
        elapsed_ms = max(0.0, now_ms - self._counted_ms)
        return self._count * math.exp(-elapsed_ms / DEMAND_MS)

    def add(self, now_ms: float) -> None:
        self._count = self.get(now_ms) + 1.0
        self._counted_ms = now_ms
