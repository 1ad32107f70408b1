"""Latency and CPU time that the fleet adds to a request, against direct calls.

Run `python -m cardamomrun_bench.latency_experiment run --output=FILE` and then
`python -m cardamomrun_bench.latency_experiment report --results=FILE --folder=FOLDER`.
Starts a control node, four entry nodes and eight stand-in backend servers. The load
goes through one entry instance; slices through the front door and slices of direct calls
alternate, each pair with the same seed, so that machine noise affects both alike.
"""

import asyncio
import json
import os
import statistics
import tempfile
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import fire
from hdrh.histogram import HdrHistogram

from cardamomrun_base.clock import MS_PER_S, SystemClock
from cardamomrun_bench.load import (
    HIGHEST_US,
    LOWEST_US,
    SIGNIFICANT_DIGITS,
    US_PER_MS,
    LoadPlan,
    LoadResult,
    run_load,
)
from cardamomrun_bench.local_fleet import HOST, LocalFleet

__all__ = ["PathResult", "cpu_ms", "pair_summary"]

ENTRY_COUNT, BACKEND_COUNT, SERVICE_TIME_MS = 4, 8, 5.0
# A rate in requests a second, and whether they are POST requests with a key.
Load = tuple[float, bool]

# The first rate is that of one instance at the target scale.
RATES_PER_S = (107, 200, 300, 400, 500, 600, 800, 1_000)
KEYED_RATES_PER_S = (27, 107)
# Exceeds the slow start of the servers.
WARM_UP_S = 11.0
TARGET_ADDED_MS = 4.6
KEYED_PATH = "/confirmations"
# Seeds of slices differ, since an idempotency key may be used only once.
SEED_STEP = 1_000
# Fields of /proc/PID/stat after the name in parentheses.
UTIME_FIELD, STIME_FIELD = 11, 12


def cpu_ms(pid: int) -> float:
    """Return the CPU time that a process has used, user and system."""
    content = Path(f"/proc/{pid}/stat").read_text()
    fields = content.rpartition(")")[2].split()
    ticks = int(fields[UTIME_FIELD]) + int(fields[STIME_FIELD])
    return ticks * MS_PER_S / os.sysconf("SC_CLK_TCK")


@dataclass
class PathResult:
    """All slices of one path, fleet or direct: merged latencies and slice quantiles."""

    latency: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
    )
    p50_ms: list[float] = field(default_factory=list)
    p99_ms: list[float] = field(default_factory=list)
    sent_count: int = 0
    good_count: int = 0
    failed: dict[str, int] = field(default_factory=dict)
    wrong_answer_count: int = 0
    duration_ms: float = 0.0
    entry_cpu_ms: float = 0.0
    own_cpu_ms: float = 0.0

    def add(self, result: LoadResult) -> None:
        """Add the result of one slice."""
        self.latency.add(result.latency)
        self.p50_ms.append(result.quantile_ms(50))
        self.p99_ms.append(result.quantile_ms(99))
        self.sent_count += result.sent_count
        self.good_count += result.statuses["200"]
        self.wrong_answer_count += result.wrong_answer_count
        for name, count in (result.statuses + result.errors).items():
            if name != "200":
                self.failed[name] = self.failed.get(name, 0) + count

    def quantile_ms(self, percent: float) -> float:
        """Return a quantile over all slices."""
        return self.latency.get_value_at_percentile(percent) / US_PER_MS

    def summary(self) -> dict[str, Any]:
        """Return the results as JSON-ready values."""
        return {
            "p50_ms": self.quantile_ms(50),
            "p99_ms": self.quantile_ms(99),
            "p50_ms_of_slices": self.p50_ms,
            "p99_ms_of_slices": self.p99_ms,
            "sent_count": self.sent_count,
            "good_count": self.good_count,
            "good_per_s": self.good_count / max(1.0, self.duration_ms) * MS_PER_S,
            "failed": self.failed,
            "wrong_answer_count": self.wrong_answer_count,
            "own_cpu_ratio": self.own_cpu_ms / max(1.0, self.duration_ms),
            "entry_cpu_ratio": self.entry_cpu_ms / max(1.0, self.duration_ms),
        }


def pair_summary(
    rate_per_s: float, keyed: bool, fleet: PathResult, direct: PathResult
) -> dict:
    """Return both results and what the fleet added, in total and for each slice."""
    idle_ratio = direct.entry_cpu_ms / max(1.0, direct.duration_ms)
    load_cpu_ms = fleet.entry_cpu_ms - idle_ratio * fleet.duration_ms
    result: dict[str, Any] = {
        "rate_per_s": rate_per_s,
        "keyed": keyed,
        "fleet": fleet.summary(),
        "direct": direct.summary(),
        "entry_cpu_ms_per_request": load_cpu_ms / max(1, fleet.sent_count),
        "entry_idle_cpu_ratio": idle_ratio,
    }
    for name, percent in (("p50", 50), ("p99", 99)):
        fleet_ms, direct_ms = fleet.quantile_ms(percent), direct.quantile_ms(percent)
        slices = zip(
            getattr(fleet, f"{name}_ms"), getattr(direct, f"{name}_ms"), strict=True
        )
        added = [a - b for a, b in slices]
        result[f"{name}_added_ms"] = fleet_ms - direct_ms
        result[f"{name}_ratio"] = fleet_ms / direct_ms if direct_ms else None
        result[f"{name}_added_ms_of_slices"] = added
        result[f"{name}_added_ms_median"] = statistics.median(added)
    return result


async def _run_slice(path_result: PathResult, plan: LoadPlan, entry_pid: int) -> None:
    before = (time.monotonic(), cpu_ms(entry_pid), cpu_ms(os.getpid()))
    path_result.add(await run_load(plan, SystemClock()))
    path_result.duration_ms += (time.monotonic() - before[0]) * MS_PER_S
    path_result.entry_cpu_ms += cpu_ms(entry_pid) - before[1]
    path_result.own_cpu_ms += cpu_ms(os.getpid()) - before[2]


def _plan(
    addresses: tuple[str, ...], rate: float, duration_s: float, seed: int, keyed: bool
) -> LoadPlan:
    return LoadPlan(
        addresses,
        HOST,
        rate,
        duration_s,
        seed,
        write_ratio=1.0 if keyed else 0.0,
        keyed=keyed,
        path=KEYED_PATH if keyed else "/",
    )


async def _measure(
    fleet: LocalFleet, cases: list[Load], seed: int, slice_s: float, repeat_count: int
) -> list[dict]:
    path_results = {case: (PathResult(), PathResult()) for case in cases}
    entry = fleet.entries[0]
    front, direct = (fleet.front(entry),), fleet.backends()
    for repeat in range(repeat_count):
        for index, (rate, keyed) in enumerate(cases):
            number = seed + SEED_STEP * (repeat + 1) + index
            order = list(zip(path_results[rate, keyed], (front, direct), strict=True))
            # The order of the two paths alternates with each repetition.
            for path_result, addresses in order if repeat % 2 == 0 else reversed(order):
                plan = _plan(addresses, rate, slice_s, number, keyed)
                await _run_slice(path_result, plan, fleet.pid(entry))
    return [pair_summary(*case, *path_results[case]) for case in cases]


async def _run(
    folder: Path, cases: list[Load], seed: int, slice_s: float, repeat_count: int
) -> list[dict]:
    with LocalFleet(folder, ENTRY_COUNT, BACKEND_COUNT, SERVICE_TIME_MS) as fleet:
        await fleet.make_ready()
        front = (fleet.front(fleet.entries[0]),)
        for addresses in (front, fleet.backends()):
            await run_load(
                _plan(addresses, RATES_PER_S[0], WARM_UP_S, seed, False), SystemClock()
            )
        return await _measure(fleet, cases, seed, slice_s, repeat_count)


class Commands:
    """Runs the experiment, and reports on its results."""

    def run(
        self,
        output: str,
        seed: int = 1,
        slice_s: float = 4.0,
        repeat_count: int = 6,
        rates: Sequence[float] = RATES_PER_S,
        keyed_rates: Sequence[float] = KEYED_RATES_PER_S,
    ) -> None:
        """Measure all loads and write the results to `output`."""
        loads = [(rate, False) for rate in rates]
        loads += [(rate, True) for rate in keyed_rates]
        load_average = [os.getloadavg()]
        with tempfile.TemporaryDirectory() as folder:
            measurement = _run(Path(folder), loads, seed, slice_s, repeat_count)
            cases = asyncio.run(measurement)
        load_average.append(os.getloadavg())
        content = {
            "seed": seed,
            "slice_s": slice_s,
            "repeat_count": repeat_count,
            "load_average_before_and_after": load_average,
            "cases": cases,
        }
        Path(output).write_text(json.dumps(content))
        print(f"{len(cases)} loads written to {output}")

    def report(self, results: str | Sequence[str], folder: str) -> None:
        """Plot result files as PNG and print their figures as a Markdown table."""
        from cardamomrun_bench.latency_report import plot, table

        paths = results.split(",") if isinstance(results, str) else results
        cases: list[dict[str, Any]] = []
        for path in paths:
            cases += json.loads(Path(path).read_text())["cases"]
        cases.sort(key=lambda case: (case["keyed"], case["rate_per_s"]))
        plot(cases, Path(folder), TARGET_ADDED_MS)
        print(table(cases))


if __name__ == "__main__":
    fire.Fire(Commands)
