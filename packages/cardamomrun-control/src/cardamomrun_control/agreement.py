"""Raft consensus of the control instances on one log.

Leader election with pre-vote, replication with one task for each peer, snapshots, and
changes of one voter at a time. The rules are those of Raft (Ongaro and Ousterhout,
"In Search of an Understandable Consensus Algorithm", 2014; Ongaro's thesis, sections
4.2, 6.4 and 9.6), with two additions: votes are bound to replica ids, and the first
leader of a new cluster needs the votes of all instances in the settings.
"""

import asyncio
from dataclasses import replace

from cardamomrun_base.clock import MS_PER_S
from cardamomrun_base.model import RecordKind
from cardamomrun_control.elections import Elections
from cardamomrun_control.following import Following
from cardamomrun_control.messages import (
    AppendRequest,
    IdentityRequest,
    IdentityResponse,
    Resignation,
    SnapshotChunk,
    VoteRequest,
)
from cardamomrun_control.state import VoterEntry
from cardamomrun_control.status import LEADER_KEY, Status, StatusRequest, VoterStatus

__all__ = ["Agreement", "Status", "VoterStatus"]

# Longer than a round trip on any supported network, so that reachable peers respond.
HAND_OVER_TIMEOUT_MS = 200.0


class Agreement(Elections, Following):
    """A Raft replica: the log, and the control state that results from applying it.

    Implements `cardamomrun_base.interfaces.Leadership`.
    """

    async def start(self) -> None:
        """Read the log, take part in elections and handle peers' messages."""
        await self._durable_log.start()
        self._load()
        self._apply_recovered()
        self._fleet.handle(VoteRequest, self._on_vote)
        self._fleet.handle(AppendRequest, self._on_append)
        self._fleet.handle(SnapshotChunk, self._on_chunk)
        self._fleet.handle(IdentityRequest, self._on_identity)
        self._fleet.handle(Resignation, self._on_resignation)
        self._fleet.handle(StatusRequest, self._on_status)
        # Before the restart this replica may have acknowledged a leader, whose lease
        # still holds. Counting the start as contact keeps it from voting until then.
        self._record_leader_contact()
        self._spawn(self._run_elections())

    async def hand_over(self) -> None:
        """Stop leading before a planned stop, and tell the others to elect a leader."""
        notices = self._resign() if self.is_leader else []
        if notices:
            await asyncio.wait(notices, timeout=HAND_OVER_TIMEOUT_MS / MS_PER_S)

    async def stop(self) -> None:
        """End all tasks and close the log."""
        self._stop_leading("this instance stops")
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._durable_log.close()

    async def _on_identity(
        self, peer_id: str, request: IdentityRequest
    ) -> IdentityResponse:
        return IdentityResponse(self._durable_log.replica_id)

    def _is_caught_up(self, voter: VoterEntry) -> bool:
        if self._is_own(voter):
            return True
        peer = self._peers.get(voter.instance_id)
        if peer is None:
            return False
        return self._is_responsive(peer) and peer.match_index >= self._commit_index

    def silence_ms(self, instance_id: str) -> float:
        """Return for how long a voter has not acknowledged a request of this leader.

        That is 0 for this instance, and counted from the last message of the voter that
        led before. Raises `KeyError` if the instance is no voter or this one not the
        leader.
        """
        if instance_id == self._instance_id:
            return 0.0
        peer = self._peers[instance_id]
        heard_ms = max(peer.acknowledged_ms, peer.silent_since_ms)
        return self._clock.now_ms() - heard_ms

    def status(self) -> Status:
        """Return this instance's status and the voters as it sees them."""
        holds_lease = self.holds_lease()
        voters = tuple(self._voter_status(voter) for voter in self.voters.entries)
        may_lose_one = None
        may_change = None
        if holds_lease:
            may_change = self._may_change_voters() and not self._has_learner()
            caught_up_count = sum(self._is_caught_up(v) for v in self._non_learners())
            has_spare = caught_up_count - 1 >= self._majority_count()
            may_lose_one = has_spare and may_change
        return Status(
            self._role.value,
            self.term,
            self._leader_id,
            self._durable_log.last_index,
            self._commit_index,
            holds_lease,
            voters,
            may_lose_one,
            may_change,
            None if self._failure is None else str(self._failure),
        )

    async def status_with_leader(self) -> Status:
        """Return this instance's status, with the leader's view of the voters."""
        own = self.status()
        leader_id = self._leader_id or self._published_leader_id()
        if own.holds_lease or leader_id in (None, self._instance_id):
            return own
        response = await self._request(leader_id, StatusRequest())
        if not isinstance(response, Status) or not response.holds_lease:
            return own
        return replace(
            own,
            voters=response.voters,
            may_lose_one=response.may_lose_one,
            may_change_voters=response.may_change_voters,
        )

    def _published_leader_id(self) -> str | None:
        # An instance with a new data folder refuses the leader's messages, which are
        # addressed to its old replica id, and knows the leader only from its record.
        record = self._fleet.store.get(RecordKind.LEADER, LEADER_KEY)
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
            peer is not None and peer.is_replaced,
        )
