"""Reading settings again when their file changes or SIGHUP comes."""

from collections.abc import Callable
from dataclasses import fields
from pathlib import Path

from cardamomrun_base.clock import Clock
from cardamomrun_base.errors import SettingsError
from cardamomrun_base.logs import PartLog
from cardamomrun_base.settings import NodeSettings

__all__ = ["SettingsWatch", "changed_fields"]

# Settings change a few times a day at most.
POLL_MS = 2_000
# Fields of which a part is used at once.
USED_AT_ONCE = frozenset(("fleet", "gateway"))

_log = PartLog("settings")


class SettingsWatch:
    """Calls `reload` when the settings file was replaced; bad settings are left out."""

    def __init__(self, clock: Clock, path: Path, reload: Callable[[], None]) -> None:
        self._clock = clock
        self._path = path
        self._reload = reload
        self._seen = self._state()

    async def run(self) -> None:
        """Look at the file now and then, until cancelled."""
        while True:
            await self._clock.sleep_ms(POLL_MS)
            if self._state() != self._seen:
                self.read()

    def read(self) -> None:
        """Read the settings now."""
        self._seen = self._state()
        try:
            self._reload()
        except SettingsError as error:
            _log.warning(f"keeps the settings it has: {error}")

    def _state(self) -> tuple[int, int, int] | None:
        try:
            status = self._path.stat()
        except OSError:
            # The file is being replaced; the next look finds it.
            return None
        return status.st_ino, status.st_size, status.st_mtime_ns


def changed_fields(old: NodeSettings, new: NodeSettings) -> list[str]:
    """Return the names of changed settings that apply from the next start."""
    return [
        field.name
        for field in fields(NodeSettings)
        if field.name not in USED_AT_ONCE
        and getattr(old, field.name) != getattr(new, field.name)
    ]
