"""Plays requests of a whole fleet on the decision code, without a network.

Instances choose with the product's `Placement` on their own `FleetLoad`, which hears
of the others' attempts from a `DomainCollector` for each failure domain. Backend servers fall sick in turn: for some
seconds they reset most requests about a millisecond after their start.
"""

import heapq
import itertools
import random
from collections import deque
from dataclasses import dataclass, field

from cardamomrun_base.clock import ManualClock
from cardamomrun_gateway.domain_collector import DomainCollector
from cardamomrun_gateway.fleet_load import FleetLoad
from cardamomrun_gateway.load_reports import FAR_TOLD_COUNT, NEAR_TOLD_COUNT
from cardamomrun_gateway.own_load import OwnLoad
from cardamomrun_gateway.placement import Placement
from cardamomrun_gateway.server_health import AttemptEnd

from .builders import SERVICE, FakeStore, server_body, server_record, wish

# From an instance to the relay of its domain, with the pause that joins reports.
REPORT_MS = 3.0
HOP_MS = 1.0
RESET_MS = 1.0
FLOOR_RATIO = 0.7
OVERDUE_FACTOR = 3.0


@dataclass(frozen=True)
class Play:
    """A load: rates in requests a second, times in ms.

    Relays collect reports for twice `report_delay_ms`, and for `far_factor` times as
    long before they tell other domains.
    """

    instance_count: int = 44
    server_count: int = 28
    domain_count: int = 4
    slots: int = 4
    queue_count: int = 16
    rate_per_s: float = 87.0
    idempotent_ratio: float = 0.23
    work_ms: float = 280.0
    duration_ms: float = 30_000.0
    sick_ratio: float = 0.3
    sick_every_ms: float = 9_000.0
    sick_fail_ratio: float = 0.85
    broken_server_ratio: float = 0.0
    broken_answer_ratio: float = 0.0
    report_delay_ms: float = 12.0
    far_factor: float = 1.0
    urgent_delay_ms: float = 3.0
    report_loss_ratio: float = 0.0
    hold_ms: float = 125.0
    deadline_ms: float = 2_000.0
    has_idempotent_peers: bool = True
    seed: int = 1


@dataclass
class Outcome:
    """What callers got."""

    asked_count: int = 0
    served_count: int = 0
    lost_count: int = 0
    refused_count: int = 0
    repeated_count: int = 0
    run_twice_count: int = 0
    latencies_ms: list = field(default_factory=list)
    lost_by_kind: dict = field(default_factory=lambda: {True: 0, False: 0})

    @property
    def served_ratio(self):
        return self.served_count / max(1, self.asked_count)


class _Server:
    def __init__(self, play, rng):
        self.play, self.rng = play, rng
        self.running = 0
        self.queue = deque()
        self.offset_ms = rng.uniform(0, play.sick_every_ms)
        self.sick_spans = {}
        self.breaks_off = rng.random() < play.broken_server_ratio

    def is_sick(self, now_ms):
        span = int((now_ms + self.offset_ms) // self.play.sick_every_ms)
        if span not in self.sick_spans:
            self.sick_spans[span] = self.rng.random() < self.play.sick_ratio
        return self.sick_spans[span]


class _Instance:
    def __init__(self, name, domain, clock, bodies, rng):
        self.name, self.domain = name, domain
        store = FakeStore()
        self.load = FleetLoad(clock, store, name)
        for body in bodies:
            store.put(server_record(body))
        self.placement = Placement(clock, self.load, domain, FLOOR_RATIO, rng)
        self.own = OwnLoad(clock, name)
        self.report_due = False


class _Relay:
    """The relay of a failure domain; each domain has one that never fails."""

    def __init__(self, domain, clock):
        self.domain = domain
        self.collector = DomainCollector(clock, f"relay of {domain}")
        self.near = self.collector.audience(NEAR_TOLD_COUNT)
        self.far = self.collector.audience(FAR_TOLD_COUNT, are_reporting=False)
        self.due = set()


@dataclass(eq=False)
class _Request:
    instance: _Instance
    is_idempotent: bool
    arrived_ms: float
    held_since_ms: float
    excluded: frozenset = frozenset()
    sent_count: int = 0


class Player:
    """Runs one play."""

    def __init__(self, play):
        self.play = play
        self.rng = random.Random(play.seed)
        self.clock = ManualClock()
        self.events = []
        self.order = itertools.count()
        self.outcome = Outcome()
        domains = [f"zone-{i}" for i in range(play.domain_count)]
        bodies = [
            server_body(
                f"b{i + 1}", domain=domains[i % play.domain_count], slots=play.slots
            )
            for i in range(play.server_count)
        ]
        self.servers = {body.server_id: _Server(play, self.rng) for body in bodies}
        self.instances = [
            _Instance(
                f"e{i}", domains[i % play.domain_count], self.clock, bodies, self.rng
            )
            for i in range(play.instance_count)
        ]

        self.relays = {domain: _Relay(domain, self.clock) for domain in domains}

    def at(self, time_ms, action, *args):
        heapq.heappush(self.events, (time_ms, next(self.order), action, args))

    def run(self):
        time_ms = 0.0
        while time_ms < self.play.duration_ms:
            time_ms += self.rng.expovariate(self.play.rate_per_s / 1_000)
            self.at(time_ms, self._arrive)
        while self.events:
            time_ms, _, action, args = heapq.heappop(self.events)
            self.clock.advance_ms(max(0.0, time_ms - self.clock.now_ms()))
            action(*args)
        return self.outcome

    def _arrive(self):
        self.outcome.asked_count += 1
        now_ms = self.clock.now_ms()
        instance = self.rng.choice(self.instances)
        is_idempotent = self.rng.random() < self.play.idempotent_ratio
        self._place(_Request(instance, is_idempotent, now_ms, now_ms))

    def _place(self, request):
        now_ms = self.clock.now_ms()
        choice = request.instance.placement.choose(
            wish(
                service=SERVICE,
                is_idempotent=request.is_idempotent,
                usual_ms=self.play.work_ms,
                may_fail=request.is_idempotent and request.sent_count == 0,
                may_try=request.sent_count == 0,
                has_idempotent_peers=self.play.has_idempotent_peers,
                excluded=request.excluded,
            )
        )
        if choice is not None:
            self._start(request, choice.server)
        elif now_ms - request.held_since_ms < self.play.hold_ms:
            self.at(now_ms + 5.0, self._place, request)
        elif request.sent_count:
            self._lose(request)
        else:
            self.outcome.refused_count += 1

    def _start(self, request, server):
        now_ms = self.clock.now_ms()
        request.sent_count += 1
        request.excluded |= {server.body.server_id}
        token = request.instance.own.started(server.key)
        request.instance.load.started(server)
        self._tell(request.instance)
        self._offer(request, server, token, now_ms)

    def _offer(self, request, server, token, started_ms):
        real = self.servers[server.body.server_id]
        now_ms = self.clock.now_ms()
        if real.is_sick(now_ms) and self.rng.random() < self.play.sick_fail_ratio:
            end = (request, server, token, started_ms, AttemptEnd.RESET)
            self.at(now_ms + RESET_MS, self._end, *end)
        elif real.running < self.play.slots:
            self._work(real, request, server, token, started_ms)
        elif len(real.queue) < self.play.queue_count:
            real.queue.append((request, server, token, started_ms))
        else:
            end = (request, server, token, started_ms, AttemptEnd.SHED)
            self.at(now_ms + RESET_MS, self._end, *end)

    def _work(self, real, request, server, token, started_ms):
        real.running += 1
        work_ms = self.rng.lognormvariate(0, 0.45) * self.play.work_ms * 0.9
        if self.rng.random() < 0.01:
            work_ms *= 4
        self.at(
            self.clock.now_ms() + work_ms,
            self._done, real, request, server, token, started_ms,
        )  # fmt: skip

    def _done(self, real, request, server, token, started_ms):
        real.running -= 1
        if real.queue:
            self._work(real, *real.queue.popleft())
        broken = real.breaks_off and self.rng.random() < self.play.broken_answer_ratio
        end = AttemptEnd.BROKEN_OFF if broken else AttemptEnd.GOOD
        self._end(request, server, token, started_ms, end)

    def _end(self, request, server, token, started_ms, end):
        now_ms = self.clock.now_ms()
        instance = request.instance
        instance.own.ended(token, end)
        has_changed = instance.load.ended(server, end, started_ms)
        self._tell(instance, is_urgent=has_changed and server.health.is_doubted)
        if end is AttemptEnd.GOOD:
            late = now_ms - request.arrived_ms > self.play.deadline_ms
            self.outcome.served_count += not late
            self.outcome.lost_count += late
            self.outcome.latencies_ms.append(now_ms - request.arrived_ms)
        elif end is AttemptEnd.SHED:
            request.held_since_ms = now_ms
            self._place(request)
        elif request.is_idempotent and request.sent_count < 2:
            self.outcome.repeated_count += 1
            request.held_since_ms = now_ms
            self._place(request)
        else:
            self._lose(request)

    def _lose(self, request):
        self.outcome.lost_count += 1
        self.outcome.lost_by_kind[request.is_idempotent] += 1

    def _tell(self, instance, *, is_urgent=False):
        now_ms = self.clock.now_ms()
        if is_urgent:
            self.at(now_ms + HOP_MS, self._report, instance, True)
        elif not instance.report_due:
            instance.report_due = True
            self.at(now_ms + REPORT_MS, self._report, instance, False)

    def _report(self, instance, is_urgent):
        if not is_urgent:
            instance.report_due = False
        report = instance.own.report()
        if self._is_lost():
            return
        now_ms = self.clock.now_ms()
        relay = self.relays[instance.domain]
        relay.collector.take(report)
        collect_ms = 2 * self.play.report_delay_ms
        for is_near, wait_ms in (
            (True, collect_ms),
            (False, collect_ms * self.play.far_factor),
        ):
            if is_near not in relay.due:
                relay.due.add(is_near)
                self.at(now_ms + wait_ms, self._tell_all, relay, is_near)
        if is_urgent:
            for is_near, audience in ((True, relay.near), (False, relay.far)):
                message = relay.collector.ends_message(audience)
                self._send(relay, message, self.play.urgent_delay_ms, is_near=is_near)

    def _tell_all(self, relay, is_near):
        relay.due.discard(is_near)
        audience = relay.near if is_near else relay.far
        message = relay.collector.message(audience)
        self._send(relay, message, HOP_MS, is_near=is_near)

    def _send(self, relay, message, delay_ms, *, is_near):
        now_ms = self.clock.now_ms()
        for other in self.instances:
            if (other.domain == relay.domain) is is_near and not self._is_lost():
                self.at(now_ms + delay_ms, other.load.take, message, other.own.reported)

    def _is_lost(self):
        return self.rng.random() < self.play.report_loss_ratio


def play(**changes):
    """Run a play and return what callers got."""
    return Player(Play(**changes)).run()
