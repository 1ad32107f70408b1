"""Draws faults from a seed and injects them into a running soak."""

import asyncio
import itertools
import random
import signal
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from ..relay import Direction
from .ledger import GRACE_S, Ledger
from .machines import Instance, Instances
from .servers import ServerMode, StandInServer

__all__ = [
    "Fault",
    "FaultInjector",
    "KINDS",
    "PLANNED_KINDS",
    "TURNOVER_FAULT_KINDS",
    "draw_faults",
    "draw_limits",
    "draw_notices",
    "draw_series",
    "draw_shedding",
]

KINDS = (
    "pause", "kill", "term", "hup", "wipe", "sick", "sick", "silence", "reset", "depart",
    "herd",
)  # fmt: skip
PLANNED_KINDS = ("term", "term", "again", "hup", "depart")
# Faults of backend servers and of entry instances, beside which the core is replaced.
TURNOVER_FAULT_KINDS = ("sick", "silence", "reset", "depart", "pause", "kill", "term")
# Planned too, and drawn apart.
APART_KINDS = ("limit", "roll", "rest", "leave")
# These stop or pause instances.
DISTURBING_KINDS = ("pause", "kill", "wipe", "herd", "shed", "term", "again", "roll")
FAULTY_MODES = tuple(mode for mode in ServerMode if mode is not ServerMode.HEALTHY)
# Share of the requests that servers refuse while they shed.
SHED_RATIO = 0.7
# An instance that pauses for this long is replaced as relay of its failure domain.
SHED_PAUSE_S = 0.7
# The grace time of 6 s, pauses that overlap it, and a slow start on a loaded machine.
STOP_LIMIT_S = 12.0
# A new control instance counts as lost for this long, so the next one goes only then.
CATCH_UP_S = 4.05
REMOVALS = (signal.SIGKILL, signal.SIGSTOP, signal.SIGTERM)


@dataclass(frozen=True)
class Fault:
    """One fault: its start, from the start of the traffic, and its length, in seconds.

    `selector` is a random number that selects the target and variant of the fault.
    """

    kind: str
    at_s: float
    length_s: float
    selector: int


def draw_faults(
    seed: int, duration_s: float, count: int, kinds: tuple[str, ...]
) -> list[Fault]:
    """Return the faults of a seed, sorted by start; they may overlap."""
    rng = random.Random(seed)
    faults = [
        Fault(
            rng.choice(kinds),
            rng.uniform(0.5, duration_s),
            rng.uniform(0.3, 3.0),
            rng.randrange(1_000_000),
        )
        for _ in range(count)
    ]
    return sorted(faults, key=lambda fault: fault.at_s)


def draw_limits(seed: int, duration_s: float) -> list[Fault]:
    """Return when servers begin to name limits; drawn apart from the other faults.

    They last long enough to be checked, and the selector gives the limit too.
    """
    rng = random.Random(f"limits of {seed}")
    return [
        Fault(
            "limit", rng.uniform(0.0, 0.3 * duration_s), 9.0, rng.randrange(1_000_000)
        )
        for _ in range(rng.choice((0, 1, 2)))
    ]


def draw_series(seed: int, duration_s: float) -> list[Fault]:
    """Return when several instances are stopped in turn; drawn apart, as above."""
    rng = random.Random(f"series of {seed}")
    return [
        Fault(
            "roll",
            rng.uniform(0.5, duration_s),
            rng.uniform(0.2, 1.5),
            rng.randrange(1_000_000),
        )
        for _ in range(rng.choice((0, 1, 1)))
    ]


def draw_notices(seed: int, duration_s: float) -> list[Fault]:
    """Return when servers ask for pauses, and when some say early that they leave."""
    rng = random.Random(f"notices of {seed}")
    return [
        Fault(
            rng.choice(("rest", "rest", "leave")),
            rng.uniform(0.5, duration_s),
            rng.uniform(1.0, 4.0),
            rng.randrange(1_000_000),
        )
        for _ in range(rng.choice((1, 2, 3)))
    ]


def draw_shedding(seed: int, duration_s: float) -> list[Fault]:
    """Return when all servers refuse most requests; in half of the seeds."""
    rng = random.Random(f"shedding of {seed}")
    return [
        Fault(
            "shed",
            rng.uniform(0.3, 0.7) * duration_s,
            rng.uniform(0.3, 0.5) * duration_s,
            rng.randrange(1_000_000),
        )
        for _ in range(rng.choice((0, 1)))
    ]


class FaultInjector:
    """Injects faults into the processes and connections of one run."""

    def __init__(
        self,
        instances: Instances,
        servers: list[StandInServer],
        ledger: Ledger,
        add_server: Callable[[], Awaitable[None]],
        *,
        spares_control: bool = False,
    ) -> None:
        self._spares_control = spares_control
        self._instances = instances
        self._servers = servers
        self._ledger = ledger
        self._add_server = add_server
        self._has_wiped = False

    async def inject(self, fault: Fault) -> None:
        """Wait for the start of a fault and inject it.

        Pauses, restarts and faulty server modes end after `length_s`; dropped data and
        departures last.
        """
        await asyncio.sleep(fault.at_s)
        start_s = time.monotonic()
        await getattr(self, f"_{fault.kind}")(fault)
        if fault.kind not in (*PLANNED_KINDS, *APART_KINDS):
            self._ledger.unplanned_s.append((start_s, time.monotonic()))
        if fault.kind in DISTURBING_KINDS:
            self._ledger.disturbed_s.append((start_s, time.monotonic()))

    async def heal(self) -> None:
        """Make all servers healthy and resume or restart all instances."""
        for server in self._servers:
            server.mode = ServerMode.HEALTHY
        for instance in self._instances.all:
            if instance.is_removed:
                continue
            if instance.is_paused:
                instance.signal(signal.SIGCONT)
            self._start(instance)
        now_s = time.monotonic()
        self._ledger.disturbed_s.append((now_s, now_s))

    async def replace_core(
        self, seed: int, step_count: int, acknowledged: Callable[[], int]
    ) -> None:
        """Replace control instances one after the other, as fast as the platform does.

        Half of those removed are the ones that lead. In each step the operator must get
        a document acknowledged.
        """
        if not step_count:
            return
        rng = random.Random(f"turnover of {seed}")
        self._instances.add_control()
        await asyncio.sleep(CATCH_UP_S)
        for _ in range(step_count):
            control = self._instances.control
            leader = max(control, key=Instance.leader_term)
            victim = leader if rng.random() < 0.5 else rng.choice(control)
            removal = rng.choice(REMOVALS)
            role = "leader" if victim is leader else "control instance"
            self._ledger.record_fault(f"removes the {role} {victim.ip}: {removal.name}")
            before = acknowledged()
            victim.remove(removal)
            self._instances.add_control()
            await asyncio.sleep(CATCH_UP_S)
            if acknowledged() == before:
                self._ledger.record_violation(
                    f"no document was acknowledged within {CATCH_UP_S} s after the "
                    f"removal of {victim.ip}"
                )

    def check_exits(self) -> None:
        """Check that no instance ended by itself."""
        for instance in self._instances.all:
            self._check_exit(instance)

    def _check_exit(self, instance: Instance) -> None:
        if instance.unexpected_exit_code is not None:
            self._ledger.record_violation(
                f"{instance.ip} ended by itself with {instance.unexpected_exit_code}"
            )

    def _start(self, instance: Instance) -> None:
        if not instance.is_running:
            self._check_exit(instance)
            self._ledger.record_restart(instance.ip)
            instance.start()

    def _selected_instance(self, fault: Fault) -> Instance:
        instances = self._instances.all
        if self._spares_control:
            instances = self._instances.entry
        return instances[fault.selector % len(instances)]

    def _selected_server(self, fault: Fault) -> StandInServer:
        return self._servers[fault.selector % len(self._servers)]

    async def _pause(self, fault: Fault) -> None:
        instance = self._selected_instance(fault)
        self._ledger.record_fault(f"pauses {instance.ip} for {fault.length_s:.1f} s")
        instance.signal(signal.SIGSTOP)
        self._ledger.record_restart(instance.ip)
        await asyncio.sleep(fault.length_s)
        instance.signal(signal.SIGCONT)
        self._ledger.record_restart(instance.ip)

    async def _kill(self, fault: Fault) -> None:
        await self._restart([self._selected_instance(fault)], fault)

    async def _herd(self, fault: Fault) -> None:
        """Kill half of all instances at once and restart them together."""
        rng = random.Random(fault.selector)
        count = len(self._instances.all)
        await self._restart(rng.sample(self._instances.all, count // 2), fault)

    async def _restart(self, instances: list[Instance], fault: Fault) -> None:
        for instance in instances:
            self._ledger.record_fault(f"kills {instance.ip} for {fault.length_s:.1f} s")
            instance.kill()
        await asyncio.sleep(fault.length_s)
        for instance in instances:
            self._start(instance)

    async def _wipe(self, fault: Fault) -> None:
        # Three control instances tolerate the loss of one disk.
        if self._has_wiped:
            return
        self._has_wiped = True
        control = self._instances.control
        instance = control[fault.selector % len(control)]
        self._ledger.record_fault(f"deletes the data of {instance.ip}")
        instance.kill()
        instance.delete_data()
        await asyncio.sleep(fault.length_s)
        self._start(instance)

    async def _term(self, fault: Fault) -> None:
        await self._stop(self._selected_instance(fault), is_killed=fault.selector % 2)

    async def _roll(self, fault: Fault) -> None:
        """Stop instances in turn, each some time after the one before."""
        rng = random.Random(fault.selector)
        instances = rng.sample(self._instances.all, len(self._instances.all) - 1)
        stops = []
        for instance in instances:
            stops.append(asyncio.create_task(self._stop(instance, is_killed=True)))
            await asyncio.sleep(fault.length_s)
        await asyncio.gather(*stops)

    async def _again(self, fault: Fault) -> None:
        """Stop an instance with signals before and after, and once more when it is back."""
        instance = self._selected_instance(fault)
        for _ in range(2):
            instance.signal(signal.SIGHUP)
            stopping = instance.process_id
            stop = asyncio.create_task(self._stop(instance, is_killed=True))
            await asyncio.sleep(fault.length_s)
            if instance.process_id == stopping:
                instance.signal(signal.SIGHUP)
                instance.signal(signal.SIGTERM)
            await stop
            await asyncio.sleep(fault.length_s)

    async def _stop(self, instance: Instance, *, is_killed: bool | int) -> None:
        """Stop an instance and start it again.

        Without `is_killed`, it has to end by itself; with it, the platform's stand-in
        kills it after the grace period.
        """
        limit_s = GRACE_S if is_killed else STOP_LIMIT_S
        started_s = time.monotonic()
        self._ledger.record_fault(f"stops {instance.ip}, limit {limit_s} s")
        if not instance.is_stopping:
            self._ledger.stops_s[instance.ip].append(started_s)
        instance.signal(signal.SIGTERM)
        stopping = instance.process_id
        # Another fault may meanwhile kill the process and start a new one.
        while instance.is_running and instance.process_id == stopping:
            if time.monotonic() > started_s + limit_s:
                if not is_killed:
                    self._ledger.record_violation(
                        f"{instance.ip} runs {STOP_LIMIT_S} s after SIGTERM"
                    )
                instance.kill()
            await asyncio.sleep(0.01)
        self._start(instance)

    async def _hup(self, fault: Fault) -> None:
        instance = self._selected_instance(fault)
        self._ledger.record_fault(f"SIGHUP to {instance.ip}")
        instance.signal(signal.SIGHUP)

    async def _sick(self, fault: Fault) -> None:
        """Put a backend server into a faulty mode for a while."""
        server = self._selected_server(fault)
        mode = FAULTY_MODES[fault.selector % len(FAULTY_MODES)]
        self._ledger.record_fault(
            f"{server.server_id} {mode} for {fault.length_s:.1f} s"
        )
        server.mode = mode
        await asyncio.sleep(fault.length_s)
        server.mode = ServerMode.HEALTHY

    async def _shed(self, fault: Fault) -> None:
        """Let all servers refuse most requests while entry instances pause in turn."""
        self._ledger.record_fault(f"all servers shed for {fault.length_s:.1f} s")
        end_s = time.monotonic() + fault.length_s
        for server in self._servers:
            server.refused_ratio = SHED_RATIO
        for number in itertools.count(fault.selector):
            if time.monotonic() >= end_s:
                break
            instance = self._instances.entry[number % len(self._instances.entry)]
            instance.signal(signal.SIGSTOP)
            self._ledger.record_restart(instance.ip)
            await asyncio.sleep(SHED_PAUSE_S)
            instance.signal(signal.SIGCONT)
            self._ledger.record_restart(instance.ip)
            await asyncio.sleep(SHED_PAUSE_S)
        for server in self._servers:
            server.refused_ratio = 0.0

    async def _limit(self, fault: Fault) -> None:
        """Let a backend server name a limit of 1 to 8 requests a second for a while."""
        server = self._selected_server(fault)
        if server.limit_per_s is not None:
            return
        server.limit_per_s = 1.0 + fault.selector % 8
        self._ledger.record_fault(
            f"{server.server_id} names a limit of {server.limit_per_s} a second"
        )
        await asyncio.sleep(fault.length_s)
        server.limit_per_s = None
        self._ledger.limited_arrivals_s.pop(server.server_id, None)

    async def _rest(self, fault: Fault) -> None:
        """Let a backend server ask for a pause of `length_s`."""
        server = self._selected_server(fault)
        self._ledger.record_fault(
            f"{server.server_id} asks for pauses of {fault.length_s:.1f} s"
        )
        server.pause_says_not_run = bool(fault.selector % 2)
        server.pause_until_s = time.monotonic() + fault.length_s
        await asyncio.sleep(fault.length_s)

    async def _leave(self, fault: Fault) -> None:
        """Let a backend server say in its answers that it leaves, and announce it later."""
        server = self._selected_server(fault)
        self._ledger.record_fault(f"{server.server_id} says that it leaves")
        await self._add_server()
        server.is_leaving = True
        await asyncio.sleep(fault.length_s)
        server.start_draining()

    async def _silence(self, fault: Fault) -> None:
        """Drop data on the open connections of a backend server."""
        server = self._selected_server(fault)
        choices = (Direction.REQUESTS, Direction.ANSWERS, ~Direction(0))
        dropped = choices[fault.selector % len(choices)]
        self._ledger.record_fault(
            f"drops data on connections of {server.server_id}: {dropped}"
        )
        assert server.relay is not None
        server.relay.drop_data(dropped)

    async def _reset(self, fault: Fault) -> None:
        server = self._selected_server(fault)
        self._ledger.record_fault(f"resets connections of {server.server_id}")
        assert server.relay is not None
        server.relay.reset()

    async def _depart(self, fault: Fault) -> None:
        """Drain a backend server after a new one has taken its place."""
        server = self._selected_server(fault)
        self._ledger.record_fault(f"{server.server_id} starts to drain")
        await self._add_server()
        server.start_draining()
