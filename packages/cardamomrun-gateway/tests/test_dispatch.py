"""What callers and backend servers see of a request."""

import asyncio

import pytest
from tornado.httputil import HTTPHeaders, RequestStartLine

from cardamomrun_bench.scripted_server import ScriptedServer, Step, parse
from cardamomrun_gateway.server_health import AttemptEnd

from .builders import (
    HOST,
    NAMES,
    SERVICE,
    EndlessServer,
    answer,
    document,
    gateway,
    not_run,
    not_run_chunked,
    request,
    route,
    server_body,
    server_record,
    until,
)

OK = Step(answer())
RESET = Step(b"", "reset")
CUT = Step(answer(b"whole")[:-2], "close")
GARBAGE = Step(b"these bytes are no answer\r\n\r\n", "close")
UNPROVEN = Step(answer(proof=False))
ENCODED = Step(answer(Content_Encoding="gzip"))
FAILED = Step(answer(b"sorry", 500))
UNSAID = Step(answer(b"", 503))
FULL = Step(not_run())
MISDIRECTED = Step(answer(b"", 421, proof=False))

# First server's step, path, status for the caller, and requests at both servers.
FAULTS = {
    "idempotent, reset": (RESET, "/a/x", 200, 2),
    "idempotent, cut answer": (CUT, "/a/x", 200, 2),
    "idempotent, garbage": (GARBAGE, "/a/x", 200, 2),
    "idempotent, without proof": (UNPROVEN, "/a/x", 200, 2),
    "idempotent, encoded on its way": (ENCODED, "/a/x", 200, 2),
    "idempotent, the server's own error": (FAILED, "/a/x", 200, 2),
    "idempotent, full": (FULL, "/a/x", 200, 2),
    "idempotent, another server's address": (MISDIRECTED, "/a/x", 200, 2),
    "once, reset": (RESET, "/b/x", 502, 1),
    "once, cut answer": (CUT, "/b/x", 502, 1),
    "once, garbage": (GARBAGE, "/b/x", 502, 1),
    "once, without proof": (UNPROVEN, "/b/x", 502, 1),
    "once, encoded on its way": (ENCODED, "/b/x", 502, 1),
    "once, the server's own error": (FAILED, "/b/x", 500, 1),
    "once, 503 that does not say it was not run": (UNSAID, "/b/x", 502, 1),
    "once, full": (FULL, "/b/x", 200, 2),
    "once, another server's address": (MISDIRECTED, "/b/x", 200, 2),
    "upload, reset": (RESET, "/c/x", 502, 1),
    "upload, full": (FULL, "/c/x", 200, 2),
}


@pytest.mark.parametrize("name", FAULTS)
def test_a_fault_of_one_server(name):
    """Guards against lost idempotent requests and others that run twice."""
    step, path, status, count = FAULTS[name]

    async def main():
        bad, good = ScriptedServer([step]), ScriptedServer([OK])
        async with gateway(bad, good) as running:
            running.fill = running.load.started(running.load.get("b2"))
            received = await running.call("POST", path, b"body")
            assert received.status == status
            assert len(bad.heads) + len(good.heads) == count
            if status == 200:
                assert received.body == b"ok"
                assert received.headers[NAMES.success_proof.lower()] == "proof"
            elif status != 500:
                assert NAMES.success_proof.lower() not in received.headers

    asyncio.run(main())


def test_a_server_gets_the_request_unchanged_with_its_own_headers():
    async def main():
        server = ScriptedServer([OK])
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


def test_a_refused_connection_costs_nothing():
    """Guards against a request that is lost although no byte of it left."""

    async def main():
        gone, good = ScriptedServer([OK]), ScriptedServer([OK])
        async with gateway(gone, good) as running:
            gone.stop()
            for _ in range(3):
                received = await running.call("POST", "/b/x", b"body")
                assert received.status == 200
            assert len(good.heads) == 3

    asyncio.run(main())


def test_a_late_answer_to_an_earlier_request_is_skipped():
    """Guards against another caller's answer on a kept connection."""

    async def main():
        late = answer(b"first again", attempt_id="id-1")
        second = answer(b"second", attempt_id="id-2")
        steps = [Step(answer(b"first", attempt_id="id-1")), Step(late + second)]
        server = ScriptedServer(steps)
        async with gateway(server) as running:
            first = await running.call("POST", "/b/x", b"1", attempt_id="id-1")
            received = await running.call("POST", "/b/x", b"2", attempt_id="id-2")
            assert (first.body, received.body) == (b"first", b"second")
            assert server.connection_count == 1

    asyncio.run(main())


def test_a_late_answer_that_names_no_request_is_skipped():
    """Guards against a copy of an earlier answer that reaches the next caller."""

    async def main():
        late = (
            answer(b"first again")
            .replace(b"id-1", b"")
            .replace(NAMES.request_id.encode() + b": \r\n", b"")
        )
        assert NAMES.request_id.encode() not in late
        second = answer(b"second", attempt_id="id-2")
        steps = [Step(answer(b"first", attempt_id="id-1")), Step(late * 3 + second)]
        server = ScriptedServer(steps)
        async with gateway(server) as running:
            first = await running.call("POST", "/b/x", b"1", attempt_id="id-1")
            received = await running.call("POST", "/b/x", b"2", attempt_id="id-2")
            assert (first.body, received.body) == (b"first", b"second")
            assert server.connection_count == 1

    asyncio.run(main())


# What a server in trouble sends on and on, before the bytes that it repeats.
ENDLESS = {
    "a refusal's body": (not_run_chunked(), b"400\r\n" + b"x" * 1_024 + b"\r\n"),
    "the body of an answer without proof": (
        answer(b"", proof=False, **{"Transfer-Encoding": "chunked"}).replace(
            b"Content-Length: 0\r\n", b""
        ),
        b"400\r\n" + b"x" * 1_024 + b"\r\n",
    ),
    "informational answers": (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "answers to another request": (b"", answer(b"x" * 1_024, attempt_id="id-0")),
    "a status line": (b"HTTP/1.1 200 ", b"x" * 1_024),
    "head lines": (b"HTTP/1.1 200 OK\r\n", b"a: b\r\n" * 200),
    "a chunk extension": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;",
        b"x" * 1_024,
    ),
}
PAUSES_S = {"at full speed": 0.0, "in drops": 0.05}
# Refusals and answers that cannot be the server's are known by their head.
# In drops of 50 ms: half a second, of a deadline of one and a half.
DROPS_UNTIL_KNOWN = 10
KNOWN_BY_HEAD = ("a refusal's body", "the body of an answer without proof")


@pytest.mark.parametrize("path", ["/a/x", "/b/x"])
@pytest.mark.parametrize("pace", PAUSES_S)
@pytest.mark.parametrize("kind", ENDLESS)
def test_bytes_without_end_hold_up_nobody(kind, pace, path):
    """Guards against a server that sends until its caller closes the connection."""
    begin, repeated = ENDLESS[kind]

    async def main():
        bad, good = EndlessServer(begin, repeated, PAUSES_S[pace]), ScriptedServer([OK])
        async with gateway(bad, good) as running:
            running.fill = running.load.started(running.load.get("b2"))
            received = await running.call("POST", path, b"body")
            if path == "/a/x" or kind == "a refusal's body":
                assert received.status == 200
            elif kind in KNOWN_BY_HEAD or pace == "at full speed":
                # Ended by what was read, not by the deadline.
                assert received.status == 502
            else:
                assert received.status in (502, 504)
            if kind in KNOWN_BY_HEAD and pace == "in drops":
                # The server's own pace is the clock here, so that load changes nothing.
                assert bad.sent_count <= DROPS_UNTIL_KNOWN
            await until(lambda: bad.closed_count == bad.connection_count)
            assert bad.sent_bytes < 40_000_000

    asyncio.run(main())


@pytest.mark.parametrize("value", ["inf", "nan", "-inf", "1e9", "soon"])
def test_a_servers_time_to_come_back_is_passed_on_only_if_it_helps(value):
    async def main():
        refusal = answer(
            b"", 503, proof=False, **{NAMES.not_run: "1", "Retry-After": value}
        )
        async with gateway(ScriptedServer([Step(refusal)])) as running:
            received = await running.call("POST", "/b/x", b"1")
            assert received.status == 503
            assert 0 <= float(received.headers["retry-after"]) <= 1.5

    asyncio.run(main())


def test_surplus_bytes_end_a_connection():
    async def main():
        server = ScriptedServer([Step(answer() + answer(b"surplus")), OK])
        async with gateway(server) as running:
            for _ in range(2):
                received = await running.call("POST", "/b/x", b"1")
                assert received.body == b"ok"
            assert server.connection_count == 2

    asyncio.run(main())


def test_a_caller_that_leaves_ends_the_work_of_the_server():
    async def main():
        server = ScriptedServer([Step(b"", "hang")])
        async with gateway(server) as running:
            _, writer = await running.connect()
            writer.write(request())
            await until(lambda: server.heads)
            writer.close()
            await until(lambda: server.closed_count == 1)
            assert running.load.get("b1").in_work_count == 0

    asyncio.run(main())


@pytest.mark.parametrize(("path", "status"), [("/a/x", 504), ("/b/x", 504)])
def test_a_silent_server_is_answered_for_at_the_deadline(path, status):
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
    """Guards against callers that wait for a server which hangs."""

    async def main():
        silent, good = ScriptedServer([Step(b"", "hang")]), ScriptedServer([OK])
        content = document(routes=[route("/a/", objective_ms=200.0)])
        async with gateway(silent, good, content=content) as running:
            running.load.started(running.load.get("b2"))
            received = await running.call()
            assert received.status == 200
            assert (len(silent.heads), len(good.heads)) == (1, 1)
            await until(lambda: silent.closed_count == 1)

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
        server = ScriptedServer([OK])
        async with gateway(server) as running:
            limits = running.table.document.limits
            object.__setattr__(limits, "body_bytes", 10)
            received = await running.call("POST", "/c/x", b"x" * 11)
            assert received.status == 413
            assert server.heads == []

    asyncio.run(main())


def test_the_budget_of_the_fleet_ends_second_attempts():
    async def main():
        bad, good = ScriptedServer([RESET]), ScriptedServer([OK])
        async with gateway(bad, good) as running:
            running.load.started(running.load.get("b2"))
            for _ in range(100):
                running.reports.repeat(SERVICE)
            assert (await running.call()).status == 502
            assert good.heads == []

    asyncio.run(main())


def test_full_servers_refuse_with_a_time_to_come_back():
    async def main():
        server = ScriptedServer([OK])
        async with gateway(server) as running:
            for _ in range(8):
                running.load.started(running.load.get("b1"))
            received = await running.call("POST", "/b/x", b"1")
            assert received.status == 503
            assert 0 < float(received.headers["retry-after"]) < 1
            assert server.heads == []

    asyncio.run(main())


def test_a_request_is_held_until_a_slot_is_free():
    async def main():
        server = ScriptedServer([OK])
        async with gateway(server) as running:
            held = running.load.get("b1")
            for _ in range(8):
                running.load.started(held)
            call = asyncio.create_task(running.call("POST", "/b/x", b"1"))
            await asyncio.sleep(0.03)
            now_ms = running.clock.now_ms()
            for _ in range(8):
                running.load.ended(held, AttemptEnd.GOOD, now_ms)
            assert (await call).status == 200

    asyncio.run(main())


def test_a_stop_answers_what_is_in_flight():
    async def main():
        release = asyncio.Event()
        server = ScriptedServer([Step(answer(), release=release)])
        async with gateway(server) as running:
            call = asyncio.create_task(running.call("POST", "/b/x", b"1"))
            await until(lambda: server.heads)
            stop = asyncio.create_task(running.front.stop())
            await asyncio.sleep(0.6)
            release.set()
            assert (await call).status == 200
            await stop

    asyncio.run(main())


FRAMINGS = {
    "both lengths": b"content-length: 1\r\ntransfer-encoding: chunked",
    "two lengths": b"content-length: 1\r\ncontent-length: 2",
    "unknown coding": b"transfer-encoding: odd",
}


@pytest.mark.parametrize("name", FRAMINGS)
def test_ambiguous_framing_is_refused(name):
    async def main():
        server = ScriptedServer([OK])
        async with gateway(server) as running:
            head = b"POST /b/x HTTP/1.1\r\nhost: rota.example\r\n" + FRAMINGS[name]
            received = parse(await running.raw(head + b"\r\n\r\nx"))
            assert received.status == 400
            assert server.heads == []

    asyncio.run(main())


class DyingServer(ScriptedServer):
    """Stops listening and breaks off when it gets its first request."""

    async def _serve_one(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        self.heads.append(head)
        self.stop()
        writer.transport.abort()
        return False


def test_a_request_that_crashes_servers_is_stopped_and_others_go_on():
    """Guards against one request that takes down a whole service."""

    async def main():
        servers = [DyingServer([OK]) for _ in range(3)]
        good = ScriptedServer([Step(answer(attempt_id="id-1"))])
        async with gateway(*servers, good) as running:
            for _ in range(8):
                running.load.started(running.load.get("b4"))
            for _ in range(6):
                await running.call("POST", "/b/x", b"crash")
                await asyncio.sleep(0.02)
            assert sum(len(server.heads) for server in servers) == 2
            refused = await running.call("POST", "/b/x", b"crash")
            assert (refused.status, refused.outcome) == (503, "not-run")
            now_ms = running.clock.now_ms()
            for _ in range(8):
                held = running.load.get("b4")
                running.load.ended(held, AttemptEnd.GOOD, now_ms)
            assert (await running.call("POST", "/b/x", b"other")).status == 200

    asyncio.run(main())


def test_a_request_that_crosses_the_close_of_its_connection_is_answered():
    """Guards against a stop that closes a connection and then runs its request."""

    async def main():
        server = ScriptedServer([OK])
        async with gateway(server) as running:
            reader, writer = await running.connect()
            writer.write(request(connection="keep-alive"))
            await reader.readuntil(b"\r\n\r\nok")
            # Sent before the loop runs again: the bytes wait in the socket.
            writer.write(request(connection="keep-alive"))
            running.front._listener.refuse_new()
            answered = await reader.read()
            assert parse(answered).status == 200
            assert len(server.heads) == 2

    asyncio.run(main())


def test_a_request_that_was_read_after_its_connection_closed_does_not_run():
    async def main():
        server = ScriptedServer([OK])
        async with gateway(server) as running:
            reader, writer = await running.connect()
            writer.write(request(connection="keep-alive"))
            await reader.readuntil(b"\r\n\r\nok")
            (message,) = running.front._listener._callers._idle
            message.connection.close()
            line = RequestStartLine("GET", "/a/x", "HTTP/1.1")
            await message.headers_received(line, HTTPHeaders({"Host": HOST}))
            await asyncio.sleep(0.05)
            assert len(server.heads) == 1

    asyncio.run(main())


def test_a_request_that_may_run_once_uses_no_connection_that_rested():
    """Guards against a request sent into a connection that the server forgot."""

    async def main():
        server = ScriptedServer([OK, OK, OK])
        async with gateway(server) as running:
            assert (await running.call("POST", "/b/x", b"1")).status == 200
            assert (await running.call("POST", "/b/x", b"2")).status == 200
            assert server.connection_count == 1
            running.clock.offset_ms += 150.0
            assert (await running.call("POST", "/b/x", b"3")).status == 200
            assert server.connection_count == 2

    asyncio.run(main())


@pytest.mark.parametrize(("rest_ms", "is_doubted"), [(0.0, True), (300.0, False)])
def test_a_server_that_forgot_a_connection_is_not_doubted(rest_ms, is_doubted):
    """Guards against well servers left alone for connections that only rested."""

    async def main():
        server = ScriptedServer([OK, RESET])
        async with gateway(server) as running:
            assert (await running.call("GET", "/a/x")).status == 200
            running.clock.offset_ms += rest_ms
            await running.call("GET", "/a/x")
            assert len(server.heads) == 2
            assert running.load.get("b1").health.is_doubted is is_doubted

    asyncio.run(main())
