"""Connections to backend servers and their pools."""

import asyncio
import socket
from dataclasses import dataclass
from typing import Any

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPInputError,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError, UnsatisfiableReadError

from cardamomrun_base.clock import MS_PER_S, Clock
from cardamomrun_base.interfaces import Backends
from cardamomrun_base.model import BackendBody
from cardamomrun_requests.body_channel import BodyChannel
from cardamomrun_requests.framing import body_length, has_no_body
from cardamomrun_requests.metrics import UPSTREAM_CONNECTIONS

__all__ = [
    "UpstreamResponse",
    "ConnectError",
    "ConnectRefusedError",
    "EchoedHeader",
    "PeekableStream",
    "UpstreamConnection",
    "UpstreamPools",
    "open_stream",
]

CHUNK_BYTES = 65_536
MAX_HEAD_BYTES = 65_536
# Request bodies are limited by the route; responses are streamed without a limit.
UNBOUNDED_BYTES = 1 << 62
# An idle connection older than this may have gone silent (design, section 4.7).
MAX_IDLE_NON_IDEMPOTENT_MS = 5_000
MAX_IDLE_MS = 30_000
CONNECT_TIMEOUT_MS = 1_000
# The kernel closes a connection whose data stays unacknowledged by a peer this long.
TCP_USER_TIMEOUT_MS = 3_000

# Limits per request on informational responses and late responses to earlier requests,
# which a faulty server may send without end.
MAX_SKIPPED_RESPONSE_COUNT = 16
MAX_SKIPPED_BODY_BYTES = 1_048_576

# RFC 9110, section 15: a status code has three digits, the first of them from 1 to 5.
# tornado accepts any three digits, and takes those below 100 for a response with a body.
MIN_STATUS = 100
STATUS_CLIENT_ERROR = 400

# tornado frames a body of unknown length as chunks for these methods only.
TORNADO_CHUNKED_METHODS = frozenset(("POST", "PUT", "PATCH"))
LAST_CHUNK = b"0\r\n\r\n"
_HTTP_PARAMETERS = HTTP1ConnectionParameters(
    chunk_size=CHUNK_BYTES,
    max_header_size=MAX_HEAD_BYTES,
    max_body_size=UNBOUNDED_BYTES,
)


class ConnectError(Exception):
    """The connection could not be opened; no byte of the request was sent."""


class ConnectRefusedError(ConnectError):
    """The server's machine refused the connection: nothing listens at the address."""


@dataclass(frozen=True)
class EchoedHeader:
    """A header that the server echoes, to tell a response from a late one."""

    header: str
    value: str


class UpstreamResponse(HTTPMessageDelegate):
    """Receives the response to one request.

    `head` resolves to the final start line and headers, or to None if the connection
    ended, or sent something malformed, before a complete head. `request_finished` is True
    once the whole request was passed to the connection.
    """

    def __init__(
        self,
        method: str,
        stream: "PeekableStream",
        identity: EchoedHeader | None = None,
        *,
        requires_echo: bool = False,
    ) -> None:
        self.request_finished = False
        self._status = 0
        self._method = method
        self._stream = stream
        self._identity = identity
        self._requires_echo = requires_echo
        self._skipped_count = 0
        self._skipped_bytes = 0
        self.has_echoed = False
        self.is_mismatched = False
        self.head: asyncio.Future[tuple[ResponseStartLine, HTTPHeaders] | None]
        self.head = asyncio.get_running_loop().create_future()
        self.body = BodyChannel()
        self.close_delimited = False
        self.malformed = False
        self.keep_alive = False

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        assert isinstance(start_line, ResponseStartLine)
        if start_line.code < MIN_STATUS:
            raise HTTPInputError(f"the status code {start_line.code:03} is not valid")
        if start_line.code == 101:
            raise HTTPInputError("the server switched protocols without a request")
        length = body_length(headers)
        if start_line.code < 200:
            self._count_skipped()
            return
        self.is_mismatched = self._is_for_other_request(headers)
        if self.is_mismatched:
            self._count_skipped()
            return
        self._status = start_line.code
        bodiless = has_no_body(self._method, start_line.code)
        chunked = "Transfer-Encoding" in headers
        if start_line.code == 204 and (chunked or length):
            raise HTTPInputError("a response with status 204 declares a body")
        self.close_delimited = not bodiless and length is None and not chunked
        self.keep_alive = (
            start_line.version == "HTTP/1.1"
            and not self.close_delimited
            and "close" not in headers.get("Connection", "").lower()
        )
        if not self.head.done():
            self.head.set_result((start_line, headers))

    async def data_received(self, chunk: bytes) -> None:
        if not self.is_mismatched:
            await self.body.put(chunk)
            return
        self._skipped_bytes += len(chunk)
        if self._skipped_bytes > MAX_SKIPPED_BODY_BYTES:
            self._stream.close()

    def finish(self) -> None:
        if self.is_mismatched:
            return
        # A reset also ends a close-delimited body, but the body is then incomplete.
        broken_off = self._stream.error is not None or self._ended_before_request()
        self.body.end(complete=not (self.close_delimited and broken_off))

    def on_connection_close(self) -> None:
        self.body.end(complete=False)
        if not self.head.done():
            self.head.set_result(None)

    def _ended_before_request(self) -> bool:
        """Return True if a successful response ended before its request was sent.

        A process that dies during an upload closes its connection like this, without a
        reset, if it had read all that had arrived. An error may come and end early.
        """
        return self._status < STATUS_CLIENT_ERROR and (
            not self.request_finished or self._stream.has_unsent_output()
        )

    def _is_for_other_request(self, headers: HTTPHeaders) -> bool:
        if self._identity is None:
            return False
        echoed = headers.get(self._identity.header)
        if echoed is None:
            # A late response may lack the header that the server's other responses have.
            return self._requires_echo
        self.has_echoed = echoed == self._identity.value
        return not self.has_echoed

    def _count_skipped(self) -> None:
        self._skipped_count += 1
        if self._skipped_count > MAX_SKIPPED_RESPONSE_COUNT:
            raise HTTPInputError(
                "the server sent too many responses that match no request"
            )


class PeekableStream(IOStream):
    """A stream that can be checked for unread input without reading it.

    Counts the bytes that went through its socket.
    """

    def __init__(self, *arguments: Any, **options: Any) -> None:
        self.sent_bytes = 0
        self.received_bytes = 0
        super().__init__(*arguments, **options)

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        byte_count = super().read_from_fd(buf)
        self.received_bytes += byte_count or 0
        return byte_count

    def write_to_fd(self, data: memoryview) -> int:
        byte_count = super().write_to_fd(data)
        self.sent_bytes += byte_count
        return byte_count

    def has_unread_input(self) -> bool:
        if self.closed() or self._read_buffer_size > 0:
            return True
        try:
            self.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def has_unsent_output(self) -> bool:
        """Return True if bytes were written that the kernel has not taken."""
        return self._total_write_done_index < self._total_write_index


class UpstreamConnection:
    """One connection to a backend server, for one request at a time."""

    def __init__(self, stream: PeekableStream) -> None:
        self.pool: _ServerPool | None = None
        self.reused = False
        self.idle_since_ms = 0.0
        # How long the connection was idle before its current request.
        self.idle_ms = 0.0
        self.response: UpstreamResponse | None = None
        self._stream = stream
        self._http: HTTP1Connection | None = None
        self._reader: asyncio.Task[None] | None = None
        self._encodes_chunks = False
        # True once a response on this connection echoed the request's identity.
        self._expects_echo = False

    def start(
        self,
        method: str,
        target: str,
        headers: HTTPHeaders,
        chunk: bytes,
        identity: EchoedHeader | None = None,
    ) -> UpstreamResponse:
        """Send the head and first chunk of a request and start reading the response.

        From here on bytes may have reached the server. Responses that echo another
        value of `identity` belong to earlier requests and are skipped. So are those
        without the header if earlier responses on the connection had it.
        """
        self._stream.set_nodelay(True)
        self._http = HTTP1Connection(self._stream, True, _HTTP_PARAMETERS)
        self._expects_echo = self._expects_echo or (
            self.response is not None and self.response.has_echoed
        )
        self.response = UpstreamResponse(
            method, self._stream, identity, requires_echo=self._expects_echo
        )
        is_chunked = bool(chunk) and "Content-Length" not in headers
        self._encodes_chunks = is_chunked and method not in TORNADO_CHUNKED_METHODS
        if self._encodes_chunks:
            headers["Transfer-Encoding"] = "chunked"
        start_line = RequestStartLine(method, target, "HTTP/1.1")
        self._http.write_headers(start_line, headers, self._encode(chunk) or None)
        self._reader = asyncio.create_task(self._read(self._http, self.response))
        return self.response

    async def write(self, chunk: bytes) -> None:
        """Send a chunk; returns when it has left the write buffer."""
        assert self._http is not None
        await self._http.write(self._encode(chunk))

    def finish_request(self) -> None:
        """Mark the request as sent completely."""
        assert self._http is not None
        assert self.response is not None
        if self._encodes_chunks:
            self._http.write(LAST_CHUNK)
        self._http.finish()
        self.response.request_finished = True

    def reusable(self) -> bool:
        """Return True if request and response are complete and no input is unread."""
        response = self.response
        return (
            response is not None
            and response.request_finished
            and response.body.ended
            and response.body.complete
            and response.keep_alive
            and not self._stream.has_unread_input()
        )

    def has_response_head(self) -> bool:
        """Return True if the last request got a response head."""
        if self.response is None:
            return True
        return self.response.head.done() and self.response.head.result() is not None

    def usable(self) -> bool:
        """Return True if an idle connection is open and has no unread input."""
        return not self._stream.has_unread_input()

    def take_byte_counts(self) -> tuple[int, int]:
        """Return the bytes sent and received since the last call."""
        stream = self._stream
        counts = stream.sent_bytes, stream.received_bytes
        stream.sent_bytes = stream.received_bytes = 0
        return counts

    def close(self) -> None:
        """Close the connection, which tells the server to cancel the request."""
        self._stream.close()
        if self.response is not None:
            self.response.body.discard()

    def _encode(self, chunk: bytes) -> bytes:
        """Return the chunk as it is sent to the server."""
        if not self._encodes_chunks or not chunk:
            return chunk
        return b"%x\r\n%b\r\n" % (len(chunk), chunk)

    async def _read(self, http: HTTP1Connection, response: UpstreamResponse) -> None:
        try:
            await http.read_response(response)
            while response.is_mismatched and not self._stream.closed():
                response.is_mismatched = False
                await http.read_response(response)
            # tornado reports a malformed message by closing and returning.
            response.malformed = (
                not response.head.done() or response.head.result() is None
            )
        except StreamClosedError:
            response.malformed = isinstance(self._stream.error, UnsatisfiableReadError)
        finally:
            response.on_connection_close()


class _ServerPool:
    def __init__(self, server: BackendBody, max_connection_count: int) -> None:
        self.server = server
        self.max_connection_count = max_connection_count
        self.idle: list[UpstreamConnection] = []
        self.slots = asyncio.Semaphore(max_connection_count)

    def close_idle(self) -> None:
        for connection in self.idle:
            connection.close()
        self.idle.clear()


class UpstreamPools:
    """Pools of connections, one for each backend server."""

    def __init__(self, clock: Clock, backends: Backends) -> None:
        self._clock = clock
        self._backends = backends
        self._pools: dict[tuple[str, str], _ServerPool] = {}

    async def acquire(
        self,
        server: BackendBody,
        max_connection_count: int,
        *,
        idempotent: bool,
        force_new: bool = False,
    ) -> UpstreamConnection:
        """Return a connection; end its use with `release`. Raises `ConnectError`.

        Connections idle for over 5 s are used for idempotent requests only. With
        `force_new` no pooled connection is used.
        """
        pool = self._pool(server, max_connection_count)
        await pool.slots.acquire()
        try:
            connection = None if force_new else self._pop_idle(pool, idempotent)
            if connection is None:
                connection = await open_connection(server)
        except BaseException:
            pool.slots.release()
            raise
        connection.pool = pool
        return connection

    def release(self, connection: UpstreamConnection) -> None:
        """Return a connection to its pool if it is reusable; close it otherwise."""
        pool = connection.pool
        assert pool is not None
        pool.slots.release()
        current = self._pools.get(_server_key(pool.server)) is pool
        if current and connection.reusable():
            connection.idle_since_ms = self._clock.now_ms()
            connection.reused = True
            pool.idle.append(connection)
            return
        connection.close()
        if connection.reused and not connection.has_response_head():
            # The cause has likely broken the other pooled connections to the server too.
            pool.close_idle()

    def close_stale(self) -> None:
        """Close connections to servers that are gone and those idle for too long."""
        for key, pool in list(self._pools.items()):
            if not self._backends.is_current(pool.server):
                pool.close_idle()
                del self._pools[key]
                continue
            for connection in list(pool.idle):
                if not connection.usable() or self._idle_ms(connection) > MAX_IDLE_MS:
                    pool.idle.remove(connection)
                    connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for pool in self._pools.values():
            pool.close_idle()
        self._pools.clear()

    def _pool(self, server: BackendBody, max_connection_count: int) -> _ServerPool:
        pool = self._pools.get(_server_key(server))
        if pool is None or _server_process(pool.server) != _server_process(server):
            if pool is not None:
                pool.close_idle()
            pool = self._pools[_server_key(server)] = _ServerPool(
                server, max_connection_count
            )
        elif pool.max_connection_count != max_connection_count:
            pool.close_idle()
            pool = self._pools[_server_key(server)] = _ServerPool(
                server, max_connection_count
            )
        return pool

    def _pop_idle(
        self, pool: _ServerPool, idempotent: bool
    ) -> UpstreamConnection | None:
        while pool.idle:
            connection = pool.idle.pop()
            idle_ms = self._idle_ms(connection)
            limit_ms = MAX_IDLE_MS if idempotent else MAX_IDLE_NON_IDEMPOTENT_MS
            if idle_ms <= limit_ms and connection.usable():
                return connection
            connection.close()
        return None

    def _idle_ms(self, connection: UpstreamConnection) -> float:
        return self._clock.now_ms() - connection.idle_since_ms


async def open_connection(server: BackendBody) -> UpstreamConnection:
    """Connect to a server. Raises `ConnectError`."""
    stream = await open_stream(server.address, CONNECT_TIMEOUT_MS)
    UPSTREAM_CONNECTIONS.labels(server.environment).inc()
    return UpstreamConnection(stream)


async def open_stream(address: str, timeout_ms: float) -> PeekableStream:
    """Connect to `host:port`. Raises `ConnectError`."""
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    stream = PeekableStream(socket.socket(family), read_chunk_size=CHUNK_BYTES)
    stream.socket.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
    )
    try:
        async with asyncio.timeout(timeout_ms / MS_PER_S):
            await stream.connect((host, int(port)))
    except BaseException as error:
        cause = stream.error or error
        stream.close()
        if isinstance(cause, ConnectionRefusedError):
            raise ConnectRefusedError(str(cause)) from error
        # TimeoutError is an OSError.
        if isinstance(error, (StreamClosedError, OSError)):
            raise ConnectError(str(cause)) from error
        raise
    return stream


def _server_key(server: BackendBody) -> tuple[str, str]:
    return server.environment, server.server_id


def _server_process(server: BackendBody) -> tuple[int, str]:
    return server.incarnation, server.address
