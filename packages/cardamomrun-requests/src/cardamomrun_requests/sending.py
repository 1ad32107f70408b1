"""The task that sends the body of a request while its answer is awaited."""

import asyncio

from tornado.iostream import StreamClosedError

__all__ = ["cancel_sending", "raise_caller_fault"]


def raise_caller_fault(sending: "asyncio.Task[None]") -> None:
    """Raise if the sending ended by the caller's doing, not by the server's."""
    if not sending.done() or sending.cancelled():
        return
    error = sending.exception()
    if error is not None and not isinstance(error, StreamClosedError):
        raise error


async def cancel_sending(sending: "asyncio.Task[None]") -> None:
    """End the sending and wait for its end."""
    sending.cancel()
    await asyncio.wait({sending})
    if not sending.cancelled():
        # Retrieved here so that the loop does not report it as lost.
        sending.exception()
