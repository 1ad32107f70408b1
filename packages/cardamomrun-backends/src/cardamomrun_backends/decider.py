"""The decider on the control leader: collects reports and grants ejections."""

from dataclasses import dataclass, field

from cardamomrun_backends.judgement import Decision, OutlierDetector
from cardamomrun_backends.metrics import EJECTIONS_GRANTED
from cardamomrun_backends.profiles import profile_settings
from cardamomrun_backends.servers import KnownServers
from cardamomrun_base.clock import Clock
from cardamomrun_base.documents import DetectionProfile
from cardamomrun_base.interfaces import Environment, Environments, Fleet, Leadership
from cardamomrun_base.logs import ComponentLog
from cardamomrun_base.messages import Report, ReportAnswer
from cardamomrun_base.model import (
    EjectionsBody,
    EnvironmentId,
    InstanceId,
    Record,
    RecordKind,
)
from cardamomrun_base.settings import NodeSettings

__all__ = ["EJECTION_LEASE_MS", "Decider", "ReportedStatus"]

# Entry instances honour a grant for this long unless it is renewed.
EJECTION_LEASE_MS = 5_000
GRANT_RENEWAL_MS = 1_000
DECISION_INTERVAL_MS = 250
# Decisions for environments with new failures are made at this interval, a few at a
# time, so that failures in all of them at once do not delay the leader's heartbeats.
URGENT_INTERVAL_MS = 50
URGENT_BATCH_SIZE = 5
# Instances that stopped reporting are dropped from the status after this time.
REPORT_RETENTION_MS = 60_000

_log = ComponentLog("judge")


@dataclass
class ReportedStatus:
    """Status in the last report of one instance; `reported_ms` is this instance's clock."""

    failure_domain: str
    reported_ms: float
    sequence: int
    may_be_behind: bool
    roster_epoch: int
    versions: dict[EnvironmentId, int] = field(default_factory=dict)


@dataclass
class _EnvironmentState:
    """The detector of one environment and the last published decision."""

    profile: DetectionProfile
    detector: OutlierDetector
    published: Decision | None = None
    published_ms: float = 0.0


class Decider:
    """Decides on ejections in all environments while this instance leads.

    A term starts without evidence, and nothing is granted before the leadership lease
    was held for `EJECTION_LEASE_MS`: the grants of an earlier decider have ended by then
    (`docs/design.md`, section 4.4).
    """

    def __init__(
        self,
        settings: NodeSettings,
        clock: Clock,
        fleet: Fleet,
        environments: Environments,
        leadership: Leadership,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._fleet = fleet
        self._environments = environments
        self._leadership = leadership
        self._known_servers = KnownServers(clock, fleet)
        self._states: dict[EnvironmentId, _EnvironmentState] = {}
        # A dict as an ordered set: decisions are made in the order of the failure reports.
        self._urgent_environments: dict[EnvironmentId, None] = {}
        self._in_force: dict[InstanceId, ReportedStatus] = {}
        self._leadership_start: tuple[int, float] | None = None
        self._leadership_term: int | None = None
        self._grant_counter = 0
        fleet.handle(Report, self._on_report)

    def reported_statuses(self) -> dict[InstanceId, ReportedStatus]:
        """Return the last report's status of each instance that reported recently."""
        since_ms = self._clock.now_ms() - REPORT_RETENTION_MS
        recent = {
            instance_id: status
            for instance_id, status in self._in_force.items()
            if status.reported_ms >= since_ms
        }
        self._in_force = recent
        return dict(recent)

    def roster_epoch(self, instance_id: InstanceId) -> int | None:
        """Return the roster epoch last reported in this term; None without a report."""
        status = self._in_force.get(instance_id)
        return None if status is None else status.roster_epoch

    async def run(self) -> None:
        """Decide and publish until cancelled."""
        while True:
            self.tick()
            for _ in range(DECISION_INTERVAL_MS // URGENT_INTERVAL_MS - 1):
                await self._clock.sleep_ms(URGENT_INTERVAL_MS)
                self.tick_urgent()
            await self._clock.sleep_ms(URGENT_INTERVAL_MS)

    def tick(self) -> None:
        """Decide for all environments; publish grants that changed or must be renewed."""
        if not self._update_leadership():
            return
        self._urgent_environments.clear()
        for environment in list(self._environments.all()):
            self._decide(environment)

    def tick_urgent(self) -> None:
        """Decide for up to `URGENT_BATCH_SIZE` environments with new failures."""
        if not self._update_leadership():
            return
        for name in list(self._urgent_environments)[:URGENT_BATCH_SIZE]:
            del self._urgent_environments[name]
            environment = self._environments.get(name)
            if environment is not None:
                self._decide(environment)

    async def _on_report(self, peer_id: InstanceId, report: Report) -> ReportAnswer:
        if not self._update_leadership():
            return ReportAnswer(False, self._leadership.term)
        before = self._in_force.get(peer_id)
        # A report whose answer was lost is sent again with the same sequence. Counting
        # it each time would multiply the evidence during a one-way partition.
        if before is None or before.sequence != report.sequence:
            self._add_evidence(report)
        self._record_in_force(peer_id, before, report)
        return ReportAnswer(True, self._leadership.term)

    def _add_evidence(self, report: Report) -> None:
        for evidence in report.evidence:
            environment = self._environments.get(evidence.environment)
            if environment is not None:
                detector = self._state_of(environment).detector
                detector.add(report.failure_domain, evidence)
                if evidence.failed_count or evidence.unreachable_count:
                    self._urgent_environments[evidence.environment] = None

    def _record_in_force(
        self, peer_id: InstanceId, before: ReportedStatus | None, report: Report
    ) -> None:
        versions = {} if before is None else before.versions
        self._in_force[peer_id] = ReportedStatus(
            failure_domain=report.failure_domain,
            reported_ms=self._clock.now_ms(),
            sequence=report.sequence,
            may_be_behind=report.may_be_behind,
            roster_epoch=report.roster_epoch,
            versions={**versions, **dict(report.versions_in_force)},
        )

    def _update_leadership(self) -> bool:
        """Return True if this instance leads; drop the state of earlier leases and terms."""
        if not self._leadership.holds_lease():
            self._leadership_start = None
            return False
        start = (self._leadership.term, self._leadership.lease_held_since_ms())
        if start != self._leadership_start:
            self._states.clear()
            # Instances repeat unchanged versions only for a new term.
            if self._leadership_term != start[0]:
                self._in_force.clear()
            self._leadership_term = start[0]
            self._leadership_start = start
        return True

    def _state_of(self, environment: Environment) -> _EnvironmentState:
        name = environment.body.environment
        profile = environment.document.profile
        state = self._states.get(name)
        if state is None or state.profile is not profile:
            detector = OutlierDetector(profile_settings(profile), self._clock)
            state = _EnvironmentState(profile, detector)
            self._states[name] = state
        return state

    def _decide(self, environment: Environment) -> None:
        state = self._state_of(environment)
        servers = self._known_servers.in_environment(environment.body.environment)
        floor = environment.document.floor
        if not self._may_grant():
            # A decision now would start ejections that no entry instance honours. The
            # evidence is kept for the first decision that can be granted.
            return
        decision = state.detector.decide(servers, floor)
        if self._is_publication_due(state, decision):
            self._publish(environment.body.environment, state, decision)

    def _is_publication_due(self, state: _EnvironmentState, decision: Decision) -> bool:
        before = state.published
        if before is None:
            return True
        changed = (before.ejected, before.probation) != (
            decision.ejected,
            decision.probation,
        )
        if changed:
            return True
        # An empty grant needs no renewal: nothing changes when its lease ends.
        in_use = bool(decision.ejected or decision.probation)
        return in_use and self._clock.now_ms() - state.published_ms >= GRANT_RENEWAL_MS

    def _may_grant(self) -> bool:
        if not self._leadership.holds_lease() or self._leadership_start is None:
            return False
        start = (self._leadership.term, self._leadership.lease_held_since_ms())
        held_ms = self._clock.now_ms() - start[1]
        return start == self._leadership_start and held_ms >= EJECTION_LEASE_MS

    def _publish(
        self, environment: EnvironmentId, state: _EnvironmentState, decision: Decision
    ) -> None:
        term = self._leadership.term
        body = EjectionsBody(
            environment=environment,
            decider_id=self._fleet.instance_id,
            decider_epoch=term,
            server_ids=decision.ejected,
            probation_server_ids=decision.probation,
            lease_ms=EJECTION_LEASE_MS,
        )
        record = Record.from_content(
            RecordKind.EJECTIONS,
            environment,
            self._fleet.instance_id,
            (term, self._grant_counter),
            body,
            EJECTION_LEASE_MS,
        )
        # The lease may have ended during the decision, for example in a process pause.
        if not self._may_grant() or self._leadership.term != term:
            _log.warning(f"{environment}: the lease ended; ejections not published")
            return
        self._grant_counter += 1
        before = state.published or Decision()
        granted_count = len(set(decision.ejected) - set(before.ejected))
        EJECTIONS_GRANTED.labels(environment).inc(granted_count)
        state.published = decision
        state.published_ms = self._clock.now_ms()
        self._fleet.store.put(record)
