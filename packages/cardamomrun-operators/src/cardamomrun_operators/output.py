"""Output of commands: aligned text for people, JSON for programs."""

import json
from collections.abc import Mapping
from typing import Any

__all__ = ["render"]


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
