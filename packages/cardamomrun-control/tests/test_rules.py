"""Single rules of the consensus, checked with hand-made messages."""

import asyncio
from dataclasses import replace

import pytest

from cardamomrun_base.codec import encode
from cardamomrun_control.messages import AppendRequest, Envelope, VoteRequest
from cardamomrun_control.replica import Noop
from cardamomrun_control.storage import Entry, Vote

from .builders import Cluster, Network, virtual_time
from .test_state import apply


async def isolated_follower(cluster):
    """Return an isolated follower, the leader, and a vote request that it grants."""
    leader = await cluster.wait_for_leader()
    for number in range(1, 4):
        await leader.agreement.propose(apply(number, number - 1))
    await cluster.wait_for_convergence()
    follower = next(r for r in cluster.running() if r is not leader)
    cluster.network.isolate(follower.name)
    await asyncio.sleep(2)
    envelope = Envelope(
        follower.agreement.term + 1, follower.agreement.voters.cluster_id,
        leader.log.replica_id, follower.log.replica_id,
    )  # fmt: skip
    last = follower.log.last_index
    return (
        follower,
        leader,
        VoteRequest(envelope, last, follower.log.term_at(last), False),
    )


VOTE_CASES = [
    ("equal log", {}, {}, True),
    ("older term", {"term": 0}, {}, False),
    ("wiped candidate", {"sender_replica_id": "other"}, {}, False),
    ("meant for the old replica", {"recipient_replica_id": "other"}, {}, False),
    ("other cluster", {"cluster_id": "other"}, {}, False),
    ("shorter log", {}, {"last_index": 1}, False),
    ("longer log of an older term", {}, {"last_index": 99, "last_term": 0}, False),
]


@pytest.mark.parametrize(("name", "envelope", "fields", "granted"), VOTE_CASES)
@virtual_time
async def test_vote_rules(tmp_path, name, envelope, fields, granted):
    """Guards against a leader that lacks committed entries, or two in one term."""
    async with Cluster(tmp_path) as cluster:
        follower, leader, request = await isolated_follower(cluster)
        good = request.envelope
        wanted = replace(request, envelope=replace(good, **envelope), **fields)
        request_vote = follower.agreement._on_vote
        assert (await request_vote(leader.name, wanted)).granted is granted
        if granted:
            other = next(
                n for n in cluster.replicas if n not in (follower.name, leader.name)
            )
            replica_id = cluster.replicas[other].log.replica_id
            rival = replace(good, sender_replica_id=replica_id)
            assert not (
                await request_vote(other, replace(request, envelope=rival))
            ).granted
            assert (await request_vote(leader.name, request)).granted
            next_term = replace(good, term=good.term + 1)
            heartbeat = AppendRequest(
                good, request.last_index, request.last_term, (), 0
            )
            assert (
                await follower.agreement._on_append(leader.name, heartbeat)
            ).accepted
            next_request = replace(request, envelope=next_term)
            assert not (await request_vote(leader.name, next_request)).granted


@virtual_time
async def test_append_rules(tmp_path):
    """Guards against kept conflicting entries and entries meant for a lost folder."""
    async with Cluster(tmp_path) as cluster:
        follower, leader, vote = await isolated_follower(cluster)
        last, term, good = vote.last_index, vote.last_term, vote.envelope

        async def append(envelope, entry_terms):
            entries = tuple(
                Entry(last + i, t, encode(Noop(t)))
                for i, t in enumerate(entry_terms, 1)
            )
            request = AppendRequest(envelope, last, term, entries, 0)
            answer = await follower.agreement._on_append(leader.name, request)
            held = [e.term for e in follower.log.entries_from(last + 1)]
            return answer.accepted, held

        new = good.term
        assert await append(replace(good, recipient_replica_id="other"), [new]) == (
            False,
            [],
        )
        assert await append(replace(good, cluster_id="x"), [new]) == (False, [])
        assert await append(good, [new, new]) == (True, [new, new])
        assert await append(good, [new]) == (True, [new, new])
        later = replace(good, term=new + 1)
        assert await append(later, [new, new + 1]) == (True, [new, new + 1])
        assert await append(good, [new, new]) == (False, [new, new + 1])


@pytest.mark.parametrize(("held_count", "commits"), [(1, True), (2, False)])
@pytest.mark.parametrize("leader_held", [False, True])
@virtual_time
async def test_only_synced_entries_count(tmp_path, held_count, commits, leader_held):
    """Guards against a commit that a power loss at the majority undoes."""
    async with Cluster(tmp_path) as cluster:
        leader = await cluster.wait_for_leader()
        await cluster.wait_for_convergence()
        order = sorted(cluster.running(), key=lambda r: (r is leader) != leader_held)
        for replica in order[:held_count]:
            replica.disk.is_blocked = True
        proposal = asyncio.ensure_future(leader.agreement.propose(apply(1, 0)))
        await asyncio.sleep(0.3)
        assert proposal.done() is commits
        for replica in order:
            replica.disk.is_blocked = False
        await asyncio.wait([proposal])


@virtual_time
async def test_lease_counts_from_sending_and_old_terms_do_not_commit(tmp_path):
    """Guards against a lease that outlasts the followers' election timeout, and commits
    of an earlier term's entries by counting replicas (figure 8 of the Raft paper).
    """
    network = Network(delay_ms=(140, 150))
    async with Cluster(tmp_path, network=network) as cluster:
        leader = (await cluster.wait_for_leader()).agreement
        for _ in range(200):
            left_ms = leader._lease_until_ms - leader._clock.now_ms()
            assert left_ms <= 800 - 2 * 140
            await asyncio.sleep(0.01)
        network.isolate(leader._instance_id)
        proposal = asyncio.ensure_future(leader.propose(apply(1, 0)))
        await asyncio.sleep(0.1)
        before, index = leader._commit_index, leader._durable_log.last_index
        leader._durable_log.vote = Vote(leader.term + 1, "")
        for peer in leader._peers.values():
            peer.match_index = index
        leader._advance_commit_index()
        assert leader._commit_index == before < index
        await asyncio.wait([proposal])
