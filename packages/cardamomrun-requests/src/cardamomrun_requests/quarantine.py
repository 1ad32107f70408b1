"""Quarantine of requests that crash backend servers.

Bound on deaths: a request that crashes each server that runs it kills at most 2 servers
plus those that run it at the moment the second death is decided here or its record
arrives at another instance. Since all instances use `turn`, these are the first burst
(attempts that began before the first death was decided) and at most one attempt per
instance after it: a request whose fingerprint has a death under decision waits for the
decision, and after a counted death such requests run one at a time until one is
answered.

A service with one server, or a request that always meets the same one, has no bound:
a quarantine takes deaths of 2 different servers.

`docs/design.md`, section 4.6, gives the rule by which a death counts.
"""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from enum import StrEnum

from cardamomrun_base.clock import MS_PER_S, Clock
from cardamomrun_base.interfaces import Attempt, Backends, Fleet
from cardamomrun_base.logs import PartLog
from cardamomrun_base.model import (
    BackendBody,
    BackendPhase,
    CrashBody,
    EnvironmentId,
    Kind,
    Record,
    ServerId,
    backend_key,
)
from cardamomrun_base.settings import NodeSettings
from cardamomrun_requests import metrics

__all__ = ["ConnectResult", "CrashQuarantine"]

MIN_CRASHED_SERVER_COUNT = 2
CRASH_RETENTION_MS = 600_000
QUARANTINE_MS = 600_000

# Deaths that happen this close together have a common cause if they are a quarter of
# the service or more.
MASS_RESTART_WINDOW_MS = 5_000
MASS_RESTART_DIVISOR = 4

# A crashing process closes its connections before its listener, and may dump core in
# between.
CONFIRM_TIMEOUT_MS = 500
CONFIRM_PAUSE_MS = 25
CONNECT_TIMEOUT_MS = 200

# Longer than a decision takes, so that a decision is missed only when the loop stalls.
DECISION_TIMEOUT_MS = 1_000
PERMIT_TIMEOUT_MS = 2_000

MAX_FINGERPRINT_COUNT = 4_096

_log = PartLog("upstream")


class ConnectResult(StrEnum):
    """How an attempt to connect ended."""

    OPEN = "open"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"


async def _connect(address: str) -> ConnectResult:
    host, _, port = address.rpartition(":")
    try:
        _, writer = await asyncio.wait_for(
            asyncio.open_connection(host.strip("[]"), int(port)),
            CONNECT_TIMEOUT_MS / MS_PER_S,
        )
    except ConnectionRefusedError:
        return ConnectResult.REFUSED
    except OSError:
        return ConnectResult.UNREACHABLE
    writer.close()
    with suppress(OSError):
        await writer.wait_closed()
    return ConnectResult.OPEN


@dataclass(frozen=True)
class _Crash:
    """One run of a server that ended, at the time this instance learnt of it."""

    server_id: ServerId
    incarnation: int
    time_ms: float


@dataclass
class _Suspect:
    """Deaths charged to one fingerprint.

    `deciding` counts decisions under way. `alone` is set from a counted death until an
    attempt ends without one.
    """

    environment: EnvironmentId
    is_serialized: bool = False
    crashes: list[_Crash] = field(default_factory=list)
    pending_decision_count: int = 0
    no_decision_pending: asyncio.Event = field(default_factory=asyncio.Event)
    attempt_lock: asyncio.Lock = field(default_factory=asyncio.Lock)


class CrashQuarantine:
    """Implements `cardamomrun_base.interfaces.Quarantine` on crash records.

    The front holds a `turn` for each attempt, which waits for decisions under way and
    keeps suspects apart. `connect` opens a fresh connection to `host:port`; tests
    replace it.
    """

    def __init__(
        self,
        settings: NodeSettings,
        clock: Clock,
        fleet: Fleet,
        backends: Backends,
        *,
        connect: Callable[[str], Awaitable[ConnectResult]] = _connect,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._fleet = fleet
        self._backends = backends
        self._connect = connect
        self._suspects: dict[str, _Suspect] = {}
        self._service_crashes: dict[EnvironmentId, dict[ServerId, _Crash]] = {}
        self._known_backends: dict[str, BackendBody] = {}
        for record in fleet.store.all(Kind.BACKEND):
            self._known_backends[record.key] = record.content
        fleet.store.subscribe(Kind.BACKEND, self._on_backend_record)
        for record in fleet.store.all(Kind.CRASH):
            self._on_crash_record(record)
        fleet.store.subscribe(Kind.CRASH, self._on_crash_record)
        metrics.QUARANTINED.set_function(self.quarantined_count)

    def quarantined_count(self) -> int:
        """Return the number of fingerprints that must not run now."""
        now_ms = self._clock.now_ms()
        suspects = list(self._suspects.values())
        return sum(now_ms < self._quarantined_until_ms(one) for one in suspects)

    def is_quarantined(self, environment: EnvironmentId, fingerprint: str) -> bool:
        """Return True if requests with this fingerprint must not run now."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or suspect.environment != environment:
            return False
        return self._clock.now_ms() < self._quarantined_until_ms(suspect)

    async def wait_decided(self, fingerprint: str) -> None:
        """Wait, at most `DECISION_WAIT_MS`, while a death is being decided."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.pending_decision_count:
            return
        with suppress(TimeoutError):
            await asyncio.wait_for(
                suspect.no_decision_pending.wait(), DECISION_TIMEOUT_MS / MS_PER_S
            )

    @asynccontextmanager
    async def turn(
        self, environment: EnvironmentId, fingerprint: str
    ) -> AsyncIterator[bool]:
        """Hold one attempt of a request; the value is False if it must not run.

        Costs one dictionary look-up for a fingerprint without deaths. After a counted
        death, attempts with the fingerprint run one after the other until one is
        answered; each waits at most `TURN_MS` and is refused then. The client leaves
        the context after `connection_died` or the end of the response head, and by an
        exception if no response head came.
        """
        await self.wait_decided(fingerprint)
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.crashes:
            yield True
            return
        if not suspect.is_serialized:
            yield not self.is_quarantined(environment, fingerprint)
            return
        try:
            await asyncio.wait_for(
                suspect.attempt_lock.acquire(), PERMIT_TIMEOUT_MS / MS_PER_S
            )
        except TimeoutError:
            yield False
            return
        # The attempt before may have left while its death was still being decided.
        await self.wait_decided(fingerprint)
        if not suspect.is_serialized:
            suspect.attempt_lock.release()
            yield not self.is_quarantined(environment, fingerprint)
            return
        try:
            death_count = len(suspect.crashes)
            may_run = not self.is_quarantined(environment, fingerprint)
            yield may_run
            if may_run and len(suspect.crashes) == death_count:
                suspect.is_serialized = False
        finally:
            suspect.attempt_lock.release()

    async def connection_died(self, attempt: Attempt, fingerprint: str) -> bool:
        """Find out whether the server died of this request; True if a death counted.

        Takes at most about `CONFIRM_MS` + `CONNECT_TIMEOUT_MS`.
        """
        suspect = self._suspect_for(attempt.environment, fingerprint)
        suspect.pending_decision_count += 1
        suspect.no_decision_pending.clear()
        try:
            if not await self._has_crashed(attempt.server):
                return False
            return self._record_crash(attempt.server, fingerprint)
        finally:
            suspect.pending_decision_count -= 1
            if not suspect.pending_decision_count:
                suspect.no_decision_pending.set()
            self._remove_if_clear(fingerprint)

    async def _has_crashed(self, server: BackendBody) -> bool:
        end_ms = self._clock.now_ms() + CONFIRM_TIMEOUT_MS
        while True:
            announced = self._current_body(server)
            if announced is not None:
                if announced.incarnation > server.incarnation:
                    return True
                if announced.phase is BackendPhase.DRAINING:
                    # A planned stop closes connections and listener too.
                    return False
            # A connection that cannot be had in time proves nothing: the machine may be
            # busy with the end of the process.
            if await self._connect(server.address) is ConnectResult.REFUSED:
                return True
            if self._clock.now_ms() >= end_ms:
                return False
            await self._clock.sleep_ms(CONFIRM_PAUSE_MS)

    def _current_body(self, server: BackendBody) -> BackendBody | None:
        key = backend_key(server.environment, server.server_id)
        record = self._fleet.store.get(Kind.BACKEND, key)
        return None if record is None else record.content

    def _record_crash(self, server: BackendBody, fingerprint: str) -> bool:
        """Note a confirmed death; publish it if it counts."""
        death = _Crash(server.server_id, server.incarnation, self._clock.now_ms())
        suspect = self._suspect_for(server.environment, fingerprint)
        counts = not self._is_mass_restart(suspect, death)
        if counts:
            self._publish(server, fingerprint)
        # After the charge, so that it is not taken as a death of another cause.
        self._add_service_crash(server.environment, death)
        return counts

    def _publish(self, server: BackendBody, fingerprint: str) -> None:
        body = CrashBody(
            environment=server.environment,
            fingerprint=fingerprint,
            server_id=server.server_id,
            server_incarnation=server.incarnation,
            observer_id=self._fleet.instance_id,
        )
        record = Record.of(
            Kind.CRASH,
            f"{fingerprint}/{server.server_id}",
            self._fleet.instance_id,
            (server.incarnation, self._clock.wall_ms()),
            body,
            lifetime_ms=CRASH_RETENTION_MS,
        )
        self._fleet.store.put(record)
        self._add_crash(body)
        _log.warning(
            "a server died while it ran a request",
            environment=server.environment,
            server_id=server.server_id,
            fingerprint=fingerprint,
        )

    def _on_crash_record(self, record: Record) -> None:
        self._add_crash(record.content)

    def _add_crash(self, body: CrashBody) -> None:
        now_ms = self._clock.now_ms()
        suspect = self._suspect_for(body.environment, body.fingerprint)
        run = (body.server_id, body.server_incarnation)
        if run in [(death.server_id, death.incarnation) for death in suspect.crashes]:
            return
        death = _Crash(*run, now_ms)
        if self._is_mass_restart(suspect, death):
            return
        kept_ms = CRASH_RETENTION_MS + QUARANTINE_MS
        suspect.crashes = [
            one for one in suspect.crashes if now_ms - one.time_ms < kept_ms
        ]
        suspect.crashes.append(death)
        suspect.is_serialized = True

    def _on_backend_record(self, record: Record) -> None:
        """Note deaths that other instances or the registrar found."""
        body: BackendBody = record.content
        before = self._known_backends.pop(record.key, None)
        ended = body.phase is BackendPhase.GONE
        if not ended:
            self._known_backends[record.key] = body
        if before is None or before.phase is BackendPhase.DRAINING:
            return
        if ended or body.incarnation > before.incarnation:
            death = _Crash(body.server_id, before.incarnation, self._clock.now_ms())
            self._add_service_crash(body.environment, death)

    def _add_service_crash(self, environment: EnvironmentId, death: _Crash) -> None:
        deaths = self._service_crashes.setdefault(environment, {})
        # The end of one run is often seen twice: by its connection and by a record.
        known = deaths.get(death.server_id)
        if known is not None and known.incarnation >= death.incarnation:
            return
        deaths[death.server_id] = death
        self._service_crashes[environment] = {
            server_id: one
            for server_id, one in deaths.items()
            if death.time_ms - one.time_ms <= MASS_RESTART_WINDOW_MS
        }
        self._withdraw_mass_restart(environment)

    def _withdraw_mass_restart(self, environment: EnvironmentId) -> None:
        """Forget charged deaths that a mass restart explains.

        A mass restart often shows only after its first death was charged.
        """
        recent_ms = self._clock.now_ms() - MASS_RESTART_WINDOW_MS
        for suspect in self._suspects.values():
            if suspect.environment == environment:
                suspect.crashes = [
                    death
                    for death in suspect.crashes
                    if death.time_ms < recent_ms
                    or not self._is_mass_restart(suspect, death)
                ]

    def _is_mass_restart(self, suspect: _Suspect, death: _Crash) -> bool:
        """Return True if too much of the service died around this death.

        Servers that died of the same fingerprint are left out: in a service of 6, two
        quick crashes would otherwise excuse each other and none would ever count.
        """
        service_deaths = self._service_crashes.get(suspect.environment, {})
        own = {one.server_id for one in suspect.crashes} | {death.server_id}
        others = [
            one
            for one in service_deaths.values()
            if one.server_id not in own
            and abs(one.time_ms - death.time_ms) <= MASS_RESTART_WINDOW_MS
        ]
        if not others:
            return False
        return (len(others) + 1) * MASS_RESTART_DIVISOR >= self._server_count(
            suspect.environment
        )

    def _server_count(self, environment: EnvironmentId) -> int:
        view = self._backends.view(environment)
        return len(
            {
                *view.healthy,
                *view.ejected,
                *view.avoided,
                *view.starting,
                *self._service_crashes.get(environment, ()),
            }
        )

    def _quarantined_until_ms(self, suspect: _Suspect) -> float:
        until_ms = float("-inf")
        for death in suspect.crashes:
            servers = {
                one.server_id
                for one in suspect.crashes
                if 0 <= death.time_ms - one.time_ms < CRASH_RETENTION_MS
            }
            if len(servers) >= MIN_CRASHED_SERVER_COUNT:
                until_ms = max(until_ms, death.time_ms + QUARANTINE_MS)
        return until_ms

    def _suspect_for(self, environment: EnvironmentId, fingerprint: str) -> _Suspect:
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            if len(self._suspects) >= MAX_FINGERPRINT_COUNT:
                del self._suspects[next(iter(self._suspects))]
            suspect = self._suspects[fingerprint] = _Suspect(environment)
        return suspect

    def _remove_if_clear(self, fingerprint: str) -> None:
        suspect = self._suspects.get(fingerprint)
        if suspect and not suspect.crashes and not suspect.pending_decision_count:
            del self._suspects[fingerprint]
