"""Merging, lifetimes, tombstones and digests of the record store."""

from itertools import permutations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cardamomrun_base.clock import ManualClock
from cardamomrun_base.model import MemberBody, MemberPhase, Record, RecordKind
from cardamomrun_fleet.store import (
    GONE_MEMBER_RETENTION_MS,
    TOMBSTONE_RETENTION_MS,
    Store,
)

from .builders import crash_record


def store_with(*records):
    store = Store(ManualClock())
    for record in records:
        store.put(record)
    return store


MERGES = [
    (
        "higher counter wins",
        crash_record(version=(0, 1)),
        crash_record(version=(0, 2)),
        True,
    ),
    (
        "lower counter loses",
        crash_record(version=(0, 2)),
        crash_record(version=(0, 1)),
        False,
    ),
    (
        "epoch before counter",
        crash_record(version=(0, 9)),
        crash_record(version=(1, 0)),
        True,
    ),
    ("the same again is no win", crash_record(), crash_record(), False),
]


@pytest.mark.parametrize(("name", "held", "new", "wins"), MERGES)
def test_merge_table(name, held, new, wins):
    """Guards against an old record that replaces a newer one."""
    store = store_with(held)
    assert store.put(new) is wins, name
    assert store.get(RecordKind.CRASH, "k") == (new if wins else held)


def test_equal_versions_with_different_bodies_agree():
    """Guards against instances that keep different bodies of the same version."""
    first, second = crash_record(text="a"), crash_record(text="b")
    one = store_with(first, second).get(RecordKind.CRASH, "k")
    assert one == store_with(second, first).get(RecordKind.CRASH, "k")


RECORDS = st.builds(
    crash_record,
    key=st.sampled_from(["k", "l"]),
    version=st.tuples(st.integers(0, 1), st.integers(0, 2)),
    text=st.sampled_from(["a", "b"]),
    lifetime_ms=st.sampled_from([None, 1_000]),
)


@settings(deadline=None, max_examples=60, derandomize=True)
@given(st.lists(RECORDS, max_size=4))
def test_merge_is_commutative_associative_and_idempotent(records):
    """Guards against stores that differ because of the order of merging."""
    digests = {store_with(*order).root_digest() for order in permutations(records)}
    digests.add(store_with(*records, *records).root_digest())
    halves = (
        store_with(*records[:2]).all_records() + store_with(*records[2:]).all_records()
    )
    digests.add(store_with(*(held.record for held in halves)).root_digest())
    assert len(digests) == 1


def test_an_expired_record_does_not_come_back():
    """Guards against an expired record that peers send each other forever."""
    clock = ManualClock()
    store = Store(clock)
    empty = store.root_digest()
    assert store.put(crash_record(lifetime_ms=1_000))
    clock.advance_ms(999)
    assert store.get(RecordKind.CRASH, "k")
    clock.advance_ms(1)
    assert store.all(RecordKind.CRASH) == []
    assert store.root_digest() == empty
    assert not store.put(crash_record(lifetime_ms=1_000))
    clock.advance_ms(TOMBSTONE_RETENTION_MS - 1)
    assert not store.put(crash_record(lifetime_ms=1_000))
    assert store.put(crash_record(version=(0, 2), lifetime_ms=1_000))


def test_the_age_of_a_record_counts_and_repeats_do_not_extend_it():
    """Guards against lifetimes that start anew at each instance."""
    clock = ManualClock()
    store = Store(clock)
    assert not store.merge(crash_record("old", lifetime_ms=1_000), age_ms=1_000)
    assert store.merge(crash_record(lifetime_ms=1_000), age_ms=400)
    clock.advance_ms(300)
    assert not store.merge(crash_record(lifetime_ms=1_000))
    clock.advance_ms(300)
    assert store.get(RecordKind.CRASH, "k") is None


def test_a_gone_member_is_removed_after_ten_minutes():
    """Guards against gone members that are kept forever."""
    clock = ManualClock()
    store = Store(clock)
    body = MemberBody("m", 1, "r", "d", (), "", "", "", MemberPhase.GONE)
    store.put(Record.from_content(RecordKind.MEMBER, "m", "m", (1, 1), body))
    clock.advance_ms(GONE_MEMBER_RETENTION_MS - 1)
    assert store.all(RecordKind.MEMBER)
    clock.advance_ms(1)
    assert not store.all(RecordKind.MEMBER)


def test_memory_is_bounded():
    """Guards against unlimited records, tombstones and heap entries."""
    clock = ManualClock()
    store = Store(clock, max_record_count=10, max_tombstone_count=10)
    for number in range(20):
        store.put(crash_record(f"k{number}", lifetime_ms=100))
    assert len(store) == 10
    assert store.refused_count == 10
    for counter in range(3_000):
        store.put(crash_record("k0", version=(1, counter), lifetime_ms=100))
    assert len(store._expiries) < 1_100
    clock.advance_ms(100)
    for number in range(20):
        store.put(crash_record(f"l{number}", lifetime_ms=100))
        clock.advance_ms(100)
    assert len(store) == 0
    assert len(store._tombstones) <= 10


def test_digests_find_exactly_the_differences():
    """Guards against exchanges that miss records or send all of them."""
    one = store_with(*(crash_record(f"k{n}") for n in range(500)))
    two = store_with(*(crash_record(f"k{n}") for n in range(1, 501)))
    two.put(crash_record("k7", version=(0, 2)))
    buckets = two.differing_buckets(one.bucket_digests())
    assert len(buckets) <= 3
    extra, wanted = one.compare(buckets, two.fingerprints(buckets))
    assert {held.record.key for held in extra} == {"k0", "k7"}
    lacking = two.with_fingerprints(buckets, wanted)
    assert {held.record.key for held in lacking} == {"k500", "k7"}


def test_a_faulty_subscriber_does_not_stop_the_others():
    """Guards against a subscriber that keeps records from the others."""
    store, received = store_with(), []
    store.subscribe(RecordKind.CRASH, lambda record: 1 / 0)
    store.subscribe(RecordKind.CRASH, received.append)
    store.put(crash_record())
    assert received == [crash_record()]


def test_copies_of_a_live_record_need_no_decoding():
    """Guards against flooded copies that cost as much as new records."""
    clock = ManualClock()
    store = Store(clock)
    held = store.prepare(crash_record(lifetime_ms=1_000))
    assert store.fingerprint_of_encoded(held.encoded) is None
    store.merge_held(held)
    store.cache_encoding(held.encoded, held)
    assert store.fingerprint_of_encoded(held.encoded) == held.packed_fingerprint
    clock.advance_ms(1_001)
    assert store.fingerprint_of_encoded(held.encoded) is None
