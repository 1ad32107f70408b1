"""The routing document in force and the backend servers that left for good."""

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
    "RoutingImage",
    "RoutingState",
    "routing_digest",
]

# At 480 restarts a day this covers 10 days; an announcement cannot be that late.
RETIRED_COUNT = 5_000

NO_NUMBER = -1


@message("control-put-routing")
@dataclass(frozen=True)
class PutRouting:
    """Put a routing document in force if its number is higher than the one held."""

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
    """Give a backend server no new work in this incarnation or an earlier one."""

    at_ms: int
    server_id: ServerId
    incarnation: int
    is_gone: bool


@message("retired-server")
@dataclass(frozen=True)
class RetiredServer:
    """A backend server that drains, or is gone, up to an incarnation."""

    server_id: ServerId
    incarnation: int
    is_gone: bool


@dataclass(frozen=True)
class RoutingImage:
    """The routing state in snapshots."""

    number: int = NO_NUMBER
    digest: str = ""
    packed: bytes = b""
    retired: tuple[RetiredServer, ...] = ()


class RoutingState:
    """The document with the highest number, and servers that must get no new work.

    A document with the number held or a lower one changes nothing, whatever its
    content, so a resent change is acknowledged without effect.
    """

    def __init__(self, image: RoutingImage | None = None) -> None:
        image = image or RoutingImage()
        self.number = image.number
        self.digest = image.digest
        self.packed = image.packed
        self._retired = {entry.server_id: entry for entry in image.retired}

    @property
    def is_empty(self) -> bool:
        """True until the first document is in force."""
        return self.number == NO_NUMBER

    def image(self) -> RoutingImage:
        """Return the state for a snapshot."""
        retired = tuple(self._retired.values())
        return RoutingImage(self.number, self.digest, self.packed, retired)

    def put(self, command: PutRouting) -> PutRoutingResult:
        """Apply a document."""
        if command.number <= self.number:
            return PutRoutingResult(self.number, has_changed=False)
        self.number = command.number
        self.digest = command.digest
        self.packed = command.packed
        return PutRoutingResult(self.number, has_changed=True)

    def retire(self, command: RetireServer) -> RetiredServer:
        """Note that a server leaves; a later incarnation or being gone wins."""
        entry = RetiredServer(command.server_id, command.incarnation, command.is_gone)
        held = self._retired.pop(command.server_id, None)
        if held is not None and _rank(held) > _rank(entry):
            entry = held
        self._retired[command.server_id] = entry
        if len(self._retired) > RETIRED_COUNT:
            del self._retired[next(iter(self._retired))]
        return entry

    def retired(self, server_id: ServerId) -> RetiredServer | None:
        """Return what is known of a server that left."""
        return self._retired.get(server_id)

    def all_retired(self) -> Iterable[RetiredServer]:
        """Return the servers that left, the longest known first."""
        return tuple(self._retired.values())


def routing_digest(source: bytes) -> str:
    """Return the SHA-256 of a document as the operator sent it, in hexadecimal."""
    return hashlib.sha256(source).hexdigest()


def _rank(entry: RetiredServer) -> tuple[int, bool]:
    return entry.incarnation, entry.is_gone
