"""What a relay tells of the instances that report to it."""

import pytest

from cardamomrun_base.clock import ManualClock
from cardamomrun_gateway.domain_collector import MESSAGE_END_COUNT, DomainCollector
from cardamomrun_gateway.load_messages import encode_domain_load
from cardamomrun_gateway.load_model import ServiceCount, instance_key
from cardamomrun_gateway.own_load import OwnLoad
from cardamomrun_gateway.server_health import AttemptEnd

from .builders import load_of

SERVER, OTHER = 7, 8


class World:
    """A collector with one audience of reporting instances."""

    def __init__(self, told_count=2):
        self.clock = ManualClock(50_000.0)
        self.collector = DomainCollector(self.clock, "relay")
        self.audience = self.collector.audience(told_count)

    def message(self):
        return self.collector.message(self.audience)

    def work(self):
        return {work.server_key: work.count for work in self.message().in_work}

    def told(self):
        return [end.ended.sequence for end in self.message().ended]


def test_the_work_of_all_instances_is_added_up():
    world = World()
    world.collector.take(load_of("e1", in_work=[(SERVER, 900.0), (SERVER, 3.0)]))
    world.collector.take(load_of("e2", in_work=[(SERVER, 40.0), (OTHER, 2.0)]))
    world.clock.advance_ms(5)
    work = {one.server_key: one for one in world.message().in_work}
    assert (work[SERVER].count, work[SERVER].oldest_ms) == (3, 905.0)
    # The server has accepted the attempt of 45 ms, the one of 8 ms not yet.
    assert work[SERVER].accepted_ms == 45.0
    assert (work[OTHER].count, work[OTHER].accepted_ms) == (1, None)


def test_a_late_report_changes_nothing():
    world = World()
    world.collector.take(load_of("e1", 5, in_work=[(SERVER, 1.0)]))
    assert not world.collector.take(load_of("e1", 4, in_work=[(OTHER, 1.0)]))
    assert world.work() == {SERVER: 1}


@pytest.mark.parametrize("told_count", [1, 2, 3])
def test_each_end_is_told_as_often_as_asked(told_count):
    world = World(told_count)
    end = (1, SERVER, AttemptEnd.GOOD, 300.0, 0.0)
    seen = []
    world.collector.take(load_of("e1", 1, ended=[end]))
    for sequence in range(2, 8):
        seen += world.told()
        world.collector.take(load_of("e1", sequence, ended=[end]))
    assert seen == [1] * told_count


def test_a_burst_of_ends_is_told_in_order_and_whole():
    """Guards against ends that a full message leaves out."""
    world = World(told_count=1)
    count = 3 * MESSAGE_END_COUNT - 5
    ends = [(n, SERVER, AttemptEnd.GOOD, 300.0, 0.0) for n in range(1, count + 1)]
    world.collector.take(load_of("e1", 1, ended=ends))
    told = [world.told() for _ in range(4)]
    assert [sequence for one in told for sequence in one] == [*range(1, count + 1)]
    assert max(map(len, told)) <= MESSAGE_END_COUNT


def test_urgent_ends_are_told_again_with_the_state():
    world = World()
    end = (1, SERVER, AttemptEnd.RESET, 1.0, 0.0)
    world.collector.take(load_of("e1", 1, ended=[end]))
    urgent = world.collector.ends_message(world.audience)
    assert urgent.in_work is None
    assert [one.ended.sequence for one in urgent.ended] == [1]
    assert world.told() == [1]


def test_instances_that_leave_or_fall_silent_count_no_more():
    world = World()
    for name in ("e1", "e2", "e3"):
        world.collector.take(load_of(name, 1, in_work=[(SERVER, 1.0)]))
    world.message()
    world.collector.drop("e1")
    assert (instance_key("e1"), 0) in world.message().taken
    world.clock.advance_ms(700)
    world.collector.take(load_of("e3", 2, in_work=[(SERVER, 1.0)]))
    world.clock.advance_ms(200)
    assert world.collector.drop_silent() == ["e2"]
    assert world.work() == {SERVER: 1}


def test_counts_of_instances_add_up_and_survive_their_restart():
    world = World()
    for sequence, requests in enumerate((100, 130, 170), 1):
        counts = [ServiceCount(SERVER, requests, sequence)]
        world.collector.take(load_of("e1", sequence, counts=counts))
    world.collector.take(
        load_of("e1", 1, incarnation=2, counts=[ServiceCount(SERVER, 5, 0)])
    )
    world.collector.take(
        load_of("e1", 2, incarnation=2, counts=[ServiceCount(SERVER, 9, 1)])
    )
    assert world.message().counts == (ServiceCount(SERVER, 74, 3),)


def test_messages_at_rest_are_small():
    """Guards against over 6 kB/s for control at rest, in six domains of 46 instances."""
    world = World()
    far = world.collector.audience(1, are_reporting=False)
    owns = [OwnLoad(world.clock, f"e{n}") for n in range(46)]
    near_bytes = far_bytes = 0
    for tick in range(80):
        if tick % 2 == 0:
            for own in owns:
                world.collector.take(own.report())
            far_bytes += len(encode_domain_load(world.collector.message(far)))
        near_bytes += len(encode_domain_load(world.message()))
        world.clock.advance_ms(125)
    assert near_bytes + 5 * far_bytes <= 6_000 * 10
