"""Selection of the backend server for each attempt on the request path."""

import random
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from cardamomrun_backends.evidence import EvidenceBuffer
from cardamomrun_backends.floor import (
    allowed_removals,
    avoidance_allowance,
    floor_count,
)
from cardamomrun_backends.grants import Grants
from cardamomrun_backends.metrics import EjectionMetrics
from cardamomrun_backends.recent_failures import RecentFailures
from cardamomrun_backends.selection import choose_subset, max_subset_size
from cardamomrun_backends.server_state import ServerState
from cardamomrun_backends.servers import EnvironmentServers, KnownServers
from cardamomrun_base.clock import Clock
from cardamomrun_base.documents import EnvironmentDocument
from cardamomrun_base.interfaces import (
    Attempt,
    AttemptResult,
    Environments,
    Fleet,
    ServiceView,
)
from cardamomrun_base.logs import ComponentLog
from cardamomrun_base.model import (
    BackendBody,
    EnvironmentId,
    InstanceId,
    MemberPhase,
    ServerId,
)
from cardamomrun_base.settings import NodeSettings, Role

__all__ = ["LiveBackends"]

# The members of the fleet are read again after this time. At the target scale they
# change about every 90 s, and a subset takes milliseconds to compute; recomputing it at
# each change would use up the CPU budget for control work. A subset computed from
# earlier members is only slightly out of balance.
MEMBERS_CACHE_MS = 60_000

FAILURE_RESULTS = (AttemptResult.FAILED, AttemptResult.UNREACHABLE)

_log = ComponentLog("backends")


@dataclass(frozen=True)
class _Availability:
    """Servers of an environment after the ejections and avoidance that the floor allows."""

    servers: EnvironmentServers
    healthy: dict[ServerId, BackendBody]
    ejected: tuple[ServerId, ...]
    avoided: tuple[ServerId, ...]
    min_healthy_count: int


@dataclass(frozen=True)
class _EjectionState:
    """Servers that are ejected and those on probation."""

    ejected: tuple[ServerId, ...] = ()
    probation: tuple[ServerId, ...] = ()


@dataclass(frozen=True)
class _CachedSubset:
    """A subset with the inputs from which it was computed."""

    members_read_ms: float
    inputs: tuple[object, ...]
    instance_ids: tuple[InstanceId, ...]
    server_ids: frozenset[ServerId]


class LiveBackends:
    """Implements `cardamomrun_base.interfaces.Backends` from the replicated records.

    Ejections and avoidance are honoured only as long as this instance still sees at
    least the floor of healthy servers (P1).
    """

    def __init__(
        self,
        settings: NodeSettings,
        clock: Clock,
        fleet: Fleet,
        environments: Environments,
        randomness: random.Random | None = None,
    ) -> None:
        self.evidence = EvidenceBuffer()
        self._settings = settings
        self._clock = clock
        self._fleet = fleet
        self._environments = environments
        self._random = randomness or random.Random()
        self._known_servers = KnownServers(clock, fleet)
        self._grants = Grants(clock, fleet.store)
        self._ejection_metrics = EjectionMetrics()
        self._states: dict[tuple[EnvironmentId, ServerId], ServerState] = {}
        self._subsets: dict[EnvironmentId, _CachedSubset] = {}
        self._ejection_states: dict[EnvironmentId, _EjectionState] = {}
        self._recent_failures: dict[EnvironmentId, RecentFailures] = {}

    def choose(
        self, environment: EnvironmentId, *, exclude: frozenset[ServerId] = frozenset()
    ) -> BackendBody | None:
        """Return a server for one attempt, or None if there is none.

        Servers outside the subset are used only when the subset has no healthy server,
        and avoided or ejected ones only when there is no healthy server at all.
        """
        document = self._document(environment)
        if document is None:
            return None
        availability = self._availability(environment, document)
        now_ms = self._clock.now_ms()
        for tier in self._tiers(environment, document, availability, now_ms):
            candidates = [s for s in tier if s.server_id not in exclude]
            if candidates:
                return self._choose_less_loaded(candidates, now_ms)
        return None

    def started(self, server: BackendBody) -> Attempt:
        """Count a request in flight; end it with `finished`."""
        state = self._state(server)
        if state.incarnation == server.incarnation:
            state.in_flight_count += 1
        return Attempt(server.environment, server, self._clock.now_ms())

    def finished(
        self,
        attempt: Attempt,
        result: AttemptResult,
        *,
        retry_after_s: int | None = None,
    ) -> None:
        """Record how an attempt ended; `retry_after_s` goes with `SHED`."""
        server = attempt.server
        state = self._states.get((server.environment, server.server_id))
        if state is None or state.incarnation != server.incarnation:
            # The server restarted; results of an earlier run are no evidence now.
            return
        state.in_flight_count -= 1
        now_ms = self._clock.now_ms()
        self._ejection_metrics.record_attempt(server, result, now_ms)
        if result is AttemptResult.SHED:
            state.record_shed(now_ms, retry_after_s)
            return
        self.evidence.add(server.environment, server.server_id, result)
        avoided_before = state.should_avoid(now_ms)
        others_fail = self._record_outcome(server, result, now_ms)
        state.record(now_ms, attempt.started_ms, result, others_fail=others_fail)
        if state.should_avoid(now_ms) and not avoided_before:
            self._log_avoidance(server, state.avoided_until_ms - now_ms)

    def _record_outcome(
        self, server: BackendBody, result: AttemptResult, now_ms: float
    ) -> bool:
        """Count a result; return True if it is a failure and the other servers fail too."""
        recent = self._recent_failures.setdefault(server.environment, RecentFailures())
        if result is not AttemptResult.NO_EVIDENCE:
            recent.add(now_ms, server.server_id, result in FAILURE_RESULTS)
        return result in FAILURE_RESULTS and recent.others_fail(
            now_ms, server.server_id
        )

    def is_current(self, server: BackendBody) -> bool:
        """Return False once the server drains, is gone, or has a newer incarnation."""
        return self._known_servers.is_current(server)

    def view(self, environment: EnvironmentId) -> ServiceView:
        """Return the state of all backend servers of an environment."""
        availability = self._availability(environment, self._document(environment))
        return ServiceView(
            environment=environment,
            healthy=tuple(availability.healthy),
            ejected=availability.ejected,
            avoided=availability.avoided,
            draining=tuple(availability.servers.draining),
            starting=tuple(availability.servers.starting),
            floor_count=availability.min_healthy_count,
        )

    def _document(self, environment: EnvironmentId) -> EnvironmentDocument | None:
        found = self._environments.get(environment)
        return None if found is None else found.document

    def _availability(
        self, environment: EnvironmentId, document: EnvironmentDocument | None
    ) -> _Availability:
        servers = self._known_servers.in_environment(environment)
        announced = servers.announced_count
        # Without a document the floor is unknown, so no server may be removed.
        floor = (
            announced if document is None else floor_count(document.floor, announced)
        )
        healthy = dict(servers.serving)
        wanted = tuple(n for n in self._grants.ejected(environment) if n in healthy)
        ejected = allowed_removals(wanted, set(healthy), floor)
        self._ejection_metrics.record_ejections(
            environment, wanted, ejected, self._clock.now_ms()
        )
        self._restart_slow_starts(environment, ejected, servers)
        for server_id in ejected:
            del healthy[server_id]
        avoided = self._avoided(environment, document, servers, healthy, floor)
        for server_id in avoided:
            del healthy[server_id]
        return _Availability(servers, healthy, ejected, avoided, floor)

    def _avoided(
        self,
        environment: EnvironmentId,
        document: EnvironmentDocument | None,
        servers: EnvironmentServers,
        healthy: dict[ServerId, BackendBody],
        floor: int,
    ) -> tuple[ServerId, ...]:
        wanted = self._avoidance_candidates(healthy)
        if not wanted or document is None:
            return ()
        chosen = self._subset(environment, document, servers)
        used_count = sum(name in chosen for name in healthy)
        allowance = avoidance_allowance(len(healthy), floor, used_count)
        # Servers outside the subset get no requests anyway and use up no allowance.
        return tuple([name for name in wanted if name in chosen][:allowance])

    def _avoidance_candidates(
        self, healthy: dict[ServerId, BackendBody]
    ) -> list[ServerId]:
        now_ms = self._clock.now_ms()
        states = {name: self._state(server) for name, server in healthy.items()}
        names = [name for name in states if states[name].should_avoid(now_ms)]
        return sorted(names, key=lambda name: (states[name].avoided_since_ms, name))

    def _restart_slow_starts(
        self,
        environment: EnvironmentId,
        ejected: tuple[ServerId, ...],
        servers: EnvironmentServers,
    ) -> None:
        """Begin slow start for servers that returned since the last call."""
        before = self._ejection_states.get(environment, _EjectionState())
        current = _EjectionState(ejected, self._grants.probation(environment))
        if before == current:
            return
        self._ejection_states[environment] = current
        returned = set(before.ejected) - set(current.ejected)
        for server_id in returned | (set(current.probation) - set(before.probation)):
            if server_id in servers.serving:
                state = self._state(servers.serving[server_id])
                state.restart_slow_start(self._clock.now_ms())

    def _state(self, server: BackendBody) -> ServerState:
        key = (server.environment, server.server_id)
        state = self._states.get(key)
        if state is None or state.incarnation < server.incarnation:
            state = ServerState(server.incarnation)
            state.restart_slow_start(self._known_servers.serving_since_ms(*key))
            self._states[key] = state
        return state

    def _tiers(
        self,
        environment: EnvironmentId,
        document: EnvironmentDocument,
        availability: _Availability,
        now_ms: float,
    ) -> Iterator[list[BackendBody]]:
        """Yield groups of servers, the most preferred first."""
        chosen = self._subset(environment, document, availability.servers)
        healthy = list(availability.healthy.values())
        not_shedding = [s for s in healthy if not self._state(s).is_shedding(now_ms)]
        serving = availability.servers.serving
        yield [server for server in not_shedding if server.server_id in chosen]
        yield not_shedding
        yield [server for server in healthy if server.server_id in chosen]
        yield healthy
        yield [serving[name] for name in availability.avoided]
        yield [serving[name] for name in availability.ejected]
        yield list(availability.servers.starting.values())

    def _subset(
        self,
        environment: EnvironmentId,
        document: EnvironmentDocument,
        servers: EnvironmentServers,
    ) -> frozenset[ServerId]:
        """Return the servers that this instance uses, computed again after changes.

        Ejected servers stay in the subset, so that an ejection does not move connections
        to other servers.
        """
        now_ms = self._clock.now_ms()
        cached = self._subsets.get(environment)
        inputs = (tuple(servers.serving), document.limits)
        same = cached is not None and cached.inputs == inputs
        if (
            cached is not None
            and same
            and now_ms - cached.members_read_ms < MEMBERS_CACHE_MS
        ):
            return cached.server_ids
        instance_ids = self._entry_instance_ids()
        if cached is not None and same and cached.instance_ids == instance_ids:
            server_ids = cached.server_ids
        else:
            server_ids = self._compute_subset(document, servers, instance_ids)
        self._subsets[environment] = _CachedSubset(
            now_ms, inputs, instance_ids, server_ids
        )
        return server_ids

    def _compute_subset(
        self,
        document: EnvironmentDocument,
        servers: EnvironmentServers,
        instance_ids: tuple[InstanceId, ...],
    ) -> frozenset[ServerId]:
        self._drop_gone_servers(servers)
        limits = document.limits
        serving = list(servers.serving.values())
        bound = max_subset_size(
            serving, len(instance_ids), limits.connections_per_server_count
        )
        count = min(limits.subset_count, bound)
        return choose_subset(self._settings.instance_id, instance_ids, serving, count)

    def _drop_gone_servers(self, servers: EnvironmentServers) -> None:
        """Drop the state of gone servers without requests in flight on this instance."""
        known = {**servers.serving, **servers.starting, **servers.draining}
        environments = {server.environment for server in known.values()}
        dropped = [
            key
            for key, state in self._states.items()
            if key[0] in environments
            and key[1] not in known
            and state.in_flight_count == 0
        ]
        for key in dropped:
            del self._states[key]
            self._ejection_metrics.forget(*key)
            if key[0] in self._recent_failures:
                self._recent_failures[key[0]].forget(key[1])

    def _entry_instance_ids(self) -> tuple[InstanceId, ...]:
        own_id = self._settings.instance_id
        ids = {
            member.instance_id
            for member in self._fleet.members()
            if Role.ENTRY in member.roles and member.phase is MemberPhase.SERVING
        }
        return tuple(sorted(ids | {own_id}))

    def _choose_less_loaded(
        self, candidates: Sequence[BackendBody], now_ms: float
    ) -> BackendBody:
        """Return the less loaded of two weighted random choices, on a tie the local one."""
        weights = [self._state(server).weight(now_ms) for server in candidates]
        first, second = self._random.choices(candidates, weights, k=2)
        if self._load_order(second, now_ms) < self._load_order(first, now_ms):
            return second
        return first

    def _load_order(self, server: BackendBody, now_ms: float) -> tuple[float, bool]:
        remote = server.failure_domain != self._settings.failure_domain
        return self._state(server).load(now_ms), remote

    def _log_avoidance(self, server: BackendBody, duration_ms: float) -> None:
        _log.warning(
            f"{server.environment}/{server.server_id} fails repeatedly here; "
            f"no new work for up to {duration_ms:.0f} ms"
        )
