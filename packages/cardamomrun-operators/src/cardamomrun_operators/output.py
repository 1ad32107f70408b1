"""Output of commands: aligned text for people, JSON for programs."""

import json
from collections.abc import Mapping
from datetime import UTC, datetime
from typing import Any

from cardamomrun_operators.log_story import Story

__all__ = [
    "render",
    "render_audit",
    "render_control",
    "render_history",
    "render_status",
    "render_story",
]

# Enough of a digest to tell versions apart; --json has all of it.
DIGEST_LENGTH = 12


def render(value: Any, as_json: bool) -> str:
    """Return the text to print.

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
    return "\n".join(_lines(value))


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
            f"  version {item['version']}  {_time(item['at_ms'])}  {item['action']} "
            f"by {item['operator']}  digest {item['digest'][:DIGEST_LENGTH]}"
        )
    return "\n".join(lines)


def render_audit(answer: Mapping[str, Any]) -> str:
    """Return the audit trail for people; --json has the hashes."""
    lines = [
        f"{entry['number']:>6}  {_time(entry['at_ms'])}  {entry['operator'] or '-'}  "
        f"{entry['action']}  {entry['environment']}  "
        f"{entry['from_version']} -> {entry['to_version']}  {entry['outcome']}"
        for entry in answer["entries"]
    ]
    return "\n".join([*lines, f"chain: {answer['chain']}"])


def render_control(view: Mapping[str, Any]) -> str:
    """Return the view of a control instance for people."""
    leads = view["holds_lease"]
    leader = view["leader_id"] if leads else "none that was asked"
    lines = [
        f"leader: {leader} (term {view['term']})",
        f"log: entry {view['commit_index']} of {view['last_index']} is committed",
    ]
    if leads:
        answer = "yes" if view["may_lose_one"] else "no"
        lines.append(f"one instance may be taken away now: {answer}")
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
        return "has another data folder than the one that votes"
    heard = voter["heard_ms_ago"]
    when = "never heard" if heard is None else f"heard {heard:.0f} ms ago"
    kind = "learner, " if voter["is_learner"] else ""
    return f"{kind}{'up to date' if voter['caught_up'] else 'behind'}, {when}"


def _time(wall_ms: int) -> str:
    """Return a time in UTC.

    >>> _time(1796350531343)
    '2026-12-04T02:15:31Z'
    """
    return datetime.fromtimestamp(wall_ms // 1_000, UTC).strftime("%Y-%m-%dT%H:%M:%SZ")


def _lines(value: Any) -> list[str]:
    if isinstance(value, Mapping):
        return [line for key, item in value.items() for line in _entry(key, item)]
    if isinstance(value, list):
        return [f"- {', '.join(_lines(item))}" for item in value]
    return [str(value)]


def _entry(key: str, item: Any) -> list[str]:
    if isinstance(item, (Mapping, list)) and item:
        return [f"{key}:", *(f"  {line}" for line in _lines(item))]
    if isinstance(item, (Mapping, list)):
        return [f"{key}: none"]
    return [f"{key}: {item}"]


def render_story(story: Story) -> str:
    """Return a story for people: a line each with its time since the first one.

    >>> print(render_story(Story("order-7", (), "no line names it")))
    order-7
    cause: no line names it
    """
    lines = [story.identifier]
    for line in story.lines:
        since_ms = line.at_ms - story.lines[0].at_ms
        fields = " ".join(f"{name}={value}" for name, value in line.fields.items())
        lines.append(
            f"{since_ms:9.0f} ms  {line.instance_id:<12} {line.text}  {fields}"
        )
    return "\n".join([*lines, f"cause: {story.cause}"])
