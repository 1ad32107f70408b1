"""What an attempt tells about the backend server."""

from dataclasses import dataclass
from enum import Enum

from tornado.httputil import HTTPHeaders, ResponseStartLine

from cardamomrun_base import headers as names
from cardamomrun_base.documents import Route
from cardamomrun_base.interfaces import Attempt, AttemptResult
from cardamomrun_base.model import BackendBody
from cardamomrun_requests.request_path import RequestPath
from cardamomrun_requests.upstream import ConnectError, open_connection

__all__ = ["Check", "Evidence", "says_not_run"]


class Check(Enum):
    """What a fresh connection must decide before a server is charged."""

    NONE = "none"
    DIED = "died"
    SILENT = "silent"


@dataclass
class Evidence:
    """The result of one attempt as far as it is known."""

    result: AttemptResult = AttemptResult.NO_EVIDENCE
    retry_after_s: int | None = None
    check: Check = Check.NONE
    reused: bool = False

    def judge_head(
        self,
        start_line: ResponseStartLine,
        headers: HTTPHeaders,
        elapsed_ms: float,
        route: Route,
    ) -> None:
        """Judge an answer head that came `elapsed_ms` after the server had all."""
        retry_after = headers.get(names.RETRY_AFTER, "")
        if retry_after.isascii() and retry_after.isdigit():
            self.retry_after_s = int(retry_after[:6])
        shed = says_not_run(start_line, headers) or self.retry_after_s is not None
        if start_line.code == 503 and shed:
            self.result = AttemptResult.SHED
        elif start_line.code >= 500:
            self.result = AttemptResult.FAILED
        elif elapsed_ms > route.slow_ms:
            self.result = AttemptResult.SLOW
        else:
            self.result = AttemptResult.GOOD

    def judge_silence(self, elapsed_ms: float, route: Route) -> None:
        """Charge a server as slow if the deadline or the caller ended a long wait."""
        if elapsed_ms > route.slow_ms:
            self.result = AttemptResult.SLOW

    async def decide(
        self, path: RequestPath, attempt: Attempt, fingerprint: str
    ) -> None:
        """Find out by a fresh connection whether the server is to be charged."""
        try:
            if self.check is Check.DIED and await path.quarantine.connection_died(
                attempt, fingerprint
            ):
                self.result = AttemptResult.NO_EVIDENCE
            elif self.reused:
                self.result = await _try_fresh_connection(attempt.server)
        finally:
            self.report(path, attempt)

    def report(self, path: RequestPath, attempt: Attempt) -> None:
        """End the attempt."""
        shed = self.result is AttemptResult.SHED
        retry_after_s = self.retry_after_s if shed else None
        path.backends.finished(attempt, self.result, retry_after_s=retry_after_s)


def says_not_run(start_line: ResponseStartLine, headers: HTTPHeaders) -> bool:
    """Return True if the server said by the contract that it did not run a request."""
    return start_line.code == 503 and headers.get(names.NOT_RUN, "").lower() == "true"


async def _try_fresh_connection(server: BackendBody) -> AttemptResult:
    try:
        connection = await open_connection(server)
    except ConnectError:
        return AttemptResult.UNREACHABLE
    connection.close()
    return AttemptResult.NO_EVIDENCE
