"""Requests through the gateway, as clients and backend servers see them."""

import asyncio

import pytest
from tornado.httputil import HTTPHeaders, RequestStartLine

from cardamomrun_base.settings import GatewaySettings
from cardamomrun_bench.scripted_server import ScriptedServer, Step, parse_response
from cardamomrun_gateway.front import MAX_BUFFERED_BODY_BYTES
from cardamomrun_gateway.server_attempt import BUFFERED_BYTES
from cardamomrun_gateway.server_health import AttemptEnd

from .builders import (
    HOST,
    NAMES,
    SERVICE,
    EndlessServer,
    document,
    gateway,
    not_run,
    not_run_chunked,
    request,
    response,
    route,
    server_body,
    server_record,
    until,
)

SERVED = Step(response())
RESET = Step(b"", "reset")
TRUNCATED = Step(response(b"whole")[:-2], "close")
GARBAGE = Step(b"these bytes are no answer\r\n\r\n", "close")
UNPROVEN = Step(response(proof=False))
ENCODED = Step(response(Content_Encoding="gzip"))
FAILED = Step(response(b"sorry", 500))
BARE_503 = Step(response(b"", 503))
FULL = Step(not_run())
MISDIRECTED = Step(response(b"", 421, proof=False))

# Step of the first server, path, status for the client, and requests at both servers.
SERVER_FAULTS = {
    "idempotent, reset": (RESET, "/a/x", 200, 2),
    "idempotent, cut response": (TRUNCATED, "/a/x", 200, 2),
    "idempotent, garbage": (GARBAGE, "/a/x", 200, 2),
    "idempotent, without proof": (UNPROVEN, "/a/x", 200, 2),
    "idempotent, encoded on its way": (ENCODED, "/a/x", 200, 2),
    "idempotent, the server's own error": (FAILED, "/a/x", 200, 2),
    "idempotent, full": (FULL, "/a/x", 200, 2),
    "idempotent, another server's address": (MISDIRECTED, "/a/x", 200, 2),
    "non-idempotent, reset": (RESET, "/b/x", 502, 1),
    "non-idempotent, cut response": (TRUNCATED, "/b/x", 502, 1),
    "non-idempotent, garbage": (GARBAGE, "/b/x", 502, 1),
    "non-idempotent, without proof": (UNPROVEN, "/b/x", 502, 1),
    "non-idempotent, encoded on its way": (ENCODED, "/b/x", 502, 1),
    "non-idempotent, the server's own error": (FAILED, "/b/x", 500, 1),
    "non-idempotent, 503 without the not-run header": (BARE_503, "/b/x", 502, 1),
    "non-idempotent, full": (FULL, "/b/x", 200, 2),
    "non-idempotent, another server's address": (MISDIRECTED, "/b/x", 200, 2),
    "upload, reset": (RESET, "/c/x", 502, 1),
    "upload, full": (FULL, "/c/x", 200, 2),
}


@pytest.mark.parametrize("name", SERVER_FAULTS)
def test_a_fault_of_one_server(name):
    """Guards against idempotent requests that fail and others that run twice."""
    step, path, status, count = SERVER_FAULTS[name]

    async def main():
        bad, good = ScriptedServer([step]), ScriptedServer([SERVED])
        async with gateway(bad, good) as running:
            running.fill = running.load.attempt_started(running.load.get("b2"))
            received = await running.call("POST", path, b"body")
            assert received.status == status
            assert len(bad.heads) + len(good.heads) == count
            if status == 200:
                assert received.body == b"ok"
                assert received.headers[NAMES.success_proof.lower()] == "proof"
            elif status != 500:
                assert NAMES.success_proof.lower() not in received.headers

    asyncio.run(main())


def test_a_server_gets_the_unchanged_request_with_added_headers():
    async def main():
        server = ScriptedServer([SERVED])
        async with gateway(server) as running:
            await running.call("POST", "/b/x?q=1&r=%20", b"payload", x_other="kept")
            head = server.heads[0].decode().lower()
            assert head.startswith("post /b/x?q=1&r=%20 http/1.1\r\n")
            assert server.bodies == [b"payload"]
            assert f"{NAMES.request_id.lower()}: id-1" in head
            assert f"{NAMES.expected_server.lower()}: b1" in head
            assert "x-other: kept" in head
            deadline = head.partition(f"{NAMES.deadline_ms.lower()}: ")[2]
            assert 1_000 <= int(deadline.split("\r\n")[0]) <= 1_500

    asyncio.run(main())


@pytest.mark.parametrize("method", ["DELETE", "GET", "OPTIONS", "POST"])
def test_a_long_body_in_chunks_reaches_the_server_framed(method):
    """Guards against a body that the server takes for requests (review/1, UNASKED)."""
    smuggled = request("POST", "/b/smuggled", attempt_id="id-2", content_length="0")
    body = smuggled + b"x" * (MAX_BUFFERED_BODY_BYTES + 400_000)

    async def main():
        server = ScriptedServer([SERVED])
        async with gateway(server) as running:
            parts = [body[i : i + 65_536] for i in range(0, len(body), 65_536)]
            chunks = b"".join(b"%x\r\n%b\r\n" % (len(p), p) for p in parts)
            head = request(method, "/c/x", transfer_encoding="chunked")
            received = parse_response(await running.raw(head + chunks + b"0\r\n\r\n"))
            assert received.status == 200
            assert server.bodies == [body]
            assert len(server.heads) == 1

    asyncio.run(main())


@pytest.mark.parametrize("is_length_known", [False, True])
@pytest.mark.parametrize("extra_bytes", [-1, 0, 1])
def test_a_body_that_pauses_reaches_each_server_whole(extra_bytes, is_length_known):
    """Guards against a second server that runs the first part of it (review/8, UNASKED)."""
    first = b"x" * (MAX_BUFFERED_BODY_BYTES + extra_bytes)
    parts = [first[i : i + 65_536] for i in range(0, len(first), 65_536)]
    body = first + b"y" * 200_000

    def framed(part):
        return part if is_length_known else b"%x\r\n%b\r\n" % (len(part), part)

    async def main():
        servers = ScriptedServer([SERVED]), ScriptedServer([SERVED])
        content = document(routes=[route("/a/", objective_ms=200.0)])
        async with gateway(*servers, content=content) as running:
            fields = {"transfer_encoding": "chunked"}
            if is_length_known:
                fields = {"content_length": str(len(body))}
            reader, writer = await running.connect()
            writer.write(request("POST", "/a/x", **fields))
            writer.writelines(map(framed, parts))
            await asyncio.sleep(0.6)
            writer.write(framed(body[len(first) :]))
            if not is_length_known:
                writer.write(b"0\r\n\r\n")
            received = parse_response(await reader.read())
            writer.close()
            assert received.status == 200
            run = [run for server in servers for run in server.bodies]
            assert run and set(run) == {body}

    asyncio.run(main())


LONG_BODY = b"x" * (BUFFERED_BYTES + 50_000)


def response_without_length(end):
    data = response().partition(b"\r\n\r\n")[0].replace(b"Content-Length: 2\r\n", b"")
    return Step(data + b"\r\n\r\n" + LONG_BODY, end)


@pytest.mark.parametrize(("end", "is_complete"), [("close", True), ("reset", False)])
def test_the_end_of_a_long_response_without_length_is_marked(end, is_complete):
    """Guards against a killed process whose response looks complete (review/3, MIXED)."""

    async def main():
        server = ScriptedServer([response_without_length(end)])
        async with gateway(server) as running:
            received = parse_response(await running.raw(request("POST", "/b/x")))
            # A reset may overtake so much that nothing has been forwarded yet.
            assert received.status == 200 or not is_complete
            if received.status == 200:
                assert received.headers["transfer-encoding"] == "chunked"
                assert received.body.endswith(b"\r\n0\r\n\r\n") is is_complete

    asyncio.run(main())


def test_a_client_without_chunks_gets_a_long_response_until_the_connection_ends():
    async def main():
        server = ScriptedServer([response_without_length("close")])
        async with gateway(server) as running:
            data = request("POST", "/b/x").replace(b"HTTP/1.1", b"HTTP/1.0", 1)
            received = parse_response(await running.raw(data))
            assert "transfer-encoding" not in received.headers
            assert received.body == LONG_BODY

    asyncio.run(main())


def test_a_refused_connection_loses_no_request():
    """Guards against a request that fails although no byte of it was sent."""

    async def main():
        gone, good = ScriptedServer([SERVED]), ScriptedServer([SERVED])
        async with gateway(gone, good) as running:
            gone.stop()
            for _ in range(3):
                received = await running.call("POST", "/b/x", b"body")
                assert received.status == 200
            assert len(good.heads) == 3

    asyncio.run(main())


def test_a_late_response_to_an_earlier_request_is_skipped():
    """Guards against another client's response on a reused connection."""

    async def main():
        late = response(b"first again", attempt_id="id-1")
        second = response(b"second", attempt_id="id-2")
        steps = [Step(response(b"first", attempt_id="id-1")), Step(late + second)]
        server = ScriptedServer(steps)
        async with gateway(server) as running:
            first = await running.call("POST", "/b/x", b"1", attempt_id="id-1")
            received = await running.call("POST", "/b/x", b"2", attempt_id="id-2")
            assert (first.body, received.body) == (b"first", b"second")
            assert server.connection_count == 1

    asyncio.run(main())


def test_a_late_response_without_request_id_is_skipped():
    """Guards against a copy of an earlier response that reaches the next client."""

    async def main():
        late = (
            response(b"first again")
            .replace(b"id-1", b"")
            .replace(NAMES.request_id.encode() + b": \r\n", b"")
        )
        assert NAMES.request_id.encode() not in late
        second = response(b"second", attempt_id="id-2")
        steps = [Step(response(b"first", attempt_id="id-1")), Step(late * 3 + second)]
        server = ScriptedServer(steps)
        async with gateway(server) as running:
            first = await running.call("POST", "/b/x", b"1", attempt_id="id-1")
            received = await running.call("POST", "/b/x", b"2", attempt_id="id-2")
            assert (first.body, received.body) == (b"first", b"second")
            assert server.connection_count == 1

    asyncio.run(main())


# What a faulty server sends first, and what it then repeats without end.
ENDLESS_BYTES = {
    "a refusal's body": (not_run_chunked(), b"400\r\n" + b"x" * 1_024 + b"\r\n"),
    "the body of a response without proof": (
        response(b"", proof=False, **{"Transfer-Encoding": "chunked"}).replace(
            b"Content-Length: 0\r\n", b""
        ),
        b"400\r\n" + b"x" * 1_024 + b"\r\n",
    ),
    "informational responses": (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "responses to another request": (b"", response(b"x" * 1_024, attempt_id="id-0")),
    "a status line": (b"HTTP/1.1 200 ", b"x" * 1_024),
    "head lines": (b"HTTP/1.1 200 OK\r\n", b"a: b\r\n" * 200),
    "a chunk extension": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;",
        b"x" * 1_024,
    ),
}
PAUSES_S = {"at full speed": 0.0, "slowly": 0.05}
# Refusals, and responses that cannot be the server's, are recognized by their head. At
# a slow pace that takes at most ten writes: half a second, with a deadline of 1.5 s.
WRITES_UNTIL_KNOWN = 10
KNOWN_BY_HEAD = ("a refusal's body", "the body of a response without proof")


@pytest.mark.parametrize("path", ["/a/x", "/b/x"])
@pytest.mark.parametrize("pace", PAUSES_S)
@pytest.mark.parametrize("kind", ENDLESS_BYTES)
def test_endless_bytes_do_not_block_a_request(kind, pace, path):
    """Guards against a server that sends until the connection is closed."""
    begin, repeated = ENDLESS_BYTES[kind]

    async def main():
        bad, good = (
            EndlessServer(begin, repeated, PAUSES_S[pace]),
            ScriptedServer([SERVED]),
        )
        async with gateway(bad, good) as running:
            running.fill = running.load.attempt_started(running.load.get("b2"))
            received = await running.call("POST", path, b"body")
            if path == "/a/x" or kind == "a refusal's body":
                assert received.status == 200
            elif kind in KNOWN_BY_HEAD or pace == "at full speed":
                # The attempt is ended by the bytes read, not by the deadline.
                assert received.status == 502
            else:
                assert received.status in (502, 504)
            if kind in KNOWN_BY_HEAD and pace == "slowly":
                # Writes are counted, not time, so that a busy machine changes nothing.
                assert bad.sent_count <= WRITES_UNTIL_KNOWN
            await until(lambda: bad.closed_count == bad.connection_count)
            assert bad.sent_bytes < 40_000_000

    asyncio.run(main())


@pytest.mark.parametrize(
    ("value", "longest_s"),
    # A finite number is a pause, which the only server of the service asks for.
    [("inf", 1.5), ("nan", 1.5), ("-inf", 1.5), ("1e9", 60), ("soon", 1.5)],
)
def test_only_a_useful_retry_after_of_a_server_is_forwarded(value, longest_s):
    async def main():
        refusal = response(
            b"", 503, proof=False, **{NAMES.not_run: "1", "Retry-After": value}
        )
        async with gateway(ScriptedServer([Step(refusal)])) as running:
            received = await running.call("POST", "/b/x", b"1")
            assert received.status == 503
            assert 0 <= float(received.headers["retry-after"]) <= longest_s

    asyncio.run(main())


def test_a_connection_with_surplus_bytes_is_not_reused():
    async def main():
        server = ScriptedServer([Step(response() + response(b"surplus")), SERVED])
        async with gateway(server) as running:
            for _ in range(2):
                received = await running.call("POST", "/b/x", b"1")
                assert received.body == b"ok"
            assert server.connection_count == 2

    asyncio.run(main())


def test_a_disconnected_client_ends_the_attempt():
    async def main():
        server = ScriptedServer([Step(b"", "hang")])
        async with gateway(server) as running:
            _, writer = await running.connect()
            writer.write(request())
            await until(lambda: server.heads)
            writer.close()
            await until(lambda: server.closed_count == server.connection_count)
            assert running.load.get("b1").in_flight_count == 0

    asyncio.run(main())


@pytest.mark.parametrize(("path", "status"), [("/a/x", 504), ("/b/x", 504)])
def test_a_request_to_a_hanging_server_ends_at_the_deadline(path, status):
    async def main():
        server = ScriptedServer([Step(b"", "hang")])
        async with gateway(server) as running:
            received = await running.call(
                "POST", path, b"1", **{NAMES.deadline_ms: "300"}
            )
            assert received.status == status
            await until(lambda: server.closed_count == 1)

    asyncio.run(main())


def test_an_overdue_idempotent_request_goes_to_a_second_server():
    """Guards against clients that wait for a hanging server."""

    async def main():
        silent, good = ScriptedServer([Step(b"", "hang")]), ScriptedServer([SERVED])
        content = document(routes=[route("/a/", objective_ms=200.0)])
        async with gateway(silent, good, content=content) as running:
            running.load.attempt_started(running.load.get("b2"))
            received = await running.call()
            assert received.status == 200
            assert (len(silent.heads), len(good.heads)) == (1, 1)
            await until(lambda: silent.closed_count == 1)

    asyncio.run(main())


def test_with_a_hedge_ratio_of_zero_no_second_attempt_starts_while_one_runs():
    """Guards against extra work on backend servers that operators have ruled out."""

    async def main():
        silent, good = ScriptedServer([Step(b"", "hang")]), ScriptedServer([SERVED])
        settings = GatewaySettings(grace_ms=1_000, hedge_ratio=0.0)
        content = document(routes=[route("/a/", objective_ms=200.0, timeout_ms=500.0)])
        async with gateway(silent, good, content=content, gateway=settings) as running:
            running.load.attempt_started(running.load.get("b2"))
            received = await running.call()
            assert received.status == 504
            assert (len(silent.heads), len(good.heads)) == (1, 0)

    asyncio.run(main())


REFUSALS = {
    "no document": (None, [], "/a/x", 503),
    "no route": ([route("/a/")], ["b1"], "/z/x", 404),
    "no server": ([route("/a/")], [], "/a/x", 503),
}


@pytest.mark.parametrize("name", REFUSALS)
def test_refusals_say_that_nothing_was_run(name):
    routes, server_ids, path, status = REFUSALS[name]

    async def main():
        async with gateway(content=document(routes=routes or [])) as running:
            if routes is None:
                running.table.document = None
            for server_id in server_ids:
                running.store.put(server_record(server_body(server_id)))
            received = await running.call("POST", path, b"1")
            assert received.status == status
            assert received.outcome == "not-run"
            if status == 503:
                assert float(received.headers["retry-after"]) <= 1.0

    asyncio.run(main())


def test_a_body_over_the_limit_is_refused():
    async def main():
        server = ScriptedServer([SERVED])
        async with gateway(server) as running:
            limits = running.table.document.limits
            object.__setattr__(limits, "body_bytes", 10)
            received = await running.call("POST", "/c/x", b"x" * 11)
            assert received.status == 413
            assert server.heads == []

    asyncio.run(main())


def test_no_second_attempt_beyond_the_retry_budget():
    async def main():
        bad, good = ScriptedServer([RESET]), ScriptedServer([SERVED])
        async with gateway(bad, good) as running:
            running.load.attempt_started(running.load.get("b2"))
            for _ in range(100):
                running.reports.count_retry(SERVICE)
            assert (await running.call()).status == 502
            assert good.heads == []

    asyncio.run(main())


def test_a_failed_connection_needs_no_retry_budget():
    """Guards against refusals because the budget went to servers that got no request."""

    async def main():
        gone, good = ScriptedServer([SERVED]), ScriptedServer([SERVED])
        async with gateway(gone, good) as running:
            gone.stop()
            running.load.attempt_started(running.load.get("b2"))
            for _ in range(100):
                running.reports.count_retry(SERVICE)
            received = await running.call("POST", "/b/x", b"body")
            assert received.status == 200
            assert len(good.heads) == 1

    asyncio.run(main())


def test_a_refusal_for_full_servers_has_a_retry_after():
    async def main():
        server = ScriptedServer([SERVED])
        async with gateway(server) as running:
            for _ in range(8):
                running.load.attempt_started(running.load.get("b1"))
            received = await running.call("POST", "/b/x", b"1")
            assert received.status == 503
            assert 0 < float(received.headers["retry-after"]) < 1
            assert server.heads == []

    asyncio.run(main())


def test_a_request_waits_until_a_slot_is_free():
    async def main():
        server = ScriptedServer([SERVED])
        async with gateway(server) as running:
            server_state = running.load.get("b1")
            for _ in range(8):
                running.load.attempt_started(server_state)
            call = asyncio.create_task(running.call("POST", "/b/x", b"1"))
            await asyncio.sleep(0.03)
            now_ms = running.clock.now_ms()
            for _ in range(8):
                running.load.attempt_ended(server_state, AttemptEnd.GOOD, now_ms)
            assert (await call).status == 200

    asyncio.run(main())


def test_a_stop_completes_requests_in_flight():
    async def main():
        release = asyncio.Event()
        server = ScriptedServer([Step(response(), response_released=release)])
        async with gateway(server) as running:
            call = asyncio.create_task(running.call("POST", "/b/x", b"1"))
            await until(lambda: server.heads)
            stop = asyncio.create_task(running.front.stop())
            await asyncio.sleep(0.6)
            release.set()
            assert (await call).status == 200
            await stop

    asyncio.run(main())


AMBIGUOUS_FRAMINGS = {
    "both lengths": b"content-length: 1\r\ntransfer-encoding: chunked",
    "two lengths": b"content-length: 1\r\ncontent-length: 2",
    "unknown coding": b"transfer-encoding: odd",
}


@pytest.mark.parametrize("name", AMBIGUOUS_FRAMINGS)
def test_ambiguous_framing_is_refused(name):
    async def main():
        server = ScriptedServer([SERVED])
        async with gateway(server) as running:
            head = (
                b"POST /b/x HTTP/1.1\r\nhost: rota.example\r\n"
                + AMBIGUOUS_FRAMINGS[name]
            )
            received = parse_response(await running.raw(head + b"\r\n\r\nx"))
            assert received.status == 400
            assert server.heads == []

    asyncio.run(main())


class CrashingServer(ScriptedServer):
    """Stops listening and resets the connection on its first request."""

    async def _handle_request(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        self.heads.append(head)
        self.stop()
        writer.transport.abort()
        return False


def test_a_request_that_crashes_servers_is_blocked_and_others_run():
    """Guards against one request that crashes all servers of a service."""

    async def main():
        servers = [CrashingServer([SERVED]) for _ in range(3)]
        good = ScriptedServer([Step(response(attempt_id="id-1"))])
        async with gateway(*servers, good) as running:
            for _ in range(8):
                running.load.attempt_started(running.load.get("b4"))
            for _ in range(6):
                await running.call("POST", "/b/x", b"crash")
                await asyncio.sleep(0.02)
            assert sum(len(server.heads) for server in servers) == 2
            refused = await running.call("POST", "/b/x", b"crash")
            assert (refused.status, refused.outcome) == (503, "not-run")
            now_ms = running.clock.now_ms()
            for _ in range(8):
                server_state = running.load.get("b4")
                running.load.attempt_ended(server_state, AttemptEnd.GOOD, now_ms)
            assert (await running.call("POST", "/b/x", b"other")).status == 200

    asyncio.run(main())


def test_a_request_sent_before_its_connection_closes_is_served():
    """Guards against a stop that closes a connection and then runs its request."""

    async def main():
        server = ScriptedServer([SERVED])
        async with gateway(server) as running:
            reader, writer = await running.connect()
            writer.write(request(connection="keep-alive"))
            await reader.readuntil(b"\r\n\r\nok")
            # The bytes are in the socket before the event loop runs again.
            writer.write(request(connection="keep-alive"))
            running.front._listener.refuse_new()
            received = await reader.read()
            assert parse_response(received).status == 200
            assert len(server.heads) == 2

    asyncio.run(main())


def test_a_request_read_after_its_connection_closed_does_not_run():
    async def main():
        server = ScriptedServer([SERVED])
        async with gateway(server) as running:
            reader, writer = await running.connect()
            writer.write(request(connection="keep-alive"))
            await reader.readuntil(b"\r\n\r\nok")
            (message,) = running.front._listener._connections._idle
            message.connection.close()
            line = RequestStartLine("GET", "/a/x", "HTTP/1.1")
            await message.headers_received(line, HTTPHeaders({"Host": HOST}))
            await asyncio.sleep(0.05)
            assert len(server.heads) == 1

    asyncio.run(main())


def test_a_non_idempotent_request_uses_no_idle_connection():
    """Guards against a request sent on a connection that the server dropped."""

    async def main():
        server = ScriptedServer([SERVED, SERVED, SERVED])
        async with gateway(server) as running:
            assert (await running.call("POST", "/b/x", b"1")).status == 200
            assert (await running.call("POST", "/b/x", b"2")).status == 200
            assert server.connection_count == 1
            running.clock.offset_ms += 150.0
            assert (await running.call("POST", "/b/x", b"3")).status == 200
            assert server.connection_count == 2

    asyncio.run(main())


@pytest.mark.parametrize(("rest_ms", "is_suspected"), [(0.0, True), (300.0, False)])
def test_a_server_that_dropped_an_idle_connection_is_not_suspected(
    rest_ms, is_suspected
):
    """Guards against healthy servers suspected because of idle connections."""

    async def main():
        server = ScriptedServer([SERVED, RESET])
        async with gateway(server) as running:
            assert (await running.call("GET", "/a/x")).status == 200
            running.clock.offset_ms += rest_ms
            await running.call("GET", "/a/x")
            assert len(server.heads) == 2
            assert running.load.get("b1").health.is_suspected is is_suspected

    asyncio.run(main())


def test_a_server_chosen_before_a_pause_is_chosen_anew():
    async def check():
        servers = [ScriptedServer([Step(response())]) for _ in range(2)]
        async with gateway(*servers) as running:
            acquire = running.connections.acquire

            async def pause_once(server, *, is_idempotent):
                connection = await acquire(server, is_idempotent=is_idempotent)
                running.connections.acquire = acquire
                running.clock.offset_ms += 800
                return connection

            running.connections.acquire = pause_once
            answer = await running.call("POST", "/b/x", b"order")
            assert answer.status == 200
            assert [len(server.heads) for server in servers].count(1) == 1
            assert sum(server.connection_count for server in servers) == 2

    asyncio.run(check())
