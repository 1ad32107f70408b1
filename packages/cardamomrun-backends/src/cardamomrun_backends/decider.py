"""The decider on the control leader: pools reports and grants ejections."""

from dataclasses import dataclass, field

from cardamomrun_backends.judgement import Decision, ServiceJudgement
from cardamomrun_backends.metrics import EJECTIONS_GRANTED
from cardamomrun_backends.profiles import profile_settings
from cardamomrun_backends.servers import KnownServers
from cardamomrun_base.clock import Clock
from cardamomrun_base.documents import Profile
from cardamomrun_base.interfaces import Environment, Environments, Fleet, Leadership
from cardamomrun_base.logs import PartLog
from cardamomrun_base.messages import Report, ReportAnswer
from cardamomrun_base.model import (
    EjectionsBody,
    EnvironmentId,
    InstanceId,
    Kind,
    Record,
)
from cardamomrun_base.settings import NodeSettings

__all__ = ["EJECTION_LEASE_MS", "Decider", "InForce"]

# Entry instances honour a grant for this long unless it is renewed.
EJECTION_LEASE_MS = 5_000
RENEW_MS = 1_000
DECIDE_MS = 250
# Environments with new failures are judged at this interval, a few at a time, so that
# failures in all of them at once do not keep the leader from its heartbeats.
URGENT_MS = 50
URGENT_COUNT = 5
# Instances that stopped reporting are left out of the status after this time.
REPORT_MEMORY_MS = 60_000

_log = PartLog("judge")


@dataclass
class InForce:
    """What one instance last reported; times are monotonic on this instance."""

    failure_domain: str
    reported_ms: float
    sequence: int
    may_be_behind: bool
    roster_epoch: int
    versions: dict[EnvironmentId, int] = field(default_factory=dict)


@dataclass
class _Service:
    profile: Profile
    judgement: ServiceJudgement
    published: Decision | None = None
    published_ms: float = 0.0


class Decider:
    """Judges all environments while this instance leads.

    A term starts without evidence and grants nothing for one full lease, so that the
    grants of an earlier decider have ended (`docs/design.md`, section 4.4).
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
        self._known = KnownServers(clock, fleet)
        self._services: dict[EnvironmentId, _Service] = {}
        # Ordered, so that each environment gets its turn.
        self._urgent: dict[EnvironmentId, None] = {}
        self._in_force: dict[InstanceId, InForce] = {}
        self._lead_start: tuple[int, float] | None = None
        self._lead_term: int | None = None
        self._counter = 0
        fleet.handle(Report, self._on_report)

    def in_force(self) -> dict[InstanceId, InForce]:
        """Return what each instance that reported lately has in force."""
        since_ms = self._clock.now_ms() - REPORT_MEMORY_MS
        recent = {
            instance_id: status
            for instance_id, status in self._in_force.items()
            if status.reported_ms >= since_ms
        }
        self._in_force = recent
        return dict(recent)

    def roster_epoch(self, instance_id: InstanceId) -> int | None:
        """Return the roster epoch that an instance last reported in this term."""
        status = self._in_force.get(instance_id)
        return None if status is None else status.roster_epoch

    async def run(self) -> None:
        """Decide and publish until cancelled."""
        while True:
            self.tick()
            for _ in range(DECIDE_MS // URGENT_MS - 1):
                await self._clock.sleep_ms(URGENT_MS)
                self.tick_urgent()
            await self._clock.sleep_ms(URGENT_MS)

    def tick(self) -> None:
        """Judge all environments and publish what changed or is due."""
        if not self._follow_leadership():
            return
        self._urgent.clear()
        for environment in list(self._environments.all()):
            self._judge(environment)

    def tick_urgent(self) -> None:
        """Judge some environments with new failures."""
        if not self._follow_leadership():
            return
        for name in list(self._urgent)[:URGENT_COUNT]:
            del self._urgent[name]
            environment = self._environments.get(name)
            if environment is not None:
                self._judge(environment)

    async def _on_report(self, peer_id: InstanceId, report: Report) -> ReportAnswer:
        if not self._follow_leadership():
            return ReportAnswer(False, self._leadership.term)
        before = self._in_force.get(peer_id)
        # A report whose answer was lost is sent again with the same sequence; counting
        # it twice would multiply the evidence behind a one-way partition.
        if before is None or before.sequence != report.sequence:
            self._add_evidence(report)
        self._note(peer_id, before, report)
        return ReportAnswer(True, self._leadership.term)

    def _add_evidence(self, report: Report) -> None:
        for evidence in report.evidence:
            environment = self._environments.get(evidence.environment)
            if environment is not None:
                judgement = self._service(environment).judgement
                judgement.add(report.failure_domain, evidence)
                if evidence.failed_count or evidence.unreachable_count:
                    self._urgent[evidence.environment] = None

    def _note(
        self, peer_id: InstanceId, before: InForce | None, report: Report
    ) -> None:
        versions = {} if before is None else before.versions
        self._in_force[peer_id] = InForce(
            failure_domain=report.failure_domain,
            reported_ms=self._clock.now_ms(),
            sequence=report.sequence,
            may_be_behind=report.may_be_behind,
            roster_epoch=report.roster_epoch,
            versions={**versions, **dict(report.versions_in_force)},
        )

    def _follow_leadership(self) -> bool:
        """Return True if this instance leads; forget everything of earlier terms."""
        if not self._leadership.holds_lease():
            self._lead_start = None
            return False
        start = (self._leadership.term, self._leadership.lease_held_since_ms())
        if start != self._lead_start:
            self._services.clear()
            # Instances repeat unchanged versions only for a new term.
            if self._lead_term != start[0]:
                self._in_force.clear()
            self._lead_term = start[0]
            self._lead_start = start
        return True

    def _service(self, environment: Environment) -> _Service:
        name = environment.body.environment
        profile = environment.document.profile
        service = self._services.get(name)
        if service is None or service.profile is not profile:
            judgement = ServiceJudgement(profile_settings(profile), self._clock)
            service = _Service(profile, judgement)
            self._services[name] = service
        return service

    def _judge(self, environment: Environment) -> None:
        service = self._service(environment)
        servers = self._known.of(environment.body.environment)
        floor = environment.document.floor
        if not self._may_grant():
            # Decisions before the first grant would start ejection times that no entry
            # instance honours; the evidence waits.
            return
        decision = service.judgement.decide(servers, floor)
        if self._is_due(service, decision):
            self._publish(environment.body.environment, service, decision)

    def _is_due(self, service: _Service, decision: Decision) -> bool:
        before = service.published
        if before is None:
            return True
        changed = (before.ejected, before.probation) != (
            decision.ejected,
            decision.probation,
        )
        if changed:
            return True
        # An empty grant needs no renewal; it ends by itself without effect.
        in_use = bool(decision.ejected or decision.probation)
        return in_use and self._clock.now_ms() - service.published_ms >= RENEW_MS

    def _may_grant(self) -> bool:
        if not self._leadership.holds_lease() or self._lead_start is None:
            return False
        start = (self._leadership.term, self._leadership.lease_held_since_ms())
        held_ms = self._clock.now_ms() - start[1]
        return start == self._lead_start and held_ms >= EJECTION_LEASE_MS

    def _publish(
        self, environment: EnvironmentId, service: _Service, decision: Decision
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
        record = Record.of(
            Kind.EJECTIONS,
            environment,
            self._fleet.instance_id,
            (term, self._counter),
            body,
            EJECTION_LEASE_MS,
        )
        # The lease may have ended during the decision, for example in a pause.
        if not self._may_grant() or self._leadership.term != term:
            _log.warning(f"{environment}: the lease ended; ejections not published")
            return
        self._counter += 1
        before = service.published or Decision()
        granted_count = len(set(decision.ejected) - set(before.ejected))
        EJECTIONS_GRANTED.labels(environment).inc(granted_count)
        service.published = decision
        service.published_ms = self._clock.now_ms()
        self._fleet.store.put(record)
