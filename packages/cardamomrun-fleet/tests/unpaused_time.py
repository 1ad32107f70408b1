"""An event loop whose time stands still while the process is paused or preempted."""

import asyncio
import selectors
import time

from cardamomrun_base.clock import MS_PER_S, SystemClock

__all__ = ["LoopClock", "UnpausedLoop"]


class UnpausedLoop(asyncio.SelectorEventLoop):
    """Counts the processor time of the process and the waits that the loop asked for.

    Delays that the code schedules or computes count in full. Time in which other
    processes have the processor does not, whether the loop runs or waits.
    """

    def __init__(self):
        self._waits = _CountedWaits()
        super().__init__(self._waits)

    def time(self):
        return time.process_time() + self._waits.waited_s


class _CountedWaits(selectors.DefaultSelector):
    waited_s = 0.0

    def select(self, timeout=None):
        ready = super().select(0)
        if ready or timeout == 0:
            return ready
        begun_s = time.monotonic()
        ready = super().select(timeout)
        elapsed_s = time.monotonic() - begun_s
        self.waited_s += elapsed_s if timeout is None else min(elapsed_s, timeout)
        return ready


class LoopClock(SystemClock):
    """A clock that shows the time of the running event loop."""

    def now_ms(self):
        return asyncio.get_running_loop().time() * MS_PER_S
