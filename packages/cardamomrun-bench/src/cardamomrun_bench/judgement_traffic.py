"""Simulated attempts of a service, for experiments with ejection policies.

Servers have no queue: a slow server responds late and a failing one as fast as a
healthy one, so no fault changes the arrival rate.
"""

import math
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum
from functools import cache

import numpy as np

from cardamomrun_backends.selection import choose_subset, max_subset_size
from cardamomrun_base.clock import MS_PER_S
from cardamomrun_base.documents import DetectionProfile, Floor, Limits
from cardamomrun_base.model import BackendBody, BackendPhase

__all__ = [
    "GOOD",
    "FAILED",
    "SLOW",
    "UNREACHABLE",
    "Chunk",
    "Fault",
    "FaultPlan",
    "ServiceModel",
    "Traffic",
]

# Result codes of attempts in arrays.
GOOD, FAILED, SLOW, UNREACHABLE = 0, 1, 2, 3

SERVICE_TIME_MS = 25.0
BACKGROUND_FAILED_RATIO = 0.001
BACKGROUND_SLOW_RATIO = 0.01
# With exponential service times, 1% of the requests take longer than this.
SLOW_MS = SERVICE_TIME_MS * math.log(1 / BACKGROUND_SLOW_RATIO)
# Default of a route in the environment document; a later response is a failure.
ATTEMPT_TIMEOUT_MS = 2_000.0
PEAK_SLOTS_RATIO = 0.8

SLOW_FACTOR = 20.0
SLOW_TAIL_RATIO = 0.3
FLAP_PERIOD_MS = 2_000.0

# Common causes in a run without an unhealthy server: each period has one load burst
# with longer service times and one rise of the failure ratio at all servers.
COMMON_CAUSE_PERIOD_S = 120
BURST_S = (30, 40)
BURST_LOAD_FACTOR = 1.2
BURST_SERVICE_TIME_FACTOR = 1.5
RISE_S = (80, 90)
RISE_FAILED_RATIO = 0.2


class Fault(StrEnum):
    """A fault of servers or paths that is injected from the onset on."""

    NONE = "none"
    FAILS_ALL = "fails-all"
    FAILS_30 = "fails-30"
    FAILS_10 = "fails-10"
    SLOW_TAIL = "slow-tail"
    ALL_SLOW = "all-slow"
    FLAPS = "flaps"
    PATH_BROKEN = "path-broken"
    TWO_SICK = "two-sick"
    HALF_SICK = "half-sick"


FAILED_RATIOS = {
    Fault.FAILS_ALL: 1.0,
    Fault.FAILS_30: 0.3,
    Fault.FAILS_10: 0.1,
    Fault.TWO_SICK: 1.0,
    Fault.HALF_SICK: 1.0,
}
SLOW_RATIOS = {Fault.SLOW_TAIL: SLOW_TAIL_RATIO, Fault.ALL_SLOW: 1.0}


@dataclass(frozen=True)
class ServiceModel:
    """A service and the entry instances in front of it."""

    name: str
    profile: DetectionProfile
    failure_domains: tuple[str, ...]
    server_count: int
    slots: int
    connections: int
    instance_count: int = 44
    rate_per_server: float | None = None
    floor: Floor = Floor()
    limits: Limits = Limits()

    @property
    def rate_per_s(self) -> float:
        """Requests per second; `PEAK_SLOTS_RATIO` of the capacity if no rate is set."""
        per_server = self.rate_per_server
        if per_server is None:
            per_server = PEAK_SLOTS_RATIO * self.slots * MS_PER_S / SERVICE_TIME_MS
        return per_server * self.server_count

    def instance_ids(self) -> list[str]:
        """Return the names of the entry instances."""
        return [f"entry-{number:03d}" for number in range(self.instance_count)]

    def domain_of(self, index: int) -> int:
        """Return the failure domain of an instance or a server."""
        return index % len(self.failure_domains)

    def servers(self) -> list[BackendBody]:
        """Return the announced servers."""
        return [
            BackendBody(
                environment=f"{self.name}/production",
                server_id=f"server-{number:03d}",
                incarnation=1,
                address=f"127.0.0.1:{10_000 + number}",
                failure_domain=self.failure_domains[self.domain_of(number)],
                slots=self.slots,
                connections=self.connections,
                registrar_id="entry-000",
                phase=BackendPhase.SERVING,
            )
            for number in range(self.server_count)
        ]

    def subsets(self) -> np.ndarray:
        """Return a boolean matrix: True if the instance (row) uses the server (column)."""
        return _subsets(self)


@cache
def _subsets(service: ServiceModel) -> np.ndarray:
    """Compute all subsets; cached, since this takes seconds at 420 instances."""
    servers = service.servers()
    ids = service.instance_ids()
    per_server = service.limits.connections_per_server_count
    bound = max_subset_size(servers, len(ids), per_server)
    count = min(service.limits.subset_count, bound)
    chosen_subsets = [choose_subset(name, ids, servers, count) for name in ids]
    rows = [[server.server_id in row for server in servers] for row in chosen_subsets]
    result = np.array(rows)
    result.flags.writeable = False
    return result


@dataclass(frozen=True)
class FaultPlan:
    """A fault from `onset_ms` on; unhealthy servers come first in the server order."""

    fault: Fault
    onset_ms: float

    def unhealthy_count(self, service: ServiceModel) -> int:
        """Return the number of unhealthy servers."""
        if self.fault in (Fault.NONE, Fault.PATH_BROKEN):
            return 0
        if self.fault is Fault.TWO_SICK:
            return 2
        return service.server_count // 2 if self.fault is Fault.HALF_SICK else 1

    def failed_ratio(self, now_ms: float) -> float:
        """Return the share of requests that fail at a unhealthy server."""
        if now_ms < self.onset_ms:
            return 0.0
        if self.fault is Fault.FLAPS:
            return float((now_ms - self.onset_ms) // FLAP_PERIOD_MS % 2 == 0)
        return FAILED_RATIOS.get(self.fault, 0.0)

    def slow_ratio(self, now_ms: float) -> float:
        """Return the share of requests that take `SLOW_FACTOR` times as long."""
        return SLOW_RATIOS.get(self.fault, 0.0) if now_ms >= self.onset_ms else 0.0

    def breaks_path(self, now_ms: float) -> bool:
        """Return True if failure domain 0 cannot reach server 0 at this time."""
        return self.fault is Fault.PATH_BROKEN and now_ms >= self.onset_ms


@dataclass(frozen=True)
class Chunk:
    """Arrivals in order of time, drawn independently of ejections.

    `draws` has one row of uniform random numbers per purpose: first choice, second
    choice, slow start, failure, slowness.
    """

    at_ms: np.ndarray
    instance: np.ndarray
    service_ms: np.ndarray
    draws: np.ndarray
    background_failed_ratio: float


class Traffic:
    """Poisson arrivals in chunks of one second; equal seeds give equal arrivals."""

    def __init__(self, service: ServiceModel, plan: FaultPlan, seed: int) -> None:
        self._service = service
        self._plan = plan
        self._random = np.random.default_rng(seed)

    def chunks(self) -> Iterator[Chunk]:
        """Yield one chunk per second, endlessly."""
        second = 0
        while True:
            yield self._draw_chunk(second)
            second += 1

    def _draw_chunk(self, second: int) -> Chunk:
        burst, rise = self._common_causes(second)
        rate = self._service.rate_per_s * (BURST_LOAD_FACTOR if burst else 1.0)
        mean_ms = SERVICE_TIME_MS * (BURST_SERVICE_TIME_FACTOR if burst else 1.0)
        count = self._random.poisson(rate)
        at_ms = MS_PER_S * (second + np.sort(self._random.random(count)))
        return Chunk(
            at_ms=at_ms,
            instance=self._random.integers(self._service.instance_count, size=count),
            service_ms=self._random.exponential(mean_ms, size=count),
            draws=self._random.random((5, count)),
            background_failed_ratio=(
                RISE_FAILED_RATIO if rise else BACKGROUND_FAILED_RATIO
            ),
        )

    def _common_causes(self, second: int) -> tuple[bool, bool]:
        if self._plan.fault is not Fault.NONE:
            return False, False
        phase = second % COMMON_CAUSE_PERIOD_S
        return BURST_S[0] <= phase < BURST_S[1], RISE_S[0] <= phase < RISE_S[1]

    def outcomes(
        self, chunk: Chunk, part: slice, server: np.ndarray, now_ms: float
    ) -> tuple[np.ndarray, np.ndarray]:
        """Return the result codes and the end times in ms of the attempts in `part`."""
        plan = self._plan
        unhealthy = server < plan.unhealthy_count(self._service)
        duration_ms = chunk.service_ms[part].copy()
        slow = unhealthy & (chunk.draws[4, part] < plan.slow_ratio(now_ms))
        duration_ms[slow] *= SLOW_FACTOR
        failed_ratio = np.where(unhealthy, plan.failed_ratio(now_ms), 0.0)
        failed_ratio = np.maximum(failed_ratio, chunk.background_failed_ratio)
        result = np.where(duration_ms > SLOW_MS, SLOW, GOOD)
        failed = chunk.draws[3, part] < failed_ratio
        result[failed | (duration_ms > ATTEMPT_TIMEOUT_MS)] = FAILED
        duration_ms = np.minimum(duration_ms, ATTEMPT_TIMEOUT_MS)
        if plan.breaks_path(now_ms):
            domain = chunk.instance[part] % len(self._service.failure_domains)
            unreachable = (domain == 0) & (server == 0)
            result[unreachable] = UNREACHABLE
            duration_ms[unreachable] = 0.0
        return result, chunk.at_ms[part] + duration_ms
