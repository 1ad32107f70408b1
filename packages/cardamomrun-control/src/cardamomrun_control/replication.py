"""Log replication by the leader, with one task for each peer."""

import asyncio
import uuid
from dataclasses import replace
from typing import Any

from cardamomrun_base.codec import encode
from cardamomrun_base.logs import ComponentLog
from cardamomrun_control.commits import Commits
from cardamomrun_control.messages import (
    AppendRequest,
    AppendResponse,
    SnapshotChunk,
    SnapshotResponse,
)
from cardamomrun_control.progress import Progress
from cardamomrun_control.replica import Noop, Role
from cardamomrun_control.state import ChangeVoters, Voters
from cardamomrun_control.storage import Entry

__all__ = ["Replication"]

BATCH_BYTES = 262_144
CHUNK_BYTES = 262_144

_log = ComponentLog("control")


class Replication(Commits):
    """Replicates the log to the other replicas while this one leads."""

    async def _become_leader(self, votes: dict[str, str]) -> None:
        now_ms = self._clock.now_ms()
        self._role = Role.LEADER
        self._leader_id = self._instance_id
        self._lease_until_ms = float("-inf")
        self._peers = {}
        self._term_start_index = self._durable_log.last_index + 1
        command: Any = Noop(self.term)
        if self._is_new_cluster:
            command = self._create_cluster_command(votes)
        _log.info(f"leads in term {self.term}", term=self.term)
        self._started_leading_ms = now_ms
        if self._first_leader_ms is None:
            self._first_leader_ms = now_ms
        self._append_command(command)
        self._update_peer_tasks()
        self._count_silence_of_last_leader()
        self._extend_lease()

    def _count_silence_of_last_leader(self) -> None:
        """Count its silence from its last message, which came before the election."""
        peer = self._peers.get(self._last_leader_id or "")
        if peer is not None:
            peer.silent_since_ms = min(peer.silent_since_ms, self._leader_contact_ms)

    def _create_cluster_command(self, votes: dict[str, str]) -> ChangeVoters:
        entries = tuple(
            replace(voter, replica_id=votes[voter.instance_id])
            for voter in self.voters.entries
        )
        voters = Voters(uuid.UUID(int=self._rng.getrandbits(128)).hex, entries)
        return ChangeVoters("", self._clock.wall_ms(), "create", voters)

    def _append_command(self, command: Any) -> Entry:
        entry = Entry(self._durable_log.last_index + 1, self.term, encode(command))
        # There is no await before the write, so entries keep the order of proposals.
        self._durable_log.write([entry])
        self._spawn(self._sync_own_log())
        if isinstance(command, ChangeVoters):
            self._record_voters(entry)
            self._update_peer_tasks()
        return entry

    async def _sync_own_log(self) -> None:
        await self._durable_log.sync()
        self._advance_commit_index()

    def _update_peer_tasks(self) -> None:
        """Start and cancel replication tasks, so that each other voter has one."""
        wanted = {v.instance_id: v for v in self.voters.entries if not self._is_own(v)}
        for instance_id, peer in list(self._peers.items()):
            voter = wanted.get(instance_id)
            if voter is None or voter.replica_id != peer.replica_id:
                del self._peers[instance_id]
                if peer.task is not None:
                    peer.task.cancel()
        self._register_peer_addresses()
        for instance_id, voter in wanted.items():
            if instance_id not in self._peers:
                peer = Progress(
                    instance_id,
                    voter.replica_id,
                    self._durable_log.last_index + 1,
                    self._clock.now_ms(),
                )
                self._peers[instance_id] = peer
                peer.task = self._spawn(self._replicate(peer, self.term))

    async def _replicate(self, peer: Progress, term: int) -> None:
        """Keep one follower up to date while this replica leads in `term`."""
        while self.is_leader and self.term == term:
            peer.wakeup.clear()
            answered = await self._send_next(peer, term)
            if answered and peer.next_index <= self._durable_log.last_index:
                continue
            try:
                async with asyncio.timeout(self._settings.heartbeat_ms / 1_000):
                    await peer.wakeup.wait()
            except TimeoutError:
                continue
            if not answered:
                await self._clock.sleep_ms(self._settings.heartbeat_ms / 4)

    async def _send_next(self, peer: Progress, term: int) -> bool:
        """Send entries or a snapshot; return True if a response updated `peer`."""
        if peer.next_index < self._durable_log.first_index:
            return await self._send_snapshot(peer, term)
        previous_index = peer.next_index - 1
        previous_term = self._durable_log.term_at(previous_index)
        assert previous_term is not None
        request = AppendRequest(
            self._envelope(term, peer.replica_id),
            previous_index,
            previous_term,
            self._batch(peer.next_index),
            self._commit_index,
        )
        sent_ms = self._clock.now_ms()
        response = await self._request(peer.instance_id, request)
        if not isinstance(response, AppendResponse):
            return False
        if not await self._accept_response(peer, term, response, sent_ms):
            return False
        if response.accepted:
            peer.match_index = max(peer.match_index, response.match_index)
            peer.next_index = max(peer.next_index, peer.match_index + 1)
            self._advance_commit_index()
        else:
            peer.next_index = max(1, min(previous_index, response.match_index + 1))
        return True

    def _batch(self, first_index: int) -> tuple[Entry, ...]:
        entries: list[Entry] = []
        size_bytes = 0
        for entry in self._durable_log.entries_from(first_index):
            size_bytes += len(entry.command)
            if entries and size_bytes > BATCH_BYTES:
                break
            entries.append(entry)
        return tuple(entries)

    async def _accept_response(
        self, peer: Progress, term: int, response: Any, sent_ms: float
    ) -> bool:
        """Check a response's replica id and term, and extend the lease by it."""
        if response.replica_id != peer.replica_id:
            if not peer.is_replaced:
                _log.warning(
                    f"{peer.instance_id} has a new data folder; remove it from the "
                    "voters and add it again"
                )
            peer.is_replaced = True
            # The entries and promises of the old folder are lost.
            peer.match_index = 0
            peer.acknowledged_ms = float("-inf")
            return False
        peer.is_replaced = False
        if response.term > term:
            await self._adopt_term(response.term)
            return False
        if not self.is_leader or self.term != term or response.term < term:
            return False
        peer.acknowledged_ms = max(peer.acknowledged_ms, sent_ms)
        self._extend_lease()
        return True

    async def _send_snapshot(self, peer: Progress, term: int) -> bool:
        snapshot = self._durable_log.snapshot
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
            response = await self._request(peer.instance_id, chunk)
            if not isinstance(response, SnapshotResponse):
                return False
            if not await self._accept_response(peer, term, response, sent_ms):
                return False
            if response.installed:
                peer.match_index = max(peer.match_index, snapshot.index)
                peer.next_index = snapshot.index + 1
                self._advance_commit_index()
                return True
            if not response.accepted:
                return False
            offset_bytes = response.held_bytes
        return False
