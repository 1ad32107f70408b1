"""Agreement of the control instances on one log.

Leader election with pre-vote, replication with one task for each peer, snapshots, and
changes of one voter at a time. The rules are those of Raft (Ongaro and Ousterhout,
"In Search of an Understandable Consensus Algorithm", 2014; Ongaro's thesis, sections
4.2, 6.4 and 9.6), with two additions: votes are bound to replica ids, and the first
leader of a new cluster needs the votes of all instances in the settings.
"""

import asyncio
import random
import uuid
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Any

from cardamomrun_base.clock import Clock
from cardamomrun_base.codec import CodecError, decode, encode, message
from cardamomrun_base.errors import (
    CardamomrunError,
    ConflictError,
    NotLeaderError,
    PeerTimeoutError,
    StorageError,
    UnavailableError,
)
from cardamomrun_base.interfaces import Fleet
from cardamomrun_base.logs import PartLog
from cardamomrun_base.settings import NodeSettings
from cardamomrun_control.errors import unknown_end
from cardamomrun_control.messages import (
    AppendAnswer,
    AppendRequest,
    Envelope,
    IdentityAnswer,
    IdentityRequest,
    SnapshotAnswer,
    SnapshotChunk,
    VoteAnswer,
    VoteRequest,
)
from cardamomrun_control.progress import Progress
from cardamomrun_control.state import ChangeVoters, ControlState, VoterEntry, Voters
from cardamomrun_control.storage import DurableLog, Entry, Snapshot, Vote

__all__ = ["Agreement", "Status", "VoterStatus"]

# The lease ends before the earliest election of another leader by this margin, which
# allows for clocks that run at different rates (design page, section 4.3).
LEASE_RATIO = 0.8
# Requests are repeated within the election timeout, so that one lost message does not
# cost the leader a follower.
REQUEST_TIMEOUT_RATIO = 1 / 3
PROPOSE_TIMEOUT_MS = 5_000
PENDING_COUNT = 1_000
BATCH_BYTES = 262_144
CHUNK_BYTES = 262_144
MAX_SNAPSHOT_BYTES = 1_073_741_824

_log = PartLog("control")


class Role(StrEnum):
    """Role of a replica in the current term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


@message("control-noop")
@dataclass(frozen=True)
class Noop:
    """The first entry of a leader's term; commits the entries of earlier terms."""

    term: int


@dataclass(frozen=True)
class VoterStatus:
    """A voter as the leader sees it."""

    instance_id: str
    peer_address: str
    is_learner: bool
    caught_up: bool
    heard_ms_ago: float | None
    replaced: bool


@dataclass(frozen=True)
class Status:
    """The agreement as this instance sees it.

    `may_lose_one` and `may_change_voters` are None on an instance that does not lead.
    `failure` says why the data folder is out of use; the instance takes no part then.
    """

    role: str
    term: int
    leader_id: str | None
    last_index: int
    commit_index: int
    holds_lease: bool
    voters: tuple[VoterStatus, ...]
    may_lose_one: bool | None
    may_change_voters: bool | None
    failure: str | None


@dataclass
class _Pending:
    term: int
    future: asyncio.Future


class Agreement:
    """One replica of the log and of the state that the log makes.

    Implements `cardamomrun_base.interfaces.Leadership`.
    """

    def __init__(
        self,
        settings: NodeSettings,
        clock: Clock,
        fleet: Fleet,
        log: DurableLog,
        state: ControlState,
        rng: random.Random | None = None,
    ) -> None:
        assert settings.control is not None
        self._settings = settings.control
        self._instance_id = settings.instance_id
        self._clock = clock
        self._fleet = fleet
        self._durable = log
        self._state = state
        self._rng = rng or random.Random()
        self._role = Role.FOLLOWER
        self._leader_id: str | None = None
        self._commit_index = 0
        self._applied_index = 0
        self._voter_sets: list[tuple[int, Voters]] = []
        self._peers: dict[str, Progress] = {}
        self._pending: dict[int, _Pending] = {}
        self._heard_ms = 0.0
        self._election_due_ms = 0.0
        self._lease_until_ms = float("-inf")
        self._lease_since_ms = 0.0
        self._started_leading_ms = 0.0
        self._term_start_index = 0
        self._chunks: tuple[int, int, bytearray] = (0, 0, bytearray())
        self._lock = asyncio.Lock()
        self._changed = asyncio.Event()
        self._tasks: set[asyncio.Task] = set()
        self._snapshot_task: asyncio.Task | None = None
        self._learner_task: asyncio.Task | None = None
        self._failure: StorageError | None = None
        self._logged_waiting = False
        self.on_commit: Callable[[], None] = lambda: None

    # Leadership

    @property
    def term(self) -> int:
        """The current term."""
        return self._durable.vote.term

    def holds_lease(self) -> bool:
        """Return True while no other instance can lead."""
        self._check_quorum()
        return self.is_leader and self._clock.now_ms() < self._lease_until_ms

    def lease_held_since_ms(self) -> float:
        """Return when this instance's current leader lease began, monotonic ms."""
        return self._lease_since_ms

    @property
    def is_leader(self) -> bool:
        """True while this replica takes itself for the leader; see `holds_lease`."""
        return self._role is Role.LEADER

    @property
    def leader_id(self) -> str | None:
        """The instance that leads as far as this replica knows."""
        return self._leader_id

    @property
    def applied_index(self) -> int:
        """The index of the last entry applied to the state."""
        return self._applied_index

    @property
    def voters(self) -> Voters:
        """The voters in use: those of the latest entry, committed or not."""
        return self._voter_sets[-1][1]

    # Start and stop

    async def start(self) -> None:
        """Read the log, take part in elections and answer the other replicas."""
        await self._durable.start()
        self._load()
        self._fleet.handle(VoteRequest, self._on_vote)
        self._fleet.handle(AppendRequest, self._on_append)
        self._fleet.handle(SnapshotChunk, self._on_chunk)
        self._fleet.handle(IdentityRequest, self._on_identity)
        # A replica that restarts may have promised a leader its lease just before.
        self._hear()
        self._spawn(self._run_elections())

    async def stop(self) -> None:
        """End all tasks and close the log."""
        self._stop_leading("this instance stops")
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._durable.close()

    def _load(self) -> None:
        first = Voters("", tuple(
            VoterEntry(voter.instance_id, voter.peer_address, "", False)
            for voter in self._settings.voters
        ))  # fmt: skip
        self._voter_sets = [(0, first)]
        self._load_snapshot(self._durable.snapshot)
        for entry in self._durable.entries_from(self._durable.first_index):
            self._note_voters(entry)
        self._use_addresses()

    def _load_snapshot(self, snapshot: Snapshot) -> None:
        if snapshot.index == 0:
            return
        self._state.restore(snapshot.state)
        self._voter_sets = [(snapshot.index, decode(snapshot.voters))]
        self._commit_index = snapshot.index
        self._applied_index = snapshot.index

    def _note_voters(self, entry: Entry) -> None:
        command = decode(entry.command)
        if isinstance(command, ChangeVoters):
            self._voter_sets.append((entry.index, command.voters))

    def _use_addresses(self) -> None:
        for voter in self.voters.entries:
            if voter.instance_id != self._instance_id:
                self._fleet.add_address(voter.instance_id, voter.peer_address)

    def _spawn(self, work: Any) -> asyncio.Task:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._task_ended)
        return task

    def _task_ended(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if isinstance(error, StorageError):
            self._fail(error)
        elif error is not None:
            # Without one of its tasks a leader may starve a follower unnoticed.
            _log.error(f"a task ended with {error!r}")
            self._stop_leading("one of its tasks failed")

    def _fail(self, error: StorageError) -> None:
        """Take no further part if the log refuses writes.

        What this replica promises must be durable. An append that was taken back, as
        on a full disk, leaves the log usable.
        """
        if self._durable.failure is None:
            _log.warning(str(error))
            return
        if self._failure is None:
            _log.error(str(error))
            self._failure = error
        self._stop_leading("the data folder failed")

    # Voters

    def _counting(self) -> list[VoterEntry]:
        return [voter for voter in self.voters.entries if not voter.is_learner]

    def _voter(self, instance_id: str) -> VoterEntry | None:
        for voter in self.voters.entries:
            if voter.instance_id == instance_id:
                return voter
        return None

    def _is_own(self, voter: VoterEntry) -> bool:
        replica_ids = ("", self._durable.replica_id)
        return (
            voter.instance_id == self._instance_id and voter.replica_id in replica_ids
        )

    def _has_vote(self) -> bool:
        return any(self._is_own(voter) for voter in self._counting())

    @property
    def _is_new_cluster(self) -> bool:
        return not self.voters.cluster_id

    def _majority_count(self) -> int:
        return len(self._counting()) // 2 + 1

    def _votes_needed_count(self) -> int:
        # Before the first entry no vote is bound to a replica id. If a majority were
        # enough, a majority that lost its folders would begin a second history beside
        # the replicas that still hold the first one.
        if self._is_new_cluster:
            return len(self._counting())
        return self._majority_count()

    def _envelope(self, term: int, to_replica: str) -> Envelope:
        return Envelope(
            term,
            self.voters.cluster_id,
            self._durable.replica_id,
            to_replica,
        )

    def _is_foreign(self, envelope: Envelope) -> bool:
        """Return True for a message meant for another replica or cluster."""
        clusters = {"", self.voters.cluster_id, envelope.cluster_id}
        other_replica = envelope.to_replica not in ("", self._durable.replica_id)
        return other_replica or len(clusters) > 2

    # Elections

    def _hear(self) -> None:
        """Note contact with a leader and put off the next election."""
        self._heard_ms = self._clock.now_ms()
        timeout_ms = self._settings.election_timeout_ms
        self._election_due_ms = self._heard_ms + timeout_ms * (1 + self._rng.random())

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
                await self._clock.sleep_ms(due_ms)
            else:
                await self._try_election()

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

    async def _adopt_term(self, term: int) -> None:
        async with self._lock:
            if term > self.term:
                self._become_follower(None)
                await self._save_vote(term, "")

    async def _save_vote(self, term: int, voted_for: str) -> None:
        try:
            await self._durable.save_vote(Vote(term, voted_for))
        except StorageError as error:
            self._fail(error)
            raise

    async def _whole(self, work: Any) -> Any:
        """Run a handler to its end even if the link of its caller is closed.

        A file operation whose caller is cancelled would go on without the lock.
        """
        return await asyncio.shield(self._spawn(work))

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

    def _hear_vote(self) -> None:
        timeout_ms = self._settings.election_timeout_ms
        now_ms = self._clock.now_ms()
        self._election_due_ms = now_ms + timeout_ms * (1 + self._rng.random())

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

    def _hears_leader(self) -> bool:
        if self.is_leader:
            self._check_quorum()
            return self.is_leader
        since_ms = self._clock.now_ms() - self._heard_ms
        alone = len(self._counting()) == 1 and self._has_vote()
        return since_ms < self._settings.election_timeout_ms and not alone

    # Leading

    async def _begin_leading(self, votes: dict[str, str]) -> None:
        now_ms = self._clock.now_ms()
        self._role = Role.LEADER
        self._leader_id = self._instance_id
        self._lease_until_ms = float("-inf")
        self._peers = {}
        self._term_start_index = self._durable.last_index + 1
        command: Any = Noop(self.term)
        if self._is_new_cluster:
            command = self._first_voters(votes)
        _log.info(f"leads in term {self.term}", term=self.term)
        self._started_leading_ms = now_ms
        self._append_own(command)
        self._manage_peers()
        self._extend_lease()

    def _first_voters(self, votes: dict[str, str]) -> ChangeVoters:
        entries = tuple(
            replace(voter, replica_id=votes[voter.instance_id])
            for voter in self.voters.entries
        )
        voters = Voters(uuid.UUID(int=self._rng.getrandbits(128)).hex, entries)
        return ChangeVoters("", self._clock.wall_ms(), "create", voters)

    def _append_own(self, command: Any) -> Entry:
        entry = Entry(self._durable.last_index + 1, self.term, encode(command))
        # The write does not suspend, which keeps the order of proposals.
        self._durable.write([entry])
        self._spawn(self._save_own())
        if isinstance(command, ChangeVoters):
            self._note_voters(entry)
            self._manage_peers()
        return entry

    async def _save_own(self) -> None:
        await self._durable.sync()
        self._advance_commit()

    def _manage_peers(self) -> None:
        """Run one task for each other replica in the voters in use."""
        wanted = {v.instance_id: v for v in self.voters.entries if not self._is_own(v)}
        for instance_id, peer in list(self._peers.items()):
            voter = wanted.get(instance_id)
            if voter is None or voter.replica_id != peer.replica_id:
                del self._peers[instance_id]
                if peer.task is not None:
                    peer.task.cancel()
        self._use_addresses()
        for instance_id, voter in wanted.items():
            if instance_id not in self._peers:
                peer = Progress(
                    instance_id,
                    voter.replica_id,
                    self._durable.last_index + 1,
                )
                self._peers[instance_id] = peer
                peer.task = self._spawn(self._replicate(peer, self.term))

    def _wake_peers(self) -> None:
        for peer in self._peers.values():
            peer.wakeup.set()

    async def _replicate(self, peer: Progress, term: int) -> None:
        """Keep one follower up to date while this replica leads in `term`."""
        while self.is_leader and self.term == term:
            peer.wakeup.clear()
            answered = await self._send_next(peer, term)
            if answered and peer.next_index <= self._durable.last_index:
                continue
            try:
                async with asyncio.timeout(self._settings.heartbeat_ms / 1_000):
                    await peer.wakeup.wait()
            except TimeoutError:
                continue
            if not answered:
                await self._clock.sleep_ms(self._settings.heartbeat_ms / 4)

    async def _send_next(self, peer: Progress, term: int) -> bool:
        """Send one request; return True if it brought the follower further."""
        if peer.next_index < self._durable.first_index:
            return await self._send_snapshot(peer, term)
        previous_index = peer.next_index - 1
        previous_term = self._durable.term_at(previous_index)
        assert previous_term is not None
        request = AppendRequest(
            self._envelope(term, peer.replica_id),
            previous_index,
            previous_term,
            self._batch(peer.next_index),
            self._commit_index,
        )
        sent_ms = self._clock.now_ms()
        answer = await self._request(peer.instance_id, request)
        if not isinstance(answer, AppendAnswer):
            return False
        if not await self._accepts_answer(peer, term, answer, sent_ms):
            return False
        if answer.accepted:
            peer.match_index = max(peer.match_index, answer.match_index)
            peer.next_index = max(peer.next_index, peer.match_index + 1)
            self._advance_commit()
        else:
            peer.next_index = max(1, min(previous_index, answer.match_index + 1))
        return True

    def _batch(self, first_index: int) -> tuple[Entry, ...]:
        entries: list[Entry] = []
        size_bytes = 0
        for entry in self._durable.entries_from(first_index):
            size_bytes += len(entry.command)
            if entries and size_bytes > BATCH_BYTES:
                break
            entries.append(entry)
        return tuple(entries)

    async def _accepts_answer(
        self, peer: Progress, term: int, answer: Any, sent_ms: float
    ) -> bool:
        """Check an answer's replica and term, and count it for the lease."""
        if answer.replica_id != peer.replica_id:
            if not peer.refused_replica:
                _log.warning(
                    f"{peer.instance_id} has a new data folder; remove it from the "
                    "voters and add it again"
                )
            peer.refused_replica = True
            return False
        peer.refused_replica = False
        if answer.term > term:
            await self._adopt_term(answer.term)
            return False
        if not self.is_leader or self.term != term or answer.term < term:
            return False
        peer.acknowledged_ms = max(peer.acknowledged_ms, sent_ms)
        self._extend_lease()
        return True

    async def _send_snapshot(self, peer: Progress, term: int) -> bool:
        snapshot = self._durable.snapshot
        data = encode(snapshot)
        offset_bytes = 0
        while self.is_leader and self.term == term:
            chunk = SnapshotChunk(
                self._envelope(term, peer.replica_id),
                snapshot.index,
                offset_bytes,
                len(data),
                data[offset_bytes : offset_bytes + CHUNK_BYTES],
            )
            sent_ms = self._clock.now_ms()
            answer = await self._request(peer.instance_id, chunk)
            if not isinstance(answer, SnapshotAnswer):
                return False
            if not await self._accepts_answer(peer, term, answer, sent_ms):
                return False
            if answer.installed:
                peer.match_index = max(peer.match_index, snapshot.index)
                peer.next_index = snapshot.index + 1
                self._advance_commit()
                return True
            if not answer.accepted:
                return False
            offset_bytes = answer.held_bytes
        return False

    def _acknowledged_ms(self) -> float:
        """Return the latest time at which a majority is known to have followed."""
        times = [
            self._clock.now_ms()
            if self._is_own(voter)
            else self._peers[voter.instance_id].acknowledged_ms
            if voter.instance_id in self._peers
            else float("-inf")
            for voter in self._counting()
        ]
        times.sort(reverse=True)
        return times[self._majority_count() - 1]

    def _extend_lease(self) -> None:
        now_ms = self._clock.now_ms()
        lease_ms = self._settings.election_timeout_ms * LEASE_RATIO
        until_ms = self._acknowledged_ms() + lease_ms
        if until_ms <= self._lease_until_ms:
            return
        if now_ms >= self._lease_until_ms:
            self._lease_since_ms = now_ms
        self._lease_until_ms = until_ms
        self._changed.set()
        self._changed = asyncio.Event()

    def _check_quorum(self) -> None:
        """Stop leading if no majority has answered within the election timeout."""
        if not self.is_leader:
            return
        heard_ms = max(self._acknowledged_ms(), self._started_leading_ms)
        silent_ms = self._clock.now_ms() - heard_ms
        if silent_ms >= self._settings.election_timeout_ms:
            _log.warning(f"no majority answered for {silent_ms:.0f} ms")
            self._become_follower(None)
        elif self._majority_count() == 1:
            self._extend_lease()

    def _become_follower(self, leader_id: str | None) -> None:
        self._stop_leading("another instance may lead")
        self._leader_id = leader_id

    def _stop_leading(self, reason: str) -> None:
        was_leader = self.is_leader
        self._role = Role.FOLLOWER
        if self._leader_id == self._instance_id:
            self._leader_id = None
        self._lease_until_ms = float("-inf")
        if was_leader:
            _log.info(f"no longer leads: {reason}", term=self.term)
            self._hear_vote()
        for peer in self._peers.values():
            if peer.task is not None and peer.task is not asyncio.current_task():
                peer.task.cancel()
        self._peers = {}
        pending, self._pending = self._pending, {}
        for waiting in pending.values():
            if not waiting.future.done():
                waiting.future.set_exception(unknown_end(reason))
        self._changed.set()
        self._changed = asyncio.Event()

    # Commit and apply

    def _advance_commit(self) -> None:
        if not self.is_leader:
            return
        matches = [
            self._durable.synced_index
            if self._is_own(voter)
            else self._peers[voter.instance_id].match_index
            if voter.instance_id in self._peers
            else 0
            for voter in self._counting()
        ]
        matches.sort(reverse=True)
        index = matches[self._majority_count() - 1]
        # Entries of earlier terms are committed only by a later one of the own term
        # (Raft, section 5.4.2).
        if index > self._commit_index and self._durable.term_at(index) == self.term:
            self._commit_index = index
            self._apply_committed()
            self._wake_peers()

    def _apply_committed(self) -> None:
        while self._applied_index < self._commit_index:
            index = self._applied_index + 1
            entry = self._durable.entries_from(index)[0]
            command = decode(entry.command)
            result = None
            if not isinstance(command, Noop):
                result = self._state.apply(command, index)
            self._applied_index = index
            self._resolve(entry, result)
        self._leave_if_removed()
        self._changed.set()
        self._changed = asyncio.Event()
        self.on_commit()
        self._consider_snapshot()

    def _resolve(self, entry: Entry, result: Any) -> None:
        waiting = self._pending.pop(entry.index, None)
        if waiting is None or waiting.future.done():
            return
        if waiting.term == entry.term:
            waiting.future.set_result(result)
        else:
            waiting.future.set_exception(unknown_end("another instance leads"))

    def _leave_if_removed(self) -> None:
        index, _ = self._voter_sets[-1]
        if self.is_leader and index <= self._commit_index and not self._has_vote():
            self._stop_leading("it was removed from the voters")

    def _consider_snapshot(self) -> None:
        covered_count = self._applied_index - self._durable.snapshot.index
        running = self._snapshot_task is not None and not self._snapshot_task.done()
        if covered_count >= self._settings.snapshot_entry_count and not running:
            snapshot = self._make_snapshot()
            self._snapshot_task = self._spawn(self._durable.save_snapshot(snapshot))

    def _make_snapshot(self) -> Snapshot:
        index = self._applied_index
        voters = [v for i, v in self._voter_sets if i <= index][-1]
        later = [(i, v) for i, v in self._voter_sets if i > index]
        self._voter_sets = [(index, voters), *later]
        term = self._durable.term_at(index) or 0
        return Snapshot(index, term, encode(voters), self._state.snapshot())

    # Following

    def _check_working(self) -> None:
        failure = self._failure or self._durable.failure
        if failure is not None:
            raise failure

    async def _follow(self, peer_id: str, envelope: Envelope) -> bool:
        """Accept the sender as leader of its term; False if the term is over."""
        if self._is_foreign(envelope) or envelope.term < self.term:
            return False
        if not envelope.to_replica:
            return False
        if envelope.term > self.term:
            self._become_follower(peer_id)
            await self._save_vote(envelope.term, "")
        elif self._role is not Role.FOLLOWER:
            self._become_follower(peer_id)
        self._leader_id = peer_id
        self._hear()
        return True

    def _replica_answering(self, envelope: Envelope) -> str:
        """Return the own replica id, or none for a message meant for another one."""
        return "" if self._is_foreign(envelope) else self._durable.replica_id

    async def _on_append(self, peer_id: str, request: AppendRequest) -> AppendAnswer:
        self._check_working()
        return await self._whole(self._answer_append(peer_id, request))

    async def _answer_append(
        self, peer_id: str, request: AppendRequest
    ) -> AppendAnswer:
        async with self._lock:
            accepted, match_index = await self._append(peer_id, request)
            replica_id = self._replica_answering(request.envelope)
            return AppendAnswer(self.term, replica_id, accepted, match_index)

    async def _append(self, peer_id: str, request: AppendRequest) -> tuple[bool, int]:
        if not await self._follow(peer_id, request.envelope):
            return False, 0
        fitting_index = self._fitting_index(request)
        if fitting_index < request.previous_index:
            return False, fitting_index
        new = [e for e in request.entries if self._durable.term_at(e.index) != e.term]
        new = [entry for entry in new if entry.index > self._durable.snapshot.index]
        if new and new[0].index <= self._durable.last_index:
            await self._truncate(new[0].index)
        self._durable.write(new)
        for entry in new:
            self._note_voters(entry)
        await self._durable.sync()
        if new:
            self._use_addresses()
        match_index = request.previous_index + len(request.entries)
        self._learn_commit(min(request.commit_index, match_index))
        return True, match_index

    def _fitting_index(self, request: AppendRequest) -> int:
        """Return the last index, at most the one asked about, that can be equal."""
        index = min(request.previous_index, self._durable.last_index)
        if request.previous_index <= self._durable.snapshot.index:
            # Compacted entries are committed, so they are equal to the leader's.
            return request.previous_index
        if index < request.previous_index:
            return index
        term = self._durable.term_at(index)
        if term == request.previous_term:
            return index
        while index > self._durable.snapshot.index and (
            self._durable.term_at(index) == term
        ):
            index -= 1
        return index

    async def _truncate(self, index: int) -> None:
        assert index > self._commit_index, "a committed entry would be removed"
        await self._durable.truncate_from(index)
        self._voter_sets = [(i, v) for i, v in self._voter_sets if i < index]

    def _learn_commit(self, index: int) -> None:
        if index > self._commit_index:
            self._commit_index = index
            self._apply_committed()

    async def _on_chunk(self, peer_id: str, chunk: SnapshotChunk) -> SnapshotAnswer:
        self._check_working()
        return await self._whole(self._answer_chunk(peer_id, chunk))

    async def _answer_chunk(self, peer_id: str, chunk: SnapshotChunk) -> SnapshotAnswer:
        async with self._lock:
            accepted, held, installed = await self._take_chunk(peer_id, chunk)
            replica_id = self._replica_answering(chunk.envelope)
            return SnapshotAnswer(self.term, replica_id, accepted, held, installed)

    async def _take_chunk(
        self, peer_id: str, chunk: SnapshotChunk
    ) -> tuple[bool, int, bool]:
        if not await self._follow(peer_id, chunk.envelope):
            return False, 0, False
        if chunk.index <= self._commit_index:
            return True, chunk.total_bytes, True
        if chunk.total_bytes > MAX_SNAPSHOT_BYTES:
            return False, 0, False
        term, index, held = self._chunks
        if (term, index) != (chunk.envelope.term, chunk.index):
            held = bytearray()
            self._chunks = (chunk.envelope.term, chunk.index, held)
        if chunk.offset_bytes == len(held):
            held += chunk.data
        if len(held) < chunk.total_bytes:
            return True, len(held), False
        self._chunks = (0, 0, bytearray())
        return await self._install(bytes(held))

    async def _install(self, data: bytes) -> tuple[bool, int, bool]:
        try:
            snapshot = decode(data)
        except CodecError:
            return False, 0, False
        if not isinstance(snapshot, Snapshot):
            return False, 0, False
        await self._durable.save_snapshot(snapshot)
        later = [
            (i, v)
            for i, v in self._voter_sets
            if snapshot.index < i <= self._durable.last_index
        ]
        self._load_snapshot(snapshot)
        self._voter_sets += later
        self._use_addresses()
        self.on_commit()
        return True, len(data), True

    async def _on_identity(
        self, peer_id: str, request: IdentityRequest
    ) -> IdentityAnswer:
        return IdentityAnswer(self._durable.replica_id)

    async def _request(self, instance_id: str, request: Any) -> Any:
        """Send a message to a peer; return None if no answer came."""
        timeout_ms = self._settings.election_timeout_ms * REQUEST_TIMEOUT_RATIO
        timeout_ms = max(self._settings.heartbeat_ms, int(timeout_ms))
        try:
            return await self._fleet.request(
                instance_id, request, timeout_ms=timeout_ms
            )
        except CardamomrunError:
            return None

    # Proposals and reads

    async def propose(self, command: Any) -> Any:
        """Append a command and return the result of applying it once committed.

        Raises `NotLeaderError` or `UnavailableError` if the command was not appended,
        and `UnknownEndError` if it was and its end is not known.
        """
        self._check_leading()
        if len(self._pending) >= PENDING_COUNT:
            raise UnavailableError(
                f"{PENDING_COUNT} changes wait already.", remedy="send it again later"
            )
        entry = self._append_own(command)
        future = asyncio.get_running_loop().create_future()
        self._pending[entry.index] = _Pending(entry.term, future)
        self._wake_peers()
        try:
            async with asyncio.timeout(PROPOSE_TIMEOUT_MS / 1_000):
                return await future
        except TimeoutError as error:
            raise unknown_end("no majority answered in time") from error
        finally:
            waiting = self._pending.get(entry.index)
            if waiting is not None and waiting.future is future:
                del self._pending[entry.index]

    async def confirm_leadership(self) -> None:
        """Return once a majority confirmed that this replica still leads.

        After that the state holds all that was committed before the call. Raises
        `NotLeaderError` or `UnavailableError`.
        """
        self._check_leading()
        asked_ms = self._clock.now_ms()
        read_index = max(self._commit_index, self._term_start_index)
        term = self.term
        try:
            async with asyncio.timeout(self._settings.election_timeout_ms / 1_000):
                while not self._is_confirmed(term, asked_ms, read_index):
                    changed = self._changed
                    self._wake_peers()
                    await changed.wait()
        except TimeoutError as error:
            raise UnavailableError(
                "No majority of the control instances confirms the leader.",
                remedy="ask another control instance, or restore the majority",
            ) from error

    def _is_confirmed(self, term: int, asked_ms: float, read_index: int) -> bool:
        if not self.is_leader or self.term != term:
            raise self._not_leader()
        confirmed = self._acknowledged_ms() >= asked_ms
        return confirmed and self._applied_index >= read_index

    def _check_leading(self) -> None:
        self._check_working()
        self._check_quorum()
        if not self.is_leader:
            raise self._not_leader()
        if not self.holds_lease():
            raise UnavailableError(
                "This control instance has not heard from a majority.",
                remedy="ask again in a second; restore the majority if it lasts",
            )

    def _not_leader(self) -> NotLeaderError:
        address = None
        for member in self._fleet.members():
            if member.instance_id == self._leader_id:
                address = member.admin_address
        return NotLeaderError(
            f"{self._instance_id} does not lead the control instances.",
            remedy="ask the leader" if address else "ask again in a few seconds",
            leader_admin_address=address,
        )

    # Changes of voters

    async def add_voter(
        self, operator: str, instance_id: str, peer_address: str
    ) -> Voters:
        """Add an instance as a learner; it counts once it has caught up and synced."""
        self._check_leading()
        self._check_no_change()
        if self._voter(instance_id) is not None:
            raise ConflictError(
                f"{instance_id} is a voter already.",
                remedy="to replace one that lost its data folder, remove it first",
            )
        self._fleet.add_address(instance_id, peer_address)
        answer = await self._request(instance_id, IdentityRequest())
        if not isinstance(answer, IdentityAnswer):
            raise PeerTimeoutError(
                f"{instance_id} at {peer_address} does not answer.",
                remedy="start it with the role control, then add it again",
            )
        learner = VoterEntry(instance_id, peer_address, answer.replica_id, True)
        entries = (*self.voters.entries, learner)
        return await self._change_voters(operator, f"add {instance_id}", entries)

    async def remove_voter(self, operator: str, instance_id: str) -> Voters:
        """Remove an instance from the voters."""
        self._check_leading()
        voter = self._voter(instance_id)
        if voter is None:
            raise ConflictError(
                f"{instance_id} is not a voter.", remedy="check the name"
            )
        if not voter.is_learner:
            self._check_no_change()
        entries = tuple(v for v in self.voters.entries if v != voter)
        if all(entry.is_learner for entry in entries):
            raise ConflictError(
                f"{instance_id} is the last voter.", remedy="add another voter first"
            )
        return await self._change_voters(operator, f"remove {instance_id}", entries)

    def _check_no_change(self) -> None:
        if self._has_learner() or not self._may_change_voters():
            raise ConflictError(
                "Another change of voters is not finished.",
                remedy="wait until GET /v1/control shows may_change_voters",
            )

    def _has_learner(self) -> bool:
        return any(voter.is_learner for voter in self.voters.entries)

    def _may_change_voters(self) -> bool:
        index, _ = self._voter_sets[-1]
        # The own term must have a committed entry, otherwise two leaders could change
        # the same set of voters in different ways.
        return self._commit_index >= max(index, self._term_start_index)

    async def _change_voters(
        self, operator: str, action: str, entries: Iterable[VoterEntry]
    ) -> Voters:
        if not self._may_change_voters():
            self._check_no_change()
        voters = Voters(self.voters.cluster_id, tuple(entries))
        command = ChangeVoters(operator, self._clock.wall_ms(), action, voters)
        return await self.propose(command)

    def _start_counting_learners(self) -> None:
        running = self._learner_task is not None and not self._learner_task.done()
        if self._has_learner() and not running:
            self._learner_task = self._spawn(self._count_learner())

    async def _count_learner(self) -> None:
        """Give a learner its vote once it holds all committed entries durably."""
        if not self.holds_lease() or not self._may_change_voters():
            return
        for voter in self.voters.entries:
            peer = self._peers.get(voter.instance_id)
            if not voter.is_learner or peer is None:
                continue
            if peer.match_index < self._commit_index:
                continue
            if not self._is_heard(peer):
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

    # Status

    def _is_heard(self, peer: Progress) -> bool:
        since_ms = self._clock.now_ms() - peer.acknowledged_ms
        return since_ms < self._settings.election_timeout_ms

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
