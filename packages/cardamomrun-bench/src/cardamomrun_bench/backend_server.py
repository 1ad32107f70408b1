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
# Until an instance has answered with its interval.
DEFAULT_RENEW_MS = 500
CALL_TIMEOUT_MS = 800
MAX_BODY_BYTES = 10_000_000_000

STATUS_OK = 200
STATUS_FAILED = 500
STATUS_UNAVAILABLE = 503


@dataclass(frozen=True)
class BackendServerSettings:
    """Settings of one stand-in backend server.

    `announce_to` holds admin addresses of entry instances; the next one is tried when
    one does not answer. `service_time_ms` is the mean of an exponential distribution
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
    """Runs requests in slots, announces itself, and misbehaves as told."""

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
        self._announcing: asyncio.Task[None] | None = None
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
            self._announcing = asyncio.ensure_future(self._announce())

    async def stop(self) -> None:
        """Drain: announce it, wait, finish requests in flight, leave."""
        self._phase = "draining"
        await self._announce_once()
        await self._clock.sleep_ms(self.settings.drain_ms)
        self._server.stop()
        await self.idle.wait()
        if self._announcing is not None:
            self._announcing.cancel()
        await self._call_registrar("DELETE", {"incarnation": self._incarnation})
        await self._server.close_all_connections()

    def phase(self) -> str:
        """Return the phase to announce; a cold server is `starting`."""
        age_ms = self._clock.now_ms() - self._started_ms
        if self._phase == "serving" and age_ms < self.settings.cold_start_ms:
            return "starting"
        return self._phase

    def next_fault(self) -> FaultMode:
        """Return the fault that the next request meets."""
        faults = self.faults
        if faults.mode == FaultMode.FLAP:
            period = (self._clock.now_ms() - self._started_ms) // faults.flap_period_ms
            return FaultMode.FAIL if period % 2 else FaultMode.NONE
        if self.random.random() >= faults.ratio:
            return FaultMode.NONE
        return faults.mode

    async def hold_slot(self, slow: bool, caller_left: asyncio.Event) -> None:
        """Hold a slot for the service time of one request, or until its caller left."""
        mean_ms = self.settings.service_time_ms
        duration_ms = mean_ms
        if self.settings.exponential:
            duration_ms = self.random.expovariate(1.0 / mean_ms)
        if slow:
            duration_ms *= self.faults.slow_factor
        async with self._slots:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(caller_left.wait(), duration_ms / MS_PER_S)

    def is_full(self) -> bool:
        """Return True if slots and queue are taken, so that a request must be shed."""
        limit = self.settings.slots + self.settings.queue_count
        return self.in_flight_count >= limit

    def load(self) -> dict[str, Any]:
        """Return the self-reported load, a lie in mode `misreport_load`."""
        in_flight = 0 if self.faults.misreport_load else self.in_flight_count
        return {"in_flight": in_flight, "slots": self.settings.slots}

    async def _announce(self) -> None:
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
        answer = await self._call_registrar("PUT", body)
        return answer.get("renew_ms", DEFAULT_RENEW_MS)

    async def _call_registrar(
        self, method: str, body: dict[str, Any]
    ) -> dict[str, Any]:
        """Return the answer of the first entry instance that accepts; {} without one."""
        settings = self.settings
        path = (
            f"/v1/environments/{settings.service}/{settings.stage}"
            f"/servers/{settings.server_id}"
        )
        for address in settings.announce_to:
            try:
                answer = await call(
                    method,
                    f"http://{address}{path}",
                    body=body,
                    token=settings.token,
                    timeout_ms=CALL_TIMEOUT_MS,
                )
            except UnavailableError:
                continue
            if answer.status == STATUS_OK:
                return answer.body if isinstance(answer.body, dict) else {}
        return {}


class ControlHandler(RequestHandler):
    """Health, load, executions and faults of the stand-in itself."""

    def get(self, what: str) -> None:
        """Answer with the state named in the path; health is always good."""
        backend: BackendServer = self.settings["backend"]
        if what == "executions":
            self.write(json.dumps(backend.executions))
        elif what == "load":
            self.write(json.dumps(backend.load()))
        else:
            self.write(json.dumps({"healthy": True}))

    def put(self, what: str) -> None:
        """Replace the faults."""
        backend: BackendServer = self.settings["backend"]
        backend.faults = _faults_adapter.validate_python(json.loads(self.request.body))


@stream_request_body
class WorkHandler(RequestHandler):
    """Runs any request and answers with a digest of what arrived."""

    def prepare(self) -> None:
        """Count the request from its head on."""
        self._backend: BackendServer = self.settings["backend"]
        self._digest = hashlib.sha256()
        self._body_bytes = 0
        self._caller_left = asyncio.Event()
        self._backend.in_flight_count += 1
        self._backend.idle.clear()

    def data_received(self, chunk: bytes) -> None:
        """Digest the body as it arrives."""
        self._digest.update(chunk)
        self._body_bytes += len(chunk)

    def on_connection_close(self) -> None:
        """Count a caller that left."""
        self._backend.abandoned_count += 1
        self._caller_left.set()

    def on_finish(self) -> None:
        """Count the request as ended."""
        self._backend.in_flight_count -= 1
        if self._backend.in_flight_count == 0:
            self._backend.idle.set()

    async def _run(self) -> None:
        backend = self._backend
        if backend.faults.crash_mark and backend.faults.crash_mark in self.request.path:
            os._exit(CRASH_EXIT_CODE)
        fault = backend.next_fault()
        if fault == FaultMode.SHED or backend.is_full():
            return self._shed()
        if fault == FaultMode.NOT_RUN:
            self.set_header(NOT_RUN, "true")
            return self.set_status(STATUS_UNAVAILABLE)
        if fault == FaultMode.CLOSE_EARLY:
            return self._close()
        self._count_execution()
        if fault == FaultMode.SILENT:
            await self._caller_left.wait()
            return None
        await backend.hold_slot(fault == FaultMode.SLOW, self._caller_left)
        if fault == FaultMode.FAIL:
            return self.set_status(STATUS_FAILED)
        if fault == FaultMode.CUT:
            return await self._cut_answer()
        return self._answer()

    get = head = post = put = delete = patch = options = _run

    def _count_execution(self) -> None:
        execution_id = self.request.headers.get(EXECUTION_HEADER)
        if execution_id:
            self._backend.executions[execution_id] += 1

    def _shed(self) -> None:
        self.set_header(RETRY_AFTER, "1")
        self.set_header(NOT_RUN, "true")
        self.set_status(STATUS_UNAVAILABLE)

    def _close(self) -> None:
        connection: Any = self.request.connection
        connection.stream.close()

    async def _cut_answer(self) -> None:
        self.set_header("Content-Length", "1000")
        self.write(b"x" * 100)
        try:
            await self.flush()
        except StreamClosedError:
            return
        self._close()

    def _answer(self) -> None:
        self.set_header("Content-Type", "application/json")
        answer = {
            "server_id": self._backend.settings.server_id,
            "method": self.request.method,
            "uri": self.request.uri,
            "body_bytes": self._body_bytes,
            "body_sha256": self._digest.hexdigest(),
            "execution_id": self.request.headers.get(EXECUTION_HEADER, ""),
            "request_id": self.request.headers.get(REQUEST_ID, ""),
        }
        self.write(json.dumps(answer))


async def _serve(settings: BackendServerSettings) -> None:
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
        asyncio.run(_serve(load_backend_settings(Path(settings))))
    except CardamomrunError as error:
        raise SystemExit(str(error)) from error


if __name__ == "__main__":
    fire.Fire(run)
