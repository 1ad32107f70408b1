"""Admission of requests: a concurrency limit with a fair queue."""

import asyncio
from collections import OrderedDict, deque

from cardamomrun_base.documents import Limits

__all__ = ["Admission", "RefusedError"]


class RefusedError(Exception):
    """The request was not admitted; no byte of it was sent."""


class Admission:
    """Limits the requests in flight of one environment on this instance.

    Waiting requests are queued per customer. Free slots go to the customers in
    round-robin order, so that one customer's burst does not delay the others.
    """

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self._running_count = 0
        self._waiting_count = 0
        self._queues: OrderedDict[str, deque[asyncio.Future[None]]] = OrderedDict()

    @property
    def waiting_count(self) -> int:
        """Number of requests in the queues."""
        return self._waiting_count

    async def enter(self, customer: str, wait_s: float) -> None:
        """Wait for a slot, which `leave` frees. Raises `RefusedError`."""
        if self._running_count < self.limits.concurrency_count:
            self._running_count += 1
            return
        if self._waiting_count >= self.limits.queue_count:
            self._evict_from_longest_queue(customer)
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._queues.setdefault(customer, deque()).append(waiter)
        self._waiting_count += 1
        try:
            async with asyncio.timeout(wait_s):
                await waiter
        except BaseException as error:
            if waiter.done() and not waiter.cancelled() and not waiter.exception():
                # The slot was granted in the same iteration of the event loop.
                self.leave()
            else:
                self._remove(customer, waiter)
            if isinstance(error, TimeoutError):
                raise RefusedError("no slot became free in time") from None
            raise

    def leave(self) -> None:
        """Free a slot and admit the next customer's oldest request."""
        self._running_count -= 1
        while self._queues and self._running_count < self.limits.concurrency_count:
            customer, queue = next(iter(self._queues.items()))
            waiter = queue.popleft()
            self._waiting_count -= 1
            if queue:
                self._queues.move_to_end(customer)
            else:
                del self._queues[customer]
            if not waiter.done():
                waiter.set_result(None)
                self._running_count += 1

    def _evict_from_longest_queue(self, customer: str) -> None:
        own_count = len(self._queues.get(customer, ()))
        longest = max(
            self._queues, key=lambda name: len(self._queues[name]), default=""
        )
        if not self._queues or len(self._queues[longest]) <= own_count + 1:
            raise RefusedError("the queue is full")
        waiter = self._queues[longest][-1]
        self._remove(longest, waiter)
        if not waiter.done():
            waiter.set_exception(RefusedError("the queue is full"))

    def _remove(self, customer: str, waiter: asyncio.Future[None]) -> None:
        queue = self._queues.get(customer)
        if queue is None or waiter not in queue:
            return
        queue.remove(waiter)
        self._waiting_count -= 1
        if not queue:
            del self._queues[customer]
