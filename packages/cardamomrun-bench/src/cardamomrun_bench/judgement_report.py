"""Tables and plots of the results of `judgement_experiment`."""

from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

import matplotlib as mpl

mpl.use("Agg")
import matplotlib.pyplot as plt

from cardamomrun_bench.ejection_policies import (
    ConsecutiveFailures,
    FleetJudgement,
    NoEjection,
)
from cardamomrun_bench.judgement_traffic import Fault

__all__ = ["plot", "speed_up", "tables"]

Summary = dict[str, Any]
MS_PER_S = 1_000
GOAL_FACTOR = 3.0
DETECTION_FAULTS = [
    fault.value for fault in Fault if fault not in (Fault.NONE, Fault.PATH_BROKEN)
]
BAR_WIDTH = 0.27


def _find(summary: list[Summary], **keys: str) -> Summary | None:
    for row in summary:
        if all(row[key] == value for key, value in keys.items()):
            return row
    return None


def _services(summary: list[Summary]) -> list[str]:
    return list(dict.fromkeys(row["service"] for row in summary))


def speed_up(fleet: Summary, baseline: Summary, key: str) -> tuple[float, bool] | None:
    """Return the baseline's median divided by the fleet's, and whether it is a bound.

    Without a detection by the baseline, its horizon gives a lower bound. Returns None
    if the fleet detected nothing.
    """
    fleet_ms, baseline_ms = fleet[f"{key}_p50"], baseline[f"{key}_p50"]
    if fleet_ms is None:
        return None
    if baseline_ms is None:
        return baseline["horizon_ms"] / fleet_ms, True
    return baseline_ms / fleet_ms, False


def tables(summary: list[Summary]) -> str:
    """Return the figures as Markdown tables."""
    parts = []
    for service in _services(summary):
        parts.append(f"### {service}\n\n{_detection_table(summary, service)}")
    parts.append(f"### False ejections\n\n{_false_table(summary)}")
    parts.append(f"### Lowest healthy count\n\n{_floor_table(summary)}")
    return "\n\n".join(parts)


def _markdown(head: list[str], rows: Iterable[list[str]]) -> str:
    lines = ["| " + " | ".join(head) + " |", "|" + " --- |" * len(head)]
    return "\n".join([*lines, *("| " + " | ".join(row) + " |" for row in rows)])


def _format_seconds(row: Summary, key: str) -> str:
    value = row[key]
    if value is None:
        return f"> {row['horizon_ms'] / MS_PER_S:.0f}"
    return f"{value / MS_PER_S:.2f}"


def _format_speed_up(fleet: Summary, baseline: Summary, key: str) -> str:
    found = speed_up(fleet, baseline, key)
    if found is None:
        return "-"
    value, is_bound = found
    return f"{'> ' if is_bound else ''}{value:.1f}"


def _detection_table(summary: list[Summary], service: str) -> str:
    head = [
        "fault",
        "fleet median s",
        "fleet p99 s",
        "fleet detected",
        "baseline 90% median s",
        "baseline all median s",
        "baseline all p99 s",
        "baseline detected",
        "factor 90%",
        "factor all",
        "sick share fleet",
        "baseline",
        "none",
    ]
    rows = []
    for fault in DETECTION_FAULTS:
        found = [
            _find(summary, service=service, fault=fault, policy=policy.name)
            for policy in (FleetJudgement, ConsecutiveFailures, NoEjection)
        ]
        fleet, baseline, none = found
        if fleet is None or baseline is None or none is None:
            continue
        rows.append(
            [
                fault,
                _format_seconds(fleet, "detected_all_ms_p50"),
                _format_seconds(fleet, "detected_all_ms_p99"),
                f"{fleet['detected_all_ms_count']}/{fleet['seed_count']}",
                _format_seconds(baseline, "detected_90_ms_p50"),
                _format_seconds(baseline, "detected_all_ms_p50"),
                _format_seconds(baseline, "detected_all_ms_p99"),
                f"{baseline['detected_all_ms_count']}/{baseline['seed_count']}",
                _format_speed_up(fleet, baseline, "detected_90_ms"),
                _format_speed_up(fleet, baseline, "detected_all_ms"),
                f"{fleet['hit_ratio']:.2%}",
                f"{baseline['hit_ratio']:.2%}",
                f"{none['hit_ratio']:.2%}",
            ]
        )
    return _markdown(head, rows)


def _false_table(summary: list[Summary]) -> str:
    head = [
        "service",
        "fault",
        "policy",
        "server-hours",
        "ejections by the decider",
        "per hour",
        "removals by one instance",
        "all, weighted",
        "per hour",
    ]
    rows = [
        [
            row["service"],
            row["fault"],
            row["policy"],
            f"{row['healthy_server_hours']:.1f}",
            str(row["false_ejections"]),
            f"{row['false_ejections_per_hour']:.3f}",
            str(row["false_local_removals"]),
            f"{row['false_weighted']:.2f}",
            f"{row['false_weighted_per_hour']:.3f}",
        ]
        for row in _compared(summary, lambda row: row["false_weighted"] > 0)
    ]
    return _markdown(head, rows)


def _compared(
    summary: list[Summary], is_of_interest: Callable[[Summary], bool]
) -> list[Summary]:
    """Return the rows of both policies for faults with a row of interest.

    The faults `none` and `path-broken` are always included.
    """
    rows = [row for row in summary if row["policy"] != NoEjection.name]
    keep = {
        (row["service"], row["fault"])
        for row in rows
        if is_of_interest(row)
        or row["fault"] in (Fault.NONE.value, Fault.PATH_BROKEN.value)
    }
    return [row for row in rows if (row["service"], row["fault"]) in keep]


def _floor_table(summary: list[Summary]) -> str:
    head = [
        "service",
        "floor",
        "policy",
        "lowest in an instance's view",
        "lowest pooled",
        "pooled, under fault",
    ]
    rows = []
    for service in _services(summary):
        for policy in (FleetJudgement.name, ConsecutiveFailures.name):
            own = [
                r for r in summary if (r["service"], r["policy"]) == (service, policy)
            ]
            worst = min(own, key=lambda row: row["lowest_pooled_count"])
            rows.append(
                [
                    service,
                    str(worst["floor_count"]),
                    policy,
                    f"{min(row['lowest_view_count'] for row in own):.0f}",
                    f"{worst['lowest_pooled_count']:.1f}",
                    worst["fault"],
                ]
            )
    return _markdown(head, rows)


def plot(summary: list[Summary], folder: Path) -> None:
    """Write `judgement-detection.png` and `judgement-false.png`."""
    folder.mkdir(parents=True, exist_ok=True)
    _plot_detection(summary, folder / "judgement-detection.png")
    _plot_false(summary, folder / "judgement-false.png")


def _plot_detection(summary: list[Summary], path: Path) -> None:
    services = _services(summary)
    figure, axes = plt.subplots(
        len(services), 1, figsize=(10, 2.6 * len(services)), squeeze=False
    )
    series = (
        (FleetJudgement.name, "detected_all_ms", "fleet, all instances"),
        (ConsecutiveFailures.name, "detected_90_ms", "baseline, 90% of instances"),
        (ConsecutiveFailures.name, "detected_all_ms", "baseline, all instances"),
    )
    for axis, service in zip(axes[:, 0], services, strict=True):
        for index, (policy, key, label) in enumerate(series):
            _bars(axis, summary, service, policy, key, label, (index - 1) * BAR_WIDTH)
        axis.set_yscale("log")
        axis.set_title(service, fontsize=9)
        axis.set_ylabel("median s")
        axis.set_xticks(range(len(DETECTION_FAULTS)), DETECTION_FAULTS, fontsize=8)
    axes[0, 0].legend(fontsize=7)
    figure.suptitle("Detection time; hatched: not detected within the run")
    figure.tight_layout()
    figure.savefig(path, dpi=90)
    plt.close(figure)


def _bars(
    axis: Any,
    summary: list[Summary],
    service: str,
    policy: str,
    key: str,
    label: str,
    offset: float,
) -> None:
    heights, hatches, positions = [], [], []
    for index, fault in enumerate(DETECTION_FAULTS):
        row = _find(summary, service=service, fault=fault, policy=policy)
        if row is None:
            continue
        value = row[f"{key}_p50"]
        positions.append(index + offset)
        hatches.append("" if value is not None else "//")
        heights.append((value or row["horizon_ms"]) / MS_PER_S)
    bars = axis.bar(positions, heights, BAR_WIDTH, label=label)
    for bar, hatch in zip(bars, hatches, strict=True):
        bar.set_hatch(hatch)


def _plot_false(summary: list[Summary], path: Path) -> None:
    services = _services(summary)
    figure, axis = plt.subplots(figsize=(9, 4))
    series = (
        (FleetJudgement.name, "false_ejections_per_hour", "fleet, decider only"),
        (FleetJudgement.name, "false_weighted_per_hour", "fleet, with avoidance"),
        (ConsecutiveFailures.name, "false_weighted_per_hour", "baseline"),
    )
    for index, (policy, key, label) in enumerate(series):
        rows = [
            _find(summary, service=service, fault=Fault.NONE.value, policy=policy)
            for service in services
        ]
        heights = [0.0 if row is None else row[key] for row in rows]
        positions = [
            position + (index - 1) * BAR_WIDTH for position in range(len(services))
        ]
        axis.bar(positions, heights, BAR_WIDTH, label=label)
    axis.set_xticks(range(len(services)), services, fontsize=8)
    axis.set_ylabel("per healthy-server-hour, weighted")
    axis.set_title("Healthy servers removed, no sick server, common causes")
    axis.legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(path, dpi=90)
    plt.close(figure)
