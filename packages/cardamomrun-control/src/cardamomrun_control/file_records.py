"""Records in the files of a data folder: their content and their format.

A record is a header (length, checksum of the body, checksum of the header) and a CBOR
body. The header has its own checksum so that a damaged length is not taken for an
incomplete last record.
"""

import struct
import zlib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from cardamomrun_base.codec import CodecError, decode, encode, message
from cardamomrun_base.errors import StorageError

__all__ = [
    "NO_RECOVERY",
    "NO_SNAPSHOT",
    "Entry",
    "Identity",
    "Recovery",
    "Snapshot",
    "Vote",
    "damage",
    "encode_record",
    "record_at",
]

HEADER = struct.Struct(">III")
# Records end with a checksum or with a command, neither of which ends in zeros.
UNWRITTEN_TAIL_BYTES = 4
# Disks write in blocks of at least this size.
UNWRITTEN_BLOCK_BYTES = 512
DAMAGE_REMEDY = (
    "move the folder away, start with an empty one, then remove this voter and add "
    "it again"
)


@message("control-entry")
@dataclass(frozen=True)
class Entry:
    """One entry of the replicated log; `command` is an encoded command."""

    index: int
    term: int
    command: bytes


@message("control-vote-state")
@dataclass(frozen=True)
class Vote:
    """The current term and the instance that got this replica's vote in it."""

    term: int
    voted_for: str


@message("control-identity")
@dataclass(frozen=True)
class Identity:
    """The random id that a folder gets at its creation; votes are bound to it."""

    replica_id: str


@message("control-snapshot")
@dataclass(frozen=True)
class Snapshot:
    """The state after the entry `index`; the voters are in encoded form too."""

    index: int
    term: int
    voters: bytes
    state: bytes


@message("control-recovery")
@dataclass(frozen=True)
class Recovery:
    """What speeds up a start: a committed index, and records in encoded form.

    It is saved now and then and may be old; nothing depends on it.
    """

    commit_index: int
    records: tuple[bytes, ...]


NO_RECOVERY = Recovery(0, ())
NO_SNAPSHOT = Snapshot(0, 0, b"", b"")


def encode_record(content: Any) -> bytes:
    """Return the record of a registered data class."""
    body = encode(content)
    start = struct.pack(">II", len(body), zlib.crc32(body))
    return start + struct.pack(">I", zlib.crc32(start)) + body


def record_at(path: Path, data: bytes, offset: int) -> tuple[Any, int]:
    """Return the record at `offset` and its end, or None if it is incomplete.

    A record counts as incomplete if its bytes end too early, or if a power loss kept a
    part of them from being written: the file system then shows zeros in their place,
    also before later writes that were kept. Any other difference may be damage to
    synced bytes, so it raises `StorageError`, which names `path`.
    """
    # A view, since a copy of the rest for each record makes reading quadratic.
    rest = memoryview(data)[offset:]
    if len(rest) < HEADER.size or not any(rest[: HEADER.size]):
        return None, offset
    length, body_sum, header_sum = HEADER.unpack_from(rest)
    if zlib.crc32(rest[:8]) != header_sum:
        if _is_unwritten(rest[: HEADER.size]):
            return None, offset
        raise damage(path, offset, "the checksum of a header is wrong")
    end = HEADER.size + length
    if len(rest) < end:
        return None, offset
    body = bytes(rest[HEADER.size : end])
    if zlib.crc32(body) != body_sum:
        if _is_unwritten(body):
            return None, offset
        raise damage(path, offset, "the checksum of a record is wrong")
    try:
        return decode(body), offset + end
    except CodecError as error:
        raise damage(path, offset, "a record cannot be decoded") from error


def _is_unwritten(data: bytes | memoryview) -> bool:
    """Return True if the end of some bytes, or a block of them, was never written."""
    tail = bytes(data[-UNWRITTEN_TAIL_BYTES:])
    return not any(tail) or bytes(UNWRITTEN_BLOCK_BYTES) in bytes(data)


def damage(path: Path, offset: int, fault: str) -> StorageError:
    """Return the error for a file that cannot be trusted."""
    return StorageError(f"{path}, offset {offset}: {fault}.", remedy=DAMAGE_REMEDY)
