"""Subsets, the choice of a server, and local avoidance."""

import random
from collections import Counter

import pytest

from cardamomrun_backends.selection import choose_subset
from cardamomrun_base.interfaces import AttemptResult
from cardamomrun_base.model import BackendPhase

from .builders import (
    ENVIRONMENT,
    Instance,
    environment,
    members,
    publish,
    server,
    servers,
)


@pytest.mark.parametrize(("instances", "count"), [(44, 30), (420, 34)])
def test_subsets_are_balanced(instances, count):
    # Guards against servers with twice the connections of others, and against a
    # subset in one failure domain.
    names = [f"entry-{i}" for i in range(instances)]
    bodies = servers(count)
    domain = {body.server_id: body.failure_domain for body in bodies}
    subset_counts: Counter[str] = Counter()
    for name in names:
        chosen = choose_subset(name, names, bodies, 12)
        assert len(chosen) == 12
        per_domain = Counter(domain[server_id] for server_id in chosen)
        assert len(per_domain) == 4
        assert max(per_domain.values()) - min(per_domain.values()) <= 2
        subset_counts.update(chosen)
    mean = instances * 12 / count
    assert max(subset_counts.values()) <= 1.2 * mean
    assert min(subset_counts[name] for name in domain) >= 0.8 * mean


def test_one_more_instance_moves_few_servers():
    # Guards against all instances moving connections each time that one starts.
    names = [f"entry-{i}" for i in range(100)]
    bodies = servers(34)
    moved = sum(
        len(
            choose_subset(n, names, bodies, 12)
            - choose_subset(n, [*names, "entry-050a"], bodies, 12)
        )
        for n in names
    )
    assert moved < 0.1 * 12 * len(names)


def test_less_loaded_and_local_servers_are_preferred():
    # Guards against requests to a busy server and needless requests to a remote one.
    instance = Instance([server("b0"), server("b1", failure_domain="vernon-a")])
    choices = Counter(instance.choose().server_id for _ in range(400))
    assert choices["b0"] > 2 * choices["b1"]
    for _ in range(3):
        instance.backends.started(server("b0"))
    choices = Counter(instance.choose().server_id for _ in range(400))
    assert choices["b1"] > 2 * choices["b0"]


@pytest.mark.parametrize("retry_after_s", [5, None, 10**9, -1])
def test_shed_answers_divert_requests_for_a_limited_time(retry_after_s):
    # Guards against a wrong Retry-After that takes a server out of use for days.
    instance = Instance(servers(3))
    instance.attempt(server("b0"), AttemptResult.SHED, retry_after_s=retry_after_s)
    shedding_s = {5: 5, None: 1, 10**9: 30, -1: 0}[retry_after_s]
    assert ("b0" in instance.chosen()) == (shedding_s == 0)
    instance.clock.advance_ms(shedding_s * 1_000 + 30_000)
    assert "b0" in instance.chosen()
    assert "b0" in instance.view().healthy


@pytest.mark.parametrize(
    ("result", "needed"), [(AttemptResult.UNREACHABLE, 2), (AttemptResult.FAILED, 5)]
)
def test_failures_in_a_row_lead_to_avoidance_that_doubles(result, needed):
    # Guards against requests to a failed server while there is no decider.
    instance = Instance(servers(10))
    for expected_ms in (5_000, 10_000, 20_000, 40_000, 60_000, 60_000):
        for _ in range(needed):
            assert "b0" in instance.view().healthy
            instance.attempt(server("b0"), result)
        needed = 1
        assert instance.view().avoided == ("b0",)
        assert "b0" not in instance.chosen()
        instance.clock.advance_ms(expected_ms)
    instance.attempt(server("b0"), AttemptResult.GOOD)
    instance.attempt(server("b0"), result)
    assert "b0" in instance.view().healthy


@pytest.mark.parametrize("result", [AttemptResult.GOOD, AttemptResult.FAILED])
def test_late_results_do_not_change_an_avoidance(result):
    # Guards against results of requests sent before an avoidance that end or extend it.
    instance = Instance(servers(10))
    late = [instance.backends.started(server("b0")) for _ in range(3)]
    instance.clock.advance_ms(1)
    for _ in range(5):
        instance.attempt(server("b0"), AttemptResult.FAILED)
    for attempt in late:
        instance.backends.finished(attempt, result)
    instance.clock.advance_ms(4_999)
    assert instance.view().avoided == ("b0",)
    instance.clock.advance_ms(1)
    assert instance.view().avoided == ()
    instance.attempt(server("b0"), AttemptResult.FAILED)
    instance.clock.advance_ms(9_999)
    assert instance.view().avoided == ("b0",)


def test_failures_of_all_servers_lead_to_no_avoidance():
    # Guards against avoidance during a common cause: when 20% of the requests to all
    # servers failed for 10 s, instances avoided 757 healthy servers.
    instance = Instance(servers(10))
    randomness = random.Random(7)
    for _ in range(7_000):
        failed = randomness.random() < 0.2
        result = AttemptResult.FAILED if failed else AttemptResult.GOOD
        instance.attempt(server(f"b{randomness.randrange(10)}"), result)
        instance.clock.advance_ms(1.4)
    assert instance.view().avoided == ()


@pytest.mark.parametrize(("count", "ratio"), [(30, 0.7), (10, 0.7), (6, 0.7), (20, 1)])
def test_avoidance_by_all_instances_together_keeps_the_floor(count, ratio):
    # Guards P1: when each of 44 instances kept to the floor only in its own view, they
    # left the capacity of 15.96 of 30 servers in use, with a floor of 21.
    randomness = random.Random(3)
    remaining = Counter()
    users = Counter()
    for number in range(44):
        instance = Instance(
            servers(count),
            env=environment(ratio=ratio),
            members=members(44),
            name=f"entry-{number}",
        )
        chosen = instance.chosen(400)
        for name in randomness.sample(sorted(chosen), len(chosen)):
            for other in chosen:
                for _ in range(10):
                    instance.attempt(server(other), AttemptResult.GOOD)
            for _ in range(2):
                instance.attempt(server(name), AttemptResult.UNREACHABLE)
        users.update(chosen)
        remaining.update(chosen - set(instance.view().avoided))
    pooled = sum(remaining[name] / users[name] for name in users)
    assert pooled >= instance.view().floor_count


def test_success_between_failures_prevents_avoidance():
    # Guards against avoidance of a server that fails occasionally.
    instance = Instance(servers(10))
    for result in ["failed", "failed", "good"] * 5 + ["unreachable", "good"] * 5:
        instance.attempt(server("b0"), AttemptResult(result))
    assert instance.view().avoided == ()


def test_restarted_server_starts_slowly_and_without_its_past():
    # Guards against full load on a cold server and evidence of its earlier run.
    instance = Instance(servers(10))
    before = instance.backends.started(server("b0"))
    for _ in range(5):
        instance.attempt(server("b0"), AttemptResult.FAILED)
    instance.clock.advance_ms(20_000)
    publish(instance.store, server("b0", incarnation=2))
    assert "b0" in instance.view().healthy
    instance.backends.evidence.pop_all()
    instance.backends.finished(before, AttemptResult.FAILED)
    assert instance.backends.evidence.pop_all() == ()
    cold = Counter(instance.choose().server_id for _ in range(2_000))["b0"]
    instance.clock.advance_ms(10_000)
    warm = Counter(instance.choose().server_id for _ in range(2_000))["b0"]
    assert 0 < cold < 0.4 * warm


@pytest.mark.parametrize("phase", [BackendPhase.DRAINING, BackendPhase.GONE])
def test_leaving_server_gets_no_work_even_as_the_last(phase):
    # Guards P5: draining and gone servers get no requests, even without an alternative.
    instance = Instance([server("b0")])
    assert instance.choose().server_id == "b0"
    publish(instance.store, server("b0", phase), counter=1)
    assert instance.choose() is None
    assert not instance.backends.is_current(server("b0"))


def test_avoided_server_is_better_than_none():
    # Guards against refusing a request that an avoided server might still run.
    instance = Instance(servers(4))
    for _ in range(5):
        instance.attempt(server("b0"), AttemptResult.FAILED)
    others = frozenset({"b1", "b2", "b3"})
    assert instance.view().avoided == ("b0",)
    assert instance.choose(exclude=others).server_id == "b0"
    assert instance.choose(exclude=others | {"b0"}) is None
    assert instance.backends.choose("unknown/trial") is None


def test_subset_grows_when_all_its_servers_are_excluded():
    # Guards against refusing a request while servers outside the subset are healthy.
    instance = Instance(servers(34), members=members(44))
    chosen = instance.chosen(2_000)
    assert len(chosen) == 12
    other = instance.backends.choose(ENVIRONMENT, exclude=frozenset(chosen))
    assert other.server_id not in chosen
    for server_id in chosen:
        instance.attempt(server(server_id), AttemptResult.SHED, retry_after_s=9)
    assert not instance.chosen() & chosen
