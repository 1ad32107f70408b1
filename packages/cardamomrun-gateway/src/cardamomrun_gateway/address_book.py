"""Front addresses of the entry instances that clients are given."""

import random

from cardamomrun_base.clock import Clock
from cardamomrun_base.interfaces import Fleet
from cardamomrun_base.model import MemberBody, MemberPhase
from cardamomrun_base.settings import GatewaySettings, NodeSettings, Role
from cardamomrun_gateway.fleet_load import FleetLoad
from cardamomrun_gateway.paths import OwnPaths, PeerPaths

__all__ = ["EntryAddresses"]

# An instance that has missed this many reports has failed or is unreachable.
MISSED_REPORTS_COUNT = 3
# With fewer instances of its own failure domain, a client gets those of others too.
MIN_LOCAL_COUNT = 2
MAX_ADDRESS_COUNT = 64


class EntryAddresses:
    """Lists the instances that serve clients, by their records and load reports.

    An instance counts as failed if others of its failure domain have reported since and
    it has not. A whole domain without reports is probably unreachable from here, so its
    instances that reported last stay listed.
    """

    def __init__(
        self,
        settings: NodeSettings,
        clock: Clock,
        fleet: Fleet,
        load: FleetLoad,
        paths: OwnPaths,
        peers: PeerPaths,
        randomness: random.Random | None = None,
    ) -> None:
        self._settings = settings
        self._own_id = settings.instance_id
        self._gateway = settings.gateway or GatewaySettings()
        self._clock = clock
        self._fleet = fleet
        self._load = load
        self._paths = paths
        self._peers = peers
        self._random = randomness or random.Random()

    def addresses(self, failure_domain: str) -> list[str]:
        """Return front addresses for a client in random order.

        Those of its failure domain if there are `MIN_LOCAL_COUNT`, else all; at most
        `MAX_ADDRESS_COUNT`.
        """
        serving = [member for member in self._fleet.members() if _serves(member)]
        members = self._reaching(self._alive(serving))
        local = [m for m in members if m.failure_domain == failure_domain]
        chosen = local if len(local) >= MIN_LOCAL_COUNT else members
        self._random.shuffle(chosen)
        return [member.front_address for member in chosen[:MAX_ADDRESS_COUNT]]

    def _reaching(self, members: list[MemberBody]) -> list[MemberBody]:
        """Return the instances that reach servers as far as is known; all if none do."""
        reaching = [
            member
            for member in members
            if not self._peers.has_lost_paths(member)
            and not (self._paths.are_lost and member.instance_id == self._own_id)
        ]
        return reaching or members

    def _alive(self, members: list[MemberBody]) -> list[MemberBody]:
        seen_ms = {m.instance_id: self._last_seen_ms(m) for m in members}
        domain_seen_ms: dict[str, float] = {}
        for member in members:
            domain = member.failure_domain
            domain_seen_ms[domain] = max(
                domain_seen_ms.get(domain, float("-inf")), seen_ms[member.instance_id]
            )
        limit_ms = self._gateway.report_idle_ms * MISSED_REPORTS_COUNT
        return [
            member
            for member in members
            if seen_ms[member.instance_id]
            >= domain_seen_ms[member.failure_domain] - limit_ms
        ]

    def _last_seen_ms(self, member: MemberBody) -> float:
        seen_ms = self._load.last_seen_ms(member.instance_id)
        return float("-inf") if seen_ms is None else seen_ms


def _serves(member: MemberBody) -> bool:
    return member.phase is MemberPhase.SERVING and Role.ENTRY in member.roles
