"""The durable log of one control instance: entries, term and vote, snapshot, identity."""

import asyncio
from collections.abc import Callable, Sequence
from pathlib import Path

from cardamomrun_base.errors import StorageError
from cardamomrun_base.logs import ComponentLog
from cardamomrun_control.data_folder import DataFolder, NotReplacedError
from cardamomrun_control.disk import Disk, storage_error
from cardamomrun_control.file_records import (
    NO_RECOVERY,
    NO_SNAPSHOT,
    Entry,
    Identity,
    Recovery,
    Snapshot,
    Vote,
)
from cardamomrun_control.segments import PartialWriteError, Segments

__all__ = [
    "Disk",
    "DurableLog",
    "Entry",
    "Identity",
    "Recovery",
    "Snapshot",
    "Vote",
]

_log = ComponentLog("control")


class DurableLog:
    """Entries, vote, snapshot and identity in a folder that only one process may open.

    `open` raises `StorageError` if another process has locked the folder, if it cannot
    be written, or if a file is damaged. After a failed fsync it is not known which bytes
    are on disk, so the log refuses all further writes.
    """

    def __init__(self, folder: Path, disk: Disk | None = None) -> None:
        self.folder = folder
        self.replica_id = ""
        self.vote = Vote(0, "")
        self.snapshot = NO_SNAPSHOT
        self.recovery = NO_RECOVERY
        self.synced_index = 0
        self._disk = disk or Disk()
        self._entries: list[Entry] = []
        self._folder = DataFolder(folder, self._disk)
        self._segments = Segments(self._folder, self._disk)
        self._sync_lock = asyncio.Lock()
        self._failure: StorageError | None = None

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
        try:
            self._folder.lock()
            self.replica_id, self.vote = self._folder.read_identity()
            self.snapshot = self._folder.read_snapshot()
            self.recovery = self._folder.read_recovery()
            self._entries = self._segments.read(self.snapshot)
        except OSError as error:
            self._release()
            raise storage_error(self.folder, error) from error
        except NotReplacedError as error:
            self._release()
            raise storage_error(self.folder, error.error) from error
        except StorageError:
            self._release()
            raise
        self.synced_index = self.last_index

    async def start(self) -> None:
        """Open the folder without blocking the event loop."""
        await self._disk.run(self.open)

    def close(self) -> None:
        """Wait for running writes, refuse further ones and unlock the folder."""
        self._disk.close()
        # A late message must not write to a descriptor that belongs to another file.
        self._failure = self._failure or StorageError(
            f"{self.folder}: the log is closed.", remedy="start the instance again"
        )
        self._release()

    def _release(self) -> None:
        self._segments.close()
        self._folder.unlock()

    async def save_vote(self, vote: Vote) -> None:
        """Make term and vote durable."""
        await self._run_file_operation(lambda: self._folder.save_vote(vote))
        self.vote = vote

    async def save_recovery(self, recovery: Recovery) -> None:
        """Save data that speeds up the next start; failures are only logged."""
        if self._failure is not None:
            return
        try:
            await self._disk.run(lambda: self._folder.save_recovery(recovery))
        except (OSError, NotReplacedError) as error:
            _log.warning(f"could not save the recovery file: {error}")

    async def append(self, entries: Sequence[Entry]) -> None:
        """Write entries and return when they are durable."""
        self.write(entries)
        await self.sync()

    def write(self, entries: Sequence[Entry]) -> None:
        """Write entries in full or not at all; they are durable only after `sync`.

        Raises `StorageError`.
        """
        self._check_usable()
        if not entries:
            return
        try:
            self._segments.append(entries)
        except PartialWriteError as error:
            self._failure = error
            raise
        self._entries += entries

    async def sync(self) -> None:
        """Return when all entries written so far are durable.

        Concurrent calls share one fsync.
        """
        index = self.last_index
        async with self._sync_lock:
            self._check_usable()
            if self.synced_index >= index:
                return
            target = self.last_index
            first = self.synced_index + 1
            await self._run_file_operation(lambda: self._segments.sync(first))
            self.synced_index = target

    async def truncate_from(self, index: int) -> None:
        """Remove the entries from `index` on, durably."""
        async with self._sync_lock:
            self._check_usable()
            del self._entries[index - self.first_index :]
            self.synced_index = min(self.synced_index, index - 1)
            await self._run_file_operation(lambda: self._segments.truncate(index))

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
            await self._run_file_operation(lambda: self._folder.save_snapshot(snapshot))
            kept = self.entries_from(snapshot.index + 1) if keeps_tail else []
            self._entries = list(kept)
            self.snapshot = snapshot
            if not keeps_tail:
                self.synced_index = snapshot.index
            self.synced_index = max(self.synced_index, snapshot.index)
            await self._run_file_operation(
                lambda: self._segments.drop(snapshot.index, keeps_tail=keeps_tail)
            )

    async def _run_file_operation(self, function: Callable[[], None]) -> None:
        """Run file operations on the disk thread.

        After a failure that may have left one half done, the log refuses all writes.
        """
        self._check_usable()
        try:
            await self._disk.run(function)
        except OSError as error:
            self._failure = storage_error(self.folder, error)
            raise self._failure from error
        except NotReplacedError as error:
            raise storage_error(self.folder, error.error) from error

    def _check_usable(self) -> None:
        if self._failure is not None:
            raise self._failure
