"""A node process that prints its byte counts for each line on stdin."""

import asyncio
import json
import sys
import time
from pathlib import Path

from cardamomrun_base.clock import SystemClock
from cardamomrun_base.logs import start_logs
from cardamomrun_base.settings import load_settings
from cardamomrun_bench.capacity_meters import wire
from cardamomrun_node.node import Node

__all__ = ["main"]

MAX_LIFETIME_S = 300


def _print_counts() -> None:
    if not sys.stdin.readline():
        raise SystemExit(0)
    counts = {
        "at_s": time.monotonic(),
        "sent": wire.sent_bytes,
        "received": wire.received_bytes,
    }
    print(json.dumps(counts), flush=True)


async def _run(path: Path) -> None:
    settings = load_settings(path)
    start_logs(settings.instance_id)
    node = Node(settings, SystemClock())
    await node.start()
    asyncio.get_running_loop().add_reader(sys.stdin.fileno(), _print_counts)
    print("ready", flush=True)
    # Exits even if the measuring process was killed.
    await asyncio.sleep(MAX_LIFETIME_S)


def main() -> None:
    """Run the node of a settings file."""
    wire.install()
    asyncio.run(_run(Path(sys.argv[1])))


if __name__ == "__main__":
    main()
