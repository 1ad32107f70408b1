"""Reads typed values from JSON with comments; errors name file, line and key."""

from typing import Annotated, Any

from pydantic import ConfigDict, Field, TypeAdapter, ValidationError

from cardamomrun_base.errors import CardamomrunError
from cardamomrun_base.jsonc import JsonWithComments, JsonWithCommentsError, parse

__all__ = ["STRICT", "Name", "check_fields", "parse_named", "place_of"]

STRICT = ConfigDict(extra="forbid")

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")]


def parse_named(
    text: str, name: str, error_type: type[CardamomrunError]
) -> JsonWithComments:
    """Parse the text of the file `name`, or raise `error_type` with the line."""
    try:
        return parse(text)
    except JsonWithCommentsError as error:
        raise error_type(
            f"{place_of(name, error.line)}: {error}.",
            remedy="correct the JSON at this place",
        ) from error


def check_fields(
    adapter: TypeAdapter,
    parsed: JsonWithComments,
    name: str,
    error_type: type[CardamomrunError],
) -> Any:
    """Return the typed form of a parsed text, or raise `error_type` with line and key."""
    try:
        return adapter.validate_python(parsed.value)
    except ValidationError as error:
        fault = error.errors(include_url=False)[0]
        path = tuple(fault["loc"])
        key = ".".join(str(part) for part in path) or "(whole file)"
        place = place_of(name, parsed.line_of(path))
        raise error_type(
            f"{place}: key {key}: {fault['msg']}.", remedy=_remedy(fault)
        ) from error


def place_of(name: str, line: int | None) -> str:
    """Return file and line for a message; the line may be unknown."""
    return name if line is None else f"{name}, line {line}"


def _remedy(fault: Any) -> str:
    if fault["type"] in ("unexpected_keyword_argument", "extra_forbidden"):
        return "remove the key or correct its spelling; docs/interfaces.md lists all"
    if fault["type"] in ("missing", "missing_argument"):
        return "add the key; docs/interfaces.md gives its meaning"
    return "give a value of the type and range in docs/interfaces.md"
