"""Plumtree state: which links flood whole records, and which only fingerprints.

In Plumtree (Leitão, Pereira and Rodrigues, "Epidemic Broadcast Trees", 2007) a link
becomes lazy when it delivers a record that is already known, and eager when a record
announced on it has to be pulled. The eager links form a spanning tree of the overlay,
and pulls repair the tree.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass

from cardamomrun_base.model import InstanceId
from cardamomrun_fleet.store import HeldRecord, Source

__all__ = [
    "ANNOUNCE_DELAY_MS",
    "MIN_PULL_DELAY_MS",
    "MAX_PULL_DELAY_MS",
    "Dissemination",
]

# Delay before fingerprints are sent, so that one message announces several changes and
# a peer that announces a record first is not sent its fingerprint.
ANNOUNCE_DELAY_MS = 200
# A record usually arrives on another link before its pull. The delay is random: when
# an eager link of the tree is lost, the first instance that pulls the record floods it
# to the others behind that link. If all pulled at once, their links would form cycles
# and be pruned again.
MIN_PULL_DELAY_MS = 25
MAX_PULL_DELAY_MS = 225
# Bounds the memory that peers can claim; exchanges deliver records beyond the limit.
MAX_PENDING_PULL_COUNT = 4_096


@dataclass
class _PendingPull:
    """An announced record that is missing here; `peer_ids[0]` is asked at `due_ms`."""

    due_ms: float
    peer_ids: list[InstanceId]


class Dissemination:
    """Eager and lazy peers of one instance, pending announcements and pending pulls."""

    def __init__(self, randomness: random.Random) -> None:
        self._random = randomness
        self._lazy_peers: set[InstanceId] = set()
        self._to_announce: dict[InstanceId, set[bytes]] = {}
        self._pending_pulls: dict[bytes, _PendingPull] = {}

    def is_eager(self, peer_id: InstanceId) -> bool:
        """Return True if whole records are sent to the peer at once."""
        return peer_id not in self._lazy_peers

    def make_eager(self, peer_id: InstanceId) -> None:
        """Send whole records to the peer from now on."""
        self._lazy_peers.discard(peer_id)

    def make_lazy(self, peer_id: InstanceId) -> None:
        """Send only fingerprints to the peer from now on."""
        self._lazy_peers.add(peer_id)

    def remove_peer(self, peer_id: InstanceId) -> None:
        """Drop the state of a peer whose last link closed; a new link starts eager."""
        self._lazy_peers.discard(peer_id)
        self._to_announce.pop(peer_id, None)

    def dispatch_changes(
        self, peer_id: InstanceId, changes: Iterable[tuple[HeldRecord, Source]]
    ) -> list[HeldRecord]:
        """Return the records to send to the peer now.

        Records that came from the peer are left out. For a lazy peer nothing is
        returned, and the fingerprints are queued for announcement.
        """
        held = [record for record, source in changes if source != peer_id]
        if self.is_eager(peer_id):
            return held
        fingerprints = {record.packed_fingerprint for record in held}
        self._to_announce.setdefault(peer_id, set()).update(fingerprints)
        return []

    def take_announcements(self) -> dict[InstanceId, set[bytes]]:
        """Return and clear the fingerprints to announce, by peer."""
        taken, self._to_announce = self._to_announce, {}
        return {peer_id: found for peer_id, found in taken.items() if found}

    def cancel_announcement(self, peer_id: InstanceId, fingerprint: bytes) -> None:
        """Do not announce a record to a peer that is known to hold it."""
        self._to_announce.get(peer_id, set()).discard(fingerprint)

    def schedule_pull(
        self, peer_id: InstanceId, fingerprint: bytes, now_ms: float
    ) -> None:
        """Schedule the pull of a missing record that a peer announced."""
        pull = self._pending_pulls.get(fingerprint)
        if pull is not None:
            if peer_id not in pull.peer_ids:
                pull.peer_ids.append(peer_id)
        elif len(self._pending_pulls) < MAX_PENDING_PULL_COUNT:
            wait_ms = self._random.uniform(MIN_PULL_DELAY_MS, MAX_PULL_DELAY_MS)
            self._pending_pulls[fingerprint] = _PendingPull(now_ms + wait_ms, [peer_id])

    def cancel_pull(self, fingerprint: bytes) -> None:
        """Do not pull a record that has arrived."""
        self._pending_pulls.pop(fingerprint, None)

    def take_due_pulls(self, now_ms: float) -> dict[InstanceId, set[bytes]]:
        """Return the fingerprints to pull now, by peer.

        The peers that announced a record are asked in turn, `MAX_PULL_DELAY_MS` apart,
        since a one-way partition may keep the request from one of them.
        """
        pulls: dict[InstanceId, set[bytes]] = {}
        for fingerprint, pull in list(self._pending_pulls.items()):
            if pull.due_ms > now_ms:
                continue
            pulls.setdefault(pull.peer_ids.pop(0), set()).add(fingerprint)
            pull.due_ms = now_ms + MAX_PULL_DELAY_MS
            if not pull.peer_ids:
                del self._pending_pulls[fingerprint]
        return pulls

    @property
    def has_pending_pulls(self) -> bool:
        """True while announced records are missing here."""
        return bool(self._pending_pulls)

    @property
    def has_pending_work(self) -> bool:
        """True while there are pending announcements or pulls."""
        return bool(self._pending_pulls) or any(self._to_announce.values())
