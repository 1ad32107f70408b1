"""The limit that a backend server states, and the permits that its granter hands out.

All decisions are here; `server_limits` learns the limits, `permits` carries requests for
permits between instances.
"""

import random
from dataclasses import dataclass, field

from cardamomrun_base.clock import MS_PER_S
from cardamomrun_base.model import MemberBody

__all__ = ["Denied", "Granted", "PermitBucket", "ReturnTimes", "StatedLimit"]

# Share of a server's limit that one granter hands out. A server accepts bursts of half
# its limit beyond it, so that two granters, while instances disagree, stay within that.
GRANTED_RATIO = 0.75
# Permits that accumulate while nobody asks.
BUCKET_CAPACITY = 2.0
# A less urgent request leaves this much of the bucket to more urgent ones.
URGENT_RESERVE = 0.5
# Without a request for this long nobody notices that the limit has ended.
CHECK_INTERVAL_MS = 2_000.0


@dataclass(frozen=True)
class Granted:
    """The request may be sent `delay_ms` from now."""

    delay_ms: float


@dataclass(frozen=True)
class Denied:
    """No permit is free within the time asked for; the next one is in `free_in_ms`."""

    free_in_ms: float


class PermitBucket:
    """The permits of one server on its granter: a token bucket that starts empty.

    A granter that takes over doesn't know what the last one granted, so it begins
    without permits.
    """

    def __init__(self, now_ms: float) -> None:
        self._level = 0.0
        self._filled_ms = now_ms

    def take(
        self, limit_per_s: float, now_ms: float, max_wait_ms: float, *, is_urgent: bool
    ) -> Granted | Denied:
        """Take a permit that is free within `max_wait_ms`, if there is one.

        Permits of the near future can be reserved by urgent requests only.
        """
        per_ms = GRANTED_RATIO * limit_per_s / MS_PER_S
        elapsed_ms = max(0.0, now_ms - self._filled_ms)
        self._level = min(BUCKET_CAPACITY, self._level + elapsed_ms * per_ms)
        self._filled_ms = now_ms
        needed = 1.0 if is_urgent else 1.0 + URGENT_RESERVE
        wait_ms = max(0.0, needed - self._level) / per_ms
        if wait_ms > (max_wait_ms if is_urgent else 0.0):
            return Denied(wait_ms)
        self._level -= 1.0
        return Granted(wait_ms)


@dataclass
class StatedLimit:
    """The limit of one incarnation of a server, as this instance knows it.

    `per_s` are requests a second of the whole fleet. `granter` hands out the permits;
    None while no instance can. `free_at_ms` is when the next permit is free, by whether
    the request is urgent, if one was denied.
    """

    per_s: float
    confirmed_ms: float
    published_ms: float
    granter: MemberBody | None = None
    bucket: PermitBucket | None = None
    free_at_ms: dict[bool, float] = field(default_factory=dict)

    @property
    def granted_per_s(self) -> float:
        """The rate at which permits become free."""
        return GRANTED_RATIO * self.per_s

    @property
    def is_granted_here(self) -> bool:
        """True if this instance is the granter."""
        return self.bucket is not None

    def is_check_due(self, now_ms: float) -> bool:
        """Return True if the granter should send a request to confirm the limit."""
        return self.is_granted_here and now_ms - self.confirmed_ms > CHECK_INTERVAL_MS

    def may_ask(self, now_ms: float, max_wait_ms: float, *, is_urgent: bool) -> bool:
        """Return True unless it is known that no permit can be had."""
        wait_ms = self.free_at_ms.get(is_urgent, now_ms) - now_ms
        return wait_ms <= (max_wait_ms if is_urgent else 0.0)

    def wait_ms(self, now_ms: float, *, is_urgent: bool) -> float:
        """Return the time until a permit may be free, as far as is known."""
        return max(0.0, self.free_at_ms.get(is_urgent, now_ms) - now_ms)


class ReturnTimes:
    """Tells the refused requests of one service when to come back, in their order.

    Their times lie as far apart as permits become free for this instance.
    """

    def __init__(self, randomness: random.Random) -> None:
        self._random = randomness
        self._last_ms = float("-inf")

    def next_delay_ms(self, now_ms: float, per_s: float, remaining_ms: float) -> float:
        """Return the delay of one more request; it takes no place if it has no time.

        `per_s` is how many requests a second this instance may send. The first delay is
        random, since other instances refuse requests at the same time.
        """
        interval_ms = MS_PER_S / per_s
        next_ms = self._last_ms + interval_ms
        if next_ms < now_ms:
            next_ms = now_ms + interval_ms * self._random.random()
        if next_ms - now_ms <= remaining_ms:
            self._last_ms = next_ms
        return next_ms - now_ms
