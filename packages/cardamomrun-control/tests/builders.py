"""Settings, documents, a fake fleet and a simulated cluster for the tests."""

import asyncio
import os
import random
import selectors
from dataclasses import dataclass, field, replace
from functools import wraps
from pathlib import Path

from cardamomrun_base.clock import Clock
from cardamomrun_base.codec import decode, encode
from cardamomrun_base.errors import (
    PeerTimeoutError,
    PeerUnreachableError,
    UnavailableError,
)
from cardamomrun_base.model import MemberBody, MemberPhase
from cardamomrun_base.routing_document import (
    RoutedService,
    RouteKind,
    RoutingDocument,
    RoutingRoute,
    ServiceWeight,
)
from cardamomrun_base.settings import (
    ControlSettings,
    FleetSettings,
    NodeSettings,
    Voter,
)
from cardamomrun_control.agreement import Agreement
from cardamomrun_control.routing_service import RoutingControl
from cardamomrun_control.state import ControlState
from cardamomrun_control.storage import Disk, DurableLog

TOKEN = "alice-token"


class _SkippingSelector(selectors.DefaultSelector):
    """Advances the virtual time instead of waiting."""

    loop = None

    def select(self, timeout=None):
        if timeout:
            self.loop.virtual_s += timeout
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time passes only while all tasks wait."""

    def __init__(self):
        self.virtual_s = 1_000.0
        selector = _SkippingSelector()
        selector.loop = self
        super().__init__(selector)

    def time(self):
        return self.virtual_s


class LoopClock(Clock):
    """The time of the running event loop."""

    def now_ms(self):
        return asyncio.get_running_loop().time() * 1_000

    def wall_ms(self):
        return int(self.now_ms())

    async def sleep_ms(self, duration_ms):
        await asyncio.sleep(duration_ms / 1_000)


class InlineDisk(Disk):
    """Runs file operations on the event loop, so that virtual time is deterministic.

    They take 2 ms, or until `is_blocked` is cleared. A sync only records the size of
    the file; `lose_unsynced` truncates the segment files to it, as a power loss does.
    """

    def __init__(self):
        super().__init__()
        self.synced_bytes = {}
        self.is_blocked = False

    async def run(self, function):
        await asyncio.sleep(0.002)
        while self.is_blocked:
            await asyncio.sleep(0.01)
        return function()

    def write(self, descriptor, data):
        status = os.fstat(descriptor)
        self.synced_bytes.setdefault(status.st_ino, status.st_size)
        return super().write(descriptor, data)

    def sync(self, descriptor):
        status = os.fstat(descriptor)
        self.synced_bytes[status.st_ino] = status.st_size

    def lose_unsynced(self, folder):
        for path in folder.glob("log-*.segment"):
            status = path.stat()
            size_bytes = self.synced_bytes.get(status.st_ino, status.st_size)
            os.truncate(path, min(status.st_size, size_bytes))


def run(main, limit_s=600):
    """Run a coroutine in virtual time; a hang ends after `limit_s` virtual seconds."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(asyncio.wait_for(main, limit_s))
    finally:
        loop.close()


def virtual_time(test):
    """Make a test of a coroutine function that runs in virtual time."""
    return wraps(test)(lambda *args, **fields: run(test(*args, **fields)))


def real_time(test):
    """Make a test of a coroutine function that uses sockets or threads."""
    return wraps(test)(lambda *args, **fields: asyncio.run(test(*args, **fields)))


def settings(folder, name="c1", voters=("c1",), **control):
    (Path(folder) / name).mkdir(exist_ok=True)
    control = ControlSettings(
        data_folder=Path(folder) / name,
        voters=tuple(Voter(v, f"127.0.0.1:{9000 + int(v[1:])}") for v in voters),
        operator_tokens_file=Path(folder) / "tokens.json",
        **{"election_timeout_ms": 1_000, "heartbeat_ms": 100, **control},
    )
    return NodeSettings(
        name, "bc-interior", "kelowna-a", ("control",), "127.0.0.1", 8001, 8002, 8003,
        FleetSettings(Path("key")), Path("tokens"), control,
        roster_settle_ms=1_000, idempotency_retention_ms=60_000,
    )  # fmt: skip


def document(service="rota-desk", deadline_ms=10_000):
    text = '{"service": "%s", "hosts": ["a.example"], "routes": [{"prefix": "/", "deadline_ms": %d}]}'
    return (text % (service, deadline_ms)).encode()


def member(name, phase=MemberPhase.SERVING, incarnation=1):
    return MemberBody(
        name, incarnation, "bc-interior", name, ("entry",), "", f"{name}:1", "", phase
    )


class FakeStore:
    def __init__(self):
        self.records = {}

    def get(self, kind, key):
        return self.records.get((kind, key))

    def all(self, kind):
        return [record for (held, _), record in self.records.items() if held is kind]

    def put(self, record):
        held = self.get(record.kind, record.key)
        if held is not None and held.version >= record.version:
            return False
        self.records[record.kind, record.key] = record
        return True


@dataclass
class Network:
    """Simulated faults per direction; `cuts` are (sender, receiver) pairs.

    The instances in `silent` have no power: nothing arrives there or comes from there.
    """

    seed: int = 1
    loss_ratio: float = 0.0
    duplicate_ratio: float = 0.0
    delay_ms: tuple[float, float] = (0.5, 2.0)
    cuts: set = field(default_factory=set)
    silent: set = field(default_factory=set)
    fleets: dict = field(default_factory=dict)

    def __post_init__(self):
        self.rng = random.Random(self.seed)
        self.in_transit = set()

    def isolate(self, name):
        for other in self.fleets:
            self.cuts |= {(name, other), (other, name)}

    def heal(self):
        self.cuts.clear()

    async def transmit(self, sender, receiver, message, answer):
        """Deliver in one direction, zero to two times; each copy has its own delay."""
        if (sender, receiver) in self.cuts or self.rng.random() < self.loss_ratio:
            return
        if {sender, receiver} & self.silent:
            return
        for _ in range(1 + (self.rng.random() < self.duplicate_ratio)):
            delay_s = self.rng.uniform(*self.delay_ms) / 1_000
            task = asyncio.ensure_future(
                self._deliver(sender, receiver, encode(message), answer, delay_s)
            )
            self.in_transit.add(task)
            task.add_done_callback(self.in_transit.discard)

    async def _deliver(self, sender, receiver, data, answer, delay_s):
        await asyncio.sleep(delay_s)
        await answer(sender, receiver, decode(data))


class FakeFleet:
    """One instance's end of a `Network`."""

    def __init__(self, name, network):
        self.instance_id = name
        self.network = network
        self.store = FakeStore()
        self.handlers = {}
        self.member_list = []
        network.fleets[name] = self

    def handle(self, message_type, handler):
        self.handlers[message_type] = handler

    def add_address(self, instance_id, peer_address):
        """Do nothing: the network delivers by name."""

    def members(self):
        return self.member_list

    def may_be_behind(self):
        return False

    async def deliver(self, record, *, copy_count, timeout_ms):
        """Put the record into the stores of reachable peers, at most `copy_count`."""
        self.store.put(record)
        peers = [name for name in self.network.fleets if name != self.instance_id]
        if not peers:
            return copy_count
        reached = [
            name
            for name in peers
            if not {(self.instance_id, name), (name, self.instance_id)}
            & self.network.cuts
        ][:copy_count]
        for name in reached:
            self.network.fleets[name].store.put(record)
        return len(reached)

    async def request(self, instance_id, message, *, timeout_ms):
        if instance_id not in self.network.fleets:
            raise PeerUnreachableError("no such peer.", remedy="none")
        result = asyncio.get_running_loop().create_future()

        async def arrived(sender, receiver, request):
            fleet = self.network.fleets.get(receiver)
            handler = None if fleet is None else fleet.handlers.get(type(request))
            if handler is None:
                return
            try:
                answer = await handler(sender, request)
            except Exception:
                return
            await self.network.transmit(receiver, sender, answer, returned)

        async def returned(sender, receiver, answer):
            if not result.done():
                result.set_result(answer)

        await self.network.transmit(self.instance_id, instance_id, message, arrived)
        try:
            async with asyncio.timeout(timeout_ms / 1_000):
                return await result
        except TimeoutError as error:
            raise PeerTimeoutError("no answer.", remedy="none") from error


class Replica:
    """A consensus replica with its state; `crash` and `start` keep the folder."""

    def __init__(self, cluster, name, voters):
        self.cluster, self.name, self.voters = cluster, name, voters
        self.settings = settings(cluster.folder, name, voters, **cluster.control)

    async def start(self):
        self.fleet = FakeFleet(self.name, self.cluster.network)
        self.state = ControlState()
        self.disk = InlineDisk()
        self.log = DurableLog(self.settings.control.data_folder, self.disk)
        self.agreement = Agreement(
            self.settings, LoopClock(), self.fleet, self.log, self.state,
            random.Random(f"{self.cluster.network.seed}{self.name}"),
        )  # fmt: skip
        await self.agreement.start()

    async def crash(self):
        del self.cluster.network.fleets[self.name]
        await self.agreement.stop()
        self.disk.lose_unsynced(self.settings.control.data_folder)


class Cluster:
    """Consensus replicas in one event loop over one `Network`."""

    def __init__(self, folder, count=3, network=None, **control):
        self.folder, self.control = folder, control
        self.network = network or Network()
        names = tuple(f"c{i + 1}" for i in range(count))
        self.replicas = {name: Replica(self, name, names) for name in names}

    async def __aenter__(self):
        for replica in self.replicas.values():
            await replica.start()
        return self

    async def __aexit__(self, *_):
        for task in self.network.in_transit:
            task.cancel()
        for replica in self.replicas.values():
            if replica.name in self.network.fleets:
                await replica.crash()

    def running(self):
        return [r for r in self.replicas.values() if r.name in self.network.fleets]

    async def wait_for_leader(self, among=None):
        """Wait until a replica holds the lease, and return it."""
        holders = []

        def found():
            replicas = among or self.running()
            holders[:] = [r for r in replicas if r.agreement.holds_lease()]
            return holders

        await until(found)
        return holders[0]

    async def wait_for_convergence(self, among=None):
        """Wait until all running replicas have applied the same index."""
        replicas = among or self.running()
        await until(lambda: len({r.agreement.applied_index for r in replicas}) == 1)


async def until(condition, limit_s=60):
    """Wait for a condition, with the event loop's clock."""
    async with asyncio.timeout(limit_s):
        while not condition():
            await asyncio.sleep(0.01)


def routing(number=1, source=b"{}"):
    """Return a routing document with one route."""
    route = RoutingRoute(
        "r", "a.example", "/a/", RouteKind.IDEMPOTENT, 2_000.0, 1_000.0, 1, 2,
        (ServiceWeight("rota-desk", 1.0),),
    )  # fmt: skip
    return RoutingDocument(
        number, (route,), (RoutedService("rota-desk"),), source=source
    )


class ControlInstance:
    """A `RoutingControl` on a fake fleet; `crash` and `start` keep the folder."""

    def __init__(self, cluster, name, voters):
        self.cluster, self.name = cluster, name
        self.settings = settings(cluster.folder, name, voters, **cluster.control)

    async def start(self):
        self.fleet = FakeFleet(self.name, self.cluster.network)
        self.fleet.member_list = self.cluster.member_list
        disk, rng = self.cluster.disk_and_rng(self.name)
        self.control = RoutingControl(self.settings, LoopClock(), self.fleet, disk, rng)
        await self.control.start()
        listed = replace(
            member(self.name), roles=("control",), peer_address=f"{self.name}:1"
        )
        self.cluster.member_list[:] = [
            m for m in self.cluster.member_list if m.instance_id != self.name
        ] + [listed]

    async def crash(self, *, wipe=False):
        del self.cluster.network.fleets[self.name]
        self.cluster.member_list[:] = [
            m for m in self.cluster.member_list if m.instance_id != self.name
        ]
        await self.control.stop()
        if wipe:
            folder = self.settings.control.data_folder
            for path in folder.iterdir():
                path.unlink()

    @property
    def holds_lease(self):
        return self.control.agreement.holds_lease()


class RoutingCluster:
    """Control instances that form a cluster of seeds and add the others."""

    def __init__(
        self, folder, count=3, seed_count=3, network=None, is_virtual=False, **control
    ):
        self.folder, self.control = folder, control
        self.is_virtual = is_virtual
        self.network = network or Network()
        self.member_list = []
        seeds = tuple(f"c{i + 1}" for i in range(seed_count))
        self.instances = {
            f"c{i + 1}": ControlInstance(self, f"c{i + 1}", seeds) for i in range(count)
        }

    async def __aenter__(self):
        for instance in self.instances.values():
            await instance.start()
        return self

    async def __aexit__(self, *_):
        for task in self.network.in_transit:
            task.cancel()
        for instance in self.running():
            await instance.crash()

    def disk_and_rng(self, name):
        """Return what makes an instance deterministic, in virtual time."""
        if not self.is_virtual:
            return None, None
        return InlineDisk(), random.Random(f"{self.network.seed}{name}")

    def running(self):
        return [i for i in self.instances.values() if i.name in self.network.fleets]

    async def wait_for_leader(self):
        await until(lambda: any(i.holds_lease for i in self.running()))
        return next(i for i in self.running() if i.holds_lease)

    def settled_voters(self):
        """Return the full voters' names, or none during a change or without a leader."""
        leader = next((i for i in self.running() if i.holds_lease), None)
        if leader is None:
            return set()
        status = leader.control.agreement.status()
        names = {v.instance_id for v in status.voters if not v.is_learner}
        return names if status.may_change_voters else set()

    async def wait_for_voters(self, names):
        """Wait until exactly these instances are full voters."""
        await until(lambda: self.settled_voters() == set(names))

    async def wait_for_voter_count(self, count):
        """Wait until there are this many full voters, and return their names."""
        await until(lambda: len(self.settled_voters()) == count)
        return self.settled_voters()


async def retry(call, limit_s=30):
    """Repeat a call until it does not raise `UnavailableError`."""
    async with asyncio.timeout(limit_s):
        while True:
            try:
                return await call()
            except UnavailableError:
                await asyncio.sleep(0.1)


@dataclass(frozen=True)
class Pace:
    """How the machines of a `Turnover` are replaced.

    Every `period_ms`, `lost_count` machines are removed for good; their successors start
    `successor_ms` after that, or with the previous removal if it is negative. A machine
    is listed as a member `start_ms` after its start. With `is_wiped` the machines are no
    others, but return with empty disks.
    """

    core_count: int
    lost_count: int
    period_ms: float
    step_count: int
    is_silent: bool = False
    successor_ms: float = -1
    start_ms: float = 1_000
    is_wiped: bool = False

    @property
    def forgotten_ms(self):
        """How long other instances still list a machine that was removed."""
        return 7_000 if self.is_silent else 4_000


class Turnover:
    """Replaces machines of a `RoutingCluster` whose successors have empty disks."""

    def __init__(self, folder, pace, seed=1):
        self.pace = pace
        self.rng = random.Random(seed)
        self.cluster = RoutingCluster(
            folder,
            pace.core_count,
            network=Network(seed=seed),
            is_virtual=True,
            heartbeat_ms=200,
        )
        self.removed = set()
        self.tasks = []
        self.next_number = pace.core_count + 1

    async def __aenter__(self):
        await self.cluster.__aenter__()
        return self

    async def __aexit__(self, *error):
        for task in self.tasks:
            task.cancel()
        await self.cluster.__aexit__(*error)

    def left(self):
        """Return the instances that were not removed."""
        return [i for i in self.cluster.running() if i.name not in self.removed]

    def add(self):
        """Start a machine with an empty disk; it is listed once it has started."""
        name = f"c{self.next_number}"
        self.next_number += 1
        added = ControlInstance(self.cluster, name, ())
        self.tasks.append(asyncio.ensure_future(self._start(added)))

    async def _start(self, added):
        await asyncio.sleep(self.pace.start_ms / 1_000)
        self.cluster.instances[added.name] = added
        await added.start()

    async def wipe(self, name):
        """Kill a machine, which loses its disk and starts again at its old address."""
        instance = self.cluster.instances[name]
        await instance.crash(wipe=True)
        self.tasks.append(asyncio.ensure_future(self._start(instance)))

    async def remove(self, name):
        """Remove a machine for good; the others list it as a member for a while."""
        self.removed.add(name)
        listed = [m for m in self.cluster.member_list if m.instance_id == name]
        self.cluster.network.silent.add(name)
        if not self.pace.is_silent:
            # What it sends at its end is lost, and requests to it fail at once.
            await self.cluster.instances[name].crash()
            self.cluster.member_list += listed
        self.tasks.append(asyncio.ensure_future(self._forget(name)))

    async def _forget(self, name):
        await asyncio.sleep(self.pace.forgotten_ms / 1_000)
        self.cluster.member_list[:] = [
            m for m in self.cluster.member_list if m.instance_id != name
        ]
