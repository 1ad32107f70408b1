"""Requests that reach an instance during its planned stop."""

import asyncio
import contextlib

import pytest

from cardamomrun_base.routing_document import RouteKind
from cardamomrun_bench.scripted_server import ScriptedServer, Step, parse_response
from cardamomrun_gateway import front

from .builders import (
    GRACE_MS,
    NAMES,
    ROUTES,
    document,
    gateway,
    member,
    not_run,
    request,
    response,
    route,
    until,
)
from .test_lost_paths import lose_paths, pair

SERVED = Step(response())


def deadline(duration_ms):
    return {NAMES.deadline_ms: str(duration_ms)}


@contextlib.asynccontextmanager
async def stopping(*servers, routes=ROUTES):
    """Run a gateway that has just begun to stop, beside another instance."""
    async with gateway(*servers, content=document(routes=routes)) as running:
        running.fleet.listed = [member("e1"), member("e2", port=2)]
        stop = asyncio.create_task(running.front.stop())
        await asyncio.sleep(0)
        assert running.front.draining
        yield running
        await stop


@pytest.mark.parametrize("path", ["/a/x", "/b/x", "/c/x"])
def test_a_stopping_instance_takes_no_request_that_may_outlast_it(path):
    """Guards against answers that are lost when the grace period ends."""

    async def main():
        server = ScriptedServer([SERVED])
        async with stopping(server) as running:
            received = await running.call("POST", path, b"1", **deadline(GRACE_MS))
            assert (received.status, received.outcome) == (503, "not-run")
            assert received.headers["connection"] == "close"
            assert float(received.headers["retry-after"]) == 0
            assert server.heads == []

    asyncio.run(main())


def test_a_stopping_instance_serves_requests_that_end_in_time():
    async def main():
        server = ScriptedServer([SERVED])
        async with stopping(server) as running:
            received = await running.call("POST", "/b/x", b"1", **deadline(200))
            assert received.status == 200
            assert received.headers["connection"] == "close"

    asyncio.run(main())


def test_a_stop_goes_on_serving_for_a_while():
    """Guards against a stop that refuses what clients send before they learn of it."""
    quick = route("/b/", RouteKind.NON_IDEMPOTENT, objective_ms=300.0)

    async def main():
        async with stopping(ScriptedServer([SERVED]), routes=[quick]) as running:
            for offset_ms, status in ((0, 200), (300, 503)):
                running.clock.offset_ms += offset_ms
                received = await running.call(
                    "POST", "/b/x", b"1", **deadline(GRACE_MS)
                )
                assert received.status == status

    asyncio.run(main())


def test_the_last_instance_names_the_end_of_its_stop():
    """Guards against clients that use up their tries while no instance serves."""

    async def main():
        async with stopping(ScriptedServer([SERVED])) as running:
            running.fleet.listed = [member("e1")]
            received = await running.call("POST", "/b/x", b"1", **deadline(GRACE_MS))
            assert received.status == 503
            assert 0.3 < float(received.headers["retry-after"]) <= GRACE_MS / 1_000

    asyncio.run(main())


def test_a_request_on_an_open_connection_is_refused_while_it_could_be_lost():
    """Guards against a stop that minds new connections only."""

    async def main():
        server = ScriptedServer([SERVED])
        async with gateway(server) as running:
            reader, writer = await running.connect()
            writer.write(request(connection="keep-alive"))
            await reader.readuntil(b"\r\n\r\nok")
            stop = asyncio.create_task(running.front.stop())
            await asyncio.sleep(0)
            writer.write(request(**deadline(GRACE_MS)))
            assert parse_response(await reader.read()).status == 503
            assert len(server.heads) == 1
            await stop

    asyncio.run(main())


def test_a_request_in_flight_gets_no_second_attempt_that_may_outlast_the_stop():
    """Guards against attempts that begin when the grace period is nearly over."""

    async def main():
        release = asyncio.Event()
        refusing = ScriptedServer([Step(not_run(), response_released=release)])
        other = ScriptedServer([Step(not_run(), response_released=release)])
        async with gateway(refusing, other) as running:
            call = asyncio.create_task(running.call("POST", "/b/x", b"1"))
            while not refusing.heads and not other.heads:
                await asyncio.sleep(0.01)
            stop = asyncio.create_task(running.front.stop())
            await asyncio.sleep(0.45)
            release.set()
            received = await call
            assert (received.status, received.outcome) == (503, "not-run")
            assert len(refusing.heads) + len(other.heads) == 1
            await stop

    asyncio.run(main())


@pytest.mark.parametrize("objective_ms", [1_000.0, 30.0])
def test_an_upload_that_arrives_until_the_end_of_the_stop_is_refused(objective_ms):
    """Guards against a slow body that begins an attempt when little time is left."""
    routes = [route("/c/", RouteKind.UPLOAD, objective_ms=objective_ms)]

    async def main():
        server = ScriptedServer([SERVED])
        async with gateway(server, content=document(routes=routes)) as running:
            reader, writer = await running.connect()
            writer.write(request("POST", "/c/x", content_length="2") + b"1")
            await asyncio.sleep(0.05)
            stop = asyncio.create_task(running.front.stop())
            await asyncio.sleep(0.45)
            writer.write(b"2")
            assert parse_response(await reader.read()).status == 503
            assert server.heads == []
            await stop

    asyncio.run(main())


def test_an_instance_that_stops_does_not_run_requests_of_another_to_their_loss():
    """Guards against a lost answer of an instance that was asked to help."""

    async def main():
        async with pair() as running:
            await lose_paths(running)
            stop = asyncio.create_task(running.other.front.stop())
            await asyncio.sleep(0)
            before = running.run_count()
            received = await running.cut_off.call("POST", "/b/x", b"body")
            assert (received.status, received.outcome) == (503, "not-run")
            assert running.run_count() == before
            address = f"127.0.0.1:{running.other.settings.front_port}"
            assert not running.cut_off.peers.has_lost_paths(
                member("e2", port=int(address.rpartition(":")[2]))
            )
            await stop

    asyncio.run(main())


def test_a_request_that_begins_while_connections_are_closed_is_finished(monkeypatch):
    """Guards against a stop that waits for requests once and then cuts later ones."""
    monkeypatch.setattr("cardamomrun_requests.client_listener.FLUSH_TIMEOUT_S", 0.1)

    async def main():
        release = asyncio.Event()
        server = ScriptedServer([Step(response(), response_released=release)])
        async with gateway(server, grace_ms=10_000) as running:
            reader, writer = await running.connect()
            data = request("POST", "/b/x", b"1")
            writer.write(data[:10])
            stop = asyncio.create_task(running.front.stop())
            await asyncio.sleep(0.35)
            writer.write(data[10:])
            await until(lambda: server.heads)
            await asyncio.sleep(0.2)
            assert not stop.done()
            release.set()
            assert parse_response(await reader.read()).status == 200
            await stop

    asyncio.run(main())


def test_requests_that_outlast_the_stop_are_named_in_the_log(monkeypatch):
    """Guards against lost responses that no log line accounts for."""
    warnings = []
    monkeypatch.setattr(
        front._log, "warning", lambda text, **fields: warnings.append((text, fields))
    )

    async def main():
        release = asyncio.Event()
        server = ScriptedServer([Step(response(), response_released=release)])
        async with gateway(server) as running:
            call = asyncio.create_task(running.call("POST", "/b/x", b"1"))
            await until(lambda: server.heads)
            stop = asyncio.create_task(running.front.stop())
            await until(lambda: warnings)
            release.set()
            assert (await call).status == 200
            await stop
        ((text, fields),) = warnings
        assert text == "requests are in flight at the end of the grace period"
        assert fields == {"request_ids": "id-1"}

    asyncio.run(main())


def test_a_second_signal_does_not_extend_the_grace_period():
    async def main():
        async with stopping(ScriptedServer([SERVED])) as running:
            running.clock.offset_ms += 400
            left_ms = running.shutdown.remaining_ms
            running.shutdown.begin()
            assert running.shutdown.remaining_ms <= left_ms <= 100

    asyncio.run(main())
