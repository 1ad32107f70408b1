import pytest

from cardamomrun_base.clock import ManualClock
from cardamomrun_base.model import BackendPhase
from cardamomrun_gateway.fleet_load import FleetLoad
from cardamomrun_gateway.server_health import AttemptEnd

from .builders import SERVICE, FakeStore, load_of, server_body, server_record


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


def test_attempts_of_all_instances_count(load):
    server = load.get("b1")
    load.started(server)
    load.take(load_of("e2", in_work=[(server.key, 5), (server.key, 9)]))
    load.take(load_of("e3", in_work=[(server.key, 5)]))
    assert server.in_work_count == 4


def test_a_report_replaces_the_one_before(load):
    """Guards against counts that drift when a report is lost or comes late."""
    server = load.get("b1")
    load.take(load_of("e2", 5, in_work=[(server.key, 5)] * 3))
    load.take(load_of("e2", 7, in_work=[(server.key, 5)]))
    load.take(load_of("e2", 6, in_work=[(server.key, 5)] * 9))
    assert server.in_work_count == 1


def test_a_restarted_instance_begins_anew(load):
    server = load.get("b1")
    load.take(load_of("e2", 50, in_work=[(server.key, 5)] * 3))
    load.take(load_of("e2", 1, incarnation=2))
    assert server.in_work_count == 0


def test_an_instance_that_restarts_with_an_earlier_time_of_day_is_heard(load, clock):
    """Guards against an instance that is ignored since its clock was set back."""
    server = load.get("b1")
    load.take(load_of("e2", 50, incarnation=9_000))
    load.take(load_of("e2", 1, incarnation=5_000, in_work=[(server.key, 5)]))
    assert server.in_work_count == 0
    clock.advance_ms(600)
    load.take(load_of("e2", 2, incarnation=5_000, in_work=[(server.key, 5)]))
    assert server.in_work_count == 1


def test_a_silent_instance_is_forgotten(load, clock):
    server = load.get("b1")
    load.take(load_of("e2", in_work=[(server.key, 5)]))
    clock.advance_ms(2_000)
    load.drop_silent()
    assert server.in_work_count == 0


def test_an_end_is_judged_once_although_it_is_told_again(load):
    """Guards against one error that counts as several and puts a server in doubt."""
    server = load.get("b1")
    error = (1, server.key, AttemptEnd.ERROR, 100.0, 5.0)
    for sequence in range(1, 6):
        load.take(load_of("e2", sequence, ended=[error]))
    assert not server.health.is_doubted


def test_a_reset_told_by_another_instance_puts_the_server_in_doubt(load):
    server = load.get("b1")
    load.take(load_of("e2", ended=[(1, server.key, AttemptEnd.RESET, 1.0, 2.0)]))
    assert server.health.is_doubted


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
        load.take(load_of("e2", sequence, ended=ends))
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
    load.take(
        load_of("e2", ended=[(1, load.get("b1").key, AttemptEnd.RESET, 1.0, 2.0)])
    )
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
