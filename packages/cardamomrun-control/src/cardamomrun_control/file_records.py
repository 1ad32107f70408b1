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
    "damaged_file_error",
    "encode_record",
    "decode_record",
]

HEADER = struct.Struct(">III")
# A record that ends in this many zero bytes was not fully written: headers end with a
# checksum and bodies with a command, neither of which ends in zeros.
UNWRITTEN_TAIL_BYTES = 4
# Disks write in blocks of at least this size, so a block of zeros was not written.
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
    """The random id that a folder gets at its creation; votes are tied to it."""

    replica_id: str


@message("control-snapshot")
@dataclass(frozen=True)
class Snapshot:
    """The voters and the state after the entry `index`, both in encoded form."""

    index: int
    term: int
    voters: bytes
    state: bytes


@message("control-recovery")
@dataclass(frozen=True)
class Recovery:
    """Data that speeds up a start: a commit index, and encoded fleet records.

    It is saved periodically and may be out of date; correctness does not depend on it.
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


def decode_record(path: Path, data: bytes, offset: int) -> tuple[Any, int]:
    """Decode the record at `offset`; return its content and its end offset.

    Returns None and `offset` if the record is incomplete: it is cut short, or a power
    loss prevented a part of it from being written. The file system then shows zeros in
    the part's place, even if later writes were kept. Any other mismatch may be damage
    to synced bytes, so it raises `StorageError`, which names `path`.
    """
    # A view, since copying the rest of the data for each record is quadratic.
    rest = memoryview(data)[offset:]
    if len(rest) < HEADER.size or not any(rest[: HEADER.size]):
        return None, offset
    length, body_sum, header_sum = HEADER.unpack_from(rest)
    if zlib.crc32(rest[:8]) != header_sum:
        if _is_unwritten(rest[: HEADER.size]):
            return None, offset
        raise damaged_file_error(path, offset, "the checksum of a header is wrong")
    end = HEADER.size + length
    if len(rest) < end:
        return None, offset
    body = bytes(rest[HEADER.size : end])
    if zlib.crc32(body) != body_sum:
        if _is_unwritten(body):
            return None, offset
        raise damaged_file_error(path, offset, "the checksum of a record is wrong")
    try:
        return decode(body), offset + end
    except CodecError as error:
        raise damaged_file_error(path, offset, "a record cannot be decoded") from error


def _is_unwritten(data: bytes | memoryview) -> bool:
    """Return True if the end of the data, or a block of it, was never written."""
    tail = bytes(data[-UNWRITTEN_TAIL_BYTES:])
    return not any(tail) or bytes(UNWRITTEN_BLOCK_BYTES) in bytes(data)


def damaged_file_error(path: Path, offset: int, fault: str) -> StorageError:
    """Return the error for a file that is damaged."""
    return StorageError(f"{path}, offset {offset}: {fault}.", remedy=DAMAGE_REMEDY)
