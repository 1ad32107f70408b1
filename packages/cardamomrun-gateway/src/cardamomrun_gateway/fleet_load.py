"""What the whole fleet has in work at each backend server, as this instance knows it.

Each instance tells all others which attempts it has in work and how its last ones
ended (`load_reports`). A report holds the whole state of its sender, so a lost one is
repaired by the next.
"""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass, field

import xxhash

from cardamomrun_base.clock import MS_PER_S, Clock
from cardamomrun_base.interfaces import RecordStore
from cardamomrun_base.logs import PartLog
from cardamomrun_base.model import (
    BackendPhase,
    InstanceId,
    Kind,
    Record,
    RoutedServerBody,
    ServerId,
)
from cardamomrun_gateway.server_health import AttemptEnd, ServerHealth

__all__ = [
    "AttemptInWork",
    "EndedAttempt",
    "FleetLoad",
    "InstanceLoad",
    "Server",
    "ServiceCount",
]

# An instance whose reports stop has stopped, or is cut off; its attempts end soon.
SILENT_INSTANCE_MS = 1_500
# A process that was killed takes longer than this to report again.
RESTART_MS = 500.0
# A server resets a request within a few milliseconds; an attempt that is older has
# been accepted.
ACCEPTED_MS = 15.0
# Weights of a new answer time in the running means of a server and of its service. A
# server answers a few requests a second, its service many times as many.
SERVER_MEAN_WEIGHT = 0.15
SERVICE_MEAN_WEIGHT = 0.01
# One answer that takes long must not keep a server out of use.
SLOWNESS_MAX = 8.0
# How long an instance leaves a server alone that only it cannot reach.
PATH_BLOCK_FIRST_MS = 1_000.0
PATH_BLOCK_MAX_MS = 5_000.0

_log = PartLog("load")


@dataclass
class Server:
    """A backend server in one incarnation, with its load and health."""

    body: RoutedServerBody
    key: int
    known_since_ms: float
    own_count: int = 0
    others_count: int = 0
    health: ServerHealth = field(default_factory=ServerHealth)
    mean_ms: float | None = None
    blocked_until_ms: float = float("-inf")
    block_ms: float = PATH_BLOCK_FIRST_MS

    @property
    def in_work_count(self) -> int:
        """Attempts of the whole fleet that have not ended."""
        return self.own_count + self.others_count

    @property
    def is_full(self) -> bool:
        """True while all slots are taken."""
        return self.in_work_count >= self.body.slots

    def is_warming_up(self, now_ms: float) -> bool:
        """Return True while the server is slow after its start."""
        return now_ms - self.known_since_ms < self.body.warm_up_ms

    def note_duration(self, duration_ms: float) -> None:
        """Take the time of a good answer."""
        mean_ms = duration_ms if self.mean_ms is None else self.mean_ms
        self.mean_ms = mean_ms + SERVER_MEAN_WEIGHT * (duration_ms - mean_ms)


@dataclass(frozen=True)
class AttemptInWork:
    """An attempt at a server that has not ended."""

    server_key: int
    age_ms: float


@dataclass(frozen=True)
class EndedAttempt:
    """The end of an attempt; `sequence` counts the ends of one instance."""

    sequence: int
    server_key: int
    end: AttemptEnd
    duration_ms: float
    age_ms: float


@dataclass(frozen=True)
class ServiceCount:
    """Requests for a service and further attempts since an instance started."""

    service_key: int
    request_count: int
    extra_count: int


@dataclass(frozen=True)
class InstanceLoad:
    """The whole state that one instance reports.

    `sequence` counts the reports of one run of the instance, `incarnation` names it.
    """

    instance_id: InstanceId
    incarnation: int
    sequence: int
    in_work: tuple[AttemptInWork, ...]
    ended: tuple[EndedAttempt, ...]
    counts: tuple[ServiceCount, ...] = ()


@dataclass
class _Peer:
    incarnation: int
    sequence: int
    heard_ms: float
    last_end: int
    in_work: dict[int, int]


class FleetLoad:
    """The servers of all routed services, and what each instance does with them."""

    def __init__(self, clock: Clock, store: RecordStore) -> None:
        self._clock = clock
        self._by_id: dict[ServerId, Server] = {}
        self._by_key: dict[int, Server] = {}
        self._by_service: dict[str, dict[ServerId, Server]] = {}
        self._peers: dict[InstanceId, _Peer] = {}
        self._means_ms: dict[str, float] = {}
        self._good_counts: dict[str, int] = {}
        self._waiters: set[asyncio.Future[None]] = set()
        store.subscribe(Kind.ROUTED_SERVER, self._on_record)
        for record in store.all(Kind.ROUTED_SERVER):
            self._on_record(record)

    def of_service(self, service: str) -> Iterable[Server]:
        """Return the servers of a service that take new work."""
        return self._by_service.get(service, {}).values()

    def get(self, server_id: ServerId) -> Server | None:
        """Return a server that takes new work."""
        return self._by_id.get(server_id)

    def is_current(self, server: Server) -> bool:
        """Return False once a server leaves or has a newer incarnation."""
        return self._by_id.get(server.body.server_id) is server

    def heard_ms(self, instance_id: InstanceId) -> float | None:
        """Return when the last report of an instance came."""
        peer = self._peers.get(instance_id)
        return None if peer is None else peer.heard_ms

    def judged_end(self, instance_id: InstanceId, incarnation: int) -> int:
        """Return the sequence of the last end of an instance that was judged here."""
        peer = self._peers.get(instance_id)
        if peer is None or peer.incarnation != incarnation:
            return 0
        return peer.last_end

    def take(self, load: InstanceLoad) -> None:
        """Merge the report of another instance; an old one is dropped."""
        now_ms = self._clock.now_ms()
        peer = self._peers.get(load.instance_id)
        if peer is not None and not _follows(load, peer, now_ms):
            return
        if peer is None or peer.incarnation != load.incarnation:
            last_end = min((end.sequence for end in load.ended), default=1) - 1
        else:
            last_end = peer.last_end
        self._forget(peer)
        in_work: dict[int, int] = {}
        for attempt in load.in_work:
            in_work[attempt.server_key] = in_work.get(attempt.server_key, 0) + 1
            server = self._by_key.get(attempt.server_key)
            if server is not None:
                server.others_count += 1
                if attempt.age_ms > ACCEPTED_MS:
                    server.health.survived(now_ms - attempt.age_ms)
        self._peers[load.instance_id] = _Peer(
            load.incarnation, load.sequence, now_ms, last_end, in_work
        )
        self._take_ends(self._peers[load.instance_id], load, now_ms)
        self._notify()

    def started(self, server: Server) -> None:
        """Count an attempt of this instance."""
        server.own_count += 1

    def slowness(self, server: Server) -> float:
        """Return how much longer a server takes than the others of its service."""
        mean_ms = self._means_ms.get(server.body.service)
        if mean_ms is None or server.mean_ms is None:
            return 1.0
        return min(SLOWNESS_MAX, server.mean_ms / mean_ms)

    def ended(self, server: Server, end: AttemptEnd, started_ms: float) -> None:
        """Count the end of an attempt of this instance and judge the server by it."""
        now_ms = self._clock.now_ms()
        server.own_count -= 1
        self._notify()
        self._judge(server, end, started_ms, now_ms, "own")
        if end is AttemptEnd.GOOD:
            server.block_ms = PATH_BLOCK_FIRST_MS
        elif end is AttemptEnd.UNREACHABLE:
            server.blocked_until_ms = now_ms + server.block_ms
            server.block_ms = min(PATH_BLOCK_MAX_MS, 2 * server.block_ms)

    def overdue(self, server: Server, started_ms: float) -> None:
        """Judge a server by an attempt that takes much longer than usual.

        Not while it is full: requests then wait for each other, whoever runs them.
        """
        if server.is_full:
            return
        now_ms = self._clock.now_ms()
        self._judge(server, AttemptEnd.OVERDUE, started_ms, now_ms, "own")

    async def wait_changed(self, timeout_ms: float) -> None:
        """Return once the load or health of a server changed, or after a time."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.add(waiter)
        try:
            await asyncio.wait({waiter}, timeout=timeout_ms / MS_PER_S)
        finally:
            self._waiters.discard(waiter)

    def drop_silent(self) -> None:
        """Forget the attempts of instances that stopped reporting."""
        limit_ms = self._clock.now_ms() - SILENT_INSTANCE_MS
        for instance_id, peer in list(self._peers.items()):
            if peer.heard_ms < limit_ms and peer.in_work:
                _log.info("an instance stopped reporting", peer_id=instance_id)
                self._forget(peer)
                peer.in_work = {}
                self._notify()

    def _notify(self) -> None:
        waiters, self._waiters = self._waiters, set()
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    def _forget(self, peer: _Peer | None) -> None:
        if peer is None:
            return
        for key, count in peer.in_work.items():
            server = self._by_key.get(key)
            if server is not None:
                server.others_count -= count

    def _take_ends(self, peer: _Peer, load: InstanceLoad, now_ms: float) -> None:
        for ended in load.ended:
            if ended.sequence <= peer.last_end:
                continue
            peer.last_end = ended.sequence
            server = self._by_key.get(ended.server_key)
            if server is not None:
                ended_ms = now_ms - ended.age_ms
                started_ms = ended_ms - ended.duration_ms
                self._judge(server, ended.end, started_ms, ended_ms, load.instance_id)

    def _judge(
        self,
        server: Server,
        end: AttemptEnd,
        started_ms: float,
        ended_ms: float,
        source: str,
    ) -> None:
        if end is AttemptEnd.GOOD:
            self._note_duration(server, ended_ms - started_ms)
        if server.health.note(end, started_ms, ended_ms):
            state = "doubts" if server.health.is_doubted else "trusts"
            _log.info(
                f"{state} a backend server",
                server_id=server.body.server_id,
                service=server.body.service,
                cause=end.name.lower(),
                told_by=source,
            )

    def _note_duration(self, server: Server, duration_ms: float) -> None:
        server.note_duration(duration_ms)
        service = server.body.service
        count = self._good_counts[service] = self._good_counts.get(service, 0) + 1
        weight = max(SERVICE_MEAN_WEIGHT, 1 / count)
        mean_ms = self._means_ms.get(service, 0.0)
        mean_ms += weight * (duration_ms - mean_ms)
        self._means_ms[service] = max(1.0, mean_ms)

    def _on_record(self, record: Record) -> None:
        body: RoutedServerBody = record.content
        held = self._by_id.get(body.server_id)
        is_serving = body.phase is BackendPhase.SERVING
        if held is not None and is_serving and _same_run(held.body, body):
            held.body = body
            return
        if held is not None:
            self._remove(held)
        if is_serving:
            self._add(body)
        self._notify()

    def _add(self, body: RoutedServerBody) -> None:
        for other in list(self._by_id.values()):
            # Two servers cannot have one address: the one that started first is gone.
            if other.body.address == body.address:
                if other.body.incarnation > body.incarnation:
                    return
                self._remove(other)
        key = _server_key(body)
        server = Server(body, key, self._clock.now_ms())
        self._by_id[body.server_id] = server
        self._by_key[key] = server
        self._by_service.setdefault(body.service, {})[body.server_id] = server
        server.others_count = sum(
            peer.in_work.get(key, 0) for peer in self._peers.values()
        )
        _log.info(
            "a backend server takes work",
            server_id=body.server_id,
            service=body.service,
            incarnation=body.incarnation,
            address=body.address,
        )

    def _remove(self, server: Server) -> None:
        body = server.body
        del self._by_id[body.server_id]
        if self._by_key.get(server.key) is server:
            del self._by_key[server.key]
        del self._by_service[body.service][body.server_id]
        _log.info(
            "a backend server takes no more work",
            server_id=body.server_id,
            service=body.service,
            incarnation=body.incarnation,
        )


def _follows(load: InstanceLoad, peer: _Peer, now_ms: float) -> bool:
    """Return True if a report is newer than the last one of its instance."""
    if load.incarnation == peer.incarnation:
        return load.sequence > peer.sequence
    # Incarnations come from the time of day, which may have been set back before a
    # restart; a run that reports no more is over in any case.
    is_over = now_ms - peer.heard_ms >= RESTART_MS
    return load.incarnation > peer.incarnation or is_over


def _same_run(one: RoutedServerBody, other: RoutedServerBody) -> bool:
    return (
        one.incarnation == other.incarnation
        and one.address == other.address
        and one.service == other.service
    )


def _server_key(body: RoutedServerBody) -> int:
    text = f"{body.service}\0{body.server_id}\0{body.incarnation}\0{body.address}"
    return xxhash.xxh32_intdigest(text.encode())
