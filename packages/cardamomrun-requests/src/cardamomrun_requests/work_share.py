"""Bounds the time that requests made of many small parts take from all others."""

import asyncio

__all__ = ["WorkShare"]

# Share of the time of the event loop for the work on small parts, of all connections
# together; the rest is for ordinary requests.
SMALL_PARTS_RATIO = 0.2


class WorkShare:
    """Delays connections so that their work together keeps to a share of the time."""

    def __init__(self) -> None:
        self._free_s = 0.0

    async def pay(self, work_s: float) -> None:
        """Wait for the time that work done just now has to be followed by."""
        now_s = asyncio.get_running_loop().time()
        self._free_s = max(now_s, self._free_s) + work_s / SMALL_PARTS_RATIO
        await asyncio.sleep(self._free_s - now_s)
