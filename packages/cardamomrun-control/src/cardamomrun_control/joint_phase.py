"""The joint phase of a roster change, in which claims need the previous keepers too."""

from cardamomrun_base.clock import Clock
from cardamomrun_base.interfaces import Fleet, RosterReports
from cardamomrun_base.model import (
    InstanceId,
    Kind,
    MemberPhase,
    RosterBody,
    RosterMember,
)
from cardamomrun_base.settings import NodeSettings

__all__ = ["JointPhase"]

# Share of the lease that is added for wall clocks that differ.
LEASE_MARGIN_RATIO = 0.1


class JointPhase:
    """Decides on the leader when a joint phase may end.

    It ends one retention time after no previous member can grant a claim by the
    previous roster any more: each has reported the new epoch, is gone, or has been
    absent for longer than its roster lease. Absence is counted from when this leader
    last saw the member, and at the earliest from when it first saw the joint roster in
    its present term: an instance that is taken as failed may still receive records, but
    a leader record that is published later names the new epoch, which renews no lease
    of the previous roster.
    """

    def __init__(
        self,
        settings: NodeSettings,
        clock: Clock,
        fleet: Fleet,
        reports: RosterReports | None = None,
    ) -> None:
        self.reports = reports
        self._settings = settings
        self._clock = clock
        self._fleet = fleet
        self._phase: tuple[int, int] | None = None
        self._begun_ms = 0.0
        self._seen_ms: dict[InstanceId, float] = {}
        self._left: set[InstanceId] = set()
        self._reported: set[InstanceId] = set()
        self._all_ended_since_ms: float | None = None

    def may_end(self, term: int, roster: RosterBody) -> bool:
        """Note who is present; return True if the joint phase may end now.

        Called each round while this instance leads in `term`.
        """
        now_ms = self._clock.now_ms()
        self._follow(term, roster.epoch, now_ms)
        present = {member.instance_id for member in self._fleet.members()}
        all_ended = True
        for member in roster.previous_members:
            self._note(member, member.instance_id in present, roster.epoch, now_ms)
            all_ended = all_ended and self._has_ended(member.instance_id, now_ms)
        if not all_ended:
            self._all_ended_since_ms = None
            return False
        if self._all_ended_since_ms is None:
            self._all_ended_since_ms = now_ms
        age_ms = now_ms - self._all_ended_since_ms
        return age_ms >= self._settings.idempotency_retention_ms

    def _follow(self, term: int, epoch: int, now_ms: float) -> None:
        if self._phase == (term, epoch):
            return
        self._phase = (term, epoch)
        self._begun_ms = now_ms
        self._seen_ms.clear()
        self._left.clear()
        self._reported.clear()
        self._all_ended_since_ms = None

    def _note(
        self, member: RosterMember, is_present: bool, epoch: int, now_ms: float
    ) -> None:
        name = member.instance_id
        if is_present:
            self._seen_ms[name] = now_ms
            self._left.discard(name)
        elif self._is_gone(member):
            # Remembered, since records of gone members are dropped after a while.
            self._left.add(name)
        reported = None if self.reports is None else self.reports.roster_epoch(name)
        if reported is None:
            return
        # A restarted process may know an older roster than its earlier run.
        if reported >= epoch:
            self._reported.add(name)
        else:
            self._reported.discard(name)

    def _is_gone(self, member: RosterMember) -> bool:
        record = self._fleet.store.get(Kind.MEMBER, member.instance_id)
        if record is None:
            return False
        body = record.content
        is_gone = body.phase is MemberPhase.GONE
        return is_gone and body.incarnation >= member.incarnation

    def _has_ended(self, name: InstanceId, now_ms: float) -> bool:
        if name in self._reported or name in self._left:
            return True
        lease_ms = self._settings.roster_lease_ms * (1 + LEASE_MARGIN_RATIO)
        return now_ms - self._seen_ms.get(name, self._begun_ms) >= lease_ms
