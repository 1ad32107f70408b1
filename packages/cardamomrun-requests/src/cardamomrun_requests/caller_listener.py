"""The HTTP listener for callers: one task for each request."""

import asyncio
import contextlib
import errno
import json
import socket
import weakref
from collections.abc import Callable
from typing import Any, Protocol

from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPInputError,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError

from cardamomrun_base import headers as names
from cardamomrun_base.errors import AddressInUseError
from cardamomrun_base.outcomes import NotRun
from cardamomrun_base.settings import NodeSettings
from cardamomrun_requests.body_channel import BodyChannel
from cardamomrun_requests.framing import body_length
from cardamomrun_requests.reply import Reply
from cardamomrun_requests.request import CallerRequest, RequestBody, request_id_of
from cardamomrun_requests.upstream import UNBOUNDED_BYTES

__all__ = ["CallerHandler", "CallerListener"]

BACKLOG_COUNT = 1_024
CHUNK_BYTES = 65_536
MAX_HEAD_BYTES = 65_536
# Bounds what one connection holds of requests that are not read yet.
MAX_BUFFER_BYTES = 262_144
TORNADO_REFUSAL = b"HTTP/1.1 400 Bad Request\r\n\r\n"
# For callers that read the end of their answer slowly during a stop.
FLUSH_S = 5.0


class CallerHandler(Protocol):
    """What runs the requests that arrive."""

    leaving: bool
    kept_bytes: int

    def request_id(self, headers: HTTPHeaders) -> str:
        """Return the id by which logs and answers name a request."""

    def reply(
        self,
        connection: HTTP1Connection,
        request: CallerRequest,
        close_after: Callable[[], None],
    ) -> Reply:
        """Return the answer to a request, not started yet."""

    def begin(self, request: CallerRequest, reply: Reply) -> "asyncio.Task[None]":
        """Start the task of a request."""


class CallerListener:
    """The front listener of an instance; hands each request to a `CallerHandler`."""

    def __init__(
        self, settings: NodeSettings, handler: CallerHandler, *, idle_s: float
    ) -> None:
        self._settings = settings
        self._callers = _Callers(handler)
        self._server = _Server(
            self._callers,
            chunk_size=CHUNK_BYTES,
            max_header_size=MAX_HEAD_BYTES,
            max_buffer_size=MAX_BUFFER_BYTES,
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
        """Accept no connection any more, and close those without a request."""
        self._server.stop()
        self._callers.close_idle()

    async def wait_closed(self) -> None:
        """Wait until callers have read the ends of their answers."""
        await self._server.wait_closed(FLUSH_S)


class _Server(HTTPServer):
    """tornado's server, which can wait for its connections to end by themselves."""

    def initialize(self, *args: Any, **kwargs: Any) -> None:
        super().initialize(*args, **kwargs)
        self._open_count = 0
        self._changed = asyncio.Event()

    def handle_stream(self, stream: IOStream, address: tuple) -> None:
        self._open_count += 1
        # The stream given has not registered with the loop yet.
        caller_stream = _CallerStream(
            stream.socket, MAX_BUFFER_BYTES, read_chunk_size=CHUNK_BYTES
        )
        super().handle_stream(caller_stream, address)

    def on_close(self, server_conn: object) -> None:
        super().on_close(server_conn)
        self._open_count -= 1
        self._changed.set()

    async def wait_closed(self, limit_s: float) -> None:
        """Wait until no connection is open, at most `limit_s`."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                while self._open_count:
                    self._changed.clear()
                    await self._changed.wait()


class _CallerStream(IOStream):
    """Replaces the answer that tornado itself gives to malformed requests.

    That answer has no outcome. During a request it could also follow a part of
    another answer, and the caller would take it for the rest of that one.
    """

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.in_request = False

    def has_unread(self) -> bool:
        """Return True if bytes wait to be read, here or in the socket."""
        if self.closed():
            return False
        if self._read_buffer_size > 0:
            return True
        try:
            return bool(self.socket.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def write(self, data: bytes | memoryview) -> asyncio.Future[None]:
        if data == TORNADO_REFUSAL:
            if self.in_request:
                self.close()
                raise StreamClosedError
            data = _malformed_head_answer()
        return super().write(data)


def _malformed_head_answer() -> bytes:
    content = {
        "error": "malformed",
        "outcome": "not-run",
        "message": "The request head is malformed.",
        "remedy": "send HTTP/1.1",
        "request_id": request_id_of(HTTPHeaders()),
    }
    body = json.dumps(content).encode()
    head = (
        "HTTP/1.1 400 Bad Request\r\nContent-Type: application/json\r\n"
        f"{names.OUTCOME}: not-run\r\n{names.REQUEST_ID}: {content['request_id']}\r\n"
        f"Connection: close\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


class _Callers(HTTPServerConnectionDelegate):
    """The connections of callers."""

    def __init__(self, front: CallerHandler) -> None:
        self._front = front
        self._idle: weakref.WeakSet[_CallerMessage] = weakref.WeakSet()
        self._closing: weakref.WeakSet[object] = weakref.WeakSet()
        self._closed = False

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        assert isinstance(request_conn, HTTP1Connection)
        message = _CallerMessage(self._front, self, server_conn, request_conn)
        message.mark_in_request(False)
        if self._closed or server_conn in self._closing:
            request_conn.close()
        else:
            self._idle.add(message)
        return message

    def busy(self, message: "_CallerMessage") -> None:
        """Note that a request arrived."""
        self._idle.discard(message)

    def close_after(self, server_conn: object) -> None:
        """Close a connection once its present request is answered."""
        self._closing.add(server_conn)

    def close_idle(self) -> None:
        """Close idle connections now and the others after their present request.

        A connection on which bytes of a request wait is not idle any more.
        """
        self._closed = True
        for message in list(self._idle):
            if not message.has_unread():
                message.connection.close()


class _CallerMessage(HTTPMessageDelegate):
    """One request of a caller while it arrives."""

    def __init__(
        self,
        front: CallerHandler,
        callers: _Callers,
        server_conn: object,
        connection: HTTP1Connection,
    ) -> None:
        self.connection = connection
        self._front = front
        self._callers = callers
        self._server_conn = server_conn
        self._channel = BodyChannel()
        self._task: asyncio.Task[None] | None = None

    async def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        assert isinstance(start_line, RequestStartLine)
        if self.connection.stream is None or self.connection.stream.closed():
            # It crossed the close of an idle connection: nobody would get the answer.
            return
        self._callers.busy(self)
        self.mark_in_request(True)
        fault = None
        length: int | None = 0
        try:
            length = body_length(headers)
            if length is None and "Transfer-Encoding" not in headers:
                length = 0
        except HTTPInputError as error:
            fault = str(error)
        context = self.connection.context
        request = CallerRequest(
            method=start_line.method,
            target=start_line.path,
            version=start_line.version,
            headers=headers,
            body=RequestBody(self._channel, length, self._front.kept_bytes),
            remote_ip=getattr(context, "remote_ip", ""),
            request_id=self._front.request_id(headers),
        )
        reply = self._front.reply(self.connection, request, self._close_after)
        if fault is not None:
            await self._refuse(reply, fault)
            return
        if self._front.leaving:
            reply.leaving = True
        # The route bounds the body; tornado would answer without an outcome.
        self.connection.set_max_body_size(UNBOUNDED_BYTES)
        self.connection.set_close_callback(self._caller_left)
        self._task = self._front.begin(request, reply)

    def has_unread(self) -> bool:
        """Return True if bytes of the next request have arrived."""
        stream = self.connection.stream
        return isinstance(stream, _CallerStream) and stream.has_unread()

    def mark_in_request(self, in_request: bool) -> None:
        """Note whether a head was received whose answer is not finished."""
        stream = self.connection.stream
        if isinstance(stream, _CallerStream):
            stream.in_request = in_request

    async def data_received(self, chunk: bytes) -> None:
        await self._channel.put(chunk)

    def finish(self) -> None:
        self._channel.end(whole=True)

    def on_connection_close(self) -> None:
        self._channel.end(whole=False)
        self._caller_left()

    def _caller_left(self) -> None:
        if self._task is not None:
            self._task.cancel()

    def _close_after(self) -> None:
        self._callers.close_after(self._server_conn)

    async def _refuse(self, reply: Reply, fault: str) -> None:
        """Answer a request whose end cannot be found, and close the connection."""
        outcome = NotRun(
            f"The request is malformed: {fault}.", "send one form of body length", 400
        )
        await reply.send_error(outcome, "malformed")
        self._channel.end(whole=False)
        self.connection.finish()
        self.connection.close()
