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
    no_report,
    relay_message,
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


def merge(load, *args, own_report=no_report, **fields):
    return load.merge(relay_message(*args, **fields), own_report)


def test_attempts_of_all_domains_are_added_up(load):
    server = load.get("b1")
    load.attempt_started(server)
    merge(load, "relay of a", in_flight=[(server.key, 2, 9, None)])
    merge(load, "relay of b", in_flight=[(server.key, 1, 5, None)])
    assert server.in_flight_count == 4


def test_own_attempts_in_a_relays_sum_are_counted_once(clock, store):
    """Guards against a server that seems full to the instance that uses it."""
    load = FleetLoad(clock, store, "e1")
    store.put(server_record(server_body("b1")))
    server = load.get("b1")
    own = OwnLoad(clock, "e1")
    for _ in range(2):
        own.attempt_started(server.key)
        load.attempt_started(server)
    own.next_report()
    included = [("e1", 1), ("e2", 40)]
    fields = {"in_flight": [(server.key, 3, 9, None)], "own_report": own.reported_state}
    merge(load, sequence=1, included=included, **fields)
    assert server.in_flight_count == 3
    # The next message lists only instances whose reports are new.
    merge(load, sequence=2, **fields)
    assert server.in_flight_count == 3
    merge(load, sequence=3, included=[("e1", 0)], **fields)
    assert server.in_flight_count == 5


def test_a_message_replaces_the_previous_one(load):
    """Guards against wrong counts after a message that is lost or late."""
    server = load.get("b1")
    merge(load, "relay", 5, in_flight=[(server.key, 3, 5, None)])
    merge(load, "relay", 7, in_flight=[(server.key, 1, 5, None)])
    merge(load, "relay", 6, in_flight=[(server.key, 9, 5, None)])
    assert server.in_flight_count == 1


def test_a_message_with_ends_only_keeps_the_counts(load):
    server = load.get("b1")
    merge(load, "relay", 5, in_flight=[(server.key, 3, 5, None)])
    merge(load, "relay", 6, in_flight=None)
    assert server.in_flight_count == 3


def test_the_counts_of_a_restarted_relay_are_reset(load):
    server = load.get("b1")
    merge(load, "relay", 50, in_flight=[(server.key, 3, 5, None)])
    merge(load, "relay", 1, incarnation=2)
    assert server.in_flight_count == 0


def test_a_relay_that_restarts_with_an_earlier_time_of_day_is_accepted(load, clock):
    """Guards against a relay that is ignored after its clock was set back."""
    server = load.get("b1")
    attempts = [(server.key, 1, 5, None)]
    merge(load, "relay", 50, incarnation=9_000)
    merge(load, "relay", 1, incarnation=5_000, in_flight=attempts)
    assert server.in_flight_count == 0
    clock.advance_ms(600)
    merge(load, "relay", 2, incarnation=5_000, in_flight=attempts)
    assert server.in_flight_count == 1


def test_the_counts_of_a_silent_relay_are_dropped(load, clock):
    server = load.get("b1")
    merge(load, in_flight=[(server.key, 1, 5, None)])
    clock.advance_ms(2_000)
    load.run_maintenance()
    assert server.in_flight_count == 0


def test_a_relay_that_replaces_a_silent_one_drops_its_counts(load, clock):
    """Guards against attempts that count twice, so that servers seem full."""
    server = load.get("b1")
    attempts, included = [(server.key, 2, 5, None)], [("e2", 5)]
    merge(load, "first", in_flight=attempts, included=included)
    clock.advance_ms(400)
    merge(load, "second", in_flight=attempts, included=included)
    assert server.in_flight_count == 2


def test_an_end_that_is_sent_again_is_recorded_once(load):
    """Guards against one error that counts as several and makes a server suspected."""
    server = load.get("b1")
    error = (1, server.key, AttemptEnd.ERROR, 100.0, 5.0)
    for sequence in range(1, 6):
        merge(load, "relay", sequence, ended=[error])
    assert not server.health.is_suspected


def test_own_ends_in_a_relays_message_are_not_recorded_again(clock, store):
    load = FleetLoad(clock, store, "e1")
    store.put(server_record(server_body("b1")))
    server = load.get("b1")
    load.attempt_started(server)
    load.attempt_ended(server, AttemptEnd.ERROR, clock.now_ms() - 100)
    own = OwnLoad(clock, "e1")
    own.attempt_ended(own.attempt_started(server.key), AttemptEnd.ERROR)
    collector = DomainCollector(clock, "relay")
    receivers = collector.add_receivers(2)
    collector.merge(own.next_report())
    load.merge(collector.next_message(receivers), own.reported_state)
    assert not server.health.is_suspected


def test_a_reset_at_another_instance_makes_the_server_suspected(load):
    server = load.get("b1")
    merge(load, ended=[(1, server.key, AttemptEnd.RESET, 1.0, 2.0)])
    assert server.health.is_suspected


def test_counts_of_other_instances_exclude_the_own_ones(clock, store):
    """Guards against a retry budget that counts own retries twice."""
    load = FleetLoad(clock, store, "e1")
    own, other = OwnLoad(clock, "e1"), OwnLoad(clock, "e2")
    collector = DomainCollector(clock, "relay")
    receivers = collector.add_receivers(2)
    counted = []
    for _ in range(6):
        own.count(KEY, 10, 2)
        other.count(KEY, 100, 7)
        collector.merge(own.next_report())
        collector.merge(other.next_report())
        counted.append(
            load.merge(collector.next_message(receivers), own.reported_state)
        )
        clock.advance_ms(350)
    # The first counts of an instance say nothing about recent requests.
    assert counted[0] == {}
    assert [counts[KEY] for counts in counted[2:]] == [(100, 7)] * 4


def test_counts_before_the_first_message_of_a_relay_are_ignored(load):
    counts = [ServiceCount(KEY, 9_000, 900)]
    assert merge(load, "relay", 9, counts=counts) == {}
    counts = [ServiceCount(KEY, 9_010, 901)]
    assert merge(load, "relay", 10, counts=counts) == {KEY: (10, 1)}


def test_counts_after_a_silence_of_their_relay_allow_no_retries(load, clock):
    """Guards against a retry budget that grows by requests of a time long past."""
    merge(load, "relay", 1, counts=[ServiceCount(KEY, 100, 10)])
    clock.advance_ms(30_000)
    counts = [ServiceCount(KEY, 900, 30)]
    assert merge(load, "relay", 2, counts=counts) == {KEY: (0, 20)}
    clock.advance_ms(250)
    counts = [ServiceCount(KEY, 911, 32)]
    assert merge(load, "relay", 3, counts=counts) == {KEY: (11, 2)}


def test_an_unreachable_server_is_blocked_on_this_instance_only(load, clock):
    """Guards against a network fault of one instance that removes a server for all."""
    server = load.get("b1")
    load.attempt_started(server)
    load.attempt_ended(server, AttemptEnd.UNREACHABLE, clock.now_ms())
    assert server.blocked_until_ms > clock.now_ms()
    assert not server.health.is_suspected


def test_a_slow_server_is_detected_by_the_responses_of_all_instances(load, store):
    """Guards against a slow server that each of 44 instances has to detect itself."""
    store.put(server_record(server_body("b2")))
    slow, normal = load.get("b1"), load.get("b2")
    for sequence in range(1, 30):
        ends = [
            (2 * sequence, slow.key, AttemptEnd.GOOD, 1_500.0, 1.0),
            (2 * sequence + 1, normal.key, AttemptEnd.GOOD, 300.0, 1.0),
        ]
        merge(load, "relay", sequence, ended=ends)
    assert load.latency_ratio(slow) > 1.5
    assert load.latency_ratio(normal) < 0.5


def test_overdue_attempts_at_a_full_server_are_no_evidence(load, clock):
    """Guards against an overload that makes all servers suspected in turn."""
    server = load.get("b1")
    for _ in range(4):
        load.attempt_started(server)
    for _ in range(5):
        load.attempt_overdue(server, clock.now_ms() - 900)
    assert not server.health.is_suspected


def test_draining_servers_get_no_new_requests(load, store):
    draining = server_body("b1", phase=BackendPhase.DRAINING)
    server = load.get("b1")
    store.put(server_record(draining, counter=1 << 40))
    assert load.get("b1") is None
    assert list(load.servers_of(SERVICE)) == []
    assert not load.is_current(server)


def test_a_new_incarnation_starts_without_history(load, store):
    merge(load, ended=[(1, load.get("b1").key, AttemptEnd.RESET, 1.0, 2.0)])
    store.put(server_record(server_body("b1", incarnation=2)))
    assert not load.get("b1").health.is_suspected


def test_the_newest_server_of_an_address_wins(load, store):
    """Guards against requests to a server whose address was given to another one."""
    address = load.get("b1").body.address
    other = server_body("b2", "board-works", incarnation=5, address=address)
    store.put(server_record(other))
    assert load.get("b1") is None
    assert load.get("b2") is not None
    late = server_body("b3", SERVICE, incarnation=3, address=address)
    store.put(server_record(late))
    assert load.get("b3") is None
