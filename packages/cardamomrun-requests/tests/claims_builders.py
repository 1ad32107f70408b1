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
    Kind,
    MemberBody,
    MemberPhase,
    Record,
    RosterBody,
    RosterMember,
)
from cardamomrun_base.settings import FleetSettings, NodeSettings, Role
from cardamomrun_requests.claims import QuorumClaims
from cardamomrun_requests.keeper import Keeper

RETENTION_MS = 10_000


class _VirtualSelector(selectors.SelectSelector):
    now_s = 0.0

    def select(self, timeout=None):
        ready = super().select(0)
        if not ready:
            assert timeout is not None, "all tasks wait for something that never comes"
            self.now_s += timeout
        return ready


class _VirtualLoop(asyncio.SelectorEventLoop):
    """Jumps to the next timer instead of waiting for it."""

    def __init__(self):
        self._virtual = _VirtualSelector()
        super().__init__(self._virtual)

    def time(self):
        return self._virtual.now_s


class LoopClock(Clock):
    def now_ms(self):
        return asyncio.get_running_loop().time() * 1_000

    def wall_ms(self):
        return int(self.now_ms())

    async def sleep_ms(self, duration_ms):
        await asyncio.sleep(duration_ms / 1_000)


def run(main: Awaitable[Any]) -> Any:
    """Run a coroutine on virtual time."""
    with asyncio.Runner(loop_factory=_VirtualLoop) as runner:
        return runner.run(main)


def settings_of(instance_id="a", domain="d1") -> NodeSettings:
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
    )


class Store:
    """The records of one instance; `put` floods to the stores in `peers`."""

    def __init__(self):
        self.records: dict[tuple[Kind, str], Record] = {}
        self.callbacks: list[tuple[Kind, Callable]] = []
        self.peers: list[Store] = []

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
class Fault:
    """What the network does to one direction between two instances."""

    lose_request: type | None = None
    lose_answer: type | None = None
    delay_ms: Callable[[Any], float] = lambda message: 1.0


class FakeFleet:
    """One instance's links; implements `cardamomrun_base.interfaces.Fleet`."""

    def __init__(self, network, instance_id):
        self.network = network
        self.instance_id = instance_id
        self.store = Store()
        self.handlers: dict[type, Callable] = {}

    def handle(self, message_type, handler):
        self.handlers[message_type] = handler

    def members(self):
        return [member_of(one) for one in self.network.nodes if one in self.network.up]

    async def request(self, instance_id, message, *, timeout_ms):
        carried = self.network.carry(self.instance_id, instance_id, message)
        # A message that its sender gave up on still arrives.
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
        self.settings = settings_of(instance_id, domain)
        self.incarnation = 0
        self.fleet = FakeFleet(network, instance_id)
        self.restart()

    def restart(self):
        """Lose the memory of the process but not the records, which a peer holds."""
        self.incarnation += 1
        self.fleet.store.callbacks.clear()
        clock = LoopClock()
        self.keeper = Keeper(self.settings, clock, self.fleet, self.incarnation)
        self.claims = QuorumClaims(self.settings, clock, self.fleet, keeper=self.keeper)


class Network:
    """Several instances; faults are set per direction and can change at any time."""

    def __init__(self, count=3, domains=3, seed=0):
        self.random = random.Random(seed)
        self.faults: dict[tuple[str, str], Fault] = {}
        self.nodes: dict[str, Node] = {}
        self.up = {f"i{number}" for number in range(count)}
        for number in range(count):
            name = f"i{number}"
            self.nodes[name] = Node(self, name, f"d{number % domains}")

    def fault(self, source, target) -> Fault:
        return self.faults.setdefault((source, target), Fault())

    async def carry(self, source, target, message):
        fault = self.fault(source, target)
        await asyncio.sleep(fault.delay_ms(message) / 1_000)
        if _matches(fault.lose_request, message) or target not in self.up:
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
        """Bring a roster to all instances, or to those named in `only`."""
        body = RosterBody(epoch, tuple(members), tuple(previous))
        record = Record.of(Kind.ROSTER, "claims", "c", (epoch, 0), body)
        for name in self.nodes if only is None else only:
            self.nodes[name].fleet.store.put(record)
        return body


def _matches(lost: type | None, message) -> bool:
    return lost is not None and isinstance(message, lost)


def random_faults(network: Network) -> None:
    """Give each direction its own losses and delays, drawn from the network's seed."""
    draw = network.random
    for source in network.nodes:
        for target in network.nodes:
            lost = draw.choice([None, None, None, ClaimRequest, ClaimUpdate, object])
            unheard = draw.choice([None, None, None, ClaimRequest, ClaimUpdate, object])
            base_ms = draw.choice([1, 1, 30, 200, 600])
            network.faults[source, target] = replace(
                Fault(lost, unheard),
                delay_ms=lambda _, base_ms=base_ms: base_ms * draw.random(),
            )
