"""Stand-ins for targets, requesters and the operator, on plain sockets.

They do what the users' page PROTOCOL.md says, and where it is silent what a sound
program does.
"""

import asyncio
import itertools
import json
import random
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path

__all__ = ["Answer", "Operator", "Record", "Target", "call", "manifest", "read_message"]

Headers = dict[str, str]
Answer = tuple[int, Headers, bytes]
START_S = time.monotonic()


class Record:
    """What was sent, answered and run, as lines of `record.txt`."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")

    def line(self, text: str) -> None:
        """Add a line with the time since the start."""
        self._file.write(f"{time.monotonic() - START_S:8.3f} {text}\n")
        self._file.flush()


async def read_message(
    reader: asyncio.StreamReader, *, has_body: bool = True
) -> tuple[str, Headers, bytes]:
    """Return the first line, the headers and the body of a message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
    first, *lines = head.strip("\r\n").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
    elif has_body and first.startswith("HTTP/"):
        body = await reader.read()
    return first, headers, body


async def call(
    address: str,
    method: str,
    path: str,
    headers: Headers | None = None,
    body: bytes = b"",
    timeout_s: float = 1.0,
) -> Answer | None:
    """Send one request on a new connection; return the answer, or None without one."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            fields = {"Host": address} | (headers or {})
            if body or method == "POST":
                fields["Content-Length"] = str(len(body))
            lines = [f"{method} {path} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in fields.items()]
            writer.write("\r\n".join([*lines, "", ""]).encode("latin1") + body)
            first, answered, content = await read_message(reader)
            return int(first.split()[1]), answered, content
    except (OSError, EOFError, TimeoutError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.transport.abort()


def manifest(
    version: int, routes: list[dict[str, object]], services: list[str]
) -> bytes:
    """Return a manifest as the operator sends it."""
    content = {
        "version": f"{version:08x}",
        "routes": routes,
        "services": [
            {"name": name, "health_path": "/health", "max_conns": 330,
             "protocol": "h1", "tls": False}
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 67108864,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
        },
    }  # fmt: skip
    return json.dumps(content).encode()


class Operator:
    """Sends manifests until one node acknowledges them."""

    def __init__(self, addresses: list[str], record: Record) -> None:
        self._addresses = addresses
        self._record = record

    async def put(self, body: bytes, limit_s: float) -> bool:
        """Send a manifest to one node after the other; True once it is acknowledged."""
        end_s = time.monotonic() + limit_s
        path = "/v1/rpc?call=config.put"
        pause_s = 0.2
        for address in itertools.cycle(self._addresses):
            if time.monotonic() >= end_s:
                return False
            answer = await call(address, "POST", path, body=body)
            status = None if answer is None else answer[0]
            self._record.line(f"operator: config.put at {address}: {status}")
            if status == 200:
                return True
            await asyncio.sleep(pause_s)
            pause_s = min(1.0, pause_s * 1.5)
        return False

    async def get(self, limit_s: float) -> bytes | None:
        """Read the manifest back; None if no node returns it in time."""
        end_s = time.monotonic() + limit_s
        for address in itertools.cycle(self._addresses):
            if time.monotonic() >= end_s:
                return None
            answer = await call(address, "POST", "/v1/rpc?call=config.get")
            status = None if answer is None else answer[0]
            self._record.line(f"operator: config.get at {address}: {status}")
            if answer is not None and status == 200:
                return answer[2]
            await asyncio.sleep(0.3)
        return None


Handler = Callable[
    ["Target", str, Headers, bytes, asyncio.StreamReader, asyncio.StreamWriter],
    Awaitable[bool],
]


class Target:
    """A target that registers itself, and answers requests by a handler.

    `handler` returns False if the connection ends with its answer.
    """

    def __init__(
        self,
        record: Record,
        ip: str,
        service: str,
        zone: str,
        control: list[str],
        handler: Handler,
        slots: int = 6,
    ) -> None:
        self.server_id = f"i-{random.getrandbits(32):08x}"
        self.service = service
        self.state = "ready"
        self.address = ""
        self.runs: dict[str, int] = {}
        self._record = record
        self._ip = ip
        self._zone = zone
        self._control = list(control)
        self._handler = handler
        self._slots = slots
        self._born = int(time.time() * 1000)
        self._sequence = itertools.count(1)
        self._server: asyncio.Server | None = None
        self._task: asyncio.Task[None] | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, port: int = 0) -> None:
        """Listen, and check in regularly."""
        self._server = await asyncio.start_server(self._serve, self._ip, port)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{self._ip}:{port}"
        self._task = asyncio.create_task(self._check_in_regularly())

    def stop(self) -> None:
        """Listen and check in no more."""
        if self._task is not None:
            self._task.cancel()
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    def run(self, request_id: str, line: str) -> None:
        """Note that a request has begun to run."""
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        self._record.line(f"target {self.server_id}: runs {request_id}: {line}")

    async def check_in(self) -> bool:
        """Check in once, at one node after the other; True if it was acknowledged."""
        fields = {
            "service": self.service, "address": self.address, "zone": self._zone,
            "version": "v1", "slots": self._slots, "state": self.state,
            "warmup_left_ms": 0, "seq": next(self._sequence), "born": self._born,
        }  # fmt: skip
        path = f"/v1/rpc?call=instances.heartbeat&of={self.server_id}"
        for _ in range(len(self._control)):
            address = self._control[0]
            answer = await call(address, "POST", path, body=json.dumps(fields).encode())
            if answer is not None and 200 <= answer[0] < 300:
                return True
            self._control.append(self._control.pop(0))
        return False

    async def _check_in_regularly(self) -> None:
        while True:
            await self.check_in()
            await asyncio.sleep(1.5)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        with suppress(OSError, EOFError, ValueError):
            while True:
                first, headers, body = await read_message(reader)
                if not await self._handler(self, first, headers, body, reader, writer):
                    break
        self._writers.discard(writer)
        writer.close()
