"""The floor of healthy servers, and which removals it allows (P1)."""

import math
from collections.abc import Iterable

from cardamomrun_base.documents import Floor
from cardamomrun_base.model import ServerId

__all__ = ["allowed_removals", "avoidance_allowance", "floor_count"]

# Keeps the floating-point error of ratio times count from raising the floor by one.
ROUNDING_DIGITS = 9
# A server may be in 20% fewer subsets than the mean (test_selection.py).
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
    healthy_count: int, floor_servers: int, subset_healthy_count: int
) -> int:
    """Return how many servers one instance may avoid on its own evidence.

    Instances do not know what others avoid. Each may therefore avoid only the share of
    its subset that the service can spare, so that the work taken from servers by all
    instances together is at most that of the spare servers. Subsets hold each server
    about, but not exactly, equally often, hence the reserve.

    >>> avoidance_allowance(30, 21, 12)
    2
    >>> avoidance_allowance(6, 5, 6)
    1
    >>> avoidance_allowance(30, 30, 12)
    0
    """
    spare_count = max(0, healthy_count - floor_servers)
    if subset_healthy_count >= healthy_count:
        return spare_count
    share = UNEVEN_SUBSETS_RATIO * spare_count / healthy_count
    return math.floor(share * subset_healthy_count)


def allowed_removals(
    wanted: Iterable[ServerId], healthy: set[ServerId], floor_servers: int
) -> tuple[ServerId, ...]:
    """Return the leading part of `wanted` that keeps `healthy` at the floor.

    Names that are not healthy are left out; they count as removed already.

    >>> allowed_removals(["a", "x", "b"], {"a", "b", "c"}, 2)
    ('a',)
    """
    allowance = max(0, len(healthy) - floor_servers)
    unique = dict.fromkeys(name for name in wanted if name in healthy)
    return tuple(unique)[:allowance]
