"""Sends the evidence of this instance to the decider."""

from cardamomrun_backends.backends import LiveBackends
from cardamomrun_base.clock import Clock
from cardamomrun_base.errors import CardamomrunError
from cardamomrun_base.interfaces import Environments, Fleet
from cardamomrun_base.logs import ComponentLog
from cardamomrun_base.messages import Report, ReportAnswer
from cardamomrun_base.model import EnvironmentId, InstanceId, LeaderBody, RecordKind
from cardamomrun_base.settings import NodeSettings

__all__ = ["Reporter"]

LEADER_KEY = "control"
ROSTER_KEY = "claims"
# After failures, the next report may follow the last one after this time. Waiting for the
# regular report was half of the time to detect a server that fails all requests.
EARLY_REPORT_MS = 125
EARLY_POLL_MS = 25
REQUEST_TIMEOUT_MS = 1_000
# Older evidence no longer describes the state of the servers and is dropped.
MAX_EVIDENCE_AGE_MS = 10_000

_log = ComponentLog("judge")


class Reporter:
    """Sends a report every `report_ms` to the instance in the leader record.

    A report that was not accepted is sent again with the same sequence, so that the
    decider counts it once; newer evidence is collected for the report after it.
    """

    def __init__(
        self,
        settings: NodeSettings,
        clock: Clock,
        fleet: Fleet,
        backends: LiveBackends,
        environments: Environments,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._fleet = fleet
        self._evidence = backends.evidence
        self._environments = environments
        # Starts at the wall time, so that a restarted process reuses no sequence.
        self._sequence = clock.wall_ms()
        self._unaccepted: Report | None = None
        self._waiting_since_ms = clock.now_ms()
        self._leader: tuple[InstanceId, int] | None = None
        self._accepted_versions: dict[EnvironmentId, int] = {}
        self._is_failing = False

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            await self.report()
            await self._wait_until_due()

    async def _wait_until_due(self) -> None:
        """Wait for `report_ms`; attempts that fail cut this to `EARLY_REPORT_MS` or more."""
        due_ms = self._clock.now_ms() + self._settings.report_ms
        await self._clock.sleep_ms(min(EARLY_REPORT_MS, self._settings.report_ms))
        while self._clock.now_ms() < due_ms and not self._evidence.has_failures:
            left_ms = due_ms - self._clock.now_ms()
            await self._clock.sleep_ms(min(EARLY_POLL_MS, left_ms))

    async def report(self) -> None:
        """Send one report if a leader is known; keep it if it is not accepted."""
        self._drop_stale_evidence()
        record = self._fleet.store.get(RecordKind.LEADER, LEADER_KEY)
        if record is None:
            return
        self._update_leader(record.content)
        report = self._unaccepted or self._build_report()
        self._unaccepted = report
        accepted = await self._send(record.content.instance_id, report)
        if accepted:
            self._unaccepted = None
            self._waiting_since_ms = self._clock.now_ms()
            self._accepted_versions.update(report.versions_in_force)
        if accepted is self._is_failing:
            self._is_failing = not accepted
            state = "answers" if accepted else "does not answer"
            _log.info(f"decider {record.content.instance_id} {state} reports")

    async def _send(self, leader_id: InstanceId, report: Report) -> bool:
        try:
            answer = await self._fleet.request(
                leader_id, report, timeout_ms=REQUEST_TIMEOUT_MS
            )
        except CardamomrunError:
            return False
        return isinstance(answer, ReportAnswer) and answer.accepted

    def _update_leader(self, leader: LeaderBody) -> None:
        """For a new leader, start a new report with the same evidence and all versions."""
        identity = (leader.instance_id, leader.term)
        if identity == self._leader:
            return
        self._leader = identity
        self._accepted_versions = {}
        if self._unaccepted is not None:
            self._evidence.restore(self._unaccepted.evidence)
            self._unaccepted = None

    def _build_report(self) -> Report:
        self._sequence += 1
        return Report(
            instance_id=self._settings.instance_id,
            failure_domain=self._settings.failure_domain,
            sequence=self._sequence,
            evidence=self._evidence.pop_all(),
            versions_in_force=self._changed_versions(),
            may_be_behind=self._fleet.may_be_behind(),
            roster_epoch=self._roster_epoch(),
        )

    def _roster_epoch(self) -> int:
        record = self._fleet.store.get(RecordKind.ROSTER, ROSTER_KEY)
        return 0 if record is None else record.content.epoch

    def _changed_versions(self) -> tuple[tuple[EnvironmentId, int], ...]:
        versions = (
            (environment.body.environment, environment.body.version)
            for environment in self._environments.all()
        )
        return tuple(
            (name, version)
            for name, version in versions
            if self._accepted_versions.get(name) != version
        )

    def _drop_stale_evidence(self) -> None:
        """Drop evidence that no decider accepted in time; report all versions again."""
        waited_ms = self._clock.now_ms() - self._waiting_since_ms
        if waited_ms < MAX_EVIDENCE_AGE_MS:
            return
        self._waiting_since_ms = self._clock.now_ms()
        self._accepted_versions = {}
        self._unaccepted = None
        self._evidence.pop_all()
