"""Decodes the chunked transfer coding from pieces of any size (RFC 9112)."""

import re

from tornado.httputil import HTTPInputError

__all__ = ["ChunkDecoder"]

SIZE_LINE = re.compile(rb"([0-9a-fA-F]{1,16})\r\n")
SIZE_LINE_START = re.compile(rb"[0-9a-fA-F]{0,16}\r?")


class ChunkDecoder:
    """Decodes one body; chunk extensions and trailers are refused.

    Many chunks are decoded in one call, since the cost of a call for each would let a
    client with one-byte chunks keep the process busy.
    """

    def __init__(self, max_bytes: int) -> None:
        self.is_complete = False
        # What followed the body in the last piece.
        self.surplus = b""
        self.chunk_count = 0
        self._max_bytes = max_bytes
        self._total_bytes = 0
        # Bytes that the present chunk still lacks, with the line end after it.
        self._missing_bytes = 0
        self._rest = b""

    def decode(self, data: bytes) -> bytes:
        """Return the content of the next piece.

        Raises `HTTPInputError` if it is malformed or the body too long.
        """
        data = self._rest + data
        parts = []
        position = 0
        self.chunk_count = 0
        while True:
            if self._missing_bytes:
                content = data[position : position + self._missing_bytes - 2]
                parts.append(content)
                self._missing_bytes -= len(content)
                position += len(content)
                if self._missing_bytes > 2 or len(data) < position + 2:
                    break
                if data[position : position + 2] != b"\r\n":
                    raise HTTPInputError("improperly terminated chunk")
                position += 2
                self._missing_bytes = 0
            line = SIZE_LINE.match(data, position)
            if line is None:
                if SIZE_LINE_START.fullmatch(data, position) is None:
                    raise HTTPInputError("invalid chunk size")
                break
            size_bytes = int(line[1], 16)
            if size_bytes == 0:
                end = line.end()
                if len(data) < end + 2:
                    if not b"\r\n".startswith(data[end:]):
                        raise HTTPInputError("improperly terminated chunked request")
                    break
                if data[end : end + 2] != b"\r\n":
                    raise HTTPInputError("improperly terminated chunked request")
                self.is_complete = True
                self.surplus = data[end + 2 :]
                return b"".join(parts)
            self._total_bytes += size_bytes
            if self._total_bytes > self._max_bytes:
                raise HTTPInputError("chunked body too large")
            self.chunk_count += 1
            self._missing_bytes = size_bytes + 2
            position = line.end()
        self._rest = data[position:]
        return b"".join(parts)
