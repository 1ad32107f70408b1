"""Messages with which instances pass records on and compare their stores."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from cardamomrun_base.codec import CodecError, decode, message
from cardamomrun_base.logs import PartLog
from cardamomrun_base.model import InstanceId, Record
from cardamomrun_fleet.store import HeldRecord, Store

__all__ = [
    "Announced",
    "Delivery",
    "Digests",
    "DigestsRequest",
    "Fingerprints",
    "FloodedBatch",
    "Prune",
    "Pull",
    "RecordBatch",
    "SnapshotRequest",
    "Wanted",
    "batches",
    "merge_batch",
]

# About 100 records: encoding or merging a batch holds the event loop for a few
# milliseconds at most, because requests of callers share the loop.
BATCH_BYTES = 16_000

log = PartLog("fleet")


@message("records")
@dataclass(frozen=True)
class RecordBatch:
    """Encoded records, each with its age in milliseconds."""

    records: tuple[tuple[bytes, int], ...]


@message("flooded")
@dataclass(frozen=True)
class FloodedBatch:
    """Changed records, each with its age; the receiver passes on those that win."""

    records: tuple[tuple[bytes, int], ...]


@message("delivery")
@dataclass(frozen=True)
class Delivery:
    """Changed records whose arrival the sender waits for; passed on like flooded ones."""

    records: tuple[tuple[bytes, int], ...]


@message("announced")
@dataclass(frozen=True)
class Announced:
    """Fingerprints of changed records whose bodies are sent on demand."""

    fingerprints: bytes


@message("pull")
@dataclass(frozen=True)
class Pull:
    """Asks for announced records, and for the bodies of later changes."""

    fingerprints: bytes


@message("prune")
@dataclass(frozen=True)
class Prune:
    """Asks for fingerprints instead of bodies, since other links bring the bodies."""


@message("snapshot-request")
@dataclass(frozen=True)
class SnapshotRequest:
    """Asks for all records; they arrive in batches before the answer."""


@message("digests-request")
@dataclass(frozen=True)
class DigestsRequest:
    """Starts an exchange; the root digest alone is sent while stores are equal."""

    root: bytes


@message("digests")
@dataclass(frozen=True)
class Digests:
    """The digest of each bucket; empty if the roots are equal."""

    buckets: bytes


@message("fingerprints")
@dataclass(frozen=True)
class Fingerprints:
    """What the sender holds in the buckets that differ; one byte names a bucket.

    Records that the sender lacks arrive in batches before the answer.
    """

    buckets: bytes
    fingerprints: bytes


@message("wanted")
@dataclass(frozen=True)
class Wanted:
    """Fingerprints of the records that the answering side lacks."""

    fingerprints: bytes


def batches(held: Iterable[HeldRecord], now_ms: float) -> Iterator[RecordBatch]:
    """Yield the records in messages of bounded size."""
    batch: list[tuple[bytes, int]] = []
    size = 0
    for one in held:
        data = one.encoded
        age_ms = 0 if one.lifetime_ms is None else one.age_ms(now_ms)
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
    """Merge a peer's records; unreadable ones are skipped and logged.

    Returns the fingerprint of each record, with whether it brought nothing new.
    """
    merged = []
    for data, age_ms in batch.records:
        known = store.fingerprint_of(data)
        if known is not None:
            merged.append((known, True))
            continue
        try:
            record = decode(data)
            if isinstance(record, Record):
                _ = record.content
                held = store.hold(record, age_ms)
                is_new = store.merge_held(held, source)
                store.remember(data, held)
                merged.append((held.packed_fingerprint, not is_new))
        except CodecError as error:
            log.warning(f"record skipped: {error}", peer_id=source)
    return merged
