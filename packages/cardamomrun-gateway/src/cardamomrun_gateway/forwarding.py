"""Forwards a backend server's response to the client.

The request's time limit ends when the response is ready. Until then `RequestDispatch`
applies it. From then on the rules here decide how long a response may take that is on
its way.
"""

import asyncio

from tornado.httputil import HTTPHeaders
from tornado.iostream import StreamClosedError

from cardamomrun_base import headers as names
from cardamomrun_base.clock import MS_PER_S
from cardamomrun_base.logs import ComponentLog
from cardamomrun_gateway import metrics
from cardamomrun_gateway.fleet_load import Server
from cardamomrun_gateway.routed_request import DEADLINE_GRACE_MS, RoutedRequest
from cardamomrun_gateway.server_attempt import AttemptDependencies, ServerResponse
from cardamomrun_gateway.server_health import AttemptEnd
from cardamomrun_gateway.shutdown import Shutdown
from cardamomrun_requests.body_channel import BodyChannel, IncompleteBodyError
from cardamomrun_requests.framing import has_no_body
from cardamomrun_requests.reply import ResponseWriter
from cardamomrun_requests.request import ClientRequest

__all__ = ["forward_response", "name_server"]

# After the deadline, the longest wait for the client to take a piece of 64 KB. A client
# that reads 4.4 kB/s stays below it, and so do 40 at once on a link of 1.4 Mbit/s.
CLIENT_STALL_MS = 15_000.0
# After the deadline, the longest wait for the next bytes of the server.
SERVER_STALL_MS = 1_000.0
# Longest time after the deadline, so that no response lasts without end. The largest
# downloads, 540 kB, take that long at 9 kB/s.
LATE_LIMIT_MS = 60_000.0
# Interval of the checks after the deadline. It is half the reserve of a planned stop, so
# that a response ends itself before the process may be killed.
CHECK_MS = 250.0
# If the client kept the instance from reading for this long, a server may end its
# response for that. Shorter waits are ordinary on a busy instance.
UNREAD_MS = 300.0
# After waiting for the server for this long, the instance had read all that was sent.
CAUGHT_UP_MS = 50.0

_log = ComponentLog("forwarding")


async def forward_response(
    routed: RoutedRequest,
    response: ServerResponse,
    reply: ResponseWriter,
    tools: AttemptDependencies,
    shutdown: Shutdown,
) -> None:
    """Send a response with its whole body, as fast as the client reads it.

    Raises `IncompleteBodyError` if the server breaks off, `StreamClosedError` if the
    client does or reads too slowly, and `TimeoutError` if the server is too slow.
    """
    await _Forwarding(routed, response, reply, tools, shutdown).run()


def name_server(server: Server, reply: ResponseWriter) -> None:
    """Tell the instance that asked for a request which server has responded."""
    reply.hop_headers[names.RELAYED_SERVER] = (
        f"{server.body.server_id}/{server.body.incarnation}"
    )


class _Forwarding:
    """One response on its way to the client."""

    def __init__(
        self,
        routed: RoutedRequest,
        response: ServerResponse,
        reply: ResponseWriter,
        tools: AttemptDependencies,
        shutdown: Shutdown,
    ) -> None:
        self._routed = routed
        self._response = response
        self._reply = reply
        self._clock = tools.clock
        self._link = tools.link
        self._shutdown = shutdown
        self._deadline_ms = routed.deadline_ms + DEADLINE_GRACE_MS
        self._awaits_client = True
        self._waiting_since_ms = self._clock.now_ms()
        # The longest wait for the client since the instance had read all that the
        # server had sent.
        self._unread_ms = 0.0
        self._next_check: asyncio.TimerHandle | None = None

    async def run(self) -> None:
        """Forward the response within the limits of this module."""
        try:
            async with asyncio.timeout(None) as scope:
                # Before the deadline, which few responses reach, nothing is checked.
                until_ms = self._deadline_ms - self._clock.now_ms()
                self._check_after(max(0.0, until_ms), scope)
                await self._forward()
        except TimeoutError:
            self._record_late()
            if self._awaits_client:
                raise StreamClosedError from None
            raise
        finally:
            if self._next_check is not None:
                self._next_check.cancel()

    async def _forward(self) -> None:
        response = self._response
        headers = HTTPHeaders(response.headers)
        if response.body_rest is None:
            _declare_length(headers, self._routed.request, response)
        line = response.start_line
        await self._reply.start(line.code, line.reason, headers, "done")
        while (piece := response.body_start.take()) is not None:
            await self._write(piece)
        if response.body_rest is not None:
            while (piece := await self._read(response.body_rest)) is not None:
                await self._write(piece)

    async def _write(self, piece: bytes) -> None:
        self._link.send(len(piece))
        self._awaits_client = True
        self._waiting_since_ms = self._clock.now_ms()
        await self._reply.write(piece)
        self._unread_ms = max(self._unread_ms, self._waited_ms())

    async def _read(self, rest: BodyChannel) -> bytes | None:
        self._awaits_client = False
        self._waiting_since_ms = self._clock.now_ms()
        try:
            piece = await rest.get()
        except IncompleteBodyError:
            self._forget_unread()
            self._record_cut()
            raise
        self._forget_unread()
        return piece

    def _waited_ms(self) -> float:
        return self._clock.now_ms() - self._waiting_since_ms

    def _forget_unread(self) -> None:
        if self._waited_ms() >= CAUGHT_UP_MS:
            self._unread_ms = 0.0

    def _record_cut(self) -> None:
        is_clients = self._unread_ms >= UNREAD_MS
        end = AttemptEnd.NO_EVIDENCE if is_clients else AttemptEnd.BROKEN_OFF
        if self._response.record_cut is not None:
            self._response.record_cut(end)
        cause = "slow-client" if is_clients else "server"
        metrics.CUT_RESPONSES.labels(cause).inc()
        _log.info(
            "a backend server broke off a response that was being forwarded",
            request_id=self._routed.request.request_id,
            cause=cause,
            unread_ms=round(self._unread_ms),
        )

    def _record_late(self) -> None:
        cause = "client-stalled" if self._awaits_client else "server-stalled"
        metrics.CUT_RESPONSES.labels(cause).inc()
        _log.info(
            "breaks off a response after its deadline",
            request_id=self._routed.request.request_id,
            cause=cause,
            waited_ms=round(self._waited_ms()),
            late_ms=round(self._clock.now_ms() - self._deadline_ms),
            is_stopping=self._shutdown.has_begun,
        )

    def _check_after(self, delay_ms: float, scope: asyncio.Timeout) -> None:
        loop = asyncio.get_running_loop()
        self._next_check = loop.call_later(
            delay_ms / MS_PER_S, self._check_limits, scope
        )

    def _check_limits(self, scope: asyncio.Timeout) -> None:
        """End the forwarding if it exceeds its limits."""
        if self._left_ms() <= 0:
            scope.reschedule(asyncio.get_running_loop().time())
        else:
            self._check_after(CHECK_MS, scope)

    def _left_ms(self) -> float:
        """Return how long the present wait may still last after the deadline."""
        now_ms = self._clock.now_ms()
        stall_ms = CLIENT_STALL_MS
        if not self._awaits_client:
            stall_ms = SERVER_STALL_MS + self._link.wait_ms()
        left_ms = min(
            self._waiting_since_ms + stall_ms - now_ms,
            self._deadline_ms + LATE_LIMIT_MS - now_ms,
        )
        if self._shutdown.has_begun:
            # A client without chunks takes the end of the process for the end of the
            # body, so the response has to be reset before.
            left_ms = min(left_ms, self._shutdown.remaining_ms)
        return left_ms


def _declare_length(
    headers: HTTPHeaders, request: ClientRequest, response: ServerResponse
) -> None:
    if has_no_body(request.method, response.start_line.code):
        return
    if "Transfer-Encoding" in headers:
        del headers["Transfer-Encoding"]
    headers["Content-Length"] = str(len(response.body_start))
