"""Clocks in milliseconds: monotonic time for durations, wall time for records."""

import asyncio
import time

__all__ = ["Clock", "ManualClock", "SystemClock"]

MS_PER_S = 1_000
NS_PER_MS = 1_000_000


class Clock:
    """Source of time in milliseconds."""

    def now_ms(self) -> float:
        """Return monotonic time; only differences between two readings mean anything."""
        raise NotImplementedError

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch, for audit entries and records."""
        raise NotImplementedError

    async def sleep_ms(self, duration_ms: float) -> None:
        """Suspend the calling task for at least `duration_ms`."""
        raise NotImplementedError


class SystemClock(Clock):
    """The clock of the operating system.

    Monotonic time includes time in which the machine was suspended, so that a lease
    doesn't outlast a suspension of its holder.
    """

    def now_ms(self) -> float:
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) / NS_PER_MS

    def wall_ms(self) -> int:
        return time.time_ns() // NS_PER_MS

    async def sleep_ms(self, duration_ms: float) -> None:
        await asyncio.sleep(duration_ms / MS_PER_S)


class ManualClock(Clock):
    """A clock that tests advance explicitly; sleeping advances it too.

    >>> clock = ManualClock()
    >>> clock.advance_ms(250)
    >>> clock.now_ms()
    250.0
    """

    def __init__(self, start_ms: float = 0.0) -> None:
        self._now_ms = float(start_ms)

    def now_ms(self) -> float:
        return self._now_ms

    def wall_ms(self) -> int:
        return int(self._now_ms)

    def advance_ms(self, duration_ms: float) -> None:
        """Advance the clock by `duration_ms`."""
        self._now_ms += duration_ms

    async def sleep_ms(self, duration_ms: float) -> None:
        self._now_ms += duration_ms
        await asyncio.sleep(0)
