"""Entry point of the node binary."""

import asyncio
import signal
import sys
from json import dumps
from pathlib import Path

import fire

from cardamomrun_base import event_loop
from cardamomrun_base.clock import SystemClock
from cardamomrun_base.errors import CardamomrunError
from cardamomrun_base.logs import ComponentLog, start_logs
from cardamomrun_base.settings import NodeSettings, load_settings
from cardamomrun_node.metrics import register_metrics
from cardamomrun_node.node import Node

__all__ = ["main"]

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)

_log = ComponentLog("node")


class Commands:
    """Run one node of a cardamomrun fleet."""

    def run(self, settings: str) -> None:
        """Run the node until SIGTERM; a second SIGTERM ends it at once.

        Example: cardamomrun-node run --settings demo/entry-1.jsonc
        """
        loaded = load_settings(Path(settings))
        start_logs(loaded.instance_id)
        event_loop.run(_run_node(loaded))

    def check(self, settings: str, json: bool = False) -> None:
        """Check a settings file without starting anything.

        Files that the settings name are not read. --json gives machine-readable
        output, also of errors.

        Example: cardamomrun-node check --settings demo/entry-1.jsonc --json
        """
        loaded = load_settings(Path(settings))
        if json:
            print(dumps({"instance_id": loaded.instance_id, "roles": loaded.roles}))
        else:
            print(f"{settings}: settings of {loaded.instance_id} are valid")


async def _run_node(settings: NodeSettings) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in STOP_SIGNALS:
        loop.add_signal_handler(signal_number, stopping.set)
    node = Node(settings, SystemClock())
    register_metrics(node.fleet, node.environments, node.backends)
    await node.start()
    await stopping.wait()
    # The default action lets a second signal end the process at once.
    for signal_number in STOP_SIGNALS:
        loop.remove_signal_handler(signal_number)
        signal.signal(signal_number, signal.SIG_DFL)
    await node.stop()
    _log.info("has stopped")


def main() -> None:
    """Run one command; on a typed error print it with its remedy and exit."""
    try:
        fire.Fire(Commands, name="cardamomrun-node")
    except CardamomrunError as error:
        raise SystemExit(_print_error(error)) from error


def _print_error(error: CardamomrunError) -> int:
    """Print an error to standard error and return its exit code."""
    if "--json" in sys.argv:
        body = {"error": error.kind, "message": error.message, "remedy": error.remedy}
        print(dumps(body), file=sys.stderr)
    else:
        print(f"cardamomrun-node: {error}", file=sys.stderr)
    return error.exit_code


if __name__ == "__main__":
    main()
