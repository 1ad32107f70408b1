"""Messages that flood changed records and compare the stores of two instances."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from cardamomrun_base.codec import CodecError, decode, message
from cardamomrun_base.logs import ComponentLog
from cardamomrun_base.model import InstanceId, Record
from cardamomrun_fleet.store import HeldRecord, Store

__all__ = [
    "Announcement",
    "Delivery",
    "Digests",
    "DigestsRequest",
    "Fingerprints",
    "FloodedBatch",
    "MissingFingerprints",
    "Prune",
    "Pull",
    "RecordBatch",
    "SnapshotRequest",
    "batches",
    "merge_batch",
]

# About 100 records, so that encoding or merging a batch occupies the event loop for at
# most a few milliseconds: client requests share the loop.
BATCH_BYTES = 16_000

log = ComponentLog("fleet")


@message("records")
@dataclass(frozen=True)
class RecordBatch:
    """Encoded records, each with its age in milliseconds; the receiver merges them."""

    records: tuple[tuple[bytes, int], ...]


@message("flooded")
@dataclass(frozen=True)
class FloodedBatch:
    """Changed records, each with its age in ms; the receiver floods those that win."""

    records: tuple[tuple[bytes, int], ...]


@message("delivery")
@dataclass(frozen=True)
class Delivery:
    """Changed records that the receiver handles like flooded ones, and confirms."""

    records: tuple[tuple[bytes, int], ...]


@message("announced")
@dataclass(frozen=True)
class Announcement:
    """Fingerprints of changed records that the receiver may pull."""

    fingerprints: bytes


@message("pull")
@dataclass(frozen=True)
class Pull:
    """Requests announced records, and from now on records instead of announcements."""

    fingerprints: bytes


@message("prune")
@dataclass(frozen=True)
class Prune:
    """Requests announcements instead of whole records, which other links deliver."""


@message("snapshot-request")
@dataclass(frozen=True)
class SnapshotRequest:
    """Requests all records; they arrive in batches before the answer."""


@message("digests-request")
@dataclass(frozen=True)
class DigestsRequest:
    """Starts an exchange with the sender's root digest."""

    root: bytes


@message("digests")
@dataclass(frozen=True)
class Digests:
    """The digest of each bucket; empty if the root digests are equal."""

    buckets: bytes


@message("fingerprints")
@dataclass(frozen=True)
class Fingerprints:
    """Fingerprints of the sender's records in differing buckets; one byte per bucket.

    Records that the sender lacks arrive in batches before the answer.
    """

    buckets: bytes
    fingerprints: bytes


@message("wanted")
@dataclass(frozen=True)
class MissingFingerprints:
    """Fingerprints of the records that the answering side lacks in those buckets."""

    fingerprints: bytes


def batches(held: Iterable[HeldRecord], now_ms: float) -> Iterator[RecordBatch]:
    """Yield the records in messages of about `BATCH_BYTES` or one record.

    The age is sent only for records with a lifetime; for others it is 0.
    """
    batch: list[tuple[bytes, int]] = []
    size = 0
    for held_record in held:
        data = held_record.encoded
        age_ms = 0 if held_record.lifetime_ms is None else held_record.age_ms(now_ms)
        if batch and size + len(data) > BATCH_BYTES:
            yield RecordBatch(tuple(batch))
            batch, size = [], 0
        batch.append((data, age_ms))
        size += len(data)
    if batch:
        yield RecordBatch(tuple(batch))


def merge_batch(
    store: Store, batch: RecordBatch | FloodedBatch | Delivery, source: InstanceId
) -> list[tuple[bytes, bool]]:
    """Merge a peer's records; skip and log those that cannot be decoded.

    Returns the fingerprint of each record, and whether it was known or outdated.
    """
    merged = []
    for data, age_ms in batch.records:
        known = store.fingerprint_of_encoded(data)
        if known is not None:
            merged.append((known, True))
            continue
        try:
            record = decode(data)
            if isinstance(record, Record):
                _ = record.content
                held = store.prepare(record, age_ms)
                is_new = store.merge_held(held, source)
                store.cache_encoding(data, held)
                merged.append((held.packed_fingerprint, not is_new))
        except CodecError as error:
            log.warning(f"record skipped: {error}", peer_id=source)
    return merged
