"""Errors of the control state that have no counterpart in the shared package."""

from cardamomrun_base.errors import UnavailableError

__all__ = ["UnknownEndError", "unknown_end"]


class UnknownEndError(UnavailableError):
    """A command was appended to the log and it is not known whether it commits."""

    kind = "unknown-end"


def unknown_end(reason: str) -> UnknownEndError:
    """Return the error for a command whose end is not known."""
    return UnknownEndError(
        f"It is not known whether the change was made: {reason}.",
        remedy="send it again with the same change number",
    )
