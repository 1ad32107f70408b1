"""Faults drawn from a seed: what strikes, when, whom and for how long."""

import asyncio
import random
import signal
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from ..relay import Direction
from .ledger import Ledger
from .machines import Machine, Machines
from .servers import Mode, StandIn

__all__ = ["Fault", "Strikes", "draw"]

KINDS = (
    "pause", "kill", "term", "hup", "wipe", "sick", "sick", "silence", "reset", "depart",
    "herd",
)  # fmt: skip
SICK_MODES = tuple(mode for mode in Mode if mode is not Mode.WELL)
# The grace time of 6 s, pauses that overlap it, and the start of a loaded machine.
STOP_LIMIT_S = 12.0


@dataclass(frozen=True)
class Fault:
    """One fault; times in seconds from the start of the traffic."""

    kind: str
    at_s: float
    for_s: float
    choice: int


def draw(seed: int, duration_s: float, count: int) -> list[Fault]:
    """Return the faults of a seed in the order of time; they may overlap."""
    rng = random.Random(seed)
    faults = [
        Fault(
            rng.choice(KINDS),
            rng.uniform(0.5, duration_s),
            rng.uniform(0.3, 3.0),
            rng.randrange(1_000_000),
        )
        for _ in range(count)
    ]
    return sorted(faults, key=lambda fault: fault.at_s)


class Strikes:
    """Injects faults into the processes and connections of one run."""

    def __init__(
        self,
        machines: Machines,
        servers: list[StandIn],
        ledger: Ledger,
        add_server: Callable[[], Awaitable[None]],
    ) -> None:
        self._machines = machines
        self._servers = servers
        self._ledger = ledger
        self._add_server = add_server
        self._has_wiped = False

    async def strike(self, fault: Fault) -> None:
        """Inject a fault at its time and heal it after its duration."""
        await asyncio.sleep(fault.at_s)
        await getattr(self, f"_{fault.kind}")(fault)

    async def heal(self) -> None:
        """Bring back everything that is still away."""
        for server in self._servers:
            server.mode = Mode.WELL
        for machine in self._machines.all:
            if machine.is_paused:
                machine.signal(signal.SIGCONT)
            if not machine.is_running:
                machine.start()

    def _machine(self, fault: Fault) -> Machine:
        return self._machines.all[fault.choice % len(self._machines.all)]

    def _server(self, fault: Fault) -> StandIn:
        return self._servers[fault.choice % len(self._servers)]

    async def _pause(self, fault: Fault) -> None:
        machine = self._machine(fault)
        self._ledger.fault(f"pauses {machine.ip} for {fault.for_s:.1f} s")
        machine.signal(signal.SIGSTOP)
        await asyncio.sleep(fault.for_s)
        machine.signal(signal.SIGCONT)

    async def _kill(self, fault: Fault) -> None:
        await self._restart([self._machine(fault)], fault)

    async def _herd(self, fault: Fault) -> None:
        rng = random.Random(fault.choice)
        count = len(self._machines.all)
        await self._restart(rng.sample(self._machines.all, count // 2), fault)

    async def _restart(self, machines: list[Machine], fault: Fault) -> None:
        for machine in machines:
            self._ledger.fault(f"kills {machine.ip} for {fault.for_s:.1f} s")
            machine.end()
        await asyncio.sleep(fault.for_s)
        for machine in machines:
            if not machine.is_running:
                machine.start()

    async def _wipe(self, fault: Fault) -> None:
        # One lost disk is what three control instances bear.
        if self._has_wiped:
            return
        self._has_wiped = True
        control = self._machines.control
        machine = control[fault.choice % len(control)]
        self._ledger.fault(f"wipes {machine.ip}")
        machine.end()
        machine.wipe()
        await asyncio.sleep(fault.for_s)
        if not machine.is_running:
            machine.start()

    async def _term(self, fault: Fault) -> None:
        machine = self._machine(fault)
        self._ledger.fault(f"stops {machine.ip}")
        machine.signal(signal.SIGTERM)
        stopping, limit_s = machine.process_id, time.monotonic() + STOP_LIMIT_S
        # Another fault may kill it meanwhile, and start a new process.
        while machine.is_running and machine.process_id == stopping:
            if time.monotonic() > limit_s:
                self._ledger.broke(f"{machine.ip} runs {STOP_LIMIT_S} s after SIGTERM")
                machine.end()
            await asyncio.sleep(0.05)
        if not machine.is_running:
            machine.start()

    async def _hup(self, fault: Fault) -> None:
        machine = self._machine(fault)
        self._ledger.fault(f"SIGHUP to {machine.ip}")
        machine.signal(signal.SIGHUP)

    async def _sick(self, fault: Fault) -> None:
        server = self._server(fault)
        mode = SICK_MODES[fault.choice % len(SICK_MODES)]
        self._ledger.fault(f"{server.server_id} {mode} for {fault.for_s:.1f} s")
        server.mode = mode
        await asyncio.sleep(fault.for_s)
        server.mode = Mode.WELL

    async def _silence(self, fault: Fault) -> None:
        server = self._server(fault)
        ways = (Direction.REQUESTS, Direction.ANSWERS, ~Direction(0))
        way = ways[fault.choice % len(ways)]
        self._ledger.fault(f"silences connections of {server.server_id}: {way}")
        assert server.relay is not None
        server.relay.silence(way)

    async def _reset(self, fault: Fault) -> None:
        server = self._server(fault)
        self._ledger.fault(f"resets connections of {server.server_id}")
        assert server.relay is not None
        server.relay.reset()

    async def _depart(self, fault: Fault) -> None:
        server = self._server(fault)
        self._ledger.fault(f"{server.server_id} departs")
        await self._add_server()
        server.leave()
