"""Builds the timeline of one request or backend server from several processes' logs."""

import json
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from cardamomrun_base.clock import MS_PER_S

__all__ = ["LogLine", "Timeline", "parse_lines", "build_timeline"]

# Events of a server within this time before or after a request may explain its outcome.
CONTEXT_MS = 3_000.0
# A state change this shortly before the end of an attempt may be its effect and so
# can't explain it.
OWN_OUTCOME_MS = 20.0
# Fields that are not shown again: they name the process or repeat the text.
HIDDEN_FIELDS = frozenset(("text", "timestamp", "message_type", "instance_id", "level"))


@dataclass(frozen=True)
class LogLine:
    """One line of a log; `at_ms` is wall time, in ms since the Unix epoch."""

    at_ms: float
    instance_id: str
    text: str
    fields: dict[str, Any]

    def mentions(self, identifier: str) -> bool:
        """Return True if the value of a field equals the identifier."""
        return identifier in self.fields.values()


@dataclass(frozen=True)
class Timeline:
    """Log lines about an identifier in order of time, and the cause that they show."""

    identifier: str
    lines: tuple[LogLine, ...]
    cause: str


def parse_lines(texts: Iterable[str]) -> list[LogLine]:
    """Return the lines that hold a JSON object with a timestamp; skip all others.

    Text before the object, such as the prefix of a log collector, is ignored.
    """
    found = []
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(text[start:])
        except ValueError:
            continue
        if isinstance(fields, dict) and "timestamp" in fields:
            found.append(_parse_line(fields))
    return found


def build_timeline(identifier: str, lines: list[LogLine]) -> Timeline:
    """Return the timeline of a request id or a server id.

    A request's timeline includes what instances logged about its servers within
    `CONTEXT_MS` of it.
    """
    matching = [line for line in lines if line.mentions(identifier)]
    if not matching:
        return Timeline(identifier, (), "no line names it")
    servers = {
        line.fields["server_id"] for line in matching if "server_id" in line.fields
    }
    servers.discard(identifier)
    first_ms = min(line.at_ms for line in matching) - CONTEXT_MS
    last_ms = max(line.at_ms for line in matching) + CONTEXT_MS
    server_events = [
        line
        for line in lines
        if first_ms <= line.at_ms <= last_ms
        and line.fields.get("server_id") in servers
        and "request_id" not in line.fields
    ]
    ordered = sorted(
        [*matching, *_drop_duplicates(server_events)], key=lambda line: line.at_ms
    )
    return Timeline(identifier, tuple(ordered), _find_cause(matching, ordered))


def _parse_line(fields: dict[str, Any]) -> LogLine:
    shown = {k: v for k, v in fields.items() if k not in HIDDEN_FIELDS}
    return LogLine(
        float(fields["timestamp"]) * MS_PER_S,
        str(fields.get("instance_id", "")),
        str(fields.get("text", "")),
        shown,
    )


def _drop_duplicates(lines: list[LogLine]) -> list[LogLine]:
    """Keep only the first of the lines that several instances log alike in one second."""
    kept: dict[tuple[Any, ...], LogLine] = {}
    for line in sorted(lines, key=lambda line: line.at_ms):
        second = int(line.at_ms // MS_PER_S)
        kept.setdefault((line.text, line.fields.get("server_id"), second), line)
    return list(kept.values())


def _find_cause(matching: list[LogLine], ordered: list[LogLine]) -> str:
    """Return the cause in words, from the last decision that the lines show."""
    for line in reversed(matching):
        if "no backend server has room" in line.text:
            return _refusal_cause(line)
    resets = [line for line in matching if "ends with reset" in line.text]
    failed = any("answers with 502" in line.text for line in matching)
    if resets and failed:
        return _reset_cause(resets[-1], ordered)
    overdue = [line for line in matching if "overdue" in line.text]
    if overdue:
        return _overdue_cause(overdue[0], ordered)
    if resets:
        return f"server {resets[-1].fields['server_id']} broke off; sent to another one"
    return f"the last line says: {matching[-1].text}"


def _refusal_cause(line: LogLine) -> str:
    fields = line.fields
    return (
        f"refused after {fields.get('held_ms')} ms: {fields.get('in_work')} requests in "
        f"work at {fields.get('servers')} servers of {fields.get('service')}, "
        f"{fields.get('doubted')} of them in doubt"
    )


def _reset_cause(line: LogLine, ordered: list[LogLine]) -> str:
    server_id = line.fields["server_id"]
    return (
        f"server {server_id} ended the connection without an answer, so it is not "
        f"known whether it ran the request; {_last_server_state(server_id, line, ordered)}"
    )


def _overdue_cause(line: LogLine, ordered: list[LogLine]) -> str:
    server_id = line.fields["server_id"]
    return (
        f"server {server_id} took longer than {line.fields.get('usual_ms')} ms; "
        f"{_last_server_state(server_id, line, ordered)}"
    )


def _last_server_state(server_id: str, line: LogLine, ordered: list[LogLine]) -> str:
    before = [
        other
        for other in ordered
        if other.fields.get("server_id") == server_id
        and other.at_ms < line.at_ms - OWN_OUTCOME_MS
        and ("doubts" in other.text or "trusts" in other.text)
    ]
    if not before:
        return "it was trusted until then"
    last = before[-1]
    age_ms = round(line.at_ms - last.at_ms)
    word = "in doubt" if "doubts" in last.text else "trusted"
    return f"it had been {word} for {age_ms} ms, by {last.fields.get('cause')}"
