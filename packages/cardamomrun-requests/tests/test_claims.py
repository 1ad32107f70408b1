"""Fault tables and random schedules for idempotency claims."""

import asyncio
import itertools

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from cardamomrun_base.clock import ManualClock
from cardamomrun_base.interfaces import (
    AlreadyDone,
    ClaimKey,
    KeyMismatch,
    NoQuorum,
    StillRunning,
    UnknownEnd,
    Won,
)
from cardamomrun_base.messages import ClaimRequest, ClaimUpdate
from cardamomrun_base.model import RosterMember
from cardamomrun_requests.claims import KeeperMap, QuorumClaims
from cardamomrun_requests.fingerprint import BODY_PREFIX_BYTES, fingerprint
from cardamomrun_requests.keeper import Keeper

from .claims_builders import (
    RETENTION_MS,
    LoopClock,
    Network,
    random_faults,
    run,
    settings_of,
)

KEY = ClaimKey("k", "r")
FIXED = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=300,
    suppress_health_check=list(HealthCheck),
)


def started(count=3, **kwargs):
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
    """Win at one instance, end the attempt, and wait until the keepers know."""
    claims = network.nodes[name].claims
    won = await claims.claim(KEY)
    assert isinstance(won, Won)
    await getattr(claims, how)(won, *args)
    await claims.finish()


# What an earlier attempt at i0 did, the key of the later one at i1, and its result.
LATER_ATTEMPTS = {
    "a running attempt is run again": (None, (), KEY, StillRunning()),
    "a done request is run again": ("settle_done", (201,), KEY, AlreadyDone(201)),
    "an unknown end is taken as not run": ("settle_unknown", (), KEY, UnknownEnd()),
    "a key is reused for another request": (
        "settle_done",
        (200,),
        ClaimKey("k", "other"),
        KeyMismatch(),
    ),
    "a request that was not run stays blocked": ("release", (), KEY, Won),
}


@pytest.mark.parametrize("guards_against", LATER_ATTEMPTS)
def test_later_attempt(guards_against):
    how, args, key, expected = LATER_ATTEMPTS[guards_against]

    async def main():
        network = started()
        if how is None:
            assert isinstance(await claim(network, "i0"), Won)
        else:
            await settle(network, "i0", how, *args)
        result = await claim(network, "i1", key)
        assert isinstance(result, expected) if expected is Won else result == expected

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
        network = started()
        FAILED_CLAIMS[guards_against](network)
        loop = asyncio.get_running_loop()
        begun_s = loop.time()
        assert await claim(network, "i0") == NoQuorum()
        assert loop.time() - begun_s <= 0.251  # the bound on the time of a claim
        await sleep_ms(1_000)
        assert isinstance(await claim(network, "i1"), Won)

    run(main())


def test_two_instances_at_the_same_moment():
    """Guards against two winners when each gets the grant of one keeper first."""

    async def main():
        network = started()
        network.up.discard("i2")
        results = await asyncio.gather(claim(network, "i0"), claim(network, "i1"))
        assert not any(isinstance(result, Won) for result in results)
        network.up.add("i2")
        await sleep_ms(1_000)
        results = await asyncio.gather(claim(network, "i0"), claim(network, "i1"))
        assert [type(one) for one in results].count(Won) == 1

    run(main())


def test_origin_dies_after_its_claim():
    """Guards against a key that is free, or running for ever, after its origin died."""

    async def main():
        network = started(4, domains=4)
        keepers = set(keeper_ids(network))
        (origin,) = set(network.nodes) - keepers
        other = min(keepers)
        assert isinstance(await claim(network, origin), Won)
        network.up.discard(origin)
        await sleep_ms(RETENTION_MS - 1_000)
        assert await claim(network, other) == StillRunning()

    run(main())


def test_lost_origin_is_reported_as_unknown():
    """Guards against reporting a dead attempt as running until its retention ends."""

    async def main():
        network = started()
        long = settings_of("i1")
        object.__setattr__(long, "idempotency_retention_ms", 60_000)
        keeper = Keeper(long, LoopClock(), network.nodes["i1"].fleet, 1)
        keeper.request(ClaimRequest("k", "r", "one", "gone", 1))
        await sleep_ms(11_000)
        answer = keeper.request(ClaimRequest("k", "r", "two", "i0", 1))
        assert (answer.verdict, answer.state) == ("held", "unknown")

    run(main())


def test_frozen_winner_must_not_send():
    """Guards against a winner that wakes after another instance won the key."""

    async def main():
        network = started()
        frozen = await claim(network, "i0")
        await sleep_ms(RETENTION_MS + 10)
        assert isinstance(await claim(network, "i1"), Won)
        assert LoopClock().now_ms() > frozen.start_before_ms

    run(main())


def test_winner_frozen_during_its_claim():
    """Guards against winning by grants that were answered before a long freeze."""

    async def main():
        network = started()
        clock = ManualClock()
        node = network.nodes["i0"]
        claims = QuorumClaims(node.settings, clock, node.fleet, keeper=node.keeper)

        def freeze(message):
            clock.advance_ms(6_000)
            return 1

        network.fault("i0", "i1").delay_ms = freeze
        assert not isinstance(await claims.claim(KEY), Won)

    run(main())


def test_known_end_outweighs_a_majority():
    """Guards against a second run when one keeper alone still knows of the first."""

    async def main():
        network = started()
        network.nodes["i1"].keeper.update(ClaimUpdate("k", "one", "done", 200))
        assert await claim(network, "i0") == AlreadyDone(200)

    run(main())


def test_settlement_is_sent_again():
    """Guards against a done request that is reported as running after one loss."""

    async def main():
        network = started()
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


# Keepers that restart after i0 won with i1 alone besides itself, and whether the roster
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
        network = started()
        network.fault("i0", "i2").lose_request = object
        before = network.roster_members()
        assert isinstance(await claim(network, "i0"), Won)
        for name in restarted:
            network.nodes[name].restart()
        if commits:
            network.commit(2, network.roster_members(), before)
        assert not isinstance(await claim(network, "i2"), Won)
        await sleep_ms(RETENTION_MS + 10)
        assert isinstance(await claim(network, "i2"), Won)  # abstention ends

    run(main())


def test_roster_change_between_two_attempts():
    """Guards against new keepers that never heard of a claim of the old ones."""

    async def main():
        network = started(6)
        old = network.roster_members(["i0", "i1", "i2"])
        network.commit(2, old)
        assert isinstance(await claim(network, "i0"), Won)
        network.commit(3, network.roster_members(["i3", "i4", "i5"]), old)
        assert await claim(network, "i3") == StillRunning()
        await sleep_ms(RETENTION_MS + 10)
        assert isinstance(await claim(network, "i3"), Won)

    run(main())


def test_outdated_origin_gets_no_grant():
    """Guards against an origin that claims by a roster its keepers know is replaced."""

    async def main():
        network = started()
        members = network.roster_members()
        network.commit(2, members, members, only=["i1", "i2"])
        assert await claim(network, "i0") == NoQuorum()

    run(main())


def test_keeper_rules():
    """Guards against forgetting when full, and against a changed answer to a resend."""

    async def main():
        network = started()
        fleet = network.nodes["i1"].fleet
        keeper = Keeper(settings_of("i1"), LoopClock(), fleet, 1, max_claim_count=1)
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
        stranger = network.nodes["i1"].fleet
        stranger.store.records.clear()
        assert keeper.request(ClaimRequest("k", "r", "6", "i0", 1)).verdict != "granted"

    run(main())


@pytest.mark.parametrize("count, quorum", [(1, 1), (2, 2), (3, 2), (7, 2)])
def test_small_fleets(count, quorum):
    """Guards against a quorum that is no majority with fewer than 3 members."""

    async def main():
        network = started(count)
        keepers = keeper_ids(network)
        assert len(keepers) == min(count, 3)
        network.up -= set(keepers[quorum:])
        assert isinstance(await claim(network, keepers[0]), Won)

    run(main())


def test_keepers_prefer_different_failure_domains():
    """Guards against two keepers that one failure domain takes away."""
    members = [RosterMember(f"i{n}", 1, f"d{n % 4}") for n in range(40)]
    for key in range(100):
        chosen = KeeperMap(members).keepers(str(key))
        assert len({one.failure_domain for one in chosen}) == 3
    one_domain = [RosterMember(f"i{n}", 1, "d") for n in range(9)]
    assert len(KeeperMap(one_domain).keepers("k")) == 3


steps = st.lists(
    st.tuples(
        st.sampled_from(["claim", "claim", "claim", "restart", "roster", "heal"]),
        st.integers(0, 4),
        st.sampled_from([0, 0, 5, 100, 260, 2_000, 4_000]),
        st.sampled_from(["run", "run", "release", "freeze", "die"]),
    ),
    min_size=2,
    max_size=14,
)


@FIXED
@given(st.integers(0, 2**32), steps)
def test_at_most_one_run_per_retention_time(seed, schedule):
    """Guards against two runs of a key under losses, delays, restarts and rosters."""

    async def attempt(network, name, how, runs):
        clock = LoopClock()
        begun_ms = clock.now_ms()
        claims = network.nodes[name].claims
        won = await claims.claim(KEY)
        if not isinstance(won, Won):
            return
        if how == "release":
            await claims.release(won)
            return
        if how == "freeze":
            await sleep_ms(network.random.choice([4_900, 9_000, 15_000]))
        if clock.now_ms() >= won.start_before_ms:
            return
        runs.append(begun_ms)
        if how == "run":
            await sleep_ms(network.random.choice([1, 3_000]))
            await claims.settle_done(won, 200)

    async def main():
        network = Network(5, seed=seed)
        random_faults(network)
        members = network.roster_members(["i0", "i1", "i2", "i3"])
        network.commit(1, members)
        epoch, changed_ms = 1, -RETENTION_MS
        runs, tasks = [], []
        for what, who, pause_ms, how in schedule:
            name = f"i{who}"
            now_ms = LoopClock().now_ms()
            if what == "claim":
                tasks.append(asyncio.create_task(attempt(network, name, how, runs)))
            elif what == "restart":
                network.nodes[name].restart()
            elif what == "heal":
                network.faults.clear()
            elif now_ms - changed_ms >= RETENTION_MS:
                changed_ms, epoch, previous = now_ms, epoch + 1, members
                left = [one for one in network.nodes if one != name]
                members = network.roster_members(left)
                early = [one for one in network.nodes if network.random.random() < 0.5]
                network.commit(epoch, members, previous, only=early)
                await sleep_ms(100)
                network.commit(epoch, members, previous)
            await sleep_ms(pause_ms)
        await asyncio.gather(*tasks)
        runs.sort()
        # A roster takes 100 ms to arrive here, and shortens the retention by as much.
        for earlier, later in itertools.pairwise(runs):
            assert later - earlier >= RETENTION_MS - 100

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
    """Guards against quarantining a customer's or route's request for another's."""
    assert (fingerprint(**{**REQUEST, **change}) == fingerprint(**REQUEST)) is same
