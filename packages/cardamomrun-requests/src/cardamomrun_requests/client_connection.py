"""Connections of clients: streams with an account, pipelining and a lingering close.

This module overrides parts of tornado's `HTTP1Connection` that are not public; they
are the same in the release that requirements.txt pins.
"""

import asyncio
import contextlib
import select
import socket
import struct
from collections.abc import Callable
from typing import Any

from tornado.http1connection import HTTP1Connection, HTTP1ServerConnection
from tornado.httpserver import HTTPServer, _HTTPRequestContext
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
)
from tornado.iostream import IOStream, StreamClosedError, UnsatisfiableReadError

from cardamomrun_base.logs import ComponentLog, describe_error
from cardamomrun_requests.chunk_decoder import ChunkDecoder
from cardamomrun_requests.client_memory import (
    FREE_FIELD_COUNT,
    ClientMemory,
    ConnectionAccount,
    Held,
    Phase,
)
from cardamomrun_requests.work_share import WorkShare

__all__ = ["CHUNK_BYTES", "ClientConnection", "ClientServer", "ClientStream"]

CHUNK_BYTES = 65_536
# Limits the unread request data that is buffered for one connection.
MAX_BUFFER_BYTES = 262_144
# Read at once while no body is expected, so that little of pipelined requests is
# buffered: the rest stays in the socket.
HEAD_READ_BYTES = 16_384
# Buffers up to this size are part of the fixed cost of a connection.
UNCHARGED_BYTES = 8_192
# Closing a socket with unread bytes resets the connection, and the client may lose the
# response. What the client still sends is read and discarded within these limits: a
# body of this size passes a link of 100 Mbit/s in that time.
LINGER_S = 1.0
LINGER_BYTES = 16_777_216
# A client that disconnects is noticed within this time while requests are buffered.
DISCONNECT_CHECK_S = 0.25
# Chunks beyond this in one piece count as work on small parts.
FREE_CHUNK_COUNT = 64
# Measured with the parsers of this release; a field is also forwarded.
CHUNK_WORK_S = 2e-6
FIELD_WORK_S = 20e-6
SMALL_PIECE_BYTES = 16_384
BEFORE_WORK = frozenset((Phase.IDLE, Phase.HEAD))

_log = ComponentLog("clients")


class ClientStream(IOStream):
    """A client's stream that keeps its account and can linger."""

    def __init__(self, connection: socket.socket) -> None:
        super().__init__(
            connection, max_buffer_size=MAX_BUFFER_BYTES, read_chunk_size=CHUNK_BYTES
        )
        self.account: ConnectionAccount | None = None
        self.is_lingering = False
        # Called when bytes arrive that belong to a later request.
        self.on_pipelined: Callable[[], None] = _do_nothing
        self._linger_timer: object | None = None
        self._discarded_bytes = 0

    def has_unread(self) -> bool:
        """Return True if unread bytes are in the buffer or the socket."""
        if self.closed():
            return False
        if self._read_buffer_size > 0:
            return True
        try:
            return bool(self.socket.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    @property
    def buffered_bytes(self) -> int:
        """Bytes that were received and not yet parsed."""
        return self._read_buffer_size

    def is_disconnected(self) -> bool:
        """Return True if the client has ended its side, even behind unread bytes."""
        if self.closed():
            return True
        poll = select.poll()
        poll.register(self.socket, select.POLLRDHUP)
        return bool(poll.poll(0))

    def unread(self, data: bytes) -> None:
        """Put bytes back that were read beyond the end of a body."""
        if data:
            self._read_buffer[:0] = data
            self._read_buffer_size += len(data)

    def begin_linger(self) -> None:
        """End the write side, and close the connection once the client has closed."""
        if self.closed() or self.is_lingering:
            return
        self.is_lingering = True
        try:
            self.socket.shutdown(socket.SHUT_WR)
        except OSError:
            # The client has reset the connection.
            self.close()
            return
        self._linger_timer = self.io_loop.call_later(LINGER_S, self.close)

    async def discard_rest(self) -> None:
        """Read and discard what the client still sends while the stream lingers."""
        with contextlib.suppress(StreamClosedError):
            while True:
                await self.read_bytes(CHUNK_BYTES, partial=True)
                await asyncio.sleep(0)

    def reset(self) -> None:
        """Close the connection so that a response can't look complete."""
        if not self.closed():
            linger = struct.pack("ii", 1, 0)
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            self.close()

    def close(self, exc_info: Any = False) -> None:
        if self._linger_timer is not None:
            self.io_loop.remove_timeout(self._linger_timer)
            self._linger_timer = None
        super().close(exc_info)
        if self.account is not None:
            self.account.end()

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        account = self.account
        if account is None:
            return super().read_from_fd(buf)
        is_body = account.phase is Phase.BODY
        if not is_body and not self.is_lingering:
            buf = memoryview(buf)[:HEAD_READ_BYTES]
        size_bytes = super().read_from_fd(buf)
        if not size_bytes:
            return size_bytes
        if self.is_lingering:
            self._discarded_bytes += size_bytes
            if self._discarded_bytes > LINGER_BYTES:
                return 0
        elif account.phase is Phase.IDLE:
            account.enter(Phase.HEAD)
        elif account.phase is Phase.WORK:
            self.on_pipelined()
        if self._read_buffer_size + size_bytes > UNCHARGED_BYTES:
            account.hold(Held.REQUEST, self._read_buffer_size + size_bytes)
        return size_bytes

    def write(self, data: bytes | memoryview) -> asyncio.Future[None]:
        future = super().write(data)
        account = self.account
        if account is not None and self._write_buffer:
            if account.phase is not Phase.RESPONSE:
                account.enter(Phase.RESPONSE)
            account.hold_response(len(self._write_buffer))
        return future

    def write_to_fd(self, data: memoryview) -> int:
        account = self.account
        if account is None or account.phase is not Phase.RESPONSE:
            return super().write_to_fd(data)
        left_bytes = len(self._write_buffer)
        sent_bytes = super().write_to_fd(data)
        account.hold(Held.RESPONSE, left_bytes - sent_bytes)
        if sent_bytes == left_bytes:
            account.enter(Phase.WORK)
        elif sent_bytes:
            account.progress()
        return sent_bytes


class ClientConnection(HTTP1Connection):
    """Reads one request; decodes chunks in bulk and closes without losing responses."""

    stream: ClientStream
    work: WorkShare
    field_count = 0

    def _parse_headers(self, data: bytes) -> tuple[str, HTTPHeaders]:
        self.field_count = data.count(b"\n")
        return super()._parse_headers(data)

    async def pay_for_fields(self) -> None:
        """Wait if the head has very many fields, so that others have their turn."""
        surplus_count = self.field_count - FREE_FIELD_COUNT
        if surplus_count > 0:
            await self.work.pay(surplus_count * FIELD_WORK_S)

    async def _read_chunked_body(self, delegate: HTTPMessageDelegate) -> None:
        decoder = ChunkDecoder(self._max_body_size)
        piece_bytes = CHUNK_BYTES
        while not decoder.is_complete:
            data = await self.stream.read_bytes(piece_bytes, partial=True)
            content = decoder.decode(data)
            self.stream.unread(decoder.surplus)
            if content:
                await self._deliver_body(delegate, content)
            surplus_count = decoder.chunk_count - FREE_CHUNK_COUNT
            if surplus_count > 0:
                piece_bytes = SMALL_PIECE_BYTES
                await self._pay_for_chunks(surplus_count)
            else:
                piece_bytes = CHUNK_BYTES
                await asyncio.sleep(0)

    async def _pay_for_chunks(self, surplus_count: int) -> None:
        account = self.stream.account
        is_reading = account is not None and account.phase is Phase.BODY
        if account is not None and is_reading:
            # The client isn't slow while it is made to wait.
            account.enter(Phase.WORK)
        await self.work.pay(surplus_count * CHUNK_WORK_S)
        if account is not None and is_reading:
            account.enter(Phase.BODY)

    def _finish_request(self, future: "asyncio.Future[None] | None") -> None:
        if (
            self._disconnect_on_finish
            and not self.stream.closed()
            and (not self._read_finished or self.stream.has_unread())
        ):
            self._clear_callbacks()
            self.stream.begin_linger()
            if not self._finish_future.done():
                self._finish_future.set_result(None)
            return
        super()._finish_request(future)


class _ClientServerConnection(HTTP1ServerConnection):
    """Serves the requests of a connection one after the other."""

    stream: ClientStream

    def __init__(self, server: "ClientServer", *args: Any) -> None:
        super().__init__(*args)
        self._server = server

    async def _server_request_loop(
        self, delegate: HTTPServerConnectionDelegate
    ) -> None:
        stream = self.stream
        try:
            while not stream.closed():
                connection = ClientConnection(stream, False, self.params, self.context)
                connection.work = self._server.work
                self._begin_request()
                message = delegate.start_request(self, connection)
                if not await connection.read_response(message):
                    break
                if stream.is_lingering or self._server.must_close(self):
                    self._release()
                    stream.begin_linger()
                    break
                await asyncio.sleep(0)
            if stream.is_lingering:
                await stream.discard_rest()
        except (StreamClosedError, UnsatisfiableReadError, asyncio.CancelledError):
            pass
        except Exception as error:
            _log.error("a connection failed", error=describe_error(error))
            stream.close()
        finally:
            stream.close()
            delegate.on_close(self)

    def _begin_request(self) -> None:
        self._release()
        if self.stream.account is not None and self.stream.buffered_bytes:
            self.stream.account.enter(Phase.HEAD)

    def _release(self) -> None:
        account = self.stream.account
        if account is not None:
            account.release_request(self.stream.buffered_bytes)


class ClientServer(HTTPServer):
    """tornado's server with an account for each connection."""

    def initialize(self, *args: Any, **kwargs: Any) -> None:
        """Set up; `memory` and optionally `head_timeout_ms` are given besides tornado's."""
        self._memory: ClientMemory = kwargs.pop("memory")
        self._head_timeout_ms: Callable[[], float] | None = kwargs.pop(
            "head_timeout_ms", None
        )
        sizes = {"chunk_size": CHUNK_BYTES, "max_buffer_size": MAX_BUFFER_BYTES}
        super().initialize(*args, **(kwargs | sizes))
        self.work = WorkShare()
        self._open_count = 0
        self._changed = asyncio.Event()
        self._pipelining: set[ClientStream] = set()

    def must_close(self, server_conn: object) -> bool:
        """Return True if a connection has to be closed after its present response."""
        return False

    def create_stream(self, connection: socket.socket) -> ClientStream:
        """Return the stream of a new connection."""
        return ClientStream(connection)

    def handle_stream(self, stream: IOStream, address: tuple) -> None:
        # Its socket can be reused since the stream has not registered with the loop yet.
        client_stream = self.create_stream(stream.socket)

        def close(phase: Phase) -> None:
            if phase is Phase.RESPONSE:
                client_stream.reset()
            else:
                client_stream.close()

        client_stream.account = self._memory.open(close, self._head_timeout_ms)
        if client_stream.account is None:
            client_stream.close()
            return
        client_stream.on_pipelined = lambda: self.check_disconnect(client_stream)
        context = _HTTPRequestContext(client_stream, address, None, None)
        connection = _ClientServerConnection(
            self, client_stream, self.conn_params, context
        )
        self._open_count += 1
        self._connections.add(connection)
        connection.start_serving(self)

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

    def check_disconnect(self, stream: ClientStream) -> None:
        """Look regularly whether a client with buffered requests has disconnected.

        tornado doesn't listen to a socket while bytes of it are buffered.
        """
        if not self._pipelining:
            asyncio.get_running_loop().call_later(
                DISCONNECT_CHECK_S, self._check_disconnects
            )
        self._pipelining.add(stream)

    def _check_disconnects(self) -> None:
        streams, self._pipelining = self._pipelining, set()
        for stream in streams:
            account = stream.account
            if stream.closed() or account is None or account.phase in BEFORE_WORK:
                continue
            if stream.is_disconnected():
                stream.close()
            elif stream.buffered_bytes:
                self.check_disconnect(stream)


def _do_nothing() -> None:
    """Stand for a callback that is not set."""
