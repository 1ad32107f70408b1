"""The routing document in force, and the retired backend servers."""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass

from cardamomrun_base.codec import message
from cardamomrun_base.model import ServerId

__all__ = [
    "RETIRED_COUNT",
    "PutRouting",
    "PutRoutingResult",
    "RetireServer",
    "RetiredServer",
    "RoutingSnapshot",
    "RoutingState",
    "routing_digest",
]

# At 480 restarts a day this covers 10 days, longer than an announcement can be late.
RETIRED_COUNT = 5_000

NO_NUMBER = -1


@message("control-put-routing")
@dataclass(frozen=True)
class PutRouting:
    """Put a routing document in force if its number is higher than the current one."""

    operator: str
    at_ms: int
    number: int
    digest: str
    packed: bytes


@message("control-put-routing-result")
@dataclass(frozen=True)
class PutRoutingResult:
    """The number in force, and whether the command changed it."""

    number: int
    has_changed: bool


@message("control-retire-server")
@dataclass(frozen=True)
class RetireServer:
    """Give a backend server no new work in this or an earlier incarnation."""

    at_ms: int
    server_id: ServerId
    incarnation: int
    is_gone: bool


@message("retired-server")
@dataclass(frozen=True)
class RetiredServer:
    """A backend server that is draining or gone, up to and including an incarnation."""

    server_id: ServerId
    incarnation: int
    is_gone: bool


@dataclass(frozen=True)
class RoutingSnapshot:
    """The routing state in snapshots."""

    number: int = NO_NUMBER
    digest: str = ""
    packed: bytes = b""
    retired: tuple[RetiredServer, ...] = ()


class RoutingState:
    """The document with the highest number, and servers that must get no new work.

    A document whose number is not higher than the current one changes nothing, whatever
    its content, so a resent change is acknowledged without effect.
    """

    def __init__(self, snapshot: RoutingSnapshot | None = None) -> None:
        snapshot = snapshot or RoutingSnapshot()
        self.number = snapshot.number
        self.digest = snapshot.digest
        self.packed = snapshot.packed
        self._retired = {entry.server_id: entry for entry in snapshot.retired}

    @property
    def is_empty(self) -> bool:
        """True until the first document is in force."""
        return self.number == NO_NUMBER

    def snapshot(self) -> RoutingSnapshot:
        """Return the state for a snapshot."""
        retired = tuple(self._retired.values())
        return RoutingSnapshot(self.number, self.digest, self.packed, retired)

    def put(self, command: PutRouting) -> PutRoutingResult:
        """Put a document in force if its number is higher than the current one."""
        if command.number <= self.number:
            return PutRoutingResult(self.number, has_changed=False)
        self.number = command.number
        self.digest = command.digest
        self.packed = command.packed
        return PutRoutingResult(self.number, has_changed=True)

    def retire(self, command: RetireServer) -> RetiredServer:
        """Retire a server and return its entry.

        The later incarnation wins, and within one incarnation gone over draining.
        """
        entry = RetiredServer(command.server_id, command.incarnation, command.is_gone)
        existing = self._retired.pop(command.server_id, None)
        if existing is not None and _rank(existing) > _rank(entry):
            entry = existing
        self._retired[command.server_id] = entry
        if len(self._retired) > RETIRED_COUNT:
            del self._retired[next(iter(self._retired))]
        return entry

    def retired(self, server_id: ServerId) -> RetiredServer | None:
        """Return the entry of a retired server, or None."""
        return self._retired.get(server_id)

    def all_retired(self) -> Iterable[RetiredServer]:
        """Return the retired servers, the least recently retired first."""
        return tuple(self._retired.values())


def routing_digest(source: bytes) -> str:
    """Return the SHA-256 of a document as the operator sent it, in hexadecimal."""
    return hashlib.sha256(source).hexdigest()


def _rank(entry: RetiredServer) -> tuple[int, bool]:
    return entry.incarnation, entry.is_gone
