"""Quarantine of requests that crash backend servers.

Bound on crashes: a request that crashes each server that runs it crashes at most 2
servers, plus those that run it when this instance confirms the second crash or another
instance receives its record. Since all instances use `turn`, these are the attempts
that started before the first crash was confirmed, and at most one attempt per instance
after that: a request whose fingerprint has a pending crash decision waits for it, and
after a counted crash such requests run one at a time until one gets a response.

There is no bound for a service with one server, or for a request that always goes to
the same one: a quarantine needs crashes of 2 different servers.

`docs/design.md`, section 4.6, gives the rule by which a crash counts.
"""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from enum import StrEnum

from cardamomrun_base.clock import MS_PER_S, Clock
from cardamomrun_base.interfaces import Attempt, Backends, Fleet
from cardamomrun_base.logs import ComponentLog
from cardamomrun_base.model import (
    BackendBody,
    BackendPhase,
    CrashBody,
    EnvironmentId,
    Record,
    RecordKind,
    ServerId,
    backend_key,
)
from cardamomrun_base.settings import NodeSettings
from cardamomrun_requests import metrics

__all__ = ["ConnectResult", "CrashQuarantine"]

MIN_CRASHED_SERVER_COUNT = 2
CRASH_RETENTION_MS = 600_000
QUARANTINE_MS = 600_000

# Crashes within this time of each other have a common cause if they concern a quarter
# of the service's servers or more.
MASS_RESTART_WINDOW_MS = 5_000
MASS_RESTART_DIVISOR = 4

# A crashing process closes its connections before its listener, and may write a core
# dump in between.
CONFIRM_TIMEOUT_MS = 500
CONFIRM_PAUSE_MS = 25
CONNECT_TIMEOUT_MS = 200

# Longer than a decision takes, so that it is exceeded only when the event loop stalls.
DECISION_TIMEOUT_MS = 1_000
PERMIT_TIMEOUT_MS = 2_000

MAX_FINGERPRINT_COUNT = 4_096

_log = ComponentLog("upstream")


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
    """The unplanned end of one server process, at the time this instance learnt of it."""

    server_id: ServerId
    incarnation: int
    time_ms: float


@dataclass
class _Suspect:
    """Crashes attributed to one fingerprint.

    `pending_decision_count` counts the crash decisions in progress. `is_serialized` is
    set from a counted crash until an attempt ends without one.
    """

    environment: EnvironmentId
    is_serialized: bool = False
    crashes: list[_Crash] = field(default_factory=list)
    pending_decision_count: int = 0
    no_decision_pending: asyncio.Event = field(default_factory=asyncio.Event)
    attempt_lock: asyncio.Lock = field(default_factory=asyncio.Lock)


class CrashQuarantine:
    """Implements `cardamomrun_base.interfaces.Quarantine` on crash records.

    Each attempt runs inside `turn`, which waits for pending decisions and serializes
    requests that are suspects. `connect` opens a new connection to `host:port`; tests
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
        for record in fleet.store.all(RecordKind.BACKEND):
            self._known_backends[record.key] = record.content
        fleet.store.subscribe(RecordKind.BACKEND, self._on_backend_record)
        for record in fleet.store.all(RecordKind.CRASH):
            self._on_crash_record(record)
        fleet.store.subscribe(RecordKind.CRASH, self._on_crash_record)
        metrics.QUARANTINED.set_function(self.quarantined_count)

    def quarantined_count(self) -> int:
        """Return the number of fingerprints that must not run now."""
        now_ms = self._clock.now_ms()
        suspects = list(self._suspects.values())
        return sum(now_ms < self._quarantined_until_ms(suspect) for suspect in suspects)

    def is_quarantined(self, environment: EnvironmentId, fingerprint: str) -> bool:
        """Return True if requests with this fingerprint must not run now."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or suspect.environment != environment:
            return False
        return self._clock.now_ms() < self._quarantined_until_ms(suspect)

    async def wait_decided(self, fingerprint: str) -> None:
        """Wait for pending crash decisions, at most `DECISION_TIMEOUT_MS`."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.pending_decision_count:
            return
        with suppress(TimeoutError):
            await asyncio.wait_for(
                suspect.no_decision_pending.wait(), DECISION_TIMEOUT_MS / MS_PER_S
            )

    @asynccontextmanager
    async def attempt_permit(
        self, environment: EnvironmentId, fingerprint: str
    ) -> AsyncIterator[bool]:
        """Enclose one attempt of a request; the value is False if it must not run.

        Costs one dictionary look-up for a fingerprint without crashes. After a counted
        crash, attempts with the fingerprint run one at a time until one gets a response
        head; each waits at most `PERMIT_TIMEOUT_MS` and is then refused. Exit the
        context after the response head or `confirm_crash`, by an exception if no
        response head arrived.
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
        # The previous attempt may have ended while its crash was still being decided.
        await self.wait_decided(fingerprint)
        if not suspect.is_serialized:
            suspect.attempt_lock.release()
            yield not self.is_quarantined(environment, fingerprint)
            return
        try:
            crash_count = len(suspect.crashes)
            may_run = not self.is_quarantined(environment, fingerprint)
            yield may_run
            if may_run and len(suspect.crashes) == crash_count:
                suspect.is_serialized = False
        finally:
            suspect.attempt_lock.release()

    async def confirm_crash(self, attempt: Attempt, fingerprint: str) -> bool:
        """Check whether the server crashed; True if that counts against this request.

        Takes at most about `CONFIRM_TIMEOUT_MS` + `CONNECT_TIMEOUT_MS`.
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
            current = self._current_body(server)
            if current is not None:
                if current.incarnation > server.incarnation:
                    return True
                if current.phase is BackendPhase.DRAINING:
                    # A planned stop closes connections and listener too.
                    return False
            # A timeout proves nothing: the machine may be busy with the end of the
            # process.
            if await self._connect(server.address) is ConnectResult.REFUSED:
                return True
            if self._clock.now_ms() >= end_ms:
                return False
            await self._clock.sleep_ms(CONFIRM_PAUSE_MS)

    def _current_body(self, server: BackendBody) -> BackendBody | None:
        key = backend_key(server.environment, server.server_id)
        record = self._fleet.store.get(RecordKind.BACKEND, key)
        return None if record is None else record.content

    def _record_crash(self, server: BackendBody, fingerprint: str) -> bool:
        """Record a confirmed crash, publish it if it counts; return whether it counts."""
        crash = _Crash(server.server_id, server.incarnation, self._clock.now_ms())
        suspect = self._suspect_for(server.environment, fingerprint)
        counts = not self._is_mass_restart(suspect, crash)
        if counts:
            self._publish(server, fingerprint)
        # Added last, so that the crash itself is not taken as one with another cause.
        self._add_service_crash(server.environment, crash)
        return counts

    def _publish(self, server: BackendBody, fingerprint: str) -> None:
        body = CrashBody(
            environment=server.environment,
            fingerprint=fingerprint,
            server_id=server.server_id,
            server_incarnation=server.incarnation,
            observer_id=self._fleet.instance_id,
        )
        record = Record.from_content(
            RecordKind.CRASH,
            f"{fingerprint}/{server.server_id}",
            self._fleet.instance_id,
            (server.incarnation, self._clock.wall_ms()),
            body,
            lifetime_ms=CRASH_RETENTION_MS,
        )
        self._fleet.store.put(record)
        self._add_crash(body)
        _log.warning(
            "a backend server crashed while it ran a request",
            environment=server.environment,
            server_id=server.server_id,
            fingerprint=fingerprint,
        )

    def _on_crash_record(self, record: Record) -> None:
        self._add_crash(record.content)

    def _add_crash(self, body: CrashBody) -> None:
        now_ms = self._clock.now_ms()
        suspect = self._suspect_for(body.environment, body.fingerprint)
        process = (body.server_id, body.server_incarnation)
        if process in [
            (crash.server_id, crash.incarnation) for crash in suspect.crashes
        ]:
            return
        crash = _Crash(*process, now_ms)
        if self._is_mass_restart(suspect, crash):
            return
        retention_ms = CRASH_RETENTION_MS + QUARANTINE_MS
        suspect.crashes = [
            other for other in suspect.crashes if now_ms - other.time_ms < retention_ms
        ]
        suspect.crashes.append(crash)
        suspect.is_serialized = True

    def _on_backend_record(self, record: Record) -> None:
        """Add crashes that a new or removed incarnation of a server reveals."""
        body: BackendBody = record.content
        previous = self._known_backends.pop(record.key, None)
        is_gone = body.phase is BackendPhase.GONE
        if not is_gone:
            self._known_backends[record.key] = body
        if previous is None or previous.phase is BackendPhase.DRAINING:
            return
        if is_gone or body.incarnation > previous.incarnation:
            crash = _Crash(body.server_id, previous.incarnation, self._clock.now_ms())
            self._add_service_crash(body.environment, crash)

    def _add_service_crash(self, environment: EnvironmentId, crash: _Crash) -> None:
        crashes = self._service_crashes.setdefault(environment, {})
        # A crash is often noticed twice: by its connection and by a record.
        known = crashes.get(crash.server_id)
        if known is not None and known.incarnation >= crash.incarnation:
            return
        crashes[crash.server_id] = crash
        self._service_crashes[environment] = {
            server_id: other
            for server_id, other in crashes.items()
            if crash.time_ms - other.time_ms <= MASS_RESTART_WINDOW_MS
        }
        self._withdraw_mass_restart(environment)

    def _withdraw_mass_restart(self, environment: EnvironmentId) -> None:
        """Remove crashes from suspects if a mass restart explains them.

        A mass restart is often recognised only after its first crash was counted.
        """
        recent_ms = self._clock.now_ms() - MASS_RESTART_WINDOW_MS
        for suspect in self._suspects.values():
            if suspect.environment == environment:
                suspect.crashes = [
                    crash
                    for crash in suspect.crashes
                    if crash.time_ms < recent_ms
                    or not self._is_mass_restart(suspect, crash)
                ]

    def _is_mass_restart(self, suspect: _Suspect, crash: _Crash) -> bool:
        """Return True if this crash is part of a mass restart of the service.

        Servers that crashed with the same fingerprint are left out: in a service of 6,
        two quick crashes would otherwise pass for a mass restart and never count.
        """
        service_crashes = self._service_crashes.get(suspect.environment, {})
        own_ids = {other.server_id for other in suspect.crashes} | {crash.server_id}
        others = [
            other
            for other in service_crashes.values()
            if other.server_id not in own_ids
            and abs(other.time_ms - crash.time_ms) <= MASS_RESTART_WINDOW_MS
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
        for crash in suspect.crashes:
            servers = {
                other.server_id
                for other in suspect.crashes
                if 0 <= crash.time_ms - other.time_ms < CRASH_RETENTION_MS
            }
            if len(servers) >= MIN_CRASHED_SERVER_COUNT:
                until_ms = max(until_ms, crash.time_ms + QUARANTINE_MS)
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
