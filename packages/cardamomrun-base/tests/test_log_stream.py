import asyncio
import json
import os

import pytest

from cardamomrun_base.clock import ManualClock
from cardamomrun_base.log_stream import LogStream


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    yield reader, writer
    os.close(reader)
    os.close(writer)


def read_lines(reader):
    chunks = []
    while True:
        try:
            chunk = os.read(reader, 1 << 20)
        except BlockingIOError:
            return b"".join(chunks).split(b"\n")[:-1]
        if not chunk:
            return b"".join(chunks).split(b"\n")[:-1]
        chunks.append(chunk)


def test_lines_arrive_in_order(pipe):
    reader, writer = pipe
    stream = LogStream(writer, ManualClock())
    for number in range(5):
        stream.write(b"%d" % number)
    assert read_lines(reader) == [b"0", b"1", b"2", b"3", b"4"]


def test_a_stalled_reader_does_not_block_writes(pipe):
    """Guards against a process that blocks in a write to its log."""
    reader, writer = pipe

    async def main():
        stream = LogStream(writer, lines_per_s=10**9, burst_lines=10**9)
        line = b"x" * 1_000
        for _ in range(2_000):
            stream.write(line)
        assert stream.dropped_count > 0
        received = []
        async with asyncio.timeout(5):
            while len(received) < 2_000 - stream.dropped_count:
                received += read_lines(reader)
                await asyncio.sleep(0.001)
        stream.write(b"after")
        lines = read_lines(reader)
        assert json.loads(lines[0])["dropped"] == stream.dropped_count
        assert lines[1:] == [b"after"]
        assert all(len(item) == 1_000 for item in received)

    asyncio.run(main())


def test_the_rate_of_lines_is_bounded(pipe):
    reader, writer = pipe
    clock = ManualClock()
    stream = LogStream(writer, clock, lines_per_s=10, burst_lines=20)
    for _ in range(50):
        stream.write(b"x")
    assert len(read_lines(reader)) == 20
    clock.advance_ms(1_000)
    for _ in range(50):
        stream.write(b"y")
    lines = read_lines(reader)
    assert json.loads(lines[0])["dropped"] == 30
    assert lines[1:] == [b"y"] * 10


def test_a_closed_reader_raises_no_error():
    reader, writer = os.pipe()
    os.close(reader)
    stream = LogStream(writer, ManualClock())
    stream.write(b"x")
    stream.write(b"y")
    os.close(writer)
