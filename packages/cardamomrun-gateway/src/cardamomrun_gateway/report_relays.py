"""Which instance passes on the load reports of a failure domain."""

from collections.abc import Iterable, Sequence

import xxhash

from cardamomrun_base.model import MemberBody
from cardamomrun_base.settings import Role

__all__ = [
    "COLLECT_MAX_MS",
    "COLLECT_MS",
    "FAR_COLLECT_MAX_MS",
    "FAR_SILENT_MS",
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
# Messages wait longer where links are narrow, since each holds a whole state. Placing
# by loads of the own domain that are older than this gains little, and requests leave
# their domain only when it is short of room.
COLLECT_MAX_MS = 150.0
FAR_COLLECT_MAX_MS = 300.0
# Share of a narrow link for messages about the own domain, and as much again for those
# about all others; the rest belongs to requests.
LINK_RATIO = 0.04
BYTES_PER_MS_PER_MBPS = 125.0

# A relay tells its domain several times in this time at rest, and other domains at
# least twice in the longer one.
SILENT_MS = 300.0
FAR_SILENT_MS = 750.0
# A relay that was silent is not used again for this long.
AVOID_MS = 3_000.0


class RelayChoice:
    """Picks the first instance of one failure domain that is not silent.

    All instances hold the candidates in the same order, so they mostly agree; where
    they do not, a domain has two relays for a while, and each tells of those that report
    to it. Candidates that have not been heard yet are asked whether they are there.
    """

    def __init__(self, silent_ms: float = SILENT_MS) -> None:
        self._silent_ms = silent_ms
        self.candidates: Sequence[Address] = ()
        self._heard_ms: dict[Address, float] = {}
        self._tried_since_ms: dict[Address, float] = {}
        self._avoided_until_ms: dict[Address, float] = {}

    def heard(self, address: Address, now_ms: float) -> None:
        """Note a datagram from an instance."""
        self._heard_ms[address] = now_ms
        self._tried_since_ms.pop(address, None)
        self._avoided_until_ms.pop(address, None)

    def pick(self, now_ms: float) -> tuple[Address | None, list[Address]]:
        """Return the relay to use now, if any, and candidates to ask for an answer."""
        unheard: list[Address] = []
        for address in self.candidates:
            if self._avoided_until_ms.get(address, now_ms) > now_ms:
                continue
            if now_ms - self._heard_ms.get(address, float("-inf")) <= self._silent_ms:
                return address, self._tried(unheard[:1], now_ms)
            if now_ms - self._tried_since_ms.get(address, now_ms) > self._silent_ms:
                del self._tried_since_ms[address]
                self._avoided_until_ms[address] = now_ms + AVOID_MS
                continue
            unheard.append(address)
        asked = self._tried(unheard[:2], now_ms) or list(self.candidates[:1])
        return (asked[0] if asked else None), asked[1:]

    def _tried(self, addresses: list[Address], now_ms: float) -> list[Address]:
        for address in addresses:
            self._tried_since_ms.setdefault(address, now_ms)
        return addresses


def collect_ms(
    message_bytes: int, link_mbps: float, most_ms: float = COLLECT_MAX_MS
) -> float:
    """Return how long to collect so that such messages leave a link to requests."""
    needed_ms = message_bytes / (link_mbps * BYTES_PER_MS_PER_MBPS * LINK_RATIO)
    return min(most_ms, max(COLLECT_MS, needed_ms))


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
