"""Which links carry bodies of changed records, and which only fingerprints.

The rules are those of Plumtree (Leitão, Pereira and Rodrigues, "Epidemic Broadcast
Trees", 2007): a link that brings a record twice stops carrying bodies, and one that
names a record which is missing here starts to carry them. The links with bodies so
become a spanning tree of the overlay that repairs itself.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass

from cardamomrun_base.model import InstanceId
from cardamomrun_fleet.store import HeldRecord, Source

__all__ = ["ANNOUNCE_MS", "PULL_FIRST_MS", "PULL_LAST_MS", "Dissemination"]

# Fingerprints wait this long, so that one message carries those of several changes and
# a peer that names a record first is not told about it.
ANNOUNCE_MS = 200
# The body usually arrives on another link before a pull. The time is random: when a link
# of the tree is missing, the first instance behind it brings the record to the others,
# and if all asked at once, their links would form cycles that are pruned again.
PULL_FIRST_MS = 25
PULL_LAST_MS = 225
# Bounds what a peer can make this instance remember; anti-entropy brings the rest.
MAX_MISSING_COUNT = 4_096


@dataclass
class _Missing:
    """A record that peers named; the first of them is asked at `due_ms`."""

    due_ms: float
    peer_ids: list[InstanceId]


class Dissemination:
    """Links of one instance by what they carry, and fingerprints under way."""

    def __init__(self, randomness: random.Random) -> None:
        self._random = randomness
        self._lazy: set[InstanceId] = set()
        self._to_announce: dict[InstanceId, set[bytes]] = {}
        self._missing: dict[bytes, _Missing] = {}

    def is_eager(self, peer_id: InstanceId) -> bool:
        """Return True if bodies are sent to the peer at once."""
        return peer_id not in self._lazy

    def make_eager(self, peer_id: InstanceId) -> None:
        """Send bodies from now on."""
        self._lazy.discard(peer_id)

    def make_lazy(self, peer_id: InstanceId) -> None:
        """Send only fingerprints from now on."""
        self._lazy.add(peer_id)

    def forget(self, peer_id: InstanceId) -> None:
        """Drop a peer whose link ended; a new link begins with bodies."""
        self._lazy.discard(peer_id)
        self._to_announce.pop(peer_id, None)

    def split(
        self, peer_id: InstanceId, changes: Iterable[tuple[HeldRecord, Source]]
    ) -> list[HeldRecord]:
        """Return the records whose bodies go to the peer; note the others."""
        held = [one for one, source in changes if source != peer_id]
        if self.is_eager(peer_id):
            return held
        names = {one.packed_fingerprint for one in held}
        self._to_announce.setdefault(peer_id, set()).update(names)
        return []

    def take_announcements(self) -> dict[InstanceId, set[bytes]]:
        """Return the fingerprints that are due, by peer, and begin anew."""
        taken, self._to_announce = self._to_announce, {}
        return {peer_id: names for peer_id, names in taken.items() if names}

    def peer_has(self, peer_id: InstanceId, fingerprint: bytes) -> None:
        """Note that a peer holds a record and need not be told about it."""
        self._to_announce.get(peer_id, set()).discard(fingerprint)

    def lacks(self, peer_id: InstanceId, fingerprint: bytes, now_ms: float) -> None:
        """Note that a peer named a record that is missing here."""
        missing = self._missing.get(fingerprint)
        if missing is not None:
            if peer_id not in missing.peer_ids:
                missing.peer_ids.append(peer_id)
        elif len(self._missing) < MAX_MISSING_COUNT:
            wait_ms = self._random.uniform(PULL_FIRST_MS, PULL_LAST_MS)
            self._missing[fingerprint] = _Missing(now_ms + wait_ms, [peer_id])

    def arrived(self, fingerprint: bytes) -> None:
        """Note that a record arrived."""
        self._missing.pop(fingerprint, None)

    def take_pulls(self, now_ms: float) -> dict[InstanceId, set[bytes]]:
        """Return what to ask of which peer; each peer that named a record in turn.

        One peer alone may be unreachable in the direction of the question.
        """
        pulls: dict[InstanceId, set[bytes]] = {}
        for name, missing in list(self._missing.items()):
            if missing.due_ms > now_ms:
                continue
            pulls.setdefault(missing.peer_ids.pop(0), set()).add(name)
            missing.due_ms = now_ms + PULL_LAST_MS
            if not missing.peer_ids:
                del self._missing[name]
        return pulls

    @property
    def is_missing(self) -> bool:
        """True while records are to be asked for."""
        return bool(self._missing)

    @property
    def is_waiting(self) -> bool:
        """True while fingerprints are to be sent or records to be asked for."""
        return bool(self._missing) or any(self._to_announce.values())
