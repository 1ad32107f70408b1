"""The subset of servers that an instance uses, balanced over failure domains."""

import math
from collections.abc import Sequence

import xxhash

from cardamomrun_base.model import BackendBody, InstanceId, ServerId

__all__ = ["max_subset_size", "quotas", "choose_subset"]

MASK_64_BITS = 2**64 - 1
# Odd multiplier of the splitmix64 finalizer. It mixes the low bits of the hashed names
# into the high bits, which decide the order.
MIX_MULTIPLIER = 0xBF58476D1CE4E5B9
RANK_MIDDLE = 1 << 64
RANK_LAST = 2 << 64
# Two servers to choose between and one to retry on.
SMALLEST_SUBSET_COUNT = 3
# The number of subsets that hold a server may differ from the mean by this factor times
# the square root of the mean. A larger factor would unbalance the servers, a smaller one
# would move more connections when an instance joins or leaves.
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
    cumulative = 0
    before = math.floor(offset)
    for size in sizes:
        cumulative += size
        # Exact at the end, where a rounding error would lose one.
        share = count if cumulative == total else count * cumulative / total
        after = math.floor(share + offset)
        result.append(after - before)
        before = after
    return result


def max_subset_size(
    servers: Sequence[BackendBody], instance_count: int, connections_per_server: int
) -> int:
    """Return the largest subset size for which the servers' connections suffice.

    At least `SMALLEST_SUBSET_COUNT`, even if the connections do not suffice for it.
    """
    capacity = sum(server.connections for server in servers)
    bound = capacity // max(1, instance_count * connections_per_server)
    return max(SMALLEST_SUBSET_COUNT, bound)


def choose_subset(
    instance_id: InstanceId,
    instance_ids: Sequence[InstanceId],
    servers: Sequence[BackendBody],
    count: int,
) -> frozenset[ServerId]:
    """Return the servers that `instance_id` uses.

    Each instance computes the subsets of all instances in the order of their names. A
    subset gets first the servers that are in clearly fewer earlier subsets than the
    mean, last those that are in clearly more, and otherwise those with the lowest
    rendezvous score. Plain rendezvous hashing would give some servers twice the
    connections of others.
    """
    if count >= len(servers):
        return frozenset(server.server_id for server in servers)
    names = sorted({*instance_ids, instance_id})
    domains = _hash_by_domain(servers)
    sizes = [len(group) for group in domains]
    step = count / len(servers)
    slack = BALANCE_SLACK_FACTOR * math.sqrt(len(names) * step)
    subset_counts: dict[ServerId, int] = {server.server_id: 0 for server in servers}
    for index, name in enumerate(names):
        bounds = (index * step - slack, index * step + slack)
        seed = xxhash.xxh3_64_intdigest(name.encode())
        numbers = quotas(sizes, count, seed / 2**64)
        chosen: list[ServerId] = []
        for group, number in zip(domains, numbers, strict=True):
            chosen += _pick_servers(seed, group, number, subset_counts, bounds)
        if name == instance_id:
            return frozenset(chosen)
        for server_id in chosen:
            subset_counts[server_id] += 1
    raise AssertionError("instance_id is among the names")


def _hash_by_domain(servers: Sequence[BackendBody]) -> list[list[tuple[int, ServerId]]]:
    domains: dict[str, list[tuple[int, ServerId]]] = {}
    for server in sorted(servers, key=lambda server: server.server_id):
        hashed = xxhash.xxh3_64_intdigest(server.server_id.encode())
        group = domains.setdefault(server.failure_domain, [])
        group.append((hashed, server.server_id))
    return [domains[name] for name in sorted(domains)]


def _pick_servers(
    seed: int,
    group: list[tuple[int, ServerId]],
    number: int,
    subset_counts: dict[ServerId, int],
    bounds: tuple[float, float],
) -> list[ServerId]:
    """Return the first `number` servers of a failure domain by rank and score."""
    low, high = bounds
    scored = []
    for hashed, server_id in group:
        count = subset_counts[server_id]
        # The rank is above the bits of the score; the lowest sum comes first.
        rank = 0 if count < low else RANK_LAST if count > high else RANK_MIDDLE
        score = ((seed ^ hashed) * MIX_MULTIPLIER) & MASK_64_BITS
        scored.append((rank | score, server_id))
    scored.sort()
    return [server_id for _, server_id in scored[:number]]
