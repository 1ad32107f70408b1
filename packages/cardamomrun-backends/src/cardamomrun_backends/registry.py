"""Announcements that backend servers make to this instance, their registrar.

Other instances trust a registrar's servers while the registrar is alive, so only
changes are replicated and renewals are not (`docs/design.md`, sections 4.1 and 4.9).
"""

from dataclasses import dataclass, replace
from ipaddress import ip_address
from typing import Annotated

from pydantic import AfterValidator, ConfigDict, Field

from cardamomrun_backends.servers import GONE_LIFETIME_MS
from cardamomrun_base.clock import Clock
from cardamomrun_base.errors import ConflictError
from cardamomrun_base.interfaces import Fleet
from cardamomrun_base.logs import ComponentLog
from cardamomrun_base.model import (
    BackendBody,
    BackendPhase,
    EnvironmentId,
    InstanceId,
    Record,
    RecordKind,
    ServerId,
    backend_key,
)
from cardamomrun_base.settings import NodeSettings

__all__ = ["Announcement", "AnnouncementLease", "Incarnation", "Registry"]

# Share of the lifetime after which a renewal is due: 1 s of 2,500 ms (section 4.9).
RENEW_RATIO = 0.4
EXPIRY_CHECK_MS = 100
MAX_PORT = 65_535
# A gone record with no slots means that the server left by itself. Such a server is not
# lost capacity and does not count towards the floor.
LEFT_SLOTS = 0

_log = ComponentLog("registry")


def _check_address(address: str) -> str:
    host, _, port = address.rpartition(":")
    ip_address(host.removeprefix("[").removesuffix("]"))
    if not (port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT):
        raise ValueError("the port is not between 1 and 65535")
    return address


Incarnation = Annotated[int, Field(ge=0, lt=2**63)]


@dataclass(frozen=True)
class Announcement:
    """What a backend server reports about itself; `address` is `ip:port`."""

    __pydantic_config__ = ConfigDict(extra="forbid")

    incarnation: Incarnation
    address: Annotated[str, AfterValidator(_check_address)]
    failure_domain: Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")]
    slots: Annotated[int, Field(ge=1, le=100_000)]
    connections: Annotated[int, Field(ge=1, le=1_000_000)]
    phase: BackendPhase


@dataclass(frozen=True)
class AnnouncementLease:
    """How long an announcement is valid and how often to renew it."""

    ttl_ms: int
    renew_ms: int
    registrar_id: InstanceId


class Registry:
    """Publishes the servers that announce themselves to this instance.

    Call `announce` for the first announcement, each renewal and each change of phase.
    `run` publishes servers that stopped renewing as gone.
    """

    def __init__(self, settings: NodeSettings, clock: Clock, fleet: Fleet) -> None:
        self._settings = settings
        self._clock = clock
        self._fleet = fleet
        self._store = fleet.store
        self._deadlines_ms: dict[str, float] = {}
        self._last_check_ms = clock.now_ms()
        self._store.subscribe(RecordKind.BACKEND, self._on_record)
        for record in self._store.all(RecordKind.BACKEND):
            self._on_record(record)

    def announce(
        self,
        environment: EnvironmentId,
        server_id: ServerId,
        announcement: Announcement,
    ) -> AnnouncementLease:
        """Publish the announcement if it differs from the stored one; extend its lease.

        Raises `ConflictError` if a newer incarnation is known, or if this incarnation
        already announced that it drains and now announces another phase.
        """
        key = backend_key(environment, server_id)
        stored = self._store.get(RecordKind.BACKEND, key)
        if stored is not None:
            _check_not_outdated(key, stored, announcement)
        body = self._body(environment, server_id, announcement)
        if stored is None or stored.content != body:
            self._publish(key, stored, body)
        self._deadlines_ms[key] = self._next_deadline_ms()
        return self._lease()

    def leave(
        self, environment: EnvironmentId, server_id: ServerId, incarnation: int
    ) -> None:
        """Publish that a server left; do nothing if it is unknown or has left already.

        Raises `ConflictError` if an incarnation newer than `incarnation` is known.
        """
        key = backend_key(environment, server_id)
        stored = self._store.get(RecordKind.BACKEND, key)
        if stored is None:
            return
        body: BackendBody = stored.content
        if incarnation < body.incarnation:
            raise _older_incarnation(key, incarnation, body.incarnation)
        if body.phase is BackendPhase.GONE and body.slots == LEFT_SLOTS:
            return
        self._publish_gone(key, stored, replace(body, slots=LEFT_SLOTS))

    async def run(self) -> None:
        """Expire leases every `EXPIRY_CHECK_MS` until cancelled."""
        while True:
            self.expire_leases()
            await self._clock.sleep_ms(EXPIRY_CHECK_MS)

    def expire_leases(self) -> None:
        """Publish servers of this registrar whose lease ended as gone."""
        now_ms = self._clock.now_ms()
        self._extend_after_pause(now_ms)
        expired = [
            key for key, end_ms in self._deadlines_ms.items() if end_ms <= now_ms
        ]
        for key in expired:
            del self._deadlines_ms[key]
            self._end_lease(key)

    def _extend_after_pause(self, now_ms: float) -> None:
        # After a pause of this process, renewals are still in its socket buffers.
        # Without the extension, all servers would be published as gone at once.
        pause_ms = now_ms - self._last_check_ms - EXPIRY_CHECK_MS
        self._last_check_ms = now_ms
        if pause_ms < EXPIRY_CHECK_MS:
            return
        for key in self._deadlines_ms:
            self._deadlines_ms[key] += pause_ms

    def _end_lease(self, key: str) -> None:
        stored = self._store.get(RecordKind.BACKEND, key)
        if stored is None or not self._is_own(stored.content):
            return
        _log.warning(f"{key} did not renew in time; published as gone")
        self._publish_gone(key, stored, stored.content)

    def _publish_gone(self, key: str, stored: Record, body: BackendBody) -> None:
        registrar_id = self._fleet.instance_id
        gone = replace(body, phase=BackendPhase.GONE, registrar_id=registrar_id)
        self._publish(key, stored, gone, GONE_LIFETIME_MS)

    def _publish(
        self,
        key: str,
        stored: Record | None,
        body: BackendBody,
        lifetime_ms: int | None = None,
    ) -> None:
        same_run = stored is not None and stored.epoch == body.incarnation
        counter = stored.counter + 1 if stored is not None and same_run else 0
        version = (body.incarnation, counter)
        owner_id = self._fleet.instance_id
        record = Record.from_content(
            RecordKind.BACKEND, key, owner_id, version, body, lifetime_ms
        )
        self._store.put(record)
        _log.info(f"{key} is {body.phase}", incarnation=body.incarnation)

    def _on_record(self, record: Record) -> None:
        """Track leases of servers of this registrar until another registrar takes over.

        A record of this registrar that is not tracked was published by an earlier run
        of this process; its server has one full lease to renew.
        """
        if self._is_own(record.content):
            self._deadlines_ms.setdefault(record.key, self._next_deadline_ms())
        else:
            self._deadlines_ms.pop(record.key, None)

    def _is_own(self, body: BackendBody) -> bool:
        own = body.registrar_id == self._fleet.instance_id
        return own and body.phase is not BackendPhase.GONE

    def _next_deadline_ms(self) -> float:
        return self._clock.now_ms() + self._settings.announcement_ttl_ms

    def _body(
        self,
        environment: EnvironmentId,
        server_id: ServerId,
        announcement: Announcement,
    ) -> BackendBody:
        return BackendBody(
            environment=environment,
            server_id=server_id,
            incarnation=announcement.incarnation,
            address=announcement.address,
            failure_domain=announcement.failure_domain,
            slots=announcement.slots,
            connections=announcement.connections,
            registrar_id=self._fleet.instance_id,
            phase=announcement.phase,
        )

    def _lease(self) -> AnnouncementLease:
        ttl_ms = self._settings.announcement_ttl_ms
        return AnnouncementLease(
            ttl_ms=ttl_ms,
            renew_ms=int(ttl_ms * RENEW_RATIO),
            registrar_id=self._fleet.instance_id,
        )


def _check_not_outdated(key: str, stored: Record, announcement: Announcement) -> None:
    body: BackendBody = stored.content
    if announcement.incarnation < body.incarnation:
        raise _older_incarnation(key, announcement.incarnation, body.incarnation)
    same_run = announcement.incarnation == body.incarnation
    drains = body.phase is BackendPhase.DRAINING
    # A delayed announcement must not return a draining server to service.
    if same_run and drains and announcement.phase is not BackendPhase.DRAINING:
        raise ConflictError(
            f"{key} announced in incarnation {body.incarnation} that it drains.",
            remedy="announce a higher incarnation to serve again",
        )


def _older_incarnation(key: str, given: int, known: int) -> ConflictError:
    return ConflictError(
        f"{key} is known with incarnation {known}, which is newer than {given}.",
        remedy="raise the incarnation at each start, for example to the start time",
    )
