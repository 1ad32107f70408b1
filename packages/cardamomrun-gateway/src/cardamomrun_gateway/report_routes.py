"""To which instances an instance sends load reports."""

from cardamomrun_base.clock import Clock
from cardamomrun_base.interfaces import Fleet
from cardamomrun_base.model import DEFAULT_LINK_MBPS, MemberBody, MemberPhase
from cardamomrun_base.settings import NodeSettings, Role
from cardamomrun_gateway.report_relays import (
    FAR_SILENT_MS,
    Address,
    RelayChoice,
    address_of,
    relay_order,
)

__all__ = ["ReportRoutes"]

# Members change over seconds; each report would read all records otherwise.
REFRESH_MS = 250.0


class ReportRoutes:
    """The instances of the own failure domain, and the relay of each domain.

    `near` are the other instances of the own domain, `least_link_mbps` the capacity of
    their narrowest link. `entry_count` counts the entry instances of all domains.
    """

    def __init__(self, settings: NodeSettings, clock: Clock, fleet: Fleet) -> None:
        self.own_address = address_of(settings.published_peer_address)
        self.near: list[Address] = []
        self.least_link_mbps = DEFAULT_LINK_MBPS
        self.entry_count = 1
        self._failure_domain = settings.failure_domain
        self._clock = clock
        self._fleet = fleet
        self._members: list[MemberBody] = []
        self._refreshed_ms = float("-inf")
        self._own_relay = RelayChoice()
        self._far_relays: dict[str, RelayChoice] = {}
        self._choices: dict[Address, RelayChoice] = {}

    @property
    def far_domain_count(self) -> int:
        """How many other failure domains are known."""
        return len(self._far_relays)

    @property
    def relay_candidates(self) -> list[Address]:
        """The other instances of the own domain that may relay, the first one first."""
        return [a for a in self._own_relay.candidates if a != self.own_address]

    def heard(self, address: Address) -> None:
        """Note a datagram from an instance."""
        choice = self._choices.get(address)
        if choice is not None:
            choice.heard(address, self._clock.now_ms())

    def own_relay(self) -> tuple[Address | None, list[Address]]:
        """Return the relay of this instance, maybe itself, and candidates to ask."""
        now_ms = self._clock.now_ms()
        self._own_relay.heard(self.own_address, now_ms)
        return self._own_relay.pick(now_ms)

    def far_relays(self) -> tuple[list[Address], list[Address]]:
        """Return the relays of the other domains, and candidates to ask."""
        now_ms = self._clock.now_ms()
        relays: list[Address] = []
        asked: list[Address] = []
        for choice in self._far_relays.values():
            relay, others = choice.pick(now_ms)
            if relay is not None:
                relays.append(relay)
            asked += others
        return relays, asked

    def refresh(self) -> None:
        """Follow the members, at most each `REFRESH_MS`."""
        now_ms = self._clock.now_ms()
        if now_ms - self._refreshed_ms < REFRESH_MS:
            return
        self._refreshed_ms = now_ms
        members = self._fleet.members()
        if members != self._members:
            self._members = members
            self._use([m for m in members if m.phase is not MemberPhase.GONE])

    def _use(self, members: list[MemberBody]) -> None:
        self.entry_count = sum(Role.ENTRY in member.roles for member in members)
        by_domain: dict[str, list[MemberBody]] = {}
        for member in members:
            by_domain.setdefault(member.failure_domain, []).append(member)
        own = by_domain.pop(self._failure_domain, [])
        near = {address_of(m.peer_address): m.link_mbps for m in own}
        near.pop(self.own_address, None)
        self.near = list(near)
        self.least_link_mbps = min(near.values(), default=DEFAULT_LINK_MBPS)
        self._own_relay.candidates = relay_order(own)
        self._far_relays = {
            domain: self._far_relays.get(domain, RelayChoice(FAR_SILENT_MS))
            for domain in by_domain
        }
        self._choices = dict.fromkeys(self.near, self._own_relay)
        for domain, others in by_domain.items():
            choice = self._far_relays[domain]
            choice.candidates = relay_order(others)
            self._choices.update(dict.fromkeys(choice.candidates, choice))
