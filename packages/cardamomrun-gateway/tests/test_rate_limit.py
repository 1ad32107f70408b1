import itertools
import random

import pytest

from cardamomrun_gateway.rate_limit import (
    GRANTED_RATIO,
    Denied,
    Granted,
    PermitBucket,
    ReturnTimes,
)

WINDOW_MS = 4_000.0


def allowed_count(limit_per_s):
    """Return what the platform allows in any 4 s."""
    return 1.5 * limit_per_s * WINDOW_MS / 1_000 + 5


def most_in_window(times_ms):
    times_ms = sorted(times_ms)
    return max(
        sum(start <= at < start + WINDOW_MS for at in times_ms) for start in times_ms
    )


def play(granter_count, limit_per_s, seed, duration_ms=60_000.0, rate_per_s=165.0):
    """Return when permits are used, each request asking one granter, in ms.

    Some granters change in turn, as if instances disagreed on who grants.
    """
    rng = random.Random(seed)
    buckets = [PermitBucket(0.0) for _ in range(granter_count)]
    now_ms, sent_ms = 0.0, []
    while now_ms < duration_ms:
        now_ms += rng.expovariate(rate_per_s / 1_000)
        bucket = rng.choice(buckets)
        is_urgent = rng.random() < 0.7
        result = bucket.take(limit_per_s, now_ms, 125.0, is_urgent=is_urgent)
        if isinstance(result, Granted):
            sent_ms.append(now_ms + result.delay_ms + rng.uniform(0, 20))
    return sent_ms


@pytest.mark.parametrize("limit_per_s", [0.1, 0.5, 1.0, 2.0, 2.2, 5.0, 20.0, 60.0])
@pytest.mark.parametrize("granter_count", [1, 2])
def test_a_limit_holds_while_instances_disagree_on_the_granter(
    limit_per_s, granter_count
):
    for seed in range(3):
        sent_ms = play(granter_count, limit_per_s, seed)
        assert most_in_window(sent_ms) <= allowed_count(limit_per_s)


@pytest.mark.parametrize("limit_per_s", [1.0, 5.0, 20.0])
def test_one_granter_uses_what_it_may_grant(limit_per_s):
    granted_per_s = len(play(1, limit_per_s, seed=1)) / 60.0
    assert granted_per_s >= 0.95 * GRANTED_RATIO * limit_per_s


def test_a_granter_that_takes_over_begins_without_permits():
    bucket = PermitBucket(1_000.0)
    assert isinstance(bucket.take(2.0, 1_000.0, 125.0, is_urgent=True), Denied)


def test_permits_do_not_accumulate_while_a_granter_is_paused():
    bucket = PermitBucket(0.0)
    taken = [bucket.take(2.0, 60_000.0, 0.0, is_urgent=True) for _ in range(5)]
    assert [isinstance(result, Granted) for result in taken] == [True, True] + 3 * [
        False
    ]


def test_urgent_requests_reserve_what_others_must_leave():
    bucket = PermitBucket(0.0)
    # 1.2 permits have accumulated after 80 ms.
    assert isinstance(bucket.take(20.0, 80.0, 125.0, is_urgent=False), Denied)
    assert bucket.take(20.0, 80.0, 125.0, is_urgent=True) == Granted(0.0)
    reserved = bucket.take(20.0, 80.0, 125.0, is_urgent=True)
    assert isinstance(reserved, Granted)
    assert reserved.delay_ms == pytest.approx(800 / 15)
    assert isinstance(bucket.take(20.0, 80.0, 125.0, is_urgent=True), Granted)
    denied = bucket.take(20.0, 80.0, 125.0, is_urgent=True)
    assert isinstance(denied, Denied)
    assert denied.free_in_ms == pytest.approx(2_800 / 15)


def test_refused_requests_return_one_after_the_other_in_their_order():
    times = ReturnTimes(random.Random(1))
    delays_ms = [times.next_delay_ms(0.0, 2.0, 60_000.0) for _ in range(4)]
    assert 0 <= delays_ms[0] <= 500
    assert [b - a for a, b in itertools.pairwise(delays_ms)] == pytest.approx(
        3 * [500.0]
    )


def test_requests_without_time_to_return_take_no_place():
    times = ReturnTimes(random.Random(1))
    first_ms = times.next_delay_ms(0.0, 2.0, 600.0)
    too_late = [times.next_delay_ms(0.0, 2.0, 100.0) for _ in range(5)]
    assert too_late == pytest.approx(5 * [first_ms + 500])
