"""Counts of attempts at each backend server since the last report."""

from collections import Counter
from collections.abc import Iterable

from cardamomrun_base.interfaces import AttemptResult
from cardamomrun_base.messages import BackendEvidence
from cardamomrun_base.model import EnvironmentId, ServerId

__all__ = ["Evidence"]

# Servers with evidence kept while no decider answers; about one report at scale.
MAX_SERVER_COUNT = 4_000
# Bounds the weight of old evidence after control was unreachable for long.
MAX_ATTEMPT_COUNT = 1_000

COUNTED = (
    AttemptResult.GOOD,
    AttemptResult.FAILED,
    AttemptResult.SLOW,
    AttemptResult.UNREACHABLE,
)
# Failures are rare while servers are well, so reports that hurry for them are too.
# Slow answers are ordinary at a small rate and wait for the next report.
FAILURES = (AttemptResult.FAILED, AttemptResult.UNREACHABLE)


class Evidence:
    """Evidence to report; shed answers and results without evidence are not counted.

    `has_failures` is True if an attempt failed since the last report.
    """

    def __init__(self) -> None:
        self._counts: dict[tuple[EnvironmentId, ServerId], Counter[AttemptResult]] = {}
        self.has_failures = False

    def add(
        self,
        environment: EnvironmentId,
        server_id: ServerId,
        result: AttemptResult,
        count: int = 1,
    ) -> None:
        """Count attempts that ended with `result`."""
        if result not in COUNTED or count == 0:
            return
        key = (environment, server_id)
        if key not in self._counts and len(self._counts) >= MAX_SERVER_COUNT:
            return
        counts = self._counts.setdefault(key, Counter())
        self.has_failures |= result in FAILURES
        counts[result] = min(MAX_ATTEMPT_COUNT, counts[result] + count)

    def take(self) -> tuple[BackendEvidence, ...]:
        """Return the counts since the last call and begin anew."""
        taken = self._counts
        self._counts = {}
        self.has_failures = False
        return tuple(_evidence(key, counts) for key, counts in taken.items())

    def put_back(self, evidence: Iterable[BackendEvidence]) -> None:
        """Add evidence whose report failed to that of the next one."""
        for item in evidence:
            for result in COUNTED:
                count = getattr(item, f"{result.value}_count")
                self.add(item.environment, item.server_id, result, count)


def _evidence(
    key: tuple[EnvironmentId, ServerId], counts: Counter[AttemptResult]
) -> BackendEvidence:
    environment, server_id = key
    return BackendEvidence(
        environment=environment,
        server_id=server_id,
        good_count=counts[AttemptResult.GOOD],
        failed_count=counts[AttemptResult.FAILED],
        slow_count=counts[AttemptResult.SLOW],
        unreachable_count=counts[AttemptResult.UNREACHABLE],
    )
