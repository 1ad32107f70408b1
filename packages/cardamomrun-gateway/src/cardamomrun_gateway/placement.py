"""Chooses the backend server of an attempt, by what all instances know of it."""

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

from cardamomrun_base.clock import Clock
from cardamomrun_base.model import ServerId
from cardamomrun_gateway.fleet_load import FleetLoad, Server
from cardamomrun_gateway.server_health import TRIAL_FIRST_MS

__all__ = ["Choice", "Placement", "Reason", "Wish"]

# A full server is slower than an empty one by this share.
FULLNESS_RATIO = 0.1
# Warming up takes about twice the usual time.
WARM_UP_FACTOR = 2.0
# Bytes between failure domains are scarce: a request waits this much longer at a
# server of its own, and longer by its size.
DOMAIN_COST_MS = 150.0
DOMAIN_COST_MS_PER_KB = 60.0
# A server of another domain gets its trials from there, unless none comes for long.
FAR_TRIAL_MS = 3_000.0
# Servers in doubt that keep the service above its floor must be expected to serve at
# least this share of requests that may run once; otherwise refusing them is better.
FLOOR_SUCCESS_RATIO = 0.8
# With more than this share of the servers in doubt, the cause is likely not theirs,
# and a lower share is enough.
SHARED_CAUSE_RATIO = 0.6
SHARED_CAUSE_SUCCESS_RATIO = 0.35
# A server that has not shown for a while that it accepts requests may have begun to
# reset them. A request that may run once prefers proven servers; one that may be
# repeated prefers the others, and so proves them.
STALE_COST_RATIO = 0.25
STALE_GAIN_RATIO = 0.15
STALE_LIMIT_MS = 2_000.0
# A service that no idempotent request reaches gets its trials from other requests,
# which are lost if the trial fails: after this time, and then in longer steps.
COSTLY_TRIAL_MS = 12_000.0
BYTES_PER_KB = 1_024
# Servers of the own and of other failure domains that are compared for an attempt.
SAMPLE_COUNT = 4
# Requests that a server may hold beyond its slots, by rank: the most urgent wait at
# the server rather than being refused.
QUEUE_RATIOS = (0.5, 0.5, 0.25)


class Reason(IntEnum):
    """Why a server was chosen."""

    BEST = 0
    TRIAL = 1
    QUEUED = 2
    FLOOR = 3


@dataclass(frozen=True)
class Wish:
    """What a request needs from its server.

    `may_fail` tells that the request can be repeated if this attempt fails, and
    `may_try` that it may go to a server in doubt.
    """

    service: str
    is_idempotent: bool
    body_bytes: int
    rank: int
    usual_ms: float
    may_fail: bool
    may_try: bool
    has_idempotent_peers: bool
    excluded: frozenset[ServerId] = frozenset()


@dataclass(frozen=True)
class Choice:
    """The server of an attempt and why it was chosen."""

    server: Server
    reason: Reason


class Placement:
    """Chooses servers for the requests of one instance."""

    def __init__(
        self,
        clock: Clock,
        load: FleetLoad,
        failure_domain: str,
        floor_ratio: float,
        randomness: random.Random | None = None,
    ) -> None:
        self._clock = clock
        self._load = load
        self._failure_domain = failure_domain
        self._floor_ratio = floor_ratio
        self._random = randomness or random.Random()

    def choose(self, wish: Wish) -> Choice | None:
        """Return the server for an attempt, or None if all are full or in doubt."""
        now_ms = self._clock.now_ms()
        servers = [
            server
            for server in self._load.of_service(wish.service)
            if server.body.server_id not in wish.excluded
            and server.blocked_until_ms <= now_ms
        ]
        trial = self._trial(servers, wish, now_ms)
        if trial is not None:
            return Choice(trial, Reason.TRIAL)
        trusted = [server for server in servers if not server.health.is_doubted]
        newcomer = self._newcomer(trusted, now_ms)
        if newcomer is not None:
            return Choice(newcomer, Reason.BEST)
        free = [server for server in trusted if not server.is_full]
        if free:
            return Choice(self._best(free, wish, now_ms), Reason.BEST)
        needed = self._needed_trial(servers, wish, now_ms)
        if needed is not None:
            return Choice(needed, Reason.TRIAL)
        ratio = QUEUE_RATIOS[min(wish.rank, len(QUEUE_RATIOS) - 1)]
        with_room = [s for s in trusted if s.in_work_count < s.body.slots * (1 + ratio)]
        if with_room:
            return Choice(self._best(with_room, wish, now_ms), Reason.QUEUED)
        floor = self._floor(servers, len(trusted), wish, now_ms)
        if floor:
            return Choice(self._best(floor, wish, now_ms), Reason.FLOOR)
        return None

    def _newcomer(self, trusted: list[Server], now_ms: float) -> Server | None:
        """Return a server that has joined and that nobody has used yet, if any.

        Requests that may run once prefer servers with a record, so one of a service
        that no idempotent request reaches would otherwise stay idle.
        """
        near = [
            server
            for server in trusted
            if server.is_untried(now_ms)
            and server.body.failure_domain == self._failure_domain
        ]
        return self._random.choice(near) if near else None

    def has_servers(self, service: str) -> bool:
        """Return True if any server of a service takes new work."""
        return any(True for _ in self._load.of_service(service))

    def _trial(
        self, servers: Iterable[Server], wish: Wish, now_ms: float
    ) -> Server | None:
        """Return a server in doubt that this request may try."""
        if not wish.may_try:
            return None
        due = [
            server
            for server in servers
            if server.health.is_doubted
            and server.in_work_count == 0
            and self._is_trial_due(server, wish, now_ms)
        ]
        if not due:
            return None
        return min(due, key=lambda server: server.health.trial_due_ms)

    def _floor(
        self, servers: list[Server], trusted_count: int, wish: Wish, now_ms: float
    ) -> list[Server]:
        """Return servers in doubt with free slots that keep the service above its floor.

        When most servers look sick, the cause is likely not theirs, and leaving them
        alone would only overload the others.
        """
        missing_count = math.ceil(len(servers) * self._floor_ratio) - trusted_count
        if missing_count <= 0:
            return []
        doubted = [server for server in servers if server.health.is_doubted]
        least_ratio = FLOOR_SUCCESS_RATIO
        if len(doubted) > len(servers) * SHARED_CAUSE_RATIO:
            least_ratio = SHARED_CAUSE_SUCCESS_RATIO
        doubted.sort(key=lambda s: s.health.success_ratio(now_ms), reverse=True)
        return [
            server
            for server in doubted[:missing_count]
            if not server.is_full
            and (wish.may_fail or server.health.success_ratio(now_ms) >= least_ratio)
        ]

    def _needed_trial(
        self, servers: list[Server], wish: Wish, now_ms: float
    ) -> Server | None:
        """Return a server in doubt to try because all trusted ones are full.

        Only for services that idempotent requests cannot reach: without a trial their
        servers would stay in doubt while callers are refused.
        """
        if wish.has_idempotent_peers or wish.is_idempotent or not wish.may_try:
            return None
        due = [
            server
            for server in servers
            if server.health.is_doubted
            and server.in_work_count == 0
            and now_ms >= server.health.trial_due_ms
        ]
        if not due:
            return None
        return max(due, key=lambda server: server.health.doubt_age_ms(now_ms))

    def _is_trial_due(self, server: Server, wish: Wish, now_ms: float) -> bool:
        health = server.health
        if wish.is_idempotent:
            due_ms = health.trial_due_ms
            if server.body.failure_domain != self._failure_domain:
                due_ms += FAR_TRIAL_MS
            return now_ms >= due_ms
        if wish.has_idempotent_peers:
            return False
        # The pause grows with failed trials and is scaled to their higher cost.
        pauses = health.trial_pause_ms / TRIAL_FIRST_MS
        if health.good_streak:
            return now_ms >= health.trial_due_ms
        return now_ms >= health.trial_due_ms + COSTLY_TRIAL_MS * pauses

    def _best(self, servers: list[Server], wish: Wish, now_ms: float) -> Server:
        near = [s for s in servers if s.body.failure_domain == self._failure_domain]
        far = [s for s in servers if s.body.failure_domain != self._failure_domain]
        drawn = [*self._sample(near), *self._sample(far)]
        return min(drawn, key=lambda server: self._cost_ms(server, wish, now_ms))

    def _sample(self, servers: list[Server]) -> list[Server]:
        """Draw some servers, since all instances know the same best one.

        What others chose in the last milliseconds is not known yet, so instances that
        all took the best server would overload it.
        """
        return self._random.sample(servers, min(SAMPLE_COUNT, len(servers)))

    def _cost_ms(self, server: Server, wish: Wish, now_ms: float) -> float:
        """Return the expected time of an attempt, with what else it may cost."""
        slots = server.body.slots
        work_ms = wish.usual_ms * self._load.slowness(server)
        if server.is_warming_up(now_ms):
            work_ms *= WARM_UP_FACTOR
        taken = server.in_work_count / slots
        cost_ms = work_ms * (1 + FULLNESS_RATIO * taken)
        queued = max(0, server.in_work_count + 1 - slots)
        cost_ms += work_ms * queued / slots
        stale_ms = min(STALE_LIMIT_MS, now_ms - server.health.proven_ms)
        if wish.may_fail:
            cost_ms -= stale_ms * STALE_GAIN_RATIO
        else:
            cost_ms += stale_ms * STALE_COST_RATIO
        if server.body.failure_domain != self._failure_domain:
            size_kb = wish.body_bytes / BYTES_PER_KB
            cost_ms += DOMAIN_COST_MS + size_kb * DOMAIN_COST_MS_PER_KB
        return cost_ms
