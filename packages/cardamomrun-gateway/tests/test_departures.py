"""Backend servers that say in their responses that they leave."""

import asyncio
import math
from dataclasses import replace

import cbor2
import pytest

from cardamomrun_base.model import BackendPhase
from cardamomrun_bench.scripted_server import ScriptedServer, Step
from cardamomrun_gateway.server_notices import NOTICE

from .builders import (
    NAMES,
    ROUTES,
    Gateway,
    document,
    gateway,
    member,
    response,
    routing_record,
    server_body,
    server_record,
    until,
)
from .test_lost_paths import lose_paths, pair

LEAVES = {NAMES.leaving: "1"}
SERVED = Step(response())
LEAVING_RESPONSES = {
    "success": response(**LEAVES),
    "error": response(status=500, **LEAVES),
    "refusal": response(b"", 503, proof=False, **{NAMES.not_run: "1"}, **LEAVES),
    "misdirected": response(b"", 421, proof=False, **LEAVES),
    "not found": response(status=404, **LEAVES),
}


@pytest.mark.parametrize("name", LEAVING_RESPONSES)
@pytest.mark.parametrize("path", ["/a/x", "/b/x"])
def test_a_server_that_says_it_leaves_gets_no_more_requests(name, path):
    """Guards against requests to a server between its word and its announcement."""

    async def main():
        leaving = ScriptedServer([Step(LEAVING_RESPONSES[name]), SERVED])
        other = ScriptedServer([SERVED])
        async with gateway(leaving, other) as running:
            method = "GET" if path == "/a/x" else "POST"
            async with asyncio.timeout(5):
                while not leaving.heads:
                    await running.call(method, path)
            for _ in range(10):
                assert (await running.call(method, path)).status == 200
            assert len(leaving.heads) == 1
            await until(lambda: leaving.closed_count == leaving.connection_count)

    asyncio.run(main())


def test_an_idle_connection_to_a_server_that_leaves_is_closed():
    async def main():
        leaving = ScriptedServer([SERVED, SERVED, Step(response(**LEAVES))])
        async with gateway(leaving) as running:
            for _ in range(3):
                await running.call()
            await until(lambda: leaving.closed_count == leaving.connection_count)
            assert (await running.call()).status == 503
            assert len(leaving.heads) == 3

    asyncio.run(main())


def test_only_a_newer_start_brings_a_server_back():
    """Guards against late announcements and new documents that undo a departure."""

    async def main():
        server = ScriptedServer([Step(response(**LEAVES)), SERVED])
        async with gateway(server) as running:
            body = running.load.get("b1").body
            assert (await running.call()).status == 200
            late = (
                server_record(body, counter=9),
                server_record(replace(body, phase=BackendPhase.DRAINING), counter=10),
                server_record(body, counter=11),
                routing_record(document(2, ROUTES)),
            )
            for record in late:
                running.store.put(record)
                assert running.load.get("b1") is None
            running.clock.offset_ms += 600_000
            assert (await running.call()).status == 503
            running.store.put(server_record(replace(body, incarnation=2)))
            assert (await running.call()).status == 200
            assert len(server.heads) == 2

    asyncio.run(main())


def test_a_request_in_flight_at_a_server_that_leaves_ends_as_usual():
    async def main():
        release = asyncio.Event()
        server = ScriptedServer(
            [Step(response(), response_released=release), Step(response(**LEAVES))]
        )
        async with gateway(server) as running:
            first = asyncio.create_task(running.call("POST", "/b/x", b"1"))
            await until(lambda: len(server.heads) == 1)
            assert (await running.call("POST", "/b/x", b"2")).status == 200
            assert running.load.get("b1") is None
            release.set()
            assert (await first).status == 200

    asyncio.run(main())


def test_a_server_that_leaves_while_a_request_connects_is_not_sent_it():
    """Guards against choices made before the server said that it leaves."""

    async def main():
        servers = [ScriptedServer([SERVED]) for _ in range(2)]
        async with gateway(*servers) as running:
            acquire = running.connections.acquire

            async def leave_meanwhile(server, *, is_idempotent):
                running.connections.acquire = acquire
                connection = await acquire(server, is_idempotent=is_idempotent)
                running.notices.record_response(server, 200, LEAVES)
                return connection

            running.connections.acquire = leave_meanwhile
            assert (await running.call("POST", "/b/x", b"order")).status == 200
            assert sum(len(server.heads) for server in servers) == 1
            (left,) = {"b1", "b2"} - {
                s.body.server_id for s in running.load.servers_of("rota-desk")
            }
            assert servers[int(left[1]) - 1].heads == []

    asyncio.run(main())


def test_both_instances_of_a_relayed_request_learn_of_the_departure():
    """Guards against an instance that uses the server once its paths are back."""

    async def main():
        async with pair() as running:
            await lose_paths(running)
            for server in running.servers:
                server.steps = [Step(response(**LEAVES))]
            running.other.connections.close()
            received = await running.cut_off.call("POST", "/b/x", b"body")
            assert received.status == 200
            assert "cardamomrun-relayed-server" not in received.headers
            for gate in (running.cut_off, running.other):
                ids = {s.body.server_id for s in gate.load.servers_of("rota-desk")}
                assert len(ids) == 5

    asyncio.run(main())


def test_only_instances_are_told_which_server_has_responded():
    async def main():
        async with gateway(ScriptedServer([SERVED])) as running:
            received = await running.call()
            assert "cardamomrun-relayed-server" not in received.headers

    asyncio.run(main())


def notice_of(running, server_id):
    return NOTICE + cbor2.dumps([running.load.get(server_id).key, math.inf])


def test_other_instances_are_told_and_avoid_the_server():
    """Guards against each instance of the fleet that has to find out by itself."""

    async def main():
        servers = [ScriptedServer([SERVED]) for _ in range(4)]
        async with gateway(*servers) as running:
            sent = []
            running.reports.send = lambda data, address: sent.append((data, address))
            running.fleet.listed = [member("e1"), member("e2", port=2)]
            key = running.load.get("b1").key
            running.notices.record_response(running.load.get("b1"), 200, LEAVES)
            assert sent == [(NOTICE + cbor2.dumps([key, math.inf]), ("127.0.0.1", 2))]
            running.reports.datagram_received(notice_of(running, "b2"), ("::1", 1))
            # A server that is known by hearsay is left out down to the floor only.
            running.reports.datagram_received(notice_of(running, "b3"), ("::1", 1))
            assert running.load.get("b2") is not None
            for _ in range(12):
                assert (await running.call("POST", "/b/x", b"1")).status == 200
            assert not servers[0].heads

    asyncio.run(main())


def test_hearsay_does_not_take_a_service_below_its_floor():
    """Guards against a false notice that leaves a service without servers."""

    async def main():
        servers = [ScriptedServer([SERVED]) for _ in range(4)]
        async with gateway(*servers) as running:
            running.reports.datagram_received(notice_of(running, "b1"), ("::1", 1))
            for _ in range(12):
                assert (await running.call("POST", "/b/x", b"1")).status == 200
            assert not servers[0].heads
            for server_id in ("b2", "b3", "b4"):
                running.reports.datagram_received(
                    notice_of(running, server_id), ("::1", 1)
                )
            for _ in range(4):
                assert (await running.call("POST", "/b/x", b"1")).status == 200

    asyncio.run(main())


@pytest.mark.parametrize(
    "data", [b"\xff", cbor2.dumps("b1"), cbor2.dumps([12345, 1.0])]
)
def test_a_notice_that_names_no_server_is_ignored(data):
    running = Gateway(document(routes=ROUTES), [server_body("b1")])
    running.reports.datagram_received(NOTICE + data, ("::1", 1))
    assert not running.load.get("b1").is_avoided(running.clock.now_ms())


def test_another_value_of_the_header_does_not_count():
    async def main():
        server = ScriptedServer([Step(response(**{NAMES.leaving: "0"}))])
        async with gateway(server) as running:
            for _ in range(3):
                assert (await running.call()).status == 200

    asyncio.run(main())
