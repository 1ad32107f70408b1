"""Fakes of the services that a front door uses, and a front door fixture."""

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator, Callable
from ipaddress import ip_address
from pathlib import Path

from cardamomrun_base.clock import SystemClock
from cardamomrun_base.documents import EnvironmentDocument, load_document
from cardamomrun_base.interfaces import (
    Attempt,
    AttemptResult,
    ClaimGranted,
    ClaimKey,
    ClaimResult,
    Environment,
)
from cardamomrun_base.model import BackendBody, BackendPhase, EnvironmentBody
from cardamomrun_base.settings import FleetSettings, NodeSettings, Role
from cardamomrun_bench.scripted_server import (
    ReceivedResponse,
    ScriptedServer,
    free_port,
    parse_response,
)
from cardamomrun_requests.front_proxy import FrontProxy

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
    """The system clock, which a test can advance."""

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
    """Chooses the first server that is not excluded and records all results."""

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
    """Returns a fixed result, or a won claim, and records how claims were settled."""

    def __init__(self) -> None:
        self.result: ClaimResult | None = None
        self.start_in_ms = 5_000.0
        self.settled: list[str] = []

    async def claim(self, key: ClaimKey) -> ClaimResult:
        start_before_ms = SystemClock().now_ms() + self.start_in_ms
        return self.result or ClaimGranted(key, "attempt", start_before_ms)

    async def settle_done(self, won, status):
        self.settled.append(f"done {status}")

    async def settle_unknown(self, won):
        self.settled.append("unknown")

    async def release(self, won):
        self.settled.append("released")

    async def finish(self):
        """Do nothing: settlements take no time here."""


class FakeQuarantine:
    def __init__(self) -> None:
        self.quarantined = False
        self.crash_check_count = 0
        self.answered_count = 0
        self.unanswered_count = 0

    def is_quarantined(self, environment, fingerprint):
        return self.quarantined

    @contextlib.asynccontextmanager
    async def attempt_permit(self, environment, fingerprint):
        try:
            yield not self.quarantined
        except Exception:
            self.unanswered_count += 1
            raise
        self.answered_count += 1

    async def confirm_crash(self, attempt, fingerprint):
        self.crash_check_count += 1
        return False


class FakeDirectory:
    def __init__(self) -> None:
        self.status = 200

    def answer(self, query):
        return self.status, json.dumps(query).encode()


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
        "departure_heard_ms": 0,
    }
    return NodeSettings(**(values | changes))


class FrontDoorFixture:
    """A front door in front of scripted servers."""

    def __init__(
        self, servers: list[BackendBody], content: EnvironmentDocument, **changes
    ):
        self.settings = settings(**changes)
        self.port = self.settings.front_port
        self.clock = OffsetClock()
        self.backends = FakeBackends(servers)
        self.claims = FakeClaims()
        self.quarantine = FakeQuarantine()
        self.directory = FakeDirectory()
        self.front = FrontProxy(
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
        """Send bytes and return everything received until the connection ends."""
        reader, writer = await self.connect()
        writer.write(data)
        received = b""
        with contextlib.suppress(ConnectionError):
            async with asyncio.timeout(WAIT_S):
                while part := await reader.read(65_536):
                    received += part
        writer.close()
        return received

    async def call(
        self, method="GET", path="/", body=b"", **headers
    ) -> "ReceivedResponse":
        return parse_response(await self.raw(request(method, path, body, **headers)))


def request(method="GET", path="/", body=b"", **headers) -> bytes:
    """Return a request that asks to close; `a_b=` sets the header `a-b`."""
    fields = {"host": HOST, "connection": "close"}
    if body:
        fields["content-length"] = str(len(body))
    fields |= {name.replace("_", "-"): value for name, value in headers.items()}
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


@contextlib.asynccontextmanager
async def front_proxy(
    *servers: ScriptedServer, content: EnvironmentDocument | None = None, **changes
) -> AsyncIterator[FrontDoorFixture]:
    """Run a front door and its servers."""
    bodies = [backend(await server.start(), server.server_id) for server in servers]
    fixture = FrontDoorFixture(bodies, content or document(), **changes)
    await fixture.front.start()
    try:
        yield fixture
    finally:
        await fixture.front.stop()
        for server in servers:
            server.stop()


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds. Raises `TimeoutError` after `WAIT_S`."""
    async with asyncio.timeout(WAIT_S):
        while not condition():
            await asyncio.sleep(0.005)
