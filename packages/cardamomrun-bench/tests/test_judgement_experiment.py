"""Tests of the traffic generator, the ejection policies and the simulated runs."""

import itertools

import numpy as np
import pytest

from cardamomrun_base.clock import ManualClock
from cardamomrun_bench.ejection_policies import (
    ConsecutiveFailures,
    FleetJudgement,
    NoEjection,
)
from cardamomrun_bench.judgement_experiment import POLICIES, summarise
from cardamomrun_bench.judgement_run import run
from cardamomrun_bench.judgement_traffic import (
    BURST_S,
    FAILED,
    GOOD,
    RISE_S,
    SLOW,
    UNREACHABLE,
    Fault,
    FaultPlan,
    Traffic,
)

from .builders import attempts, plan, service

FAIL_5 = [FAILED] * 5


def _outcomes(fault, server, seconds=20, now_ms=5_000.0):
    model = service(rate_per_server=200.0)
    traffic = Traffic(model, FaultPlan(fault, 0.0), seed=3)
    results = []
    for chunk in itertools.islice(traffic.chunks(), seconds):
        servers = np.full(chunk.instance.size, server)
        results.append(traffic.outcomes(chunk, slice(None), servers, now_ms)[0])
    return np.concatenate(results)


@pytest.mark.parametrize(
    ("fault", "server", "result", "share"),
    [
        (Fault.FAILS_ALL, 0, FAILED, 1.0),
        (Fault.FAILS_30, 0, FAILED, 0.3),
        (Fault.FAILS_10, 0, FAILED, 0.1),
        (Fault.FAILS_10, 1, FAILED, 0.001),
        (Fault.FAILS_10, 1, SLOW, 0.01),
        (Fault.TWO_SICK, 1, FAILED, 1.0),
        (Fault.HALF_SICK, 4, FAILED, 1.0),
        (Fault.HALF_SICK, 5, FAILED, 0.001),
        # 79% of the slow requests exceed the bound, 1.8% of them the timeout.
        (Fault.ALL_SLOW, 0, SLOW, 0.775),
        (Fault.SLOW_TAIL, 0, SLOW, 0.24),
        # Half of the instances are in the failure domain whose path is broken.
        (Fault.PATH_BROKEN, 0, UNREACHABLE, 0.5),
        (Fault.PATH_BROKEN, 1, UNREACHABLE, 0.0),
        (Fault.FLAPS, 0, FAILED, 1.0),
    ],
)
def test_traffic_contains_the_fault_rates(fault, server, result, share):
    """Guards against traffic that does not contain the stated fault."""
    found = (_outcomes(fault, server) == result).mean()
    assert found == pytest.approx(share, rel=0.15, abs=0.0005)


def test_flapping_server_is_healthy_in_every_second_period():
    """Guards against a flapping server that never recovers."""
    assert (_outcomes(Fault.FLAPS, 0, now_ms=2_500.0) == FAILED).mean() < 0.01


def test_common_causes_occur_only_without_another_fault():
    """Guards against detections that a common cause triggers."""

    def chunks(fault):
        traffic = Traffic(service(), FaultPlan(fault, 0.0), seed=3)
        return list(itertools.islice(traffic.chunks(), 120))

    rises = [chunk.background_failed_ratio > 0.1 for chunk in chunks(Fault.NONE)]
    assert [second for second, rise in enumerate(rises) if rise] == [*range(*RISE_S)]
    counts = [chunk.at_ms.size for chunk in chunks(Fault.NONE)]
    assert np.mean(counts[slice(*BURST_S)]) > 1.1 * np.mean(counts[: BURST_S[0]])
    assert not any(c.background_failed_ratio > 0.1 for c in chunks(Fault.FAILS_ALL))


@pytest.mark.parametrize(
    ("results", "ejected"),
    [
        (FAIL_5, True),
        ([UNREACHABLE] * 5, True),
        (FAIL_5[:4], False),
        ([*FAIL_5[:4], GOOD, *FAIL_5[:4]], False),
        ([*FAIL_5[:4], SLOW, FAILED], False),
        ([SLOW] * 20, False),
    ],
)
def test_baseline_needs_five_failures_in_a_row(results, ejected):
    """Guards against a baseline that is weaker or stronger than documented."""
    model = service()
    policy = ConsecutiveFailures(model, model.subsets())
    policy.record_results(0.0, *attempts(0, 3, results))
    policy.tick(0.0)
    assert policy.blocked[0, 3] == ejected
    assert policy.blocked.sum() == int(ejected)


def test_baseline_ejects_for_30_s_and_a_tenth_of_the_servers():
    """Guards against a baseline without its limit, which would eject far more."""
    model = service()
    policy = ConsecutiveFailures(model, model.subsets())
    policy.record_results(0.0, *attempts(0, 3, FAIL_5))
    policy.record_results(0.0, *attempts(0, 4, FAIL_5))
    policy.tick(0.0)
    assert np.flatnonzero(policy.blocked[0]).tolist() == [3]
    policy.tick(29_999.0)
    assert policy.blocked.any()
    policy.tick(30_000.0)
    assert not policy.blocked.any()


def test_fleet_policy_respects_the_floor_in_an_instance_s_view():
    """Guards against avoidance in the experiment that the product would not allow."""
    model = service()
    policy = FleetJudgement(model, model.subsets(), ManualClock())
    for server in range(model.server_count):
        policy.record_results(0.0, *attempts(0, server, [GOOD] * 100))
    # More servers than the floor spares, but a small share of all attempts.
    for server in range(6):
        policy.record_results(0.0, *attempts(0, server, FAIL_5))
    policy.tick(0.0)
    assert policy.blocked[0].sum() == 3
    assert not policy.blocked[1:].any()


def test_fleet_policy_ignores_failures_that_servers_share():
    """Guards against avoidance in a common rise, which the product does not do."""
    model = service()
    policy = FleetJudgement(model, model.subsets(), ManualClock())
    for server in [*range(model.server_count)] * 3:
        policy.record_results(0.0, *attempts(0, server, [GOOD, FAILED]))
    for server in range(model.server_count):
        policy.record_results(0.0, *attempts(0, server, FAIL_5))
    policy.tick(0.0)
    assert not policy.blocked.any()


@pytest.mark.parametrize("name", list(POLICIES))
def test_runs_with_equal_seeds_are_equal(name):
    """Guards against figures that cannot be repeated."""
    results = [run(plan(Fault.FAILS_30), POLICIES[name]) for _ in range(2)]
    assert results[0] == results[1]


def test_run_detects_a_failing_server_without_false_ejections():
    """Guards against runs whose traffic, policy and measurement are not connected."""
    fleet = run(plan(Fault.FAILS_ALL), POLICIES[FleetJudgement.name])
    baseline = run(plan(Fault.FAILS_ALL), POLICIES[ConsecutiveFailures.name])
    none = run(plan(Fault.FAILS_ALL), POLICIES[NoEjection.name])
    assert fleet["detected_all_ms"] < baseline["detected_all_ms"]
    assert none["detected_all_ms"] is None
    assert none["hit_ratio"] == pytest.approx(0.1, rel=0.1)
    assert fleet["hit_ratio"] < baseline["hit_ratio"] < none["hit_ratio"]
    assert fleet["true_ejections"] == 1
    assert fleet["false_ejections"] == baseline["false_local_removals"] == 0


def test_run_without_detection_counts_as_the_latest():
    """Guards against medians that leave out the seeds without detection."""
    rows = [
        run(plan(Fault.FAILS_ALL, seed), POLICIES[FleetJudgement.name])
        for seed in (1, 2, 3)
    ]
    rows[0]["detected_all_ms"] = rows[1]["detected_all_ms"] = None
    (summary,) = summarise(rows)
    assert summary["detected_all_ms_p50"] is None
    assert summary["detected_all_ms_count"] == 1
