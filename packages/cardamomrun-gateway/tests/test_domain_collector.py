"""The messages of a relay about the instances that report to it."""

import pytest

from cardamomrun_base.clock import ManualClock
from cardamomrun_gateway.domain_collector import MESSAGE_END_COUNT, DomainCollector
from cardamomrun_gateway.load_messages import encode_domain_load
from cardamomrun_gateway.load_model import ServiceCount, instance_key
from cardamomrun_gateway.own_load import OwnLoad
from cardamomrun_gateway.server_health import AttemptEnd

from .builders import instance_report

SERVER, OTHER = 7, 8


class CollectorFixture:
    """A collector with one group of receivers that report to it."""

    def __init__(self, send_count=2):
        self.clock = ManualClock(50_000.0)
        self.collector = DomainCollector(self.clock, "relay")
        self.receivers = self.collector.add_receivers(send_count)

    def message(self):
        return self.collector.next_message(self.receivers)

    def attempt_counts(self):
        return {
            load.server_key: load.attempt_count for load in self.message().in_flight
        }

    def sent(self):
        return [end.ended.sequence for end in self.message().ended]


def test_attempts_of_all_instances_are_added_up():
    fixture = CollectorFixture()
    fixture.collector.merge(
        instance_report("e1", in_flight=[(SERVER, 900.0), (SERVER, 3.0)])
    )
    fixture.collector.merge(
        instance_report("e2", in_flight=[(SERVER, 40.0), (OTHER, 2.0)])
    )
    fixture.clock.advance_ms(5)
    loads = {load.server_key: load for load in fixture.message().in_flight}
    assert (loads[SERVER].attempt_count, loads[SERVER].oldest_ms) == (3, 905.0)
    # An attempt of 45 ms counts as accepted, one of 8 ms does not.
    assert loads[SERVER].accepted_ms == 45.0
    assert (loads[OTHER].attempt_count, loads[OTHER].accepted_ms) == (1, None)


def test_a_late_report_is_dropped():
    fixture = CollectorFixture()
    fixture.collector.merge(instance_report("e1", 5, in_flight=[(SERVER, 1.0)]))
    assert not fixture.collector.merge(
        instance_report("e1", 4, in_flight=[(OTHER, 1.0)])
    )
    assert fixture.attempt_counts() == {SERVER: 1}


@pytest.mark.parametrize("send_count", [1, 2, 3])
def test_each_end_is_sent_in_as_many_messages_as_requested(send_count):
    fixture = CollectorFixture(send_count)
    end = (1, SERVER, AttemptEnd.GOOD, 300.0, 0.0)
    seen = []
    fixture.collector.merge(instance_report("e1", 1, ended=[end]))
    for sequence in range(2, 8):
        seen += fixture.sent()
        fixture.collector.merge(instance_report("e1", sequence, ended=[end]))
    assert seen == [1] * send_count


def test_a_burst_of_ends_is_sent_in_order_and_completely():
    """Guards against ends that are lost when a message is full."""
    fixture = CollectorFixture(send_count=1)
    count = 3 * MESSAGE_END_COUNT - 5
    ends = [(n, SERVER, AttemptEnd.GOOD, 300.0, 0.0) for n in range(1, count + 1)]
    fixture.collector.merge(instance_report("e1", 1, ended=ends))
    sent = [fixture.sent() for _ in range(4)]
    assert [sequence for sequences in sent for sequence in sequences] == [
        *range(1, count + 1)
    ]
    assert max(map(len, sent)) <= MESSAGE_END_COUNT


def test_urgent_ends_are_sent_again_with_the_state():
    fixture = CollectorFixture()
    end = (1, SERVER, AttemptEnd.RESET, 1.0, 0.0)
    fixture.collector.merge(instance_report("e1", 1, ended=[end]))
    urgent = fixture.collector.next_ends_message(fixture.receivers)
    assert urgent.in_flight is None
    assert [end.ended.sequence for end in urgent.ended] == [1]
    assert fixture.sent() == [1]


def test_instances_that_leave_or_stop_reporting_are_dropped():
    fixture = CollectorFixture()
    for name in ("e1", "e2", "e3"):
        fixture.collector.merge(instance_report(name, 1, in_flight=[(SERVER, 1.0)]))
    fixture.message()
    fixture.collector.drop("e1")
    assert (instance_key("e1"), 0) in fixture.message().included_reports
    fixture.clock.advance_ms(700)
    fixture.collector.merge(instance_report("e3", 2, in_flight=[(SERVER, 1.0)]))
    fixture.clock.advance_ms(200)
    assert fixture.collector.drop_silent() == ["e2"]
    assert fixture.attempt_counts() == {SERVER: 1}


def test_counts_of_instances_add_up_and_survive_their_restart():
    fixture = CollectorFixture()
    for sequence, requests in enumerate((100, 130, 170), 1):
        counts = [ServiceCount(SERVER, requests, sequence)]
        fixture.collector.merge(instance_report("e1", sequence, counts=counts))
    fixture.collector.merge(
        instance_report("e1", 1, incarnation=2, counts=[ServiceCount(SERVER, 5, 0)])
    )
    fixture.collector.merge(
        instance_report("e1", 2, incarnation=2, counts=[ServiceCount(SERVER, 9, 1)])
    )
    assert fixture.message().counts == (ServiceCount(SERVER, 74, 3),)


def test_requests_from_before_a_change_of_relay_are_not_counted_as_recent():
    """Guards against a retry budget that grows by an instance's whole history."""
    fixture = CollectorFixture()
    fixture.collector.merge(instance_report("e1", 7))
    for sequence, requests in ((8, 1_000), (9, 1_010)):
        counts = [ServiceCount(SERVER, requests, requests // 10)]
        fixture.collector.merge(instance_report("e1", sequence, counts=counts))
    assert fixture.message().counts == (ServiceCount(SERVER, 10, 1),)


def test_messages_at_rest_are_small():
    """Guards against over 6 kB/s at rest, with six domains of 46 instances."""
    fixture = CollectorFixture()
    remote_receivers = fixture.collector.add_receivers(1, are_reporting=False)
    own_loads = [OwnLoad(fixture.clock, f"e{n}") for n in range(46)]
    local_bytes = remote_bytes = 0
    for tick in range(80):
        if tick % 2 == 0:
            for own in own_loads:
                fixture.collector.merge(own.next_report())
            remote_bytes += len(
                encode_domain_load(fixture.collector.next_message(remote_receivers))
            )
        local_bytes += len(encode_domain_load(fixture.message()))
        fixture.clock.advance_ms(125)
    assert local_bytes + 5 * remote_bytes <= 6_000 * 10
