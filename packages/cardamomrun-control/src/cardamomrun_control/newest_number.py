"""The number of the newest routing document, as far as a majority has confirmed it."""

import asyncio
from dataclasses import dataclass
from typing import Any

from cardamomrun_base.clock import Clock
from cardamomrun_base.codec import message
from cardamomrun_base.errors import UnavailableError
from cardamomrun_base.interfaces import Fleet
from cardamomrun_base.messages import ConfirmedNumber, DocumentRequest
from cardamomrun_base.model import ROUTING_KEY, InstanceId, Record, RecordKind
from cardamomrun_control.agreement import Agreement
from cardamomrun_control.state import ControlState
from cardamomrun_control.status import LEADER_KEY

__all__ = ["NewestNumber"]

# Instances that ask within this time share one question to the leader.
SHARED_MS = 200.0
LEADER_TIMEOUT_MS = 500


@message("control-newest-number")
@dataclass(frozen=True)
class NewestNumberRequest:
    """Asks the leader for the number of the newest document."""


class NewestNumber:
    """Answers which document is the newest, on every control instance.

    The leader answers from its state and the time at which a majority last confirmed
    that it leads; other instances ask the leader.
    """

    def __init__(
        self, clock: Clock, fleet: Fleet, agreement: Agreement, state: ControlState
    ) -> None:
        self._clock = clock
        self._fleet = fleet
        self._agreement = agreement
        self._state = state
        self._number = -1
        self._confirmed_ms = float("-inf")
        self._asking: asyncio.Task[None] | None = None
        fleet.handle(NewestNumberRequest, self._on_number_request)
        fleet.handle(DocumentRequest, self._on_document_request)

    async def get(self) -> ConfirmedNumber:
        """Return the newest number and how long ago it was the newest.

        Raises `UnavailableError` if neither this instance nor a known leader can tell.
        """
        if self._agreement.is_leader:
            return self._own_answer()
        if self._clock.now_ms() - self._confirmed_ms > SHARED_MS:
            # Shielded, because other questions may wait for the same answer.
            await asyncio.shield(self._shared_question())
        return ConfirmedNumber(self._number, self._clock.now_ms() - self._confirmed_ms)

    def _own_answer(self) -> ConfirmedNumber:
        confirmed_ms = self._agreement.state_confirmed_ms()
        if confirmed_ms is None:
            raise UnavailableError(
                "No majority has confirmed the leader yet.",
                remedy="ask another control instance, or restore the majority",
            )
        age_ms = max(0.0, self._clock.now_ms() - confirmed_ms)
        return ConfirmedNumber(self._state.routing.number, age_ms)

    def _shared_question(self) -> asyncio.Task[None]:
        if self._asking is None or self._asking.done():
            self._asking = asyncio.create_task(self._ask_leader())
        return self._asking

    def _leader_id(self) -> InstanceId | None:
        # Instances without a vote know the leader only from its record.
        if self._agreement.leader_id is not None:
            return self._agreement.leader_id
        record = self._fleet.store.get(RecordKind.LEADER, LEADER_KEY)
        return None if record is None else record.content.instance_id

    async def _ask_leader(self) -> None:
        leader_id = self._leader_id()
        if leader_id is None or leader_id == self._fleet.instance_id:
            raise UnavailableError(
                "No leader of the control instances is known.",
                remedy="ask again in a second, or ask another control instance",
            )
        asked_ms = self._clock.now_ms()
        answer: Any = await self._fleet.request(
            leader_id, NewestNumberRequest(), timeout_ms=LEADER_TIMEOUT_MS
        )
        if not isinstance(answer, ConfirmedNumber):
            raise UnavailableError(
                f"The leader {leader_id} sent another message.",
                remedy="check that all control instances run the same release",
            )
        confirmed_ms = asked_ms - answer.age_ms
        if confirmed_ms >= self._confirmed_ms:
            self._number, self._confirmed_ms = answer.number, confirmed_ms

    async def _on_number_request(
        self, peer_id: InstanceId, request: NewestNumberRequest
    ) -> ConfirmedNumber:
        if not self._agreement.is_leader:
            raise UnavailableError(
                "This instance does not lead.", remedy="ask the leader"
            )
        return self._own_answer()

    async def _on_document_request(
        self, peer_id: InstanceId, request: DocumentRequest
    ) -> Record:
        record = self._fleet.store.get(RecordKind.ROUTING, ROUTING_KEY)
        if record is None or record.content.number < request.number:
            raise UnavailableError(
                f"Document {request.number} has not arrived here.",
                remedy="ask another control instance",
            )
        return record
