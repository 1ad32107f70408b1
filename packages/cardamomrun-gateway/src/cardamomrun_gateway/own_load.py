"""What this instance has in work, and how its last attempts ended."""

import itertools
from collections import deque
from dataclasses import dataclass

from cardamomrun_base.clock import Clock
from cardamomrun_base.model import InstanceId
from cardamomrun_gateway.load_model import (
    AttemptInWork,
    EndedAttempt,
    InstanceLoad,
    OwnState,
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
# Reports whose content is remembered until relays name them; a busy instance sends a
# few hundred in the time in which a message comes or is lost.
KEPT_REPORT_COUNT = 512
SEQUENCE_MASK = 0xFFFF


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
        self._told_counts: dict[int, tuple[int, int]] = {}
        self._reported: dict[int, OwnState] = {}

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
        sequence = next(self._sequences)
        if sequence & SEQUENCE_MASK == 0:
            # Relays send 0 for an instance that they have dropped.
            sequence = next(self._sequences)
        while self._ended and _is_told(self._ended[0], now_ms):
            self._ended.popleft()
        for ended in self._ended:
            ended.told_count += 1
        counts = self._counts_due(now_ms)
        self._remember(sequence)
        return InstanceLoad(
            self._instance_id,
            self.incarnation,
            sequence,
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
            counts,
        )

    def reported(self, sequence: int) -> OwnState | None:
        """Return what a report contained, by the lower 16 bits of its sequence."""
        return self._reported.get(sequence)

    def _remember(self, sequence: int) -> None:
        in_work: dict[int, int] = {}
        for key, _ in self._in_work.values():
            in_work[key] = in_work.get(key, 0) + 1
        place = sequence & SEQUENCE_MASK
        self._reported.pop(place, None)
        self._reported[place] = OwnState(in_work, self._told_counts)
        if len(self._reported) > KEPT_REPORT_COUNT:
            del self._reported[next(iter(self._reported))]

    def _counts_due(self, now_ms: float) -> tuple[ServiceCount, ...]:
        if now_ms - self._counts_told_ms < COUNTS_MS:
            return ()
        self._counts_told_ms = now_ms
        self._told_counts = dict(self._counts)
        return tuple(ServiceCount(key, *counts) for key, counts in self._counts.items())

    def _tell(self, server_key: int, end: AttemptEnd, started_ms: float) -> None:
        now_ms = self._clock.now_ms()
        sequence = next(self._end_sequences)
        self._ended.append(
            _Ended(sequence, server_key, end, now_ms - started_ms, now_ms)
        )


def _is_told(ended: _Ended, now_ms: float) -> bool:
    return ended.told_count >= TOLD_COUNT and now_ms - ended.ended_ms > TOLD_MS
