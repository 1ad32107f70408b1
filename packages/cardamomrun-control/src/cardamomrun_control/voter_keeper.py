"""Maintains the voters without an operator: adds newcomers, replaces lost voters."""

from cardamomrun_base.clock import Clock
from cardamomrun_base.errors import ConflictError
from cardamomrun_base.interfaces import Fleet
from cardamomrun_base.logs import ComponentLog
from cardamomrun_base.model import MemberBody, MemberPhase
from cardamomrun_base.settings import NodeSettings, Role
from cardamomrun_control.agreement import Agreement
from cardamomrun_control.status import Status, VoterStatus

__all__ = ["VoterKeeper"]

OPERATOR = "voter-keeper"

_log = ComponentLog("control")


class VoterKeeper:
    """Changes one voter at a time while this instance leads.

    In this order: a learner that is lost or whose data folder is new is removed; a full
    voter whose data folder is new is removed, since its promises are lost; a lost voter
    is removed if another instance can replace it; and newcomers are added up to
    `voter_count`. A full voter is removed only if a majority of the remaining ones is
    up to date.
    """

    def __init__(
        self, settings: NodeSettings, clock: Clock, fleet: Fleet, agreement: Agreement
    ) -> None:
        assert settings.control is not None
        self._settings = settings.control
        self._instance_id = settings.instance_id
        self._clock = clock
        self._fleet = fleet
        self._agreement = agreement
        self._lost_since_ms: dict[str, float] = {}

    async def maintain(self) -> None:
        """Make at most one change; raises the errors of `Agreement`'s changes."""
        status = self._agreement.status()
        if not status.holds_lease:
            self._lost_since_ms.clear()
            return
        lost = self._find_lost(status)
        wiped = [voter for voter in status.voters if voter.replaced]
        unusable_learners = [voter for voter in (*lost, *wiped) if voter.is_learner]
        if unusable_learners:
            await self._remove(unusable_learners[0], "a learner that is lost")
            return
        if not status.may_change_voters:
            return
        newcomers = self._find_newcomers(status)
        if wiped and self._may_remove(status, wiped[0]):
            await self._remove(wiped[0], "its data folder is new")
        elif lost and newcomers and self._may_remove(status, lost[0]):
            await self._remove(lost[0], "lost, and another instance can replace it")
        elif newcomers and len(status.voters) < self._settings.voter_count:
            await self._add(newcomers[0])

    def _find_lost(self, status: Status) -> list[VoterStatus]:
        """Return the voters that have not responded for `voter_lost_ms`.

        Updates since when each silent voter has not responded.
        """
        now_ms = self._clock.now_ms()
        silent = {
            voter.instance_id: voter
            for voter in status.voters
            if voter.instance_id != self._instance_id and not voter.replaced
            if voter.heard_ms_ago is None
            or voter.heard_ms_ago > self._settings.election_timeout_ms
        }
        self._lost_since_ms = {
            instance_id: self._lost_since_ms.get(instance_id, now_ms)
            for instance_id in silent
        }
        limit_ms = self._settings.voter_lost_ms
        return [
            voter
            for instance_id, voter in silent.items()
            if now_ms - self._lost_since_ms[instance_id] >= limit_ms
        ]

    def _find_newcomers(self, status: Status) -> list[MemberBody]:
        known = {voter.instance_id for voter in status.voters}
        newcomers = [
            member
            for member in self._fleet.members()
            if Role.CONTROL in member.roles and member.instance_id not in known
            if member.phase is MemberPhase.SERVING
        ]
        return sorted(newcomers, key=lambda member: member.instance_id)

    def _may_remove(self, status: Status, voter: VoterStatus) -> bool:
        """Return True if at least 2 full voters remain, most of them caught up."""
        remaining = [
            other
            for other in status.voters
            if other.instance_id != voter.instance_id and not other.is_learner
        ]
        caught_up = sum(other.caught_up for other in remaining)
        return caught_up >= len(remaining) // 2 + 1 and len(remaining) >= 2

    async def _remove(self, voter: VoterStatus, reason: str) -> None:
        _log.warning(f"removing a voter: {reason}", voter=voter.instance_id)
        await self._agreement.remove_voter(OPERATOR, voter.instance_id)

    async def _add(self, member: MemberBody) -> None:
        _log.info("adding a voter", voter=member.instance_id)
        try:
            await self._agreement.add_voter(
                OPERATOR, member.instance_id, member.peer_address
            )
        except ConflictError as error:
            _log.info(f"the voter was not added: {error}", voter=member.instance_id)
