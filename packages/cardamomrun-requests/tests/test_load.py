"""Limits, fairness, streaming and graceful stop."""

import asyncio
import contextlib

import pytest

from cardamomrun_base.clock import ManualClock
from cardamomrun_base.documents import Limits
from cardamomrun_base.errors import AddressInUseError
from cardamomrun_bench.scripted_server import (
    ScriptedServer,
    Step,
    ok_response,
    parse_response,
)
from cardamomrun_requests.admission import Admission, RefusedError
from cardamomrun_requests.retries import RetryBudget

from .builders import (
    document,
    front_proxy,
    request,
    wait_until,
)


def test_free_slots_go_to_customers_in_turn():
    """Guards against one customer's burst that delays all others."""

    async def main():
        admission = Admission(Limits(concurrency_count=1, queue_count=4))
        await admission.enter("busy", 5)
        order: list[str] = []

        async def wait(customer: str) -> None:
            with contextlib.suppress(RefusedError):
                await admission.enter(customer, 5)
                order.append(customer)
                admission.leave()

        tasks = []
        for customer in ("a", "a", "a", "a", "b"):
            tasks.append(asyncio.create_task(wait(customer)))
            await asyncio.sleep(0)
        admission.leave()
        await asyncio.gather(*tasks)
        # The queue was full, so b replaced the newest request of a.
        assert order == ["a", "b", "a", "a"]
        with pytest.raises(RefusedError):
            await admission.enter("x", 5)
            await admission.enter("x", 0.01)
        admission.leave()
        await admission.enter("x", 0)

    asyncio.run(main())


def test_retry_budget_is_a_ratio_of_ten_seconds():
    """Guards against retries that multiply the load of an overloaded service."""
    clock = ManualClock()
    budget = RetryBudget(clock)
    for _ in range(100):
        budget.count_request()
    assert [budget.try_acquire(0.1) for _ in range(11)] == [True] * 10 + [False]
    assert not budget.try_acquire(0.0)
    clock.advance_ms(12_000)
    assert [budget.try_acquire(0.1) for _ in range(4)] == [True] * 3 + [False]


def test_retries_stop_at_the_budget():
    """Guards against retries that ignore the budget."""
    content = document(retries={"budget_ratio": 0.0})

    async def main():
        first = ScriptedServer([Step(connection_action="close")])
        second = ScriptedServer([Step(ok_response())], "b2")
        async with front_proxy(first, second, content=content) as fixture:
            assert (await fixture.call("GET")).status == 502
        assert not second.heads

    asyncio.run(main())


def test_full_queue_refuses_as_not_run():
    """Guards against an unbounded queue and leaked slots."""
    limits = {"concurrency_count": 1, "queue_count": 1, "queue_wait_ms": 60_000}
    content = document({"attempt_timeout_ms": 60_000}, limits=limits)

    async def main():
        release = asyncio.Event()
        server = ScriptedServer([Step(ok_response(), response_released=release)])
        async with front_proxy(server, content=content) as fixture:
            running = asyncio.create_task(fixture.call("POST"))
            await wait_until(lambda: len(server.heads) == 1)
            others = [asyncio.create_task(fixture.call("POST")) for _ in range(2)]
            done, _ = await asyncio.wait(others, return_when="FIRST_COMPLETED")
            refused = done.pop().result()
            assert (refused.status, refused.outcome) == (503, "not-run")
            assert "retry-after" in refused.headers
            release.set()
            statuses = [(await task).status for task in (running, *others)]
            assert sorted(statuses) == [200, 200, 503]

    asyncio.run(main())


def test_deadline_cancels_the_work_and_is_passed_on():
    """Guards against work that goes on after the client's deadline."""
    content = document({"attempt_timeout_ms": 60_000})

    async def main():
        server = ScriptedServer([Step(connection_action="hang")])
        async with front_proxy(server, content=content) as fixture:
            received = await fixture.call("POST", cardamomrun_deadline_ms="300")
            assert (received.status, received.outcome) == (504, "unknown")
            await wait_until(lambda: server.closed_count == 1)
        fields = server.heads[0].lower().split(b"\r\n")
        passed_on = next(item for item in fields if b"deadline-ms" in item)
        assert 0 < int(passed_on.split(b": ")[1]) <= 300
        assert any(item.startswith(b"x-forwarded-for: 127.0.0.1") for item in fields)
        assert not any(item.startswith(b"connection") for item in fields)

    asyncio.run(main())


PART = b"x" * 65_536
PART_COUNT = 512
SIZE = len(PART) * PART_COUNT
LARGE = document({"max_body_bytes": SIZE, "deadline_ms": 60_000})


def test_slow_server_applies_back_pressure_to_an_upload():
    """Guards against buffering an upload in memory.

    The server reads nothing, so what the front door reads from the client is limited
    by the socket buffers of both sides.
    """
    content = document({"max_body_bytes": SIZE, "attempt_timeout_ms": 60_000})

    async def main():
        server = ScriptedServer([Step(ok_response())], keep_bodies=False)
        async with front_proxy(server, content=content) as fixture:
            server.body_reading_enabled.clear()
            reader, writer = await fixture.connect()
            writer.write(request("POST", content_length=str(SIZE)))
            sent_count = 0
            with contextlib.suppress(TimeoutError):
                for _ in range(PART_COUNT):
                    writer.write(PART)
                    async with asyncio.timeout(0.5):
                        await writer.drain()
                    sent_count += 1
            assert sent_count < PART_COUNT
            server.body_reading_enabled.set()
            for _ in range(PART_COUNT - sent_count - 1):
                writer.write(PART)
                await writer.drain()
            assert parse_response(await reader.read()).status == 200
            writer.close()
        assert server.body_bytes == SIZE

    asyncio.run(main())


def test_slow_client_applies_back_pressure_to_a_response():
    """Guards against buffering a response in memory."""

    async def main():
        server = ScriptedServer([Step(ok_response(PART * PART_COUNT))])
        async with front_proxy(server, content=LARGE) as fixture:
            reader, writer = await fixture.connect()
            writer.write(request())
            await reader.readexactly(1)
            # Without back pressure the server's own buffer would become empty.
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.5):
                    await wait_until(lambda: server.unsent_bytes() < SIZE // 8)
            received = b"H" + await reader.read()
            writer.close()
            assert len(parse_response(received).body) == SIZE

    asyncio.run(main())


def test_stop_lets_a_slow_upload_finish():
    """Guards against a planned stop that interrupts a request in flight."""

    async def main():
        server = ScriptedServer([Step(ok_response())])
        async with front_proxy(server, content=LARGE) as fixture:
            idle_reader, idle_writer = await fixture.connect()
            reader, writer = await fixture.connect()
            writer.write(request("POST", content_length=str(2 * len(PART))) + PART)
            await wait_until(lambda: len(server.heads) == 1)
            stopping = asyncio.create_task(fixture.front.stop())
            await asyncio.sleep(0)
            assert (await fixture.call("GET")).status == 200
            # The idle connection ends once the listener is closed.
            assert await idle_reader.read() == b""
            with pytest.raises(ConnectionRefusedError):
                await fixture.connect()
            assert not stopping.done()
            writer.write(PART)
            received = parse_response(await reader.read())
            assert (received.status, received.outcome) == (200, "done")
            await stopping
            idle_writer.close()
            writer.close()

    asyncio.run(main())


def test_directory_without_addresses():
    """Guards against clients that accept a response without addresses."""

    async def main():
        async with front_proxy() as fixture:
            fixture.directory.status = 503
            received = await fixture.call(path="/.cardamomrun/addresses")
            assert (received.status, received.outcome) == (503, "not-run")
            assert received.headers["retry-after"] == "1"

    asyncio.run(main())


def test_directory_and_address_in_use():
    """Guards against routing directory requests, and an undetected second start."""

    async def main():
        async with front_proxy() as fixture:
            received = await fixture.call(path="/.cardamomrun/addresses?count=2")
            assert received.body == b'{"count": "2"}'
            assert received.outcome == "done"
            with pytest.raises(AddressInUseError):
                await fixture.front.start()

    asyncio.run(main())


def test_stopping_instance_serves_until_directory_answers_expire():
    """Guards against refusing clients that got the address while the instance stopped."""

    async def main():
        server = ScriptedServer([Step(ok_response())])
        heard_ms = 400
        async with front_proxy(server, departure_heard_ms=heard_ms) as fixture:
            stopping = asyncio.create_task(fixture.front.stop())
            # Another instance returns this address just before it receives the stop.
            await asyncio.sleep(heard_ms / 1_000)
            await asyncio.sleep(fixture.settings.directory_ttl_ms / 1_000 / 2)
            assert (await fixture.call()).status == 200
            await stopping

    asyncio.run(main())
