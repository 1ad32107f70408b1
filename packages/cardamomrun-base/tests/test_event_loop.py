"""The event loop that skips polls."""

import asyncio
import os
import selectors
import socket
import time
from contextlib import contextmanager

import pytest

from cardamomrun_base import event_loop
from cardamomrun_base.event_loop import MAX_SKIPPED_COUNT, SparingSelector


@contextmanager
def watched_pair():
    """Yield a selector that watches a socket, and the other end of the socket."""
    selector = SparingSelector()
    one, other = socket.socketpair()
    selector.register(one, selectors.EVENT_READ)
    try:
        yield selector, other
    finally:
        selector.close()
        one.close()
        other.close()


@pytest.mark.parametrize("timeout", [None, 1.0])
def test_a_poll_that_may_wait_is_never_skipped(timeout):
    """Guards against a loop that spins instead of waiting, or misses what is there."""
    with watched_pair() as (selector, other):
        other.send(b"x")
        for _ in range(3):
            selector.select(0)
            assert len(selector.select(timeout)) == 1


def test_a_busy_loop_polls_after_few_turns(monkeypatch):
    """Guards against sockets that starve while callbacks are always ready."""
    monkeypatch.setattr(event_loop, "MAX_SKIP_MS", 60_000.0)
    with watched_pair() as (selector, other):
        selector.select(0)
        other.send(b"x")
        results = [selector.select(0) for _ in range(MAX_SKIPPED_COUNT + 1)]
        assert results[:-1] == [[]] * MAX_SKIPPED_COUNT
        assert len(results[-1]) == 1
        assert selector.select(0) == [], "counting starts again"


def test_a_long_turn_is_followed_by_a_poll():
    """Guards against events that wait for several long callbacks, or for a pause."""
    with watched_pair() as (selector, other):
        selector.select(0)
        other.send(b"x")
        time.sleep(2 * event_loop.MAX_SKIP_MS / 1_000)
        assert len(selector.select(0)) == 1


def test_run_uses_the_selector_and_serves_threads_and_signals():
    """Guards against a loop that misses wake-ups while it skips polls."""
    seen = []

    async def check():
        loop = asyncio.get_running_loop()
        assert isinstance(loop._selector, SparingSelector)
        signalled = asyncio.Event()
        loop.add_signal_handler(10, signalled.set)
        seen.append(await asyncio.to_thread(lambda: "thread"))
        os.kill(os.getpid(), 10)
        async with asyncio.timeout(5):
            await signalled.wait()
            for _ in range(100):
                await asyncio.sleep(0)
        loop.remove_signal_handler(10)
        seen.append("signal")

    event_loop.run(check())
    assert seen == ["thread", "signal"]
