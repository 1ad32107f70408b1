"""Logging through eliot: one JSON object a line, with component and instance id."""

import json
import sys
from typing import Any, TextIO

from eliot import add_destinations as _add_destinations
from eliot import add_global_fields, log_message

from cardamomrun_base.log_stream import LogStream

__all__ = ["ComponentLog", "start_logs"]


class ComponentLog:
    """Logger of one component; prefixes each text with its name, such as `front:`."""

    def __init__(self, component: str) -> None:
        self._component = component

    def info(self, sentence: str, **fields: Any) -> None:
        """Log an ordinary event; `fields` hold identifiers, not free text."""
        self._write("info", sentence, fields)

    def warning(self, sentence: str, **fields: Any) -> None:
        """Log an event that an operator may have to look at."""
        self._write("warning", sentence, fields)

    def error(self, sentence: str, **fields: Any) -> None:
        """Log a failure that needs an operator."""
        self._write("error", sentence, fields)

    def _write(self, level: str, sentence: str, fields: dict[str, Any]) -> None:
        text = f"{self._component}: {sentence}"
        log_message(
            message_type=f"cardamomrun:{self._component}",
            level=level,
            text=text,
            **fields,
        )


def start_logs(instance_id: str, stream: TextIO = sys.stderr) -> None:
    """Send all log entries of this process to `stream`, each with the instance id.

    The rate of lines is bounded, and a reader that stalls doesn't block the process.
    """
    add_global_fields(instance_id=instance_id)
    lines = LogStream(stream.fileno())
    _add_destinations(lambda entry: lines.write(_encode(entry)))


def _encode(entry: dict[str, Any]) -> bytes:
    # Eliot identifies actions by these fields; cardamomrun logs only messages.
    for name in ("task_uuid", "task_level"):
        entry.pop(name, None)
    return json.dumps(entry, default=str, separators=(",", ":")).encode()
