"""The fleet as seen by one instance: links, flooding, exchange and membership."""

import asyncio
import contextlib
import random
from collections import deque
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

from websockets.asyncio.connection import Connection
from websockets.asyncio.server import Server
from websockets.exceptions import WebSocketException

from cardamomrun_base import interfaces
from cardamomrun_base.clock import MS_PER_S, Clock
from cardamomrun_base.codec import CodecError
from cardamomrun_base.errors import (
    AddressInUseError,
    CardamomrunError,
    CredentialError,
    PeerUnreachableError,
    UnavailableError,
)
from cardamomrun_base.interfaces import RecordStore
from cardamomrun_base.logs import ComponentLog
from cardamomrun_base.model import (
    InstanceId,
    MemberBody,
    MemberPhase,
    Record,
    RecordKind,
)
from cardamomrun_base.settings import NodeSettings, Role
from cardamomrun_fleet.credentials import Credentials, Hello, load_fleet_key
from cardamomrun_fleet.dissemination import ANNOUNCE_DELAY_MS, Dissemination
from cardamomrun_fleet.exchange import (
    Announcement,
    Delivery,
    Digests,
    DigestsRequest,
    Fingerprints,
    FloodedBatch,
    MissingFingerprints,
    Prune,
    Pull,
    RecordBatch,
    SnapshotRequest,
    batches,
    merge_batch,
)
from cardamomrun_fleet.handler_time import HandlerTime
from cardamomrun_fleet.links import (
    Link,
    LinkPurpose,
    PeerFailedError,
    TrafficCounters,
    listen,
    open_link,
)
from cardamomrun_fleet.membership import Membership
from cardamomrun_fleet.overlay import select_peers
from cardamomrun_fleet.store import (
    FINGERPRINT_BYTES,
    HeldRecord,
    Source,
    Store,
)
from cardamomrun_fleet.traffic import MessageKind, TrafficMeter

__all__ = ["Fleet"]

LEADER_KEY = "control"
SNAPSHOT_PEER_COUNT = 2
# Peers asked to confirm a delivered record in addition to the required number.
SPARE_COPY_COUNT = 2
SNAPSHOT_WAIT_MS = 2_000
SNAPSHOT_POLL_MS = 30
SNAPSHOT_TIMEOUT_MS = 20_000
# If a snapshot makes no progress for this long, the peer may be unreachable: another
# peer is asked at the same time.
SNAPSHOT_STALL_MS = 300
EXCHANGE_TIMEOUT_MS = 5_000
EXCHANGE_JITTER_RATIO = 0.2
# Bounds the fingerprints that one exchange sends for differing buckets: 5 KB. Later
# exchanges transfer the rest of a larger difference.
EXCHANGE_RECORD_COUNT = 640
LINK_LOSS_GRACE_MS = 1_000
# Links opened at the same time. On busy machines more of them slow each other down and
# time out together.
MAX_OPENING_LINK_COUNT = 4
BACK_OFF_FIRST_MS = 100
BACK_OFF_MAX_MS = 5_000
MAX_MAINTENANCE_INTERVAL_MS = 250
PULL_POLL_MS = 25
IDLE_REQUEST_LINK_MS = 60_000
MIN_OVERLAY_LINK_AGE_MS = 5_000
# Interval at which one failed member is tried again, so that the two sides of a long
# partition reconnect.
FAILED_PROBE_INTERVAL_MS = 10_000
STOP_TIMEOUT_MS = 2_000
# While many instances start, each new member would change the choice of overlay peers,
# and opening a link costs a few milliseconds on both sides. An instance with this many
# links delays new choices until more members are known.
SUFFICIENT_LINK_COUNT = 2
MIN_MEMBER_WAIT_MS = 1_000
MAX_MEMBER_WAIT_MS = 2_000
# Each further seed is tried this much later. Two seeds usually suffice for a start, so
# a fleet that starts all at once opens fewer links to its seeds.
SEED_SPACING_MS = 250
# Changes are flooded at once up to this burst. Beyond it they are batched, and floods
# are spaced further apart the more links there are: a seed of a starting fleet has
# hundreds.
FLOOD_BURST_COUNT = 10
FLOOD_SPACING_MS = 40.0
FLOOD_MS_PER_LINK = 0.5
FLOOD_MAX_MS = 150.0
# A leader confirms its record every 60 s of its wall clock. The timeout is two missed
# confirmations plus 30 s for clock differences. It also detects the loss of the leader
# where only a minority of the control instances is reachable.
LEADER_CONFIRMATION_TIMEOUT_MS = 150_000

CONNECT_ERRORS = (
    OSError,
    TimeoutError,
    WebSocketException,
    CodecError,
    CredentialError,
)

log = ComponentLog("fleet")

Handler = Callable[[InstanceId, Any], Awaitable[Any]]


class Fleet(interfaces.Fleet):
    """Peer links, flooding and membership (`cardamomrun_base.interfaces.Fleet`)."""

    def __init__(self, settings: NodeSettings, clock: Clock) -> None:
        self.instance_id = settings.instance_id
        self._store = Store(clock)
        self.store: RecordStore = self._store
        self.traffic = TrafficCounters()
        self.meter = TrafficMeter(settings.failure_domain, self._store)
        self.handler_time = HandlerTime()
        self.membership = Membership(settings, clock, self._store)
        self._settings = settings
        self._clock = clock
        self._random = random.Random(f"{settings.instance_id}/{clock.wall_ms()}")
        self._seeds = self._shuffled(settings.fleet.seeds)
        self._started_ms = clock.now_ms()
        self._handlers: dict[type, Handler] = {}
        self._credentials: Credentials | None = None
        self._server: Server | None = None
        self._links: dict[InstanceId, list[Link]] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._link_tasks: dict[str, asyncio.Task[None]] = {}
        self._opening_request_links: dict[InstanceId, asyncio.Task[Link]] = {}
        self._added_addresses: dict[InstanceId, str] = {}
        self._wanted_links: dict[str, InstanceId] = {}
        self._link_lost_ms: dict[InstanceId, float] = {}
        self._last_probe_ms = clock.now_ms()
        self._probed_member: MemberBody | None = None
        self._flood_queue: dict[tuple[RecordKind, str], tuple[HeldRecord, Source]] = {}
        self._flood_times_ms: deque[float] = deque(maxlen=FLOOD_BURST_COUNT)
        self._dissemination = Dissemination(self._random)
        self._is_announcing = False
        self._snapshot_peers: set[InstanceId] = set()
        self._snapshot_lock = asyncio.Lock()
        self._exchanging: set[InstanceId] = set()
        self._opening_slots = asyncio.Semaphore(MAX_OPENING_LINK_COUNT)
        self._last_sync_ms: float | None = None
        self._has_caught_up = False
        self._started = False
        self._maintenance_due = asyncio.Event()
        self._wanted_links_inputs: Any = None
        self._wanted_links_updated_ms = float("-inf")
        # Random, so that instances that start together do not open links together.
        self._member_wait_ms = self._random.uniform(
            MIN_MEMBER_WAIT_MS, MAX_MEMBER_WAIT_MS
        )
        self._stopping = False
        self._store.watch(self._queue_flood)

    @property
    def incarnation(self) -> int:
        """The current incarnation; refuting a suspicion raises it."""
        return self.membership.incarnation

    @property
    def start_incarnation(self) -> int:
        """The first incarnation of this run of the process."""
        return self.membership.start_incarnation

    @property
    def refusal_counts(self) -> dict[str, int]:
        """The number of refused peers, by kind of refusal."""
        counts = self._credentials.refusal_counts if self._credentials else {}
        return {str(refusal): count for refusal, count in counts.items()}

    async def start(self) -> None:
        """Open the listener, fetch snapshots and publish phase starting.

        Continues without a snapshot if no peer answers in `SNAPSHOT_WAIT_MS`.

        Raises `CredentialError` if the key is unusable and `AddressInUseError` if the
        listener cannot be opened.
        """
        fleet = self._settings.fleet
        key = load_fleet_key(fleet.key_file, trusts_network=fleet.trusts_network)
        self._credentials = Credentials(key, self.instance_id)
        try:
            self._server = await listen(
                self._settings,
                self._credentials,
                lambda: self.incarnation,
                self._accept,
            )
        except OSError as error:
            raise AddressInUseError(
                f"peer address {self._settings.peer_address} cannot be opened: {error}.",
                remedy="stop the process that uses it, or change peer_port",
            ) from error
        self._spawn(self._maintain())
        await self._wait_for_snapshots()
        self._started = True
        self._has_caught_up = bool(self._snapshot_peers)
        self.membership.apply_old_suspicions()
        self.membership.publish()
        self._spawn(self._exchange_regularly())

    async def stop(self) -> None:
        """Publish phase gone, send queued frames, and close all links."""
        if self._stopping:
            return
        self._stopping = True
        self.membership.set_phase(MemberPhase.GONE)
        # Peers have no time left to pull an announced record.
        for peer_id in self._links:
            self._dissemination.make_eager(peer_id)
        self._flood()
        links = [link for links in self._links.values() for link in links]
        await asyncio.gather(*(link.close() for link in links))
        tasks = [
            *self._tasks,
            *self._link_tasks.values(),
            *self._opening_request_links.values(),
        ]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._server is not None:
            self._server.close()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(STOP_TIMEOUT_MS / MS_PER_S):
                    await self._server.wait_closed()

    def set_phase(self, phase: MemberPhase) -> None:
        """Publish a new phase of this instance."""
        self.membership.set_phase(phase)

    def members(self) -> list[MemberBody]:
        """Return the instances that are neither gone nor considered failed."""
        return self.membership.members()

    def known_members(self) -> list[MemberBody]:
        """Return the instances that are not gone, with those considered failed."""
        return [body for body in self.membership.all_members() if _is_not_gone(body)]

    def may_be_behind(self) -> bool:
        """Return True while this instance may lack records that the fleet accepted.

        That is until the first sync with a peer, and while other members are known but
        the last sync is older than the silence time and two exchange intervals. Once
        there is a leader record, it is also while no control instance is a live member
        or the leader has not confirmed its record for
        `LEADER_CONFIRMATION_TIMEOUT_MS`: a change accepted on the other side of a
        partition would not arrive here.
        """
        if self._last_sync_ms is None or self._lacks_control():
            return True
        # Failed members count: an isolated instance considers all others failed.
        known = {
            body.instance_id
            for body in self.membership.all_members()
            if _is_not_gone(body)
        }
        if known <= {self.instance_id}:
            return False
        fleet = self._settings.fleet
        limit_ms = fleet.silence_ms + 2 * fleet.exchange_ms
        return self._clock.now_ms() - self._last_sync_ms > limit_ms

    def _lacks_control(self) -> bool:
        # The leader record outlives the member records of failed control instances,
        # which are dropped after `FAILED_MEMBER_RETENTION_MS`.
        record = self._store.get(RecordKind.LEADER, LEADER_KEY)
        if record is None:
            return False
        age_ms = self._clock.wall_ms() - record.content.confirmed_wall_ms
        if age_ms > LEADER_CONFIRMATION_TIMEOUT_MS:
            return True
        return not any(Role.CONTROL in member.roles for member in self.members())

    def use_seeds(self, peer_addresses: tuple[str, ...]) -> None:
        """Replace the seeds, which are tried in addition to the known members."""
        self._seeds = self._shuffled(peer_addresses)

    def _shuffled(self, addresses: tuple[str, ...]) -> tuple[str, ...]:
        return tuple(self._random.sample(addresses, len(addresses)))

    def add_address(self, instance_id: InstanceId, peer_address: str) -> None:
        """Set the peer address of an instance that has no member record yet."""
        self._added_addresses[instance_id] = peer_address

    def handle(self, message_type: type, handler: Handler) -> None:
        """Answer messages of a type with the result of `handler(peer_id, message)`."""
        self._handlers[message_type] = handler

    def linked_peers(self) -> set[InstanceId]:
        """Return the peers to which an overlay link is open."""
        return {peer_id for peer_id in self._links if self._overlay_link(peer_id)}

    async def request(
        self, instance_id: InstanceId, message: Any, *, timeout_ms: int
    ) -> Any:
        """Send a request and return the answer; open a link if there is none.

        Raises `PeerUnreachableError` if the request was not sent, and
        `PeerTimeoutError` if it may have been sent but no answer arrived.
        """
        if instance_id == self.instance_id:
            return await self._request_self(message, timeout_ms)
        started_ms = self._clock.now_ms()
        link = self._any_link(instance_id)
        if link is None:
            link = await self._shared_request_link(instance_id, timeout_ms)
        left_ms = timeout_ms - (self._clock.now_ms() - started_ms)
        if left_ms <= 0:
            raise _unreachable(instance_id, "opening a link took the whole timeout")
        return await link.request(message, timeout_ms=left_ms)

    async def deliver(self, record: Record, *, copy_count: int, timeout_ms: int) -> int:
        """Send a record to linked peers and return how many of them confirmed it.

        Waits until `copy_count` peers confirmed it or `timeout_ms` elapsed. Peers flood
        the record, so it reaches the fleet even if this instance crashes next. Returns
        `copy_count` if no other member is known.
        """
        self._store.put(record)
        if not any(body.instance_id != self.instance_id for body in self.members()):
            return copy_count
        held = self._store.prepare(record)
        delivery = Delivery(((held.encoded, 0),))
        links = [link for link in map(self._overlay_link, self._links) if link]
        self._random.shuffle(links)
        # Entry instances come first: they serve clients, so they need the record most.
        links.sort(key=self._is_entry_link, reverse=True)
        # More peers are asked than required: starting or paused ones answer late.
        waiting = {
            asyncio.create_task(link.request(delivery, timeout_ms=timeout_ms))
            for link in links[: copy_count + SPARE_COPY_COUNT]
        }
        confirmed_count = 0
        while waiting and confirmed_count < copy_count:
            done, waiting = await asyncio.wait(
                waiting, return_when=asyncio.FIRST_COMPLETED
            )
            confirmed_count += sum(task.exception() is None for task in done)
        for task in waiting:
            self._tasks.add(task)
            task.add_done_callback(self._delivery_ended)
        return confirmed_count

    # Requests

    def _is_entry_link(self, link: Link) -> bool:
        body = self.membership.get(link.peer_id)
        return body is not None and Role.ENTRY in body.roles

    def _delivery_ended(self, task: "asyncio.Task[Any]") -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            # Retrieves the exception; the confirmations are already counted.
            task.exception()

    async def _request_self(self, message: Any, timeout_ms: int) -> Any:
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_S):
                return await self._handlers[type(message)](self.instance_id, message)
        except Exception as error:
            raise PeerFailedError(
                f"this instance could not answer its own message: {error!r}.",
                remedy="see the log of this instance",
            ) from error

    async def _shared_request_link(self, peer_id: InstanceId, timeout_ms: int) -> Link:
        """Open a request link, or wait for one that another request opens already."""
        opening = self._opening_request_links.get(peer_id)
        if opening is None:
            opening = asyncio.create_task(self._open_new_request_link(peer_id))
            self._opening_request_links[peer_id] = opening
            opening.add_done_callback(partial(self._request_link_opened, peer_id))
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_S):
                # Shielded, because other requests may wait for the same link.
                return await asyncio.shield(opening)
        except CONNECT_ERRORS as error:
            raise _unreachable(peer_id, repr(error)) from error

    def _request_link_opened(
        self, peer_id: InstanceId, task: "asyncio.Task[Link]"
    ) -> None:
        self._opening_request_links.pop(peer_id, None)
        if not task.cancelled():
            task.exception()

    async def _open_new_request_link(self, peer_id: InstanceId) -> Link:
        address = self._address_of(peer_id)
        if address is None or self._stopping:
            raise _unreachable(peer_id, "its address is not known")
        link = await self._connect(address, LinkPurpose.REQUEST)
        if link.peer_id != peer_id:
            link.abort()
            raise _unreachable(peer_id, f"{link.peer_id} listens on {address}")
        self._spawn(self._run_link(link))
        return link

    def _address_of(self, peer_id: InstanceId) -> str | None:
        body = self.membership.get(peer_id)
        return body.peer_address if body else self._added_addresses.get(peer_id)

    async def _on_request(self, link: Link, message: Any) -> Any:
        match message:
            case SnapshotRequest():
                return await self._stream(link, self._store.all_records())
            case Delivery():
                merge_batch(self._store, message, link.peer_id)
                return None
            case DigestsRequest(root):
                equal = root == self._store.root_digest()
                return Digests(b"" if equal else self._store.bucket_digests())
            case Fingerprints(buckets, fingerprints):
                extra, missing = self._store.compare(buckets, fingerprints)
                await self._stream(link, extra)
                return MissingFingerprints(missing)
        return await self._handlers[type(message)](link.peer_id, message)

    def _on_message(self, link: Link, message: Any) -> None:
        match message:
            case FloodedBatch():
                self._on_flooded_batch(link, message)
            case RecordBatch():
                merge_batch(self._store, message, link.peer_id)
            case Announcement(fingerprints):
                self._on_announcement(link.peer_id, fingerprints)
            case Pull(fingerprints):
                self._on_pull(link, fingerprints)
            case Prune():
                self._dissemination.make_lazy(link.peer_id)

    async def _stream(self, link: Link, held: list[HeldRecord]) -> None:
        for batch in batches(held, self._clock.now_ms()):
            await link.stream(batch)
            await asyncio.sleep(0)

    # Flooding and exchange

    def _queue_flood(self, held: HeldRecord, source: Source) -> None:
        """Queue a record that won a merge, and schedule a flood if there is none."""
        # Until it has caught up, an instance does not flood records of its peers: it
        # would send whole snapshots back to the fleet.
        if self._server is None or (source is not None and not self._has_caught_up):
            return
        if not self._flood_queue:
            loop = asyncio.get_running_loop()
            delay_s = self._flood_delay_ms() / MS_PER_S
            flood = MessageKind.FLOOD
            loop.call_later(delay_s, self.handler_time.run, flood, self._flood)
        # Of several changes of one record only the last is flooded.
        self._flood_queue[held.record.kind, held.record.key] = (held, source)

    def _flood_delay_ms(self) -> float:
        if len(self._flood_times_ms) < FLOOD_BURST_COUNT:
            return 0.0
        link_count = len(self._links)
        spacing_ms = min(
            FLOOD_MAX_MS, max(FLOOD_SPACING_MS, link_count * FLOOD_MS_PER_LINK)
        )
        due_ms = self._flood_times_ms[0] + FLOOD_BURST_COUNT * spacing_ms
        return max(0.0, due_ms - self._clock.now_ms())

    def _flood(self) -> None:
        changes = list(self._flood_queue.values())
        self._flood_queue.clear()
        self._flood_times_ms.append(self._clock.now_ms())
        for peer_id in tuple(self._links):
            link = self._overlay_link(peer_id)
            if link is not None:
                self._send_records(
                    link, self._dissemination.dispatch_changes(peer_id, changes)
                )
        self._start_announcement_task()

    def _send_records(self, link: Link, held: list[HeldRecord]) -> None:
        for batch in batches(held, self._clock.now_ms()):
            link.send(FloodedBatch(batch.records))

    def _on_flooded_batch(self, link: Link, batch: FloodedBatch) -> None:
        merged = merge_batch(self._store, batch, link.peer_id)
        for fingerprint, _ in merged:
            self._dissemination.cancel_pull(fingerprint)
            self._dissemination.cancel_announcement(link.peer_id, fingerprint)
        # The majority of the batch decides: a link that usually delivers known records
        # may still be the first to deliver some of them.
        known_count = sum(is_known for _, is_known in merged)
        if merged and 2 * known_count > len(merged):
            self._dissemination.make_lazy(link.peer_id)
            link.send(Prune())
        else:
            self._dissemination.make_eager(link.peer_id)

    def _on_announcement(self, peer_id: InstanceId, fingerprints: bytes) -> None:
        now_ms = self._clock.now_ms()
        for fingerprint in _split(fingerprints):
            self._dissemination.cancel_announcement(peer_id, fingerprint)
            if self._store.get_by_fingerprint(fingerprint) is None:
                self._dissemination.schedule_pull(peer_id, fingerprint, now_ms)
        self._start_announcement_task()

    def _on_pull(self, link: Link, fingerprints: bytes) -> None:
        self._dissemination.make_eager(link.peer_id)
        found = (
            self._store.get_by_fingerprint(packed) for packed in _split(fingerprints)
        )
        self._send_records(link, [held for held in found if held is not None])

    def _start_announcement_task(self) -> None:
        if self._dissemination.has_pending_work and not self._is_announcing:
            self._is_announcing = True
            self._spawn(self._announce_and_pull())

    async def _announce_and_pull(self) -> None:
        """Send announcements and pulls until none are pending."""
        try:
            while self._dissemination.has_pending_work and not self._stopping:
                until_ms = self._clock.now_ms() + ANNOUNCE_DELAY_MS
                while self._clock.now_ms() < until_ms:
                    has_pulls = self._dissemination.has_pending_pulls
                    await self._clock.sleep_ms(
                        PULL_POLL_MS if has_pulls else ANNOUNCE_DELAY_MS
                    )
                    self._send_pulls()
                self._send_announcements()
        finally:
            self._is_announcing = False

    def _send_announcements(self) -> None:
        for peer_id, fingerprints in self._dissemination.take_announcements().items():
            link = self._overlay_link(peer_id)
            if link is not None:
                link.send(Announcement(b"".join(sorted(fingerprints))))

    def _send_pulls(self) -> None:
        pulls = self._dissemination.take_due_pulls(self._clock.now_ms())
        for peer_id, fingerprints in pulls.items():
            link = self._overlay_link(peer_id)
            missing = [
                packed
                for packed in fingerprints
                if self._store.get_by_fingerprint(packed) is None
            ]
            if link is not None and missing:
                self._dissemination.make_eager(peer_id)
                link.send(Pull(b"".join(sorted(missing))))

    async def _wait_for_snapshots(self) -> None:
        if not self._seeds and not self._added_addresses:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SNAPSHOT_WAIT_MS / MS_PER_S):
                while not self._has_enough_snapshots():
                    await self._clock.sleep_ms(SNAPSHOT_POLL_MS)
        if not self._snapshot_peers:
            log.warning("no peer answered; starting without a snapshot")

    def _has_enough_snapshots(self) -> bool:
        others = {body.instance_id for body in self.members()} - {self.instance_id}
        needed = min(SNAPSHOT_PEER_COUNT, max(1, len(others)))
        return len(self._snapshot_peers) >= needed

    async def _fetch_snapshot(self, link: Link) -> None:
        """Fetch a snapshot or the difference to it, unless enough peers have sent one.

        Fetches run one after another: at a start all links open at about the same time,
        and snapshots sent at once would share a link of low bandwidth. A fetch that
        makes no progress for `SNAPSHOT_STALL_MS` lets the next one start.
        """
        async with self._snapshot_lock:
            if len(self._snapshot_peers) >= SNAPSHOT_PEER_COUNT:
                return
            fetch = asyncio.create_task(self._fetch_snapshot_or_difference(link))
            has_progress = True
            while has_progress and not fetch.done():
                received_ms = link.last_received_ms
                await asyncio.wait({fetch}, timeout=SNAPSHOT_STALL_MS / MS_PER_S)
                has_progress = link.last_received_ms > received_ms
        await fetch

    async def _fetch_snapshot_or_difference(self, link: Link) -> None:
        with contextlib.suppress(UnavailableError):
            if self._snapshot_peers:
                # Most records are the same, so only the difference is sent.
                await self._exchange(link, record_count=None)
            else:
                await link.request(SnapshotRequest(), timeout_ms=SNAPSHOT_TIMEOUT_MS)
            self._snapshot_peers.add(link.peer_id)
            self._last_sync_ms = self._clock.now_ms()
            self._has_caught_up = self._started

    async def _exchange_regularly(self) -> None:
        while True:
            jitter = self._random.uniform(-1, 1) * EXCHANGE_JITTER_RATIO
            await self._clock.sleep_ms(self._settings.fleet.exchange_ms * (1 + jitter))
            # A paused peer answers late; the others are asked meanwhile.
            peers = sorted(self.linked_peers() - self._exchanging)
            if not peers:
                continue
            link = self._overlay_link(self._random.choice(peers))
            if link is not None:
                exchange = self._exchange_with_peer(link)
                self._spawn(self.handler_time.run_steps(MessageKind.EXCHANGE, exchange))

    async def _exchange_with_peer(self, link: Link) -> None:
        self._exchanging.add(link.peer_id)
        try:
            await self._exchange(link)
        except UnavailableError as error:
            log.warning(f"exchange failed: {error}", peer_id=link.peer_id)
        finally:
            self._exchanging.discard(link.peer_id)

    async def _exchange(
        self, link: Link, record_count: int | None = EXCHANGE_RECORD_COUNT
    ) -> None:
        """Exchange differing buckets with about `record_count` records here, or all."""
        start = DigestsRequest(self._store.root_digest())
        digests = await link.request(start, timeout_ms=EXCHANGE_TIMEOUT_MS)
        if digests.buckets:
            differing = self._store.differing_buckets(digests.buckets)
            self._random.shuffle(differing)
            if record_count is not None:
                differing = self._store.first_buckets(differing, record_count)
            await self._exchange_buckets(link, bytes(differing))
        self._last_sync_ms = self._clock.now_ms()

    async def _exchange_buckets(self, link: Link, buckets: bytes) -> None:
        """Receive the records missing here and send those that the peer lacks."""
        if not buckets:
            return
        own = Fingerprints(buckets, self._store.fingerprints(buckets))
        missing = await link.request(own, timeout_ms=EXCHANGE_TIMEOUT_MS)
        held = self._store.with_fingerprints(buckets, missing.fingerprints)
        await self._stream(link, held)

    # Links

    async def _connect(self, address: str, purpose: LinkPurpose) -> Link:
        if self._credentials is None:
            raise _unreachable(address, "this instance has not started")
        connection, challenge = await open_link(
            self._settings, self._credentials, self.incarnation, address, purpose
        )
        return self._new_link(connection, challenge, purpose, outbound=True)

    async def _accept(
        self, connection: Connection, hello: Hello, purpose: LinkPurpose
    ) -> None:
        link = self._new_link(connection, hello, purpose, outbound=False)
        await self._run_link(link)

    def _new_link(
        self, connection: Connection, peer: Any, purpose: LinkPurpose, *, outbound: bool
    ) -> Link:
        return Link(
            connection,
            peer.instance_id,
            peer.incarnation,
            outbound=outbound,
            purpose=purpose,
            clock=self._clock,
            counters=self.traffic,
            meter=self.meter,
            handler_time=self.handler_time,
        )

    async def _run_link(self, link: Link) -> None:
        self._register(link)
        try:
            await link.run(self._on_message, self._on_request)
        finally:
            link.abort()
            self._unregister(link)

    def _register(self, link: Link) -> None:
        links = self._links.setdefault(link.peer_id, [])
        for previous in tuple(links):
            # The opener opens another link only after it lost the previous one.
            if previous.outbound == link.outbound and previous.purpose == link.purpose:
                previous.abort()
        links.append(link)
        if link.purpose is LinkPurpose.OVERLAY:
            self._link_lost_ms.pop(link.peer_id, None)
            self.membership.withdraw_suspicion(link.peer_id)
        if len(self._snapshot_peers) < SNAPSHOT_PEER_COUNT:
            self._spawn(self._fetch_snapshot(link))

    def _unregister(self, link: Link) -> None:
        links = self._links[link.peer_id]
        links.remove(link)
        if not links:
            del self._links[link.peer_id]
            self._dissemination.remove_peer(link.peer_id)
        if link.purpose is not LinkPurpose.OVERLAY or self._stopping:
            return
        if not link.ended_on_purpose and self._overlay_link(link.peer_id) is None:
            log.warning("link lost", peer_id=link.peer_id)
            self._link_lost_ms.setdefault(link.peer_id, self._clock.now_ms())
        self._maintenance_due.set()

    def _overlay_link(self, peer_id: InstanceId) -> Link | None:
        for link in reversed(self._links.get(peer_id, ())):
            if link.purpose is LinkPurpose.OVERLAY and not link.closed:
                return link
        return None

    def _any_link(self, peer_id: InstanceId) -> Link | None:
        links = [link for link in self._links.get(peer_id, ()) if not link.closed]
        return links[-1] if links else None

    # Maintenance

    async def _maintain(self) -> None:
        interval_ms = min(
            MAX_MAINTENANCE_INTERVAL_MS, self._settings.fleet.suspicion_ms / 10
        )
        while not self._stopping:
            try:
                self._tick()
            except CardamomrunError as error:
                log.error(f"link maintenance failed: {error}")
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(interval_ms / MS_PER_S):
                    await self._maintenance_due.wait()
            self._maintenance_due.clear()

    def _tick(self) -> None:
        self.membership.tick()
        self._suspect_lost_peers()
        self._update_wanted_links()
        self._start_link_tasks()
        self._close_surplus_links()

    def _suspect_lost_peers(self) -> None:
        now_ms = self._clock.now_ms()
        for peer_id, lost_ms in list(self._link_lost_ms.items()):
            if not self.membership.is_alive(peer_id):
                del self._link_lost_ms[peer_id]
            elif now_ms - lost_ms >= LINK_LOSS_GRACE_MS:
                self.membership.suspect(peer_id)

    def _update_wanted_links(self) -> None:
        self._choose_probed_member()
        probed_id = self._probed_member.instance_id if self._probed_member else None
        inputs = (
            self.membership.change_count,
            frozenset(self._link_lost_ms),
            probed_id,
            self._last_sync_ms is None,
            frozenset(self._added_addresses.items()),
            frozenset(self._due_seeds()),
        )
        if inputs == self._wanted_links_inputs or self._may_wait_for_members(inputs):
            return
        self._wanted_links_inputs = inputs
        self._wanted_links_updated_ms = self._clock.now_ms()
        members = {body.instance_id: body for body in self.members()}
        members.pop(self.instance_id, None)
        reachable = [
            b for b in members.values() if b.instance_id not in self._link_lost_ms
        ]
        chosen = select_peers(
            self.instance_id,
            self._settings.failure_domain,
            reachable,
            self._settings.fleet.overlay_links,
        )
        chosen |= members.keys() & self._link_lost_ms.keys()
        wanted = {members[peer_id].peer_address: peer_id for peer_id in chosen}
        if self._probed_member is not None:
            wanted.setdefault(
                self._probed_member.peer_address, self._probed_member.instance_id
            )
        known = {body.peer_address for body in members.values()}
        known |= {self._settings.peer_address, self._settings.published_peer_address}
        for address in (*self._due_seeds(), *self._addresses_until_synced()):
            if address not in known:
                wanted.setdefault(address, "")
        self._wanted_links = wanted

    def _due_seeds(self) -> tuple[str, ...]:
        """Return the seeds to try by now, in the random order of this instance."""
        age_ms = self._clock.now_ms() - self._started_ms
        return self._seeds[: 1 + int(age_ms // SEED_SPACING_MS)]

    def _may_wait_for_members(self, inputs: tuple[Any, ...]) -> bool:
        """Return True if a new choice of links can wait for more members.

        That is while only the members changed since the last choice, enough links are
        open, and the last choice is younger than `_member_wait_ms`.
        """
        if self._clock.now_ms() - self._wanted_links_updated_ms >= self._member_wait_ms:
            return False
        if (
            self._wanted_links_inputs is None
            or inputs[1:] != self._wanted_links_inputs[1:]
        ):
            return False
        return len(self.linked_peers()) >= SUFFICIENT_LINK_COUNT

    def _addresses_until_synced(self) -> list[str]:
        """Return the addresses of `add_address` until the first sync with a peer."""
        return (
            list(self._added_addresses.values()) if self._last_sync_ms is None else []
        )

    def _choose_probed_member(self) -> None:
        now_ms = self._clock.now_ms()
        if now_ms - self._last_probe_ms < FAILED_PROBE_INTERVAL_MS:
            return
        self._last_probe_ms = now_ms
        failed = self.membership.failed_members()
        self._probed_member = self._random.choice(failed) if failed else None

    def _start_link_tasks(self) -> None:
        for address, peer_id in self._wanted_links.items():
            if address in self._link_tasks or self._overlay_link(peer_id):
                continue
            task = asyncio.create_task(self._keep_link_open(address))
            self._link_tasks[address] = task
            task.add_done_callback(partial(self._link_task_ended, address))

    def _link_task_ended(self, address: str, task: "asyncio.Task[None]") -> None:
        self._link_tasks.pop(address, None)

    async def _keep_link_open(self, address: str) -> None:
        """Open a link and run it; reopen it with back-off while it is wanted."""
        back_off_ms = BACK_OFF_FIRST_MS
        while address in self._wanted_links and not self._stopping:
            if self._overlay_link(self._wanted_links[address]):
                return
            try:
                async with self._opening_slots:
                    link = await self._connect(address, LinkPurpose.OVERLAY)
            except CONNECT_ERRORS as error:
                self._open_failed(address, error)
            else:
                back_off_ms = BACK_OFF_FIRST_MS
                await self._run_link(link)
            await self._clock.sleep_ms(back_off_ms * self._random.uniform(0.5, 1))
            back_off_ms = min(2 * back_off_ms, BACK_OFF_MAX_MS)

    def _open_failed(self, address: str, error: Exception) -> None:
        if isinstance(error, CredentialError):
            log.warning(f"link cannot be opened: {error}", address=address)
        peer_id = self._wanted_links.get(address, "")
        if peer_id and self.membership.is_alive(peer_id):
            if peer_id not in self._link_lost_ms:
                log.warning(f"link cannot be opened: {error!r}", peer_id=peer_id)
            self._link_lost_ms.setdefault(peer_id, self._clock.now_ms())

    def _close_surplus_links(self) -> None:
        """Close outbound links that are duplicate, unwanted, or idle request links."""
        now_ms = self._clock.now_ms()
        for peer_id, links in self._links.items():
            for link in links:
                if not link.outbound or link.is_busy or link.closed:
                    continue
                if self._is_surplus(peer_id, link, now_ms):
                    link.ended_on_purpose = True
                    self._spawn(link.close())

    def _is_surplus(self, peer_id: InstanceId, link: Link, now_ms: float) -> bool:
        if link.ended_on_purpose:
            return False
        if link.purpose is LinkPurpose.REQUEST:
            return now_ms - link.last_used_ms > IDLE_REQUEST_LINK_MS
        if now_ms - link.opened_ms < MIN_OVERLAY_LINK_AGE_MS:
            return False
        inbound = any(
            other.purpose is LinkPurpose.OVERLAY
            and not other.outbound
            and not other.closed
            for other in self._links[peer_id]
        )
        # If both sides opened a link, the one opened by the lower instance id is kept.
        if inbound and peer_id < self.instance_id:
            return True
        return peer_id not in self._wanted_links.values() and self.membership.is_alive(
            peer_id
        )

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _split(fingerprints: bytes) -> list[bytes]:
    starts = range(0, len(fingerprints), FINGERPRINT_BYTES)
    return [fingerprints[start : start + FINGERPRINT_BYTES] for start in starts]


def _is_not_gone(body: MemberBody) -> bool:
    return body.phase is not MemberPhase.GONE


def _unreachable(peer_id: InstanceId, reason: str) -> PeerUnreachableError:
    return PeerUnreachableError(
        f"no link to peer {peer_id}: {reason}.",
        remedy="check that it runs and can be reached",
    )
