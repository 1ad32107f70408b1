"""The part of a response body that an instance holds."""

from collections import deque

__all__ = ["HeldBody"]

# Pieces are as long as the chunks that connections read, so that most chunks are kept
# as they are. Shorter ones are joined: an object for each would cost more than its bytes.
PIECE_BYTES = 65_536


class HeldBody:
    """Bytes in the order of their arrival; what is taken is no longer held."""

    def __init__(self, data: bytes = b"") -> None:
        self._pieces: deque[bytearray] = deque()
        self._length = 0
        if data:
            self.append(data)

    def __len__(self) -> int:
        return self._length

    def append(self, chunk: bytes) -> None:
        """Add bytes at the end."""
        self._length += len(chunk)
        if self._pieces and len(self._pieces[-1]) + len(chunk) <= PIECE_BYTES:
            self._pieces[-1] += chunk
        else:
            self._pieces.append(bytearray(chunk))

    def take(self) -> bytes | None:
        """Return the first bytes, about `PIECE_BYTES`, or None if none are left."""
        if not self._pieces:
            return None
        piece = self._pieces.popleft()
        self._length -= len(piece)
        return bytes(piece)
