"""Blocks requests that crash the backend servers which run them."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

from cardamomrun_base.clock import Clock
from cardamomrun_base.interfaces import Fleet
from cardamomrun_base.logs import ComponentLog
from cardamomrun_base.model import (
    BackendPhase,
    CrashBody,
    Record,
    RecordKind,
    RoutedServerBody,
    ServerId,
)
from cardamomrun_gateway import metrics
from cardamomrun_gateway.fleet_load import FleetLoad, Server
from cardamomrun_requests.request import ClientRequest, hash_parts
from cardamomrun_requests.upstream import (
    ConnectError,
    ConnectRefusedError,
    open_stream,
)

__all__ = ["CrashGuard", "RequestIdentity"]

# One crash may have another cause and proves nothing; waiting for a third one would
# cost the service another server.
CRASHES_TO_BLOCK = 2
# Crashes of several services, or under the request of several clients, have another
# cause more often.
CRASHES_TO_BLOCK_ALL = 3
# How long a request is blocked and its crashes are counted.
BLOCK_MS = 600_000
# The machine of a crashed server refuses a connection at once.
CONFIRM_TIMEOUT_MS = 200.0
# A lost SYN is sent again after a second, so one failed connection shows little.
RECHECK_MS = 1_000.0
# A server that crashed announces its next incarnation within this time, if it returns.
WATCH_MS = 20_000.0
# Crashes of other servers within this time of each other have a common cause if they
# concern this share of the servers, and at least `COMMON_CAUSE_MIN_COUNT`.
COMMON_CAUSE_MS = 5_000.0
COMMON_CAUSE_RATIO = 0.25
COMMON_CAUSE_MIN_COUNT = 3
# Precision of the times of attempts that other instances report.
REPORT_PRECISION_MS = 300.0
MAX_CONTENT_COUNT = 4_096

_log = ComponentLog("crashes")


class _Finding(StrEnum):
    """What new connections to a backend server show."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"


@dataclass(frozen=True)
class RequestIdentity:
    """Recognises a request that is sent again.

    `content` is the hash of method, path, query and body, `client` that of the client's
    address. The service is not part of it: a route may choose another one each time.
    """

    content: str
    client: str

    @classmethod
    def of(cls, request: ClientRequest, client: str) -> "RequestIdentity":
        """Return the identity of a request whose body prefix has been read."""
        return cls(request.fingerprint("", ""), hash_parts(client)[:16])

    @property
    def fingerprint(self) -> str:
        """The identity as one word, as in crash records."""
        return f"{self.content}.{self.client}"


@dataclass(frozen=True)
class _Crash:
    """A counted crash; `known_ms` is when this instance learnt of it."""

    service: str
    client: str
    server_id: ServerId
    incarnation: int
    known_ms: float


@dataclass(frozen=True)
class _Loss:
    """An attempt that got no response, and the server that may have crashed."""

    server: RoutedServerBody
    identity: RequestIdentity
    until_ms: float


class CrashGuard:
    """Counts server crashes by the identity of the request that the server ran.

    Crashes are replicated records, so all instances block the same requests. A crash
    counts if an attempt got no complete response and then the server refuses new
    connections, cannot be reached while nobody else gets responses from it, or announces
    a new incarnation without having left. It no longer counts once an attempt begun
    later got a response from the same incarnation.
    """

    def __init__(self, clock: Clock, fleet: Fleet, load: FleetLoad) -> None:
        self._clock = clock
        self._fleet = fleet
        self._load = load
        self._crashes: dict[str, dict[str, _Crash]] = {}
        self._losses: list[_Loss] = []
        fleet.store.subscribe(RecordKind.CRASH, self._on_crash)
        for record in fleet.store.all(RecordKind.CRASH):
            self._on_crash(record)
        fleet.store.subscribe(RecordKind.ROUTED_SERVER, self._on_server)

    def is_blocked(self, identity: RequestIdentity, service: str) -> bool:
        """Return True if enough servers crashed on a request for `service`.

        These are `CRASHES_TO_BLOCK` servers of the service under requests of the same
        client, or `CRASHES_TO_BLOCK_ALL` in all.
        """
        crashes = self._crashes.get(identity.content)
        if crashes is None:
            return False
        own = {
            crash.server_id
            for crash in crashes.values()
            if crash.client == identity.client and crash.service == service
        }
        if len(own) >= CRASHES_TO_BLOCK:
            return True
        if len({crash.server_id for crash in crashes.values()}) < CRASHES_TO_BLOCK_ALL:
            return False
        counted = {
            crash.server_id
            for crash in crashes.values()
            if not self._has_common_cause(crash, crashes.values())
        }
        return len(counted) >= CRASHES_TO_BLOCK_ALL

    async def check_crash(
        self, server: Server, identity: RequestIdentity, client: str = ""
    ) -> None:
        """Find out whether a server crashed that gave no complete response.

        `client` is the address of the request's client, for the log.
        """
        lost_ms = self._clock.now_ms()
        finding = await _connect(server)
        if finding is _Finding.UNREACHABLE:
            await self._clock.sleep_ms(RECHECK_MS)
            finding = await _connect(server)
        metrics.CRASH_CHECKS.labels(server.body.service, finding).inc()
        _log.info(
            f"checked a backend server that gave no response: {finding}",
            server_id=server.body.server_id,
            incarnation=server.body.incarnation,
            fingerprint=identity.fingerprint,
            client=client,
        )
        is_silent = finding is _Finding.UNREACHABLE and not self._has_responded(
            server.body.server_id, server.body.incarnation, lost_ms
        )
        if finding is _Finding.REFUSED or is_silent:
            self._publish(server.body, identity)
        else:
            self.watch(server, identity)

    def watch(self, server: Server, identity: RequestIdentity) -> None:
        """Count a crash if the server announces a new incarnation without leaving."""
        until_ms = self._clock.now_ms() + WATCH_MS
        current = self._fleet.store.get(RecordKind.ROUTED_SERVER, server.body.server_id)
        loss = _Loss(server.body, identity, until_ms)
        if current is not None and _is_next_incarnation(current.content, server.body):
            self._publish(server.body, identity)
        else:
            self._losses.append(loss)

    def sweep(self) -> None:
        """Drop what is too old, and crashes of servers that turned out to be alive."""
        now_ms = self._clock.now_ms()
        self._losses = [loss for loss in self._losses if loss.until_ms > now_ms]
        for content, crashes in list(self._crashes.items()):
            for key, crash in list(crashes.items()):
                if now_ms - crash.known_ms >= BLOCK_MS or self._has_responded(
                    crash.server_id,
                    crash.incarnation,
                    crash.known_ms + REPORT_PRECISION_MS,
                ):
                    del crashes[key]
            if not crashes:
                del self._crashes[content]

    def _has_responded(
        self, server_id: ServerId, incarnation: int, since_ms: float
    ) -> bool:
        """Return True if an attempt begun after `since_ms` got a response."""
        server = self._load.get(server_id)
        return (
            server is not None
            # Without a stated start, incarnations can't be told apart.
            and server.body.incarnation == incarnation != 0
            and server.health.last_responded_ms > since_ms
        )

    def _has_common_cause(self, crash: _Crash, crashes: Iterable[_Crash]) -> bool:
        """Return True if many other servers crashed under other requests.

        A request under which several servers crashed is a cause of its own.
        """
        own_ids = {other.server_id for other in crashes}
        other_ids: set[ServerId] = set()
        for by_key in self._crashes.values():
            server_ids = {
                other.server_id
                for other in by_key.values()
                if abs(other.known_ms - crash.known_ms) <= COMMON_CAUSE_MS
            }
            if len(server_ids) == 1:
                other_ids |= server_ids - own_ids
        server_count = sum(1 for _ in self._load.servers_of(crash.service))
        server_count += len(other_ids)
        limit = max(COMMON_CAUSE_MIN_COUNT, server_count * COMMON_CAUSE_RATIO)
        return len(other_ids) >= limit

    def _publish(self, body: RoutedServerBody, identity: RequestIdentity) -> None:
        _log.warning(
            "a backend server crashed while it ran a request",
            server_id=body.server_id,
            incarnation=body.incarnation,
            fingerprint=identity.fingerprint,
        )
        crash = CrashBody(
            body.service,
            identity.fingerprint,
            body.server_id,
            body.incarnation,
            self._fleet.instance_id,
        )
        key = f"{identity.fingerprint}/{body.server_id}/{body.incarnation}"
        owner_id = self._fleet.instance_id
        self._fleet.store.put(
            Record.from_content(
                RecordKind.CRASH, key, owner_id, (0, 0), crash, BLOCK_MS
            )
        )

    def _on_crash(self, record: Record) -> None:
        body: CrashBody = record.content
        content, _, client = body.fingerprint.partition(".")
        if content not in self._crashes and len(self._crashes) >= MAX_CONTENT_COUNT:
            del self._crashes[next(iter(self._crashes))]
        crash = _Crash(
            body.environment,
            client,
            body.server_id,
            body.server_incarnation,
            self._clock.now_ms(),
        )
        self._crashes.setdefault(content, {}).setdefault(record.key, crash)

    def _on_server(self, record: Record) -> None:
        body: RoutedServerBody = record.content
        watched, self._losses = self._losses, []
        for loss in watched:
            if _is_next_incarnation(body, loss.server):
                self._publish(loss.server, loss.identity)
            elif not _has_left(body, loss.server):
                self._losses.append(loss)


def _is_next_incarnation(body: RoutedServerBody, server: RoutedServerBody) -> bool:
    """Return True if `body` announces a server that started in the place of another."""
    return (
        body.phase is BackendPhase.SERVING
        and body.incarnation > server.incarnation
        and (body.server_id == server.server_id or body.address == server.address)
    )


def _has_left(body: RoutedServerBody, server: RoutedServerBody) -> bool:
    return (
        body.phase is not BackendPhase.SERVING
        and body.server_id == server.server_id
        and body.incarnation >= server.incarnation
    )


async def _connect(server: Server) -> _Finding:
    try:
        stream = await open_stream(server.body.address, CONFIRM_TIMEOUT_MS)
    except ConnectRefusedError:
        return _Finding.REFUSED
    except ConnectError:
        return _Finding.UNREACHABLE
    stream.close()
    return _Finding.ACCEPTED
