"""Stand-in backend servers with fault modes, each behind a relay of connections."""

import asyncio
import itertools
import json
import random
import socket
import struct
import time
from enum import StrEnum

from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from ..relay import Relay
from .ledger import Ledger, Sent

__all__ = ["Mode", "StandIn"]

SERVICE = "huvo11a"
SLOTS = 8
WORK_S = (0.005, 0.06)
HANG_S = 20.0
RENEW_S = 0.4
CALL_TIMEOUT_S = 1.0
# A server that leaves serves this long after its acknowledgement.
LINGER_S = 3.0


class Mode(StrEnum):
    """What a server does with requests."""

    WELL = "well"
    RESETS = "resets"
    HANGS = "hangs"
    ERRORS = "errors"
    LOSES_ANSWERS = "loses-answers"
    CUTS_ANSWERS = "cuts-answers"
    REFUSES = "refuses"


class StandIn:
    """A backend server that announces itself until it leaves."""

    def __init__(
        self, host: str, number: int, ledger: Ledger, control: list[str], seed: int
    ) -> None:
        self.server_id = f"i-{number}"
        self.mode = Mode.WELL
        self.relay: Relay | None = None
        self._host = host
        self._ledger = ledger
        self._control = control
        self._random = random.Random(seed * 1_000 + number)
        self._sequences = itertools.count(1)
        self._born_ms = int(time.time() * 1_000) + number
        self._state = "ready"
        self._leaving = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen and begin to announce the server."""
        rules = [(r"/.*", _Handler, {"stand_in": self, "ledger": self._ledger})]
        self._server = HTTPServer(Application(rules, log_function=lambda _: None))
        listener = socket.create_server((self._host, 0), backlog=256)
        listener.setblocking(False)
        self._server.add_socket(listener)
        self.relay = Relay(self._host, f"{self._host}:{listener.getsockname()[1]}")
        await self.relay.start()
        self._task = asyncio.create_task(self._announce())

    def leave(self) -> None:
        """Announce that the server drains, then serve a little longer and end."""
        self._state = "draining"
        self._leaving.set()

    def stop(self) -> None:
        """End at once."""
        if self._task is not None:
            self._task.cancel()
        self._server.stop()
        if self.relay is not None:
            self.relay.stop()

    def work_s(self) -> float:
        """Return how long the next request takes."""
        return self._random.uniform(*WORK_S)

    async def _announce(self) -> None:
        target = self._random.choice(self._control)
        while True:
            asked = self._state
            if not await self._tell(target):
                target = self._random.choice(self._control)
                await asyncio.sleep(0.1)
                continue
            if asked == "draining":
                self._ledger.departed_s[self.server_id] = time.monotonic()
                self._ledger.fault(
                    f"{self.server_id} has left, acknowledged by {target}"
                )
                await asyncio.sleep(LINGER_S)
                return
            try:
                async with asyncio.timeout(RENEW_S):
                    await self._leaving.wait()
            except TimeoutError:
                continue

    async def _tell(self, target: str) -> bool:
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
    def initialize(self, stand_in: StandIn, ledger: Ledger) -> None:
        self._stand_in = stand_in
        self._ledger = ledger

    async def get(self) -> None:
        await self._serve()

    async def post(self) -> None:
        await self._serve()

    async def _serve(self) -> None:
        one, headers = self._stand_in, self.request.headers
        mode = one.mode
        request_id = headers.get("Cardamomrun-Attempt-Id", "")
        self.set_header("Cardamomrun-Attempt-Id", request_id)
        if headers.get("Cardamomrun-Expect-Instance") != one.server_id:
            self._refuse(421)
            return
        if mode is Mode.REFUSES:
            self._refuse(503)
            return
        if mode is Mode.RESETS:
            self._reset()
            return
        seen = Sent(
            self.request.method or "", self.request.uri or "", self.request.body
        )
        self._ledger.ran(request_id, one.server_id, seen)
        await asyncio.sleep(HANG_S if mode is Mode.HANGS else one.work_s())
        if mode is Mode.LOSES_ANSWERS:
            self._reset()
            return
        self.set_header("Cardamomrun-Response-Seal", f"seal-{request_id}")
        body = f"{request_id} {len(self.request.body)} ".encode() + b"x" * 2_000
        if mode is Mode.ERRORS:
            self.set_status(500)
        if mode is Mode.CUTS_ANSWERS:
            self.set_header("Content-Length", str(len(body) + 1_000))
            self.write(body)
            await self.flush()
            self._reset()
            return
        self.write(body)

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
