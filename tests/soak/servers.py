"""Stand-in backend servers with fault modes, each behind a relay."""

import asyncio
import itertools
import json
import random
import socket
import struct
import time
from collections.abc import Callable
from enum import StrEnum

from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from ..relay import Relay
from .ledger import Ledger, SentRequest
from .organisations import Organisations
from .raw_clients import download_body

__all__ = ["SLOTS", "ServerMode", "StandInServer"]

SERVICE = "huvo11a"
SLOTS = 8
SERVICE_TIME_RANGE_S = (0.005, 0.06)
HANG_S = 20.0
HEARTBEAT_INTERVAL_S = 0.4
CALL_TIMEOUT_S = 1.0
# A draining server still serves this long after its announcement is acknowledged.
LINGER_S = 3.0


class ServerMode(StrEnum):
    """How a server handles requests."""

    HEALTHY = "well"
    RESETS = "resets"
    HANGS = "hangs"
    ERRORS = "errors"
    LOSES_ANSWERS = "loses-answers"
    CUTS_ANSWERS = "cuts-answers"
    REFUSES = "refuses"


class StandInServer:
    """A backend server that announces itself until it has drained."""

    def __init__(
        self,
        host: str,
        number: int,
        ledger: Ledger,
        control: Callable[[], list[str]],
        seed: int,
        organisations: Organisations | None = None,
    ) -> None:
        self.server_id = f"i-{number}"
        self.mode = ServerMode.HEALTHY
        # Requests a second that the server takes from all instances, if it names a limit.
        self.limit_per_s: float | None = None
        # The end of the pause that the server asks for, and whether its refusals say
        # that the request was not run.
        self.pause_until_s = 0.0
        self.pause_says_not_run = True
        self.is_leaving = False
        # Share of the requests that the server refuses as too busy.
        self.refused_ratio = 0.0
        self.relay: Relay | None = None
        self.organisations = organisations
        self._host = host
        self._ledger = ledger
        self._control = control
        self._random = random.Random(seed * 1_000 + number)
        self._sequences = itertools.count(1)
        self._born_ms = int(time.time() * 1_000) + number
        self._state = "ready"
        self._drain_started = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen and begin to announce the server."""
        rules = [(r"/.*", _Handler, {"server": self, "ledger": self._ledger})]
        self._server = HTTPServer(Application(rules, log_function=lambda _: None))
        listener = socket.create_server((self._host, 0), backlog=256)
        listener.setblocking(False)
        self._server.add_socket(listener)
        self.relay = Relay(self._host, f"{self._host}:{listener.getsockname()[1]}")
        await self.relay.start()
        self._task = asyncio.create_task(self._announce_until_drained())

    def start_draining(self) -> None:
        """Announce that the server drains, and stop announcing `LINGER_S` later."""
        self.is_leaving = True
        self._state = "draining"
        self._drain_started.set()

    def stop(self) -> None:
        """Stop announcing and close the listener and the relay at once."""
        if self._task is not None:
            self._task.cancel()
        self._server.stop()
        if self.relay is not None:
            self.relay.stop()

    def draw_service_time_s(self) -> float:
        """Return a random service time for the next request."""
        return self._random.uniform(*SERVICE_TIME_RANGE_S)

    def draws_refusal(self) -> bool:
        """Return True if the next request is refused as too busy."""
        return self.refused_ratio > 0 and self._random.random() < self.refused_ratio

    async def _announce_until_drained(self) -> None:
        target = self._random.choice(self._control())
        while True:
            announced_state = self._state
            if not await self._send_heartbeat(target):
                target = self._random.choice(self._control())
                await asyncio.sleep(0.1)
                continue
            if announced_state == "draining":
                self._ledger.departed_s[self.server_id] = time.monotonic()
                self._ledger.record_fault(
                    f"{self.server_id} drains, acknowledged by {target}"
                )
                await asyncio.sleep(LINGER_S)
                return
            try:
                async with asyncio.timeout(HEARTBEAT_INTERVAL_S):
                    await self._drain_started.wait()
            except TimeoutError:
                continue

    async def _send_heartbeat(self, target: str) -> bool:
        assert self.relay is not None
        body = {
            "service": SERVICE,
            "address": self.relay.address,
            "zone": "kelowna-a",
            "version": "v1",
            "slots": SLOTS,
            "state": self._state,
            "warmup_left_ms": 0,
            "seq": next(self._sequences),
            "born": self._born_ms,
        }
        url = f"http://{target}/v1/rpc?call=instances.heartbeat&of={self.server_id}"
        request = HTTPRequest(
            url, "POST", body=json.dumps(body), request_timeout=CALL_TIMEOUT_S
        )
        try:
            answer = await AsyncHTTPClient().fetch(request, raise_error=False)
        except (OSError, HTTPClientError):
            return False
        return answer.code == 200


class _Handler(RequestHandler):
    def initialize(self, server: StandInServer, ledger: Ledger) -> None:
        self._server = server
        self._ledger = ledger

    async def get(self) -> None:
        await self._serve()

    async def post(self) -> None:
        await self._serve()

    async def _serve(self) -> None:
        server, headers = self._server, self.request.headers
        if server.limit_per_s is not None:
            self.set_header("Server-Limit", str(server.limit_per_s))
            self._ledger.record_limited_arrival(server.server_id, server.limit_per_s)
        if server.is_leaving:
            self.set_header("Server-Leaving", "1")
        self.set_header("Soak-Server", server.server_id)
        mode = server.mode
        request_id = headers.get("Cardamomrun-Attempt-Id", "")
        self.set_header("Cardamomrun-Attempt-Id", request_id)
        self._ledger.record_arrival(request_id)
        if server.organisations is not None:
            server.organisations.record_arrival(request_id, self.request.path, headers)
        if headers.get("Cardamomrun-Expect-Instance") != server.server_id:
            self._refuse(421)
            return
        if time.monotonic() < server.pause_until_s:
            self._ask_for_pause(request_id)
            return
        if mode is ServerMode.REFUSES or server.draws_refusal():
            self._refuse(503)
            return
        if mode is ServerMode.RESETS:
            self._reset()
            return
        seen = SentRequest(
            self.request.method or "", self.request.uri or "", self.request.body
        )
        self._ledger.record_run(request_id, server.server_id, seen)
        await asyncio.sleep(HANG_S if mode is ServerMode.HANGS else self._work_s())
        self._ledger.record_run_end(request_id)
        if mode is ServerMode.LOSES_ANSWERS:
            self._reset()
            return
        self.set_header("Cardamomrun-Response-Seal", f"seal-{request_id}")
        body = f"{request_id} {len(self.request.body)} ".encode() + b"x" * 2_000
        is_download = self.request.path.startswith("/d/")
        if is_download:
            body = download_body(request_id)
        if mode is ServerMode.ERRORS:
            self.set_status(500)
        if mode is ServerMode.CUTS_ANSWERS:
            # Every second download is sent in chunks.
            if not is_download or len(body) % 2:
                self.set_header("Content-Length", str(len(body) + 1_000))
            self.write(body[: len(body) // 2] if is_download else body)
            await self.flush()
            self._reset()
            return
        if is_download and len(body) % 2 == 0:
            await self.flush()
        self.write(body)

    def _work_s(self) -> float:
        work_ms = self.get_query_argument("work_ms", None)
        if work_ms is None:
            return self._server.draw_service_time_s()
        return float(work_ms) / 1_000

    def _ask_for_pause(self, request_id: str) -> None:
        server = self._server
        end_s = server.pause_until_s
        self._ledger.record_pause(request_id, server.server_id, end_s)
        self.set_status(503)
        self.set_header("Retry-After", f"{end_s - time.monotonic():.3f}")
        if server.pause_says_not_run:
            self.set_header("Cardamomrun-Not-Executed", "1")
        else:
            self.set_header("Cardamomrun-Response-Seal", "seal")

    def _refuse(self, status: int) -> None:
        self.set_status(status)
        self.set_header("Cardamomrun-Not-Executed", "1")

    def _reset(self) -> None:
        assert self.request.connection is not None
        stream = self.request.connection.stream  # type: ignore[attr-defined]
        if stream.socket is not None:
            linger = struct.pack("ii", 1, 0)
            stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        stream.close()
        self._finished = True
