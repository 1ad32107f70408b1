"""Handling of one request, from its head to the end of its response."""

import asyncio
from contextlib import AsyncExitStack

from tornado.iostream import StreamClosedError

from cardamomrun_base import headers as names
from cardamomrun_base.clock import MS_PER_S
from cardamomrun_base.documents import IdempotencyKeyRule
from cardamomrun_base.interfaces import ClaimKey, Environment
from cardamomrun_base.logs import ComponentLog, describe_error
from cardamomrun_requests import metrics
from cardamomrun_requests.admission import RefusedError
from cardamomrun_requests.attempt import (
    METHODS_WITH_BODY,
    AttemptFailure,
    AttemptRunner,
    RequestContext,
)
from cardamomrun_requests.body_channel import IncompleteBodyError
from cardamomrun_requests.deadlines import Deadline
from cardamomrun_requests.ended import RequestError, RunState
from cardamomrun_requests.key_claim import KeyClaim
from cardamomrun_requests.reply import ResponseWriter
from cardamomrun_requests.request import (
    MEMORY_KIND,
    MEMORY_REASON,
    MEMORY_REMEDY,
    BodyTooLargeError,
    ClientRequest,
    NoBodyMemoryError,
    hash_parts,
)
from cardamomrun_requests.request_path import RETRY_AFTER_S, RequestServices
from cardamomrun_requests.routing import MethodNotAllowedError, is_idempotent

__all__ = ["Exchange"]

# How long a fingerprint stays quarantined (design, section 4.6).
QUARANTINE_S = 600

_log = ComponentLog("front")


class _AttemptFailedError(Exception):
    """An attempt failed; `failure` is None if no attempt was possible."""

    def __init__(self, failure: AttemptFailure | None) -> None:
        super().__init__()
        self.failure = failure


class Exchange:
    """Handles one request: admission, claim, attempts and response."""

    def __init__(
        self, services: RequestServices, request: ClientRequest, reply: ResponseWriter
    ) -> None:
        self._services = services
        self._request = request
        self._reply = reply
        self._state = RunState()
        self._environment_name = "none"

    async def run(self) -> None:
        """Answer the request; a cancellation means that the client disconnected."""
        started_ms = self._services.clock.now_ms()
        try:
            await self._run_with_deadline()
        except (asyncio.CancelledError, StreamClosedError, IncompleteBodyError):
            self._reply.abort()
        except Exception as error:
            await self._send_internal_error(error)
        finally:
            self._request.body.discard()
            self._record_metrics(self._services.clock.now_ms() - started_ms)

    async def _run_with_deadline(self) -> None:
        try:
            context = self._resolve()
            async with asyncio.timeout(context.deadline.remaining_s()):
                await self._admit_and_run(context)
        except RequestError as error:
            await self._send_error(error)
        except TimeoutError:
            await self._send_error(
                self._state.error(
                    "deadline", "The deadline ended.", "allow more time", 504
                )
            )
        except NoBodyMemoryError:
            await self._send_error(
                self._state.error(
                    MEMORY_KIND, MEMORY_REASON, MEMORY_REMEDY, 503, RETRY_AFTER_S
                )
            )
        except BodyTooLargeError:
            await self._send_error(
                self._state.error(
                    "body-too-large",
                    "The body is larger than the route allows.",
                    "send a smaller body or raise max_body_bytes of the route",
                    413,
                )
            )
        await self._reply.finish()

    async def _send_error(self, error: RequestError) -> None:
        _log.info(
            f"answers with {error.outcome.status} {error.kind}",
            request_id=self._request.request_id,
            environment=self._environment_name,
            outcome=error.outcome.tag,
        )
        if self._reply.started:
            # A part of the response was sent; only closing the connection tells the client.
            raise StreamClosedError
        await self._reply.send_error(error.outcome, error.kind, error.headers)

    async def _send_internal_error(self, error: Exception) -> None:
        _log.error(
            "a request failed unexpectedly",
            error=describe_error(error),
            request_id=self._request.request_id,
        )
        internal = self._state.error(
            "internal", "An internal error.", "see the log", 500
        )
        try:
            await self._send_error(internal)
            await self._reply.finish()
        except (asyncio.CancelledError, StreamClosedError):
            self._reply.abort()

    def _resolve(self) -> RequestContext:
        request = self._request
        if not request.target.startswith("/"):
            raise self._state.error(
                "target", "The target is not a path.", "send a path", 400
            )
        environment = self._services.router.environment(request.headers.get("Host", ""))
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
            route = self._services.router.route(
                environment, request.method, request.path
            )
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
            return Deadline.from_header(self._services.clock, given, route_ms)
        except ValueError:
            raise self._state.error(
                "deadline-header",
                f"{names.DEADLINE_MS} is not a whole number.",
                "send whole milliseconds",
                400,
            ) from None

    async def _admit_and_run(self, context: RequestContext) -> None:
        if context.deadline.expired():
            raise TimeoutError
        await self._request.body.read_prefix()
        self._state.started_ms = self._services.clock.now_ms()
        self._check_sendable()
        limits = context.environment.document.limits
        admission = self._services.admission(context.environment)
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
            claim = KeyClaim(self._services, self._state)
            await self._claim_key(context, claim)
            try:
                await self._run_attempts(context, claim)
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

    async def _claim_key(self, context: RequestContext, claim: KeyClaim) -> None:
        key = self._request.headers.get(names.IDEMPOTENCY_KEY)
        if context.idempotent:
            return
        if key:
            scope = (context.environment_name, context.customer, key)
            await claim.acquire(
                ClaimKey(hash_parts(*scope), self._request.request_hash())
            )
            _log.info(
                "won the claim of an idempotency key",
                request_id=self._request.request_id,
                environment=context.environment_name,
            )
        elif (
            key is not None
            or context.route.idempotency_key is IdempotencyKeyRule.REQUIRED
        ):
            raise self._state.error(
                "idempotency-key",
                "The Idempotency-Key is missing or empty.",
                "send a key of its own with each request",
                400,
            )

    async def _run_attempts(self, context: RequestContext, claim: KeyClaim) -> None:
        runner = AttemptRunner(self._services, context, self._reply, self._state, claim)
        budget = self._services.retry_budget(context.environment)
        budget.count_request()
        tried: set[str] = set()
        failure: AttemptFailure | None = None
        for number in range(context.environment.document.retries.attempt_count):
            try:
                async with AsyncExitStack() as permit:
                    await self._acquire_permit(context, permit)
                    await self._run_attempt(context, runner, permit, tried, number > 0)
                return
            except _AttemptFailedError as attempt_error:
                if attempt_error.failure is None:
                    break
                failure = attempt_error.failure
            if not failure.may_retry:
                break
        raise self._final_error(failure)

    async def _acquire_permit(
        self, context: RequestContext, permit: AsyncExitStack
    ) -> None:
        """Wait until the attempt may start. Raises `RequestError` if it must not run."""
        scope = (context.environment_name, context.fingerprint())
        may_run = await permit.enter_async_context(
            self._services.quarantine.attempt_permit(*scope)
        )
        if self._services.quarantine.is_quarantined(*scope):
            raise self._state.error(
                "quarantined",
                "Backend servers crashed on this request.",
                "change the request, or wait 10 minutes",
                503,
                QUARANTINE_S,
            )
        if not may_run:
            raise self._state.error(
                "crash-suspect",
                "A backend server crashed on this request; another run has not ended.",
                "retry later",
                503,
                RETRY_AFTER_S,
            )

    async def _run_attempt(
        self,
        context: RequestContext,
        runner: AttemptRunner,
        permit: AsyncExitStack,
        tried: set[str],
        is_retry: bool,
    ) -> None:
        """Make one attempt. Raises `_AttemptFailedError` if it brought no response.

        It raises rather than returns, since a permit that is released without an
        exception means that the server survived the request.
        """
        server = self._services.backends.choose(
            context.environment_name, exclude=frozenset(tried)
        )
        if server is None:
            raise _AttemptFailedError(None)
        if is_retry:
            ratio = context.environment.document.retries.budget_ratio
            if not self._services.retry_budget(context.environment).try_acquire(ratio):
                raise _AttemptFailedError(None)
            metrics.RETRIES.labels(context.environment_name).inc()
        failure = await runner.run(server, permit)
        if failure is None:
            return
        if failure.counts_against_server:
            tried.add(server.server_id)
        raise _AttemptFailedError(failure)

    def _final_error(self, failure: AttemptFailure | None) -> RequestError:
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

    def _record_metrics(self, duration_ms: float) -> None:
        labels = (self._environment_name, self._reply.outcome_tag)
        metrics.REQUESTS.labels(*labels).inc()
        metrics.REQUEST_SECONDS.labels(*labels).observe(duration_ms / MS_PER_S)
