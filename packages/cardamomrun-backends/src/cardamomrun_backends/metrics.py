"""Metrics of backend servers, labelled by environment and never by server."""

from dataclasses import dataclass

from prometheus_client import Counter, Histogram

from cardamomrun_base.clock import MS_PER_S
from cardamomrun_base.interfaces import AttemptResult
from cardamomrun_base.model import BackendBody, EnvironmentId, ServerId

__all__ = [
    "ATTEMPTS",
    "DETECTION_SECONDS",
    "EJECTIONS_GRANTED",
    "EJECTIONS_HELD_BACK",
    "EJECTIONS_HONOURED",
    "EjectionMetrics",
]

# A bad attempt this long after the last one begins a new fault. At the target scale,
# with a subset of 12, an instance sends a request to each server about once a second.
FAULT_GAP_MS = 30_000
BAD_RESULTS = (AttemptResult.FAILED, AttemptResult.SLOW, AttemptResult.UNREACHABLE)

ATTEMPTS = Counter(
    "cardamomrun_attempts",
    "Attempts at backend servers, by what they tell about the server.",
    ("environment", "result"),
)
EJECTIONS_GRANTED = Counter(
    "cardamomrun_ejections_granted",
    "Ejections that this instance granted as the decider.",
    ("environment",),
)
EJECTIONS_HONOURED = Counter(
    "cardamomrun_ejections_honoured",
    "Ejections that this instance honoured.",
    ("environment",),
)
EJECTIONS_HELD_BACK = Counter(
    "cardamomrun_ejections_held_back",
    "Ejections that this instance did not honour because of the floor.",
    ("environment",),
)
DETECTION_SECONDS = Histogram(
    "cardamomrun_detection_seconds",
    "Time from the first bad attempt here to the arrival of the server's ejection.",
    ("environment",),
    buckets=(0.5, 1.0, 2.0, 3.0, 5.0, 7.5, 10.0, 15.0, 20.0, 30.0, 60.0, 120.0),
)


@dataclass
class _Fault:
    incarnation: int
    since_ms: float
    last_ms: float


class EjectionMetrics:
    """Counts the ejections that one instance sees and measures their detection time.

    A fault of a server lasts from its first bad attempt until its ejection, or until
    `FAULT_GAP_MS` passed without a bad attempt.
    """

    def __init__(self) -> None:
        self._faults: dict[tuple[EnvironmentId, ServerId], _Fault] = {}
        self._previous: dict[EnvironmentId, tuple[tuple[ServerId, ...], ...]] = {}

    def record_attempt(
        self, server: BackendBody, result: AttemptResult, now_ms: float
    ) -> None:
        """Count an attempt; a bad one begins or continues a fault of its server."""
        ATTEMPTS.labels(server.environment, result.value).inc()
        if result not in BAD_RESULTS:
            return
        key = (server.environment, server.server_id)
        fault = self._faults.get(key)
        same_run = fault is not None and fault.incarnation == server.incarnation
        if fault is None or not same_run or now_ms - fault.last_ms > FAULT_GAP_MS:
            self._faults[key] = _Fault(server.incarnation, now_ms, now_ms)
        else:
            fault.last_ms = now_ms

    def record_ejections(
        self,
        environment: EnvironmentId,
        wanted: tuple[ServerId, ...],
        honoured: tuple[ServerId, ...],
        now_ms: float,
    ) -> None:
        """Count the changes since the last call; `wanted` are the ejections granted."""
        before = self._previous.get(environment, ((), ()))
        if before == (wanted, honoured):
            return
        self._previous[environment] = (wanted, honoured)
        held_back = set(wanted) - set(honoured)
        held_back_before = set(before[0]) - set(before[1])
        new_count = len(set(honoured) - set(before[1]))
        EJECTIONS_HONOURED.labels(environment).inc(new_count)
        new_count = len(held_back - held_back_before)
        EJECTIONS_HELD_BACK.labels(environment).inc(new_count)
        for server_id in set(wanted) - set(before[0]):
            self._observe_detection(environment, server_id, now_ms)

    def forget(self, environment: EnvironmentId, server_id: ServerId) -> None:
        """Drop the fault of a server that is gone."""
        self._faults.pop((environment, server_id), None)

    def _observe_detection(
        self, environment: EnvironmentId, server_id: ServerId, now_ms: float
    ) -> None:
        fault = self._faults.pop((environment, server_id), None)
        if fault is not None and now_ms - fault.last_ms <= FAULT_GAP_MS:
            duration_s = (now_ms - fault.since_ms) / MS_PER_S
            DETECTION_SECONDS.labels(environment).observe(duration_s)
