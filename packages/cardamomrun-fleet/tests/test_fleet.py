"""Real fleets in one process on 127.0.0.1."""

import asyncio
from dataclasses import dataclass

import pytest

from cardamomrun_base.clock import SystemClock
from cardamomrun_base.codec import message
from cardamomrun_base.model import Kind
from cardamomrun_fleet import Fleet

from .builders import (
    crash,
    member_ids,
    node_settings,
    running,
    until,
)


@message("test-echo")
@dataclass(frozen=True)
class Echo:
    text: str


def holds(fleet, key, text="a"):
    record = fleet.store.get(Kind.CRASH, key)
    return record is not None and record.content.fingerprint == text


@pytest.mark.parametrize("count", [2, 5])
def test_a_record_reaches_all_and_a_newcomer(tmp_path, count):
    """Guards against lost floods and against newcomers that start empty."""

    async def check():
        async with running(tmp_path, count) as fleets:
            assert fleets[0].store.put(crash())
            for fleet in fleets:
                await until(lambda f=fleet: holds(f, "k"), "record at all")
            seeds = [fleet._settings.peer_address for fleet in fleets[:2]]
            newcomer = Fleet(node_settings(tmp_path, "new", seeds=seeds), SystemClock())
            assert newcomer.may_be_behind()
            await newcomer.start()
            try:
                assert holds(newcomer, "k")
                assert not newcomer.may_be_behind()
            finally:
                await newcomer.stop()
            for fleet in fleets:
                await until(lambda f=fleet: "new" not in member_ids(f), "new is gone")

    asyncio.run(check())
