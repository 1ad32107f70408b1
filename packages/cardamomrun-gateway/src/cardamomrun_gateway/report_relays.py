"""Which instance passes on the load reports of a failure domain."""

from collections.abc import Iterable, Sequence

import xxhash

from cardamomrun_base.model import MemberBody
from cardamomrun_base.settings import Role

__all__ = [
    "COLLECT_MS",
    "Address",
    "RelayChoice",
    "address_of",
    "collect_ms",
    "relay_order",
]

Address = tuple[str, int]

# How long a relay collects reports that are not urgent; two hops take up to twice this.
# Played loads serve as many callers as with reports that are not collected at all.
COLLECT_MS = 25.0
# Reports wait longer where links are narrow: several reports of one instance then
# become one. Placing by loads that are older than this gains little.
COLLECT_MAX_MS = 150.0
# The rest of a narrow link belongs to requests.
LINK_RATIO = 0.2
BYTES_PER_MS_PER_MBPS = 125.0

# A relay sends a batch every few milliseconds, and many times in this time at rest.
SILENT_MS = 300.0
# A relay that was silent is not used again for this long.
AVOID_MS = 3_000.0


class RelayChoice:
    """Picks the first instance of one failure domain that is not silent.

    All instances hold the candidates in the same order, so they mostly agree; where
    they do not, a report takes another way and arrives all the same. Reports for a
    candidate that has not been heard yet also go to the next one.
    """

    def __init__(self) -> None:
        self.candidates: Sequence[Address] = ()
        self._heard_ms: dict[Address, float] = {}
        self._tried_since_ms: dict[Address, float] = {}
        self._avoided_until_ms: dict[Address, float] = {}

    def heard(self, address: Address, now_ms: float) -> None:
        """Note a datagram from an instance."""
        self._heard_ms[address] = now_ms
        self._tried_since_ms.pop(address, None)
        self._avoided_until_ms.pop(address, None)

    def pick(self, now_ms: float) -> list[Address]:
        """Return the relays to use now; none without candidates."""
        unheard: list[Address] = []
        for address in self.candidates:
            if self._avoided_until_ms.get(address, now_ms) > now_ms:
                continue
            if now_ms - self._heard_ms.get(address, float("-inf")) <= SILENT_MS:
                return [*self._tried(unheard[:1], now_ms), address]
            if now_ms - self._tried_since_ms.get(address, now_ms) > SILENT_MS:
                del self._tried_since_ms[address]
                self._avoided_until_ms[address] = now_ms + AVOID_MS
                continue
            unheard.append(address)
        return self._tried(unheard[:2], now_ms) or list(self.candidates[:1])

    def _tried(self, addresses: list[Address], now_ms: float) -> list[Address]:
        for address in addresses:
            self._tried_since_ms.setdefault(address, now_ms)
        return addresses


def collect_ms(batch_bytes: int, link_mbps: float) -> float:
    """Return how long to collect so that such batches leave a link to requests."""
    needed_ms = batch_bytes / (link_mbps * BYTES_PER_MS_PER_MBPS * LINK_RATIO)
    return min(COLLECT_MAX_MS, max(COLLECT_MS, needed_ms))


def relay_order(members: Iterable[MemberBody]) -> list[Address]:
    """Return addresses in an order that all instances share, and no name favours.

    A relay sends much more than it receives, so wide links go first; control instances
    have other work and go last among equal ones.
    """

    def order(member: MemberBody) -> tuple[float, bool, int]:
        host, _ = address_of(member.peer_address)
        place = xxhash.xxh32_intdigest(host.encode())
        return -member.link_mbps, Role.ENTRY not in member.roles, place

    return [address_of(member.peer_address) for member in sorted(members, key=order)]


def address_of(peer_address: str) -> Address:
    """Return host and port of `host:port`."""
    host, _, port = peer_address.rpartition(":")
    return host.strip("[]"), int(port)
