"""One attempt to have a request answered by one backend server."""

import asyncio
import math
from contextlib import suppress
from dataclasses import dataclass, field

from tornado.httputil import HTTPHeaders, ResponseStartLine

from cardamomrun_base.clock import MS_PER_S, Clock
from cardamomrun_base.headers import GatewayHeaders
from cardamomrun_base.logs import PartLog
from cardamomrun_gateway import metrics
from cardamomrun_gateway.fleet_load import Server
from cardamomrun_gateway.load_reports import LoadReports
from cardamomrun_gateway.routed_request import RoutedRequest, RouteTimes
from cardamomrun_gateway.server_connections import FRESH_MS, ServerConnections
from cardamomrun_gateway.server_health import AttemptEnd
from cardamomrun_requests.body_channel import BodyChannel, BodyCutError
from cardamomrun_requests.framing import without_body
from cardamomrun_requests.sending import cancel_sending, raise_caller_fault
from cardamomrun_requests.upstream import (
    Answer,
    ConnectError,
    ConnectRefusedError,
    Identity,
    UpstreamConnection,
)

__all__ = ["Answered", "AttemptTools", "Lost", "NotSent", "Result", "ServerAttempt"]

# Answers up to this size are held until they are whole, so that one that breaks off
# can be replaced; longer ones are passed on while they arrive.
HELD_BYTES = 262_144
STATUS_SERVER_ERROR = 500
# A server that resets requests does so within a few milliseconds; one that breaks off
# later accepted the request.
RESET_MS = 50.0
# These tell a caller that its request was not run, which only a server's own header
# can show.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
STATUS_MISDIRECTED = 421

# What is read of a refusal's body so that its connection can be kept. Another server may
# have room meanwhile, so it must not take long.
REFUSAL_BODY_BYTES = 65_536
REFUSAL_BODY_MS = 20.0

_log = PartLog("attempt")


@dataclass(frozen=True)
class Answered:
    """The server's answer; `rest` still brings its end if `first` is not all."""

    start_line: ResponseStartLine
    headers: HTTPHeaders
    first: bytes
    rest: BodyChannel | None


@dataclass(frozen=True)
class NotSent:
    """The server did not run the request."""

    reason: str
    retry_after_s: float | None = None


@dataclass(frozen=True)
class Lost:
    """The server may have run the request, and its answer is missing.

    `answer` is an error answer of the server's own, if that is all there is, and
    `has_no_answer` tells that the connection ended before anything came.
    """

    reason: str
    answer: Answered | None = None
    has_no_answer: bool = False


Result = Answered | NotSent | Lost


@dataclass(frozen=True)
class AttemptTools:
    """What all attempts of an instance share."""

    clock: Clock
    names: GatewayHeaders
    connections: ServerConnections
    reports: LoadReports
    times: RouteTimes


@dataclass
class _Verdict:
    end: AttemptEnd = AttemptEnd.NO_EVIDENCE
    headers: HTTPHeaders = field(default_factory=HTTPHeaders)


class ServerAttempt:
    """Sends a request to a server; `close` ends the server's work if it goes on."""

    def __init__(
        self, tools: AttemptTools, routed: RoutedRequest, server: Server, number: int
    ) -> None:
        self.server = server
        self.number = number
        self.is_overdue = False
        self.may_have_run = False
        self.started_ms = tools.clock.now_ms()
        self._tools = tools
        self._routed = routed
        self._verdict = _Verdict()
        self._connection: UpstreamConnection | None = None
        self._token: int | None = tools.reports.started(server)

    async def run(self) -> Result:
        """Return how the attempt ended, with the answer if there is one."""
        try:
            result = await self._run()
        except asyncio.CancelledError:
            self.close()
            raise
        if not isinstance(result, Answered) or result.rest is None:
            self.close()
        return result

    def mark_overdue(self) -> None:
        """Tell all instances that this attempt takes much longer than usual."""
        self.is_overdue = True
        if self._token is not None:
            self._tools.reports.overdue(self._token, self.server)

    def close(self) -> None:
        """Report the end, and keep or close the connection; later calls do nothing."""
        if self._token is None:
            return
        token, self._token = self._token, None
        end = self._verdict.end
        self._tools.reports.ended(token, self.server, end)
        if self._connection is not None:
            headers = self._verdict.headers
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
            self._connection = await self._tools.connections.take(
                self.server, is_idempotent=self._routed.is_idempotent
            )
        except ConnectRefusedError:
            self._verdict.end = AttemptEnd.REFUSED
            return NotSent("the server refuses connections")
        except ConnectError:
            self._verdict.end = AttemptEnd.UNREACHABLE
            return NotSent("the server cannot be reached")
        return await self._exchange(self._connection)

    async def _exchange(self, connection: UpstreamConnection) -> Result:
        request = self._routed.request
        names = self._tools.names
        left_ms = self._routed.left_ms(self._tools.clock)
        headers = self._routed.server_headers(
            names, self.server.body.server_id, left_ms
        )
        identity = Identity(names.request_id, request.request_id)
        self.may_have_run = True
        first = request.body.first()
        answer = connection.start(
            request.method, request.target, headers, first, identity
        )
        sending = asyncio.create_task(self._send_body(connection))
        try:
            # An answer may come before the body is sent; the server decides.
            either: set[asyncio.Future] = {answer.head, sending}
            await asyncio.wait(either, return_when=asyncio.FIRST_COMPLETED)
            if not answer.head.done():
                raise_caller_fault(sending)
                await asyncio.wait({answer.head})
        finally:
            await cancel_sending(sending)
        head = answer.head.result()
        if head is None:
            return self._no_head(answer, connection)
        return await self._take_answer(answer, *head)

    async def _send_body(self, connection: UpstreamConnection) -> None:
        body = self._routed.request.body
        while (chunk := await body.next()) is not None:
            await connection.write(chunk)
        connection.finish_request()

    def _no_head(self, answer: Answer, connection: UpstreamConnection) -> Lost:
        if answer.malformed:
            self._verdict.end = AttemptEnd.BROKEN_OFF
            return Lost("the answer is malformed")
        took_ms = self._tools.clock.now_ms() - self.started_ms
        # A connection that rested may have been forgotten by a server that is well.
        is_early = took_ms <= RESET_MS and connection.rested_ms <= FRESH_MS
        self._verdict.end = AttemptEnd.RESET if is_early else AttemptEnd.BROKEN_OFF
        return Lost("the connection ended before an answer", has_no_answer=True)

    async def _take_answer(
        self, answer: Answer, start_line: ResponseStartLine, headers: HTTPHeaders
    ) -> Result:
        self._verdict.headers = headers
        names = self._tools.names
        if names.not_run in headers or start_line.code == STATUS_MISDIRECTED:
            self.may_have_run = False
            self._verdict.end = AttemptEnd.SHED
            if start_line.code == STATUS_MISDIRECTED:
                self._verdict.end = AttemptEnd.REFUSED
            await _drain(answer)
            return NotSent("the server did not run the request", _retry_after(headers))
        lost = self._judge_head(start_line, headers)
        if lost is not None:
            return lost
        try:
            first, rest = await self._hold(answer, start_line)
        except BodyCutError:
            self._verdict.end = AttemptEnd.BROKEN_OFF
            return Lost("the answer broke off")
        return self._judge(Answered(start_line, headers, first, rest))

    async def _hold(
        self, answer: Answer, start_line: ResponseStartLine
    ) -> tuple[bytes, BodyChannel | None]:
        if without_body(self._routed.request.method, start_line.code):
            await answer.body.get()
            return b"", None
        held = bytearray()
        while len(held) < HELD_BYTES:
            chunk = await answer.body.get()
            if chunk is None:
                return bytes(held), None
            held += chunk
        return bytes(held), answer.body

    def _judge_head(
        self, start_line: ResponseStartLine, headers: HTTPHeaders
    ) -> Lost | None:
        """Return what is known to be lost before the body; that may never end."""
        proof = self._tools.names.success_proof
        if proof is not None and proof not in headers:
            self._verdict.end = AttemptEnd.BROKEN_OFF
            return Lost(f"an answer with status {start_line.code} is not the server's")
        if "Content-Encoding" in headers and proof is not None:
            self._verdict.end = AttemptEnd.BROKEN_OFF
            return Lost("the answer was encoded on its way")
        if start_line.code in NOT_RUN_STATUSES:
            self._verdict.end = AttemptEnd.ERROR
            return Lost(f"the server answered {start_line.code} and may have run it")
        return None

    def _judge(self, answered: Answered) -> Result:
        code = answered.start_line.code
        if code >= STATUS_SERVER_ERROR:
            self._verdict.end = AttemptEnd.ERROR
            return Lost(f"the server answered {code}", answered)
        self._verdict.end = AttemptEnd.GOOD
        duration_ms = self._tools.clock.now_ms() - self.started_ms
        self._tools.times.note(self._routed.route, duration_ms)
        return answered


async def _drain(answer: Answer) -> None:
    """Read the short body of a refusal, so that the connection can be kept."""
    read_bytes = 0
    with suppress(BodyCutError, TimeoutError):
        async with asyncio.timeout(REFUSAL_BODY_MS / MS_PER_S):
            while read_bytes <= REFUSAL_BODY_BYTES:
                chunk = await answer.body.get()
                if chunk is None:
                    return
                read_bytes += len(chunk)


def _retry_after(headers: HTTPHeaders) -> float | None:
    try:
        retry_after_s = float(headers["Retry-After"])
    except (KeyError, ValueError):
        return None
    return max(0.0, retry_after_s) if math.isfinite(retry_after_s) else None
