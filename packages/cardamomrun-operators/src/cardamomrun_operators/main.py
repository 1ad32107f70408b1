"""Entry point of the operators' command line."""

import ast
import contextlib
import inspect
import io
import json
import sys

import fire
from fire.core import FireExit

from cardamomrun_base.errors import CardamomrunError, UsageError
from cardamomrun_operators.commands import Commands

__all__ = ["main"]

JSON_FLAG = "--json"
HELP_WORDS = ("--help", "-h", "help")


def main() -> None:
    """Run one command; on a typed error print it with its remedy and exit."""
    arguments = sys.argv[1:]
    as_json = JSON_FLAG in arguments
    arguments = [
        _quote_text(argument) for argument in arguments if argument != JSON_FLAG
    ]
    if not arguments or arguments[0] in HELP_WORDS:
        print(_usage_overview())
        return
    try:
        _run_command(arguments, as_json)
    except CardamomrunError as error:
        _print_error(error, as_json)
        raise SystemExit(error.exit_code) from error


def _run_command(arguments: list[str], as_json: bool) -> None:
    if not as_json:
        fire.Fire(Commands, command=arguments, name="cardamomrun")
        return
    # fire would read the argument after a bare --json as its value.
    arguments = [*arguments, f"{JSON_FLAG}=True"]
    text = io.StringIO()
    try:
        with contextlib.redirect_stderr(text):
            fire.Fire(Commands, command=arguments, name="cardamomrun")
    except FireExit as error:
        if error.code:
            raise _usage_error(text.getvalue()) from error
        print(text.getvalue(), file=sys.stderr)
        raise


def _quote_text(argument: str) -> str:
    """Return the argument, quoted so that fire keeps it as text, unless it is a number.

    fire reads arguments as Python literals, so a digest like 12e5 would become a number.

    >>> _quote_text("--digest=12e5"), _quote_text("12e5"), _quote_text("--expect=3")
    ("--digest='12e5'", "'12e5'", '--expect=3')
    """
    flag, separator, value = argument.rpartition("=")
    try:
        is_text = str(ast.literal_eval(value)) == value
    except (ValueError, SyntaxError):
        is_text = True
    return argument if is_text else f"{flag}{separator}{value!r}"


def _usage_error(text: str) -> UsageError:
    """Return the error for arguments that fire refused with `text`."""
    first = next((line for line in text.splitlines() if line.strip()), "")
    return UsageError(
        first.removeprefix("ERROR: ") or "the arguments are wrong.",
        remedy="see cardamomrun COMMAND --help",
    )


def _usage_overview() -> str:
    """Return the description of the command line with one line for each command."""
    lines = ["usage: cardamomrun [--settings FILE] COMMAND [ARGUMENTS] [--json]", ""]
    lines += [inspect.getdoc(Commands) or "", "", "Commands:"]
    for name, function in inspect.getmembers(Commands, inspect.isfunction):
        if not name.startswith("_"):
            summary = (inspect.getdoc(function) or "").splitlines()[0]
            lines.append(f"  {name:<10} {summary}")
    return "\n".join([*lines, "", "cardamomrun COMMAND --help shows an example."])


def _print_error(error: CardamomrunError, as_json: bool) -> None:
    if as_json:
        body = {"error": error.kind, "message": error.message, "remedy": error.remedy}
        print(json.dumps(body), file=sys.stderr)
        return
    print(f"cardamomrun: {error}", file=sys.stderr)


if __name__ == "__main__":
    main()
