"""Load and health of backend servers, from the attempts of the whole fleet.

Each instance reports its attempts in flight and how its last ones ended to the relay of
its failure domain, and relays send the sums of their domain to all instances
(`load_reports`). A message holds the whole state of a domain, so the next one makes up
for a lost one.
"""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import xxhash

from cardamomrun_base.clock import MS_PER_S, Clock
from cardamomrun_base.interfaces import RecordStore
from cardamomrun_base.logs import ComponentLog
from cardamomrun_base.model import (
    BackendPhase,
    InstanceId,
    Record,
    RecordKind,
    RoutedServerBody,
    ServerId,
)
from cardamomrun_gateway.load_model import DomainLoad, ReportedState, instance_key
from cardamomrun_gateway.paths import ConnectFailures, OwnPaths
from cardamomrun_gateway.rate_limit import StatedLimit
from cardamomrun_gateway.server_health import (
    CONNECT_FAILURES,
    RESPONSE_ENDS,
    AttemptEnd,
    ServerHealth,
)
from cardamomrun_gateway.server_pause import ServerPause
from cardamomrun_gateway.table import GOLDEN_RATIO

__all__ = ["FleetLoad", "Server"]

# Counts older than this are dropped: a relay that is silent for so long has failed or
# is unreachable, and another one reports for its domain.
SILENT_RELAY_MS = 1_500
# The counts of a relay that is silent for this long are dropped once another one
# reports for one of its instances; the same attempts would count twice.
REPLACED_RELAY_MS = 300.0
# A killed process takes longer than this to send again.
RESTART_MS = 500.0
TAG_MASK = 0xFFFF
# New servers in one line of the log, which stays within a few kilobytes.
LOGGED_SERVER_COUNT = 100
# Weights of a new response time in the running means of a server and of its service. A
# server has a few responses a second, its service many times as many.
SERVER_MEAN_WEIGHT = 0.15
SERVICE_MEAN_WEIGHT = 0.01
# Bounds the effect of one slow response, which must not keep a server out of use.
LATENCY_RATIO_MAX = 8.0
# After its start an instance knows of no attempts until the first messages arrive.
UNTRIED_MIN_AGE_MS = 2_000.0
# How long an instance does not use a server that it cannot reach; the time doubles with
# each failure up to the maximum.
PATH_BLOCK_FIRST_MS = 1_000.0
PATH_BLOCK_MAX_MS = 5_000.0
# Counts of a relay that was not heard for longer may be of requests that are not recent.
RECENT_COUNTS_MS = 2_000.0
# For this long after its start an instance hears relays that have run before it.
FIRST_COUNTS_MS = 10_000.0
# Runs of servers that this instance remembers as left, the latest ones.
RETIRED_COUNT = 10_000

_log = ComponentLog("load")


@dataclass
class Server:
    """A backend server in one incarnation, with its load and health.

    `avoided_until_ms` is what other instances tell of a pause or a departure.
    """

    body: RoutedServerBody
    key: int
    known_since_ms: float
    own_count: int = 0
    others_count: int = 0
    health: ServerHealth = field(default_factory=ServerHealth)
    mean_ms: float | None = None
    blocked_until_ms: float = float("-inf")
    block_ms: float = PATH_BLOCK_FIRST_MS
    limit: StatedLimit | None = None
    avoided_until_ms: float = float("-inf")
    pause: ServerPause = field(default_factory=ServerPause)

    @property
    def in_flight_count(self) -> int:
        """Attempts of the whole fleet that have not ended."""
        return self.own_count + self.others_count

    @property
    def is_full(self) -> bool:
        """True while all slots are in use."""
        return self.in_flight_count >= self.body.slots

    def is_avoided(self, now_ms: float) -> bool:
        """Return True while others say that the server leaves or pauses."""
        return now_ms < self.avoided_until_ms

    def wants_request(self, now_ms: float) -> bool:
        """Return False while the server pauses or is tried after a pause."""
        return self.pause.allows_request(now_ms, self.own_count)

    def is_warming_up(self, now_ms: float) -> bool:
        """Return True while the server is slow after its start."""
        return now_ms - self.known_since_ms < self.body.warm_up_ms

    def is_untried(self, now_ms: float) -> bool:
        """Return True for a server that no instance has used yet.

        It must have been known for `UNTRIED_MIN_AGE_MS`, and be warmed up.
        """
        age_ms = now_ms - self.known_since_ms
        return (
            self.in_flight_count == 0
            and not self.health.has_evidence
            and age_ms >= UNTRIED_MIN_AGE_MS
            and not self.is_warming_up(now_ms)
        )

    def record_duration(self, duration_ms: float) -> None:
        """Add the duration of a successful attempt to the mean."""
        mean_ms = duration_ms if self.mean_ms is None else self.mean_ms
        self.mean_ms = mean_ms + SERVER_MEAN_WEIGHT * (duration_ms - mean_ms)


@dataclass
class _Relay:
    """State from the messages of one relay.

    `others_in_flight` counts attempts of other instances by server.
    """

    incarnation: int
    sequence: int
    last_received_ms: float
    last_end: int
    own_sequence: int = 0
    others_in_flight: dict[int, int] = field(default_factory=dict)


@dataclass
class _RelayCounts:
    """The last counts of one run of a relay, kept while it is silent.

    `counts` include `own_counts` of this instance.
    """

    incarnation: int
    last_received_ms: float
    counts: dict[int, tuple[int, int]] = field(default_factory=dict)
    own_counts: dict[int, tuple[int, int]] = field(default_factory=dict)

    def add(
        self, service_key: int, counts: tuple[int, int], own: ReportedState | None
    ) -> tuple[int, int]:
        """Replace the counts of a service; return what others have added to them.

        `own` is the state of this instance in the new counts, None if it has no part.
        """
        old_requests, old_retries = self.counts.get(service_key, (0, 0))
        self.counts[service_key] = counts
        requests, retries = counts[0] - old_requests, counts[1] - old_retries
        if own is not None:
            own_requests, own_retries = own.counts.get(service_key, (0, 0))
            known = self.own_counts.get(service_key, (0, 0))
            base = own.base.get(service_key, (0, 0))
            requests -= own_requests - max(known[0], base[0])
            retries -= own_retries - max(known[1], base[1])
        return max(0, requests), max(0, retries)


class FleetLoad:
    """The backend servers of all routed services, with their load and health.

    `own_key` identifies this instance in messages. `included_counts` are the requests
    and retries of this instance that relays have told to others, by service.
    """

    def __init__(
        self,
        clock: Clock,
        store: RecordStore,
        instance_id: InstanceId = "",
        paths: OwnPaths | None = None,
    ) -> None:
        self._clock = clock
        self._paths = paths or OwnPaths(clock)
        self._connect_failures: dict[int, ConnectFailures] = {}
        self.own_key = instance_key(instance_id)
        self._by_id: dict[ServerId, Server] = {}
        self._by_key: dict[int, Server] = {}
        self._by_service: dict[str, dict[ServerId, Server]] = {}
        self._relays: dict[int, _Relay] = {}
        self._started_ms = clock.now_ms()
        self._counts_by_relay: dict[int, _RelayCounts] = {}
        self.included_counts: dict[int, tuple[int, int]] = {}
        self._new_servers: list[str] = []
        self._retired: dict[ServerId, int] = {}
        self._relay_by_instance: dict[int, int] = {}
        self._last_seen_ms: dict[int, float] = {}
        self._service_means_ms: dict[str, float] = {}
        self._good_counts: dict[str, int] = {}
        self._waiters: set[asyncio.Future[None]] = set()
        store.subscribe(RecordKind.ROUTED_SERVER, self._on_record)
        for record in store.all(RecordKind.ROUTED_SERVER):
            self._on_record(record)

    def servers_of(self, service: str) -> Iterable[Server]:
        """Return the servers of a service that accept new requests."""
        return self._by_service.get(service, {}).values()

    def get(self, server_id: ServerId) -> Server | None:
        """Return a server that accepts new requests, or None."""
        return self._by_id.get(server_id)

    def by_key(self, key: int) -> Server | None:
        """Return the server that reports identify by this key, or None."""
        return self._by_key.get(key)

    def is_current(self, server: Server) -> bool:
        """Return False once a server has left or has a newer incarnation."""
        return self._by_id.get(server.body.server_id) is server

    def retire(self, server: Server) -> bool:
        """Stop the use of a server that says that it leaves, for this incarnation.

        Later announcements of it don't count. Returns False if that was known.
        """
        body = server.body
        if self._retired.get(body.server_id, -1) >= body.incarnation:
            return False
        self._retired.pop(body.server_id, None)
        self._retired[body.server_id] = body.incarnation
        if len(self._retired) > RETIRED_COUNT:
            del self._retired[next(iter(self._retired))]
        if self.is_current(server):
            self._remove(server)
            self._notify()
        return True

    def spread_ratio(self, server: Server) -> float:
        """Return a number from 0 to 1 that differs by instance and server.

        Instances use it to return to a server one after the other.
        """
        return ((self.own_key ^ server.key) * GOLDEN_RATIO) % 1.0

    def last_seen_ms(self, instance_id: InstanceId) -> float | None:
        """Return when a relay last included a report of an instance; None if never."""
        return self._last_seen_ms.get(instance_key(instance_id))

    def merge(
        self, load: DomainLoad, own_report: Callable[[int], ReportedState | None]
    ) -> dict[int, tuple[int, int]]:
        """Merge a message of a relay; an old one is dropped.

        `own_report` returns the state in a report of this instance. Returns the
        requests and retries of other instances since the last message, by service.
        """
        now_ms = self._clock.now_ms()
        relay = self._relays.get(load.relay_key)
        if relay is not None and not _is_newer(load, relay, now_ms):
            return {}
        if relay is None or relay.incarnation != load.incarnation:
            self._clear_counts(relay)
            first_end = min((end.ended.sequence for end in load.ended), default=1)
            relay = _Relay(load.incarnation, load.sequence, now_ms, first_end - 1)
            self._relays[load.relay_key] = relay
        relay.sequence, relay.last_received_ms = load.sequence, now_ms
        self._merge_included_reports(load, relay, now_ms)
        if load.in_flight is not None:
            self._merge_in_flight(load, relay, own_report, now_ms)
        self._merge_ends(relay, load, now_ms)
        self._notify()
        own = own_report(relay.own_sequence) if relay.own_sequence else None
        return self._count_others(load, own, now_ms)

    def attempt_started(self, server: Server) -> None:
        """Count an attempt of this instance."""
        server.own_count += 1

    def latency_ratio(self, server: Server) -> float:
        """Return a server's mean response time as a multiple of its service's.

        1 until there are responses, at most `LATENCY_RATIO_MAX`.
        """
        mean_ms = self._service_means_ms.get(server.body.service)
        if mean_ms is None or server.mean_ms is None:
            return 1.0
        return min(LATENCY_RATIO_MAX, server.mean_ms / mean_ms)

    def attempt_ended(self, server: Server, end: AttemptEnd, started_ms: float) -> bool:
        """Count the end of an attempt of this instance and record it as evidence.

        Returns True if suspicion of the server began or ended.
        """
        now_ms = self._clock.now_ms()
        server.own_count -= 1
        self._notify()
        own_tag = self.own_key & TAG_MASK
        has_changed = self._record_end(server, end, started_ms, now_ms, own_tag)
        if end in CONNECT_FAILURES:
            self._paths.record_failure(server.key, len(self._by_id))
        elif end in RESPONSE_ENDS:
            self._paths.record_response(started_ms)
            server.pause.record_response(started_ms)
        if end is AttemptEnd.GOOD:
            server.block_ms = PATH_BLOCK_FIRST_MS
        elif end is AttemptEnd.UNREACHABLE:
            server.blocked_until_ms = now_ms + server.block_ms
            server.block_ms = min(PATH_BLOCK_MAX_MS, 2 * server.block_ms)
        return has_changed

    def attempt_overdue(self, server: Server, started_ms: float) -> None:
        """Record an overdue attempt of this instance as evidence about the server.

        Ignored while the server is full: requests then wait for each other.
        """
        if server.is_full:
            return
        now_ms = self._clock.now_ms()
        own_tag = self.own_key & TAG_MASK
        self._record_end(server, AttemptEnd.OVERDUE, started_ms, now_ms, own_tag)

    async def check_paths(self) -> None:
        """Check once whether this instance reaches servers, when that is due."""
        await self._paths.wait_check_due()
        addresses = {server.key: server.body.address for server in self._by_id.values()}
        if await self._paths.check(addresses):
            for server in self._by_id.values():
                server.blocked_until_ms = float("-inf")
                server.block_ms = PATH_BLOCK_FIRST_MS
            self._notify()

    async def wait_changed(self, timeout_ms: float) -> None:
        """Return once the load or health of a server changed, or after the timeout."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.add(waiter)
        try:
            await asyncio.wait({waiter}, timeout=timeout_ms / MS_PER_S)
        finally:
            self._waiters.discard(waiter)

    def run_maintenance(self) -> None:
        """Drop the counts of relays that stopped sending, and log new servers."""
        self._log_new_servers()
        limit_ms = self._clock.now_ms() - SILENT_RELAY_MS
        for key, relay in list(self._relays.items()):
            if relay.last_received_ms < limit_ms:
                self._drop_relay(key, relay)

    def _log_new_servers(self) -> None:
        # Each instance receives the record of every server. With one line for each, the
        # log is most of the cost of the records at a start.
        if self._new_servers:
            servers, self._new_servers = self._new_servers, []
            _log.info("backend servers accept requests", servers=" ".join(servers))

    def _drop_relay(self, key: int, relay: _Relay) -> None:
        del self._relays[key]
        if relay.others_in_flight:
            _log.warning(
                "drops the counts of a silent relay",
                relay_key=key,
                silent_ms=round(self._clock.now_ms() - relay.last_received_ms),
                attempts=sum(relay.others_in_flight.values()),
            )
        self._clear_counts(relay)
        self._notify()

    def _notify(self) -> None:
        waiters, self._waiters = self._waiters, set()
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    def _clear_counts(self, relay: _Relay | None) -> None:
        if relay is None:
            return
        self._replace_counts(relay, {})

    def _replace_counts(self, relay: _Relay, others: dict[int, int]) -> None:
        """Replace the attempts in flight of a relay's instances but this one."""
        for key, count in relay.others_in_flight.items():
            server = self._by_key.get(key)
            if server is not None:
                server.others_count -= count
        for key, count in others.items():
            server = self._by_key.get(key)
            if server is not None:
                server.others_count += count
        relay.others_in_flight = others

    def _merge_included_reports(
        self, load: DomainLoad, relay: _Relay, now_ms: float
    ) -> None:
        for key, sequence in load.included_reports:
            if sequence:
                self._last_seen_ms[key] = now_ms
                self._drop_replaced_relay(key, load.relay_key, now_ms)
                self._relay_by_instance[key] = load.relay_key
            if key == self.own_key:
                relay.own_sequence = sequence

    def _drop_replaced_relay(
        self, instance: int, relay_key: int, now_ms: float
    ) -> None:
        """Drop a silent relay if its instance now reports to another one."""
        before = self._relay_by_instance.get(instance, relay_key)
        relay = self._relays.get(before)
        if before == relay_key or relay is None:
            return
        if now_ms - relay.last_received_ms > REPLACED_RELAY_MS:
            self._drop_relay(before, relay)

    def _merge_in_flight(
        self,
        load: DomainLoad,
        relay: _Relay,
        own_report: Callable[[int], ReportedState | None],
        now_ms: float,
    ) -> None:
        own = own_report(relay.own_sequence) if relay.own_sequence else None
        others = {}
        for key, count, _, accepted_ms in load.in_flight or ():
            if own is not None:
                count -= own.in_flight.get(key, 0)
            if count > 0:
                others[key] = count
            server = self._by_key.get(key)
            if server is not None and accepted_ms is not None:
                server.health.record_accepted(now_ms - accepted_ms)
        self._replace_counts(relay, others)

    def _merge_ends(self, relay: _Relay, load: DomainLoad, now_ms: float) -> None:
        for tag, ended in load.ended:
            if ended.sequence <= relay.last_end:
                continue
            relay.last_end = ended.sequence
            server = self._by_key.get(ended.server_key)
            # Own ends were recorded when they came.
            if server is not None and tag != self.own_key & TAG_MASK:
                ended_ms = now_ms - ended.age_ms
                started_ms = ended_ms - ended.duration_ms
                self._record_end(server, ended.end, started_ms, ended_ms, tag)

    def _record_end(
        self,
        server: Server,
        end: AttemptEnd,
        started_ms: float,
        ended_ms: float,
        instance_tag: int,
    ) -> bool:
        if end is AttemptEnd.GOOD:
            self._record_duration(server, ended_ms - started_ms)
        if self._has_lost_paths(instance_tag, server, end, started_ms, ended_ms):
            return False
        if not server.health.record_end(end, started_ms, ended_ms, instance_tag):
            return False
        # The logs say "doubts" for a suspected server.
        state = "doubts" if server.health.is_suspected else "trusts"
        _log.info(
            f"{state} a backend server",
            server_id=server.body.server_id,
            service=server.body.service,
            cause=end.name.lower(),
            told_by="own" if instance_tag == self.own_key & TAG_MASK else "others",
            instance_tag=instance_tag,
        )
        return True

    def _has_lost_paths(
        self,
        instance_tag: int,
        server: Server,
        end: AttemptEnd,
        started_ms: float,
        ended_ms: float,
    ) -> bool:
        """Return True if a failed connection shows more about the instance.

        That is so if the instance failed to reach another server just before. What that
        one was charged with is withdrawn.
        """
        if end in RESPONSE_ENDS:
            failures = self._connect_failures.get(instance_tag)
            if failures is not None:
                failures.add_response(started_ms)
            return False
        if end not in CONNECT_FAILURES:
            return False
        failures = self._connect_failures.setdefault(instance_tag, ConnectFailures())
        failures.add(server.key, ended_ms)
        if len(failures) < 2:
            return False
        for key in failures.server_keys:
            charged = self._by_key.get(key)
            if charged is None:
                continue
            if charged.health.retract_connect_failure(instance_tag):
                _log.info(
                    "trusts a backend server again: an instance can't reach any",
                    server_id=charged.body.server_id,
                    instance_tag=instance_tag,
                )
        return True

    def _count_others(
        self, load: DomainLoad, own: ReportedState | None, now_ms: float
    ) -> dict[int, tuple[int, int]]:
        """Return the requests and retries of other instances since the last counts.

        Of what may not be recent only the retries count. An instance that has just
        started takes the first counts of a relay for old.
        """
        if not load.counts:
            return {}
        relay = self._counts_by_relay.get(load.relay_key)
        is_first = relay is None or relay.incarnation != load.incarnation
        if relay is None or is_first:
            relay = _RelayCounts(load.incarnation, float("-inf"))
            self._counts_by_relay[load.relay_key] = relay
        is_recent = now_ms - relay.last_received_ms <= RECENT_COUNTS_MS
        relay.last_received_ms = now_ms
        counts_by_service = {}
        for key, request_count, retry_count in load.counts:
            requests, retries = relay.add(key, (request_count, retry_count), own)
            counts_by_service[key] = (requests if is_recent else 0, retries)
        if own is not None:
            relay.own_counts = own.counts
            _raise_counts(self.included_counts, own.counts)
        if is_first and now_ms - self._started_ms < FIRST_COUNTS_MS:
            return {}
        return counts_by_service

    def _record_duration(self, server: Server, duration_ms: float) -> None:
        server.record_duration(duration_ms)
        service = server.body.service
        count = self._good_counts[service] = self._good_counts.get(service, 0) + 1
        weight = max(SERVICE_MEAN_WEIGHT, 1 / count)
        mean_ms = self._service_means_ms.get(service, 0.0)
        mean_ms += weight * (duration_ms - mean_ms)
        self._service_means_ms[service] = max(1.0, mean_ms)

    def _on_record(self, record: Record) -> None:
        body: RoutedServerBody = record.content
        current = self._by_id.get(body.server_id)
        is_serving = (
            body.phase is BackendPhase.SERVING
            and body.incarnation > self._retired.get(body.server_id, -1)
        )
        if current is not None and is_serving and _same_run(current.body, body):
            current.body = body
            return
        if current is not None:
            self._remove(current)
        if is_serving:
            self._add(body)
        self._notify()

    def _add(self, body: RoutedServerBody) -> None:
        for other in list(self._by_id.values()):
            # Two servers can't share an address: the one that started first is gone.
            if other.body.address == body.address:
                if other.body.incarnation > body.incarnation:
                    return
                self._remove(other)
        key = _server_key(body)
        server = Server(body, key, self._clock.now_ms())
        server.pause.spread_ratio = self.spread_ratio(server)
        self._by_id[body.server_id] = server
        self._by_key[key] = server
        self._by_service.setdefault(body.service, {})[body.server_id] = server
        server.others_count = sum(
            relay.others_in_flight.get(key, 0) for relay in self._relays.values()
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
            "a backend server accepts no more requests",
            server_id=body.server_id,
            service=body.service,
            incarnation=body.incarnation,
        )


def _is_newer(load: DomainLoad, relay: _Relay, now_ms: float) -> bool:
    """Return True if a message is newer than the last one of its relay."""
    if load.incarnation == relay.incarnation:
        return load.sequence > relay.sequence
    # Incarnations come from the time of day, which may have been set back before a
    # restart; a run that sends no more is over in any case.
    is_over = now_ms - relay.last_received_ms >= RESTART_MS
    return load.incarnation > relay.incarnation or is_over


def _raise_counts(
    counts: dict[int, tuple[int, int]], others: dict[int, tuple[int, int]]
) -> None:
    """Raise counts to those of `others` that are higher."""
    for key, (requests, retries) in others.items():
        known = counts.get(key, (0, 0))
        counts[key] = max(requests, known[0]), max(retries, known[1])


def _same_run(first: RoutedServerBody, second: RoutedServerBody) -> bool:
    return (
        first.incarnation == second.incarnation
        and first.address == second.address
        and first.service == second.service
    )


def _server_key(body: RoutedServerBody) -> int:
    text = f"{body.service}\0{body.server_id}\0{body.incarnation}\0{body.address}"
    return xxhash.xxh32_intdigest(text.encode())
