"""Backend servers that this instance knows from the replicated records."""

from dataclasses import dataclass
from enum import Enum

from cardamomrun_base.clock import Clock
from cardamomrun_base.interfaces import Fleet
from cardamomrun_base.model import (
    BackendBody,
    BackendPhase,
    EnvironmentId,
    InstanceId,
    Record,
    RecordKind,
    ServerId,
)

__all__ = ["GONE_LIFETIME_MS", "KnownServers", "EnvironmentServers"]

# Records of gone servers are kept while an old copy may still be replicated.
GONE_LIFETIME_MS = 600_000
# Time for a server whose registrar failed to renew at another instance.
REGISTRAR_GRACE_MS = 3_000
# Membership changes within seconds, so it is not read for each request. A new record of
# a server has effect at once.
VIEW_CACHE_MS = 200


class _Status(Enum):
    SERVING = "serving"
    STARTING = "starting"
    DRAINING = "draining"
    LOST = "lost"
    LEFT = "left"


@dataclass(frozen=True)
class EnvironmentServers:
    """Servers of one environment by state; `lost` ones vanished without leaving."""

    serving: dict[ServerId, BackendBody]
    starting: dict[ServerId, BackendBody]
    draining: dict[ServerId, BackendBody]
    lost: dict[ServerId, BackendBody]

    @property
    def announced_count(self) -> int:
        """Number of servers to which the floor's ratio applies."""
        groups = (self.serving, self.starting, self.draining, self.lost)
        return sum(len(group) for group in groups)


@dataclass
class _KnownServer:
    body: BackendBody
    version: tuple[int, int]
    received_ms: float
    serving_since_ms: float


class KnownServers:
    """The records of backend servers, grouped by environment.

    A server is lost if it was published as gone without having left, or if its registrar
    has not been a member of the fleet for `REGISTRAR_GRACE_MS`.
    """

    def __init__(self, clock: Clock, fleet: Fleet) -> None:
        self._clock = clock
        self._fleet = fleet
        self._by_environment: dict[EnvironmentId, dict[ServerId, _KnownServer]] = {}
        self._cached_views: dict[EnvironmentId, tuple[float, EnvironmentServers]] = {}
        self._registrar_absent_since_ms: dict[InstanceId, float] = {}
        self._member_ids: frozenset[InstanceId] = frozenset()
        self._members_read_ms: float | None = None
        fleet.store.subscribe(RecordKind.BACKEND, self._on_record)
        for record in fleet.store.all(RecordKind.BACKEND):
            self._on_record(record)

    def environments(self) -> list[EnvironmentId]:
        """Return the environments that have servers."""
        return list(self._by_environment)

    def in_environment(self, environment: EnvironmentId) -> EnvironmentServers:
        """Return the servers of an environment by state; callers must not change it."""
        now_ms = self._clock.now_ms()
        cached = self._cached_views.get(environment)
        if cached is not None and now_ms - cached[0] < VIEW_CACHE_MS:
            return cached[1]
        view = self._group_by_status(environment)
        self._cached_views[environment] = (now_ms, view)
        return view

    def _group_by_status(self, environment: EnvironmentId) -> EnvironmentServers:
        groups: dict[_Status, dict[ServerId, BackendBody]] = {s: {} for s in _Status}
        known_servers = self._by_environment.get(environment, {})
        self._drop_expired(known_servers)
        for server_id, known in known_servers.items():
            groups[self._status(known)][server_id] = known.body
        return EnvironmentServers(
            serving=groups[_Status.SERVING],
            starting=groups[_Status.STARTING],
            draining=groups[_Status.DRAINING],
            lost=groups[_Status.LOST],
        )

    def is_current(self, server: BackendBody) -> bool:
        """Return False once the server drains, is gone, or has a newer incarnation."""
        known = self._find(server.environment, server.server_id)
        if known is None or known.body.incarnation != server.incarnation:
            return False
        return self._status(known) in (_Status.SERVING, _Status.STARTING)

    def serving_since_ms(
        self, environment: EnvironmentId, server_id: ServerId
    ) -> float:
        """Return when this instance first saw the server serving; now if it is unknown."""
        known = self._find(environment, server_id)
        return self._clock.now_ms() if known is None else known.serving_since_ms

    def _find(
        self, environment: EnvironmentId, server_id: ServerId
    ) -> _KnownServer | None:
        return self._by_environment.get(environment, {}).get(server_id)

    def _on_record(self, record: Record) -> None:
        body: BackendBody = record.content
        servers = self._by_environment.setdefault(body.environment, {})
        before = servers.get(body.server_id)
        if before is not None and before.version > record.version:
            return
        now_ms = self._clock.now_ms()
        serving_since_ms = now_ms
        if before is not None and _keeps_serving(before.body, body):
            serving_since_ms = before.serving_since_ms
        known = _KnownServer(body, record.version, now_ms, serving_since_ms)
        servers[body.server_id] = known
        self._cached_views.pop(body.environment, None)

    def _drop_expired(self, servers: dict[ServerId, _KnownServer]) -> None:
        limit_ms = self._clock.now_ms() - GONE_LIFETIME_MS
        expired = [
            server_id
            for server_id, known in servers.items()
            if known.body.phase is BackendPhase.GONE and known.received_ms < limit_ms
        ]
        for server_id in expired:
            del servers[server_id]

    def _status(self, known: _KnownServer) -> _Status:
        phase = known.body.phase
        if phase is BackendPhase.GONE:
            return _Status.LEFT if known.body.slots == 0 else _Status.LOST
        if self._registrar_failed(known.body.registrar_id):
            return _Status.LOST
        return _Status(phase.value)

    def _registrar_failed(self, registrar_id: InstanceId) -> bool:
        self._refresh_members()
        if registrar_id in self._member_ids:
            return False
        now_ms = self._clock.now_ms()
        since_ms = self._registrar_absent_since_ms.setdefault(registrar_id, now_ms)
        return now_ms - since_ms >= REGISTRAR_GRACE_MS

    def _refresh_members(self) -> None:
        now_ms = self._clock.now_ms()
        read_ms = self._members_read_ms
        if read_ms is not None and now_ms - read_ms < VIEW_CACHE_MS:
            return
        self._members_read_ms = now_ms
        ids = {member.instance_id for member in self._fleet.members()}
        self._member_ids = frozenset(ids | {self._fleet.instance_id})
        for instance_id in self._member_ids:
            self._registrar_absent_since_ms.pop(instance_id, None)


def _keeps_serving(before: BackendBody, body: BackendBody) -> bool:
    same_run = before.incarnation == body.incarnation
    return same_run and before.phase is body.phase is BackendPhase.SERVING
