"""Builders of in-memory instances on virtual time, for tests of claims."""

import asyncio
import random
import selectors
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from typing import Any

from cardamomrun_base.clock import Clock
from cardamomrun_base.errors import PeerTimeoutError
from cardamomrun_base.messages import ClaimRequest, ClaimUpdate
from cardamomrun_base.model import (
    LeaderBody,
    MemberBody,
    MemberPhase,
    Record,
    RecordKind,
    RosterBody,
    RosterMember,
)
from cardamomrun_base.settings import FleetSettings, NodeSettings, Role
from cardamomrun_control.joint_phase import JointPhase
from cardamomrun_requests.claims import QuorumClaims
from cardamomrun_requests.keeper import Keeper

RETENTION_MS = 10_000
LEASE_MS = 30_000
ROUND_MS = 500


class _VirtualSelector(selectors.SelectSelector):
    now_s = 0.0

    def select(self, timeout=None):
        ready = super().select(0)
        if not ready:
            assert timeout is not None, "all tasks wait for something that never comes"
            self.now_s += timeout
        return ready


class _VirtualLoop(asyncio.SelectorEventLoop):
    """Advances its clock to the next timer instead of waiting."""

    def __init__(self):
        self._virtual = _VirtualSelector()
        super().__init__(self._virtual)

    def time(self):
        return self._virtual.now_s


class LoopClock(Clock):
    def __init__(self, wall_offset_ms=0):
        self.wall_offset_ms = wall_offset_ms

    def now_ms(self):
        return asyncio.get_running_loop().time() * 1_000

    def wall_ms(self):
        return int(self.now_ms()) + self.wall_offset_ms

    async def sleep_ms(self, duration_ms):
        await asyncio.sleep(duration_ms / 1_000)


def run(main: Awaitable[Any]) -> Any:
    """Run a coroutine on virtual time."""
    with asyncio.Runner(loop_factory=_VirtualLoop) as runner:
        return runner.run(main)


def node_settings(instance_id="a", domain="d1") -> NodeSettings:
    return NodeSettings(
        instance_id=instance_id,
        region="r",
        failure_domain=domain,
        roles=(Role.ENTRY,),
        host="127.0.0.1",
        front_port=1,
        admin_port=2,
        peer_port=3,
        fleet=FleetSettings(key_file="key"),
        announcement_tokens_file="tokens",
        idempotency_retention_ms=RETENTION_MS,
        roster_lease_ms=LEASE_MS,
    )


class FakeStore:
    """The records of one instance; `put` forwards them to the stores in `peers`."""

    def __init__(self):
        self.records: dict[tuple[RecordKind, str], Record] = {}
        self.callbacks: list[tuple[RecordKind, Callable]] = []
        self.peers: list[FakeStore] = []

    def get(self, kind, key):
        return self.records.get((kind, key))

    def all(self, kind):
        return [one for (its_kind, _), one in self.records.items() if its_kind is kind]

    def subscribe(self, kind, callback):
        self.callbacks.append((kind, callback))

    def put(self, record):
        held = self.get(record.kind, record.key)
        if held is not None and held.version >= record.version:
            return False
        self.records[record.kind, record.key] = record
        for kind, callback in self.callbacks:
            if kind is record.kind:
                callback(record)
        for peer in self.peers:
            peer.put(record)
        return True


@dataclass
class LinkFault:
    """The losses and delays of one direction between two instances."""

    lose_request: type | None = None
    lose_answer: type | None = None
    delay_ms: Callable[[Any], float] = lambda message: 1.0


class FakeFleet:
    """The links of one instance; implements `cardamomrun_base.interfaces.Fleet`."""

    def __init__(self, network, instance_id):
        self.network = network
        self.instance_id = instance_id
        self.store = FakeStore()
        self.handlers: dict[type, Callable] = {}

    def handle(self, message_type, handler):
        self.handlers[message_type] = handler

    def members(self):
        return [member_of(one) for one in self.network.nodes if one in self.network.up]

    async def request(self, instance_id, message, *, timeout_ms):
        carried = self.network.carry(self.instance_id, instance_id, message)
        # A message still arrives after its sender has given up waiting.
        task = asyncio.ensure_future(carried)
        try:
            return await asyncio.wait_for(asyncio.shield(task), timeout_ms / 1_000)
        except TimeoutError:
            raise PeerTimeoutError("no answer", remedy="ask again") from None


def member_of(instance_id):
    return MemberBody(
        instance_id, 1, "r", "d", ("entry",), "", "", "", MemberPhase.SERVING
    )


class Node:
    """One instance: its fleet, keeper and claims."""

    def __init__(self, network, instance_id, domain):
        self.network = network
        self.instance_id = instance_id
        self.domain = domain
        self.settings = node_settings(instance_id, domain)
        self.incarnation = 0
        self.wall_offset_ms = 0
        self.fleet = FakeFleet(network, instance_id)
        self.restart()

    def restart(self):
        """Restart without claims, but keep the records, which a peer would send."""
        self.incarnation += 1
        self.fleet.store.callbacks.clear()
        clock = LoopClock(self.wall_offset_ms)
        self.keeper = Keeper(self.settings, clock, self.fleet, self.incarnation)
        self.claims = QuorumClaims(self.settings, clock, self.fleet, keeper=self.keeper)


class Network:
    """Several instances; faults are set per direction and can change at any time."""

    def __init__(self, count=3, domains=3, seed=0):
        self.random = random.Random(seed)
        self.faults: dict[tuple[str, str], LinkFault] = {}
        self.nodes: dict[str, Node] = {}
        self.cut_off: set[str] = set()
        self.up = {f"i{number}" for number in range(count)}
        for number in range(count):
            name = f"i{number}"
            self.nodes[name] = Node(self, name, f"d{number % domains}")

    def fault(self, source, target) -> LinkFault:
        return self.faults.setdefault((source, target), LinkFault())

    def partition(self, names):
        """Lose all messages between the instances named and the others."""
        self.cut_off = set(names)

    def are_linked(self, source, target):
        return (source in self.cut_off) == (target in self.cut_off)

    async def carry(self, source, target, message):
        fault = self.fault(source, target)
        await asyncio.sleep(fault.delay_ms(message) / 1_000)
        lost = _matches(fault.lose_request, message)
        if lost or target not in self.up or not self.are_linked(source, target):
            await asyncio.sleep(1_000_000)
        fleet = self.nodes[target].fleet
        answer = await fleet.handlers[type(message)](source, message)
        if _matches(fault.lose_answer, message):
            await asyncio.sleep(1_000_000)
        await asyncio.sleep(0.001)
        return answer

    def roster_members(self, names=None):
        chosen = self.nodes if names is None else names
        return tuple(
            RosterMember(name, self.nodes[name].incarnation, self.nodes[name].domain)
            for name in chosen
        )

    def commit(self, epoch, members, previous=(), *, only=None):
        """Deliver a roster to all instances, or to those named in `only`."""
        body = RosterBody(epoch, tuple(members), tuple(previous))
        record = Record.from_content(RecordKind.ROSTER, "claims", "c", (0, epoch), body)
        for name in self.nodes if only is None else only:
            self.nodes[name].fleet.store.put(record)
        self.confirm(epoch, only=only)
        return body

    def confirm(self, epoch, *, only=None):
        """Deliver a leader record of the current time to all instances or to `only`."""
        now_ms = LoopClock().wall_ms()
        body = LeaderBody("c", 1, "", "", now_ms, epoch)
        record = Record.from_content(
            RecordKind.LEADER, "control", "c", (1, now_ms), body
        )
        for name in self.nodes if only is None else only:
            self.nodes[name].fleet.store.put(record)


class RosterLeader:
    """Acts as control leader for rosters, linked to the `cut_off` side or the other.

    It receives no reports from the instances in `unheard`, which may still receive its records.
    """

    def __init__(self, network, members):
        self.network = network
        self.unreachable_names: set[str] = set()
        self.is_cut_off = False
        self.term = 1
        self.fleet = FakeFleet(network, "c")
        self.fleet.members = lambda: [member_of(one) for one in self.reachable()]
        self.reports: dict[str, int] = {}
        self.phase = JointPhase(node_settings(), LoopClock(), self.fleet, self)
        self.roster = network.commit(1, members)
        self.changed_ms = LoopClock().now_ms()
        self.wanted = self.roster.members

    def roster_epoch(self, instance_id):
        return self.reports.get(instance_id)

    def linked(self):
        cut_off = self.network.cut_off
        return [
            one for one in self.network.nodes if (one in cut_off) == self.is_cut_off
        ]

    def reachable(self):
        up = self.network.up - self.unreachable_names
        return [one for one in self.linked() if one in up]

    def want_all_reachable(self):
        self.wanted = self.network.roster_members(self.reachable()) or self.wanted

    async def run(self):
        while True:
            self.round()
            await asyncio.sleep(ROUND_MS / 1_000)

    def round(self):
        """Collect reports, change the roster if that is allowed, and send records."""
        for name in self.reachable():
            record = self.network.nodes[name].fleet.store.get(
                RecordKind.ROSTER, "claims"
            )
            self.reports[name] = record.content.epoch
        now_ms = LoopClock().now_ms()
        epoch, members = self.roster.epoch + 1, self.roster.members
        if self.roster.previous_members:
            if self.phase.may_end(self.term, self.roster):
                self.roster = RosterBody(epoch, members, ())
        elif self.wanted != members and now_ms - self.changed_ms >= RETENTION_MS:
            self.changed_ms = now_ms
            self.roster = RosterBody(epoch, self.wanted, members)
        # In each round a record reaches only some of the instances.
        draw = self.network.random.random
        reached = [one for one in self.linked() if draw() < 0.7]
        roster = self.roster
        args = (roster.epoch, roster.members, roster.previous_members)
        self.network.commit(*args, only=[one for one in reached if draw() < 0.7])
        self.network.confirm(roster.epoch, only=reached)
        self._merge_records()

    def _merge_records(self):
        """Merge the records of random pairs of linked instances."""
        names = list(self.network.nodes)
        for source in names:
            target = self.network.random.choice(names)
            if self.network.are_linked(source, target):
                for record in self.network.nodes[source].fleet.store.records.values():
                    self.network.nodes[target].fleet.store.put(record)


def _matches(lost: type | None, message) -> bool:
    return lost is not None and isinstance(message, lost)


def random_faults(network: Network) -> None:
    """Set random losses and delays for each direction, from the network's seed."""
    draw = network.random
    for source in network.nodes:
        for target in network.nodes:
            lost = draw.choice([None, None, None, ClaimRequest, ClaimUpdate, object])
            lost_answer = draw.choice(
                [None, None, None, ClaimRequest, ClaimUpdate, object]
            )
            base_ms = draw.choice([1, 1, 30, 200, 600])
            network.faults[source, target] = replace(
                LinkFault(lost, lost_answer),
                delay_ms=lambda _, base_ms=base_ms: base_ms * draw.random(),
            )
