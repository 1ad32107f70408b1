"""Responses of backend servers that are malformed or end too early."""

import asyncio
import time
import tracemalloc
from dataclasses import replace

import pytest

from cardamomrun_bench.scripted_server import ScriptedServer, Step, parse_response
from cardamomrun_gateway.front import MAX_BUFFERED_BODY_BYTES
from cardamomrun_gateway.server_attempt import BUFFERED_BYTES
from cardamomrun_gateway.server_health import AttemptEnd

from .builders import (
    NAMES,
    ROUTES,
    EndlessServer,
    document,
    gateway,
    recorded_ends,
    request,
    response,
    unframed_head,
    until,
)

SERVED = Step(response())
# With this time limit, a response that takes less than half of it was not waited for.
TIMEOUT_MS = 4_000
PART_BYTES = 50_000
# Beyond what the buffers of the sockets and of the instance hold.
ENDLESS_READ_BYTES = 32 * 1_048_576


@pytest.mark.parametrize(
    "path", ["/a/x", "/b/x", "/c/x"], ids=["idempotent", "once", "upload"]
)
@pytest.mark.parametrize("status", ["000", "099", "1000", "-20", "2OO"])
def test_a_malformed_status_ends_the_attempt_at_once(status, path):
    """Guards against clients that get such a status, or wait for their whole timeout."""
    data = response().replace(b"HTTP/1.1 200", b"HTTP/1.1 " + status.encode())
    routes = [replace(item, timeout_ms=float(TIMEOUT_MS)) for item in ROUTES]

    async def main():
        # The connection stays open, so that only the status line can end the attempt.
        bad, good = ScriptedServer([Step(data, "hang")]), ScriptedServer([SERVED])
        async with gateway(bad, good, content=document(routes=routes)) as running:
            running.load.attempt_started(running.load.get("b2"))
            ends = recorded_ends(running)
            started_s = time.monotonic()
            received = await running.call(
                "POST", path, b"body", **{NAMES.deadline_ms: str(TIMEOUT_MS)}
            )
            assert time.monotonic() - started_s < TIMEOUT_MS / 2_000
            assert received.status == (200 if path == "/a/x" else 502)
            assert len(good.heads) == (1 if path == "/a/x" else 0)
            assert ends[0] is AttemptEnd.BROKEN_OFF
            await until(lambda: bad.closed_count == bad.connection_count == 1)

    asyncio.run(main())


@pytest.mark.parametrize("status", [100, 102, 103])
def test_an_interim_response_is_skipped(status):
    interim = b"HTTP/1.1 %d Interim\r\nLink: x\r\n\r\n" % status

    async def main():
        server = ScriptedServer([Step(interim + response())])
        async with gateway(server) as running:
            received = await running.call("POST", "/b/x", b"body")
            assert (received.status, received.body) == (200, b"ok")

    asyncio.run(main())


class RespondsDuringUpload(ScriptedServer):
    """Sends a part of its response once a part of the upload has arrived, then ends it.

    A reset leaves the rest of the upload unread, and so resets the connection. A close
    sends the end of the stream first, as of a process that had read all that came.
    """

    async def _handle_request(self, reader, writer):
        self.heads.append(await reader.readuntil(b"\r\n\r\n"))
        await reader.readexactly(1_000)
        step = self.steps[0]
        writer.write(step.data)
        await writer.drain()
        if step.connection_action == "close":
            writer.write_eof()
        await asyncio.sleep(0.05)
        writer.transport.abort()
        return False


# An instance has all of an upload below its buffer before it sends any of it, so that the
# kernel may have all of it when the server closes: only a reset shows a cut then.
CUTS_DURING_UPLOADS = [
    ("reset", MAX_BUFFERED_BODY_BYTES - 1),
    ("reset", 3 * MAX_BUFFERED_BODY_BYTES),
    ("close", 3 * MAX_BUFFERED_BODY_BYTES),
]


@pytest.mark.parametrize("part_bytes", [100, BUFFERED_BYTES + PART_BYTES])
@pytest.mark.parametrize(("end", "upload_bytes"), CUTS_DURING_UPLOADS)
@pytest.mark.parametrize("path", ["/a/x", "/c/x"], ids=["idempotent", "upload"])
def test_an_early_response_that_breaks_off_never_looks_complete(
    path, end, upload_bytes, part_bytes
):
    """Guards against a part of a response that the client takes for all of it."""

    async def main():
        step = Step(unframed_head() + b"x" * part_bytes, end)
        bad, good = RespondsDuringUpload([step]), ScriptedServer([SERVED])
        async with gateway(bad, good) as running:
            running.load.attempt_started(running.load.get("b2"))
            received = await send_upload(running, path, upload_bytes)
            if received is not None and received.status == 200:
                assert not received.body.endswith(b"\r\n0\r\n\r\n")
                was_retried = received.body == b"ok"
                assert was_retried or part_bytes > BUFFERED_BYTES
                assert not was_retried or path == "/a/x"
            elif received is not None:
                assert received.status == 502
            assert len(good.heads) <= (1 if path == "/a/x" else 0)

    asyncio.run(main())


async def send_upload(running, path, upload_bytes):
    """Return the response to an upload; None if the connection ended before one."""
    reader, writer = await running.connect()
    writer.write(request("POST", path, content_length=str(upload_bytes)))
    received = b""
    try:
        async with asyncio.timeout(10):
            sending = asyncio.create_task(send_slowly(writer, upload_bytes))
            while part := await reader.read(65_536):
                received += part
    except ConnectionError:
        pass
    sending.cancel()
    writer.close()
    return parse_response(received) if received else None


async def send_slowly(writer, upload_bytes):
    """Send a body in parts, so that a response comes while it is being written."""
    for _ in range(0, upload_bytes, 65_536):
        writer.write(b"u" * min(65_536, upload_bytes))
        await writer.drain()
        await asyncio.sleep(0.001)


@pytest.mark.parametrize("part_bytes", [100, BUFFERED_BYTES + PART_BYTES])
@pytest.mark.parametrize("path", ["/a/x", "/b/x"], ids=["idempotent", "once"])
def test_a_response_without_length_that_is_reset_never_looks_complete(path, part_bytes):
    """Guards against a reset that is taken for the end of a body."""

    async def main():
        step = Step(unframed_head() + b"x" * part_bytes, "reset")
        bad, good = ScriptedServer([step]), ScriptedServer([SERVED])
        async with gateway(bad, good) as running:
            running.load.attempt_started(running.load.get("b2"))
            received = parse_response(await running.raw(request("POST", path, b"b")))
            if part_bytes < BUFFERED_BYTES or received.status == 502:
                assert received.status == (200 if path == "/a/x" else 502)
            elif received.body != b"ok":
                assert not received.body.endswith(b"\r\n0\r\n\r\n")

    asyncio.run(main())


def test_a_head_without_end_ends_the_attempt():
    """Guards against a head that is buffered without a limit."""

    async def main():
        bad = EndlessServer(b"HTTP/1.1 200 OK\r\nX: ", b"x" * 65_536, 0.0)
        async with gateway(bad) as running:
            received = await running.call("POST", "/b/x", b"body")
            assert received.status == 502
            await until(lambda: bad.closed_count == bad.connection_count == 1)
            # What fits into the buffers of the sockets may have been sent too.
            assert bad.sent_bytes < 16 * 1_048_576

    asyncio.run(main())


def test_a_body_without_end_is_forwarded_in_bounded_memory():
    """Guards against buffering what a server sends faster than the client reads."""

    async def main():
        bad = EndlessServer(unframed_head(), b"x" * 65_536, 0.0)
        async with gateway(bad) as running:
            reader, writer = await running.connect()
            writer.write(request("POST", "/b/x", b"b"))
            read_bytes = 0
            tracemalloc.start()
            try:
                while read_bytes < ENDLESS_READ_BYTES:
                    read_bytes += len(await reader.read(65_536))
                peak_bytes = tracemalloc.get_traced_memory()[1]
            finally:
                tracemalloc.stop()
            # The buffers of the test's own server and client are included.
            assert peak_bytes < 4 * 1_048_576
            writer.close()
            await until(lambda: bad.closed_count == bad.connection_count)

    asyncio.run(main())
