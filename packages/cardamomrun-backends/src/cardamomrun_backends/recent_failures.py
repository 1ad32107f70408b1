"""Tells one failing server from failures that a service's servers share."""

from cardamomrun_backends.cusum import Counts, DecayingCounts
from cardamomrun_base.model import ServerId

__all__ = ["RecentFailures"]

HALF_LIFE_MS = 5_000
# Fewer attempts at the other servers show nothing about a common cause.
MIN_ATTEMPTS = 5.0
# From this share of failures at the other servers, several failures in a row at one
# server are expected by chance: at 20%, 757 healthy servers were avoided in one rise.
COMMON_RATIO = 0.1


class RecentFailures:
    """Outcomes of one instance's recent attempts at the servers of one environment."""

    def __init__(self) -> None:
        self._all = DecayingCounts(HALF_LIFE_MS)
        self._by_server: dict[ServerId, DecayingCounts] = {}

    def add(self, now_ms: float, server_id: ServerId, failed: bool) -> None:
        """Count one attempt."""
        counts = Counts(failed=1.0) if failed else Counts(good=1.0)
        self._all.add(now_ms, counts)
        if server_id not in self._by_server:
            self._by_server[server_id] = DecayingCounts(HALF_LIFE_MS)
        self._by_server[server_id].add(now_ms, counts)

    def others_fail(self, now_ms: float, server_id: ServerId) -> bool:
        """Return True if the other servers fail as well, so the cause is a common one.

        >>> recent = RecentFailures()
        >>> for name in ("a", "b", "c"):
        ...     for _ in range(5):
        ...         recent.add(0.0, name, failed=name != "c")
        >>> recent.others_fail(0.0, "a")
        True
        """
        others = Counts()
        others.add(self._all.fade(now_ms))
        own = self._by_server.get(server_id)
        if own is not None:
            others.add(own.fade(now_ms), -1.0)
        enough = others.total >= MIN_ATTEMPTS
        return enough and others.failed_ratio() >= COMMON_RATIO

    def forget(self, server_id: ServerId) -> None:
        """Drop the counts of a server that is gone."""
        self._by_server.pop(server_id, None)
