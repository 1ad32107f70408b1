"""The fleet as one instance sees it: links, flooding, exchange and membership."""

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
from cardamomrun_base.logs import PartLog
from cardamomrun_base.model import (
    InstanceId,
    Kind,
    MemberBody,
    MemberPhase,
    Record,
)
from cardamomrun_base.settings import NodeSettings, Role
from cardamomrun_fleet.credentials import Credentials, Hello, load_fleet_key
from cardamomrun_fleet.dissemination import ANNOUNCE_MS, Dissemination
from cardamomrun_fleet.exchange import (
    Announced,
    Delivery,
    Digests,
    DigestsRequest,
    Fingerprints,
    FloodedBatch,
    Prune,
    Pull,
    RecordBatch,
    SnapshotRequest,
    Wanted,
    batches,
    merge_batch,
)
from cardamomrun_fleet.links import (
    Link,
    PeerFailedError,
    Purpose,
    TrafficCounters,
    listen,
    open_link,
)
from cardamomrun_fleet.membership import Membership
from cardamomrun_fleet.overlay import select_peers
from cardamomrun_fleet.store import (
    BUCKET_COUNT,
    FINGERPRINT_BYTES,
    HeldRecord,
    Source,
    Store,
)

__all__ = ["Fleet"]

LEADER_KEY = "control"
SNAPSHOT_PEER_COUNT = 2
# Peers that are asked to confirm a delivered record beyond those that have to.
SPARE_COPY_COUNT = 2
SNAPSHOT_WAIT_MS = 2_000
SNAPSHOT_TICK_MS = 30
SNAPSHOT_TIMEOUT_MS = 20_000
# A peer of which nothing comes for this long may be cut off; another one is asked too.
PULL_PATIENCE_MS = 300
EXCHANGE_TIMEOUT_MS = 5_000
EXCHANGE_JITTER_RATIO = 0.2
# Bounds one exchange; the rest of a large difference follows in the next ones.
EXCHANGE_BUCKET_COUNT = 32
REOPEN_MS = 1_000
# Links that are opened at the same time. More at once are slower for all of them where
# machines are busy, and time out together.
DIAL_COUNT = 4
BACK_OFF_FIRST_MS = 100
BACK_OFF_MAX_MS = 5_000
MAX_TICK_MS = 250
PULL_TICK_MS = 25
IDLE_REQUEST_LINK_MS = 60_000
SETTLED_LINK_MS = 5_000
# Members considered failed are tried now and then, so that the two sides of a long
# partition find each other again.
FAILED_PROBE_MS = 10_000
STOP_TIMEOUT_MS = 2_000
# While many instances start, each arrival would change which peers are linked, and every
# link costs a few milliseconds on both sides. With this many links the others wait until
# members have arrived.
ENOUGH_LINKS = 2
SETTLE_FIRST_MS = 1_000
SETTLE_LAST_MS = 2_000
# Each seed after the first is tried this much later: two of them answer a start in the
# usual case, and a fleet that starts at once opens fewer links to them.
SEED_SPACING_MS = 250
# A change leaves at once unless this many left shortly before; those of a long series
# wait for each other, the longer the more links they go out on: a seed of a fleet that
# starts has hundreds.
FLOOD_BURST_COUNT = 10
FLOOD_SPACING_MS = 40.0
FLOOD_MS_PER_LINK = 0.5
FLOOD_MAX_MS = 150.0
# A leader confirms its record each 60 s by its wall clock. Two missed confirmations
# and half a minute for different clocks show that no leader is heard, also where
# control instances without a majority are in reach.
CONFIRMED_MS = 150_000

CONNECT_ERRORS = (
    OSError,
    TimeoutError,
    WebSocketException,
    CodecError,
    CredentialError,
)

log = PartLog("fleet")

Handler = Callable[[InstanceId, Any], Awaitable[Any]]


class Fleet(interfaces.Fleet):
    """Peer links and membership (`cardamomrun_base.interfaces.Fleet`)."""

    def __init__(self, settings: NodeSettings, clock: Clock) -> None:
        self.instance_id = settings.instance_id
        self._store = Store(clock)
        self.store: RecordStore = self._store
        self.traffic = TrafficCounters()
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
        self._dialers: dict[str, asyncio.Task[None]] = {}
        self._openings: dict[InstanceId, asyncio.Task[Link]] = {}
        self._added: dict[InstanceId, str] = {}
        self._wanted: dict[str, InstanceId] = {}
        self._lost_ms: dict[InstanceId, float] = {}
        self._probed_ms = clock.now_ms()
        self._probed: MemberBody | None = None
        self._unflooded: dict[tuple[Kind, str], tuple[HeldRecord, Source]] = {}
        self._flooded_ms: deque[float] = deque(maxlen=FLOOD_BURST_COUNT)
        self._dissemination = Dissemination(self._random)
        self._is_announcing = False
        self._pulled: set[InstanceId] = set()
        self._pull_turn = asyncio.Lock()
        self._dial_turns = asyncio.Semaphore(DIAL_COUNT)
        self._synced_ms: float | None = None
        self._caught_up = False
        self._started = False
        self._changed = asyncio.Event()
        self._wanted_basis: Any = None
        self._wanted_ms = float("-inf")
        # Random, so that instances that start together do not open links together.
        self._settle_ms = self._random.uniform(SETTLE_FIRST_MS, SETTLE_LAST_MS)
        self._stopping = False
        self._store.watch(self._record_won)

    @property
    def incarnation(self) -> int:
        """The current incarnation; refutations raise it within one run."""
        return self.membership.incarnation

    @property
    def start_incarnation(self) -> int:
        """The first incarnation of this run of the process."""
        return self.membership.start_incarnation

    @property
    def refusal_counts(self) -> dict[str, int]:
        """How many peers were refused, by kind of refusal."""
        counts = self._credentials.refusal_counts if self._credentials else {}
        return {str(refusal): count for refusal, count in counts.items()}

    async def start(self) -> None:
        """Open the listener, pull snapshots and publish phase starting.

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
        self._caught_up = bool(self._pulled)
        self.membership.adopt_verdicts()
        self.membership.publish()
        self._spawn(self._exchange_regularly())

    async def stop(self) -> None:
        """Publish phase gone, send what is queued, and close all links."""
        if self._stopping:
            return
        self._stopping = True
        self.membership.set_phase(MemberPhase.GONE)
        # No time is left for peers to ask for the body.
        for peer_id in self._links:
            self._dissemination.make_eager(peer_id)
        self._flood()
        links = [link for links in self._links.values() for link in links]
        await asyncio.gather(*(link.close() for link in links))
        tasks = [*self._tasks, *self._dialers.values(), *self._openings.values()]
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
        """Return the instances that are not gone and not taken as failed."""
        return self.membership.members()

    def may_be_behind(self) -> bool:
        """Return True until a peer answered, and while no known member answers.

        Also while the fleet has a control leader's record and no control instance is
        reachable, or the leader has not confirmed its record for `CONFIRMED_MS`: a
        change accepted behind a partition would not arrive here.
        """
        if self._synced_ms is None or self._lacks_control():
            return True
        # Members considered failed count: to an isolated instance all others look so.
        known = {
            body.instance_id for body in self.membership.known() if _is_not_gone(body)
        }
        if known <= {self.instance_id}:
            return False
        fleet = self._settings.fleet
        limit_ms = fleet.silence_ms + 2 * fleet.exchange_ms
        return self._clock.now_ms() - self._synced_ms > limit_ms

    def _lacks_control(self) -> bool:
        # The leader record outlives the member records of control instances, which
        # are dropped some time after they failed.
        record = self._store.get(Kind.LEADER, LEADER_KEY)
        if record is None:
            return False
        age_ms = self._clock.wall_ms() - record.content.confirmed_wall_ms
        if age_ms > CONFIRMED_MS:
            return True
        return not any(Role.CONTROL in member.roles for member in self.members())

    def use_seeds(self, peer_addresses: tuple[str, ...]) -> None:
        """Replace the addresses that are tried besides those of known members."""
        self._seeds = self._shuffled(peer_addresses)

    def _shuffled(self, addresses: tuple[str, ...]) -> tuple[str, ...]:
        return tuple(self._random.sample(addresses, len(addresses)))

    def add_address(self, instance_id: InstanceId, peer_address: str) -> None:
        """Name the peer address of an instance that has no member record yet."""
        self._added[instance_id] = peer_address

    def handle(self, message_type: type, handler: Handler) -> None:
        """Answer messages of a type with the result of `handler(peer_id, message)`."""
        self._handlers[message_type] = handler

    def linked_peers(self) -> set[InstanceId]:
        """Return the peers to which an overlay link is open."""
        return {peer_id for peer_id in self._links if self._overlay_link(peer_id)}

    async def request(
        self, instance_id: InstanceId, message: Any, *, timeout_ms: int
    ) -> Any:
        """Send a message and return the answer; opens a link if there is none.

        Raises `PeerUnreachableError` if no byte left, `PeerTimeoutError` otherwise.
        """
        if instance_id == self.instance_id:
            return await self._request_self(message, timeout_ms)
        started_ms = self._clock.now_ms()
        link = self._any_link(instance_id)
        if link is None:
            link = await self._open_request_link(instance_id, timeout_ms)
        left_ms = timeout_ms - (self._clock.now_ms() - started_ms)
        if left_ms <= 0:
            raise _unreachable(instance_id, "no time was left after opening a link")
        return await link.request(message, timeout_ms=left_ms)

    async def deliver(self, record: Record, *, copy_count: int, timeout_ms: int) -> int:
        """Hand a record to linked peers and return how many of them confirmed it.

        At most `copy_count` confirmations are awaited, in time `timeout_ms`. Peers pass
        the record on, so it spreads even if this instance dies next. Returns
        `copy_count` where no other member is known.
        """
        self._store.put(record)
        if not any(body.instance_id != self.instance_id for body in self.members()):
            return copy_count
        held = self._store.hold(record)
        delivery = Delivery(((held.encoded, 0),))
        links = [link for link in map(self._overlay_link, self._links) if link]
        self._random.shuffle(links)
        # Instances that serve callers are the ones that have to know.
        links.sort(key=self._serves_callers, reverse=True)
        # Peers that are being started or paused answer late; others stand in for them.
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

    def _serves_callers(self, link: Link) -> bool:
        body = self.membership.get(link.peer_id)
        return body is not None and Role.ENTRY in body.roles

    def _delivery_ended(self, task: "asyncio.Task[Any]") -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            # A late failure says nothing that the confirmations had not said.
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

    async def _open_request_link(self, peer_id: InstanceId, timeout_ms: int) -> Link:
        opening = self._openings.get(peer_id)
        if opening is None:
            opening = asyncio.create_task(self._open_to(peer_id))
            self._openings[peer_id] = opening
            opening.add_done_callback(partial(self._opened, peer_id))
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_S):
                # Other requests may wait for the same opening.
                return await asyncio.shield(opening)
        except CONNECT_ERRORS as error:
            raise _unreachable(peer_id, repr(error)) from error

    def _opened(self, peer_id: InstanceId, task: "asyncio.Task[Link]") -> None:
        self._openings.pop(peer_id, None)
        if not task.cancelled():
            task.exception()

    async def _open_to(self, peer_id: InstanceId) -> Link:
        address = self._address_of(peer_id)
        if address is None or self._stopping:
            raise _unreachable(peer_id, "its address is not known")
        link = await self._connect(address, Purpose.REQUEST)
        if link.peer_id != peer_id:
            link.abort()
            raise _unreachable(peer_id, f"{link.peer_id} listens on {address}")
        self._spawn(self._run_link(link))
        return link

    def _address_of(self, peer_id: InstanceId) -> str | None:
        body = self.membership.get(peer_id)
        return body.peer_address if body else self._added.get(peer_id)

    async def _answer(self, link: Link, message: Any) -> Any:
        match message:
            case SnapshotRequest():
                return await self._stream(link, self._store.everything())
            case Delivery():
                merge_batch(self._store, message, link.peer_id)
                return None
            case DigestsRequest(root):
                equal = root == self._store.root_digest()
                return Digests(b"" if equal else self._store.bucket_digests())
            case Fingerprints(buckets, fingerprints):
                extra, wanted = self._store.compare(buckets, fingerprints)
                await self._stream(link, extra)
                return Wanted(wanted)
        return await self._handlers[type(message)](link.peer_id, message)

    def _take(self, link: Link, message: Any) -> None:
        match message:
            case FloodedBatch():
                self._take_flooded(link, message)
            case RecordBatch():
                merge_batch(self._store, message, link.peer_id)
            case Announced(fingerprints):
                self._take_announced(link.peer_id, fingerprints)
            case Pull(fingerprints):
                self._answer_pull(link, fingerprints)
            case Prune():
                self._dissemination.make_lazy(link.peer_id)

    async def _stream(self, link: Link, held: list[HeldRecord]) -> None:
        for batch in batches(held, self._clock.now_ms()):
            await link.stream(batch)
            await asyncio.sleep(0)

    # Flooding and exchange

    def _record_won(self, held: HeldRecord, source: Source) -> None:
        # Until it has caught up, an instance has nothing to tell from its peers; it
        # would send whole snapshots back into the fleet.
        if self._server is None or (source is not None and not self._caught_up):
            return
        if not self._unflooded:
            loop = asyncio.get_running_loop()
            loop.call_later(self._flood_pause_ms() / MS_PER_S, self._flood)
        # Of several changes of a record only the last one leaves.
        self._unflooded[held.record.kind, held.record.key] = (held, source)

    def _flood_pause_ms(self) -> float:
        if len(self._flooded_ms) < FLOOD_BURST_COUNT:
            return 0.0
        link_count = len(self._links)
        spacing_ms = min(
            FLOOD_MAX_MS, max(FLOOD_SPACING_MS, link_count * FLOOD_MS_PER_LINK)
        )
        due_ms = self._flooded_ms[0] + FLOOD_BURST_COUNT * spacing_ms
        return max(0.0, due_ms - self._clock.now_ms())

    def _flood(self) -> None:
        changes = list(self._unflooded.values())
        self._unflooded.clear()
        self._flooded_ms.append(self._clock.now_ms())
        for peer_id in tuple(self._links):
            link = self._overlay_link(peer_id)
            if link is not None:
                self._send_bodies(link, self._dissemination.split(peer_id, changes))
        self._start_announcing()

    def _send_bodies(self, link: Link, held: list[HeldRecord]) -> None:
        for batch in batches(held, self._clock.now_ms()):
            link.send(FloodedBatch(batch.records))

    def _take_flooded(self, link: Link, batch: FloodedBatch) -> None:
        merged = merge_batch(self._store, batch, link.peer_id)
        for fingerprint, _ in merged:
            self._dissemination.arrived(fingerprint)
            self._dissemination.peer_has(link.peer_id, fingerprint)
        # Of the records in a batch, some may have come first on this link although most
        # come first on others.
        known_count = sum(is_known for _, is_known in merged)
        if merged and 2 * known_count > len(merged):
            self._dissemination.make_lazy(link.peer_id)
            link.send(Prune())
        else:
            self._dissemination.make_eager(link.peer_id)

    def _take_announced(self, peer_id: InstanceId, fingerprints: bytes) -> None:
        now_ms = self._clock.now_ms()
        for name in _split(fingerprints):
            self._dissemination.peer_has(peer_id, name)
            if self._store.holding(name) is None:
                self._dissemination.lacks(peer_id, name, now_ms)
        self._start_announcing()

    def _answer_pull(self, link: Link, fingerprints: bytes) -> None:
        self._dissemination.make_eager(link.peer_id)
        found = (self._store.holding(name) for name in _split(fingerprints))
        self._send_bodies(link, [held for held in found if held is not None])

    def _start_announcing(self) -> None:
        if self._dissemination.is_waiting and not self._is_announcing:
            self._is_announcing = True
            self._spawn(self._announce())

    async def _announce(self) -> None:
        """Send fingerprints and ask for missing records until none are left."""
        try:
            while self._dissemination.is_waiting and not self._stopping:
                until_ms = self._clock.now_ms() + ANNOUNCE_MS
                while self._clock.now_ms() < until_ms:
                    is_missing = self._dissemination.is_missing
                    await self._clock.sleep_ms(
                        PULL_TICK_MS if is_missing else ANNOUNCE_MS
                    )
                    self._send_pulls()
                self._send_announcements()
        finally:
            self._is_announcing = False

    def _send_announcements(self) -> None:
        for peer_id, names in self._dissemination.take_announcements().items():
            link = self._overlay_link(peer_id)
            if link is not None:
                link.send(Announced(b"".join(sorted(names))))

    def _send_pulls(self) -> None:
        pulls = self._dissemination.take_pulls(self._clock.now_ms())
        for peer_id, names in pulls.items():
            link = self._overlay_link(peer_id)
            missing = [name for name in names if self._store.holding(name) is None]
            if link is not None and missing:
                self._dissemination.make_eager(peer_id)
                link.send(Pull(b"".join(sorted(missing))))

    async def _wait_for_snapshots(self) -> None:
        if not self._seeds and not self._added:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SNAPSHOT_WAIT_MS / MS_PER_S):
                while not self._has_enough_snapshots():
                    await self._clock.sleep_ms(SNAPSHOT_TICK_MS)
        if not self._pulled:
            log.warning("no peer answered; starting alone")

    def _has_enough_snapshots(self) -> bool:
        others = {body.instance_id for body in self.members()} - {self.instance_id}
        needed = min(SNAPSHOT_PEER_COUNT, max(1, len(others)))
        return len(self._pulled) >= needed

    async def _pull_snapshot(self, link: Link) -> None:
        """Pull a snapshot, or what differs from it, unless enough other links did.

        All links open at about the same time at a start, and each snapshot holds all
        records: two at once would share a narrow link.
        """
        async with self._pull_turn:
            if len(self._pulled) >= SNAPSHOT_PEER_COUNT:
                return
            pull = asyncio.create_task(self._pull_from(link))
            is_moving = True
            while is_moving and not pull.done():
                heard_ms = link.heard_ms
                await asyncio.wait({pull}, timeout=PULL_PATIENCE_MS / MS_PER_S)
                is_moving = link.heard_ms > heard_ms
        await pull

    async def _pull_from(self, link: Link) -> None:
        with contextlib.suppress(UnavailableError):
            if self._pulled:
                # Most of it is the same: only what differs travels.
                await self._exchange(link, bucket_count=BUCKET_COUNT)
            else:
                await link.request(SnapshotRequest(), timeout_ms=SNAPSHOT_TIMEOUT_MS)
            self._pulled.add(link.peer_id)
            self._synced_ms = self._clock.now_ms()
            self._caught_up = self._started

    async def _exchange_regularly(self) -> None:
        while True:
            jitter = self._random.uniform(-1, 1) * EXCHANGE_JITTER_RATIO
            await self._clock.sleep_ms(self._settings.fleet.exchange_ms * (1 + jitter))
            peers = sorted(self.linked_peers())
            if not peers:
                continue
            link = self._overlay_link(self._random.choice(peers))
            if link is not None:
                with contextlib.suppress(UnavailableError):
                    await self._exchange(link)

    async def _exchange(
        self, link: Link, bucket_count: int = EXCHANGE_BUCKET_COUNT
    ) -> None:
        start = DigestsRequest(self._store.root_digest())
        digests = await link.request(start, timeout_ms=EXCHANGE_TIMEOUT_MS)
        if digests.buckets:
            differing = self._store.differing_buckets(digests.buckets)
            self._random.shuffle(differing)
            await self._exchange_buckets(link, bytes(differing[:bucket_count]))
        self._synced_ms = self._clock.now_ms()

    async def _exchange_buckets(self, link: Link, buckets: bytes) -> None:
        if not buckets:
            return
        own = Fingerprints(buckets, self._store.fingerprints(buckets))
        wanted = await link.request(own, timeout_ms=EXCHANGE_TIMEOUT_MS)
        held = self._store.with_fingerprints(buckets, wanted.fingerprints)
        await self._stream(link, held)

    # Links

    async def _connect(self, address: str, purpose: Purpose) -> Link:
        if self._credentials is None:
            raise _unreachable(address, "this instance has not started")
        connection, challenge = await open_link(
            self._settings, self._credentials, self.incarnation, address, purpose
        )
        return self._new_link(connection, challenge, purpose, outbound=True)

    async def _accept(
        self, connection: Connection, hello: Hello, purpose: Purpose
    ) -> None:
        link = self._new_link(connection, hello, purpose, outbound=False)
        await self._run_link(link)

    def _new_link(
        self, connection: Connection, peer: Any, purpose: Purpose, *, outbound: bool
    ) -> Link:
        return Link(
            connection,
            peer.instance_id,
            peer.incarnation,
            outbound=outbound,
            purpose=purpose,
            clock=self._clock,
            counters=self.traffic,
        )

    async def _run_link(self, link: Link) -> None:
        self._register(link)
        try:
            await link.run(self._take, self._answer)
        finally:
            link.abort()
            self._unregister(link)

    def _register(self, link: Link) -> None:
        links = self._links.setdefault(link.peer_id, [])
        for old in tuple(links):
            # The opener only opens a second one after it lost the first.
            if old.outbound == link.outbound and old.purpose == link.purpose:
                old.abort()
        links.append(link)
        if link.purpose is Purpose.OVERLAY:
            self._lost_ms.pop(link.peer_id, None)
            self.membership.withdraw(link.peer_id)
        if len(self._pulled) < SNAPSHOT_PEER_COUNT:
            self._spawn(self._pull_snapshot(link))

    def _unregister(self, link: Link) -> None:
        links = self._links[link.peer_id]
        links.remove(link)
        if not links:
            del self._links[link.peer_id]
            self._dissemination.forget(link.peer_id)
        if link.purpose is not Purpose.OVERLAY or self._stopping:
            return
        if not link.ended_on_purpose and self._overlay_link(link.peer_id) is None:
            log.warning("link lost", peer_id=link.peer_id)
            self._lost_ms.setdefault(link.peer_id, self._clock.now_ms())
        self._changed.set()

    def _overlay_link(self, peer_id: InstanceId) -> Link | None:
        for link in reversed(self._links.get(peer_id, ())):
            if link.purpose is Purpose.OVERLAY and not link.closed:
                return link
        return None

    def _any_link(self, peer_id: InstanceId) -> Link | None:
        links = [link for link in self._links.get(peer_id, ()) if not link.closed]
        return links[-1] if links else None

    # Maintenance

    async def _maintain(self) -> None:
        tick_ms = min(MAX_TICK_MS, self._settings.fleet.suspicion_ms / 10)
        while not self._stopping:
            try:
                self._tick()
            except CardamomrunError as error:
                log.error(f"maintenance of links failed: {error}")
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(tick_ms / MS_PER_S):
                    await self._changed.wait()
            self._changed.clear()

    def _tick(self) -> None:
        self.membership.tick()
        self._suspect_lost()
        self._update_wanted()
        self._start_dialers()
        self._close_surplus()

    def _suspect_lost(self) -> None:
        now_ms = self._clock.now_ms()
        for peer_id, lost_ms in list(self._lost_ms.items()):
            if not self.membership.is_alive(peer_id):
                del self._lost_ms[peer_id]
            elif now_ms - lost_ms >= REOPEN_MS:
                self.membership.suspect(peer_id)

    def _update_wanted(self) -> None:
        self._choose_probe()
        probed_id = self._probed.instance_id if self._probed else None
        basis = (
            self.membership.change_count,
            frozenset(self._lost_ms),
            probed_id,
            self._synced_ms is None,
            frozenset(self._added.items()),
            frozenset(self._due_seeds()),
        )
        if basis == self._wanted_basis or self._may_wait_for_members(basis):
            return
        self._wanted_basis = basis
        self._wanted_ms = self._clock.now_ms()
        members = {body.instance_id: body for body in self.members()}
        members.pop(self.instance_id, None)
        reachable = [b for b in members.values() if b.instance_id not in self._lost_ms]
        chosen = select_peers(
            self.instance_id,
            self._settings.failure_domain,
            reachable,
            self._settings.fleet.overlay_links,
        )
        chosen |= members.keys() & self._lost_ms.keys()
        wanted = {members[peer_id].peer_address: peer_id for peer_id in chosen}
        if self._probed is not None:
            wanted.setdefault(self._probed.peer_address, self._probed.instance_id)
        known = {body.peer_address for body in members.values()}
        known |= {self._settings.peer_address, self._settings.published_peer_address}
        for address in (*self._due_seeds(), *self._seed_addresses()):
            if address not in known:
                wanted.setdefault(address, "")
        self._wanted = wanted

    def _due_seeds(self) -> tuple[str, ...]:
        """Return the seeds that it is time to try, in an order of this instance."""
        age_ms = self._clock.now_ms() - self._started_ms
        return self._seeds[: 1 + int(age_ms // SEED_SPACING_MS)]

    def _may_wait_for_members(self, basis: tuple[Any, ...]) -> bool:
        """Return True if only members have arrived, and enough links work meanwhile."""
        if self._clock.now_ms() - self._wanted_ms >= self._settle_ms:
            return False
        if self._wanted_basis is None or basis[1:] != self._wanted_basis[1:]:
            return False
        return len(self.linked_peers()) >= ENOUGH_LINKS

    def _seed_addresses(self) -> list[str]:
        return list(self._added.values()) if self._synced_ms is None else []

    def _choose_probe(self) -> None:
        now_ms = self._clock.now_ms()
        if now_ms - self._probed_ms < FAILED_PROBE_MS:
            return
        self._probed_ms = now_ms
        failed = self.membership.failed()
        self._probed = self._random.choice(failed) if failed else None

    def _start_dialers(self) -> None:
        for address, peer_id in self._wanted.items():
            if address in self._dialers or self._overlay_link(peer_id):
                continue
            task = asyncio.create_task(self._dial(address))
            self._dialers[address] = task
            task.add_done_callback(partial(self._dial_ended, address))

    def _dial_ended(self, address: str, task: "asyncio.Task[None]") -> None:
        self._dialers.pop(address, None)

    async def _dial(self, address: str) -> None:
        """Open a link and run it; open it again until it is not wanted any more."""
        back_off_ms = BACK_OFF_FIRST_MS
        while address in self._wanted and not self._stopping:
            if self._overlay_link(self._wanted[address]):
                return
            try:
                async with self._dial_turns:
                    link = await self._connect(address, Purpose.OVERLAY)
            except CONNECT_ERRORS as error:
                self._dial_failed(address, error)
            else:
                back_off_ms = BACK_OFF_FIRST_MS
                await self._run_link(link)
            await self._clock.sleep_ms(back_off_ms * self._random.uniform(0.5, 1))
            back_off_ms = min(2 * back_off_ms, BACK_OFF_MAX_MS)

    def _dial_failed(self, address: str, error: Exception) -> None:
        if isinstance(error, CredentialError):
            log.warning(f"link cannot be opened: {error}", address=address)
        peer_id = self._wanted.get(address, "")
        if peer_id and self.membership.is_alive(peer_id):
            if peer_id not in self._lost_ms:
                log.warning(f"link cannot be opened: {error!r}", peer_id=peer_id)
            self._lost_ms.setdefault(peer_id, self._clock.now_ms())

    def _close_surplus(self) -> None:
        """Close own outbound links that are duplicates, not wanted, or idle."""
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
        if link.purpose is Purpose.REQUEST:
            return now_ms - link.used_ms > IDLE_REQUEST_LINK_MS
        if now_ms - link.opened_ms < SETTLED_LINK_MS:
            return False
        inbound = any(
            other.purpose is Purpose.OVERLAY and not other.outbound and not other.closed
            for other in self._links[peer_id]
        )
        # Both sides opened a link at the same time: the lower instance id keeps its own.
        if inbound and peer_id < self.instance_id:
            return True
        return peer_id not in self._wanted.values() and self.membership.is_alive(
            peer_id
        )

    def _spawn(self, work: Any) -> None:
        task = asyncio.create_task(work)
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
