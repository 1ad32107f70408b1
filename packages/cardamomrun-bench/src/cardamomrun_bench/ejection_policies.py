"""Ejection policies for backend servers, compared by `judgement_experiment`."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import numpy as np

from cardamomrun_backends.decider import DECISION_INTERVAL_MS, URGENT_INTERVAL_MS
from cardamomrun_backends.floor import (
    allowed_removals,
    avoidance_allowance,
    floor_count,
)
from cardamomrun_backends.judgement import OutlierDetector
from cardamomrun_backends.profiles import DetectionSettings, profile_settings
from cardamomrun_backends.recent_failures import RecentFailures
from cardamomrun_backends.reporter import EARLY_REPORT_MS
from cardamomrun_backends.server_state import MIN_WEIGHT, SLOW_START_MS, ServerState
from cardamomrun_backends.servers import EnvironmentServers
from cardamomrun_base.clock import Clock
from cardamomrun_base.interfaces import AttemptResult
from cardamomrun_base.messages import BackendEvidence
from cardamomrun_bench.judgement_traffic import (
    FAILED,
    GOOD,
    SLOW,
    UNREACHABLE,
    ServiceModel,
)

__all__ = ["ConsecutiveFailures", "FleetJudgement", "NoEjection", "Policy", "Removal"]

REPORT_MS = 500.0
# From a decision until all instances apply it: three or four hops of 1 to 1.5 ms in
# the overlay, plus a generous allowance for processing.
PROPAGATION_DELAY_MS = 50.0

CONSECUTIVE_FAILURE_COUNT = 5
LOCAL_EJECTION_MS = 30_000.0
LOCAL_EJECTION_RATIO = 0.1

RESULTS = {
    GOOD: AttemptResult.GOOD,
    FAILED: AttemptResult.FAILED,
    SLOW: AttemptResult.SLOW,
    UNREACHABLE: AttemptResult.UNREACHABLE,
}
RESULT_COUNT = len(RESULTS)


@dataclass(frozen=True)
class Removal:
    """A server taken out of use by one instance, or by all if `instance` is None."""

    at_ms: float
    server: int
    instance: int | None = None


class Policy:
    """Decides from attempt results which instances may not use which servers.

    `blocked` and `slow_start_since_ms` have one row for each instance and one column for each
    server; `blocked` is replaced, never changed in place.
    """

    name = "no-ejection"

    def __init__(self, service: ServiceModel, subsets: np.ndarray) -> None:
        self._service = service
        self._subsets = subsets
        self.blocked = np.zeros(subsets.shape, dtype=bool)
        self.slow_start_since_ms = np.full(subsets.shape, -np.inf)
        self.last_slow_start_ms = float("-inf")
        self.removals: list[Removal] = []

    def record_results(
        self,
        now_ms: float,
        instance: np.ndarray,
        server: np.ndarray,
        result: np.ndarray,
        started_ms: np.ndarray,
    ) -> None:
        """Record attempts that ended, in order of their end."""

    def tick(self, now_ms: float) -> None:
        """Do what is due at this time; replaces `blocked` if it changed."""

    def weights(
        self, now_ms: float, instance: np.ndarray, server: np.ndarray
    ) -> np.ndarray | None:
        """Return the slow-start weights, or None if all are 1."""
        if now_ms - self.last_slow_start_ms >= SLOW_START_MS:
            return None
        age_ms = now_ms - self.slow_start_since_ms[instance, server]
        return np.clip(age_ms / SLOW_START_MS, MIN_WEIGHT, 1.0)


class NoEjection(Policy):
    """Uses all servers at all times."""


class ConsecutiveFailures(Policy):
    """Each instance ejects a server after `CONSECUTIVE_FAILURE_COUNT` failures in a row.

    Slow responses are not failures. An ejection lasts `LOCAL_EJECTION_MS`; an instance
    ejects at most `LOCAL_EJECTION_RATIO` of the service's servers at a time, but at
    least one.
    """

    name = "consecutive-failures"

    def __init__(self, service: ServiceModel, subsets: np.ndarray) -> None:
        super().__init__(service, subsets)
        self._max_ejected_count = max(
            1, int(LOCAL_EJECTION_RATIO * service.server_count)
        )
        self._failures = np.zeros(subsets.shape, dtype=int)
        self._ejected_until_ms = np.zeros(subsets.shape)
        self._next_end_ms = float("inf")
        self._needs_update = False

    def record_results(
        self,
        now_ms: float,
        instance: np.ndarray,
        server: np.ndarray,
        result: np.ndarray,
        started_ms: np.ndarray,
    ) -> None:
        failed = (result == FAILED) | (result == UNREACHABLE)
        # The order of results matters only for pairs with a failure, now or before.
        listed = np.zeros_like(self.blocked)
        listed[instance[failed], server[failed]] = True
        relevant = (listed | (self._failures > 0))[instance, server]
        rows = zip(
            instance[relevant].tolist(),
            server[relevant].tolist(),
            failed[relevant].tolist(),
            strict=True,
        )
        for row, column, is_failed in rows:
            self._record_result(now_ms, row, column, is_failed)

    def _record_result(
        self, now_ms: float, row: int, column: int, failed: bool
    ) -> None:
        if self._ejected_until_ms[row, column] > now_ms:
            return
        self._failures[row, column] = self._failures[row, column] + 1 if failed else 0
        if self._failures[row, column] < CONSECUTIVE_FAILURE_COUNT:
            return
        if (self._ejected_until_ms[row] > now_ms).sum() >= self._max_ejected_count:
            return
        self._failures[row, column] = 0
        self._ejected_until_ms[row, column] = now_ms + LOCAL_EJECTION_MS
        self.removals.append(Removal(now_ms, column, row))
        self._needs_update = True

    def tick(self, now_ms: float) -> None:
        if not self._needs_update and now_ms < self._next_end_ms:
            return
        self._needs_update = False
        self.blocked = self._ejected_until_ms > now_ms
        ends = self._ejected_until_ms[self.blocked]
        self._next_end_ms = ends.min() if ends.size else float("inf")


class FleetJudgement(Policy):
    """The product's rules: the decider's ejections and each instance's avoidance.

    Uses the product's `OutlierDetector`, `ServerState` and floor; its messages are
    direct calls, with `PROPAGATION_DELAY_MS` from a decision until it is applied.
    """

    name = "fleet"

    def __init__(
        self,
        service: ServiceModel,
        subsets: np.ndarray,
        clock: Clock,
        profile: DetectionSettings | None = None,
    ) -> None:
        super().__init__(service, subsets)
        settings = profile or profile_settings(service.profile)
        self._judgement = OutlierDetector(settings, clock)
        servers = service.servers()
        self._ids = [server.server_id for server in servers]
        self._columns = {name: column for column, name in enumerate(self._ids)}
        serving = {server.server_id: server for server in servers}
        self._servers = EnvironmentServers(serving, {}, {}, {})
        self._floor_count = floor_count(service.floor, len(servers))
        self._counts = np.zeros((*subsets.shape, RESULT_COUNT), dtype=int)
        # Instances spread their reports over the interval.
        spread = np.arange(service.instance_count) / service.instance_count
        self._next_report_ms = REPORT_MS * spread
        self._last_report_ms = self._next_report_ms - REPORT_MS
        self._next_decision_ms: float = DECISION_INTERVAL_MS
        self._decided: tuple[str, ...] = ()
        self._applied: tuple[str, ...] = ()
        self._pending: list[tuple[float, tuple[str, ...]]] = []
        self._states: dict[tuple[int, int], ServerState] = {}
        self._recent = [RecentFailures() for _ in range(service.instance_count)]
        self._tracked = np.zeros(subsets.shape, dtype=bool)
        self._avoiding: set[tuple[int, int]] = set()
        self._needs_update = False

    def record_results(
        self,
        now_ms: float,
        instance: np.ndarray,
        server: np.ndarray,
        result: np.ndarray,
        started_ms: np.ndarray,
    ) -> None:
        np.add.at(self._counts, (instance, server, result), 1)
        failed = (result == FAILED) | (result == UNREACHABLE)
        self._tracked[instance[failed], server[failed]] = True
        rows_failed = np.unique(instance[failed])
        early_ms = np.maximum(
            now_ms, self._last_report_ms[rows_failed] + EARLY_REPORT_MS
        )
        due_ms = np.minimum(self._next_report_ms[rows_failed], early_ms)
        self._next_report_ms[rows_failed] = due_ms
        rows = zip(
            instance.tolist(),
            server.tolist(),
            result.tolist(),
            started_ms.tolist(),
            strict=True,
        )
        for row, column, result_code, at_ms in rows:
            is_failed = result_code in (FAILED, UNREACHABLE)
            self._recent[row].add(now_ms, self._ids[column], is_failed)
            if self._tracked[row, column]:
                self._record_tracked_result(now_ms, (row, column), result_code, at_ms)

    def _record_tracked_result(
        self, now_ms: float, pair: tuple[int, int], result: int, started_ms: float
    ) -> None:
        state = self._states.setdefault(
            pair, ServerState(1, slow_start_since_ms=-np.inf)
        )
        avoided_before = state.should_avoid(now_ms)
        recent = self._recent[pair[0]]
        others_fail = result in (FAILED, UNREACHABLE) and recent.others_fail(
            now_ms, self._ids[pair[1]]
        )
        state.record(now_ms, started_ms, RESULTS[result], others_fail=others_fail)
        if result == GOOD and started_ms >= state.avoided_since_ms:
            self._tracked[pair] = False
        if state.should_avoid(now_ms) and not avoided_before:
            self._avoiding.add(pair)
            self._needs_update = True
            self._begin_slow_start(pair, state.slow_start_since_ms)

    def _begin_slow_start(self, where: Any, since_ms: float) -> None:
        self.slow_start_since_ms[where] = since_ms
        self.last_slow_start_ms = max(self.last_slow_start_ms, since_ms)

    def tick(self, now_ms: float) -> None:
        self._send_due_reports(now_ms)
        if now_ms >= self._next_decision_ms:
            self._next_decision_ms = now_ms + DECISION_INTERVAL_MS
            self._decide(now_ms)
        while self._pending and self._pending[0][0] <= now_ms:
            self._apply_ejections(now_ms, self._pending.pop(0)[1])
        ended = {
            pair
            for pair in self._avoiding
            if not self._states[pair].should_avoid(now_ms)
        }
        self._avoiding -= ended
        if self._needs_update or ended:
            self._needs_update = False
            self._update_blocked(now_ms)

    def _send_due_reports(self, now_ms: float) -> None:
        for row in np.nonzero(self._next_report_ms <= now_ms)[0].tolist():
            self._last_report_ms[row] = now_ms
            self._next_report_ms[row] = now_ms + REPORT_MS
            if self._counts[row][:, [FAILED, UNREACHABLE]].any():
                urgent_ms = now_ms + URGENT_INTERVAL_MS
                self._next_decision_ms = min(self._next_decision_ms, urgent_ms)
            domain = self._service.failure_domains[self._service.domain_of(row)]
            counts = self._counts[row]
            for column in np.nonzero(counts.any(axis=1))[0].tolist():
                self._judgement.add(domain, self._evidence(column, counts[column]))
            counts[:] = 0

    def _evidence(self, column: int, counts: np.ndarray) -> BackendEvidence:
        good, failed, slow, unreachable = counts.tolist()
        return BackendEvidence(
            f"{self._service.name}/production",
            self._ids[column],
            good,
            failed,
            slow,
            unreachable,
        )

    def _decide(self, now_ms: float) -> None:
        decision = self._judgement.decide(self._servers, self._service.floor)
        if decision.ejected == self._decided:
            return
        for server_id in set(decision.ejected) - set(self._decided):
            self.removals.append(Removal(now_ms, self._columns[server_id]))
        self._decided = decision.ejected
        self._pending.append((now_ms + PROPAGATION_DELAY_MS, decision.ejected))

    def _apply_ejections(self, now_ms: float, ejected: tuple[str, ...]) -> None:
        for server_id in set(self._applied) - set(ejected):
            self._begin_slow_start((slice(None), self._columns[server_id]), now_ms)
        self._applied = ejected
        self._needs_update = True

    def _update_blocked(self, now_ms: float) -> None:
        """Recompute `blocked` within the floor, for each instance from its own view."""
        names = set(self._ids)
        ejected = allowed_removals(self._applied, names, self._floor_count)
        blocked = np.zeros_like(self.blocked)
        blocked[:, self._columns_of(ejected)] = True
        healthy = names - set(ejected)
        before = self.blocked
        for row in sorted({row for row, _ in self._avoiding}):
            avoided = self._avoided(row, healthy)
            columns = self._columns_of(avoided)
            for column in columns:
                if not before[row, column]:
                    self.removals.append(Removal(now_ms, column, row))
            blocked[row, columns] = True
        self.blocked = blocked

    def _avoided(self, row: int, healthy: set[str]) -> list[str]:
        """Return the servers that `LiveBackends` would avoid on this instance."""
        columns = np.flatnonzero(self._subsets[row]).tolist()
        chosen = {self._ids[column] for column in columns} & healthy
        allowance = avoidance_allowance(len(healthy), self._floor_count, len(chosen))
        return [name for name in self._avoidance_candidates(row) if name in chosen][
            :allowance
        ]

    def _avoidance_candidates(self, row: int) -> list[str]:
        pairs = [pair for pair in self._avoiding if pair[0] == row]
        pairs.sort(key=lambda pair: (self._states[pair].avoided_since_ms, pair[1]))
        return [self._ids[column] for _, column in pairs]

    def _columns_of(self, names: Iterable[str]) -> list[int]:
        return [self._columns[name] for name in names]
