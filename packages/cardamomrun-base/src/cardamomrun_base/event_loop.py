"""The event loop of an instance: asyncio's, with fewer system calls."""

import asyncio
import selectors
import time
from collections.abc import Coroutine
from typing import Any

__all__ = ["SparingSelector", "run"]

# Callbacks that are ready make most turns of the loop poll without waiting, and hardly
# any of these polls finds an event. Skipping them delays an event by at most this time
# plus one turn, and by at most this many turns.
MAX_SKIP_MS = 0.5
MAX_SKIPPED_COUNT = 8

MS_PER_S = 1_000


class SparingSelector(selectors.DefaultSelector):
    """A selector that skips most polls that would not wait."""

    def __init__(self) -> None:
        super().__init__()
        self._skipped_count = 0
        self._polled_s = float("-inf")

    def select(self, timeout: float | None = None) -> Any:
        """Return the events, or none if the timeout is zero and a poll was just made."""
        now_s = time.monotonic()
        if (
            timeout is not None
            and timeout <= 0
            and self._skipped_count < MAX_SKIPPED_COUNT
            and now_s - self._polled_s < MAX_SKIP_MS / MS_PER_S
        ):
            self._skipped_count += 1
            return []
        self._skipped_count = 0
        events = super().select(timeout)
        # Read after the poll, which may have waited.
        self._polled_s = time.monotonic()
        return events


def run(main: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine as `asyncio.run` does, with a `SparingSelector`."""
    with asyncio.Runner(loop_factory=_new_loop) as runner:
        runner.run(main)


def _new_loop() -> asyncio.AbstractEventLoop:
    return asyncio.SelectorEventLoop(SparingSelector())
