"""The end of a request by an error of the fleet itself."""

from dataclasses import dataclass

from cardamomrun_base.outcomes import NotRun, Outcome, Unknown

__all__ = ["EndedError", "RunState"]


class EndedError(Exception):
    """The request ends with an error of the fleet itself."""

    def __init__(
        self, kind: str, outcome: Outcome, headers: dict[str, str] | None = None
    ) -> None:
        super().__init__(kind)
        self.kind = kind
        self.outcome = outcome
        self.headers = headers


@dataclass
class RunState:
    """Whether a backend server may have run the request.

    `maybe_run` is True while bytes of the request may have reached a server that did
    not say that it did not run it; it decides the outcome of every error.

    `started_ms` is the time at which the request could begin, `server_ms` the time for
    which backend servers let it wait.
    """

    maybe_run: bool = False
    started_ms: float = 0.0
    server_ms: float = 0.0

    def error(
        self,
        kind: str,
        reason: str,
        remedy: str,
        status: int,
        retry_after_s: int | None = None,
    ) -> EndedError:
        """Return an error whose outcome follows from what was sent so far."""
        if self.maybe_run:
            remedy = f"find out whether the request was run before a resend; {remedy}"
            return EndedError(kind, Unknown(reason, remedy, status))
        return EndedError(kind, NotRun(reason, remedy, status, retry_after_s))
