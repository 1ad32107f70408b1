"""Agreement of the control instances on one log.

Leader election with pre-vote, replication with one task for each peer, snapshots, and
changes of one voter at a time. The rules are those of Raft (Ongaro and Ousterhout,
"In Search of an Understandable Consensus Algorithm", 2014; Ongaro's thesis, sections
4.2, 6.4 and 9.6), with two additions: votes are bound to replica ids, and the first
leader of a new cluster needs the votes of all instances in the settings.
"""

import asyncio
from dataclasses import replace

from cardamomrun_base.clock import MS_PER_S
from cardamomrun_base.model import Kind
from cardamomrun_control.elections import Elections
from cardamomrun_control.following import Following
from cardamomrun_control.messages import (
    AppendRequest,
    IdentityAnswer,
    IdentityRequest,
    Resignation,
    SnapshotChunk,
    VoteRequest,
)
from cardamomrun_control.state import VoterEntry
from cardamomrun_control.status import LEADER_KEY, Status, StatusRequest, VoterStatus

__all__ = ["Agreement", "Status", "VoterStatus"]

# Others that can be reached answer within a round trip of any network it is meant for.
HAND_OVER_MS = 200.0


class Agreement(Elections, Following):
    """One replica of the log and of the state that the log makes.

    Implements `cardamomrun_base.interfaces.Leadership`.
    """

    async def start(self) -> None:
        """Read the log, take part in elections and answer the other replicas."""
        await self._durable.start()
        self._load()
        self._apply_recovered()
        self._fleet.handle(VoteRequest, self._on_vote)
        self._fleet.handle(AppendRequest, self._on_append)
        self._fleet.handle(SnapshotChunk, self._on_chunk)
        self._fleet.handle(IdentityRequest, self._on_identity)
        self._fleet.handle(Resignation, self._on_resignation)
        self._fleet.handle(StatusRequest, self._on_status)
        # A replica that restarts may have promised a leader its lease just before.
        self._hear()
        self._spawn(self._run_elections())

    async def hand_over(self) -> None:
        """Stop leading before a planned stop, so that another one leads at once."""
        told = self._resign() if self.is_leader else []
        if told:
            await asyncio.wait(told, timeout=HAND_OVER_MS / MS_PER_S)

    async def stop(self) -> None:
        """End all tasks and close the log."""
        self._stop_leading("this instance stops")
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._durable.close()

    async def _on_identity(
        self, peer_id: str, request: IdentityRequest
    ) -> IdentityAnswer:
        return IdentityAnswer(self._durable.replica_id)

    def _is_caught_up(self, voter: VoterEntry) -> bool:
        if self._is_own(voter):
            return True
        peer = self._peers.get(voter.instance_id)
        if peer is None:
            return False
        return self._is_heard(peer) and peer.match_index >= self._commit_index

    def status(self) -> Status:
        """Return the voters and whether one of them may be taken away now."""
        leads = self.holds_lease()
        voters = tuple(self._voter_status(voter) for voter in self.voters.entries)
        may_lose_one = None
        may_change = None
        if leads:
            may_change = self._may_change_voters() and not self._has_learner()
            good_count = sum(self._is_caught_up(v) for v in self._counting())
            enough = good_count - 1 >= self._majority_count()
            may_lose_one = enough and may_change
        return Status(
            self._role.value,
            self.term,
            self._leader_id,
            self._durable.last_index,
            self._commit_index,
            leads,
            voters,
            may_lose_one,
            may_change,
            None if self._failure is None else str(self._failure),
        )

    async def status_with_leader(self) -> Status:
        """Return the own status, with what only the leader knows if it answers."""
        own = self.status()
        leader_id = self._leader_id or self._leader_on_record()
        if own.holds_lease or leader_id in (None, self._instance_id):
            return own
        answer = await self._request(leader_id, StatusRequest())
        if not isinstance(answer, Status) or not answer.holds_lease:
            return own
        return replace(
            own,
            voters=answer.voters,
            may_lose_one=answer.may_lose_one,
            may_change_voters=answer.may_change_voters,
        )

    def _leader_on_record(self) -> str | None:
        # An instance with a new data folder refuses the leader's messages, which are
        # meant for its old one, and learns the leader from the record only.
        record = self._fleet.store.get(Kind.LEADER, LEADER_KEY)
        return None if record is None else record.content.instance_id

    async def _on_status(self, peer_id: str, request: StatusRequest) -> Status:
        return self.status()

    def _voter_status(self, voter: VoterEntry) -> VoterStatus:
        peer = self._peers.get(voter.instance_id)
        heard_ms_ago = None
        if peer is not None and peer.acknowledged_ms > float("-inf"):
            heard_ms_ago = round(self._clock.now_ms() - peer.acknowledged_ms, 1)
        return VoterStatus(
            voter.instance_id,
            voter.peer_address,
            voter.is_learner,
            self.is_leader and self._is_caught_up(voter),
            heard_ms_ago,
            peer is not None and peer.refused_replica,
        )
