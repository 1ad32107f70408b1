"""Replicated record store: merge by version, lifetimes, tombstones, bucket digests."""

import heapq
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import cached_property
from typing import Any

import xxhash

from cardamomrun_base.clock import Clock
from cardamomrun_base.codec import encode
from cardamomrun_base.interfaces import RecordStore
from cardamomrun_base.logs import ComponentLog
from cardamomrun_base.model import MemberPhase, Record, RecordKind

__all__ = ["BUCKET_COUNT", "HeldRecord", "Store"]

BUCKET_COUNT = 256
BUCKET_DIGEST_BYTES = 4
FINGERPRINT_BYTES = 8
GONE_MEMBER_RETENTION_MS = 600_000
# A paused or partitioned peer can keep an expired record for a long time. Records of
# failed members are dropped after the same 10 minutes.
TOMBSTONE_RETENTION_MS = 600_000
# The target scale needs about 5,000 records; a few KB each stay far below 128 MB.
MAX_RECORD_COUNT = 50_000
MAX_TOMBSTONE_COUNT = 50_000
# Flooding delivers several copies of each record; recent ones need no second decoding.
MAX_CACHED_ENCODING_COUNT = 10_000
MAX_BODY_BYTES = 4_000_000

log = ComponentLog("fleet")

# The peer that sent a record; None if the record was written on this instance.
Source = str | None


@dataclass(frozen=True)
class HeldRecord:
    """A record with its rank in the merge order, its fingerprint and its lifetime here.

    `written_ms` is the local time at which the record was written, derived from the age
    that the peer reported; it is the time of arrival if the peer reported age 0.
    """

    record: Record
    rank: tuple[Any, ...]
    fingerprint: int
    written_ms: float
    lifetime_ms: float | None

    @cached_property
    def encoded(self) -> bytes:
        """The record as sent to peers; encoded once for all links and exchanges."""
        return encode(self.record)

    @property
    def packed_fingerprint(self) -> bytes:
        """The fingerprint as sent in messages: 8 bytes, big-endian."""
        return _pack(self.fingerprint)

    def age_ms(self, now_ms: float) -> int:
        """Return the time since the record was written; at least 0."""
        return max(0, int(now_ms - self.written_ms))

    def expires_ms(self) -> float:
        """Return when the record expires on the local clock; infinity if never."""
        if self.lifetime_ms is None:
            return float("inf")
        return self.written_ms + self.lifetime_ms


@dataclass(frozen=True)
class _Tombstone:
    version: tuple[int, int]
    until_ms: float


class Store(RecordStore):
    """Replicated records of one instance (`cardamomrun_base.interfaces.RecordStore`).

    Of two records with the same key the higher version wins. Equal versions are ordered
    by body digest, owner and lifetime, so that the result does not depend on the order
    of merging.
    """

    def __init__(
        self,
        clock: Clock,
        *,
        max_record_count: int = MAX_RECORD_COUNT,
        max_tombstone_count: int = MAX_TOMBSTONE_COUNT,
    ) -> None:
        self._clock = clock
        self._max_record_count = max_record_count
        self._max_tombstone_count = max_tombstone_count
        self._held: dict[RecordKind, dict[str, HeldRecord]] = {
            kind: {} for kind in RecordKind
        }
        self._buckets: list[dict[tuple[RecordKind, str], HeldRecord]] = [
            {} for _ in range(BUCKET_COUNT)
        ]
        self._by_fingerprint: dict[bytes, HeldRecord] = {}
        self._fingerprint_by_encoding: dict[bytes, bytes] = {}
        self._digests = [0] * BUCKET_COUNT
        self._tombstones: dict[tuple[RecordKind, str], _Tombstone] = {}
        self._expiries: list[tuple[float, int, RecordKind, str]] = []
        self._subscribers: dict[RecordKind, list[Callable[[Record], None]]] = {}
        self._watchers: list[Callable[[HeldRecord, Source], None]] = []
        self._record_count = 0
        self.refused_count = 0

    def __len__(self) -> int:
        self._expire()
        return self._record_count

    def get(self, kind: RecordKind, key: str) -> Record | None:
        """Return the live record of a key."""
        self._expire()
        held = self._held[kind].get(key)
        return held.record if held else None

    def written_ms(self, kind: RecordKind, key: str) -> float | None:
        """Return when the live record of a key was written, on the local clock."""
        self._expire()
        held = self._held[kind].get(key)
        return held.written_ms if held else None

    def all(self, kind: RecordKind) -> list[Record]:
        """Return all live records of a kind."""
        self._expire()
        return [held.record for held in self._held[kind].values()]

    def put(self, record: Record) -> bool:
        """Merge a record written on this instance; return True if it won.

        A record that wins is flooded, because the fleet watches the store.
        """
        return self.merge(record)

    def subscribe(self, kind: RecordKind, callback: Callable[[Record], None]) -> None:
        """Call back with each record of the kind that wins a merge, from any source."""
        self._subscribers.setdefault(kind, []).append(callback)

    def watch(self, callback: Callable[[HeldRecord, Source], None]) -> None:
        """Call back with each record that wins a merge, of any kind, and its source."""
        self._watchers.append(callback)

    def merge(self, record: Record, *, age_ms: int = 0, source: Source = None) -> bool:
        """Merge a record that was `age_ms` old when it arrived; return True if it won.

        Peers report the age so that the lifetime of a forwarded record does not start
        anew at each instance.
        """
        held = self.prepare(record, age_ms)
        return self.merge_held(held, source)

    def prepare(self, record: Record, age_ms: int = 0) -> HeldRecord:
        """Return the record with its rank and fingerprint, without merging it.

        `age_ms` is the age of the record on arrival.
        """
        return _prepared(record, self._clock.now_ms() - max(0, age_ms))

    def merge_held(self, held: HeldRecord, source: Source = None) -> bool:
        """Merge a record returned by `prepare`; return True if it won."""
        self._expire()
        if not self._wins(held):
            return False
        self._insert(held)
        self._notify(held, source)
        return True

    def remove(self, kind: RecordKind, key: str) -> None:
        """Replace a record by a tombstone, so that peers cannot reintroduce it."""
        held = self._held[kind].get(key)
        if held is not None:
            self._replace_by_tombstone(held)

    def root_digest(self) -> bytes:
        """Return one digest of all live records."""
        self._expire()
        return xxhash.xxh3_64_digest(self._packed_digests(FINGERPRINT_BYTES))

    def bucket_digests(self) -> bytes:
        """Return the digests of all buckets, 4 bytes each."""
        self._expire()
        return self._packed_digests(BUCKET_DIGEST_BYTES)

    def differing_buckets(self, digests: bytes) -> list[int]:
        """Return the buckets whose digest differs from a peer's `bucket_digests`."""
        own = self.bucket_digests()
        size = BUCKET_DIGEST_BYTES
        starts = range(0, BUCKET_COUNT * size, size)
        return [
            start // size
            for start in starts
            if own[start : start + size] != digests[start : start + size]
        ]

    def first_buckets(self, buckets: Iterable[int], record_count: int) -> list[int]:
        """Return the first of the buckets that have `record_count` records together."""
        chosen = []
        for bucket in buckets:
            if record_count <= 0:
                break
            chosen.append(bucket)
            record_count -= len(self._buckets[bucket])
        return chosen

    def fingerprints(self, buckets: Iterable[int]) -> bytes:
        """Return the fingerprints of the records in the buckets, 8 bytes each."""
        self._expire()
        return b"".join(
            _pack(held.fingerprint)
            for bucket in buckets
            for held in self._buckets[bucket].values()
        )

    def compare(
        self, buckets: Iterable[int], fingerprints: bytes
    ) -> tuple[list[HeldRecord], bytes]:
        """Return the records missing at a peer and the fingerprints missing here.

        `fingerprints` are those of all the peer's records in the buckets.
        """
        self._expire()
        theirs = set(_split(fingerprints))
        ours: set[bytes] = set()
        extra = []
        for bucket in buckets:
            for held in self._buckets[bucket].values():
                packed = _pack(held.fingerprint)
                ours.add(packed)
                if packed not in theirs:
                    extra.append(held)
        return extra, b"".join(sorted(theirs - ours))

    def with_fingerprints(
        self, buckets: Iterable[int], fingerprints: bytes
    ) -> list[HeldRecord]:
        """Return the records of the buckets that have one of the fingerprints."""
        self._expire()
        wanted = set(_split(fingerprints))
        return [
            held
            for bucket in buckets
            for held in self._buckets[bucket].values()
            if _pack(held.fingerprint) in wanted
        ]

    def get_by_fingerprint(self, fingerprint: bytes) -> HeldRecord | None:
        """Return the live record with a packed fingerprint."""
        self._expire()
        return self._by_fingerprint.get(fingerprint)

    def cache_encoding(self, encoded: bytes, held: HeldRecord) -> None:
        """Cache the fingerprint of an encoded record; copies then need no decoding."""
        self._fingerprint_by_encoding[xxhash.xxh3_128_digest(encoded)] = (
            held.packed_fingerprint
        )
        if len(self._fingerprint_by_encoding) > MAX_CACHED_ENCODING_COUNT:
            del self._fingerprint_by_encoding[next(iter(self._fingerprint_by_encoding))]

    def fingerprint_of_encoded(self, encoded: bytes) -> bytes | None:
        """Return the cached fingerprint of an encoded record if the record is live."""
        fingerprint = self._fingerprint_by_encoding.get(xxhash.xxh3_128_digest(encoded))
        return (
            None if self.get_by_fingerprint(fingerprint or b"") is None else fingerprint
        )

    def all_records(self) -> list[HeldRecord]:
        """Return all live records."""
        self._expire()
        return [held for by_key in self._held.values() for held in by_key.values()]

    def _wins(self, held: HeldRecord) -> bool:
        """Return True if the record is live, newer than any known one, and fits."""
        record = held.record
        if held.expires_ms() <= self._clock.now_ms():
            return False
        tombstone = self._tombstones.get((record.kind, record.key))
        if tombstone is not None and record.version <= tombstone.version:
            return False
        current = self._held[record.kind].get(record.key)
        if current is not None:
            return held.rank > current.rank and self._body_fits(record)
        if self._record_count >= self._max_record_count:
            self._refuse(f"the store holds its maximum of {self._record_count} records")
            return False
        return self._body_fits(record)

    def _body_fits(self, record: Record) -> bool:
        if len(record.body) <= MAX_BODY_BYTES:
            return True
        self._refuse(f"a record body has {len(record.body)} bytes")
        return False

    def _refuse(self, reason: str) -> None:
        self.refused_count += 1
        # Logged at each power of two, so that a full store does not fill the log.
        if self.refused_count & (self.refused_count - 1) == 0:
            log.error(f"record refused: {reason}", refused_count=self.refused_count)

    def _insert(self, held: HeldRecord) -> None:
        record = held.record
        kind_and_key = (record.kind, record.key)
        current = self._held[record.kind].get(record.key)
        if current is not None:
            self._remove_from_indexes(current)
        self._tombstones.pop(kind_and_key, None)
        bucket = _bucket_of(record.kind, record.key)
        self._held[record.kind][record.key] = held
        self._buckets[bucket][kind_and_key] = held
        self._by_fingerprint[held.packed_fingerprint] = held
        self._digests[bucket] ^= held.fingerprint
        self._record_count += 1
        if held.lifetime_ms is not None:
            self._schedule(held)

    def _remove_from_indexes(self, held: HeldRecord) -> None:
        record = held.record
        bucket = _bucket_of(record.kind, record.key)
        del self._held[record.kind][record.key]
        del self._buckets[bucket][(record.kind, record.key)]
        self._by_fingerprint.pop(held.packed_fingerprint, None)
        self._digests[bucket] ^= held.fingerprint
        self._record_count -= 1

    def _schedule(self, held: HeldRecord) -> None:
        heapq.heappush(self._expiries, _expiry(held))
        # Each renewal of a lease leaves a stale heap entry; rebuilding bounds the heap.
        if len(self._expiries) > 2 * self._record_count + 1_000:
            live = (held for held in self._iter_held() if held.lifetime_ms is not None)
            self._expiries = [_expiry(held) for held in live]
            heapq.heapify(self._expiries)

    def _iter_held(self) -> Iterable[HeldRecord]:
        return (held for by_key in self._held.values() for held in by_key.values())

    def _expire(self) -> None:
        now_ms = self._clock.now_ms()
        while self._expiries and self._expiries[0][0] <= now_ms:
            _, fingerprint, kind, key = heapq.heappop(self._expiries)
            held = self._held[kind].get(key)
            if held is None or held.fingerprint != fingerprint:
                continue
            if held.expires_ms() <= now_ms:
                self._replace_by_tombstone(held)
        self._drop_old_tombstones(now_ms)

    def _replace_by_tombstone(self, held: HeldRecord) -> None:
        record = held.record
        self._remove_from_indexes(held)
        kept_ms = max(TOMBSTONE_RETENTION_MS, held.lifetime_ms or 0)
        tombstone = _Tombstone(record.version, self._clock.now_ms() + kept_ms)
        self._tombstones[(record.kind, record.key)] = tombstone

    def _drop_old_tombstones(self, now_ms: float) -> None:
        while self._tombstones:
            kind_and_key, oldest = next(iter(self._tombstones.items()))
            is_full = len(self._tombstones) > self._max_tombstone_count
            if not is_full and oldest.until_ms > now_ms:
                return
            del self._tombstones[kind_and_key]

    def _notify(self, held: HeldRecord, source: Source) -> None:
        for watcher in tuple(self._watchers):
            watcher(held, source)
        for callback in tuple(self._subscribers.get(held.record.kind, ())):
            try:
                callback(held.record)
            except Exception as error:
                # The other subscribers must still receive the record.
                log.error(
                    f"record subscriber failed: {error!r}",
                    record_kind=str(held.record.kind),
                    key=held.record.key,
                )

    def _packed_digests(self, size: int) -> bytes:
        mask = (1 << (8 * size)) - 1
        return b"".join(
            (digest & mask).to_bytes(size, "big") for digest in self._digests
        )


def _prepared(record: Record, written_ms: float) -> HeldRecord:
    lifetime_ms: float | None = record.lifetime_ms
    if record.kind is RecordKind.MEMBER and record.content.phase is MemberPhase.GONE:
        lifetime_ms = GONE_MEMBER_RETENTION_MS if lifetime_ms is None else lifetime_ms
    own_lifetime_ms = -1 if record.lifetime_ms is None else record.lifetime_ms
    body_digest = xxhash.xxh3_128_digest(record.body)
    rank = (record.version, body_digest, record.owner_id, own_lifetime_ms)
    text = f"{record.kind}\0{record.key}\0{rank}"
    fingerprint = xxhash.xxh3_64_intdigest(text.encode())
    return HeldRecord(record, rank, fingerprint, written_ms, lifetime_ms)


def _expiry(held: HeldRecord) -> tuple[float, int, RecordKind, str]:
    record = held.record
    return held.expires_ms(), held.fingerprint, record.kind, record.key


def _bucket_of(kind: RecordKind, key: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{kind}\0{key}".encode()) % BUCKET_COUNT


def _pack(fingerprint: int) -> bytes:
    return fingerprint.to_bytes(FINGERPRINT_BYTES, "big")


def _split(fingerprints: bytes) -> Iterable[bytes]:
    size = FINGERPRINT_BYTES
    for start in range(0, len(fingerprints), size):
        yield fingerprints[start : start + size]
