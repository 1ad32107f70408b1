"""Claims of idempotency keys at a quorum of keepers."""

# Why a key runs at most once in one retention time:
#
# An attempt runs only with grants of a majority of the key's keepers, and two
# majorities of the same keepers share one keeper. That keeper grants the second
# attempt only if it released, expired or forgot the first. It releases only an attempt
# that was given up before its first byte and that sends nothing later, since a release
# names its attempt. It expires a claim one retention time after its grant; by then the
# first attempt has started or has passed `start_before_ms`, which is counted from
# before the first message and so lies before the end of every grant. It forgets only by
# a restart, and then abstains for one retention time unless the roster names its new
# incarnation.
#
# A roster change is joint: an instance that knows the joint roster needs a majority of
# the previous keepers too, which overlaps every majority that an instance with the
# previous roster can get. A keeper that is named with another incarnation than before
# does not count among the previous keepers for one retention time, since it forgot what
# it granted as one. A keeper that knows a newer roster, or knows of one by the leader
# record, abstains from older requests.
#
# The leader ends the joint phase by a roster without previous members once no previous
# member can still grant by the previous roster, and then one retention time has passed,
# in which all such grants expire. A member that reported the joint roster abstains from
# older requests; one that is gone has ended; any other abstains once its roster lease
# has ended. Its lease counts from the newest confirmation by a leader that it knows.
# Confirmations published after the joint roster name its epoch, so a member that votes
# by the previous roster knows only earlier ones, and the leader waits for 1.1 leases from
# then. No other change starts in a joint phase, so that a claim needs majorities of at
# most two rosters.
#
# Lost, delayed and repeated messages can add unused grants, but never votes: an
# answer counts once per keeper, in the claim that requested it. An attempt that gives up
# releases its key at every keeper that it asked, including those that did not answer.
#
# Limits: the argument needs clocks that advance at about the same rate and do not stop
# while a process is frozen, wall clocks of keepers and control instances that differ by
# less than a tenth of `roster_lease_ms`, and a sender that checks `start_before_ms`
# directly before the first byte. A keeper that reported the joint roster, restarts, and
# then gets its records only from instances that are no previous members and know the
# previous roster, can vote by that one until its lease ends.

import asyncio
import secrets
from collections.abc import Callable, Coroutine, Iterable
from dataclasses import dataclass, field
from typing import Any

from xxhash import xxh3_64_intdigest

from cardamomrun_base.clock import MS_PER_S, Clock
from cardamomrun_base.errors import CardamomrunError
from cardamomrun_base.hashing import score
from cardamomrun_base.interfaces import (
    AlreadyDone,
    ClaimGranted,
    ClaimKey,
    ClaimResult,
    Fleet,
    KeyMismatch,
    NoQuorum,
    StillRunning,
    UnknownOutcome,
)
from cardamomrun_base.messages import ClaimAnswer, ClaimRequest, ClaimUpdate
from cardamomrun_base.model import (
    InstanceId,
    Record,
    RecordKind,
    RosterBody,
    RosterMember,
)
from cardamomrun_base.settings import NodeSettings
from cardamomrun_requests.keeper import (
    ABSTAINS,
    DONE,
    GRANTED,
    HELD,
    MISMATCH,
    RELEASED,
    ROSTER_KEY,
    RUNNING,
    UNKNOWN,
    Keeper,
)

__all__ = ["KeeperMap", "QuorumClaims"]

KEEPER_COUNT = 3
CLAIM_TIMEOUT_MS = 250
MAX_START_DELAY_MS = 5_000
# Longer than the release of a competing attempt takes to arrive.
SPLIT_VOTE_PAUSE_MS = 10

# The attempts to send a settlement take about 6 s in all, longer than it takes to replace
# a lost link. A keeper that misses it reports the attempt as running, never as free.
UPDATE_ATTEMPT_COUNT = 5
UPDATE_TIMEOUT_MS = 1_000
UPDATE_PAUSE_MS = 200


class KeeperMap:
    """Chooses the keepers of each key among the members of one roster.

    The weight of a member for a key is the hash of the key seeded with the hash of the
    member: rendezvous hashing as in `cardamomrun_base.hashing.rank`, but with the
    member's part computed once per roster, since ranking is the main cost of a claim.
    """

    def __init__(self, members: Iterable[RosterMember]) -> None:
        self._members = {member.instance_id: member for member in members}
        self._seeds = [(score(name), name) for name in self._members]

    def keepers(self, key_hash: str) -> tuple[RosterMember, ...]:
        """Return 3 keepers, in different failure domains if possible.

        Returns all members if there are fewer than 3.
        """
        key = key_hash.encode()
        ranked = sorted(
            ((xxh3_64_intdigest(key, seed), name) for seed, name in self._seeds),
            reverse=True,
        )
        chosen: list[RosterMember] = []
        spare: list[RosterMember] = []
        domains: set[str] = set()
        for _, instance_id in ranked:
            member = self._members[instance_id]
            if member.failure_domain in domains:
                spare.append(member)
                continue
            domains.add(member.failure_domain)
            chosen.append(member)
            if len(chosen) == KEEPER_COUNT:
                break
        return tuple((chosen + spare)[:KEEPER_COUNT])


@dataclass
class _VoterSet:
    """Keepers of one roster, of which a majority must grant a claim.

    `keeper_count` includes keepers without a vote.
    """

    keeper_count: int
    voter_ids: frozenset[InstanceId]

    def has_majority(self, granted_ids: set[InstanceId]) -> bool:
        return len(self.voter_ids & granted_ids) * 2 > self.keeper_count


@dataclass
class _ClaimVotes:
    """The answers of the keepers to one claim."""

    voter_sets: tuple[_VoterSet, ...]
    asked_ids: tuple[InstanceId, ...]
    granted_ids: set[InstanceId] = field(default_factory=set)
    states: dict[str, int] = field(default_factory=dict)
    holder_ids: dict[InstanceId, str] = field(default_factory=dict)

    def add(self, keeper_id: InstanceId, answer: ClaimAnswer) -> None:
        if answer.verdict == GRANTED:
            self.granted_ids.add(keeper_id)
        elif answer.verdict == MISMATCH:
            self.states[MISMATCH] = 0
        elif answer.verdict == HELD:
            self.states[answer.state] = answer.status
            if answer.state == RUNNING:
                self.holder_ids[keeper_id] = answer.attempt_id

    def missing_grant_ids(self) -> list[InstanceId]:
        """Return the keepers whose grant is missing."""
        return [
            asked_id for asked_id in self.asked_ids if asked_id not in self.granted_ids
        ]

    def should_poll_again(self, attempt_id: str) -> bool:
        """Return True if the vote is split and this attempt has the lowest id.

        Attempts that ask at the same time may each get the grant of one keeper. All but
        the one with the lowest id release their grants, so that one of them wins.
        """
        if set(self.states) != {RUNNING} or self._has_other_winner():
            return False
        return attempt_id < min(self.holder_ids.values())

    def discard_running(self) -> None:
        """Discard answers of state running, which may have changed by the next poll."""
        self.states.pop(RUNNING, None)
        self.holder_ids.clear()

    def _has_other_winner(self) -> bool:
        for holder_id in set(self.holder_ids.values()):
            held = {
                keeper_id
                for keeper_id, other_id in self.holder_ids.items()
                if other_id == holder_id
            }
            if all(voter_set.has_majority(held) for voter_set in self.voter_sets):
                return True
        return False

    def is_won(self) -> bool:
        # A keeper that missed a settlement expires the key earlier than one that has
        # it, so a known end outweighs a majority.
        if DONE in self.states:
            return False
        return all(
            voter_set.has_majority(self.granted_ids) for voter_set in self.voter_sets
        )

    def is_decided(self) -> bool:
        """Return True if no further answer may change the result."""
        return self.is_won() or DONE in self.states

    def result_if_lost(self) -> ClaimResult:
        if DONE in self.states:
            return AlreadyDone(self.states[DONE])
        if MISMATCH in self.states:
            return KeyMismatch()
        if UNKNOWN in self.states:
            return UnknownOutcome()
        if RUNNING in self.states:
            return StillRunning()
        return NoQuorum()


class QuorumClaims:
    """Claims by this instance; implements `cardamomrun_base.interfaces.Claims`.

    `keeper` is the keeper of this instance, which is asked without a message.
    `timeout_ms` limits the time of one claim.
    """

    def __init__(
        self,
        settings: NodeSettings,
        clock: Clock,
        fleet: Fleet,
        *,
        keeper: Keeper | None = None,
        timeout_ms: int = CLAIM_TIMEOUT_MS,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._fleet = fleet
        self._keeper = keeper
        self._timeout_ms = timeout_ms
        self._roster: RosterBody | None = None
        self._current = KeeperMap(())
        self._previous = KeeperMap(())
        self._roster_received_ms = 0.0
        self._tasks: set[asyncio.Task] = set()
        record = fleet.store.get(RecordKind.ROSTER, ROSTER_KEY)
        if record is not None:
            self._apply_roster(record)
        fleet.store.subscribe(RecordKind.ROSTER, self._apply_roster)

    async def claim(self, key: ClaimKey) -> ClaimResult:
        """Reserve a key for one attempt at a quorum of its keepers.

        Returns within `timeout_ms`. The request must not run unless the result is `ClaimGranted`.
        """
        start_before_ms = self._clock.now_ms() + self._max_start_delay_ms()
        roster = self._roster
        if roster is None or not roster.members:
            return NoQuorum()
        votes = self._new_votes(key.key_hash, roster)
        attempt_id = secrets.token_hex(16)
        request = ClaimRequest(
            key_hash=key.key_hash,
            request_hash=key.request_hash,
            attempt_id=attempt_id,
            origin_id=self._fleet.instance_id,
            roster_epoch=roster.epoch,
        )
        end_ms = self._clock.now_ms() + self._timeout_ms
        await self._collect_votes(votes, request, end_ms)
        while (
            not votes.is_won()
            and votes.should_poll_again(attempt_id)
            and self._clock.now_ms() + SPLIT_VOTE_PAUSE_MS < end_ms
        ):
            await self._clock.sleep_ms(SPLIT_VOTE_PAUSE_MS)
            votes.discard_running()
            await self._collect_votes(votes, request, end_ms)
        if votes.is_won() and self._clock.now_ms() < start_before_ms:
            return ClaimGranted(key, attempt_id, start_before_ms)
        # A keeper may have granted the key although its answer was lost.
        update = ClaimUpdate(key.key_hash, attempt_id, RELEASED)
        self._send_updates(update, votes.asked_ids)
        return votes.result_if_lost()

    async def settle_done(self, won: ClaimGranted, status: int) -> None:
        """Tell the keepers in the background that the request was run and answered."""
        self._settle(won, DONE, status)

    async def settle_unknown(self, won: ClaimGranted) -> None:
        """Tell the keepers in the background that the end of the request is unknown."""
        self._settle(won, UNKNOWN, 0)

    async def release(self, won: ClaimGranted) -> None:
        """Release the key in the background; allowed only if the request was not run."""
        self._settle(won, RELEASED, 0)

    async def finish(self) -> None:
        """Wait until all updates are sent or given up."""
        while self._tasks:
            await asyncio.wait(set(self._tasks))

    def _max_start_delay_ms(self) -> float:
        # With a very short retention time, grants would end before a late start.
        return min(MAX_START_DELAY_MS, self._settings.idempotency_retention_ms / 2)

    def _apply_roster(self, record: Record) -> None:
        if record.key != ROSTER_KEY:
            return
        roster: RosterBody = record.content
        if self._roster is None or roster.epoch != self._roster.epoch:
            self._roster_received_ms = self._clock.now_ms()
        self._roster = roster
        self._current = KeeperMap(roster.members)
        self._previous = KeeperMap(roster.previous_members)

    def _previous_voter_set(
        self, previous: tuple[RosterMember, ...], roster: RosterBody
    ) -> _VoterSet:
        """Return the previous keepers, without a vote for those that lost their grants.

        A keeper that restarted before the roster was committed has no vote until all
        that it may have granted before has expired.
        """
        age_ms = self._clock.now_ms() - self._roster_received_ms
        voters = frozenset(member.instance_id for member in previous)
        if age_ms < self._settings.idempotency_retention_ms:
            voters -= _restarted_ids(previous, roster.members)
        return _VoterSet(len(previous), voters)

    def _new_votes(self, key_hash: str, roster: RosterBody) -> _ClaimVotes:
        current = self._current.keepers(key_hash)
        ids = [member.instance_id for member in current]
        voter_sets = [_VoterSet(len(current), frozenset(ids))]
        if roster.previous_members:
            previous = self._previous.keepers(key_hash)
            voter_sets.append(self._previous_voter_set(previous, roster))
            ids += [member.instance_id for member in previous]
        return _ClaimVotes(tuple(voter_sets), tuple(dict.fromkeys(ids)))

    async def _collect_votes(
        self, votes: _ClaimVotes, request: ClaimRequest, end_ms: float
    ) -> None:
        """Ask all keepers without a grant at once, until a decision or `end_ms`."""
        asked = {
            self._spawn(self._request_vote(keeper_id, request)): keeper_id
            for keeper_id in votes.missing_grant_ids()
        }
        pending = set(asked)
        while pending and not votes.is_decided():
            left_ms = end_ms - self._clock.now_ms()
            if left_ms <= 0:
                return
            finished, pending = await asyncio.wait(
                pending, timeout=left_ms / MS_PER_S, return_when=asyncio.FIRST_COMPLETED
            )
            for task in finished:
                votes.add(asked[task], task.result())

    async def _request_vote(
        self, keeper_id: InstanceId, request: ClaimRequest
    ) -> ClaimAnswer:
        try:
            answer = await self._send(keeper_id, request, self._timeout_ms)
        except CardamomrunError:
            return ClaimAnswer(ABSTAINS)
        return answer if isinstance(answer, ClaimAnswer) else ClaimAnswer(ABSTAINS)

    async def _send(self, keeper_id: InstanceId, message: Any, timeout_ms: int) -> Any:
        if keeper_id != self._fleet.instance_id or self._keeper is None:
            return await self._fleet.request(keeper_id, message, timeout_ms=timeout_ms)
        handler: Callable[[InstanceId, Any], Coroutine] = (
            self._keeper.handle_request
            if isinstance(message, ClaimRequest)
            else self._keeper.handle_update
        )
        return await handler(keeper_id, message)

    def _settle(self, won: ClaimGranted, state: str, status: int) -> None:
        update = ClaimUpdate(won.key.key_hash, won.attempt_id, state, status)
        if self._roster is not None:
            votes = self._new_votes(won.key.key_hash, self._roster)
            self._send_updates(update, votes.asked_ids)

    def _send_updates(
        self, update: ClaimUpdate, keeper_ids: Iterable[InstanceId]
    ) -> None:
        for keeper_id in keeper_ids:
            self._spawn(self._send_update(keeper_id, update))

    async def _send_update(self, keeper_id: InstanceId, update: ClaimUpdate) -> None:
        pause_ms = UPDATE_PAUSE_MS
        for _ in range(UPDATE_ATTEMPT_COUNT):
            try:
                await self._send(keeper_id, update, UPDATE_TIMEOUT_MS)
                return
            except CardamomrunError:
                await self._clock.sleep_ms(pause_ms)
                pause_ms *= 2

    def _spawn(self, work: Coroutine) -> asyncio.Task:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


def _restarted_ids(
    previous: Iterable[RosterMember], current: Iterable[RosterMember]
) -> frozenset[InstanceId]:
    incarnations = {member.instance_id: member.incarnation for member in current}
    return frozenset(
        member.instance_id
        for member in previous
        if incarnations.get(member.instance_id, member.incarnation)
        != member.incarnation
    )
