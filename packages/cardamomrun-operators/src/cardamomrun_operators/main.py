"""Entry point of the operators' command line."""

import json
import sys

import fire

from cardamomrun_base.errors import CardamomrunError
from cardamomrun_operators.commands import Commands

__all__ = ["main"]


def main() -> None:
    """Run one command; on a typed error print it with its remedy and exit."""
    try:
        fire.Fire(Commands, name="cardamomrun")
    except CardamomrunError as error:
        _report(error)
        raise SystemExit(error.exit_code) from error


def _report(error: CardamomrunError) -> None:
    if "--json" in sys.argv:
        body = {"error": error.kind, "message": error.message, "remedy": error.remedy}
        print(json.dumps(body), file=sys.stderr)
        return
    print(f"cardamomrun: {error}", file=sys.stderr)


if __name__ == "__main__":
    main()
