"""The reported outcome of a request, and that a request runs at most once."""

import asyncio
import contextlib

import pycurl
import pytest

from cardamomrun_base.interfaces import (
    AlreadyDone,
    AttemptResult,
    KeyMismatch,
    NoQuorum,
    StillRunning,
    UnknownOutcome,
)
from cardamomrun_bench.scripted_server import (
    ScriptedServer,
    Step,
    free_port,
    ok_response,
    parse_response,
)

from .builders import (
    HOST,
    FakeQuarantine,
    backend,
    document,
    front_proxy,
    request,
    wait_until,
)

NOT_RUN = (
    b"HTTP/1.1 503 Busy\r\nCardamomrun-Not-Run: true\r\nRetry-After: 7\r\n"
    b"Content-Length: 0\r\n\r\n"
)
BARE_503 = b"HTTP/1.1 503 Busy\r\nRetry-After: 7\r\nContent-Length: 0\r\n\r\n"

# Steps, method, status, outcome, requests that reached the server.
ATTEMPTS = {
    "closed unread": (
        [Step(connection_action="close", responds_before_reading=True)],
        "POST",
        502,
        "unknown",
        0,
    ),
    "closed after the request": (
        [Step(connection_action="close")],
        "POST",
        502,
        "unknown",
        1,
    ),
    "reset after the request": (
        [Step(connection_action="reset")],
        "POST",
        502,
        "unknown",
        1,
    ),
    "silent": ([Step(connection_action="hang")], "POST", 504, "unknown", 1),
    "not run": ([Step(NOT_RUN)], "POST", 503, "not-run", 1),
    "bare 503": ([Step(BARE_503)], "POST", 503, "done", 1),
}


@pytest.mark.parametrize("name", ATTEMPTS)
def test_single_attempt_reports_the_certain_outcome(name):
    """Guards against `not-run` for requests that may have run, and against resends."""
    steps, method, status, outcome, count = ATTEMPTS[name]

    async def main():
        server = ScriptedServer(steps)
        async with front_proxy(server) as fixture:
            received = await fixture.call(method, body=b"x")
            assert (received.status, received.outcome) == (status, outcome)
        assert len(server.heads) == count
        assert fixture.backends.running_count == 0

    asyncio.run(main())


# How the first server's attempt ends, and whether a second server may be tried.
SECOND = {
    "GET after close": (Step(connection_action="close"), "GET", True),
    "GET after silence": (Step(connection_action="hang"), "GET", True),
    "POST after close": (Step(connection_action="close"), "POST", False),
    "POST after silence": (Step(connection_action="hang"), "POST", False),
    "POST after not run": (Step(NOT_RUN), "POST", True),
    "POST after bare 503": (Step(BARE_503), "POST", False),
    "GET after the head": (
        Step(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhalf", "close"),
        *("GET", False),
    ),
}


@pytest.mark.parametrize("name", SECOND)
def test_second_server_is_tried_only_if_that_is_safe(name):
    """Guards against a non-idempotent request that runs at two servers."""
    step, method, allowed = SECOND[name]

    async def main():
        first = ScriptedServer([step])
        second = ScriptedServer([Step(ok_response(b"second"))], "b2")
        async with front_proxy(first, second) as fixture:
            received = await fixture.call(method)
            assert (received.body == b"second") == allowed
        assert len(second.heads) == int(allowed)

    asyncio.run(main())


def test_refused_connect_is_not_run_and_another_server_is_used():
    """Guards against reporting a refused connection as outcome unknown."""

    async def main():
        second = ScriptedServer([Step(ok_response())], "b2")
        async with front_proxy(second) as fixture:
            fixture.backends.servers.insert(0, backend(free_port()))
            assert (await fixture.call("POST", body=b"x")).status == 200
            del fixture.backends.servers[1]
            received = await fixture.call("POST", body=b"x")
            assert (received.status, received.outcome) == (503, "not-run")
            assert "retry-after" in received.headers
        unreachable = AttemptResult.UNREACHABLE
        assert fixture.backends.results == [
            unreachable,
            AttemptResult.GOOD,
            unreachable,
        ]

    asyncio.run(main())


def curl_post(port: int) -> None:
    """Send two POST requests on one connection with libcurl."""
    handle = pycurl.Curl()
    handle.setopt(pycurl.URL, f"http://127.0.0.1:{port}/")
    handle.setopt(pycurl.HTTPHEADER, [f"Host: {HOST}"])
    handle.setopt(pycurl.POSTFIELDS, "x")
    handle.setopt(pycurl.WRITEFUNCTION, lambda data: None)
    handle.setopt(pycurl.TIMEOUT_MS, 3_000)
    with contextlib.suppress(pycurl.error):
        handle.perform()
        handle.perform()
    handle.close()


@pytest.mark.parametrize("through_front", [True, False])
def test_post_on_a_reused_connection_that_is_reset_runs_once(through_front):
    """Guards against an HTTP library that resends a POST by itself, as libcurl does.

    The second case shows that the scripted server detects such a client.
    """

    async def main():
        server = ScriptedServer(
            [Step(ok_response()), Step(connection_action="close"), Step(ok_response())]
        )
        async with front_proxy(server) as fixture:
            if through_front:
                await fixture.call("POST", body=b"x")
                received = await fixture.call("POST", body=b"x")
                assert (received.status, received.outcome) == (502, "unknown")
                await wait_until(lambda: len(fixture.backends.results) == 2)
                assert fixture.quarantine.crash_check_count == 1
                assert fixture.backends.results[1] is AttemptResult.NO_EVIDENCE
            else:
                address = fixture.backends.servers[0].address
                port = int(address.rpartition(":")[2])
                await asyncio.to_thread(curl_post, port)
        assert (len(server.heads) == 2) == through_front

    asyncio.run(main())


def test_silent_pooled_connection_is_not_charged_to_a_working_server():
    """Guards against ejecting a working server whose connections went silent."""

    async def main():
        server = ScriptedServer(
            [
                Step(ok_response()),
                Step(connection_action="hang"),
                Step(ok_response(b"new")),
            ]
        )
        async with front_proxy(server) as fixture:
            await fixture.call("POST", body=b"x")
            assert (await fixture.call("POST", body=b"x")).status == 504
            assert (await fixture.call("POST", body=b"x")).body == b"new"
        good, none = AttemptResult.GOOD, AttemptResult.NO_EVIDENCE
        assert sorted(fixture.backends.results) == sorted([good, none, good])

    asyncio.run(main())


CLAIMS = {
    "done": (AlreadyDone(201), 409, "done"),
    "running": (StillRunning(), 409, "unknown"),
    "unknown": (UnknownOutcome(), 409, "unknown"),
    "mismatch": (KeyMismatch(), 422, "not-run"),
    "no quorum": (NoQuorum(), 503, "not-run"),
}


@pytest.mark.parametrize("name", CLAIMS)
def test_request_without_a_won_claim_is_not_sent(name):
    """Guards against a second run of a request with the same key."""
    result, status, outcome = CLAIMS[name]

    async def main():
        server = ScriptedServer([Step(ok_response())])
        async with front_proxy(server) as fixture:
            fixture.claims.result = result
            received = await fixture.call("POST", body=b"x", idempotency_key="k")
            assert (received.status, received.outcome) == (status, outcome)
            earlier = received.headers.get("cardamomrun-earlier-status")
            assert earlier == ("201" if name == "done" else None)
            assert ("retry-after" in received.headers) == (status == 503)
        assert not server.heads

    asyncio.run(main())


CUT = Step(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhalf", "close")
SETTLED = {
    "whole": (Step(ok_response()), 5_000, "done 200"),
    "cut": (CUT, 5_000, "unknown"),
    "silent": (Step(connection_action="hang"), 5_000, "unknown"),
    "not run": (Step(NOT_RUN), 5_000, "released"),
    "started too late": (Step(ok_response()), -1, "released"),
}


@pytest.mark.parametrize("name", SETTLED)
def test_won_claim_is_settled_by_what_is_certain(name):
    """Guards against releasing the key of a request that may have run."""
    step, start_in_ms, settled = SETTLED[name]

    async def main():
        server = ScriptedServer([step])
        async with front_proxy(server) as fixture:
            fixture.claims.start_in_ms = start_in_ms
            await fixture.call("POST", body=b"x", idempotency_key="k")
        assert fixture.claims.settled == [settled]
        assert len(server.heads) == int(start_in_ms > 0)

    asyncio.run(main())


def test_disconnect_cancels_the_work_and_settles_the_claim_as_unknown():
    """Guards against work for disconnected clients, and a key released too early."""

    async def main():
        server = ScriptedServer([Step(connection_action="hang")])
        content = document({"attempt_timeout_ms": 60_000, "deadline_ms": 60_000})
        async with front_proxy(server, content=content) as fixture:
            _, writer = await fixture.connect()
            writer.write(request("POST", body=b"x", idempotency_key="k"))
            await wait_until(lambda: len(server.heads) == 1)
            writer.close()
            await wait_until(lambda: server.closed_count == 1)
            await wait_until(lambda: fixture.claims.settled == ["unknown"])
        assert fixture.backends.results == [AttemptResult.NO_EVIDENCE]

    asyncio.run(main())


KEY_REQUIRED = document({"idempotency_key": "required"})
GET_ONLY = document({"methods": ["GET"]})
SMALL = document({"max_body_bytes": 10})
CHUNKED = {"transfer_encoding": "chunked"}
# Request, document, status. None of them reaches a server.
REFUSED = {
    "key missing": (request("POST"), KEY_REQUIRED, 400),
    "key empty": (request("POST", idempotency_key=""), KEY_REQUIRED, 400),
    "unknown host": (request(host="other.example"), None, 404),
    "method": (request("POST"), GET_ONLY, 405),
    "no route": (request(path="/b"), document({"prefix": "/a"}), 404),
    "reserved path": (request(path="/.cardamomrun/other"), None, 404),
    "deadline over": (request(cardamomrun_deadline_ms="0"), None, 504),
    "deadline malformed": (request(cardamomrun_deadline_ms="1.5"), None, 400),
    "body too large": (request("POST", body=b"x" * 11), SMALL, 413),
    "chunked body too large": (
        request("POST", **CHUNKED) + b"b\r\n" + b"x" * 11 + b"\r\n0\r\n\r\n",
        *(SMALL, 413),
    ),
    "two framings": (request("POST", content_length="5", **CHUNKED), None, 400),
    "differing lengths": (
        request("POST", content_length="1\r\nContent-Length: 2") + b"xx",
        *(None, 400),
    ),
    "unknown coding": (request("POST", transfer_encoding="gzip, chunked"), None, 400),
    "malformed head": (b"GET / HTTP/1.1\r\nbroken\r\n\r\n", None, 400),
    "absolute target": (request(path="http://other.example/"), None, 400),
}


@pytest.mark.parametrize("name", REFUSED)
def test_refused_request_is_not_run(name):
    """Guards against running invalid requests, such as those with ambiguous framing."""
    data, content, status = REFUSED[name]

    async def main():
        server = ScriptedServer([Step(ok_response())])
        async with front_proxy(server, content=content) as fixture:
            received = parse_response(await fixture.raw(data))
            assert (received.status, received.outcome) == (status, "not-run")
            assert b'"remedy"' in received.body
        assert not server.heads

    asyncio.run(main())


def test_malformed_chunk_does_not_follow_a_part_of_a_response():
    """Guards against an error response inside the body of another response."""
    early = Step(
        b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nhalf", responds_before_body=True
    )

    async def main():
        async with front_proxy(ScriptedServer([early])) as fixture:
            reader, writer = await fixture.connect()
            part = b"10000\r\n" + b"x" * 65_536 + b"\r\n"
            writer.write(request("POST", **CHUNKED) + part)
            received = await reader.readuntil(b"half")
            writer.write(b"zz\r\n")
            with contextlib.suppress(ConnectionResetError):
                received += await reader.read()
            assert parse_response(received).body == b"half"
            writer.close()

    asyncio.run(main())


def test_retry_after_a_silent_pooled_connection_opens_a_fresh_one():
    """Guards against retries that use one silent pooled connection after another."""

    async def main():
        first = ScriptedServer([Step(ok_response()), Step(connection_action="hang")])
        second = ScriptedServer([Step(ok_response())], "b2")
        async with front_proxy(first, second) as fixture:
            servers = fixture.backends.servers
            for _ in servers:
                assert (await fixture.call("GET")).status == 200
                servers.reverse()
            assert (await fixture.call("GET")).status == 200
        # First server: the silent connection and the check. Second: the pooled and a new one.
        assert (first.connection_count, second.connection_count) == (2, 2)

    asyncio.run(main())


def test_permit_ends_with_the_response_head():
    """Guards against a long response that delays suspects, and false proof of survival."""
    long = Step(
        b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nhalf", connection_action="hang"
    )

    async def main():
        async with front_proxy(
            ScriptedServer([Step(connection_action="close"), long])
        ) as fixture:
            quarantine = fixture.quarantine
            assert (await fixture.call("POST", body=b"x")).status == 502
            assert (quarantine.answered_count, quarantine.unanswered_count) == (0, 1)
            reader, writer = await fixture.connect()
            writer.write(request())
            await reader.readuntil(b"half")
            assert (quarantine.answered_count, quarantine.unanswered_count) == (1, 1)
            writer.close()

    asyncio.run(main())


def test_quarantined_request_is_not_run():
    """Guards against running a request that is known to crash servers."""

    async def main():
        server = ScriptedServer([Step(ok_response())])
        async with front_proxy(server) as fixture:
            fixture.quarantine.quarantined = True
            received = await fixture.call("POST", body=b"x", idempotency_key="k")
            assert (received.status, received.outcome) == (503, "not-run")
        assert fixture.claims.settled == ["released"]
        assert not server.heads

    asyncio.run(main())


def test_quarantine_is_checked_between_attempts():
    """Guards against one idempotent request that crashes each server it is sent to."""

    class CrashingQuarantine(FakeQuarantine):
        async def confirm_crash(self, attempt, fingerprint):
            self.quarantined = True
            return True

    async def main():
        first = ScriptedServer([Step(connection_action="close")])
        second = ScriptedServer([Step(ok_response())], "b2")
        async with front_proxy(first, second) as fixture:
            fixture.front._services.quarantine = CrashingQuarantine()
            received = await fixture.call("GET")
            assert (received.status, received.outcome) == (503, "unknown")
        assert not second.heads
        assert fixture.backends.results == [AttemptResult.NO_EVIDENCE]

    asyncio.run(main())
