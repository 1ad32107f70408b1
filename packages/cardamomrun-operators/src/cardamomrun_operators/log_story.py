"""The story of one request or backend server, from the logs of several processes."""

import json
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from cardamomrun_base.clock import MS_PER_S

__all__ = ["LogLine", "Story", "read_lines", "story_of"]

# What happened to a server this long before and after a request may explain it.
AROUND_MS = 3_000.0
# The end of an attempt may change the judgement of its server within this time.
OWN_EFFECT_MS = 20.0
# Fields that name the process or repeat the text.
PLAIN_FIELDS = frozenset(("text", "timestamp", "message_type", "instance_id", "level"))


@dataclass(frozen=True)
class LogLine:
    """One line of a log; `at_ms` is wall time, in ms since the Unix epoch."""

    at_ms: float
    instance_id: str
    text: str
    fields: dict[str, Any]

    def names(self, identifier: str) -> bool:
        """Return True if a field of the line holds the identifier."""
        return identifier in self.fields.values()


@dataclass(frozen=True)
class Story:
    """Lines in the order of time, and the cause that they show."""

    identifier: str
    lines: tuple[LogLine, ...]
    cause: str


def read_lines(texts: Iterable[str]) -> list[LogLine]:
    """Return the lines that hold a JSON object, whatever stands before it."""
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
            found.append(_line(fields))
    return found


def story_of(identifier: str, lines: list[LogLine]) -> Story:
    """Return what the logs say of a request id or a server id.

    A request's story includes what became known of its servers around that time.
    """
    own = [line for line in lines if line.names(identifier)]
    if not own:
        return Story(identifier, (), "no line names it")
    servers = {line.fields["server_id"] for line in own if "server_id" in line.fields}
    servers.discard(identifier)
    first_ms = min(line.at_ms for line in own) - AROUND_MS
    last_ms = max(line.at_ms for line in own) + AROUND_MS
    around = [
        line
        for line in lines
        if first_ms <= line.at_ms <= last_ms
        and line.fields.get("server_id") in servers
        and "request_id" not in line.fields
    ]
    ordered = sorted([*own, *_without_repeats(around)], key=lambda line: line.at_ms)
    return Story(identifier, tuple(ordered), _cause(own, ordered))


def _line(fields: dict[str, Any]) -> LogLine:
    shown = {k: v for k, v in fields.items() if k not in PLAIN_FIELDS}
    return LogLine(
        float(fields["timestamp"]) * MS_PER_S,
        str(fields.get("instance_id", "")),
        str(fields.get("text", "")),
        shown,
    )


def _without_repeats(lines: list[LogLine]) -> list[LogLine]:
    """Keep the first instance's line of what all instances log alike."""
    kept: dict[tuple[Any, ...], LogLine] = {}
    for line in sorted(lines, key=lambda line: line.at_ms):
        second = int(line.at_ms // MS_PER_S)
        kept.setdefault((line.text, line.fields.get("server_id"), second), line)
    return list(kept.values())


def _cause(own: list[LogLine], ordered: list[LogLine]) -> str:
    """Name the cause by the last decision that the lines show."""
    for line in reversed(own):
        if "no backend server has room" in line.text:
            return _refusal(line)
    broken = [line for line in own if "ends with reset" in line.text]
    failed = any("answers with 502" in line.text for line in own)
    if broken and failed:
        return _broken_off(broken[-1], ordered)
    overdue = [line for line in own if "overdue" in line.text]
    if overdue:
        return _overdue(overdue[0], ordered)
    if broken:
        return f"server {broken[-1].fields['server_id']} broke off; sent to another one"
    return f"the last line says: {own[-1].text}"


def _refusal(line: LogLine) -> str:
    fields = line.fields
    return (
        f"refused after {fields.get('held_ms')} ms: {fields.get('in_work')} requests in "
        f"work at {fields.get('servers')} servers of {fields.get('service')}, "
        f"{fields.get('doubted')} of them in doubt"
    )


def _broken_off(line: LogLine, ordered: list[LogLine]) -> str:
    server_id = line.fields["server_id"]
    return (
        f"server {server_id} ended the connection without an answer, so it is not "
        f"known whether it ran the request; {_state(server_id, line, ordered)}"
    )


def _overdue(line: LogLine, ordered: list[LogLine]) -> str:
    server_id = line.fields["server_id"]
    return (
        f"server {server_id} took longer than {line.fields.get('usual_ms')} ms; "
        f"{_state(server_id, line, ordered)}"
    )


def _state(server_id: str, line: LogLine, ordered: list[LogLine]) -> str:
    before = [
        other
        for other in ordered
        if other.fields.get("server_id") == server_id
        and other.at_ms < line.at_ms - OWN_EFFECT_MS
        and ("doubts" in other.text or "trusts" in other.text)
    ]
    if not before:
        return "it was trusted until then"
    last = before[-1]
    age_ms = round(line.at_ms - last.at_ms)
    word = "in doubt" if "doubts" in last.text else "trusted"
    return f"it had been {word} for {age_ms} ms, by {last.fields.get('cause')}"
