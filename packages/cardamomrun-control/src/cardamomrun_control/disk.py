"""File operations of the data folder and their errors."""

import asyncio
import errno
import os
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import TypeVar

from cardamomrun_base.errors import StorageError

__all__ = ["Disk", "storage_error"]

Result = TypeVar("Result")


class Disk:
    """File operations of the log, in one place so that tests can make them fail.

    Blocking calls run one after the other on one thread, so a cancelled caller never
    leaves two of them running on the same file.
    """

    def __init__(self) -> None:
        self._executor = ThreadPoolExecutor(1, thread_name_prefix="durable-log")

    async def run(self, function: Callable[[], Result]) -> Result:
        """Run a blocking function on the thread, without blocking the event loop."""
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self._executor, function)

    def write(self, descriptor: int, data: bytes) -> int:
        """Write at the end of a file; return the number of bytes written."""
        return os.write(descriptor, data)

    def write_all(self, descriptor: int, data: bytes) -> None:
        """Write all bytes at the end of a file."""
        while data:
            data = data[self.write(descriptor, data) :]

    def sync(self, descriptor: int) -> None:
        """Make the content of a file durable."""
        os.fsync(descriptor)

    def truncate(self, descriptor: int, size_bytes: int) -> None:
        """Truncate a file to a size."""
        os.ftruncate(descriptor, size_bytes)

    def close(self) -> None:
        """Wait for running calls and end the thread."""
        self._executor.shutdown(wait=True)


def storage_error(path: Path, error: OSError) -> StorageError:
    """Return the typed error for a failed file operation."""
    remedy = "check the disk, then start the instance again"
    if error.errno in (errno.ENOSPC, errno.EDQUOT, errno.EFBIG):
        remedy = "free space on the disk, then try again"
    if error.errno in (errno.EROFS, errno.EACCES, errno.EPERM):
        remedy = "make the data folder writable for the user of the process"
    return StorageError(f"{path}: {error.strerror or error}.", remedy=remedy)
