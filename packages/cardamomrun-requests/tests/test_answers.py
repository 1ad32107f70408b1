"""Responses reach the right client, with their own framing and body."""

import asyncio
from dataclasses import replace

import pytest

from cardamomrun_base.interfaces import AttemptResult
from cardamomrun_bench.scripted_server import (
    ScriptedServer,
    Step,
    ok_response,
    parse_response,
)

from .builders import (
    document,
    front_proxy,
    request,
)

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
CUT = b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"

# Step, method, status, outcome, body as sent on the wire, result of the attempt. None as
# body means any part of a chunked body without its last chunk.
RESPONSES = {
    "whole": (Step(ok_response()), "GET", 200, "done", b"ok", "good"),
    "chunked": (
        Step(CHUNKED + b"2\r\nok\r\n0\r\n\r\n"),
        *("GET", 200, "done", b"2\r\nok\r\n0\r\n\r\n", "good"),
    ),
    "cut with length": (Step(CUT, "close"), "GET", 200, "done", b"half", "failed"),
    "cut chunked": (
        Step(CHUNKED + b"4\r\nhalf\r\n", "close"),
        *("GET", 200, "done", None, "failed"),
    ),
    "bad chunk": (
        Step(CHUNKED + b"4\r\nhalf\r\nzz\r\n"),
        *("GET", 200, "done", None, "failed"),
    ),
    "ended by close": (
        Step(b"HTTP/1.0 200 OK\r\n\r\nok", "close"),
        *("GET", 200, "done", b"2\r\nok\r\n0\r\n\r\n", "good"),
    ),
    "informational": (
        Step(b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + ok_response()),
        *("GET", 200, "done", b"ok", "good"),
    ),
    "head": (
        Step(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"),
        *("HEAD", 200, "done", b"", "good"),
    ),
    "no content": (
        Step(b"HTTP/1.1 204 No Content\r\n\r\n"),
        *("GET", 204, "done", b"", "good"),
    ),
    "not modified": (
        Step(b"HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n"),
        *("GET", 304, "done", b"", "good"),
    ),
    "server error": (
        Step(b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"),
        *("POST", 500, "done", b"", "failed"),
    ),
}
# Responses without a usable head; each is a failed attempt with unknown outcome.
NO_HEAD = {
    "malformed": Step(b"HTTP/1.1 abc\r\n\r\n"),
    "two framings": Step(
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
    ),
    "differing lengths": Step(
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx"
    ),
    "switching": Step(b"HTTP/1.1 101 Switching Protocols\r\n\r\n"),
    "oversized": Step(b"HTTP/1.1 200 OK\r\nX: " + b"x" * 70_000 + b"\r\n\r\n"),
} | {
    f"status {status}": Step(ok_response().replace(b"200", status.encode(), 1), "hang")
    for status in ("000", "099", "1000", "-20", "2OO")
}


@pytest.mark.parametrize("name", RESPONSES)
def test_response_reaches_the_client_with_its_own_framing(name):
    """Guards against truncated responses that end cleanly, and against misplaced bodies."""
    step, method, status, outcome, body, evidence = RESPONSES[name]

    async def main():
        async with front_proxy(ScriptedServer([step])) as fixture:
            received = await fixture.call(method)
            assert (received.status, received.outcome) == (status, outcome)
            if body is None:
                assert not received.body.endswith(b"0\r\n\r\n")
                assert (b"4\r\nhalf\r\n").startswith(received.body)
            else:
                assert received.body == body
        assert fixture.backends.results == [AttemptResult(evidence)]

    asyncio.run(main())


@pytest.mark.parametrize("name", NO_HEAD)
def test_unusable_response_head_is_a_failed_attempt(name):
    """Guards against forwarding responses that two parsers read differently."""

    async def main():
        server = ScriptedServer([NO_HEAD[name]])
        async with front_proxy(server) as fixture:
            received = await fixture.call("POST", body=b"x")
            assert (received.status, received.outcome) == (502, "unknown")
        assert fixture.backends.results == [AttemptResult.FAILED]
        assert len(server.heads) == 1

    asyncio.run(main())


def test_reset_of_a_close_delimited_response_resets_the_client():
    """Guards against a reset that looks like the normal end of the body."""
    step = Step(b"HTTP/1.0 200 OK\r\n\r\nhalf", "reset")

    async def main():
        async with front_proxy(ScriptedServer([step])) as fixture:
            reader, writer = await fixture.connect()
            writer.write(request())
            with pytest.raises(ConnectionResetError):
                await reader.read()
            writer.close()

    asyncio.run(main())


# What the first response leaves on the connection; the next client must not receive it.
LEFT_OVER = {
    "surplus": [
        Step(ok_response(b"1") + ok_response(b"stolen")),
        Step(ok_response(b"2")),
    ],
    "late": [Step(b"", "hang"), Step(ok_response(b"2"))],
    "early": [
        Step(ok_response(b"1"), "hang", responds_before_body=True),
        Step(ok_response(b"2")),
    ],
    "closing": [
        Step(b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\n1"),
        Step(ok_response(b"2")),
    ],
}


@pytest.mark.parametrize("name", LEFT_OVER)
def test_connection_with_unread_response_bytes_is_not_reused(name):
    """Guards against a response that reaches the wrong client."""

    async def main():
        server = ScriptedServer(LEFT_OVER[name])
        async with front_proxy(server) as fixture:
            reader, writer = await fixture.connect()
            if name == "early":
                writer.write(request("POST", content_length="200000") + b"x" * 70_000)
            else:
                writer.write(request("POST"))
            first = parse_response(await reader.read())
            writer.close()
            assert first.outcome == ("unknown" if name == "late" else "done")
            assert (await fixture.call("POST")).body == b"2"
        assert server.connection_count == 2

    asyncio.run(main())


def test_connection_is_reused_after_a_complete_response():
    """Guards against a pool that never reuses, which exhausts servers' connections."""

    async def main():
        server = ScriptedServer([Step(ok_response())])
        async with front_proxy(server) as fixture:
            for _ in range(3):
                assert (await fixture.call("POST", body=b"x")).status == 200
        assert server.connection_count == 1

    asyncio.run(main())


# Idle time, method and new incarnation before the second request; connections opened.
IDLE = {
    "fresh": (4_000, "POST", 1, 1),
    "old, POST": (6_000, "POST", 1, 2),
    "old, GET": (6_000, "GET", 1, 1),
    "restarted": (0, "GET", 2, 2),
}


@pytest.mark.parametrize("name", IDLE)
def test_idle_connection_is_reused_only_if_it_is_likely_to_work(name):
    """Guards against a POST on a silent connection or on one to an earlier process."""
    idle_ms, method, incarnation, connection_count = IDLE[name]

    async def main():
        server = ScriptedServer([Step(ok_response())])
        async with front_proxy(server) as fixture:
            await fixture.call("POST")
            fixture.clock.offset_ms += idle_ms
            first = fixture.backends.servers[0]
            fixture.backends.servers[0] = replace(first, incarnation=incarnation)
            assert (await fixture.call(method)).status == 200
        assert server.connection_count == connection_count

    asyncio.run(main())


def test_connections_of_a_server_are_bounded():
    """Guards against more connections to a server than the document allows."""

    async def main():
        server = ScriptedServer([Step(ok_response())])
        content = document(limits={"connections_per_server_count": 2})
        async with front_proxy(server, content=content) as fixture:
            received = await asyncio.gather(*(fixture.call() for _ in range(8)))
            assert [item.status for item in received] == [200] * 8
        assert server.connection_count == 2

    asyncio.run(main())
