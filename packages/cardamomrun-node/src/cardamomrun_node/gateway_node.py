"""A node that runs a routing document: the parts of its roles, started in order."""

import asyncio
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

from cardamomrun_base.clock import Clock
from cardamomrun_base.headers import GatewayHeaders
from cardamomrun_base.logs import ComponentLog
from cardamomrun_base.model import MemberPhase
from cardamomrun_base.routing_document import RoutingDocument
from cardamomrun_base.settings import GatewaySettings, NodeSettings, Role
from cardamomrun_fleet.fleet import Fleet
from cardamomrun_gateway.address_book import EntryAddresses
from cardamomrun_gateway.crash_guard import CrashGuard
from cardamomrun_gateway.dispatch import DispatchDependencies
from cardamomrun_gateway.document_check import DocumentAnswers, DocumentCheck
from cardamomrun_gateway.fleet_load import FleetLoad
from cardamomrun_gateway.front import GatewayFront
from cardamomrun_gateway.hedging import Hedging
from cardamomrun_gateway.link_queue import LinkQueue
from cardamomrun_gateway.load_reports import LoadReports
from cardamomrun_gateway.paths import OwnPaths, PeerPaths
from cardamomrun_gateway.permits import Permits
from cardamomrun_gateway.placement import Placement
from cardamomrun_gateway.quotas import Quotas
from cardamomrun_gateway.refusals import Refusals
from cardamomrun_gateway.request_admission import RequestAdmission
from cardamomrun_gateway.retry_budget import RetryBudget
from cardamomrun_gateway.routed_request import RouteTimes
from cardamomrun_gateway.server_attempt import AttemptDependencies
from cardamomrun_gateway.server_connections import ServerConnections
from cardamomrun_gateway.server_limits import ServerLimits
from cardamomrun_gateway.server_notices import ServerNotices
from cardamomrun_gateway.server_registry import ServerRegistry
from cardamomrun_gateway.shutdown import Shutdown
from cardamomrun_gateway.table import RoutingTable
from cardamomrun_node.parts import PartLoop, cancel_task, run_with_restarts
from cardamomrun_node.settings_watch import fields_needing_restart
from cardamomrun_requests.background import BackgroundTasks
from cardamomrun_requests.client_memory import ClientMemory

if TYPE_CHECKING:
    from cardamomrun_control.routing_service import RoutingControl

__all__ = ["GatewayNode"]

# How long a starting entry instance waits for control to confirm its document.
FIRST_CONFIRMATION_MS = 1_000.0

_log = ComponentLog("node")


class GatewayNode:
    """One process of a fleet that runs a routing document.

    `control` and `registry` are set on control instances.
    """

    def __init__(
        self, settings: NodeSettings, clock: Clock, headers: GatewayHeaders
    ) -> None:
        self._settings = settings
        self._gateway = settings.gateway or GatewaySettings()
        self._clock = clock
        self._headers = headers
        self.fleet = Fleet(settings, clock)
        self.table = RoutingTable(self.fleet.store)
        self.control: RoutingControl | None = None
        self.registry: ServerRegistry | None = None
        self._link = LinkQueue(clock, settings.link_mbps)
        self._paths = OwnPaths(clock, self._link)
        self._peers = PeerPaths(clock, self.fleet, settings.failure_domain)
        self._load = FleetLoad(
            clock, self.fleet.store, settings.instance_id, self._paths
        )
        self.addresses = EntryAddresses(
            settings, clock, self.fleet, self._load, self._paths, self._peers
        )
        self._budget = RetryBudget(self._gateway, clock)
        self._reports = LoadReports(
            settings, clock, self.fleet, self._load, self._budget
        )
        self._route_times = RouteTimes()
        self._hedging = Hedging(self._gateway, self._route_times)
        self.table.on_change = self._forget_removed_routes
        self.client_memory = ClientMemory(settings, clock)
        self._shutdown = Shutdown(clock, self._gateway.grace_ms)
        self._quotas: Quotas | None = None
        self._front: GatewayFront | None = None
        self._stack = AsyncExitStack()
        if Role.CONTROL in settings.roles:
            self._add_control()

    def _add_control(self) -> None:
        # Imported here because entry instances do without it: the import would take a
        # quarter of their start-up time.
        from cardamomrun_control.routing_service import RoutingControl

        self.control = RoutingControl(self._settings, self._clock, self.fleet)
        self.registry = ServerRegistry(
            self._clock, self.fleet, self.control, self.fleet.meter
        )
        DocumentAnswers(self.control.newest, self._reports)

    @property
    def is_ready(self) -> bool:
        """True while callers may be directed to this instance."""
        return (
            self._front is not None
            and not self._shutdown.has_begun
            and self.table.document is not None
        )

    async def start(self) -> None:
        """Start all parts; if one fails, stop those already started and raise."""
        async with AsyncExitStack() as stack:
            await self.fleet.start()
            stack.push_async_callback(self.fleet.stop)
            await self._reports.start(self.fleet.start_incarnation)
            stack.callback(self._reports.stop)
            self._start_loop(self._reports.run, stack)
            if self.control is not None:
                await self._start_control(self.control, stack)
            if Role.ENTRY in self._settings.roles:
                await self._start_entry(stack)
            self._stack = stack.pop_all()
        self.fleet.set_phase(MemberPhase.SERVING)
        _log.info(f"serves as {', '.join(self._settings.roles)}")

    def reload(self, settings: NodeSettings) -> None:
        """Apply new seeds, retry limits, quota bounds and rules for keys.

        The log names the changes that need a restart.
        """
        gateway = settings.gateway or GatewaySettings()
        self.fleet.use_seeds(settings.fleet.seeds)
        self._gateway = gateway
        self._budget.update_settings(gateway)
        self._hedging.update_settings(gateway)
        if self._quotas is not None:
            self._quotas.update_settings(gateway)
        deferred = fields_needing_restart(self._settings, settings)
        _log.info(
            "has reloaded its settings",
            seeds=settings.fleet.seeds,
            retry_ratio=gateway.retry_ratio,
            retry_slack_count=gateway.retry_slack_count,
            hedge_ratio=gateway.hedge_ratio,
            has_strict_revocation=gateway.has_strict_revocation,
            from_next_start=deferred,
        )

    def _forget_removed_routes(self, document: RoutingDocument) -> None:
        self._route_times.keep_only(document.patterns)
        self._hedging.keep_only(document.patterns)

    def _may_be_revoked(self, documents: DocumentCheck) -> bool:
        """Return True while strict revocation forbids to accept keys."""
        return (
            self._gateway.has_strict_revocation
            and documents.confirmed_age_ms > self._gateway.revoke_ms
        )

    def begin_stop(self) -> None:
        """Begin the grace period, in which `stop` has to end."""
        self._shutdown.begin()

    async def stop(self) -> None:
        """Leave the directory, finish requests in flight, and close everything."""
        self.begin_stop()
        _log.info("leaves the directory and finishes requests in flight")
        self.fleet.set_phase(MemberPhase.LEAVING)
        await self._stack.aclose()

    async def _start_control(
        self, control: "RoutingControl", stack: AsyncExitStack
    ) -> None:
        await control.start()
        stack.push_async_callback(control.stop)
        assert self.registry is not None
        self._start_loop(self.registry.run, stack)

    async def _start_entry(self, stack: AsyncExitStack) -> None:
        settings, clock, load = self._settings, self._clock, self._load
        connections = ServerConnections(
            self._gateway, clock, load, self._link, self.fleet.meter
        )
        limits = ServerLimits(clock, self.fleet, load)
        attempt_tools = AttemptDependencies(
            clock,
            self._headers,
            connections,
            self._reports,
            self._route_times,
            limits,
            load,
            ServerNotices(
                clock, self._headers, self.fleet, load, connections, self._reports
            ),
            self._link,
        )
        placement = Placement(
            clock, load, settings.failure_domain, self._gateway.floor_ratio
        )
        crash_guard = CrashGuard(clock, self.fleet, load)
        documents = DocumentCheck(
            clock, self.fleet, self.table, self._reports, settings.failure_domain
        )
        self._quotas = quotas = Quotas(
            self._gateway, clock, self.fleet, load, self.table, self._reports
        )
        self._start_loop(documents.run, stack)
        self._start_loop(quotas.run, stack)
        await documents.wait_first(FIRST_CONFIRMATION_MS)
        tools = DispatchDependencies(
            attempt_tools,
            self.table,
            load,
            placement,
            Permits(clock, load, limits, self._reports),
            crash_guard,
            self._paths,
            self._peers,
            BackgroundTasks(),
            self._shutdown,
            RequestAdmission(
                attempt_tools,
                self.table,
                lambda: documents.is_current,
                lambda: self._may_be_revoked(documents),
            ),
            Refusals(attempt_tools, load, placement),
            self._hedging,
            quotas,
        )
        self._front = GatewayFront(
            settings, clock, self._headers, tools, connections, self.client_memory
        )
        await self._front.start()
        stack.push_async_callback(self._front.stop)

    def _start_loop(self, loop: PartLoop, stack: AsyncExitStack) -> None:
        task = asyncio.get_running_loop().create_task(
            run_with_restarts(loop, self._clock)
        )
        stack.push_async_callback(cancel_task, task)
