"""Backend servers that ask an instance for a pause: 503 with Retry-After."""

import asyncio
from dataclasses import replace

import pytest

from cardamomrun_bench.scripted_server import ScriptedServer, Step
from cardamomrun_gateway.server_pause import ServerPause

from .builders import (
    NAMES,
    ROUTES,
    document,
    gateway,
    response,
    routing_record,
    server_record,
    until,
)

SERVED = Step(response())
PAUSE_S = 4
PAUSE_MS = PAUSE_S * 1_000


def pausing(retry_after=str(PAUSE_S), *, not_run=True):
    headers = {"Retry-After": retry_after}
    if not_run:
        headers[NAMES.not_run] = "1"
    return Step(response(b"", 503, proof=not not_run, **headers))


@pytest.mark.parametrize("path", ["/a/x", "/b/x"])
@pytest.mark.parametrize("not_run", [True, False])
def test_a_server_gets_nothing_until_the_end_of_its_pause(path, not_run):
    """Guards against requests that are known to be refused."""

    async def main():
        resting = ScriptedServer([pausing(not_run=not_run), SERVED])
        other = ScriptedServer([SERVED])
        method = "GET" if path == "/a/x" else "POST"
        async with gateway(resting, other) as running:
            async with asyncio.timeout(5):
                while not resting.heads:
                    received = await running.call(method, path)
            assert received.status == (200 if not_run or path == "/a/x" else 502)
            for _ in range(4):
                running.clock.offset_ms += 900
                assert (await running.call(method, path)).status == 200
            assert len(resting.heads) == 1
            assert not running.load.get("b1").health.is_suspected

    asyncio.run(main())


def test_after_a_pause_one_request_goes_first():
    """Guards against a server that gets the whole load in the first instant."""

    async def main():
        release = asyncio.Event()
        resting = ScriptedServer(
            [pausing(), Step(response(), response_released=release), SERVED]
        )
        async with gateway(resting) as running:
            assert (await running.call("POST", "/b/x", b"1")).status == 503
            running.clock.offset_ms += PAUSE_MS + 1_000
            trial = asyncio.create_task(running.call("POST", "/b/x", b"1"))
            await until(lambda: len(resting.heads) == 2)
            refused = await running.call("POST", "/b/x", b"1")
            assert refused.status == 503
            assert len(resting.heads) == 2
            release.set()
            assert (await trial).status == 200
            calls = [running.call("POST", "/b/x", b"1") for _ in range(3)]
            assert {call.status for call in await asyncio.gather(*calls)} == {200}

    asyncio.run(main())


def test_a_request_is_rejected_at_once_when_all_servers_pause():
    """Guards against clients that wait although no server will take their request."""

    async def main():
        servers = [ScriptedServer([pausing("2")]), ScriptedServer([pausing("3.5")])]
        async with gateway(*servers) as running:
            assert (await running.call("POST", "/b/x", b"1")).status == 503
            loop = asyncio.get_running_loop()
            start_s = loop.time()
            received = await running.call("POST", "/b/x", b"1")
            assert loop.time() - start_s < 0.1
            assert (received.status, received.outcome) == (503, "not-run")
            # The first pause ends in 2 s, of which some milliseconds have passed.
            assert 1.5 < float(received.headers["retry-after"]) < 3.5
            assert sum(len(server.heads) for server in servers) == 2

    asyncio.run(main())


def test_clients_are_told_to_return_one_after_the_other():
    """Guards against all refused clients returning at the end of the pause."""

    async def main():
        async with gateway(ScriptedServer([pausing("0.6")])) as running:
            await running.call("POST", "/b/x", b"1")
            delays = []
            for _ in range(6):
                received = await running.call("POST", "/b/x", b"1")
                delays.append(float(received.headers["retry-after"]))
            assert max(delays) - min(delays) > 0.2

    asyncio.run(main())


def test_nothing_but_a_newer_start_shortens_a_pause():
    """Guards against announcements and documents that end a pause early."""

    async def main():
        server = ScriptedServer([pausing(), SERVED])
        async with gateway(server) as running:
            assert (await running.call()).status == 503
            body = running.load.get("b1").body
            running.store.put(server_record(body, counter=9))
            running.store.put(routing_record(document(2, ROUTES)))
            running.load.get("b1").pause.ask(running.clock.now_ms(), 10.0)
            running.clock.offset_ms += PAUSE_MS - 1_000
            assert (await running.call()).status == 503
            assert len(server.heads) == 1
            running.store.put(server_record(replace(body, incarnation=2)))
            assert (await running.call()).status == 200

    asyncio.run(main())


@pytest.mark.parametrize("value", ["0", "-1", "nan", "inf", "soon", ""])
def test_a_response_without_a_time_begins_no_pause(value):
    async def main():
        server = ScriptedServer([pausing(value), SERVED])
        async with gateway(server) as running:
            await running.call()
            assert running.load.get("b1").pause.is_over(running.clock.now_ms())
            assert (await running.call()).status == 200

    asyncio.run(main())


def test_a_request_chosen_before_the_pause_is_not_sent():
    """Guards against requests that connect while the server asks for a pause."""

    async def main():
        servers = [ScriptedServer([SERVED]) for _ in range(2)]
        async with gateway(*servers) as running:
            acquire = running.connections.acquire
            paused = []

            async def pause_meanwhile(server, *, is_idempotent):
                running.connections.acquire = acquire
                connection = await acquire(server, is_idempotent=is_idempotent)
                server.pause.ask(running.clock.now_ms(), PAUSE_MS)
                paused.append(int(server.body.server_id[1:]) - 1)
                return connection

            running.connections.acquire = pause_meanwhile
            assert (await running.call("POST", "/b/x", b"1")).status == 200
            assert servers[paused[0]].heads == []

    asyncio.run(main())


def test_a_fleet_returns_over_a_span_and_never_early():
    returns_ms = []
    for number in range(44):
        pause = ServerPause(spread_ratio=number / 44)
        pause.ask(0.0, PAUSE_MS)
        returns_ms.append(pause.until_ms)
    assert min(returns_ms) == PAUSE_MS
    assert max(returns_ms) - min(returns_ms) > 900
