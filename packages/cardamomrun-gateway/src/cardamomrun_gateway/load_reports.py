"""Exchanges the load of backend servers between instances, by datagrams.

An entry instance reports to the relay of its failure domain. The relay sums up the
attempts in flight of its domain (`domain_collector`) and sends the sums to the
instances of its domain and to the relays of the others, which forward them to theirs.
So an instance receives one sequence of messages for each domain, however many instances
there are. Control instances have nothing to report: they receive messages to know which
instances clients can use, and relay where their links are wider than those of entry
instances.

Datagrams may be lost, so each report and message holds a whole state. An end that makes
a server suspected is urgent and sent at once, since requests that go to such a server
meanwhile may be lost.
"""

import asyncio
import random
from collections.abc import Callable
from functools import partial
from typing import Any

from cardamomrun_base.clock import MS_PER_S, Clock
from cardamomrun_base.errors import AddressInUseError
from cardamomrun_base.interfaces import Fleet
from cardamomrun_base.logs import ComponentLog
from cardamomrun_base.settings import GatewaySettings, NodeSettings, Role
from cardamomrun_fleet.handler_time import HandlerTime
from cardamomrun_fleet.traffic import MessageKind, TrafficMeter
from cardamomrun_gateway import metrics
from cardamomrun_gateway.datagram_kinds import datagram_kind
from cardamomrun_gateway.domain_collector import (
    SILENT_INSTANCE_MS,
    DomainCollector,
)
from cardamomrun_gateway.fleet_load import FleetLoad, Server
from cardamomrun_gateway.load_messages import (
    batches,
    decode_domain_load,
    decode_load,
    encode_domain_load,
    encode_load,
    service_key,
    split_batch,
)
from cardamomrun_gateway.load_model import DomainLoad, InstanceLoad
from cardamomrun_gateway.own_load import OwnLoad
from cardamomrun_gateway.report_relays import (
    COLLECT_MS,
    REMOTE_COLLECT_MAX_MS,
    Address,
    collect_ms,
)
from cardamomrun_gateway.report_routes import ReportRoutes
from cardamomrun_gateway.retry_budget import BudgetState, RetryBudget
from cardamomrun_gateway.server_health import AttemptEnd

__all__ = ["LoadReports"]

# Starts and ends of attempts within this time are sent in one datagram. With a longer
# time two instances choose the same free slot more often.
FLUSH_MS = 2.0
# Urgent ends within this time are sent in one message.
URGENT_MS = 2.0
# Longest time between messages of a relay to its domain while nothing is in flight.
LOCAL_IDLE_MS = 125.0
# Each end is sent in this many messages to the own domain, and in one to others, which
# use these servers less.
LOCAL_SEND_COUNT = 2
REMOTE_SEND_COUNT = 1
# A control instance that receives no batch for this long asks a random instance of its
# domain to send it copies, for `COPY_MS` each time.
NO_BATCH_MS = 500.0
COPY_MS = 1_500.0
# An instance that no relay has named for this long may spend retries that nobody counts.
UNHEARD_MS = 2_000.0
# Shortest time between two lines of the log about the retry budget of a service.
BUDGET_LOG_MS = 1_000.0
REPORT = b"\x01"
URGENT_REPORT = b"\x02"
LOCAL_BATCH = b"\x03"
REMOTE_MESSAGE = b"\x04"
URGENT_REMOTE_MESSAGE = b"\x05"
COPY_REQUEST = b"\x06"
# Asks a relay candidate for a pong, to check that it is alive.
PING = b"\x07"
PONG = b"\x08"
# The sender reports to another relay from now on.
LEAVE = b"\x09"

DatagramHandler = Callable[[bytes, Address], None]

_log = ComponentLog("load")


class LoadReports(asyncio.DatagramProtocol):
    """Sends and receives load reports on the peer port."""

    def __init__(
        self,
        settings: NodeSettings,
        clock: Clock,
        fleet: Fleet,
        load: FleetLoad,
        budget: RetryBudget,
        randomness: random.Random | None = None,
    ) -> None:
        self._settings = settings
        self._gateway = settings.gateway or GatewaySettings()
        self._clock = clock
        self._load = load
        self._budget = budget
        self._random = randomness or random.Random()
        self._meter = TrafficMeter(settings.failure_domain, fleet.store)
        self.handler_time = HandlerTime()
        self._own_load = OwnLoad(clock, settings.instance_id)
        self._transport: asyncio.DatagramTransport | None = None
        self._flush_due = False
        self._routes = ReportRoutes(settings, clock, fleet)
        self._relay: Address | None = None
        self._domain_relay = _DomainRelay(self, clock, settings)
        self._last_batch_ms = float("-inf")
        self._copy_until_ms: dict[Address, float] = {}
        self._last_flush_ms = float("-inf")
        self._handlers: dict[bytes, DatagramHandler] = {}
        self._budget_logged_ms: dict[str, float] = {}

    async def start(self, incarnation: int) -> None:
        """Open the port; `incarnation` identifies this run of the instance.

        Raises `AddressInUseError`.
        """
        self._own_load.incarnation = incarnation
        self._domain_relay.collector.incarnation = incarnation
        local_address = (str(self._settings.host), self._settings.peer_port)
        loop = asyncio.get_running_loop()
        try:
            self._transport, _ = await loop.create_datagram_endpoint(
                lambda: self, local_addr=local_address
            )
        except OSError as error:
            raise AddressInUseError(
                f"datagram port {local_address[1]} of {local_address[0]} "
                f"cannot be opened: {error}.",
                remedy="stop the process that uses it, or change peer_port",
            ) from error

    def stop(self) -> None:
        """Close the port."""
        self._domain_relay.stop()
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    async def run(self) -> None:
        """Report at least every `report_idle_ms`, until cancelled."""
        idle_ms = self._gateway.report_idle_ms
        is_reporting = Role.ENTRY in self._settings.roles
        while True:
            self._load.run_maintenance()
            self._domain_relay.drop_silent()
            self._update_budget()
            if not is_reporting:
                self._request_copies()
            if (
                is_reporting
                and self._clock.now_ms() - self._last_flush_ms >= idle_ms / 2
            ):
                self._flush()
            await self._clock.sleep_ms(idle_ms * self._random.uniform(0.8, 1.0))

    def add_handler(self, kind: bytes, handler: DatagramHandler) -> None:
        """Pass datagrams that begin with the byte `kind` to `handler`.

        It gets the rest of the datagram and the sender, and may raise `ValueError`.
        """
        self._handlers[kind] = handler

    def send(self, data: bytes, address: Address) -> None:
        """Send a datagram, which may be lost; does nothing before the port is open."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, address)
            self._meter.count_datagram(datagram_kind(data), address, len(data))

    def count_request(self, service: str) -> None:
        """Count a request for a service."""
        self._count(service, 1, 0)

    def count_retry(self, service: str) -> None:
        """Count a retry of a request for a service."""
        self._count(service, 0, 1)

    @property
    def entry_count(self) -> int:
        """How many entry instances share the load."""
        return max(1, self._routes.entry_count)

    def allows_retry(self, service: str) -> bool:
        """Return True if a retry fits the fleet's budget."""
        state = self._budget.state(service_key(service))
        decision = "allowed" if state.allows_retry else "refused"
        metrics.RETRY_DECISIONS.labels(service, decision).inc()
        self._log_budget(service, state)
        return state.allows_retry

    def attempt_started(self, server: Server) -> int:
        """Count an attempt in flight; return the token that identifies it."""
        token = self._own_load.attempt_started(server.key)
        self._load.attempt_started(server)
        self._flush_soon()
        return token

    def attempt_ended(self, token: int, server: Server, end: AttemptEnd) -> None:
        """Count the end of an attempt; report it at once if suspicion began."""
        started_ms = self._own_load.attempt_ended(token, end)
        if (
            self._load.attempt_ended(server, end, started_ms)
            and server.health.is_suspected
        ):
            self._flush(is_urgent=True)
        else:
            self._flush_soon()

    def attempt_overdue(self, token: int, server: Server) -> None:
        """Report an attempt that is overdue and goes on."""
        started_ms = self._own_load.attempt_overdue(
            token, is_reported=not server.is_full
        )
        self._load.attempt_overdue(server, started_ms)
        self._flush_soon()

    # asyncio.DatagramProtocol

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Handle a datagram: merge reports and messages, and forward as the relay."""
        self.handler_time.run(datagram_kind(data), self._handle_datagram, data, addr)

    def _handle_datagram(self, data: bytes, addr: Any) -> None:
        self._routes.mark_alive(addr)
        kind, body = data[:1], data[1:]
        try:
            if kind in self._handlers:
                self._handlers[kind](body, addr)
            elif kind in (REPORT, URGENT_REPORT):
                self._domain_relay.merge_report(body, is_urgent=kind == URGENT_REPORT)
            elif kind == LOCAL_BATCH:
                self._last_batch_ms = self._clock.now_ms()
                self._send_copies(data)
                for message in split_batch(body):
                    self.merge(decode_domain_load(message))
            elif kind in (REMOTE_MESSAGE, URGENT_REMOTE_MESSAGE):
                self.merge(decode_domain_load(body))
                self._domain_relay.forward(
                    body, is_urgent=kind == URGENT_REMOTE_MESSAGE
                )
        except ValueError as error:
            _log.warning(f"a datagram was dropped: {error}")
        if kind == PING:
            self.send(PONG, addr)
        elif kind == COPY_REQUEST:
            self._copy_until_ms[addr] = self._clock.now_ms() + COPY_MS
        elif kind == LEAVE:
            self._domain_relay.collector.drop(body.decode(errors="replace"))

    def error_received(self, exc: Exception) -> None:
        """Ignore errors: a failed peer is found by the links of the fleet."""

    # Used by `_DomainRelay`

    def merge(self, load: DomainLoad) -> None:
        """Merge a relay's message into the fleet's load and the retry budget."""
        counts_by_service = self._load.merge(load, self._own_load.reported_state)
        for key, (requests, retries) in counts_by_service.items():
            self._budget.count(key, requests, retries, is_own=False)

    def send_local(self, messages: list[bytes]) -> int:
        """Send messages to the instances of the own domain; return their size."""
        self._routes.refresh()
        sent_bytes = 0
        for batch in batches(messages):
            data = LOCAL_BATCH + batch
            sent_bytes += len(data)
            for address in self._routes.local_peers:
                self.send(data, address)
            self._send_copies(data)
        return sent_bytes

    def send_remote(self, message: bytes, *, is_urgent: bool) -> None:
        """Send a message to the relays of the other domains."""
        self._routes.refresh()
        relays, pinged = self._routes.remote_relays()
        kind = URGENT_REMOTE_MESSAGE if is_urgent else REMOTE_MESSAGE
        for relay in relays:
            self.send(kind + message, relay)
        for address in pinged:
            self.send(PING, address)

    @property
    def narrowest_link_mbps(self) -> float:
        """The capacity of the narrowest link of the own domain."""
        return self._routes.narrowest_link_mbps

    @property
    def remote_domain_count(self) -> int:
        """How many other failure domains are known."""
        return self._routes.remote_domain_count

    def _request_copies(self) -> None:
        now_ms = self._clock.now_ms()
        if now_ms - self._last_batch_ms < NO_BATCH_MS or not self._domain_relay.is_idle:
            return
        self._routes.refresh()
        candidates = self._routes.relay_candidates
        if candidates:
            self.send(COPY_REQUEST, self._random.choice(candidates))

    def _send_copies(self, data: bytes) -> None:
        now_ms = self._clock.now_ms()
        for address, until_ms in list(self._copy_until_ms.items()):
            if until_ms > now_ms:
                self.send(data, address)
            else:
                del self._copy_until_ms[address]

    def _update_budget(self) -> None:
        now_ms = self._clock.now_ms()
        others = self._routes.known_entry_ids()
        last_seen_ms = (self._load.last_seen_ms(name) for name in others)
        silent_since_ms = [
            float("-inf") if seen_ms is None else seen_ms
            for seen_ms in last_seen_ms
            if seen_ms is None or now_ms - seen_ms > UNHEARD_MS
        ]
        self._budget.update_instances(len(others) + 1, silent_since_ms)

    def _log_budget(self, service: str, state: BudgetState) -> None:
        now_ms = self._clock.now_ms()
        if now_ms - self._budget_logged_ms.get(service, -BUDGET_LOG_MS) < BUDGET_LOG_MS:
            return
        self._budget_logged_ms[service] = now_ms
        _log.info(
            "looked up the retry budget",
            service=service,
            allows_retry=state.allows_retry,
            requests=state.requests,
            retries=state.retries,
            unreported=state.unreported,
            limit=round(state.limit, 1),
            instances=self._budget.instance_count,
        )

    def _count(self, service: str, requests: int, retries: int) -> None:
        key = service_key(service)
        self._own_load.count(key, requests, retries)
        self._budget.count(key, requests, retries)

    def _flush_soon(self) -> None:
        if not self._flush_due and self._transport is not None:
            self._flush_due = True
            loop = asyncio.get_running_loop()
            loop.call_later(FLUSH_MS / MS_PER_S, self._flush)

    def _flush(self, *, is_urgent: bool = False) -> None:
        self.handler_time.run(MessageKind.LOAD_REPORT, self._send_report, is_urgent)

    def _send_report(self, is_urgent: bool) -> None:
        self._flush_due = False
        now_ms = self._clock.now_ms()
        # The relay forgets an instance that was paused for this long.
        was_paused = now_ms - self._last_flush_ms > SILENT_INSTANCE_MS
        self._last_flush_ms = now_ms
        self._routes.refresh()
        relay, pinged = self._routes.own_relay()
        has_changed = relay != self._relay
        if has_changed or was_paused:
            self._own_load.begin_at_relay(self._load.included_counts)
        report = self._own_load.next_report()
        if has_changed:
            self._leave_relay(self._relay)
            self._relay = relay
            _log.info(
                "reports to another relay", relay=None if relay is None else relay[0]
            )
        for address in pinged:
            self.send(PING, address)
        if relay == self._routes.own_address:
            self._domain_relay.merge_own_report(report, is_urgent=is_urgent)
        elif relay is not None:
            kind = URGENT_REPORT if is_urgent else REPORT
            self.send(kind + encode_load(report), relay)

    def _leave_relay(self, relay: Address | None) -> None:
        instance_id = self._settings.instance_id
        if relay == self._routes.own_address:
            self._domain_relay.collector.drop(instance_id)
        elif relay is not None:
            self.send(LEAVE + instance_id.encode(), relay)


class _DomainRelay:
    """Sends messages about the instances that report to this one, while any do."""

    def __init__(
        self, reports: LoadReports, clock: Clock, settings: NodeSettings
    ) -> None:
        self.collector = DomainCollector(clock, settings.instance_id)
        self._reports = reports
        self._clock = clock
        self._local_receivers = self.collector.add_receivers(LOCAL_SEND_COUNT)
        self._remote_receivers = self.collector.add_receivers(
            REMOTE_SEND_COUNT, are_reporting=False
        )
        run, kind = reports.handler_time.run, MessageKind.RELAY_MESSAGE
        self._local_timer = _Timer(clock, partial(run, kind, self._send_local))
        self._remote_timer = _Timer(clock, partial(run, kind, self._send_remote))
        self._urgent_timer = _Timer(clock, partial(run, kind, self._send_urgent))
        self._local_delay_ms = COLLECT_MS
        self._remote_delay_ms = COLLECT_MS
        self._pending_forwards: list[bytes] = []

    @property
    def is_idle(self) -> bool:
        """True while no instance reports here."""
        return self.collector.is_empty

    def stop(self) -> None:
        """Send no more messages."""
        for timer in (self._local_timer, self._remote_timer, self._urgent_timer):
            timer.stop()

    def merge_report(self, body: bytes, *, is_urgent: bool) -> None:
        """Merge the report of another instance. Raises `ValueError` if invalid."""
        load = decode_load(body, self.collector.last_end)
        self._schedule_messages(
            has_changed=self.collector.merge(load), is_urgent=is_urgent
        )

    def merge_own_report(self, load: InstanceLoad, *, is_urgent: bool) -> None:
        """Merge the report of this instance."""
        self._schedule_messages(
            has_changed=self.collector.merge(load), is_urgent=is_urgent
        )

    def forward(self, message: bytes, *, is_urgent: bool) -> None:
        """Forward a message of another domain's relay to the own domain."""
        self._pending_forwards.append(message)
        if is_urgent:
            self._forward_now()
        else:
            self._local_timer.start(self._local_delay_ms)

    def drop_silent(self) -> None:
        """Forget instances that stopped reporting."""
        for instance_id in self.collector.drop_silent():
            _log.info("an instance stopped reporting", peer_id=instance_id)
            self._local_timer.start(self._local_delay_ms)
            self._remote_timer.start(self._remote_delay_ms)

    def _schedule_messages(self, *, has_changed: bool, is_urgent: bool) -> None:
        if is_urgent:
            self._urgent_timer.start(URGENT_MS)
        self._local_timer.start(self._local_delay_ms if has_changed else LOCAL_IDLE_MS)
        self._remote_timer.start(
            self._remote_delay_ms if has_changed else REMOTE_COLLECT_MAX_MS
        )

    def _send_local(self) -> None:
        load = self.collector.next_message(self._local_receivers)
        self._reports.merge(load)
        message = encode_domain_load(load)
        messages, self._pending_forwards = [message, *self._pending_forwards], []
        self._reports.send_local(messages)
        self._local_delay_ms = collect_ms(
            len(message), self._reports.narrowest_link_mbps
        )

    def _send_remote(self) -> None:
        message = encode_domain_load(
            self.collector.next_message(self._remote_receivers)
        )
        self._reports.send_remote(message, is_urgent=False)
        self._remote_delay_ms = collect_ms(
            len(message) * self._reports.remote_domain_count,
            self._reports.narrowest_link_mbps,
            REMOTE_COLLECT_MAX_MS,
        )

    def _send_urgent(self) -> None:
        local = self.collector.next_ends_message(self._local_receivers)
        self._reports.merge(local)
        self._pending_forwards.append(encode_domain_load(local))
        self._forward_now()
        remote = encode_domain_load(
            self.collector.next_ends_message(self._remote_receivers)
        )
        self._reports.send_remote(remote, is_urgent=True)

    def _forward_now(self) -> None:
        messages, self._pending_forwards = self._pending_forwards, []
        self._reports.send_local(messages)


class _Timer:
    """Calls back once, at the earliest of the requested times."""

    def __init__(self, clock: Clock, callback: Callable[[], None]) -> None:
        self._clock = clock
        self._callback = callback
        self._handle: asyncio.TimerHandle | None = None
        self._due_ms = float("inf")
        self._is_stopped = False

    def start(self, delay_ms: float) -> None:
        """Call back after a delay, or earlier if that was requested already."""
        due_ms = self._clock.now_ms() + delay_ms
        if self._is_stopped or due_ms >= self._due_ms:
            return
        if self._handle is not None:
            self._handle.cancel()
        self._due_ms = due_ms
        loop = asyncio.get_running_loop()
        self._handle = loop.call_later(delay_ms / MS_PER_S, self._fire)

    def stop(self) -> None:
        """Never call back again."""
        self._is_stopped = True
        if self._handle is not None:
            self._handle.cancel()

    def _fire(self) -> None:
        self._handle = None
        self._due_ms = float("inf")
        self._callback()
