"""Tests of permits between instances, with a network in memory."""

import asyncio

import pytest

from cardamomrun_base.clock import ManualClock
from cardamomrun_base.model import MemberPhase
from cardamomrun_gateway.fleet_load import FleetLoad
from cardamomrun_gateway.permits import PERMIT_LIFETIME_MS, Permits
from cardamomrun_gateway.placement import ChoiceReason, Placement
from cardamomrun_gateway.server_limits import ServerLimits

from .builders import (
    FakeFleet,
    criteria,
    member,
    no_report,
    relay_message,
    server_body,
    server_record,
)
from .datagram_network import Network

LIMIT_PER_S = 10.0


class Instance:
    def __init__(self, network, clock, name, port):
        self.clock = clock
        self.fleet = FakeFleet(name)
        self.load = FleetLoad(clock, self.fleet.store, name)
        self.limits = ServerLimits(clock, self.fleet, self.load)
        reports = network.port(("127.0.0.1", port))
        self.permits = Permits(clock, self.load, self.limits, reports)
        self.placement = Placement(clock, self.load, "kelowna-a", 0.7)

    @property
    def server(self):
        return self.load.get("b1")

    async def acquire(self, max_wait_ms=0.0, *, is_urgent=True):
        return await self.permits.acquire(self.server, max_wait_ms, is_urgent=is_urgent)


class Fleet:
    """Three entry instances that know one another and one server with a limit."""

    def __init__(self, server_count=1):
        self.network, self.clock = Network(), ManualClock(10_000.0)
        names = {"e1": 1, "e2": 2, "e3": 3}
        self.all = [
            Instance(self.network, self.clock, name, port)
            for name, port in names.items()
        ]
        self.members = [member(name, port=port) for name, port in names.items()]
        for instance in self.all:
            instance.fleet.listed = self.members
            for number in range(1, server_count + 1):
                body = server_body(f"b{number}", incarnation=5)
                instance.fleet.store.put(server_record(body))
        self.hear_of(*names)
        self.state_limit(LIMIT_PER_S)

    def hear_of(self, *names):
        for instance in self.all:
            message = relay_message(
                sequence=int(self.clock.now_ms()), included=[(n, 1) for n in names]
            )
            instance.load.merge(message, no_report)

    def state_limit(self, limit_per_s, server_id="b1"):
        first = self.all[0]
        server = first.load.get(server_id)
        first.limits.record_response(
            server, limit_per_s, self.clock.now_ms(), is_success=True
        )
        record = first.fleet.store.records["rate-limit", server_id]
        for other in self.all[1:]:
            other.fleet.store.put(record)

    @property
    def granter(self):
        (granter,) = [i for i in self.all if i.server.limit.is_granted_here]
        return granter

    @property
    def others(self):
        return [instance for instance in self.all if instance is not self.granter]


def test_all_instances_share_the_permits_of_one_granter():
    async def check():
        fleet = Fleet()
        taken = []
        for _ in range(400):
            fleet.clock.advance_ms(5)
            fleet.hear_of("e1", "e2", "e3")
            for instance in fleet.all:
                if instance.server.limit.may_ask(
                    fleet.clock.now_ms(), 0.0, is_urgent=True
                ):
                    taken.append(await instance.acquire())
        granted = sum(permit is not None for permit in taken)
        # 2 s at three quarters of 10 a second.
        assert 13 <= granted <= 16

    asyncio.run(check())


def test_a_denied_instance_asks_again_when_a_permit_may_be_free():
    async def check():
        fleet = Fleet()
        other = fleet.others[0]
        assert await other.acquire() is None
        sent_count = fleet.network.sent_count
        assert not other.server.limit.may_ask(fleet.clock.now_ms(), 0.0, is_urgent=True)
        assert other.placement.choose(criteria()) is None
        assert fleet.network.sent_count == sent_count
        fleet.clock.advance_ms(134)
        assert other.placement.choose(criteria()).reason is ChoiceReason.LIMITED
        assert await other.acquire() is not None

    asyncio.run(check())


def test_a_granter_that_does_not_answer_grants_nothing():
    async def check():
        fleet = Fleet()
        fleet.clock.advance_ms(1_000)
        fleet.hear_of("e1", "e2", "e3")
        fleet.network.is_cut = True
        other = fleet.others[0]
        assert await other.acquire() is None
        assert not other.server.limit.may_ask(fleet.clock.now_ms(), 0.0, is_urgent=True)

    asyncio.run(check())


def test_a_permit_that_arrives_after_a_pause_has_expired():
    async def check():
        fleet = Fleet()
        fleet.clock.advance_ms(500)
        fleet.hear_of("e1", "e2", "e3")
        permit = await fleet.others[0].acquire()
        assert not permit.has_expired(fleet.clock)
        fleet.clock.advance_ms(PERMIT_LIFETIME_MS + 1)
        assert permit.has_expired(fleet.clock)

    asyncio.run(check())


def test_a_granter_that_fell_silent_or_leaves_is_replaced():
    for is_leaving in (False, True):
        fleet = Fleet()
        before = fleet.granter
        if is_leaving:
            index = fleet.all.index(before)
            name = before.fleet.instance_id
            fleet.members[index] = member(
                name, port=index + 1, phase=MemberPhase.LEAVING
            )
        fleet.clock.advance_ms(1_100)
        fleet.hear_of(
            *(i.fleet.instance_id for i in fleet.all if i is not before or is_leaving)
        )
        others = [instance for instance in fleet.all if instance is not before]
        for instance in others:
            instance.limits.refresh()
        granters = {i.server.limit.granter.instance_id for i in others}
        assert len(granters) == 1
        assert before.fleet.instance_id not in granters


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff",
        b"\x80",
        b"\x84\x01\x02\x03\x61x",
        b"\x84\x01\xf9\x7c\x00\x01\xf5",
        b"\x83\xf6\xf5\x01",
    ],
)
def test_malformed_datagrams_are_dropped(data):
    fleet = Fleet()
    for kind in (b"\x0a", b"\x0b"):
        handler = fleet.network.handlers[("127.0.0.1", 1), kind]
        with pytest.raises(ValueError):
            handler(data, ("127.0.0.1", 2))


def test_requests_use_servers_without_a_limit_first_and_confirm_limits_rarely():
    fleet = Fleet(server_count=2)
    granter = fleet.granter
    chosen = fleet.others[0].placement.choose(criteria())
    assert chosen.server.body.server_id == "b2"
    fleet.clock.advance_ms(2_100)
    fleet.hear_of("e1", "e2", "e3")
    for instance in fleet.all:
        instance.load.get("b2").health.record_accepted(fleet.clock.now_ms())
        chosen = instance.placement.choose(criteria())
        expected = "b1" if instance is granter else "b2"
        assert chosen.server.body.server_id == expected


def test_a_server_with_a_limit_counts_as_trusted_for_the_floor():
    fleet = Fleet(server_count=3)
    for number in (1, 2, 3):
        fleet.state_limit(1.0, f"b{number}")
    instance = fleet.others[0]
    now_ms = fleet.clock.now_ms()
    for server in instance.load.servers_of("rota-desk"):
        server.limit.free_at_ms[True] = now_ms + 500
    assert instance.placement.choose(criteria()) is None
    assert instance.placement.permit_wait_ms(criteria()) == 500
