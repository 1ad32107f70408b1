"""Background loops of the parts of a node."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress

from cardamomrun_base.clock import Clock
from cardamomrun_base.logs import ComponentLog

__all__ = ["PartLoop", "cancel_task", "run_with_restarts"]

RESTART_PAUSE_MS = 1_000

PartLoop = Callable[[], Awaitable[None]]

_log = ComponentLog("node")


async def run_with_restarts(loop: PartLoop, clock: Clock) -> None:
    """Run a part's loop until it returns; after an exception, log it and run again."""
    while True:
        try:
            await loop()
            return
        except Exception as error:
            _log.error(f"a part failed and restarts: {error!r}")
            await clock.sleep_ms(RESTART_PAUSE_MS)


async def cancel_task(task: asyncio.Task[None]) -> None:
    """Cancel a task and wait until it has ended."""
    task.cancel()
    with suppress(asyncio.CancelledError):
        await task
