"""The chunked transfer coding, in pieces of all sizes."""

import random

import pytest
from tornado.httputil import HTTPInputError

from cardamomrun_requests.chunk_decoder import ChunkDecoder

BODY = b"1\r\na\r\n" * 3 + b"1A\r\n" + b"b" * 26 + b"\r\n0\r\n\r\n"
CONTENT = b"aaa" + b"b" * 26


def test_pieces_of_any_size():
    """Guards against bodies that depend on where packets end."""
    generator = random.Random(7)
    for _ in range(300):
        decoder = ChunkDecoder(1_000)
        data, content = BODY + b"GET /next", b""
        while not decoder.is_complete:
            size = generator.choice((1, 2, 3, 10, 100))
            content += decoder.decode(data[:size])
            data = data[size:]
        assert content == CONTENT
        assert decoder.surplus + data == b"GET /next"


@pytest.mark.parametrize(
    "data",
    [
        b"x\r\n",
        b"1;a=b\r\n",
        b"+1\r\na\r\n",
        b"1_0\r\n",
        b"1\na\r\n",
        b"1\r\nab\r\n",
        b"0\r\nTrailer: a\r\n\r\n",
        b"11111111111111111",
        b"3e9\r\n",
    ],
)
@pytest.mark.parametrize("is_split", [False, True])
def test_malformed_and_long_bodies_are_refused(data, is_split):
    """Guards against framing that two parsers could read differently."""
    pieces = [data[i : i + 1] for i in range(len(data))] if is_split else [data]
    decoder = ChunkDecoder(1_000)
    with pytest.raises(HTTPInputError):
        for piece in pieces:
            decoder.decode(piece)
