"""Helpers for the task that sends a request body while the response is awaited."""

import asyncio

from tornado.iostream import StreamClosedError

__all__ = ["cancel_sending", "raise_client_error"]


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
