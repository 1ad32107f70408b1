"""Peer links: authenticated websocket connections with bounded send queues."""

import asyncio
import contextlib
import itertools
import logging
import socket
import ssl
from collections import deque
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass
from enum import StrEnum
from functools import partial
from typing import Any

from websockets.asyncio.client import ClientConnection, connect
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import ConnectionClosed, WebSocketException
from websockets.frames import CloseCode

from cardamomrun_base.clock import MS_PER_S, Clock
from cardamomrun_base.codec import CodecError, decode, encode, message
from cardamomrun_base.errors import (
    CredentialError,
    PeerTimeoutError,
    PeerUnreachableError,
)
from cardamomrun_base.logs import ComponentLog
from cardamomrun_base.messages import Acknowledgement
from cardamomrun_base.model import InstanceId
from cardamomrun_base.settings import NodeSettings, TlsSettings
from cardamomrun_fleet.credentials import (
    Challenge,
    Credentials,
    Hello,
    PeerRefusedError,
    Proof,
    Refusal,
)
from cardamomrun_fleet.handler_time import HandlerTime
from cardamomrun_fleet.traffic import (
    Share,
    TrafficMeter,
    kind_of,
    kind_of_encoded,
    message_shares,
)

__all__ = [
    "Link",
    "LinkPurpose",
    "PeerFailedError",
    "TrafficCounters",
    "listen",
    "open_link",
]

# A machine that is down never accepts a connection, while the kernel of a busy machine
# does and its process completes the handshake later. The handshake therefore has the
# longer timeout: another attempt would only add to the load of a busy machine.
CONNECT_TIMEOUT_MS = 1_000
OPEN_TIMEOUT_MS = 5_000
# All instances of a fleet may connect at the same moment. An opener that finds the
# queue full retries after a second or more.
LISTEN_QUEUE_COUNT = 1_024
# At the target scale there are many request links (claims reach 3 of 420 keepers), so
# they are pinged rarely. A request that times out on a silent link closes it instead.
REQUEST_LINK_PING_MS = 20_000
# An accepted overlay link that heard nothing for this many ping intervals asks with a
# ping of its own: the opener may ping less often than this instance expects.
OVERDUE_PING_RATIO = 1.25
MAX_MESSAGE_BYTES = 16_000_000
# The queues of about 8 overlay links must fit into 128 MB with everything else.
SEND_QUEUE_BYTES = 4_000_000
SEND_QUEUE_COUNT = 4_096
STREAM_QUEUE_BYTES = 500_000
MAX_RUNNING_REQUESTS = 256
CLOSE_TIMEOUT_MS = 500
CLOSE_REFUSED = 4_401
CLOSE_NOT_NEEDED = 4_000

RequestHandler = Callable[["Link", Any], Coroutine[Any, Any, Any]]

ONE_WAY = 0
REQUEST = 1
ANSWER = 2
FAILURE = 3

log = ComponentLog("fleet")

# The websockets library logs each failed handshake with a traceback, but standard error
# must hold one JSON object per line. This module logs the failures itself.
_library_log = logging.getLogger("cardamomrun.websockets")
_library_log.addHandler(logging.NullHandler())
_library_log.propagate = False


class LinkPurpose(StrEnum):
    """What a link is used for; the opener sends it as the request path."""

    OVERLAY = "overlay"
    REQUEST = "request"


class PeerFailedError(PeerTimeoutError):
    """The peer received the request but could not answer it."""

    kind = "peer-failed"


@message("envelope")
@dataclass(frozen=True)
class Envelope:
    """A frame on a link; a request and its answer have the same `correlation`."""

    kind: int
    correlation: int
    body: bytes


@dataclass
class TrafficCounters:
    """Bytes and messages of all links of an instance, without websocket framing.

    `slow_peer_count` counts links closed because their send queue was full.
    """

    sent_bytes: int = 0
    received_bytes: int = 0
    sent_count: int = 0
    received_count: int = 0
    slow_peer_count: int = 0


class Link:
    """One authenticated connection to one peer, with a bounded send queue."""

    def __init__(
        self,
        connection: Any,
        peer_id: InstanceId,
        peer_incarnation: int,
        *,
        outbound: bool,
        purpose: LinkPurpose,
        clock: Clock,
        counters: TrafficCounters,
        meter: TrafficMeter,
        handler_time: HandlerTime,
    ) -> None:
        self.peer_id = peer_id
        self.peer_incarnation = peer_incarnation
        self.outbound = outbound
        self.purpose = purpose
        self.opened_ms = self.last_used_ms = self.last_received_ms = clock.now_ms()
        self.ended_on_purpose = False
        self._connection = connection
        self._clock = clock
        self._counters = counters
        self._meter = meter
        self._handler_time = handler_time
        connection.on_ping = partial(meter.count_ping, peer_id)
        self._queue: deque[tuple[bytes, tuple[Share, ...]]] = deque()
        self._queue_bytes = 0
        self._frames_queued = asyncio.Event()
        self._drained = asyncio.Event()
        self._drained.set()
        self._pending_answers: dict[int, asyncio.Future[Any]] = {}
        self._correlations = itertools.count(1)
        self._handler_tasks: set[asyncio.Task[None]] = set()
        self.closed = False

    @property
    def is_busy(self) -> bool:
        """True while requests are in flight, in either direction, or frames queued."""
        return bool(self._pending_answers or self._handler_tasks or self._queue)

    def send(self, content: Any) -> bool:
        """Queue a one-way message; return False if the link is closed.

        Closes the link if the send queue is full.
        """
        return self._send(ONE_WAY, 0, encode(content), message_shares(content))

    async def stream(self, content: Any) -> bool:
        """Queue a one-way message; return False if the link is closed.

        Waits first while more than `STREAM_QUEUE_BYTES` are queued.
        """
        while not self.closed and self._queue_bytes > STREAM_QUEUE_BYTES:
            self._drained.clear()
            await self._drained.wait()
        return self.send(content)

    async def request(self, content: Any, *, timeout_ms: float) -> Any:
        """Send a request and return its answer.

        Raises `PeerUnreachableError` if the request was not queued, `PeerTimeoutError`
        if no answer arrived in time or the link closed, and `PeerFailedError` if the
        peer could not answer.
        """
        correlation = next(self._correlations)
        sent_ms = self.last_used_ms = self._clock.now_ms()
        loop = asyncio.get_running_loop()
        sent_s = loop.time()
        answer = loop.create_future()
        self._pending_answers[correlation] = answer
        try:
            shares = message_shares(content)
            if not self._send(REQUEST, correlation, encode(content), shares):
                raise _unreachable(self.peer_id)
            async with asyncio.timeout(timeout_ms / MS_PER_S):
                content = await answer
            self._connection.message_answered(sent_s)
            return content
        except TimeoutError as error:
            self._close_if_silent_since(sent_ms)
            raise _timed_out(
                self.peer_id, f"no answer in {timeout_ms:.0f} ms"
            ) from error
        finally:
            self._pending_answers.pop(correlation, None)

    async def run(
        self,
        on_message: Callable[["Link", Any], None],
        on_request: RequestHandler,
    ) -> None:
        """Read frames until the connection ends.

        Calls `on_message` for one-way messages, and `on_request` for requests, whose
        result is sent as the answer.
        """
        writer = asyncio.create_task(self._write())
        try:
            async for frame in self._connection:
                self._receive(frame, on_message, on_request)
        except (WebSocketException, OSError):
            pass
        except CodecError as error:
            log.warning(f"link closed: {error}", peer_id=self.peer_id)
        finally:
            if self._connection.close_code == CLOSE_NOT_NEEDED:
                self.ended_on_purpose = True
            self._mark_closed()
            writer.cancel()
            self._connection.transport.abort()

    async def close(self) -> None:
        """Send the queued frames, then close the link as no longer needed."""
        self.ended_on_purpose = True
        with contextlib.suppress(TimeoutError, WebSocketException, OSError):
            async with asyncio.timeout(CLOSE_TIMEOUT_MS / MS_PER_S):
                while self._queue_bytes and not self.closed:
                    self._drained.clear()
                    await self._drained.wait()
                await self._connection.close(CLOSE_NOT_NEEDED)
        self.abort()

    def abort(self) -> None:
        """Close at once and drop the queued frames."""
        self._mark_closed()
        self._connection.transport.abort()

    def _send(
        self, kind: int, correlation: int, body: bytes, shares: tuple[Share, ...]
    ) -> bool:
        if self.closed:
            return False
        frame = encode(Envelope(kind, correlation, body))
        queue_bytes = self._queue_bytes + len(frame)
        # A message larger than the limit is accepted by an empty queue only.
        is_full = bool(self._queue) and queue_bytes > SEND_QUEUE_BYTES
        if is_full or len(self._queue) >= SEND_QUEUE_COUNT:
            self._counters.slow_peer_count += 1
            log.warning(
                "link closed: the peer does not read fast enough",
                peer_id=self.peer_id,
                queue_bytes=self._queue_bytes,
            )
            self.abort()
            return False
        self._queue.append((frame, shares))
        self._queue_bytes = queue_bytes
        self._frames_queued.set()
        return True

    async def _write(self) -> None:
        with contextlib.suppress(WebSocketException, OSError):
            while not self.closed:
                await self._frames_queued.wait()
                self._frames_queued.clear()
                while self._queue:
                    frame, shares = self._queue[0]
                    await self._connection.send(frame)
                    self._queue.popleft()
                    self._queue_bytes -= len(frame)
                    self._counters.sent_bytes += len(frame)
                    self._counters.sent_count += 1
                    self._meter.count_frame(self.peer_id, len(frame), shares)
                    if self._queue_bytes <= STREAM_QUEUE_BYTES // 2 or not self._queue:
                        self._drained.set()

    def _receive(
        self,
        frame: str | bytes,
        on_message: Callable[["Link", Any], None],
        on_request: RequestHandler,
    ) -> None:
        if self.closed or not isinstance(frame, bytes):
            return
        self.last_received_ms = self._clock.now_ms()
        self._counters.received_bytes += len(frame)
        self._counters.received_count += 1
        envelope = decode(frame)
        if not isinstance(envelope, Envelope):
            return
        try:
            content = None
            kind = kind_of_encoded(envelope.body)
            if envelope.body:
                content = self._handler_time.run(kind, decode, envelope.body)
        except CodecError as error:
            # A peer of another release may send message types that are unknown here.
            log.warning(f"message cannot be decoded: {error}", peer_id=self.peer_id)
            self._reject_unreadable(envelope)
            return
        if envelope.kind == ONE_WAY:
            self._handler_time.run(kind, on_message, self, content)
        elif envelope.kind == REQUEST:
            self._start_handler(envelope.correlation, content, on_request)
        else:
            self._resolve_pending(envelope, content)

    def _reject_unreadable(self, envelope: Envelope) -> None:
        """Fail the request whose message or whose answer cannot be decoded."""
        if envelope.kind == REQUEST:
            self._send(FAILURE, envelope.correlation, b"", message_shares(None))
        elif envelope.kind == ANSWER:
            self._resolve_pending(Envelope(FAILURE, envelope.correlation, b""), None)

    def _start_handler(
        self,
        correlation: int,
        content: Any,
        on_request: RequestHandler,
    ) -> None:
        self.last_used_ms = self._clock.now_ms()
        if len(self._handler_tasks) >= MAX_RUNNING_REQUESTS:
            self._send(FAILURE, correlation, b"", _answer_shares(content))
            return
        task = asyncio.create_task(self._run_handler(correlation, content, on_request))
        self._handler_tasks.add(task)
        task.add_done_callback(self._handler_tasks.discard)

    async def _run_handler(
        self,
        correlation: int,
        content: Any,
        on_request: RequestHandler,
    ) -> None:
        try:
            result = await self._handler_time.run_steps(
                kind_of(type(content)), on_request(self, content)
            )
            body = encode(Acknowledgement() if result is None else result)
        except Exception as error:
            log.error(
                f"request handler failed: {error!r}",
                peer_id=self.peer_id,
                message=type(content).__name__,
            )
            self._send(FAILURE, correlation, b"", _answer_shares(content))
        else:
            self._send(ANSWER, correlation, body, _answer_shares(content))

    def _resolve_pending(self, envelope: Envelope, content: Any) -> None:
        future = self._pending_answers.get(envelope.correlation)
        if future is None or future.done():
            return
        if envelope.kind == FAILURE:
            future.set_exception(
                PeerFailedError(
                    f"peer {self.peer_id} could not answer the request.",
                    remedy="see the log of the peer",
                )
            )
        else:
            future.set_result(content)

    def _close_if_silent_since(self, sent_ms: float) -> None:
        # An old connection can be broken while new ones work; the next request opens one.
        if self.purpose is LinkPurpose.REQUEST and self.last_received_ms < sent_ms:
            self.abort()

    def _mark_closed(self) -> None:
        """Drop the queued frames and fail the pending requests."""
        # Running handlers go on: a lost link must not leave a change half made.
        self.closed = True
        self._queue.clear()
        self._queue_bytes = 0
        self._frames_queued.set()
        self._drained.set()
        for future in self._pending_answers.values():
            if not future.done():
                future.set_exception(_timed_out(self.peer_id, "the link closed"))


class _KeptConnection:
    """A connection that closes itself when its peer falls silent, and counts pings.

    The end that opened an overlay link pings; the pings are the sign of life that the
    other end waits for. Replaces the keepalive of the library, where both ends ping.
    """

    on_ping: Callable[[], None] | None = None
    loop: asyncio.AbstractEventLoop
    protocol: Any
    send_context: Any
    ping_interval: Any
    ping_timeout: Any

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self._received_s = self._answered_s = self.loop.time()

    async def ping(self, *arguments: Any) -> Any:
        if self.on_ping is not None:
            self.on_ping()
        return await super().ping(*arguments)  # type: ignore[misc]

    def data_received(self, data: bytes) -> None:
        self._received_s = self.loop.time()
        super().data_received(data)  # type: ignore[misc]

    def message_answered(self, sent_s: float) -> None:
        """Count an answer as a pong: what was sent at `sent_s` (loop time) arrived."""
        self._answered_s = max(self._answered_s, sent_s)

    async def keepalive(self) -> None:
        """Close the connection when the peer falls silent."""
        try:
            await self._wait_for_silence()
            async with self.send_context():
                self.protocol.fail(CloseCode.INTERNAL_ERROR, "keepalive ping timeout")
        except (WebSocketException, OSError) as error:
            # The connection ended meanwhile; its reader reports that.
            log.info(f"keepalive ended: {error!r}")

    async def _wait_for_silence(self) -> None:
        """Ping when no message was answered for a ping interval; return if unanswered.

        What was sent last and answered was sent before the connection broke, so the
        silence counts from there.
        """
        while True:
            await asyncio.sleep(
                self._answered_s + self.ping_interval - self.loop.time()
            )
            sent_s = self.loop.time()
            if sent_s < self._answered_s + self.ping_interval:
                continue
            pong = await self.ping()
            try:
                async with asyncio.timeout(self.ping_timeout):
                    await pong
            except TimeoutError:
                return
            self.message_answered(sent_s)


class _OpenedConnection(_KeptConnection, ClientConnection):
    pass


class _AcceptedConnection(_KeptConnection, ServerConnection):
    purpose = LinkPurpose.OVERLAY

    async def _wait_for_silence(self) -> None:
        """Return when nothing was received for the silence time."""
        if self.purpose is LinkPurpose.REQUEST:
            await super()._wait_for_silence()
            return
        # If only messages to the opener are lost, the opener closes the link. Where the
        # loss also keeps acknowledgements of the opener's packets from it, its kernel
        # holds the close frame back, so this end's unacknowledged pong must count.
        self._limit_unacknowledged_time()
        silence_s = self.ping_interval + self.ping_timeout
        overdue_s = min(
            self.ping_interval * OVERDUE_PING_RATIO,
            self.ping_interval + self.ping_timeout / 2,
        )
        asked_s = float("-inf")
        while (quiet_s := self.loop.time() - self._received_s) < silence_s:
            if quiet_s < overdue_s:
                await asyncio.sleep(overdue_s - quiet_s)
            elif asked_s < self._received_s:
                asked_s = self.loop.time()
                await self.ping()
            else:
                await asyncio.sleep(silence_s - quiet_s)

    def _limit_unacknowledged_time(self) -> None:
        connection = self.transport.get_extra_info("socket")
        connection.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            int(self.ping_timeout * MS_PER_S),
        )


def _answer_shares(request: Any) -> tuple[Share, ...]:
    return ((kind_of(type(request)), 0),)


def _unreachable(peer_id: InstanceId) -> PeerUnreachableError:
    return PeerUnreachableError(
        f"no link to peer {peer_id}.", remedy="check that it runs and can be reached"
    )


def _timed_out(peer_id: InstanceId, reason: str) -> PeerTimeoutError:
    return PeerTimeoutError(
        f"peer {peer_id} did not answer: {reason}.",
        remedy="repeat the operation if it may run twice",
    )


async def listen(
    settings: NodeSettings,
    credentials: Credentials,
    incarnation: Callable[[], int],
    accept: Callable[[Connection, Hello, LinkPurpose], Awaitable[None]],
) -> Server:
    """Open the peer listener and await `accept` for each authenticated connection.

    The connection is closed when `accept` returns.
    """

    async def serve_connection(connection: Any) -> None:
        with contextlib.suppress(WebSocketException, OSError, TimeoutError, CodecError):
            hello = await _authenticate_opener(
                connection, credentials, settings.instance_id, incarnation()
            )
            if hello is not None:
                await accept(connection, hello, _purpose_of(connection))

    def set_purpose(connection: Any, request: Any) -> None:
        if request.path == f"/{LinkPurpose.REQUEST}":
            connection.purpose = LinkPurpose.REQUEST
            connection.ping_interval = REQUEST_LINK_PING_MS / MS_PER_S

    return await serve(
        serve_connection,
        str(settings.host),
        settings.peer_port,
        ssl=_tls_context(settings.tls, ssl.Purpose.CLIENT_AUTH),
        process_request=set_purpose,
        create_connection=_AcceptedConnection,
        backlog=LISTEN_QUEUE_COUNT,
        **_websocket_options(settings, LinkPurpose.OVERLAY),
    )


async def open_link(
    settings: NodeSettings,
    credentials: Credentials,
    incarnation: int,
    address: str,
    purpose: LinkPurpose,
) -> tuple[Connection, Challenge]:
    """Open a connection, authenticate both sides; return it and the challenge.

    Raises `OSError`, `TimeoutError`, `WebSocketException`, `CodecError`, or
    `CredentialError` if either side refuses the other.
    """
    scheme = "wss" if settings.tls else "ws"
    async with asyncio.timeout(OPEN_TIMEOUT_MS / MS_PER_S):
        connection = await connect(
            f"{scheme}://{address}/{purpose}",
            sock=await _connect_socket(address),
            ssl=_tls_context(settings.tls, ssl.Purpose.SERVER_AUTH),
            proxy=None,
            create_connection=_OpenedConnection,
            **_websocket_options(settings, purpose),
        )
        try:
            challenge = await _authenticate_listener(
                connection, credentials, settings.instance_id, incarnation
            )
        except ConnectionClosed as error:
            raise _closed_by_listener(address, error) from error
        except BaseException:
            connection.transport.abort()
            raise
    return connection, challenge


async def _connect_socket(address: str) -> socket.socket:
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    connection = socket.socket(family, socket.SOCK_STREAM)
    try:
        connection.setblocking(False)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, True)
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(CONNECT_TIMEOUT_MS / MS_PER_S):
            await loop.sock_connect(connection, (host, int(port)))
    except BaseException:
        connection.close()
        raise
    return connection


def _closed_by_listener(address: str, error: ConnectionClosed) -> Exception:
    close = error.rcvd
    if close is None or close.code != CLOSE_REFUSED or close.reason not in set(Refusal):
        return error
    return CredentialError(
        f"peer {address} refused this instance: the proof is {close.reason}.",
        remedy="install the same fleet key on all instances",
    )


def _websocket_options(settings: NodeSettings, purpose: LinkPurpose) -> dict[str, Any]:
    fleet = settings.fleet
    overlay = purpose is LinkPurpose.OVERLAY
    ping_ms = fleet.ping_ms if overlay else REQUEST_LINK_PING_MS
    return {
        # Compression would cost more processor time than it saves on small messages.
        "compression": None,
        "logger": _library_log,
        "max_size": MAX_MESSAGE_BYTES,
        "open_timeout": OPEN_TIMEOUT_MS / MS_PER_S,
        "close_timeout": CLOSE_TIMEOUT_MS / MS_PER_S,
        "ping_interval": ping_ms / MS_PER_S,
        # With a ping every ping_ms, a silent peer is detected after silence_ms.
        "ping_timeout": max(fleet.silence_ms - fleet.ping_ms, 50) / MS_PER_S,
    }


def _tls_context(
    tls: TlsSettings | None, purpose: ssl.Purpose
) -> ssl.SSLContext | None:
    if tls is None:
        return None
    context = ssl.create_default_context(purpose, cafile=str(tls.authority_file))
    context.load_cert_chain(str(tls.certificate_file), str(tls.key_file))
    # Both sides need a certificate issued by the authority. Names in certificates are
    # not checked: the handshake with the fleet key identifies instances.
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    return context


def _purpose_of(connection: Any) -> LinkPurpose:
    path = connection.request.path if connection.request else ""
    return (
        LinkPurpose.REQUEST
        if path == f"/{LinkPurpose.REQUEST}"
        else LinkPurpose.OVERLAY
    )


async def _authenticate_opener(
    connection: Connection,
    credentials: Credentials,
    instance_id: InstanceId,
    incarnation: int,
) -> Hello | None:
    try:
        async with asyncio.timeout(OPEN_TIMEOUT_MS / MS_PER_S):
            hello = await _receive_message(connection, Hello, credentials, "")
            if hello.instance_id == instance_id:
                await connection.close(CLOSE_REFUSED, "own address")
                return None
            credentials.check_nonce(hello.instance_id, hello.nonce)
            challenge = Challenge(instance_id, incarnation, credentials.new_nonce())
            await connection.send(encode(challenge))
            proof = await _receive_message(
                connection, Proof, credentials, hello.instance_id
            )
            credentials.check_opener(hello, challenge, proof)
            await connection.send(encode(credentials.listener_proof(hello, challenge)))
            return hello
    except PeerRefusedError as error:
        await connection.close(CLOSE_REFUSED, error.refusal)
        return None


async def _authenticate_listener(
    connection: Connection,
    credentials: Credentials,
    instance_id: InstanceId,
    incarnation: int,
) -> Challenge:
    hello = Hello(instance_id, incarnation, credentials.new_nonce())
    await connection.send(encode(hello))
    challenge = await _receive_message(connection, Challenge, credentials, "")
    credentials.check_nonce(challenge.instance_id, challenge.nonce)
    await connection.send(encode(credentials.opener_proof(hello, challenge)))
    proof = await _receive_message(
        connection, Proof, credentials, challenge.instance_id
    )
    credentials.check_listener(hello, challenge, proof)
    return challenge


async def _receive_message(
    connection: Connection,
    message_type: type,
    credentials: Credentials,
    peer_id: InstanceId,
) -> Any:
    frame = await connection.recv()
    try:
        content = decode(frame) if isinstance(frame, bytes) else None
    except CodecError:
        content = None
    if not isinstance(content, message_type):
        raise credentials.refuse(Refusal.MISSING, peer_id)
    return content
