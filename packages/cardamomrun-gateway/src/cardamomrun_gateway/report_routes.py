"""The instances to which an instance sends load reports and messages."""

from cardamomrun_base.clock import Clock
from cardamomrun_base.interfaces import Fleet
from cardamomrun_base.model import (
    DEFAULT_LINK_MBPS,
    InstanceId,
    MemberBody,
    MemberPhase,
)
from cardamomrun_base.settings import NodeSettings, Role
from cardamomrun_gateway.report_relays import (
    REMOTE_SILENT_MS,
    Address,
    RelaySelector,
    address_of,
    relay_order,
)

__all__ = ["ReportRoutes"]

# Members change over seconds; without this limit each report would read all records.
REFRESH_MS = 250.0


class ReportRoutes:
    """The instances of the own failure domain, and the relay of each domain.

    `local_peers` are the other instances of the own domain, `narrowest_link_mbps` is
    the capacity of their narrowest link. `entry_count` counts the entry instances of
    all domains.
    """

    def __init__(self, settings: NodeSettings, clock: Clock, fleet: Fleet) -> None:
        self.own_address = address_of(settings.published_peer_address)
        self.local_peers: list[Address] = []
        self.narrowest_link_mbps = DEFAULT_LINK_MBPS
        self.entry_count = 1
        self._failure_domain = settings.failure_domain
        self._clock = clock
        self._fleet = fleet
        self._members: list[MemberBody] = []
        self._refreshed_ms = float("-inf")
        self._local_selector = RelaySelector()
        self._remote_selectors: dict[str, RelaySelector] = {}
        self._selectors: dict[Address, RelaySelector] = {}

    def known_entry_ids(self) -> list[InstanceId]:
        """Return the other entry instances, with those considered failed."""
        return [
            member.instance_id
            for member in self._fleet.known_members()
            if Role.ENTRY in member.roles
            and member.instance_id != self._fleet.instance_id
        ]

    @property
    def remote_domain_count(self) -> int:
        """How many other failure domains are known."""
        return len(self._remote_selectors)

    @property
    def relay_candidates(self) -> list[Address]:
        """The other instances of the own domain in the order of preference as relay."""
        return [a for a in self._local_selector.candidates if a != self.own_address]

    def mark_alive(self, address: Address) -> None:
        """Record that a datagram of an instance was received."""
        selector = self._selectors.get(address)
        if selector is not None:
            selector.mark_alive(address, self._clock.now_ms())

    def own_relay(self) -> tuple[Address | None, list[Address]]:
        """Return the relay of this instance, maybe itself, and candidates to ping."""
        now_ms = self._clock.now_ms()
        self._local_selector.mark_alive(self.own_address, now_ms)
        return self._local_selector.pick(now_ms)

    def remote_relays(self) -> tuple[list[Address], list[Address]]:
        """Return the relays of the other domains, and candidates to ping."""
        now_ms = self._clock.now_ms()
        relays: list[Address] = []
        pinged: list[Address] = []
        for selector in self._remote_selectors.values():
            relay, others = selector.pick(now_ms)
            if relay is not None:
                relays.append(relay)
            pinged += others
        return relays, pinged

    def refresh(self) -> None:
        """Update the routes if the members changed; checks once in `REFRESH_MS`."""
        now_ms = self._clock.now_ms()
        if now_ms - self._refreshed_ms < REFRESH_MS:
            return
        self._refreshed_ms = now_ms
        members = self._fleet.members()
        if members != self._members:
            self._members = members
            self._apply_members([m for m in members if m.phase is not MemberPhase.GONE])

    def _apply_members(self, members: list[MemberBody]) -> None:
        self.entry_count = sum(Role.ENTRY in member.roles for member in members)
        by_domain: dict[str, list[MemberBody]] = {}
        for member in members:
            by_domain.setdefault(member.failure_domain, []).append(member)
        own = by_domain.pop(self._failure_domain, [])
        local_members = {address_of(m.peer_address): m.link_mbps for m in own}
        local_members.pop(self.own_address, None)
        self.local_peers = list(local_members)
        self.narrowest_link_mbps = min(
            local_members.values(), default=DEFAULT_LINK_MBPS
        )
        self._local_selector.candidates = relay_order(own)
        self._remote_selectors = {
            domain: self._remote_selectors.get(domain, RelaySelector(REMOTE_SILENT_MS))
            for domain in by_domain
        }
        self._selectors = dict.fromkeys(self.local_peers, self._local_selector)
        for domain, others in by_domain.items():
            selector = self._remote_selectors[domain]
            selector.candidates = relay_order(others)
            self._selectors.update(dict.fromkeys(selector.candidates, selector))
