"""Keeper of idempotency claims: one voter in the quorum that decides a claim.

`docs/design.md`, section 4.5, gives the rules; `claims.py` explains why a key is won at
most once in one retention time.
"""

from dataclasses import dataclass
from typing import Any

from cardamomrun_base.clock import Clock
from cardamomrun_base.interfaces import Fleet
from cardamomrun_base.logs import ComponentLog
from cardamomrun_base.messages import (
    Acknowledgement,
    ClaimAnswer,
    ClaimRequest,
    ClaimUpdate,
)
from cardamomrun_base.model import (
    InstanceId,
    LeaderBody,
    Record,
    RecordKind,
    RosterBody,
    RosterMember,
)
from cardamomrun_base.settings import NodeSettings

__all__ = ["ROSTER_KEY", "Keeper"]

ROSTER_KEY = "claims"
LEADER_KEY = "control"

# The target scale leaves about 19,000 claims at a keeper (4,500 claims/s, 3 keepers,
# 600 s, 420 instances); the rest is a reserve for uneven distribution and small fleets.
MAX_CLAIM_COUNT = 65_536

# An attempt starts within 5 s of its claim, and a lost member is detected within about
# 5 s more, so a younger claim of an absent origin may still be about to run.
ORIGIN_LOST_MS = 10_000

# Longer than a message is in transit. A request that arrives even later after its release
# only blocks its key until the retention time ends.
RELEASE_RETENTION_MS = 60_000
MAX_RELEASE_COUNT = 8_192

GRANTED = "granted"
HELD = "held"
MISMATCH = "mismatch"
ABSTAINS = "abstains"

RUNNING = "running"
DONE = "done"
UNKNOWN = "unknown"
RELEASED = "released"

_ABSTENTION = ClaimAnswer(ABSTAINS)
_log = ComponentLog("claims")


@dataclass(slots=True)
class _Claim:
    """What a keeper knows about one key; an empty `request_hash` matches any request."""

    request_hash: str
    attempt_id: str
    origin_id: InstanceId
    state: str
    status: int
    changed_ms: float


class Keeper:
    """Claims held by this instance, in memory only.

    `incarnation` is the one with which this process started. A claim is
    kept for `settings.idempotency_retention_ms` after its last change.
    """

    def __init__(
        self,
        settings: NodeSettings,
        clock: Clock,
        fleet: Fleet,
        incarnation: int,
        *,
        max_claim_count: int = MAX_CLAIM_COUNT,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._fleet = fleet
        self._incarnation = incarnation
        self._max_claim_count = max_claim_count
        self._started_ms = clock.now_ms()
        # Both are ordered by the time of the last change, oldest first.
        self._claims: dict[str, _Claim] = {}
        self._released: dict[str, float] = {}
        self._full_is_logged = False
        self._roster_record: Record | None = None
        self._own_member: RosterMember | None = None
        fleet.handle(ClaimRequest, self.handle_request)
        fleet.handle(ClaimUpdate, self.handle_update)

    @property
    def claim_count(self) -> int:
        """Number of claims held, including expired ones that are not removed yet."""
        return len(self._claims)

    async def handle_request(self, peer_id: InstanceId, message: Any) -> ClaimAnswer:
        """Answer a `ClaimRequest`."""
        return self.request(message)

    async def handle_update(self, peer_id: InstanceId, message: Any) -> Acknowledgement:
        """Apply a `ClaimUpdate`."""
        self.update(message)
        return Acknowledgement()

    def request(self, request: ClaimRequest) -> ClaimAnswer:
        """Grant the key to the first attempt that asks; report its state to others.

        A retransmitted request of the attempt that holds the key is granted again.
        """
        self._remove_expired()
        claim = self._claims.get(request.key_hash)
        if claim is not None and claim.state != RUNNING:
            # A settled claim records what has already happened, so even a keeper that
            # may not grant reports it.
            return self._answer_existing_claim(claim, request)
        if claim is not None and claim.attempt_id == request.attempt_id:
            # The first answer may have been lost; repeating it adds no vote.
            return self._answer_existing_claim(claim, request)
        if not self._may_vote(request.roster_epoch):
            return _ABSTENTION
        if claim is not None:
            return self._answer_existing_claim(claim, request)
        if request.attempt_id in self._released:
            return _ABSTENTION
        return self._grant(request)

    def update(self, update: ClaimUpdate) -> None:
        """Record how an attempt ended.

        `done` and `unknown` are also recorded for a key that is not held, since the
        request of that attempt may have been lost. They replace a running claim of
        another attempt, which cannot have won in the same retention time.
        """
        self._remove_expired()
        if update.state == RELEASED:
            self._release(update)
        elif update.state in (DONE, UNKNOWN):
            self._settle(update)

    def _grant(self, request: ClaimRequest) -> ClaimAnswer:
        if len(self._claims) >= self._max_claim_count:
            # Evicting a claim would let its key run twice.
            if not self._full_is_logged:
                _log.warning("claim table is full; add entry instances")
            self._full_is_logged = True
            return _ABSTENTION
        self._full_is_logged = False
        self._claims[request.key_hash] = _Claim(
            request_hash=request.request_hash,
            attempt_id=request.attempt_id,
            origin_id=request.origin_id,
            state=RUNNING,
            status=0,
            changed_ms=self._clock.now_ms(),
        )
        return ClaimAnswer(
            GRANTED, origin_id=request.origin_id, attempt_id=request.attempt_id
        )

    def _answer_existing_claim(
        self, claim: _Claim, request: ClaimRequest
    ) -> ClaimAnswer:
        if claim.request_hash and claim.request_hash != request.request_hash:
            verdict, state, status = MISMATCH, "", 0
        elif claim.state == RUNNING and claim.attempt_id == request.attempt_id:
            verdict, state, status = GRANTED, "", 0
        else:
            verdict, state, status = HELD, self._reported_state(claim), claim.status
        return ClaimAnswer(verdict, state, status, claim.origin_id, claim.attempt_id)

    def _reported_state(self, claim: _Claim) -> str:
        if claim.state != RUNNING:
            return claim.state
        if self._clock.now_ms() - claim.changed_ms < ORIGIN_LOST_MS:
            return RUNNING
        present = {member.instance_id for member in self._fleet.members()}
        return RUNNING if claim.origin_id in present else UNKNOWN

    def _release(self, update: ClaimUpdate) -> None:
        claim = self._claims.get(update.key_hash)
        if claim is not None and claim.attempt_id == update.attempt_id:
            if claim.state != RUNNING:
                return
            del self._claims[update.key_hash]
        if len(self._released) >= MAX_RELEASE_COUNT:
            del self._released[next(iter(self._released))]
        self._released.pop(update.attempt_id, None)
        self._released[update.attempt_id] = self._clock.now_ms()

    def _settle(self, update: ClaimUpdate) -> None:
        claim = self._claims.pop(update.key_hash, None)
        if claim is None:
            if len(self._claims) >= self._max_claim_count:
                return
            claim = _Claim("", update.attempt_id, "", UNKNOWN, 0, 0.0)
        elif claim.attempt_id != update.attempt_id and claim.state == RUNNING:
            claim = _Claim("", update.attempt_id, "", UNKNOWN, 0, 0.0)
        if claim.state != DONE:
            claim.state = update.state
            claim.status = update.status
        claim.changed_ms = self._clock.now_ms()
        self._claims[update.key_hash] = claim

    def _may_vote(self, asked_epoch: int) -> bool:
        record = self._fleet.store.get(RecordKind.ROSTER, ROSTER_KEY)
        if record is None:
            return False
        roster: RosterBody = record.content
        leader = self._leader()
        if leader is None or not self._holds_roster_lease(leader):
            return False
        # The leader record may arrive before the roster that it names.
        if asked_epoch < max(roster.epoch, leader.roster_epoch):
            return False
        if record is not self._roster_record:
            self._roster_record = record
            self._own_member = self._find_own_member(roster)
        if self._own_member is None:
            return False
        # Refuting a suspicion raises the incarnation of a running process, so the roster
        # may name a later one than the process started with.
        if self._own_member.incarnation >= self._incarnation:
            return True
        # An earlier process of this instance may have granted claims that are lost now;
        # they have all expired one retention time after the start of this process.
        age_ms = self._clock.now_ms() - self._started_ms
        return age_ms >= self._settings.idempotency_retention_ms

    def _leader(self) -> LeaderBody | None:
        record = self._fleet.store.get(RecordKind.LEADER, LEADER_KEY)
        return None if record is None else record.content

    def _holds_roster_lease(self, leader: LeaderBody) -> bool:
        """Return False once the leader may have ended a joint phase without this keeper.

        Compares wall clocks of two instances, whose difference must stay far below the
        lease; the leader waits a tenth of the lease longer.
        """
        age_ms = self._clock.wall_ms() - leader.confirmed_wall_ms
        return age_ms <= self._settings.roster_lease_ms

    def _find_own_member(self, roster: RosterBody) -> RosterMember | None:
        for member in (*roster.members, *roster.previous_members):
            if member.instance_id == self._fleet.instance_id:
                return member
        return None

    def _remove_expired(self) -> None:
        now_ms = self._clock.now_ms()
        claims_end_ms = now_ms - self._settings.idempotency_retention_ms
        while self._claims:
            key_hash = next(iter(self._claims))
            if self._claims[key_hash].changed_ms > claims_end_ms:
                break
            del self._claims[key_hash]
        while self._released:
            attempt_id = next(iter(self._released))
            if self._released[attempt_id] > now_ms - RELEASE_RETENTION_MS:
                break
            del self._released[attempt_id]
