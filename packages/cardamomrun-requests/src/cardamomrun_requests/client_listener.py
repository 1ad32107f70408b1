"""The HTTP listener for clients: one task for each request."""

import asyncio
import errno
import json
import socket
import weakref
from collections.abc import Callable
from typing import Protocol

from tornado.http1connection import HTTP1Connection
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPInputError,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import StreamClosedError

from cardamomrun_base import headers as names
from cardamomrun_base.errors import AddressInUseError
from cardamomrun_base.outcomes import NotRun
from cardamomrun_base.settings import NodeSettings
from cardamomrun_requests.background import BackgroundTasks
from cardamomrun_requests.body_channel import BodyChannel
from cardamomrun_requests.client_connection import (
    ClientConnection,
    ClientServer,
    ClientStream,
)
from cardamomrun_requests.client_memory import ClientMemory, ConnectionAccount, Phase
from cardamomrun_requests.framing import body_length
from cardamomrun_requests.reply import ResponseWriter
from cardamomrun_requests.request import (
    MEMORY_KIND,
    MEMORY_REASON,
    MEMORY_REMEDY,
    ClientRequest,
    RequestBody,
    request_id_or_new,
)
from cardamomrun_requests.upstream import UNBOUNDED_BYTES

__all__ = ["ClientRequestHandler", "ClientListener"]

BACKLOG_COUNT = 1_024
MAX_HEAD_BYTES = 65_536
TORNADO_ERROR_RESPONSE = b"HTTP/1.1 400 Bad Request\r\n\r\n"
# During a stop, the time for slow clients to read the ends of their responses.
FLUSH_TIMEOUT_S = 5.0
# Retry-After of a body that there was no memory for: stalled clients lose theirs by then.
RETRY_AFTER_S = 1


class ClientRequestHandler(Protocol):
    """Runs the requests that a `ClientListener` receives."""

    body_buffer_bytes: int

    @property
    def head_timeout_ms(self) -> float:
        """How long the head of a request may take to arrive."""

    @property
    def draining(self) -> bool:
        """True once the instance leaves, so that responses end connections."""

    def request_id(self, headers: HTTPHeaders) -> str:
        """Return the id that identifies a request in logs and responses."""

    def response_writer(
        self,
        connection: HTTP1Connection,
        request: ClientRequest,
        close_after: Callable[[], None],
    ) -> ResponseWriter:
        """Return the writer of the response to a request."""

    def start_request(
        self, request: ClientRequest, reply: ResponseWriter
    ) -> "asyncio.Task[None]":
        """Start the task of a request."""


class ClientListener:
    """The front listener of an instance; hands each request to a `ClientRequestHandler`."""

    def __init__(
        self,
        settings: NodeSettings,
        handler: ClientRequestHandler,
        memory: ClientMemory,
        *,
        idle_s: float,
    ) -> None:
        self._settings = settings
        self._connections = _ClientConnections(handler)
        self._server = _FrontServer(
            self._connections,
            memory=memory,
            head_timeout_ms=lambda: handler.head_timeout_ms,
            max_header_size=MAX_HEAD_BYTES,
            idle_connection_timeout=idle_s,
        )

    def open(self) -> None:
        """Listen on the front address. Raises `AddressInUseError`."""
        settings = self._settings
        try:
            self._server.listen(
                settings.front_port, str(settings.host), backlog=BACKLOG_COUNT
            )
        except OSError as error:
            reason = (
                "is in use" if error.errno == errno.EADDRINUSE else "cannot be opened"
            )
            raise AddressInUseError(
                f"The front address {settings.front_address} {reason}.",
                remedy="end the other process or change host or front_port",
            ) from error

    def refuse_new(self) -> None:
        """Stop accepting connections, and close those without a request in flight."""
        self._server.stop()
        self._connections.close_idle()

    async def wait_finished(self, requests: BackgroundTasks) -> None:
        """Wait until no request is in flight and all connections are closed.

        Slow clients get at most `FLUSH_TIMEOUT_S` for the ends of their responses.
        """
        await requests.wait()
        await self._server.wait_closed(FLUSH_TIMEOUT_S)
        # A head that had begun to arrive at `refuse_new` may have been completed since.
        while requests:
            await requests.wait()
            await self._server.wait_closed(FLUSH_TIMEOUT_S)


class _FrontServer(ClientServer):
    """Serves clients; closes connections after requests as `_ClientConnections` says."""

    request_callback: "_ClientConnections"

    def must_close(self, server_conn: object) -> bool:
        return self.request_callback.must_close(server_conn)

    def create_stream(self, connection: socket.socket) -> ClientStream:
        return _FrontStream(connection)


class _FrontStream(ClientStream):
    """Replaces tornado's own response to malformed requests.

    That response has no outcome header. During a request it could also follow a part
    of another response, and the client would take it for the rest of that one.
    """

    def __init__(self, connection: socket.socket) -> None:
        super().__init__(connection)
        self.in_request = False

    def write(self, data: bytes | memoryview) -> asyncio.Future[None]:
        if data == TORNADO_ERROR_RESPONSE:
            if self.in_request:
                self.close()
                raise StreamClosedError
            data = _malformed_head_response()
        return super().write(data)


def _malformed_head_response() -> bytes:
    content = {
        "error": "malformed",
        "outcome": "not-run",
        "message": "The request head is malformed.",
        "remedy": "send HTTP/1.1",
        "request_id": request_id_or_new(HTTPHeaders()),
    }
    body = json.dumps(content).encode()
    head = (
        "HTTP/1.1 400 Bad Request\r\nContent-Type: application/json\r\n"
        f"{names.OUTCOME}: not-run\r\n{names.REQUEST_ID}: {content['request_id']}\r\n"
        f"Connection: close\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


class _ClientConnections(HTTPServerConnectionDelegate):
    """Tracks the connections of clients, to close them after requests or when idle."""

    def __init__(self, handler: ClientRequestHandler) -> None:
        self._handler = handler
        self._idle: weakref.WeakSet[_IncomingRequest] = weakref.WeakSet()
        self._closing: weakref.WeakSet[object] = weakref.WeakSet()
        self._closed = False

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        assert isinstance(request_conn, HTTP1Connection)
        message = _IncomingRequest(self._handler, self, server_conn, request_conn)
        message.mark_in_request(False)
        if self.must_close(server_conn):
            request_conn.close()
        else:
            self._idle.add(message)
        return message

    def must_close(self, server_conn: object) -> bool:
        """Return True if a connection has to be closed after its present request."""
        return self._closed or server_conn in self._closing

    def mark_busy(self, message: "_IncomingRequest") -> None:
        """Mark a connection as busy: a request head arrived."""
        self._idle.discard(message)

    def close_after(self, server_conn: object) -> None:
        """Close a connection once its current request is answered."""
        self._closing.add(server_conn)

    def close_idle(self) -> None:
        """Close idle connections now and the others after their current request.

        A connection with unread bytes of a request is not idle.
        """
        self._closed = True
        for message in list(self._idle):
            if not message.has_unread():
                message.connection.close()


class _IncomingRequest(HTTPMessageDelegate):
    """Receives one request of a client and starts its task."""

    def __init__(
        self,
        handler: ClientRequestHandler,
        connections: _ClientConnections,
        server_conn: object,
        connection: HTTP1Connection,
    ) -> None:
        self.connection = connection
        self._handler = handler
        self._connections = connections
        self._server_conn = server_conn
        self._channel = BodyChannel()
        self._task: asyncio.Task[None] | None = None
        self._account: ConnectionAccount | None = None
        self._is_body_awaited = False

    async def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        assert isinstance(start_line, RequestStartLine)
        if self.connection.stream is None or self.connection.stream.closed():
            # The idle connection was closed while the request arrived, so no response can
            # be delivered.
            return
        self._connections.mark_busy(self)
        self.mark_in_request(True)
        framing_error = None
        length: int | None = 0
        try:
            length = body_length(headers)
            if length is None and "Transfer-Encoding" not in headers:
                length = 0
        except HTTPInputError as error:
            framing_error = str(error)
        stream = self.connection.stream
        assert isinstance(stream, _FrontStream) and stream.account is not None
        account = self._account = stream.account
        # A short body mostly arrives with its head, and is not measured then.
        self._is_body_awaited = length is None or length > stream.buffered_bytes
        if self._is_body_awaited:
            account.begin_body()
        else:
            account.enter(Phase.WORK)
        context = self.connection.context
        request = ClientRequest(
            method=start_line.method,
            target=start_line.path,
            version=start_line.version,
            headers=headers,
            body=RequestBody(
                self._channel, length, self._handler.body_buffer_bytes, account
            ),
            remote_ip=getattr(context, "remote_ip", ""),
            request_id=self._handler.request_id(headers),
        )
        reply = self._handler.response_writer(
            self.connection, request, self._close_after
        )
        if framing_error is not None:
            await self._reject_malformed(reply, framing_error)
            return
        if self._handler.draining:
            reply.draining = True
        # The route limits the body; tornado's own response would lack an outcome.
        self.connection.set_max_body_size(UNBOUNDED_BYTES)
        self.connection.set_close_callback(self._cancel_request)
        assert isinstance(self.connection, ClientConnection)
        has_memory = account.may_parse(self.connection.field_count)
        if not has_memory or (length != 0 and not account.admits_body(length)):
            await self._refuse_for_memory(request, reply, account)
            return
        self._task = self._handler.start_request(request, reply)
        await self.connection.pay_for_fields()

    def has_unread(self) -> bool:
        """Return True if bytes of the next request have arrived."""
        stream = self.connection.stream
        return isinstance(stream, ClientStream) and stream.has_unread()

    def mark_in_request(self, in_request: bool) -> None:
        """Record whether a request head arrived whose response is unfinished."""
        stream = self.connection.stream
        if isinstance(stream, _FrontStream):
            stream.in_request = in_request

    async def data_received(self, chunk: bytes) -> None:
        account = self._account
        if account is None:
            return
        if not self._is_body_awaited:
            await self._channel.put(chunk)
            return
        account.count_body(len(chunk))
        # While the chunk waits for a slow server, the client isn't to blame.
        account.enter(Phase.WORK)
        await self._channel.put(chunk)
        account.enter(Phase.BODY)

    def finish(self) -> None:
        self._channel.end(complete=True)
        if self._account is not None and self._is_body_awaited:
            self._account.enter(Phase.WORK)
        stream = self.connection.stream
        if isinstance(stream, ClientStream) and stream.buffered_bytes:
            stream.on_pipelined()

    def on_connection_close(self) -> None:
        self._channel.end(complete=False)
        self._cancel_request()

    def _cancel_request(self) -> None:
        if self._task is not None:
            self._task.cancel()

    def _close_after(self) -> None:
        self._connections.close_after(self._server_conn)

    async def _reject_malformed(
        self, reply: ResponseWriter, framing_error: str
    ) -> None:
        """Reject a request whose end cannot be determined, and close the connection."""
        outcome = NotRun(
            f"The request is malformed: {framing_error}.",
            "send one form of body length",
            400,
        )
        await reply.send_error(outcome, "malformed")
        self._channel.end(complete=False)
        self.connection.finish()
        self.connection.close()

    async def _refuse_for_memory(
        self,
        request: ClientRequest,
        reply: ResponseWriter,
        account: ConnectionAccount,
    ) -> None:
        """Refuse a request whose body or head there is no memory for."""
        account.refuse()
        outcome = NotRun(MEMORY_REASON, MEMORY_REMEDY, 503, RETRY_AFTER_S)
        request.body.discard()
        await reply.send_error(outcome, MEMORY_KIND)
        await reply.finish()
