"""Leading: replication of the log, with one task for each peer."""

import asyncio
import uuid
from dataclasses import replace
from typing import Any

from cardamomrun_base.codec import encode
from cardamomrun_base.logs import PartLog
from cardamomrun_control.commits import Commits
from cardamomrun_control.messages import (
    AppendAnswer,
    AppendRequest,
    SnapshotAnswer,
    SnapshotChunk,
)
from cardamomrun_control.progress import Progress
from cardamomrun_control.replica import Noop, Role
from cardamomrun_control.state import ChangeVoters, Voters
from cardamomrun_control.storage import Entry

__all__ = ["Replication"]

BATCH_BYTES = 262_144
CHUNK_BYTES = 262_144

_log = PartLog("control")


class Replication(Commits):
    """Brings the other replicas up to date while this one leads."""

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
        if self._first_leader_ms is None:
            self._first_leader_ms = now_ms
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
            # What the old folder held and promised is gone with it.
            peer.match_index = 0
            peer.acknowledged_ms = float("-inf")
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
