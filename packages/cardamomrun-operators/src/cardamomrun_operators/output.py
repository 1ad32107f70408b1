"""Output of commands: aligned text for people, JSON for programs."""

import json
from collections.abc import Mapping
from typing import Any

__all__ = ["render", "render_status"]


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
