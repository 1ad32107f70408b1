"""A bounded stream of log lines that never blocks its process."""

import asyncio
import json
import os
from collections import deque

from cardamomrun_base.clock import MS_PER_S, Clock, SystemClock

__all__ = ["LogStream"]

# 100 requests a second write about 400 lines a second; a burst holds some seconds of
# that.
LINES_PER_S = 600
BURST_LINES = 3_000
# Unwritten bytes that are buffered before lines are dropped.
MAX_PENDING_BYTES = 524_288


class LogStream:
    """Writes lines to a descriptor; drops and counts those that exceed its limits.

    A token bucket limits the rate. A stalled reader doesn't block the process: up to
    `max_pending_bytes` are buffered. The line after a gap tells how many were dropped.
    """

    def __init__(
        self,
        descriptor: int,
        clock: Clock | None = None,
        *,
        lines_per_s: int = LINES_PER_S,
        burst_lines: int = BURST_LINES,
        max_pending_bytes: int = MAX_PENDING_BYTES,
    ) -> None:
        self.dropped_count = 0
        self._descriptor = descriptor
        self._clock = clock or SystemClock()
        self._lines_per_s = lines_per_s
        self._burst_lines = burst_lines
        self._max_pending_bytes = max_pending_bytes
        self._tokens = float(burst_lines)
        self._refilled_ms = self._clock.now_ms()
        self._pending: deque[bytes] = deque()
        self._pending_bytes = 0
        self._unreported_drop_count = 0
        self._awaits_writable = False
        os.set_blocking(descriptor, False)

    def write(self, line: bytes) -> None:
        """Write one line, without its line break, or drop it."""
        if not self._admit_line(line):
            self.dropped_count += 1
            self._unreported_drop_count += 1
            return
        if self._unreported_drop_count:
            self._append(_dropped_lines_entry(self._unreported_drop_count))
            self._unreported_drop_count = 0
        self._append(line)
        if not self._awaits_writable:
            self._flush()

    def _admit_line(self, line: bytes) -> bool:
        """Take a token for the line; return False if a limit is exceeded."""
        now_ms = self._clock.now_ms()
        refill = (now_ms - self._refilled_ms) / MS_PER_S * self._lines_per_s
        self._tokens = min(self._burst_lines, self._tokens + refill)
        self._refilled_ms = now_ms
        if (
            self._tokens < 1
            or self._pending_bytes + len(line) > self._max_pending_bytes
        ):
            return False
        self._tokens -= 1
        return True

    def _append(self, line: bytes) -> None:
        self._pending.append(line + b"\n")
        self._pending_bytes += len(line) + 1

    def _flush(self) -> None:
        while self._pending:
            line = self._pending[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                self._flush_when_writable()
                return
            except OSError:
                # The reader has closed its end, so the error can't be logged either.
                self._pending.clear()
                self._pending_bytes = 0
                return
            self._pending_bytes -= written
            if written == len(line):
                self._pending.popleft()
            else:
                self._pending[0] = line[written:]

    def _flush_when_writable(self) -> None:
        """Flush once the descriptor is writable; without a loop, at the next line."""
        try:
            loop = asyncio.get_running_loop()
            loop.add_writer(self._descriptor, self._on_writable, loop)
        except (RuntimeError, PermissionError):
            return
        self._awaits_writable = True

    def _on_writable(self, loop: asyncio.AbstractEventLoop) -> None:
        loop.remove_writer(self._descriptor)
        self._awaits_writable = False
        self._flush()


def _dropped_lines_entry(count: int) -> bytes:
    text = f"logs: {count} lines were dropped, over the limit or not read in time"
    return json.dumps({"level": "warning", "text": text, "dropped": count}).encode()
