"""Whole records on eager links; announcements and pulls on lazy links."""

import asyncio
import random
import time

from cardamomrun_base.clock import ManualClock
from cardamomrun_fleet.dissemination import (
    MAX_PULL_DELAY_MS,
    MIN_PULL_DELAY_MS,
    Dissemination,
)
from cardamomrun_fleet.exchange import FloodedBatch
from cardamomrun_fleet.store import Store

from .builders import crash_record, running, until
from .test_fleet import holds

REACH_LIMIT_S = 1.0


def held_record(key="k"):
    store = Store(ManualClock())
    store.put(crash_record(key))
    return store.all_records()[0]


def test_lazy_links_get_names_that_the_peer_does_not_know():
    """Guards against whole records on lazy links and needless announcements."""
    one, two = held_record("one"), held_record("two")
    links = Dissemination(random.Random(1))
    links.make_lazy("lazy")
    changes = [(one, None), (two, "eager")]
    assert links.dispatch_changes("eager", changes) == [one]
    assert links.dispatch_changes("lazy", changes) == []
    links.cancel_announcement("lazy", one.packed_fingerprint)
    assert links.take_announcements() == {"lazy": {two.packed_fingerprint}}
    assert not links.has_pending_work
    links.remove_peer("lazy")
    assert links.dispatch_changes("lazy", changes) == [one, two]


def test_a_named_record_that_does_not_arrive_is_asked_of_each_peer_in_turn():
    """Guards against pulls of records that arrived, and pulls from one peer only."""
    links = Dissemination(random.Random(1))
    links.schedule_pull("peer", b"arrives", 0)
    links.schedule_pull("peer", b"missing", 0)
    links.schedule_pull("other", b"missing", 0)
    links.cancel_pull(b"arrives")
    assert links.take_due_pulls(MIN_PULL_DELAY_MS - 1) == {}
    assert links.take_due_pulls(MAX_PULL_DELAY_MS) == {"peer": {b"missing"}}
    assert links.take_due_pulls(MAX_PULL_DELAY_MS) == {}
    assert links.take_due_pulls(2 * MAX_PULL_DELAY_MS) == {"other": {b"missing"}}
    assert not links.has_pending_work


def test_bodies_cross_each_instance_about_once(tmp_path):
    """Guards against a copy on each link: 5 instances have 10 links, a tree has 4."""
    count, change_count = 5, 20

    async def check():
        async with running(tmp_path, count) as fleets:
            for number in range(10):
                fleets[0].store.put(crash_record(f"first-{number}"))
                await until_all(fleets, f"first-{number}")
            received = count_flooded_records(fleets)
            for number in range(change_count):
                fleets[number % count].store.put(crash_record(f"k{number}"))
                await until_all(fleets, f"k{number}")
            assert sum(received) <= change_count * count

    asyncio.run(check())


def test_an_instance_with_only_lazy_links_gets_changes_soon(tmp_path):
    """Guards against a broken tree that only an exchange would repair."""

    async def check():
        async with running(tmp_path, 4) as fleets:
            for fleet in fleets:
                # Without exchanges, only a pull can deliver the record.
                fleet._exchange = skip_exchange
                for peer in fleets:
                    fleet._dissemination.make_lazy(peer.instance_id)
            begun_s = time.monotonic()
            fleets[0].store.put(crash_record("k"))
            await until_all(fleets, "k")
            assert time.monotonic() - begun_s < REACH_LIMIT_S

    async def skip_exchange(link):
        pass

    asyncio.run(check())


async def until_all(fleets, key):
    await until(lambda: all(holds(fleet, key) for fleet in fleets), f"{key} at all")


def count_flooded_records(fleets):
    """Return a list that gets the number of records of each received batch."""
    received = []
    for fleet in fleets:
        on_flooded_batch = fleet._on_flooded_batch

        def counted(link, batch, on_flooded_batch=on_flooded_batch):
            assert isinstance(batch, FloodedBatch)
            received.append(len(batch.records))
            on_flooded_batch(link, batch)

        fleet._on_flooded_batch = counted
    return received
