"""The durable log of one control instance: entries, term and vote, snapshot, identity.

All files are in one folder. A record is a header (length, checksum of the body,
checksum of the header) and a CBOR body. The header has its own checksum so that a
damaged length is not taken for an incomplete last record.
"""

import asyncio
import errno
import fcntl
import os
import struct
import uuid
import zlib
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

from cardamomrun_base.codec import CodecError, decode, encode, message
from cardamomrun_base.errors import StorageError
from cardamomrun_base.logs import PartLog

__all__ = ["Disk", "DurableLog", "Entry", "Identity", "Snapshot", "Vote"]

HEADER = struct.Struct(">III")
SEGMENT_BYTES = 1_048_576
LOCK_FILE = "lock"
IDENTITY_FILE = "identity"
VOTE_FILE = "vote"
SNAPSHOT_FILE = "snapshot"
SEGMENT_PATTERN = "log-*.segment"
DAMAGE_REMEDY = (
    "move the folder away, start with an empty one, then remove this voter and add "
    "it again"
)

Result = TypeVar("Result")
_log = PartLog("control")


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


NO_SNAPSHOT = Snapshot(0, 0, b"", b"")


class _NotReplacedError(Exception):
    """A file was not replaced; the old one is as it was."""

    def __init__(self, error: OSError) -> None:
        super().__init__(str(error))
        self.error = error


class Disk:
    """File operations of the log, in one place so that tests can make them fail.

    Blocking calls run one after the other on one thread, so a cancelled caller never
    leaves two of them at work on the same file.
    """

    def __init__(self) -> None:
        self._executor = ThreadPoolExecutor(1, thread_name_prefix="durable-log")

    async def run(self, function: Callable[[], Result]) -> Result:
        """Run a blocking function without stalling the event loop."""
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self._executor, function)

    def write(self, descriptor: int, data: bytes) -> int:
        """Write at the end of a file; return the number of bytes taken."""
        return os.write(descriptor, data)

    def sync(self, descriptor: int) -> None:
        """Make the content of a file durable."""
        os.fsync(descriptor)

    def truncate(self, descriptor: int, size_bytes: int) -> None:
        """Cut a file."""
        os.ftruncate(descriptor, size_bytes)

    def close(self) -> None:
        """Wait for running calls and end the thread."""
        self._executor.shutdown(wait=True)


@dataclass
class _Segment:
    """An open segment file; `offsets` holds the start of each of its entries."""

    path: Path
    first_index: int
    descriptor: int
    size_bytes: int
    offsets: list[int]


class DurableLog:
    """Entries, vote, snapshot and identity in a folder that one process may open.

    `open` raises `StorageError` if another process has the folder, if it cannot be
    written, or if a file is damaged. After a failed fsync it is not known which bytes
    are on disk, so the log refuses all further writes.
    """

    def __init__(self, folder: Path, disk: Disk | None = None) -> None:
        self.folder = folder
        self.replica_id = ""
        self.vote = Vote(0, "")
        self.snapshot = NO_SNAPSHOT
        self.synced_index = 0
        self._disk = disk or Disk()
        self._entries: list[Entry] = []
        self._segments: list[_Segment] = []
        self._lock_descriptor: int | None = None
        self._sync_lock = asyncio.Lock()
        self._failure: StorageError | None = None
        self._folder_changed = False
        self._contradicts_snapshot = False

    @property
    def first_index(self) -> int:
        """The index of the first entry that is not compacted."""
        return self.snapshot.index + 1

    @property
    def last_index(self) -> int:
        """The index of the last entry, synced or not."""
        return self.snapshot.index + len(self._entries)

    @property
    def failure(self) -> StorageError | None:
        """Why the log refuses all writes, or None."""
        return self._failure

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or None if it is compacted or not there."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if self.first_index <= index <= self.last_index:
            return self._entries[index - self.first_index].term
        return None

    def entries_from(self, index: int) -> Sequence[Entry]:
        """Return the entries from `index` on, which must not be compacted."""
        return self._entries[index - self.first_index :]

    def open(self) -> None:
        """Lock the folder and read it; the folder must exist."""
        # A folder that is missing may be a disk that is not mounted. Creating it would
        # start the instance without its votes and entries.
        if not self.folder.is_dir():
            raise StorageError(
                f"{self.folder}: the data folder does not exist.",
                remedy="mount its disk, or create the folder for a new instance",
            )
        try:
            self._lock()
            self._read_identity()
            self._read_snapshot()
            self._read_segments()
        except OSError as error:
            self._release()
            raise self._os_error(self.folder, error) from error
        except _NotReplacedError as error:
            self._release()
            raise self._os_error(self.folder, error.error) from error
        except StorageError:
            self._release()
            raise
        self.synced_index = self.last_index

    async def start(self) -> None:
        """Open the folder without stalling the event loop."""
        await self._disk.run(self.open)

    def close(self) -> None:
        """Wait for running writes, refuse further ones and give the folder back."""
        self._disk.close()
        # A late message must not write to a descriptor that belongs to another file.
        self._failure = self._failure or StorageError(
            f"{self.folder}: the log is closed.", remedy="start the instance again"
        )
        self._release()

    def _release(self) -> None:
        for segment in self._segments:
            os.close(segment.descriptor)
        self._segments = []
        if self._lock_descriptor is not None:
            os.close(self._lock_descriptor)
            self._lock_descriptor = None

    async def save_vote(self, vote: Vote) -> None:
        """Make term and vote durable."""
        await self._guarded(lambda: self._replace(VOTE_FILE, vote))
        self.vote = vote

    async def append(self, entries: Sequence[Entry]) -> None:
        """Write entries and return when they are durable."""
        self.write(entries)
        await self.sync()

    def write(self, entries: Sequence[Entry]) -> None:
        """Write entries in full or not at all; they count only after `sync`.

        Raises `StorageError`.
        """
        self._check_usable()
        if entries:
            self._write(entries)

    async def sync(self) -> None:
        """Return when all entries written so far are durable.

        Concurrent calls share one fsync.
        """
        await self._sync_to(self.last_index)

    async def truncate_from(self, index: int) -> None:
        """Remove the entries from `index` on, durably."""
        async with self._sync_lock:
            self._check_usable()
            del self._entries[index - self.first_index :]
            self.synced_index = min(self.synced_index, index - 1)
            await self._guarded(lambda: self._truncate_files(index))

    async def save_snapshot(self, snapshot: Snapshot) -> None:
        """Make a snapshot durable, then drop the entries that it covers.

        Entries after it are kept only if the log holds the entry at its index with
        the same term.
        """
        async with self._sync_lock:
            self._check_usable()
            if snapshot.index <= self.snapshot.index:
                return
            keeps_tail = self.term_at(snapshot.index) == snapshot.term
            await self._guarded(lambda: self._replace(SNAPSHOT_FILE, snapshot))
            kept = self.entries_from(snapshot.index + 1) if keeps_tail else []
            self._entries = list(kept)
            self.snapshot = snapshot
            if not keeps_tail:
                self.synced_index = snapshot.index
            self.synced_index = max(self.synced_index, snapshot.index)
            await self._guarded(lambda: self._drop_segments(keeps_tail))

    def _lock(self) -> None:
        path = self.folder / LOCK_FILE
        self._lock_descriptor = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self._lock_descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as error:
            raise StorageError(
                f"{self.folder}: another process uses this data folder.",
                remedy="stop the other process, or give each instance its own folder",
            ) from error

    def _read_identity(self) -> None:
        for leftover in self.folder.glob("*.new"):
            leftover.unlink()
        identity = self._read_file(IDENTITY_FILE)
        vote = self._read_file(VOTE_FILE)
        if identity is None:
            self._refuse_files_without_identity()
            self._replace(VOTE_FILE, self.vote)
            # The identity is written last, so that its presence means that the
            # creation of the folder was completed.
            identity = Identity(uuid.uuid4().hex)
            self._replace(IDENTITY_FILE, identity)
        elif vote is None:
            raise self._damage(self.folder / VOTE_FILE, 0, "the file is missing")
        else:
            self.vote = vote
        self.replica_id = identity.replica_id

    def _refuse_files_without_identity(self) -> None:
        others = [*self.folder.glob(SEGMENT_PATTERN)]
        if others or (self.folder / SNAPSHOT_FILE).exists():
            raise self._damage(self.folder / IDENTITY_FILE, 0, "the file is missing")

    def _read_snapshot(self) -> None:
        self.snapshot = self._read_file(SNAPSHOT_FILE) or NO_SNAPSHOT

    def _read_file(self, name: str) -> Any:
        path = self.folder / name
        if not path.exists():
            return None
        data = path.read_bytes()
        body, end = self._record_at(path, data, 0)
        if body is None or end != len(data):
            raise self._damage(path, 0, "the file is incomplete")
        return body

    def _read_segments(self) -> None:
        paths = sorted(self.folder.glob(SEGMENT_PATTERN))
        index = None
        for path in paths:
            first_index = self._first_index_of(path)
            if index is not None and first_index != index:
                raise self._damage(path, 0, f"entry {index} is missing before it")
            index = self._read_segment(path, first_index, path == paths[-1])
        self._check_join()

    def _first_index_of(self, path: Path) -> int:
        digits = path.stem.removeprefix("log-")
        if not digits.isdecimal():
            raise self._damage(path, 0, "the name has no index")
        return int(digits)

    def _read_segment(self, path: Path, first_index: int, is_last: bool) -> int:
        descriptor = os.open(path, os.O_RDWR | os.O_APPEND)
        data = path.read_bytes()
        segment = _Segment(path, first_index, descriptor, 0, [])
        self._segments.append(segment)
        index = first_index
        while segment.size_bytes < len(data):
            offset = segment.size_bytes
            entry, end = self._record_at(path, data, offset)
            if entry is None:
                if not is_last:
                    raise self._damage(path, offset, "a record is incomplete")
                self._cut_tail(segment, len(data))
                break
            if not isinstance(entry, Entry) or entry.index != index:
                raise self._damage(path, offset, f"entry {index} is missing")
            segment.offsets.append(offset)
            segment.size_bytes = end
            if index == self.snapshot.index and entry.term != self.snapshot.term:
                self._contradicts_snapshot = True
            if index > self.snapshot.index:
                self._take(path, offset, entry)
            index += 1
        return index

    def _take(self, path: Path, offset: int, entry: Entry) -> None:
        if entry.index != self.last_index + 1:
            raise self._damage(path, offset, f"entry {self.last_index + 1} is missing")
        self._entries.append(entry)

    def _check_join(self) -> None:
        """Drop segments that a snapshot replaced before a crash could remove them."""
        if self._contradicts_snapshot:
            self._entries = []
        if self._segments and not self._entries:
            self._drop_segments(False)

    def _cut_tail(self, segment: _Segment, length: int) -> None:
        _log.warning(
            f"{segment.path}: cut an incomplete record at offset {segment.size_bytes} "
            f"({length - segment.size_bytes} bytes)"
        )
        self._disk.truncate(segment.descriptor, segment.size_bytes)
        self._disk.sync(segment.descriptor)

    def _record_at(self, path: Path, data: bytes, offset: int) -> tuple[Any, int]:
        """Return the record at `offset` and its end, or None if it is incomplete.

        Only bytes that end too early, or that are all zero up to the end of the file
        (allocated, never written), count as incomplete. Anything else may have been
        synced before it was damaged, so it is refused.
        """
        # A view, since a copy of the rest for each record makes reading quadratic.
        rest = memoryview(data)[offset:]
        if len(rest) < HEADER.size or not any(rest):
            return None, offset
        length, body_sum, header_sum = HEADER.unpack_from(rest)
        if zlib.crc32(rest[:8]) != header_sum:
            raise self._damage(path, offset, "the checksum of a header is wrong")
        end = HEADER.size + length
        if len(rest) < end:
            return None, offset
        body = bytes(rest[HEADER.size : end])
        if zlib.crc32(body) != body_sum:
            raise self._damage(path, offset, "the checksum of a record is wrong")
        try:
            return decode(body), offset + end
        except CodecError as error:
            raise self._damage(path, offset, "a record cannot be decoded") from error

    def _write(self, entries: Sequence[Entry]) -> None:
        segment = self._segment_for(entries[0].index)
        offsets: list[int] = []
        data = bytearray()
        for entry in entries:
            offsets.append(segment.size_bytes + len(data))
            data += _record(entry)
        try:
            self._write_all(segment.descriptor, bytes(data))
        except OSError as error:
            self._take_back(segment, error)
            raise self._os_error(segment.path, error) from error
        segment.offsets += offsets
        segment.size_bytes += len(data)
        self._entries += entries

    def _segment_for(self, index: int) -> _Segment:
        if self._segments and self._segments[-1].size_bytes < SEGMENT_BYTES:
            return self._segments[-1]
        path = self.folder / f"log-{index:020d}.segment"
        try:
            flags = os.O_RDWR | os.O_APPEND | os.O_CREAT | os.O_TRUNC
            descriptor = os.open(path, flags, 0o600)
        except OSError as error:
            raise self._os_error(path, error) from error
        segment = _Segment(path, index, descriptor, 0, [])
        self._segments.append(segment)
        self._folder_changed = True
        return segment

    def _write_all(self, descriptor: int, data: bytes) -> None:
        while data:
            data = data[self._disk.write(descriptor, data) :]

    def _take_back(self, segment: _Segment, error: OSError) -> None:
        """Remove the part of a failed append; refuse further writes if that fails."""
        try:
            self._disk.truncate(segment.descriptor, segment.size_bytes)
        except OSError:
            self._failure = self._os_error(segment.path, error)

    async def _sync_to(self, index: int) -> None:
        async with self._sync_lock:
            self._check_usable()
            if self.synced_index >= index:
                return
            target = self.last_index
            first = self.synced_index + 1
            await self._guarded(lambda: self._sync_segments(first))
            self.synced_index = target

    def _sync_segments(self, first_index: int) -> None:
        for segment in list(self._segments):
            if segment.first_index + len(segment.offsets) > first_index:
                self._disk.sync(segment.descriptor)
        if self._folder_changed:
            self._folder_changed = False
            self._sync_folder()

    async def _guarded(self, function: Callable[[], None]) -> None:
        """Run file operations on the thread.

        After a failure that may have left something half done, refuse all writes.
        """
        self._check_usable()
        try:
            await self._disk.run(function)
        except OSError as error:
            self._failure = self._os_error(self.folder, error)
            raise self._failure from error
        except _NotReplacedError as error:
            raise self._os_error(self.folder, error.error) from error

    def _check_usable(self) -> None:
        if self._failure is not None:
            raise self._failure

    def _replace(self, name: str, content: Any) -> None:
        """Write a file beside, sync it, rename it, and sync the folder."""
        path = self.folder / f"{name}.new"
        try:
            self._write_new(path, _record(content))
        except OSError as error:
            with suppress(OSError):
                path.unlink(missing_ok=True)
            raise _NotReplacedError(error) from error
        path.replace(self.folder / name)
        self._sync_folder()

    def _write_new(self, path: Path, data: bytes) -> None:
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            self._write_all(descriptor, data)
            self._disk.sync(descriptor)
        finally:
            os.close(descriptor)

    def _sync_folder(self) -> None:
        descriptor = os.open(self.folder, os.O_RDONLY)
        try:
            self._disk.sync(descriptor)
        finally:
            os.close(descriptor)

    def _truncate_files(self, index: int) -> None:
        # Later segments go first, so that a crash leaves no gap.
        while self._segments and self._segments[-1].first_index >= index:
            self._remove_segment(-1)
        if self._segments:
            segment = self._segments[-1]
            position = index - segment.first_index
            if position < len(segment.offsets):
                size_bytes = segment.offsets[position]
                self._disk.truncate(segment.descriptor, size_bytes)
                self._disk.sync(segment.descriptor)
                segment.size_bytes = size_bytes
                del segment.offsets[position:]
        self._sync_folder()

    def _drop_segments(self, keeps_tail: bool) -> None:
        """Remove segments without entries after the snapshot, the oldest first.

        With a tail the last segment stays, since an append may be writing to it.
        """
        while self._segments:
            segment = self._segments[0]
            end = segment.first_index + len(segment.offsets)
            if keeps_tail and (end > self.first_index or len(self._segments) == 1):
                break
            self._remove_segment(0)
        self._sync_folder()

    def _remove_segment(self, position: int) -> None:
        segment = self._segments.pop(position)
        os.close(segment.descriptor)
        with suppress(FileNotFoundError):
            segment.path.unlink()

    def _damage(self, path: Path, offset: int, fault: str) -> StorageError:
        return StorageError(f"{path}, offset {offset}: {fault}.", remedy=DAMAGE_REMEDY)

    def _os_error(self, path: Path, error: OSError) -> StorageError:
        remedy = "check the disk, then start the instance again"
        if error.errno in (errno.ENOSPC, errno.EDQUOT, errno.EFBIG):
            remedy = "free space on the disk, then try again"
        if error.errno in (errno.EROFS, errno.EACCES, errno.EPERM):
            remedy = "make the data folder writable for the user of the process"
        return StorageError(f"{path}: {error.strerror or error}.", remedy=remedy)


def _record(content: Any) -> bytes:
    body = encode(content)
    start = struct.pack(">II", len(body), zlib.crc32(body))
    return start + struct.pack(">I", zlib.crc32(start)) + body
