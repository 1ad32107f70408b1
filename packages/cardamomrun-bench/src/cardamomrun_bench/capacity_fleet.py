"""Slopes of the fleet: idle cost a node, and flooding of changed records."""

import asyncio
import json
import os
import random
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from statistics import mean
from typing import Any

from cardamomrun_base.clock import SystemClock
from cardamomrun_base.model import RecordKind
from cardamomrun_base.settings import NodeSettings
from cardamomrun_bench.capacity_fit import Series
from cardamomrun_bench.capacity_meters import (
    cpu_ms,
    process_cpu_ms,
    process_rss_bytes,
    rss_bytes,
    wire,
)
from cardamomrun_bench.capacity_world import filler_record, node_settings
from cardamomrun_fleet import Fleet

__all__ = [
    "RECORD_BYTES",
    "measure_light_nodes",
    "measure_processes",
    "run_light",
    "settings_json",
    "start_fleets",
    "start_node",
    "stop_fleets",
    "wait_until_ready",
]

LIGHT_COUNTS = (10, 20, 40, 80, 120)
PROCESS_COUNTS = (5, 10, 20, 40)
RECORD_BYTES = (200, 1_000, 5_000)
START_GROUP = 10
# Links that both sides opened are closed 5 s after they were opened.
SETTLE_S = 7.0
IDLE_S = 6.0
CHANGE_INTERVAL_S = 0.2
CHANGE_COUNT = 15
REACH_TIMEOUT_S = 5.0


@dataclass
class _Sample:
    """Meter differences of one process over a period, per node."""

    sent: float = 0.0
    received: float = 0.0
    cpu: float = 0.0


class _Meter:
    def __init__(self) -> None:
        self._at_s = time.monotonic()
        self._start = (wire.sent_bytes, wire.received_bytes, cpu_ms())

    def per_s(self, node_count: int) -> _Sample:
        """Return the rates per node since the start."""
        elapsed = time.monotonic() - self._at_s
        return self.total(node_count * elapsed)

    def total(self, divisor: float) -> _Sample:
        """Return the differences since the start, divided."""
        sent, received, cpu = self._start
        return _Sample(
            (wire.sent_bytes - sent) / divisor,
            (wire.received_bytes - received) / divisor,
            (cpu_ms() - cpu) / divisor,
        )


@dataclass
class _ArrivalTracker:
    """Measures the time until a record has arrived in the stores of all nodes."""

    count: int
    started_s: dict[str, float] = field(default_factory=dict)
    seen: dict[str, int] = field(default_factory=dict)
    reach_ms: list[float] = field(default_factory=list)

    def on_record(self, record: Any) -> None:
        key = record.key
        self.seen[key] = self.seen.get(key, 0) + 1
        if self.seen[key] == self.count and key in self.started_s:
            self.reach_ms.append((time.monotonic() - self.started_s[key]) * 1_000)


async def start_fleets(folder: Path, count: int) -> list[Fleet]:
    """Start fleets in groups; the first three are the seeds of the others."""
    clock = SystemClock()
    fleets: list[Fleet] = []
    while len(fleets) < count:
        group = 1 if len(fleets) < 3 else min(START_GROUP, count - len(fleets))
        seeds = tuple(f._settings.peer_address for f in fleets[:3])
        new = [
            Fleet(node_settings(folder, len(fleets) + index, seeds), clock)
            for index in range(group)
        ]
        await asyncio.gather(*(fleet.start() for fleet in new))
        fleets += new
    return fleets


async def stop_fleets(fleets: list[Fleet]) -> None:
    """Stop all fleets."""
    await asyncio.gather(*(fleet.stop() for fleet in fleets), return_exceptions=True)


async def _light_run(
    folder: Path,
    count: int,
    seed: int,
    record_bytes: tuple[int, ...],
    settle_s: float,
    change_count: int,
) -> dict[str, float]:
    wire.install()
    before_bytes = rss_bytes()
    fleets = await start_fleets(folder, count)
    try:
        await asyncio.sleep(settle_s)
        memory = rss_bytes() - before_bytes
        meter = _Meter()
        await asyncio.sleep(settle_s)
        idle = meter.per_s(count)
        links = mean(len(fleet.linked_peers()) for fleet in fleets)
        result = {
            "sent": idle.sent,
            "received": idle.received,
            "cpu": idle.cpu,
            "memory": memory / count,
            "links": links,
        }
        arrivals = _ArrivalTracker(count)
        for fleet in fleets:
            fleet.store.subscribe(RecordKind.CRASH, arrivals.on_record)
        for size in record_bytes:
            flood = await _flood(fleets, arrivals, size, seed, idle, change_count)
            result |= {f"{key}-{size}": value for key, value in flood.items()}
        return result
    finally:
        await stop_fleets(fleets)


async def _flood(
    fleets: list[Fleet],
    arrivals: _ArrivalTracker,
    size: int,
    seed: int,
    idle: _Sample,
    change_count: int,
) -> dict[str, float]:
    """Change records at a fixed rate; return the cost above idle per node and change."""
    rng = random.Random(f"{seed}/{size}")
    records = [filler_record(number, size, rng) for number in range(change_count)]
    arrivals.reach_ms.clear()
    meter = _Meter()
    started_s = time.monotonic()
    for record in records:
        arrivals.started_s[record.key] = time.monotonic()
        rng.choice(fleets).store.put(record)
        await asyncio.sleep(CHANGE_INTERVAL_S)
    end_s = time.monotonic() + REACH_TIMEOUT_S
    while len(arrivals.reach_ms) < change_count and time.monotonic() < end_s:
        await asyncio.sleep(0.01)
    elapsed_s = time.monotonic() - started_s
    seen = meter.total(len(fleets) * change_count)
    idle_share = elapsed_s / change_count
    return {
        "change_sent": seen.sent - idle.sent * idle_share,
        "change_received": seen.received - idle.received * idle_share,
        "change_cpu": seen.cpu - idle.cpu * idle_share,
        "reach": mean(arrivals.reach_ms),
        "reach_max": max(arrivals.reach_ms),
        "reached": float(len(arrivals.reach_ms)),
    }


def run_light(
    count: int,
    seed: int,
    record_bytes: tuple[int, ...] = RECORD_BYTES,
    settle_s: float = SETTLE_S,
    change_count: int = CHANGE_COUNT,
) -> dict[str, float]:
    """Measure one size in this process."""
    random.seed(seed)
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(
            _light_run(Path(folder), count, seed, record_bytes, settle_s, change_count)
        )


def _run_in_subprocess(arguments: list[str]) -> dict[str, float]:
    """Run one size in a subprocess, so that sizes share no memory."""
    command = [sys.executable, "-m", "cardamomrun_bench.capacity_fleet", *arguments]
    done = subprocess.run(command, capture_output=True, check=True, timeout=120)
    return json.loads(done.stdout.splitlines()[-1])


def _series(
    prefix: str, rows: dict[int, dict[str, float]], names: dict[str, tuple[str, str]]
) -> list[Series]:
    return [
        Series(
            f"{prefix}.{name}",
            "nodes",
            unit,
            tuple((count, row[key]) for count, row in rows.items()),
        )
        for name, (key, unit) in names.items()
    ]


def measure_light_nodes(seed: int, counts: tuple[int, ...] = LIGHT_COUNTS) -> Any:
    """Return the series of fleets in one process."""
    rows = {
        count: _run_in_subprocess(["light", str(count), str(seed)]) for count in counts
    }
    series = _series(
        "light",
        rows,
        {
            "sent": ("sent", "bytes/s a node"),
            "received": ("received", "bytes/s a node"),
            "cpu": ("cpu", "ms/s a node"),
            "memory": ("memory", "bytes a node"),
            "links": ("links", "overlay links a node"),
        },
    )
    for size in RECORD_BYTES:
        series += _series(
            f"flood.{size}",
            rows,
            {
                "sent": (f"change_sent-{size}", "bytes a node and change"),
                "cpu": (f"change_cpu-{size}", "ms a node and change"),
                "reach": (f"reach-{size}", "ms to reach all, mean"),
                "reach_max": (f"reach_max-{size}", "ms to reach all, highest"),
            },
        )
    for count in counts[-3:]:
        series.append(_size_series(rows[count], count))
    return series


def _size_series(row: dict[str, float], count: int) -> Series:
    points = tuple((float(size), row[f"change_sent-{size}"]) for size in RECORD_BYTES)
    return Series(
        f"flood.nodes-{count}.sent", "record bytes", "bytes a node and change", points
    )


# Real processes


def measure_processes(
    seed: int, counts: tuple[int, ...] = PROCESS_COUNTS, settle_s: float = SETTLE_S
) -> Any:
    """Return the series of whole entry nodes, one process each."""
    rows = {}
    for count in counts:
        with tempfile.TemporaryDirectory() as folder:
            rows[count] = _process_run(Path(folder), count, settle_s)
    return _series(
        "process",
        rows,
        {
            "sent": ("sent", "bytes/s a node"),
            "received": ("received", "bytes/s a node"),
            "cpu": ("cpu", "ms/s a node"),
            "memory": ("memory", "bytes a node"),
        },
    )


def _process_run(folder: Path, count: int, settle_s: float) -> dict[str, float]:
    processes: list[subprocess.Popen[str]] = []
    settings = _process_settings(folder, count)
    try:
        for path in settings:
            processes.append(start_node(path))
            if len(processes) < 4:
                time.sleep(0.5)
        for process in processes:
            wait_until_ready(process)
        time.sleep(settle_s)
        before = [_read_counts(process) for process in processes]
        cpu_before = [process_cpu_ms(process.pid) for process in processes]
        started_s = time.monotonic()
        time.sleep(settle_s)
        cpu_after = [process_cpu_ms(process.pid) for process in processes]
        after = [_read_counts(process) for process in processes]
        elapsed_s = time.monotonic() - started_s
        memory = mean(process_rss_bytes(process.pid) for process in processes)
    finally:
        for process in processes:
            process.kill()
            process.wait()
    spans = [b["at_s"] - a["at_s"] for a, b in zip(before, after, strict=True)]
    pairs = list(zip(before, after, spans, strict=True))
    return {
        "sent": mean((b["sent"] - a["sent"]) / span for a, b, span in pairs),
        "received": mean(
            (b["received"] - a["received"]) / span for a, b, span in pairs
        ),
        "cpu": (sum(cpu_after) - sum(cpu_before)) / elapsed_s / count,
        "memory": memory,
    }


def _process_settings(folder: Path, count: int) -> list[Path]:
    (folder / "announcements.jsonc").write_text("{}")
    all_settings: list[NodeSettings] = []
    paths = []
    for number in range(count):
        seeds = tuple(one.peer_address for one in all_settings[:3])
        settings = node_settings(folder, number, seeds)
        all_settings.append(settings)
        path = folder / f"{settings.instance_id}.json"
        path.write_text(json.dumps(settings_json(settings)))
        paths.append(path)
    return paths


def settings_json(settings: NodeSettings) -> dict[str, Any]:
    """Return the settings of an entry node as its file holds them."""
    return {
        "instance_id": settings.instance_id,
        "region": settings.region,
        "failure_domain": settings.failure_domain,
        "roles": ["entry"],
        "host": str(settings.host),
        "front_port": settings.front_port,
        "admin_port": settings.admin_port,
        "peer_port": settings.peer_port,
        "fleet": {"key_file": "fleet.key", "seeds": list(settings.fleet.seeds)},
        "announcement_tokens_file": "announcements.jsonc",
    }


def start_node(path: Path) -> "subprocess.Popen[str]":
    """Start a node process that prints its byte counts for each line on stdin."""
    return subprocess.Popen(
        [sys.executable, "-m", "cardamomrun_bench.capacity_node", str(path)],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
        env={**os.environ, "PYTHONUNBUFFERED": "1"},
    )


def wait_until_ready(process: "subprocess.Popen[str]") -> None:
    """Wait until the node is ready; raises `RuntimeError` if it exits before."""
    assert process.stdout is not None
    if process.stdout.readline().strip() != "ready":
        raise RuntimeError(f"node {process.pid} did not start")


def _read_counts(process: "subprocess.Popen[str]") -> dict[str, float]:
    assert process.stdin is not None and process.stdout is not None
    process.stdin.write("\n")
    process.stdin.flush()
    return json.loads(process.stdout.readline())


if __name__ == "__main__":
    _, _, node_count, run_seed = sys.argv
    print(json.dumps(run_light(int(node_count), int(run_seed))))
