"""Formats the output of commands: text for people, JSON for programs."""

import json
from collections.abc import Mapping
from datetime import UTC, datetime
from typing import Any

from cardamomrun_operators.log_story import Timeline

__all__ = [
    "render",
    "render_audit",
    "render_control",
    "render_history",
    "render_status",
    "render_timeline",
]

# Enough of a digest to tell versions apart; --json has all of it.
DIGEST_LENGTH = 12


def render(value: Any, as_json: bool) -> str:
    """Return a value as text to print, or as JSON.

    >>> render({"version": 3}, as_json=True)
    '{"version": 3}'
    >>> print(render({"version": 3, "items": [{"a": 1}, {"a": 2}]}, as_json=False))
    version: 3
    items:
      - a: 1
      - a: 2
    """
    if as_json:
        return json.dumps(value, sort_keys=True)
    return "\n".join(_format_value(value))


def render_status(answer: Mapping[str, Any]) -> str:
    """Return the answer of `GET /v1/in-force` for people.

    >>> environment = {"environment": "rota-desk/trial", "version": 3}
    >>> environment |= {"in_force_count": 1, "behind": {"entry-2": "runs version 2"}}
    >>> print(render_status({"instance_count": 2, "environments": [environment]}))
    rota-desk/trial: version 3 is in force on 1 of 2 entry instances
      entry-2 is behind: runs version 2
    """
    count = answer["instance_count"]
    lines = []
    for item in sorted(answer["environments"], key=lambda one: one["environment"]):
        in_force = f"{item['in_force_count']} of {count} entry instances"
        lines.append(
            f"{item['environment']}: version {item['version']} is in force on {in_force}"
        )
        behind = sorted(item["behind"].items())
        lines += [f"  {name} is behind: {reason}" for name, reason in behind]
    if not lines:
        lines.append(f"no document is in force; the fleet has {count} entry instances")
    return "\n".join(lines)


def render_history(answer: Mapping[str, Any]) -> str:
    """Return the answer of `GET .../history` for people, the newest version first."""
    lines = [f"{answer['environment']}:"]
    for item in reversed(answer["versions"]):
        lines.append(
            f"  version {item['version']}  {_format_time(item['at_ms'])}  {item['action']} "
            f"by {item['operator']}  digest {item['digest'][:DIGEST_LENGTH]}"
        )
    return "\n".join(lines)


def render_audit(answer: Mapping[str, Any]) -> str:
    """Return the audit trail for people; --json has the hashes."""
    lines = [
        f"{entry['number']:>6}  {_format_time(entry['at_ms'])}  {entry['operator'] or '-'}  "
        f"{entry['action']}  {entry['environment']}  "
        f"{entry['from_version']} -> {entry['to_version']}  {entry['outcome']}"
        for entry in answer["entries"]
    ]
    return "\n".join([*lines, f"chain: {answer['chain']}"])


def render_control(view: Mapping[str, Any]) -> str:
    """Return the answer of `GET /v1/control` for people."""
    leads = view["holds_lease"]
    leader = view["leader_id"] if leads else "none of those that answered"
    lines = [
        f"leader: {leader} (term {view['term']})",
        f"log: entry {view['commit_index']} of {view['last_index']} is committed",
    ]
    if leads:
        answer = "yes" if view["may_lose_one"] else "no"
        lines.append(f"one instance may be removed now: {answer}")
    for voter in view["voters"]:
        state = _voter_state(voter, view["leader_id"]) if leads else ""
        lines.append(
            f"  {voter['instance_id']}  {voter['peer_address']}  {state}".rstrip()
        )
    if view["failure"]:
        lines.append(f"failure: {view['failure']}")
    for address, fault in view["unreachable"].items():
        lines.append(f"{address}: {fault}")
    return "\n".join(lines)


def _voter_state(voter: Mapping[str, Any], leader_id: str) -> str:
    if voter["instance_id"] == leader_id:
        return "leads"
    if voter["replaced"]:
        return "has another data folder than the voter had"
    heard = voter["heard_ms_ago"]
    when = (
        "never heard from" if heard is None else f"last heard from {heard:.0f} ms ago"
    )
    kind = "learner, " if voter["is_learner"] else ""
    return f"{kind}{'up to date' if voter['caught_up'] else 'behind'}, {when}"


def _format_time(wall_ms: int) -> str:
    """Return a time in UTC, given in ms since the Unix epoch.

    >>> _format_time(1796350531343)
    '2026-12-04T02:15:31Z'
    """
    return datetime.fromtimestamp(wall_ms // 1_000, UTC).strftime("%Y-%m-%dT%H:%M:%SZ")


def _format_value(value: Any) -> list[str]:
    if isinstance(value, Mapping):
        return [line for key, item in value.items() for line in _format_item(key, item)]
    if isinstance(value, list):
        return [f"- {', '.join(_format_value(item))}" for item in value]
    return [str(value)]


def _format_item(key: str, item: Any) -> list[str]:
    if isinstance(item, (Mapping, list)) and item:
        return [f"{key}:", *(f"  {line}" for line in _format_value(item))]
    if isinstance(item, (Mapping, list)):
        return [f"{key}: none"]
    return [f"{key}: {item}"]


def render_timeline(timeline: Timeline) -> str:
    """Return a timeline for people: each line with its time since the first one.

    >>> print(render_timeline(Timeline("order-7", (), "no line names it")))
    order-7
    cause: no line names it
    """
    lines = [timeline.identifier]
    for line in timeline.lines:
        since_ms = line.at_ms - timeline.lines[0].at_ms
        fields = " ".join(f"{name}={value}" for name, value in line.fields.items())
        lines.append(
            f"{since_ms:9.0f} ms  {line.instance_id:<12} {line.text}  {fields}"
        )
    return "\n".join([*lines, f"cause: {timeline.cause}"])
