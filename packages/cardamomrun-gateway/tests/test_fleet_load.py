import pytest

from cardamomrun_base.clock import ManualClock
from cardamomrun_base.model import BackendPhase
from cardamomrun_gateway.domain_collector import DomainCollector
from cardamomrun_gateway.fleet_load import FleetLoad
from cardamomrun_gateway.load_model import ServiceCount
from cardamomrun_gateway.own_load import OwnLoad
from cardamomrun_gateway.server_health import AttemptEnd

from .builders import (
    SERVICE,
    FakeStore,
    domain_load_of,
    no_report,
    server_body,
    server_record,
)

KEY = 7


@pytest.fixture
def store():
    return FakeStore()


@pytest.fixture
def clock():
    return ManualClock(10_000.0)


@pytest.fixture
def load(clock, store):
    load = FleetLoad(clock, store)
    store.put(server_record(server_body("b1")))
    return load


def take(load, *args, own_report=no_report, **fields):
    return load.take(domain_load_of(*args, **fields), own_report)


def test_attempts_of_all_domains_count(load):
    server = load.get("b1")
    load.started(server)
    take(load, "relay of a", in_work=[(server.key, 2, 9, None)])
    take(load, "relay of b", in_work=[(server.key, 1, 5, None)])
    assert server.in_work_count == 4


def test_own_attempts_in_a_relays_sum_count_once(clock, store):
    """Guards against a server that looks full to the instance that fills it."""
    load = FleetLoad(clock, store, "e1")
    store.put(server_record(server_body("b1")))
    server = load.get("b1")
    own = OwnLoad(clock, "e1")
    for _ in range(2):
        own.started(server.key)
        load.started(server)
    own.report()
    taken = [("e1", 1), ("e2", 40)]
    fields = {"in_work": [(server.key, 3, 9, None)], "own_report": own.reported}
    take(load, sequence=1, taken=taken, **fields)
    assert server.in_work_count == 3
    # The next message names only instances whose reports are new.
    take(load, sequence=2, **fields)
    assert server.in_work_count == 3
    take(load, sequence=3, taken=[("e1", 0)], **fields)
    assert server.in_work_count == 5


def test_a_message_replaces_the_one_before(load):
    """Guards against counts that drift when a message is lost or comes late."""
    server = load.get("b1")
    take(load, "relay", 5, in_work=[(server.key, 3, 5, None)])
    take(load, "relay", 7, in_work=[(server.key, 1, 5, None)])
    take(load, "relay", 6, in_work=[(server.key, 9, 5, None)])
    assert server.in_work_count == 1


def test_a_message_with_ends_only_leaves_the_counts(load):
    server = load.get("b1")
    take(load, "relay", 5, in_work=[(server.key, 3, 5, None)])
    take(load, "relay", 6, in_work=None)
    assert server.in_work_count == 3


def test_a_restarted_relay_begins_anew(load):
    server = load.get("b1")
    take(load, "relay", 50, in_work=[(server.key, 3, 5, None)])
    take(load, "relay", 1, incarnation=2)
    assert server.in_work_count == 0


def test_a_relay_that_restarts_with_an_earlier_time_of_day_is_heard(load, clock):
    """Guards against a relay that is ignored since its clock was set back."""
    server = load.get("b1")
    work = [(server.key, 1, 5, None)]
    take(load, "relay", 50, incarnation=9_000)
    take(load, "relay", 1, incarnation=5_000, in_work=work)
    assert server.in_work_count == 0
    clock.advance_ms(600)
    take(load, "relay", 2, incarnation=5_000, in_work=work)
    assert server.in_work_count == 1


def test_the_counts_of_a_silent_relay_are_dropped(load, clock):
    server = load.get("b1")
    take(load, in_work=[(server.key, 1, 5, None)])
    clock.advance_ms(2_000)
    load.tick()
    assert server.in_work_count == 0


def test_a_relay_that_replaces_a_silent_one_ends_its_counts(load, clock):
    """Guards against attempts that count twice, so that servers look full."""
    server = load.get("b1")
    work, taken = [(server.key, 2, 5, None)], [("e2", 5)]
    take(load, "first", in_work=work, taken=taken)
    clock.advance_ms(400)
    take(load, "second", in_work=work, taken=taken)
    assert server.in_work_count == 2


def test_an_end_is_judged_once_although_it_is_told_again(load):
    """Guards against one error that counts as several and puts a server in doubt."""
    server = load.get("b1")
    error = (1, server.key, AttemptEnd.ERROR, 100.0, 5.0)
    for sequence in range(1, 6):
        take(load, "relay", sequence, ended=[error])
    assert not server.health.is_doubted


def test_own_ends_in_a_relays_message_are_not_judged_again(clock, store):
    load = FleetLoad(clock, store, "e1")
    store.put(server_record(server_body("b1")))
    server = load.get("b1")
    load.started(server)
    load.ended(server, AttemptEnd.ERROR, clock.now_ms() - 100)
    own = OwnLoad(clock, "e1")
    own.ended(own.started(server.key), AttemptEnd.ERROR)
    collector = DomainCollector(clock, "relay")
    audience = collector.audience(2)
    collector.take(own.report())
    load.take(collector.message(audience), own.reported)
    assert not server.health.is_doubted


def test_a_reset_told_by_another_instance_puts_the_server_in_doubt(load):
    server = load.get("b1")
    take(load, ended=[(1, server.key, AttemptEnd.RESET, 1.0, 2.0)])
    assert server.health.is_doubted


def test_counts_of_other_instances_leave_out_the_own_ones(clock, store):
    """Guards against a retry budget that counts own attempts twice."""
    load = FleetLoad(clock, store, "e1")
    own, other = OwnLoad(clock, "e1"), OwnLoad(clock, "e2")
    collector = DomainCollector(clock, "relay")
    audience = collector.audience(2)
    counted = []
    for _ in range(6):
        own.count(KEY, 10, 2)
        other.count(KEY, 100, 7)
        collector.take(own.report())
        collector.take(other.report())
        counted.append(load.take(collector.message(audience), own.reported))
        clock.advance_ms(350)
    # The first counts of an instance say nothing about recent requests.
    assert counted[0] == {}
    assert [counts[KEY] for counts in counted[2:]] == [(100, 7)] * 4


def test_what_was_counted_before_a_relay_was_heard_of_is_not_recent(load):
    counts = [ServiceCount(KEY, 9_000, 900)]
    assert take(load, "relay", 9, counts=counts) == {}
    counts = [ServiceCount(KEY, 9_010, 901)]
    assert take(load, "relay", 10, counts=counts) == {KEY: (10, 1)}


def test_an_unreachable_server_is_left_alone_here_and_not_elsewhere(load, clock):
    """Guards against a lost path of one instance that takes a server from all."""
    server = load.get("b1")
    load.started(server)
    load.ended(server, AttemptEnd.UNREACHABLE, clock.now_ms())
    assert server.blocked_until_ms > clock.now_ms()
    assert not server.health.is_doubted


def test_a_slow_server_is_known_by_the_answers_of_all_instances(load, store):
    """Guards against a server that is slow for each of 44 instances in turn."""
    store.put(server_record(server_body("b2")))
    slow, usual = load.get("b1"), load.get("b2")
    for sequence in range(1, 30):
        ends = [
            (2 * sequence, slow.key, AttemptEnd.GOOD, 1_500.0, 1.0),
            (2 * sequence + 1, usual.key, AttemptEnd.GOOD, 300.0, 1.0),
        ]
        take(load, "relay", sequence, ended=ends)
    assert load.slowness(slow) > 1.5
    assert load.slowness(usual) < 0.5


def test_overdue_attempts_at_a_full_server_are_no_evidence(load, clock):
    """Guards against an overload that puts one server after the other in doubt."""
    server = load.get("b1")
    for _ in range(4):
        load.started(server)
    for _ in range(5):
        load.overdue(server, clock.now_ms() - 900)
    assert not server.health.is_doubted


def test_leaving_servers_take_no_work(load, store):
    draining = server_body("b1", phase=BackendPhase.DRAINING)
    held = load.get("b1")
    store.put(server_record(draining, counter=1 << 40))
    assert load.get("b1") is None
    assert list(load.of_service(SERVICE)) == []
    assert not load.is_current(held)


def test_a_new_incarnation_starts_without_history(load, store):
    take(load, ended=[(1, load.get("b1").key, AttemptEnd.RESET, 1.0, 2.0)])
    store.put(server_record(server_body("b1", incarnation=2)))
    assert not load.get("b1").health.is_doubted


def test_the_newest_server_of_an_address_wins(load, store):
    """Guards against requests to a server whose address another one has now."""
    address = load.get("b1").body.address
    other = server_body("b2", "board-works", incarnation=5, address=address)
    store.put(server_record(other))
    assert load.get("b1") is None
    assert load.get("b2") is not None
    late = server_body("b3", SERVICE, incarnation=3, address=address)
    store.put(server_record(late))
    assert load.get("b3") is None
