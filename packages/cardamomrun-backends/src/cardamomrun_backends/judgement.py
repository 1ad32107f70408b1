"""Which servers of one environment to eject: the decider's rules, without sockets."""

import math
from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from statistics import median_low

from cardamomrun_backends.cusum import (
    Counts,
    DecayingCounts,
    DomainStatistic,
    Ratios,
    log_ratios,
)
from cardamomrun_backends.floor import floor_count
from cardamomrun_backends.profiles import JudgementProfile
from cardamomrun_backends.servers import ServiceServers
from cardamomrun_base.clock import Clock
from cardamomrun_base.documents import Floor
from cardamomrun_base.logs import PartLog
from cardamomrun_base.messages import BackendEvidence
from cardamomrun_base.model import ServerId

__all__ = ["Decision", "ServiceJudgement"]

# Windows of the service's typical rates. The short one follows a sudden rise that all
# servers share; the long one gives a rate to services with little traffic.
SHORT_HALF_LIFE_MS = 1_000
LONG_HALF_LIFE_MS = 30_000
# A server's rate counts towards the median from this many attempts in the window.
MIN_ATTEMPTS = 3.0
# Share of the servers, the worst ones, left out of the rate of the short window.
TRIM_RATIO = 0.25
# Where all servers have the same rate, chance puts more failures on those left out;
# this makes up for them.
TRIM_CORRECTION = 1.5

# A failure domain counts as sending traffic to a server for this long after it did.
TRAFFIC_MEMORY_MS = 60_000
SUPPORTING_DOMAIN_COUNT = 2
# No failure domain contributes more than this share of the threshold, if others send
# traffic too.
MAX_DOMAIN_SHARE = 0.6

# A cause that all servers share raises all statistics, some faster than others by
# chance. A server is ejected only if its statistic exceeds the threshold by this many
# times the lower quartile of all; with a single sick server the quartile is near 0.
COMMON_FACTOR = 2.0

# Above this share of sick servers, the observer or the load is at fault.
FREEZE_RATIO = 0.5
# A server looks sick for the freeze from this share of the threshold.
LOOKS_SICK_SHARE = 0.5
# After a freeze, evidence is gathered anew for this long before any ejection.
FREEZE_HOLD_MS = 5_000

FIRST_EJECTION_MS = 10_000
MAX_EJECTION_MS = 300_000
EJECTION_MEMORY_MS = 3_600_000
# Entry instances raise the weight of a returned server over the same time.
PROBATION_MS = 10_000
# A sick server takes the place of an ejected one, where the floor allows only some,
# if it is this many times as sick; less would make the two alternate.
REPLACE_FACTOR = 1.5

_log = PartLog("judge")


@dataclass(frozen=True)
class Decision:
    """The servers to eject, the sickest first, and those that returned a short while ago."""

    ejected: tuple[ServerId, ...] = ()
    probation: tuple[ServerId, ...] = ()
    frozen: bool = False


@dataclass
class _Judged:
    """One server; `severity` is the share of bad attempts when it was ejected."""

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


class ServiceJudgement:
    """Evidence about the servers of one environment, and what follows from it.

    Call `add` for each item of a report and `decide` once in each interval. Shed
    answers are not in the reports, since shedding load is not sickness.
    """

    def __init__(self, profile: JudgementProfile, clock: Clock) -> None:
        self._profile = profile
        self._clock = clock
        self._judged: dict[ServerId, _Judged] = {}
        self._pending: dict[tuple[ServerId, str], Counts] = {}
        self._held_until_ms = float("-inf")
        # Lower quartiles of the statistics of failures and of slowness.
        self._common = (0.0, 0.0)

    def add(self, failure_domain: str, evidence: BackendEvidence) -> None:
        """Take the counts that one instance of `failure_domain` reported."""
        key = (evidence.server_id, failure_domain)
        weight = self._profile.unreachable_weight
        failed = evidence.failed_count + weight * evidence.unreachable_count
        counts = Counts(evidence.good_count, failed, evidence.slow_count)
        self._pending.setdefault(key, Counts()).add(counts)

    def decide(self, servers: ServiceServers, floor: Floor) -> Decision:
        """Return what to eject now, given the servers that the decider knows."""
        now_ms = self._clock.now_ms()
        self._follow(servers)
        self._absorb(now_ms)
        self._end_ejections(now_ms)
        self._common = self._common_sums(now_ms, servers)
        frozen = self._check_freeze(now_ms, servers)
        allowance = len(servers.serving) - floor_count(floor, servers.announced_count)
        self._release_beyond(max(0, allowance), now_ms, servers)
        if not frozen:
            self._eject_sickest(max(0, allowance), now_ms, servers)
        probation = (
            name
            for name, judged in self._judged.items()
            if judged.ejected_until_ms is None and now_ms < judged.probation_until_ms
        )
        ejected = tuple(self._ejected(servers))
        return Decision(ejected, tuple(sorted(probation)), frozen)

    def statistic(self, server_id: ServerId) -> float:
        """Return the sum over the failure domains that the threshold applies to."""
        return self._total(self._judged[server_id], self._clock.now_ms())

    def _follow(self, servers: ServiceServers) -> None:
        """Follow announcements: a new run of a server starts without evidence."""
        known = {**servers.serving, **servers.starting}
        for server_id in [name for name in self._judged if name not in known]:
            if server_id not in servers.lost:
                del self._judged[server_id]
        for server_id, body in known.items():
            judged = self._judged.get(server_id)
            if judged is None:
                self._judged[server_id] = _Judged(body.incarnation)
            elif judged.incarnation != body.incarnation:
                renewed = _Judged(body.incarnation, ejections_ms=judged.ejections_ms)
                self._judged[server_id] = renewed

    def _absorb(self, now_ms: float) -> None:
        """Add the pending counts to the rates, then to the statistics."""
        pending = self._pending
        self._pending = {}
        # Answers of requests sent before an ejection say nothing new.
        taken = {key: counts for key, counts in pending.items() if self._takes(key[0])}
        by_server: dict[ServerId, Counts] = {}
        for (server_id, _), counts in taken.items():
            by_server.setdefault(server_id, Counts()).add(counts)
        for server_id, counts in by_server.items():
            self._judged[server_id].recent.add(now_ms, counts)
            self._judged[server_id].typical.add(now_ms, counts)
        failures, slowness = self._ratios(now_ms, list(by_server.values()))
        for (server_id, failure_domain), counts in taken.items():
            domains = self._judged[server_id].domains
            if failure_domain not in domains:
                domains[failure_domain] = DomainStatistic(self._profile)
            domains[failure_domain].add(now_ms, counts, failures, slowness)

    def _takes(self, server_id: ServerId) -> bool:
        judged = self._judged.get(server_id)
        return judged is not None and judged.ejected_until_ms is None

    def _ratios(self, now_ms: float, interval: list[Counts]) -> tuple[Ratios, Ratios]:
        in_use = [j for j in self._judged.values() if j.ejected_until_ms is None]
        recent = [judged.recent.fade(now_ms) for judged in in_use]
        long = [judged.typical.fade(now_ms) for judged in in_use]
        groups = (interval, recent)
        failed = max(_trimmed(group, Counts.failed_ratio) for group in groups)
        slow = max(_trimmed(group, Counts.slow_ratio) for group in groups)
        failed = max(failed, _median(long, Counts.failed_ratio))
        slow = max(slow, _median(long, Counts.slow_ratio))
        profile = self._profile
        return log_ratios(profile.failures, failed), log_ratios(profile.slowness, slow)

    def _sums(self, judged: _Judged, now_ms: float) -> tuple[list[float], list[float]]:
        """Return the sums of failures and those of slowness per failure domain.

        The kinds are not mixed: chance slowness in one failure domain must not confirm
        the failures on a broken path of another.
        """
        active = self._active(judged, now_ms)
        for statistic in active:
            if statistic.failures or statistic.slowness:
                statistic.fade(now_ms)
        failures = [statistic.failures for statistic in active]
        return failures, [statistic.slowness for statistic in active]

    def _total(self, judged: _Judged, now_ms: float) -> float:
        return max(map(self._pooled, self._sums(judged, now_ms)))

    def _pooled(self, sums: list[float]) -> float:
        """Return the sum over the failure domains, each bounded in its share."""
        if len(sums) < SUPPORTING_DOMAIN_COUNT:
            return sum(sums)
        bound = MAX_DOMAIN_SHARE * self._profile.threshold
        return sum(min(bound, value) for value in sums)

    def _common_sums(
        self, now_ms: float, servers: ServiceServers
    ) -> tuple[float, float]:
        """Return the lower quartile of the servers' statistics, for each kind."""
        sums = [
            self._sums(self._judged[name], now_ms)
            for name in servers.serving
            if self._judged[name].ejected_until_ms is None
        ]
        if not sums:
            return 0.0, 0.0
        quartile = len(sums) // 4
        failures = sorted(self._pooled(pair[0]) for pair in sums)
        slowness = sorted(self._pooled(pair[1]) for pair in sums)
        return failures[quartile], slowness[quartile]

    def _active(self, judged: _Judged, now_ms: float) -> list[DomainStatistic]:
        since_ms = now_ms - TRAFFIC_MEMORY_MS
        return [item for item in judged.domains.values() if item.seen_ms >= since_ms]

    def _is_sick(self, judged: _Judged, now_ms: float) -> bool:
        share = 1.0
        if now_ms < judged.probation_until_ms:
            share = self._profile.probation_ratio
        sums = self._sums(judged, now_ms)
        return any(
            self._is_enough(values, share, common)
            for values, common in zip(sums, self._common, strict=True)
        )

    def _is_enough(self, sums: list[float], share: float, common: float) -> bool:
        threshold = share * self._profile.threshold + COMMON_FACTOR * common
        if not sums or self._pooled(sums) < threshold:
            return False
        bar = share * self._profile.domain_threshold
        supporting = sum(value >= bar for value in sums)
        return supporting >= min(SUPPORTING_DOMAIN_COUNT, len(sums))

    def _check_freeze(self, now_ms: float, servers: ServiceServers) -> bool:
        """Return True while no server may be ejected.

        The evidence gathered during a freeze is dropped: servers recover from a common
        cause at different times, and the last ones would look like sick ones.
        """
        bar = LOOKS_SICK_SHARE * self._profile.threshold
        judged = [self._judged[name] for name in servers.serving]
        sick = sum(
            item.ejected_until_ms is not None
            or self._fails_visibly(item)
            or self._total(item, now_ms) >= bar
            for item in judged
        )
        new = any(item.ejected_until_ms is None for item in judged)
        if new and sick > FREEZE_RATIO * len(judged):
            if now_ms >= self._held_until_ms:
                _log.warning(f"{sick} of {len(judged)} servers look sick; no ejections")
            self._held_until_ms = now_ms + FREEZE_HOLD_MS
            for item in judged:
                self._reset(item)
        return now_ms < self._held_until_ms

    def _fails_visibly(self, judged: _Judged) -> bool:
        """Return True if the recent rates are those of a sick server.

        The statistics compare with the typical rates, so they do not show a cause that
        all servers share.
        """
        counts = judged.recent.counts
        if counts.total < MIN_ATTEMPTS:
            return False
        failed = counts.failed_ratio() >= self._profile.failures.sick_ratio
        return failed or counts.slow_ratio() >= self._profile.slowness.sick_ratio

    def _reset(self, judged: _Judged) -> None:
        for statistic in judged.domains.values():
            statistic.reset()

    def _end_ejections(self, now_ms: float) -> None:
        for judged in self._judged.values():
            until_ms = judged.ejected_until_ms
            if until_ms is not None and until_ms <= now_ms:
                self._release(judged, now_ms)

    def _release(self, judged: _Judged, now_ms: float) -> None:
        judged.ejected_until_ms = None
        judged.probation_until_ms = now_ms + PROBATION_MS
        judged.recent = DecayingCounts(SHORT_HALF_LIFE_MS)
        judged.typical = DecayingCounts(LONG_HALF_LIFE_MS)
        self._reset(judged)

    def _ejected(self, servers: ServiceServers) -> list[ServerId]:
        """Return the ejected servers that would serve otherwise, the sickest first."""
        names = [
            name
            for name in servers.serving
            if self._judged[name].ejected_until_ms is not None
        ]
        return sorted(names, key=lambda name: (-self._judged[name].severity, name))

    def _release_beyond(
        self, allowance: int, now_ms: float, servers: ServiceServers
    ) -> None:
        """Release the least sick servers when others drained, started or were lost."""
        for server_id in self._ejected(servers)[allowance:]:
            _log.info(f"{server_id} returns, since the floor allows fewer ejections")
            self._release(self._judged[server_id], now_ms)

    def _eject_sickest(
        self, allowance: int, now_ms: float, servers: ServiceServers
    ) -> None:
        sick = self._sick(now_ms, servers)
        for severity, server_id in sorted(sick, reverse=True):
            ejected = self._ejected(servers)
            if len(ejected) >= allowance:
                if not self._replaces(severity, ejected):
                    return
                self._release(self._judged[ejected[-1]], now_ms)
            self._eject(server_id, severity, now_ms)

    def _sick(
        self, now_ms: float, servers: ServiceServers
    ) -> Collection[tuple[float, ServerId]]:
        candidates = []
        for server_id in servers.serving:
            judged = self._judged[server_id]
            if judged.ejected_until_ms is None and self._is_sick(judged, now_ms):
                candidates.append((_severity(judged), server_id))
        return candidates

    def _replaces(self, severity: float, ejected: list[ServerId]) -> bool:
        if not ejected:
            return False
        return severity > REPLACE_FACTOR * self._judged[ejected[-1]].severity

    def _eject(self, server_id: ServerId, severity: float, now_ms: float) -> None:
        judged = self._judged[server_id]
        since_ms = now_ms - EJECTION_MEMORY_MS
        earlier = [time_ms for time_ms in judged.ejections_ms if time_ms >= since_ms]
        duration_ms = min(MAX_EJECTION_MS, FIRST_EJECTION_MS * 2 ** len(earlier))
        judged.ejections_ms = [*earlier, now_ms]
        judged.severity = severity
        judged.ejected_until_ms = now_ms + duration_ms
        self._reset(judged)
        _log.warning(f"{server_id} is sick; ejected for {duration_ms} ms")


def _median(window: list[Counts], ratio: Callable[[Counts], float]) -> float:
    """Return the median of the servers' ratios; the lower one of two middle ones.

    Returns 0 if less than half of the servers had enough attempts: a server that
    fails fast attracts requests, and would pass for the typical one.
    """
    ratios = [ratio(counts) for counts in window if counts.total >= MIN_ATTEMPTS]
    return median_low(ratios) if 2 * len(ratios) > len(window) else 0.0


def _trimmed(window: list[Counts], ratio: Callable[[Counts], float]) -> float:
    """Return the ratio of all attempts but those at the worst servers.

    With few attempts at each server, the median would be 0 in spite of a common rise.
    """
    ordered = sorted(window, key=ratio)
    kept = Counts()
    for counts in ordered[: len(ordered) - math.ceil(TRIM_RATIO * len(ordered))]:
        kept.add(counts)
    return min(1.0, TRIM_CORRECTION * ratio(kept))


def _severity(judged: _Judged) -> float:
    """Return the share of bad attempts; a failure is worse than a slow answer."""
    counts = judged.recent.counts
    return counts.failed_ratio() + counts.slow_ratio() / 2
