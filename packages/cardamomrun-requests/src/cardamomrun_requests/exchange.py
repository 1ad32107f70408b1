"""One request from its head to the end of its answer, in one task."""

import asyncio
from contextlib import AsyncExitStack

from tornado.iostream import StreamClosedError

from cardamomrun_base import headers as names
from cardamomrun_base.clock import MS_PER_S
from cardamomrun_base.documents import KeyRule
from cardamomrun_base.interfaces import ClaimKey, Environment
from cardamomrun_base.logs import PartLog
from cardamomrun_requests import metrics
from cardamomrun_requests.admission import RefusedError
from cardamomrun_requests.attempt import (
    METHODS_WITH_BODY,
    AttemptRunner,
    Failure,
    RequestContext,
)
from cardamomrun_requests.body_channel import BodyCutError
from cardamomrun_requests.deadlines import Deadline
from cardamomrun_requests.ended import EndedError, RunState
from cardamomrun_requests.key_claim import KeyClaim
from cardamomrun_requests.reply import Reply
from cardamomrun_requests.request import BodyTooLargeError, CallerRequest, hash_parts
from cardamomrun_requests.request_path import RETRY_AFTER_S, RequestPath
from cardamomrun_requests.routing import MethodNotAllowedError, is_idempotent

__all__ = ["Exchange"]

# How long a fingerprint stays quarantined (design, section 4.6).
QUARANTINE_S = 600

_log = PartLog("front")


class _UnansweredError(Exception):
    """An attempt ended without an answer; `failure` is None if none could be made."""

    def __init__(self, failure: Failure | None) -> None:
        super().__init__()
        self.failure = failure


class Exchange:
    """Runs one request."""

    def __init__(self, path: RequestPath, request: CallerRequest, reply: Reply) -> None:
        self._path = path
        self._request = request
        self._reply = reply
        self._state = RunState()
        self._environment_name = "none"

    async def run(self) -> None:
        """Answer the request; a cancellation means that the caller left."""
        started_ms = self._path.clock.now_ms()
        try:
            await self._run()
        except (asyncio.CancelledError, StreamClosedError, BodyCutError):
            self._reply.cut()
        except Exception as error:
            await self._answer_unexpected(error)
        finally:
            self._request.body.discard()
            self._count(self._path.clock.now_ms() - started_ms)

    async def _run(self) -> None:
        try:
            context = self._resolve()
            async with asyncio.timeout(context.deadline.remaining_s()):
                await self._handle(context)
        except EndedError as ended:
            await self._answer_error(ended)
        except TimeoutError:
            await self._answer_error(
                self._state.error(
                    "deadline", "The deadline ended.", "allow more time", 504
                )
            )
        except BodyTooLargeError:
            await self._answer_error(
                self._state.error(
                    "body-too-large",
                    "The body is larger than the route allows.",
                    "send a smaller body or raise max_body_bytes of the route",
                    413,
                )
            )
        await self._reply.finish()

    async def _answer_error(self, ended: EndedError) -> None:
        _log.info(
            f"answers with {ended.outcome.status} {ended.kind}",
            request_id=self._request.request_id,
            environment=self._environment_name,
            outcome=ended.outcome.tag,
        )
        if self._reply.started:
            # A part of an answer was sent; only a cut tells the caller.
            raise StreamClosedError
        await self._reply.send_error(ended.outcome, ended.kind, ended.headers)

    async def _answer_unexpected(self, error: Exception) -> None:
        _log.error(
            "a request failed unexpectedly",
            error=repr(error),
            request_id=self._request.request_id,
        )
        ended = self._state.error("internal", "An internal error.", "see the log", 500)
        try:
            await self._answer_error(ended)
            await self._reply.finish()
        except (asyncio.CancelledError, StreamClosedError):
            self._reply.cut()

    def _resolve(self) -> RequestContext:
        request = self._request
        if not request.target.startswith("/"):
            raise self._state.error(
                "target", "The target is not a path.", "send a path", 400
            )
        environment = self._path.router.environment(request.headers.get("Host", ""))
        if environment is None:
            raise self._state.error(
                "unknown-host",
                "No environment has this Host.",
                "send a Host that a document lists",
                404,
            )
        self._environment_name = environment.body.environment
        return self._resolve_route(environment)

    def _resolve_route(self, environment: Environment) -> RequestContext:
        request = self._request
        try:
            route = self._path.router.route(environment, request.method, request.path)
        except MethodNotAllowedError:
            raise self._state.error(
                "method",
                "The route does not allow this method.",
                "use another method or add it to the route",
                405,
            ) from None
        if route is None:
            raise self._state.error(
                "no-route",
                "No route has this path.",
                "add a route to the document",
                404,
            )
        request.body.max_bytes = route.max_body_bytes
        return RequestContext(
            environment=environment,
            route=route,
            request=request,
            customer=request.customer(environment.document.customer_header),
            idempotent=is_idempotent(route, request.method),
            deadline=self._resolve_deadline(route.deadline_ms),
        )

    def _resolve_deadline(self, route_ms: int) -> Deadline:
        given = self._request.headers.get(names.DEADLINE_MS)
        try:
            return Deadline.of_request(self._path.clock, given, route_ms)
        except ValueError:
            raise self._state.error(
                "deadline-header",
                f"{names.DEADLINE_MS} is not a whole number.",
                "send whole milliseconds",
                400,
            ) from None

    async def _handle(self, context: RequestContext) -> None:
        if context.deadline.ended():
            raise TimeoutError
        await self._request.body.read_prefix()
        self._state.started_ms = self._path.clock.now_ms()
        self._check_sendable()
        limits = context.environment.document.limits
        admission = self._path.admission(context.environment)
        try:
            wait_s = context.deadline.remaining_s(limits.queue_wait_ms)
            with metrics.QUEUE_SECONDS.labels(context.environment_name).time():
                await admission.enter(context.customer, wait_s)
        except RefusedError as refused:
            metrics.SHED.labels(context.environment_name).inc()
            raise self._state.error(
                "overload",
                f"Not admitted: {refused}.",
                "retry later",
                503,
                RETRY_AFTER_S,
            ) from None
        try:
            claim = KeyClaim(self._path, self._state)
            await self._claim(context, claim)
            try:
                await self._attempts(context, claim)
            finally:
                await claim.settle()
        finally:
            admission.leave()

    def _check_sendable(self) -> None:
        # tornado's client sends chunked bodies with these methods only.
        if (
            self._request.body.length is None
            and self._request.method not in METHODS_WITH_BODY
        ):
            raise self._state.error(
                "length-required",
                "A body of this method is too long to be sent without its length.",
                "send Content-Length",
                411,
            )

    async def _claim(self, context: RequestContext, claim: KeyClaim) -> None:
        key = self._request.headers.get(names.IDEMPOTENCY_KEY)
        if context.idempotent:
            return
        if key:
            scope = (context.environment_name, context.customer, key)
            await claim.win(ClaimKey(hash_parts(*scope), self._request.request_hash()))
            _log.info(
                "won the claim of an idempotency key",
                request_id=self._request.request_id,
                environment=context.environment_name,
            )
        elif key is not None or context.route.idempotency_key is KeyRule.REQUIRED:
            raise self._state.error(
                "idempotency-key",
                "The Idempotency-Key is missing or empty.",
                "send a key of its own with each request",
                400,
            )

    async def _attempts(self, context: RequestContext, claim: KeyClaim) -> None:
        runner = AttemptRunner(self._path, context, self._reply, self._state, claim)
        budget = self._path.budget(context.environment)
        budget.count_request()
        tried: set[str] = set()
        failure: Failure | None = None
        for number in range(context.environment.document.retries.attempt_count):
            try:
                async with AsyncExitStack() as turn:
                    await self._enter_turn(context, turn)
                    await self._attempt(context, runner, turn, tried, number > 0)
                return
            except _UnansweredError as unanswered:
                if unanswered.failure is None:
                    break
                failure = unanswered.failure
            if not failure.may_retry:
                break
        raise self._failed(failure)

    async def _enter_turn(self, context: RequestContext, turn: AsyncExitStack) -> None:
        """Wait for the request's turn. Raises `EndedError` if it must not run."""
        scope = (context.environment_name, context.fingerprint())
        may_run = await turn.enter_async_context(self._path.quarantine.turn(*scope))
        if self._path.quarantine.is_quarantined(*scope):
            raise self._state.error(
                "quarantined",
                "Backend servers died of this request.",
                "change the request, or wait 10 minutes",
                503,
                QUARANTINE_S,
            )
        if not may_run:
            raise self._state.error(
                "crash-suspect",
                "A backend server died of this request, and another run has not ended.",
                "retry later",
                503,
                RETRY_AFTER_S,
            )

    async def _attempt(
        self,
        context: RequestContext,
        runner: AttemptRunner,
        turn: AsyncExitStack,
        tried: set[str],
        is_retry: bool,
    ) -> None:
        """Make one attempt. Raises `_UnansweredError` if the caller has no answer.

        It raises rather than returns, since a turn that is left normally tells that
        the server survived the request.
        """
        server = self._path.backends.choose(
            context.environment_name, exclude=frozenset(tried)
        )
        if server is None:
            raise _UnansweredError(None)
        if is_retry:
            ratio = context.environment.document.retries.budget_ratio
            if not self._path.budget(context.environment).take(ratio):
                raise _UnansweredError(None)
            metrics.RETRIES.labels(context.environment_name).inc()
        failure = await runner.run(server, turn)
        if failure is None:
            return
        if failure.charges_server:
            tried.add(server.server_id)
        raise _UnansweredError(failure)

    def _failed(self, failure: Failure | None) -> EndedError:
        if failure is None:
            return self._state.error(
                "no-server",
                "No backend server is available.",
                "retry later",
                503,
                RETRY_AFTER_S,
            )
        retry_after_s = failure.retry_after_s or RETRY_AFTER_S
        return self._state.error(
            failure.kind, failure.reason, "retry later", failure.status, retry_after_s
        )

    def _count(self, duration_ms: float) -> None:
        labels = (self._environment_name, self._reply.outcome_tag)
        metrics.REQUESTS.labels(*labels).inc()
        metrics.REQUEST_SECONDS.labels(*labels).observe(duration_ms / MS_PER_S)
