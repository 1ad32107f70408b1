import random

import pytest

from cardamomrun_base.clock import ManualClock
from cardamomrun_base.model import MemberPhase
from cardamomrun_base.settings import GatewaySettings
from cardamomrun_gateway.address_book import AddressBook
from cardamomrun_gateway.fleet_load import FleetLoad

from .builders import FakeFleet, domain_load_of, gateway_settings, member, no_report

NEAR, FAR = "kelowna-a", "vernon-a"


class World:
    """Three instances in each of two failure domains, as a control instance sees them."""

    def __init__(self):
        self.clock = ManualClock(50_000.0)
        self.fleet = FakeFleet("c1")
        self.load = FleetLoad(self.clock, self.fleet.store)
        self.sequence = 0
        self.fleet.listed = [
            member(f"e{i}", NEAR if i < 4 else FAR, port=i) for i in range(1, 7)
        ]
        self.book = AddressBook(
            gateway_settings(), self.clock, self.fleet, self.load, random.Random(1)
        )

    def hear(self, *numbers):
        self.sequence += 1
        taken = [(f"e{number}", self.sequence) for number in numbers]
        self.load.take(domain_load_of(sequence=self.sequence, taken=taken), no_report)

    def named(self, domain=NEAR):
        return {int(a.rpartition(":")[2]) for a in self.book.addresses(domain)}

    def wait(self):
        self.clock.advance_ms(2_000)


def test_a_caller_is_told_of_its_own_failure_domain():
    world = World()
    world.hear(1, 2, 3, 4, 5, 6)
    assert world.named(NEAR) == {1, 2, 3}
    assert world.named(FAR) == {4, 5, 6}
    assert world.named("unknown") == {1, 2, 3, 4, 5, 6}


def test_an_instance_that_falls_silent_is_not_named():
    """Guards against callers that connect to a machine without power."""
    world = World()
    world.hear(1, 2, 3)
    world.wait()
    world.hear(2, 3)
    assert world.named() == {2, 3}


def test_the_last_instances_heard_are_named_while_this_one_is_cut_off():
    """Guards against the return of a dead instance when nobody is heard any more."""
    world = World()
    world.hear(1, 2, 3)
    world.wait()
    world.hear(2, 3)
    world.wait()
    assert world.named() == {2, 3}


def test_all_are_named_before_anyone_is_heard():
    assert World().named() == {1, 2, 3}


def test_others_are_named_when_few_of_a_domain_are_left():
    world = World()
    world.hear(1, 2, 3, 4, 5, 6)
    world.wait()
    world.hear(1, 4, 5, 6)
    assert world.named(NEAR) == {1, 4, 5, 6}


@pytest.mark.parametrize("phase", [MemberPhase.LEAVING, MemberPhase.STARTING])
def test_only_serving_instances_are_named(phase):
    world = World()
    world.fleet.listed[0] = member("e1", NEAR, phase, port=1)
    world.hear(1, 2, 3)
    assert world.named() == {2, 3}


def test_a_silence_is_counted_in_report_intervals():
    assert GatewaySettings().report_idle_ms * 3 < 2_000
