"""The server of calls other than clients' requests, with the same bounds."""

from collections.abc import Awaitable

from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.web import Application

from cardamomrun_base import headers as names
from cardamomrun_requests.client_connection import (
    ClientConnection,
    ClientServer,
)
from cardamomrun_requests.client_memory import ClientMemory, Phase

__all__ = ["SMALL_CALL_BYTES", "open_call_server"]

# Body of a call that reads something.
SMALL_CALL_BYTES = 4_096
MAX_HEAD_BYTES = 16_384
IDLE_S = 60.0
RETRY_AFTER_S = 1
# A body exists twice when its parts are joined.
BODY_COPIES_COUNT = 2


def open_call_server(
    application: Application, memory: ClientMemory, max_body_bytes: int
) -> ClientServer:
    """Return a server of calls that isn't listening yet."""
    return ClientServer(
        _Calls(application),
        memory=memory,
        max_header_size=MAX_HEAD_BYTES,
        max_body_size=max_body_bytes,
        idle_connection_timeout=IDLE_S,
    )


class _Calls(HTTPServerConnectionDelegate):
    """Passes calls to an application, and charges their bodies."""

    def __init__(self, application: Application) -> None:
        self._application = application

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        assert isinstance(request_conn, ClientConnection)
        message = self._application.start_request(server_conn, request_conn)
        return _Call(message, request_conn)

    def on_close(self, server_conn: object) -> None:
        self._application.on_close(server_conn)


class _Call(HTTPMessageDelegate):
    """One call; it is refused if the memory for clients is used up."""

    def __init__(
        self, message: HTTPMessageDelegate, connection: ClientConnection
    ) -> None:
        self._message = message
        self._connection = connection
        assert connection.stream.account is not None
        self._account = connection.stream.account
        self._body_bytes = 0
        self._is_refused = False

    async def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        result = self._message.headers_received(start_line, headers)
        if result is not None:
            await result
        has_body = headers.get("Content-Length", "0") != "0"
        if has_body or "Transfer-Encoding" in headers:
            self._account.begin_body()
        else:
            self._account.enter(Phase.WORK)
        if not self._account.may_parse(self._connection.field_count):
            self._refuse()
            return
        await self._connection.pay_for_fields()

    async def data_received(self, chunk: bytes) -> None:
        if self._is_refused:
            return
        self._body_bytes += len(chunk)
        self._account.count_body(len(chunk))
        if not self._account.may_buffer(BODY_COPIES_COUNT * self._body_bytes):
            self._refuse()
            return
        result: Awaitable[None] | None = self._message.data_received(chunk)
        if result is not None:
            await result
        self._account.enter(Phase.BODY)

    def finish(self) -> None:
        self._account.enter(Phase.WORK)
        if not self._is_refused:
            self._message.finish()

    def on_connection_close(self) -> None:
        if not self._is_refused:
            self._message.on_connection_close()

    def _refuse(self) -> None:
        self._is_refused = True
        self._account.refuse()
        self._message.on_connection_close()
        fields = HTTPHeaders(
            {
                "Connection": "close",
                "Content-Length": "0",
                names.RETRY_AFTER: str(RETRY_AFTER_S),
            }
        )
        line = ResponseStartLine("HTTP/1.1", 503, "Service Unavailable")
        self._connection.write_headers(line, fields)
        self._connection.finish()
