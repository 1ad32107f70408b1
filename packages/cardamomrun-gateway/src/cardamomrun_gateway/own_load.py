"""What this instance has in work, and how its last attempts ended."""

import itertools
from collections import deque
from dataclasses import dataclass

from cardamomrun_base.clock import Clock
from cardamomrun_base.model import InstanceId
from cardamomrun_gateway.fleet_load import (
    AttemptInWork,
    EndedAttempt,
    InstanceLoad,
    ServiceCount,
)
from cardamomrun_gateway.server_health import AttemptEnd

__all__ = ["OwnLoad"]

# Each end is told in this many reports, so that lost datagrams lose none, and for this
# long, since a relay passes on only the last one of the reports that it collected.
TOLD_COUNT = 3
TOLD_MS = 400.0
# More ends than an instance has in that time.
TOLD_ENDS_MAX = 64
# The retry budget counts over seconds.
COUNTS_MS = 300.0


@dataclass
class _Ended:
    sequence: int
    server_key: int
    end: AttemptEnd
    duration_ms: float
    ended_ms: float
    told_count: int = 0


class OwnLoad:
    """Makes the reports of one run of an instance; each holds the whole state."""

    def __init__(self, clock: Clock, instance_id: InstanceId) -> None:
        self.incarnation = 0
        self._clock = clock
        self._instance_id = instance_id
        self._tokens = itertools.count(1)
        self._sequences = itertools.count(1)
        self._end_sequences = itertools.count(1)
        self._in_work: dict[int, tuple[int, float]] = {}
        self._ended: deque[_Ended] = deque(maxlen=TOLD_ENDS_MAX)
        self._counts: dict[int, tuple[int, int]] = {}
        self._counts_told_ms = float("-inf")

    def started(self, server_key: int) -> int:
        """Add an attempt in work; return the token to end it."""
        token = next(self._tokens)
        self._in_work[token] = (server_key, self._clock.now_ms())
        return token

    def ended(self, token: int, end: AttemptEnd) -> float:
        """End an attempt; return when it started."""
        server_key, started_ms = self._in_work.pop(token)
        self._tell(server_key, end, started_ms)
        return started_ms

    def overdue(self, token: int, *, is_told: bool) -> float:
        """Tell that an attempt is overdue, if so wanted; return when it started."""
        server_key, started_ms = self._in_work[token]
        if is_told:
            self._tell(server_key, AttemptEnd.OVERDUE, started_ms)
        return started_ms

    def count(self, service_key: int, requests: int, extras: int) -> None:
        """Count requests for a service and further attempts."""
        before = self._counts.get(service_key, (0, 0))
        self._counts[service_key] = (before[0] + requests, before[1] + extras)

    def report(self) -> InstanceLoad:
        """Return the next report."""
        now_ms = self._clock.now_ms()
        while self._ended and _is_told(self._ended[0], now_ms):
            self._ended.popleft()
        for ended in self._ended:
            ended.told_count += 1
        return InstanceLoad(
            self._instance_id,
            self.incarnation,
            next(self._sequences),
            tuple(
                AttemptInWork(key, now_ms - started_ms)
                for key, started_ms in self._in_work.values()
            ),
            tuple(
                EndedAttempt(
                    ended.sequence,
                    ended.server_key,
                    ended.end,
                    ended.duration_ms,
                    now_ms - ended.ended_ms,
                )
                for ended in self._ended
            ),
            self._counts_due(now_ms),
        )

    def _counts_due(self, now_ms: float) -> tuple[ServiceCount, ...]:
        if now_ms - self._counts_told_ms < COUNTS_MS:
            return ()
        self._counts_told_ms = now_ms
        return tuple(ServiceCount(key, *counts) for key, counts in self._counts.items())

    def _tell(self, server_key: int, end: AttemptEnd, started_ms: float) -> None:
        now_ms = self._clock.now_ms()
        sequence = next(self._end_sequences)
        self._ended.append(
            _Ended(sequence, server_key, end, now_ms - started_ms, now_ms)
        )


def _is_told(ended: _Ended, now_ms: float) -> bool:
    return ended.told_count >= TOLD_COUNT and now_ms - ended.ended_ms > TOLD_MS
