"""Announcements of backend servers of routed services, on control instances."""

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cardamomrun_base.clock import Clock
from cardamomrun_base.errors import UnavailableError
from cardamomrun_base.interfaces import Fleet
from cardamomrun_base.logs import PartLog
from cardamomrun_base.model import (
    BackendPhase,
    Kind,
    Record,
    RoutedServerBody,
    ServerId,
)

if TYPE_CHECKING:
    from cardamomrun_control.routing_service import RoutingControl

__all__ = ["RoutedAnnouncement", "ServerRegistry"]

# A server that may only be cut off from control still serves, and instances judge it
# by its answers; its record is dropped when it has been silent for this long.
SILENT_MS = 45_000.0
SWEEP_MS = 1_000
# A server that renews here this often owes its record to this instance; each change of
# the owner goes to the whole fleet, and calls that fail move servers to and fro.
MOVED_COUNT = 3
# Records of servers that fell silent are kept as long as a copy may be under way.
SILENT_LIFETIME_MS = 600_000

_log = PartLog("registry")


@dataclass(frozen=True)
class RoutedAnnouncement:
    """What a backend server says of itself; a higher `sequence` is newer.

    `incarnation` is the time of its start, in ms since the Unix epoch, or 0 if it
    does not say.
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
    fall silent. Renewals are not replicated.
    """

    def __init__(self, clock: Clock, fleet: Fleet, control: "RoutingControl") -> None:
        self._clock = clock
        self._fleet = fleet
        self._control = control
        self._heard_ms: dict[ServerId, float] = {}
        self._renewals: dict[ServerId, int] = {}

    async def announce(self, announcement: RoutedAnnouncement) -> None:
        """Take an announcement.

        Raises `UnavailableError` if the server drains and no majority holds it yet,
        or if it is new and this instance is cut off: nobody would hear of it.
        """
        server_id = announcement.server_id
        self._heard_ms[server_id] = self._clock.now_ms()
        if announcement.is_draining:
            await self._control.retire(
                server_id, announcement.incarnation, is_gone=False
            )
            return
        if self._control.is_retired(server_id, announcement.incarnation):
            return
        held = self._fleet.store.get(Kind.ROUTED_SERVER, server_id)
        version = (announcement.incarnation, _counter(announcement))
        if held is not None and held.version >= version:
            return
        body = _body(announcement)
        owner_id = self._fleet.instance_id
        if (
            held is not None
            and _says_same(held, body)
            and (held.owner_id == owner_id or not self._has_moved_here(server_id))
        ):
            return
        if self._control.has_lost_contact():
            raise UnavailableError(
                f"{server_id} is not announced: this instance is cut off.",
                remedy="announce it to another control instance",
            )
        record = Record.of(Kind.ROUTED_SERVER, server_id, owner_id, version, body)
        self._fleet.store.put(record)
        self._renewals.pop(server_id, None)
        _log.info(
            "a backend server announces itself",
            server_id=server_id,
            service=body.service,
            incarnation=body.incarnation,
            sequence=announcement.sequence,
        )

    def _has_moved_here(self, server_id: ServerId) -> bool:
        """Count a renewal at this instance; True once the server keeps to it."""
        count = self._renewals.pop(server_id, 0) + 1
        self._renewals[server_id] = count
        return count >= MOVED_COUNT

    async def leave(self, server_id: ServerId, incarnation: int | None) -> None:
        """Retire a server for good, in the incarnation known if none is given.

        Raises `UnavailableError` if no majority holds it yet.
        """
        held = self._fleet.store.get(Kind.ROUTED_SERVER, server_id)
        if incarnation is None:
            incarnation = 0 if held is None else held.content.incarnation
        await self._control.retire(server_id, incarnation, is_gone=True)

    async def run(self) -> None:
        """Drop silent servers until cancelled."""
        while True:
            self.sweep()
            await self._clock.sleep_ms(SWEEP_MS)

    def sweep(self) -> None:
        """Publish as gone the servers of this instance that fell silent."""
        now_ms = self._clock.now_ms()
        for record in self._fleet.store.all(Kind.ROUTED_SERVER):
            body: RoutedServerBody = record.content
            mine = record.owner_id == self._fleet.instance_id
            if not mine or body.phase is not BackendPhase.SERVING:
                continue
            heard_ms = self._heard_ms.setdefault(record.key, now_ms)
            if now_ms - heard_ms >= SILENT_MS:
                self._drop(record)

    def _drop(self, record: Record) -> None:
        _log.warning("a backend server fell silent", server_id=record.key)
        del self._heard_ms[record.key]
        body: RoutedServerBody = record.content
        gone = RoutedServerBody(
            body.service, body.server_id, body.incarnation, body.address,
            body.failure_domain, body.slots, BackendPhase.GONE,
        )  # fmt: skip
        version = (record.epoch, record.counter + 1)
        owner_id = self._fleet.instance_id
        self._fleet.store.put(
            Record.of(
                Kind.ROUTED_SERVER,
                record.key,
                owner_id,
                version,
                gone,
                SILENT_LIFETIME_MS,
            )
        )


def _counter(announcement: RoutedAnnouncement) -> int:
    # The odd number between two announcements says that the server fell silent.
    return 2 * announcement.sequence


def _body(announcement: RoutedAnnouncement) -> RoutedServerBody:
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


def _says_same(held: Record, body: RoutedServerBody) -> bool:
    old: RoutedServerBody = held.content
    return (
        old.incarnation == body.incarnation
        and old.phase is body.phase
        and old.service == body.service
        and old.address == body.address
        and old.slots == body.slots
        and old.failure_domain == body.failure_domain
    )
