"""In-memory fakes of the fleet, its record store and documents."""

import random
from ipaddress import ip_address
from pathlib import Path
from typing import Any

from cardamomrun_backends.backends import LiveBackends
from cardamomrun_backends.judgement import Decision, OutlierDetector
from cardamomrun_backends.servers import EnvironmentServers
from cardamomrun_base.clock import ManualClock
from cardamomrun_base.documents import (
    EnvironmentDocument,
    Floor,
    Route,
)
from cardamomrun_base.interfaces import Environment, Environments, Fleet, RecordStore
from cardamomrun_base.messages import BackendEvidence
from cardamomrun_base.model import (
    BackendBody,
    BackendPhase,
    EjectionsBody,
    EnvironmentBody,
    MemberBody,
    MemberPhase,
    Record,
    RecordKind,
    backend_key,
)
from cardamomrun_base.settings import FleetSettings, NodeSettings, Role

ENVIRONMENT = "rota-desk/production"
DOMAINS = ("kelowna-a", "kelowna-b", "vernon-a", "penticton-a")


class FakeStore(RecordStore):
    """Records of one instance; `linked_stores` receive each record accepted here."""

    def __init__(self):
        self.records = {}
        self.callbacks = {}
        self.linked_stores = []
        self.published = []

    def get(self, kind, key):
        return self.records.get((kind, key))

    def all(self, kind):
        return [
            record for (stored, _), record in self.records.items() if stored is kind
        ]

    def put(self, record):
        stored = self.records.get((record.kind, record.key))
        if stored is not None and stored.version >= record.version:
            return False
        self.records[record.kind, record.key] = record
        self.published.append(record)
        for callback in self.callbacks.get(record.kind, []):
            callback(record)
        for store in self.linked_stores:
            store.put(record)
        return True

    def subscribe(self, kind, callback):
        self.callbacks.setdefault(kind, []).append(callback)


class FakeFleet(Fleet):
    """Members, message handlers and sent messages of one instance."""

    def __init__(self, instance_id="entry-1", members=()):
        self.instance_id = instance_id
        self.store: Any = FakeStore()
        self.listed_members = list(members) or [member(instance_id)]
        self.handlers = {}
        self.answers = []
        self.sent = []

    async def request(self, instance_id, message, *, timeout_ms):
        self.sent.append((instance_id, message))
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer

    def handle(self, message_type, handler):
        self.handlers[message_type] = handler

    def add_address(self, instance_id, peer_address):
        raise NotImplementedError

    def members(self):
        return self.listed_members

    def may_be_behind(self):
        return False


class FakeEnvironments(Environments):
    """Holds one environment."""

    def __init__(self, env=None):
        self.stored = {ENVIRONMENT: env or environment()}

    def by_host(self, host):
        raise NotImplementedError

    def get(self, name):
        return self.stored.get(name)

    def all(self):
        return self.stored.values()


def settings(instance_id="entry-1"):
    return NodeSettings(
        instance_id=instance_id,
        region="bc-interior",
        failure_domain="kelowna-a",
        roles=(Role.ENTRY,),
        host=ip_address("127.0.0.1"),
        front_port=8080,
        admin_port=8081,
        peer_port=8082,
        fleet=FleetSettings(key_file=Path("fleet.key")),
        announcement_tokens_file=Path("tokens.json"),
    )


def environment(ratio=0.7, count=1):
    document = EnvironmentDocument(
        service="rota-desk",
        hosts=("rota.example",),
        routes=(Route("/"),),
        floor=Floor(healthy_ratio=ratio, healthy_count=count),
    )
    return Environment(EnvironmentBody(ENVIRONMENT, 1, 1, "", b""), document)


def member(
    instance_id, domain="kelowna-a", phase=MemberPhase.SERVING, roles=("entry",)
):
    address = f"127.0.0.1:{instance_id}"
    return MemberBody(
        instance_id, 1, "bc-interior", domain, roles, address, address, address, phase
    )


def members(count, domains=DOMAINS):
    return [member(f"entry-{i}", domains[i % len(domains)]) for i in range(count)]


def server(server_id, phase=BackendPhase.SERVING, **changes):
    values = {
        "environment": ENVIRONMENT,
        "incarnation": 1,
        "address": "127.0.0.2:9000",
        "failure_domain": "kelowna-a",
        "slots": 4,
        "connections": 400,
        "registrar_id": "entry-1",
    }
    return BackendBody(server_id=server_id, phase=phase, **{**values, **changes})


def servers(count, domains=DOMAINS):
    return [
        server(f"b{i}", failure_domain=domains[i % len(domains)]) for i in range(count)
    ]


def publish(store, body, counter=0):
    key = backend_key(body.environment, body.server_id)
    version = (body.incarnation, counter)
    record = Record.from_content(
        RecordKind.BACKEND, key, body.registrar_id, version, body
    )
    return store.put(record)


def grant(store, epoch, counter, server_ids, probation=(), lease_ms=5_000):
    body = EjectionsBody(
        ENVIRONMENT, f"control-{epoch}", epoch, tuple(server_ids), probation, lease_ms
    )
    version = (epoch, counter)
    return store.put(
        Record.from_content(RecordKind.EJECTIONS, ENVIRONMENT, "c", version, body)
    )


class Instance:
    """One entry instance with its `LiveBackends`, on a manual clock."""

    def __init__(
        self, bodies=(), *, env=None, clock=None, members=(), seed=1, name="entry-1"
    ):
        self.clock = clock or ManualClock(1_000_000)
        self.fleet = FakeFleet(members=members)
        self.store = self.fleet.store
        for body in bodies:
            publish(self.store, body)
        environments = FakeEnvironments(env)
        randomness = random.Random(seed)
        self.backends = LiveBackends(
            settings(name), self.clock, self.fleet, environments, randomness
        )

    def view(self):
        return self.backends.view(ENVIRONMENT)

    def choose(self, **arguments):
        return self.backends.choose(ENVIRONMENT, **arguments)

    def attempt(self, body, result, **arguments):
        attempt = self.backends.started(body)
        self.backends.finished(attempt, result, **arguments)

    def chosen(self, count=200):
        return {choice.server_id for _ in range(count) if (choice := self.choose())}


class FakeLeadership:
    """A leader lease that a test acquires and releases."""

    def __init__(self, clock, term=1):
        self.clock = clock
        self.acquire(term)

    def acquire(self, term):
        self.term = term
        self.is_held = True
        self.since_ms = self.clock.now_ms()

    def holds_lease(self):
        return self.is_held

    def lease_held_since_ms(self):
        return self.since_ms


def evidence(server_id, good=0, failed=0, slow=0, unreachable=0):
    return BackendEvidence(ENVIRONMENT, server_id, good, failed, slow, unreachable)


class SimulatedTraffic:
    """Feeds a `OutlierDetector` with seeded random results, in steps of 500 ms.

    `rates` maps a server, or a server and failure domain, to the probabilities of
    failed, slow and unreachable attempts; the others have the probabilities `base`.
    """

    def __init__(
        self, profile, count=20, seed=1, base=(0.002, 0.01, 0.0), ratio=0.7, per_step=6
    ):
        self.clock = ManualClock(1_000_000)
        self.detector = OutlierDetector(profile, self.clock)
        self.bodies = {body.server_id: body for body in servers(count)}
        self.floor = Floor(healthy_ratio=ratio)
        self.random = random.Random(seed)
        self.base = base
        self.rates = {}
        self.per_step = per_step
        self.domains = DOMAINS
        self.ejected = {}
        self.decision = Decision()

    def step(self):
        for server_id in self.bodies:
            if server_id in self.decision.ejected:
                continue
            for domain in self.domains:
                self._report(server_id, domain)
        self.clock.advance_ms(500)
        groups: dict[str, dict] = {
            "serving": {},
            "starting": {},
            "draining": {},
            "lost": {},
        }
        for server_id, body in self.bodies.items():
            phase = "lost" if body.phase is BackendPhase.GONE else body.phase.value
            groups[phase][server_id] = body
        self.decision = self.detector.decide(EnvironmentServers(**groups), self.floor)
        for server_id in self.decision.ejected:
            self.ejected.setdefault(server_id, self.clock.now_ms())
        return self.decision

    def run_s(self, duration_s):
        for _ in range(int(duration_s * 2)):
            self.step()
        return set(self.ejected)

    def _report(self, server_id, domain):
        rates = self.rates.get((server_id, domain)) or self.rates.get(server_id)
        failed, slow, unreachable = rates or self.base
        counts = [0, 0, 0, 0]
        for _ in range(self.per_step):
            if self.random.random() < 1 / len(self.domains):
                draw = self.random.random()
                bounds = (failed, failed + slow, failed + slow + unreachable)
                counts[next((i for i in range(3) if draw < bounds[i]), 3)] += 1
        self.detector.add(
            domain, evidence(server_id, counts[3], counts[0], counts[1], counts[2])
        )
