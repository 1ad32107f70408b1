"""Both programs exit with the documented codes and print a remedy."""

import asyncio
import json
import shutil
import socket
import subprocess
import sys

import pytest

from .processes import OPERATOR_TOKEN, Processes, document, wait_until


def _run_module(module, *arguments):
    return subprocess.run(
        [sys.executable, "-m", module, *arguments],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


def _run_operator_command(group, *arguments, token=OPERATOR_TOKEN, control=None):
    (group.folder / "token").write_text(token)
    control = control or [
        group.admin_address(name) for name in group.instance_ids("control")
    ]
    settings = {"control": control, "token_file": "token", "timeout_ms": 3_000}
    path = group.folder / "cardamomrun.jsonc"
    path.write_text(json.dumps(settings))
    return _run_module("cardamomrun_operators.main", f"--settings={path}", *arguments)


@pytest.fixture
def control(processes):
    """Return a group with one running control instance and a document on disk."""
    group = processes(control_count=1, entry_count=0)
    group.start("control-1")
    asyncio.run(wait_until(lambda: group.status("control-1")))
    (group.folder / "rota-desk.jsonc").write_text(json.dumps(document()))
    return group


def _run_node(group: Processes, name: str, **changes):
    path = group.folder / f"{name}.jsonc"
    path.write_text(json.dumps({**group._settings(name), **changes}))
    return _run_module("cardamomrun_node.main", "run", "--settings", str(path))


def test_trial_to_production_and_back(control):
    """Guards against commands that do not work together from trial to rollback."""
    path = str(control.folder / "rota-desk.jsonc")
    applied = _run_operator_command(
        control, "apply", path, "--expect=0", "--change=1", "--json"
    )
    assert applied.returncode == 0, applied.stderr
    first = json.loads(applied.stdout)
    resent = _run_operator_command(
        control, "apply", path, "--expect=0", "--change=1", "--json"
    )
    assert json.loads(resent.stdout) == first
    promoted = _run_operator_command(control, "promote", "rota-desk", "--json")
    assert json.loads(promoted.stdout)["digest"] == first["digest"]
    shown = _run_operator_command(control, "show", "rota-desk")
    assert shown.stdout.strip() == (control.folder / "rota-desk.jsonc").read_text()
    assert "no difference" in _run_operator_command(control, "diff", path).stdout
    rolled_back = _run_operator_command(
        control, "rollback", "rota-desk", "--to-version=1", "--json"
    )
    assert json.loads(rolled_back.stdout)["version"] == 2
    for command in (["history", "rota-desk"], ["status"], ["control"], ["audit"]):
        result = _run_operator_command(control, *command, "--json")
        assert result.returncode == 0, result.stderr
        assert json.loads(result.stdout)


def test_refusals_have_their_exit_codes(control):
    """Guards against refused changes that look accepted to a script."""
    path = str(control.folder / "rota-desk.jsonc")
    assert _run_operator_command(control, "apply", path, "--expect=0").returncode == 0
    conflict = _run_operator_command(control, "apply", path, "--expect=7", "--json")
    assert conflict.returncode == 7
    assert json.loads(conflict.stderr)["error"] == "conflict"
    unauthorized = _run_operator_command(control, "status", token="someone-else")
    assert (
        _run_operator_command(control, "audit", token="someone-else").returncode == 9
    ), unauthorized
    unreachable = _run_operator_command(control, "control", control=["127.0.0.1:9"])
    assert unreachable.returncode == 8
    wrong = control.folder / "wrong.jsonc"
    text = json.dumps(document())
    wrong.write_text('{\n "colour": 1,\n' + text.removeprefix("{"))
    refused = _run_operator_command(control, "apply", str(wrong))
    assert refused.returncode == 3
    assert "line 2" in refused.stderr
    stage = _run_operator_command(control, "history", "rota-desk", "--stage=staging")
    assert stage.returncode == 2


def test_a_node_that_cannot_start_says_why(processes):
    """Guards against a node that starts partially or exits with a traceback."""
    group = processes(control_count=1, entry_count=1)
    unknown = _run_node(group, "entry-1", colour="red")
    assert unknown.returncode == 3
    assert "colour" in unknown.stderr
    with socket.create_server((group.hosts["entry-1"], 18080)):
        taken = _run_node(group, "entry-1")
    assert taken.returncode == 4, taken.stderr
    assert "Remedy" in taken.stderr
    shutil.rmtree(group.folder / "data" / "control-1", ignore_errors=True)
    settings = group._settings("control-1")["control"]
    missing = {**settings, "data_folder": str(group.folder / "nowhere")}
    folder = _run_node(group, "control-1", control=missing)
    assert folder.returncode == 5, folder.stderr
    assert "nowhere" in folder.stderr
