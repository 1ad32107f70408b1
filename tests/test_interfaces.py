"""Commands, keys and answers match docs/interfaces.md."""

import contextlib
import inspect
import json
import os
import re
import shutil
import signal
import subprocess
import sys
from contextlib import nullcontext
from dataclasses import MISSING, asdict, fields, is_dataclass
from pathlib import Path

import pytest

from cardamomrun_base.documents import EnvironmentDocument, Route
from cardamomrun_base.errors import ConflictError
from cardamomrun_base.settings import NodeSettings
from cardamomrun_control.audit import GENESIS_HASH, AuditEntry, with_hash
from cardamomrun_operators.commands import Commands

ROOT = Path(__file__).parent.parent
PAGE = (ROOT / "docs" / "interfaces.md").read_text()
WALKTHROUGH = PAGE.split("## 9. Walk-through")[1]
STEPS = re.findall(r"```bash\n(.*?)```\n\n```text\n(.*?)```", WALKTHROUGH, re.DOTALL)
STEP_END_MARK = "==== end of step ===="
WALKTHROUGH_TIMEOUT_S = 60


def _network_prefix() -> str:
    # The process id gives concurrent test runs different addresses.
    return f"127.{20 + os.getpid() % 200}."


def _copy_demo(folder: Path) -> None:
    for path in (ROOT / "demo").iterdir():
        if path.is_dir():
            # Skips the bytecode cache of an earlier run.
            continue
        (folder / path.name).write_text(
            path.read_text().replace("127.20.", _network_prefix())
        )


def _run_script(text: str, folder: Path) -> str:
    """Run a bash script in its own process group, kill the group at the end, and return
    the output."""
    binaries = Path(sys.executable).parent
    environment = {
        **os.environ,
        "PATH": f"{binaries}:{os.environ['PATH']}",
        "TMPDIR": str(folder),
    }
    command = [shutil.which("bash") or "bash", "-euo", "pipefail", "-c", text]
    with subprocess.Popen(
        command,
        cwd=folder,
        env=environment,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        start_new_session=True,
    ) as process:
        try:
            output, _ = process.communicate(timeout=WALKTHROUGH_TIMEOUT_S)
        finally:
            with contextlib.suppress(ProcessLookupError):
                os.killpg(process.pid, signal.SIGKILL)
    assert process.returncode == 0, output
    return output


def _pattern_of_shown(shown: str) -> str:
    return r".*?".join(re.escape(part) for part in shown.strip().split("..."))


def test_the_walk_through_of_the_page(tmp_path):
    """Guards against a page whose commands or answers no longer match the fleet."""
    (tmp_path / "demo").mkdir()
    _copy_demo(tmp_path / "demo")
    assert len(STEPS) == WALKTHROUGH.count("```bash")
    script = "".join(
        f"{commands}\necho\necho '{STEP_END_MARK}'\n" for commands, _ in STEPS
    )
    output = _run_script(script.replace("127.20.", _network_prefix()), tmp_path)
    outputs = output.replace("\r", "").split(STEP_END_MARK)
    assert len(outputs) == len(STEPS) + 1, output
    for (commands, shown), seen in zip(STEPS, outputs, strict=False):
        expected = _pattern_of_shown(shown.replace("127.20.", _network_prefix()))
        assert re.fullmatch(expected, seen.strip(), re.DOTALL), (commands, seen)


def _documented_rows(first: str, last: str) -> dict[str, list[str]]:
    """Return the table rows between two headings, by each key in their first cell."""
    section = PAGE.split(first)[1].split(last)[0]
    rows = {}
    for line in section.splitlines():
        cells = [cell.strip() for cell in line.strip("|").split("|")]
        if line.startswith("| `"):
            for key in re.findall(r"`([^`]+)`", cells[0]):
                rows[key] = cells[1:]
    return rows


def _accepted_keys(
    data_class: type, prefix: str = ""
) -> dict[str, tuple[object, list]]:
    """Return default and bounds of each key, nested keys with a dotted name."""
    found: dict[str, tuple[object, list]] = {}
    hints = {field.name: field for field in fields(data_class)}
    for name, field in hints.items():
        kind = field.type
        inner = [a for a in getattr(kind, "__args__", ()) if is_dataclass(a)]
        nested = kind if is_dataclass(kind) else (inner[0] if inner else None)
        if nested is not None and "tuple" not in str(kind):
            found |= _accepted_keys(nested, f"{prefix}{name}.")
            continue
        bounds = [
            value
            for constraint in getattr(kind, "__metadata__", ())
            for item in getattr(constraint, "metadata", ())
            for limit in ("ge", "le")
            if (value := getattr(item, limit, None)) is not None
        ]
        found[f"{prefix}{name}"] = (field.default, bounds)
    return found


@pytest.mark.parametrize(
    ("data_class", "first", "last"),
    [
        (NodeSettings, "## 1. Settings", "## 2. Environment"),
        (EnvironmentDocument, "## 2. Environment", "A route:"),
        (Route, "A route:", "## 3. Backend"),
    ],
)
def test_keys_defaults_and_bounds(data_class, first, last):
    """Guards against settings and document keys that differ from the page."""
    rows = _documented_rows(first, last)
    keys = _accepted_keys(data_class)
    documented = {key.removesuffix("[]") for key in rows}
    assert documented == set(keys)
    for key, (default, bounds) in keys.items():
        if not bounds or f"{key}[]" in rows:
            continue
        kind, shown = rows[key][:2]
        numbers = [f"{bound:g}" if bound < 1e6 else str(int(bound)) for bound in bounds]
        kind = kind.replace("10^10", "10000000000")
        assert all(number in kind for number in numbers), (key, bounds, kind)
        assert shown == ("required" if default is MISSING else str(default)), key


def test_errors_of_the_front_are_on_the_page():
    """Guards against errors that a caller cannot look up."""
    kinds = set()
    for path in ROOT.glob("packages/cardamomrun-requests/src/**/*.py"):
        kinds |= set(re.findall(r"\.error\(\s*\"([a-z-]+)\"", path.read_text()))
    assert "quarantined" in kinds
    section = PAGE.split("## 4. Clients")[1].split("## 5. Operators")[0]
    rows = [line.split("|") for line in section.splitlines() if line.startswith("|")]
    documented = {kind for row in rows for kind in re.findall(r"`([^`]+)`", row[2])}
    assert kinds <= documented


def test_parts_of_the_logs():
    """Guards against log prefixes that the pages do not list."""
    parts = set()
    for path in ROOT.glob("packages/*/src/**/*.py"):
        parts |= set(re.findall(r'ComponentLog\("([a-z]+)"\)', path.read_text()))
    section = PAGE.split("## 7. Logs")[1].split("## 8. Metrics")[0]
    rows = [line.split("|") for line in section.splitlines() if line.startswith("| `")]
    documented = {part for row in rows for part in re.findall(r"`([a-z]+)`", row[1])}
    design = (ROOT / "docs" / "design.md").read_text()
    rule = design.split("fixed prefix per part (")[1].split(")")[0]
    assert parts == documented
    assert parts == set(re.findall(r"`([a-z]+):`", rule))
    assert "claims" in parts


def _run_command(*words: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "cardamomrun_operators.main", *words]
    return subprocess.run(
        command, capture_output=True, text=True, timeout=60, check=False
    )


def test_each_command_has_an_example_and_is_on_the_page():
    """Guards against commands that an operator cannot find or try."""
    commands = {
        name: function
        for name, function in inspect.getmembers(Commands, inspect.isfunction)
        if not name.startswith("_")
    }
    rows = _documented_rows("## 6. Command line", "## 7. Logs")
    named = {key.split()[0] for key in rows}
    assert set(commands) <= named
    for name, function in commands.items():
        text = inspect.getdoc(function)
        assert f"Example: cardamomrun {name}" in text, name
    shown = _run_command("--help")
    assert shown.returncode == 0
    assert all(f"  {name} " in shown.stdout for name in commands)


@pytest.mark.parametrize(
    ("words", "code", "kind"),
    [
        (("nonsense", "--json"), 2, "usage"),
        (("--json", "apply"), 2, "usage"),
        (("voters", "add", "control-4", "--json"), 2, "usage"),
        (("--settings=/nowhere", "--json", "status"), 3, "settings"),
        (("check", "/nowhere", "--json"), 3, "document"),
    ],
)
def test_errors_of_commands_as_json(words, code, kind):
    """Guards against scripts that cannot read why a command failed."""
    result = _run_command(*words)
    assert result.returncode == code, result.stderr
    body = json.loads(result.stderr)
    assert body["error"] == kind
    assert set(body) == {"error", "message", "remedy"}


def _audit_answer(count: int, edited_number: int | None = None) -> dict:
    entries, previous_hash = [], GENESIS_HASH
    for number in range(1, count + 1):
        fields = (number, 0, "ann", "apply", "rota-desk/trial", 0, 1, "", "done")
        entry = with_hash(AuditEntry(*fields, previous_hash))
        previous_hash = entry.hash
        operator = "bob" if number == edited_number else entry.operator
        entries.append({**asdict(entry), "operator": operator})
    return {"entries": entries, "last_number": count}


@pytest.mark.parametrize(
    ("edited_number", "start", "verdict"),
    [(None, 1, "intact"), (None, 3, "intact"), (4, 1, "audit entry 4 was edited")],
)
def test_the_audit_command_verifies_the_chain(
    monkeypatch, capsys, edited_number, start, verdict
):
    """Guards against an edited audit trail that is reported as intact."""
    whole = _audit_answer(5, edited_number)

    def answer(self, method, path, body=None):
        first = int(path.rpartition("=")[2])
        # Two entries per page, so that the command has to join pages.
        return {**whole, "entries": whole["entries"][first - 1 : first + 1]}

    monkeypatch.setattr(Commands, "_call_control", answer)
    expected = nullcontext() if verdict == "intact" else pytest.raises(ConflictError)
    with expected:
        Commands(json=True).audit(start)
    shown = json.loads(capsys.readouterr().out)
    assert shown["chain"] == verdict
    assert len(shown["entries"]) == 6 - start
