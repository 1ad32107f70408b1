"""Merges the reports of the instances of one failure domain, on its relay.

The size of a relay's messages grows with the number of servers and of ended attempts,
not with the number of instances that report.
"""

import math
from collections import deque
from dataclasses import dataclass, field

from cardamomrun_base.clock import Clock
from cardamomrun_base.model import InstanceId
from cardamomrun_gateway.load_model import (
    DomainEnd,
    DomainLoad,
    EndedAttempt,
    InstanceLoad,
    ServerLoad,
    ServiceCount,
    instance_key,
)

__all__ = ["ACCEPTED_MS", "SILENT_INSTANCE_MS", "DomainCollector", "ReceiverGroup"]

# A server resets a request within a few milliseconds; an attempt older than this was
# accepted.
ACCEPTED_MS = 15.0
# An instance reports at least each 250 ms; after three lost reports its attempts no
# longer count.
SILENT_INSTANCE_MS = 800.0
# A killed process takes longer than this to report again.
RESTART_MS = 500.0
# Ends that are kept for receivers to which they were not sent yet.
KEPT_END_COUNT = 1_024
# Keeps a message with the load of a hundred servers within two packets.
MESSAGE_END_COUNT = 100
# The window of the retry budget is seconds long, so counts need not be in each message.
COUNTS_INTERVAL_MS = 250.0
# Interval at which a message lists all instances, not only those with new reports.
FULL_LIST_MS = 500.0
TAG_MASK = 0xFFFF


@dataclass
class ReceiverGroup:
    """State of the message sequence that goes to one group of receivers.

    Each end is sent in `send_count` messages, since datagrams may be lost. Only
    receivers that report to this relay (`are_reporting`) need to know which of their
    reports a message includes.
    """

    send_count: int
    are_reporting: bool
    starts: deque[int] = field(default_factory=deque)
    next_end: int = 1
    changed: set[InstanceId] = field(default_factory=set)
    last_counts_ms: float = float("-inf")
    last_full_list_ms: float = float("-inf")


@dataclass
class _Reporter:
    """The last report of an instance; `counts` are the last that it reported.

    `counts` is None until a report has some: it says nothing about what is recent.
    """

    load: InstanceLoad
    last_received_ms: float
    last_end: int
    counts: dict[int, tuple[int, int]] | None = None


class DomainCollector:
    """Merges the reports to this relay and builds its messages."""

    def __init__(self, clock: Clock, instance_id: InstanceId) -> None:
        self.incarnation = 0
        self._clock = clock
        self._relay_key = instance_key(instance_id)
        self._sequence = 0
        self._reporters: dict[InstanceId, _Reporter] = {}
        self._departed_ms: dict[InstanceId, float] = {}
        self._ended: deque[DomainEnd] = deque(maxlen=KEPT_END_COUNT)
        self._ended_ms: deque[float] = deque(maxlen=KEPT_END_COUNT)
        self._end_count = 0
        self._counts: dict[int, tuple[int, int]] = {}
        self._receiver_groups: list[ReceiverGroup] = []

    @property
    def is_empty(self) -> bool:
        """True while no instance reports here."""
        return not self._reporters

    def add_receivers(
        self, send_count: int, *, are_reporting: bool = True
    ) -> ReceiverGroup:
        """Return the state of a new group of receivers."""
        receivers = ReceiverGroup(
            send_count, are_reporting, next_end=self._end_count + 1
        )
        self._receiver_groups.append(receivers)
        return receivers

    def last_end(self, instance_id: InstanceId, incarnation: int) -> int:
        """Return the sequence of an instance's last merged end; 0 if there is none."""
        reporter = self._reporters.get(instance_id)
        if reporter is None or reporter.load.incarnation != incarnation:
            return 0
        return reporter.last_end

    def merge(self, load: InstanceLoad) -> bool:
        """Merge a report; return True if it or the last one has attempts or new ends.

        Reports that are older than the last one are dropped.
        """
        now_ms = self._clock.now_ms()
        reporter = self._reporters.get(load.instance_id)
        if reporter is not None and not _is_newer(load, reporter, now_ms):
            return False
        is_same_run = (
            reporter is not None and reporter.load.incarnation == load.incarnation
        )
        last_end = reporter.last_end if reporter is not None and is_same_run else 0
        counts = self._add_counts(load, self._counts_before(load, now_ms))
        new_ends = [end for end in load.ended if end.sequence > last_end]
        for end in new_ends:
            self._add_end(load.instance_id, end, now_ms)
            last_end = max(last_end, end.sequence)
        self._reporters[load.instance_id] = _Reporter(load, now_ms, last_end, counts)
        self._departed_ms.pop(load.instance_id, None)
        for receivers in self._receiver_groups:
            receivers.changed.add(load.instance_id)
        had_in_flight = bool(reporter is not None and reporter.load.in_flight)
        return bool(new_ends or load.in_flight or had_in_flight)

    def drop(self, instance_id: InstanceId) -> None:
        """Forget an instance that now reports to another relay."""
        if self._reporters.pop(instance_id, None) is not None:
            self._departed_ms[instance_id] = self._clock.now_ms()
            for receivers in self._receiver_groups:
                receivers.changed.add(instance_id)

    def drop_silent(self) -> list[InstanceId]:
        """Forget instances that stopped reporting; return those with attempts."""
        now_ms = self._clock.now_ms()
        silent = [
            (instance_id, reporter)
            for instance_id, reporter in self._reporters.items()
            if now_ms - reporter.last_received_ms > SILENT_INSTANCE_MS
        ]
        for instance_id, _ in silent:
            self.drop(instance_id)
        for instance_id, departed_ms in list(self._departed_ms.items()):
            if now_ms - departed_ms > 2 * FULL_LIST_MS:
                del self._departed_ms[instance_id]
        return [
            instance_id for instance_id, reporter in silent if reporter.load.in_flight
        ]

    def next_message(self, receivers: ReceiverGroup) -> DomainLoad:
        """Return the next message with the whole state."""
        now_ms = self._clock.now_ms()
        return DomainLoad(
            self._relay_key,
            self.incarnation,
            self._next_sequence(),
            self._server_loads(now_ms),
            self._next_ends(receivers, now_ms),
            self._counts_due(receivers, now_ms),
            self._included_reports(receivers, now_ms),
        )

    def next_ends_message(self, receivers: ReceiverGroup) -> DomainLoad:
        """Return a message with new ends only; the next full one sends them again."""
        now_ms = self._clock.now_ms()
        ends = self._ends_from(receivers.next_end, now_ms)
        return DomainLoad(
            self._relay_key, self.incarnation, self._next_sequence(), None, ends
        )

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence

    def _add_end(
        self, instance_id: InstanceId, end: EndedAttempt, now_ms: float
    ) -> None:
        self._end_count += 1
        tag = instance_key(instance_id) & TAG_MASK
        self._ended.append(DomainEnd(tag, end._replace(sequence=self._end_count)))
        self._ended_ms.append(now_ms)

    def _counts_before(
        self, load: InstanceLoad, now_ms: float
    ) -> dict[int, tuple[int, int]] | None:
        """Return the last counts of an instance that has reported here all along."""
        reporter = self._reporters.get(load.instance_id)
        if reporter is None or reporter.load.incarnation != load.incarnation:
            return None
        # After a pause of this process another relay may have counted meanwhile.
        if now_ms - reporter.last_received_ms > SILENT_INSTANCE_MS:
            return None
        return reporter.counts

    def _add_counts(
        self, load: InstanceLoad, before: dict[int, tuple[int, int]] | None
    ) -> dict[int, tuple[int, int]] | None:
        """Add what came since the counts `before`; return the latest counts."""
        if not load.counts:
            return before
        for key, request_count, retry_count in load.counts:
            requests, retries = self._counts.get(key, (0, 0))
            if before is not None:
                old_requests, old_retries = before.get(key, (0, 0))
                requests += max(0, request_count - old_requests)
                retries += max(0, retry_count - old_retries)
            self._counts[key] = (requests, retries)
        return {key: (requests, retries) for key, requests, retries in load.counts}

    def _server_loads(self, now_ms: float) -> tuple[ServerLoad, ...]:
        counts: dict[int, int] = {}
        oldest_ms: dict[int, float] = {}
        accepted_ms: dict[int, float] = {}
        for reporter in self._reporters.values():
            since_ms = now_ms - reporter.last_received_ms
            for key, age_ms in reporter.load.in_flight:
                age_ms += since_ms
                counts[key] = counts.get(key, 0) + 1
                if age_ms > oldest_ms.setdefault(key, 0.0):
                    oldest_ms[key] = age_ms
                if ACCEPTED_MS < age_ms < accepted_ms.get(key, math.inf):
                    accepted_ms[key] = age_ms
        return tuple(
            ServerLoad(key, count, oldest_ms[key], accepted_ms.get(key))
            for key, count in counts.items()
        )

    def _next_ends(
        self, receivers: ReceiverGroup, now_ms: float
    ) -> tuple[DomainEnd, ...]:
        receivers.starts.append(receivers.next_end)
        first = receivers.starts[0]
        if len(receivers.starts) >= receivers.send_count:
            receivers.starts.popleft()
        ends = self._ends_from(first, now_ms)
        if ends:
            receivers.next_end = ends[-1].ended.sequence + 1
        return ends

    def _ends_from(self, first: int, now_ms: float) -> tuple[DomainEnd, ...]:
        oldest = self._end_count - len(self._ended) + 1
        start = max(first, oldest) - oldest
        stop = min(len(self._ended), start + MESSAGE_END_COUNT)
        ends = []
        for index in range(start, stop):
            tag, end = self._ended[index]
            age_ms = end.age_ms + now_ms - self._ended_ms[index]
            ends.append(DomainEnd(tag, end._replace(age_ms=age_ms)))
        return tuple(ends)

    def _counts_due(
        self, receivers: ReceiverGroup, now_ms: float
    ) -> tuple[ServiceCount, ...]:
        if now_ms - receivers.last_counts_ms < COUNTS_INTERVAL_MS:
            return ()
        receivers.last_counts_ms = now_ms
        return tuple(ServiceCount(key, *counts) for key, counts in self._counts.items())

    def _included_reports(
        self, receivers: ReceiverGroup, now_ms: float
    ) -> tuple[tuple[int, int], ...]:
        listed = receivers.changed if receivers.are_reporting else set()
        if now_ms - receivers.last_full_list_ms >= FULL_LIST_MS:
            receivers.last_full_list_ms = now_ms
            listed = {*self._reporters, *self._departed_ms}
        receivers.changed = set()
        included = []
        for instance_id in listed:
            reporter = self._reporters.get(instance_id)
            sequence = reporter.load.sequence & TAG_MASK if reporter is not None else 0
            included.append((instance_key(instance_id), sequence))
        return tuple(included)


def _is_newer(load: InstanceLoad, reporter: _Reporter, now_ms: float) -> bool:
    """Return True if a report is newer than the last one of its instance."""
    if load.incarnation == reporter.load.incarnation:
        return load.sequence > reporter.load.sequence
    # Incarnations come from the time of day, which may have been set back before a
    # restart; a run that reports no more is over in any case.
    is_over = now_ms - reporter.last_received_ms >= RESTART_MS
    return load.incarnation > reporter.load.incarnation or is_over
