"""Counts the processor time of handlers of messages, by kind."""

import types
from collections.abc import Callable, Coroutine, Generator
from functools import partial
from time import thread_time
from typing import Any, TypeVar

from cardamomrun_fleet import metrics

__all__ = ["HandlerTime"]

Result = TypeVar("Result")


class HandlerTime:
    """Measures handlers on the event loop; a nested one belongs to the outer one."""

    def __init__(self) -> None:
        self._is_measuring = False
        self._children: dict[str, Any] = {}

    def run(self, kind: str, handler: Callable[..., Result], *arguments: Any) -> Result:
        """Call a handler and count its processor time."""
        if self._is_measuring:
            return handler(*arguments)
        self._is_measuring = True
        started_s = thread_time()
        try:
            return handler(*arguments)
        finally:
            self._is_measuring = False
            child = self._children.get(kind)
            if child is None:
                child = self._children[kind] = metrics.HANDLER_SECONDS.labels(kind)
            child.inc(thread_time() - started_s)

    async def run_steps(
        self, kind: str, coroutine: Coroutine[Any, Any, Result]
    ) -> Result:
        """Run a coroutine and count its processor time, without that of its waits."""
        return await self._steps(kind, coroutine)

    @types.coroutine
    def _steps(
        self, kind: str, coroutine: Coroutine[Any, Any, Result]
    ) -> Generator[Any, Any, Result]:
        step = partial(coroutine.send, None)
        while True:
            try:
                awaited = self.run(kind, step)
            except StopIteration as ended:
                return ended.value
            try:
                step = partial(coroutine.send, (yield awaited))
            except BaseException as error:
                # Cancellations too: the coroutine has to see them.
                step = partial(coroutine.throw, error)
