"""An HTTP client for load and experiments, with pooled connections.

Uses tornado's client connection and not its curl client, since libcurl may send a POST
twice by itself, which would hide or fake a double execution.
"""

import asyncio
from collections import defaultdict
from dataclasses import dataclass, field

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPInputError,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient

from cardamomrun_base.clock import MS_PER_S

__all__ = ["Response", "PooledClient", "ClientError"]

MAX_BODY_BYTES = 1_000_000_000


class ClientError(Exception):
    """No complete response arrived; `sent` is True if request bytes may have been sent."""

    def __init__(self, message: str, *, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


@dataclass(frozen=True)
class Response:
    """A complete response."""

    status: int
    headers: HTTPHeaders
    body: bytes


@dataclass
class _ResponseCollector(HTTPMessageDelegate):
    """Collects one response; `finished` stays False if it was truncated."""

    status: int = 0
    headers: HTTPHeaders = field(default_factory=HTTPHeaders)
    chunks: list[bytes] = field(default_factory=list)
    finished: bool = False

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        assert isinstance(start_line, ResponseStartLine)
        self.status = start_line.code
        self.headers = headers

    def data_received(self, chunk: bytes) -> None:
        self.chunks.append(chunk)

    def finish(self) -> None:
        self.finished = True


class PooledClient:
    """Sends requests over persistent connections, without pipelining."""

    def __init__(self, timeout_ms: int = 15_000) -> None:
        self._timeout_ms = timeout_ms
        self._idle: dict[str, list[IOStream]] = defaultdict(list)
        self._connector = TCPClient()

    async def request(
        self,
        address: str,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
    ) -> Response:
        """Return the complete response, or raise `ClientError`."""
        try:
            async with asyncio.timeout(self._timeout_ms / MS_PER_S):
                stream = await self._connect(address)
                return await self._exchange(
                    stream, address, method, path, headers, body
                )
        except TimeoutError as error:
            raise ClientError("no answer in time", sent=True) from error

    def close(self) -> None:
        """Close idle connections."""
        for streams in self._idle.values():
            for stream in streams:
                stream.close()
        self._idle.clear()

    async def _connect(self, address: str) -> IOStream:
        while self._idle[address]:
            stream = self._idle[address].pop()
            if not stream.closed():
                return stream
        host, port = address.rsplit(":", 1)
        try:
            stream = await self._connector.connect(host, int(port))
        except (OSError, StreamClosedError) as error:
            raise ClientError(f"cannot connect to {address}", sent=False) from error
        stream.set_nodelay(True)
        return stream

    async def _exchange(
        self,
        stream: IOStream,
        address: str,
        method: str,
        path: str,
        headers: dict[str, str] | None,
        body: bytes,
    ) -> Response:
        parameters = HTTP1ConnectionParameters(max_body_size=MAX_BODY_BYTES)
        connection = HTTP1Connection(stream, True, parameters)
        collector = _ResponseCollector()
        try:
            await connection.write_headers(
                RequestStartLine(method, path, "HTTP/1.1"),
                _request_headers(headers, body),
                body or None,
            )
            connection.finish()
            await connection.read_response(collector)
        except (StreamClosedError, HTTPInputError, OSError) as error:
            stream.close()
            raise ClientError(f"connection lost: {error!r}", sent=True) from error
        except BaseException:
            stream.close()
            raise
        if not collector.finished:
            stream.close()
            raise ClientError("the answer was cut", sent=True)
        self._release_connection(stream, address, collector)
        return Response(collector.status, collector.headers, b"".join(collector.chunks))

    def _release_connection(
        self, stream: IOStream, address: str, collector: _ResponseCollector
    ) -> None:
        if collector.headers.get("Connection", "").lower() == "close":
            stream.close()
        elif not stream.closed():
            self._idle[address].append(stream)


def _request_headers(headers: dict[str, str] | None, body: bytes) -> HTTPHeaders:
    result = HTTPHeaders({"Host": "localhost", **(headers or {})})
    if body:
        result["Content-Length"] = str(len(body))
    return result
