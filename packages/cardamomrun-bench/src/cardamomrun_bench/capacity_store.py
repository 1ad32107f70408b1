"""Slopes of the record store: memory of each kind, snapshot size and start-up time."""

import time
from collections.abc import Callable
from typing import Any

from cardamomrun_base.clock import SystemClock
from cardamomrun_base.model import Record, RecordKind
from cardamomrun_bench.capacity_fit import Series
from cardamomrun_bench.capacity_meters import cpu_ms, held_bytes
from cardamomrun_bench.capacity_world import (
    backend_record,
    document_bytes,
    environment_record,
    member_record,
)
from cardamomrun_fleet.exchange import RecordBatch, batches, merge_batch
from cardamomrun_fleet.store import Store
from cardamomrun_node.environments import LiveEnvironments

__all__ = ["measure_store"]

MEMBER_COUNTS = (100, 200, 420, 840)
BACKEND_COUNTS = (500, 1_000, 2_000, 4_000)
ROUTE_COUNTS = (100, 1_000, 3_000)
SNAPSHOT_COUNTS = (1_000, 2_000, 4_000)
# Documents without the checked form are parsed as JSON with comments, which is slow.
PARSE_COUNTS = (30, 59, 120, 300)

Builder = Callable[[int], Record]


def measure_store(
    seed: int,
    member_counts: tuple[int, ...] = MEMBER_COUNTS,
    backend_counts: tuple[int, ...] = BACKEND_COUNTS,
    route_counts: tuple[int, ...] = ROUTE_COUNTS,
    snapshot_counts: tuple[int, ...] = SNAPSHOT_COUNTS,
    parse_counts: tuple[int, ...] = PARSE_COUNTS,
) -> Any:
    """Return all series; nothing in them is random."""
    members = tuple((n, _store_memory_bytes(member_record, n)) for n in member_counts)
    backends = tuple(
        (n, _store_memory_bytes(backend_record, n)) for n in backend_counts
    )
    routes = tuple((n, _environment_bytes(n)) for n in route_counts)
    documents = tuple((n, float(len(document_bytes(0, n)))) for n in route_counts)
    records = tuple(
        (n, float(len(environment_record(0, n).body))) for n in route_counts
    )
    starts = [(n, *_snapshot(n)) for n in snapshot_counts]
    return [
        Series("store.member.memory", "members", "bytes in all", members),
        Series("store.backend.memory", "backend servers", "bytes in all", backends),
        Series("store.route.memory", "routes", "bytes in all", routes),
        Series("store.route.document", "routes", "bytes of the document", documents),
        Series("store.route.record", "routes", "bytes of the record", records),
        Series(
            "store.snapshot.bytes",
            "records",
            "bytes on the wire",
            tuple((n, size) for n, size, _, _ in starts),
        ),
        Series(
            "store.snapshot.send",
            "records",
            "ms of processor",
            tuple((n, send) for n, _, send, _ in starts),
        ),
        Series(
            "store.snapshot.merge",
            "records",
            "ms of processor",
            tuple((n, merge) for n, _, _, merge in starts),
        ),
        Series(
            "store.route.start",
            "routes",
            "ms to put in force",
            tuple((n, _in_force_ms(n, is_checked=True)) for n in route_counts),
        ),
        Series(
            "store.route.parse",
            "routes",
            "ms to put in force, parsed",
            tuple((n, _in_force_ms(n, is_checked=False)) for n in parse_counts),
        ),
    ]


def _receive_copy(record: Record) -> Record:
    """Return the record as a peer receives it: new objects, decoded body."""
    held = Store(SystemClock())
    held.put(record)
    other = Store(SystemClock())
    for batch in batches(held.all_records(), 0):
        merge_batch(other, RecordBatch(batch.records), "peer")
    return other.all(record.kind)[0]


def _store_memory_bytes(build: Builder, count: int) -> float:
    source = Store(SystemClock())
    for number in range(count):
        source.put(build(number))
    sent = [batch.records for batch in batches(source.all_records(), 0)]

    def fill() -> Store:
        store = Store(SystemClock())
        for records in sent:
            merge_batch(store, RecordBatch(records), "peer")
        # A node sends each record to its other links and so keeps the encoded form.
        for held in store.all_records():
            _ = held.encoded
        return store

    return float(held_bytes(fill))


def _environment_bytes(route_count: int) -> float:
    """Return the memory of one document in force: record, document and index."""
    record = _receive_copy(environment_record(0, route_count))
    encoded = record.body

    def fill() -> tuple[Store, LiveEnvironments]:
        store = Store(SystemClock())
        environments = LiveEnvironments(store)
        body = bytes(bytearray(encoded))
        store.put(
            Record(record.kind, record.key, record.owner_id, 0, 1, body),
        )
        for held in store.all_records():
            _ = held.encoded
        return store, environments

    return float(held_bytes(fill))


def _snapshot(count: int) -> tuple[float, float, float]:
    """Return bytes, ms to encode and ms to merge; a fifth of the records are members."""
    source = Store(SystemClock())
    for number in range(count):
        kind = member_record if number % 5 == 0 else backend_record
        source.put(kind(number))
    begun = cpu_ms()
    sent = [batch.records for batch in batches(source.all_records(), 0)]
    send_ms = cpu_ms() - begun
    size = sum(len(data) + 4 for records in sent for data, _ in records)
    target = Store(SystemClock())
    begun = cpu_ms()
    for records in sent:
        merge_batch(target, RecordBatch(records), "peer")
    merge_ms = cpu_ms() - begun
    assert (
        len(target.all(RecordKind.MEMBER)) + len(target.all(RecordKind.BACKEND))
        == count
    )
    return float(size), send_ms, merge_ms


def _in_force_ms(route_count: int, *, is_checked: bool) -> float:
    store = Store(SystemClock())
    LiveEnvironments(store)
    record = environment_record(0, route_count, is_checked=is_checked)
    started_s = time.process_time()
    store.put(record)
    return (time.process_time() - started_s) * 1_000
