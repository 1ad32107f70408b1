"""Elections with pre-vote (Ongaro's thesis, section 9.6)."""

import asyncio
from contextlib import suppress

from cardamomrun_base.clock import MS_PER_S
from cardamomrun_base.errors import StorageError
from cardamomrun_base.logs import ComponentLog
from cardamomrun_control.messages import Envelope, VoteRequest, VoteResponse
from cardamomrun_control.replica import Role
from cardamomrun_control.state import VoterEntry
from cardamomrun_control.voters import VoterChanges

__all__ = ["Elections"]

_log = ComponentLog("control")


class Elections(VoterChanges):
    """Runs this replica's candidacies and answers vote requests."""

    async def _run_elections(self) -> None:
        """Stand for election at each timeout; while leading, check for a majority."""
        if self._has_vote() and len(self._non_learners()) == 1:
            self._election_due_ms = self._leader_contact_ms
        while self._failure is None:
            self._check_quorum()
            due_ms = self._election_due_ms - self._clock.now_ms()
            if self.is_leader:
                self._start_learner_promotion()
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
            await self._campaign()
        except StorageError as error:
            self._handle_storage_error(error)
            self._stop_leading("the data folder refused a write")

    async def _campaign(self) -> None:
        """Run a pre-vote, then an election in the next term if the pre-vote is won."""
        contact_ms = self._leader_contact_ms
        self._election_due_ms = self._clock.now_ms() + (
            self._settings.election_timeout_ms * (0.5 + self._rng.random())
        )
        if not self._has_vote():
            return
        if not await self._collect_votes(is_pre_vote=True):
            self._log_waiting_for_voters()
            return
        async with self._lock:
            if self._leader_contact_ms != contact_ms or self.is_leader:
                return
            self._role = Role.CANDIDATE
            self._leader_id = None
            await self._save_vote(self.term + 1, self._instance_id)
        term = self.term
        votes = await self._collect_votes(is_pre_vote=False)
        async with self._lock:
            if votes and self.term == term and self._role is Role.CANDIDATE:
                await self._become_leader(votes)

    def _log_waiting_for_voters(self) -> None:
        if self._is_new_cluster and not self._logged_waiting:
            self._logged_waiting = True
            _log.warning(
                f"waiting until all {len(self._non_learners())} voters in the settings "
                "can be reached, which the first election of a cluster needs"
            )

    def _required_vote_count(self) -> int:
        # Before the first entry no vote is bound to a replica id. If a majority were
        # enough, a majority that lost its folders could create a second log, while the
        # other replicas still hold the first one.
        if self._is_new_cluster:
            return len(self._non_learners())
        return self._majority_count()

    async def _collect_votes(self, *, is_pre_vote: bool) -> dict[str, str]:
        """Request votes; return the granting voters' replica ids, or {} if too few."""
        term = self.term + 1 if is_pre_vote else self.term
        others = [v for v in self._non_learners() if not self._is_own(v)]
        needed_count = self._required_vote_count()
        granted = {self._instance_id: self._durable_log.replica_id}
        requests = [self._request_vote(voter, term, is_pre_vote) for voter in others]
        tasks = [asyncio.ensure_future(request) for request in requests]
        try:
            waiting = set(tasks)
            while waiting and len(granted) < needed_count:
                finished, waiting = await asyncio.wait(
                    waiting, return_when=asyncio.FIRST_COMPLETED
                )
                for task in finished:
                    instance_id, response = task.result()
                    if response is not None and response.term > self.term:
                        await self._adopt_term(response.term)
                    if response is not None and response.granted:
                        granted[instance_id] = response.replica_id
        finally:
            for task in tasks:
                task.cancel()
        return granted if len(granted) >= needed_count else {}

    async def _request_vote(
        self, voter: VoterEntry, term: int, is_pre_vote: bool
    ) -> tuple[str, VoteResponse | None]:
        last_index = self._durable_log.last_index
        request = VoteRequest(
            self._envelope(term, voter.replica_id),
            last_index,
            self._durable_log.term_at(last_index) or 0,
            is_pre_vote,
        )
        response = await self._request(voter.instance_id, request)
        if not isinstance(response, VoteResponse):
            return voter.instance_id, None
        if voter.replica_id not in ("", response.replica_id):
            return voter.instance_id, None
        return voter.instance_id, response

    async def _on_vote(self, peer_id: str, request: VoteRequest) -> VoteResponse:
        self._check_storage()
        return await self._run_to_completion(self._respond_to_vote(peer_id, request))

    async def _respond_to_vote(
        self, peer_id: str, request: VoteRequest
    ) -> VoteResponse:
        async with self._lock:
            granted = self._may_vote(peer_id, request)
            if granted and not request.is_trial:
                if request.envelope.term > self.term:
                    self._become_follower(None)
                await self._save_vote(request.envelope.term, peer_id)
                self._restart_election_timeout()
            return VoteResponse(self.term, self._durable_log.replica_id, granted)

    def _may_vote(self, peer_id: str, request: VoteRequest) -> bool:
        envelope = request.envelope
        if self._is_foreign(envelope) or not self._knows_candidate(peer_id, envelope):
            return False
        if self._has_leader_contact():
            return False
        last_index = self._durable_log.last_index
        own = (self._durable_log.term_at(last_index) or 0, last_index)
        if (request.last_term, request.last_index) < own:
            return False
        if envelope.term > self.term:
            return True
        voted_for = ("", peer_id)
        return (
            envelope.term == self.term and self._durable_log.vote.voted_for in voted_for
        )

    def _knows_candidate(self, peer_id: str, envelope: Envelope) -> bool:
        """Return True unless the candidate is known under another replica id."""
        voter = self._find_voter(peer_id)
        if voter is None:
            # A replica that has not received the latest change of voters may not know
            # a candidate that the others do; the checks of its log and its cluster id
            # still hold.
            return bool(envelope.cluster_id) and not self._is_new_cluster
        return voter.replica_id in ("", envelope.sender_replica_id)
