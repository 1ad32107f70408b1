"""Advances the commit index, applies entries and takes snapshots of the state."""

import asyncio
from typing import Any

from cardamomrun_base.codec import decode, encode
from cardamomrun_control.errors import unknown_outcome
from cardamomrun_control.lease import Lease
from cardamomrun_control.replica import Noop
from cardamomrun_control.storage import Entry, Snapshot

__all__ = ["Commits"]


class Commits(Lease):
    """Applies committed entries in the order of the log."""

    def _advance_commit_index(self) -> None:
        if not self.is_leader:
            return
        matches = [
            self._durable_log.synced_index
            if self._is_own(voter)
            else self._peers[voter.instance_id].match_index
            if voter.instance_id in self._peers
            else 0
            for voter in self._non_learners()
        ]
        matches.sort(reverse=True)
        index = matches[self._majority_count() - 1]
        # Entries of earlier terms are committed only by a later one of the current term
        # (Raft, section 5.4.2).
        if index > self._commit_index and self._durable_log.term_at(index) == self.term:
            self._commit_index = index
            self._apply_committed()
            self._wake_peers()

    def _raise_commit_index(self, index: int) -> None:
        if index > self._commit_index:
            self._commit_index = index
            self._apply_committed()

    def _apply_recovered(self) -> None:
        """Apply the entries that were known to be committed before the last stop.

        A committed entry is never replaced, so this needs no leader.
        """
        index = min(
            self._durable_log.recovery.commit_index, self._durable_log.last_index
        )
        self._raise_commit_index(index)

    def _apply_committed(self) -> None:
        while self._applied_index < self._commit_index:
            index = self._applied_index + 1
            entry = self._durable_log.entries_from(index)[0]
            command = decode(entry.command)
            result = None
            if not isinstance(command, Noop):
                result = self._state.apply(command, index)
            self._applied_index = index
            self._complete_proposal(entry, result)
        self._step_down_if_removed()
        self._state_changed.set()
        self._state_changed = asyncio.Event()
        self.on_commit()
        self._start_snapshot_if_due()

    def _complete_proposal(self, entry: Entry, result: Any) -> None:
        pending = self._pending.pop(entry.index, None)
        if pending is None or pending.future.done():
            return
        if pending.term == entry.term:
            pending.future.set_result(result)
        else:
            pending.future.set_exception(unknown_outcome("another instance leads"))

    def _step_down_if_removed(self) -> None:
        index, _ = self._voter_sets[-1]
        if self.is_leader and index <= self._commit_index and not self._has_vote():
            self._stop_leading("it was removed from the voters")

    def _start_snapshot_if_due(self) -> None:
        covered_count = self._applied_index - self._durable_log.snapshot.index
        running = self._snapshot_task is not None and not self._snapshot_task.done()
        if covered_count >= self._settings.snapshot_entry_count and not running:
            snapshot = self._make_snapshot()
            self._snapshot_task = self._spawn(self._durable_log.save_snapshot(snapshot))

    def _make_snapshot(self) -> Snapshot:
        index = self._applied_index
        voters = [v for i, v in self._voter_sets if i <= index][-1]
        later = [(i, v) for i, v in self._voter_sets if i > index]
        self._voter_sets = [(index, voters), *later]
        term = self._durable_log.term_at(index) or 0
        return Snapshot(index, term, encode(voters), self._state.snapshot())
