"""Selection of the peers to which an instance keeps overlay links."""

from collections.abc import Iterable

from cardamomrun_base.hashing import rank
from cardamomrun_base.model import InstanceId, MemberBody

__all__ = ["select_peers"]

# With fewer peers than this, every peer is linked.
LINK_ALL_BELOW = 6


def select_peers(
    instance_id: InstanceId,
    failure_domain: str,
    candidates: Iterable[MemberBody],
    link_count: int,
) -> set[InstanceId]:
    """Return the peers to link: half in the own failure domain, half outside it.

    Where one half has too few candidates, the other is larger. With fewer than
    `LINK_ALL_BELOW` candidates, all of them are returned.
    """
    domains = {
        body.instance_id: body.failure_domain
        for body in candidates
        if body.instance_id != instance_id
    }
    if len(domains) < LINK_ALL_BELOW:
        return set(domains)
    ranked = rank(instance_id, domains)
    inside = [peer for peer in ranked if domains[peer] == failure_domain]
    outside = [peer for peer in ranked if domains[peer] != failure_domain]
    inside_count = max(link_count // 2, link_count - len(outside))
    chosen = inside[:inside_count]
    return set(chosen + outside[: link_count - len(chosen)])
