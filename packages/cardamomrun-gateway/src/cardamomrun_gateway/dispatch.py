"""Runs one routed request from its head to the end of its response, in one task."""

import asyncio
from dataclasses import dataclass, field

from tornado.iostream import StreamClosedError

from cardamomrun_base import headers as names
from cardamomrun_base.clock import MS_PER_S
from cardamomrun_base.logs import ComponentLog, describe_error
from cardamomrun_base.outcomes import NotRun, Outcome, Unknown
from cardamomrun_gateway import metrics
from cardamomrun_gateway.crash_guard import CrashGuard, RequestIdentity
from cardamomrun_gateway.fleet_load import FleetLoad, Server
from cardamomrun_gateway.forwarding import forward_response, name_server
from cardamomrun_gateway.hedging import Hedging
from cardamomrun_gateway.paths import OwnPaths, PeerPaths
from cardamomrun_gateway.permits import Permit, Permits
from cardamomrun_gateway.placement import (
    Choice,
    ChoiceReason,
    Placement,
    PlacementCriteria,
)
from cardamomrun_gateway.quota_bucket import Admitted
from cardamomrun_gateway.quotas import Quotas
from cardamomrun_gateway.refusals import (
    RETRY_SOON_S,
    Refusals,
    RequestFailedError,
    refusal,
)
from cardamomrun_gateway.request_admission import RequestAdmission
from cardamomrun_gateway.request_mix import RequestMix
from cardamomrun_gateway.request_relay import (
    LEAVING_KIND,
    PATHS_LOST_KIND,
    RequestRelay,
)
from cardamomrun_gateway.routed_request import DEADLINE_GRACE_MS, RoutedRequest
from cardamomrun_gateway.server_attempt import (
    AttemptDependencies,
    NotExecuted,
    ResponseLost,
    Result,
    ServerAttempt,
    ServerResponse,
)
from cardamomrun_gateway.shutdown import Shutdown
from cardamomrun_gateway.table import RoutingTable
from cardamomrun_requests.background import BackgroundTasks
from cardamomrun_requests.body_channel import IncompleteBodyError
from cardamomrun_requests.reply import ResponseWriter
from cardamomrun_requests.request import (
    MEMORY_KIND,
    MEMORY_REASON,
    BodyTooLargeError,
    ClientRequest,
    NoBodyMemoryError,
)

__all__ = ["DispatchDependencies", "RequestDispatch"]

# Share of its objective for which a request waits for a server with a free slot. After
# that it is refused, while the client still has time to retry.
HOLD_RATIO = 0.125
# Retry-After of a request that crashed servers; it stays refused for minutes.
RETRY_AFTER_CRASHES_S = 60.0
# Limit for the attempts of one request that no server ran; the attempt count of the
# document covers only those that may have run.
NOT_RUN_LIMIT = 6

_log = ComponentLog("front")


@dataclass(frozen=True)
class DispatchDependencies:
    """Dependencies that all requests of an instance share."""

    attempt_tools: AttemptDependencies
    table: RoutingTable
    load: FleetLoad
    placement: Placement
    permits: Permits
    crash_guard: CrashGuard
    paths: OwnPaths
    peers: PeerPaths
    background: BackgroundTasks
    shutdown: Shutdown
    admission: RequestAdmission
    refusals: Refusals
    hedging: Hedging
    quotas: Quotas
    request_mix: RequestMix = field(default_factory=RequestMix)


class RequestDispatch:
    """Runs one request: finds its route, makes attempts and sends the response."""

    def __init__(
        self,
        tools: DispatchDependencies,
        request: ClientRequest,
        reply: ResponseWriter,
        own_address: str,
    ) -> None:
        self._tools = tools
        self._request = request
        self._reply = reply
        self._clock = tools.attempt_tools.clock
        self._service = "none"
        self._running: dict[asyncio.Task[Result], ServerAttempt] = {}
        self._tried_server_ids: set[str] = set()
        self._attempt_count = 0
        self._not_run_count = 0
        self._has_hedged = False
        self._may_have_run = False
        self._has_arrived = False
        self._last_failure: NotExecuted | ResponseLost | None = None
        self._identity: RequestIdentity | None = None
        self._own_address = own_address
        self._relay: RequestRelay | None = None
        self._responder: Server | None = None
        # The request and the token that it has taken from its organisation's quota.
        self._charged: tuple[RoutedRequest, Admitted] | None = None
        asked_by = request.headers.get(names.RELAYED_BY)
        # Only instances of the fleet may say for whom they ask.
        self._is_relayed = asked_by is not None and tools.peers.is_member(
            request.remote_ip
        )
        self._client = request.remote_ip
        if self._is_relayed and asked_by is not None:
            self._client = request.headers.get(names.RELAYED_FOR, request.remote_ip)
            tools.peers.mark_lost(asked_by)

    async def run(self) -> None:
        """Run the request; a cancellation means that the client disconnected."""
        arrived_ms = self._clock.now_ms()
        self._tools.attempt_tools.link.receive(self._request.body.length or 0)
        try:
            await self._run(arrived_ms)
        except (asyncio.CancelledError, StreamClosedError, IncompleteBodyError):
            self._check_unfinished()
            _log.info("the client disconnected", request_id=self._request.request_id)
            self._reply.abort()
        except Exception as error:
            await self._send_internal_error(error)
        finally:
            self._end_attempts()
            self._give_back_token()
            self._request.body.discard()
            self._record_metrics(self._clock.now_ms() - arrived_ms)

    async def _run(self, arrived_ms: float) -> None:
        try:
            routed = self._tools.admission.admit(
                self._request, arrived_ms, is_relayed=self._is_relayed
            )
            self._service = routed.service
            self._tools.request_mix.record(
                self._service, is_idempotent=routed.is_idempotent
            )
            if routed.is_idempotent:
                self._tools.hedging.count_request()
            self._check_shutdown(routed)
            if self._tools.paths.are_lost:
                # Leads the client to another instance with its next request.
                self._reply.draining = True
                self._refuse_if_relayed()
            remaining_s = (
                routed.remaining_ms(self._clock) + DEADLINE_GRACE_MS
            ) / MS_PER_S
            async with asyncio.timeout(remaining_s):
                quotas = self._tools.quotas
                quotas.check_denial(routed, is_relayed=self._is_relayed)
                await self._request.body.read_prefix()
                self._check_crashes()
                # After the body, which may take seconds: tokens that were taken long
                # before let more requests reach servers in one window than allowed.
                admitted = await quotas.check(routed, is_relayed=self._is_relayed)
                if admitted is not None:
                    self._charged = routed, admitted
                if self._should_run_elsewhere():
                    response = await self._run_elsewhere(routed)
                else:
                    response = await self._run_attempts(routed)
            if self._is_relayed and self._responder is not None:
                name_server(self._responder, self._reply)
            await forward_response(
                routed,
                response,
                self._reply,
                self._tools.attempt_tools,
                self._tools.shutdown,
            )
        except RequestFailedError as failure:
            await self._send_error(failure)
        except TimeoutError:
            self._check_unfinished()
            await self._send_error(self._timeout_error())
        except NoBodyMemoryError:
            metrics.REFUSALS.labels(self._service, MEMORY_KIND).inc()
            await self._send_error(refusal(MEMORY_KIND, MEMORY_REASON, RETRY_SOON_S))
        except BodyTooLargeError:
            outcome = NotRun(
                "The body is larger than the document allows.",
                "send a smaller body or raise the limit",
                413,
            )
            await self._send_error(RequestFailedError("body-too-large", outcome))
        await self._reply.finish()

    def _give_back_token(self) -> None:
        """Return the token of a request of which no server received anything."""
        if self._charged is None:
            return
        (routed, admitted), self._charged = self._charged, None
        # A relayed request may have arrived at a server although it was not run.
        if self._has_arrived or self._relay is not None or routed.organisation is None:
            return
        self._tools.quotas.give_back(routed.organisation, admitted)

    def _check_crashes(self) -> None:
        self._identity = RequestIdentity.of(self._request, self._client)
        if self._is_blocked():
            metrics.REFUSALS.labels(self._service, "crashes").inc()
            raise refusal(
                "crashes",
                "Backend servers crashed while running this request.",
                RETRY_AFTER_CRASHES_S,
            )

    def _check_shutdown(self, routed: RoutedRequest) -> None:
        """Refuse a request that may not end before this instance is killed."""
        if self._has_time(routed):
            return
        left_ms = self._tools.shutdown.remaining_ms
        _log.info(
            "refuses a request: it may outlast the stop of this instance",
            request_id=self._request.request_id,
            route=routed.route.name,
            request_ms=round(routed.remaining_ms(self._clock)),
            left_ms=round(left_ms),
        )
        metrics.REFUSALS.labels(self._service, LEAVING_KIND).inc()
        has_other = self._tools.peers.choose(set()) is not None
        raise refusal(
            LEAVING_KIND,
            "This instance stops.",
            0.0 if has_other else left_ms / MS_PER_S,
        )

    def _has_time(self, routed: RoutedRequest) -> bool:
        likely_ms = self._tools.attempt_tools.route_times.overdue_ms(routed.route)
        return self._tools.shutdown.has_time_for(routed, likely_ms)

    def _is_blocked(self) -> bool:
        guard = self._tools.crash_guard
        return self._identity is not None and guard.is_blocked(
            self._identity, self._service
        )

    def _check_server(self, attempt: ServerAttempt) -> None:
        """Find out in the background whether a server crashed."""
        if self._identity is not None:
            check = self._tools.crash_guard.check_crash(
                attempt.server, self._identity, self._client
            )
            self._tools.background.spawn(check)

    def _check_unfinished(self) -> None:
        """Check the servers that had the request when it ended without a response."""
        for attempt in self._running.values():
            if not attempt.may_have_run or self._identity is None:
                continue
            if attempt.server.health.last_responded_ms < attempt.started_ms:
                self._check_server(attempt)
            else:
                # It responded to a later attempt, so it had not crashed by then.
                self._tools.crash_guard.watch(attempt.server, self._identity)

    def _refuse_if_relayed(self) -> None:
        if self._is_relayed:
            reason = "This instance can't reach backend servers either."
            raise refusal(PATHS_LOST_KIND, reason, RETRY_SOON_S)

    def _should_run_elsewhere(self) -> bool:
        """Return True if this instance can't reach servers and another one may."""
        return (
            self._tools.paths.are_lost
            and not self._is_relayed
            and not self._may_have_run
            and self._is_resendable()
            and self._tools.peers.choose(set()) is not None
        )

    async def _run_elsewhere(self, routed: RoutedRequest) -> ServerResponse:
        """Have another instance run the request; raise `RequestFailedError` if none."""
        self._check_shutdown(routed)
        self._relay = RequestRelay(
            self._clock,
            self._tools.attempt_tools.header_names,
            self._tools.peers,
            self._tools.attempt_tools.notices,
            self._own_address,
            routed,
            self._tools.attempt_tools.connections.meter,
        )
        result = await self._relay.run()
        if isinstance(result, ServerResponse):
            return result
        self._may_have_run = isinstance(result, ResponseLost)
        raise self._tools.refusals.attempts_failed(
            result, routed, may_have_run=self._may_have_run
        )

    async def _run_attempts(self, routed: RoutedRequest) -> ServerResponse:
        """Return the response for the client, or raise `RequestFailedError`."""
        await self._start_attempt(routed)
        while True:
            await self._wait(routed)
            for task in [task for task in self._running if task.done()]:
                attempt = self._running.pop(task)
                result = task.result()
                if isinstance(result, ServerResponse):
                    if not self._has_hedged:
                        self._record_duration(attempt, routed)
                    self._running[task] = attempt
                    self._responder = attempt.server
                    return result
                self._record_failure(attempt, result)
            if not self._running:
                response_of_failed = await self._start_next(routed)
                if response_of_failed is not None:
                    return response_of_failed
            elif self._should_hedge(routed):
                self._start_hedge(routed)

    async def _wait(self, routed: RoutedRequest) -> None:
        """Wait until an attempt ends, becomes overdue or may be hedged."""
        overdue_ms = self._tools.attempt_tools.route_times.overdue_ms(routed.route)
        waits_ms = [
            max(0.0, overdue_ms - attempt.age_ms())
            for attempt in self._running.values()
            if not attempt.is_overdue
        ]
        hedge_wait_ms = self._hedge_wait_ms(routed)
        if hedge_wait_ms > 0 and not self._has_hedged:
            waits_ms.append(hedge_wait_ms)
        timeout_s = min(waits_ms) / MS_PER_S if waits_ms else None
        done, _ = await asyncio.wait(
            self._running, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
        )
        if done:
            return
        for attempt in self._running.values():
            if not attempt.is_overdue and attempt.age_ms() >= overdue_ms:
                attempt.mark_overdue()
                _log.info(
                    "an attempt is overdue",
                    request_id=self._request.request_id,
                    server_id=attempt.server.body.server_id,
                    usual_ms=round(overdue_ms),
                )

    def _record_failure(
        self, attempt: ServerAttempt, result: NotExecuted | ResponseLost
    ) -> None:
        self._last_failure = result
        self._has_arrived |= attempt.has_arrived
        if isinstance(result, ResponseLost):
            self._may_have_run = True
            self._responder = attempt.server
            if result.has_connection_ended:
                self._check_server(attempt)
        elif not attempt.may_have_run:
            self._not_run_count += 1

    async def _start_attempt(self, routed: RoutedRequest) -> None:
        self._check_shutdown(routed)
        choice, permit = await self._choose_server(routed)
        self._launch_attempt(routed, choice, permit)

    def _launch_attempt(
        self, routed: RoutedRequest, choice: Choice, permit: Permit | None
    ) -> None:
        attempt = ServerAttempt(
            self._tools.attempt_tools,
            routed,
            choice.server,
            self._attempt_count + 1,
            permit,
        )
        self._tried_server_ids.add(choice.server.body.server_id)
        self._attempt_count += 1
        limit = choice.server.limit
        if limit is not None:
            metrics.LIMITED_ATTEMPTS.labels(self._service).inc()
        _log.info(
            f"chose a backend server: {choice.reason.name.lower()}",
            request_id=self._request.request_id,
            route=routed.route.name,
            document=routed.document_number,
            server_id=choice.server.body.server_id,
            attempt=attempt.number,
            in_work=choice.server.in_flight_count,
            slots=choice.server.body.slots,
            limit_per_s=None if limit is None else limit.per_s,
        )
        task = asyncio.create_task(attempt.run())
        self._running[task] = attempt

    async def _start_next(self, routed: RoutedRequest) -> ServerResponse | None:
        """Start another attempt after failed ones and return None.

        If there can be none, returns the error response of a server, or raises
        `RequestFailedError` if there is no such response.
        """
        assert self._last_failure is not None
        if self._tools.paths.are_lost and not self._has_arrived:
            self._refuse_if_relayed()
        if self._should_run_elsewhere() and self._take_retry():
            return await self._run_elsewhere(routed)
        if not self._may_start_next(routed) or not self._take_retry():
            return self._last_response(self._last_failure, routed)
        try:
            await self._start_attempt(routed)
        except RequestFailedError:
            # Some refusals make the instance that asked for this one ask another.
            if self._may_have_run or (self._is_relayed and self._has_arrived):
                return self._last_response(self._last_failure, routed)
            raise
        return None

    def _may_start_next(self, routed: RoutedRequest) -> bool:
        if self._may_have_run and not self._may_retry(routed):
            return False
        if self._not_run_count >= NOT_RUN_LIMIT or not self._is_resendable():
            return False
        return not self._is_blocked()

    def _take_retry(self) -> bool:
        """Charge the budget for another arrival; return False if it has none left."""
        if not self._has_arrived:
            # The budget is for arrivals at servers beyond the first of a request.
            return True
        reports = self._tools.attempt_tools.reports
        if not reports.allows_retry(self._service):
            return False
        reports.count_retry(self._service)
        return True

    def _last_response(
        self, last: NotExecuted | ResponseLost, routed: RoutedRequest
    ) -> ServerResponse:
        if isinstance(last, ResponseLost) and last.response is not None:
            return last.response
        raise self._tools.refusals.attempts_failed(
            last, routed, may_have_run=self._may_have_run
        )

    def _may_retry(self, routed: RoutedRequest) -> bool:
        return (
            routed.is_idempotent
            and self._is_resendable()
            and self._executed_count() < routed.route.attempt_count
        )

    def _executed_count(self) -> int:
        return self._attempt_count - self._not_run_count

    def _is_resendable(self) -> bool:
        return self._request.body.resendable

    def _hedge_wait_ms(self, routed: RoutedRequest) -> float:
        """Return the time until the newest attempt is slow enough to be hedged."""
        delay_ms = self._tools.hedging.delay_ms(routed.route)
        return delay_ms - min(attempt.age_ms() for attempt in self._running.values())

    def _should_hedge(self, routed: RoutedRequest) -> bool:
        return (
            len(self._running) == 1
            and self._hedge_wait_ms(routed) <= 0
            and self._may_retry(routed)
            and self._request.body.is_buffered
            and self._tools.hedging.has_credit
            and self._has_time(routed)
            and not self._is_blocked()
            and self._tools.attempt_tools.reports.allows_retry(self._service)
        )

    def _start_hedge(self, routed: RoutedRequest) -> None:
        """Start a second attempt if a server is free that needs no permit."""
        choice = self._tools.placement.choose(
            self._criteria(routed, may_be_trial=False)
        )
        if choice is None or choice.reason is not ChoiceReason.BEST:
            return
        if choice.server.limit is not None:
            return
        if self._tools.hedging.is_limited and self._tools.placement.is_shedding(
            choice.server
        ):
            return
        self._tools.attempt_tools.reports.count_retry(self._service)
        self._tools.hedging.take()
        metrics.HEDGES.labels(self._service).inc()
        if not self._has_hedged:
            self._has_hedged = True
            for attempt in self._running.values():
                self._record_duration(attempt, routed)
        self._launch_attempt(routed, choice, None)

    def _record_duration(self, attempt: ServerAttempt, routed: RoutedRequest) -> None:
        """Let the delay of hedges learn from how long an attempt has run."""
        self._tools.hedging.record(routed.route, attempt.age_ms())

    def _criteria(
        self, routed: RoutedRequest, *, may_be_trial: bool, max_wait_ms: float = 0.0
    ) -> PlacementCriteria:
        table = self._tools.table
        return PlacementCriteria(
            service=self._service,
            is_idempotent=routed.is_idempotent,
            body_bytes=self._request.body.length or 0,
            download_bytes=self._tools.attempt_tools.route_times.download_bytes(
                routed.route
            ),
            rank=routed.rank,
            expected_ms=self._tools.attempt_tools.route_times.expected_ms(routed.route),
            is_retryable=self._has_retry_left(routed),
            may_be_trial=may_be_trial,
            has_idempotent_traffic=self._service in table.idempotent_services
            and self._tools.request_mix.has_idempotent(self._service),
            excluded=frozenset(self._tried_server_ids),
            max_wait_ms=max_wait_ms,
        )

    def _has_retry_left(self, routed: RoutedRequest) -> bool:
        """Return True if the request may have another attempt after the next one."""
        return routed.is_idempotent and (
            self._executed_count() + 1 < routed.route.attempt_count
        )

    async def _choose_server(
        self, routed: RoutedRequest
    ) -> tuple[Choice, Permit | None]:
        """Return the server for the next attempt, with the permit that it needs.

        Waits for a free slot or permit if needed. Raises `TimeoutError` at the
        deadline, and `RequestFailedError` after `HOLD_RATIO` of the objective, or at
        once if no permit can be free by then.
        """
        # A trial may fail, so an idempotent request must have another attempt left.
        may_be_trial = self._attempt_count == 0 and (
            not routed.is_idempotent or self._has_retry_left(routed)
        )
        waiting_since_ms = self._clock.now_ms()
        limit_ms = routed.route.objective_ms * HOLD_RATIO
        while True:
            if routed.remaining_ms(self._clock) <= 0:
                # The event loop's timers don't count the time of a suspended machine.
                raise TimeoutError
            left_ms = waiting_since_ms + limit_ms - self._clock.now_ms()
            criteria = self._criteria(
                routed, may_be_trial=may_be_trial, max_wait_ms=max(0.0, left_ms)
            )
            choice = self._tools.placement.choose(criteria)
            if choice is not None:
                permit = None
                if choice.server.limit is not None:
                    permit = await self._tools.permits.acquire(
                        choice.server,
                        criteria.max_wait_ms,
                        is_urgent=criteria.is_urgent,
                    )
                    if permit is None or not self._may_use(choice.server):
                        continue
                waited_ms = self._clock.now_ms() - waiting_since_ms
                metrics.ADDED_SECONDS.labels(self._service).observe(
                    waited_ms / MS_PER_S
                )
                return choice, permit
            waited_ms = limit_ms - left_ms
            pause_wait_ms = self._tools.placement.pause_wait_ms(criteria)
            if pause_wait_ms is not None and pause_wait_ms > left_ms:
                raise self._tools.refusals.paused(routed, waited_ms, pause_wait_ms)
            permit_wait_ms = self._tools.placement.permit_wait_ms(criteria)
            if permit_wait_ms is not None and permit_wait_ms > left_ms:
                raise self._tools.refusals.no_permit(routed, waited_ms)
            if waited_ms >= limit_ms:
                raise self._tools.refusals.no_room(routed, waited_ms)
            wait_ms = limit_ms - waited_ms
            if pause_wait_ms is not None:
                wait_ms = min(wait_ms, pause_wait_ms)
            await self._tools.load.wait_changed(wait_ms)

    def _may_use(self, server: Server) -> bool:
        """Return True if a server chosen before a wait still takes requests."""
        return self._tools.load.is_current(server) and server.wants_request(
            self._clock.now_ms()
        )

    def _timeout_error(self) -> RequestFailedError:
        was_sent = any(attempt.may_have_run for attempt in self._running.values())
        was_sent = was_sent or (self._relay is not None and self._relay.may_have_run)
        if was_sent or self._may_have_run:
            outcome: Outcome = Unknown(
                "No response arrived in time.", "ask the application first", 504
            )
            return RequestFailedError("timeout", outcome)
        reason = "The deadline passed before a server had room."
        return refusal("deadline", reason, RETRY_SOON_S)

    async def _send_error(self, failure: RequestFailedError) -> None:
        _log.info(
            f"answers with {failure.outcome.status} {failure.kind}",
            request_id=self._request.request_id,
            service=self._service,
            outcome=failure.outcome.tag,
            attempts=self._attempt_count,
        )
        if self._reply.started:
            # Part of a response was sent; only closing the connection shows the error.
            raise StreamClosedError
        self._end_attempts()
        await self._reply.send_error(failure.outcome, failure.kind, failure.headers)

    async def _send_internal_error(self, error: Exception) -> None:
        _log.error(
            "a request failed unexpectedly",
            error=describe_error(error),
            request_id=self._request.request_id,
        )
        outcome = Unknown("An internal error.", "see the log", 500)
        try:
            await self._send_error(RequestFailedError("internal", outcome))
            await self._reply.finish()
        except (asyncio.CancelledError, StreamClosedError):
            self._reply.abort()

    def _end_attempts(self) -> None:
        if self._relay is not None:
            self._relay.close()
        running, self._running = self._running, {}
        for task, attempt in running.items():
            self._has_arrived |= attempt.has_arrived
            task.cancel()
            attempt.close()

    def _record_metrics(self, duration_ms: float) -> None:
        labels = (self._service, self._reply.outcome_tag)
        metrics.REQUESTS.labels(*labels).inc()
        metrics.REQUEST_SECONDS.labels(*labels).observe(duration_ms / MS_PER_S)
