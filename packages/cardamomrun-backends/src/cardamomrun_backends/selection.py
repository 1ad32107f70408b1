"""The subset of servers an instance uses, balanced over servers and failure domains."""

import math
from collections.abc import Sequence

import xxhash

from cardamomrun_base.model import BackendBody, InstanceId, ServerId

__all__ = ["connection_bound", "quotas", "subset"]

MASK_64_BITS = 2**64 - 1
# Odd multiplier of the finalizer of splitmix64; it carries low bits of the hashed names
# into the high ones, which decide the order.
MIX_MULTIPLIER = 0xBF58476D1CE4E5B9
PLACE_MIDDLE = 1 << 64
PLACE_LAST = 2 << 64
# Two servers to compare and one to retry on.
SMALLEST_SUBSET_COUNT = 3
# A server may differ from the mean number of subsets by this factor times the square
# root of the mean. A larger one would unbalance the servers, a smaller one would move
# more connections when an instance joins or leaves.
BALANCE_SLACK_FACTOR = 0.75


def quotas(sizes: Sequence[int], count: int, offset: float) -> list[int]:
    """Divide `count` among groups in proportion to their sizes.

    `offset` in [0, 1) decides the rounding; over uniform offsets each member of each
    group has the same probability (systematic sampling).

    >>> quotas([10, 10, 10], 4, 0.5)
    [1, 2, 1]
    """
    total = sum(sizes)
    result: list[int] = []
    passed = 0
    before = math.floor(offset)
    for size in sizes:
        passed += size
        # The whole count is exact; a rounding error at the end must not lose one.
        share = count if passed == total else count * passed / total
        after = math.floor(share + offset)
        result.append(after - before)
        before = after
    return result


def connection_bound(
    servers: Sequence[BackendBody], instance_count: int, connections_per_server: int
) -> int:
    """Return the largest subset with which the servers' connections suffice."""
    capacity = sum(server.connections for server in servers)
    bound = capacity // max(1, instance_count * connections_per_server)
    return max(SMALLEST_SUBSET_COUNT, bound)


def subset(
    instance_id: InstanceId,
    instance_ids: Sequence[InstanceId],
    servers: Sequence[BackendBody],
    count: int,
) -> frozenset[ServerId]:
    """Return the servers that `instance_id` uses.

    Each instance computes the choices of all: in the order of their names, each takes
    its servers of highest rendezvous score, but first those that are in clearly fewer
    subsets than the mean so far, and last those that are in more. Plain rendezvous
    hashing would load some servers with twice the connections of others.
    """
    if count >= len(servers):
        return frozenset(server.server_id for server in servers)
    names = sorted({*instance_ids, instance_id})
    domains = _by_domain(servers)
    sizes = [len(group) for group in domains]
    step = count / len(servers)
    slack = BALANCE_SLACK_FACTOR * math.sqrt(len(names) * step)
    used: dict[ServerId, int] = {server.server_id: 0 for server in servers}
    for index, name in enumerate(names):
        bounds = (index * step - slack, index * step + slack)
        seed = xxhash.xxh3_64_intdigest(name.encode())
        numbers = quotas(sizes, count, seed / 2**64)
        chosen: list[ServerId] = []
        for group, number in zip(domains, numbers, strict=True):
            chosen += _take(seed, group, number, used, bounds)
        if name == instance_id:
            return frozenset(chosen)
        for server_id in chosen:
            used[server_id] += 1
    raise AssertionError("instance_id is among the names")


def _by_domain(servers: Sequence[BackendBody]) -> list[list[tuple[int, ServerId]]]:
    domains: dict[str, list[tuple[int, ServerId]]] = {}
    for server in sorted(servers, key=lambda server: server.server_id):
        hashed = xxhash.xxh3_64_intdigest(server.server_id.encode())
        group = domains.setdefault(server.failure_domain, [])
        group.append((hashed, server.server_id))
    return [domains[name] for name in sorted(domains)]


def _take(
    seed: int,
    group: list[tuple[int, ServerId]],
    number: int,
    used: dict[ServerId, int],
    bounds: tuple[float, float],
) -> list[ServerId]:
    low, high = bounds
    scored = []
    for hashed, server_id in group:
        count = used[server_id]
        # The place is above the bits of the score; lower comes first.
        place = 0 if count < low else PLACE_LAST if count > high else PLACE_MIDDLE
        score = ((seed ^ hashed) * MIX_MULTIPLIER) & MASK_64_BITS
        scored.append((place | score, server_id))
    scored.sort()
    return [server_id for _, server_id in scored[:number]]
