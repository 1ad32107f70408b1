"""A node: the parts that its roles need, started and stopped in order."""

import asyncio
from contextlib import AsyncExitStack

from tornado.web import URLSpec

from cardamomrun_backends.announcements import AnnouncementTokens, announcement_routes
from cardamomrun_backends.backends import LiveBackends
from cardamomrun_backends.decider import Decider
from cardamomrun_backends.directory import Directory
from cardamomrun_backends.registry import Registry
from cardamomrun_backends.reporter import Reporter
from cardamomrun_base.clock import Clock
from cardamomrun_base.logs import ComponentLog
from cardamomrun_base.model import MemberPhase
from cardamomrun_base.settings import NodeSettings, Role
from cardamomrun_control.service import ControlService
from cardamomrun_fleet.fleet import Fleet
from cardamomrun_node.admin import AdminListener, MetricsHandler, StatusHandler
from cardamomrun_node.environments import LiveEnvironments
from cardamomrun_node.in_force import InForceHandler
from cardamomrun_node.parts import PartLoop, cancel_task, run_with_restarts
from cardamomrun_requests.claims import QuorumClaims
from cardamomrun_requests.client_memory import ClientMemory
from cardamomrun_requests.front_proxy import FrontProxy
from cardamomrun_requests.keeper import Keeper
from cardamomrun_requests.quarantine import CrashQuarantine

__all__ = ["Node"]

_log = ComponentLog("node")


class Node:
    """One process of the fleet.

    `start` opens the listeners in the order in which other parts need them; `stop`
    is a graceful shutdown that interrupts no request in flight.
    """

    def __init__(self, settings: NodeSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self.fleet = Fleet(settings, clock)
        self.environments = LiveEnvironments(self.fleet.store)
        self.backends = LiveBackends(settings, clock, self.fleet, self.environments)
        self._client_memory = ClientMemory(settings, clock)
        self._routes = self._common_routes()
        self._stack = AsyncExitStack()

    async def start(self) -> None:
        """Start all parts; if one fails, stop those already started and raise."""
        async with AsyncExitStack() as stack:
            await self._start_parts(stack)
            self._stack = stack.pop_all()
        self.fleet.set_phase(MemberPhase.SERVING)
        _log.info(f"serves as {', '.join(self._settings.roles)}")

    async def stop(self) -> None:
        """Leave the directory, finish requests in flight, and close everything."""
        self.fleet.set_phase(MemberPhase.LEAVING)
        _log.info("leaves the directory and finishes requests in flight")
        await self._stack.aclose()

    async def _start_parts(self, stack: AsyncExitStack) -> None:
        roles = self._settings.roles
        control = self._build_control() if Role.CONTROL in roles else None
        keeper = self._build_keeper() if Role.ENTRY in roles else None
        await self.fleet.start()
        stack.push_async_callback(self.fleet.stop)
        if control is not None:
            await self._start_control(control, stack)
        if keeper is not None:
            await self._start_entry(keeper, stack)
        admin = AdminListener(self._settings, self._routes, self._client_memory)
        admin.start()
        stack.push_async_callback(admin.stop)

    def _build_control(self) -> ControlService:
        return ControlService(self._settings, self._clock, self.fleet)

    def _build_keeper(self) -> Keeper:
        # Built before the first peer link opens: otherwise a claim could reach a node
        # that accepts links but has no handler for the message yet.
        incarnation = self.fleet.start_incarnation
        return Keeper(self._settings, self._clock, self.fleet, incarnation)

    async def _start_control(
        self, control: ControlService, stack: AsyncExitStack
    ) -> None:
        await control.start()
        stack.push_async_callback(control.stop)
        decider = Decider(
            self._settings,
            self._clock,
            self.fleet,
            self.environments,
            control.leadership,
        )
        control.set_roster_reports(decider)
        self._start_loop(decider.run, stack)
        self._routes += control.routes()
        parts = {
            "clock": self._clock,
            "fleet": self.fleet,
            "environments": self.environments,
            "decider": decider,
            "leadership": control.leadership,
        }
        self._routes.append(URLSpec(r"/v1/in-force", InForceHandler, parts))

    async def _start_entry(self, keeper: Keeper, stack: AsyncExitStack) -> None:
        settings, clock, fleet = self._settings, self._clock, self.fleet
        registry = Registry(settings, clock, fleet)
        reporter = Reporter(settings, clock, fleet, self.backends, self.environments)
        claims = QuorumClaims(settings, clock, fleet, keeper=keeper)
        front_proxy = FrontProxy(
            settings,
            clock,
            self.environments,
            self.backends,
            claims,
            CrashQuarantine(settings, clock, fleet, self.backends),
            Directory(settings, clock, fleet),
            self._client_memory,
        )
        assert settings.announcement_tokens_file is not None
        tokens = AnnouncementTokens(settings.announcement_tokens_file)
        self._routes += announcement_routes(registry, self.backends, tokens)
        self._start_loop(registry.run, stack)
        self._start_loop(reporter.run, stack)
        await front_proxy.start()
        # Runs after the last request and before the peer links close; a claim whose
        # settlement is lost stays in state running until its retention time ends.
        stack.push_async_callback(claims.finish)
        stack.push_async_callback(front_proxy.stop)

    def _common_routes(self) -> list[URLSpec]:
        parts = {
            "settings": self._settings,
            "fleet": self.fleet,
            "environments": self.environments,
            "backends": self.backends,
        }
        return [
            URLSpec(r"/metrics", MetricsHandler),
            URLSpec(r"/v1/status", StatusHandler, parts),
        ]

    def _start_loop(self, loop: PartLoop, stack: AsyncExitStack) -> None:
        task = asyncio.get_running_loop().create_task(
            run_with_restarts(loop, self._clock)
        )
        stack.push_async_callback(cancel_task, task)
