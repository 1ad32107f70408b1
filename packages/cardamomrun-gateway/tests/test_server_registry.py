import asyncio
from dataclasses import replace

import pytest

from cardamomrun_base.clock import ManualClock
from cardamomrun_base.errors import UnavailableError
from cardamomrun_base.model import BackendPhase, RecordKind
from cardamomrun_fleet.traffic import TrafficMeter
from cardamomrun_gateway.server_registry import (
    SILENT_MS,
    AnnouncementError,
    RoutedAnnouncement,
    ServerRegistry,
)

from .builders import SERVICE, FakeFleet

ANNOUNCED = RoutedAnnouncement(
    "b1", 100, 4, SERVICE, "10.0.0.1:80", "kelowna-a", 4, False, 0
)


class FakeControl:
    """Retires servers at once; raises `UnavailableError` unless `is_available`."""

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


class RegistryFixture:
    def __init__(self):
        self.clock = ManualClock(5_000.0)
        self.fleet = FakeFleet("c1")
        self.control = FakeControl()
        meter = TrafficMeter("kelowna-a", self.fleet.store)
        self.registry = ServerRegistry(self.clock, self.fleet, self.control, meter)

    def announce(self, **changes):
        asyncio.run(self.registry.announce(replace(ANNOUNCED, **changes)))

    def record(self, server_id="b1"):
        return self.fleet.store.get(RecordKind.ROUTED_SERVER, server_id)


# Announcements in order, and the incarnation, address and version that result.
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
def test_the_newest_announcement_is_published(name):
    announcements, (incarnation, address, version) = ORDERS[name]
    fixture = RegistryFixture()
    for changes in announcements:
        fixture.announce(**changes)
    body = fixture.record().content
    assert (body.incarnation, body.address) == (incarnation, address)
    assert fixture.record().version == version


@pytest.mark.parametrize("is_draining", [False, True])
def test_a_run_of_a_server_does_not_change_its_service(is_draining):
    """Guards against requests of one service at a server of another (ROUTE)."""
    fixture = RegistryFixture()
    fixture.announce()
    with pytest.raises(AnnouncementError):
        fixture.announce(sequence=90, service="other", is_draining=is_draining)
    assert fixture.record().content.service == SERVICE
    assert not fixture.control.retired
    fixture.announce(incarnation=200, sequence=1, service="other")
    assert fixture.record().content.service == "other"


def test_draining_needs_a_majority():
    """Guards against an acknowledgement by an instance without contact to others."""
    fixture = RegistryFixture()
    fixture.announce()
    fixture.control.is_available = False
    with pytest.raises(UnavailableError):
        fixture.announce(is_draining=True, sequence=5)
    fixture.control.is_available = True
    fixture.announce(is_draining=True, sequence=6)
    assert fixture.control.retired == {"b1": (100, False)}


def test_a_late_announcement_does_not_bring_a_leaving_server_back():
    fixture = RegistryFixture()
    fixture.announce(is_draining=True, sequence=5)
    fixture.announce(sequence=3)
    assert fixture.record() is None
    fixture.announce(incarnation=200, sequence=1)
    assert fixture.record().content.phase is BackendPhase.SERVING


def test_a_server_that_left_before_it_was_known_does_not_come_back():
    """Guards against work for a server that has left, by its late first announcement."""
    fixture = RegistryFixture()
    started_ms = fixture.clock.wall_ms()
    fixture.clock.advance_ms(1_000)
    asyncio.run(fixture.registry.leave("b1", None))
    fixture.announce(incarnation=started_ms, sequence=2)
    assert fixture.record() is None
    fixture.clock.advance_ms(1_000)
    fixture.announce(incarnation=fixture.clock.wall_ms(), sequence=1)
    assert fixture.record() is not None


@pytest.mark.parametrize(("given", "expected"), [(None, 100), (70, 70)])
def test_a_server_leaves_in_the_known_or_the_given_incarnation(given, expected):
    fixture = RegistryFixture()
    fixture.announce()
    asyncio.run(fixture.registry.leave("b1", given))
    assert fixture.control.retired == {"b1": (expected, True)}


def test_an_isolated_instance_refuses_new_servers_and_renews_known_ones():
    fixture = RegistryFixture()
    fixture.announce()
    fixture.control.is_cut_off = True
    fixture.announce(sequence=9)
    with pytest.raises(UnavailableError):
        fixture.announce(server_id="b2")


def test_repeated_renewals_move_the_record_to_the_instance():
    """Guards against a fleet-wide update for each renewal at another instance."""
    fixture = RegistryFixture()
    fixture.announce()
    fixture.fleet.instance_id = "c2"
    owners = []
    for sequence in range(5, 9):
        fixture.announce(sequence=sequence)
        owners.append(fixture.record().owner_id)
    assert owners == ["c1", "c1", "c2", "c2"]


def test_a_silent_server_is_dropped_and_can_return():
    fixture = RegistryFixture()
    fixture.announce()
    fixture.clock.advance_ms(SILENT_MS - 1)
    fixture.registry.drop_silent()
    assert fixture.record().content.phase is BackendPhase.SERVING
    fixture.clock.advance_ms(2)
    fixture.registry.drop_silent()
    assert fixture.record().content.phase is BackendPhase.GONE
    fixture.announce(sequence=9)
    assert fixture.record().content.phase is BackendPhase.SERVING
