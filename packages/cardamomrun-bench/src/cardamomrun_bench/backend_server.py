"""A stand-in backend server with fault modes, for tests, demonstrations and measurements.

Run it with `python -m cardamomrun_bench.backend_server --settings FILE`.
"""

import asyncio
import contextlib
import hashlib
import json
import os
import random
import signal
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import fire
from pydantic import ConfigDict, Field, TypeAdapter
from tornado.httpserver import HTTPServer
from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler, stream_request_body

from cardamomrun_base.clock import MS_PER_S, Clock, SystemClock
from cardamomrun_base.errors import CardamomrunError, UnavailableError
from cardamomrun_base.headers import NOT_RUN, REQUEST_ID, RETRY_AFTER
from cardamomrun_base.http_client import call
from cardamomrun_base.jsonc import parse
from cardamomrun_bench.faults import FaultMode, Faults

__all__ = ["BackendServer", "BackendServerSettings", "load_backend_settings"]

CRASH_EXIT_CODE = 70
EXECUTION_HEADER = "Execution-Id"
# Used until an entry instance has returned its renewal interval.
DEFAULT_RENEW_MS = 500
CALL_TIMEOUT_MS = 800
MAX_BODY_BYTES = 10_000_000_000

STATUS_OK = 200
STATUS_FAILED = 500
STATUS_UNAVAILABLE = 503


@dataclass(frozen=True)
class BackendServerSettings:
    """Settings of one stand-in backend server.

    `announce_to` holds admin addresses of entry instances, tried in order until one
    accepts. `service_time_ms` is the mean of an exponential distribution
    if `exponential` is set, and fixed otherwise.
    """

    __pydantic_config__ = ConfigDict(extra="forbid")

    service: str
    stage: str
    server_id: str
    failure_domain: str
    host: str
    port: int
    announce_to: tuple[str, ...] = ()
    token: str = ""
    slots: Annotated[int, Field(ge=1)] = 4
    queue_count: Annotated[int, Field(ge=0)] = 64
    connections: Annotated[int, Field(ge=1)] = 400
    service_time_ms: float = 10.0
    exponential: bool = False
    cold_start_ms: int = 0
    drain_ms: int = 3_000
    faults: Faults = Faults()
    seed: int = 1


_settings_adapter = TypeAdapter(BackendServerSettings)
_faults_adapter = TypeAdapter(Faults)


def load_backend_settings(path: Path) -> BackendServerSettings:
    """Read settings from a file of JSON with comments."""
    return _settings_adapter.validate_python(parse(path.read_text()).value)


class BackendServer:
    """Serves HTTP requests with limited concurrency and injected faults.

    Announces itself to the entry instances in the settings.
    """

    def __init__(self, settings: BackendServerSettings, clock: Clock) -> None:
        self.settings = settings
        self.faults = settings.faults
        self.executions: Counter[str] = Counter()
        self.abandoned_count = 0
        self.in_flight_count = 0
        self.random = random.Random(settings.seed)
        self._clock = clock
        self._started_ms = clock.now_ms()
        self._incarnation = clock.wall_ms()
        self._slots = asyncio.Semaphore(settings.slots)
        self._phase = "serving"
        self._server = HTTPServer(self._application(), max_body_size=MAX_BODY_BYTES)
        self._announce_task: asyncio.Task[None] | None = None
        self.idle = asyncio.Event()
        self.idle.set()

    def _application(self) -> Application:
        return Application(
            [
                (r"/\.backend/(health|load|executions|faults)", ControlHandler),
                (r"/.*", WorkHandler),
            ],
            backend=self,
            log_function=lambda handler: None,
        )

    def start(self) -> None:
        """Open the listener and announce the server."""
        self._server.listen(self.settings.port, self.settings.host)
        if self.settings.announce_to:
            self._announce_task = asyncio.ensure_future(self._announce_repeatedly())

    async def stop(self) -> None:
        """Announce draining, wait `drain_ms`, finish requests in flight, deregister."""
        self._phase = "draining"
        await self._announce_once()
        await self._clock.sleep_ms(self.settings.drain_ms)
        self._server.stop()
        await self.idle.wait()
        if self._announce_task is not None:
            self._announce_task.cancel()
        await self._call_registrar("DELETE", {"incarnation": self._incarnation})
        await self._server.close_all_connections()

    def phase(self) -> str:
        """Return the phase to announce; `starting` until `cold_start_ms` have passed."""
        age_ms = self._clock.now_ms() - self._started_ms
        if self._phase == "serving" and age_ms < self.settings.cold_start_ms:
            return "starting"
        return self._phase

    def next_fault(self) -> FaultMode:
        """Choose the fault mode of the next request, at random by the fault ratio."""
        faults = self.faults
        if faults.mode == FaultMode.FLAP:
            period = (self._clock.now_ms() - self._started_ms) // faults.flap_period_ms
            return FaultMode.FAIL if period % 2 else FaultMode.NONE
        if self.random.random() >= faults.ratio:
            return FaultMode.NONE
        return faults.mode

    async def hold_slot(self, slow: bool, client_disconnected: asyncio.Event) -> None:
        """Hold a slot for one service time, or until the client disconnects."""
        mean_ms = self.settings.service_time_ms
        duration_ms = mean_ms
        if self.settings.exponential:
            duration_ms = self.random.expovariate(1.0 / mean_ms)
        if slow:
            duration_ms *= self.faults.slow_factor
        async with self._slots:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    client_disconnected.wait(), duration_ms / MS_PER_S
                )

    def is_full(self) -> bool:
        """Return True if slots and queue are full, so that requests are rejected."""
        limit = self.settings.slots + self.settings.queue_count
        return self.in_flight_count >= limit

    def load(self) -> dict[str, Any]:
        """Return the reported load; no request in flight if `misreport_load` is set."""
        in_flight = 0 if self.faults.misreport_load else self.in_flight_count
        return {"in_flight": in_flight, "slots": self.settings.slots}

    async def _announce_repeatedly(self) -> None:
        while True:
            renew_ms = await self._announce_once()
            await self._clock.sleep_ms(renew_ms)

    async def _announce_once(self) -> int:
        body = {
            "incarnation": self._incarnation,
            "address": f"{self.settings.host}:{self.settings.port}",
            "failure_domain": self.settings.failure_domain,
            "slots": self.settings.slots,
            "connections": self.settings.connections,
            "phase": self.phase(),
        }
        response = await self._call_registrar("PUT", body)
        return response.get("renew_ms", DEFAULT_RENEW_MS)

    async def _call_registrar(
        self, method: str, body: dict[str, Any]
    ) -> dict[str, Any]:
        """Return the first successful response body, or {} if no instance accepts."""
        settings = self.settings
        path = (
            f"/v1/environments/{settings.service}/{settings.stage}"
            f"/servers/{settings.server_id}"
        )
        for address in settings.announce_to:
            try:
                response = await call(
                    method,
                    f"http://{address}{path}",
                    body=body,
                    token=settings.token,
                    timeout_ms=CALL_TIMEOUT_MS,
                )
            except UnavailableError:
                continue
            if response.status == STATUS_OK:
                return response.body if isinstance(response.body, dict) else {}
        return {}


class ControlHandler(RequestHandler):
    """Serves health, load and execution counts, and replaces the faults."""

    def get(self, resource: str) -> None:
        """Return the state named in the path; the server always reports healthy."""
        backend: BackendServer = self.settings["backend"]
        if resource == "executions":
            self.write(json.dumps(backend.executions))
        elif resource == "load":
            self.write(json.dumps(backend.load()))
        else:
            self.write(json.dumps({"healthy": True}))

    def put(self, resource: str) -> None:
        """Replace the faults."""
        backend: BackendServer = self.settings["backend"]
        backend.faults = _faults_adapter.validate_python(json.loads(self.request.body))


@stream_request_body
class WorkHandler(RequestHandler):
    """Handles any request and responds with a digest of its body."""

    def prepare(self) -> None:
        """Count the request as in flight once its headers have arrived."""
        self._backend: BackendServer = self.settings["backend"]
        self._digest = hashlib.sha256()
        self._body_bytes = 0
        self._client_disconnected = asyncio.Event()
        self._backend.in_flight_count += 1
        self._backend.idle.clear()

    def data_received(self, chunk: bytes) -> None:
        """Add a chunk of the body to its digest and size."""
        self._digest.update(chunk)
        self._body_bytes += len(chunk)

    def on_connection_close(self) -> None:
        """Count the abandoned request and end its processing."""
        self._backend.abandoned_count += 1
        self._client_disconnected.set()

    def on_finish(self) -> None:
        """Count the request as finished; set `idle` if none is in flight."""
        self._backend.in_flight_count -= 1
        if self._backend.in_flight_count == 0:
            self._backend.idle.set()

    async def _handle_request(self) -> None:
        backend = self._backend
        if backend.faults.crash_mark and backend.faults.crash_mark in self.request.path:
            os._exit(CRASH_EXIT_CODE)
        fault = backend.next_fault()
        if fault == FaultMode.SHED or backend.is_full():
            return self._reject_as_overloaded()
        if fault == FaultMode.NOT_RUN:
            self.set_header(NOT_RUN, "true")
            return self.set_status(STATUS_UNAVAILABLE)
        if fault == FaultMode.CLOSE_EARLY:
            return self._close_connection()
        self._count_execution()
        if fault == FaultMode.SILENT:
            await self._client_disconnected.wait()
            return None
        await backend.hold_slot(fault == FaultMode.SLOW, self._client_disconnected)
        if fault == FaultMode.FAIL:
            return self.set_status(STATUS_FAILED)
        if fault == FaultMode.CUT:
            return await self._send_truncated_response()
        return self._send_response()

    get = head = post = put = delete = patch = options = _handle_request

    def _count_execution(self) -> None:
        execution_id = self.request.headers.get(EXECUTION_HEADER)
        if execution_id:
            self._backend.executions[execution_id] += 1

    def _reject_as_overloaded(self) -> None:
        self.set_header(RETRY_AFTER, "1")
        self.set_header(NOT_RUN, "true")
        self.set_status(STATUS_UNAVAILABLE)

    def _close_connection(self) -> None:
        connection: Any = self.request.connection
        connection.stream.close()

    async def _send_truncated_response(self) -> None:
        self.set_header("Content-Length", "1000")
        self.write(b"x" * 100)
        try:
            await self.flush()
        except StreamClosedError:
            return
        self._close_connection()

    def _send_response(self) -> None:
        self.set_header("Content-Type", "application/json")
        response = {
            "server_id": self._backend.settings.server_id,
            "method": self.request.method,
            "uri": self.request.uri,
            "body_bytes": self._body_bytes,
            "body_sha256": self._digest.hexdigest(),
            "execution_id": self.request.headers.get(EXECUTION_HEADER, ""),
            "request_id": self.request.headers.get(REQUEST_ID, ""),
        }
        self.write(json.dumps(response))


async def _run_until_signal(settings: BackendServerSettings) -> None:
    server = BackendServer(settings, SystemClock())
    server.start()
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    await stopping.wait()
    await server.stop()


def run(settings: str) -> None:
    """Run a stand-in backend server until SIGTERM.

    Example: python -m cardamomrun_bench.backend_server --settings demo/backend-1.jsonc
    """
    try:
        asyncio.run(_run_until_signal(load_backend_settings(Path(settings))))
    except CardamomrunError as error:
        raise SystemExit(str(error)) from error


if __name__ == "__main__":
    fire.Fire(run)
