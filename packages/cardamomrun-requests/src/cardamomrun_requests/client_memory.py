"""The account of memory held for clients, one for each process.

Every connection has an account that states what is held for it and for what it waits.
When the memory is used up, the connection that holds the most for the longest without
progress is closed, and new long bodies are refused.
"""

import asyncio
import resource
from collections import Counter
from collections.abc import Callable, Iterable
from enum import StrEnum
from functools import partial

from cardamomrun_base.clock import MS_PER_S, Clock
from cardamomrun_base.logs import ComponentLog
from cardamomrun_base.settings import NodeSettings
from cardamomrun_requests import metrics

__all__ = [
    "FREE_FIELD_COUNT",
    "ClientMemory",
    "CloseReason",
    "ConnectionAccount",
    "Held",
    "Phase",
]

BYTES_PER_MB = 1_000_000
# A connection's objects and buffers without what is charged separately.
CONNECTION_BYTES = 16_384
# Share of the memory for clients that connections without a request may take.
CONNECTIONS_RATIO = 0.5
# Bodies up to this size are served also while the memory is used up: together they are
# at most as large as the connections, which the reserve covers.
SMALL_BODY_BYTES = 16_384
# Below this a machine could not serve a few uploads at once.
LEAST_BYTES = 8_000_000
# Fields beyond this are charged; ordinary heads are part of the cost of a connection.
FREE_FIELD_COUNT = 100
# A short field takes about 200 bytes, with the copy that is passed on.
FIELD_BYTES = 300
# A client that has made no progress for this long may lose its connection to others.
STALLED_MS = 1_000.0
SWEEP_S = 0.5
# At most one log line for each reason in this time; it states how many there were.
LOG_INTERVAL_MS = 5_000.0

_log = ComponentLog("clients")


class Held(StrEnum):
    """What memory is held for."""

    CONNECTION = "connection"
    REQUEST = "request"
    FIELDS = "fields"
    BODY = "body"
    RESPONSE = "response"


class Phase(StrEnum):
    """What a connection does; in `AWAITING` it depends on its client alone."""

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    WORK = "work"
    RESPONSE = "response"


AWAITING = frozenset((Phase.HEAD, Phase.BODY, Phase.RESPONSE))


class CloseReason(StrEnum):
    """Why a connection is closed, or a request refused."""

    MEMORY = "memory"
    CONNECTIONS = "connections"
    SLOW_HEAD = "slow-head"
    SLOW_BODY = "slow-body"
    SLOW_READER = "slow-reader"


class ConnectionAccount:
    """What is held for one connection, and since when it waits for its client."""

    def __init__(
        self,
        memory: "ClientMemory",
        close: Callable[[Phase], None],
        head_timeout_ms: Callable[[], float],
    ) -> None:
        self.phase = Phase.IDLE
        self.since_ms = memory.clock.now_ms()
        self.head_timeout_ms = head_timeout_ms
        self.close_connection = close
        self.held_bytes: dict[Held, int] = {}
        # True if anything but the connection itself is held.
        self._holds_more = False
        # The time that the instance was reading a body, the bytes that came meanwhile,
        # and both at the begin of the present period of measurement.
        self._body_ms = self._body_mark_ms = 0.0
        self._body_bytes = 0
        self._memory = memory
        self._is_open = True

    @property
    def total_bytes(self) -> int:
        """All that is held for this connection."""
        return sum(self.held_bytes.values())

    def enter(self, phase: Phase) -> None:
        """Note what the connection does from now on."""
        now_ms = self._memory.clock.now_ms()
        if self.phase is Phase.BODY:
            self._body_ms += now_ms - self.since_ms
        self.phase, self.since_ms = phase, now_ms
        if phase in AWAITING:
            self._memory.watch()

    def begin_body(self) -> None:
        """Note that a body is expected from now on."""
        self._body_ms = self._body_mark_ms = 0.0
        self._body_bytes = 0
        self.enter(Phase.BODY)

    def count_body(self, size_bytes: int) -> None:
        """Count bytes of the body that arrived."""
        self._body_bytes += size_bytes

    def progress(self) -> None:
        """Note that the client has read a part of the response."""
        self.since_ms = self._memory.clock.now_ms()

    def hold(self, kind: Held, size_bytes: int) -> bool:
        """State how much is held; return False if it exceeds the memory for clients.

        Connections of clients that have stalled are closed first to make room.
        """
        if not self._is_open:
            return False
        before_bytes = self.held_bytes.get(kind, 0)
        if size_bytes == before_bytes:
            return True
        self.held_bytes[kind] = size_bytes
        if kind is not Held.CONNECTION:
            self._holds_more = True
        return self._memory.change(self, kind, size_bytes - before_bytes)

    def hold_response(self, size_bytes: int) -> None:
        """State how much of a response waits for its client, and make room for it.

        It can't be refused any more. If no client has stalled, the connection that
        held the most for the longest is closed all the same.
        """
        if not self.hold(Held.RESPONSE, size_bytes):
            self._memory.force_room()

    def release_request(self, buffered_bytes: int) -> None:
        """Note that a request has ended; `buffered_bytes` of later ones are held."""
        if self._holds_more:
            self.hold(Held.BODY, 0)
            self.hold(Held.FIELDS, 0)
            if self.held_bytes.get(Held.REQUEST):
                self.hold(Held.REQUEST, buffered_bytes)
            self._holds_more = self.held_bytes.get(Held.REQUEST, 0) > 0
        self.enter(Phase.IDLE)

    def admits_body(self, length_bytes: int | None) -> bool:
        """Return False if a new body has to be refused; `length_bytes` None: unknown."""
        if length_bytes is not None and length_bytes <= SMALL_BODY_BYTES:
            return True
        return self._memory.has_room(SMALL_BODY_BYTES, self)

    def may_parse(self, field_count: int) -> bool:
        """State the fields of a head; return False if the request has to be refused."""
        if field_count <= FREE_FIELD_COUNT:
            return True
        return self.hold(Held.FIELDS, field_count * FIELD_BYTES)

    def may_buffer(self, size_bytes: int) -> bool:
        """State that so much of a body is buffered; return False to refuse it."""
        return size_bytes <= SMALL_BODY_BYTES or self.hold(Held.BODY, size_bytes)

    def refuse(self) -> None:
        """Count a request that is refused since the memory is used up."""
        self._memory.count_refusal(CloseReason.MEMORY)

    def end(self) -> None:
        """Note that the connection is closed; later calls do nothing."""
        if self._is_open:
            self._is_open = False
            self._memory.remove(self)

    def overdue(self, now_ms: float, settings: NodeSettings) -> CloseReason | None:
        """Return why the connection has to be closed now, or None."""
        if self.phase is Phase.HEAD:
            if now_ms - self.since_ms > self.head_timeout_ms():
                return CloseReason.SLOW_HEAD
        elif self.phase is Phase.BODY:
            return self._check_body_rate(now_ms, settings)
        elif (
            self.phase is Phase.RESPONSE
            and now_ms - self.since_ms > settings.clients.response_stall_ms
        ):
            return CloseReason.SLOW_READER
        return None

    def _check_body_rate(
        self, now_ms: float, settings: NodeSettings
    ) -> CloseReason | None:
        reading_ms = self._body_ms + now_ms - self.since_ms - self._body_mark_ms
        if reading_ms < settings.clients.body_rate_ms:
            return None
        least_bytes = settings.clients.min_body_bytes_per_s * reading_ms / MS_PER_S
        if self._body_bytes < least_bytes:
            return CloseReason.SLOW_BODY
        self._body_mark_ms += reading_ms
        self._body_bytes = 0
        return None


class ClientMemory:
    """Bounds the memory and the connections of all clients of this process together."""

    def __init__(self, settings: NodeSettings, clock: Clock) -> None:
        self.clock = clock
        self._settings = settings
        self._accounts: set[ConnectionAccount] = set()
        self._held_bytes: Counter[Held] = Counter()
        self._total_bytes = 0
        self._is_watching = False
        self._unlogged: Counter[tuple[str, CloseReason]] = Counter()
        self._logged_ms: dict[tuple[str, CloseReason], float] = {}
        self.capacity_bytes = _capacity_bytes(settings)
        self.connection_limit = _connection_limit(settings, self.capacity_bytes)
        metrics.CLIENT_CONNECTIONS.set_function(lambda: len(self._accounts))
        metrics.CLIENT_MEMORY_LIMIT.set(self.capacity_bytes)
        for kind in Held:
            metrics.CLIENT_MEMORY.labels(kind).set_function(
                partial(self._held_bytes.__getitem__, kind)
            )

    @property
    def total_bytes(self) -> int:
        """All that is held for clients."""
        return self._total_bytes

    @property
    def connection_count(self) -> int:
        """The number of open connections."""
        return len(self._accounts)

    def open(
        self,
        close: Callable[[Phase], None],
        head_timeout_ms: Callable[[], float] | None = None,
    ) -> ConnectionAccount | None:
        """Return the account of a new connection, or None if it has to be closed.

        Of too many connections, the one that was idle for the longest is closed, and
        if none is idle, the one that has waited for its client for the longest.
        """
        if len(self._accounts) >= self.connection_limit:
            victim = self._longest(
                account for account in self._accounts if account.phase is Phase.IDLE
            ) or self._longest(self._stalled())
            if victim is None:
                self._count("refuses", CloseReason.CONNECTIONS)
                return None
            self._close(victim, CloseReason.CONNECTIONS)
        default_ms = self._settings.clients.head_timeout_ms
        account = ConnectionAccount(
            self, close, head_timeout_ms or (lambda: default_ms)
        )
        self._accounts.add(account)
        account.hold(Held.CONNECTION, CONNECTION_BYTES)
        return account

    def remove(self, account: ConnectionAccount) -> None:
        """Forget a connection that is closed."""
        self._accounts.discard(account)
        for kind, size_bytes in account.held_bytes.items():
            self._held_bytes[kind] -= size_bytes
            self._total_bytes -= size_bytes

    def change(self, account: ConnectionAccount, kind: Held, delta_bytes: int) -> bool:
        """Account for a change; return False if there is no room for it."""
        self._held_bytes[kind] += delta_bytes
        self._total_bytes += delta_bytes
        if delta_bytes <= 0 or self._total_bytes <= self.capacity_bytes:
            return True
        return self.has_room(0, account)

    def has_room(self, size_bytes: int, asking: ConnectionAccount) -> bool:
        """Close connections of stalled clients until there is room; False if none is."""
        while self._total_bytes + size_bytes > self.capacity_bytes:
            victim = self._costliest(
                account for account in self._stalled() if account is not asking
            )
            if victim is None:
                return False
            self._close(victim, CloseReason.MEMORY)
        return True

    def force_room(self) -> None:
        """Close connections that wait for their clients until there is room."""
        while self._total_bytes > self.capacity_bytes:
            victim = self._costliest(
                account for account in self._accounts if account.phase in AWAITING
            )
            if victim is None:
                return
            self._close(victim, CloseReason.MEMORY)

    def count_refusal(self, reason: CloseReason) -> None:
        """Count a request that was refused."""
        metrics.CLIENT_REFUSALS.labels(reason).inc()
        self._count("refuses", reason)

    def watch(self) -> None:
        """Look after connections that wait for their clients until there are none."""
        if not self._is_watching:
            self._is_watching = True
            asyncio.get_running_loop().call_later(SWEEP_S, self._sweep)

    def _sweep(self) -> None:
        self._is_watching = False
        now_ms = self.clock.now_ms()
        awaiting = [item for item in self._accounts if item.phase in AWAITING]
        for account in awaiting:
            reason = account.overdue(now_ms, self._settings)
            if reason is not None:
                self._close(account, reason)
        if awaiting:
            self.watch()

    def _stalled(self) -> Iterable[ConnectionAccount]:
        limit_ms = self.clock.now_ms() - STALLED_MS
        return [
            account
            for account in self._accounts
            if account.phase in AWAITING and account.since_ms <= limit_ms
        ]

    def _costliest(
        self, accounts: Iterable[ConnectionAccount]
    ) -> ConnectionAccount | None:
        """Return the one that held the most for the longest, or None."""
        now_ms = self.clock.now_ms()
        return max(
            (item for item in accounts if item.total_bytes > CONNECTION_BYTES),
            key=lambda account: account.total_bytes * (now_ms - account.since_ms),
            default=None,
        )

    def _longest(
        self, accounts: Iterable[ConnectionAccount]
    ) -> ConnectionAccount | None:
        return min(accounts, key=lambda account: account.since_ms, default=None)

    def _close(self, account: ConnectionAccount, reason: CloseReason) -> None:
        metrics.CLIENT_CLOSES.labels(reason).inc()
        self._count("closes connections", reason)
        phase = account.phase
        account.end()
        account.close_connection(phase)

    def _count(self, action: str, reason: CloseReason) -> None:
        key = (action, reason)
        self._unlogged[key] += 1
        now_ms = self.clock.now_ms()
        if now_ms - self._logged_ms.get(key, float("-inf")) < LOG_INTERVAL_MS:
            return
        self._logged_ms[key] = now_ms
        _log.warning(
            f"{action} to protect the process: {reason}",
            count=self._unlogged.pop(key),
            held_bytes=self._total_bytes,
            limit_bytes=self.capacity_bytes,
            connections=len(self._accounts),
        )


def _capacity_bytes(settings: NodeSettings) -> float:
    """Return the memory for clients: a share of what the process itself leaves.

    The rest of it is the reserve, for copies of buffers while they are passed on and
    for fragmentation of the heap.
    """
    if settings.memory_mb is None:
        return float("inf")
    clients = settings.clients
    left_bytes = (settings.memory_mb - clients.process_mb) * BYTES_PER_MB
    return max(LEAST_BYTES, left_bytes * clients.memory_ratio)


def _connection_limit(settings: NodeSettings, capacity_bytes: float) -> float:
    descriptors = settings.max_fds
    if descriptors is None:
        soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        descriptors = soft if soft != resource.RLIM_INFINITY else 1_000_000
    return min(
        descriptors * settings.clients.descriptor_ratio,
        capacity_bytes * CONNECTIONS_RATIO / CONNECTION_BYTES,
    )
