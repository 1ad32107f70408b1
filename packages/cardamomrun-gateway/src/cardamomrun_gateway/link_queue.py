"""How long packets wait behind bodies on the network link of this instance.

On a narrow link an upload holds up all other traffic for some tenths of a second. What
is late meanwhile shows neither a failed server nor a lost path.
"""

from cardamomrun_base.clock import Clock
from cardamomrun_requests.upstream import (
    ConnectError,
    ConnectRefusedError,
    PeekableStream,
    open_stream,
)

__all__ = ["LinkQueue"]

BYTES_PER_MS_PER_MBPS = 125.0
# Longest time per direction by which a connection is waited for longer, so that one
# large body does not hide a path that is lost.
MAX_QUEUE_MS = 1_000.0


class LinkQueue:
    """Estimates the queue on the link from the bodies that are known to pass it.

    Bodies count from the moment at which their length is known. Those that come slower
    than the link is are taken to be through earlier than they are.
    """

    def __init__(self, clock: Clock, link_mbps: float) -> None:
        self._clock = clock
        self._bytes_per_ms = link_mbps * BYTES_PER_MS_PER_MBPS
        self._received_ms = float("-inf")
        self._sent_ms = float("-inf")

    def receive(self, length_bytes: int) -> None:
        """Count a body that arrives from now on."""
        self._received_ms = self._until_ms(self._received_ms, length_bytes)

    def send(self, length_bytes: int) -> None:
        """Count a body that is sent from now on."""
        self._sent_ms = self._until_ms(self._sent_ms, length_bytes)

    def wait_ms(self) -> float:
        """Return how long a packet and its answer may wait behind bodies."""
        now_ms = self._clock.now_ms()
        return max(0.0, self._received_ms - now_ms) + max(0.0, self._sent_ms - now_ms)

    async def connect(self, address: str, timeout_ms: float) -> PeekableStream:
        """Open a connection; the wait behind bodies does not count for the timeout.

        Raises `ConnectError`.
        """
        started_ms = self._clock.now_ms()
        wait_ms = self.wait_ms()
        try:
            return await open_stream(address, timeout_ms + wait_ms)
        except ConnectRefusedError:
            raise
        except ConnectError:
            if max(self._received_ms, self._sent_ms) <= started_ms + wait_ms:
                raise
        # A body has come between.
        return await open_stream(address, timeout_ms + self.wait_ms())

    def _until_ms(self, until_ms: float, length_bytes: int) -> float:
        now_ms = self._clock.now_ms()
        until_ms = max(now_ms, until_ms) + length_bytes / self._bytes_per_ms
        return min(until_ms, now_ms + MAX_QUEUE_MS)
