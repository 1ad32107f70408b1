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
# Spreads the onset over the report and decision intervals.
ONSET_SPREAD_MS = 500.0
# Requests to unhealthy servers are counted for this time after the onset.
HIT_WINDOW_MS = 30_000.0
DETECTED_SHARE = 0.9
MS_PER_HOUR = 3_600_000.0

PolicyFactory = Callable[[ServiceModel, np.ndarray, Clock], Policy]


@dataclass(frozen=True)
class RunPlan:
    """A service, fault and seed to simulate for `horizon_ms` after the onset."""

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
        no_times, no_indices = np.empty(0), np.empty(0, dtype=int)
        return cls(no_times, no_times, no_indices, no_indices, no_indices)

    def append(self, *columns: np.ndarray) -> "_InFlight":
        current = (
            self.end_ms,
            self.started_ms,
            self.instance,
            self.server,
            self.result,
        )
        concatenated = (
            np.concatenate(pair) for pair in zip(current, columns, strict=True)
        )
        return _InFlight(*concatenated)

    def select(self, index: np.ndarray) -> "_InFlight":
        return _InFlight(
            self.end_ms[index],
            self.started_ms[index],
            self.instance[index],
            self.server[index],
            self.result[index],
        )

    def ended(self, now_ms: float) -> tuple["_InFlight", "_InFlight"]:
        """Return the attempts that ended, in order of their end, and the others."""
        has_ended = self.end_ms <= now_ms
        ended = self.select(has_ended)
        return ended.select(np.argsort(ended.end_ms)), self.select(~has_ended)


class _Run:
    """Simulates one run of a plan."""

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
        self._unhealthy_count = self._fault_plan.unhealthy_count(plan.service)
        self._hits = 0
        self._requests = 0
        self._lowest_view = self._lowest_pooled = float(plan.service.server_count)

    def run(self) -> dict[str, Any]:
        """Run until the horizon, or until detection and the hit window are complete."""
        for chunk in self._traffic.chunks():
            first = 0
            for _ in range(int(MS_PER_S / TICK_MS)):
                self._tick()
                end_ms = self._clock.now_ms() + TICK_MS
                last = int(np.searchsorted(chunk.at_ms, end_ms))
                self._send(chunk, slice(first, last))
                first = last
                self._clock.advance_ms(TICK_MS)
            if self._is_finished():
                return self._result()
        raise AssertionError("the traffic has no end")

    def _affected_pairs(self) -> np.ndarray:
        """Return the pairs of instance and server that the fault affects."""
        affected = np.zeros_like(self._subsets)
        plan, service = self._fault_plan, self._service
        affected[:, : plan.unhealthy_count(service)] = True
        if plan.fault is Fault.PATH_BROKEN:
            affected[:: len(service.failure_domains), 0] = True
        return affected

    def _tick(self) -> None:
        now_ms = self._clock.now_ms()
        ended, self._in_flight = self._in_flight.ended(now_ms)
        if ended.end_ms.size:
            self._policy.record_results(
                now_ms, ended.instance, ended.server, ended.result, ended.started_ms
            )
        self._policy.tick(now_ms)
        if self._policy.blocked is not self._blocked:
            self._blocked = self._policy.blocked
            self._apply_blocked(now_ms)

    def _apply_blocked(self, now_ms: float) -> None:
        assert self._blocked is not None
        usable = self._subsets & ~self._blocked
        has_no_usable = ~usable.any(axis=1)
        # As in the product: servers outside the subset are preferred to removed ones.
        usable[has_no_usable] = ~self._blocked[has_no_usable]
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
        server = self._choose_servers(chunk, part, instance, now_ms)
        self._count_hits(server, now_ms)
        result, end_ms = self._traffic.outcomes(chunk, part, server, now_ms)
        self._in_flight = self._in_flight.append(
            end_ms, chunk.at_ms[part], instance, server, result
        )

    def _choose_servers(
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

    def _count_hits(self, server: np.ndarray, now_ms: float) -> None:
        since_ms = now_ms - self._fault_plan.onset_ms
        if 0 <= since_ms < HIT_WINDOW_MS:
            self._hits += int((server < self._unhealthy_count).sum())
            self._requests += server.size

    def _is_finished(self) -> bool:
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
            "fair_ratio": self._unhealthy_count / service.server_count,
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
        """Return the times from the onset to detection; None where there was none.

        A pair of instance and server counts as detected when the instance first stops
        using the server; `detected_90_ms` is for 90% of the affected pairs.
        """
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
        """Return when the decider had ejected every unhealthy server at least once."""
        onset_ms = self._fault_plan.onset_ms
        first: dict[int, float] = {}
        for item in self._policy.removals:
            if item.instance is None and item.at_ms >= onset_ms:
                first.setdefault(item.server, item.at_ms - onset_ms)
        times = [first.get(server, np.inf) for server in range(self._unhealthy_count)]
        return max(times, default=np.inf)

    def _is_false(self, server: int, instance: int | None, at_ms: float) -> bool:
        if at_ms < self._fault_plan.onset_ms:
            return True
        if instance is None:
            return server >= self._unhealthy_count
        return not self._affected[instance, server]

    def _false_removals(self) -> tuple[list, list]:
        false_removals = [
            item
            for item in self._policy.removals
            if self._is_false(item.server, item.instance, item.at_ms)
        ]
        by_decider = [item for item in false_removals if item.instance is None]
        return by_decider, [
            item for item in false_removals if item.instance is not None
        ]

    def _true_ejections(self) -> int:
        """Return how many unhealthy servers the decider ejected at least once."""
        onset_ms = self._fault_plan.onset_ms
        return len(
            {
                item.server
                for item in self._policy.removals
                if item.instance is None
                and item.at_ms >= onset_ms
                and item.server < self._unhealthy_count
            }
        )

    def _healthy_ms(self) -> float:
        now_ms = self._clock.now_ms()
        unhealthy_ms = self._unhealthy_count * max(
            0.0, now_ms - self._fault_plan.onset_ms
        )
        return self._service.server_count * now_ms - unhealthy_ms


def run(plan: RunPlan, make_policy: PolicyFactory) -> dict[str, Any]:
    """Run a plan under the policy of `make_policy` and return JSON-ready values."""
    return _Run(plan, make_policy).run()
