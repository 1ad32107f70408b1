"""Recent failures per server, to tell one failing server from a common cause."""

from cardamomrun_backends.cusum import AttemptCounts, DecayingCounts
from cardamomrun_base.model import ServerId

__all__ = ["RecentFailures"]

HALF_LIFE_MS = 5_000
# Fewer attempts at the other servers are no evidence of a common cause.
MIN_ATTEMPTS = 5.0
# From this share of failures at the other servers, several failures in a row at one
# server are likely to be chance. When 20% of the attempts at all servers failed,
# instances avoided 757 healthy servers.
COMMON_CAUSE_RATIO = 0.1


class RecentFailures:
    """Outcomes of one instance's recent attempts at the servers of one environment."""

    def __init__(self) -> None:
        self._total = DecayingCounts(HALF_LIFE_MS)
        self._by_server: dict[ServerId, DecayingCounts] = {}

    def add(self, now_ms: float, server_id: ServerId, failed: bool) -> None:
        """Count one attempt."""
        counts = AttemptCounts(failed=1.0) if failed else AttemptCounts(good=1.0)
        self._total.add(now_ms, counts)
        if server_id not in self._by_server:
            self._by_server[server_id] = DecayingCounts(HALF_LIFE_MS)
        self._by_server[server_id].add(now_ms, counts)

    def others_fail(self, now_ms: float, server_id: ServerId) -> bool:
        """Return True if the other servers fail too, which suggests a common cause.

        >>> recent = RecentFailures()
        >>> for name in ("a", "b", "c"):
        ...     for _ in range(5):
        ...         recent.add(0.0, name, failed=name != "c")
        >>> recent.others_fail(0.0, "a")
        True
        """
        others = AttemptCounts()
        others.add(self._total.decay(now_ms))
        own = self._by_server.get(server_id)
        if own is not None:
            others.add(own.decay(now_ms), -1.0)
        enough = others.total >= MIN_ATTEMPTS
        return enough and others.failed_ratio() >= COMMON_CAUSE_RATIO

    def forget(self, server_id: ServerId) -> None:
        """Drop the counts of a server."""
        self._by_server.pop(server_id, None)
