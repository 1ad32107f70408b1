"""Passes body chunks from a reader to a writer with back pressure."""

import asyncio

__all__ = ["BodyChannel", "IncompleteBodyError"]


class IncompleteBodyError(Exception):
    """The sender of a body disconnected before its end."""


class BodyChannel:
    """Holds at most one chunk; `put` returns once the chunk was consumed."""

    def __init__(self) -> None:
        self._chunk: bytes | None = None
        self._ended = False
        self._complete = False
        self._discarding = False
        self._changed = asyncio.Event()
        self._consumed = asyncio.Event()

    @property
    def ended(self) -> bool:
        """True once the body has ended and every chunk of it was consumed."""
        return self._ended and self._chunk is None

    @property
    def complete(self) -> bool:
        """True once the complete body has arrived."""
        return self._complete

    async def put(self, chunk: bytes) -> None:
        """Offer a chunk and wait until it is consumed or discarded."""
        if self._discarding:
            return
        self._chunk = chunk
        self._consumed.clear()
        self._changed.set()
        await self._consumed.wait()

    def end(self, *, complete: bool) -> None:
        """Mark the end of the body; only the first call has an effect."""
        if self._ended:
            return
        self._ended = True
        self._complete = complete
        self._changed.set()

    def discard(self) -> None:
        """Discard the chunk held and all later ones."""
        self._discarding = True
        self._chunk = None
        self._consumed.set()

    async def get(self) -> bytes | None:
        """Return the next chunk, or None at the end.

        Raises `IncompleteBodyError` if the body ended incomplete.
        """
        while self._chunk is None:
            if self._ended:
                if self._complete:
                    return None
                raise IncompleteBodyError
            self._changed.clear()
            await self._changed.wait()
        chunk, self._chunk = self._chunk, None
        self._consumed.set()
        return chunk

    async def wait_ended(self) -> None:
        """Wait until the sender has ended the body or disconnected."""
        while not self._ended:
            self._changed.clear()
            await self._changed.wait()
