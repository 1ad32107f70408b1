"""The control role of an instance that runs a routing document."""

import asyncio
import random
from contextlib import suppress
from dataclasses import dataclass, replace
from typing import Any

from cardamomrun_base.clock import Clock
from cardamomrun_base.codec import decode, encode, message
from cardamomrun_base.errors import (
    CardamomrunError,
    StorageError,
    UnavailableError,
)
from cardamomrun_base.interfaces import Fleet
from cardamomrun_base.logs import ComponentLog
from cardamomrun_base.model import (
    ROUTING_KEY,
    BackendPhase,
    InstanceId,
    LeaderBody,
    Record,
    RecordKind,
    RoutedServerBody,
    RoutingBody,
    ServerId,
)
from cardamomrun_base.routing_document import (
    RoutingDocument,
    check_routing,
    pack_routing,
    unpack_routing,
)
from cardamomrun_base.settings import NodeSettings
from cardamomrun_control.agreement import Agreement
from cardamomrun_control.metrics import export_metrics
from cardamomrun_control.newest_number import NewestNumber
from cardamomrun_control.routing_state import (
    RETIRED_COUNT,
    PutRouting,
    PutRoutingResult,
    RetiredServer,
    RetireServer,
    routing_digest,
)
from cardamomrun_control.state import ControlState
from cardamomrun_control.status import LEADER_KEY
from cardamomrun_control.storage import Disk, DurableLog, Recovery
from cardamomrun_control.voter_keeper import VoterKeeper

__all__ = ["RoutingControl", "retirement_counter"]

ROUND_MS = 200
# Clients of the control interface wait one second for an instance, so the leader must
# have responded to a forwarded command within it.
FORWARD_TIMEOUT_MS = 850
# Changes within this time are published together, since each publication sends the
# whole document to every instance.
PUBLISH_SPACING_MS = 250
# Interval at which an instance that has started asks for the newest number.
CONFIRM_RETRY_MS = 100
# Announcements of one incarnation are numbered from 0; these counters rank above them,
# so that no late announcement returns a draining or gone server to service.
DRAINING_COUNTER = 1 << 40
GONE_COUNTER = 1 << 41
# After a power loss, at most this much recovery data is missing; each save costs two
# syncs.
RECOVERY_SPACING_MS = 500
# Number of peers that must get a retirement before it is acknowledged: one of them may
# fail together with this instance.
RETIREMENT_COPY_COUNT = 2
# Clients of the control interface wait one second, most of which forwarding may take.
DELIVERY_TIMEOUT_MS = 140
# Longer than an announcement can be delayed.
GONE_LIFETIME_MS = 600_000

_log = ComponentLog("control")


def retirement_counter(*, is_gone: bool) -> int:
    """Return the version counter for the record of a retired server."""
    return GONE_COUNTER if is_gone else DRAINING_COUNTER


@message("control-forward")
@dataclass(frozen=True)
class ForwardRequest:
    """An encoded command for the leader; empty to read the routing document."""

    command: bytes


@message("control-forward-answer")
@dataclass(frozen=True)
class ForwardResponse:
    """The encoded result of a command, or why there is none."""

    result: bytes
    reason: str = ""


class RoutingControl:
    """Combines log, state and consensus, and publishes what is committed.

    `put`, `retire` and `read` work on every control instance: they are forwarded to
    the leader, and raise `UnavailableError` unless a majority confirmed the result.
    `newest` tells which document is the newest.
    """

    def __init__(
        self,
        settings: NodeSettings,
        clock: Clock,
        fleet: Fleet,
        disk: Disk | None = None,
        rng: random.Random | None = None,
    ) -> None:
        assert settings.control is not None
        self._settings = settings
        self._clock = clock
        self._fleet = fleet
        self._state = ControlState()
        self._durable_log = DurableLog(settings.control.data_folder, disk)
        self.agreement = Agreement(
            settings, clock, fleet, self._durable_log, self._state, rng
        )
        self.agreement.on_commit = self._on_commit
        self.newest = NewestNumber(clock, fleet, self.agreement, self._state)
        self._voter_keeper = VoterKeeper(settings, clock, fleet, self.agreement)
        self._commit_event = asyncio.Event()
        self._has_caught_up = False
        self._started_ms = clock.now_ms()
        self._tasks: list[asyncio.Task[None]] = []
        self._delivered_retirements: dict[ServerId, RetiredServer] = {}
        fleet.handle(ForwardRequest, self._on_forward)

    async def start(self) -> None:
        """Open the data folder and start consensus and publishing."""
        assert self._settings.control is not None
        self._settings.control.data_folder.mkdir(parents=True, exist_ok=True)
        await self.agreement.start()
        export_metrics(self.agreement)
        self._restore_servers()
        self._commit_event.set()
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self._publish_changes()),
            loop.create_task(self._run_leader_duties()),
            loop.create_task(self._save_recovery()),
        ]

    async def stop(self) -> None:
        """Stop publishing, hand over leadership and stop consensus."""
        for task in self._tasks:
            task.cancel()
        for task in self._tasks:
            with suppress(asyncio.CancelledError):
                await task
        await self.agreement.hand_over()
        await self.agreement.stop()

    async def put(self, document: RoutingDocument, operator: str) -> PutRoutingResult:
        """Put a document in force, or keep the current one if its number is not lower.

        Raises `DocumentError` if the document is invalid, `UnavailableError` if it is
        not known whether a majority holds it.
        """
        check_routing(document)
        command = PutRouting(
            operator,
            self._clock.wall_ms(),
            document.number,
            routing_digest(document.source),
            pack_routing(document),
        )
        result = await self._propose(command)
        _log.info(
            "processed a routing document",
            number=document.number,
            in_force=result.number,
            has_changed=result.has_changed,
            operator=operator,
        )
        return result

    async def read(self) -> RoutingDocument | None:
        """Return the newest document; None if there is none yet.

        Raises `UnavailableError` unless a majority confirms that it is the newest.
        """
        if self.agreement.is_leader:
            await self.agreement.confirm_leadership()
            packed = self._state.routing.packed
        else:
            response = await self._forward(ForwardRequest(b""))
            packed = response.result
        return unpack_routing(packed) if packed else None

    async def retire(
        self, server_id: ServerId, incarnation: int, *, is_gone: bool
    ) -> None:
        """Return once a majority has committed a server's retirement and a peer has it.

        Raises `UnavailableError` otherwise.
        """
        stored = self._state.routing.retired(server_id)
        wanted = (incarnation, is_gone)
        if stored is None or (stored.incarnation, stored.is_gone) < wanted:
            at_ms = self._clock.wall_ms()
            await self._propose(RetireServer(at_ms, server_id, incarnation, is_gone))
        await self._deliver_retirement(RetiredServer(server_id, incarnation, is_gone))
        _log.info(
            "retired a backend server",
            server_id=server_id,
            incarnation=incarnation,
            is_gone=is_gone,
        )

    async def _deliver_retirement(self, entry: RetiredServer) -> None:
        """Deliver a retirement to peers, so that it outlives the control instances.

        Raises `UnavailableError` if no peer confirmed it.
        """
        if self._delivered_retirements.get(entry.server_id) == entry:
            return
        record = self._retired_server_record(entry)
        copy_count = await self._fleet.deliver(
            record, copy_count=RETIREMENT_COPY_COUNT, timeout_ms=DELIVERY_TIMEOUT_MS
        )
        if copy_count == 0:
            raise UnavailableError(
                f"No peer confirmed the retirement of {entry.server_id}.",
                remedy="send the same call again, or to another control instance",
            )
        self._delivered_retirements[entry.server_id] = entry
        if len(self._delivered_retirements) > RETIRED_COUNT:
            del self._delivered_retirements[next(iter(self._delivered_retirements))]

    def is_retired(self, server_id: ServerId, incarnation: int) -> bool:
        """Return True if a server was retired in this incarnation or a later one."""
        stored = self._state.routing.retired(server_id)
        return stored is not None and stored.incarnation >= incarnation

    def has_lost_contact(self) -> bool:
        """Return True if this instance knew a leader and has lost contact with it."""
        return self.agreement.has_lost_contact()

    async def _propose(self, command: Any) -> Any:
        if self.agreement.is_leader:
            return await self._propose_as_leader(command)
        response = await self._forward(ForwardRequest(encode(command)))
        return decode(response.result)

    async def _propose_as_leader(self, command: Any) -> Any:
        try:
            async with asyncio.timeout(FORWARD_TIMEOUT_MS / 1_000):
                return await self.agreement.propose(command)
        except TimeoutError as error:
            raise UnavailableError(
                "No majority of the control instances answered in time.",
                remedy="send the same change again",
            ) from error

    async def _forward(self, request: ForwardRequest) -> ForwardResponse:
        leader_id = self._leader_id()
        if leader_id is None or leader_id == self._settings.instance_id:
            raise UnavailableError(
                "No leader of the control instances is known.",
                remedy="ask again in a second, or ask another control instance",
            )
        response = await self._fleet.request(
            leader_id, request, timeout_ms=FORWARD_TIMEOUT_MS
        )
        if not isinstance(response, ForwardResponse) or response.reason:
            reason = getattr(response, "reason", "it sent another message")
            raise UnavailableError(
                f"The leader {leader_id} did not confirm: {reason}",
                remedy="ask again in a second, or ask another control instance",
            )
        return response

    def _leader_id(self) -> InstanceId | None:
        if self.agreement.leader_id is not None:
            return self.agreement.leader_id
        record = self._fleet.store.get(RecordKind.LEADER, LEADER_KEY)
        return None if record is None else record.content.instance_id

    async def _on_forward(
        self, peer_id: InstanceId, request: ForwardRequest
    ) -> ForwardResponse:
        try:
            if not request.command:
                await self.agreement.confirm_leadership()
                return ForwardResponse(self._state.routing.packed)
            result = await self._propose_as_leader(decode(request.command))
        except (UnavailableError, StorageError) as error:
            return ForwardResponse(b"", str(error))
        return ForwardResponse(encode(result))

    def _on_commit(self) -> None:
        self._commit_event.set()

    async def _publish_changes(self) -> None:
        """Publish committed changes, those within `PUBLISH_SPACING_MS` together."""
        while True:
            await self._commit_event.wait()
            self._commit_event.clear()
            try:
                self._publish_retired()
                await self._publish_routing()
            except CardamomrunError as error:
                _log.error(f"could not publish the committed state: {error}")
            await self._clock.sleep_ms(PUBLISH_SPACING_MS)

    async def _publish_routing(self) -> None:
        routing = self._state.routing
        if routing.is_empty:
            return
        if not await self._has_newest(routing.number):
            # The commit that is missing, or the next attempt, publishes it.
            asyncio.get_running_loop().call_later(
                CONFIRM_RETRY_MS / 1_000, self._commit_event.set
            )
            return
        stored = self._fleet.store.get(RecordKind.ROUTING, ROUTING_KEY)
        version = (0, routing.number)
        if stored is not None and stored.version >= version:
            return
        # Only `read` returns the source text, which is half of the bytes.
        document = replace(unpack_routing(routing.packed), source=b"")
        body = RoutingBody(routing.number, routing.digest, pack_routing(document))
        self._put_record(RecordKind.ROUTING, ROUTING_KEY, version, body)
        _log.info("published a routing document", number=routing.number)

    async def _has_newest(self, number: int) -> bool:
        """Return True once the state has been as new as the leader's since the start.

        What was recovered from disk may lack changes that were acknowledged, and entry
        instances without a document would take it as the one in force.
        """
        if not self._has_caught_up:
            with suppress(UnavailableError):
                newest = await self.newest.get()
                confirmed_ms = self._clock.now_ms() - newest.age_ms
                self._has_caught_up = (
                    number >= newest.number and confirmed_ms >= self._started_ms
                )
        return self._has_caught_up

    def _publish_retired(self) -> None:
        for entry in self._state.routing.all_retired():
            counter = retirement_counter(is_gone=entry.is_gone)
            stored = self._fleet.store.get(RecordKind.ROUTED_SERVER, entry.server_id)
            version = (entry.incarnation, counter)
            if stored is None or stored.version < version:
                self._fleet.store.put(self._retired_server_record(entry))

    def _retired_server_record(self, entry: RetiredServer) -> Record:
        stored = self._fleet.store.get(RecordKind.ROUTED_SERVER, entry.server_id)
        return Record.from_content(
            RecordKind.ROUTED_SERVER,
            entry.server_id,
            self._settings.instance_id,
            (entry.incarnation, retirement_counter(is_gone=entry.is_gone)),
            _retired_server_body(entry, stored),
            GONE_LIFETIME_MS if entry.is_gone else None,
        )

    def _restore_servers(self) -> None:
        """Restore the backend servers that were known before the last stop.

        They announce themselves again, but clients would have to wait until then.
        """
        for data in self._durable_log.recovery.records:
            record = decode(data)
            if isinstance(record, Record):
                self._fleet.store.put(record)

    async def _save_recovery(self) -> None:
        """Save the recovery data periodically if it has changed."""
        saved = Recovery(0, ())
        while True:
            await self._clock.sleep_ms(RECOVERY_SPACING_MS)
            servers = sorted(
                self._fleet.store.all(RecordKind.ROUTED_SERVER), key=lambda r: r.key
            )
            records = tuple(
                encode(record)
                for record in servers
                if record.content.phase is BackendPhase.SERVING
            )
            recovery = Recovery(self.agreement.applied_index, records)
            if recovery != saved:
                await self._durable_log.save_recovery(recovery)
                saved = recovery

    async def _run_leader_duties(self) -> None:
        """Publish the leader record and maintain the voters while leading."""
        while True:
            try:
                self._publish_leader()
                await self._voter_keeper.maintain()
            except CardamomrunError as error:
                _log.warning(f"could not change the voters: {error}")
            await self._clock.sleep_ms(ROUND_MS)

    def _publish_leader(self) -> None:
        if not self.agreement.holds_lease():
            return
        settings = self._settings
        body = LeaderBody(
            settings.instance_id,
            self.agreement.term,
            settings.admin_address,
            settings.published_peer_address,
        )
        stored = self._fleet.store.get(RecordKind.LEADER, LEADER_KEY)
        if stored is None or stored.epoch < body.term:
            self._put_record(RecordKind.LEADER, LEADER_KEY, (body.term, 1), body)

    def _put_record(
        self,
        kind: RecordKind,
        key: str,
        version: tuple[int, int],
        body: Any,
    ) -> None:
        owner_id = self._settings.instance_id
        self._fleet.store.put(Record.from_content(kind, key, owner_id, version, body))


def _retired_server_body(
    entry: RetiredServer, stored: Record | None
) -> RoutedServerBody:
    phase = BackendPhase.GONE if entry.is_gone else BackendPhase.DRAINING
    if stored is not None:
        return replace(stored.content, incarnation=entry.incarnation, phase=phase)
    return RoutedServerBody("", entry.server_id, entry.incarnation, "", "", 0, phase)
