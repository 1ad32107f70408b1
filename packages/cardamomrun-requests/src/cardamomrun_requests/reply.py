"""The answer to a caller."""

import asyncio
import json
import socket
import struct
from collections.abc import Callable

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders, ResponseStartLine, responses

from cardamomrun_base import headers as names
from cardamomrun_base.outcomes import Done, Outcome
from cardamomrun_requests.framing import end_to_end_headers, without_body
from cardamomrun_requests.request import CallerRequest

__all__ = ["Reply"]

# Closing a socket while the caller still sends resets the connection, and the caller
# may lose the answer; so the rest of an upload is read and dropped for this time.
LINGER_S = 1.0


class Reply:
    """Writes one answer; each has an outcome, a request id and the instance id."""

    def __init__(
        self,
        connection: HTTP1Connection,
        request: CallerRequest,
        instance_id: str,
        close_after: Callable[[], None],
    ) -> None:
        self.started = False
        self.leaving = False
        self.outcome_tag = "none"
        self._connection = connection
        self._request = request
        self._instance_id = instance_id
        self._close_after = close_after
        self._until_close = False

    async def start(
        self, status: int, reason: str, headers: HTTPHeaders, outcome_tag: str
    ) -> None:
        """Send the head of a backend server's answer."""
        self.started = True
        self.outcome_tag = outcome_tag
        kept = end_to_end_headers(headers)
        kept[names.OUTCOME] = outcome_tag
        kept[names.REQUEST_ID] = self._request.request_id
        kept[names.INSTANCE] = self._instance_id
        start_line = ResponseStartLine("HTTP/1.1", status, reason)
        bodiless = without_body(self._request.method, status)
        if status == 204 and "Content-Length" in kept:
            del kept["Content-Length"]
        # An answer that the server ends by closing must not get a last chunk here:
        # that would tell the caller that it is whole, which nobody knows.
        chunked = headers.get("Transfer-Encoding") is not None
        undeclared = "Content-Length" not in kept and not bodiless
        self._until_close = undeclared and (
            not chunked or self._request.version == "HTTP/1.0"
        )
        if not self._request.body.ended or self._until_close or self.leaving:
            self.close_after()
            kept["Connection"] = "close"
        if self._until_close:
            await self._connection.write(_encode_head(start_line, kept))
        else:
            await self._connection.write_headers(start_line, kept)

    async def write(self, chunk: bytes) -> None:
        """Send a part of the body; returns when it has left the write buffer."""
        await self._connection.write(chunk)

    async def finish(self) -> None:
        """End the answer properly."""
        body = self._request.body
        if not body.ended:
            body.discard()
            try:
                async with asyncio.timeout(LINGER_S):
                    await body.wait_ended()
            except TimeoutError:
                pass
        self._connection.finish()

    def cut(self) -> None:
        """Close the connection so that the caller notices that the answer is cut."""
        self._request.body.discard()
        stream = self._connection.stream
        if self._until_close and stream is not None and not stream.closed():
            # A plain close would be the proper end of this answer; a reset is not.
            linger = struct.pack("ii", 1, 0)
            stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self._connection.close()

    async def send(
        self,
        outcome: Outcome,
        status: int,
        body: bytes,
        headers: dict[str, str] | None = None,
    ) -> None:
        """Send a whole answer of the fleet itself, as JSON."""
        fields = HTTPHeaders(headers or {})
        fields["Content-Type"] = "application/json"
        fields["Content-Length"] = str(len(body))
        reason = responses.get(status, "Unknown")
        await self.start(status, reason, fields, outcome.tag)
        if self._request.method != "HEAD":
            await self.write(body)

    async def send_error(
        self, outcome: Outcome, kind: str, headers: dict[str, str] | None = None
    ) -> None:
        """Send an error of the fleet itself."""
        assert not isinstance(outcome, Done)
        fields = dict(headers or {})
        retry_after_s = getattr(outcome, "retry_after_s", None)
        if retry_after_s is not None:
            fields[names.RETRY_AFTER] = str(retry_after_s)
        content = {
            "error": kind,
            "outcome": outcome.tag,
            "message": outcome.reason,
            "remedy": outcome.remedy,
            "request_id": self._request.request_id,
        }
        await self.send(outcome, outcome.status, json.dumps(content).encode(), fields)

    def close_after(self) -> None:
        """Close the caller's connection after this answer."""
        self._close_after()


def _encode_head(start_line: ResponseStartLine, headers: HTTPHeaders) -> bytes:
    lines = [f"HTTP/1.1 {start_line.code} {start_line.reason}"]
    lines += [f"{name}: {value}" for name, value in headers.get_all()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin1")
