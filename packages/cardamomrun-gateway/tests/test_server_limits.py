import asyncio
import time

import pytest

from cardamomrun_base.clock import ManualClock
from cardamomrun_bench.scripted_server import ScriptedServer, Step
from cardamomrun_gateway.fleet_load import FleetLoad
from cardamomrun_gateway.server_limits import LIMIT_LIFETIME_MS, ServerLimits

from .builders import (
    NAMES,
    FakeFleet,
    gateway,
    member,
    not_run,
    response,
    server_body,
    server_record,
)


class Instance:
    """What one instance knows of the limits of servers."""

    def __init__(self, fleet=None, bodies=None):
        self.clock = ManualClock()
        self.fleet = fleet or FakeFleet("e1")
        self.load = FleetLoad(self.clock, self.fleet.store, "e1")
        self.limits = ServerLimits(self.clock, self.fleet, self.load)
        for body in [server_body()] if bodies is None else bodies:
            self.fleet.store.put(server_record(body))

    @property
    def server(self):
        return self.load.get("b1")

    def record(self, limit_per_s, *, started_ms=None, is_success=True):
        if started_ms is None:
            started_ms = self.clock.now_ms()
        self.clock.advance_ms(10)
        self.limits.record_response(
            self.server, limit_per_s, started_ms, is_success=is_success
        )

    def limit_per_s(self):
        return None if self.server.limit is None else self.server.limit.per_s


def test_a_limit_is_known_until_a_later_answer_states_none():
    instance = Instance()
    instance.record(2.0)
    instance.record(3.0)
    assert instance.limit_per_s() == 3.0
    instance.record(None, is_success=False)
    instance.record(None, started_ms=15.0)
    assert instance.limit_per_s() == 3.0
    instance.record(None)
    assert instance.limit_per_s() is None


def test_an_instance_that_starts_later_knows_the_limit_whatever_arrives_first():
    first = Instance()
    first.record(2.0)
    assert Instance(first.fleet).limit_per_s() == 2.0
    late = Instance(bodies=())
    for record in reversed(first.fleet.store.records.values()):
        late.fleet.store.put(record)
    assert late.limit_per_s() == 2.0


def test_a_limit_does_not_outlast_the_server_that_stated_it():
    instance = Instance()
    instance.record(2.0)
    instance.fleet.store.put(server_record(server_body(incarnation=2)))
    assert instance.limit_per_s() is None


def test_a_limit_that_nothing_confirms_is_forgotten():
    instance = Instance()
    instance.record(2.0)
    instance.clock.advance_ms(LIMIT_LIFETIME_MS)
    instance.fleet.store.records = {
        key: record
        for key, record in instance.fleet.store.records.items()
        if record.lifetime_ms is None
    }
    instance.limits.refresh()
    assert instance.limit_per_s() is None


@pytest.mark.parametrize(
    ("answer", "expected"),
    [
        (response(**{NAMES.rate_limit: "2.5"}), 2.5),
        (response(status=500, **{NAMES.rate_limit: "2"}), 2.0),
        (not_run().replace(b"\r\n", b"\r\nCardamomrun-Rate-Limit: 3\r\n", 1), 3.0),
        (response(proof=False, **{NAMES.rate_limit: "2"}), None),
        (response(**{NAMES.rate_limit: "many"}), None),
        (response(), None),
    ],
)
def test_a_limit_is_read_from_each_answer_of_the_server_itself(answer, expected):
    async def check():
        async with gateway(ScriptedServer([Step(answer)])) as running:
            await running.call("POST", "/b/x", b"order")
            limit = running.load.get("b1").limit
            assert (None if limit is None else limit.per_s) == expected

    asyncio.run(check())


def test_a_request_that_the_limits_leave_no_room_for_is_refused_at_once():
    async def check():
        limited = ScriptedServer([Step(response(**{NAMES.rate_limit: "2"}))])
        async with gateway(limited) as running:
            first = await running.call("POST", "/b/x", b"order")
            begun_s = time.monotonic()
            refused = [await running.call("POST", "/b/x", b"order") for _ in range(3)]
            took_s = time.monotonic() - begun_s
            assert first.status == 200
            assert [answer.status for answer in refused] == [503, 503, 503]
            assert len(limited.heads) == 1
            # An eighth of the objective is 125 ms.
            assert took_s < 3 * 0.125
            delays_s = [float(answer.headers["retry-after"]) for answer in refused]
            assert delays_s == sorted(delays_s)
            # 1.5 permits a second; the deadline leaves time for two places.
            assert delays_s[-1] - delays_s[0] == pytest.approx(2 / 1.5, abs=took_s)

    asyncio.run(check())


def test_an_attempt_in_flight_goes_on_if_a_second_one_gets_no_permit():
    async def check():
        released = asyncio.Event()
        slow = ScriptedServer([Step(response(), response_released=released)])
        async with gateway(slow, ScriptedServer([Step(response())])) as running:
            running.fleet.listed = [member("e1")]
            limited = running.load.get("b2")
            now_ms = running.clock.now_ms()
            running.limits.record_response(limited, 0.1, now_ms, is_success=True)
            assert limited.limit.is_granted_here
            limited.limit.free_at_ms[True] = now_ms + 300
            call = asyncio.create_task(running.call("GET", "/a/x"))
            # The attempt is overdue at 0.9 s.
            await asyncio.sleep(1.1)
            released.set()
            assert (await call).status == 200

    asyncio.run(check())
