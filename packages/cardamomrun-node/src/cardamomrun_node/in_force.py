"""`GET /v1/in-force`: which versions are in force on how many instances."""

import json
from typing import Any

from tornado.web import RequestHandler

from cardamomrun_backends.decider import Decider, ReportedStatus
from cardamomrun_base.clock import Clock
from cardamomrun_base.interfaces import Environment, Environments, Fleet, Leadership
from cardamomrun_base.model import EnvironmentBody, InstanceId, MemberBody, RecordKind
from cardamomrun_base.settings import Role

__all__ = ["InForceHandler"]

STATUS_MISDIRECTED = 421
STALE_REPORT_MS = 5_000


class InForceHandler(RequestHandler):
    """Answers on the leader, to which entry instances report; others answer 421."""

    def initialize(
        self,
        clock: Clock,
        fleet: Fleet,
        environments: Environments,
        decider: Decider,
        leadership: Leadership,
    ) -> None:
        """Store the parts whose state is shown."""
        self._clock = clock
        self._fleet = fleet
        self._environments = environments
        self._decider = decider
        self._leadership = leadership

    def get(self) -> None:
        """Write the status, or 421 with the leader's address."""
        self.set_header("Content-Type", "application/json")
        if not self._leadership.holds_lease():
            self.set_status(STATUS_MISDIRECTED)
            self.write(json.dumps(self._not_leader_error()))
            return
        self.write(json.dumps(self._status()))

    def _not_leader_error(self) -> dict[str, Any]:
        record = self._fleet.store.get(RecordKind.LEADER, "control")
        leader = record.content.admin_address if record is not None else None
        return {
            "error": "not-leader",
            "message": "this control instance does not lead.",
            "remedy": "ask the leader, or wait for an election",
            "leader_admin_address": leader,
        }

    def _status(self) -> dict[str, Any]:
        entries = [
            member for member in self._fleet.members() if Role.ENTRY in member.roles
        ]
        reports = self._decider.reported_statuses()
        return {
            "instance_count": len(entries),
            "environments": [
                self._environment_status(environment, entries, reports)
                for environment in self._environments.all()
            ],
        }

    def _environment_status(
        self,
        environment: Environment,
        entries: list[MemberBody],
        reports: dict[InstanceId, ReportedStatus],
    ) -> dict[str, Any]:
        body = environment.body
        behind = {
            member.instance_id: reason
            for member in entries
            if (reason := self._reason_behind(body, reports.get(member.instance_id)))
        }
        return {
            "environment": body.environment,
            "version": body.version,
            "in_force_count": len(entries) - len(behind),
            "behind": behind,
        }

    def _reason_behind(
        self, body: EnvironmentBody, report: ReportedStatus | None
    ) -> str:
        """Return why an instance is not counted; empty if it has the version."""
        if report is None:
            return "has not reported to this leader"
        version = report.versions.get(body.environment, 0)
        if version >= body.version:
            return ""
        age_ms = int(self._clock.now_ms() - report.reported_ms)
        if age_ms > STALE_REPORT_MS:
            return f"runs version {version}; its last report is {age_ms} ms old"
        return f"runs version {version}"
