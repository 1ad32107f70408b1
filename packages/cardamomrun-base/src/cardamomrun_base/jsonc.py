"""Parses JSON with comments; keeps the line of each key and rejects duplicate keys.

The parser is imported on first use: its import takes longer than that of all other
modules of a node together, and not every node reads such a file.
"""

import importlib
from dataclasses import dataclass
from typing import Any

__all__ = ["JsonWithComments", "JsonWithCommentsError", "parse"]

Path = tuple[str | int, ...]


class JsonWithCommentsError(ValueError):
    """The text is not JSON with comments, or an object repeats a key."""

    def __init__(self, message: str, line: int | None = None) -> None:
        super().__init__(message)
        self.line = line


@dataclass(frozen=True)
class JsonWithComments:
    """A parsed text: its value, and the line on which each path begins."""

    value: Any
    lines: dict[Path, int]

    def line_of(self, path: Path) -> int:
        """Return the line of `path`, or of its nearest parent that is in the text."""
        while path and path not in self.lines:
            path = path[:-1]
        return self.lines.get(path, 1)


def parse(text: str) -> JsonWithComments:
    """Parse JSON with comments.

    Raises `JsonWithCommentsError`, with the line if it is known.

    >>> parse('{"a": 1} // comment').value
    {'a': 1}
    >>> parse('{"a": 1, "a": 2}')
    Traceback (most recent call last):
    cardamomrun_base.jsonc.JsonWithCommentsError: key 'a' is given twice
    """
    loader = importlib.import_module("json5.loader")
    utils = importlib.import_module("json5.utils")
    try:
        document = loader.loads(text, loader=loader.ModelLoader())
    except utils.JSON5DecodeError as error:
        raise JsonWithCommentsError(str(error)) from error
    lines: dict[Path, int] = {}
    return JsonWithComments(_to_python(document.value, (), lines), lines)


def _to_python(node: Any, path: Path, lines: dict[Path, int]) -> Any:
    """Return the value of a syntax node, and add the lines of its paths to `lines`."""
    model = importlib.import_module("json5.model")
    if node.lineno is not None:
        lines.setdefault(path, node.lineno)
    if isinstance(node, model.JSONObject):
        return _to_dict(node, path, lines)
    if isinstance(node, model.JSONArray):
        return [
            _to_python(item, (*path, i), lines) for i, item in enumerate(node.values)
        ]
    if isinstance(node, model.NullLiteral):
        return None
    if isinstance(node, model.UnaryOp):
        operand = _to_python(node.value, path, lines)
        return -operand if node.op == "-" else operand
    if isinstance(node, model.String):
        return node.characters
    if isinstance(node, model.Identifier):
        return node.name
    return node.value


def _to_dict(node: Any, path: Path, lines: dict[Path, int]) -> dict[str, Any]:
    members: dict[str, Any] = {}
    for pair in node.key_value_pairs:
        key = _to_python(pair.key, (), {})
        if key in members:
            raise JsonWithCommentsError(f"key {key!r} is given twice", pair.key.lineno)
        lines[(*path, key)] = pair.key.lineno
        members[key] = _to_python(pair.value, (*path, key), lines)
    return members
