"""Table and plot of the results of `latency_experiment`."""

from pathlib import Path
from typing import Any

import matplotlib as mpl

mpl.use("Agg")
import matplotlib.pyplot as plt

__all__ = ["plot", "table"]

Case = dict[str, Any]
HEAD = (
    "load",
    "requests/s",
    "direct p50",
    "fleet p50",
    "added p50 (ratio)",
    "direct p99",
    "fleet p99",
    "added p99 (ratio)",
    "added p99 of slices: least, median, most",
    "entry CPU ms a request",
    "entry CPU, of a core",
    "caller CPU, of a core",
    "answered 200",
    "other",
)


def _load_name(case: Case) -> str:
    return "POST with key" if case["keyed"] else "GET"


def table(cases: list[Case]) -> str:
    """Return the figures as a Markdown table; latencies are in milliseconds."""
    lines = ["| " + " | ".join(HEAD) + " |", "|" + " --- |" * len(HEAD)]
    for case in cases:
        lines.append("| " + " | ".join(_cells(case)) + " |")
    return "\n".join(lines)


def _cells(case: Case) -> list[str]:
    fleet, direct = case["fleet"], case["direct"]
    added = case["p99_added_ms_of_slices"]
    spread = (min(added), case["p99_added_ms_median"], max(added))
    return [
        _load_name(case),
        str(case["rate_per_s"]),
        f"{direct['p50_ms']:.2f}",
        f"{fleet['p50_ms']:.2f}",
        f"{case['p50_added_ms']:.2f} ({case['p50_ratio']:.2f})",
        f"{direct['p99_ms']:.2f}",
        f"{fleet['p99_ms']:.2f}",
        f"{case['p99_added_ms']:.2f} ({case['p99_ratio']:.2f})",
        ", ".join(f"{value:.1f}" for value in spread),
        f"{case['entry_cpu_ms_per_request']:.2f}",
        f"{fleet['entry_cpu_ratio']:.2f}",
        f"{fleet['own_cpu_ratio']:.2f}",
        f"{fleet['good_count'] / max(1, fleet['sent_count']):.1%}",
        ", ".join(f"{name}: {count}" for name, count in fleet["failed"].items()) or "-",
    ]


def plot(cases: list[Case], folder: Path, target_ms: float) -> None:
    """Plot added latency and CPU time against the rate as `latency.png`."""
    folder.mkdir(parents=True, exist_ok=True)
    figure, (left, right) = plt.subplots(1, 2, figsize=(11, 4.2))
    for name in ("GET", "POST with key"):
        load_cases = [case for case in cases if _load_name(case) == name]
        rates = [case["rate_per_s"] for case in load_cases]
        for quantile in ("p50", "p99"):
            _error_bars(left, load_cases, rates, quantile, f"{name}, {quantile}")
        cpu = [case["entry_cpu_ms_per_request"] for case in load_cases]
        right.plot(rates, cpu, marker="o", label=name)
    left.axhline(target_ms, linestyle=":", color="black", label=f"goal {target_ms} ms")
    left.set_yscale("symlog", linthresh=1)
    left.set_ylabel("added ms: median, least and most of the slices")
    right.set_ylabel("CPU ms of the entry node a request")
    right.set_ylim(bottom=0)
    for axis in (left, right):
        axis.set_xlabel("requests/s through one entry instance")
        axis.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(folder / "latency.png", dpi=90)
    plt.close(figure)


def _error_bars(
    axis: Any, cases: list[Case], rates: list[float], quantile: str, label: str
) -> None:
    medians = [case[f"{quantile}_added_ms_median"] for case in cases]
    slices = [case[f"{quantile}_added_ms_of_slices"] for case in cases]
    below = [value - min(added) for value, added in zip(medians, slices, strict=True)]
    above = [max(added) - value for value, added in zip(medians, slices, strict=True)]
    axis.errorbar(rates, medians, (below, above), marker="o", capsize=3, label=label)
