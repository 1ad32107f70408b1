"""Which entry instances share the quotas, and which one is the token server of each."""

import heapq

from cardamomrun_base.clock import Clock
from cardamomrun_base.hashing import score
from cardamomrun_base.interfaces import Fleet
from cardamomrun_base.model import MemberBody, MemberPhase
from cardamomrun_base.settings import Role
from cardamomrun_gateway.fleet_load import FleetLoad
from cardamomrun_gateway.quota_bucket import FleetShare

__all__ = ["QuotaMembers"]

# An instance without a report for this long is unreachable. The fleet's membership needs
# several seconds, in which both parts of a partitioned fleet would grant.
SILENT_MS = 1_000.0
REFRESH_MS = 250.0
# A question shows that another instance knows newer members; refreshing for each one
# would read all records each time.
FORCED_REFRESH_MS = 20.0


class QuotaMembers:
    """The entry instances as this one sees them.

    `share` is how many of them it reaches. `changed_ms` is when the possible token
    servers last changed, and `change_count` how often they did.
    """

    def __init__(self, clock: Clock, fleet: Fleet, load: FleetLoad) -> None:
        self._clock = clock
        self._fleet = fleet
        self._load = load
        self._refreshed_ms = float("-inf")
        self._candidates: dict[str, MemberBody] = {}
        self._granters: dict[int, list[MemberBody]] = {}
        self.share = FleetShare(1, 1)
        self.changed_ms = clock.now_ms()
        self.change_count = 0

    def refresh(self, *, is_forced: bool = False) -> None:
        """Update the members if the last time was long enough ago."""
        now_ms = self._clock.now_ms()
        min_age_ms = FORCED_REFRESH_MS if is_forced else REFRESH_MS
        if now_ms - self._refreshed_ms < min_age_ms:
            return
        self._refreshed_ms = now_ms
        alive = {member.instance_id for member in self._fleet.members()}
        known_count = reached_count = 1
        candidates = {}
        for member in self._fleet.known_members():
            if Role.ENTRY not in member.roles:
                continue
            is_own = member.instance_id == self._fleet.instance_id
            is_reached = is_own or (
                member.instance_id in alive and self._is_heard(member, now_ms)
            )
            if not is_own and (is_reached or member.phase is not MemberPhase.LEAVING):
                # One that was leaving and is silent has ended.
                known_count += 1
                reached_count += is_reached
            if is_reached and member.phase is MemberPhase.SERVING:
                candidates[member.instance_id] = member
        self.share = FleetShare(reached_count, known_count)
        if candidates.keys() != self._candidates.keys():
            self.changed_ms = now_ms
            self.change_count += 1
        if candidates != self._candidates:
            self._candidates = candidates
            self._granters = {}

    def granter(self, key: int) -> MemberBody | None:
        """Return the token server of an organisation; None if no instance serves."""
        return next(iter(self._first_two(key)), None)

    def deputy(self, key: int) -> MemberBody | None:
        """Return the instance that would replace the token server; None if none does."""
        first_two = self._first_two(key)
        return first_two[1] if len(first_two) > 1 else None

    def is_granter(self, key: int) -> bool:
        """Return True if this instance is the token server of an organisation."""
        granter = self.granter(key)
        return granter is not None and granter.instance_id == self._fleet.instance_id

    def is_deputy(self, key: int) -> bool:
        """Return True if this instance would replace the token server."""
        deputy = self.deputy(key)
        return deputy is not None and deputy.instance_id == self._fleet.instance_id

    def _first_two(self, key: int) -> list[MemberBody]:
        if key not in self._granters:
            self._granters[key] = heapq.nlargest(
                2,
                self._candidates.values(),
                key=lambda member: (
                    score(str(key), member.instance_id),
                    member.instance_id,
                ),
            )
        return self._granters[key]

    def _is_heard(self, member: MemberBody, now_ms: float) -> bool:
        seen_ms = self._load.last_seen_ms(member.instance_id)
        return seen_ms is not None and now_ms - seen_ms <= SILENT_MS
