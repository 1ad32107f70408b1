"""Forwards a backend server's response to the client."""

from tornado.httputil import HTTPHeaders

from cardamomrun_base import headers as names
from cardamomrun_gateway.fleet_load import Server
from cardamomrun_gateway.link_queue import LinkQueue
from cardamomrun_gateway.server_attempt import ServerResponse
from cardamomrun_requests.framing import has_no_body
from cardamomrun_requests.reply import ResponseWriter
from cardamomrun_requests.request import ClientRequest

__all__ = ["forward_response", "name_server"]


async def forward_response(
    request: ClientRequest,
    response: ServerResponse,
    reply: ResponseWriter,
    link: LinkQueue,
) -> None:
    """Send a response with its whole body, as fast as the client reads it.

    Raises `IncompleteBodyError` if the server breaks off, and `StreamClosedError` if
    the client does.
    """
    headers = HTTPHeaders(response.headers)
    if response.body_rest is None:
        _declare_length(headers, request, response)
    line = response.start_line
    await reply.start(line.code, line.reason, headers, "done")
    if response.body_start:
        link.send(len(response.body_start))
        await reply.write(response.body_start)
    while response.body_rest is not None:
        chunk = await response.body_rest.get()
        if chunk is None:
            break
        await reply.write(chunk)


def name_server(server: Server, reply: ResponseWriter) -> None:
    """Tell the instance that asked for a request which server has responded."""
    reply.hop_headers[names.RELAYED_SERVER] = (
        f"{server.body.server_id}/{server.body.incarnation}"
    )


def _declare_length(
    headers: HTTPHeaders, request: ClientRequest, response: ServerResponse
) -> None:
    if has_no_body(request.method, response.start_line.code):
        return
    if "Transfer-Encoding" in headers:
        del headers["Transfer-Encoding"]
    headers["Content-Length"] = str(len(response.body_start))
