import random

import pytest

from cardamomrun_gateway.request_mix import RequestMix


@pytest.mark.parametrize(("idempotent_ratio", "has_idempotent"), [(0.02, 0), (0.25, 1)])
def test_idempotent_routes_without_requests_bring_no_trials(
    idempotent_ratio, has_idempotent
):
    """Guards against a service whose suspected servers wait for requests that are rare."""
    mix, rng = RequestMix(), random.Random(1)
    assert mix.has_idempotent("moves")
    for _ in range(100):
        mix.record("moves", is_idempotent=rng.random() < idempotent_ratio)
    seen = 0
    for _ in range(1_000):
        mix.record("moves", is_idempotent=rng.random() < idempotent_ratio)
        seen += mix.has_idempotent("moves") == bool(has_idempotent)
    assert seen >= 950
