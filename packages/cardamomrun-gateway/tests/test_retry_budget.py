from cardamomrun_base.clock import ManualClock
from cardamomrun_base.settings import GatewaySettings
from cardamomrun_gateway.fleet_load import ServiceCount
from cardamomrun_gateway.retry_budget import RetryBudget

from .builders import load_of

KEY = 7


def budget(**changes):
    clock = ManualClock(50_000.0)
    settings = GatewaySettings(retry_slack_count=20, **changes)
    return RetryBudget(settings, clock), clock


def spend(budget):
    count = 0
    while budget.may_repeat(KEY) and count < 1_000:
        budget.count(KEY, 0, 1)
        count += 1
    return count


def test_the_budget_grows_with_the_requests_of_the_window():
    few, _ = budget()
    many, _ = budget()
    few.count(KEY, 10, 0)
    many.count(KEY, 500, 0)
    assert spend(few) <= 0.2 * 10 + 20
    assert 80 <= spend(many) <= 0.2 * 500 + 20


def test_attempts_of_other_instances_use_the_same_budget():
    """Guards against 44 instances that each spend the whole budget."""
    shared, _ = budget()
    shared.count(KEY, 100, 0)
    shared.take(load_of("e2", 1, counts=[ServiceCount(KEY, 100, 0)]))
    shared.take(load_of("e2", 2, counts=[ServiceCount(KEY, 200, 39)]))
    assert spend(shared) <= 0.2 * 200 + 20 - 39


def test_what_was_counted_before_an_instance_was_heard_of_is_not_recent():
    shared, _ = budget()
    shared.count(KEY, 100, 0)
    shared.take(load_of("e2", 9, counts=[ServiceCount(KEY, 9_000, 900)]))
    assert shared.may_repeat(KEY)


def test_old_attempts_leave_the_window():
    shared, clock = budget()
    shared.count(KEY, 100, 0)
    spend(shared)
    clock.advance_ms(10_001)
    shared.count(KEY, 100, 0)
    assert shared.may_repeat(KEY)
