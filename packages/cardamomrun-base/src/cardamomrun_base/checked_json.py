"""Reads typed values from JSON with comments; errors name file, line and key."""

from typing import Annotated, Any

from pydantic import ConfigDict, Field, TypeAdapter, ValidationError

from cardamomrun_base.errors import CardamomrunError
from cardamomrun_base.jsonc import JsonWithComments, JsonWithCommentsError, parse

__all__ = ["STRICT", "Identifier", "check_fields", "format_location", "parse_file_text"]

STRICT = ConfigDict(extra="forbid")

Identifier = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")]


def parse_file_text(
    text: str, name: str, error_type: type[CardamomrunError]
) -> JsonWithComments:
    """Parse the text of the file `name`, or raise `error_type` with file and line."""
    try:
        return parse(text)
    except JsonWithCommentsError as error:
        raise error_type(
            f"{format_location(name, error.line)}: {error}.",
            remedy="correct the JSON at this place",
        ) from error


def check_fields(
    adapter: TypeAdapter,
    parsed: JsonWithComments,
    name: str,
    error_type: type[CardamomrunError],
) -> Any:
    """Return the typed value of a text, or raise `error_type` with line and key."""
    try:
        return adapter.validate_python(parsed.value)
    except ValidationError as error:
        detail = error.errors(include_url=False)[0]
        path = tuple(detail["loc"])
        key = ".".join(str(part) for part in path) or "(whole file)"
        location = format_location(name, parsed.line_of(path))
        raise error_type(
            f"{location}: key {key}: {detail['msg']}.", remedy=_remedy(detail)
        ) from error


def format_location(name: str, line: int | None) -> str:
    """Return file and line for an error message; an unknown line is None."""
    return name if line is None else f"{name}, line {line}"


def _remedy(detail: Any) -> str:
    if detail["type"] in ("unexpected_keyword_argument", "extra_forbidden"):
        return "remove the key or correct its spelling; docs/interfaces.md lists all"
    if detail["type"] in ("missing", "missing_argument"):
        return "add the key; docs/interfaces.md gives its meaning"
    return "give a value of the type and range in docs/interfaces.md"
