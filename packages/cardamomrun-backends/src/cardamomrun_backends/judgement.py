"""Outlier detection: which servers of one environment the decider ejects."""

import math
from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from statistics import median_low

from cardamomrun_backends.cusum import (
    AttemptCounts,
    DecayingCounts,
    DomainStatistic,
    LogLikelihoodRatios,
    log_likelihood_ratios,
)
from cardamomrun_backends.floor import floor_count
from cardamomrun_backends.profiles import DetectionSettings
from cardamomrun_backends.servers import EnvironmentServers
from cardamomrun_base.clock import Clock
from cardamomrun_base.documents import Floor
from cardamomrun_base.logs import ComponentLog
from cardamomrun_base.messages import BackendEvidence
from cardamomrun_base.model import ServerId

__all__ = ["Decision", "OutlierDetector"]

# Half-lives of the counts behind the service's typical rates. The short one follows a
# sudden rise that all servers share; the long one gives a rate to services with little
# traffic.
SHORT_HALF_LIFE_MS = 1_000
LONG_HALF_LIFE_MS = 30_000
# Decayed number of attempts from which a server's rates are used.
MIN_ATTEMPTS = 3.0
# Share of the servers, the worst ones, left out of the rates of the short half-life and
# of the latest interval.
TRIM_RATIO = 0.25
# Corrects the bias of trimming: where all servers have the same rate, the servers left
# out are those that had more failures by chance.
TRIM_CORRECTION = 1.5

# A failure domain is an observer of a server for this long after its last traffic.
TRAFFIC_WINDOW_MS = 60_000
SUPPORTING_DOMAIN_COUNT = 2
# The largest share of the threshold that one failure domain contributes, if others
# send traffic too.
MAX_DOMAIN_SHARE = 0.6

# A common cause raises the statistics of all servers, some faster than others by chance.
# A server is ejected only if its statistic exceeds the threshold by this many times the
# lower quartile of all servers; with a single unhealthy server the quartile is near 0.
COMMON_FACTOR = 2.0

# Above this share of unhealthy servers, ejections freeze: the observer or the load is
# the likely cause.
FREEZE_RATIO = 0.5
# For the freeze, a server counts as unhealthy from this share of the threshold.
FREEZE_THRESHOLD_SHARE = 0.5
# Ejections stay frozen for this long after the cause, while new evidence is gathered.
FREEZE_HOLD_MS = 5_000

FIRST_EJECTION_MS = 10_000
MAX_EJECTION_MS = 300_000
EJECTION_HISTORY_MS = 3_600_000
# As long as the slow start in which entry instances raise a returned server's weight.
PROBATION_MS = 10_000
# Where the floor allows no further ejection, an unhealthy server replaces an ejected one
# if its severity is this many times higher; a lower factor would make them alternate.
REPLACE_FACTOR = 1.5

_log = ComponentLog("judge")


@dataclass(frozen=True)
class Decision:
    """Servers to eject, the most severe first, and servers on probation.

    A server is on probation for `PROBATION_MS` after an ejection ended. `frozen` is True
    while no further server may be ejected.
    """

    ejected: tuple[ServerId, ...] = ()
    probation: tuple[ServerId, ...] = ()
    frozen: bool = False


@dataclass
class _ServerEvidence:
    """Evidence about one server and its ejections.

    `severity` is the weighted share of bad attempts when it was ejected.
    """

    incarnation: int
    recent: DecayingCounts = field(
        default_factory=lambda: DecayingCounts(SHORT_HALF_LIFE_MS)
    )
    typical: DecayingCounts = field(
        default_factory=lambda: DecayingCounts(LONG_HALF_LIFE_MS)
    )
    domains: dict[str, DomainStatistic] = field(default_factory=dict)
    severity: float = 0.0
    ejected_until_ms: float | None = None
    probation_until_ms: float = float("-inf")
    ejections_ms: list[float] = field(default_factory=list)


class OutlierDetector:
    """Detects unhealthy servers of one environment and decides which to eject.

    Call `add` for each item of a report and `decide` once in each interval. Reports do
    not contain shed answers, since a server that sheds load is not unhealthy.
    """

    def __init__(self, profile: DetectionSettings, clock: Clock) -> None:
        self._profile = profile
        self._clock = clock
        self._servers: dict[ServerId, _ServerEvidence] = {}
        self._pending: dict[tuple[ServerId, str], AttemptCounts] = {}
        self._frozen_until_ms = float("-inf")
        # Lower quartiles of the servers' statistics of failures and of slowness.
        self._common_statistics = (0.0, 0.0)

    def add(self, failure_domain: str, evidence: BackendEvidence) -> None:
        """Add counts from an instance in `failure_domain`, for the next `decide`."""
        key = (evidence.server_id, failure_domain)
        weight = self._profile.unreachable_weight
        failed = evidence.failed_count + weight * evidence.unreachable_count
        counts = AttemptCounts(evidence.good_count, failed, evidence.slow_count)
        self._pending.setdefault(key, AttemptCounts()).add(counts)

    def decide(self, servers: EnvironmentServers, floor: Floor) -> Decision:
        """Apply the evidence added since the last call and return the servers to eject."""
        now_ms = self._clock.now_ms()
        self._update_servers(servers)
        self._apply_pending(now_ms)
        self._end_expired_ejections(now_ms)
        self._common_statistics = self._compute_common_statistics(now_ms, servers)
        frozen = self._update_freeze(now_ms, servers)
        allowance = len(servers.serving) - floor_count(floor, servers.announced_count)
        self._enforce_allowance(max(0, allowance), now_ms, servers)
        if not frozen:
            self._eject_unhealthy(max(0, allowance), now_ms, servers)
        probation = (
            name
            for name, server in self._servers.items()
            if server.ejected_until_ms is None and now_ms < server.probation_until_ms
        )
        ejected = tuple(self._list_ejected(servers))
        return Decision(ejected, tuple(sorted(probation)), frozen)

    def statistic(self, server_id: ServerId) -> float:
        """Return the larger of the pooled sums of failures and of slowness."""
        return self._pooled_statistic(self._servers[server_id], self._clock.now_ms())

    def _update_servers(self, servers: EnvironmentServers) -> None:
        """Add and drop servers as announced; a new run of a server has no evidence."""
        known = {**servers.serving, **servers.starting}
        for server_id in [name for name in self._servers if name not in known]:
            if server_id not in servers.lost:
                del self._servers[server_id]
        for server_id, body in known.items():
            server = self._servers.get(server_id)
            if server is None:
                self._servers[server_id] = _ServerEvidence(body.incarnation)
            elif server.incarnation != body.incarnation:
                renewed = _ServerEvidence(
                    body.incarnation, ejections_ms=server.ejections_ms
                )
                self._servers[server_id] = renewed

    def _apply_pending(self, now_ms: float) -> None:
        """Add the pending counts to the rates, then to the statistics."""
        pending = self._pending
        self._pending = {}
        # Results that arrive during an ejection are of requests sent before it.
        accepted = {
            key: counts
            for key, counts in pending.items()
            if self._accepts_evidence(key[0])
        }
        by_server: dict[ServerId, AttemptCounts] = {}
        for (server_id, _), counts in accepted.items():
            by_server.setdefault(server_id, AttemptCounts()).add(counts)
        for server_id, counts in by_server.items():
            self._servers[server_id].recent.add(now_ms, counts)
            self._servers[server_id].typical.add(now_ms, counts)
        failures, slowness = self._likelihood_ratios(now_ms, list(by_server.values()))
        for (server_id, failure_domain), counts in accepted.items():
            domains = self._servers[server_id].domains
            if failure_domain not in domains:
                domains[failure_domain] = DomainStatistic(self._profile)
            domains[failure_domain].add(now_ms, counts, failures, slowness)

    def _accepts_evidence(self, server_id: ServerId) -> bool:
        server = self._servers.get(server_id)
        return server is not None and server.ejected_until_ms is None

    def _likelihood_ratios(
        self, now_ms: float, interval: list[AttemptCounts]
    ) -> tuple[LogLikelihoodRatios, LogLikelihoodRatios]:
        in_use = [s for s in self._servers.values() if s.ejected_until_ms is None]
        recent = [server.recent.decay(now_ms) for server in in_use]
        typical = [server.typical.decay(now_ms) for server in in_use]
        groups = (interval, recent)
        failed = max(
            _trimmed_ratio(group, AttemptCounts.failed_ratio) for group in groups
        )
        slow = max(_trimmed_ratio(group, AttemptCounts.slow_ratio) for group in groups)
        failed = max(failed, _median_ratio(typical, AttemptCounts.failed_ratio))
        slow = max(slow, _median_ratio(typical, AttemptCounts.slow_ratio))
        profile = self._profile
        return log_likelihood_ratios(profile.failures, failed), log_likelihood_ratios(
            profile.slowness, slow
        )

    def _domain_sums(
        self, server: _ServerEvidence, now_ms: float
    ) -> tuple[list[float], list[float]]:
        """Return the sums of failures and those of slowness, one per failure domain.

        The two are not mixed: chance slowness in one failure domain must not confirm
        failures that a broken network path causes in another.
        """
        active = self._active_domains(server, now_ms)
        for statistic in active:
            if statistic.failures or statistic.slowness:
                statistic.decay(now_ms)
        failures = [statistic.failures for statistic in active]
        return failures, [statistic.slowness for statistic in active]

    def _pooled_statistic(self, server: _ServerEvidence, now_ms: float) -> float:
        return max(map(self._pool, self._domain_sums(server, now_ms)))

    def _pool(self, sums: list[float]) -> float:
        """Return the sum over the failure domains, limiting the share of each."""
        if len(sums) < SUPPORTING_DOMAIN_COUNT:
            return sum(sums)
        bound = MAX_DOMAIN_SHARE * self._profile.threshold
        return sum(min(bound, value) for value in sums)

    def _compute_common_statistics(
        self, now_ms: float, servers: EnvironmentServers
    ) -> tuple[float, float]:
        """Return the lower quartiles of the servers' statistics: failures, slowness."""
        sums = [
            self._domain_sums(self._servers[name], now_ms)
            for name in servers.serving
            if self._servers[name].ejected_until_ms is None
        ]
        if not sums:
            return 0.0, 0.0
        quartile = len(sums) // 4
        failures = sorted(self._pool(pair[0]) for pair in sums)
        slowness = sorted(self._pool(pair[1]) for pair in sums)
        return failures[quartile], slowness[quartile]

    def _active_domains(
        self, server: _ServerEvidence, now_ms: float
    ) -> list[DomainStatistic]:
        since_ms = now_ms - TRAFFIC_WINDOW_MS
        return [
            item for item in server.domains.values() if item.last_traffic_ms >= since_ms
        ]

    def _is_unhealthy(self, server: _ServerEvidence, now_ms: float) -> bool:
        share = 1.0
        if now_ms < server.probation_until_ms:
            share = self._profile.probation_ratio
        sums = self._domain_sums(server, now_ms)
        return any(
            self._exceeds_threshold(values, share, common)
            for values, common in zip(sums, self._common_statistics, strict=True)
        )

    def _exceeds_threshold(
        self, sums: list[float], share: float, common: float
    ) -> bool:
        threshold = share * self._profile.threshold + COMMON_FACTOR * common
        if not sums or self._pool(sums) < threshold:
            return False
        minimum = share * self._profile.domain_threshold
        supporting = sum(value >= minimum for value in sums)
        return supporting >= min(SUPPORTING_DOMAIN_COUNT, len(sums))

    def _update_freeze(self, now_ms: float, servers: EnvironmentServers) -> bool:
        """Start or extend a freeze if most servers are unhealthy.

        Returns True while no server may be ejected. Evidence gathered during a freeze is
        dropped: servers recover from a common cause at different times, and the last
        ones would look unhealthy.
        """
        minimum = FREEZE_THRESHOLD_SHARE * self._profile.threshold
        serving = [self._servers[name] for name in servers.serving]
        unhealthy = sum(
            item.ejected_until_ms is not None
            or self._has_unhealthy_rates(item)
            or self._pooled_statistic(item, now_ms) >= minimum
            for item in serving
        )
        not_ejected = any(item.ejected_until_ms is None for item in serving)
        if not_ejected and unhealthy > FREEZE_RATIO * len(serving):
            if now_ms >= self._frozen_until_ms:
                _log.warning(
                    f"{unhealthy} of {len(serving)} servers look unhealthy; no ejections"
                )
            self._frozen_until_ms = now_ms + FREEZE_HOLD_MS
            for item in serving:
                self._reset_statistics(item)
        return now_ms < self._frozen_until_ms

    def _has_unhealthy_rates(self, server: _ServerEvidence) -> bool:
        """Return True if the recent rates reach those of an unhealthy server.

        The statistics are relative to the typical rates, so they do not show a cause
        that all servers share.
        """
        counts = server.recent.counts
        if counts.total < MIN_ATTEMPTS:
            return False
        failed = counts.failed_ratio() >= self._profile.failures.unhealthy_ratio
        return failed or counts.slow_ratio() >= self._profile.slowness.unhealthy_ratio

    def _reset_statistics(self, server: _ServerEvidence) -> None:
        for statistic in server.domains.values():
            statistic.reset()

    def _end_expired_ejections(self, now_ms: float) -> None:
        for server in self._servers.values():
            until_ms = server.ejected_until_ms
            if until_ms is not None and until_ms <= now_ms:
                self._end_ejection(server, now_ms)

    def _end_ejection(self, server: _ServerEvidence, now_ms: float) -> None:
        server.ejected_until_ms = None
        server.probation_until_ms = now_ms + PROBATION_MS
        server.recent = DecayingCounts(SHORT_HALF_LIFE_MS)
        server.typical = DecayingCounts(LONG_HALF_LIFE_MS)
        self._reset_statistics(server)

    def _list_ejected(self, servers: EnvironmentServers) -> list[ServerId]:
        """Return the ejected servers in phase serving, the most severe first."""
        names = [
            name
            for name in servers.serving
            if self._servers[name].ejected_until_ms is not None
        ]
        return sorted(names, key=lambda name: (-self._servers[name].severity, name))

    def _enforce_allowance(
        self, allowance: int, now_ms: float, servers: EnvironmentServers
    ) -> None:
        """End the least severe ejections if there are more than `allowance`.

        The allowance shrinks when other servers drain, start or are lost.
        """
        for server_id in self._list_ejected(servers)[allowance:]:
            _log.info(f"{server_id} returns, since the floor allows fewer ejections")
            self._end_ejection(self._servers[server_id], now_ms)

    def _eject_unhealthy(
        self, allowance: int, now_ms: float, servers: EnvironmentServers
    ) -> None:
        unhealthy = self._find_unhealthy(now_ms, servers)
        for severity, server_id in sorted(unhealthy, reverse=True):
            ejected = self._list_ejected(servers)
            if len(ejected) >= allowance:
                if not self._may_replace(severity, ejected):
                    return
                self._end_ejection(self._servers[ejected[-1]], now_ms)
            self._eject(server_id, severity, now_ms)

    def _find_unhealthy(
        self, now_ms: float, servers: EnvironmentServers
    ) -> Collection[tuple[float, ServerId]]:
        candidates = []
        for server_id in servers.serving:
            server = self._servers[server_id]
            if server.ejected_until_ms is None and self._is_unhealthy(server, now_ms):
                candidates.append((_severity(server), server_id))
        return candidates

    def _may_replace(self, severity: float, ejected: list[ServerId]) -> bool:
        if not ejected:
            return False
        return severity > REPLACE_FACTOR * self._servers[ejected[-1]].severity

    def _eject(self, server_id: ServerId, severity: float, now_ms: float) -> None:
        server = self._servers[server_id]
        since_ms = now_ms - EJECTION_HISTORY_MS
        earlier = [time_ms for time_ms in server.ejections_ms if time_ms >= since_ms]
        duration_ms = min(MAX_EJECTION_MS, FIRST_EJECTION_MS * 2 ** len(earlier))
        server.ejections_ms = [*earlier, now_ms]
        server.severity = severity
        server.ejected_until_ms = now_ms + duration_ms
        self._reset_statistics(server)
        _log.warning(f"{server_id} is unhealthy; ejected for {duration_ms} ms")


def _median_ratio(
    window: list[AttemptCounts], ratio: Callable[[AttemptCounts], float]
) -> float:
    """Return the low median of the ratios of servers with `MIN_ATTEMPTS` or more.

    Returns 0 if at most half of the servers had that many: a server that fails fast
    attracts requests, and its ratio would pass for the typical one.
    """
    ratios = [ratio(counts) for counts in window if counts.total >= MIN_ATTEMPTS]
    return median_low(ratios) if 2 * len(ratios) > len(window) else 0.0


def _trimmed_ratio(
    window: list[AttemptCounts], ratio: Callable[[AttemptCounts], float]
) -> float:
    """Return the corrected ratio over all attempts except those at the worst servers.

    With few attempts at each server, the median would be 0 in spite of a common rise.
    """
    ordered = sorted(window, key=ratio)
    kept = AttemptCounts()
    for counts in ordered[: len(ordered) - math.ceil(TRIM_RATIO * len(ordered))]:
        kept.add(counts)
    return min(1.0, TRIM_CORRECTION * ratio(kept))


def _severity(server: _ServerEvidence) -> float:
    """Return the share of failures plus half that of slow answers, which harm less."""
    counts = server.recent.counts
    return counts.failed_ratio() + counts.slow_ratio() / 2
