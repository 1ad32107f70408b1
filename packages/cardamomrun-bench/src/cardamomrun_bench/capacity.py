"""Measures capacity slopes and renders the tables of `docs/CAPACITY.md` from them.

Run `python -m cardamomrun_bench.capacity measure` and then `... render`. `measure`
writes one file of JSON for each part, with the points, the fits, the seed and the
command.
"""

import json
import os
import platform
import subprocess
import sys
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import fire

from cardamomrun_bench.capacity_claims import measure_claims
from cardamomrun_bench.capacity_control import measure_control
from cardamomrun_bench.capacity_fit import Series
from cardamomrun_bench.capacity_fleet import measure_light_nodes, measure_processes
from cardamomrun_bench.capacity_reports import measure_reports
from cardamomrun_bench.capacity_requests import measure_requests
from cardamomrun_bench.capacity_store import measure_store
from cardamomrun_bench.capacity_tables import render_page

__all__ = ["Commands", "load_results", "measure_part", "save_part"]

RESULTS = Path("docs/measurements/capacity")
PAGE = Path("docs/CAPACITY.md")
PART_LIMIT_S = 300
# Parts measured in parallel; more would disturb each other's timings on 10 cores.
PARALLEL_COUNT = 3

PARTS: dict[str, Callable[[int], list[Series]]] = {
    "fleet": measure_light_nodes,
    "control": measure_control,
    "processes": measure_processes,
    "requests": measure_requests,
    "reports": measure_reports,
    "claims": measure_claims,
    "store": measure_store,
}


def measure_part(part: str, seed: int, results: Path) -> Path:
    """Measure one part in this process and write its file."""
    started_s = time.monotonic()
    series = PARTS[part](seed)
    return save_part(part, seed, results, series, time.monotonic() - started_s)


def save_part(
    part: str, seed: int, results: Path, series: list[Series], elapsed_s: float
) -> Path:
    """Write the series of a part with the command that measures them."""
    value = {
        "part": part,
        "seed": seed,
        "command": (
            f"python -m cardamomrun_bench.capacity measure --parts={part} --seed={seed}"
        ),
        "elapsed_s": round(elapsed_s, 1),
        "python": platform.python_version(),
        "cores": os.cpu_count(),
        "series": [one.to_json() for one in series],
    }
    results.mkdir(parents=True, exist_ok=True)
    path = results / f"{part}.json"
    path.write_text(json.dumps(value, indent=1) + "\n")
    return path


def load_results(results: Path) -> list[dict[str, Any]]:
    """Return the content of all result files.

    Files in a subfolder are results of an earlier version; the names of their parts
    and series are prefixed by the name of the subfolder.
    """
    loaded = [json.loads(path.read_text()) for path in sorted(results.glob("*.json"))]
    for path in sorted(results.glob("*/*.json")):
        value = json.loads(path.read_text())
        value["part"] = f"{path.parent.name}/{value['part']}"
        for series in value["series"]:
            series["name"] = f"{path.parent.name}/{series['name']}"
        loaded.append(value)
    return loaded


class Commands:
    """Measure capacity slopes and render them."""

    def measure(
        self, seed: int = 1, parts: Any = tuple(PARTS), results: str = str(RESULTS)
    ) -> None:
        """Measure the parts, each in a process of its own, and write their files."""
        names = parts.split(",") if isinstance(parts, str) else list(parts)
        with ThreadPoolExecutor(PARALLEL_COUNT) as pool:
            runs = [pool.submit(_run_part, name, seed, results) for name in names]
            for run in runs:
                print(run.result(), flush=True)

    def part(self, name: str, seed: int, results: str) -> None:
        """Measure one part in this process."""
        print(measure_part(name, seed, Path(results)))

    def render(self, results: str = str(RESULTS), page: str = str(PAGE)) -> None:
        """Regenerate the marked tables of the page from the result files."""
        path = Path(page)
        path.write_text(render_page(path.read_text(), load_results(Path(results))))
        print(f"{path}: tables written")


def _run_part(name: str, seed: int, results: str) -> str:
    if name not in PARTS:
        raise SystemExit(f"no part {name}; the parts are {', '.join(PARTS)}")
    command = [sys.executable, "-m", "cardamomrun_bench.capacity", "part"]
    done = subprocess.run(
        [*command, name, str(seed), results],
        capture_output=True,
        text=True,
        timeout=PART_LIMIT_S,
    )
    if done.returncode:
        return f"{name} failed: {done.stderr[-2_000:]}"
    return done.stdout.strip()


if __name__ == "__main__":
    fire.Fire(Commands)
