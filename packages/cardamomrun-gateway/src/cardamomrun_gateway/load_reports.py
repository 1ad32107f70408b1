"""Tells the other instances what this one has in work, by datagrams.

Control instances send none of their own: they listen, to tell callers which instances
are alive, and relay where their links are wider than those of entry instances.

A report goes to the relay of the own failure domain. A relay collects reports for a
while and sends them together to the instances of its domain and to the
relays of the others, so that an instance receives a few batches and not the reports
of each other one. Datagrams may be lost: each report holds the whole state of its
sender, and one is sent at least every `report_idle_ms`. A report that puts a server in
doubt is urgent: relays pass it on at once, since each request that goes to such a
server meanwhile may be lost.
"""

import asyncio
import random
from typing import Any

from cardamomrun_base.clock import MS_PER_S, Clock
from cardamomrun_base.errors import AddressInUseError
from cardamomrun_base.interfaces import Fleet
from cardamomrun_base.logs import PartLog
from cardamomrun_base.model import InstanceId
from cardamomrun_base.settings import GatewaySettings, NodeSettings, Role
from cardamomrun_gateway.fleet_load import FleetLoad, Server
from cardamomrun_gateway.load_messages import (
    batches,
    decode_load,
    encode_load,
    service_key,
    split_batch,
)
from cardamomrun_gateway.own_load import OwnLoad
from cardamomrun_gateway.report_relays import COLLECT_MS, Address, collect_ms
from cardamomrun_gateway.report_routes import ReportRoutes
from cardamomrun_gateway.retry_budget import RetryBudget
from cardamomrun_gateway.server_health import AttemptEnd

__all__ = ["LoadReports"]

# Starts and ends within this time leave in one datagram. Longer, and two instances
# take the same free slot more often.
FLUSH_MS = 2.0
# A control instance that hears nothing for this long asks an instance other than the
# relay to pass batches on to it, for `LISTEN_MS` each time.
DEAF_MS = 500.0
LISTEN_MS = 1_500.0
REPORT = b"\x01"
URGENT_REPORT = b"\x02"
NEAR_BATCH = b"\x03"
FAR_BATCH = b"\x04"
URGENT_FAR_BATCH = b"\x05"
LISTEN = b"\x06"
REPORTS = frozenset((REPORT, URGENT_REPORT))
URGENT = frozenset((URGENT_REPORT, URGENT_FAR_BATCH))
URGENT_ENDS = frozenset((AttemptEnd.RESET, AttemptEnd.REFUSED))

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
        self._fleet = fleet
        self._load = load
        self._budget = budget
        self._random = randomness or random.Random()
        self._own = OwnLoad(clock, settings.instance_id)
        self._transport: asyncio.DatagramTransport | None = None
        self._flush_due = False
        self._routes = ReportRoutes(settings, clock, fleet)
        self._collect_ms = COLLECT_MS
        self._collected: dict[InstanceId, bytes] = {}
        self._passed_on: dict[InstanceId, bytes] = {}
        self._batch_due = False
        self._heard_batch_ms = float("-inf")
        self._listeners: dict[Address, float] = {}
        self._sent_ms = float("-inf")

    async def start(self, incarnation: int) -> None:
        """Open the port in this run of the instance. Raises `AddressInUseError`."""
        self._own.incarnation = incarnation
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
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    async def run(self) -> None:
        """Report at least every `report_idle_ms`, until cancelled."""
        idle_ms = self._gateway.report_idle_ms
        sends = Role.ENTRY in self._settings.roles
        while True:
            self._load.drop_silent()
            if not sends:
                self._ask_if_deaf()
            if sends and self._clock.now_ms() - self._sent_ms >= idle_ms / 2:
                self._flush()
            await self._clock.sleep_ms(idle_ms * self._random.uniform(0.8, 1.0))

    def _ask_if_deaf(self) -> None:
        now_ms = self._clock.now_ms()
        if now_ms - self._heard_batch_ms < DEAF_MS:
            return
        self._routes.refresh()
        candidates = self._routes.relay_candidates
        if candidates:
            self._send(LISTEN, self._random.choice(candidates))

    def _pass_to_listeners(self, data: bytes, now_ms: float) -> None:
        for address, until_ms in list(self._listeners.items()):
            if until_ms > now_ms:
                self._send(data, address)
            else:
                del self._listeners[address]

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
        self._load.ended(server, end, started_ms)
        if end in URGENT_ENDS:
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
        """Merge reports, and pass on those that this instance relays."""
        now_ms = self._clock.now_ms()
        self._routes.heard(addr)
        kind, body = data[:1], data[1:]
        if kind == LISTEN:
            self._listeners[addr] = now_ms + LISTEN_MS
            return
        if kind == NEAR_BATCH:
            self._heard_batch_ms = now_ms
            self._pass_to_listeners(data, now_ms)
        try:
            reports = [body] if kind in REPORTS else split_batch(body)
            for report in reports:
                self._take(kind, report)
        except ValueError as error:
            _log.warning(f"a datagram was dropped: {error}")
            return
        if kind in URGENT:
            self._send_near(reports)
        if kind == URGENT_REPORT:
            self._send_far(URGENT_FAR_BATCH, reports)

    def error_received(self, exc: Exception) -> None:
        """Ignore refused datagrams: a peer that does not listen is found by its links."""

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
        body = encode_load(self._own.report())
        for relay in self._routes.own_relays():
            if relay != self._routes.own_address:
                self._send((URGENT_REPORT if is_urgent else REPORT) + body, relay)
            elif is_urgent:
                self._send_near([body])
                self._send_far(URGENT_FAR_BATCH, [body])
            else:
                self._collect(self._collected, self._settings.instance_id, body)

    def _take(self, kind: bytes, body: bytes) -> None:
        load = decode_load(body, self._load)
        if load.instance_id == self._settings.instance_id:
            return
        if kind == REPORT:
            self._collect(self._collected, load.instance_id, body)
        elif kind == FAR_BATCH:
            self._collect(self._passed_on, load.instance_id, body)
        self._load.take(load)
        self._budget.take(load)

    def _collect(
        self, held: dict[InstanceId, bytes], instance_id: InstanceId, body: bytes
    ) -> None:
        held[instance_id] = body
        if not self._batch_due:
            self._batch_due = True
            loop = asyncio.get_running_loop()
            loop.call_later(self._collect_ms / MS_PER_S, self._send_batches)

    def _send_batches(self) -> None:
        self._batch_due = False
        self._routes.refresh()
        own = list(self._collected.values())
        everything = [*own, *self._passed_on.values()]
        self._collected = {}
        self._passed_on = {}
        self._collect_ms = collect_ms(
            sum(len(body) for body in everything), self._routes.least_link_mbps
        )
        self._send_near(everything)
        self._send_far(FAR_BATCH, own)

    def _send_near(self, bodies: list[bytes]) -> None:
        now_ms = self._clock.now_ms()
        for data in batches(bodies):
            for address in self._routes.near:
                self._send(NEAR_BATCH + data, address)
            self._pass_to_listeners(NEAR_BATCH + data, now_ms)

    def _send_far(self, kind: bytes, bodies: list[bytes]) -> None:
        relays = self._routes.far_relays()
        for data in batches(bodies):
            for relay in relays:
                self._send(kind + data, relay)

    def _send(self, data: bytes, address: Address) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, address)
