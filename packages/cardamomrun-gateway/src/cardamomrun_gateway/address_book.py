"""The addresses that callers are told to use."""

import random

from cardamomrun_base.clock import Clock
from cardamomrun_base.interfaces import Fleet
from cardamomrun_base.model import MemberBody, MemberPhase
from cardamomrun_base.settings import GatewaySettings, NodeSettings, Role
from cardamomrun_gateway.fleet_load import FleetLoad

__all__ = ["AddressBook"]

# An instance that has missed this many reports is frozen, cut off or dead.
MISSED_REPORTS_COUNT = 3
# Below this many instances of its own failure domain a caller is told of others too.
NEAR_COUNT = 2
MAX_ADDRESS_COUNT = 64


class AddressBook:
    """Knows which instances serve callers, by their records and their load reports.

    An instance is taken as dead if the others of its failure domain are heard and it
    is not. Silence of a whole domain says more about the path to it, so the instances
    heard last are named on.
    """

    def __init__(
        self,
        settings: NodeSettings,
        clock: Clock,
        fleet: Fleet,
        load: FleetLoad,
        randomness: random.Random | None = None,
    ) -> None:
        self._settings = settings
        self._gateway = settings.gateway or GatewaySettings()
        self._clock = clock
        self._fleet = fleet
        self._load = load
        self._random = randomness or random.Random()

    def addresses(self, failure_domain: str) -> list[str]:
        """Return front addresses for a caller, those of its failure domain if any."""
        serving = [member for member in self._fleet.members() if _serves(member)]
        members = self._alive(serving)
        near = [m for m in members if m.failure_domain == failure_domain]
        chosen = near if len(near) >= NEAR_COUNT else members
        self._random.shuffle(chosen)
        return [member.front_address for member in chosen[:MAX_ADDRESS_COUNT]]

    def _alive(self, members: list[MemberBody]) -> list[MemberBody]:
        heard_ms = {m.instance_id: self._heard_ms(m) for m in members}
        last_ms: dict[str, float] = {}
        for member in members:
            domain = member.failure_domain
            last_ms[domain] = max(
                last_ms.get(domain, float("-inf")), heard_ms[member.instance_id]
            )
        limit_ms = self._gateway.report_idle_ms * MISSED_REPORTS_COUNT
        return [
            member
            for member in members
            if heard_ms[member.instance_id] >= last_ms[member.failure_domain] - limit_ms
        ]

    def _heard_ms(self, member: MemberBody) -> float:
        heard_ms = self._load.heard_ms(member.instance_id)
        return float("-inf") if heard_ms is None else heard_ms


def _serves(member: MemberBody) -> bool:
    return member.phase is MemberPhase.SERVING and Role.ENTRY in member.roles
