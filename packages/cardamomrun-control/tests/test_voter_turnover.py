"""The control instances are replaced without end, as fast as the platform allows."""

import asyncio

import pytest

from .builders import Pace, Turnover, retry, routing, until, virtual_time

# Each turns the whole core over twice or more, at the pace of the platform: the next
# machines go once the last successors have had `catch_up_s`.
FIVE = {"core_count": 5, "lost_count": 1, "period_ms": 4_050, "step_count": 14}
ELEVEN = {"core_count": 11, "lost_count": 2, "period_ms": 6_050, "step_count": 14}


def choose_leaders(turnover):
    """Choose the instance that leads, then other voters, then the rest."""
    left = choose_any(turnover)
    voters = turnover.cluster.settled_voters()
    return sorted(left, key=lambda i: (not i.holds_lease, i.name not in voters))


def choose_oldest(turnover):
    """Choose the instances in the order of their start."""
    return sorted(turnover.left(), key=lambda instance: int(instance.name[1:]))


def choose_newest(turnover):
    """Choose the instances that started last."""
    return choose_oldest(turnover)[::-1]


def choose_any(turnover):
    """Choose instances at random."""
    left = turnover.left()
    return turnover.rng.sample(left, len(left))


async def replace_without_end(turnover, choose):
    """Replace machines, with a document after each step that must be kept."""
    pace, number = turnover.pace, 0

    def put():
        instance = turnover.rng.choice(turnover.left())
        return instance.control.put(routing(number, b"%d" % number), "op")

    async def read():
        return await turnover.rng.choice(turnover.left()).control.read()

    await retry(put)
    await asyncio.sleep(10)
    if pace.successor_ms < 0 and not pace.is_wiped:
        for _ in range(pace.lost_count):
            turnover.add()
        await asyncio.sleep(pace.period_ms / 1_000)
    for _ in range(pace.step_count):
        loop = asyncio.get_running_loop()
        end_s = loop.time() + pace.period_ms / 1_000
        for instance in choose(turnover)[: pace.lost_count]:
            if pace.is_wiped:
                await turnover.wipe(instance.name)
            else:
                await turnover.remove(instance.name)
        await asyncio.sleep(max(0, pace.successor_ms) / 1_000)
        for _ in range(0 if pace.is_wiped else pace.lost_count):
            turnover.add()
        number += 1
        await retry(put, limit_s=end_s - loop.time())
        await asyncio.sleep(end_s - loop.time())
    document = await retry(read)
    assert document.number == number and document.source == b"%d" % number


PACES = [
    pytest.param(FIVE, choose_leaders, id="five, leaders"),
    pytest.param(
        {**FIVE, "is_silent": True}, choose_leaders, id="five, silent leaders"
    ),
    pytest.param(FIVE, choose_any, id="five, any"),
    pytest.param({**FIVE, "is_silent": True}, choose_any, id="five, silent"),
    pytest.param({**FIVE, "is_silent": True}, choose_oldest, id="five, silent oldest"),
    pytest.param(FIVE, choose_newest, id="five, newest"),
    pytest.param(
        {**FIVE, "successor_ms": 1_000, "period_ms": 5_050},
        choose_leaders,
        id="five, leaders, late successors",
    ),
    pytest.param(
        {**FIVE, "successor_ms": 1_000, "period_ms": 5_050, "is_silent": True},
        choose_any,
        id="five, silent, late successors",
    ),
    pytest.param(
        {**ELEVEN, "period_ms": 4_050}, choose_leaders, id="eleven, leaders, short pace"
    ),
    pytest.param(ELEVEN, choose_leaders, id="eleven, leaders"),
    pytest.param(
        {**ELEVEN, "is_silent": True}, choose_oldest, id="eleven, silent oldest"
    ),
    pytest.param(
        {**ELEVEN, "is_silent": True}, choose_leaders, id="eleven, silent leaders"
    ),
    pytest.param(
        {**ELEVEN, "successor_ms": 1_000, "period_ms": 7_050, "is_silent": True},
        choose_any,
        id="eleven, silent, late successors",
    ),
    pytest.param({**FIVE, "is_wiped": True}, choose_leaders, id="five, wiped leaders"),
    pytest.param({**ELEVEN, "is_wiped": True}, choose_any, id="eleven, wiped"),
    pytest.param(
        {**ELEVEN, "core_count": 15, "is_silent": True},
        choose_any,
        id="fifteen, silent",
    ),
]


@pytest.mark.parametrize(("fields", "choose"), PACES)
@virtual_time
async def test_replacing_the_whole_core_keeps_a_majority(tmp_path, fields, choose):
    """Guards against removed voters that outnumber the successors with a vote."""
    async with Turnover(tmp_path, Pace(**fields)) as turnover:
        await replace_without_end(turnover, choose)


@virtual_time
async def test_two_silent_voters_of_five_keep_their_votes(tmp_path):
    """Guards against a set of voters that shrinks while machines are only cut off."""
    async with Turnover(tmp_path, Pace(**FIVE)) as turnover:
        names = set(turnover.cluster.instances)
        await turnover.cluster.wait_for_voters(names)
        others = [i for i in turnover.left() if not i.holds_lease]
        turnover.cluster.network.silent |= {i.name for i in others[:2]}
        await asyncio.sleep(20)
        assert turnover.cluster.settled_voters() == names
        turnover.cluster.network.silent.clear()
        await asyncio.sleep(2)
        for instance in others[2:]:
            await turnover.remove(instance.name)
        await retry(lambda: others[0].control.put(routing(1), "op"), limit_s=10)


@virtual_time
async def test_a_voter_that_was_cut_off_returns_after_its_removal(tmp_path):
    """Guards against a voter that votes by what it knew, or never again."""
    async with Turnover(tmp_path, Pace(**{**FIVE, "core_count": 6})) as turnover:
        names = set(turnover.cluster.instances)
        await turnover.cluster.wait_for_voters(names)
        cut_off = next(i for i in turnover.left() if not i.holds_lease)
        turnover.cluster.network.silent.add(cut_off.name)
        await turnover.cluster.wait_for_voters(names - {cut_off.name})
        leader = next(i for i in turnover.left() if i.holds_lease)
        await leader.control.put(routing(1), "op")
        term = leader.control.agreement.term
        turnover.cluster.network.silent.clear()
        await turnover.cluster.wait_for_voters(names)
        await until(lambda: cut_off.control._state.routing.number == 1, limit_s=5)
        assert leader.holds_lease and leader.control.agreement.term == term


@virtual_time
async def test_a_new_leader_counts_the_silence_of_the_last_one(tmp_path):
    """Guards against a lost leader that keeps its vote for an election longer."""
    async with Turnover(tmp_path, Pace(**{**FIVE, "core_count": 6})) as turnover:
        names = set(turnover.cluster.instances)
        await turnover.cluster.wait_for_voters(names)
        leader = next(i for i in turnover.left() if i.holds_lease)
        lost_ms = leader.settings.control.voter_lost_ms
        turnover.cluster.network.silent.add(leader.name)
        turnover.removed.add(leader.name)
        await asyncio.sleep((lost_ms + 500) / 1_000)
        assert turnover.cluster.settled_voters() == names - {leader.name}


@pytest.mark.parametrize("freeze_ms", [2_000, 5_000])
@pytest.mark.parametrize("delay_ms", [0, 40, 80, 120, 200])
@virtual_time
async def test_a_leader_that_freezes_while_it_adds_a_voter(
    tmp_path, delay_ms, freeze_ms
):
    """Guards against a newcomer that stays a learner, and holds up all other changes."""
    async with Turnover(tmp_path, Pace(**FIVE)) as turnover:
        names = set(turnover.cluster.instances)
        await turnover.cluster.wait_for_voters(names)
        leader = next(i for i in turnover.left() if i.holds_lease)
        turnover.add()
        await until(lambda: "c6" in turnover.cluster.network.fleets)
        agreement = leader.control.agreement
        await until(lambda: agreement._find_voter("c6") is not None)
        await asyncio.sleep(delay_ms / 1_000)
        turnover.cluster.network.silent.add(leader.name)
        await asyncio.sleep(freeze_ms / 1_000)
        turnover.cluster.network.silent.clear()
        await until(lambda: turnover.cluster.settled_voters() == names | {"c6"}, 6)
        await retry(lambda: leader.control.put(routing(1), "op"), limit_s=6)
        assert sum(instance.holds_lease for instance in turnover.left()) == 1
