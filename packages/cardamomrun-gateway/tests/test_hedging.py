import random

import pytest

from cardamomrun_base.settings import GatewaySettings
from cardamomrun_gateway.hedging import MAX_CREDITS, Hedging
from cardamomrun_gateway.routed_request import RouteTimes

from .builders import route

ROUTE = route(objective_ms=1_200.0)
USUAL_MS = 320.0
SLOW_RATIO = 0.03
SLOW_FACTOR = 7.0


def response_ms(rng):
    """Return a response time: varied, with a few that take several times as long."""
    usual_ms = USUAL_MS * rng.lognormvariate(-0.045, 0.3)
    return usual_ms * (SLOW_FACTOR if rng.random() < SLOW_RATIO else 1)


def play(hedge_ratio, seed, request_count=4_000):
    """Return the times that callers waited, and the number of hedges."""
    rng = random.Random(seed)
    times = RouteTimes()
    hedging = Hedging(GatewaySettings(hedge_ratio=hedge_ratio), times)
    waited_ms, hedge_count = [], 0
    for _ in range(request_count):
        hedging.count_request()
        took_ms, delay_ms = response_ms(rng), hedging.delay_ms(ROUTE)
        if took_ms > delay_ms and hedging.has_credit:
            hedging.take()
            hedge_count += 1
            hedging.record(ROUTE, delay_ms)
            took_ms = min(took_ms, delay_ms + response_ms(rng))
        else:
            hedging.record(ROUTE, took_ms)
        times.record(ROUTE, took_ms)
        waited_ms.append(took_ms)
    return waited_ms, hedge_count


def missed_ratio(waited_ms):
    return sum(ms > ROUTE.objective_ms for ms in waited_ms) / len(waited_ms)


@pytest.mark.parametrize("seed", range(3))
def test_slow_responses_are_cut_within_the_share_of_hedges(seed):
    without, _ = play(0.0, seed)
    hedged, hedge_count = play(0.05, seed)
    assert missed_ratio(without) > 0.02
    assert missed_ratio(hedged) < missed_ratio(without) / 4
    assert hedge_count <= 0.05 * len(hedged) + MAX_CREDITS


def test_no_hedge_starts_with_a_ratio_of_zero():
    assert play(0.0, 1)[1] == 0


def test_when_all_responses_get_slow_hedges_keep_to_their_share():
    times = RouteTimes()
    hedging = Hedging(GatewaySettings(hedge_ratio=0.05), times)
    hedge_count = 0
    for index in range(1_000):
        took_ms = USUAL_MS * (1 if index < 500 else 6)
        hedging.count_request()
        if took_ms > hedging.delay_ms(ROUTE) and hedging.has_credit:
            hedging.take()
            hedge_count += 1
        hedging.record(ROUTE, min(took_ms, hedging.delay_ms(ROUTE)))
        times.record(ROUTE, took_ms)
    assert hedge_count <= 0.05 * 1_000 + MAX_CREDITS


def test_without_a_ratio_an_overdue_attempt_is_hedged_as_before():
    times = RouteTimes()
    hedging = Hedging(GatewaySettings(), times)
    assert hedging.has_credit
    assert hedging.delay_ms(ROUTE) == times.overdue_ms(ROUTE)
