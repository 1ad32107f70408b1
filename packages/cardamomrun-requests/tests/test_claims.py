"""Fault tables and random schedules for idempotency claims."""

import asyncio
import itertools
from dataclasses import replace

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from cardamomrun_base.clock import ManualClock
from cardamomrun_base.interfaces import (
    AlreadyDone,
    ClaimGranted,
    ClaimKey,
    KeyMismatch,
    NoQuorum,
    StillRunning,
    UnknownOutcome,
)
from cardamomrun_base.messages import ClaimRequest, ClaimUpdate
from cardamomrun_base.model import (
    LeaderBody,
    MemberPhase,
    Record,
    RecordKind,
    RosterBody,
    RosterMember,
)
from cardamomrun_requests.claims import KeeperMap, QuorumClaims
from cardamomrun_requests.fingerprint import BODY_PREFIX_BYTES, fingerprint
from cardamomrun_requests.keeper import Keeper

from .claims_builders import (
    LEASE_MS,
    RETENTION_MS,
    LoopClock,
    Network,
    RosterLeader,
    member_of,
    node_settings,
    random_faults,
    run,
)

KEY = ClaimKey("k", "r")
FIXED = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=300,
    suppress_health_check=list(HealthCheck),
)


def started_network(count=3, **kwargs):
    network = Network(count, **kwargs)
    network.commit(1, network.roster_members())
    return network


def claim(network, name, key=KEY):
    return network.nodes[name].claims.claim(key)


def keeper_ids(network):
    chosen = KeeperMap(network.roster_members()).keepers("k")
    return [member.instance_id for member in chosen]


async def sleep_ms(duration_ms):
    await asyncio.sleep(duration_ms / 1_000)


async def settle(network, name, how, *args):
    """Win at one instance, settle the claim, and wait until the keepers have it."""
    claims = network.nodes[name].claims
    won = await claims.claim(KEY)
    assert isinstance(won, ClaimGranted)
    await getattr(claims, how)(won, *args)
    await claims.finish()


# What an earlier attempt at i0 did, the key of the later one at i1, and its result.
LATER_ATTEMPTS = {
    "a running attempt is run again": (None, (), KEY, StillRunning()),
    "a done request is run again": ("settle_done", (201,), KEY, AlreadyDone(201)),
    "an unknown end is taken as not run": ("settle_unknown", (), KEY, UnknownOutcome()),
    "a key is reused for another request": (
        "settle_done",
        (200,),
        ClaimKey("k", "other"),
        KeyMismatch(),
    ),
    "a request that was not run stays blocked": ("release", (), KEY, ClaimGranted),
}


@pytest.mark.parametrize("guards_against", LATER_ATTEMPTS)
def test_later_attempt(guards_against):
    how, args, key, expected = LATER_ATTEMPTS[guards_against]

    async def main():
        network = started_network()
        if how is None:
            assert isinstance(await claim(network, "i0"), ClaimGranted)
        else:
            await settle(network, "i0", how, *args)
        result = await claim(network, "i1", key)
        assert (
            isinstance(result, expected)
            if expected is ClaimGranted
            else result == expected
        )

    run(main())


def lose_answers(network):
    for target in ("i1", "i2"):
        network.fault("i0", target).lose_answer = ClaimRequest


def lose_requests(network):
    for target in ("i1", "i2"):
        network.fault("i0", target).lose_request = ClaimRequest


def delay_requests(network):
    def delay_ms(message):
        return 400 if isinstance(message, ClaimRequest) else 1

    for target in ("i1", "i2"):
        network.fault("i0", target).delay_ms = delay_ms


# A claim at i0 that fails must leave the key free for i1.
FAILED_CLAIMS = {
    "a grant whose answer was lost blocks the key": lose_answers,
    "the grant of a lone keeper blocks the key": lose_requests,
    "a release that overtakes its request leaves a grant behind": delay_requests,
}


@pytest.mark.parametrize("guards_against", FAILED_CLAIMS)
def test_failed_claim_is_given_back(guards_against):
    async def main():
        network = started_network()
        FAILED_CLAIMS[guards_against](network)
        loop = asyncio.get_running_loop()
        begun_s = loop.time()
        assert await claim(network, "i0") == NoQuorum()
        assert loop.time() - begun_s <= 0.251  # the bound on the time of a claim
        await sleep_ms(1_000)
        assert isinstance(await claim(network, "i1"), ClaimGranted)

    run(main())


def test_two_instances_at_the_same_moment():
    """Guards against two winners when each gets the grant of one keeper first."""

    async def main():
        network = started_network()
        network.up.discard("i2")
        results = await asyncio.gather(claim(network, "i0"), claim(network, "i1"))
        assert not any(isinstance(result, ClaimGranted) for result in results)
        network.up.add("i2")
        await sleep_ms(1_000)
        results = await asyncio.gather(claim(network, "i0"), claim(network, "i1"))
        assert [type(one) for one in results].count(ClaimGranted) == 1

    run(main())


def test_origin_dies_after_its_claim():
    """Guards against a key that is free before its retention ends although its origin crashed."""

    async def main():
        network = started_network(4, domains=4)
        keepers = set(keeper_ids(network))
        (origin,) = set(network.nodes) - keepers
        other = min(keepers)
        assert isinstance(await claim(network, origin), ClaimGranted)
        network.up.discard(origin)
        await sleep_ms(RETENTION_MS - 1_000)
        assert await claim(network, other) == StillRunning()

    run(main())


def test_lost_origin_is_reported_as_unknown():
    """Guards against reporting an ended attempt as running until its retention ends."""

    async def main():
        network = started_network()
        long = node_settings("i1")
        object.__setattr__(long, "idempotency_retention_ms", 60_000)
        keeper = Keeper(long, LoopClock(), network.nodes["i1"].fleet, 1)
        keeper.request(ClaimRequest("k", "r", "one", "gone", 1))
        await sleep_ms(11_000)
        answer = keeper.request(ClaimRequest("k", "r", "two", "i0", 1))
        assert (answer.verdict, answer.state) == ("held", "unknown")

    run(main())


def test_frozen_winner_must_not_send():
    """Guards against a frozen winner that sends after another instance won the key."""

    async def main():
        network = started_network()
        frozen = await claim(network, "i0")
        await sleep_ms(RETENTION_MS + 10)
        assert isinstance(await claim(network, "i1"), ClaimGranted)
        assert LoopClock().now_ms() > frozen.start_before_ms

    run(main())


def test_winner_frozen_during_its_claim():
    """Guards against winning by grants that were answered before a long freeze."""

    async def main():
        network = started_network()
        clock = ManualClock()
        node = network.nodes["i0"]
        claims = QuorumClaims(node.settings, clock, node.fleet, keeper=node.keeper)

        def freeze(message):
            clock.advance_ms(6_000)
            return 1

        network.fault("i0", "i1").delay_ms = freeze
        assert not isinstance(await claims.claim(KEY), ClaimGranted)

    run(main())


def test_known_end_outweighs_a_majority():
    """Guards against a second run when only one keeper still knows of the first."""

    async def main():
        network = started_network()
        network.nodes["i1"].keeper.update(ClaimUpdate("k", "one", "done", 200))
        assert await claim(network, "i0") == AlreadyDone(200)

    run(main())


def test_settlement_is_sent_again():
    """Guards against a done request that is reported as running after one loss."""

    async def main():
        network = started_network()
        lossy = [network.fault("i0", target) for target in ("i1", "i2")]
        for fault in lossy:
            fault.lose_request = ClaimUpdate
        settling = asyncio.create_task(settle(network, "i0", "settle_done", 200))
        await sleep_ms(900)
        for fault in lossy:
            fault.lose_request = None
        await settling
        network.up.discard("i0")
        assert await claim(network, "i1") == AlreadyDone(200)

    run(main())


# Keepers that restart after i0 won with only i1 besides itself, and whether the roster
# that names their new incarnations is committed. No such case may let i2 win.
RESTARTS = {
    "a keeper forgot its grant": (["i1"], False),
    "two keepers forgot their grants": (["i0", "i1"], False),
    "the new roster names a keeper that forgot": (["i1"], True),
    "the new roster names two keepers that forgot": (["i0", "i1"], True),
}


@pytest.mark.parametrize("guards_against", RESTARTS)
def test_keeper_restart(guards_against):
    restarted, commits = RESTARTS[guards_against]

    async def main():
        network = started_network()
        network.fault("i0", "i2").lose_request = object
        before = network.roster_members()
        assert isinstance(await claim(network, "i0"), ClaimGranted)
        for name in restarted:
            network.nodes[name].restart()
        if commits:
            network.commit(2, network.roster_members(), before)
        assert not isinstance(await claim(network, "i2"), ClaimGranted)
        await sleep_ms(RETENTION_MS + 10)
        assert isinstance(await claim(network, "i2"), ClaimGranted)  # abstention ends

    run(main())


def test_roster_change_between_two_attempts():
    """Guards against new keepers that do not know a claim of the previous ones."""

    async def main():
        network = started_network(6)
        old = network.roster_members(["i0", "i1", "i2"])
        network.commit(2, old)
        assert isinstance(await claim(network, "i0"), ClaimGranted)
        network.commit(3, network.roster_members(["i3", "i4", "i5"]), old)
        assert await claim(network, "i3") == StillRunning()
        await sleep_ms(RETENTION_MS + 10)
        assert isinstance(await claim(network, "i3"), ClaimGranted)

    run(main())


def test_partition_longer_than_the_retention_time():
    """Guards against a key that runs on both sides of a partition.

    The side without the leader claims with the old roster for as long as its lease
    lasts, so the other side must go on asking the previous keepers.
    """

    async def main():
        network = started_network(6)
        old = network.roster_members(["i0", "i1", "i2"])
        network.commit(2, old)
        with_leader = ["i3", "i4", "i5"]
        network.partition(with_leader)
        new = network.roster_members(with_leader)
        network.commit(3, new, old, only=with_leader)
        await sleep_ms(RETENTION_MS + 10)
        results = [await claim(network, "i0"), await claim(network, "i3")]
        assert [type(one) for one in results].count(ClaimGranted) == 1

    run(main())


def test_partition_until_the_change_has_ended():
    """Guards against two winners during a roster change that one side never learns of.

    After the joint phase the side with the leader must claim without the other, whose
    leases have ended by then.
    """

    async def main():
        network = Network(6)
        leader = RosterLeader(network, network.roster_members(["i0", "i1", "i2"]))
        leader.is_cut_off = True
        network.partition(["i3", "i4", "i5"])
        leader.want_all_reachable()
        leading = asyncio.create_task(leader.run())
        winners = []
        # The change starts after one retention time, then takes lease, margin and retention.
        duration_ms = 2 * RETENTION_MS + 1.1 * LEASE_MS + 5_000
        for number in range(int(duration_ms / 1_000)):
            key = ClaimKey(f"k{number}", "r")
            won = {
                name
                for name in ("i0", "i3")
                if isinstance(await claim(network, name, key), ClaimGranted)
            }
            assert len(won) <= 1
            winners.append(won)
            await sleep_ms(1_000)
        leading.cancel()
        assert winners[0] == {"i0"}
        assert winners[-1] == {"i3"}

    run(main())


def test_outdated_origin_gets_no_grant():
    """Guards against an origin that claims by a roster its keepers know is replaced."""

    async def main():
        network = started_network()
        members = network.roster_members()
        network.commit(2, members, members, only=["i1", "i2"])
        assert await claim(network, "i0") == NoQuorum()

    run(main())


def test_keeper_answers():
    """Guards against evicting claims when full, and a changed answer to a resend."""

    async def main():
        network = started_network()
        fleet = network.nodes["i1"].fleet
        keeper = Keeper(node_settings("i1"), LoopClock(), fleet, 1, max_claim_count=1)
        first = ClaimRequest("k", "r", "one", "i0", 1)
        assert keeper.request(first) == keeper.request(first)
        assert keeper.request(first).verdict == "granted"
        full = keeper.request(ClaimRequest("k2", "r", "two", "i0", 1))
        assert full.verdict == "abstains"
        keeper.update(ClaimUpdate("k", "two", "released"))  # not the holder
        assert keeper.request(ClaimRequest("k", "r", "3", "i0", 1)).verdict == "held"
        keeper.update(ClaimUpdate("k", "one", "done", 200))
        keeper.update(ClaimUpdate("k", "one", "released"))  # comes too late
        assert keeper.request(ClaimRequest("k", "r", "4", "i0", 1)).state == "done"
        await sleep_ms(RETENTION_MS + 1)
        assert keeper.request(ClaimRequest("k", "r", "5", "i0", 1)).verdict == "granted"
        other_fleet = network.nodes["i1"].fleet
        other_fleet.store.records.clear()
        assert keeper.request(ClaimRequest("k", "r", "6", "i0", 1)).verdict != "granted"

    run(main())


@pytest.mark.parametrize("count, quorum", [(1, 1), (2, 2), (3, 2), (7, 2)])
def test_small_fleets(count, quorum):
    """Guards against a quorum that is no majority with fewer than 3 members."""

    async def main():
        network = started_network(count)
        keepers = keeper_ids(network)
        assert len(keepers) == min(count, 3)
        network.up -= set(keepers[quorum:])
        assert isinstance(await claim(network, keepers[0]), ClaimGranted)

    run(main())


def test_keepers_prefer_different_failure_domains():
    """Guards against losing two keepers with one failure domain."""
    members = [RosterMember(f"i{n}", 1, f"d{n % 4}") for n in range(40)]
    for key in range(100):
        chosen = KeeperMap(members).keepers(str(key))
        assert len({one.failure_domain for one in chosen}) == 3
    one_domain = [RosterMember(f"i{n}", 1, "d") for n in range(9)]
    assert len(KeeperMap(one_domain).keepers("k")) == 3


# A fault, a bit mask of the instances it concerns, a pause, a bit mask of the instances
# that then claim the key at once, and what the winner does.
steps = st.lists(
    st.tuples(
        st.sampled_from(
            [
                "none",
                "restart",
                "roster",
                "roster",
                "partition",
                "partition",
                "deafen",
                "heal",
                "term",
            ]
        ),
        st.integers(0, 31),
        st.sampled_from([0, 100, 4_000, 11_000, 11_000, 33_000]),
        st.integers(0, 31),
        st.sampled_from(["run", "release", "freeze", "die", "die"]),
    ),
    min_size=2,
    max_size=10,
)


def chosen(network, number):
    """Return the instances whose bits are set in `number`."""
    return {name for bit, name in enumerate(network.nodes) if number >> bit & 1}


@FIXED
@given(st.integers(0, 2**32), steps)
def test_at_most_one_run_per_retention_time(seed, schedule):
    """Guards against two runs of a key under any mix of faults and roster changes.

    The faults are losses, delays, restarts, partitions in which the side without the
    leader keeps the old roster, instances that the leader cannot reach, changes of
    leader, and wall clocks that differ by less than the margin of the lease.
    """

    async def attempt(network, name, how, runs):
        clock = LoopClock()
        begun_ms = clock.now_ms()
        claims = network.nodes[name].claims
        won = await claims.claim(KEY)
        if not isinstance(won, ClaimGranted):
            return
        won_ms = clock.now_ms()
        if how == "release":
            await claims.release(won)
            return
        if how == "freeze":
            await sleep_ms(network.random.choice([4_900, 9_000, 15_000]))
        if clock.now_ms() >= won.start_before_ms:
            return
        runs.append((won_ms, begun_ms))
        if how == "run":
            await sleep_ms(network.random.choice([1, 3_000]))
            await claims.settle_done(won, 200)

    async def main():
        network = Network(5, seed=seed)
        for node in network.nodes.values():
            node.wall_offset_ms = network.random.randint(-400, 400)
            node.restart()
        if seed % 3 == 0:
            random_faults(network)
        leader = RosterLeader(network, network.roster_members(["i0", "i1", "i2"]))
        leading = asyncio.create_task(leader.run())
        runs, tasks = [], []
        for what, number, pause_ms, claimants, how in schedule:
            if what == "restart":
                for name in chosen(network, number):
                    network.nodes[name].restart()
            elif what == "heal":
                network.faults.clear()
                network.partition(())
                leader.unreachable_names.clear()
            elif what == "partition":
                network.partition(chosen(network, number))
                leader.want_all_reachable()
            elif what == "deafen":
                leader.unreachable_names = chosen(network, number)
                leader.want_all_reachable()
            elif what == "term":
                leader.term += 1
                leader.reports.clear()
            elif what == "roster":
                leader.wanted = network.roster_members(
                    chosen(network, number) or ["i0"]
                )
            await sleep_ms(pause_ms)
            for name in sorted(chosen(network, claimants)):
                tasks.append(asyncio.create_task(attempt(network, name, how, runs)))
        await asyncio.gather(*tasks)
        leading.cancel()
        runs.sort()
        for (_, earlier_ms), (later_ms, _) in itertools.pairwise(runs):
            assert later_ms - earlier_ms >= RETENTION_MS

    run(main())


# State of one member, and whether the joint phase may then end.
JOINT_PHASES = {
    "a member that still has the old roster is left out": ("present", False),
    "a reported member holds up the change": ("reported", True),
    "a report of an older roster counts": ("reported older", False),
    "a stopped member holds up the change for a lease": ("gone", True),
    "an absent member is left out before its lease ends": ("absent", False),
    "an absent member holds up the change for ever": ("absent for a lease", True),
}


@pytest.mark.parametrize("guards_against", JOINT_PHASES)
def test_end_of_a_joint_phase(guards_against):
    state, expected = JOINT_PHASES[guards_against]

    async def main():
        network = started_network(3)
        members = network.roster_members()
        leader = RosterLeader(network, members)
        roster = RosterBody(2, members, members)
        if state not in ("present", "reported", "reported older"):
            network.up.discard("i2")
        leader.reports = {"i0": 2, "i1": 2, "i2": {"reported": 2}.get(state, 1)}
        if state == "gone":
            body = replace(member_of("i2"), phase=MemberPhase.GONE)
            leader.fleet.store.put(
                Record.from_content(RecordKind.MEMBER, "i2", "i2", (1, 9), body)
            )
        assert not leader.phase.may_end(1, roster)
        await sleep_ms(LEASE_MS * 1.2 if state == "absent for a lease" else 100)
        assert not leader.phase.may_end(1, roster)  # one further retention time
        await sleep_ms(RETENTION_MS)
        assert leader.phase.may_end(1, roster) is expected
        assert not leader.phase.may_end(2, roster)  # a new leader counts anew

    run(main())


# Leader records by which a keeper with roster 1 must grant nothing to a claim by it.
OLD_LEASES = {
    "a keeper votes though its lease has ended": (-LEASE_MS - 1, 1, "abstains"),
    "a keeper abstains while its lease lasts": (-LEASE_MS, 1, "granted"),
    "a keeper votes though it knows of a newer roster": (0, 2, "abstains"),
}


@pytest.mark.parametrize("guards_against", OLD_LEASES)
def test_roster_lease(guards_against):
    age_ms, epoch, verdict = OLD_LEASES[guards_against]

    async def main():
        network = started_network()
        store = network.nodes["i0"].fleet.store
        body = LeaderBody("c", 2, "", "", age_ms, epoch)
        store.put(Record.from_content(RecordKind.LEADER, "control", "c", (2, 1), body))
        keeper = network.nodes["i0"].keeper
        assert keeper.request(ClaimRequest("k", "r", "1", "i1", 1)).verdict == verdict
        store.records.pop((RecordKind.LEADER, "control"))
        assert keeper.request(ClaimRequest("2", "r", "2", "i1", 1)).verdict != "granted"

    run(main())


REQUEST = {
    "environment": "s/trial",
    "method": "POST",
    "target": "/a?b",
    "customer": "c",
    "idempotency_key": None,
    "body_prefix": b"x" * BODY_PREFIX_BYTES,
}


@pytest.mark.parametrize(
    "change, same",
    [
        ({"environment": "s/production"}, False),
        ({"method": "PUT"}, False),
        ({"target": "/a?c"}, False),
        ({"customer": "d"}, False),
        ({"body_prefix": b"y"}, False),
        ({"body_prefix": b"x" * (BODY_PREFIX_BYTES + 1)}, True),
        ({"idempotency_key": "k"}, False),
        ({"target": "/a?bc", "customer": ""}, False),
    ],
)
def test_fingerprint(change, same):
    """Guards against quarantining a request for the crashes of a different one."""
    assert (fingerprint(**{**REQUEST, **change}) == fingerprint(**REQUEST)) is same
