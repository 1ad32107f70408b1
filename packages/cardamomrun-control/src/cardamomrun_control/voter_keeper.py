"""Maintains the voters without an operator: adds newcomers, removes lost voters."""

import asyncio

from cardamomrun_base.clock import Clock
from cardamomrun_base.errors import ConflictError
from cardamomrun_base.interfaces import Fleet
from cardamomrun_base.logs import ComponentLog
from cardamomrun_base.model import InstanceId, MemberBody, MemberPhase
from cardamomrun_base.settings import NodeSettings, Role
from cardamomrun_control.agreement import Agreement
from cardamomrun_control.status import Status, VoterStatus

__all__ = ["VoterKeeper"]

OPERATOR = "voter-keeper"
# Any two of this many voters may be lost. Smaller sets keep lost voters unless that costs
# them the loss of another one.
SAFE_VOTER_COUNT = 5
# Candidates that are asked at the same time whether they answer.
ASKED_COUNT = 3
# A candidate that did not answer, or did not catch up, is not tried again before.
RETRY_MS = 2_000

_log = ComponentLog("control")


class VoterKeeper:
    """Changes one voter at a time while this instance leads.

    In this order: a learner that is lost or whose data folder is new is removed; a full
    voter whose data folder is new is removed, since its promises are lost; a lost voter
    is removed if the others tolerate at least as many further losses without it; and a
    newcomer is added while fewer than `voter_count` voters are not lost. A full voter is
    removed only if a majority of the remaining ones is up to date.
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
        self._retry_due_ms: dict[InstanceId, float] = {}

    async def maintain(self) -> None:
        """Make at most one change; raises the errors of `Agreement`'s changes."""
        status = self._agreement.status()
        if not status.holds_lease:
            return
        lost = [voter for voter in status.voters if self._is_lost(voter)]
        wiped = [voter for voter in status.voters if voter.replaced]
        unusable_learners = [voter for voter in (*lost, *wiped) if voter.is_learner]
        if unusable_learners:
            await self._remove(unusable_learners[0], "a learner that is lost")
            return
        if not status.may_change_voters:
            return
        if wiped and self._may_remove(status, wiped[0]):
            await self._remove(wiped[0], "its data folder is new")
        elif lost and self._may_remove_lost(status, lost[0]):
            await self._remove(lost[0], "lost, and the others tolerate more without it")
        elif len(status.voters) - len(lost) < self._settings.voter_count:
            await self._add_newcomer(status)

    def _is_lost(self, voter: VoterStatus) -> bool:
        """Return True if a voter is silent for too long, or silent and known to be down.

        Membership counts a failure from when the first instances noticed it, so that it
        outlasts a change of leader, after which a leader counts the silence anew.
        """
        if voter.instance_id == self._instance_id or voter.replaced:
            return False
        silence_ms = self._agreement.silence_ms(voter.instance_id)
        if silence_ms < self._settings.election_timeout_ms:
            return False
        if voter.is_learner or silence_ms >= self._settings.voter_lost_ms:
            return True
        alive = {member.instance_id for member in self._fleet.members()}
        return voter.instance_id not in alive

    def _may_remove(self, status: Status, voter: VoterStatus) -> bool:
        """Return True if at least 2 full voters remain, most of them caught up."""
        remaining = [
            other
            for other in status.voters
            if other.instance_id != voter.instance_id and not other.is_learner
        ]
        caught_up = sum(other.caught_up for other in remaining)
        return caught_up >= len(remaining) // 2 + 1 and len(remaining) >= 2

    def _may_remove_lost(self, status: Status, voter: VoterStatus) -> bool:
        """Return True if the others tolerate enough further losses without the voter.

        The majority of an even number of voters is one less without a lost voter, that
        of an odd number is not.
        """
        count = sum(not other.is_learner for other in status.voters)
        is_enough = count % 2 == 0 or count > SAFE_VOTER_COUNT
        return is_enough and self._may_remove(status, voter)

    async def _remove(self, voter: VoterStatus, reason: str) -> None:
        silence_ms = self._agreement.silence_ms(voter.instance_id)
        _log.warning(
            f"removing a voter: {reason}",
            voter=voter.instance_id,
            silence_ms=round(silence_ms),
        )
        if not voter.replaced:
            self._postpone(voter.instance_id)
        await self._agreement.remove_voter(OPERATOR, voter.instance_id)

    def _postpone(self, instance_id: InstanceId) -> None:
        self._retry_due_ms[instance_id] = self._clock.now_ms() + RETRY_MS

    def _find_newcomers(self, status: Status) -> list[MemberBody]:
        """Return the instances that may become voters, the latest starts first.

        Membership lists an instance that was lost for several seconds; a machine that
        has just started is more likely to answer.
        """
        now_ms = self._clock.now_ms()
        self._retry_due_ms = {
            instance_id: due_ms
            for instance_id, due_ms in self._retry_due_ms.items()
            if due_ms > now_ms
        }
        excluded = {voter.instance_id for voter in status.voters}
        excluded |= self._retry_due_ms.keys()
        newcomers = [
            member
            for member in self._fleet.members()
            if Role.CONTROL in member.roles and member.instance_id not in excluded
            if member.phase is MemberPhase.SERVING
        ]
        return sorted(
            newcomers, key=lambda member: (-member.incarnation, member.instance_id)
        )

    async def _add_newcomer(self, status: Status) -> None:
        """Add the first newcomer that answers."""
        asked = {
            asyncio.create_task(
                self._agreement.is_reachable(member.instance_id, member.peer_address)
            ): member
            for member in self._find_newcomers(status)[:ASKED_COUNT]
        }
        waiting = set(asked)
        try:
            while waiting:
                done, waiting = await asyncio.wait(
                    waiting, return_when=asyncio.FIRST_COMPLETED
                )
                for task in done:
                    if task.result():
                        await self._add(asked[task])
                        return
                    self._postpone(asked[task].instance_id)
        finally:
            for task in waiting:
                task.cancel()

    async def _add(self, member: MemberBody) -> None:
        _log.info("adding a voter", voter=member.instance_id)
        try:
            await self._agreement.add_voter(
                OPERATOR, member.instance_id, member.peer_address
            )
        except ConflictError as error:
            _log.info(f"the voter was not added: {error}", voter=member.instance_id)
