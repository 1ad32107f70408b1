"""Connections to backend servers and their pools."""

import asyncio
import socket
from dataclasses import dataclass

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
from cardamomrun_requests.framing import body_length, without_body
from cardamomrun_requests.metrics import UPSTREAM_CONNECTIONS

__all__ = [
    "Answer",
    "ConnectError",
    "ConnectRefusedError",
    "Identity",
    "UpstreamConnection",
    "UpstreamPools",
    "open_stream",
]

CHUNK_BYTES = 65_536
MAX_HEAD_BYTES = 65_536
# Routes bound request bodies; answers are streamed and have no bound.
UNBOUNDED_BYTES = 1 << 62
# Section 4.7 of the design: an older idle connection may have gone silent.
FRESH_IDLE_MS = 5_000
MAX_IDLE_MS = 30_000
CONNECT_TIMEOUT_MS = 1_000
# A peer without power acknowledges nothing; the kernel gives up after this time.
UNACKNOWLEDGED_MS = 3_000

# Informational answers before a final one, and late answers to earlier requests, that are
# read on one connection; a server in trouble may send them without end.
SKIPPED_ANSWER_COUNT = 16
SKIPPED_BODY_BYTES = 1_048_576

_PARAMETERS = HTTP1ConnectionParameters(
    chunk_size=CHUNK_BYTES,
    max_header_size=MAX_HEAD_BYTES,
    max_body_size=UNBOUNDED_BYTES,
)


class ConnectError(Exception):
    """No connection was opened; no byte of a request left."""


class ConnectRefusedError(ConnectError):
    """The server's machine answers and nothing listens at the address."""


@dataclass(frozen=True)
class Identity:
    """A header that the server echoes, by which an answer is told from a late one."""

    header: str
    value: str


class Answer(HTTPMessageDelegate):
    """The answer to one request while it arrives.

    `head` resolves to the final start line and headers, or to None if the connection
    ended, or sent something malformed, before a whole head.
    """

    def __init__(
        self,
        method: str,
        stream: IOStream,
        identity: Identity | None = None,
        *,
        must_echo: bool = False,
    ) -> None:
        self._method = method
        self._stream = stream
        self._identity = identity
        self._must_echo = must_echo
        self._skipped_count = 0
        self._skipped_bytes = 0
        self.has_echoed = False
        self.is_foreign = False
        self.head: asyncio.Future[tuple[ResponseStartLine, HTTPHeaders] | None]
        self.head = asyncio.get_running_loop().create_future()
        self.body = BodyChannel()
        self.until_close = False
        self.malformed = False
        self.keeps_connection = False

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        assert isinstance(start_line, ResponseStartLine)
        if start_line.code == 101:
            raise HTTPInputError("the server switched protocols without a request")
        length = body_length(headers)
        if start_line.code < 200:
            self._count_skipped()
            return
        self.is_foreign = self._answers_another(headers)
        if self.is_foreign:
            self._count_skipped()
            return
        bodiless = without_body(self._method, start_line.code)
        chunked = "Transfer-Encoding" in headers
        if start_line.code == 204 and (chunked or length):
            raise HTTPInputError("an answer with status 204 announces a body")
        self.until_close = not bodiless and length is None and not chunked
        self.keeps_connection = (
            start_line.version == "HTTP/1.1"
            and not self.until_close
            and "close" not in headers.get("Connection", "").lower()
        )
        if not self.head.done():
            self.head.set_result((start_line, headers))

    async def data_received(self, chunk: bytes) -> None:
        if not self.is_foreign:
            await self.body.put(chunk)
            return
        self._skipped_bytes += len(chunk)
        if self._skipped_bytes > SKIPPED_BODY_BYTES:
            self._stream.close()

    def finish(self) -> None:
        if self.is_foreign:
            return
        # A reset also ends a body without declared length, but not properly.
        reset = self.until_close and self._stream.error is not None
        self.body.end(whole=not reset)

    def on_connection_close(self) -> None:
        self.body.end(whole=False)
        if not self.head.done():
            self.head.set_result(None)

    def _answers_another(self, headers: HTTPHeaders) -> bool:
        if self._identity is None:
            return False
        echoed = headers.get(self._identity.header)
        if echoed is None:
            # A late copy may lack what the server puts into its other answers.
            return self._must_echo
        self.has_echoed = echoed == self._identity.value
        return not self.has_echoed

    def _count_skipped(self) -> None:
        self._skipped_count += 1
        if self._skipped_count > SKIPPED_ANSWER_COUNT:
            raise HTTPInputError("the server sends answers to no request without end")


class _Stream(IOStream):
    """A stream that can tell whether bytes or the end of stream wait unread."""

    def has_surplus(self) -> bool:
        if self.closed() or self._read_buffer_size > 0:
            return True
        try:
            self.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True


class UpstreamConnection:
    """One connection to a backend server, for one request at a time."""

    def __init__(self, stream: _Stream) -> None:
        self.pool: _ServerPool | None = None
        self.reused = False
        self.idle_since_ms = 0.0
        # How long it was idle before the request that it carries now.
        self.rested_ms = 0.0
        self.answer: Answer | None = None
        self._stream = stream
        self._http: HTTP1Connection | None = None
        self._reader: asyncio.Task[None] | None = None
        self._request_finished = False
        # True once an answer on this connection named its request.
        self._echoes = False

    def start(
        self,
        method: str,
        target: str,
        headers: HTTPHeaders,
        chunk: bytes,
        identity: Identity | None = None,
    ) -> Answer:
        """Send the head and first chunk of a request and begin to read the answer.

        From here on bytes may have reached the server. Answers that echo another
        value of `identity` are late ones to earlier requests and are skipped, as are
        those without any on a connection whose answers had one.
        """
        self._request_finished = False
        self._stream.set_nodelay(True)
        self._http = HTTP1Connection(self._stream, True, _PARAMETERS)
        self._echoes = self._echoes or (
            self.answer is not None and self.answer.has_echoed
        )
        self.answer = Answer(method, self._stream, identity, must_echo=self._echoes)
        start_line = RequestStartLine(method, target, "HTTP/1.1")
        self._http.write_headers(start_line, headers, chunk or None)
        self._reader = asyncio.create_task(self._read(self._http, self.answer))
        return self.answer

    async def write(self, chunk: bytes) -> None:
        """Send a chunk; returns when it has left the write buffer."""
        assert self._http is not None
        await self._http.write(chunk)

    def finish_request(self) -> None:
        """Mark the end of the request."""
        assert self._http is not None
        self._http.finish()
        self._request_finished = True

    def reusable(self) -> bool:
        """Return True if request and answer ended properly and nothing is left over."""
        answer = self.answer
        return (
            answer is not None
            and self._request_finished
            and answer.body.ended
            and answer.body.whole
            and answer.keeps_connection
            and not self._stream.has_surplus()
        )

    def answered(self) -> bool:
        """Return True if the last request got an answer head."""
        if self.answer is None:
            return True
        return self.answer.head.done() and self.answer.head.result() is not None

    def usable(self) -> bool:
        """Return True if an idle connection is open and silent."""
        return not self._stream.has_surplus()

    def close(self) -> None:
        """Close the connection, which cancels the work at the server."""
        self._stream.close()
        if self.answer is not None:
            self.answer.body.discard()

    async def _read(self, http: HTTP1Connection, answer: Answer) -> None:
        try:
            await http.read_response(answer)
            while answer.is_foreign and not self._stream.closed():
                answer.is_foreign = False
                await http.read_response(answer)
            # tornado reports a malformed message by closing and returning.
            answer.malformed = not answer.head.done() or answer.head.result() is None
        except StreamClosedError:
            answer.malformed = isinstance(self._stream.error, UnsatisfiableReadError)
        finally:
            answer.on_connection_close()


class _ServerPool:
    def __init__(self, server: BackendBody, limit_count: int) -> None:
        self.server = server
        self.limit_count = limit_count
        self.idle: list[UpstreamConnection] = []
        self.slots = asyncio.Semaphore(limit_count)

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
        limit_count: int,
        *,
        idempotent: bool,
        fresh: bool = False,
    ) -> UpstreamConnection:
        """Return a connection; end its use with `release`. Raises `ConnectError`.

        Connections idle for over 5 s are used for idempotent requests only, and no
        pooled one is used if `fresh` is set.
        """
        pool = self._pool(server, limit_count)
        await pool.slots.acquire()
        try:
            connection = None if fresh else self._take_idle(pool, idempotent)
            if connection is None:
                connection = await open_connection(server)
        except BaseException:
            pool.slots.release()
            raise
        connection.pool = pool
        return connection

    def release(self, connection: UpstreamConnection) -> None:
        """Pool a connection whose answer was whole; close any other."""
        pool = connection.pool
        assert pool is not None
        pool.slots.release()
        current = self._pools.get(_key(pool.server)) is pool
        if current and connection.reusable():
            connection.idle_since_ms = self._clock.now_ms()
            connection.reused = True
            pool.idle.append(connection)
            return
        connection.close()
        if connection.reused and not connection.answered():
            # Whatever silenced or closed this one has likely met its neighbours.
            pool.close_idle()

    def sweep(self) -> None:
        """Close connections of servers that left, and those idle for long."""
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

    def _pool(self, server: BackendBody, limit_count: int) -> _ServerPool:
        pool = self._pools.get(_key(server))
        if pool is None or _run(pool.server) != _run(server):
            if pool is not None:
                pool.close_idle()
            pool = self._pools[_key(server)] = _ServerPool(server, limit_count)
        elif pool.limit_count != limit_count:
            pool.close_idle()
            pool = self._pools[_key(server)] = _ServerPool(server, limit_count)
        return pool

    def _take_idle(
        self, pool: _ServerPool, idempotent: bool
    ) -> UpstreamConnection | None:
        while pool.idle:
            connection = pool.idle.pop()
            idle_ms = self._idle_ms(connection)
            limit_ms = MAX_IDLE_MS if idempotent else FRESH_IDLE_MS
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


async def open_stream(address: str, timeout_ms: float) -> _Stream:
    """Connect to `host:port`. Raises `ConnectError`."""
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    stream = _Stream(socket.socket(family), read_chunk_size=CHUNK_BYTES)
    stream.socket.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS
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


def _key(server: BackendBody) -> tuple[str, str]:
    return server.environment, server.server_id


def _run(server: BackendBody) -> tuple[int, str]:
    return server.incarnation, server.address
