"""The request path's knowledge of backend servers: which one takes the next attempt."""

import random
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from cardamomrun_backends.evidence import Evidence
from cardamomrun_backends.floor import (
    allowed_removals,
    avoidance_allowance,
    floor_count,
)
from cardamomrun_backends.grants import Grants
from cardamomrun_backends.metrics import EjectionCounts
from cardamomrun_backends.recent_failures import RecentFailures
from cardamomrun_backends.selection import connection_bound, subset
from cardamomrun_backends.server_state import ServerState
from cardamomrun_backends.servers import KnownServers, ServiceServers
from cardamomrun_base.clock import Clock
from cardamomrun_base.documents import EnvironmentDocument
from cardamomrun_base.interfaces import (
    Attempt,
    AttemptResult,
    Environments,
    Fleet,
    ServiceView,
)
from cardamomrun_base.logs import PartLog
from cardamomrun_base.model import (
    BackendBody,
    EnvironmentId,
    InstanceId,
    MemberPhase,
    ServerId,
)
from cardamomrun_base.settings import NodeSettings, Role

__all__ = ["LiveBackends"]

# At the target scale the members change about once in 90 s, and a subset takes
# milliseconds of computing. Following each change would spend the budget for control
# work; a subset of earlier members is only slightly out of balance.
MEMBERS_SETTLE_MS = 60_000

FAILURES = (AttemptResult.FAILED, AttemptResult.UNREACHABLE)

_log = PartLog("backends")


@dataclass(frozen=True)
class _Standing:
    """The servers of an environment after ejections and avoidance within the floor."""

    servers: ServiceServers
    healthy: dict[ServerId, BackendBody]
    ejected: tuple[ServerId, ...]
    avoided: tuple[ServerId, ...]
    floor_servers: int


@dataclass(frozen=True)
class _Granted:
    ejected: tuple[ServerId, ...] = ()
    probation: tuple[ServerId, ...] = ()


@dataclass(frozen=True)
class _Subset:
    read_ms: float
    inputs: tuple[object, ...]
    instance_ids: tuple[InstanceId, ...]
    server_ids: frozenset[ServerId]


class LiveBackends:
    """Implements `cardamomrun_base.interfaces.Backends` from the replicated records.

    Ejections and avoidance are honoured only as far as this instance's own view stays
    at the floor or above (P1).
    """

    def __init__(
        self,
        settings: NodeSettings,
        clock: Clock,
        fleet: Fleet,
        environments: Environments,
        randomness: random.Random | None = None,
    ) -> None:
        self.evidence = Evidence()
        self._settings = settings
        self._clock = clock
        self._fleet = fleet
        self._environments = environments
        self._random = randomness or random.Random()
        self._known = KnownServers(clock, fleet)
        self._grants = Grants(clock, fleet.store)
        self._counts = EjectionCounts()
        self._states: dict[tuple[EnvironmentId, ServerId], ServerState] = {}
        self._subsets: dict[EnvironmentId, _Subset] = {}
        self._granted_before: dict[EnvironmentId, _Granted] = {}
        self._recent: dict[EnvironmentId, RecentFailures] = {}

    def choose(
        self, environment: EnvironmentId, *, exclude: frozenset[ServerId] = frozenset()
    ) -> BackendBody | None:
        """Return a server for one attempt, or None if none can take work.

        Servers outside the subset are used only when the subset has no healthy server,
        and avoided or ejected ones only when there is no healthy server at all.
        """
        document = self._document(environment)
        if document is None:
            return None
        standing = self._standing(environment, document)
        now_ms = self._clock.now_ms()
        for tier in self._tiers(environment, document, standing, now_ms):
            candidates = [s for s in tier if s.server_id not in exclude]
            if candidates:
                return self._less_loaded(candidates, now_ms)
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
            # Evidence about an earlier run says nothing about the present one.
            return
        state.in_flight_count -= 1
        now_ms = self._clock.now_ms()
        self._counts.attempt_ended(server, result, now_ms)
        if result is AttemptResult.SHED:
            state.record_shed(now_ms, retry_after_s)
            return
        self.evidence.add(server.environment, server.server_id, result)
        avoided_before = state.wants_avoidance(now_ms)
        others_fail = self._note_failure(server, result, now_ms)
        state.record(now_ms, attempt.started_ms, result, others_fail=others_fail)
        if state.wants_avoidance(now_ms) and not avoided_before:
            self._log_avoidance(server, state.avoided_until_ms - now_ms)

    def _note_failure(
        self, server: BackendBody, result: AttemptResult, now_ms: float
    ) -> bool:
        """Count an outcome; return True if the other servers fail as well."""
        recent = self._recent.setdefault(server.environment, RecentFailures())
        if result is not AttemptResult.NO_EVIDENCE:
            recent.add(now_ms, server.server_id, result in FAILURES)
        return result in FAILURES and recent.others_fail(now_ms, server.server_id)

    def is_current(self, server: BackendBody) -> bool:
        """Return False once the server drains, is gone, or has a newer incarnation."""
        return self._known.is_current(server)

    def view(self, environment: EnvironmentId) -> ServiceView:
        """Return the state of all backend servers of an environment."""
        standing = self._standing(environment, self._document(environment))
        return ServiceView(
            environment=environment,
            healthy=tuple(standing.healthy),
            ejected=standing.ejected,
            avoided=standing.avoided,
            draining=tuple(standing.servers.draining),
            starting=tuple(standing.servers.starting),
            floor_count=standing.floor_servers,
        )

    def _document(self, environment: EnvironmentId) -> EnvironmentDocument | None:
        found = self._environments.get(environment)
        return None if found is None else found.document

    def _standing(
        self, environment: EnvironmentId, document: EnvironmentDocument | None
    ) -> _Standing:
        servers = self._known.of(environment)
        announced = servers.announced_count
        # Without a document there is no floor to check, so nothing is removed.
        floor = (
            announced if document is None else floor_count(document.floor, announced)
        )
        healthy = dict(servers.serving)
        wanted = tuple(n for n in self._grants.ejected(environment) if n in healthy)
        ejected = allowed_removals(wanted, set(healthy), floor)
        self._counts.note(environment, wanted, ejected, self._clock.now_ms())
        self._restart_ramps(environment, ejected, servers)
        for server_id in ejected:
            del healthy[server_id]
        avoided = self._avoided(environment, document, servers, healthy, floor)
        for server_id in avoided:
            del healthy[server_id]
        return _Standing(servers, healthy, ejected, avoided, floor)

    def _avoided(
        self,
        environment: EnvironmentId,
        document: EnvironmentDocument | None,
        servers: ServiceServers,
        healthy: dict[ServerId, BackendBody],
        floor: int,
    ) -> tuple[ServerId, ...]:
        wanted = self._to_avoid(healthy)
        if not wanted or document is None:
            return ()
        chosen = self._subset(environment, document, servers)
        used_count = sum(name in chosen for name in healthy)
        allowance = avoidance_allowance(len(healthy), floor, used_count)
        # Servers outside the subset get no work from here, so they cost nothing.
        return tuple([name for name in wanted if name in chosen][:allowance])

    def _to_avoid(self, healthy: dict[ServerId, BackendBody]) -> list[ServerId]:
        now_ms = self._clock.now_ms()
        states = {name: self._state(server) for name, server in healthy.items()}
        names = [name for name in states if states[name].wants_avoidance(now_ms)]
        return sorted(names, key=lambda name: (states[name].avoided_since_ms, name))

    def _restart_ramps(
        self,
        environment: EnvironmentId,
        ejected: tuple[ServerId, ...],
        servers: ServiceServers,
    ) -> None:
        """Begin slow start for servers that returned from an ejection."""
        before = self._granted_before.get(environment, _Granted())
        now = _Granted(ejected, self._grants.probation(environment))
        if before == now:
            return
        self._granted_before[environment] = now
        returned = set(before.ejected) - set(now.ejected)
        for server_id in returned | (set(now.probation) - set(before.probation)):
            if server_id in servers.serving:
                state = self._state(servers.serving[server_id])
                state.restart_ramp(self._clock.now_ms())

    def _state(self, server: BackendBody) -> ServerState:
        key = (server.environment, server.server_id)
        state = self._states.get(key)
        if state is None or state.incarnation < server.incarnation:
            state = ServerState(server.incarnation)
            state.restart_ramp(self._known.serving_since_ms(*key))
            self._states[key] = state
        return state

    def _tiers(
        self,
        environment: EnvironmentId,
        document: EnvironmentDocument,
        standing: _Standing,
        now_ms: float,
    ) -> Iterator[list[BackendBody]]:
        """Yield groups of servers, the most suitable first."""
        chosen = self._subset(environment, document, standing.servers)
        healthy = list(standing.healthy.values())
        clear = [s for s in healthy if not self._state(s).sheds(now_ms)]
        serving = standing.servers.serving
        yield [server for server in clear if server.server_id in chosen]
        yield clear
        yield [server for server in healthy if server.server_id in chosen]
        yield healthy
        yield [serving[name] for name in standing.avoided]
        yield [serving[name] for name in standing.ejected]
        yield list(standing.servers.starting.values())

    def _subset(
        self,
        environment: EnvironmentId,
        document: EnvironmentDocument,
        servers: ServiceServers,
    ) -> frozenset[ServerId]:
        """Return this instance's servers.

        Ejected servers stay in the subset, so that an ejection moves no connections
        between the other servers.
        """
        now_ms = self._clock.now_ms()
        held = self._subsets.get(environment)
        inputs = (tuple(servers.serving), document.limits)
        same = held is not None and held.inputs == inputs
        if held is not None and same and now_ms - held.read_ms < MEMBERS_SETTLE_MS:
            return held.server_ids
        instance_ids = self._entry_ids()
        if held is not None and same and held.instance_ids == instance_ids:
            server_ids = held.server_ids
        else:
            server_ids = self._compute_subset(document, servers, instance_ids)
        self._subsets[environment] = _Subset(now_ms, inputs, instance_ids, server_ids)
        return server_ids

    def _compute_subset(
        self,
        document: EnvironmentDocument,
        servers: ServiceServers,
        instance_ids: tuple[InstanceId, ...],
    ) -> frozenset[ServerId]:
        self._drop_states(servers)
        limits = document.limits
        serving = list(servers.serving.values())
        bound = connection_bound(
            serving, len(instance_ids), limits.connections_per_server_count
        )
        count = min(limits.subset_count, bound)
        return subset(self._settings.instance_id, instance_ids, serving, count)

    def _drop_states(self, servers: ServiceServers) -> None:
        """Forget servers that are gone and have no request in flight here."""
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
            self._counts.forget(*key)
            if key[0] in self._recent:
                self._recent[key[0]].forget(key[1])

    def _entry_ids(self) -> tuple[InstanceId, ...]:
        own_id = self._settings.instance_id
        ids = {
            member.instance_id
            for member in self._fleet.members()
            if Role.ENTRY in member.roles and member.phase is MemberPhase.SERVING
        }
        return tuple(sorted(ids | {own_id}))

    def _less_loaded(
        self, candidates: Sequence[BackendBody], now_ms: float
    ) -> BackendBody:
        """Return the less loaded of two random servers, the local one on a tie."""
        weights = [self._state(server).weight(now_ms) for server in candidates]
        first, second = self._random.choices(candidates, weights, k=2)
        if self._order(second, now_ms) < self._order(first, now_ms):
            return second
        return first

    def _order(self, server: BackendBody, now_ms: float) -> tuple[float, bool]:
        remote = server.failure_domain != self._settings.failure_domain
        return self._state(server).load(now_ms), remote

    def _log_avoidance(self, server: BackendBody, duration_ms: float) -> None:
        _log.warning(
            f"{server.environment}/{server.server_id} fails repeatedly here; "
            f"no new work for up to {duration_ms:.0f} ms"
        )
