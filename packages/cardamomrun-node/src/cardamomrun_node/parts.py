"""Loops of the parts of a node."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress

from cardamomrun_base.clock import Clock
from cardamomrun_base.logs import PartLog

__all__ = ["PartLoop", "cancel", "keep_running"]

RESTART_PAUSE_MS = 1_000

PartLoop = Callable[[], Awaitable[None]]

_log = PartLog("node")


async def keep_running(loop: PartLoop, clock: Clock) -> None:
    """Run a part's loop; a fault in it is logged and does not end the part."""
    while True:
        try:
            await loop()
            return
        except Exception as error:
            _log.error(f"a part failed and is run again: {error!r}")
            await clock.sleep_ms(RESTART_PAUSE_MS)


async def cancel(task: asyncio.Task[None]) -> None:
    """End a task and wait for its end."""
    task.cancel()
    with suppress(asyncio.CancelledError):
        await task
