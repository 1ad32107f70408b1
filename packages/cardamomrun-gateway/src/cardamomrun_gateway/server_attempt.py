"""One attempt to run a request on one backend server."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field

from tornado.httputil import HTTPHeaders, ResponseStartLine

from cardamomrun_base.clock import MS_PER_S, Clock
from cardamomrun_base.headers import GatewayHeaders
from cardamomrun_base.logs import ComponentLog
from cardamomrun_gateway import metrics
from cardamomrun_gateway.fleet_load import FleetLoad, Server
from cardamomrun_gateway.held_body import HeldBody
from cardamomrun_gateway.link_queue import LinkQueue
from cardamomrun_gateway.load_reports import LoadReports
from cardamomrun_gateway.permits import Permit
from cardamomrun_gateway.routed_request import RoutedRequest, RouteTimes
from cardamomrun_gateway.server_connections import (
    NON_IDEMPOTENT_IDLE_MS,
    ServerConnections,
)
from cardamomrun_gateway.server_health import AttemptEnd
from cardamomrun_gateway.server_limits import ServerLimits, parse_limit
from cardamomrun_gateway.server_notices import ServerNotices, parse_retry_after
from cardamomrun_requests.body_channel import BodyChannel, IncompleteBodyError
from cardamomrun_requests.framing import body_length, has_no_body
from cardamomrun_requests.sending import send_until_head
from cardamomrun_requests.upstream import (
    ConnectError,
    ConnectRefusedError,
    EchoedHeader,
    UpstreamConnection,
    UpstreamResponse,
)

__all__ = [
    "AttemptDependencies",
    "NotExecuted",
    "ResponseLost",
    "Result",
    "ServerAttempt",
    "ServerResponse",
    "drain",
]

# Responses up to this size are buffered, so that another attempt can replace one that
# breaks off; longer ones are forwarded while they arrive.
BUFFERED_BYTES = 262_144
STATUS_SERVER_ERROR = 500
# A server that resets a request does so within a few milliseconds; if the connection
# ends later, it had accepted the request.
RESET_MS = 50.0
# A client takes these statuses to mean that its request was not run, but only the
# server's own header shows that. Without it they are not forwarded.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
STATUS_MISDIRECTED = 421
# A choice that is older when the connection is open was made before a pause of the
# process: the server may have left or failed meanwhile. Connecting takes at most 200 ms.
CHOICE_LIFETIME_MS = 500.0

# Limits for reading the body of a refusal, so that its connection can be kept. The
# request waits meanwhile although another server may have a free slot.
REFUSAL_BODY_BYTES = 65_536
REFUSAL_BODY_MS = 20.0

_log = ComponentLog("attempt")


@dataclass(frozen=True)
class ServerResponse:
    """A server's response; `body_rest` yields the body after `body_start`, if any.

    `record_cut` sets how the attempt ended if the rest of the body breaks off.
    """

    start_line: ResponseStartLine
    headers: HTTPHeaders
    body_start: HeldBody
    body_rest: BodyChannel | None
    record_cut: Callable[[AttemptEnd], None] | None = None


@dataclass(frozen=True)
class NotExecuted:
    """The server did not run the request."""

    reason: str
    retry_after_s: float | None = None


@dataclass(frozen=True)
class ResponseLost:
    """The server may have run the request, but there is no successful response.

    `response` is the error response of the server, if there is one.
    `has_connection_ended` is True if the connection ended before a complete response.
    """

    reason: str
    response: ServerResponse | None = None
    has_connection_ended: bool = False


Result = ServerResponse | NotExecuted | ResponseLost


@dataclass(frozen=True)
class AttemptDependencies:
    """Dependencies that all attempts of an instance share."""

    clock: Clock
    header_names: GatewayHeaders
    connections: ServerConnections
    reports: LoadReports
    route_times: RouteTimes
    limits: ServerLimits
    load: FleetLoad
    notices: ServerNotices
    link: LinkQueue


@dataclass
class _Outcome:
    end: AttemptEnd = AttemptEnd.NO_EVIDENCE
    headers: HTTPHeaders = field(default_factory=HTTPHeaders)


class ServerAttempt:
    """Sends a request to a server; `close` ends an attempt that is in flight.

    `has_arrived` is True once the server may have received a part of the request.
    """

    def __init__(
        self,
        tools: AttemptDependencies,
        routed: RoutedRequest,
        server: Server,
        number: int,
        permit: Permit | None = None,
    ) -> None:
        self.server = server
        self.number = number
        self.is_overdue = False
        self.may_have_run = False
        self.has_arrived = False
        self.started_ms = tools.clock.now_ms()
        self._tools = tools
        self._link_wait_ms = tools.link.wait_ms()
        self._routed = routed
        self._permit = permit
        self._outcome = _Outcome()
        self._connection: UpstreamConnection | None = None
        self._token: int | None = tools.reports.attempt_started(server)

    async def run(self) -> Result:
        """Run the attempt and return its result."""
        try:
            result = await self._run()
        except asyncio.CancelledError:
            self.close()
            raise
        if not isinstance(result, ServerResponse) or result.body_rest is None:
            self.close()
        return result

    def age_ms(self) -> float:
        """Return the time since the start, less the wait for the own link."""
        self._update_link_wait()
        age_ms = self._tools.clock.now_ms() - self.started_ms
        return age_ms - self._link_wait_ms

    def mark_overdue(self) -> None:
        """Report to all instances that this attempt is overdue."""
        self.is_overdue = True
        if self._token is not None:
            self._tools.reports.attempt_overdue(self._token, self.server)

    def close(self) -> None:
        """Report the end and keep or close the connection; later calls do nothing."""
        if self._token is None:
            return
        token, self._token = self._token, None
        end = self._outcome.end
        self._tools.reports.attempt_ended(token, self.server, end)
        if self._connection is not None:
            headers = self._outcome.headers
            self._tools.connections.release(self.server, self._connection, headers)
        service = self.server.body.service
        metrics.ATTEMPTS.labels(service, end.name.lower()).inc()
        _log.info(
            f"ends with {end.name.lower()}",
            request_id=self._routed.request.request_id,
            server_id=self.server.body.server_id,
            attempt=self.number,
            took_ms=round(self._tools.clock.now_ms() - self.started_ms),
        )

    async def _run(self) -> Result:
        try:
            self._connection = await self._tools.connections.acquire(
                self.server, is_idempotent=self._routed.is_idempotent
            )
        except ConnectRefusedError:
            self._outcome.end = AttemptEnd.REFUSED
            return NotExecuted("the server refuses connections")
        except ConnectError:
            self._outcome.end = AttemptEnd.UNREACHABLE
            return NotExecuted("the server cannot be reached")
        if self._tools.clock.now_ms() - self.started_ms > CHOICE_LIFETIME_MS:
            return NotExecuted("the process was paused after it chose the server")
        if not self._tools.load.is_current(self.server):
            return NotExecuted("the server has left")
        if not self.server.pause.is_over(self._tools.clock.now_ms()):
            return NotExecuted("the server has asked for a pause")
        if self._permit is not None and self._permit.has_expired(self._tools.clock):
            return NotExecuted("the permit for the server's limit has expired")
        return await self._exchange(self._connection)

    async def _exchange(self, connection: UpstreamConnection) -> Result:
        request = self._routed.request
        header_names = self._tools.header_names
        remaining_ms = self._routed.remaining_ms(self._tools.clock)
        headers = self._routed.server_headers(
            header_names, self.server.body.server_id, remaining_ms
        )
        identity = EchoedHeader(header_names.request_id, request.request_id)
        self.may_have_run = self.has_arrived = True
        first = request.body.buffered_start()
        self._tools.link.send(len(first))
        self._update_link_wait()
        answer = connection.start(
            request.method, request.target, headers, first, identity
        )
        head = await send_until_head(connection, answer, request.body)
        if head is None:
            return self._classify_no_response(answer, connection)
        return await self._receive_response(answer, *head)

    def _update_link_wait(self) -> None:
        """Take up the wait behind bodies that have come between."""
        self._link_wait_ms = max(self._link_wait_ms, self._tools.link.wait_ms())

    def _classify_no_response(
        self, answer: UpstreamResponse, connection: UpstreamConnection
    ) -> ResponseLost:
        if answer.malformed:
            self._outcome.end = AttemptEnd.BROKEN_OFF
            return ResponseLost("the response is malformed")
        took_ms = self._tools.clock.now_ms() - self.started_ms
        # A healthy server may have dropped a connection that was idle before.
        is_early = took_ms <= RESET_MS and connection.idle_ms <= NON_IDEMPOTENT_IDLE_MS
        self._outcome.end = AttemptEnd.RESET if is_early else AttemptEnd.BROKEN_OFF
        return ResponseLost(
            "the connection ended before a response", has_connection_ended=True
        )

    async def _receive_response(
        self,
        answer: UpstreamResponse,
        start_line: ResponseStartLine,
        headers: HTTPHeaders,
    ) -> Result:
        self._outcome.headers = headers
        has_paused = self._tools.notices.record_response(
            self.server, start_line.code, headers
        )
        header_names = self._tools.header_names
        if header_names.not_run in headers or start_line.code == STATUS_MISDIRECTED:
            self.may_have_run = False
            self._outcome.end = AttemptEnd.SHED
            if start_line.code == STATUS_MISDIRECTED:
                self._outcome.end = AttemptEnd.REFUSED
            self._record_limit(headers, is_success=False)
            await drain(answer)
            return NotExecuted(
                "the server did not run the request", parse_retry_after(headers)
            )
        loss = self._classify_head(start_line, headers)
        if loss is not None:
            if has_paused:
                self._outcome.end = AttemptEnd.SHED
            return loss
        if not has_no_body(self._routed.request.method, start_line.code):
            # Bytes of unknown length have passed the link when they are known.
            self._tools.link.receive(body_length(headers) or 0)
            self._update_link_wait()
        try:
            body_start, body_rest = await self._buffer_body(answer, start_line)
        except IncompleteBodyError:
            self._outcome.end = AttemptEnd.BROKEN_OFF
            return ResponseLost("the response broke off", has_connection_ended=True)
        return self._classify_response(
            ServerResponse(start_line, headers, body_start, body_rest, self._record_cut)
        )

    def _record_cut(self, end: AttemptEnd) -> None:
        self._outcome.end = end

    def _record_limit(self, headers: HTTPHeaders, *, is_success: bool) -> None:
        stated = headers.get(self._tools.header_names.rate_limit)
        self._tools.limits.record_response(
            self.server, parse_limit(stated), self.started_ms, is_success=is_success
        )

    async def _buffer_body(
        self, answer: UpstreamResponse, start_line: ResponseStartLine
    ) -> tuple[HeldBody, BodyChannel | None]:
        if has_no_body(self._routed.request.method, start_line.code):
            await answer.body.get()
            return HeldBody(), None
        start = HeldBody()
        while len(start) < BUFFERED_BYTES:
            chunk = await answer.body.get()
            if chunk is None:
                return start, None
            start.append(chunk)
        return start, answer.body

    def _classify_head(
        self, start_line: ResponseStartLine, headers: HTTPHeaders
    ) -> ResponseLost | None:
        """Return the loss that the head already shows, or None.

        The body isn't awaited for this, since it may never end.
        """
        proof = self._tools.header_names.success_proof
        if proof is not None and proof not in headers:
            self._outcome.end = AttemptEnd.BROKEN_OFF
            return ResponseLost(
                f"a response with status {start_line.code} is not the server's"
            )
        self._record_limit(headers, is_success=False)
        if "Content-Encoding" in headers and proof is not None:
            self._outcome.end = AttemptEnd.BROKEN_OFF
            return ResponseLost("the response was encoded on its way")
        if start_line.code in NOT_RUN_STATUSES:
            self._outcome.end = AttemptEnd.ERROR
            return ResponseLost(
                f"the server responded with {start_line.code} and may have run it"
            )
        return None

    def _classify_response(self, response: ServerResponse) -> Result:
        code = response.start_line.code
        if code >= STATUS_SERVER_ERROR:
            self._outcome.end = AttemptEnd.ERROR
            return ResponseLost(f"the server responded with {code}", response)
        self._outcome.end = AttemptEnd.GOOD
        self._record_limit(response.headers, is_success=True)
        duration_ms = self._tools.clock.now_ms() - self.started_ms
        self._tools.route_times.record(
            self._routed.route, duration_ms, self._link_wait_ms
        )
        if response.body_rest is None:
            self._tools.route_times.record_bytes(
                self._routed.route, len(response.body_start)
            )
        return response


async def drain(answer: UpstreamResponse) -> bytes:
    """Read the short body of a refusal, so that the connection can be kept.

    Returns what came within `REFUSAL_BODY_MS`, about `REFUSAL_BODY_BYTES` at most.
    """
    body = bytearray()
    with suppress(IncompleteBodyError, TimeoutError):
        async with asyncio.timeout(REFUSAL_BODY_MS / MS_PER_S):
            while len(body) <= REFUSAL_BODY_BYTES:
                chunk = await answer.body.get()
                if chunk is None:
                    break
                body += chunk
    return bytes(body)
