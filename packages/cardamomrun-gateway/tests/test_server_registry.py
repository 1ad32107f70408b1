import asyncio
from dataclasses import replace

import pytest

from cardamomrun_base.clock import ManualClock
from cardamomrun_base.errors import UnavailableError
from cardamomrun_base.model import BackendPhase, Kind
from cardamomrun_gateway.server_registry import (
    SILENT_MS,
    RoutedAnnouncement,
    ServerRegistry,
)

from .builders import SERVICE, FakeFleet

ANNOUNCED = RoutedAnnouncement(
    "b1", 100, 4, SERVICE, "10.0.0.1:80", "kelowna-a", 4, False, 0
)


class FakeControl:
    """Retires at once, or not at all while `is_available` is False."""

    def __init__(self):
        self.is_available = True
        self.is_cut_off = False
        self.retired = {}

    async def retire(self, server_id, incarnation, *, is_gone):
        if not self.is_available:
            raise UnavailableError("no majority.", remedy="none")
        self.retired[server_id] = (incarnation, is_gone)

    def is_retired(self, server_id, incarnation):
        return self.retired.get(server_id, (-1, False))[0] >= incarnation

    def has_lost_contact(self):
        return self.is_cut_off


class World:
    def __init__(self):
        self.clock = ManualClock(5_000.0)
        self.fleet = FakeFleet("c1")
        self.control = FakeControl()
        self.registry = ServerRegistry(self.clock, self.fleet, self.control)

    def announce(self, **changes):
        asyncio.run(self.registry.announce(replace(ANNOUNCED, **changes)))

    def record(self, server_id="b1"):
        return self.fleet.store.get(Kind.ROUTED_SERVER, server_id)


# Announcements in order, and incarnation, address and version after them.
ORDERS = {
    "first": ([{}], (100, "10.0.0.1:80", (100, 8))),
    "renewal without change": ([{}, {"sequence": 9}], (100, "10.0.0.1:80", (100, 8))),
    "late one": (
        [{}, {"sequence": 2, "address": "10.0.0.9:80"}],
        (100, "10.0.0.1:80", (100, 8)),
    ),
    "new address": (
        [{}, {"sequence": 5, "address": "10.0.0.9:80"}],
        (100, "10.0.0.9:80", (100, 10)),
    ),
    "new incarnation with a low sequence": (
        [{}, {"incarnation": 200, "sequence": 1}],
        (200, "10.0.0.1:80", (200, 2)),
    ),
    "late one of an earlier incarnation": (
        [{"incarnation": 200}, {"incarnation": 100, "sequence": 90}],
        (200, "10.0.0.1:80", (200, 8)),
    ),
}


@pytest.mark.parametrize("name", ORDERS)
def test_the_newest_announcement_counts(name):
    announcements, (incarnation, address, version) = ORDERS[name]
    world = World()
    for changes in announcements:
        world.announce(**changes)
    body = world.record().content
    assert (body.incarnation, body.address) == (incarnation, address)
    assert world.record().version == version


def test_a_draining_server_is_acknowledged_by_a_majority_only():
    """Guards against an acknowledgement that a cut-off instance gives alone."""
    world = World()
    world.announce()
    world.control.is_available = False
    with pytest.raises(UnavailableError):
        world.announce(is_draining=True, sequence=5)
    world.control.is_available = True
    world.announce(is_draining=True, sequence=6)
    assert world.control.retired == {"b1": (100, False)}


def test_a_late_announcement_does_not_bring_a_leaving_server_back():
    world = World()
    world.announce(is_draining=True, sequence=5)
    world.announce(sequence=3)
    assert world.record() is None
    world.announce(incarnation=200, sequence=1)
    assert world.record().content.phase is BackendPhase.SERVING


@pytest.mark.parametrize(("given", "expected"), [(None, 100), (70, 70)])
def test_a_server_leaves_in_the_incarnation_known_or_named(given, expected):
    world = World()
    world.announce()
    asyncio.run(world.registry.leave("b1", given))
    assert world.control.retired == {"b1": (expected, True)}


def test_an_instance_that_is_cut_off_refuses_new_servers_and_renews_known_ones():
    world = World()
    world.announce()
    world.control.is_cut_off = True
    world.announce(sequence=9)
    with pytest.raises(UnavailableError):
        world.announce(server_id="b2")


def test_a_server_that_keeps_to_an_instance_owes_its_record_to_it():
    """Guards against a flood for each call that moves a server for a moment."""
    world = World()
    world.announce()
    world.fleet.instance_id = "c2"
    owners = []
    for sequence in range(5, 9):
        world.announce(sequence=sequence)
        owners.append(world.record().owner_id)
    assert owners == ["c1", "c1", "c2", "c2"]


def test_a_silent_server_is_dropped_and_can_return():
    world = World()
    world.announce()
    world.clock.advance_ms(SILENT_MS - 1)
    world.registry.sweep()
    assert world.record().content.phase is BackendPhase.SERVING
    world.clock.advance_ms(2)
    world.registry.sweep()
    assert world.record().content.phase is BackendPhase.GONE
    world.announce(sequence=9)
    assert world.record().content.phase is BackendPhase.SERVING
