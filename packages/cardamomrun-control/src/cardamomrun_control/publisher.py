"""Publishes committed state as records, and maintains the roster of claim keepers."""

from collections.abc import Iterable
from dataclasses import replace

from cardamomrun_base.clock import Clock
from cardamomrun_base.errors import StorageError, UnavailableError
from cardamomrun_base.interfaces import Fleet, RosterReports
from cardamomrun_base.logs import ComponentLog
from cardamomrun_base.model import (
    EnvironmentBody,
    LeaderBody,
    MemberBody,
    MemberPhase,
    Record,
    RecordKind,
    RosterBody,
    RosterMember,
)
from cardamomrun_base.settings import NodeSettings, Role
from cardamomrun_control.agreement import Agreement
from cardamomrun_control.checked import CheckedDocuments
from cardamomrun_control.joint_phase import JointPhase
from cardamomrun_control.state import ControlState, EndJointRoster, SetRoster
from cardamomrun_control.status import LEADER_KEY

__all__ = ["LEADER_KEY", "ROSTER_KEY", "Publisher"]

ROSTER_KEY = "claims"
ROUND_MS = 200
# Interval between confirmations of the leader record, far below the default roster
# lease that they renew.
CONFIRM_MS = 60_000
# With a short roster lease, the leader record is confirmed this many times per lease.
CONFIRMS_PER_LEASE = 10

_log = ComponentLog("control")


class Publisher:
    """Puts records of the committed state into this instance's store.

    Versions come from the log and only increase, so an instance that is behind
    never replaces a newer record.
    """

    def __init__(
        self,
        settings: NodeSettings,
        clock: Clock,
        fleet: Fleet,
        agreement: Agreement,
        state: ControlState,
        checked: CheckedDocuments | None = None,
    ) -> None:
        self._settings = settings
        self._checked = checked or CheckedDocuments()
        self._clock = clock
        self._fleet = fleet
        self._agreement = agreement
        self._state = state
        self._members: tuple[RosterMember, ...] = ()
        self._members_since_ms = clock.now_ms()
        self._roster_members: tuple[RosterMember, ...] = ()
        self._roster_since_ms = clock.now_ms()
        self._confirmed_ms = float("-inf")
        self._joint_phase = JointPhase(settings, clock, fleet)

    def set_roster_reports(self, reports: RosterReports) -> None:
        """Use `reports` as the source of reported epochs when ending a joint phase."""
        self._joint_phase.reports = reports

    def publish(self) -> None:
        """Publish the environments and the roster that are committed here.

        A long document is published later, once a thread has parsed it.
        """
        for body in self._state.environments():
            version = (0, body.version)
            stored = self._fleet.store.get(RecordKind.ENVIRONMENT, body.environment)
            if stored is None or stored.version < version:
                self._publish_environment(body)
        self._publish_roster()

    def _publish_environment(self, body: EnvironmentBody) -> None:
        # Every control instance waits for the parsed form, since records of equal
        # versions must have equal bodies.
        checked = self._checked.get(
            body.digest, body.document, body.environment, self.publish
        )
        if checked is not None:
            body = replace(body, checked=checked)
            version = (0, body.version)
            self._put_record(RecordKind.ENVIRONMENT, body.environment, version, body)

    async def run(self) -> None:
        """Publish the leader record and renew the roster while this instance leads."""
        while True:
            self.publish_leader()
            try:
                await self.renew_roster()
            except (UnavailableError, StorageError) as error:
                _log.warning(f"could not change the roster: {error}")
            await self._clock.sleep_ms(ROUND_MS)

    def publish_leader(self) -> None:
        """Publish that this instance leads, if it holds the leader lease.

        The record is confirmed with the wall time at least each `CONFIRM_MS`, which
        renews the roster lease of the claim keepers, and when the roster changes.
        """
        # Read before the lease is checked, so that the confirmed time is within it.
        wall_ms = self._clock.wall_ms()
        if not self._agreement.holds_lease():
            return
        settings = self._settings
        body = LeaderBody(
            settings.instance_id,
            self._agreement.term,
            settings.admin_address,
            settings.published_peer_address,
            confirmed_wall_ms=wall_ms,
            roster_epoch=self._state.roster.epoch,
        )
        stored = self._fleet.store.get(RecordKind.LEADER, LEADER_KEY)
        counter = 1
        if stored is not None and stored.epoch == body.term:
            before = replace(stored.content, confirmed_wall_ms=wall_ms)
            if before == body and not self._is_confirmation_due():
                return
            counter = stored.counter + 1
        self._confirmed_ms = self._clock.now_ms()
        self._put_record(RecordKind.LEADER, LEADER_KEY, (body.term, counter), body)

    def _is_confirmation_due(self) -> bool:
        interval_ms = min(
            CONFIRM_MS, self._settings.roster_lease_ms / CONFIRMS_PER_LEASE
        )
        return self._clock.now_ms() - self._confirmed_ms >= interval_ms

    async def renew_roster(self) -> None:
        """Propose a new roster if the members differ from the committed roster.

        The first roster is formed after `roster_settle_ms` without a change of the
        members; later ones also at intervals of at least the retention time, since a
        claim made under one roster must be found under the next. A change begins a
        joint phase, and no other change is proposed before that has ended.
        """
        now_ms = self._clock.now_ms()
        members = _claim_keepers(self._fleet.members())
        if members != self._members:
            self._members = members
            self._members_since_ms = now_ms
        self._track_roster_age()
        roster = self._state.roster
        if roster.previous_members:
            await self._end_joint_phase(roster)
            return
        if not members or members == roster.members:
            return
        if not self._agreement.holds_lease() or not self._is_settled(now_ms):
            return
        command = SetRoster(self._clock.wall_ms(), roster.epoch, members)
        await self._agreement.propose(command)
        _log.info(f"roster {roster.epoch + 1} has {len(members)} members")

    async def _end_joint_phase(self, roster: RosterBody) -> None:
        if not self._agreement.holds_lease():
            return
        if self._joint_phase.may_end(self._agreement.term, roster):
            command = EndJointRoster(self._clock.wall_ms(), roster.epoch)
            await self._agreement.propose(command)
            _log.info(f"the joint phase of roster {roster.epoch} has ended")

    def _is_settled(self, now_ms: float) -> bool:
        if now_ms - self._members_since_ms < self._settings.roster_settle_ms:
            return False
        if self._state.roster.epoch == 0:
            return True
        age_ms = now_ms - self._roster_since_ms
        return age_ms >= self._settings.idempotency_retention_ms

    def _track_roster_age(self) -> None:
        # The age counts from the arrival here, not from the time in the command, since
        # clocks of different instances cannot be compared.
        if self._state.roster.members != self._roster_members:
            self._roster_members = self._state.roster.members
            self._roster_since_ms = self._clock.now_ms()

    def _publish_roster(self) -> None:
        self._track_roster_age()
        roster = self._state.roster
        stored = self._fleet.store.get(RecordKind.ROSTER, ROSTER_KEY)
        if roster.epoch and (stored is None or stored.version < (0, roster.epoch)):
            self._put_record(RecordKind.ROSTER, ROSTER_KEY, (0, roster.epoch), roster)

    def _put_record(
        self, kind: RecordKind, key: str, version: tuple[int, int], body: object
    ) -> None:
        owner_id = self._settings.instance_id
        self._fleet.store.put(Record.from_content(kind, key, owner_id, version, body))


def _claim_keepers(members: Iterable[MemberBody]) -> tuple[RosterMember, ...]:
    keepers = [
        RosterMember(member.instance_id, member.incarnation, member.failure_domain)
        for member in members
        if member.phase == MemberPhase.SERVING and Role.ENTRY in member.roles
    ]
    return tuple(sorted(keepers, key=lambda keeper: keeper.instance_id))
