"""Long responses to clients that read slowly, and the own link behind them."""

import asyncio
import contextlib
import socket
import struct
import time
import tracemalloc

import pytest

from cardamomrun_bench.scripted_server import ScriptedServer, Step
from cardamomrun_gateway import forwarding
from cardamomrun_gateway.held_body import PIECE_BYTES, HeldBody
from cardamomrun_gateway.link_queue import MAX_QUEUE_MS, LinkQueue
from cardamomrun_gateway.routed_request import RouteTimes
from cardamomrun_gateway.server_attempt import BUFFERED_BYTES
from cardamomrun_gateway.server_health import AttemptEnd

from .builders import (
    NAMES,
    EndlessServer,
    OffsetClock,
    document,
    gateway,
    recorded_ends,
    request,
    response,
    route,
    unframed_head,
    until,
)

# More than the buffers of the sockets between a server and a client hold.
LONG_BYTES = 24 * 1_048_576
# More than the buffers of the socket between the instance and a client hold.
LATE_BYTES = 8 * 1_048_576
# A server that writes nothing for this long waits for its client.
BLOCKED_S = 0.7
DEADLINE_MS = 300
CLIENT_COUNT = 6
# 262,144 + 65,535 held from the start of the response, a chunk of 65,536 in the channel,
# 131,071 in the read buffer and two copies of a chunk in the write buffer; the rest is for
# the buffers of the test's own server and client.
HELD_BYTES = 655_360
LINK_MBPS = 4.05
DOWNLOAD_BYTES = 540_000

CHUNKED = "chunked"
LENGTH = "with length"
UNTIL_CLOSE = "until close"


def response_head(framing):
    fields = {LENGTH: b"Content-Length: %d" % LONG_BYTES}
    fields[CHUNKED] = b"Transfer-Encoding: chunked"
    return unframed_head(fields.get(framing, b"X: x"))


class CuttingServer(ScriptedServer):
    """Sends a response until nobody reads it, or `stop_bytes`, then resets it."""

    def __init__(self, framing, stop_bytes=LONG_BYTES, pause_s=0.0):
        super().__init__([Step()])
        self._framing, self._stop_bytes, self._pause_s = framing, stop_bytes, pause_s
        self.has_cut = asyncio.Event()

    async def _handle_request(self, reader, writer):
        self.heads.append(await reader.readuntil(b"\r\n\r\n"))
        writer.write(response_head(self._framing))
        part = b"x" * 65_536
        if self._framing == CHUNKED:
            part = b"10000\r\n" + part + b"\r\n"
        with contextlib.suppress(TimeoutError):
            for _ in range(0, self._stop_bytes, 65_536):
                writer.write(part)
                async with asyncio.timeout(BLOCKED_S):
                    await writer.drain()
        await asyncio.sleep(self._pause_s)
        linger = struct.pack("ii", 1, 0)
        connection = writer.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.transport.abort()
        self.has_cut.set()
        return False


async def connect_slowly(running):
    """Connect a client whose buffers are small, so that it takes what it reads."""
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    connection.setblocking(False)
    address = ("127.0.0.1", running.settings.front_port)
    await asyncio.get_running_loop().sock_connect(connection, address)
    return await asyncio.open_connection(sock=connection, limit=1_024)


async def read_rest(reader):
    """Return what is left to read, and True if the connection was reset."""
    received = b""
    try:
        async with asyncio.timeout(20):
            while part := await reader.read(1_048_576):
                received += part
    except ConnectionError:
        return received, True
    return received, False


def is_complete(framing, received, was_reset):
    """Return True if a client would take what it received for the whole response."""
    body = received.partition(b"\r\n\r\n")[2]
    if framing == LENGTH:
        return len(body) == LONG_BYTES
    if framing == CHUNKED:
        return body.endswith(b"\r\n0\r\n\r\n")
    return not was_reset


def download(framing, **headers):
    data = request("GET", "/a/x", **headers)
    if framing == UNTIL_CLOSE:
        data = data.replace(b"HTTP/1.1", b"HTTP/1.0", 1)
    return data


def test_slow_clients_hold_a_bounded_amount_and_the_server_is_not_read():
    """Guards against an instance that buffers for clients what servers send."""

    async def main():
        server = EndlessServer(response_head(UNTIL_CLOSE), b"x" * 65_536, 0.0)
        async with gateway(server) as running:
            tracemalloc.start()
            try:
                clients = [await connect_slowly(running) for _ in range(CLIENT_COUNT)]
                for _, writer in clients:
                    writer.write(request("POST", "/b/x", b"b"))
                sent_bytes = -1
                while sent_bytes < server.sent_bytes or not sent_bytes:
                    sent_bytes = server.sent_bytes
                    await asyncio.sleep(0.3)
                held_bytes = tracemalloc.get_traced_memory()[0]
            finally:
                tracemalloc.stop()
            assert server.connection_count == CLIENT_COUNT
            assert held_bytes < CLIENT_COUNT * (HELD_BYTES + 4 * 65_536)
            for _, writer in clients:
                writer.transport.abort()

    asyncio.run(main())


@pytest.mark.parametrize("framing", [LENGTH, CHUNKED, UNTIL_CLOSE])
def test_a_response_cut_because_its_client_is_slow_is_no_failure(framing):
    """Guards against healthy servers in doubt, and truncated downloads that look whole."""

    async def main():
        server, other = CuttingServer(framing), ScriptedServer([Step(response())])
        async with gateway(server, other) as running:
            running.load.attempt_started(running.load.get("b2"))
            ends = recorded_ends(running)
            reader, writer = await connect_slowly(running)
            writer.write(download(framing, **{NAMES.deadline_ms: "10000"}))
            await server.has_cut.wait()
            received, was_reset = await read_rest(reader)
            assert len(received) > BUFFERED_BYTES
            assert not is_complete(framing, received, was_reset)
            await until(lambda: ends)
            assert ends == [AttemptEnd.NO_EVIDENCE]
            assert other.heads == []
            writer.close()

    asyncio.run(main())


@pytest.mark.parametrize("framing", [LENGTH, CHUNKED, UNTIL_CLOSE])
def test_a_response_cut_by_its_server_is_a_failure_and_not_tried_again(framing):
    """Guards against cuts that are excused, and second responses behind a first one."""
    stop_bytes = 2 * BUFFERED_BYTES

    async def main():
        server = CuttingServer(framing, stop_bytes, pause_s=0.2)
        other = ScriptedServer([Step(response())])
        async with gateway(server, other) as running:
            running.load.attempt_started(running.load.get("b2"))
            ends = recorded_ends(running)
            reader, writer = await running.connect()
            writer.write(download(framing))
            received, was_reset = await read_rest(reader)
            assert received.startswith(b"HTTP/1.1 200")
            assert not is_complete(framing, received, was_reset)
            await until(lambda: ends)
            assert ends == [AttemptEnd.BROKEN_OFF]
            assert other.heads == []
            writer.close()

    asyncio.run(main())


def test_a_response_that_is_ready_is_delivered_after_the_deadline():
    """Guards against downloads that are cut off because their client is slow."""

    async def main():
        server = ScriptedServer([Step(response(b"x" * LATE_BYTES))])
        async with gateway(server) as running:
            reader, writer = await connect_slowly(running)
            writer.write(request(**{NAMES.deadline_ms: str(DEADLINE_MS)}))
            await asyncio.sleep(3 * DEADLINE_MS / 1_000)
            received, _ = await read_rest(reader)
            assert len(received.partition(b"\r\n\r\n")[2]) == LATE_BYTES
            writer.close()

    asyncio.run(main())


def test_a_client_that_stops_reading_is_given_up_after_the_deadline(monkeypatch):
    """Guards against responses that are held without end."""
    monkeypatch.setattr(forwarding, "CLIENT_STALL_MS", 200.0)

    async def main():
        server = ScriptedServer([Step(response(b"x" * LONG_BYTES))])
        async with gateway(server) as running:
            ends = recorded_ends(running)
            reader, writer = await connect_slowly(running)
            writer.write(request(**{NAMES.deadline_ms: str(DEADLINE_MS)}))
            await until(lambda: ends)
            received, _ = await read_rest(reader)
            assert not is_complete(LENGTH, received, was_reset=False)
            writer.close()

    asyncio.run(main())


@pytest.mark.parametrize("name", ["stalls", "endless"])
def test_a_server_that_does_not_end_its_response_is_given_up(name, monkeypatch):
    """Guards against forwarding that lasts as long as a faulty server wants."""
    monkeypatch.setattr(forwarding, "SERVER_STALL_MS", 200.0)
    monkeypatch.setattr(forwarding, "LATE_LIMIT_MS", 500.0)
    start = response_head(UNTIL_CLOSE) + b"x" * (BUFFERED_BYTES + 1)

    async def main():
        server = ScriptedServer([Step(start, "hang")])
        if name == "endless":
            server = EndlessServer(start, b"x" * 65_536, 0.01)
        async with gateway(server) as running:
            reader, writer = await running.connect()
            writer.write(
                request("POST", "/b/x", b"b", **{NAMES.deadline_ms: str(DEADLINE_MS)})
            )
            received, was_reset = await read_rest(reader)
            assert received.startswith(b"HTTP/1.1 200")
            assert not is_complete(CHUNKED, received, was_reset)
            await until(lambda: server.closed_count == server.connection_count)
            writer.close()

    asyncio.run(main())


@pytest.mark.parametrize("framing", [LENGTH, UNTIL_CLOSE])
def test_a_late_response_ends_with_the_grace_period(framing):
    """Guards against the end of a killed process that looks like the end of a body."""

    async def main():
        data = response_head(framing) + b"x" * LONG_BYTES
        server = ScriptedServer([Step(data, "close")])
        async with gateway(server) as running:
            reader, writer = await connect_slowly(running)
            writer.write(download(framing, **{NAMES.deadline_ms: str(DEADLINE_MS)}))
            await asyncio.sleep(2 * DEADLINE_MS / 1_000)
            started_s = time.monotonic()
            await running.front.stop()
            assert time.monotonic() - started_s < forwarding.CLIENT_STALL_MS / 3_000
            received, was_reset = await read_rest(reader)
            assert not is_complete(framing, received, was_reset)
            writer.close()

    asyncio.run(main())


def test_all_bytes_of_a_download_count_once_for_the_own_link():
    """Guards against a queue on the own link that is estimated too short or too long."""

    async def main():
        server = ScriptedServer([Step(response(b"x" * DOWNLOAD_BYTES))])
        async with gateway(server, link_mbps=LINK_MBPS) as running:
            link = running.connections._link
            counted = {"send": 0, "receive": 0}
            for name in counted:
                count_bytes(link, name, counted)
            received = await running.call("POST", "/b/x", b"body")
            assert len(received.body) == DOWNLOAD_BYTES
            assert counted["send"] == DOWNLOAD_BYTES + len(b"body")
            assert counted["receive"] == DOWNLOAD_BYTES + len(b"body")
            assert 1.5 * MAX_QUEUE_MS < link.wait_ms() <= 2 * MAX_QUEUE_MS

    asyncio.run(main())


def count_bytes(link, name, counted):
    count = getattr(link, name)

    def record(length_bytes):
        counted[name] += length_bytes
        count(length_bytes)

    setattr(link, name, record)


@pytest.mark.parametrize("link_mbps", [LINK_MBPS, 1_000.0])
def test_the_wait_for_the_own_link_makes_no_attempt_overdue(link_mbps):
    """Guards against second attempts because of the instance's own downloads."""

    async def main():
        release = asyncio.Event()
        slow = ScriptedServer([Step(response(), response_released=release)])
        other = ScriptedServer([Step(response())])
        content = document(routes=[route("/a/", objective_ms=200.0)])
        async with gateway(
            slow, other, content=content, link_mbps=link_mbps
        ) as running:
            running.load.attempt_started(running.load.get("b2"))
            running.connections._link.send(DOWNLOAD_BYTES)
            call = asyncio.create_task(running.call())
            # An attempt is overdue after 180 ms.
            await asyncio.sleep(0.5)
            release.set()
            assert (await call).status == 200
            assert len(other.heads) == (0 if link_mbps == LINK_MBPS else 1)

    asyncio.run(main())


def test_route_times_leave_out_the_wait_for_the_own_link():
    times, slow = RouteTimes(), route(objective_ms=1_000.0)
    usual_ms = times.expected_ms(slow)
    times.record(slow, usual_ms + 500.0, 500.0)
    assert times.expected_ms(slow) == usual_ms
    # An estimate that is too long does not make a server look fast.
    times.record(slow, usual_ms, 900.0)
    assert times.expected_ms(slow) == usual_ms


def test_many_small_bodies_queue_like_one_large_one():
    clock = OffsetClock()
    clock.now_ms = lambda: 0.0
    small, large = LinkQueue(clock, LINK_MBPS), LinkQueue(clock, LINK_MBPS)
    for _ in range(2_000):
        small.send(100)
    large.send(200_000)
    assert small.wait_ms() == pytest.approx(large.wait_ms())


def test_a_held_body_joins_small_chunks_and_frees_what_is_taken():
    """Guards against an object for each byte of a response that comes in drops."""
    body = HeldBody()
    for _ in range(2 * PIECE_BYTES):
        body.append(b"x")
    body.append(b"y" * PIECE_BYTES)
    pieces = list(iter(body.take, None))
    assert [len(piece) for piece in pieces] == [PIECE_BYTES] * 3
    assert b"".join(pieces).endswith(b"xy" + b"y" * (PIECE_BYTES - 1))
    assert len(body) == 0
