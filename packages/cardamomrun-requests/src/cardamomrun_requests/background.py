"""Tasks that outlive the request that started them."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from cardamomrun_base.logs import ComponentLog, describe_error

__all__ = ["BackgroundTasks"]

_log = ComponentLog("front")


class BackgroundTasks:
    """Holds references to tasks until they end, so that a stop can wait for them."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    def spawn(
        self, work: Coroutine[Any, Any, Any], name: str | None = None
    ) -> asyncio.Task[Any]:
        """Start a task; an error that nobody awaits is logged."""
        task = asyncio.create_task(work, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    @property
    def names(self) -> list[str]:
        """The names of the tasks that have not ended."""
        return sorted(task.get_name() for task in self._tasks)

    def __len__(self) -> int:
        return len(self._tasks)

    async def wait(self) -> None:
        """Wait until all tasks have ended."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    def _on_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            _log.error("a background task failed", error=describe_error(error))
