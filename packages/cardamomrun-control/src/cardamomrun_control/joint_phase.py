"""The joint phase of a roster change, in which a claim also needs previous keepers."""

from cardamomrun_base.clock import Clock
from cardamomrun_base.interfaces import Fleet, RosterReports
from cardamomrun_base.model import (
    InstanceId,
    MemberPhase,
    RecordKind,
    RosterBody,
    RosterMember,
)
from cardamomrun_base.settings import NodeSettings

__all__ = ["JointPhase"]

# Share of the lease that is added to allow for differing wall clocks.
LEASE_MARGIN_RATIO = 0.1


class JointPhase:
    """Decides on the leader when a joint phase may end.

    It ends one retention time after the last previous member has left the previous
    roster, that is, can no longer grant a claim under it: each has reported the new
    epoch, is gone, or has been absent for longer than its roster lease. Absence counts
    from when this leader last saw the member, and at the earliest from when it first
    saw the joint roster in its current term: an instance that is considered failed may
    still receive records, but leader records published later name the new epoch, so
    they renew no lease of the previous roster.
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
        self._phase_started_ms = 0.0
        self._last_seen_ms: dict[InstanceId, float] = {}
        self._gone_ids: set[InstanceId] = set()
        self._reported_ids: set[InstanceId] = set()
        self._all_left_since_ms: float | None = None

    def may_end(self, term: int, roster: RosterBody) -> bool:
        """Update the previous members' state; return True if the phase may end now.

        Called periodically while this instance leads in `term`.
        """
        now_ms = self._clock.now_ms()
        self._reset_if_new_phase(term, roster.epoch, now_ms)
        present = {member.instance_id for member in self._fleet.members()}
        all_left = True
        for member in roster.previous_members:
            self._update_member(
                member, member.instance_id in present, roster.epoch, now_ms
            )
            all_left = all_left and self._has_left_previous_roster(
                member.instance_id, now_ms
            )
        if not all_left:
            self._all_left_since_ms = None
            return False
        if self._all_left_since_ms is None:
            self._all_left_since_ms = now_ms
        age_ms = now_ms - self._all_left_since_ms
        return age_ms >= self._settings.idempotency_retention_ms

    def _reset_if_new_phase(self, term: int, epoch: int, now_ms: float) -> None:
        if self._phase == (term, epoch):
            return
        self._phase = (term, epoch)
        self._phase_started_ms = now_ms
        self._last_seen_ms.clear()
        self._gone_ids.clear()
        self._reported_ids.clear()
        self._all_left_since_ms = None

    def _update_member(
        self, member: RosterMember, is_present: bool, epoch: int, now_ms: float
    ) -> None:
        name = member.instance_id
        if is_present:
            self._last_seen_ms[name] = now_ms
            self._gone_ids.discard(name)
        elif self._is_gone(member):
            # Kept here, since records of gone members expire.
            self._gone_ids.add(name)
        reported = None if self.reports is None else self.reports.roster_epoch(name)
        if reported is None:
            return
        # A restarted process may have an older roster than it had before.
        if reported >= epoch:
            self._reported_ids.add(name)
        else:
            self._reported_ids.discard(name)

    def _is_gone(self, member: RosterMember) -> bool:
        record = self._fleet.store.get(RecordKind.MEMBER, member.instance_id)
        if record is None:
            return False
        body = record.content
        is_gone = body.phase is MemberPhase.GONE
        return is_gone and body.incarnation >= member.incarnation

    def _has_left_previous_roster(self, name: InstanceId, now_ms: float) -> bool:
        if name in self._reported_ids or name in self._gone_ids:
            return True
        lease_ms = self._settings.roster_lease_ms * (1 + LEASE_MARGIN_RATIO)
        return now_ms - self._last_seen_ms.get(name, self._phase_started_ms) >= lease_ms
