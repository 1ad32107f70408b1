import pytest

from cardamomrun_gateway.server_health import AttemptEnd, ServerHealth

GOOD, RESET, ERROR = AttemptEnd.GOOD, AttemptEnd.RESET, AttemptEnd.ERROR
OVERDUE, UNREACHABLE = AttemptEnd.OVERDUE, AttemptEnd.UNREACHABLE
REFUSED, SHED, NONE = AttemptEnd.REFUSED, AttemptEnd.SHED, AttemptEnd.NO_EVIDENCE

# Ends of attempts in order, and whether the server is suspected after them.
ENDS = {
    "one reset": ([RESET], True),
    "one refused connection": ([REFUSED], True),
    "one broken off": ([AttemptEnd.BROKEN_OFF], False),
    "one error": ([ERROR], False),
    "two errors": ([ERROR, ERROR], True),
    "two errors with one good response between": ([ERROR, GOOD, ERROR], True),
    "two errors with two good responses between": ([ERROR, GOOD, GOOD, ERROR], False),
    "one overdue": ([OVERDUE], False),
    "two overdue": ([OVERDUE, OVERDUE], True),
    "two instances cannot reach it": ([UNREACHABLE] * 2, False),
    "three instances cannot reach it": ([UNREACHABLE] * 3, True),
    "full": ([SHED] * 5, False),
    "without evidence": ([NONE] * 5, False),
    "one good after a reset": ([RESET, GOOD], True),
    "three good after a reset": ([RESET, GOOD, GOOD, GOOD], True),
    "four good after a reset": ([RESET, *[GOOD] * 4], False),
    "good ones not in a row": ([RESET, GOOD, RESET, GOOD], True),
}


@pytest.mark.parametrize("name", ENDS)
def test_suspicion_follows_the_ends_of_attempts(name):
    """Guards against suspicion after one error and trust after one good response."""
    ends, is_suspected = ENDS[name]
    health = ServerHealth()
    for index, end in enumerate(ends):
        health.record_end(end, 100.0 * index, 100.0 * index + 50)
    assert health.is_suspected is is_suspected


def test_successes_of_earlier_attempts_do_not_end_a_suspicion():
    """Guards against trust by requests accepted before the server became faulty."""
    health = ServerHealth()
    health.record_end(RESET, 1_000, 1_001)
    for _ in range(5):
        health.record_end(GOOD, 900, 1_200)
    assert health.is_suspected


def test_failures_of_earlier_attempts_do_not_delay_a_trial():
    health = ServerHealth()
    health.record_end(RESET, 1_000, 1_001)
    due_ms = health.trial_due_ms
    health.record_end(RESET, 999, 1_002)
    assert health.trial_due_ms == due_ms


def test_trials_become_rarer_up_to_a_limit():
    """Guards against a long outage that uses up the retry budget."""
    health = ServerHealth()
    health.record_end(RESET, 0, 1)
    pauses = []
    for _ in range(8):
        start_ms = health.trial_due_ms
        health.record_end(RESET, start_ms, start_ms + 1)
        pauses.append(health.trial_due_ms - start_ms - 1)
    assert pauses == sorted(pauses)
    assert pauses[0] < pauses[-1] == pauses[-2]


def test_a_good_trial_allows_the_next_one_at_once():
    health = ServerHealth()
    health.record_end(RESET, 0, 1)
    health.record_end(GOOD, 500, 800)
    assert health.is_suspected
    assert health.trial_due_ms <= 800


def test_the_success_ratio_follows_recent_ends_and_recovers():
    health = ServerHealth()
    assert health.success_ratio(0) == 1.0
    for _ in range(5):
        health.record_end(RESET, 0, 1)
    assert health.success_ratio(1) < 0.2
    assert health.success_ratio(20_000) > 0.9
    for index in range(20):
        health.record_end(GOOD, 10 + index, 20 + index)
    assert health.success_ratio(40) > 0.75


def test_a_server_that_sheds_is_left_alone_for_longer_each_time():
    health = ServerHealth()
    until_ms = []
    now_ms = 1_000.0
    for _ in range(5):
        health.record_end(AttemptEnd.SHED, now_ms, now_ms + 1)
        # An attempt begun before the refusal was known extends the pause only.
        health.record_end(AttemptEnd.SHED, now_ms, now_ms + 2)
        assert health.is_shedding(now_ms + 3)
        assert not health.is_suspected
        until_ms.append(health.shed_until_ms - now_ms)
        now_ms = health.shed_until_ms + 1
    assert until_ms == [502.0, 1_002.0, 2_002.0, 4_002.0, 4_002.0]
    assert health.is_shedding(now_ms, spread_ratio=0.5)
    now_ms += 9_000
    health.record_end(AttemptEnd.SHED, now_ms, now_ms + 1)
    assert health.shed_until_ms == now_ms + 501
