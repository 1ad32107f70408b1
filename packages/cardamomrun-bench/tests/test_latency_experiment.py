"""Tests of the latency experiment's arithmetic, without its processes."""

import os
import time

import pytest

from cardamomrun_bench.latency_experiment import PathResult, cpu_ms, pair_summary
from cardamomrun_bench.load import LoadResult


def _result(*latencies_ms, refused_count=0):
    result = LoadResult(sent_count=len(latencies_ms))
    for value in latencies_ms:
        result.latency.record_value(value * 1_000)
    result.statuses["200"] = len(latencies_ms) - refused_count
    if refused_count:
        result.statuses["503"] = refused_count
    return result


def _path_result(*results, entry_cpu_ms=0.0):
    side = PathResult(duration_ms=1_000.0, entry_cpu_ms=entry_cpu_ms)
    for result in results:
        side.add(result)
    return side


def test_pair_reports_what_the_fleet_added():
    """Guards against published figures with a wrong sign or with idle CPU time."""
    fleet = _path_result(
        _result(8, 10), _result(8, 12, refused_count=1), entry_cpu_ms=50.0
    )
    direct = _path_result(_result(5, 6), _result(5, 6), entry_cpu_ms=10.0)
    summary = pair_summary(107, False, fleet, direct)
    assert summary["p99_added_ms"] == pytest.approx(6, abs=0.1)
    assert summary["p99_ratio"] == pytest.approx(2, abs=0.1)
    assert summary["p99_added_ms_of_slices"] == pytest.approx([4, 6], abs=0.1)
    assert summary["entry_cpu_ms_per_request"] == pytest.approx(10)
    assert summary["fleet"]["failed"] == {"503": 1}


def test_cpu_time_of_a_process_advances_with_work():
    """Guards against reading the wrong fields of /proc/PID/stat."""
    before = cpu_ms(os.getpid())
    own_before_s = time.process_time()
    while time.process_time() - own_before_s < 0.1:
        pass
    assert cpu_ms(os.getpid()) - before == pytest.approx(100, abs=40)
