"""The front listener: accepts clients' requests and answers reserved paths."""

import asyncio
from collections.abc import Callable
from typing import Protocol
from urllib.parse import parse_qsl

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders
from tornado.iostream import StreamClosedError

from cardamomrun_base import headers as names
from cardamomrun_base.clock import Clock
from cardamomrun_base.interfaces import Backends, Claims, Environments, Quarantine
from cardamomrun_base.logs import ComponentLog
from cardamomrun_base.outcomes import Done, NotRun
from cardamomrun_base.settings import NodeSettings
from cardamomrun_requests.client_listener import ClientListener
from cardamomrun_requests.client_memory import ClientMemory
from cardamomrun_requests.exchange import Exchange
from cardamomrun_requests.reply import ResponseWriter
from cardamomrun_requests.request import (
    MAX_RESENDABLE_BYTES,
    ClientRequest,
    request_id_or_new,
)
from cardamomrun_requests.request_path import RETRY_AFTER_S, RequestServices
from cardamomrun_requests.routing import Router

__all__ = ["Directory", "FrontProxy"]

IDLE_TIMEOUT_S = 60.0
SWEEP_INTERVAL_MS = 1_000
STATUS_SERVER_ERROR = 500

_log = ComponentLog("front")


class Directory(Protocol):
    """Answers which addresses clients should use."""

    def answer(self, query: dict[str, str]) -> tuple[int, bytes]:
        """Return the status and JSON body for the query parameters."""


class FrontProxy:
    """Accepts clients' requests and runs each in its own task."""

    body_buffer_bytes = MAX_RESENDABLE_BYTES

    def __init__(
        self,
        settings: NodeSettings,
        clock: Clock,
        environments: Environments,
        backends: Backends,
        claims: Claims,
        quarantine: Quarantine,
        directory: Directory,
        memory: ClientMemory | None = None,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._services = RequestServices(
            clock, Router(environments), backends, claims, quarantine
        )
        self._directory = directory
        self._listener = ClientListener(
            settings,
            self,
            memory or ClientMemory(settings, clock),
            idle_s=IDLE_TIMEOUT_S,
        )
        self._tasks = self._services.background
        self._sweeper: asyncio.Task[None] | None = None
        self.draining = False

    @property
    def head_timeout_ms(self) -> float:
        """How long the head of a request may take to arrive."""
        return self._settings.clients.head_timeout_ms

    async def start(self) -> None:
        """Listen on the front address. Raises `AddressInUseError`."""
        self._listener.open()
        self._sweeper = asyncio.create_task(self._sweep())
        _log.info("listening", address=self._settings.front_address)

    async def stop(self) -> None:
        """Stop gracefully; returns once no request is in flight."""
        self.draining = True
        settings = self._settings
        wait_ms = settings.directory_ttl_ms + settings.departure_heard_ms
        _log.info("leaving", wait_ms=wait_ms)
        await self._clock.sleep_ms(wait_ms)
        self._listener.refuse_new()
        await self._listener.wait_finished(self._tasks)
        if self._sweeper is not None:
            self._sweeper.cancel()
        self._services.pools.close()
        _log.info("all requests have ended")

    def request_id(self, headers: HTTPHeaders) -> str:
        """Return the client's request id if it is well formed, or a new one."""
        return request_id_or_new(headers)

    def start_request(
        self, request: ClientRequest, reply: ResponseWriter
    ) -> "asyncio.Task[None]":
        """Start the task of a request."""
        if request.path.startswith(names.RESERVED_PREFIX):
            return self._tasks.spawn(self._serve_reserved_path(request, reply))
        return self._tasks.spawn(Exchange(self._services, request, reply).run())

    def response_writer(
        self,
        connection: HTTP1Connection,
        request: ClientRequest,
        close_after: Callable[[], None],
    ) -> ResponseWriter:
        """Return the writer of the response to a request."""
        return ResponseWriter(
            connection, request, self._settings.instance_id, close_after
        )

    async def _serve_reserved_path(
        self, request: ClientRequest, reply: ResponseWriter
    ) -> None:
        try:
            if request.path == names.ADDRESSES_PATH and request.method == "GET":
                await self._serve_addresses(request, reply)
            else:
                outcome = NotRun(
                    "No such path.", "docs/interfaces.md lists the paths", 404
                )
                await reply.send_error(outcome, "not-found")
            await reply.finish()
        except (StreamClosedError, asyncio.CancelledError):
            reply.abort()
        finally:
            request.body.discard()

    async def _serve_addresses(
        self, request: ClientRequest, reply: ResponseWriter
    ) -> None:
        status, body = self._directory.answer(dict(parse_qsl(request.query)))
        if status < STATUS_SERVER_ERROR:
            await reply.send(Done(status), status, body)
            return
        outcome = NotRun("No address is known.", "retry later", status)
        headers = {names.RETRY_AFTER: str(RETRY_AFTER_S)}
        await reply.send(outcome, status, body, headers)

    async def _sweep(self) -> None:
        while True:
            await self._clock.sleep_ms(SWEEP_INTERVAL_MS)
            self._services.pools.close_stale()
