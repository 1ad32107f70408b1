"""Helpers for the task that sends a request body while the response is awaited."""

import asyncio

from tornado.httputil import HTTPHeaders, ResponseStartLine
from tornado.iostream import StreamClosedError

from cardamomrun_requests.request import RequestBody
from cardamomrun_requests.upstream import UpstreamConnection, UpstreamResponse

__all__ = ["cancel_sending", "raise_client_error", "send_until_head"]


async def send_until_head(
    connection: UpstreamConnection, answer: UpstreamResponse, body: RequestBody
) -> tuple[ResponseStartLine, HTTPHeaders] | None:
    """Send the rest of a body until the head of the response arrives; return that.

    Returns None if the connection ended, or sent something malformed, before it. Raises
    the error of the client if its body is incomplete or too large.
    """
    sending = asyncio.create_task(_send_body(connection, body))
    try:
        # The server may respond before it has received the whole body.
        head_or_sending: set[asyncio.Future] = {answer.head, sending}
        await asyncio.wait(head_or_sending, return_when=asyncio.FIRST_COMPLETED)
        if not answer.head.done():
            raise_client_error(sending)
            await asyncio.wait({answer.head})
    finally:
        await cancel_sending(sending)
    return answer.head.result()


def raise_client_error(sending: "asyncio.Task[None]") -> None:
    """Raise the error of a finished sending task, unless the server caused it."""
    if not sending.done() or sending.cancelled():
        return
    error = sending.exception()
    if error is not None and not isinstance(error, StreamClosedError):
        raise error


async def cancel_sending(sending: "asyncio.Task[None]") -> None:
    """Cancel the sending task and wait until it has ended."""
    sending.cancel()
    await asyncio.wait({sending})
    if not sending.cancelled():
        # Retrieved so that the event loop does not log it as never retrieved.
        sending.exception()


async def _send_body(connection: UpstreamConnection, body: RequestBody) -> None:
    while (chunk := await body.read_chunk()) is not None:
        await connection.write(chunk)
    connection.finish_request()
