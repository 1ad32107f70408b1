"""Selects the instance that relays the load reports of a failure domain."""

from collections.abc import Iterable, Sequence

import xxhash

from cardamomrun_base.model import MemberBody
from cardamomrun_base.settings import Role

__all__ = [
    "COLLECT_MAX_MS",
    "COLLECT_MS",
    "REMOTE_COLLECT_MAX_MS",
    "REMOTE_SILENT_MS",
    "Address",
    "RelaySelector",
    "address_of",
    "collect_ms",
    "relay_order",
]

Address = tuple[str, int]

# How long a relay collects reports that are not urgent; two hops take up to twice this.
# In simulated loads this serves as many clients as reports that are not delayed at all.
COLLECT_MS = 25.0
# Messages wait longer on narrow links, since each holds a whole state. Load data of the
# own domain that is older than the first limit improves the choice of servers little;
# requests leave their domain only when it lacks free slots, so data on others may be
# older.
COLLECT_MAX_MS = 150.0
REMOTE_COLLECT_MAX_MS = 300.0
# Share of a narrow link for messages about the own domain; those about all other
# domains may use the same again, and the rest is for requests.
LINK_RATIO = 0.04
BYTES_PER_MS_PER_MBPS = 125.0

# A relay counts as silent after this time without a datagram. Without load it sends
# several messages to its domain in the first time, and at least two to other domains in
# the second.
SILENT_MS = 300.0
REMOTE_SILENT_MS = 750.0
# A silent relay is not selected again for this long.
AVOID_MS = 3_000.0


class RelaySelector:
    """Selects the first candidate of one failure domain that is not silent.

    All instances have the candidates in the same order, so they mostly agree. Otherwise
    a domain has two relays for a while, each for the instances that report to it.
    Candidates from which nothing was received lately are pinged before they are used.
    """

    def __init__(self, silent_ms: float = SILENT_MS) -> None:
        self._silent_ms = silent_ms
        self.candidates: Sequence[Address] = ()
        self._last_received_ms: dict[Address, float] = {}
        self._tried_since_ms: dict[Address, float] = {}
        self._avoided_until_ms: dict[Address, float] = {}

    def mark_alive(self, address: Address, now_ms: float) -> None:
        """Record that a datagram of an instance was received."""
        self._last_received_ms[address] = now_ms
        self._tried_since_ms.pop(address, None)
        self._avoided_until_ms.pop(address, None)

    def pick(self, now_ms: float) -> tuple[Address | None, list[Address]]:
        """Return the relay to use now, if any, and the candidates to ping."""
        unconfirmed: list[Address] = []
        for address in self.candidates:
            if self._avoided_until_ms.get(address, now_ms) > now_ms:
                continue
            if (
                now_ms - self._last_received_ms.get(address, float("-inf"))
                <= self._silent_ms
            ):
                return address, self._mark_tried(unconfirmed[:1], now_ms)
            if now_ms - self._tried_since_ms.get(address, now_ms) > self._silent_ms:
                del self._tried_since_ms[address]
                self._avoided_until_ms[address] = now_ms + AVOID_MS
                continue
            unconfirmed.append(address)
        pinged = self._mark_tried(unconfirmed[:2], now_ms) or list(self.candidates[:1])
        return (pinged[0] if pinged else None), pinged[1:]

    def _mark_tried(self, addresses: list[Address], now_ms: float) -> list[Address]:
        for address in addresses:
            self._tried_since_ms.setdefault(address, now_ms)
        return addresses


def collect_ms(
    message_bytes: int, link_mbps: float, max_ms: float = COLLECT_MAX_MS
) -> float:
    """Return how long to collect so that messages use `LINK_RATIO` of a link.

    The result is between `COLLECT_MS` and `max_ms`.
    """
    needed_ms = message_bytes / (link_mbps * BYTES_PER_MS_PER_MBPS * LINK_RATIO)
    return min(max_ms, max(COLLECT_MS, needed_ms))


def relay_order(members: Iterable[MemberBody]) -> list[Address]:
    """Return the peer addresses of members in the order of preference as relay.

    The order is the same on all instances. A relay sends much more than it receives, so
    wide links come first; among equal links control instances, which have other work,
    come last, and the rest is ordered by the hash of the host.
    """

    def order(member: MemberBody) -> tuple[float, bool, int]:
        host, _ = address_of(member.peer_address)
        host_hash = xxhash.xxh32_intdigest(host.encode())
        return -member.link_mbps, Role.ENTRY not in member.roles, host_hash

    return [address_of(member.peer_address) for member in sorted(members, key=order)]


def address_of(peer_address: str) -> Address:
    """Return host and port of `host:port`."""
    host, _, port = peer_address.rpartition(":")
    return host.strip("[]"), int(port)
