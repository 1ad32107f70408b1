"""Simulates the requests of a whole fleet on the placement code, without a network.

Each instance has the product's `Placement` and `FleetLoad`, which gets the attempts of
the others from a `DomainCollector` for each failure domain. Backend servers become
faulty in turn: for some seconds they reset most requests within about a millisecond.
"""

import heapq
import itertools
import random
from collections import deque
from dataclasses import dataclass, field

from cardamomrun_base.clock import ManualClock
from cardamomrun_gateway.domain_collector import DomainCollector
from cardamomrun_gateway.fleet_load import FleetLoad
from cardamomrun_gateway.load_reports import LOCAL_SEND_COUNT, REMOTE_SEND_COUNT
from cardamomrun_gateway.own_load import OwnLoad
from cardamomrun_gateway.placement import Placement
from cardamomrun_gateway.server_health import AttemptEnd

from .builders import SERVICE, FakeStore, criteria, server_body, server_record

# From an instance to the relay of its domain, including the time that joins reports.
REPORT_MS = 3.0
HOP_MS = 1.0
RESET_MS = 1.0
FLOOR_RATIO = 0.7
OVERDUE_FACTOR = 3.0
# Window in which sound servers should get requests, and how long ago their last fault
# must have ended.
REACHED_WINDOW_MS = 2_000
SOUND_AFTER_MS = 2_000


@dataclass(frozen=True)
class SimulationSettings:
    """Settings of a simulation: rates in requests a second, times in ms.

    Relays collect reports for twice `report_delay_ms`, and for `remote_factor` times as
    long before they send to other domains.
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
    faulty_ratio: float = 0.3
    fault_interval_ms: float = 9_000.0
    reset_ratio: float = 0.85
    lossy_server_ratio: float = 0.0
    shedding_server_ratio: float = 0.0
    shed_ratio: float = 0.6
    pausing_server_ratio: float = 0.0
    pause_ms: float = 4_000.0
    pause_interval_ms: float = 8_000.0
    reads_pauses: bool = True
    tells_pauses: bool = True
    lost_response_ratio: float = 0.0
    report_delay_ms: float = 12.0
    remote_factor: float = 1.0
    urgent_delay_ms: float = 3.0
    report_loss_ratio: float = 0.0
    hold_ms: float = 125.0
    deadline_ms: float = 2_000.0
    has_idempotent_traffic: bool = True
    seed: int = 1


@dataclass
class ClientCounts:
    """Counts of what clients received."""

    request_count: int = 0
    served_count: int = 0
    lost_count: int = 0
    refused_count: int = 0
    retry_count: int = 0
    shed_count: int = 0
    run_twice_count: int = 0
    # First attempts that a pausing server refused, and the attempts of one instance at
    # one server from 0.2 s after it had been asked for the pause, by pause.
    refused_first_count: int = 0
    late_in_pause: dict = field(default_factory=dict)
    latencies_ms: list = field(default_factory=list)
    lost_by_kind: dict = field(default_factory=lambda: {True: 0, False: 0})
    # Share of the sound servers that got a request, by window.
    reached_ratios: list = field(default_factory=list)

    @property
    def served_ratio(self):
        return self.served_count / max(1, self.request_count)


class _Server:
    def __init__(self, settings, rng):
        self.settings, self.rng = settings, rng
        self.running = 0
        self.queue = deque()
        self.offset_ms = rng.uniform(0, settings.fault_interval_ms)
        self.faulty_by_interval = {}
        self.is_shedding = rng.random() < settings.shedding_server_ratio
        self.loses_responses = rng.random() < settings.lossy_server_ratio
        is_pausing = settings.pausing_server_ratio
        self.is_pausing = bool(is_pausing) and rng.random() < is_pausing
        self.pause_offset_ms = self.offset_ms % settings.pause_interval_ms
        self.asked_ms = {}

    def is_faulty(self, now_ms):
        interval = int((now_ms + self.offset_ms) // self.settings.fault_interval_ms)
        if interval not in self.faulty_by_interval:
            self.faulty_by_interval[interval] = (
                self.rng.random() < self.settings.faulty_ratio
            )
        return self.faulty_by_interval[interval]

    def pause(self, now_ms):
        """Return the number of the pause at this time, and what is left of it."""
        interval_ms = self.settings.pause_interval_ms
        number, at_ms = divmod(now_ms + self.pause_offset_ms, interval_ms)
        left_ms = self.settings.pause_ms - at_ms if self.is_pausing else 0.0
        return number, max(0.0, left_ms)


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
    """The relay of a failure domain, which never fails."""

    def __init__(self, domain, clock):
        self.domain = domain
        self.collector = DomainCollector(clock, f"relay of {domain}")
        self.local = self.collector.add_receivers(LOCAL_SEND_COUNT)
        self.remote = self.collector.add_receivers(
            REMOTE_SEND_COUNT, are_reporting=False
        )
        self.due = set()


@dataclass(eq=False)
class _Request:
    instance: _Instance
    is_idempotent: bool
    arrived_ms: float
    held_since_ms: float
    excluded: frozenset = frozenset()
    sent_count: int = 0


class Simulator:
    """Runs one simulation, event by event."""

    def __init__(self, settings):
        self.settings = settings
        self.rng = random.Random(settings.seed)
        self.clock = ManualClock()
        self.events = []
        self.order = itertools.count()
        self.counts = ClientCounts()
        self.arrivals = []
        domains = [f"zone-{i}" for i in range(settings.domain_count)]
        bodies = [
            server_body(
                f"b{i + 1}",
                domain=domains[i % settings.domain_count],
                slots=settings.slots,
            )
            for i in range(settings.server_count)
        ]
        self.servers = {body.server_id: _Server(settings, self.rng) for body in bodies}
        self.instances = [
            _Instance(
                f"e{i}",
                domains[i % settings.domain_count],
                self.clock,
                bodies,
                self.rng,
            )
            for i in range(settings.instance_count)
        ]

        self.relays = {domain: _Relay(domain, self.clock) for domain in domains}

    def at(self, time_ms, action, *args):
        heapq.heappush(self.events, (time_ms, next(self.order), action, args))

    def run(self):
        time_ms = 0.0
        while time_ms < self.settings.duration_ms:
            time_ms += self.rng.expovariate(self.settings.rate_per_s / 1_000)
            self.at(time_ms, self._arrive)
        while self.events:
            time_ms, _, action, args = heapq.heappop(self.events)
            self.clock.advance_ms(max(0.0, time_ms - self.clock.now_ms()))
            action(*args)
        self.counts.reached_ratios = self._reached_ratios()
        return self.counts

    def _reached_ratios(self):
        last_ms = int(self.settings.duration_ms) - REACHED_WINDOW_MS
        return [
            self._reached_ratio(start_ms, start_ms + REACHED_WINDOW_MS)
            for start_ms in range(SOUND_AFTER_MS, last_ms + 1, REACHED_WINDOW_MS // 2)
        ]

    def _reached_ratio(self, start_ms, end_ms):
        times_ms = range(start_ms - SOUND_AFTER_MS, end_ms + 1, 100)
        sound = {
            server_id
            for server_id, server in self.servers.items()
            if not any(server.is_faulty(time_ms) for time_ms in times_ms)
        }
        reached = {
            server_id
            for time_ms, server_id in self.arrivals
            if start_ms <= time_ms < end_ms
        }
        return len(reached & sound) / max(1, len(sound))

    def _arrive(self):
        self.counts.request_count += 1
        now_ms = self.clock.now_ms()
        instance = self.rng.choice(self.instances)
        is_idempotent = self.rng.random() < self.settings.idempotent_ratio
        self._choose_server(_Request(instance, is_idempotent, now_ms, now_ms))

    def _choose_server(self, request):
        now_ms = self.clock.now_ms()
        choice = request.instance.placement.choose(
            criteria(
                service=SERVICE,
                is_idempotent=request.is_idempotent,
                expected_ms=self.settings.work_ms,
                is_retryable=request.is_idempotent and request.sent_count == 0,
                may_be_trial=request.sent_count == 0,
                has_idempotent_traffic=self.settings.has_idempotent_traffic,
                excluded=request.excluded,
            )
        )
        if choice is not None:
            self._start(request, choice.server)
        elif now_ms - request.held_since_ms < self.settings.hold_ms:
            self.at(now_ms + 5.0, self._choose_server, request)
        elif request.sent_count:
            self._count_lost(request)
        else:
            self.counts.refused_count += 1

    def _start(self, request, server):
        now_ms = self.clock.now_ms()
        request.sent_count += 1
        request.excluded |= {server.body.server_id}
        token = request.instance.own.attempt_started(server.key)
        request.instance.load.attempt_started(server)
        self._schedule_report(request.instance)
        self._arrive_at_server(request, server, token, now_ms)

    def _arrive_at_server(self, request, server, token, started_ms):
        server_model = self.servers[server.body.server_id]
        now_ms = self.clock.now_ms()
        self.arrivals.append((now_ms, server.body.server_id))
        if (
            server_model.is_faulty(now_ms)
            and self.rng.random() < self.settings.reset_ratio
        ):
            end = (request, server, token, started_ms, AttemptEnd.RESET)
            self.at(now_ms + RESET_MS, self._end, *end)
        elif server_model.pause(now_ms)[1]:
            self._refuse_for_pause(server_model, request, server, now_ms)
            end = (request, server, token, started_ms, AttemptEnd.SHED)
            self.at(now_ms + RESET_MS, self._end, *end)
        elif server_model.is_shedding and self.rng.random() < self.settings.shed_ratio:
            end = (request, server, token, started_ms, AttemptEnd.SHED)
            self.at(now_ms + RESET_MS, self._end, *end)
        elif server_model.running < self.settings.slots:
            self._start_work(server_model, request, server, token, started_ms)
        elif len(server_model.queue) < self.settings.queue_count:
            server_model.queue.append((request, server, token, started_ms))
        else:
            end = (request, server, token, started_ms, AttemptEnd.SHED)
            self.at(now_ms + RESET_MS, self._end, *end)

    def _refuse_for_pause(self, server_model, request, server, now_ms):
        number, left_ms = server_model.pause(now_ms)
        self.counts.refused_first_count += request.sent_count == 1
        key = (request.instance.name, server.body.server_id, number)
        asked_ms = server_model.asked_ms.setdefault(key, now_ms)
        if now_ms - asked_ms > 200:
            late = self.counts.late_in_pause
            late[key] = late.get(key, 0) + 1
        if self.settings.reads_pauses:
            server.pause.ask(now_ms + RESET_MS, left_ms)
            if self.settings.tells_pauses and not server.is_avoided(now_ms):
                for other in self.instances:
                    self.at(
                        now_ms + RESET_MS + HOP_MS,
                        self._hear_of_pause, other, server.key, now_ms + left_ms,
                    )  # fmt: skip

    def _hear_of_pause(self, instance, server_key, until_ms):
        server = instance.load.by_key(server_key)
        server.avoided_until_ms = max(server.avoided_until_ms, until_ms)

    def _start_work(self, server_model, request, server, token, started_ms):
        server_model.running += 1
        work_ms = self.rng.lognormvariate(0, 0.45) * self.settings.work_ms * 0.9
        if self.rng.random() < 0.01:
            work_ms *= 4
        self.at(
            self.clock.now_ms() + work_ms,
            self._finish_work, server_model, request, server, token, started_ms,
        )  # fmt: skip

    def _finish_work(self, server_model, request, server, token, started_ms):
        server_model.running -= 1
        if server_model.queue:
            self._start_work(server_model, *server_model.queue.popleft())
        is_lost = (
            server_model.loses_responses
            and self.rng.random() < self.settings.lost_response_ratio
        )
        end = AttemptEnd.BROKEN_OFF if is_lost else AttemptEnd.GOOD
        self._end(request, server, token, started_ms, end)

    def _end(self, request, server, token, started_ms, end):
        now_ms = self.clock.now_ms()
        instance = request.instance
        instance.own.attempt_ended(token, end)
        has_changed = instance.load.attempt_ended(server, end, started_ms)
        self._schedule_report(
            instance, is_urgent=has_changed and server.health.is_suspected
        )
        if end is AttemptEnd.GOOD:
            late = now_ms - request.arrived_ms > self.settings.deadline_ms
            self.counts.served_count += not late
            self.counts.lost_count += late
            self.counts.latencies_ms.append(now_ms - request.arrived_ms)
        elif end is AttemptEnd.SHED:
            self.counts.shed_count += 1
            request.held_since_ms = now_ms
            self._choose_server(request)
        elif request.is_idempotent and request.sent_count < 2:
            self.counts.retry_count += 1
            request.held_since_ms = now_ms
            self._choose_server(request)
        else:
            self._count_lost(request)

    def _count_lost(self, request):
        self.counts.lost_count += 1
        self.counts.lost_by_kind[request.is_idempotent] += 1

    def _schedule_report(self, instance, *, is_urgent=False):
        now_ms = self.clock.now_ms()
        if is_urgent:
            self.at(now_ms + HOP_MS, self._report, instance, True)
        elif not instance.report_due:
            instance.report_due = True
            self.at(now_ms + REPORT_MS, self._report, instance, False)

    def _report(self, instance, is_urgent):
        if not is_urgent:
            instance.report_due = False
        report = instance.own.next_report()
        if self._is_lost():
            return
        now_ms = self.clock.now_ms()
        relay = self.relays[instance.domain]
        relay.collector.merge(report)
        collect_ms = 2 * self.settings.report_delay_ms
        for is_local, wait_ms in (
            (True, collect_ms),
            (False, collect_ms * self.settings.remote_factor),
        ):
            if is_local not in relay.due:
                relay.due.add(is_local)
                self.at(now_ms + wait_ms, self._send_message, relay, is_local)
        if is_urgent:
            for is_local, receivers in ((True, relay.local), (False, relay.remote)):
                message = relay.collector.next_ends_message(receivers)
                self._send(
                    relay, message, self.settings.urgent_delay_ms, is_local=is_local
                )

    def _send_message(self, relay, is_local):
        relay.due.discard(is_local)
        receivers = relay.local if is_local else relay.remote
        message = relay.collector.next_message(receivers)
        self._send(relay, message, HOP_MS, is_local=is_local)

    def _send(self, relay, message, delay_ms, *, is_local):
        now_ms = self.clock.now_ms()
        for other in self.instances:
            if (other.domain == relay.domain) is is_local and not self._is_lost():
                self.at(
                    now_ms + delay_ms,
                    other.load.merge,
                    message,
                    other.own.reported_state,
                )

    def _is_lost(self):
        return self.rng.random() < self.settings.report_loss_ratio


def simulate(**changes):
    """Run a simulation with changed settings and return what clients received."""
    return Simulator(SimulationSettings(**changes)).run()
