"""Tells the other instances what this one has in work, by datagrams.

An entry instance reports to the relay of its failure domain. The relay sums up what its
domain has in work (`domain_collector`) and tells the instances of its domain and the
relays of the others, which pass it on to theirs. So an instance receives one sequence
of messages for each domain, however many instances there are. Control instances have
nothing to report: they listen, to tell callers which instances are alive, and relay
where their links are wider than those of entry instances.

Datagrams may be lost: each report and message holds a whole state. An end that puts a
server in doubt is urgent and passed on at once, since each request that goes to such a
server meanwhile may be lost.
"""

import asyncio
import random
from collections.abc import Callable
from typing import Any

from cardamomrun_base.clock import MS_PER_S, Clock
from cardamomrun_base.errors import AddressInUseError
from cardamomrun_base.interfaces import Fleet
from cardamomrun_base.logs import PartLog
from cardamomrun_base.settings import GatewaySettings, NodeSettings, Role
from cardamomrun_gateway.domain_collector import DomainCollector
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
    FAR_COLLECT_MAX_MS,
    Address,
    collect_ms,
)
from cardamomrun_gateway.report_routes import ReportRoutes
from cardamomrun_gateway.retry_budget import RetryBudget
from cardamomrun_gateway.server_health import AttemptEnd

__all__ = ["LoadReports"]

# Starts and ends within this time leave in one datagram. Longer, and two instances
# take the same free slot more often.
FLUSH_MS = 2.0
# Urgent ends within this time leave in one message.
URGENT_MS = 2.0
# A relay tells at least this often who reports to it, also where nothing is in work.
IDLE_NEAR_MS = 125.0
# Each end is told in this many messages to the own domain. Other domains hear it once:
# they use these servers less.
NEAR_TOLD_COUNT = 2
FAR_TOLD_COUNT = 1
# A control instance that hears nothing for this long asks an instance other than the
# relay to pass messages on to it, for `LISTEN_MS` each time.
DEAF_MS = 500.0
LISTEN_MS = 1_500.0
REPORT = b"\x01"
URGENT_REPORT = b"\x02"
NEAR_BATCH = b"\x03"
FAR_MESSAGE = b"\x04"
URGENT_FAR_MESSAGE = b"\x05"
LISTEN = b"\x06"
# Asks a candidate whether it is there; the answer says so.
ASK = b"\x07"
HERE = b"\x08"
# The sender reports to another relay from now on.
LEFT = b"\x09"

_log = PartLog("load")


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
        self._own = OwnLoad(clock, settings.instance_id)
        self._transport: asyncio.DatagramTransport | None = None
        self._flush_due = False
        self._routes = ReportRoutes(settings, clock, fleet)
        self._relay: Address | None = None
        self._domain = _DomainRelay(self, clock, settings)
        self._heard_batch_ms = float("-inf")
        self._listeners: dict[Address, float] = {}
        self._sent_ms = float("-inf")

    async def start(self, incarnation: int) -> None:
        """Open the port in this run of the instance. Raises `AddressInUseError`."""
        self._own.incarnation = incarnation
        self._domain.collector.incarnation = incarnation
        place = (str(self._settings.host), self._settings.peer_port)
        loop = asyncio.get_running_loop()
        try:
            self._transport, _ = await loop.create_datagram_endpoint(
                lambda: self, local_addr=place
            )
        except OSError as error:
            raise AddressInUseError(
                f"datagram port {place[1]} of {place[0]} cannot be opened: {error}.",
                remedy="stop the process that uses it, or change peer_port",
            ) from error

    def stop(self) -> None:
        """Close the port."""
        self._domain.stop()
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    async def run(self) -> None:
        """Report at least every `report_idle_ms`, until cancelled."""
        idle_ms = self._gateway.report_idle_ms
        sends = Role.ENTRY in self._settings.roles
        while True:
            self._load.tick()
            self._domain.drop_silent()
            self._budget.instance_count = max(1, self._routes.entry_count)
            if not sends:
                self._ask_if_deaf()
            if sends and self._clock.now_ms() - self._sent_ms >= idle_ms / 2:
                self._flush()
            await self._clock.sleep_ms(idle_ms * self._random.uniform(0.8, 1.0))

    def request(self, service: str) -> None:
        """Count a request for a service."""
        self._count(service, 1, 0)

    def repeat(self, service: str) -> None:
        """Count a further attempt for a request."""
        self._count(service, 0, 1)

    def may_repeat(self, service: str) -> bool:
        """Return True if a further attempt fits the fleet's budget."""
        return self._budget.may_repeat(service_key(service))

    def started(self, server: Server) -> int:
        """Count an attempt in work; return the token to end it."""
        token = self._own.started(server.key)
        self._load.started(server)
        self._flush_soon()
        return token

    def ended(self, token: int, server: Server, end: AttemptEnd) -> None:
        """Count the end of an attempt."""
        started_ms = self._own.ended(token, end)
        if self._load.ended(server, end, started_ms) and server.health.is_doubted:
            self._flush(is_urgent=True)
        else:
            self._flush_soon()

    def overdue(self, token: int, server: Server) -> None:
        """Count an attempt that takes much longer than usual and goes on."""
        started_ms = self._own.overdue(token, is_told=not server.is_full)
        self._load.overdue(server, started_ms)
        self._flush_soon()

    # asyncio.DatagramProtocol

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Merge reports and messages, and pass on those that this instance relays."""
        self._routes.heard(addr)
        kind, body = data[:1], data[1:]
        try:
            if kind in (REPORT, URGENT_REPORT):
                self._domain.take_report(body, is_urgent=kind == URGENT_REPORT)
            elif kind == NEAR_BATCH:
                self._heard_batch_ms = self._clock.now_ms()
                self._pass_to_listeners(data)
                for message in split_batch(body):
                    self.take(decode_domain_load(message))
            elif kind in (FAR_MESSAGE, URGENT_FAR_MESSAGE):
                self.take(decode_domain_load(body))
                self._domain.pass_on(body, is_urgent=kind == URGENT_FAR_MESSAGE)
        except ValueError as error:
            _log.warning(f"a datagram was dropped: {error}")
        if kind == ASK:
            self._send(HERE, addr)
        elif kind == LISTEN:
            self._listeners[addr] = self._clock.now_ms() + LISTEN_MS
        elif kind == LEFT:
            self._domain.collector.drop(body.decode(errors="replace"))

    def error_received(self, exc: Exception) -> None:
        """Ignore refused datagrams: a peer that does not listen is found by its links."""

    # For the relay of this instance

    def take(self, load: DomainLoad) -> None:
        """Merge a message of a relay."""
        counted = self._load.take(load, self._own.reported)
        for key, (requests, extras) in counted.items():
            self._budget.count(key, requests, extras, is_own=False)

    def send_near(self, messages: list[bytes]) -> int:
        """Send messages to the instances of the own domain; return their bytes."""
        self._routes.refresh()
        sent_bytes = 0
        for batch in batches(messages):
            data = NEAR_BATCH + batch
            sent_bytes += len(data)
            for address in self._routes.near:
                self._send(data, address)
            self._pass_to_listeners(data)
        return sent_bytes

    def send_far(self, message: bytes, *, is_urgent: bool) -> None:
        """Send a message to the relays of the other domains."""
        self._routes.refresh()
        relays, asked = self._routes.far_relays()
        kind = URGENT_FAR_MESSAGE if is_urgent else FAR_MESSAGE
        for relay in relays:
            self._send(kind + message, relay)
        for address in asked:
            self._send(ASK, address)

    @property
    def least_link_mbps(self) -> float:
        """The narrowest link of the own domain."""
        return self._routes.least_link_mbps

    @property
    def far_domain_count(self) -> int:
        """How many other failure domains are known."""
        return self._routes.far_domain_count

    def _ask_if_deaf(self) -> None:
        now_ms = self._clock.now_ms()
        if now_ms - self._heard_batch_ms < DEAF_MS or not self._domain.is_idle:
            return
        self._routes.refresh()
        candidates = self._routes.relay_candidates
        if candidates:
            self._send(LISTEN, self._random.choice(candidates))

    def _pass_to_listeners(self, data: bytes) -> None:
        now_ms = self._clock.now_ms()
        for address, until_ms in list(self._listeners.items()):
            if until_ms > now_ms:
                self._send(data, address)
            else:
                del self._listeners[address]

    def _count(self, service: str, requests: int, extras: int) -> None:
        key = service_key(service)
        self._own.count(key, requests, extras)
        self._budget.count(key, requests, extras)

    def _flush_soon(self) -> None:
        if not self._flush_due and self._transport is not None:
            self._flush_due = True
            loop = asyncio.get_running_loop()
            loop.call_later(FLUSH_MS / MS_PER_S, self._flush)

    def _flush(self, *, is_urgent: bool = False) -> None:
        self._flush_due = False
        self._sent_ms = self._clock.now_ms()
        self._routes.refresh()
        report = self._own.report()
        relay, asked = self._routes.own_relay()
        if relay != self._relay:
            self._leave_relay(self._relay)
            self._relay = relay
        for address in asked:
            self._send(ASK, address)
        if relay == self._routes.own_address:
            self._domain.take_own(report, is_urgent=is_urgent)
        elif relay is not None:
            kind = URGENT_REPORT if is_urgent else REPORT
            self._send(kind + encode_load(report), relay)

    def _leave_relay(self, relay: Address | None) -> None:
        instance_id = self._settings.instance_id
        if relay == self._routes.own_address:
            self._domain.collector.drop(instance_id)
        elif relay is not None:
            self._send(LEFT + instance_id.encode(), relay)

    def _send(self, data: bytes, address: Address) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, address)


class _DomainRelay:
    """Tells of the instances that report to this one, as long as any do."""

    def __init__(
        self, reports: LoadReports, clock: Clock, settings: NodeSettings
    ) -> None:
        self.collector = DomainCollector(clock, settings.instance_id)
        self._reports = reports
        self._clock = clock
        self._near = self.collector.audience(NEAR_TOLD_COUNT)
        self._far = self.collector.audience(FAR_TOLD_COUNT, are_reporting=False)
        self._near_timer = _Timer(clock, self._tell_near)
        self._far_timer = _Timer(clock, self._tell_far)
        self._urgent_timer = _Timer(clock, self._tell_urgent)
        self._near_ms = COLLECT_MS
        self._far_ms = COLLECT_MS
        self._passed_on: list[bytes] = []

    @property
    def is_idle(self) -> bool:
        """True while no instance reports here."""
        return self.collector.is_empty

    def stop(self) -> None:
        """Send nothing more."""
        for timer in (self._near_timer, self._far_timer, self._urgent_timer):
            timer.stop()

    def take_report(self, body: bytes, *, is_urgent: bool) -> None:
        """Merge the report of an instance. Raises `ValueError` if it is none."""
        load = decode_load(body, self.collector.last_end)
        self._taken(has_changed=self.collector.take(load), is_urgent=is_urgent)

    def take_own(self, load: InstanceLoad, *, is_urgent: bool) -> None:
        """Merge the report of this instance."""
        self._taken(has_changed=self.collector.take(load), is_urgent=is_urgent)

    def pass_on(self, message: bytes, *, is_urgent: bool) -> None:
        """Pass a message of another domain's relay on to the own domain."""
        self._passed_on.append(message)
        if is_urgent:
            self._pass_on_now()
        else:
            self._near_timer.start(self._near_ms)

    def drop_silent(self) -> None:
        """Forget instances that stopped reporting."""
        for instance_id in self.collector.drop_silent():
            _log.info("an instance stopped reporting", peer_id=instance_id)
            self._near_timer.start(self._near_ms)
            self._far_timer.start(self._far_ms)

    def _taken(self, *, has_changed: bool, is_urgent: bool) -> None:
        if is_urgent:
            self._urgent_timer.start(URGENT_MS)
        self._near_timer.start(self._near_ms if has_changed else IDLE_NEAR_MS)
        self._far_timer.start(self._far_ms if has_changed else FAR_COLLECT_MAX_MS)

    def _tell_near(self) -> None:
        load = self.collector.message(self._near)
        self._reports.take(load)
        message = encode_domain_load(load)
        messages, self._passed_on = [message, *self._passed_on], []
        self._reports.send_near(messages)
        self._near_ms = collect_ms(len(message), self._reports.least_link_mbps)

    def _tell_far(self) -> None:
        message = encode_domain_load(self.collector.message(self._far))
        self._reports.send_far(message, is_urgent=False)
        self._far_ms = collect_ms(
            len(message) * self._reports.far_domain_count,
            self._reports.least_link_mbps,
            FAR_COLLECT_MAX_MS,
        )

    def _tell_urgent(self) -> None:
        near = self.collector.ends_message(self._near)
        self._reports.take(near)
        self._passed_on.append(encode_domain_load(near))
        self._pass_on_now()
        far = encode_domain_load(self.collector.ends_message(self._far))
        self._reports.send_far(far, is_urgent=True)

    def _pass_on_now(self) -> None:
        messages, self._passed_on = self._passed_on, []
        self._reports.send_near(messages)


class _Timer:
    """Calls back once at the earliest of the times that were asked for."""

    def __init__(self, clock: Clock, callback: Callable[[], None]) -> None:
        self._clock = clock
        self._callback = callback
        self._handle: asyncio.TimerHandle | None = None
        self._due_ms = float("inf")
        self._is_stopped = False

    def start(self, delay_ms: float) -> None:
        """Call back after a time, or earlier if that was asked for already."""
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
