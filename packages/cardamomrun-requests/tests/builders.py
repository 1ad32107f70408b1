"""Fakes for the parts that a front door uses, and a scripted backend server."""

import asyncio
import contextlib
import json
import socket
import struct
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from ipaddress import ip_address
from pathlib import Path

from cardamomrun_base.clock import SystemClock
from cardamomrun_base.documents import EnvironmentDocument, load_document
from cardamomrun_base.interfaces import (
    Attempt,
    AttemptResult,
    ClaimKey,
    ClaimResult,
    Environment,
    Won,
)
from cardamomrun_base.model import BackendBody, BackendPhase, EnvironmentBody
from cardamomrun_base.settings import FleetSettings, NodeSettings, Role
from cardamomrun_requests.front_door import FrontDoor

ENVIRONMENT = "rota-desk/production"
HOST = "rota.example"
WAIT_S = 5.0


def document(route: dict | None = None, **changes) -> EnvironmentDocument:
    content = {
        "service": "rota-desk",
        "hosts": [HOST],
        "routes": [{"prefix": "/", "attempt_timeout_ms": 400} | (route or {})],
    }
    return load_document(json.dumps(content | changes).encode(), "test")


class OffsetClock(SystemClock):
    """The system clock, which a test can put forward."""

    offset_ms = 0.0

    def now_ms(self) -> float:
        return super().now_ms() + self.offset_ms


class FakeEnvironments:
    def __init__(self, content: EnvironmentDocument) -> None:
        body = EnvironmentBody(ENVIRONMENT, 1, 1, "digest", b"")
        self.environment = Environment(body, content)

    def get(self, environment):
        return self.environment if environment == ENVIRONMENT else None

    def by_host(self, host):
        return self.environment if host == HOST else None

    def all(self):
        return [self.environment]


class FakeBackends:
    """Chooses the first server that is not excluded and keeps all evidence."""

    def __init__(self, servers: list[BackendBody]) -> None:
        self.servers = servers
        self.running_count = 0
        self.results: list[AttemptResult] = []

    def choose(self, environment, *, exclude=frozenset()):
        free = (item for item in self.servers if item.server_id not in exclude)
        return next(free, None)

    def started(self, server):
        self.running_count += 1
        return Attempt(ENVIRONMENT, server, 0.0)

    def finished(self, attempt, result, *, retry_after_s=None):
        self.running_count -= 1
        self.results.append(result)

    def is_current(self, server):
        return server in self.servers

    def view(self, environment):
        raise NotImplementedError


class FakeClaims:
    """Gives one fixed result, or a won claim, and keeps how claims were settled."""

    def __init__(self) -> None:
        self.result: ClaimResult | None = None
        self.start_in_ms = 5_000.0
        self.settled: list[str] = []

    async def claim(self, key: ClaimKey) -> ClaimResult:
        start_before_ms = SystemClock().now_ms() + self.start_in_ms
        return self.result or Won(key, "attempt", start_before_ms)

    async def settle_done(self, won, status):
        self.settled.append(f"done {status}")

    async def settle_unknown(self, won):
        self.settled.append("unknown")

    async def release(self, won):
        self.settled.append("released")

    async def finish(self):
        """Settlements take no time here."""


class FakeQuarantine:
    def __init__(self) -> None:
        self.quarantined = False
        self.death_count = 0
        self.answered_count = 0
        self.unanswered_count = 0

    def is_quarantined(self, environment, fingerprint):
        return self.quarantined

    @contextlib.asynccontextmanager
    async def turn(self, environment, fingerprint):
        try:
            yield not self.quarantined
        except Exception:
            self.unanswered_count += 1
            raise
        self.answered_count += 1

    async def connection_died(self, attempt, fingerprint):
        self.death_count += 1
        return False


class FakeDirectory:
    def __init__(self) -> None:
        self.status = 200

    def answer(self, query):
        return self.status, json.dumps(query).encode()


@dataclass
class Step:
    """What a scripted server does with one request.

    `then` is keep, close, reset or hang. `early` answers before the body is read;
    `unread` ends the connection before anything is read. `release` delays the answer.
    """

    data: bytes = b""
    then: str = "keep"
    early: bool = False
    unread: bool = False
    release: asyncio.Event | None = None


def ok(body: bytes = b"ok") -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


@dataclass
class ScriptedServer:
    """A raw-socket backend server; the last step repeats. Counts executions."""

    steps: list[Step]
    server_id: str = "b1"
    heads: list[bytes] = field(default_factory=list)
    bodies: list[bytes] = field(default_factory=list)
    connection_count: int = 0
    closed_count: int = 0
    body_bytes: int = 0
    reading: asyncio.Event = field(default_factory=asyncio.Event)
    keep_bodies: bool = True

    async def start(self) -> BackendBody:
        self.reading.set()
        self._writers: list[asyncio.StreamWriter] = []
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        return backend(port, self.server_id)

    def stop(self) -> None:
        self._server.close()

    def unsent_bytes(self) -> int:
        """Return what waits in this process for the front door to read it."""
        return sum(item.transport.get_write_buffer_size() for item in self._writers)

    async def _serve(self, reader, writer) -> None:
        self.connection_count += 1
        self._writers.append(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.closed_count += 1
            writer.close()

    async def _serve_one(self, reader, writer) -> bool:
        step = self.steps[min(len(self.heads), len(self.steps) - 1)]
        if not step.unread:
            head = await reader.readuntil(b"\r\n\r\n")
            self.heads.append(head)
            if not step.early:
                self.bodies.append(await self._read_body(reader, head))
        if step.release is not None:
            await step.release.wait()
        writer.write(step.data)
        await writer.drain()
        if step.then == "hang":
            await reader.read()
        if step.then == "reset":
            linger = struct.pack("ii", 1, 0)
            connection = writer.get_extra_info("socket")
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        return step.then == "keep"

    async def _read_body(self, reader, head: bytes) -> bytes:
        fields = dict(
            line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:] if line
        )
        if b"transfer-encoding" not in fields:
            return await self._read(reader, int(fields.get(b"content-length", b"0")))
        parts = []
        while size := int(await reader.readline(), 16):
            parts.append(await self._read(reader, size))
            await reader.readexactly(2)
        await reader.readexactly(2)
        return b"".join(parts)

    async def _read(self, reader, size: int) -> bytes:
        parts = []
        while size:
            await self.reading.wait()
            part = await reader.read(min(size, 65_536))
            if not part:
                raise asyncio.IncompleteReadError(b"", size)
            size -= len(part)
            self.body_bytes += len(part)
            if self.keep_bodies:
                parts.append(part)
        return b"".join(parts)


def backend(port: int, server_id: str = "b1", incarnation: int = 1) -> BackendBody:
    return BackendBody(
        environment=ENVIRONMENT,
        server_id=server_id,
        incarnation=incarnation,
        address=f"127.0.0.1:{port}",
        failure_domain="kelowna-a",
        slots=4,
        connections=400,
        registrar_id="e1",
        phase=BackendPhase.SERVING,
    )


def free_port() -> int:
    with socket.socket() as holder:
        holder.bind(("127.0.0.1", 0))
        return holder.getsockname()[1]


def settings(**changes) -> NodeSettings:
    values = {
        "instance_id": "e1",
        "region": "bc-interior",
        "failure_domain": "kelowna-a",
        "roles": (Role.ENTRY,),
        "host": ip_address("127.0.0.1"),
        "front_port": free_port(),
        "admin_port": 1,
        "peer_port": 2,
        "fleet": FleetSettings(Path("key")),
        "announcement_tokens_file": Path("tokens"),
        "directory_ttl_ms": 100,
    }
    return NodeSettings(**(values | changes))


class Fixture:
    """A front door in front of scripted servers."""

    def __init__(self, servers: list[BackendBody], content: EnvironmentDocument):
        self.settings = settings()
        self.port = self.settings.front_port
        self.clock = OffsetClock()
        self.backends = FakeBackends(servers)
        self.claims = FakeClaims()
        self.quarantine = FakeQuarantine()
        self.directory = FakeDirectory()
        self.front = FrontDoor(
            self.settings,
            self.clock,
            FakeEnvironments(content),
            self.backends,
            self.claims,
            self.quarantine,
            self.directory,
        )

    async def connect(self):
        return await asyncio.open_connection("127.0.0.1", self.port)

    async def raw(self, data: bytes) -> bytes:
        """Send bytes and return all that arrives until the connection ends."""
        reader, writer = await self.connect()
        writer.write(data)
        received = b""
        with contextlib.suppress(ConnectionError):
            async with asyncio.timeout(WAIT_S):
                while part := await reader.read(65_536):
                    received += part
        writer.close()
        return received

    async def call(self, method="GET", path="/", body=b"", **headers) -> "Received":
        return parse(await self.raw(request(method, path, body, **headers)))


@dataclass(frozen=True)
class Received:
    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def outcome(self) -> str:
        return self.headers.get("cardamomrun-outcome", "")


def request(method="GET", path="/", body=b"", **headers) -> bytes:
    """Return a request that asks to close; `a_b=` sets the header `a-b`."""
    fields = {"host": HOST, "connection": "close"}
    if body:
        fields["content-length"] = str(len(body))
    fields |= {name.replace("_", "-"): value for name, value in headers.items()}
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def parse(data: bytes) -> Received:
    head, _, body = data.partition(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    fields = (line.split(": ", 1) for line in lines[1:])
    headers = {name.lower(): value for name, value in fields}
    return Received(int(lines[0].split()[1]), headers, body)


@contextlib.asynccontextmanager
async def front_door(
    *servers: ScriptedServer, content: EnvironmentDocument | None = None
) -> AsyncIterator[Fixture]:
    """Run a front door and its servers."""
    bodies = [await server.start() for server in servers]
    fixture = Fixture(bodies, content or document())
    await fixture.front.start()
    try:
        yield fixture
    finally:
        await fixture.front.stop()
        for server in servers:
            server.stop()


async def until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds; fails after `WAIT_S`."""
    async with asyncio.timeout(WAIT_S):
        while not condition():
            await asyncio.sleep(0.005)
