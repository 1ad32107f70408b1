"""Requests that clients send before earlier ones are answered."""

import asyncio
import socket
import time

import pytest

from cardamomrun_bench.scripted_server import ScriptedServer, Step
from cardamomrun_requests.client_connection import LINGER_S

from .builders import WAIT_S, document, gateway, request, response, route, until

LONG_BODY = b"x" * 200_000
# More than fits into the buffers of the instance and of both sockets.
MANY_COUNT = 40_000


def pipelined(path, attempt_id, **headers):
    """Return a request that keeps the connection open."""
    data = request("GET", path, attempt_id=attempt_id, **headers)
    return data.replace(b"connection: close\r\n", b"", 1)


async def read_all(reader):
    async with asyncio.timeout(WAIT_S):
        return await reader.read()


def test_responses_come_in_the_order_of_the_requests():
    """Guards against a response that the client takes for that of another request."""

    async def main():
        steps = [
            Step(response(b"number %d" % number, attempt_id=f"id-{number}"))
            for number in range(5)
        ]
        server = ScriptedServer(steps)
        async with gateway(server) as running:
            requests = [pipelined("/b/x", f"id-{number}") for number in range(4)]
            last = request("GET", "/b/x", attempt_id="id-4")
            received = await running.raw(b"".join(requests) + last)
            places = [received.index(b"number %d" % number) for number in range(5)]
            assert places == sorted(places)
            assert received.count(b"HTTP/1.1 200") == 5

    asyncio.run(main())


@pytest.mark.parametrize("count", [1, MANY_COUNT])
def test_a_closing_response_arrives_whole_and_nothing_after_it_runs(count):
    """Guards against a reset by unread requests that destroys the last response."""

    async def main():
        server = ScriptedServer([Step(response(LONG_BODY))])
        async with gateway(server) as running:
            reader, writer = await running.connect()
            writer.write(request("GET", "/b/x") + pipelined("/b/x", "id-2") * count)
            # The response waits in the client's socket while the instance closes.
            await until(lambda: len(server.heads) == 1)
            await asyncio.sleep(0.1)
            received = await read_all(reader)
            assert received.endswith(b"\r\n\r\n" + LONG_BODY)
            assert len(server.heads) == 1
            writer.close()

    asyncio.run(main())


def test_a_stop_completes_a_response_and_runs_nothing_after_it():
    """Guards against pipelined requests that run, or break off a response, at a stop."""

    async def main():
        released = asyncio.Event()
        step = Step(response(LONG_BODY), response_released=released)
        server = ScriptedServer([step])
        async with gateway(server) as running:
            reader, writer = await running.connect()
            writer.write(pipelined("/b/x", "id-1") + pipelined("/b/x", "id-2") * 1_000)
            await until(lambda: len(server.heads) == 1)
            stopping = asyncio.create_task(running.front.stop())
            await asyncio.sleep(0.3)
            released.set()
            received = await read_all(reader)
            assert received.endswith(b"\r\n\r\n" + LONG_BODY)
            writer.close()
            await stopping
            assert len(server.heads) == 1

    asyncio.run(main())


@pytest.mark.parametrize("count", [1, 20])
def test_a_disconnect_behind_buffered_requests_ends_the_attempt(count):
    """Guards against work for a client that is gone, since tornado stops listening."""

    async def main():
        server = ScriptedServer([Step(b"", "hang")])
        async with gateway(server) as running:
            _, writer = await running.connect()
            writer.write(pipelined("/b/x", "id-1") + pipelined("/b/x", "id-2") * count)
            await until(lambda: len(server.heads) == 1)
            writer.close()
            async with asyncio.timeout(0.5):
                await until(lambda: server.closed_count == server.connection_count)
            assert len(server.heads) == 1

    asyncio.run(main())


def test_a_client_that_never_stops_sending_is_closed():
    """Guards against a connection that is read and discarded for ever."""

    async def main():
        content = document(routes=[route("/a/")])
        async with gateway(ScriptedServer([Step(response())]), content=content) as run:
            _, writer = await run.connect()
            head = request("POST", "/unknown", content_length=str(10**9))
            writer.write(head)
            begin_s = time.monotonic()
            with pytest.raises(ConnectionError):
                while time.monotonic() - begin_s < WAIT_S:
                    writer.write(bytes(65_536))
                    await writer.drain()
                    await asyncio.sleep(0.001)
            assert time.monotonic() - begin_s < LINGER_S + 1.0
            writer.close()

    asyncio.run(main())


def test_a_long_body_is_refused_whole_without_reading_it():
    """Guards against a refusal that is lost since the client still sends."""

    async def main():
        async with gateway(ScriptedServer([Step(response())])) as running:
            reader, writer = await running.connect()
            length = 2_000_000
            writer.write(request("POST", "/unknown", content_length=str(length)))
            received = await reader.readuntil(b"\r\n\r\n")
            assert received.startswith(b"HTTP/1.1 404")
            writer.write(bytes(length))
            await writer.drain()
            assert (await read_all(reader)).endswith(b"}")
            connection = writer.get_extra_info("socket")
            assert connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0
            writer.close()

    asyncio.run(main())
