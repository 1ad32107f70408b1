"""The leader lease, and stepping down without a majority."""

import asyncio

from cardamomrun_base.logs import ComponentLog
from cardamomrun_control.messages import Resignation
from cardamomrun_control.replica import Replica

__all__ = ["Lease"]

# Share of the election timeout for which a lease lasts. The rest is a margin before
# another leader can be elected, for clocks that run at different rates (design page,
# section 4.3).
LEASE_RATIO = 0.8
# Contact counts as lost after this many election timeouts, by which an election after
# the loss of a leader should have ended.
LOST_CONTACT_RATIO = 2.0

_log = ComponentLog("control")


class Lease(Replica):
    """Maintains the time until which no other instance can lead."""

    def holds_lease(self) -> bool:
        """Return True while no other instance can lead."""
        self._check_quorum()
        return self.is_leader and self._clock.now_ms() < self._lease_until_ms

    def has_lost_contact(self) -> bool:
        """Return True if a leader was known, and none was in contact for too long.

        False for an instance that has known no leader since its start: after a restart
        of all instances there is no leader for a while, and none of them is cut off.
        """
        if self.holds_lease() or self._first_leader_ms is None:
            return False
        silent_ms = self._clock.now_ms() - self._leader_contact_ms
        return silent_ms >= self._settings.election_timeout_ms * LOST_CONTACT_RATIO

    def lease_held_since_ms(self) -> float:
        """Return when this instance's current leader lease began, monotonic ms."""
        return self._lease_since_ms

    def _majority_acknowledged_ms(self) -> float:
        """Return the latest send time, monotonic ms, that a majority acknowledged."""
        times = [
            self._clock.now_ms()
            if self._is_own(voter)
            else self._peers[voter.instance_id].acknowledged_ms
            if voter.instance_id in self._peers
            else float("-inf")
            for voter in self._non_learners()
        ]
        times.sort(reverse=True)
        return times[self._majority_count() - 1]

    def _extend_lease(self) -> None:
        now_ms = self._clock.now_ms()
        lease_ms = self._settings.election_timeout_ms * LEASE_RATIO
        until_ms = self._majority_acknowledged_ms() + lease_ms
        if until_ms <= self._lease_until_ms:
            return
        if now_ms >= self._lease_until_ms:
            self._lease_since_ms = now_ms
        self._lease_until_ms = until_ms
        self._state_changed.set()
        self._state_changed = asyncio.Event()

    def _check_quorum(self) -> None:
        """Stop leading if no majority has answered within the election timeout."""
        if not self.is_leader:
            return
        acknowledged_ms = max(
            self._majority_acknowledged_ms(), self._started_leading_ms
        )
        silent_ms = self._clock.now_ms() - acknowledged_ms
        if silent_ms >= self._settings.election_timeout_ms:
            _log.warning(f"no majority answered for {silent_ms:.0f} ms")
            self._resign()
        elif self._majority_count() == 1:
            self._extend_lease()

    def _resign(self) -> list[asyncio.Task]:
        """Stop leading and notify the other voters; return the tasks that send this.

        Followers then need not wait for the election timeout. A leader that receives
        nothing may still reach them.
        """
        others = [voter for voter in self._non_learners() if not self._is_own(voter)]
        term = self.term
        self._become_follower(None)
        return [
            self._spawn(
                self._request(
                    voter.instance_id,
                    Resignation(self._envelope(term, voter.replica_id)),
                )
            )
            for voter in others
        ]

    def _has_leader_contact(self) -> bool:
        """Return True if this replica leads or had recent contact with a leader."""
        if self.is_leader:
            self._check_quorum()
            return self.is_leader
        since_ms = self._clock.now_ms() - self._leader_contact_ms
        alone = len(self._non_learners()) == 1 and self._has_vote()
        return since_ms < self._settings.election_timeout_ms and not alone
