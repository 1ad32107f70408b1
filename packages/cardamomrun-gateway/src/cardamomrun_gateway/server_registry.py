"""Registration of the backend servers of routed services, on control instances."""

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cardamomrun_base.clock import Clock
from cardamomrun_base.errors import CardamomrunError, UnavailableError
from cardamomrun_base.interfaces import Fleet
from cardamomrun_base.logs import ComponentLog
from cardamomrun_base.model import (
    BackendPhase,
    Record,
    RecordKind,
    RoutedServerBody,
    ServerId,
)
from cardamomrun_fleet.traffic import TrafficMeter

if TYPE_CHECKING:
    from cardamomrun_control.routing_service import RoutingControl

__all__ = ["AnnouncementError", "RoutedAnnouncement", "ServerRegistry"]

# A server without contact to control may still serve, and instances track its health by
# its responses; its record is dropped after this long without an announcement.
SILENT_MS = 45_000.0
SWEEP_MS = 1_000
# After this many renewals an instance becomes the owner of a server's record. Each
# change of the owner goes to the whole fleet, and after a failed call a server may
# renew once at another instance.
RENEWALS_TO_OWN = 3
# Lifetime of the record of a dropped server: while older copies may still arrive.
GONE_RECORD_MS = 600_000

_log = ComponentLog("registry")


class AnnouncementError(CardamomrunError):
    """An announcement contradicts what is known of the server."""

    kind = "announcement"


@dataclass(frozen=True)
class RoutedAnnouncement:
    """What a backend server announces about itself; a higher `sequence` is newer.

    `incarnation` is the time of its start, in ms since the Unix epoch, or 0 if it is
    not given.
    """

    server_id: ServerId
    incarnation: int
    sequence: int
    service: str
    address: str
    failure_domain: str
    slots: int
    is_draining: bool
    warm_up_ms: int


class ServerRegistry:
    """Publishes servers that announce themselves here, and retires those that leave.

    An instance owns the records of the servers that renew at it, and drops those that
    stop renewing. Renewals are not replicated.
    """

    def __init__(
        self,
        clock: Clock,
        fleet: Fleet,
        control: "RoutingControl",
        meter: TrafficMeter,
    ) -> None:
        self._meter = meter
        self._clock = clock
        self._fleet = fleet
        self._control = control
        self._last_announced_ms: dict[ServerId, float] = {}
        self._renewals: dict[ServerId, int] = {}

    async def announce(self, announcement: RoutedAnnouncement) -> None:
        """Publish a server that is new or has changed, or retire one that drains.

        Raises `UnavailableError` if the server drains and no majority has stored that,
        or if it is new and this instance has lost contact to the others. Raises
        `AnnouncementError` if the server is known in this incarnation as one of another
        service: a run of a server doesn't change its service.
        """
        self._meter.count_announcement(announcement.failure_domain)
        server_id = announcement.server_id
        current = self._fleet.store.get(RecordKind.ROUTED_SERVER, server_id)
        if current is not None:
            _check_service(announcement, current.content)
        self._last_announced_ms[server_id] = self._clock.now_ms()
        if announcement.is_draining:
            await self._control.retire(
                server_id, announcement.incarnation, is_gone=False
            )
            return
        if self._control.is_retired(server_id, announcement.incarnation):
            return
        version = (announcement.incarnation, _counter(announcement))
        if current is not None and current.version >= version:
            return
        body = _server_body(announcement)
        owner_id = self._fleet.instance_id
        if (
            current is not None
            and _is_unchanged(current, body)
            and (current.owner_id == owner_id or not self._count_renewal(server_id))
        ):
            return
        if self._control.has_lost_contact():
            raise UnavailableError(
                f"{server_id} is not announced: "
                "this instance has lost contact to the others.",
                remedy="announce it to another control instance",
            )
        record = Record.from_content(
            RecordKind.ROUTED_SERVER, server_id, owner_id, version, body
        )
        self._fleet.store.put(record)
        self._renewals.pop(server_id, None)
        _log.info(
            "a backend server announces itself",
            server_id=server_id,
            service=body.service,
            incarnation=body.incarnation,
            sequence=announcement.sequence,
        )

    def _count_renewal(self, server_id: ServerId) -> bool:
        """Count a renewal; return True once this instance is to own the record."""
        count = self._renewals.pop(server_id, 0) + 1
        self._renewals[server_id] = count
        return count >= RENEWALS_TO_OWN

    async def leave(self, server_id: ServerId, incarnation: int | None) -> None:
        """Retire a server; without `incarnation`, in the one that is known.

        If none is known, every start until now is retired, since an announcement of the
        server may still be on its way. This compares the server's clock with the one here.

        Raises `UnavailableError` if no majority has stored that.
        """
        current = self._fleet.store.get(RecordKind.ROUTED_SERVER, server_id)
        if incarnation is None:
            incarnation = (
                self._clock.wall_ms()
                if current is None
                else current.content.incarnation
            )
        await self._control.retire(server_id, incarnation, is_gone=True)

    async def run(self) -> None:
        """Drop silent servers until cancelled."""
        while True:
            self.drop_silent()
            await self._clock.sleep_ms(SWEEP_MS)

    def drop_silent(self) -> None:
        """Publish as gone the servers of this instance that stopped renewing."""
        now_ms = self._clock.now_ms()
        for record in self._fleet.store.all(RecordKind.ROUTED_SERVER):
            body: RoutedServerBody = record.content
            is_own = record.owner_id == self._fleet.instance_id
            if not is_own or body.phase is not BackendPhase.SERVING:
                continue
            announced_ms = self._last_announced_ms.setdefault(record.key, now_ms)
            if now_ms - announced_ms >= SILENT_MS:
                self._drop(record)

    def _drop(self, record: Record) -> None:
        _log.warning(
            "a backend server stopped renewing its announcement", server_id=record.key
        )
        del self._last_announced_ms[record.key]
        body: RoutedServerBody = record.content
        gone = RoutedServerBody(
            body.service, body.server_id, body.incarnation, body.address,
            body.failure_domain, body.slots, BackendPhase.GONE,
        )  # fmt: skip
        version = (record.epoch, record.counter + 1)
        owner_id = self._fleet.instance_id
        self._fleet.store.put(
            Record.from_content(
                RecordKind.ROUTED_SERVER,
                record.key,
                owner_id,
                version,
                gone,
                GONE_RECORD_MS,
            )
        )


def _check_service(announcement: RoutedAnnouncement, known: RoutedServerBody) -> None:
    # Without a stated start, incarnations can't be told apart.
    if (
        announcement.incarnation == known.incarnation != 0
        and announcement.service != known.service
    ):
        raise AnnouncementError(
            f"{announcement.server_id} is announced as a server of "
            f"{announcement.service}, but serves {known.service} since its start.",
            remedy="announce it with its service, or with the time of its new start",
        )


def _counter(announcement: RoutedAnnouncement) -> int:
    # The odd numbers are for records of servers that were dropped (see `_drop`).
    return 2 * announcement.sequence


def _server_body(announcement: RoutedAnnouncement) -> RoutedServerBody:
    return RoutedServerBody(
        announcement.service,
        announcement.server_id,
        announcement.incarnation,
        announcement.address,
        announcement.failure_domain,
        announcement.slots,
        BackendPhase.SERVING,
        announcement.warm_up_ms,
    )


def _is_unchanged(current: Record, body: RoutedServerBody) -> bool:
    old: RoutedServerBody = current.content
    return (
        old.incarnation == body.incarnation
        and old.phase is body.phase
        and old.service == body.service
        and old.address == body.address
        and old.slots == body.slots
        and old.failure_domain == body.failure_domain
    )
