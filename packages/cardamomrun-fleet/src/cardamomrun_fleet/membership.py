"""The own member record, suspicions, and which members are considered failed."""

from dataclasses import dataclass

from cardamomrun_base.clock import Clock
from cardamomrun_base.logs import ComponentLog
from cardamomrun_base.model import (
    InstanceId,
    MemberBody,
    MemberPhase,
    Record,
    RecordKind,
    SuspicionBody,
)
from cardamomrun_base.settings import NodeSettings
from cardamomrun_fleet.store import Store

__all__ = ["Membership"]

REQUIRED_OBSERVER_COUNT = 2
FAILED_MEMBER_RETENTION_MS = 600_000
# Longer than `FAILED_MEMBER_RETENTION_MS`: a failed member must not count as alive
# again because the suspicions of it expired.
SUSPICION_LIFETIME_MS = 1_200_000
# A peer behind a lasting one-way partition refutes each suspicion; the interval limits
# how many suspicions and refutations the two flood to the fleet.
SUSPICION_INTERVAL_MS = 10_000

log = ComponentLog("fleet")


@dataclass(frozen=True)
class _IncarnationStatus:
    """An incarnation that is suspected or failed, and since when on the local clock."""

    incarnation: int
    since_ms: float


class Membership:
    """Keeps the own member record and applies the failure rule to the other members.

    The rule is that of `docs/design.md`, section 4.2: a member has failed once enough
    live observers suspected its incarnation for `suspicion_ms`. `change_count` counts
    changes of the members and of their failures. `start_incarnation` is the first
    incarnation of this run of the process and `incarnation` the current one, which
    refutations raise.
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
        self._suspected: dict[InstanceId, _IncarnationStatus] = {}
        self._failed: dict[InstanceId, _IncarnationStatus] = {}
        self._last_suspected_ms: dict[InstanceId, float] = {}
        store.subscribe(RecordKind.MEMBER, self._member_arrived)
        store.subscribe(RecordKind.SUSPICION, self._suspicion_arrived)

    def publish(self) -> None:
        """Store the own member record with the current phase and incarnation."""
        self._must_publish = False
        self._phase_counter += 1
        version = self.incarnation, self._phase_counter
        self._published = Record.from_content(
            RecordKind.MEMBER, self.instance_id, self.instance_id, version, self._body()
        )
        self._store.put(self._published)

    def set_phase(self, phase: MemberPhase) -> None:
        """Publish the own member record with a new phase."""
        self.phase = phase
        self.publish()

    def all_members(self) -> list[MemberBody]:
        """Return all members with a record, including failed and gone ones."""
        return [record.content for record in self._store.all(RecordKind.MEMBER)]

    def members(self) -> list[MemberBody]:
        """Return the members that are neither gone nor considered failed."""
        return [body for body in self.all_members() if self._is_alive(body)]

    def failed_members(self) -> list[MemberBody]:
        """Return the members that are considered failed."""
        return [body for body in self.all_members() if self.is_failed(body.instance_id)]

    def get(self, instance_id: InstanceId) -> MemberBody | None:
        """Return the body of an instance's member record; None if there is none."""
        record = self._store.get(RecordKind.MEMBER, instance_id)
        return record.content if record else None

    def is_failed(self, instance_id: InstanceId) -> bool:
        """Return True if the instance is considered failed."""
        return instance_id in self._failed

    def is_alive(self, instance_id: InstanceId) -> bool:
        """Return True if the instance has a record, is not gone and has not failed."""
        body = self.get(instance_id)
        return body is not None and self._is_alive(body)

    def suspect(self, instance_id: InstanceId) -> None:
        """Publish a suspicion of a live member's current incarnation.

        Does nothing while the own suspicion of it is active, or within
        `SUSPICION_INTERVAL_MS` of the last one unless another observer suspects it too.
        """
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

    def withdraw_suspicion(self, instance_id: InstanceId) -> None:
        """Withdraw the own active suspicion of an instance whose link was reopened."""
        self._last_suspected_ms.pop(instance_id, None)
        own = self._own_suspicion(instance_id)
        if own is not None and own.active:
            self._put_suspicion(instance_id, own.incarnation, active=False)

    def tick(self) -> None:
        """Publish a raised incarnation, apply the failure rule, drop failed members."""
        if self._must_publish and self._published is not None:
            self.publish()
        self._apply_failure_rule()
        self._drop_failed_members()

    def apply_old_suspicions(self) -> None:
        """Apply the failure rule to suspicions of a snapshot, counted from their age.

        Without this, an instance that starts would list failed members for another
        `suspicion_ms`. Suspicions that arrive later count from their arrival: after a
        partition the other side's old suspicions arrive before the refutations.
        """
        observers = self._observers()
        for (instance_id, incarnation), observer_ids in observers.items():
            times_ms = self._suspicion_times(instance_id, observer_ids)
            needed = self._required_observer_count(instance_id, observers)
            if len(times_ms) >= needed:
                self._suspected[instance_id] = _IncarnationStatus(
                    incarnation, times_ms[needed - 1]
                )
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
        status = self._failed.get(record.key)
        if status is not None and record.content.incarnation > status.incarnation:
            del self._failed[record.key]
        if record.key == self.instance_id and record != self._published:
            self._supersede_other_run(record)

    def _supersede_other_run(self, record: Record) -> None:
        # For example an earlier run, started before the wall clock was set back.
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
            status = self._failed.get(body.instance_id)
            # The observer withdrew because its link was reopened: the member is alive.
            if status is not None and status.incarnation == body.incarnation:
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
        record = self._store.get(
            RecordKind.SUSPICION, f"{instance_id}/{self.instance_id}"
        )
        return record.content if record else None

    def _may_suspect_again(self, body: MemberBody) -> bool:
        last_ms = self._last_suspected_ms.get(body.instance_id)
        if last_ms is None or self._clock.now_ms() - last_ms >= SUSPICION_INTERVAL_MS:
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
        held = self._store.get(RecordKind.SUSPICION, key)
        counter = self._clock.wall_ms()
        if held is not None:
            counter = max(counter, held.counter + 1)
        version = incarnation, counter
        self._store.put(
            Record.from_content(
                RecordKind.SUSPICION,
                key,
                self.instance_id,
                version,
                body,
                SUSPICION_LIFETIME_MS,
            )
        )

    def _observers(self) -> dict[tuple[InstanceId, int], set[InstanceId]]:
        """Return the live observers by the (member, incarnation) that they suspect."""
        observers: dict[tuple[InstanceId, int], set[InstanceId]] = {}
        for record in self._store.all(RecordKind.SUSPICION):
            body: SuspicionBody = record.content
            if body.active and self.is_alive(body.observer_id):
                suspected = body.instance_id, body.incarnation
                observers.setdefault(suspected, set()).add(body.observer_id)
        return observers

    def _apply_failure_rule(self) -> None:
        now_ms = self._clock.now_ms()
        observers = self._observers()
        suspected: dict[InstanceId, _IncarnationStatus] = {}
        for (instance_id, incarnation), observer_ids in observers.items():
            body = self.get(instance_id)
            if body is None or body.incarnation != incarnation:
                continue
            if not self._is_alive(body) or instance_id == self.instance_id:
                continue
            if len(observer_ids) < self._required_observer_count(
                instance_id, observers
            ):
                continue
            status = self._suspected.get(instance_id)
            if status is None or status.incarnation != incarnation:
                status = _IncarnationStatus(incarnation, now_ms)
            suspected[instance_id] = status
        self._suspected = suspected
        for instance_id, status in suspected.items():
            if now_ms - status.since_ms >= self._settings.fleet.suspicion_ms:
                observer_ids = observers[(instance_id, status.incarnation)]
                times_ms = self._suspicion_times(instance_id, observer_ids)
                # All instances count from the oldest suspicion and so drop the member's
                # record together; an instance that kept it would send it in exchanges.
                self._mark_failed(instance_id, status.incarnation, min(times_ms))

    def _required_observer_count(
        self,
        instance_id: InstanceId,
        observers: dict[tuple[InstanceId, int], set[InstanceId]],
    ) -> int:
        """Return how many observers must agree: 2, or 1 if at most one can observe.

        Members that all the same observers suspect do not count as able to observe;
        otherwise the last survivor of three could not detect that two failed.
        """
        observer_ids: set[InstanceId] = set()
        for (suspected_id, _), ids in observers.items():
            if suspected_id == instance_id:
                observer_ids |= ids
        excluded_ids = {
            suspected_id
            for (suspected_id, _), ids in observers.items()
            if observer_ids <= ids
        }
        excluded_ids.add(instance_id)
        able_count = sum(
            body.instance_id not in excluded_ids
            for body in self._observer_candidates(excluded_ids)
        )
        return max(1, min(REQUIRED_OBSERVER_COUNT, able_count))

    def _observer_candidates(self, excluded_ids: set[InstanceId]) -> list[MemberBody]:
        """Return live members, at most as many as are needed to find enough observers.

        That is, `REQUIRED_OBSERVER_COUNT` besides those in `excluded_ids`.
        """
        limit = len(excluded_ids) + REQUIRED_OBSERVER_COUNT
        found: list[MemberBody] = []
        for record in self._store.all(RecordKind.MEMBER):
            if len(found) == limit:
                break
            if self._is_alive(record.content):
                found.append(record.content)
        return found

    def _mark_failed(
        self, instance_id: InstanceId, incarnation: int, since_ms: float
    ) -> None:
        log.warning("member failed", peer_id=instance_id, incarnation=incarnation)
        self._failed[instance_id] = _IncarnationStatus(incarnation, since_ms)
        self.change_count += 1

    def _suspicion_times(
        self, instance_id: InstanceId, observer_ids: set[InstanceId]
    ) -> list[float]:
        """Return when the observers' suspicions were written, oldest first."""
        keys = [f"{instance_id}/{observer_id}" for observer_id in observer_ids]
        times_ms = [self._store.written_ms(RecordKind.SUSPICION, key) for key in keys]
        return sorted(time_ms for time_ms in times_ms if time_ms is not None)

    def _drop_failed_members(self) -> None:
        now_ms = self._clock.now_ms()
        for instance_id, status in list(self._failed.items()):
            if now_ms - status.since_ms >= FAILED_MEMBER_RETENTION_MS:
                self._store.remove(RecordKind.MEMBER, instance_id)
                del self._failed[instance_id]
                self._last_suspected_ms.pop(instance_id, None)
                self.change_count += 1
