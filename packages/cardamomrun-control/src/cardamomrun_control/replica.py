"""One replica: its log, term, role, voters and tasks."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from cardamomrun_base.clock import Clock
from cardamomrun_base.codec import decode, message
from cardamomrun_base.errors import CardamomrunError, StorageError
from cardamomrun_base.interfaces import Fleet
from cardamomrun_base.logs import ComponentLog
from cardamomrun_base.settings import NodeSettings
from cardamomrun_control.errors import unknown_outcome
from cardamomrun_control.messages import Envelope
from cardamomrun_control.progress import Progress
from cardamomrun_control.state import ChangeVoters, ControlState, VoterEntry, Voters
from cardamomrun_control.storage import DurableLog, Entry, Snapshot, Vote

__all__ = ["Noop", "PendingProposal", "Replica", "Role"]

# A request times out well before the election timeout, so that one lost message can be
# repeated before the follower stands for election.
REQUEST_TIMEOUT_RATIO = 1 / 3
# After a leader resigns, candidates start at random times within this share of the
# election timeout. A round of votes takes a small part of it, so they rarely collide.
EARLY_ELECTION_RATIO = 0.3

_log = ComponentLog("control")


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


@dataclass
class PendingProposal:
    """A proposal of this leader that is not committed yet, and its result's future."""

    term: int
    future: asyncio.Future


class Replica:
    """State of one replica, and the operations that all roles share.

    The classes of the other modules extend it: `Lease`, `Commits`, `Replication`,
    `Proposals`, `VoterChanges` and `Elections`, each based on the one before, and
    `Following`, based on `Commits`. `Agreement` combines them.
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
        self._durable_log = log
        self._state = state
        self._rng = rng or random.Random()
        self._role = Role.FOLLOWER
        self._leader_id: str | None = None
        self._last_leader_id: str | None = None
        self._commit_index = 0
        self._applied_index = 0
        self._voter_sets: list[tuple[int, Voters]] = []
        self._peers: dict[str, Progress] = {}
        self._pending: dict[int, PendingProposal] = {}
        self._leader_contact_ms = 0.0
        self._first_leader_ms: float | None = None
        self._election_due_ms = 0.0
        self._election_wakeup = asyncio.Event()
        self._lease_until_ms = float("-inf")
        self._lease_since_ms = 0.0
        self._started_leading_ms = 0.0
        self._term_start_index = 0
        self._partial_snapshot: tuple[int, int, bytearray] = (0, 0, bytearray())
        self._lock = asyncio.Lock()
        self._state_changed = asyncio.Event()
        self._tasks: set[asyncio.Task] = set()
        self._snapshot_task: asyncio.Task | None = None
        self._learner_task: asyncio.Task | None = None
        self._failure: StorageError | None = None
        self._logged_waiting = False
        self.on_commit: Callable[[], None] = lambda: None

    @property
    def term(self) -> int:
        """The current term."""
        return self._durable_log.vote.term

    @property
    def is_leader(self) -> bool:
        """True while this replica considers itself the leader; see `holds_lease`."""
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

    def _load(self) -> None:
        first = Voters("", tuple(
            VoterEntry(voter.instance_id, voter.peer_address, "", False)
            for voter in self._settings.voters
        ))  # fmt: skip
        self._voter_sets = [(0, first)]
        self._load_snapshot(self._durable_log.snapshot)
        for entry in self._durable_log.entries_from(self._durable_log.first_index):
            self._record_voters(entry)
        self._register_peer_addresses()

    def _load_snapshot(self, snapshot: Snapshot) -> None:
        if snapshot.index == 0:
            return
        self._state.restore(snapshot.state)
        self._voter_sets = [(snapshot.index, decode(snapshot.voters))]
        self._commit_index = snapshot.index
        self._applied_index = snapshot.index

    def _record_voters(self, entry: Entry) -> None:
        command = decode(entry.command)
        if isinstance(command, ChangeVoters):
            self._voter_sets.append((entry.index, command.voters))

    def _register_peer_addresses(self) -> None:
        for voter in self.voters.entries:
            if voter.instance_id != self._instance_id:
                self._fleet.add_address(voter.instance_id, voter.peer_address)

    def _spawn(self, coroutine: Any) -> asyncio.Task:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._task_ended)
        return task

    def _task_ended(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if isinstance(error, StorageError):
            self._handle_storage_error(error)
        elif error is not None:
            # Without one of its tasks a leader may stop replicating to a follower
            # unnoticed.
            _log.error(f"a task ended with {error!r}")
            self._stop_leading("one of its tasks failed")

    def _handle_storage_error(self, error: StorageError) -> None:
        """Stop taking part if the log refuses writes; otherwise only log the error.

        What this replica promises must be durable. An append that was rolled back, as
        on a full disk, leaves the log usable.
        """
        if self._durable_log.failure is None:
            _log.warning(str(error))
            return
        if self._failure is None:
            _log.error(str(error))
            self._failure = error
        self._stop_leading("the data folder failed")

    def _check_storage(self) -> None:
        failure = self._failure or self._durable_log.failure
        if failure is not None:
            raise failure

    def _non_learners(self) -> list[VoterEntry]:
        """Return the voters that count towards majorities."""
        return [voter for voter in self.voters.entries if not voter.is_learner]

    def _find_voter(self, instance_id: str) -> VoterEntry | None:
        for voter in self.voters.entries:
            if voter.instance_id == instance_id:
                return voter
        return None

    def _is_own(self, voter: VoterEntry) -> bool:
        replica_ids = ("", self._durable_log.replica_id)
        return (
            voter.instance_id == self._instance_id and voter.replica_id in replica_ids
        )

    def _has_vote(self) -> bool:
        return any(self._is_own(voter) for voter in self._non_learners())

    @property
    def _is_new_cluster(self) -> bool:
        return not self.voters.cluster_id

    def _majority_count(self) -> int:
        return len(self._non_learners()) // 2 + 1

    def _envelope(self, term: int, recipient_replica_id: str) -> Envelope:
        return Envelope(
            term,
            self.voters.cluster_id,
            self._durable_log.replica_id,
            recipient_replica_id,
        )

    def _is_foreign(self, envelope: Envelope) -> bool:
        """Return True for a message meant for another replica or cluster."""
        clusters = {"", self.voters.cluster_id, envelope.cluster_id}
        other_replica = envelope.recipient_replica_id not in (
            "",
            self._durable_log.replica_id,
        )
        return other_replica or len(clusters) > 2

    def _record_leader_contact(self) -> None:
        """Record contact with a leader and restart the election timeout."""
        self._leader_contact_ms = self._clock.now_ms()
        timeout_ms = self._settings.election_timeout_ms
        self._election_due_ms = self._leader_contact_ms + timeout_ms * (
            1 + self._rng.random()
        )

    def _schedule_early_election(self) -> None:
        """Record that nobody leads, and schedule an early election at a random time."""
        now_ms = self._clock.now_ms()
        timeout_ms = self._settings.election_timeout_ms
        self._leader_contact_ms = min(self._leader_contact_ms, now_ms - timeout_ms)
        self._election_due_ms = (
            now_ms + timeout_ms * EARLY_ELECTION_RATIO * self._rng.random()
        )
        self._election_wakeup.set()

    def _restart_election_timeout(self) -> None:
        timeout_ms = self._settings.election_timeout_ms
        now_ms = self._clock.now_ms()
        self._election_due_ms = now_ms + timeout_ms * (1 + self._rng.random())

    async def _adopt_term(self, term: int) -> None:
        async with self._lock:
            if term > self.term:
                self._become_follower(None)
                await self._save_vote(term, "")

    async def _save_vote(self, term: int, voted_for: str) -> None:
        try:
            await self._durable_log.save_vote(Vote(term, voted_for))
        except StorageError as error:
            self._handle_storage_error(error)
            raise

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
            self._restart_election_timeout()
        for peer in self._peers.values():
            if peer.task is not None and peer.task is not asyncio.current_task():
                peer.task.cancel()
        self._peers = {}
        proposals, self._pending = self._pending, {}
        for proposal in proposals.values():
            if not proposal.future.done():
                proposal.future.set_exception(unknown_outcome(reason))
        self._state_changed.set()
        self._state_changed = asyncio.Event()

    def _wake_peers(self) -> None:
        for peer in self._peers.values():
            peer.wakeup.set()

    async def _run_to_completion(self, coroutine: Any) -> Any:
        """Run a handler to its end even if its caller is cancelled by a closed link.

        Otherwise a file operation that is under way would go on without the lock.
        """
        return await asyncio.shield(self._spawn(coroutine))

    async def _request(self, instance_id: str, request: Any) -> Any:
        """Send a message to a peer; return its response, or None if none came."""
        timeout_ms = self._settings.election_timeout_ms * REQUEST_TIMEOUT_RATIO
        timeout_ms = max(self._settings.heartbeat_ms, int(timeout_ms))
        try:
            return await self._fleet.request(
                instance_id, request, timeout_ms=timeout_ms
            )
        except CardamomrunError:
            return None
