"""One routed request from its head to the end of its answer, in one task."""

import asyncio
from dataclasses import dataclass

from tornado.httputil import HTTPHeaders
from tornado.iostream import StreamClosedError

from cardamomrun_base.clock import MS_PER_S
from cardamomrun_base.logs import PartLog
from cardamomrun_base.outcomes import NotRun, Outcome, Unknown
from cardamomrun_base.routing_document import RoutingRoute
from cardamomrun_gateway import metrics
from cardamomrun_gateway.crash_guard import CrashGuard
from cardamomrun_gateway.fleet_load import FleetLoad
from cardamomrun_gateway.placement import Choice, Placement, Reason, Wish
from cardamomrun_gateway.routed_request import RoutedRequest
from cardamomrun_gateway.server_attempt import (
    Answered,
    AttemptTools,
    Lost,
    NotSent,
    Result,
    ServerAttempt,
)
from cardamomrun_gateway.table import RoutingTable
from cardamomrun_requests.background import Background
from cardamomrun_requests.body_channel import BodyCutError
from cardamomrun_requests.framing import without_body
from cardamomrun_requests.reply import Reply
from cardamomrun_requests.request import BodyTooLargeError, CallerRequest

__all__ = ["Dispatch", "DispatchTools"]

# Holding a request for a free server is worth this share of its objective; after that
# the caller is told to come back, while it still has time.
HOLD_RATIO = 0.125
# When to come back after a refusal: a slot gets free within about one answer time.
RETRY_AFTER_RATIO = 0.5
# After a refusal that says nothing about the load, another server has room at once.
RETRY_SOON_S = 0.2
# A request that crashed servers stays refused for minutes.
RETRY_AFTER_CRASHES_S = 60.0
# An instance that has just started learns the document from its peers this soon.
STARTING_S = 0.3
# An answer that the server gives at the deadline is still on its way by then.
LAST_ANSWER_MS = 40.0
# Attempts that did not reach a server, or that it did not run, are not limited by the
# document; this bounds them for one request.
NOT_RUN_LIMIT = 6

_log = PartLog("front")


@dataclass(frozen=True)
class DispatchTools:
    """What all requests of an instance share."""

    attempt: AttemptTools
    table: RoutingTable
    load: FleetLoad
    placement: Placement
    crash_guard: CrashGuard
    background: Background


class _EndedError(Exception):
    """The request ends with an answer of the fleet itself."""

    def __init__(self, kind: str, outcome: Outcome) -> None:
        super().__init__(kind)
        self.kind = kind
        self.outcome = outcome


class Dispatch:
    """Runs one request."""

    def __init__(
        self, tools: DispatchTools, request: CallerRequest, reply: Reply
    ) -> None:
        self._tools = tools
        self._request = request
        self._reply = reply
        self._clock = tools.attempt.clock
        self._service = "none"
        self._running: dict[asyncio.Task[Result], ServerAttempt] = {}
        self._tried: set[str] = set()
        self._sent_count = 0
        self._not_run_count = 0
        self._maybe_run = False
        self._last: NotSent | Lost | None = None
        self._fingerprint = ""

    async def run(self) -> None:
        """Answer the request; a cancellation means that the caller left."""
        arrived_ms = self._clock.now_ms()
        try:
            await self._run(arrived_ms)
        except (asyncio.CancelledError, StreamClosedError, BodyCutError):
            _log.info("the caller left", request_id=self._request.request_id)
            self._reply.cut()
        except Exception as error:
            await self._answer_unexpected(error)
        finally:
            self._end_attempts()
            self._request.body.discard()
            self._count(self._clock.now_ms() - arrived_ms)

    async def _run(self, arrived_ms: float) -> None:
        try:
            routed = self._resolve(arrived_ms)
            left_s = (routed.left_ms(self._clock) + LAST_ANSWER_MS) / MS_PER_S
            async with asyncio.timeout(left_s):
                await self._request.body.read_prefix()
                self._check_crashes()
                answered = await self._attempts(routed)
                await self._pass_on(answered)
        except _EndedError as ended:
            await self._answer_error(ended)
        except TimeoutError:
            await self._answer_error(self._timed_out())
        except BodyTooLargeError:
            outcome = NotRun(
                "The body is larger than the document allows.",
                "send a smaller body or raise the limit",
                413,
            )
            await self._answer_error(_EndedError("body-too-large", outcome))
        await self._reply.finish()

    def _resolve(self, arrived_ms: float) -> RoutedRequest:
        request = self._request
        document = self._tools.table.document
        if document is None:
            raise _refused(
                "no-document", "No routing document is known yet.", STARTING_S
            )
        host = request.headers.get("Host", "")
        route = self._tools.table.match(host, request.path)
        if route is None:
            outcome = NotRun(
                "No route has this host and path.", "add a route to the document", 404
            )
            raise _EndedError("no-route", outcome)
        request.body.max_bytes = document.limits.body_bytes
        self._service = self._tools.table.choose_service(route)
        self._tools.attempt.reports.request(self._service)
        ends_ms = arrived_ms + self._allowed_ms(route)
        return RoutedRequest(
            request, route, self._service, document.number, arrived_ms, ends_ms
        )

    def _check_crashes(self) -> None:
        request = self._request
        self._fingerprint = request.fingerprint(self._service, request.remote_ip)
        if self._tools.crash_guard.is_stopped(self._fingerprint):
            metrics.REFUSALS.labels(self._service, "crashes").inc()
            raise _refused(
                "crashes",
                "Backend servers died of this request.",
                RETRY_AFTER_CRASHES_S,
            )

    def _allowed_ms(self, route: RoutingRoute) -> float:
        given = self._request.headers.get(self._tools.attempt.names.deadline_ms, "")
        try:
            return max(1.0, min(float(given), route.timeout_ms))
        except ValueError:
            return route.timeout_ms

    async def _attempts(self, routed: RoutedRequest) -> Answered:
        """Return the answer for the caller, or raise `_EndedError`."""
        await self._start_attempt(routed)
        while True:
            await self._wait(routed)
            for task in [task for task in self._running if task.done()]:
                attempt = self._running.pop(task)
                result = task.result()
                if isinstance(result, Answered):
                    self._running[task] = attempt
                    return result
                self._note(attempt, result)
            if not self._running:
                own = await self._start_next(routed)
                if own is not None:
                    return own
            elif self._should_hedge(routed):
                await self._start_hedge(routed)

    async def _wait(self, routed: RoutedRequest) -> None:
        """Wait until an attempt ends or becomes overdue."""
        overdue_ms = self._tools.attempt.times.overdue_ms(routed.route)
        now_ms = self._clock.now_ms()
        ages = [
            now_ms - attempt.started_ms
            for attempt in self._running.values()
            if not attempt.is_overdue
        ]
        timeout_s = None
        if ages:
            timeout_s = max(0.0, overdue_ms - max(ages)) / MS_PER_S
        done, _ = await asyncio.wait(
            self._running, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
        )
        if done:
            return
        now_ms = self._clock.now_ms()
        for attempt in self._running.values():
            if not attempt.is_overdue and now_ms - attempt.started_ms >= overdue_ms:
                attempt.mark_overdue()
                _log.info(
                    "an attempt is overdue",
                    request_id=self._request.request_id,
                    server_id=attempt.server.body.server_id,
                    usual_ms=round(overdue_ms),
                )

    def _note(self, attempt: ServerAttempt, result: NotSent | Lost) -> None:
        self._last = result
        if isinstance(result, Lost):
            self._maybe_run = True
            if result.has_no_answer:
                guard = self._tools.crash_guard
                self._tools.background.spawn(
                    guard.examine(attempt.server, self._fingerprint)
                )
        elif not attempt.may_have_run:
            self._not_run_count += 1

    async def _start_attempt(self, routed: RoutedRequest) -> None:
        choice = await self._place(routed)
        attempt = ServerAttempt(
            self._tools.attempt, routed, choice.server, self._sent_count + 1
        )
        self._tried.add(choice.server.body.server_id)
        self._sent_count += 1
        _log.info(
            f"chose a backend server: {choice.reason.name.lower()}",
            request_id=self._request.request_id,
            route=routed.route.name,
            document=routed.document_number,
            server_id=choice.server.body.server_id,
            attempt=attempt.number,
            in_work=choice.server.in_work_count,
            slots=choice.server.body.slots,
        )
        task = asyncio.create_task(attempt.run())
        self._running[task] = attempt

    async def _start_next(self, routed: RoutedRequest) -> Answered | None:
        """Start the attempt after a failed one; return an answer if there is none.

        Raises `_EndedError` if there is neither.
        """
        assert self._last is not None
        if not self._may_go_on(routed):
            return self._last_answer(self._last, routed)
        self._tools.attempt.reports.repeat(self._service)
        try:
            await self._start_attempt(routed)
        except _EndedError:
            if self._maybe_run:
                return self._last_answer(self._last, routed)
            raise
        return None

    def _may_go_on(self, routed: RoutedRequest) -> bool:
        if self._maybe_run and not self._may_repeat(routed):
            return False
        if self._not_run_count >= NOT_RUN_LIMIT or not self._resendable():
            return False
        return self._tools.attempt.reports.may_repeat(self._service)

    def _last_answer(self, last: NotSent | Lost, routed: RoutedRequest) -> Answered:
        if isinstance(last, Lost) and last.answer is not None:
            return last.answer
        raise self._failed(last, routed)

    def _may_repeat(self, routed: RoutedRequest) -> bool:
        return (
            routed.is_idempotent
            and self._resendable()
            and self._run_count() < routed.route.attempt_count
        )

    def _run_count(self) -> int:
        return self._sent_count - self._not_run_count

    def _resendable(self) -> bool:
        return self._request.body.resendable

    def _should_hedge(self, routed: RoutedRequest) -> bool:
        return (
            len(self._running) == 1
            and all(attempt.is_overdue for attempt in self._running.values())
            and self._may_repeat(routed)
            and self._tools.attempt.reports.may_repeat(self._service)
        )

    async def _start_hedge(self, routed: RoutedRequest) -> None:
        choice = self._tools.placement.choose(self._wish(routed, may_try=False))
        if choice is None or choice.reason is not Reason.BEST:
            return
        self._tools.attempt.reports.repeat(self._service)
        await self._start_attempt(routed)

    def _wish(self, routed: RoutedRequest, *, may_try: bool) -> Wish:
        table = self._tools.table
        return Wish(
            service=self._service,
            is_idempotent=routed.is_idempotent,
            body_bytes=self._request.body.length or 0,
            rank=routed.route.rank,
            usual_ms=self._tools.attempt.times.usual_ms(routed.route),
            may_fail=self._may_fail(routed),
            may_try=may_try,
            has_idempotent_peers=self._service in table.idempotent_services,
            excluded=frozenset(self._tried),
        )

    def _may_fail(self, routed: RoutedRequest) -> bool:
        """Return True if the request has another attempt after the next one."""
        return routed.is_idempotent and (
            self._run_count() + 1 < routed.route.attempt_count
        )

    async def _place(self, routed: RoutedRequest) -> Choice:
        """Return the server of the next attempt, waiting a little for a free one."""
        # A trial may fail, so the request must have another attempt left.
        may_try = self._sent_count == 0 and (
            not routed.is_idempotent or self._may_fail(routed)
        )
        held_since_ms = self._clock.now_ms()
        limit_ms = routed.route.objective_ms * HOLD_RATIO
        while True:
            if routed.left_ms(self._clock) <= 0:
                # Also after a suspension, which the loop's own timers do not count.
                raise TimeoutError
            choice = self._tools.placement.choose(self._wish(routed, may_try=may_try))
            held_ms = self._clock.now_ms() - held_since_ms
            if choice is not None:
                metrics.ADDED_SECONDS.labels(self._service).observe(held_ms / MS_PER_S)
                return choice
            if held_ms >= limit_ms:
                raise self._full(routed, held_ms)
            await self._tools.load.wait_changed(limit_ms - held_ms)

    def _full(self, routed: RoutedRequest, held_ms: float) -> _EndedError:
        usual_ms = self._tools.attempt.times.usual_ms(routed.route)
        servers = list(self._tools.load.of_service(self._service))
        _log.info(
            "refuses a request: no backend server has room",
            request_id=self._request.request_id,
            route=routed.route.name,
            service=self._service,
            held_ms=round(held_ms),
            servers=len(servers),
            doubted=sum(server.health.is_doubted for server in servers),
            in_work=sum(server.in_work_count for server in servers),
        )
        metrics.REFUSALS.labels(self._service, "full").inc()
        return _refused(
            "full",
            "No backend server has room.",
            usual_ms * RETRY_AFTER_RATIO / MS_PER_S,
        )

    def _failed(self, last: NotSent | Lost, routed: RoutedRequest) -> _EndedError:
        if isinstance(last, NotSent) and not self._maybe_run:
            retry_after_s = last.retry_after_s
            # One server's wish to be left alone for longer than the caller has time
            # says nothing about the others.
            left_s = routed.left_ms(self._clock) / MS_PER_S
            if retry_after_s is None or retry_after_s > left_s:
                retry_after_s = RETRY_SOON_S
            metrics.REFUSALS.labels(self._service, "not-run").inc()
            return _refused("not-run", f"Not run: {last.reason}.", retry_after_s)
        outcome = Unknown(
            f"Unknown whether it was run: {last.reason}.",
            "ask the application before sending it again",
        )
        return _EndedError("unknown", outcome)

    def _timed_out(self) -> _EndedError:
        sent = any(attempt.may_have_run for attempt in self._running.values())
        if sent or self._maybe_run:
            outcome: Outcome = Unknown(
                "No answer came in time.", "ask the application first", 504
            )
            return _EndedError("timeout", outcome)
        reason = "The time ended before a server had room."
        return _refused("deadline", reason, RETRY_SOON_S)

    async def _pass_on(self, answered: Answered) -> None:
        headers = HTTPHeaders(answered.headers)
        if answered.rest is None:
            self._declare_length(headers, answered)
        line = answered.start_line
        await self._reply.start(line.code, line.reason, headers, "done")
        if answered.first:
            await self._reply.write(answered.first)
        while answered.rest is not None:
            chunk = await answered.rest.get()
            if chunk is None:
                break
            await self._reply.write(chunk)

    def _declare_length(self, headers: HTTPHeaders, answered: Answered) -> None:
        if without_body(self._request.method, answered.start_line.code):
            return
        if "Transfer-Encoding" in headers:
            del headers["Transfer-Encoding"]
        headers["Content-Length"] = str(len(answered.first))

    async def _answer_error(self, ended: _EndedError) -> None:
        _log.info(
            f"answers with {ended.outcome.status} {ended.kind}",
            request_id=self._request.request_id,
            service=self._service,
            outcome=ended.outcome.tag,
            attempts=self._sent_count,
        )
        if self._reply.started:
            # A part of an answer was sent; only a cut tells the caller.
            raise StreamClosedError
        self._end_attempts()
        await self._reply.send_error(ended.outcome, ended.kind)

    async def _answer_unexpected(self, error: Exception) -> None:
        _log.error(
            "a request failed unexpectedly",
            error=repr(error),
            request_id=self._request.request_id,
        )
        outcome = Unknown("An internal error.", "see the log", 500)
        try:
            await self._answer_error(_EndedError("internal", outcome))
            await self._reply.finish()
        except (asyncio.CancelledError, StreamClosedError):
            self._reply.cut()

    def _end_attempts(self) -> None:
        running, self._running = self._running, {}
        for task, attempt in running.items():
            task.cancel()
            attempt.close()

    def _count(self, duration_ms: float) -> None:
        labels = (self._service, self._reply.outcome_tag)
        metrics.REQUESTS.labels(*labels).inc()
        metrics.REQUEST_SECONDS.labels(*labels).observe(duration_ms / MS_PER_S)


def _refused(kind: str, reason: str, retry_after_s: float) -> _EndedError:
    outcome = NotRun(reason, "send it again later", 503, round(retry_after_s, 3))
    return _EndedError(kind, outcome)
