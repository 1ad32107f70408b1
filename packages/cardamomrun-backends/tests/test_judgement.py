"""Outlier detection: which servers the decider ejects."""

from dataclasses import replace

import pytest

from cardamomrun_backends.profiles import FASTEST_DETECTION, FEWEST_FALSE_EJECTIONS
from cardamomrun_base.model import BackendPhase

from .builders import DOMAINS, SimulatedTraffic

PROFILES = [FEWEST_FALSE_EJECTIONS, FASTEST_DETECTION]
profiles = pytest.mark.parametrize("profile", PROFILES, ids=["fewest", "fastest"])

# name: (failed, slow and unreachable rates), (largest detection time in s by profile)
FAULTS = {
    "fails all": ((1.0, 0.0, 0.0), (1.5, 1.0)),
    "fails three in ten": ((0.3, 0.0, 0.0), (4.0, 3.5)),
    "only slow": ((0.0, 0.6, 0.0), (3.0, 3.0)),
    "slow tail": ((0.0, 0.25, 0.0), (15.0, 8.0)),
    "unreachable": ((0.0, 0.0, 1.0), (1.0, 1.0)),
    "answers probes, fails half": ((0.5, 0.0, 0.0), (3.0, 2.5)),
}


@profiles
@pytest.mark.parametrize("case", FAULTS)
def test_unhealthy_server_is_ejected_in_time(profile, case):
    # Guards against slow detection and against the ejection of another server.
    rates, bounds_s = FAULTS[case]
    for seed in range(5):
        traffic = SimulatedTraffic(profile, seed=seed)
        traffic.run_s(5)
        start_ms = traffic.clock.now_ms()
        traffic.rates["b3"] = rates
        assert traffic.run_s(20) == {"b3"}
        took_s = (traffic.ejected["b3"] - start_ms) / 1_000
        assert took_s <= bounds_s[PROFILES.index(profile)], (seed, took_s)


@profiles
def test_healthy_service_has_no_ejections(profile):
    # Guards against false ejections in 15 minutes of ordinary traffic.
    assert SimulatedTraffic(profile, count=12).run_s(900) == set()


@profiles
@pytest.mark.parametrize("rates", [(0.5, 0.0, 0.0), (0.0, 0.0, 1.0), (0.0, 0.9, 0.0)])
def test_one_way_path_of_one_domain_ejects_nothing(profile, rates):
    # Guards against ejecting servers because one failure domain cannot reach them.
    traffic = SimulatedTraffic(profile)
    for server_id in ("b1", "b2", "b3"):
        traffic.rates[server_id, DOMAINS[0]] = rates
    assert traffic.run_s(60) == set()


def test_server_seen_by_one_domain_only_is_ejected():
    # Guards against keeping an unhealthy server because no second domain uses it.
    traffic = SimulatedTraffic(FEWEST_FALSE_EJECTIONS)
    traffic.domains = DOMAINS[:1]
    traffic.rates["b3"] = (1.0, 0.0, 0.0)
    assert traffic.run_s(5) == {"b3"}


COMMON_FAILURES = [(0.1, 0.0, 0.0), (0.4, 0.0, 0.0), (1.0, 0.0, 0.0)]
COMMON_SLOWNESS = [(0.0, 0.1, 0.0), (0.0, 0.5, 0.0)]


@profiles
@pytest.mark.parametrize("rates", COMMON_FAILURES + COMMON_SLOWNESS)
@pytest.mark.parametrize("per_step", [1, 6], ids=["little traffic", "much traffic"])
def test_rise_at_all_servers_ejects_nothing(profile, rates, per_step):
    # Guards against ejections during a common cause and while it ends.
    traffic = SimulatedTraffic(profile, per_step=per_step)
    traffic.run_s(5)
    traffic.base = rates
    traffic.run_s(20)
    traffic.base = (0.002, 0.01, 0.0)
    assert traffic.run_s(20) == set()


@pytest.mark.parametrize("rates", [(0.08, 0.0, 0.0), (0.0, 0.12, 0.0)])
def test_small_rise_at_all_servers_ejects_nothing(rates):
    # Guards against a typical rate that lags behind a rise too small for a freeze.
    for seed in (0, 3, 4, 5):
        traffic = SimulatedTraffic(FASTEST_DETECTION, seed=seed)
        traffic.run_s(5)
        traffic.base = rates
        assert traffic.run_s(20) == set()


def test_more_than_half_unhealthy_freezes_ejections():
    # Guards against a faulty observer that removes most of a service.
    traffic = SimulatedTraffic(FASTEST_DETECTION, ratio=0.0)
    for i in range(8):
        traffic.rates[f"b{i}"] = (1.0, 0.0, 0.0)
    assert len(traffic.run_s(5)) == 8
    for i in range(8, 20):
        traffic.rates[f"b{i}"] = (1.0, 0.0, 0.0)
    assert len(traffic.run_s(4)) == 8
    assert traffic.decision.frozen


def test_no_server_is_ejected_during_a_freeze():
    # Guards against ejecting the last servers to recover from a common cause, which look
    # unhealthy beside those that have recovered.
    traffic = SimulatedTraffic(FASTEST_DETECTION, ratio=0.0)
    traffic.run_s(60)
    for i in range(20):
        traffic.rates[f"b{i}"] = (0.9, 0.0, 0.0)
    traffic.run_s(2)
    assert traffic.decision.frozen
    for i in range(1, 20):
        del traffic.rates[f"b{i}"]
    while traffic.decision.frozen:
        assert traffic.decision.ejected == ()
        traffic.step()
    traffic.run_s(4)
    assert traffic.decision.ejected == ("b0",)


def test_flapping_server_is_ejected_longer_each_time():
    # Guards against a flapping server that gets requests again every few seconds.
    traffic = SimulatedTraffic(FEWEST_FALSE_EJECTIONS, count=8)
    traffic.rates["b3"] = (0.9, 0.0, 0.0)
    ejected_s, return_count = [], 0
    for _ in range(2 * 1_100):
        was_ejected = "b3" in traffic.decision.ejected
        traffic.step()
        if not was_ejected and "b3" in traffic.decision.ejected:
            ejected_s.append(0.0)
        return_count += was_ejected and traffic.decision.probation == ("b3",)
        if "b3" in traffic.decision.ejected:
            ejected_s[-1] += 0.5
    assert ejected_s[:7] == [10, 20, 40, 80, 160, 300, 300]
    assert return_count >= 6 and set(traffic.ejected) == {"b3"}


@pytest.mark.parametrize("earlier_s", [0, 6], ids=["together", "mild ones before"])
def test_floor_allows_the_most_severe_first(earlier_s):
    # Guards P1 and detection: nine unhealthy servers and a floor that allows three.
    traffic = SimulatedTraffic(FEWEST_FALSE_EJECTIONS, count=20, ratio=0.85)
    for i in (0, 1, 3, 4, 6, 8):
        traffic.rates[f"b{i}"] = (0.25, 0.0, 0.0)
    traffic.run_s(earlier_s)
    assert len(traffic.decision.ejected) == (3 if earlier_s else 0)
    for i in (2, 5, 7):
        traffic.rates[f"b{i}"] = (1.0, 0.0, 0.0)
    for _ in range(12):
        assert len(traffic.step().ejected) <= 3
    assert set(traffic.decision.ejected) == {"b2", "b5", "b7"}


@pytest.mark.parametrize("phase", ["draining", "starting", "gone"])
def test_lost_capacity_ends_ejections(phase):
    # Guards P1: ejections end when other servers stop serving.
    traffic = SimulatedTraffic(FEWEST_FALSE_EJECTIONS, count=20, ratio=0.8)
    for i in range(4):
        traffic.rates[f"b{i}"] = (1.0, 0.0, 0.0)
    traffic.run_s(3)
    assert len(traffic.decision.ejected) == 4
    for i in range(10, 13):
        body = traffic.bodies[f"b{i}"]
        traffic.bodies[f"b{i}"] = replace(body, phase=BackendPhase(phase))
    assert len(traffic.step().ejected) == 1


def test_new_run_of_a_server_starts_without_evidence():
    # Guards against keeping a server ejected after a restart, which may repair it.
    traffic = SimulatedTraffic(FEWEST_FALSE_EJECTIONS)
    traffic.rates["b3"] = (1.0, 0.0, 0.0)
    traffic.run_s(3)
    assert traffic.decision.ejected == ("b3",)
    traffic.bodies["b3"] = replace(traffic.bodies["b3"], incarnation=2)
    assert traffic.step().ejected == ()
