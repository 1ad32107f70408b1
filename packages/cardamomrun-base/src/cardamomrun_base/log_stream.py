"""A bounded stream of log lines that never blocks its process."""

import asyncio
import json
import os
from collections import deque

from cardamomrun_base.clock import MS_PER_S, Clock, SystemClock

__all__ = ["LogStream"]

# 100 requests a second write about 400 lines a second; bursts have some seconds of it.
LINES_PER_S = 600
BURST_LINES = 3_000
# What a reader that stops reading may leave here before lines are dropped.
PENDING_BYTES = 524_288


class LogStream:
    """Writes lines to a descriptor; drops and counts what exceeds its bounds.

    A reader that stops reading stops nothing: what the descriptor does not take waits
    here, up to `PENDING_BYTES`. The next line after a gap says how many are missing.
    """

    def __init__(
        self,
        descriptor: int,
        clock: Clock | None = None,
        *,
        lines_per_s: int = LINES_PER_S,
        burst_lines: int = BURST_LINES,
        pending_bytes: int = PENDING_BYTES,
    ) -> None:
        self.dropped_count = 0
        self._descriptor = descriptor
        self._clock = clock or SystemClock()
        self._lines_per_s = lines_per_s
        self._burst_lines = burst_lines
        self._limit_bytes = pending_bytes
        self._allowed = float(burst_lines)
        self._refilled_ms = self._clock.now_ms()
        self._pending: deque[bytes] = deque()
        self._pending_bytes = 0
        self._unreported_count = 0
        self._is_waiting = False
        os.set_blocking(descriptor, False)

    def write(self, line: bytes) -> None:
        """Write one line, without its line break, or drop it."""
        if not self._may_write(line):
            self.dropped_count += 1
            self._unreported_count += 1
            return
        if self._unreported_count:
            self._append(_gap(self._unreported_count))
            self._unreported_count = 0
        self._append(line)
        if not self._is_waiting:
            self._flush()

    def _may_write(self, line: bytes) -> bool:
        now_ms = self._clock.now_ms()
        gained = (now_ms - self._refilled_ms) / MS_PER_S * self._lines_per_s
        self._allowed = min(self._burst_lines, self._allowed + gained)
        self._refilled_ms = now_ms
        if self._allowed < 1 or self._pending_bytes + len(line) > self._limit_bytes:
            return False
        self._allowed -= 1
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
                self._wait()
                return
            except OSError:
                # The reader is gone for good; there is nowhere left to say so.
                self._pending.clear()
                self._pending_bytes = 0
                return
            self._pending_bytes -= written
            if written == len(line):
                self._pending.popleft()
            else:
                self._pending[0] = line[written:]

    def _wait(self) -> None:
        """Go on once the descriptor takes more; without a loop, at the next line."""
        try:
            loop = asyncio.get_running_loop()
            loop.add_writer(self._descriptor, self._resume, loop)
        except (RuntimeError, PermissionError):
            return
        self._is_waiting = True

    def _resume(self, loop: asyncio.AbstractEventLoop) -> None:
        loop.remove_writer(self._descriptor)
        self._is_waiting = False
        self._flush()


def _gap(count: int) -> bytes:
    text = f"logs: {count} lines were dropped, over the bound or not read in time"
    return json.dumps({"level": "warning", "text": text, "dropped": count}).encode()
