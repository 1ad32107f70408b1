"""One simulated run of a service under one ejection policy, on a manual clock."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import numpy as np

from cardamomrun_backends.floor import floor_count
from cardamomrun_base.clock import MS_PER_S, Clock, ManualClock
from cardamomrun_bench.ejection_policies import Policy
from cardamomrun_bench.judgement_traffic import (
    Chunk,
    Fault,
    FaultPlan,
    ServiceModel,
    Traffic,
)

__all__ = ["RunPlan", "run"]

TICK_MS = 25.0
# Gives the typical rates some history before the onset.
WARM_UP_MS = 15_000.0
# The onset falls anywhere in the report and decision intervals.
ONSET_SPREAD_MS = 500.0
# Requests are counted in this time after the onset.
HIT_WINDOW_MS = 30_000.0
DETECTED_SHARE = 0.9
MS_PER_HOUR = 3_600_000.0

PolicyFactory = Callable[[ServiceModel, np.ndarray, Clock], Policy]


@dataclass(frozen=True)
class RunPlan:
    """What to run: `horizon_ms` counts from the onset."""

    service: ServiceModel
    fault: Fault
    seed: int
    horizon_ms: float

    def fault_plan(self) -> FaultPlan:
        """Return the fault with its onset, which depends on the seed."""
        spread = np.random.default_rng([self.seed, 1]).random() * ONSET_SPREAD_MS
        return FaultPlan(self.fault, WARM_UP_MS + spread)


@dataclass
class _InFlight:
    """Attempts that have not ended yet."""

    end_ms: np.ndarray
    started_ms: np.ndarray
    instance: np.ndarray
    server: np.ndarray
    result: np.ndarray

    @classmethod
    def empty(cls) -> "_InFlight":
        none, names = np.empty(0), np.empty(0, dtype=int)
        return cls(none, none, names, names, names)

    def with_more(self, *columns: np.ndarray) -> "_InFlight":
        held = (self.end_ms, self.started_ms, self.instance, self.server, self.result)
        joined = (np.concatenate(pair) for pair in zip(held, columns, strict=True))
        return _InFlight(*joined)

    def part(self, index: np.ndarray) -> "_InFlight":
        return _InFlight(
            self.end_ms[index],
            self.started_ms[index],
            self.instance[index],
            self.server[index],
            self.result[index],
        )

    def ended(self, now_ms: float) -> tuple["_InFlight", "_InFlight"]:
        """Return what ended, in order, and the rest."""
        is_over = self.end_ms <= now_ms
        ended = self.part(is_over)
        return ended.part(np.argsort(ended.end_ms)), self.part(~is_over)


class _Run:
    """State of one run."""

    def __init__(self, plan: RunPlan, make_policy: PolicyFactory) -> None:
        self._plan = plan
        self._service = plan.service
        self._fault_plan = plan.fault_plan()
        self._clock = ManualClock()
        self._subsets = plan.service.subsets()
        self._policy = make_policy(plan.service, self._subsets, self._clock)
        self._traffic = Traffic(plan.service, self._fault_plan, plan.seed)
        self._in_flight = _InFlight.empty()
        self._blocked: np.ndarray | None = None
        self._stopped_ms = np.full(self._subsets.shape, np.inf)
        self._affected = self._affected_pairs()
        self._sick_count = self._fault_plan.sick_count(plan.service)
        self._hits = 0
        self._requests = 0
        self._lowest_view = self._lowest_pooled = float(plan.service.server_count)

    def run(self) -> dict[str, Any]:
        """Run to the horizon, or until nothing is left to measure."""
        for chunk in self._traffic.chunks():
            first = 0
            for _ in range(int(MS_PER_S / TICK_MS)):
                self._tick()
                end_ms = self._clock.now_ms() + TICK_MS
                last = int(np.searchsorted(chunk.at_ms, end_ms))
                self._send(chunk, slice(first, last))
                first = last
                self._clock.advance_ms(TICK_MS)
            if self._is_over():
                return self._result()
        raise AssertionError("the traffic has no end")

    def _affected_pairs(self) -> np.ndarray:
        """Return the pairs of instance and server that the fault affects."""
        affected = np.zeros_like(self._subsets)
        plan, service = self._fault_plan, self._service
        affected[:, : plan.sick_count(service)] = True
        if plan.fault is Fault.PATH_BROKEN:
            affected[:: len(service.failure_domains), 0] = True
        return affected

    def _tick(self) -> None:
        now_ms = self._clock.now_ms()
        ended, self._in_flight = self._in_flight.ended(now_ms)
        if ended.end_ms.size:
            self._policy.take(
                now_ms, ended.instance, ended.server, ended.result, ended.started_ms
            )
        self._policy.tick(now_ms)
        if self._policy.blocked is not self._blocked:
            self._blocked = self._policy.blocked
            self._follow_blocked(now_ms)

    def _follow_blocked(self, now_ms: float) -> None:
        assert self._blocked is not None
        usable = self._subsets & ~self._blocked
        none = ~usable.any(axis=1)
        # As in the product: servers outside the subset before those taken out of use.
        usable[none] = ~self._blocked[none]
        usable[~usable.any(axis=1)] = True
        self._order = np.argsort(~usable, axis=1, kind="stable")
        self._usable_counts = usable.sum(axis=1)
        if now_ms >= self._fault_plan.onset_ms:
            stopped = self._blocked & np.isinf(self._stopped_ms)
            self._stopped_ms[stopped] = now_ms
        views = (~self._blocked).sum(axis=1)
        self._lowest_view = min(self._lowest_view, float(views.min()))
        users = self._subsets.sum(axis=0)
        using = (self._subsets & ~self._blocked).sum(axis=0)
        pooled = float((using / np.maximum(1, users)).sum())
        self._lowest_pooled = min(self._lowest_pooled, pooled)

    def _send(self, chunk: Chunk, part: slice) -> None:
        now_ms = self._clock.now_ms()
        instance = chunk.instance[part]
        server = self._choose(chunk, part, instance, now_ms)
        self._count(server, now_ms)
        result, end_ms = self._traffic.outcomes(chunk, part, server, now_ms)
        self._in_flight = self._in_flight.with_more(
            end_ms, chunk.at_ms[part], instance, server, result
        )

    def _choose(
        self, chunk: Chunk, part: slice, instance: np.ndarray, now_ms: float
    ) -> np.ndarray:
        counts = self._usable_counts[instance]
        server = self._order[instance, (chunk.draws[0, part] * counts).astype(int)]
        weights = self._policy.weights(now_ms, instance, server)
        if weights is None:
            return server
        # One more draw approximates the weighted choice during slow start.
        other = self._order[instance, (chunk.draws[1, part] * counts).astype(int)]
        return np.where(chunk.draws[2, part] < weights, server, other)

    def _count(self, server: np.ndarray, now_ms: float) -> None:
        since_ms = now_ms - self._fault_plan.onset_ms
        if 0 <= since_ms < HIT_WINDOW_MS:
            self._hits += int((server < self._sick_count).sum())
            self._requests += server.size

    def _is_over(self) -> bool:
        since_ms = self._clock.now_ms() - self._fault_plan.onset_ms
        if since_ms >= self._plan.horizon_ms:
            return True
        relevant = self._affected & self._subsets
        done = relevant.any() and np.isfinite(self._stopped_ms[relevant]).all()
        return bool(done) and since_ms >= HIT_WINDOW_MS

    def _result(self) -> dict[str, Any]:
        service, plan = self._service, self._plan
        false_ejections, false_local = self._false_removals()
        users = np.maximum(1, self._subsets.sum(axis=0))
        healthy_hours = self._healthy_ms() / MS_PER_HOUR
        return {
            "service": service.name,
            "profile": service.profile.value,
            "fault": plan.fault.value,
            "policy": self._policy.name,
            "seed": plan.seed,
            "horizon_ms": plan.horizon_ms,
            **self._detection(),
            "hit_ratio": self._hits / max(1, self._requests),
            "fair_ratio": self._sick_count / service.server_count,
            "healthy_server_hours": healthy_hours,
            "false_ejections": len(false_ejections),
            "false_local_removals": len(false_local),
            "false_weighted": len(false_ejections)
            + float(sum(1 / users[item.server] for item in false_local)),
            "true_ejections": self._true_ejections(),
            "lowest_view_count": self._lowest_view,
            "lowest_pooled_count": self._lowest_pooled,
            "floor_count": floor_count(service.floor, service.server_count),
        }

    def _detection(self) -> dict[str, float | None]:
        """Return the times from the onset until 90% and all pairs stopped once."""
        relevant = self._affected & self._subsets
        names = ("detected_90_ms", "detected_all_ms", "decided_ms")
        if not relevant.any():
            return dict.fromkeys(names)
        times = np.sort(self._stopped_ms[relevant]) - self._fault_plan.onset_ms
        index = int(np.ceil(DETECTED_SHARE * times.size)) - 1
        values = (times[index], times[-1], self._decided_ms())
        return {
            name: float(value) if np.isfinite(value) else None
            for name, value in zip(names, values, strict=True)
        }

    def _decided_ms(self) -> float:
        """Return when the decider ejected the last of the sick servers first."""
        onset_ms = self._fault_plan.onset_ms
        first: dict[int, float] = {}
        for item in self._policy.removals:
            if item.instance is None and item.at_ms >= onset_ms:
                first.setdefault(item.server, item.at_ms - onset_ms)
        times = [first.get(server, np.inf) for server in range(self._sick_count)]
        return max(times, default=np.inf)

    def _is_false(self, server: int, instance: int | None, at_ms: float) -> bool:
        if at_ms < self._fault_plan.onset_ms:
            return True
        if instance is None:
            return server >= self._sick_count
        return not self._affected[instance, server]

    def _false_removals(self) -> tuple[list, list]:
        wrong = [
            item
            for item in self._policy.removals
            if self._is_false(item.server, item.instance, item.at_ms)
        ]
        by_all = [item for item in wrong if item.instance is None]
        return by_all, [item for item in wrong if item.instance is not None]

    def _true_ejections(self) -> int:
        """Return how many sick servers the decider ejected at least once."""
        onset_ms = self._fault_plan.onset_ms
        return len(
            {
                item.server
                for item in self._policy.removals
                if item.instance is None
                and item.at_ms >= onset_ms
                and item.server < self._sick_count
            }
        )

    def _healthy_ms(self) -> float:
        now_ms = self._clock.now_ms()
        sick_ms = self._sick_count * max(0.0, now_ms - self._fault_plan.onset_ms)
        return self._service.server_count * now_ms - sick_ms


def run(plan: RunPlan, make_policy: PolicyFactory) -> dict[str, Any]:
    """Run a plan under the policy that `make_policy` returns; the result is JSON-ready."""
    return _Run(plan, make_policy).run()
