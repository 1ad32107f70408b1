"""The attempts of this instance: those in flight, and how the last ones ended."""

import itertools
from collections import deque
from dataclasses import dataclass

from cardamomrun_base.clock import Clock
from cardamomrun_base.model import InstanceId
from cardamomrun_gateway.load_model import (
    EndedAttempt,
    InFlightAttempt,
    InstanceLoad,
    ReportedState,
    ServiceCount,
)
from cardamomrun_gateway.server_health import AttemptEnd

__all__ = ["OwnLoad"]

# Each end is sent in at least this many reports, so that a lost datagram does not lose
# it, and for this long, since a relay uses only the last of the reports it collected.
MIN_SEND_COUNT = 3
MIN_SEND_MS = 400.0
# More ends than an instance has in that time.
MAX_ENDS_COUNT = 64
# The window of the retry budget is seconds long, so counts need not be in each report.
COUNTS_INTERVAL_MS = 300.0
# Reports whose state is kept until a relay message refers to them; a busy instance
# sends a few hundred while a message arrives or is lost.
KEPT_REPORT_COUNT = 512
SEQUENCE_MASK = 0xFFFF


@dataclass
class _Ended:
    sequence: int
    server_key: int
    end: AttemptEnd
    duration_ms: float
    ended_ms: float
    sent_count: int = 0


class OwnLoad:
    """Builds the reports of one run of an instance; each holds the whole state."""

    def __init__(self, clock: Clock, instance_id: InstanceId) -> None:
        self.incarnation = 0
        self._clock = clock
        self._instance_id = instance_id
        self._tokens = itertools.count(1)
        self._sequences = itertools.count(1)
        self._end_sequences = itertools.count(1)
        self._in_flight: dict[int, tuple[int, float]] = {}
        self._ended: deque[_Ended] = deque(maxlen=MAX_ENDS_COUNT)
        self._counts: dict[int, tuple[int, int]] = {}
        self._counts_sent_ms = float("-inf")
        self._sent_counts: dict[int, tuple[int, int]] = {}
        self._base: dict[int, tuple[int, int]] = {}
        self._is_base_due = True
        self._reported: dict[int, ReportedState] = {}

    def attempt_started(self, server_key: int) -> int:
        """Add an attempt in flight; return the token that identifies it."""
        token = next(self._tokens)
        self._in_flight[token] = (server_key, self._clock.now_ms())
        return token

    def attempt_ended(self, token: int, end: AttemptEnd) -> float:
        """Remove an attempt and report its end; return when it started."""
        server_key, started_ms = self._in_flight.pop(token)
        self._add_end(server_key, end, started_ms)
        return started_ms

    def attempt_overdue(self, token: int, *, is_reported: bool) -> float:
        """Report an attempt as overdue if `is_reported`; return when it started."""
        server_key, started_ms = self._in_flight[token]
        if is_reported:
            self._add_end(server_key, AttemptEnd.OVERDUE, started_ms)
        return started_ms

    def count(self, service_key: int, requests: int, retries: int) -> None:
        """Count requests and retries of a service."""
        before = self._counts.get(service_key, (0, 0))
        self._counts[service_key] = (before[0] + requests, before[1] + retries)

    def begin_at_relay(self, known_counts: dict[int, tuple[int, int]]) -> None:
        """Begin to report to another relay, which counts what came since the base.

        The next report has the base: the requests that the last relay may know, and the
        retries that others know by `known_counts`. What is between the two may count
        twice as a retry and not at all as a request, so it never allows more retries.
        """
        self._base = {
            key: (
                self._sent_counts.get(key, (0, 0))[0],
                known_counts.get(key, (0, 0))[1],
            )
            for key in self._counts
        }
        self._is_base_due = True

    def next_report(self) -> InstanceLoad:
        """Return the next report."""
        now_ms = self._clock.now_ms()
        sequence = next(self._sequences)
        if sequence & SEQUENCE_MASK == 0:
            # Relays send 0 for an instance whose reports they no longer include.
            sequence = next(self._sequences)
        while self._ended and _may_be_dropped(self._ended[0], now_ms):
            self._ended.popleft()
        for ended in self._ended:
            ended.sent_count += 1
        counts = self._counts_due(now_ms)
        self._store_reported_state(sequence)
        return InstanceLoad(
            self._instance_id,
            self.incarnation,
            sequence,
            tuple(
                InFlightAttempt(key, now_ms - started_ms)
                for key, started_ms in self._in_flight.values()
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

    def reported_state(self, sequence: int) -> ReportedState | None:
        """Return the state in a report, by the lower 16 bits of its sequence."""
        return self._reported.get(sequence)

    def _store_reported_state(self, sequence: int) -> None:
        in_flight: dict[int, int] = {}
        for server_key, _ in self._in_flight.values():
            in_flight[server_key] = in_flight.get(server_key, 0) + 1
        key = sequence & SEQUENCE_MASK
        self._reported.pop(key, None)
        self._reported[key] = ReportedState(in_flight, self._sent_counts, self._base)
        if len(self._reported) > KEPT_REPORT_COUNT:
            del self._reported[next(iter(self._reported))]

    def _counts_due(self, now_ms: float) -> tuple[ServiceCount, ...]:
        if self._is_base_due and self._counts:
            self._is_base_due = False
            self._counts_sent_ms = float("-inf")
            self._base = {key: self._base.get(key, (0, 0)) for key in self._counts}
            self._sent_counts = self._base
            return tuple(ServiceCount(key, *base) for key, base in self._base.items())
        if now_ms - self._counts_sent_ms < COUNTS_INTERVAL_MS:
            return ()
        self._counts_sent_ms = now_ms
        self._sent_counts = dict(self._counts)
        return tuple(ServiceCount(key, *counts) for key, counts in self._counts.items())

    def _add_end(self, server_key: int, end: AttemptEnd, started_ms: float) -> None:
        now_ms = self._clock.now_ms()
        sequence = next(self._end_sequences)
        self._ended.append(
            _Ended(sequence, server_key, end, now_ms - started_ms, now_ms)
        )


def _may_be_dropped(ended: _Ended, now_ms: float) -> bool:
    return ended.sent_count >= MIN_SEND_COUNT and now_ms - ended.ended_ms > MIN_SEND_MS
