"""What the whole fleet has in work at each backend server, as this instance knows it.

Each instance tells the relay of its failure domain which attempts it has in work and
how its last ones ended, and relays tell everyone the sum of their domain
(`load_reports`). A message holds the whole state of a domain, so a lost one is repaired
by the next.
"""

import asyncio
from collections.abc import Callable, Iterable
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
from cardamomrun_gateway.load_model import DomainLoad, OwnState, instance_key
from cardamomrun_gateway.server_health import AttemptEnd, ServerHealth

__all__ = ["FleetLoad", "Server"]

# Nobody acts on counts that are older than this: a relay that is silent so long is
# dead, frozen or cut off, and another one speaks for its domain.
SILENT_RELAY_MS = 1_500
# A relay that is silent for this long ends as soon as another one speaks for one of
# its instances; attempts would be counted twice.
REPLACED_RELAY_MS = 300.0
# A process that was killed takes longer than this to send again.
RESTART_MS = 500.0
TAG_MASK = 0xFFFF
# New servers that share a line of the log; it stays within a few kilobytes.
LOGGED_SERVER_COUNT = 100
# Weights of a new answer time in the running means of a server and of its service. A
# server answers a few requests a second, its service many times as many.
SERVER_MEAN_WEIGHT = 0.15
SERVICE_MEAN_WEIGHT = 0.01
# One answer that takes long must not keep a server out of use.
SLOWNESS_MAX = 8.0
# An instance that starts knows nothing of any server until the first messages come.
UNTRIED_FIRST_MS = 2_000.0
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

    def is_untried(self, now_ms: float) -> bool:
        """Return True for a server that joined a while ago and has had no attempt."""
        age_ms = now_ms - self.known_since_ms
        return (
            self.in_work_count == 0
            and not self.health.has_evidence
            and age_ms >= UNTRIED_FIRST_MS
            and not self.is_warming_up(now_ms)
        )

    def note_duration(self, duration_ms: float) -> None:
        """Take the time of a good answer."""
        mean_ms = duration_ms if self.mean_ms is None else self.mean_ms
        self.mean_ms = mean_ms + SERVER_MEAN_WEIGHT * (duration_ms - mean_ms)


@dataclass
class _Relay:
    """What one relay told last.

    `others` are attempts of other instances, by server. `counts` contain those of this
    instance up to `own_counts`.
    """

    incarnation: int
    sequence: int
    heard_ms: float
    last_end: int
    own_sequence: int = 0
    others: dict[int, int] = field(default_factory=dict)
    counts: dict[int, tuple[int, int]] = field(default_factory=dict)
    own_counts: dict[int, tuple[int, int]] = field(default_factory=dict)


class FleetLoad:
    """The servers of all routed services, and what each instance does with them."""

    def __init__(
        self, clock: Clock, store: RecordStore, instance_id: InstanceId = ""
    ) -> None:
        self._clock = clock
        self._own_key = instance_key(instance_id)
        self._by_id: dict[ServerId, Server] = {}
        self._by_key: dict[int, Server] = {}
        self._by_service: dict[str, dict[ServerId, Server]] = {}
        self._relays: dict[int, _Relay] = {}
        self._new_servers: list[str] = []
        self._relay_of: dict[int, int] = {}
        self._heard_ms: dict[int, float] = {}
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
        """Return when a relay last named an instance among those that report to it."""
        return self._heard_ms.get(instance_key(instance_id))

    def take(
        self, load: DomainLoad, own_report: Callable[[int], OwnState | None]
    ) -> dict[int, tuple[int, int]]:
        """Merge a message of a relay; an old one is dropped.

        `own_report` returns what a report of this instance contained. Returns the
        requests and further attempts of other instances since the last message, by
        service.
        """
        now_ms = self._clock.now_ms()
        relay = self._relays.get(load.relay_key)
        if relay is not None and not _follows(load, relay, now_ms):
            return {}
        if relay is None or relay.incarnation != load.incarnation:
            self._forget(relay)
            first_end = min((end.ended.sequence for end in load.ended), default=1)
            relay = _Relay(load.incarnation, load.sequence, now_ms, first_end - 1)
            self._relays[load.relay_key] = relay
        relay.sequence, relay.heard_ms = load.sequence, now_ms
        self._take_roll_call(load, relay, now_ms)
        if load.in_work is not None:
            self._take_work(load, relay, own_report, now_ms)
        self._take_ends(relay, load, now_ms)
        self._notify()
        return _counted_by_others(load, relay, own_report)

    def started(self, server: Server) -> None:
        """Count an attempt of this instance."""
        server.own_count += 1

    def slowness(self, server: Server) -> float:
        """Return how much longer a server takes than the others of its service."""
        mean_ms = self._means_ms.get(server.body.service)
        if mean_ms is None or server.mean_ms is None:
            return 1.0
        return min(SLOWNESS_MAX, server.mean_ms / mean_ms)

    def ended(self, server: Server, end: AttemptEnd, started_ms: float) -> bool:
        """Count the end of an attempt of this instance and judge the server by it.

        Returns True if doubt in the server began or ended.
        """
        now_ms = self._clock.now_ms()
        server.own_count -= 1
        self._notify()
        has_changed = self._judge(server, end, started_ms, now_ms, "own")
        if end is AttemptEnd.GOOD:
            server.block_ms = PATH_BLOCK_FIRST_MS
        elif end is AttemptEnd.UNREACHABLE:
            server.blocked_until_ms = now_ms + server.block_ms
            server.block_ms = min(PATH_BLOCK_MAX_MS, 2 * server.block_ms)
        return has_changed

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

    def tick(self) -> None:
        """Forget the counts of relays that stopped sending, and log new servers."""
        self._log_new_servers()
        limit_ms = self._clock.now_ms() - SILENT_RELAY_MS
        for key, relay in list(self._relays.items()):
            if relay.heard_ms < limit_ms:
                self._drop(key, relay)

    def _log_new_servers(self) -> None:
        # Each instance hears of every server: at a start one line each is most of the
        # work that the records cost.
        if self._new_servers:
            servers, self._new_servers = self._new_servers, []
            _log.info("backend servers take work", servers=" ".join(servers))

    def _drop(self, key: int, relay: _Relay) -> None:
        del self._relays[key]
        if relay.others:
            _log.warning(
                "drops the counts of a silent relay",
                relay_key=key,
                silent_ms=round(self._clock.now_ms() - relay.heard_ms),
                attempts=sum(relay.others.values()),
            )
        self._forget(relay)
        self._notify()

    def _notify(self) -> None:
        waiters, self._waiters = self._waiters, set()
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    def _forget(self, relay: _Relay | None) -> None:
        if relay is None:
            return
        self._use_counts(relay, {})

    def _use_counts(self, relay: _Relay, others: dict[int, int]) -> None:
        """Replace what a relay's instances, but this one, have in work."""
        for key, count in relay.others.items():
            server = self._by_key.get(key)
            if server is not None:
                server.others_count -= count
        for key, count in others.items():
            server = self._by_key.get(key)
            if server is not None:
                server.others_count += count
        relay.others = others

    def _take_roll_call(self, load: DomainLoad, relay: _Relay, now_ms: float) -> None:
        for key, sequence in load.taken:
            if sequence:
                self._heard_ms[key] = now_ms
                self._end_replaced(key, load.relay_key, now_ms)
                self._relay_of[key] = load.relay_key
            if key == self._own_key:
                relay.own_sequence = sequence

    def _end_replaced(self, instance: int, relay_key: int, now_ms: float) -> None:
        """Drop a silent relay whose instance reports to another one now."""
        before = self._relay_of.get(instance, relay_key)
        relay = self._relays.get(before)
        if before == relay_key or relay is None:
            return
        if now_ms - relay.heard_ms > REPLACED_RELAY_MS:
            self._drop(before, relay)

    def _take_work(
        self,
        load: DomainLoad,
        relay: _Relay,
        own_report: Callable[[int], OwnState | None],
        now_ms: float,
    ) -> None:
        own = own_report(relay.own_sequence) if relay.own_sequence else None
        others = {}
        for work in load.in_work or ():
            count = work.count
            if own is not None:
                count -= own.in_work.get(work.server_key, 0)
            if count > 0:
                others[work.server_key] = count
            server = self._by_key.get(work.server_key)
            if server is not None and work.accepted_ms is not None:
                server.health.survived(now_ms - work.accepted_ms)
        self._use_counts(relay, others)

    def _take_ends(self, relay: _Relay, load: DomainLoad, now_ms: float) -> None:
        for one in load.ended:
            ended = one.ended
            if ended.sequence <= relay.last_end:
                continue
            relay.last_end = ended.sequence
            server = self._by_key.get(ended.server_key)
            # Own ends were judged when they came.
            if server is not None and one.instance_tag != self._own_key & TAG_MASK:
                ended_ms = now_ms - ended.age_ms
                started_ms = ended_ms - ended.duration_ms
                self._judge(server, ended.end, started_ms, ended_ms, "others")

    def _judge(
        self,
        server: Server,
        end: AttemptEnd,
        started_ms: float,
        ended_ms: float,
        source: str,
    ) -> bool:
        if end is AttemptEnd.GOOD:
            self._note_duration(server, ended_ms - started_ms)
        if not server.health.note(end, started_ms, ended_ms):
            return False
        state = "doubts" if server.health.is_doubted else "trusts"
        _log.info(
            f"{state} a backend server",
            server_id=server.body.server_id,
            service=server.body.service,
            cause=end.name.lower(),
            told_by=source,
        )
        return True

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
            relay.others.get(key, 0) for relay in self._relays.values()
        )
        self._new_servers.append(f"{body.server_id}/{body.incarnation}")
        if len(self._new_servers) >= LOGGED_SERVER_COUNT:
            self._log_new_servers()

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


def _follows(load: DomainLoad, relay: _Relay, now_ms: float) -> bool:
    """Return True if a message is newer than the last one of its relay."""
    if load.incarnation == relay.incarnation:
        return load.sequence > relay.sequence
    # Incarnations come from the time of day, which may have been set back before a
    # restart; a run that sends no more is over in any case.
    is_over = now_ms - relay.heard_ms >= RESTART_MS
    return load.incarnation > relay.incarnation or is_over


def _counted_by_others(
    load: DomainLoad, relay: _Relay, own_report: Callable[[int], OwnState | None]
) -> dict[int, tuple[int, int]]:
    """Return what instances but this one counted since the relay's last counts."""
    if not load.counts:
        return {}
    own = own_report(relay.own_sequence) if relay.own_sequence else None
    own_counts = own.counts if own is not None else relay.own_counts
    found = {}
    for count in load.counts:
        key = count.service_key
        held = relay.counts.get(key)
        relay.counts[key] = (count.request_count, count.extra_count)
        own_before = relay.own_counts.get(key)
        own_now = own_counts.get(key, (0, 0))
        if held is None:
            # What was counted before this instance heard of it is not recent.
            continue
        requests = count.request_count - held[0]
        extras = count.extra_count - held[1]
        if own_before is not None:
            requests -= own_now[0] - own_before[0]
            extras -= own_now[1] - own_before[1]
        found[key] = (max(0, requests), max(0, extras))
    relay.own_counts = dict(own_counts)
    return found


def _same_run(one: RoutedServerBody, other: RoutedServerBody) -> bool:
    return (
        one.incarnation == other.incarnation
        and one.address == other.address
        and one.service == other.service
    )


def _server_key(body: RoutedServerBody) -> int:
    text = f"{body.service}\0{body.server_id}\0{body.incarnation}\0{body.address}"
    return xxhash.xxh32_intdigest(text.encode())
