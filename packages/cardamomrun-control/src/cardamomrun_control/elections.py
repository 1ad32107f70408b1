"""Elections with pre-vote (Ongaro's thesis, section 9.6)."""

import asyncio
from contextlib import suppress

from cardamomrun_base.clock import MS_PER_S
from cardamomrun_base.errors import StorageError
from cardamomrun_base.logs import PartLog
from cardamomrun_control.messages import Envelope, VoteAnswer, VoteRequest
from cardamomrun_control.replica import Role
from cardamomrun_control.state import VoterEntry
from cardamomrun_control.voters import VoterChanges

__all__ = ["Elections"]

_log = PartLog("control")


class Elections(VoterChanges):
    """Stands for election and votes for others."""

    async def _run_elections(self) -> None:
        if self._has_vote() and len(self._counting()) == 1:
            self._election_due_ms = self._heard_ms
        while self._failure is None:
            self._check_quorum()
            due_ms = self._election_due_ms - self._clock.now_ms()
            if self.is_leader:
                self._start_counting_learners()
                await self._clock.sleep_ms(self._settings.heartbeat_ms)
            elif due_ms > 0:
                await self._wait_for_election(due_ms)
            else:
                await self._try_election()

    async def _wait_for_election(self, due_ms: float) -> None:
        self._election_wakeup.clear()
        with suppress(TimeoutError):
            async with asyncio.timeout(due_ms / MS_PER_S):
                await self._election_wakeup.wait()

    async def _try_election(self) -> None:
        try:
            await self._seek_election()
        except StorageError as error:
            self._fail(error)
            self._stop_leading("the data folder refused a write")

    async def _seek_election(self) -> None:
        heard_ms = self._heard_ms
        self._election_due_ms = self._clock.now_ms() + (
            self._settings.election_timeout_ms * (0.5 + self._rng.random())
        )
        if not self._has_vote():
            return
        if not await self._collect_votes(is_trial=True):
            self._log_waiting()
            return
        async with self._lock:
            if self._heard_ms != heard_ms or self.is_leader:
                return
            self._role = Role.CANDIDATE
            self._leader_id = None
            await self._save_vote(self.term + 1, self._instance_id)
        term = self.term
        won = await self._collect_votes(is_trial=False)
        async with self._lock:
            if won and self.term == term and self._role is Role.CANDIDATE:
                await self._begin_leading(won)

    def _log_waiting(self) -> None:
        if self._is_new_cluster and not self._logged_waiting:
            self._logged_waiting = True
            _log.warning(
                f"waits until all {len(self._counting())} voters in the settings can "
                "be reached, which the first election of a cluster needs"
            )

    def _votes_needed_count(self) -> int:
        # Before the first entry no vote is bound to a replica id. If a majority were
        # enough, a majority that lost its folders would begin a second history beside
        # the replicas that still hold the first one.
        if self._is_new_cluster:
            return len(self._counting())
        return self._majority_count()

    async def _collect_votes(self, *, is_trial: bool) -> dict[str, str]:
        """Ask the other voters; return replica ids by voter if enough granted."""
        term = self.term + 1 if is_trial else self.term
        others = [v for v in self._counting() if not self._is_own(v)]
        needed_count = self._votes_needed_count()
        granted = {self._instance_id: self._durable.replica_id}
        asked = [self._ask_vote(voter, term, is_trial) for voter in others]
        tasks = [asyncio.ensure_future(ask) for ask in asked]
        try:
            waiting = set(tasks)
            while waiting and len(granted) < needed_count:
                finished, waiting = await asyncio.wait(
                    waiting, return_when=asyncio.FIRST_COMPLETED
                )
                for task in finished:
                    instance_id, answer = task.result()
                    if answer is not None and answer.term > self.term:
                        await self._adopt_term(answer.term)
                    if answer is not None and answer.granted:
                        granted[instance_id] = answer.replica_id
        finally:
            for task in tasks:
                task.cancel()
        return granted if len(granted) >= needed_count else {}

    async def _ask_vote(
        self, voter: VoterEntry, term: int, is_trial: bool
    ) -> tuple[str, VoteAnswer | None]:
        last_index = self._durable.last_index
        request = VoteRequest(
            self._envelope(term, voter.replica_id),
            last_index,
            self._durable.term_at(last_index) or 0,
            is_trial,
        )
        answer = await self._request(voter.instance_id, request)
        if not isinstance(answer, VoteAnswer):
            return voter.instance_id, None
        if voter.replica_id not in ("", answer.replica_id):
            return voter.instance_id, None
        return voter.instance_id, answer

    async def _on_vote(self, peer_id: str, request: VoteRequest) -> VoteAnswer:
        self._check_working()
        return await self._whole(self._answer_vote(peer_id, request))

    async def _answer_vote(self, peer_id: str, request: VoteRequest) -> VoteAnswer:
        async with self._lock:
            granted = self._may_vote(peer_id, request)
            if granted and not request.is_trial:
                if request.envelope.term > self.term:
                    self._become_follower(None)
                await self._save_vote(request.envelope.term, peer_id)
                self._hear_vote()
            return VoteAnswer(self.term, self._durable.replica_id, granted)

    def _may_vote(self, peer_id: str, request: VoteRequest) -> bool:
        envelope = request.envelope
        if self._is_foreign(envelope) or not self._knows_candidate(peer_id, envelope):
            return False
        if self._hears_leader():
            return False
        last_index = self._durable.last_index
        own = (self._durable.term_at(last_index) or 0, last_index)
        if (request.last_term, request.last_index) < own:
            return False
        if envelope.term > self.term:
            return True
        voted_for = ("", peer_id)
        return envelope.term == self.term and self._durable.vote.voted_for in voted_for

    def _knows_candidate(self, peer_id: str, envelope: Envelope) -> bool:
        voter = self._voter(peer_id)
        if voter is None:
            # A replica behind a change of voters may not know a candidate that the
            # others count; its own log and cluster id still protect the vote.
            return bool(envelope.cluster_id) and not self._is_new_cluster
        return voter.replica_id in ("", envelope.sender_replica)
