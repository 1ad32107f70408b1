"""Slopes of reports and decisions: bytes and processor time at both ends."""

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import cbor2
import xxhash

from cardamomrun_backends.decider import Decider
from cardamomrun_backends.evidence import EvidenceBuffer
from cardamomrun_backends.judgement import OutlierDetector
from cardamomrun_backends.profiles import profile_settings
from cardamomrun_backends.servers import EnvironmentServers
from cardamomrun_base.clock import ManualClock
from cardamomrun_base.codec import decode, encode
from cardamomrun_base.documents import (
    DetectionProfile,
    EnvironmentDocument,
    Floor,
    Route,
)
from cardamomrun_base.interfaces import AttemptResult, Environment
from cardamomrun_base.messages import BackendEvidence, Report
from cardamomrun_base.model import EnvironmentBody
from cardamomrun_bench.capacity_fit import Series
from cardamomrun_bench.capacity_meters import held_bytes
from cardamomrun_bench.capacity_world import (
    DOMAINS,
    backend_record,
    member_record,
    node_settings,
    service_name,
)
from cardamomrun_fleet.links import REQUEST, Envelope
from cardamomrun_fleet.store import Store

__all__ = ["measure_reports"]

SEEN_COUNTS = (10, 30, 60, 120)
SERVER_COUNTS = (10, 34, 100)
SERVICE_COUNTS = (10, 30, 110)
SERVERS_A_SERVICE = 34
REPEAT_COUNT = 200
ROUND_COUNT = 8
FRAME_BYTES = 8
DECIDE_MS = 250
FAILURE_RATIO = 0.005


@dataclass
class _Leadership:
    """Holds the leadership of term 1 from the start."""

    term: int = 1
    held: bool = True

    def holds_lease(self) -> bool:
        return self.held

    def lease_held_since_ms(self) -> float:
        return 0.0


@dataclass
class _Environments:
    held: dict[str, Environment] = field(default_factory=dict)

    def get(self, name: str) -> Environment | None:
        return self.held.get(name)

    def by_host(self, host: str) -> Environment | None:
        return None

    def all(self) -> Any:
        return self.held.values()


class _LocalFleet:
    """A fleet of one instance: a store without peers."""

    instance_id = "control-1"

    def __init__(self, clock: ManualClock) -> None:
        self.store = Store(clock)
        self.handlers: dict[type, Callable] = {}
        self._members = [member_record(number).content for number in range(420)]

    def handle(self, message_type: type, handler: Callable) -> None:
        self.handlers[message_type] = handler

    def members(self) -> list:
        return self._members

    def may_be_behind(self) -> bool:
        return False


def measure_reports(
    seed: int,
    seen_counts: tuple[int, ...] = SEEN_COUNTS,
    server_counts: tuple[int, ...] = SERVER_COUNTS,
    service_counts: tuple[int, ...] = SERVICE_COUNTS,
    repeat_count: int = REPEAT_COUNT,
) -> Any:
    """Return all series; the seed draws which attempts failed."""
    rng = random.Random(seed)
    rows = [(n, *_measure_report(rng, n, repeat_count)) for n in seen_counts]
    hashed = tuple((n, _hashed_bytes(n)) for n in seen_counts)
    decisions = [(n, *_measure_decision(rng, n)) for n in server_counts]
    rounds = [(n, *_measure_round(n, seed)) for n in service_counts]

    def column(source: Any, index: int) -> tuple[tuple[float, float], ...]:
        return tuple((row[0], row[index]) for row in source)

    return [
        Series("report.bytes", "servers seen", "bytes a report", column(rows, 1)),
        Series("report.hashed", "servers seen", "bytes a report", hashed),
        Series("report.sender", "servers seen", "ms a report", column(rows, 2)),
        Series("report.decider", "servers seen", "ms a report", column(rows, 3)),
        Series("decide.service", "servers", "ms a decision", column(decisions, 1)),
        Series("decide.memory", "servers", "bytes a service", column(decisions, 2)),
        Series("decide.round", "services", "ms a round", column(rounds, 1)),
        Series("decide.idle", "services", "ms a quiet round", column(rounds, 2)),
    ]


def _draw_result(rng: random.Random) -> AttemptResult:
    failed_attempt = rng.random() < FAILURE_RATIO
    return AttemptResult.FAILED if failed_attempt else AttemptResult.GOOD


def _names(count: int, service_count: int = 110) -> list[tuple[str, str]]:
    bodies = [backend_record(number, service_count).content for number in range(count)]
    return [(body.environment, body.server_id) for body in bodies]


def _measure_report(
    rng: random.Random, seen: int, repeat_count: int
) -> tuple[float, float, float]:
    """Return bytes, sender time and decider time of a report about `seen` servers."""
    names = _names(seen)
    evidence = EvidenceBuffer()
    frames = []
    started_s = time.process_time()
    for sequence in range(repeat_count):
        for name in names:
            evidence.add(*name, _draw_result(rng))
        report = Report(
            "entry-0001", "kelowna-a", sequence, evidence.pop_all(), (), False
        )
        frames.append(encode(Envelope(REQUEST, sequence, encode(report))))
    sender_ms = (time.process_time() - started_s) * 1_000 / repeat_count
    decider, fleet = _make_decider(110, 1)
    handler = fleet.handlers[Report]
    started_s = time.process_time()
    asyncio.run(_handle_frames(handler, frames))
    decider_ms = (time.process_time() - started_s) * 1_000 / repeat_count
    assert decider.reported_statuses()
    return len(frames[0]) + FRAME_BYTES, sender_ms, decider_ms


def _hashed_bytes(seen: int) -> float:
    """Return the size of a report that names servers by 64-bit hashes.

    Such a report does not exist yet; this is its content, encoded.
    """
    items: list[int] = []
    for environment, server_id in _names(seen):
        name = xxhash.xxh3_64_intdigest(f"{environment}/{server_id}".encode())
        items += [name, 1, 0, 0, 0]
    body = cbor2.dumps(["report", "entry-0001", "kelowna-a", 1, items, [], False])
    return float(len(encode(Envelope(REQUEST, 1, body))) + FRAME_BYTES)


async def _handle_frames(handler: Callable, frames: list[bytes]) -> None:
    for frame in frames:
        answer = await handler("entry-0001", decode(decode(frame).body))
        encode(Envelope(REQUEST, 0, encode(answer)))


def _make_decider(service_count: int, servers: int) -> tuple[Decider, _LocalFleet]:
    clock = ManualClock(1_000.0)
    fleet = _LocalFleet(clock)
    environments = _Environments()
    for number in range(service_count):
        name = service_name(number)
        document = EnvironmentDocument(name, (f"{name}.example",), (Route("/"),))
        key = f"{name}/production"
        body = EnvironmentBody(key, 1, 1, "", b"")
        environments.held[key] = Environment(body, document)
    for number in range(service_count * servers):
        fleet.store.put(backend_record(number, service_count))
    with TemporaryDirectory() as folder:
        settings = node_settings(Path(folder), 0)
    decider = Decider(settings, clock, fleet, environments, _Leadership())  # type: ignore[arg-type]
    clock.advance_ms(10_000)
    return decider, fleet


def _servers(count: int) -> EnvironmentServers:
    bodies = [backend_record(number, 1).content for number in range(count)]
    return EnvironmentServers({b.server_id: b for b in bodies}, {}, {}, {})


def _measure_decision(rng: random.Random, count: int) -> tuple[float, float]:
    """Return time of a decision with new evidence for all servers, and memory."""
    servers = _servers(count)
    total_s = 0.0
    clock = ManualClock(1_000.0)

    def run() -> OutlierDetector:
        nonlocal total_s
        judgement = OutlierDetector(
            profile_settings(DetectionProfile.FEWEST_FALSE_EJECTIONS), clock
        )
        for _ in range(ROUND_COUNT):
            clock.advance_ms(DECIDE_MS)
            for server_id in servers.serving:
                for domain in DOMAINS:
                    failed = int(rng.random() < FAILURE_RATIO)
                    judgement.add(
                        domain, BackendEvidence("e", server_id, 1, failed, 0, 0)
                    )
            started_s = time.process_time()
            judgement.decide(servers, Floor())
            total_s += time.process_time() - started_s
        return judgement

    run()
    decision_ms = total_s * 1_000 / ROUND_COUNT
    return decision_ms, float(held_bytes(run))


def _measure_round(service_count: int, seed: int) -> tuple[float, float]:
    """Return the time of a round with new evidence for all servers, and without."""
    rng = random.Random(seed)
    decider, fleet = _make_decider(service_count, SERVERS_A_SERVICE)
    handler = fleet.handlers[Report]
    names = _names(service_count * SERVERS_A_SERVICE, service_count)
    clock = decider._clock
    assert isinstance(clock, ManualClock)
    total_s = quiet_s = 0.0
    for sequence in range(ROUND_COUNT):
        for domain in DOMAINS:
            items = tuple(
                BackendEvidence(*name, 1, int(rng.random() < FAILURE_RATIO), 0, 0)
                for name in names
            )
            report = Report(f"entry-{domain}", domain, sequence, items, (), False)
            asyncio.run(handler(f"entry-{domain}", report))
        total_s += _tick_s(decider, clock)
        quiet_s += _tick_s(decider, clock)
    return total_s * 1_000 / ROUND_COUNT, quiet_s * 1_000 / ROUND_COUNT


def _tick_s(decider: Decider, clock: ManualClock) -> float:
    clock.advance_ms(DECIDE_MS)
    started_s = time.process_time()
    decider.tick()
    return time.process_time() - started_s
