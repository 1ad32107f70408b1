"""Own member record, suspicions, and which members are considered failed."""

from dataclasses import dataclass

from cardamomrun_base.clock import Clock
from cardamomrun_base.logs import PartLog
from cardamomrun_base.model import (
    InstanceId,
    Kind,
    MemberBody,
    MemberPhase,
    Record,
    SuspicionBody,
)
from cardamomrun_base.settings import NodeSettings
from cardamomrun_fleet.store import Store

__all__ = ["Membership"]

REQUIRED_OBSERVER_COUNT = 2
FAILED_MEMBER_MS = 600_000
# Longer than the time for which a failed member is kept, so that it does not come
# back to life because the suspicions ended.
SUSPICION_LIFETIME_MS = 1_200_000
# A peer behind a lasting one-way partition refutes each suspicion; the pause keeps the
# two from flooding the fleet with suspicions and refutations.
SUSPECT_AGAIN_MS = 10_000

log = PartLog("fleet")


@dataclass(frozen=True)
class _Mark:
    """Since when something holds for one incarnation of a member."""

    incarnation: int
    since_ms: float


class Membership:
    """Applies the failure rule of `docs/design.md`, section 4.2.

    `start_incarnation` is the first incarnation of this run of the process and
    `incarnation` the current one, which refutations raise.
    """

    def __init__(self, settings: NodeSettings, clock: Clock, store: Store) -> None:
        self.instance_id = settings.instance_id
        self.start_incarnation = self.incarnation = clock.wall_ms()
        self.phase = MemberPhase.STARTING
        self.change_count = 0
        self._settings = settings
        self._clock = clock
        self._store = store
        self._phase_counter = 0
        self._published: Record | None = None
        self._must_publish = False
        self._suspected: dict[InstanceId, _Mark] = {}
        self._failed: dict[InstanceId, _Mark] = {}
        self._last_suspected_ms: dict[InstanceId, float] = {}
        store.subscribe(Kind.MEMBER, self._member_arrived)
        store.subscribe(Kind.SUSPICION, self._suspicion_arrived)

    def publish(self) -> None:
        """Write the own member record with the current phase and incarnation."""
        self._must_publish = False
        self._phase_counter += 1
        version = self.incarnation, self._phase_counter
        self._published = Record.of(
            Kind.MEMBER, self.instance_id, self.instance_id, version, self._body()
        )
        self._store.put(self._published)

    def set_phase(self, phase: MemberPhase) -> None:
        """Publish the own member record with a new phase."""
        self.phase = phase
        self.publish()

    def known(self) -> list[MemberBody]:
        """Return all members with a record, including failed and gone ones."""
        return [record.content for record in self._store.all(Kind.MEMBER)]

    def members(self) -> list[MemberBody]:
        """Return the members that are neither gone nor considered failed."""
        return [body for body in self.known() if self._is_alive(body)]

    def failed(self) -> list[MemberBody]:
        """Return the members that are considered failed."""
        return [body for body in self.known() if self.is_failed(body.instance_id)]

    def get(self, instance_id: InstanceId) -> MemberBody | None:
        """Return the member record's body of an instance."""
        record = self._store.get(Kind.MEMBER, instance_id)
        return record.content if record else None

    def is_failed(self, instance_id: InstanceId) -> bool:
        """Return True if the current incarnation of the instance is taken as failed."""
        return instance_id in self._failed

    def is_alive(self, instance_id: InstanceId) -> bool:
        """Return True if the instance has a record, is not gone and has not failed."""
        body = self.get(instance_id)
        return body is not None and self._is_alive(body)

    def suspect(self, instance_id: InstanceId) -> None:
        """Publish a suspicion of the current incarnation of a lost neighbour."""
        body = self.get(instance_id)
        if body is None or not self._is_alive(body):
            return
        own = self._own_suspicion(instance_id)
        if own is not None and own.active and own.incarnation == body.incarnation:
            return
        if not self._may_suspect_again(body):
            return
        self._last_suspected_ms[instance_id] = self._clock.now_ms()
        log.warning("peer suspected: link lost", peer_id=instance_id)
        self._put_suspicion(body.instance_id, body.incarnation, active=True)

    def withdraw(self, instance_id: InstanceId) -> None:
        """Withdraw the own suspicion of an instance whose link works again."""
        self._last_suspected_ms.pop(instance_id, None)
        own = self._own_suspicion(instance_id)
        if own is not None and own.active:
            self._put_suspicion(instance_id, own.incarnation, active=False)

    def tick(self) -> None:
        """Publish what is due, apply the failure rule, drop long-failed members."""
        if self._must_publish and self._published is not None:
            self.publish()
        self._apply_failure_rule()
        self._drop_long_failed()

    def adopt_verdicts(self) -> None:
        """Apply the failure rule to suspicions that were old when a snapshot came.

        An instance that starts would otherwise name dead members for a suspicion
        time. Later arrivals never count by their age: after a partition the other
        side's old suspicions arrive before the refutations.
        """
        observers = self._observers()
        for (instance_id, incarnation), suspecters in observers.items():
            arrivals = self._suspicion_arrivals(instance_id, suspecters)
            needed = self._required_count(instance_id, observers)
            if len(arrivals) >= needed:
                self._suspected[instance_id] = _Mark(incarnation, arrivals[needed - 1])
        self._apply_failure_rule()

    def _body(self) -> MemberBody:
        settings = self._settings
        return MemberBody(
            instance_id=settings.instance_id,
            incarnation=self.incarnation,
            region=settings.region,
            failure_domain=settings.failure_domain,
            roles=tuple(str(role) for role in settings.roles),
            front_address=settings.front_address,
            admin_address=settings.admin_address,
            peer_address=settings.published_peer_address,
            phase=self.phase,
            link_mbps=settings.link_mbps,
        )

    def _is_alive(self, body: MemberBody) -> bool:
        return body.phase is not MemberPhase.GONE and not self.is_failed(
            body.instance_id
        )

    def _member_arrived(self, record: Record) -> None:
        self.change_count += 1
        mark = self._failed.get(record.key)
        if mark is not None and record.content.incarnation > mark.incarnation:
            del self._failed[record.key]
        if record.key == self.instance_id and record != self._published:
            self._outdo(record)

    def _outdo(self, record: Record) -> None:
        # A record of an earlier run, for instance after the wall clock was set back.
        if record.epoch < self.incarnation:
            return
        log.warning("own member record of another run found", epoch=record.epoch)
        self.incarnation = self.start_incarnation = record.epoch + 1
        self._must_publish = True

    def _suspicion_arrived(self, record: Record) -> None:
        body: SuspicionBody = record.content
        if body.instance_id == self.instance_id:
            self._refute(body)
        elif not body.active:
            mark = self._failed.get(body.instance_id)
            # A reopened link proves that the member lives.
            if mark is not None and mark.incarnation == body.incarnation:
                del self._failed[body.instance_id]
                self.change_count += 1

    def _refute(self, body: SuspicionBody) -> None:
        if self.phase is MemberPhase.GONE or body.incarnation < self.incarnation:
            return
        if body.active:
            log.info("suspicion refuted", observer_id=body.observer_id)
            self.incarnation = body.incarnation + 1
            self._must_publish = True

    def _own_suspicion(self, instance_id: InstanceId) -> SuspicionBody | None:
        record = self._store.get(Kind.SUSPICION, f"{instance_id}/{self.instance_id}")
        return record.content if record else None

    def _may_suspect_again(self, body: MemberBody) -> bool:
        last_ms = self._last_suspected_ms.get(body.instance_id)
        if last_ms is None or self._clock.now_ms() - last_ms >= SUSPECT_AGAIN_MS:
            return True
        return bool(self._observers().get((body.instance_id, body.incarnation)))

    def _put_suspicion(
        self, instance_id: InstanceId, incarnation: int, *, active: bool
    ) -> None:
        key = f"{instance_id}/{self.instance_id}"
        body = SuspicionBody(
            instance_id,
            incarnation,
            self.instance_id,
            self._settings.failure_domain,
            active,
        )
        held = self._store.get(Kind.SUSPICION, key)
        counter = self._clock.wall_ms()
        if held is not None:
            counter = max(counter, held.counter + 1)
        version = incarnation, counter
        self._store.put(
            Record.of(
                Kind.SUSPICION,
                key,
                self.instance_id,
                version,
                body,
                SUSPICION_LIFETIME_MS,
            )
        )

    def _observers(self) -> dict[tuple[InstanceId, int], set[InstanceId]]:
        """Return the live observers that suspect each (member, incarnation)."""
        observers: dict[tuple[InstanceId, int], set[InstanceId]] = {}
        for record in self._store.all(Kind.SUSPICION):
            body: SuspicionBody = record.content
            if body.active and self.is_alive(body.observer_id):
                suspect = body.instance_id, body.incarnation
                observers.setdefault(suspect, set()).add(body.observer_id)
        return observers

    def _apply_failure_rule(self) -> None:
        now_ms = self._clock.now_ms()
        observers = self._observers()
        suspected: dict[InstanceId, _Mark] = {}
        for (instance_id, incarnation), suspecters in observers.items():
            body = self.get(instance_id)
            if body is None or body.incarnation != incarnation:
                continue
            if not self._is_alive(body) or instance_id == self.instance_id:
                continue
            if len(suspecters) < self._required_count(instance_id, observers):
                continue
            mark = self._suspected.get(instance_id)
            if mark is None or mark.incarnation != incarnation:
                mark = _Mark(incarnation, now_ms)
            suspected[instance_id] = mark
        self._suspected = suspected
        for instance_id, mark in suspected.items():
            if now_ms - mark.since_ms >= self._settings.fleet.suspicion_ms:
                suspecters = observers[(instance_id, mark.incarnation)]
                arrivals = self._suspicion_arrivals(instance_id, suspecters)
                # All instances count from the oldest suspicion, so that they drop the
                # record together; one that kept it would offer it at each exchange.
                self._take_as_failed(instance_id, mark.incarnation, min(arrivals))

    def _required_count(
        self,
        instance_id: InstanceId,
        observers: dict[tuple[InstanceId, int], set[InstanceId]],
    ) -> int:
        """Return how many observers must agree: 2, or all that could observe.

        Members that all the suspecters suspect as well cannot be expected to speak;
        without this, the last survivor of three would never notice two failures.
        """
        suspecters: set[InstanceId] = set()
        for (suspect_id, _), ids in observers.items():
            if suspect_id == instance_id:
                suspecters |= ids
        silent = {
            suspect_id
            for (suspect_id, _), ids in observers.items()
            if suspecters <= ids
        }
        silent.add(instance_id)
        able_count = sum(
            body.instance_id not in silent for body in self._first_members(silent)
        )
        return max(1, min(REQUIRED_OBSERVER_COUNT, able_count))

    def _first_members(self, silent: set[InstanceId]) -> list[MemberBody]:
        """Return as many members as it takes to find the required observers."""
        limit = len(silent) + REQUIRED_OBSERVER_COUNT
        found: list[MemberBody] = []
        for record in self._store.all(Kind.MEMBER):
            if len(found) == limit:
                break
            if self._is_alive(record.content):
                found.append(record.content)
        return found

    def _take_as_failed(
        self, instance_id: InstanceId, incarnation: int, since_ms: float
    ) -> None:
        log.warning("member failed", peer_id=instance_id, incarnation=incarnation)
        self._failed[instance_id] = _Mark(incarnation, since_ms)
        self.change_count += 1

    def _suspicion_arrivals(
        self, instance_id: InstanceId, observer_ids: set[InstanceId]
    ) -> list[float]:
        """Return when the observers' suspicions were written, the oldest first."""
        keys = [f"{instance_id}/{observer_id}" for observer_id in observer_ids]
        arrivals = [self._store.arrived_ms(Kind.SUSPICION, key) for key in keys]
        return sorted(arrived for arrived in arrivals if arrived is not None)

    def _drop_long_failed(self) -> None:
        now_ms = self._clock.now_ms()
        for instance_id, mark in list(self._failed.items()):
            if now_ms - mark.since_ms >= FAILED_MEMBER_MS:
                self._store.remove(Kind.MEMBER, instance_id)
                del self._failed[instance_id]
                self._last_suspected_ms.pop(instance_id, None)
                self.change_count += 1
