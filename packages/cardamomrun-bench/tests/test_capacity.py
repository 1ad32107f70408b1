"""Tests of the capacity tool: fits, measurements and rendering."""

import json
from pathlib import Path

import pytest

from cardamomrun_bench import capacity
from cardamomrun_bench.capacity_control import measure_control
from cardamomrun_bench.capacity_fit import Series, fit_line
from cardamomrun_bench.capacity_fleet import run_light
from cardamomrun_bench.capacity_model import Slopes
from cardamomrun_bench.capacity_reports import measure_reports
from cardamomrun_bench.capacity_store import measure_store
from cardamomrun_bench.capacity_tables import TABLES, render_page

ROOT = Path(__file__).parents[3]
RESULTS = ROOT / "docs/measurements/capacity"
PAGE = ROOT / "docs/CAPACITY.md"


def test_fit_matches_a_worked_example():
    """Guards against a wrong slope or error, which would move all figures."""
    fit = fit_line([(1, 2), (2, 3), (3, 5), (4, 6)])
    assert fit.slope == pytest.approx(1.4)
    assert fit.intercept == pytest.approx(0.5)
    # Residuals 0.1, -0.3, 0.3, -0.1: squares 0.2, 2 degrees of freedom, spread 5.
    assert fit.residual == pytest.approx(0.1**0.5)
    assert fit.slope_error == pytest.approx((0.1 / 5) ** 0.5)


def test_error_grows_outside_the_measured_range():
    """Guards against extrapolated figures with the error of measured ones."""
    fit = fit_line([(1, 2), (2, 3), (3, 5), (4, 6)])
    assert fit.error_at(400) > 100 * fit.error_at(2.5)
    assert fit.is_extrapolated(400)
    assert not fit.is_extrapolated(4)


def test_two_points_are_refused():
    """Guards against a fit without an error."""
    with pytest.raises(ValueError, match="three points"):
        fit_line([(1, 2), (2, 3)])


def test_results_keep_command_seed_and_points(tmp_path):
    """Guards against result files that cannot be reproduced or read back."""
    series = Series("store.x", "records", "bytes", ((1, 2), (2, 4), (3, 7)))
    path = capacity.save_part("store", 7, tmp_path, [series], 1.0)
    value = json.loads(path.read_text())
    assert "--parts=store --seed=7" in value["command"]
    assert Slopes(capacity.load_results(tmp_path)).series["store.x"].fit == series.fit


def test_page_equals_its_rendered_results():
    """Guards against tables edited by hand or results changed without rendering."""
    page = PAGE.read_text()
    assert render_page(page, capacity.load_results(RESULTS)) == page
    assert all(f"<!-- capacity:{name} -->" in page for name in TABLES)


def test_light_fleet_sends_what_it_receives():
    """Guards against bytes that are counted on one side only, or records not flooded."""
    row = run_light(3, 1, record_bytes=(500,), settle_s=0.4, change_count=4)
    assert row["sent"] == pytest.approx(row["received"], rel=0.2)
    assert row["reached-500"] == 4
    # Each change of 500 bytes reaches the two others, in one body each at least.
    assert row["change_sent-500"] > 500 * 2 / 3


def test_state_and_reports_grow_with_their_sizes():
    """Guards against meters that measure nothing."""
    series = [
        *measure_store(1, (10, 20, 30), (10, 20, 30), (3, 6, 9), (10, 20, 30), (3, 6, 9)),
        *measure_reports(1, (2, 4, 6), (2, 4, 6), (1, 2, 3), repeat_count=3),
    ]  # fmt: skip
    by_name = {one.name: one.fit for one in series}
    for name in ("store.member.memory", "store.route.document", "report.bytes"):
        assert by_name[name].slope > 0, name


def test_control_state_grows_with_changes():
    """Guards against control figures of changes that were refused."""
    series = measure_control(1, (10, 40, 80), (), ())
    by_name = {one.name: one.fit for one in series if one.points}
    for name in ("control.snapshot", "control.memory", "control.audit"):
        assert by_name[name].slope > 0, name
