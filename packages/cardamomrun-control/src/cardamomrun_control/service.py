"""The control role of a node."""

import asyncio
from contextlib import suppress

from tornado.web import URLSpec

from cardamomrun_base.clock import Clock
from cardamomrun_base.interfaces import Fleet, Leadership, RosterReports
from cardamomrun_base.settings import NodeSettings
from cardamomrun_control.agreement import Agreement
from cardamomrun_control.checked import CheckedDocuments
from cardamomrun_control.metrics import export_metrics
from cardamomrun_control.operator_api import OperatorContext, operator_routes
from cardamomrun_control.publisher import Publisher
from cardamomrun_control.state import ControlState
from cardamomrun_control.storage import DurableLog
from cardamomrun_control.tokens import OperatorTokens

__all__ = ["ControlService"]


class ControlService:
    """Combines log, state, consensus, publisher and the operators' interface.

    `start` raises `StorageError` if the data folder cannot be used and `SettingsError`
    if the token file is invalid. A new cluster forms once all instances in
    `settings.control.voters` are reachable; after that a majority is enough.
    """

    def __init__(self, settings: NodeSettings, clock: Clock, fleet: Fleet) -> None:
        assert settings.control is not None
        self._settings = settings.control
        self._state = ControlState()
        log = DurableLog(self._settings.data_folder)
        self._agreement = Agreement(settings, clock, fleet, log, self._state)
        self._checked = CheckedDocuments()
        self._publisher = Publisher(
            settings, clock, fleet, self._agreement, self._state, self._checked
        )
        self._agreement.on_commit = self._publisher.publish
        self._context = OperatorContext(
            clock, self._agreement, self._state, self._checked
        )
        self._task: asyncio.Task | None = None

    @property
    def leadership(self) -> Leadership:
        """Whether this instance leads."""
        return self._agreement

    def set_roster_reports(self, reports: RosterReports) -> None:
        """Use `reports` as the source of the roster epochs that instances reported."""
        self._publisher.set_roster_reports(reports)

    async def start(self) -> None:
        """Open the data folder and start consensus and publishing."""
        assert self._settings.operator_tokens_file is not None
        tokens = OperatorTokens(self._settings.operator_tokens_file)
        await self._agreement.start()
        export_metrics(self._agreement)
        self._context.tokens = tokens
        self._publisher.publish()
        self._task = asyncio.get_running_loop().create_task(self._publisher.run())

    async def stop(self) -> None:
        """Stop publishing, hand over leadership and stop consensus."""
        if self._task is not None:
            self._task.cancel()
            with suppress(asyncio.CancelledError):
                await self._task
        await self._agreement.hand_over()
        await self._agreement.stop()
        await self._checked.stop()

    def routes(self) -> list[URLSpec]:
        """Return the URL specifications for the admin listener."""
        return operator_routes(self._context)
