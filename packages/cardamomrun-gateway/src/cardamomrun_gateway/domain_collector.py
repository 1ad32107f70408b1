"""Merges the reports of the instances of one failure domain, on its relay.

What a relay passes on grows with the servers and with the ends of attempts, and not
with the number of instances that report.
"""

from collections import deque
from dataclasses import dataclass, field, replace

from cardamomrun_base.clock import Clock
from cardamomrun_base.model import InstanceId
from cardamomrun_gateway.load_model import (
    AttemptInWork,
    DomainEnd,
    DomainLoad,
    EndedAttempt,
    InstanceLoad,
    ServerWork,
    ServiceCount,
    instance_key,
)

__all__ = ["ACCEPTED_MS", "Audience", "DomainCollector"]

# A server resets a request within a few milliseconds; an attempt that is older has
# been accepted.
ACCEPTED_MS = 15.0
# An instance reports at least each 250 ms; after three lost reports its attempts are
# taken as over.
SILENT_INSTANCE_MS = 800.0
# A process that was killed takes longer than this to report again.
RESTART_MS = 500.0
# Ends that are kept for an audience that has not heard of them yet.
KEPT_END_COUNT = 1_024
# Keeps a message with the work at a hundred servers within two packets.
MESSAGE_END_COUNT = 100
# The retry budget counts over seconds.
COUNTS_MS = 250.0
# How often all instances are listed, not only those whose reports are new.
ROLL_CALL_MS = 500.0
TAG_MASK = 0xFFFF


@dataclass
class Audience:
    """Receivers of one sequence of messages, and what they were told.

    Each end is told in `told_count` messages, since datagrams may be lost. Only
    reporting instances need to know which of their reports are contained.
    """

    told_count: int
    are_reporting: bool
    starts: deque[int] = field(default_factory=deque)
    next_end: int = 1
    changed: set[InstanceId] = field(default_factory=set)
    counts_ms: float = float("-inf")
    roll_call_ms: float = float("-inf")


@dataclass
class _Reporter:
    load: InstanceLoad
    heard_ms: float
    last_end: int


class DomainCollector:
    """The state of all instances that report to this relay."""

    def __init__(self, clock: Clock, instance_id: InstanceId) -> None:
        self.incarnation = 0
        self._clock = clock
        self._relay_key = instance_key(instance_id)
        self._sequence = 0
        self._reporters: dict[InstanceId, _Reporter] = {}
        self._left: dict[InstanceId, float] = {}
        self._ended: deque[DomainEnd] = deque(maxlen=KEPT_END_COUNT)
        self._ended_ms: deque[float] = deque(maxlen=KEPT_END_COUNT)
        self._end_count = 0
        self._counts: dict[int, tuple[int, int]] = {}
        self._audiences: list[Audience] = []

    @property
    def is_empty(self) -> bool:
        """True while no instance reports here."""
        return not self._reporters

    def audience(self, told_count: int, *, are_reporting: bool = True) -> Audience:
        """Return a new audience."""
        audience = Audience(told_count, are_reporting, next_end=self._end_count + 1)
        self._audiences.append(audience)
        return audience

    def last_end(self, instance_id: InstanceId, incarnation: int) -> int:
        """Return the sequence of the last end of an instance that was merged."""
        held = self._reporters.get(instance_id)
        if held is None or held.load.incarnation != incarnation:
            return 0
        return held.last_end

    def take(self, load: InstanceLoad) -> bool:
        """Merge a report; return True if it changes more than the time of the last one.

        Reports that are older than the one held are dropped.
        """
        now_ms = self._clock.now_ms()
        held = self._reporters.get(load.instance_id)
        if held is not None and not _follows(load, held, now_ms):
            return False
        is_same_run = held is not None and held.load.incarnation == load.incarnation
        last_end = held.last_end if held is not None and is_same_run else 0
        before = held.load if held is not None and is_same_run else None
        self._add_counts(load, before)
        fresh = [end for end in load.ended if end.sequence > last_end]
        for end in fresh:
            self._add_end(load.instance_id, end, now_ms)
            last_end = max(last_end, end.sequence)
        if not load.counts and before is not None:
            load = replace(load, counts=before.counts)
        self._reporters[load.instance_id] = _Reporter(load, now_ms, last_end)
        self._left.pop(load.instance_id, None)
        for audience in self._audiences:
            audience.changed.add(load.instance_id)
        had_work = bool(held is not None and held.load.in_work)
        return bool(fresh or load.in_work or had_work)

    def drop(self, instance_id: InstanceId) -> None:
        """Forget an instance that reports to another relay now."""
        if self._reporters.pop(instance_id, None) is not None:
            self._left[instance_id] = self._clock.now_ms()
            for audience in self._audiences:
                audience.changed.add(instance_id)

    def drop_silent(self) -> list[InstanceId]:
        """Forget instances that stopped reporting; return those that had work."""
        now_ms = self._clock.now_ms()
        silent = [
            (instance_id, held)
            for instance_id, held in self._reporters.items()
            if now_ms - held.heard_ms > SILENT_INSTANCE_MS
        ]
        for instance_id, _ in silent:
            self.drop(instance_id)
        for instance_id, left_ms in list(self._left.items()):
            if now_ms - left_ms > 2 * ROLL_CALL_MS:
                del self._left[instance_id]
        return [instance_id for instance_id, held in silent if held.load.in_work]

    def message(self, audience: Audience) -> DomainLoad:
        """Return the next message with the whole state."""
        now_ms = self._clock.now_ms()
        return DomainLoad(
            self._relay_key,
            self.incarnation,
            self._next_sequence(),
            self._work(now_ms),
            self._ends(audience, now_ms),
            self._counts_due(audience, now_ms),
            self._taken(audience, now_ms),
        )

    def ends_message(self, audience: Audience) -> DomainLoad:
        """Return the next message with ends only; they are told again with the state."""
        now_ms = self._clock.now_ms()
        ends = self._ends_from(audience.next_end, now_ms)
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
        self._ended.append(DomainEnd(tag, replace(end, sequence=self._end_count)))
        self._ended_ms.append(now_ms)

    def _add_counts(self, load: InstanceLoad, before: InstanceLoad | None) -> None:
        if before is None:
            # What was counted before this relay heard of the instance is not recent.
            return
        held = {count.service_key: count for count in before.counts}
        for count in load.counts:
            old = held.get(count.service_key)
            requests, extras = self._counts.get(count.service_key, (0, 0))
            requests += count.request_count - (old.request_count if old else 0)
            extras += count.extra_count - (old.extra_count if old else 0)
            self._counts[count.service_key] = (requests, extras)

    def _work(self, now_ms: float) -> tuple[ServerWork, ...]:
        counts: dict[int, int] = {}
        oldest_ms: dict[int, float] = {}
        accepted_ms: dict[int, float] = {}
        for held in self._reporters.values():
            since_ms = now_ms - held.heard_ms
            attempt: AttemptInWork
            for attempt in held.load.in_work:
                key, age_ms = attempt.server_key, attempt.age_ms + since_ms
                counts[key] = counts.get(key, 0) + 1
                oldest_ms[key] = max(oldest_ms.get(key, 0.0), age_ms)
                if age_ms > ACCEPTED_MS:
                    accepted_ms[key] = min(accepted_ms.get(key, age_ms), age_ms)
        return tuple(
            ServerWork(key, count, oldest_ms[key], accepted_ms.get(key))
            for key, count in counts.items()
        )

    def _ends(self, audience: Audience, now_ms: float) -> tuple[DomainEnd, ...]:
        audience.starts.append(audience.next_end)
        first = audience.starts[0]
        if len(audience.starts) >= audience.told_count:
            audience.starts.popleft()
        ends = self._ends_from(first, now_ms)
        if ends:
            audience.next_end = ends[-1].ended.sequence + 1
        return ends

    def _ends_from(self, first: int, now_ms: float) -> tuple[DomainEnd, ...]:
        oldest = self._end_count - len(self._ended) + 1
        start = max(first, oldest) - oldest
        stop = min(len(self._ended), start + MESSAGE_END_COUNT)
        ends = []
        for index in range(start, stop):
            one = self._ended[index]
            age_ms = one.ended.age_ms + now_ms - self._ended_ms[index]
            ends.append(replace(one, ended=replace(one.ended, age_ms=age_ms)))
        return tuple(ends)

    def _counts_due(
        self, audience: Audience, now_ms: float
    ) -> tuple[ServiceCount, ...]:
        if now_ms - audience.counts_ms < COUNTS_MS:
            return ()
        audience.counts_ms = now_ms
        return tuple(ServiceCount(key, *counts) for key, counts in self._counts.items())

    def _taken(self, audience: Audience, now_ms: float) -> tuple[tuple[int, int], ...]:
        listed = audience.changed if audience.are_reporting else set()
        if now_ms - audience.roll_call_ms >= ROLL_CALL_MS:
            audience.roll_call_ms = now_ms
            listed = {*self._reporters, *self._left}
        audience.changed = set()
        taken = []
        for instance_id in listed:
            held = self._reporters.get(instance_id)
            sequence = held.load.sequence & TAG_MASK if held is not None else 0
            taken.append((instance_key(instance_id), sequence))
        return tuple(taken)


def _follows(load: InstanceLoad, held: _Reporter, now_ms: float) -> bool:
    """Return True if a report is newer than the last one of its instance."""
    if load.incarnation == held.load.incarnation:
        return load.sequence > held.load.sequence
    # Incarnations come from the time of day, which may have been set back before a
    # restart; a run that reports no more is over in any case.
    is_over = now_ms - held.heard_ms >= RESTART_MS
    return load.incarnation > held.load.incarnation or is_over
