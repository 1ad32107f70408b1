"""Quotas of organisations, which all entry instances share.

An instance asks the organisation's token server for a lease. Question and answer are a
datagram each, and either may be lost. Tokens whose answer is lost count as used. Another
datagram gives back the token of a request that was not sent.
"""

import asyncio
import itertools
import random
import struct
from dataclasses import dataclass, field

from cardamomrun_base.clock import MS_PER_S, Clock
from cardamomrun_base.hashing import score
from cardamomrun_base.interfaces import Fleet
from cardamomrun_base.logs import ComponentLog
from cardamomrun_base.model import MemberBody
from cardamomrun_base.routing_document import Organisation, RoutingDocument
from cardamomrun_base.settings import GatewaySettings
from cardamomrun_gateway import metrics
from cardamomrun_gateway.fleet_load import FleetLoad
from cardamomrun_gateway.load_reports import LoadReports
from cardamomrun_gateway.quota_bucket import (
    LOCAL_SHARE_MS,
    Admitted,
    Denied,
    GrantBucket,
    InstanceQuota,
    Lease,
    OverQuota,
    PauseDetector,
    Quota,
)
from cardamomrun_gateway.quota_members import QuotaMembers
from cardamomrun_gateway.refusals import RequestFailedError, refusal
from cardamomrun_gateway.report_relays import Address, address_of
from cardamomrun_gateway.routed_request import RoutedRequest
from cardamomrun_gateway.table import RoutingTable
from cardamomrun_requests.background import BackgroundTasks

__all__ = ["Quotas", "organisation_key"]

# Instances of a release without these kinds ignore them; the instance that asks then has
# no answer.
ASK = b"\x0f"
ANSWER = b"\x10"
RETURN = b"\x11"
# Number, key of the organisation, tokens wanted, tokens used without a lease.
QUESTION_FORMAT = struct.Struct("!HQBB")
# Number, tokens granted, time until they are free or the next one is, level of the
# bucket.
ANSWER_FORMAT = struct.Struct("!HBHH")
# Key of the organisation, tokens that were not used.
RETURN_FORMAT = struct.Struct("!QB")
NUMBER_COUNT = 1 << 16
MAX_BYTE = 255
MAX_SHORT = 65_535
# Instead of the tokens granted: the instance is not the token server.
NOT_GRANTER = 255
TIME_UNIT_MS = 0.1
# A token server in another failure domain answers within a few milliseconds unless it is
# paused or unreachable.
ANSWER_TIMEOUT_MS = 50.0
# Questions before the local share is used; single datagrams may be lost.
QUESTION_ATTEMPTS = 2
# Leases that one request waits for. Later ones are needed only if many requests share
# small leases.
MAX_ROUNDS = 4
# Questions that arrived during a pause are read within this time after it. Their tokens
# would arrive too late to be used.
OLD_QUESTIONS_MS = 20.0
# Shorter than the gap that counts as a pause.
TICK_MS = 100.0
# While the document has no organisations, only a new document is waited for.
UNUSED_TICK_MS = 1_000.0
# An organisation without a request for this long is forgotten.
IDLE_MS = 60_000.0
# A token server grants what is left for this long after another one has replaced it;
# instances learn of the successor at different times.
HANDOVER_MS = 500.0
# An organisation is no longer over its quota after this time without a denial.
OVER_END_MS = 5_000.0
NO_ANSWER_LOG_MS = 1_000.0

# Looked up once: each lookup of labels costs more than the decision.
DECISIONS = {
    label: metrics.QUOTA_DECISIONS.labels(label)
    for label in ("refused", "local-share", "lease")
}

_log = ComponentLog("quotas")


@dataclass
class _Exchange:
    """One organisation on an instance, and the question in flight, if any."""

    held: InstanceQuota
    organisation: Organisation
    key: int
    quota: Quota
    waiting_count: int = 0
    # Until then the token server is not asked, since the deputy answered instead of it.
    deputy_until_ms: float = float("-inf")
    task: asyncio.Task[None] | None = None


@dataclass
class _Grants:
    """One organisation on its token server.

    The counts are those since it began to be over its quota.
    """

    bucket: GrantBucket
    used_ms: float
    over_since_ms: float | None = None
    denied_ms: float = field(default=float("-inf"))
    granted_count: int = 0
    denied_count: int = 0


class Quotas:
    """Admits requests of organisations, and grants the tokens of some."""

    def __init__(
        self,
        settings: GatewaySettings,
        clock: Clock,
        fleet: Fleet,
        load: FleetLoad,
        table: RoutingTable,
        reports: LoadReports,
        randomness: random.Random | None = None,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._table = table
        self._reports = reports
        self._random = randomness or random.Random()
        self._members = QuotaMembers(clock, fleet, load)
        self._member_change_count = 0
        self._numbers = itertools.count(self._random.randrange(NUMBER_COUNT))
        self._pending: dict[int, asyncio.Future[Lease | Denied | None]] = {}
        # By name.
        self._exchanges: dict[str, _Exchange] = {}
        self._grants: dict[int, _Grants] = {}
        self._tasks = BackgroundTasks()
        self._pauses = PauseDetector(clock.now_ms(), clock.wall_ms())
        self._resumed_ms = float("-inf")
        self._no_answer_logged_ms = float("-inf")
        self._indexed: RoutingDocument | None = None
        self._organisations: dict[int, Organisation] = {}
        reports.add_handler(ASK, self._on_ask)
        reports.add_handler(ANSWER, self._on_answer)
        reports.add_handler(RETURN, self._on_return)

    def update_settings(self, settings: GatewaySettings) -> None:
        """Replace the window and the tolerances of all quotas."""
        self._settings = settings
        for exchange in self._exchanges.values():
            exchange.held.settings = settings
            exchange.quota = Quota.of(exchange.organisation, settings)

    async def run(self) -> None:
        """Call `tick` regularly, until cancelled."""
        while True:
            document = self._table.document
            is_used = document is not None and document.organisations is not None
            if is_used:
                self.tick()
            await self._clock.sleep_ms(TICK_MS if is_used else UNUSED_TICK_MS)

    def tick(self) -> None:
        """Notice pauses and other members, and forget idle organisations."""
        self._note_time()
        self._members.refresh()
        self._forget_idle()

    def check_denial(self, routed: RoutedRequest, *, is_relayed: bool) -> None:
        """Raise `RequestFailedError` if it is known that there is no token."""
        organisation = _limited_organisation(routed, is_relayed=is_relayed)
        if organisation is None:
            return
        exchange = self._exchanges.get(organisation.name)
        if exchange is None or exchange.organisation is not organisation:
            return
        result = exchange.held.refusal_if_denied(
            exchange.quota, self._members.share.known_count, self._clock.now_ms()
        )
        if result is not None:
            DECISIONS[_decision_label(result)].inc()
            raise _over_quota_error(routed, result)

    async def check(
        self, routed: RoutedRequest, *, is_relayed: bool
    ) -> Admitted | None:
        """Take a token for a request; raise `RequestFailedError` if there is none.

        Returns None for a request that needs none. For a relayed one, the instance that
        asks has taken it.
        """
        organisation = _limited_organisation(routed, is_relayed=is_relayed)
        if organisation is None:
            return None
        result = await self.admit(organisation)
        if isinstance(result, OverQuota):
            raise _over_quota_error(routed, result)
        return result

    def give_back(self, organisation: Organisation, admitted: Admitted) -> None:
        """Take back the token of a request of which no server received anything.

        To be called at most once for each token.
        """
        exchange = self._exchanges.get(organisation.name)
        if exchange is None:
            return
        now_ms, wall_ms = self._clock.now_ms(), self._clock.wall_ms()
        if not exchange.held.give_back(admitted, now_ms, wall_ms):
            return
        granter = self._members.granter(exchange.key)
        if self._members.is_granter(exchange.key):
            self._add_returned(exchange.key, 1)
        elif granter is not None:
            body = RETURN_FORMAT.pack(exchange.key, 1)
            self._reports.send(RETURN + body, address_of(granter.peer_address))

    async def admit(self, organisation: Organisation) -> Admitted | OverQuota:
        """Take a token for one request; waits shortly if one becomes free."""
        if organisation.requests_per_s <= 0.0:
            return Admitted()
        self._note_time()
        self._members.refresh()
        result = await self._decide(organisation)
        DECISIONS[_decision_label(result)].inc()
        if isinstance(result, Admitted) and result.delay_ms > 0.0:
            await self._clock.sleep_ms(result.delay_ms)
        return result

    async def _decide(self, organisation: Organisation) -> Admitted | OverQuota:
        exchange = self._exchange(organisation)
        held = exchange.held
        held.count_request(self._clock.now_ms())
        for _ in range(MAX_ROUNDS):
            result = held.decide(
                exchange.quota,
                self._members.share.known_count,
                self._clock.now_ms(),
                self._clock.wall_ms(),
            )
            if result is not None:
                return result
            await self._wait_for_lease(exchange)
        return held.use_local_share(
            exchange.quota, self._members.share.known_count, self._clock.now_ms()
        )

    def _exchange(self, organisation: Organisation) -> _Exchange:
        exchange = self._exchanges.get(organisation.name)
        if exchange is None:
            now_ms = self._clock.now_ms()
            exchange = self._exchanges[organisation.name] = _Exchange(
                InstanceQuota(self._settings, now_ms, self._random),
                organisation,
                organisation_key(organisation.name),
                Quota.of(organisation, self._settings),
            )
        elif exchange.organisation is not organisation:
            exchange.organisation = organisation
            exchange.quota = Quota.of(organisation, self._settings)
        return exchange

    async def _wait_for_lease(self, exchange: _Exchange) -> None:
        if self._members.is_granter(exchange.key):
            self._take_own(exchange)
            return
        exchange.waiting_count += 1
        try:
            if exchange.task is None:
                # A task of its own: the request that began it may be cancelled.
                exchange.task = self._tasks.spawn(self._renew_lease(exchange))
            await asyncio.shield(exchange.task)
        finally:
            exchange.waiting_count -= 1

    def _take_own(self, exchange: _Exchange) -> None:
        held, now_ms = exchange.held, self._clock.now_ms()
        debt_count = held.debt_count(now_ms)
        held.settle_debt(debt_count)
        result = self._grant(exchange.key, exchange.organisation, 1, debt_count)
        if isinstance(result, Lease):
            held.add_lease(result, now_ms, self._clock.wall_ms(), now_ms)
        else:
            held.add_denial(result, now_ms)

    async def _renew_lease(self, exchange: _Exchange) -> None:
        held, key = exchange.held, exchange.key
        try:
            for _ in range(QUESTION_ATTEMPTS):
                granter = self._members.granter(key)
                is_deputy_asked = self._clock.now_ms() < exchange.deputy_until_ms
                if granter is None or is_deputy_asked:
                    break
                asked_ms, asked_wall_ms = self._clock.now_ms(), self._clock.wall_ms()
                debt_count = min(MAX_BYTE, held.debt_count(asked_ms))
                wanted_count = min(
                    NOT_GRANTER - 1, held.wanted_count(exchange.waiting_count, asked_ms)
                )
                result = await self._ask(granter, key, wanted_count, debt_count)
                now_ms = self._clock.now_ms()
                if isinstance(result, Lease):
                    held.settle_debt(debt_count)
                    held.add_lease(result, asked_ms, asked_wall_ms, now_ms)
                    return
                if isinstance(result, Denied):
                    held.settle_debt(debt_count)
                    held.add_denial(result, now_ms)
                    return
                self._members.refresh(is_forced=True)
                if self._members.is_granter(key):
                    # The next round takes it from the own bucket.
                    return
            if await self._ask_deputy(exchange):
                return
            held.add_no_answer(
                exchange.quota, self._members.share.known_count, self._clock.now_ms()
            )
        finally:
            exchange.task = None

    async def _ask_deputy(self, exchange: _Exchange) -> bool:
        """Return True if the deputy has granted tokens.

        It grants only those with which it would start as the token server. Local shares
        refuse most requests of small organisations, which these few tokens serve until
        the token server is replaced.
        """
        held, key = exchange.held, exchange.key
        deputy = self._members.deputy(key)
        if deputy is None:
            return False
        asked_ms, asked_wall_ms = self._clock.now_ms(), self._clock.wall_ms()
        wanted_count = min(NOT_GRANTER - 1, max(1, exchange.waiting_count))
        if self._members.is_deputy(key):
            result: Lease | Denied | None = self._grant(
                key, exchange.organisation, wanted_count, 0
            )
        else:
            result = await self._ask(deputy, key, wanted_count, 0)
        if not isinstance(result, Lease):
            return False
        now_ms = self._clock.now_ms()
        held.add_lease(result, asked_ms, asked_wall_ms, now_ms)
        if now_ms >= exchange.deputy_until_ms:
            exchange.deputy_until_ms = now_ms + LOCAL_SHARE_MS
        return True

    async def _ask(
        self, granter: MemberBody, key: int, wanted_count: int, debt_count: int
    ) -> Lease | Denied | None:
        number = next(self._numbers) % NUMBER_COUNT
        address = address_of(granter.peer_address)
        answer = asyncio.get_running_loop().create_future()
        self._pending[number] = answer
        question = QUESTION_FORMAT.pack(number, key, wanted_count, debt_count)
        self._reports.send(ASK + question, address)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_MS / MS_PER_S):
                result = await answer
        except TimeoutError:
            result = None
        finally:
            self._pending.pop(number, None)
        if result is None:
            metrics.QUOTA_NO_ANSWERS.inc()
            self._log_no_answer(granter)
        return result

    def _on_ask(self, body: bytes, sender: Address) -> None:
        number, key, wanted_count, debt_count = _unpack(QUESTION_FORMAT, body)
        wanted_count = min(NOT_GRANTER - 1, max(1, wanted_count))
        self._note_time()
        if self._clock.now_ms() - self._resumed_ms < OLD_QUESTIONS_MS:
            return
        self._members.refresh(is_forced=not self._members.is_granter(key))
        organisation = self._organisation(key)
        is_granting = (
            self._members.is_granter(key)
            or self._members.is_deputy(key)
            or self._is_handing_over(key)
        )
        if organisation is None or not is_granting:
            count, value_ms, level_count = NOT_GRANTER, 0.0, 0.0
        elif organisation.requests_per_s <= 0.0:
            # The limit was lifted by a document that the other instance doesn't have.
            count, value_ms, level_count = wanted_count, 0.0, MAX_SHORT
        else:
            result = self._grant(key, organisation, wanted_count, debt_count)
            if isinstance(result, Lease):
                count, value_ms = result.count, result.delay_ms
                level_count = result.level_count
            else:
                count, value_ms, level_count = 0, result.free_in_ms, 0.0
        answer = ANSWER_FORMAT.pack(
            number,
            count,
            min(MAX_SHORT, round(value_ms / TIME_UNIT_MS)),
            min(MAX_SHORT, max(0, int(level_count))),
        )
        self._reports.send(ANSWER + answer, sender)

    def _on_answer(self, body: bytes, sender: Address) -> None:
        number, count, value, level_count = _unpack(ANSWER_FORMAT, body)
        pending = self._pending.get(number)
        if pending is None or pending.done():
            return
        if count == NOT_GRANTER:
            pending.set_result(None)
        elif count:
            pending.set_result(Lease(count, value * TIME_UNIT_MS, level_count))
        else:
            pending.set_result(Denied(value * TIME_UNIT_MS))

    def _on_return(self, body: bytes, sender: Address) -> None:
        key, count = _unpack(RETURN_FORMAT, body)
        self._note_time()
        if self._clock.now_ms() - self._resumed_ms >= OLD_QUESTIONS_MS:
            self._add_returned(key, count)

    def _add_returned(self, key: int, count: int) -> None:
        """Put tokens back into a bucket, if this instance has it."""
        grants, organisation = self._grants.get(key), self._organisation(key)
        if grants is not None and organisation is not None:
            grants.bucket.give_back(self._granted_quota(organisation), count)

    def _grant(
        self, key: int, organisation: Organisation, wanted_count: int, debt_count: int
    ) -> Lease | Denied:
        """Take tokens from the bucket of an organisation whose token server this is."""
        self._apply_member_changes()
        now_ms = self._clock.now_ms()
        quota = self._granted_quota(organisation)
        grants = self._grants.get(key)
        is_granter = self._members.is_granter(key)
        if grants is None:
            since_ms = self._granter_since_ms() if is_granter else now_ms
            bucket = GrantBucket(quota, since_ms, now_ms, self._random)
            if not is_granter:
                # The deputy's bucket doesn't refill before it is the token server.
                bucket.hand_over(quota, now_ms)
            grants = self._grants[key] = _Grants(bucket, now_ms)
        grants.used_ms = now_ms
        result = grants.bucket.take(quota, wanted_count, debt_count, now_ms)
        if isinstance(result, Lease):
            metrics.QUOTA_TOKENS.inc(result.count)
            grants.granted_count += result.count
        elif is_granter:
            self._record_denial(grants, organisation, quota, now_ms)
        return result

    def _granter_since_ms(self) -> float:
        return max(self._members.changed_ms, self._resumed_ms)

    def _granted_quota(self, organisation: Organisation) -> Quota:
        return Quota.of(organisation, self._settings).granted(self._members.share)

    def _is_handing_over(self, key: int) -> bool:
        self._apply_member_changes()
        grants = self._grants.get(key)
        if grants is None:
            return False
        age_ms = grants.bucket.handover_age_ms(self._clock.now_ms())
        return age_ms is not None and age_ms <= HANDOVER_MS

    def _apply_member_changes(self) -> None:
        """Begin the handover of buckets whose token server is another instance now."""
        if self._members.change_count == self._member_change_count:
            return
        self._member_change_count = self._members.change_count
        now_ms = self._clock.now_ms()
        for key, grants in list(self._grants.items()):
            organisation = self._organisation(key)
            if organisation is None:
                self._end_grants(key, "removed")
            elif self._members.is_granter(key):
                age_ms = grants.bucket.handover_age_ms(now_ms)
                grants.bucket.resume(self._granter_since_ms())
                if age_ms is not None and age_ms > HANDOVER_MS:
                    quota = self._granted_quota(organisation)
                    grants.bucket.allow_takeover(quota, now_ms)
            else:
                quota = self._granted_quota(organisation)
                grants.bucket.hand_over(quota, now_ms)

    def _organisation(self, key: int) -> Organisation | None:
        """Return the organisation with a key in the document in force."""
        document = self._table.document
        if document is not self._indexed:
            self._indexed = document
            organisations = () if document is None else document.organisations or ()
            self._organisations = {
                organisation_key(organisation.name): organisation
                for organisation in organisations
            }
        return self._organisations.get(key)

    def _note_time(self) -> None:
        """Start buckets again if this process was paused."""
        now_ms = self._clock.now_ms()
        if not self._pauses.has_paused(now_ms, self._clock.wall_ms()):
            return
        self._resumed_ms = now_ms
        for key, grants in self._grants.items():
            organisation = self._organisation(key)
            if organisation is not None:
                grants.bucket.restart(self._granted_quota(organisation), now_ms)

    def _forget_idle(self) -> None:
        now_ms = self._clock.now_ms()
        for name, exchange in list(self._exchanges.items()):
            is_idle = exchange.task is None and not exchange.waiting_count
            if is_idle and now_ms - exchange.held.used_ms > IDLE_MS:
                del self._exchanges[name]
        for key, grants in list(self._grants.items()):
            age_ms = grants.bucket.handover_age_ms(now_ms)
            if age_ms is not None and age_ms > HANDOVER_MS:
                self._end_over(key, grants, "another token server")
                # Kept for some time, so that a deputy doesn't start again with tokens
                # each time it is asked.
                if now_ms - grants.used_ms > IDLE_MS:
                    del self._grants[key]
            elif now_ms - grants.denied_ms > OVER_END_MS:
                self._end_over(key, grants, "no denials")
                if now_ms - grants.used_ms > IDLE_MS:
                    del self._grants[key]

    def _record_denial(
        self, grants: _Grants, organisation: Organisation, quota: Quota, now_ms: float
    ) -> None:
        grants.denied_ms = now_ms
        grants.denied_count += 1
        if grants.over_since_ms is not None:
            return
        grants.over_since_ms = now_ms
        grants.granted_count, grants.denied_count = 0, 1
        metrics.QUOTA_ORGANISATIONS_OVER.inc()
        _log.info(
            "an organisation is over its quota",
            organisation=organisation.name,
            per_s=organisation.requests_per_s,
            burst=organisation.burst_count,
            granted_per_s=round(quota.per_s, 2),
            reached=self._members.share.reached_count,
            known=self._members.share.known_count,
        )

    def _end_grants(self, key: int, cause: str) -> None:
        grants = self._grants.pop(key)
        self._end_over(key, grants, cause)

    def _end_over(self, key: int, grants: _Grants, cause: str) -> None:
        if grants.over_since_ms is None:
            return
        organisation = self._organisation(key)
        _log.info(
            "an organisation is no longer over its quota",
            organisation=None if organisation is None else organisation.name,
            cause=cause,
            lasted_ms=round(grants.denied_ms - grants.over_since_ms),
            granted=grants.granted_count,
            denied_questions=grants.denied_count,
        )
        grants.over_since_ms = None
        metrics.QUOTA_ORGANISATIONS_OVER.dec()

    def _log_no_answer(self, granter: MemberBody) -> None:
        now_ms = self._clock.now_ms()
        if now_ms - self._no_answer_logged_ms < NO_ANSWER_LOG_MS:
            return
        self._no_answer_logged_ms = now_ms
        _log.info(
            "the token server of an organisation does not answer",
            granter_id=granter.instance_id,
        )


def organisation_key(name: str) -> int:
    """Return the 64-bit hash that identifies an organisation in messages.

    Of 28,000 organisations, two would share one of 32 bits with a probability of 0.09.
    """
    return score("organisation", name)


def _limited_organisation(
    routed: RoutedRequest, *, is_relayed: bool
) -> Organisation | None:
    """Return the organisation whose token a request needs, if any."""
    if routed.route.is_public or is_relayed:
        return None
    return routed.organisation


def _over_quota_error(routed: RoutedRequest, result: OverQuota) -> RequestFailedError:
    metrics.REFUSALS.labels(routed.service, "over-quota").inc()
    return refusal(
        "over-quota",
        "The organisation is over its quota.",
        result.retry_after_ms / MS_PER_S,
        status=429,
    )


def _unpack(layout: struct.Struct, body: bytes) -> tuple:
    try:
        return layout.unpack(body)
    except struct.error as error:
        raise ValueError(f"not a message about quotas: {error}") from error


def _decision_label(result: Admitted | OverQuota) -> str:
    if isinstance(result, OverQuota):
        return "refused"
    return "local-share" if result.is_local else "lease"
