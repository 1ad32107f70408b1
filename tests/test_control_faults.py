"""The control state keeps its promises while processes and links fail."""

import asyncio
import base64
import json
import random
import time
from functools import partial

import pytest

from cardamomrun_control.audit import verify

from .processes import (
    OPERATOR_TOKEN,
    Observer,
    Operator,
    document,
    until,
)

TRIAL = "rota-desk/trial"
# Targets of docs/design.md, sections 1 (P7) and 7.
IN_FORCE_S = 4.0
LEADER_CHANGE_S = 3.0


def change(number, expected, mark):
    """Return a change to the trial whose document has bytes of its own."""
    data = json.dumps(document(customer_header=f"Customer-{mark}")).encode()
    return {
        "document": base64.b64encode(data).decode(),
        "change_number": number,
        "expected_version": expected,
    }


async def start(group):
    """Start all nodes and return the leader once all of them answer."""
    group.start_all()
    for name in group.hosts:
        await until(partial(group.status, name))
    return await until(group.leader)


def percentile(values, ratio):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(ratio * len(ordered)))]


def figures(record_property, **values):
    """Keep measured figures with the test; `-rA -s` or a JUnit report shows them."""
    for name, value in values.items():
        record_property(name, value)
    print(json.dumps(values))


class Killer:
    """Kills the leader at random points and starts it again."""

    def __init__(self, group, rng, kill_count):
        self.group, self.rng, self.left = group, rng, kill_count
        # From the kill until another instance holds the lease.
        self.gaps = []

    async def run(self):
        while self.left:
            self.left -= 1
            await asyncio.sleep(self.rng.uniform(0.2, 0.7))
            leader = await until(self.group.leader)
            self.group.kill(leader)
            killed_s = time.monotonic()
            await until(self.group.leader, LEADER_CHANGE_S)
            self.gaps.append((killed_s, time.monotonic()))
            self.group.start(leader)
            await until(partial(self.group.control_status, leader))


async def changes_under_kills(group, seed, kill_count, record_property):
    """Apply changes one after another until the killer has finished."""
    await start(group)
    operator, rng = Operator(group), random.Random(seed)
    entries = group.names("entry")
    accepted, accept_s, number, refused = [], [], 0, set()
    killer = Killer(group, rng, kill_count)
    async with Observer(group, entries, TRIAL) as observer:
        killing = asyncio.create_task(killer.run())
        while not killing.done():
            number += 1
            body = change(number, len(accepted), f"accepted-{number}")
            sent_s = time.monotonic()
            answer = await operator.send("trial/apply", body)
            answered_s = time.monotonic()
            assert answer.status == 200, answer
            assert answer.body["version"] == len(accepted) + 1
            accepted.append((answer.body["digest"], answered_s))
            accept_s.append(answered_s - sent_s)
            again = await operator.send("trial/apply", body)
            assert again == answer
            if number % 5 == 0:
                wrong = change(10_000 + number, 0, f"refused-{number}")
                answer = await operator.send("trial/apply", wrong)
                assert answer.status == 409
                assert answer.body["current_version"] == len(accepted)
                refused.add(number)
        await killing
        last = len(accepted)
        for name in entries:
            await until(partial(observer.has_reached, name, last), IN_FORCE_S)
    observer.assert_never_older()
    assert observer.digests <= {digest for digest, _ in accepted}
    in_force_s = in_force_times(observer, accepted, killer.gaps)
    assert max(in_force_s) <= IN_FORCE_S
    trail = await operator.audit()
    verify(trail)
    done = [e for e in trail if (e.action, e.outcome) == ("apply", "done")]
    assert [e.digest for e in done] == [digest for digest, _ in accepted]
    assert [e.to_version for e in done] == list(range(1, last + 1))
    answer = await group.control("GET", "/v1/environments/rota-desk/trial/history")
    history = [version["digest"] for version in answer.body["versions"]]
    assert history == [digest for digest, _ in accepted][-len(history) :]
    gaps_s = [until_s - from_s for from_s, until_s in killer.gaps]
    figures(
        record_property,
        entry_count=len(entries),
        change_count=last,
        refused_count=len(refused),
        resend_count=operator.resend_count,
        no_leader_s=[round(gap, 2) for gap in gaps_s],
        accept_ms_p50=round(percentile(accept_s, 0.5) * 1_000, 1),
        accept_ms_p99=round(percentile(accept_s, 0.99) * 1_000, 1),
        in_force_ms_p50=round(percentile(in_force_s, 0.5) * 1_000, 1),
        in_force_ms_p99=round(percentile(in_force_s, 0.99) * 1_000, 1),
    )


def in_force_times(observer, accepted, gaps):
    """Return seconds from each answer, or from the end of a gap without a leader."""
    times = []
    for version, (_, answered_s) in enumerate(accepted, 1):
        since_s = answered_s
        for from_s, until_s in gaps:
            if from_s <= answered_s <= until_s:
                since_s = until_s
        for name in observer.seen:
            times.append(max(0.0, observer.reached_s(name, version) - since_s))
    return times


def test_changes_survive_kills_of_the_leader(processes, record_property):
    """Guards against a change that is lost, made twice or reverted by a new leader."""
    group = processes(control_count=3, entry_count=3)
    asyncio.run(changes_under_kills(group, 1, 3, record_property))


@pytest.mark.soak
@pytest.mark.timeout(600)
@pytest.mark.parametrize("seed", range(2, 6))
def test_changes_survive_many_kills_of_the_leader(processes, record_property, seed):
    """Guards against the same with more points at which the leader is killed."""
    group = processes(control_count=3, entry_count=8)
    asyncio.run(changes_under_kills(group, seed, 15, record_property))


def test_instances_that_were_down_for_300_changes(processes, record_property):
    """Guards against a replay or an old version after a long absence."""

    async def scenario():
        group = processes(control_count=3, entry_count=3)
        group.control_settings = {"snapshot_entry_count": 100}
        leader = await start(group)
        operator = Operator(group)
        absent = ["entry-3", next(n for n in group.names("control") if n != leader)]
        async with Observer(group, [*absent, "entry-1"], TRIAL) as observer:
            for version in range(1, 4):
                body = change(version, version - 1, version)
                assert (await operator.send("trial/apply", body)).status == 200
            for name in absent:
                await until(partial(observer.has_reached, name, 3))
                group.kill(name)
            for version in range(4, 304):
                body = change(version, version - 1, version)
                answer = await operator.send("trial/apply", body, leader)
                assert answer.status == 200
            recovery_s = {}
            for name in absent:
                started_s = time.monotonic()
                group.start(name)
                await until(partial(group.status, name))
                await until(partial(observer.has_reached, name, 303), IN_FORCE_S)
                recovery_s[name] = round(time.monotonic() - started_s, 2)
            observer.assert_never_older()
            # Straight from the old version to the newest, so not by replay.
            assert [v for _, v in observer.seen["entry-3"]][-2:] == [3, 303]
            caught_up = await until(lambda: control_at(group, absent[1]), IN_FORCE_S)
            data = group.folder / "data" / absent[1] / "snapshot"
            assert data.exists()
            figures(
                record_property,
                change_count=300,
                recovery_from_process_start_s=recovery_s,
                log_entry_count=caught_up["last_index"],
            )

    asyncio.run(scenario())


async def control_at(group, name):
    """Return an instance's status once it has committed what the leader has."""
    leader = await group.leader()
    newest = leader and await group.control_status(leader)
    status = await group.control_status(name)
    if not newest or not status:
        return None
    return status if status["commit_index"] >= newest["commit_index"] else None


def test_racing_operators_have_one_winner(processes):
    """Guards against two operators who both take their document for the current one."""

    async def scenario():
        group = processes(control_count=3, entry_count=0)
        await start(group)
        rng = random.Random(4)
        operators = {
            "tester": Operator(group),
            "second": Operator(group, f"second-{OPERATOR_TOKEN}"),
        }
        winners = []
        for version in range(40):
            firsts = rng.sample(group.names("control"), 2)
            # Equal numbers in every second round.
            numbers = (version, version) if version % 2 else (version, 1_000 + version)
            answers = await asyncio.gather(
                *(
                    operator.send(
                        "trial/apply",
                        change(number, version, f"{name}-{version}"),
                        first,
                    )
                    for (name, operator), number, first in zip(
                        operators.items(), numbers, firsts, strict=True
                    )
                )
            )
            by_status = {answer.status: answer.body for answer in answers}
            assert set(by_status) == {200, 409}, answers
            assert by_status[200]["version"] == version + 1
            assert by_status[409]["error"] == "version-conflict"
            assert by_status[409]["current_version"] == version + 1
            assert by_status[409]["current_digest"] == by_status[200]["digest"]
            statuses = [answer.status for answer in answers]
            winners.append(list(operators)[statuses.index(200)])
        trail = await operators["tester"].audit()
        verify(trail)
        tried = [e for e in trail if e.action == "apply"]
        done = [e.operator for e in tried if e.outcome == "done"]
        assert done == winners
        assert len(tried) == 80
        for first, second in zip(tried[::2], tried[1::2], strict=True):
            assert {first.operator, second.operator} == set(operators)
        assert set(winners) == set(operators), "the race had one fixed winner"

    asyncio.run(scenario())
