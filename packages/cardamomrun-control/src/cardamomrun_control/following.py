"""Following: entries and snapshots received from a leader."""

from cardamomrun_base.codec import CodecError, decode
from cardamomrun_base.messages import Settled
from cardamomrun_control.commits import Commits
from cardamomrun_control.messages import (
    AppendAnswer,
    AppendRequest,
    Envelope,
    Resignation,
    SnapshotAnswer,
    SnapshotChunk,
)
from cardamomrun_control.replica import Role
from cardamomrun_control.storage import Snapshot

__all__ = ["Following"]

MAX_SNAPSHOT_BYTES = 1_073_741_824


class Following(Commits):
    """Answers a leader's requests."""

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
        if self._first_leader_ms is None:
            self._first_leader_ms = self._heard_ms
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

    async def _on_resignation(self, peer_id: str, message: Resignation) -> Settled:
        envelope = message.envelope
        is_current = envelope.term == self.term and self._leader_id == peer_id
        if is_current and not self._is_foreign(envelope):
            self._leader_id = None
            self._hear_no_leader()
        return Settled()

    async def _truncate(self, index: int) -> None:
        assert index > self._commit_index, "a committed entry would be removed"
        await self._durable.truncate_from(index)
        self._voter_sets = [(i, v) for i, v in self._voter_sets if i < index]

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
