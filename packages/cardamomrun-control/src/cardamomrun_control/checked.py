"""Checked documents, so that each document is parsed once on an instance."""

import asyncio
from collections.abc import Callable

from cardamomrun_base.codec import decode, encode
from cardamomrun_base.documents import (
    EnvironmentDocument,
    document_digest,
    load_document,
)
from cardamomrun_base.errors import CardamomrunError
from cardamomrun_base.logs import PartLog

__all__ = ["CheckedDocuments"]

# Parsing takes about 1 ms a route. A document of this size has about 50 routes, and
# 50 ms is a quarter of a heartbeat; a longer one is parsed on a thread.
INLINE_BYTES = 4_096
# The documents in force are also in the record store, so this needs no more than the
# recent ones: a promotion follows its trial.
HELD_BYTES = 16_000_000

_log = PartLog("control")


class CheckedDocuments:
    """Encoded `EnvironmentDocument`s by the digest of their document's bytes."""

    def __init__(self) -> None:
        self._held: dict[str, bytes] = {}
        self._held_bytes = 0
        self._tasks: dict[str, asyncio.Task[None]] = {}

    async def check(self, data: bytes, name: str) -> EnvironmentDocument:
        """Parse a document and hold it, or raise `DocumentError`."""
        digest = document_digest(data)
        held = self._held.get(digest)
        if held:
            return decode(held)
        if len(data) <= INLINE_BYTES:
            document = load_document(data, name)
        else:
            document = await asyncio.to_thread(load_document, data, name)
        self._hold(digest, encode(document))
        return document

    def get(
        self, digest: str, data: bytes, name: str, ready: Callable[[], None]
    ) -> bytes | None:
        """Return the encoded document, or None until `ready` is called.

        Returns no bytes for a document that cannot be parsed, which a control instance
        of another release may have accepted; entry instances report its fault.
        """
        held = self._held.get(digest)
        if held is None and len(data) <= INLINE_BYTES:
            self._hold(digest, _encoded(data, name))
            held = self._held[digest]
        elif held is None and digest not in self._tasks:
            work = self._prepare(digest, data, name, ready)
            self._tasks[digest] = asyncio.get_running_loop().create_task(work)
        return held

    async def stop(self) -> None:
        """End the tasks that wait for a thread."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _prepare(
        self, digest: str, data: bytes, name: str, ready: Callable[[], None]
    ) -> None:
        try:
            self._hold(digest, await asyncio.to_thread(_encoded, data, name))
        finally:
            del self._tasks[digest]
        ready()

    def _hold(self, digest: str, encoded: bytes) -> None:
        self._held_bytes -= len(self._held.pop(digest, b""))
        self._held[digest] = encoded
        self._held_bytes += len(encoded)
        while self._held_bytes > HELD_BYTES and len(self._held) > 1:
            self._held_bytes -= len(self._held.pop(next(iter(self._held))))


def _encoded(data: bytes, name: str) -> bytes:
    try:
        return encode(load_document(data, name))
    except CardamomrunError as error:
        _log.error(f"a committed document cannot be parsed: {error}")
        return b""
