"""Slopes of control: changes, time until in force, start-up and memory."""

import asyncio
import random
import tempfile
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path
from statistics import mean
from typing import Any

from cardamomrun_base.clock import SystemClock
from cardamomrun_base.codec import encode
from cardamomrun_base.settings import ControlSettings, Voter
from cardamomrun_bench.capacity_fit import Series
from cardamomrun_bench.capacity_meters import cpu_ms, held_bytes, wire
from cardamomrun_bench.capacity_world import (
    document_bytes,
    node_settings,
    service_name,
)
from cardamomrun_control.service import ControlService
from cardamomrun_control.state import ApplyDocument, ControlState, RefusedAttempt
from cardamomrun_control.storage import DurableLog, Entry
from cardamomrun_fleet import Fleet
from cardamomrun_node.environments import LiveEnvironments

__all__ = ["measure_control"]

CHANGE_COUNTS = (1_000, 3_000, 10_000)
LISTENER_COUNTS = (5, 15, 40)
COMMIT_COUNTS = (10, 20, 40)
ROUTE_COUNT = 59
# Listeners parse a document at about 1 ms a route. All of them share one process here,
# so larger documents would delay the heartbeats of control more than in a fleet.
IN_FORCE_ROUTE_COUNT = 3
SERVICE_COUNT = 110
VOTER_COUNT = 3
SETTLE_S = 3.0
WAIT_TIMEOUT_S = 15.0


def measure_control(
    seed: int,
    change_counts: tuple[int, ...] = CHANGE_COUNTS,
    listener_counts: tuple[int, ...] = LISTENER_COUNTS,
    commit_counts: tuple[int, ...] = COMMIT_COUNTS,
) -> Any:
    """Return all series; the seed draws the services that change."""
    states = [(n, *_measure_state(n, seed)) for n in change_counts]
    listeners = [(n, *_run(n, seed, 15)) for n in listener_counts]
    commits = [(n, *_run(0, seed, n)) for n in commit_counts]
    audit = tuple((float(n), _audit_bytes(n)) for n in change_counts)

    def column(rows: Any, index: int) -> tuple[tuple[float, float], ...]:
        return tuple((row[0], row[index]) for row in rows)

    return [
        Series("control.audit", "audit entries", "bytes in all", audit),
        Series("control.apply", "changes", "ms of processor in all", column(states, 1)),
        Series("control.memory", "changes", "bytes in all", column(states, 2)),
        Series("control.snapshot", "changes", "bytes of the snapshot", column(states, 3)),
        Series("control.restore", "changes", "ms to restore it", column(states, 4)),
        Series("control.log", "changes", "bytes of the log without snapshot", column(states, 5)),
        Series("control.open", "changes", "ms to read the log, without applying it", column(states, 6)),
        Series("control.in_force", "listeners", "ms from proposal to all, mean", column(listeners, 2)),
        Series("control.in_force_max", "listeners", "ms from proposal to all, highest", column(listeners, 3)),
        Series("control.commit", "listeners", "ms from proposal to commit", column(listeners, 1)),
        Series("control.bytes", "changes", "bytes of 3 control instances in all", column(commits, 4)),
        Series("control.cpu", "changes", "ms of 3 control instances in all", column(commits, 5)),
    ]  # fmt: skip


def _commands(
    count: int, seed: int, route_count: int = ROUTE_COUNT
) -> list[ApplyDocument]:
    rng = random.Random(seed)
    versions: dict[str, int] = {}
    commands = []
    for number in range(count):
        index = rng.randrange(SERVICE_COUNT)
        name = service_name(index)
        before = versions.get(name, 0)
        versions[name] = before + 1
        document = document_bytes(
            index, route_count, retries={"budget_ratio": number / 100_000}
        )
        commands.append(ApplyDocument("tester", number, before, number, name, document))
    return commands


def _measure_state(count: int, seed: int) -> tuple[float, ...]:
    commands = _commands(count, seed)

    def build() -> ControlState:
        state = ControlState()
        for index, command in enumerate(commands, start=1):
            state.apply(command, index)
        return state

    begun = cpu_ms()
    state = build()
    apply_ms = cpu_ms() - begun
    snapshot = state.snapshot()
    begun = cpu_ms()
    ControlState().restore(snapshot)
    restore_ms = cpu_ms() - begun

    def restored() -> ControlState:
        held = ControlState()
        held.restore(bytes(bytearray(snapshot)))
        return held

    memory = held_bytes(restored)
    log_bytes, open_ms = asyncio.run(_measure_log(commands))
    return apply_ms, float(memory), float(len(snapshot)), restore_ms, log_bytes, open_ms


def _audit_bytes(count: int) -> float:
    """Return the memory of the audit trail alone, which refused attempts extend."""

    def build() -> ControlState:
        state = ControlState()
        for number in range(count):
            name = f"{service_name(number % SERVICE_COUNT)}/trial"
            digest = f"{number:064x}"
            attempt = RefusedAttempt("tester", number, name, "apply", digest, "refused")
            state.apply(attempt, number + 1)
        return state

    return float(held_bytes(build))


async def _measure_log(commands: list[ApplyDocument]) -> tuple[float, float]:
    with tempfile.TemporaryDirectory() as folder:
        log = DurableLog(Path(folder))
        await log.start()
        entries = [
            Entry(index, 1, encode(command))
            for index, command in enumerate(commands, start=1)
        ]
        await log.append(entries)
        log.close()
        size = sum(path.stat().st_size for path in Path(folder).glob("log-*"))
        log = DurableLog(Path(folder))
        begun = cpu_ms()
        await log.start()
        open_ms = cpu_ms() - begun
        log.close()
        return float(size), open_ms


def _run(listener_count: int, seed: int, change_count: int) -> tuple[float, ...]:
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(
            _measure_changes(Path(folder), listener_count, seed, change_count)
        )


async def _measure_changes(
    folder: Path, listener_count: int, seed: int, change_count: int
) -> tuple[float, ...]:
    """Propose changes at 3 control instances and wait until all listeners apply them."""
    wire.install()
    fleets, services = await _start(folder, listener_count)
    environments = [LiveEnvironments(fleet.store) for fleet in fleets]
    try:
        await _wait_for_leader(services)
        await asyncio.sleep(SETTLE_S)
        commits, arrivals = [], []
        sent, cpu = wire.sent_bytes, cpu_ms()
        idle_from_s = time.monotonic()
        for command in _commands(change_count, seed, IN_FORCE_ROUTE_COUNT):
            leader = await _wait_for_leader(services)
            started_s = time.monotonic()
            result = await leader._agreement.propose(command)
            commits.append((time.monotonic() - started_s) * 1_000)
            name = f"{command.service}/trial"
            expected = partial(_all_have, environments, name, result.version)
            await _wait_for(expected)
            arrivals.append((time.monotonic() - started_s) * 1_000)
        busy_s = time.monotonic() - idle_from_s
        spent = (wire.sent_bytes - sent, cpu_ms() - cpu)
        sent, cpu = wire.sent_bytes, cpu_ms()
        await asyncio.sleep(SETTLE_S)
        idle = ((wire.sent_bytes - sent) / SETTLE_S, (cpu_ms() - cpu) / SETTLE_S)
        return (
            mean(commits), mean(arrivals), max(arrivals),
            spent[0] - idle[0] * busy_s, spent[1] - idle[1] * busy_s,
        )  # fmt: skip
    finally:
        for service in services:
            await service.stop()
        await asyncio.gather(*(f.stop() for f in fleets), return_exceptions=True)


def _all_have(environments: list[LiveEnvironments], name: str, version: int) -> bool:
    held = [one.get(name) for one in environments]
    return all(one is not None and one.body.version >= version for one in held)


async def _start(
    folder: Path, listener_count: int
) -> tuple[list[Fleet], list[ControlService]]:
    clock = SystemClock()
    (folder / "operators.jsonc").write_text('{"tester": "capacity-operator-token"}')
    plain = [node_settings(folder, n) for n in range(VOTER_COUNT)]
    voters = tuple(Voter(one.instance_id, one.peer_address) for one in plain)
    fleets, services = [], []
    for one in plain:
        data_folder = folder / one.instance_id
        data_folder.mkdir()
        control = ControlSettings(data_folder, voters, folder / "operators.jsonc")
        settings = type(one)(**{**vars(one), "control": control})
        fleet = Fleet(settings, clock)
        services.append(ControlService(settings, clock, fleet))
        fleets.append(fleet)
    await asyncio.gather(*(fleet.start() for fleet in fleets))
    for service in services:
        await service.start()
    seeds = tuple(one.peer_address for one in plain)
    listeners = [
        Fleet(node_settings(folder, VOTER_COUNT + n, seeds), clock)
        for n in range(listener_count)
    ]
    for first in range(0, listener_count, 10):
        await asyncio.gather(*(f.start() for f in listeners[first : first + 10]))
    return fleets + listeners, services


async def _wait_for_leader(services: list[ControlService]) -> ControlService:
    def holders() -> list[ControlService]:
        return [one for one in services if one.leadership.holds_lease()]

    await _wait_for(holders)
    return holders()[0]


async def _wait_for(condition: Callable[[], Any]) -> None:
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.002)
