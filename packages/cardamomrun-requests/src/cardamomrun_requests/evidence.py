"""Evidence about a backend server from one attempt."""

from dataclasses import dataclass
from enum import Enum

from tornado.httputil import HTTPHeaders, ResponseStartLine

from cardamomrun_base import headers as names
from cardamomrun_base.documents import Route
from cardamomrun_base.interfaces import Attempt, AttemptResult
from cardamomrun_base.model import BackendBody
from cardamomrun_requests.request_path import RequestServices
from cardamomrun_requests.upstream import ConnectError, open_connection

__all__ = ["ServerCheck", "Evidence", "is_not_run_response"]


class ServerCheck(Enum):
    """What a new connection must confirm before a failure counts against a server."""

    NONE = "none"
    CRASHED = "died"
    SILENT = "silent"


@dataclass
class Evidence:
    """The result of one attempt, updated while the attempt runs."""

    result: AttemptResult = AttemptResult.NO_EVIDENCE
    retry_after_s: int | None = None
    check: ServerCheck = ServerCheck.NONE
    reused: bool = False

    def classify_head(
        self,
        start_line: ResponseStartLine,
        headers: HTTPHeaders,
        elapsed_ms: float,
        route: Route,
    ) -> None:
        """Set the result from a response head.

        `elapsed_ms` is the time for which the proxy waited for the server.
        """
        retry_after = headers.get(names.RETRY_AFTER, "")
        if retry_after.isascii() and retry_after.isdigit():
            self.retry_after_s = int(retry_after[:6])
        shed = (
            is_not_run_response(start_line, headers) or self.retry_after_s is not None
        )
        if start_line.code == 503 and shed:
            self.result = AttemptResult.SHED
        elif start_line.code >= 500:
            self.result = AttemptResult.FAILED
        elif elapsed_ms > route.slow_ms:
            self.result = AttemptResult.SLOW
        else:
            self.result = AttemptResult.GOOD

    def classify_wait(self, elapsed_ms: float, route: Route) -> None:
        """Set the result to slow if a wait that was cancelled exceeded `slow_ms`."""
        if elapsed_ms > route.slow_ms:
            self.result = AttemptResult.SLOW

    async def check_and_report(
        self, services: RequestServices, attempt: Attempt, fingerprint: str
    ) -> None:
        """Check by a new connection whether the failure counts, then report the result."""
        try:
            if (
                self.check is ServerCheck.CRASHED
                and await services.quarantine.confirm_crash(attempt, fingerprint)
            ):
                self.result = AttemptResult.NO_EVIDENCE
            elif self.reused:
                self.result = await _try_new_connection(attempt.server)
        finally:
            self.report(services, attempt)

    def report(self, services: RequestServices, attempt: Attempt) -> None:
        """Report the result and the end of the attempt to `backends`."""
        shed = self.result is AttemptResult.SHED
        retry_after_s = self.retry_after_s if shed else None
        services.backends.finished(attempt, self.result, retry_after_s=retry_after_s)


def is_not_run_response(start_line: ResponseStartLine, headers: HTTPHeaders) -> bool:
    """Return True if the response declares that the server did not run the request."""
    return start_line.code == 503 and headers.get(names.NOT_RUN, "").lower() == "true"


async def _try_new_connection(server: BackendBody) -> AttemptResult:
    try:
        connection = await open_connection(server)
    except ConnectError:
        return AttemptResult.UNREACHABLE
    connection.close()
    return AttemptResult.NO_EVIDENCE
