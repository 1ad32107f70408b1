"""Which instance passes on the load reports of a failure domain."""

from collections.abc import Sequence

__all__ = ["Address", "RelayChoice"]

Address = tuple[str, int]

# A relay sends a batch every few milliseconds, and many times in this time at rest.
SILENT_MS = 300.0
# A relay that was silent is not used again for this long.
AVOID_MS = 3_000.0


class RelayChoice:
    """Picks the first instance of one failure domain that is not silent.

    All instances hold the candidates in the same order, so they mostly agree; where
    they do not, a report takes another way and arrives all the same.
    """

    def __init__(self) -> None:
        self.candidates: Sequence[Address] = ()
        self._current: Address | None = None
        self._since_ms = 0.0
        self._heard_ms: dict[Address, float] = {}
        self._avoided_until_ms: dict[Address, float] = {}

    def heard(self, address: Address, now_ms: float) -> None:
        """Note a datagram from an instance."""
        self._heard_ms[address] = now_ms
        self._avoided_until_ms.pop(address, None)

    def pick(self, now_ms: float) -> Address | None:
        """Return the relay to use now; None without candidates."""
        for address in self.candidates:
            if self._avoided_until_ms.get(address, now_ms) > now_ms:
                continue
            if address != self._current:
                self._current = address
                self._since_ms = now_ms
            heard_ms = self._heard_ms.get(address, self._since_ms)
            if now_ms - max(heard_ms, self._since_ms) <= SILENT_MS:
                return address
            self._avoided_until_ms[address] = now_ms + AVOID_MS
        return self.candidates[0] if self.candidates else None
