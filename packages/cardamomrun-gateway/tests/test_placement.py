import random
from collections import Counter

import pytest

from cardamomrun_base.clock import ManualClock
from cardamomrun_gateway.fleet_load import FleetLoad
from cardamomrun_gateway.placement import (
    FLOOR_TRIAL_MS,
    REFRESH_MS,
    REMOTE_REFRESH_DELAY_MS,
    ChoiceReason,
    Placement,
)
from cardamomrun_gateway.server_health import TRIAL_FIRST_MS, AttemptEnd

from .builders import FakeStore, criteria, server_body, server_record
from .load_play import FLOOR_RATIO, simulate


class PlacementFixture:
    """The placement of one instance in the domain kelowna-a, and its servers."""

    def __init__(self, *bodies):
        self.clock = ManualClock(100_000.0)
        self.load = FleetLoad(self.clock, FakeStore())
        self.bodies = bodies
        self.load = FleetLoad(self.clock, self.store())
        self.placement = Placement(
            self.clock, self.load, "kelowna-a", 0.7, random.Random(1)
        )

    def store(self):
        store = FakeStore()
        for body in self.bodies:
            store.put(server_record(body))
        return store

    def server(self, server_id):
        return self.load.get(server_id)

    def fill(self, server_id, count):
        for _ in range(count):
            self.load.attempt_started(self.server(server_id))

    def suspect(self, server_id):
        now_ms = self.clock.now_ms()
        self.server(server_id).health.record_end(AttemptEnd.RESET, now_ms - 1, now_ms)

    def mark_accepted(self, server_id):
        self.server(server_id).health.record_accepted(self.clock.now_ms())

    def choose(self, **changes):
        choice = self.placement.choose(criteria(**changes))
        return choice and (choice.server.body.server_id, choice.reason)


def test_a_download_waits_in_its_domain_rather_than_cross_to_another_one():
    """Guards against large responses between domains while a slot is about to be free."""
    fixture = PlacementFixture(server_body("b1", domain="vernon-a"), server_body("b2"))
    fixture.fill("b2", 4)
    assert fixture.choose() == ("b1", ChoiceReason.BEST)
    download = {"download_bytes": 90_000.0}
    assert fixture.choose(**download) == ("b2", ChoiceReason.QUEUED)
    fixture.fill("b2", 2)
    assert fixture.choose(**download) == ("b1", ChoiceReason.BEST)


def test_the_own_failure_domain_comes_first_while_it_has_room():
    fixture = PlacementFixture(server_body("b1", domain="vernon-a"), server_body("b2"))
    assert fixture.choose() == ("b2", ChoiceReason.BEST)
    fixture.fill("b2", 4)
    assert fixture.choose() == ("b1", ChoiceReason.BEST)


def test_a_less_loaded_server_comes_first():
    fixture = PlacementFixture(server_body("b1"), server_body("b2"))
    fixture.mark_accepted("b1")
    fixture.mark_accepted("b2")
    fixture.fill("b1", 3)
    assert fixture.choose() == ("b2", ChoiceReason.BEST)


def test_non_idempotent_requests_avoid_suspected_servers():
    fixture = PlacementFixture(*(server_body(f"b{i}") for i in range(1, 5)))
    fixture.suspect("b1")
    fixture.clock.advance_ms(2_000)
    for _ in range(3 * 6):
        server_id, _ = fixture.choose(is_idempotent=False)
        assert server_id != "b1"
        fixture.fill(server_id, 1)
    assert fixture.choose(is_idempotent=False) is None


def test_an_idempotent_request_tries_a_suspected_server_after_its_pause():
    fixture = PlacementFixture(server_body("b1"), server_body("b2"))
    fixture.suspect("b1")
    assert fixture.choose() == ("b2", ChoiceReason.BEST)
    fixture.clock.advance_ms(1_100)
    assert fixture.choose() == ("b1", ChoiceReason.TRIAL)
    assert fixture.choose(may_be_trial=False) == ("b2", ChoiceReason.BEST)
    fixture.fill("b1", 1)
    assert fixture.choose() == ("b2", ChoiceReason.BEST)


def test_without_idempotent_requests_trials_are_sent_late():
    """Guards against a service whose servers stay suspected for ever."""
    fixture = PlacementFixture(server_body("b1"), server_body("b2"))
    fixture.suspect("b1")
    fixture.clock.advance_ms(6_000)
    non_idempotent = {"is_idempotent": False, "has_idempotent_traffic": False}
    assert fixture.choose(**non_idempotent) == ("b2", ChoiceReason.BEST)
    fixture.clock.advance_ms(8_000)
    assert fixture.choose(**non_idempotent) == ("b1", ChoiceReason.TRIAL)


@pytest.mark.parametrize("suspected_count", [2, 4])
def test_below_the_floor_requests_that_may_run_once_are_trials_soon(suspected_count):
    """Guards against failures in turn that leave most sound servers without requests."""
    fixture = PlacementFixture(*(server_body(f"b{i}") for i in range(10)))
    for index in range(10):
        fixture.mark_accepted(f"b{index}")
    for index in range(suspected_count):
        fixture.suspect(f"b{index}")
    fixture.clock.advance_ms(TRIAL_FIRST_MS + FLOOR_TRIAL_MS + 1.0)
    unsafe = {"is_idempotent": False, "has_idempotent_traffic": False}
    is_below_floor = 10 - suspected_count < 7
    assert (fixture.choose(**unsafe)[1] is ChoiceReason.TRIAL) == is_below_floor


def test_without_idempotent_requests_a_trial_precedes_refusals():
    """Guards against refusals while servers are suspected although all work."""
    fixture = PlacementFixture(server_body("b1"), server_body("b2"))
    fixture.suspect("b1")
    fixture.fill("b2", 4)
    fixture.clock.advance_ms(1_100)
    non_idempotent = {"is_idempotent": False, "has_idempotent_traffic": False}
    assert fixture.choose(**non_idempotent) == ("b1", ChoiceReason.TRIAL)
    assert fixture.choose(is_idempotent=False) == ("b2", ChoiceReason.QUEUED)


def test_non_idempotent_requests_prefer_servers_that_accepted_lately():
    fixture = PlacementFixture(server_body("b1"), server_body("b2"))
    fixture.mark_accepted("b2")
    assert fixture.choose(is_idempotent=False) == ("b2", ChoiceReason.BEST)
    assert fixture.choose(is_idempotent=True) == ("b1", ChoiceReason.BEST)


def test_last_attempts_prefer_servers_that_accepted_lately():
    fixture = PlacementFixture(server_body("b1"), server_body("b2"))
    fixture.mark_accepted("b2")
    assert fixture.choose(is_retryable=False) == ("b2", ChoiceReason.BEST)


@pytest.mark.parametrize(
    ("idle_ms", "expected"),
    [
        (REFRESH_MS, "b1"),
        (REFRESH_MS + REMOTE_REFRESH_DELAY_MS - 1, "b1"),
        (REFRESH_MS + REMOTE_REFRESH_DELAY_MS, "b2"),
    ],
)
def test_idle_servers_of_other_domains_are_left_to_their_instances_at_first(
    idle_ms, expected
):
    """Guards against requests that leave their domain although it has room."""
    fixture = PlacementFixture(server_body("b1"), server_body("b2", domain="vernon-a"))
    fixture.mark_accepted("b2")
    fixture.clock.advance_ms(idle_ms)
    fixture.mark_accepted("b1")
    # Its own slots are in use in part, so the idle server would cost less.
    fixture.fill("b1", 3)
    chosen = fixture.choose(is_idempotent=False, is_retryable=False, expected_ms=2_000)
    assert chosen == (expected, ChoiceReason.BEST)


@pytest.mark.parametrize(
    ("in_flight", "expected"),
    [
        (3, ChoiceReason.BEST),
        (4, ChoiceReason.QUEUED),
        (5, ChoiceReason.QUEUED),
        (6, None),
    ],
)
def test_a_full_server_queues_half_of_its_slots(in_flight, expected):
    fixture = PlacementFixture(server_body("b1"))
    fixture.fill("b1", in_flight)
    choice = fixture.choose()
    assert (choice and choice[1]) == expected


def test_a_server_of_another_domain_costs_more_for_large_bodies():
    """Guards against uploads that cross failure domains to save some milliseconds."""
    fixture = PlacementFixture(server_body("b1", domain="vernon-a"), server_body("b2"))
    fixture.mark_accepted("b1")
    fixture.fill("b2", 3)
    assert fixture.choose(is_idempotent=False, body_bytes=60_000)[0] == "b2"


def test_suspected_servers_are_used_up_to_the_floor():
    """Guards against a service that refuses clients after each server failed once."""
    fixture = PlacementFixture(*(server_body(f"b{i}") for i in range(1, 11)))
    for i in range(2, 11):
        fixture.suspect(f"b{i}")
    fixture.fill("b1", 6)
    chosen = set()
    while choice := fixture.choose(is_idempotent=False):
        server_id, reason = choice
        assert reason is ChoiceReason.FLOOR
        chosen.add(server_id)
        fixture.fill(server_id, 1)
    assert len(chosen) == 6


def test_the_floor_excludes_servers_that_fail_nearly_always():
    fixture = PlacementFixture(server_body("b1"), server_body("b2"))
    for _ in range(8):
        fixture.suspect("b1")
        fixture.suspect("b2")
    assert fixture.choose(is_idempotent=False) is None
    assert fixture.choose(is_idempotent=True)[1] is ChoiceReason.FLOOR


def test_a_new_server_is_used_although_it_accepted_nothing_yet():
    """Guards against new servers that stay idle in non-idempotent services."""
    bodies = [server_body(f"b{n}") for n in range(1, 4)]
    fixture = PlacementFixture(*bodies, server_body("b9", warm_up_ms=3_000))
    for server_id in ("b1", "b2", "b3"):
        fixture.mark_accepted(server_id)
    non_idempotent = {"is_idempotent": False, "has_idempotent_traffic": False}
    assert {fixture.choose(**non_idempotent)[0] for _ in range(20)} <= {
        "b1",
        "b2",
        "b3",
    }
    fixture.clock.advance_ms(3_001)
    for server_id in ("b1", "b2", "b3"):
        fixture.mark_accepted(server_id)
    assert fixture.choose(**non_idempotent)[0] == "b9"
    fixture.fill("b9", 1)
    assert fixture.choose(**non_idempotent)[0] != "b9"


def test_excluded_and_blocked_servers_are_not_chosen():
    fixture = PlacementFixture(server_body("b1"), server_body("b2"))
    fixture.server("b2").blocked_until_ms = fixture.clock.now_ms() + 1
    assert fixture.choose(excluded=frozenset({"b1"})) is None


# Loads with the smallest share of requests to be served. Idempotent requests are
# retried, so what is lost is about the first request of each fault of a server.
LOADS = {
    "calm": ({"rate_per_s": 87.0}, 0.98),
    "heavy": ({"rate_per_s": 202.0}, 0.98),
    "only non-idempotent requests": (
        {
            "rate_per_s": 16.0,
            "server_count": 8,
            "idempotent_ratio": 0.0,
            "has_idempotent_traffic": False,
        },
        0.95,
    ),
    "a tenth of the reports lost": (
        {"rate_per_s": 87.0, "report_loss_ratio": 0.1},
        0.97,
    ),
    "reports late": ({"rate_per_s": 87.0, "report_delay_ms": 50.0}, 0.97),
}


@pytest.mark.parametrize("name", LOADS)
def test_clients_are_served_while_servers_are_faulty_in_turn(name):
    """Guards against instances that each learn of a faulty server by themselves."""
    changes, min_ratio = LOADS[name]
    counts = simulate(instance_count=12, duration_ms=20_000.0, seed=7, **changes)
    assert counts.served_ratio >= min_ratio
    lost = counts.lost_by_kind[True] / max(1, counts.lost_count)
    assert lost <= 0.5


def test_lost_responses_of_most_servers_cause_no_refusals():
    """Guards against suspicions that remove most servers of a loaded service.

    Three in five servers lose two in five responses, so a quarter of the requests is
    lost in any case; the others must not be refused.
    """
    counts = simulate(
        instance_count=12,
        duration_ms=20_000.0,
        rate_per_s=150.0,
        faulty_ratio=0.0,
        lossy_server_ratio=0.6,
        lost_response_ratio=0.4,
        seed=7,
    )
    assert counts.refused_count <= 0.01 * counts.request_count
    assert counts.served_ratio >= 0.75


def test_simultaneous_choices_are_spread_over_servers():
    """Guards against instances that all choose the best server and overload it."""
    chosen_counts = Counter()
    for seed in range(60):
        fixture = PlacementFixture(*(server_body(f"b{n}") for n in range(1, 21)))
        fixture.placement = Placement(
            fixture.clock, fixture.load, "kelowna-a", 0.7, random.Random(seed)
        )
        for number in range(1, 21):
            fixture.fill(f"b{number}", 1 if number > 1 else 0)
        chosen_counts[fixture.placement.choose(criteria()).server.body.server_id] += 1
    # The best server has four free slots, the others have three each.
    assert max(chosen_counts.values()) <= 60 * 0.35


def test_late_reports_cause_no_queues_on_many_servers():
    """Guards against queues at a few servers while most are idle.

    105 instances receive reports after a quarter of a second, as on narrow links, and a
    third of the slots is in use.
    """
    counts = simulate(
        instance_count=105, server_count=170, slots=6, work_ms=700.0, rate_per_s=520.0,
        report_delay_ms=250.0, urgent_delay_ms=30.0, hold_ms=270.0, deadline_ms=2_200.0,
        duration_ms=3_000.0, faulty_ratio=0.0,
    )  # fmt: skip
    latencies_ms = sorted(counts.latencies_ms)
    # The median work time is 630 ms; queues would add to it.
    assert latencies_ms[len(latencies_ms) // 2] < 1.25 * 630
    assert counts.served_ratio > 0.97


@pytest.mark.parametrize("rate_per_s", [170.0, 260.0])
def test_servers_that_shed_do_not_use_up_the_retry_budget(rate_per_s):
    """Guards against requests that go on to servers which just refused others."""
    counts = simulate(
        rate_per_s=rate_per_s,
        faulty_ratio=0.0,
        shedding_server_ratio=0.3,
        duration_ms=15_000.0,
    )
    # A quarter of a budget of a fifth of the requests.
    assert counts.shed_count <= 0.05 * counts.request_count
    assert counts.served_ratio >= 0.99


def test_a_service_that_sheds_everywhere_is_used_as_before():
    counts = simulate(faulty_ratio=0.0, shedding_server_ratio=1.0, duration_ms=10_000.0)
    assert counts.served_ratio >= 0.99


@pytest.mark.parametrize(
    ("instance_count", "server_count", "rate_per_s"),
    [(44, 28, 87.0), (125, 107, 330.0)],
)
def test_servers_that_pause_are_left_alone_and_lose_no_request(
    instance_count, server_count, rate_per_s
):
    """Guards against requests to servers that are known to refuse them."""
    counts = simulate(
        instance_count=instance_count,
        server_count=server_count,
        rate_per_s=rate_per_s,
        faulty_ratio=0.0,
        pausing_server_ratio=0.33,
        duration_ms=10_000.0,
        seed=21,
    )
    assert counts.served_ratio > 0.99
    assert counts.refused_count == 0
    assert not counts.late_in_pause


@pytest.mark.parametrize("faulty_ratio", [0.0, 0.3])
@pytest.mark.parametrize(
    ("server_count", "idempotent_ratio"), [(28, 0.0), (56, 0.0), (56, 0.3)]
)
def test_requests_do_not_leave_most_sound_servers_idle(
    server_count, idempotent_ratio, faulty_ratio
):
    """Guards against requests that stay with the servers that accepted one lately."""
    counts = simulate(
        instance_count=105,
        server_count=server_count,
        slots=6,
        rate_per_s=85.0,
        idempotent_ratio=idempotent_ratio,
        has_idempotent_traffic=idempotent_ratio > 0,
        work_ms=570.0,
        faulty_ratio=faulty_ratio,
        reset_ratio=0.75,
        fault_interval_ms=12_000.0,
        duration_ms=16_000.0,
        seed=41,
    )
    assert min(counts.reached_ratios) >= FLOOR_RATIO
