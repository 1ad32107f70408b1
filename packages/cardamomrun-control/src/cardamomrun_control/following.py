"""Entries and snapshots that a follower receives from the leader."""

from cardamomrun_base.codec import CodecError, decode
from cardamomrun_base.messages import Acknowledgement
from cardamomrun_control.commits import Commits
from cardamomrun_control.messages import (
    AppendRequest,
    AppendResponse,
    Envelope,
    Resignation,
    SnapshotChunk,
    SnapshotResponse,
)
from cardamomrun_control.replica import Role
from cardamomrun_control.storage import Snapshot

__all__ = ["Following"]

MAX_SNAPSHOT_BYTES = 1_073_741_824


class Following(Commits):
    """Handles the leader's requests while this replica follows."""

    async def _accept_leader(self, peer_id: str, envelope: Envelope) -> bool:
        """Accept the sender as leader; False for an old term or another receiver."""
        if self._is_foreign(envelope) or envelope.term < self.term:
            return False
        if not envelope.recipient_replica_id:
            return False
        if envelope.term > self.term:
            self._become_follower(peer_id)
            await self._save_vote(envelope.term, "")
        elif self._role is not Role.FOLLOWER:
            self._become_follower(peer_id)
        self._leader_id = self._last_leader_id = peer_id
        self._record_leader_contact()
        if self._first_leader_ms is None:
            self._first_leader_ms = self._leader_contact_ms
        return True

    def _responding_replica_id(self, envelope: Envelope) -> str:
        """Return this replica's id, or "" for a message meant for another replica."""
        return "" if self._is_foreign(envelope) else self._durable_log.replica_id

    async def _on_append(self, peer_id: str, request: AppendRequest) -> AppendResponse:
        self._check_storage()
        return await self._run_to_completion(self._respond_to_append(peer_id, request))

    async def _respond_to_append(
        self, peer_id: str, request: AppendRequest
    ) -> AppendResponse:
        async with self._lock:
            accepted, match_index = await self._append(peer_id, request)
            replica_id = self._responding_replica_id(request.envelope)
            return AppendResponse(self.term, replica_id, accepted, match_index)

    async def _append(self, peer_id: str, request: AppendRequest) -> tuple[bool, int]:
        if not await self._accept_leader(peer_id, request.envelope):
            return False, 0
        possible_index = self._possible_match_index(request)
        if possible_index < request.previous_index:
            return False, possible_index
        new = [
            e for e in request.entries if self._durable_log.term_at(e.index) != e.term
        ]
        new = [entry for entry in new if entry.index > self._durable_log.snapshot.index]
        if new and new[0].index <= self._durable_log.last_index:
            await self._truncate(new[0].index)
        self._durable_log.write(new)
        for entry in new:
            self._record_voters(entry)
        await self._durable_log.sync()
        if new:
            self._register_peer_addresses()
        match_index = request.previous_index + len(request.entries)
        self._raise_commit_index(min(request.commit_index, match_index))
        return True, match_index

    def _possible_match_index(self, request: AppendRequest) -> int:
        """Return the last index up to `previous_index` where the logs may be equal."""
        index = min(request.previous_index, self._durable_log.last_index)
        if request.previous_index <= self._durable_log.snapshot.index:
            # Compacted entries are committed, so they are equal to the leader's.
            return request.previous_index
        if index < request.previous_index:
            return index
        term = self._durable_log.term_at(index)
        if term == request.previous_term:
            return index
        while index > self._durable_log.snapshot.index and (
            self._durable_log.term_at(index) == term
        ):
            index -= 1
        return index

    async def _on_resignation(
        self, peer_id: str, message: Resignation
    ) -> Acknowledgement:
        envelope = message.envelope
        is_current = envelope.term == self.term and self._leader_id == peer_id
        if is_current and not self._is_foreign(envelope):
            self._leader_id = None
            self._schedule_early_election()
        return Acknowledgement()

    async def _truncate(self, index: int) -> None:
        assert index > self._commit_index, "a committed entry would be removed"
        await self._durable_log.truncate_from(index)
        self._voter_sets = [(i, v) for i, v in self._voter_sets if i < index]

    async def _on_chunk(self, peer_id: str, chunk: SnapshotChunk) -> SnapshotResponse:
        self._check_storage()
        return await self._run_to_completion(self._respond_to_chunk(peer_id, chunk))

    async def _respond_to_chunk(
        self, peer_id: str, chunk: SnapshotChunk
    ) -> SnapshotResponse:
        async with self._lock:
            accepted, received, installed = await self._add_chunk(peer_id, chunk)
            replica_id = self._responding_replica_id(chunk.envelope)
            return SnapshotResponse(
                self.term, replica_id, accepted, received, installed
            )

    async def _add_chunk(
        self, peer_id: str, chunk: SnapshotChunk
    ) -> tuple[bool, int, bool]:
        if not await self._accept_leader(peer_id, chunk.envelope):
            return False, 0, False
        if chunk.index <= self._commit_index:
            return True, chunk.total_bytes, True
        if chunk.total_bytes > MAX_SNAPSHOT_BYTES:
            return False, 0, False
        term, index, received = self._partial_snapshot
        if (term, index) != (chunk.envelope.term, chunk.index):
            received = bytearray()
            self._partial_snapshot = (chunk.envelope.term, chunk.index, received)
        if chunk.offset_bytes == len(received):
            received += chunk.data
        if len(received) < chunk.total_bytes:
            return True, len(received), False
        self._partial_snapshot = (0, 0, bytearray())
        return await self._install_snapshot(bytes(received))

    async def _install_snapshot(self, data: bytes) -> tuple[bool, int, bool]:
        try:
            snapshot = decode(data)
        except CodecError:
            return False, 0, False
        if not isinstance(snapshot, Snapshot):
            return False, 0, False
        await self._durable_log.save_snapshot(snapshot)
        later = [
            (i, v)
            for i, v in self._voter_sets
            if snapshot.index < i <= self._durable_log.last_index
        ]
        self._load_snapshot(snapshot)
        self._voter_sets += later
        self._register_peer_addresses()
        self.on_commit()
        return True, len(data), True
