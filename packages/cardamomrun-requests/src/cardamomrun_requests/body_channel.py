"""Hands body chunks from a reader to a writer with back pressure."""

import asyncio

__all__ = ["BodyChannel", "BodyCutError"]


class BodyCutError(Exception):
    """The sender of a body went away before its end."""


class BodyChannel:
    """Holds at most one chunk; `put` returns once the chunk was taken."""

    def __init__(self) -> None:
        self._chunk: bytes | None = None
        self._ended = False
        self._complete = False
        self._discarding = False
        self._changed = asyncio.Event()
        self._consumed = asyncio.Event()

    @property
    def ended(self) -> bool:
        """True once the whole body was taken or its sender went away."""
        return self._ended and self._chunk is None

    @property
    def complete(self) -> bool:
        """True once the body arrived up to its proper end."""
        return self._complete

    async def put(self, chunk: bytes) -> None:
        """Offer a chunk and wait until it was taken or discarded."""
        if self._discarding:
            return
        self._chunk = chunk
        self._consumed.clear()
        self._changed.set()
        await self._consumed.wait()

    def end(self, *, complete: bool) -> None:
        """Mark the end; the first call counts."""
        if self._ended:
            return
        self._ended = True
        self._complete = complete
        self._changed.set()

    def discard(self) -> None:
        """Drop the chunk held and all later ones."""
        self._discarding = True
        self._chunk = None
        self._consumed.set()

    async def get(self) -> bytes | None:
        """Return the next chunk, or None at the end; raises `BodyCutError`."""
        while self._chunk is None:
            if self._ended:
                if self._complete:
                    return None
                raise BodyCutError
            self._changed.clear()
            await self._changed.wait()
        chunk, self._chunk = self._chunk, None
        self._consumed.set()
        return chunk

    async def wait_ended(self) -> None:
        """Wait until the sender ended the body or went away."""
        while not self._ended:
            self._changed.clear()
            await self._changed.wait()
