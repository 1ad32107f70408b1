"""The data folder: its lock, and the files that are replaced atomically."""

import fcntl
import os
import uuid
from contextlib import suppress
from pathlib import Path
from typing import Any

from cardamomrun_base.errors import StorageError
from cardamomrun_base.logs import ComponentLog
from cardamomrun_control.disk import Disk
from cardamomrun_control.file_records import (
    NO_RECOVERY,
    NO_SNAPSHOT,
    Identity,
    Recovery,
    Snapshot,
    Vote,
    damaged_file_error,
    decode_record,
    encode_record,
)

__all__ = ["DataFolder", "NotReplacedError"]

LOCK_FILE = "lock"
IDENTITY_FILE = "identity"
VOTE_FILE = "vote"
SNAPSHOT_FILE = "snapshot"
RECOVERY_FILE = "recovery"
SEGMENT_PATTERN = "log-*.segment"

_log = ComponentLog("control")


class NotReplacedError(Exception):
    """A file could not be replaced; the old one is unchanged."""

    def __init__(self, error: OSError) -> None:
        super().__init__(str(error))
        self.error = error


class DataFolder:
    """Identity, vote and snapshot in a folder that only one process may lock.

    The methods block, and raise `OSError` or `NotReplacedError` for failed file
    operations and `StorageError` for damage.
    """

    def __init__(self, path: Path, disk: Disk) -> None:
        self.path = path
        self._disk = disk
        self._lock_descriptor: int | None = None

    def lock(self) -> None:
        """Lock the folder, which must exist."""
        # A missing folder may mean that its disk is not mounted. Creating it would
        # start the instance without its votes and entries.
        if not self.path.is_dir():
            raise StorageError(
                f"{self.path}: the data folder does not exist.",
                remedy="mount its disk, or create the folder for a new instance",
            )
        path = self.path / LOCK_FILE
        self._lock_descriptor = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self._lock_descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as error:
            raise StorageError(
                f"{self.path}: another process uses this data folder.",
                remedy="stop the other process, or give each instance its own folder",
            ) from error

    def unlock(self) -> None:
        """Unlock the folder; does nothing if it is not locked."""
        if self._lock_descriptor is not None:
            os.close(self._lock_descriptor)
            self._lock_descriptor = None

    def read_identity(self) -> tuple[str, Vote]:
        """Return the replica id and the vote; creates both in an empty folder."""
        for leftover in self.path.glob("*.new"):
            leftover.unlink()
        identity = self._read(IDENTITY_FILE)
        vote = self._read(VOTE_FILE)
        if identity is None:
            self._refuse_files_without_identity()
            vote = Vote(0, "")
            self.save_vote(vote)
            # The identity is written last, so that its presence means that the
            # creation of the folder was completed.
            identity = Identity(uuid.uuid4().hex)
            self._replace(IDENTITY_FILE, identity)
        elif vote is None:
            raise damaged_file_error(self.path / VOTE_FILE, 0, "the file is missing")
        return identity.replica_id, vote

    def save_vote(self, vote: Vote) -> None:
        """Make a vote durable."""
        self._replace(VOTE_FILE, vote)

    def read_snapshot(self) -> Snapshot:
        """Return the snapshot, or `NO_SNAPSHOT`."""
        return self._read(SNAPSHOT_FILE) or NO_SNAPSHOT

    def save_snapshot(self, snapshot: Snapshot) -> None:
        """Make a snapshot durable."""
        self._replace(SNAPSHOT_FILE, snapshot)

    def read_recovery(self) -> Recovery:
        """Return the data that speeds up a start; `NO_RECOVERY` if unusable."""
        try:
            found = self._read(RECOVERY_FILE)
        except StorageError as error:
            _log.warning(f"starting without the recovery file: {error}")
            return NO_RECOVERY
        return found if isinstance(found, Recovery) else NO_RECOVERY

    def save_recovery(self, recovery: Recovery) -> None:
        """Save the data that speeds up a start."""
        self._replace(RECOVERY_FILE, recovery)

    def segment_paths(self) -> list[Path]:
        """Return the segment files of the log, the oldest first."""
        return sorted(self.path.glob(SEGMENT_PATTERN))

    def sync(self) -> None:
        """Make creations, renames and removals of files durable."""
        descriptor = os.open(self.path, os.O_RDONLY)
        try:
            self._disk.sync(descriptor)
        finally:
            os.close(descriptor)

    def _refuse_files_without_identity(self) -> None:
        if self.segment_paths() or (self.path / SNAPSHOT_FILE).exists():
            raise damaged_file_error(
                self.path / IDENTITY_FILE, 0, "the file is missing"
            )

    def _read(self, name: str) -> Any:
        path = self.path / name
        if not path.exists():
            return None
        data = path.read_bytes()
        body, end = decode_record(path, data, 0)
        if body is None or end != len(data):
            raise damaged_file_error(path, 0, "the file is incomplete")
        return body

    def _replace(self, name: str, content: Any) -> None:
        """Write and sync a new file, rename it over the old one, sync the folder."""
        path = self.path / f"{name}.new"
        try:
            self._write_new(path, encode_record(content))
        except OSError as error:
            with suppress(OSError):
                path.unlink(missing_ok=True)
            raise NotReplacedError(error) from error
        path.replace(self.path / name)
        self.sync()

    def _write_new(self, path: Path, data: bytes) -> None:
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            self._disk.write_all(descriptor, data)
            self._disk.sync(descriptor)
        finally:
            os.close(descriptor)
