"""Errors of the control state that have no counterpart in the shared package."""

from cardamomrun_base.errors import UnavailableError

__all__ = ["UnknownOutcomeError", "unknown_outcome"]


class UnknownOutcomeError(UnavailableError):
    """A command was appended to the log, and it is not known whether it will commit."""

    kind = "unknown-end"


def unknown_outcome(reason: str) -> UnknownOutcomeError:
    """Return the error for a command whose outcome is not known."""
    return UnknownOutcomeError(
        f"It is not known whether the change was made: {reason}.",
        remedy="send it again with the same change number",
    )
