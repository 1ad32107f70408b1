"""Counts of attempts at each backend server since the last report."""

from collections import Counter
from collections.abc import Iterable

from cardamomrun_base.interfaces import AttemptResult
from cardamomrun_base.messages import BackendEvidence
from cardamomrun_base.model import EnvironmentId, ServerId

__all__ = ["EvidenceBuffer"]

# Limits the memory while no decider answers; about one report at the target scale.
MAX_SERVER_COUNT = 4_000
# Limits the weight of old evidence after control was unreachable for a long time.
MAX_ATTEMPT_COUNT = 1_000

COUNTED_RESULTS = (
    AttemptResult.GOOD,
    AttemptResult.FAILED,
    AttemptResult.SLOW,
    AttemptResult.UNREACHABLE,
)
# Results for which a report is sent early. They are rare while servers are healthy, so
# early reports are rare too. A small rate of slow answers is ordinary; these wait for
# the next regular report.
FAILURE_RESULTS = (AttemptResult.FAILED, AttemptResult.UNREACHABLE)


class EvidenceBuffer:
    """Counts attempts by server and result until the next report.

    Results outside `COUNTED_RESULTS`, such as shed answers, are ignored.
    `has_failures` is True if an attempt failed since the last `take`.
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
        """Count attempts that ended with `result`.

        Servers beyond `MAX_SERVER_COUNT` are ignored; a count ends at
        `MAX_ATTEMPT_COUNT`.
        """
        if result not in COUNTED_RESULTS or count == 0:
            return
        key = (environment, server_id)
        if key not in self._counts and len(self._counts) >= MAX_SERVER_COUNT:
            return
        counts = self._counts.setdefault(key, Counter())
        self.has_failures |= result in FAILURE_RESULTS
        counts[result] = min(MAX_ATTEMPT_COUNT, counts[result] + count)

    def pop_all(self) -> tuple[BackendEvidence, ...]:
        """Return the counts since the last call and reset them."""
        counts_by_server = self._counts
        self._counts = {}
        self.has_failures = False
        return tuple(
            _to_evidence(key, counts) for key, counts in counts_by_server.items()
        )

    def restore(self, evidence: Iterable[BackendEvidence]) -> None:
        """Add the evidence of a report that was not accepted to that of the next one."""
        for item in evidence:
            for result in COUNTED_RESULTS:
                count = getattr(item, f"{result.value}_count")
                self.add(item.environment, item.server_id, result, count)


def _to_evidence(
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
