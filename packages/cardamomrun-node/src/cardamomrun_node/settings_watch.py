"""Reloads settings when their file changes or on SIGHUP."""

from collections.abc import Callable
from dataclasses import fields
from pathlib import Path

from cardamomrun_base.clock import Clock
from cardamomrun_base.errors import SettingsError
from cardamomrun_base.logs import ComponentLog
from cardamomrun_base.settings import NodeSettings

__all__ = ["SettingsWatch", "fields_needing_restart"]

# Settings change a few times a day at most, so rare polling is enough.
POLL_INTERVAL_MS = 2_000
# Fields that hold values which apply without a restart.
RELOADABLE_FIELDS = frozenset(("fleet", "gateway"))

_log = ComponentLog("settings")


class SettingsWatch:
    """Calls `reload` when the settings file changes.

    A `SettingsError` of `reload` is logged, and the previous settings stay in use.
    """

    def __init__(self, clock: Clock, path: Path, reload: Callable[[], None]) -> None:
        self._clock = clock
        self._path = path
        self._reload = reload
        self._last_identity = self._file_identity()

    async def run(self) -> None:
        """Poll the file every `POLL_INTERVAL_MS` until cancelled."""
        while True:
            await self._clock.sleep_ms(POLL_INTERVAL_MS)
            if self._file_identity() != self._last_identity:
                self.reload_now()

    def reload_now(self) -> None:
        """Reload the settings, whether or not their file has changed."""
        self._last_identity = self._file_identity()
        try:
            self._reload()
        except SettingsError as error:
            _log.warning(f"keeps the previous settings: {error}")

    def _file_identity(self) -> tuple[int, int, int] | None:
        try:
            status = self._path.stat()
        except OSError:
            # The file is being replaced; the next poll finds it.
            return None
        return status.st_ino, status.st_size, status.st_mtime_ns


def fields_needing_restart(old: NodeSettings, new: NodeSettings) -> list[str]:
    """Return the names of changed settings that apply only after a restart."""
    return [
        field.name
        for field in fields(NodeSettings)
        if field.name not in RELOADABLE_FIELDS
        and getattr(old, field.name) != getattr(new, field.name)
    ]
