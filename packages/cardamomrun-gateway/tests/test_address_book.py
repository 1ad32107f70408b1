import random

import pytest

from cardamomrun_base.clock import ManualClock
from cardamomrun_base.model import MemberPhase
from cardamomrun_base.settings import GatewaySettings
from cardamomrun_gateway.address_book import EntryAddresses
from cardamomrun_gateway.fleet_load import FleetLoad
from cardamomrun_gateway.paths import OwnPaths, PeerPaths

from .builders import FakeFleet, gateway_settings, member, no_report, relay_message

LOCAL, REMOTE = "kelowna-a", "vernon-a"


class AddressBookFixture:
    """An address book with three instances in each of two failure domains."""

    def __init__(self):
        self.clock = ManualClock(50_000.0)
        self.fleet = FakeFleet("c1")
        self.load = FleetLoad(self.clock, self.fleet.store)
        self.paths = OwnPaths(self.clock)
        self.peers = PeerPaths(self.clock, self.fleet, LOCAL)
        self.sequence = 0
        self.fleet.listed = [
            member(f"e{i}", LOCAL if i < 4 else REMOTE, port=i) for i in range(1, 7)
        ]
        self.book = EntryAddresses(
            gateway_settings(),
            self.clock,
            self.fleet,
            self.load,
            self.paths,
            self.peers,
            random.Random(1),
        )

    def receive_reports(self, *numbers):
        self.sequence += 1
        included = [(f"e{number}", self.sequence) for number in numbers]
        self.load.merge(
            relay_message(sequence=self.sequence, included=included), no_report
        )

    def listed_ports(self, domain=LOCAL):
        return {int(a.rpartition(":")[2]) for a in self.book.addresses(domain)}

    def pass_time(self):
        self.clock.advance_ms(2_000)


def test_a_client_gets_the_instances_of_its_own_failure_domain():
    fixture = AddressBookFixture()
    fixture.receive_reports(1, 2, 3, 4, 5, 6)
    assert fixture.listed_ports(LOCAL) == {1, 2, 3}
    assert fixture.listed_ports(REMOTE) == {4, 5, 6}
    assert fixture.listed_ports("unknown") == {1, 2, 3, 4, 5, 6}


def test_an_instance_that_stops_reporting_is_not_listed():
    """Guards against clients that connect to a machine that has failed."""
    fixture = AddressBookFixture()
    fixture.receive_reports(1, 2, 3)
    fixture.pass_time()
    fixture.receive_reports(2, 3)
    assert fixture.listed_ports() == {2, 3}


def test_the_list_stays_while_no_instance_reports():
    """Guards against a failed instance that is listed again once all reports stop."""
    fixture = AddressBookFixture()
    fixture.receive_reports(1, 2, 3)
    fixture.pass_time()
    fixture.receive_reports(2, 3)
    fixture.pass_time()
    assert fixture.listed_ports() == {2, 3}


def test_all_instances_are_listed_before_the_first_reports():
    assert AddressBookFixture().listed_ports() == {1, 2, 3}


def test_other_domains_are_listed_when_one_has_few_instances():
    fixture = AddressBookFixture()
    fixture.receive_reports(1, 2, 3, 4, 5, 6)
    fixture.pass_time()
    fixture.receive_reports(1, 4, 5, 6)
    assert fixture.listed_ports(LOCAL) == {1, 4, 5, 6}


@pytest.mark.parametrize("phase", [MemberPhase.LEAVING, MemberPhase.STARTING])
def test_only_serving_instances_are_listed(phase):
    fixture = AddressBookFixture()
    fixture.fleet.listed[0] = member("e1", LOCAL, phase, port=1)
    fixture.receive_reports(1, 2, 3)
    assert fixture.listed_ports() == {2, 3}


def test_missed_reports_are_detected_within_two_seconds():
    assert GatewaySettings().report_idle_ms * 3 < 2_000
