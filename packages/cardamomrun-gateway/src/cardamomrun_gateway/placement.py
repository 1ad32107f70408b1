"""Chooses the backend server of an attempt by its load and health in the fleet."""

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

from cardamomrun_base.clock import Clock
from cardamomrun_base.model import ServerId
from cardamomrun_gateway.fleet_load import FleetLoad, Server
from cardamomrun_gateway.server_health import TRIAL_FIRST_MS

__all__ = ["Choice", "ChoiceReason", "Placement", "PlacementCriteria"]

# How much slower a server is with all slots in use than when it is idle.
UTILIZATION_COST_RATIO = 0.1
# A server that warms up takes about twice the expected time.
WARM_UP_FACTOR = 2.0
# Bandwidth between failure domains is scarce: using a server of another domain counts
# as this much added latency, plus a part that grows with uploads and downloads.
REMOTE_COST_MS = 150.0
REMOTE_COST_MS_PER_KB = 60.0
# Servers of another domain get trials from its own instances; others wait this much
# longer before they send one.
REMOTE_TRIAL_DELAY_MS = 3_000.0
# Suspected servers that are used to keep a service above its floor must be expected to
# serve at least this share of requests without a retry; otherwise refusing is better.
FLOOR_SUCCESS_RATIO = 0.8
# With more than this share of the servers suspected, the cause is probably outside of
# them, and a lower success ratio is accepted.
SHARED_CAUSE_RATIO = 0.6
SHARED_CAUSE_SUCCESS_RATIO = 0.35
# A server that was not seen to accept a request lately may have begun to reset them.
# Requests without a retry left prefer servers seen lately; requests that can be retried
# prefer the others, and so find out about them.
STALE_COST_RATIO = 0.25
STALE_BONUS_RATIO = 0.15
STALE_LIMIT_MS = 2_000.0
# An idle server that has not been seen to accept a request for this long is preferred
# by all requests. Otherwise a service without idempotent requests would use a third of
# its servers only, and those that it found slow once would stay idle.
REFRESH_MS = 1_000.0
REFRESH_BONUS_MS = 300.0
# Instances of the server's own domain come first here too. Without this delay one in
# seven requests left its domain in a fleet of 36 instances whose servers had room.
REMOTE_REFRESH_DELAY_MS = 1_000.0
# Half-life of what the mean response time of a server says about the next response.
MEAN_HALF_LIFE_MS = 1_400.0
# A service without idempotent requests gets its trials from other requests, which are
# lost if the trial fails, so the first one waits this much longer and later ones more.
NON_IDEMPOTENT_TRIAL_MS = 12_000.0
# The same while fewer servers are trusted than the floor demands.
# Failures of a few seconds that come to different servers in turn would otherwise add up
# until most of the service is suspected, though most of it is well.
FLOOR_TRIAL_MS = 6_000.0
BYTES_PER_KB = 1_024
# Requests of this rank and below are urgent: they may reserve permits of servers that
# state a limit.
URGENT_RANK = 1
# Servers compared for an attempt: up to this many of the own domain and of the others.
SAMPLE_COUNT = 4
# Requests that a server may queue beyond its slots, as a share of them, by rank: the
# most urgent requests wait at the server rather than being refused.
QUEUE_RATIOS = (0.5, 0.5, 0.25)


class ChoiceReason(IntEnum):
    """Why a server was chosen."""

    BEST = 0
    TRIAL = 1
    QUEUED = 2
    FLOOR = 3
    LIMITED = 4


@dataclass(frozen=True)
class PlacementCriteria:
    """What a request needs from its server.

    `is_retryable`: another attempt may follow if this one fails. `may_be_trial`: the
    request may go to a suspected server. `has_idempotent_traffic`: idempotent requests
    reach the service too. `excluded` servers are not chosen. `max_wait_ms`: how long it
    may wait for a permit of a server that states a limit. `download_bytes`: the expected
    length of a large response, else 0.
    """

    service: str
    is_idempotent: bool
    body_bytes: int
    rank: int
    expected_ms: float
    is_retryable: bool
    may_be_trial: bool
    has_idempotent_traffic: bool
    excluded: frozenset[ServerId] = frozenset()
    max_wait_ms: float = 0.0
    download_bytes: float = 0.0

    @property
    def is_urgent(self) -> bool:
        """True for the ranks that are served first when there is little room."""
        return self.rank <= URGENT_RANK


@dataclass(frozen=True)
class Choice:
    """The server of an attempt and why it was chosen."""

    server: Server
    reason: ChoiceReason


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

    def choose(self, criteria: PlacementCriteria) -> Choice | None:
        """Return the server for an attempt, or None if all are full or suspected.

        In this order: a suspected server that is due for a trial, a server that was
        never used, one whose limit should be confirmed, the cheapest one with a free
        slot, one whose permits another instance grants, a trial because all are full, a
        queue, and suspected servers up to the floor. An attempt at a server that states
        a limit needs a permit; those that lately had none to grant are left out.
        """
        now_ms = self._clock.now_ms()
        servers = [
            server
            for server in self._load.servers_of(criteria.service)
            if server.body.server_id not in criteria.excluded
            and server.blocked_until_ms <= now_ms
            and server.wants_request(now_ms)
        ]
        servers = self._without_avoided(servers, now_ms)
        known_count = len(servers)
        trusted_count = sum(not server.health.is_suspected for server in servers)
        servers = [s for s in servers if _may_ask(s, criteria, now_ms)]
        is_below_floor = trusted_count < math.ceil(known_count * self._floor_ratio)
        trial = self._due_trial(
            servers, criteria, now_ms, is_below_floor=is_below_floor
        )
        if trial is not None:
            return Choice(trial, ChoiceReason.TRIAL)
        trusted = [server for server in servers if not server.health.is_suspected]
        unused = self._unused_server(trusted, now_ms)
        if unused is not None:
            return Choice(unused, ChoiceReason.BEST)
        unchecked = _unchecked_server(trusted, now_ms)
        if unchecked is not None:
            return Choice(unchecked, ChoiceReason.LIMITED)
        free = [server for server in trusted if not server.is_full]
        unlimited = [s for s in free if s.limit is None or s.limit.is_granted_here]
        if unlimited:
            accepting = [s for s in unlimited if not self._is_shedding(s, now_ms)]
            best = self._cheapest(accepting or unlimited, criteria, now_ms)
            queue = self._local_queue(best, trusted, criteria, now_ms)
            if queue is not None:
                return Choice(queue, ChoiceReason.QUEUED)
            return Choice(best, ChoiceReason.BEST)
        if free:
            return Choice(self._cheapest(free, criteria, now_ms), ChoiceReason.LIMITED)
        trial_when_full = self._trial_when_full(servers, criteria, now_ms)
        if trial_when_full is not None:
            return Choice(trial_when_full, ChoiceReason.TRIAL)
        with_room = _servers_with_queue_room(trusted, criteria)
        if with_room:
            return Choice(
                self._cheapest(with_room, criteria, now_ms), ChoiceReason.QUEUED
            )
        missing_count = math.ceil(known_count * self._floor_ratio) - trusted_count
        floor_servers = self._floor_servers(servers, missing_count, criteria, now_ms)
        if floor_servers:
            return Choice(
                self._cheapest(floor_servers, criteria, now_ms), ChoiceReason.FLOOR
            )
        return None

    def _local_queue(
        self,
        best: Server,
        trusted: list[Server],
        criteria: PlacementCriteria,
        now_ms: float,
    ) -> Server | None:
        """Return a server of the own domain whose queue costs less than `best`, if any.

        Only for downloads: a slot gets free in the own domain long before the bandwidth
        between domains would have paid for a free one elsewhere.
        """
        if (
            not criteria.download_bytes
            or best.body.failure_domain == self._failure_domain
        ):
            return None
        local = [
            server
            for server in _servers_with_queue_room(trusted, criteria)
            if server.body.failure_domain == self._failure_domain
        ]
        if not local:
            return None
        queue = self._cheapest(local, criteria, now_ms)
        is_cheaper = self._cost_ms(queue, criteria, now_ms) < self._cost_ms(
            best, criteria, now_ms
        )
        return queue if is_cheaper else None

    def _without_avoided(self, servers: list[Server], now_ms: float) -> list[Server]:
        """Leave out servers that leave or pause by the word of others.

        If too few are left for the floor, returns all.
        """
        kept = [server for server in servers if not server.is_avoided(now_ms)]
        if len(kept) == len(servers):
            return servers
        trusted_count = sum(not server.health.is_suspected for server in kept)
        if trusted_count < math.ceil(len(servers) * self._floor_ratio):
            return servers
        return kept

    def is_shedding(self, server: Server) -> bool:
        """Return True if a server rejects requests beyond its present load."""
        return self._is_shedding(server, self._clock.now_ms())

    def _is_shedding(self, server: Server, now_ms: float) -> bool:
        return server.health.is_shedding(now_ms, self._load.spread_ratio(server))

    def _unused_server(self, trusted: list[Server], now_ms: float) -> Server | None:
        """Return a server of the own domain that no instance has used yet, if any.

        Requests without a retry prefer servers seen to accept requests, so in a service
        without idempotent requests a new server would otherwise stay idle.
        """
        local = [
            server
            for server in trusted
            if server.is_untried(now_ms)
            and server.limit is None
            and server.body.failure_domain == self._failure_domain
        ]
        return self._random.choice(local) if local else None

    def permit_wait_ms(self, criteria: PlacementCriteria) -> float | None:
        """Return the time until a permit may be free; None if that isn't what is short.

        Permits are short if each server that could run the request states a limit.
        """
        now_ms = self._clock.now_ms()
        limits = [
            server.limit
            for server in self._load.servers_of(criteria.service)
            if server.body.server_id not in criteria.excluded
            and not server.health.is_suspected
            and server.wants_request(now_ms)
        ]
        waits_ms = [
            limit.wait_ms(now_ms, is_urgent=criteria.is_urgent)
            for limit in limits
            if limit is not None
        ]
        if not waits_ms or len(waits_ms) < len(limits):
            return None
        return min(waits_ms)

    def pause_wait_ms(self, criteria: PlacementCriteria) -> float | None:
        """Return the time until the first pause is over; None unless all servers pause.

        Excluded servers only count if there are no others.
        """
        now_ms = self._clock.now_ms()
        servers = list(self._load.servers_of(criteria.service))
        usable = [s for s in servers if s.body.server_id not in criteria.excluded]
        pauses = [server.pause for server in usable or servers]
        if not pauses or any(pause.is_over(now_ms) for pause in pauses):
            return None
        return min(pause.wait_ms(now_ms) for pause in pauses)

    def slot_count(self, service: str) -> int:
        """Return the slots of all servers of a service."""
        return sum(server.body.slots for server in self._load.servers_of(service))

    def granted_per_s(self, service: str) -> float:
        """Return the sum of what servers that state a limit take from the fleet."""
        return sum(
            server.limit.granted_per_s
            for server in self._load.servers_of(service)
            if server.limit is not None
        )

    def has_servers(self, service: str) -> bool:
        """Return True if any server of a service accepts new requests."""
        return any(True for _ in self._load.servers_of(service))

    def _due_trial(
        self,
        servers: Iterable[Server],
        criteria: PlacementCriteria,
        now_ms: float,
        *,
        is_below_floor: bool,
    ) -> Server | None:
        """Return the idle suspected server whose trial has been due longest, if any."""
        if not criteria.may_be_trial:
            return None
        due = [
            server
            for server in servers
            if server.health.is_suspected
            and server.in_flight_count == 0
            and self._is_trial_due(
                server, criteria, now_ms, is_below_floor=is_below_floor
            )
        ]
        if not due:
            return None
        return min(due, key=lambda server: server.health.trial_due_ms)

    def _floor_servers(
        self,
        servers: list[Server],
        missing_count: int,
        criteria: PlacementCriteria,
        now_ms: float,
    ) -> list[Server]:
        """Return suspected servers with free slots that keep a service above its floor.

        When most servers are suspected, the cause is probably outside of them, and
        using only the others would overload those.
        """
        if missing_count <= 0:
            return []
        suspected = [server for server in servers if server.health.is_suspected]
        min_ratio = FLOOR_SUCCESS_RATIO
        if len(suspected) > len(servers) * SHARED_CAUSE_RATIO:
            min_ratio = SHARED_CAUSE_SUCCESS_RATIO
        suspected.sort(key=lambda s: s.health.success_ratio(now_ms), reverse=True)
        return [
            server
            for server in suspected[:missing_count]
            if not server.is_full
            and (
                criteria.is_retryable
                or server.health.success_ratio(now_ms) >= min_ratio
            )
        ]

    def _trial_when_full(
        self, servers: list[Server], criteria: PlacementCriteria, now_ms: float
    ) -> Server | None:
        """Return a suspected server to try because all trusted ones are full.

        Only for services without idempotent requests: without such a trial their
        servers would stay suspected while clients are refused.
        """
        if (
            criteria.has_idempotent_traffic
            or criteria.is_idempotent
            or not criteria.may_be_trial
        ):
            return None
        due = [
            server
            for server in servers
            if server.health.is_suspected
            and server.in_flight_count == 0
            and now_ms >= server.health.trial_due_ms
        ]
        if not due:
            return None
        return max(due, key=lambda server: server.health.suspected_for_ms(now_ms))

    def _is_trial_due(
        self,
        server: Server,
        criteria: PlacementCriteria,
        now_ms: float,
        *,
        is_below_floor: bool,
    ) -> bool:
        health = server.health
        if criteria.is_idempotent:
            due_ms = health.trial_due_ms
            if server.body.failure_domain != self._failure_domain:
                due_ms += REMOTE_TRIAL_DELAY_MS
            return now_ms >= due_ms
        if criteria.has_idempotent_traffic:
            return False
        # The delay is scaled by the pause, which grows with each failed trial.
        pause_ratio = health.trial_pause_ms / TRIAL_FIRST_MS
        if health.good_streak:
            return now_ms >= health.trial_due_ms
        wait_ms = FLOOR_TRIAL_MS if is_below_floor else NON_IDEMPOTENT_TRIAL_MS
        return now_ms >= health.trial_due_ms + wait_ms * pause_ratio

    def _cheapest(
        self, servers: list[Server], criteria: PlacementCriteria, now_ms: float
    ) -> Server:
        local = [s for s in servers if s.body.failure_domain == self._failure_domain]
        remote = [s for s in servers if s.body.failure_domain != self._failure_domain]
        candidates = [*self._sample(local), *self._sample(remote)]
        return min(
            candidates, key=lambda server: self._cost_ms(server, criteria, now_ms)
        )

    def _sample(self, servers: list[Server]) -> list[Server]:
        """Return a random sample of servers.

        Choices of other instances in the last milliseconds are not known yet, so the
        server that all see as the best would be overloaded.
        """
        return self._random.sample(servers, min(SAMPLE_COUNT, len(servers)))

    def _cost_ms(
        self, server: Server, criteria: PlacementCriteria, now_ms: float
    ) -> float:
        """Return the expected duration of an attempt plus penalties, in ms."""
        slots = server.body.slots
        unseen_ms = now_ms - server.health.last_accepted_ms
        mean_weight = 0.5 ** (max(0.0, unseen_ms) / MEAN_HALF_LIFE_MS)
        ratio = 1 + (self._load.latency_ratio(server) - 1) * mean_weight
        work_ms = criteria.expected_ms * ratio
        if server.is_warming_up(now_ms):
            work_ms *= WARM_UP_FACTOR
        utilization = server.in_flight_count / slots
        cost_ms = work_ms * (1 + UTILIZATION_COST_RATIO * utilization)
        queued = max(0, server.in_flight_count + 1 - slots)
        cost_ms += work_ms * queued / slots
        stale_ms = min(STALE_LIMIT_MS, unseen_ms)
        if criteria.is_retryable:
            cost_ms -= stale_ms * STALE_BONUS_RATIO
        elif self._is_refresh_due(server, unseen_ms):
            cost_ms -= REFRESH_BONUS_MS
        else:
            cost_ms += stale_ms * STALE_COST_RATIO
        if server.body.failure_domain != self._failure_domain:
            size_kb = (criteria.body_bytes + criteria.download_bytes) / BYTES_PER_KB
            cost_ms += REMOTE_COST_MS + size_kb * REMOTE_COST_MS_PER_KB
        return cost_ms

    def _is_refresh_due(self, server: Server, unseen_ms: float) -> bool:
        due_ms = REFRESH_MS
        if server.body.failure_domain != self._failure_domain:
            due_ms += REMOTE_REFRESH_DELAY_MS
        return server.in_flight_count == 0 and due_ms <= unseen_ms < float("inf")


def _servers_with_queue_room(
    servers: list[Server], criteria: PlacementCriteria
) -> list[Server]:
    """Return the servers that may queue a request of this rank, full or not."""
    ratio = QUEUE_RATIOS[max(0, min(criteria.rank, len(QUEUE_RATIOS) - 1))]
    return [
        server
        for server in servers
        if server.in_flight_count < server.body.slots * (1 + ratio)
        and server.limit is None
    ]


def _may_ask(server: Server, criteria: PlacementCriteria, now_ms: float) -> bool:
    return server.limit is None or server.limit.may_ask(
        now_ms, criteria.max_wait_ms, is_urgent=criteria.is_urgent
    )


def _unchecked_server(trusted: list[Server], now_ms: float) -> Server | None:
    """Return an idle server whose limit no response has confirmed lately, if any."""
    return next(
        (
            server
            for server in trusted
            if server.limit is not None
            and server.limit.is_check_due(now_ms)
            and server.in_flight_count == 0
        ),
        None,
    )
