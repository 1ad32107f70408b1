"""The floor of healthy servers and the removals that it allows (P1)."""

import math
from collections.abc import Iterable

from cardamomrun_base.documents import Floor
from cardamomrun_base.model import ServerId

__all__ = ["allowed_removals", "avoidance_allowance", "floor_count"]

# Keeps the floating-point error of ratio times count from raising the floor by one.
ROUNDING_DIGITS = 9
# The smallest number of subsets that hold a server, as a share of the mean
# (test_selection.py).
UNEVEN_SUBSETS_RATIO = 0.8


def floor_count(floor: Floor, announced_count: int) -> int:
    """Return the smallest allowed number of healthy servers.

    >>> floor_count(Floor(healthy_ratio=0.7, healthy_count=1), 10)
    7
    >>> floor_count(Floor(healthy_ratio=0.07, healthy_count=1), 100)
    7
    >>> floor_count(Floor(healthy_ratio=0.0, healthy_count=3), 10)
    3
    """
    share = math.ceil(round(floor.healthy_ratio * announced_count, ROUNDING_DIGITS))
    return max(floor.healthy_count, share)


def avoidance_allowance(
    healthy_count: int, min_healthy_count: int, subset_healthy_count: int
) -> int:
    """Return how many servers one instance may avoid on its own evidence.

    Instances do not know what others avoid. Each may therefore avoid only the share of
    its subset that the service can spare, so that all instances together take at most
    the work of the spare servers away. Subsets do not hold each server exactly equally
    often, so `UNEVEN_SUBSETS_RATIO` is kept in reserve.

    >>> avoidance_allowance(30, 21, 12)
    2
    >>> avoidance_allowance(6, 5, 6)
    1
    >>> avoidance_allowance(30, 30, 12)
    0
    """
    spare_count = max(0, healthy_count - min_healthy_count)
    if subset_healthy_count >= healthy_count:
        return spare_count
    share = UNEVEN_SUBSETS_RATIO * spare_count / healthy_count
    return math.floor(share * subset_healthy_count)


def allowed_removals(
    wanted: Iterable[ServerId], healthy: set[ServerId], min_healthy_count: int
) -> tuple[ServerId, ...]:
    """Return the first servers of `wanted` whose removal keeps `healthy` at the floor.

    Servers of `wanted` that are not in `healthy` are skipped: they are removed already.

    >>> allowed_removals(["a", "x", "b"], {"a", "b", "c"}, 2)
    ('a',)
    """
    allowance = max(0, len(healthy) - min_healthy_count)
    unique = dict.fromkeys(name for name in wanted if name in healthy)
    return tuple(unique)[:allowance]
