"""Proposals of commands, and linearizable reads confirmed by a majority."""

import asyncio
from typing import Any

from cardamomrun_base.errors import NotLeaderError, UnavailableError
from cardamomrun_control.errors import unknown_outcome
from cardamomrun_control.replica import PendingProposal
from cardamomrun_control.replication import Replication

__all__ = ["Proposals"]

PROPOSE_TIMEOUT_MS = 5_000
PENDING_COUNT = 1_000


class Proposals(Replication):
    """Accepts commands and confirms reads while this replica leads."""

    async def propose(self, command: Any) -> Any:
        """Append a command and return the result of applying it once committed.

        Raises `NotLeaderError` or `UnavailableError` if the command was not appended,
        and `UnknownOutcomeError` if it was and its outcome is not known.
        """
        self._check_leader()
        if len(self._pending) >= PENDING_COUNT:
            raise UnavailableError(
                f"{PENDING_COUNT} changes are pending already.",
                remedy="send it again later",
            )
        entry = self._append_command(command)
        future = asyncio.get_running_loop().create_future()
        self._pending[entry.index] = PendingProposal(entry.term, future)
        self._wake_peers()
        try:
            async with asyncio.timeout(PROPOSE_TIMEOUT_MS / 1_000):
                return await future
        except TimeoutError as error:
            raise unknown_outcome("no majority answered in time") from error
        finally:
            pending = self._pending.get(entry.index)
            if pending is not None and pending.future is future:
                del self._pending[entry.index]

    async def confirm_leadership(self) -> None:
        """Return once a majority has confirmed that this replica still leads.

        The state then includes all that was committed before the call. Raises
        `NotLeaderError` or `UnavailableError`.
        """
        self._check_leader()
        called_ms = self._clock.now_ms()
        read_index = max(self._commit_index, self._term_start_index)
        term = self.term
        try:
            async with asyncio.timeout(self._settings.election_timeout_ms / 1_000):
                while not self._is_confirmed(term, called_ms, read_index):
                    state_changed = self._state_changed
                    self._wake_peers()
                    await state_changed.wait()
        except TimeoutError as error:
            raise UnavailableError(
                "No majority of the control instances confirms the leader.",
                remedy="ask another control instance, or restore the majority",
            ) from error

    def state_confirmed_ms(self) -> float | None:
        """Return until when, monotonic ms, the state includes all that was committed.

        None unless this replica leads and a majority has confirmed that.
        """
        read_index = max(self._commit_index, self._term_start_index)
        if not self.is_leader or self._applied_index < read_index:
            return None
        confirmed_ms = self._majority_acknowledged_ms()
        return None if confirmed_ms == float("-inf") else confirmed_ms

    def _is_confirmed(self, term: int, called_ms: float, read_index: int) -> bool:
        if not self.is_leader or self.term != term:
            raise self._not_leader_error()
        confirmed = self._majority_acknowledged_ms() >= called_ms
        return confirmed and self._applied_index >= read_index

    def _check_leader(self) -> None:
        """Raise unless this replica leads, holds the lease and can write its log."""
        self._check_storage()
        self._check_quorum()
        if not self.is_leader:
            raise self._not_leader_error()
        if not self.holds_lease():
            raise UnavailableError(
                "This control instance has not heard from a majority.",
                remedy="ask again in a second; restore the majority if it lasts",
            )

    def _not_leader_error(self) -> NotLeaderError:
        address = None
        for member in self._fleet.members():
            if member.instance_id == self._leader_id:
                address = member.admin_address
        return NotLeaderError(
            f"{self._instance_id} does not lead the control instances.",
            remedy="ask the leader" if address else "ask again in a few seconds",
            leader_admin_address=address,
        )
