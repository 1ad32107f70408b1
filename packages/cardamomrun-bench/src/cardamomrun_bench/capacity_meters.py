"""Meters of a process: bytes on the wire, processor time and memory."""

import gc
import os
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from websockets.protocol import Protocol

__all__ = [
    "WireCounter",
    "cpu_ms",
    "held_bytes",
    "process_cpu_ms",
    "process_rss_bytes",
    "rss_bytes",
    "wire",
]

TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@dataclass
class WireCounter:
    """Bytes that all websocket connections of this process write and read.

    Counted between the websockets library and the socket: includes framing, masks,
    pings and opening handshakes, but no TCP and IP headers.
    """

    sent_bytes: int = 0
    received_bytes: int = 0
    write_count: int = 0
    is_installed: bool = False

    def install(self) -> None:
        """Start counting for all connections of this process."""
        if self.is_installed:
            return
        self.is_installed = True
        receive, send = Protocol.receive_data, Protocol.data_to_send

        def receive_data(protocol: Protocol, data: Any) -> None:
            self.received_bytes += len(data)
            receive(protocol, data)

        def data_to_send(protocol: Protocol) -> list[bytes]:
            writes = send(protocol)
            self.sent_bytes += sum(map(len, writes))
            self.write_count += sum(map(bool, writes))
            return writes

        Protocol.receive_data = receive_data  # type: ignore[method-assign,assignment]
        Protocol.data_to_send = data_to_send  # type: ignore[method-assign,assignment]


wire = WireCounter()


def cpu_ms() -> float:
    """Return the processor time of this process."""
    return time.process_time() * 1_000


def rss_bytes() -> int:
    """Return the resident memory of this process."""
    return process_rss_bytes(os.getpid())


def process_rss_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def process_cpu_ms(pid: int) -> float:
    """Return the user and system time of a process, in steps of 10 ms."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) * 1_000 / TICKS_PER_S


def held_bytes(build: Callable[[], Any]) -> int:
    """Return the memory that Python allocated for what `build` returns."""
    gc.collect()
    tracemalloc.start()
    try:
        built = build()
        gc.collect()
        size, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    del built
    return size
