"""The segment files that hold the entries of the log."""

import os
from collections.abc import Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

from cardamomrun_base.errors import StorageError
from cardamomrun_base.logs import ComponentLog
from cardamomrun_control.data_folder import DataFolder
from cardamomrun_control.disk import Disk, storage_error
from cardamomrun_control.file_records import (
    Entry,
    Snapshot,
    damaged_file_error,
    decode_record,
    encode_record,
)

__all__ = ["PartialWriteError", "Segments"]

SEGMENT_BYTES = 1_048_576

_log = ComponentLog("control")


class PartialWriteError(StorageError):
    """A failed append left a partial record in the file; nothing may follow it."""


@dataclass
class _Segment:
    """An open segment file; `offsets` holds the start of each of its entries."""

    path: Path
    first_index: int
    descriptor: int
    size_bytes: int
    offsets: list[int]


class Segments:
    """Entries in files of about `SEGMENT_BYTES`, each named by its first index.

    The methods block. `append` raises `StorageError`, the others `OSError` too.
    """

    def __init__(self, folder: DataFolder, disk: Disk) -> None:
        self._folder = folder
        self._disk = disk
        self._segments: list[_Segment] = []
        self._folder_changed = False

    def read(self, snapshot: Snapshot) -> list[Entry]:
        """Open all files and return the entries after the snapshot.

        Drops the files if the snapshot replaced them, since a crash may have happened
        before they were removed.
        """
        tail = _Tail(snapshot)
        paths = self._folder.segment_paths()
        index = None
        for path in paths:
            first_index = _first_index_of(path)
            if index is not None and first_index != index:
                raise damaged_file_error(path, 0, f"entry {index} is missing before it")
            index = self._read_file(path, first_index, path == paths[-1], tail)
        kept = [] if tail.contradicts_snapshot else tail.entries
        if self._segments and not kept:
            self.drop(snapshot.index, keeps_tail=False)
        return kept

    def append(self, entries: Sequence[Entry]) -> None:
        """Write entries in full or not at all; they are durable only after `sync`.

        Raises `PartialWriteError` if a partial write could not be rolled back.
        """
        segment = self._segment_for(entries[0].index)
        offsets: list[int] = []
        data = bytearray()
        for entry in entries:
            offsets.append(segment.size_bytes + len(data))
            data += encode_record(entry)
        try:
            self._disk.write_all(segment.descriptor, bytes(data))
        except OSError as error:
            failure = storage_error(segment.path, error)
            try:
                self._disk.truncate(segment.descriptor, segment.size_bytes)
            except OSError:
                raise PartialWriteError(
                    failure.message, remedy=failure.remedy
                ) from error
            raise failure from error
        segment.offsets += offsets
        segment.size_bytes += len(data)

    def sync(self, first_index: int) -> None:
        """Make the entries from `first_index` on durable."""
        for segment in list(self._segments):
            if segment.first_index + len(segment.offsets) > first_index:
                self._disk.sync(segment.descriptor)
        if self._folder_changed:
            self._folder_changed = False
            self._folder.sync()

    def truncate(self, index: int) -> None:
        """Remove the entries from `index` on, durably."""
        # Later segments are removed first, so that a crash leaves no gap.
        while self._segments and self._segments[-1].first_index >= index:
            self._remove(-1)
        if self._segments:
            segment = self._segments[-1]
            position = index - segment.first_index
            if position < len(segment.offsets):
                size_bytes = segment.offsets[position]
                self._disk.truncate(segment.descriptor, size_bytes)
                self._disk.sync(segment.descriptor)
                segment.size_bytes = size_bytes
                del segment.offsets[position:]
        self._folder.sync()

    def drop(self, snapshot_index: int, *, keeps_tail: bool) -> None:
        """Remove segments without entries after the snapshot, the oldest first.

        With `keeps_tail` the last segment stays, since an append may be writing to it;
        without it all are removed.
        """
        while self._segments:
            segment = self._segments[0]
            end = segment.first_index + len(segment.offsets)
            if keeps_tail and (end > snapshot_index + 1 or len(self._segments) == 1):
                break
            self._remove(0)
        self._folder.sync()

    def close(self) -> None:
        """Close all files."""
        for segment in self._segments:
            os.close(segment.descriptor)
        self._segments = []

    def _read_file(
        self, path: Path, first_index: int, is_last: bool, tail: "_Tail"
    ) -> int:
        """Open and read one file; return the index after its last entry."""
        descriptor = os.open(path, os.O_RDWR | os.O_APPEND)
        data = path.read_bytes()
        segment = _Segment(path, first_index, descriptor, 0, [])
        self._segments.append(segment)
        index = first_index
        while segment.size_bytes < len(data):
            offset = segment.size_bytes
            entry, end = decode_record(path, data, offset)
            if entry is None:
                if not is_last:
                    raise damaged_file_error(path, offset, "a record is incomplete")
                self._truncate_incomplete_record(segment, len(data))
                break
            if not isinstance(entry, Entry) or entry.index != index:
                raise damaged_file_error(path, offset, f"entry {index} is missing")
            segment.offsets.append(offset)
            segment.size_bytes = end
            tail.add(path, offset, entry)
            index += 1
        return index

    def _truncate_incomplete_record(self, segment: _Segment, length: int) -> None:
        _log.warning(
            f"{segment.path}: cut an incomplete record at offset {segment.size_bytes} "
            f"({length - segment.size_bytes} bytes)"
        )
        self._disk.truncate(segment.descriptor, segment.size_bytes)
        self._disk.sync(segment.descriptor)

    def _segment_for(self, index: int) -> _Segment:
        if self._segments and self._segments[-1].size_bytes < SEGMENT_BYTES:
            return self._segments[-1]
        path = self._folder.path / f"log-{index:020d}.segment"
        try:
            flags = os.O_RDWR | os.O_APPEND | os.O_CREAT | os.O_TRUNC
            descriptor = os.open(path, flags, 0o600)
        except OSError as error:
            raise storage_error(path, error) from error
        segment = _Segment(path, index, descriptor, 0, [])
        self._segments.append(segment)
        self._folder_changed = True
        return segment

    def _remove(self, position: int) -> None:
        segment = self._segments.pop(position)
        os.close(segment.descriptor)
        with suppress(FileNotFoundError):
            segment.path.unlink()


@dataclass
class _Tail:
    """Collects the entries after a snapshot while the segment files are read.

    `contradicts_snapshot` is set if the entry at its index has another term.
    """

    snapshot: Snapshot
    entries: list[Entry] = field(default_factory=list)
    contradicts_snapshot: bool = False

    def add(self, path: Path, offset: int, entry: Entry) -> None:
        at_snapshot = entry.index == self.snapshot.index
        if at_snapshot and entry.term != self.snapshot.term:
            self.contradicts_snapshot = True
        if entry.index <= self.snapshot.index:
            return
        expected = self.snapshot.index + len(self.entries) + 1
        if entry.index != expected:
            raise damaged_file_error(path, offset, f"entry {expected} is missing")
        self.entries.append(entry)


def _first_index_of(path: Path) -> int:
    digits = path.stem.removeprefix("log-")
    if not digits.isdecimal():
        raise damaged_file_error(path, 0, "the name has no index")
    return int(digits)
