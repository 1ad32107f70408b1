"""Records, documents and fakes for the tests of this package."""

import asyncio
import contextlib
import random
from ipaddress import ip_address

from cardamomrun_base.clock import SystemClock
from cardamomrun_base.headers import GatewayHeaders
from cardamomrun_base.interfaces import RecordStore
from cardamomrun_base.model import (
    BackendPhase,
    MemberBody,
    MemberPhase,
    Record,
    RecordKind,
    RoutedServerBody,
    RoutingBody,
)
from cardamomrun_base.routing_document import (
    RoutedService,
    RouteKind,
    RoutingDocument,
    RoutingRoute,
    ServiceWeight,
    pack_routing,
)
from cardamomrun_base.settings import (
    FleetSettings,
    GatewaySettings,
    NodeSettings,
    Role,
)
from cardamomrun_bench.scripted_server import free_port, parse_response
from cardamomrun_fleet.traffic import TrafficMeter
from cardamomrun_gateway.crash_guard import CrashGuard
from cardamomrun_gateway.dispatch import DispatchDependencies
from cardamomrun_gateway.fleet_load import FleetLoad
from cardamomrun_gateway.front import GatewayFront
from cardamomrun_gateway.hedging import Hedging
from cardamomrun_gateway.link_queue import LinkQueue
from cardamomrun_gateway.load_model import (
    DomainEnd,
    DomainLoad,
    EndedAttempt,
    InFlightAttempt,
    InstanceLoad,
    ServerLoad,
    instance_key,
)
from cardamomrun_gateway.load_reports import LoadReports
from cardamomrun_gateway.paths import OwnPaths, PeerPaths
from cardamomrun_gateway.permits import Permits
from cardamomrun_gateway.placement import Placement, PlacementCriteria
from cardamomrun_gateway.quotas import Quotas
from cardamomrun_gateway.refusals import Refusals
from cardamomrun_gateway.request_admission import RequestAdmission
from cardamomrun_gateway.retry_budget import RetryBudget
from cardamomrun_gateway.routed_request import RouteTimes
from cardamomrun_gateway.server_attempt import AttemptDependencies
from cardamomrun_gateway.server_connections import ServerConnections
from cardamomrun_gateway.server_limits import ServerLimits
from cardamomrun_gateway.server_notices import ServerNotices
from cardamomrun_gateway.shutdown import Shutdown
from cardamomrun_gateway.table import RoutingTable
from cardamomrun_requests.background import BackgroundTasks

NAMES = GatewayHeaders(success_proof="Proof")
WAIT_S = 5.0
HOST = "rota.example"
SERVICE = "rota-desk"
GRACE_MS = 1_000


class FakeStore(RecordStore):
    """The records of one instance, in memory."""

    def __init__(self):
        self.records = {}
        self.callbacks = {}

    def get(self, kind, key):
        return self.records.get((kind, key))

    def all(self, kind):
        return [record for (held, _), record in self.records.items() if held is kind]

    def put(self, record):
        held = self.records.get((record.kind, record.key))
        if held is not None and held.version >= record.version:
            return False
        self.records[record.kind, record.key] = record
        for callback in self.callbacks.get(record.kind, []):
            callback(record)
        return True

    def subscribe(self, kind, callback):
        self.callbacks.setdefault(kind, []).append(callback)


class FakeFleet:
    """A fleet with one record store, whose members are those in `listed`.

    `failed` are members that it considers failed.
    """

    def __init__(self, instance_id="c1", members=()):
        self.instance_id = instance_id
        self.store = FakeStore()
        self.listed = list(members)
        self.failed = []

    def members(self):
        return self.listed

    def known_members(self):
        return self.listed + self.failed


def member(name, domain="kelowna-a", phase=MemberPhase.SERVING, port=1):
    return MemberBody(
        name, 1, "bc-interior", domain, ("entry",), f"127.0.0.1:{port}", "",
        f"127.0.0.1:{port}", phase,
    )  # fmt: skip


def member_record(name, domain="kelowna-a", port=1):
    body = member(name, domain, port=port)
    return Record.from_content(RecordKind.MEMBER, name, name, (1, 1), body)


def server_body(
    server_id="b1", service=SERVICE, domain="kelowna-a", slots=4, incarnation=1,
    address=None, phase=BackendPhase.SERVING, warm_up_ms=0,
):  # fmt: skip
    address = address or f"10.0.0.{server_id[1:]}:80"
    return RoutedServerBody(
        service, server_id, incarnation, address, domain, slots, phase, warm_up_ms
    )


def server_record(body, counter=2, owner_id="c1"):
    version = (body.incarnation, counter)
    return Record.from_content(
        RecordKind.ROUTED_SERVER, body.server_id, owner_id, version, body
    )


def route(prefix="/a/", kind=RouteKind.IDEMPOTENT, split=None, name=None, **changes):
    values = {
        "name": name or f"route {prefix}",
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeout_ms": 2_000.0,
        "objective_ms": 1_000.0,
        "rank": 1,
        "attempt_count": 2,
        "split": split or (ServiceWeight(SERVICE, 1.0),),
    }
    return RoutingRoute(**(values | changes))


# An idempotent route at /a/, a non-idempotent one at /b/, and uploads at /c/.
ROUTES = [
    route("/a/"),
    route("/b/", RouteKind.NON_IDEMPOTENT),
    route("/c/", RouteKind.UPLOAD),
]


def document(
    number=1, routes=None, services=(SERVICE,), source=b"{}", organisations=None
):
    routes = tuple(routes) if routes is not None else (route(),)
    listed = tuple(RoutedService(name) for name in services)
    return RoutingDocument(
        number, routes, listed, source=source, organisations=organisations
    )


def routing_record(content):
    body = RoutingBody(content.number, "digest", pack_routing(content))
    return Record.from_content(
        RecordKind.ROUTING, "routing", "c1", (0, content.number), body
    )


def instance_report(
    instance_id="e2", sequence=1, in_flight=(), ended=(), incarnation=1, counts=()
):
    return InstanceLoad(
        instance_id,
        incarnation,
        sequence,
        tuple(InFlightAttempt(key, age_ms) for key, age_ms in in_flight),
        tuple(EndedAttempt(*end) for end in ended),
        tuple(counts),
    )


def relay_message(
    relay="relay",
    sequence=1,
    in_flight=(),
    ended=(),
    incarnation=1,
    counts=(),
    included=(),
):
    """Return a relay's message; `included` pairs instance ids and sequences."""
    return DomainLoad(
        instance_key(relay),
        incarnation,
        sequence,
        None if in_flight is None else tuple(ServerLoad(*load) for load in in_flight),
        tuple(DomainEnd(7, EndedAttempt(*end)) for end in ended),
        tuple(counts),
        tuple((instance_key(name), number) for name, number in included),
    )


def no_report(sequence):
    """Return None, as for an instance that has sent no report."""
    return


def criteria(**changes):
    values = {
        "service": SERVICE,
        "is_idempotent": True,
        "body_bytes": 0,
        "rank": 1,
        "expected_ms": 300.0,
        "is_retryable": changes.get("is_idempotent", True),
        "may_be_trial": True,
        "has_idempotent_traffic": True,
    }
    return PlacementCriteria(**(values | changes))


def gateway_settings(name="e1", domain="kelowna-a", roles=(Role.ENTRY,), **changes):
    values = {
        "instance_id": name,
        "region": "bc-interior",
        "failure_domain": domain,
        "roles": roles,
        "host": ip_address("127.0.0.1"),
        "front_port": 1,
        "admin_port": 1,
        "peer_port": 2,
        "fleet": FleetSettings(trusts_network=True),
        "directory_ttl_ms": 100,
        "gateway": GatewaySettings(grace_ms=GRACE_MS),
    }
    return NodeSettings(**(values | changes))


class OffsetClock(SystemClock):
    """The system clock plus an offset that a test can change."""

    offset_ms = 0.0

    def now_ms(self):
        return super().now_ms() + self.offset_ms


class Gateway:
    """A gateway front and its parts, on loopback addresses."""

    def __init__(self, content, bodies, name="e1", grace_ms=GRACE_MS, **changes):
        values = {
            "front_port": free_port(),
            "gateway": GatewaySettings(grace_ms=grace_ms),
        }
        self.settings = gateway_settings(name, **(values | changes))
        self.clock = OffsetClock()
        self.fleet = FakeFleet(name)
        self.store = self.fleet.store
        self.meter = TrafficMeter("kelowna-a", self.store)
        self.table = RoutingTable(self.store)
        link = LinkQueue(self.clock, self.settings.link_mbps)
        self.paths = OwnPaths(self.clock, link)
        self.peers = PeerPaths(self.clock, self.fleet, "kelowna-a")
        self.load = FleetLoad(self.clock, self.store, name, self.paths)
        settings = self.settings.gateway
        self.budget = RetryBudget(settings, self.clock)
        self.reports = LoadReports(
            self.settings, self.clock, self.fleet, self.load, self.budget
        )
        self.quotas = Quotas(
            settings, self.clock, self.fleet, self.load, self.table, self.reports
        )
        self.connections = connections = ServerConnections(
            settings, self.clock, self.load, link, self.meter
        )
        self.limits = ServerLimits(self.clock, self.fleet, self.load)
        self.notices = ServerNotices(
            self.clock, NAMES, self.fleet, self.load, connections, self.reports
        )
        tools = AttemptDependencies(
            self.clock,
            NAMES,
            connections,
            self.reports,
            RouteTimes(),
            self.limits,
            self.load,
            self.notices,
            link,
        )
        placement = Placement(self.clock, self.load, "kelowna-a", 0.7, random.Random(1))
        self.shutdown = Shutdown(self.clock, settings.grace_ms)
        self.has_newest_document = True
        self.may_be_revoked = False
        self.front = GatewayFront(
            self.settings,
            self.clock,
            NAMES,
            DispatchDependencies(
                tools,
                self.table,
                self.load,
                placement,
                Permits(self.clock, self.load, self.limits, self.reports),
                CrashGuard(self.clock, self.fleet, self.load),
                self.paths,
                self.peers,
                BackgroundTasks(),
                self.shutdown,
                RequestAdmission(
                    tools,
                    self.table,
                    lambda: self.has_newest_document,
                    lambda: self.may_be_revoked,
                ),
                Refusals(tools, self.load, placement),
                Hedging(settings, tools.route_times),
                self.quotas,
            ),
            connections,
        )
        if content is not None:
            self.store.put(routing_record(content))
        for body in bodies:
            self.store.put(server_record(body))

    async def connect(self):
        return await asyncio.open_connection("127.0.0.1", self.settings.front_port)

    async def raw(self, data):
        """Send bytes and return all bytes received until the connection ends."""
        reader, writer = await self.connect()
        writer.write(data)
        received = b""
        with contextlib.suppress(ConnectionError):
            async with asyncio.timeout(WAIT_S):
                while part := await reader.read(65_536):
                    received += part
        writer.close()
        return received

    async def call(self, method="GET", path="/a/x", body=b"", **headers):
        return parse_response(await self.raw(request(method, path, body, **headers)))


@contextlib.asynccontextmanager
async def gateway(*servers, content=None, name="e1", grace_ms=GRACE_MS, **changes):
    """Run a gateway front for scripted servers with the ids `b1`, `b2` and so on.

    `changes` are those of the settings.
    """
    bodies = []
    for index, server in enumerate(servers):
        port = await server.start()
        bodies.append(server_body(f"b{index + 1}", address=f"127.0.0.1:{port}"))
    content = content or document(routes=ROUTES)
    running = Gateway(content, bodies, name, grace_ms, **changes)
    await running.front.start()
    try:
        yield running
    finally:
        await running.front.stop()
        for server in servers:
            server.stop()


def request(method="GET", path="/a/x", body=b"", attempt_id="id-1", **headers):
    """Return a request with `connection: close`; `a_b=` sets the header `a-b`."""
    fields = {
        "host": HOST,
        "connection": "close",
        NAMES.request_id: attempt_id,
        NAMES.deadline_ms: "1500",
    }
    if body:
        fields["content-length"] = str(len(body))
    fields |= {name.replace("_", "-"): value for name, value in headers.items()}
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def response(body=b"ok", status=200, attempt_id="id-1", proof=True, **headers):
    """Return a server's whole response to the request with this id."""
    fields = {NAMES.request_id: attempt_id, "Content-Length": str(len(body))}
    if proof:
        fields[NAMES.success_proof] = "proof"
    fields |= {name.replace("_", "-"): value for name, value in headers.items()}
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def unframed_head(field=b"X: x"):
    """Return the head of a server's response, with a field in place of its length."""
    head = response().partition(b"\r\n\r\n")[0]
    return head.replace(b"Content-Length: 2", field) + b"\r\n\r\n"


def not_run(status=503):
    """Return a server's response with the header that it did not run the request."""
    return response(b"", status, proof=False, **{NAMES.not_run: "1"})


def not_run_chunked():
    """Return the head of a refusal with a chunked body."""
    return not_run().replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")


class EndlessServer:
    """A backend server that sends bytes until the connection is closed."""

    def __init__(self, begin, repeated, pause_s):
        self._begin, self._repeated, self._pause_s = begin, repeated, pause_s
        self.connection_count = self.closed_count = 0
        self.sent_count = self.sent_bytes = 0

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self._server.sockets[0].getsockname()[1]

    def stop(self):
        self._server.close()

    async def _serve(self, reader, writer):
        self.connection_count += 1
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self._begin)
            while True:
                writer.write(self._repeated)
                await writer.drain()
                self.sent_count += 1
                self.sent_bytes += len(self._repeated)
                await asyncio.sleep(self._pause_s)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.closed_count += 1
            writer.close()


async def until(condition):
    """Wait until a condition holds; fails after `WAIT_S`."""
    async with asyncio.timeout(WAIT_S):
        while not condition():
            await asyncio.sleep(0.005)


def recorded_ends(running):
    """Return a list to which the ends of attempts in a gateway are added."""
    ends = []
    attempt_ended = running.reports.attempt_ended

    def record(token, server, end):
        ends.append(end)
        attempt_ended(token, server, end)

    running.reports.attempt_ended = record
    return ends
