"""A cache of checked documents, so that an instance parses each document once."""

import asyncio
from collections.abc import Callable

from cardamomrun_base.codec import decode, encode
from cardamomrun_base.documents import (
    EnvironmentDocument,
    document_digest,
    load_document,
)
from cardamomrun_base.errors import CardamomrunError
from cardamomrun_base.logs import ComponentLog

__all__ = ["CheckedDocuments"]

# Parsing takes about 1 ms a route. A document of this size has about 50 routes, and
# 50 ms is a quarter of a heartbeat; a longer one is parsed on a thread.
INLINE_BYTES = 4_096
# The documents in force are also in the record store, so the cache needs only recent
# ones: a promotion uses the document of its trial.
CACHE_BYTES = 16_000_000

_log = ComponentLog("control")


class CheckedDocuments:
    """Caches encoded `EnvironmentDocument`s by the digest of their source bytes."""

    def __init__(self) -> None:
        self._cache: dict[str, bytes] = {}
        self._cache_bytes = 0
        self._tasks: dict[str, asyncio.Task[None]] = {}

    async def check(self, data: bytes, name: str) -> EnvironmentDocument:
        """Parse a document and cache it; raises `DocumentError` if it is invalid."""
        digest = document_digest(data)
        cached = self._cache.get(digest)
        if cached:
            return decode(cached)
        if len(data) <= INLINE_BYTES:
            document = load_document(data, name)
        else:
            document = await asyncio.to_thread(load_document, data, name)
        self._add_to_cache(digest, encode(document))
        return document

    def get(
        self, digest: str, data: bytes, name: str, on_ready: Callable[[], None]
    ) -> bytes | None:
        """Return the encoded document, or None if a thread is still parsing it.

        In that case `on_ready` is called when it is cached. Returns empty bytes for a
        document that cannot be parsed, which a control instance of another release may
        have accepted; entry instances report its fault.
        """
        cached = self._cache.get(digest)
        if cached is None and len(data) <= INLINE_BYTES:
            self._add_to_cache(digest, _encode_document(data, name))
            cached = self._cache[digest]
        elif cached is None and digest not in self._tasks:
            coroutine = self._parse_on_thread(digest, data, name, on_ready)
            self._tasks[digest] = asyncio.get_running_loop().create_task(coroutine)
        return cached

    async def stop(self) -> None:
        """Cancel the tasks that wait for a thread."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _parse_on_thread(
        self, digest: str, data: bytes, name: str, ready: Callable[[], None]
    ) -> None:
        try:
            self._add_to_cache(
                digest, await asyncio.to_thread(_encode_document, data, name)
            )
        finally:
            del self._tasks[digest]
        ready()

    def _add_to_cache(self, digest: str, encoded: bytes) -> None:
        self._cache_bytes -= len(self._cache.pop(digest, b""))
        self._cache[digest] = encoded
        self._cache_bytes += len(encoded)
        while self._cache_bytes > CACHE_BYTES and len(self._cache) > 1:
            self._cache_bytes -= len(self._cache.pop(next(iter(self._cache))))


def _encode_document(data: bytes, name: str) -> bytes:
    try:
        return encode(load_document(data, name))
    except CardamomrunError as error:
        _log.error(f"a committed document cannot be parsed: {error}")
        return b""
