"""Changes of the voters, one at a time (Ongaro's thesis, section 4.2)."""

from collections.abc import Iterable
from dataclasses import replace

from cardamomrun_base.errors import ConflictError, PeerTimeoutError, UnavailableError
from cardamomrun_base.logs import ComponentLog
from cardamomrun_control.messages import IdentityRequest, IdentityResponse
from cardamomrun_control.progress import Progress
from cardamomrun_control.proposals import Proposals
from cardamomrun_control.state import ChangeVoters, VoterEntry, Voters

__all__ = ["VoterChanges"]

_log = ComponentLog("control")


class VoterChanges(Proposals):
    """Adds and removes voters, and promotes learners that have caught up."""

    async def add_voter(
        self, operator: str, instance_id: str, peer_address: str
    ) -> Voters:
        """Add an instance as a learner, which is promoted once it has caught up."""
        self._check_leader()
        self._check_no_pending_change()
        if self._find_voter(instance_id) is not None:
            raise ConflictError(
                f"{instance_id} is a voter already.",
                remedy="to replace one that lost its data folder, remove it first",
            )
        self._fleet.add_address(instance_id, peer_address)
        response = await self._request(instance_id, IdentityRequest())
        if not isinstance(response, IdentityResponse):
            raise PeerTimeoutError(
                f"{instance_id} at {peer_address} does not answer.",
                remedy="start it with the role control, then add it again",
            )
        learner = VoterEntry(instance_id, peer_address, response.replica_id, True)
        entries = (*self.voters.entries, learner)
        return await self._change_voters(operator, f"add {instance_id}", entries)

    async def is_reachable(self, instance_id: str, peer_address: str) -> bool:
        """Return True if an instance at this address answers soon."""
        self._fleet.add_address(instance_id, peer_address)
        response = await self._request(instance_id, IdentityRequest())
        return isinstance(response, IdentityResponse)

    async def remove_voter(self, operator: str, instance_id: str) -> Voters:
        """Remove an instance from the voters."""
        self._check_leader()
        voter = self._find_voter(instance_id)
        if voter is None:
            raise ConflictError(
                f"{instance_id} is not a voter.", remedy="check the name"
            )
        if not voter.is_learner:
            self._check_no_pending_change()
        entries = tuple(v for v in self.voters.entries if v != voter)
        if all(entry.is_learner for entry in entries):
            raise ConflictError(
                f"{instance_id} is the last voter.", remedy="add another voter first"
            )
        return await self._change_voters(operator, f"remove {instance_id}", entries)

    def _check_no_pending_change(self) -> None:
        if self._has_learner() or not self._may_change_voters():
            raise ConflictError(
                "Another change of voters is not finished.",
                remedy="wait until GET /v1/control shows may_change_voters",
            )

    def _has_learner(self) -> bool:
        return any(voter.is_learner for voter in self.voters.entries)

    def _may_change_voters(self) -> bool:
        index, _ = self._voter_sets[-1]
        # This leader's term must have a committed entry, otherwise two leaders could
        # change the same set of voters in different ways.
        return self._commit_index >= max(index, self._term_start_index)

    async def _change_voters(
        self, operator: str, action: str, entries: Iterable[VoterEntry]
    ) -> Voters:
        if not self._may_change_voters():
            self._check_no_pending_change()
        voters = Voters(self.voters.cluster_id, tuple(entries))
        command = ChangeVoters(operator, self._clock.wall_ms(), action, voters)
        result = await self.propose(command)
        full_ids = [v.instance_id for v in voters.entries if not v.is_learner]
        _log.info(f"changed the voters: {action}", full_voters=full_ids)
        return result

    def _start_learner_promotion(self) -> None:
        running = self._learner_task is not None and not self._learner_task.done()
        if self._has_learner() and not running:
            self._learner_task = self._spawn(self._promote_learner())

    async def _promote_learner(self) -> None:
        """Make a learner a full voter once it holds all committed entries durably."""
        if not self.holds_lease() or not self._may_change_voters():
            return
        for voter in self.voters.entries:
            peer = self._peers.get(voter.instance_id)
            if not voter.is_learner or peer is None:
                continue
            if peer.match_index < self._commit_index:
                continue
            if not self._is_responsive(peer):
                continue
            entries = tuple(
                replace(v, is_learner=False) if v == voter else v
                for v in self.voters.entries
            )
            try:
                await self._change_voters("", f"count {voter.instance_id}", entries)
            except UnavailableError as error:
                _log.warning(str(error))
            return

    def _is_responsive(self, peer: Progress) -> bool:
        since_ms = self._clock.now_ms() - peer.acknowledged_ms
        return since_ms < self._settings.election_timeout_ms
