"""The listener for clients' requests on an instance that runs a routing document."""

import asyncio
import secrets
from collections.abc import Callable

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders

from cardamomrun_base.clock import Clock
from cardamomrun_base.headers import GatewayHeaders
from cardamomrun_base.logs import ComponentLog
from cardamomrun_base.settings import GatewaySettings, NodeSettings
from cardamomrun_gateway.dispatch import DispatchDependencies, RequestDispatch
from cardamomrun_gateway.server_connections import ServerConnections
from cardamomrun_requests.client_listener import ClientListener
from cardamomrun_requests.client_memory import ClientMemory
from cardamomrun_requests.reply import ResponseWriter
from cardamomrun_requests.request import ClientRequest

__all__ = ["GatewayFront"]

# Bodies up to this size are buffered, so that they can be sent to another server if the
# first one did not run the request. `ClientMemory` bounds what they hold together.
MAX_BUFFERED_BODY_BYTES = 1_048_576
# Documents state shorter timeouts; this one only frees connections that clients left.
IDLE_S = 120.0
SWEEP_MS = 500
# Clients may use an address for up to this multiple of the TTL of the directory.
ADDRESS_TTL_FACTOR = 3
# Share of the grace period for clients to leave; the rest is for requests in flight.
LEAVING_RATIO = 0.55
REQUEST_ID_BYTES = 8

_log = ComponentLog("front")


class GatewayFront:
    """Accepts clients' requests and runs each in a task of its own."""

    body_buffer_bytes = MAX_BUFFERED_BODY_BYTES

    def __init__(
        self,
        settings: NodeSettings,
        clock: Clock,
        header_names: GatewayHeaders,
        tools: DispatchDependencies,
        connections: ServerConnections,
        memory: ClientMemory | None = None,
    ) -> None:
        self._settings = settings
        self._gateway = settings.gateway or GatewaySettings()
        self._clock = clock
        self._header_names = header_names
        self._tools = tools
        self._connections = connections
        self._listener = ClientListener(
            settings, self, memory or ClientMemory(settings, clock), idle_s=IDLE_S
        )
        self._requests = tools.background
        self._loops: list[asyncio.Task[None]] = []

    @property
    def head_timeout_ms(self) -> float:
        """How long the head of a request may take to arrive."""
        document = self._tools.table.document
        if document is None:
            return self._settings.clients.head_timeout_ms
        return document.limits.head_timeout_ms

    @property
    def draining(self) -> bool:
        """True once this instance was asked to stop."""
        return self._tools.shutdown.has_begun

    async def start(self) -> None:
        """Listen on the front address. Raises `AddressInUseError`."""
        self._listener.open()
        self._loops = [
            asyncio.create_task(self._sweep()),
            asyncio.create_task(self._watch_paths()),
        ]
        _log.info("listening", address=self._settings.front_address)

    async def stop(self) -> None:
        """Wait until clients have left, then until no request is in flight."""
        shutdown = self._tools.shutdown
        shutdown.begin()
        leaving_ms = min(
            ADDRESS_TTL_FACTOR * self._settings.directory_ttl_ms,
            LEAVING_RATIO * self._gateway.grace_ms,
        )
        wait_ms = max(0.0, leaving_ms - shutdown.elapsed_ms)
        _log.info("leaving", wait_ms=wait_ms)
        self._loops.append(asyncio.create_task(self._log_unfinished()))
        await self._clock.sleep_ms(wait_ms)
        self._listener.refuse_new()
        await self._listener.wait_finished(self._requests)
        for loop in self._loops:
            loop.cancel()
        self._connections.close()
        _log.info("all requests have ended")

    def request_id(self, headers: HTTPHeaders) -> str:
        """Return the request id that the client sent, or a new one."""
        return headers.get(self._header_names.request_id) or secrets.token_hex(
            REQUEST_ID_BYTES
        )

    def response_writer(
        self,
        connection: HTTP1Connection,
        request: ClientRequest,
        close_after: Callable[[], None],
    ) -> ResponseWriter:
        """Return the response to a request, not started yet."""
        return ResponseWriter(
            connection, request, self._settings.instance_id, close_after
        )

    def start_request(
        self, request: ClientRequest, reply: ResponseWriter
    ) -> "asyncio.Task[None]":
        """Start the task that runs a request."""
        return self._requests.spawn(
            RequestDispatch(
                self._tools, request, reply, self._settings.front_address
            ).run(),
            name=request.request_id,
        )

    async def _log_unfinished(self) -> None:
        """Name the requests that may lose their responses to the end of the stop."""
        await self._clock.sleep_ms(self._tools.shutdown.remaining_ms)
        if self._requests:
            _log.warning(
                "requests are in flight at the end of the grace period",
                request_ids=" ".join(self._requests.names),
            )

    async def _sweep(self) -> None:
        while True:
            await self._clock.sleep_ms(SWEEP_MS)
            self._connections.sweep()
            self._tools.crash_guard.sweep()

    async def _watch_paths(self) -> None:
        while True:
            await self._tools.load.check_paths()
