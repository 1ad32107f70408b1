"""Logging through eliot: one JSON object a line, with component and instance id."""

import json
import sys
import traceback
from pathlib import Path
from typing import Any, TextIO

from eliot import add_destinations as _add_destinations
from eliot import add_global_fields, log_message

from cardamomrun_base.errors import CardamomrunError
from cardamomrun_base.log_stream import LogStream

__all__ = ["ComponentLog", "describe_error", "start_logs"]


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


def describe_error(error: BaseException) -> str:
    """Return type and place of an unexpected error, and the text of the project's own.

    Texts of other errors may quote what a client sent, such as a header with its key:
    that of `UnicodeEncodeError` contains the whole text that could not be encoded.
    """
    if isinstance(error, CardamomrunError):
        return repr(error)
    frames = traceback.extract_tb(error.__traceback__, limit=-1)
    place = "".join(f" at {Path(f.filename).name}:{f.lineno}" for f in frames)
    return f"{type(error).__name__}{place}"


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
