"""Detection time and false ejections of the fleet's ejection against baselines.

Run `python -m cardamomrun_bench.judgement_experiment run --output=FILE` and then
`python -m cardamomrun_bench.judgement_experiment report --results=FILE`. The decision
code is called directly on a manual clock, without sockets. Worker processes execute
the runs in parallel.
"""

import json
from collections import defaultdict
from collections.abc import Iterable, Sequence
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import fire
import numpy as np

from cardamomrun_base.clock import Clock
from cardamomrun_base.documents import DetectionProfile
from cardamomrun_bench.ejection_policies import (
    ConsecutiveFailures,
    FleetJudgement,
    NoEjection,
    Policy,
)
from cardamomrun_bench.judgement_run import HIT_WINDOW_MS, RunPlan, run
from cardamomrun_bench.judgement_traffic import Fault, ServiceModel

__all__ = ["SERVICES", "Job", "run_job", "summarise"]

BC_INTERIOR = ("kelowna-a", "kelowna-b", "vernon-a", "penticton-a")
PK_SOUTH = ("karachi-a", "hyderabad-b", "sukkur-c")
FEWEST, FASTEST = (
    DetectionProfile.FEWEST_FALSE_EJECTIONS,
    DetectionProfile.FASTEST_DETECTION,
)

_target = ServiceModel(
    "target-fewest",
    FEWEST,
    BC_INTERIOR,
    server_count=34,
    slots=4,
    connections=400,
    instance_count=420,
    rate_per_server=12.0,
)
SERVICES = {
    service.name: service
    for service in (
        ServiceModel("rota-desk", FEWEST, BC_INTERIOR, 30, 4, 400),
        ServiceModel("board-works", FEWEST, BC_INTERIOR, 10, 4, 400),
        ServiceModel("catalogue-orders", FASTEST, PK_SOUTH, 20, 6, 330),
        ServiceModel("custom-builds", FASTEST, PK_SOUTH, 6, 6, 330),
        _target,
        replace(_target, name="target-fastest", profile=FASTEST),
    )
}

HORIZON_MS = 60_000.0
# At 12 requests/s a server, an instance sees a server about once in 8 s.
TARGET_HORIZON_MS = 180_000.0
# Two periods of the common causes.
NONE_HORIZON_MS = 225_000.0


def _no_ejection(service: ServiceModel, subsets: np.ndarray, clock: Clock) -> Policy:
    return NoEjection(service, subsets)


def _consecutive_failures(
    service: ServiceModel, subsets: np.ndarray, clock: Clock
) -> Policy:
    return ConsecutiveFailures(service, subsets)


POLICIES = {
    FleetJudgement.name: FleetJudgement,
    ConsecutiveFailures.name: _consecutive_failures,
    NoEjection.name: _no_ejection,
}


@dataclass(frozen=True)
class Job:
    """One run; service, fault and policy are given by name."""

    service: str
    fault: str
    policy: str
    seed: int

    def plan(self) -> RunPlan:
        """Return the run's plan."""
        service, fault = SERVICES[self.service], Fault(self.fault)
        horizon_ms = HORIZON_MS
        if service.instance_count == _target.instance_count:
            horizon_ms = TARGET_HORIZON_MS
        if fault is Fault.NONE:
            horizon_ms = NONE_HORIZON_MS
        elif self.policy == NoEjection.name:
            # Without ejection, only the hit ratio in the window is of interest.
            horizon_ms = HIT_WINDOW_MS
        return RunPlan(service, fault, self.seed, horizon_ms)


def run_job(job: Job) -> dict[str, Any]:
    """Run a job and return its JSON-ready result."""
    return run(job.plan(), POLICIES[job.policy])


def _jobs(services: Sequence[str], faults: Sequence[str], seeds: range) -> list[Job]:
    return [
        Job(service, fault, policy, seed)
        for service in services
        for fault in faults
        for policy in POLICIES
        if not (policy == NoEjection.name and fault == Fault.NONE)
        for seed in seeds
    ]


def _quantile(values: Iterable[float | None], ratio: float) -> float | None:
    """Return a quantile; None counts as larger than all values."""
    ordered = sorted(float("inf") if value is None else value for value in values)
    value = ordered[max(0, int(np.ceil(ratio * len(ordered))) - 1)]
    return None if value == float("inf") else value


def summarise(rows: Iterable[dict[str, Any]]) -> list[dict[str, Any]]:
    """Return one row for each service, fault and policy, over the seeds."""
    groups: dict[tuple[str, str, str], list[dict[str, Any]]] = defaultdict(list)
    for row in rows:
        groups[row["service"], row["fault"], row["policy"]].append(row)
    return [_summary(group) for _, group in sorted(groups.items())]


def _summary(group: list[dict[str, Any]]) -> dict[str, Any]:
    hours = sum(row["healthy_server_hours"] for row in group)
    result = {
        key: group[0][key]
        for key in ("service", "profile", "fault", "policy", "horizon_ms")
    }
    result["seed_count"] = len(group)
    for key in ("detected_90_ms", "detected_all_ms", "decided_ms"):
        values = [row[key] for row in group]
        result[f"{key}_count"] = sum(value is not None for value in values)
        result[f"{key}_p50"] = _quantile(values, 0.5)
        result[f"{key}_p99"] = _quantile(values, 0.99)
    result["hit_ratio"] = float(np.mean([row["hit_ratio"] for row in group]))
    result["fair_ratio"] = group[0]["fair_ratio"]
    for key in ("false_ejections", "false_local_removals", "false_weighted"):
        result[key] = sum(row[key] for row in group)
        result[f"{key}_per_hour"] = result[key] / hours
    result["healthy_server_hours"] = hours
    result["true_ejections_mean"] = float(
        np.mean([row["true_ejections"] for row in group])
    )
    for key in ("lowest_view_count", "lowest_pooled_count"):
        result[key] = min(row[key] for row in group)
    result["floor_count"] = group[0]["floor_count"]
    return result


def _parse_names(value: str | Sequence[str], known: Iterable[str]) -> list[str]:
    if value == "all":
        return list(known)
    return value.split(",") if isinstance(value, str) else list(value)


class Commands:
    """Runs the experiment, and reports on its results."""

    def run(
        self,
        output: str,
        services: str | Sequence[str] = "all",
        faults: str | Sequence[str] = "all",
        first_seed: int = 1001,
        seed_count: int = 50,
        workers: int = 4,
    ) -> None:
        """Run all combinations and write the rows and their summary to `output`."""
        seeds = range(first_seed, first_seed + seed_count)
        names = _parse_names(services, SERVICES)
        jobs = _jobs(
            names, _parse_names(faults, [fault.value for fault in Fault]), seeds
        )
        with ProcessPoolExecutor(workers) as pool:
            futures = [pool.submit(run_job, job) for job in jobs]
            rows = [future.result() for future in as_completed(futures)]
        rows.sort(key=lambda r: (r["service"], r["fault"], r["policy"], r["seed"]))
        content = {
            "first_seed": first_seed,
            "seed_count": seed_count,
            "summary": summarise(rows),
            "rows": rows,
        }
        Path(output).write_text(json.dumps(content))
        print(f"{len(rows)} runs written to {output}")

    def report(self, results: str | Sequence[str], folder: str) -> None:
        """Plot result files as PNG and print their figures as Markdown tables."""
        from cardamomrun_bench.judgement_report import plot, tables

        paths = results.split(",") if isinstance(results, str) else results
        summary: list[dict[str, Any]] = []
        for path in paths:
            summary += json.loads(Path(path).read_text())["summary"]
        plot(summary, Path(folder))
        print(tables(summary))


if __name__ == "__main__":
    fire.Fire(Commands)
