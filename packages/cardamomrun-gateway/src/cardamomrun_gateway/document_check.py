"""Checks that an entry instance has the newest routing document.

Documents reach instances by floods, which may be lost, and by exchanges with peers that
may have missed the same flood. So each entry instance asks a control instance for the
newest number, and fetches a document that has not arrived by itself. Until a question
was answered, an instance doesn't know whether its document is the newest.
"""

import asyncio
import random
import struct
from contextlib import suppress
from typing import Protocol

from cardamomrun_base.clock import MS_PER_S, Clock
from cardamomrun_base.errors import CardamomrunError, UnavailableError
from cardamomrun_base.interfaces import Fleet
from cardamomrun_base.logs import ComponentLog
from cardamomrun_base.messages import ConfirmedNumber, DocumentRequest
from cardamomrun_base.model import (
    ROUTING_KEY,
    MemberBody,
    MemberPhase,
    Record,
    RecordKind,
)
from cardamomrun_base.settings import Role
from cardamomrun_gateway import metrics
from cardamomrun_gateway.load_reports import LoadReports
from cardamomrun_gateway.report_relays import Address, address_of
from cardamomrun_gateway.table import RoutingTable
from cardamomrun_requests.background import BackgroundTasks

__all__ = ["DocumentAnswers", "DocumentCheck", "NewestNumberSource"]

# Older instances ignore datagrams of a kind that they don't know.
ASK = b"\x0d"
ANSWER = b"\x0e"
QUESTION_FORMAT = struct.Struct("!I")
# Question, number of the newest document, its age in ms.
ANSWER_FORMAT = struct.Struct("!IqI")
QUESTION_COUNT = 1 << 32
# A document has to be in force everywhere 2 s after it is acknowledged. Asking, waiting
# for its flood and fetching it take less.
ASK_INTERVAL_MS = 500.0
RETRY_INTERVAL_MS = 200.0
# A flood takes up to 0.8 s in a fleet of 116 instances with links of 3.9 Mbit/s, but
# rarely more than this.
FLOOD_MS = 400.0
FETCH_TIMEOUT_MS = 1_500
# How long an answer counts. Answers may be lost several times in a row.
CONFIRMED_MS = 2_000.0
# Questions whose answers still count.
PENDING_COUNT = 16

_log = ComponentLog("routing")


class NewestNumberSource(Protocol):
    """What `DocumentAnswers` needs of the control role."""

    async def get(self) -> ConfirmedNumber:
        """Return the newest number; raise `CardamomrunError` if that is not known."""
        ...  # pragma: no cover


class DocumentAnswers:
    """Answers the questions of entry instances, on control instances."""

    def __init__(self, source: NewestNumberSource, reports: LoadReports) -> None:
        self._source = source
        self._reports = reports
        self._tasks = BackgroundTasks()
        reports.add_handler(ASK, self._on_ask)

    def _on_ask(self, body: bytes, sender: Address) -> None:
        (question,) = _unpack(QUESTION_FORMAT, body)
        self._tasks.spawn(self._answer(question, sender))

    async def _answer(self, question: int, sender: Address) -> None:
        try:
            newest = await self._source.get()
        except CardamomrunError:
            # The instance that asked tries another control instance.
            return
        data = ANSWER_FORMAT.pack(question, newest.number, round(newest.age_ms))
        self._reports.send(ANSWER + data, sender)


class DocumentCheck:
    """Keeps the routing document of an entry instance current, and tells if it is."""

    def __init__(
        self,
        clock: Clock,
        fleet: Fleet,
        table: RoutingTable,
        reports: LoadReports,
        failure_domain: str,
        randomness: random.Random | None = None,
    ) -> None:
        self._clock = clock
        self._fleet = fleet
        self._table = table
        self._reports = reports
        self._failure_domain = failure_domain
        self._random = randomness or random.Random()
        self._question = self._random.randrange(QUESTION_COUNT)
        self._asked_ms: dict[int, float] = {}
        self._asked: MemberBody | None = None
        self._confirmed_ms = float("-inf")
        self._last_asked_ms = float("-inf")
        self._newest = -1
        self._superseded_confirmed_ms = float("-inf")
        self._behind_since_ms: float | None = None
        self._first_confirmed = asyncio.Event()
        reports.add_handler(ANSWER, self._on_answer)

    @property
    def is_current(self) -> bool:
        """True if the document in force was the newest within `CONFIRMED_MS`."""
        return (
            self._newest <= self._table.number
            and self._clock.now_ms() - self._confirmed_ms <= CONFIRMED_MS
        )

    @property
    def confirmed_age_ms(self) -> float:
        """Time since the document in force was last known to be the newest; may be inf."""
        confirmed_ms = self._confirmed_ms
        if self._newest > self._table.number:
            confirmed_ms = self._superseded_confirmed_ms
        return self._clock.now_ms() - confirmed_ms

    async def wait_first(self, timeout_ms: float) -> None:
        """Return once a document was confirmed for the first time, or after the timeout.

        Where control cannot be reached, the document of the peers has to do.
        """
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout_ms / MS_PER_S):
                await self._first_confirmed.wait()

    async def run(self) -> None:
        """Ask regularly, and fetch a document that does not arrive, until cancelled."""
        was_current = False
        while True:
            if self._is_question_due():
                self._ask()
            await self._clock.sleep_ms(RETRY_INTERVAL_MS * self._random.uniform(0.8, 1))
            if self._is_fetch_due():
                await self._fetch()
            if self.is_current != was_current:
                was_current = not was_current
                self._log_change(was_current)

    def _is_question_due(self) -> bool:
        """Return False for a while after a question that was answered."""
        if not self.is_current or self._question in self._asked_ms:
            return True
        age_ms = self._clock.now_ms() - self._last_asked_ms
        return age_ms + RETRY_INTERVAL_MS > ASK_INTERVAL_MS

    def _log_change(self, is_current: bool) -> None:
        metrics.DOCUMENT_IS_CURRENT.set(float(is_current))
        if is_current:
            _log.info(
                "control confirms the routing document", number=self._table.number
            )
        else:
            _log.warning(
                "can't tell whether the routing document is the newest",
                number=self._table.number,
                newest_known=self._newest,
            )

    def _ask(self) -> None:
        control = self._choose_control()
        if control is None:
            return
        self._asked = control
        self._question = (self._question + 1) % QUESTION_COUNT
        self._asked_ms[self._question] = self._last_asked_ms = self._clock.now_ms()
        if len(self._asked_ms) > PENDING_COUNT:
            del self._asked_ms[next(iter(self._asked_ms))]
        question = QUESTION_FORMAT.pack(self._question)
        self._reports.send(ASK + question, address_of(control.peer_address))

    def _choose_control(self) -> MemberBody | None:
        """Return the control instance to ask, or None if none is known.

        One of the own failure domain, or any other if the last one did not answer.
        """
        members = [
            member
            for member in self._fleet.members()
            if Role.CONTROL in member.roles and member.phase is MemberPhase.SERVING
        ]
        has_answered = self._question not in self._asked_ms
        local = [m for m in members if m.failure_domain == self._failure_domain]
        if has_answered and local:
            members = local
        elif not has_answered and len(members) > 1:
            members = [m for m in members if m != self._asked]
        return self._random.choice(members) if members else None

    def _on_answer(self, body: bytes, sender: Address) -> None:
        question, number, age_ms = _unpack(ANSWER_FORMAT, body)
        asked_ms = self._asked_ms.pop(question, None)
        if asked_ms is None:
            return
        if self._newest <= self._table.number:
            # Kept for the case that this answer names a newer document.
            self._superseded_confirmed_ms = self._confirmed_ms
        self._confirmed_ms = max(self._confirmed_ms, asked_ms - age_ms)
        self._newest = max(self._newest, number)
        if self._newest <= self._table.number:
            self._behind_since_ms = None
            self._first_confirmed.set()
        elif self._behind_since_ms is None:
            self._behind_since_ms = self._clock.now_ms()

    def _is_fetch_due(self) -> bool:
        stored = self._fleet.store.get(RecordKind.ROUTING, ROUTING_KEY)
        if stored is not None and stored.content.number >= self._newest:
            # It has arrived but can't be read.
            return False
        return (
            self._newest > self._table.number
            and self._behind_since_ms is not None
            and self._clock.now_ms() - self._behind_since_ms >= FLOOD_MS
        )

    async def _fetch(self) -> None:
        control = self._choose_control()
        if control is None:
            return
        result = "fetched"
        try:
            record = await self._fleet.request(
                control.instance_id,
                DocumentRequest(self._newest),
                timeout_ms=FETCH_TIMEOUT_MS,
            )
        except UnavailableError as error:
            result = f"failed: {error}"
        else:
            if isinstance(record, Record) and record.kind is RecordKind.ROUTING:
                self._fleet.store.put(record)
        metrics.DOCUMENT_FETCHES.labels(result.partition(":")[0]).inc()
        _log.warning(
            f"a routing document did not arrive by itself: {result}",
            newest=self._newest,
            in_force=self._table.number,
            peer_id=control.instance_id,
        )


def _unpack(layout: struct.Struct, data: bytes) -> tuple[int, ...]:
    """Return the fields of a message, or raise `ValueError`."""
    try:
        return layout.unpack(data)
    except struct.error as error:
        raise ValueError(f"not a message about documents: {error}") from error
