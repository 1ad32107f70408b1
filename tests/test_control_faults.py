"""The control state keeps its guarantees while processes and links fail."""

import asyncio
import base64
import contextlib
import json
import random
import shutil
import signal
import time
from functools import partial

import cbor2
import pytest

from cardamomrun_base.clock import SystemClock
from cardamomrun_base.codec import encode
from cardamomrun_base.documents import document_digest, load_document
from cardamomrun_base.errors import CardamomrunError
from cardamomrun_base.http_client import call
from cardamomrun_base.messages import Acknowledgement
from cardamomrun_base.model import EnvironmentBody, Record, RecordKind
from cardamomrun_bench.caller import ClientError, PooledClient
from cardamomrun_control.audit import verify
from cardamomrun_fleet.fleet import Fleet
from cardamomrun_fleet.store import Store
from cardamomrun_node.environments import LiveEnvironments

from .processes import (
    OPERATOR_TOKEN,
    Observer,
    Operator,
    document,
    wait_until,
)
from .relay_between_nodes import Relays

TRIAL = "rota-desk/trial"
# Targets of docs/design.md, sections 1 (P7) and 7.
IN_FORCE_LIMIT_S = 4.0
LEADER_CHANGE_LIMIT_S = 3.0
# Detection of a lost link, its reopening, suspicion and dissemination (section 4.2).
DETECTION_LIMIT_S = 8.0


def trial_change(number, expected, mark):
    """Return a change of the trial document; `mark` makes the document unique."""
    data = json.dumps(document(customer_header=f"Customer-{mark}")).encode()
    return {
        "document": base64.b64encode(data).decode(),
        "change_number": number,
        "expected_version": expected,
    }


async def start(group):
    """Start all nodes, wait until all of them answer, and return the leader."""
    group.start_all()
    for name in group.hosts:
        await wait_until(partial(group.status, name))
    return await wait_until(group.leader)


def percentile(values, ratio):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(ratio * len(ordered)))]


def record_measurements(record_property, **values):
    """Record measurements with the test; `-rA -s` or a JUnit report shows them."""
    for name, value in values.items():
        record_property(name, value)
    print(json.dumps(values))


class LeaderKiller:
    """Kills and restarts the leader at random times while a follower lags behind."""

    def __init__(self, group, rng, kill_count):
        self.group, self.rng, self.remaining_kill_count = group, rng, kill_count
        # Each from the kill until another instance holds the lease, in seconds.
        self.leaderless_periods = []

    async def run(self):
        while self.remaining_kill_count:
            self.remaining_kill_count -= 1
            await asyncio.sleep(self.rng.uniform(0.2, 0.7))
            leader = await wait_until(self.group.leader)
            # A lagging follower must not win the election with its shorter log.
            others = [n for n in self.group.instance_ids("control") if n != leader]
            lagging = self.rng.choice(others)
            self.group.signal(lagging, signal.SIGSTOP)
            await asyncio.sleep(self.rng.uniform(0.1, 0.4))
            self.group.kill(leader)
            killed_s = time.monotonic()
            self.group.signal(lagging, signal.SIGCONT)
            await wait_until(self.group.leader, LEADER_CHANGE_LIMIT_S)
            self.leaderless_periods.append((killed_s, time.monotonic()))
            self.group.start(leader)
            await wait_until(partial(self.group.control_status, leader))


async def changes_under_kills(group, seed, kill_count, record_property):
    """Apply changes one after another until the killer has finished."""
    await start(group)
    operator, rng = Operator(group), random.Random(seed)
    entries = group.instance_ids("entry")
    accepted, accept_s, number, refused = [], [], 0, set()
    killer = LeaderKiller(group, rng, kill_count)
    async with Observer(group, entries, TRIAL) as observer:
        killing = asyncio.create_task(killer.run())
        while not killing.done():
            number += 1
            body = trial_change(number, len(accepted), f"accepted-{number}")
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
                wrong = trial_change(10_000 + number, 0, f"refused-{number}")
                answer = await operator.send("trial/apply", wrong)
                assert answer.status == 409
                assert answer.body["current_version"] == len(accepted)
                refused.add(number)
        await killing
        last = len(accepted)
        for name in entries:
            await wait_until(
                partial(observer.has_reached, name, last), IN_FORCE_LIMIT_S
            )
    observer.assert_never_older()
    assert observer.digests <= {digest for digest, _ in accepted}
    in_force_s = in_force_times(observer, accepted, killer.leaderless_periods)
    assert max(in_force_s) <= IN_FORCE_LIMIT_S
    trail = await operator.audit()
    verify(trail)
    done = [e for e in trail if (e.action, e.outcome) == ("apply", "done")]
    assert [e.digest for e in done] == [digest for digest, _ in accepted]
    assert [e.to_version for e in done] == list(range(1, last + 1))
    answer = await group.control("GET", "/v1/environments/rota-desk/trial/history")
    history = [version["digest"] for version in answer.body["versions"]]
    assert history == [digest for digest, _ in accepted][-len(history) :]
    leaderless_s = [until_s - from_s for from_s, until_s in killer.leaderless_periods]
    record_measurements(
        record_property,
        entry_count=len(entries),
        change_count=last,
        refused_count=len(refused),
        resend_count=operator.resend_count,
        no_leader_s=[round(period_s, 2) for period_s in leaderless_s],
        accept_ms_p50=round(percentile(accept_s, 0.5) * 1_000, 1),
        accept_ms_p99=round(percentile(accept_s, 0.99) * 1_000, 1),
        in_force_ms_p50=round(percentile(in_force_s, 0.5) * 1_000, 1),
        in_force_ms_p99=round(percentile(in_force_s, 0.99) * 1_000, 1),
    )


def in_force_times(observer, accepted, leaderless_periods):
    """Return how long each change took to be in force at each instance, in seconds.

    Counted from its answer, or from the end of the leaderless period that the answer
    fell into.
    """
    times = []
    for version, (_, answered_s) in enumerate(accepted, 1):
        since_s = answered_s
        for from_s, until_s in leaderless_periods:
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
    """Guards against lost, repeated or reverted changes, with more kills."""
    group = processes(control_count=3, entry_count=8)
    asyncio.run(changes_under_kills(group, seed, 15, record_property))


def test_instances_that_were_down_for_300_changes(processes, record_property):
    """Guards against an instance that replays changes, or serves an old version, after
    a long absence."""

    async def scenario():
        group = processes(control_count=3, entry_count=3)
        group.control_settings = {"snapshot_entry_count": 100}
        leader = await start(group)
        operator = Operator(group)
        absent = [
            "entry-3",
            next(n for n in group.instance_ids("control") if n != leader),
        ]
        async with Observer(group, [*absent, "entry-1"], TRIAL) as observer:
            for version in range(1, 4):
                body = trial_change(version, version - 1, version)
                assert (await operator.send("trial/apply", body)).status == 200
            for name in absent:
                await wait_until(partial(observer.has_reached, name, 3))
                group.kill(name)
            for version in range(4, 304):
                body = trial_change(version, version - 1, version)
                answer = await operator.send("trial/apply", body, leader)
                assert answer.status == 200
            recovery_s = {}
            for name in absent:
                started_s = time.monotonic()
                group.start(name)
                await wait_until(partial(group.status, name))
                await wait_until(
                    partial(observer.has_reached, name, 303), IN_FORCE_LIMIT_S
                )
                recovery_s[name] = round(time.monotonic() - started_s, 2)
            observer.assert_never_older()
            # The newest version follows the old one directly, so nothing was replayed.
            assert [v for _, v in observer.seen["entry-3"]][-2:] == [3, 303]
            caught_up = await wait_until(
                lambda: status_if_caught_up(group, absent[1]), IN_FORCE_LIMIT_S
            )
            data = group.folder / "data" / absent[1] / "snapshot"
            assert data.exists()
            record_measurements(
                record_property,
                change_count=300,
                recovery_from_process_start_s=recovery_s,
                log_entry_count=caught_up["last_index"],
            )

    asyncio.run(scenario())


async def status_if_caught_up(group, name):
    """Return an instance's status if it has committed all that the leader has, else
    None."""
    leader = await group.leader()
    newest = leader and await group.control_status(leader)
    status = await group.control_status(name)
    if not newest or not status:
        return None
    return status if status["commit_index"] >= newest["commit_index"] else None


def test_racing_operators_have_one_winner(processes):
    """Guards against two racing operators whose changes are both accepted."""

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
            firsts = rng.sample(group.instance_ids("control"), 2)
            # The change numbers are equal in every second round.
            numbers = (version, version) if version % 2 else (version, 1_000 + version)
            answers = await asyncio.gather(
                *(
                    operator.send(
                        "trial/apply",
                        trial_change(number, version, f"{name}-{version}"),
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
        assert set(winners) == set(operators), "the same operator won every race"

    asyncio.run(scenario())


async def read_trial(group, name, timeout_ms=1_500):
    """Return the answer of one control instance to a linearizable read, or None."""
    url = f"http://{group.admin_address(name)}/v1/environments/rota-desk/trial"
    try:
        return await call("GET", url, token=OPERATOR_TOKEN, timeout_ms=timeout_ms)
    except CardamomrunError:
        return None


async def assert_not_leading(group, name):
    """Fail if an instance accepts a change, can_serve a read or holds the lease."""
    assert not (await group.control_status(name))["holds_lease"]
    read = await read_trial(group, name)
    assert read is None or read.status in (421, 503), read
    body = trial_change(5_000, 1, "by-the-old-leader")
    answer = await Operator(group).send_once(name, "trial/apply", body)
    assert answer is None or answer.status in (421, 503), answer


@pytest.mark.parametrize("direction", ["outgoing", "incoming", "both"])
def test_a_leader_that_is_cut_off_stops_leading(processes, record_property, direction):
    """Guards against two instances that accept changes or serve reads at once."""

    async def scenario(relays):
        group = processes(control_count=3, entry_count=2)
        await group.start_relays(relays)
        old = await start(group)
        operator = Operator(group)
        first = trial_change(1, 0, "first")
        assert (await operator.send("trial/apply", first, old)).status == 200
        others = [name for name in group.hosts if name != old]
        rest = [name for name in others if name in group.instance_ids("control")]
        async with Observer(group, list(group.hosts), TRIAL) as observer:
            for name in group.hosts:
                await wait_until(
                    partial(observer.has_reached, name, 1), IN_FORCE_LIMIT_S
                )
            if direction != "incoming":
                relays.block([old], others)
            if direction != "outgoing":
                relays.block(others, [old])
            # The old leader may not know yet that it is cut off.
            second = trial_change(2, 1, "second")
            lost, new = await asyncio.gather(
                operator.send_once(old, "trial/apply", second),
                wait_until(partial(group.leader, rest), LEADER_CHANGE_LIMIT_S),
            )
            assert lost is None or lost.status in (421, 503, 504), lost
            answer = await operator.send("trial/apply", second, new)
            assert (answer.status, answer.body["version"]) == (200, 2)
            for _ in range(5):
                await assert_not_leading(group, old)
            reachable = [name for name in others if name.startswith("entry")]
            for name in [*rest, *reachable]:
                await wait_until(
                    partial(observer.has_reached, name, 2), IN_FORCE_LIMIT_S
                )
            relays.heal()
            healed_s = time.monotonic()
            await wait_until(partial(observer.has_reached, old, 2), IN_FORCE_LIMIT_S)
            record_measurements(
                record_property,
                direction=direction,
                in_force_after_heal_s=round(time.monotonic() - healed_s, 2),
            )
        observer.assert_never_older()
        trail = await operator.audit()
        verify(trail)
        done = [e for e in trail if (e.action, e.outcome) == ("apply", "done")]
        assert [e.to_version for e in done] == [1, 2]

    async def run_with_relays():
        async with Relays() as relays:
            await scenario(relays)

    asyncio.run(run_with_relays())


class EjectionRecordObserver:
    """A fleet member inside the test that collects all ejection records."""

    def __init__(self, group):
        self.fleet = Fleet(group.observer_settings("entry-90"), SystemClock())
        # Time of arrival in seconds, decider and number of ejected servers.
        self.grants = []

    async def __aenter__(self):
        self.fleet.store.subscribe(RecordKind.EJECTIONS, self._note)
        await self.fleet.start()
        return self

    async def __aexit__(self, *_):
        await self.fleet.stop()

    def _note(self, record):
        body = record.content
        granted = (time.monotonic(), body.decider_id, len(body.server_ids))
        self.grants.append(granted)

    def count(self, decider, since_s=0.0):
        """Return how many grants with ejected servers arrived from a decider."""
        return sum(
            at >= since_s and by == decider and ejected > 0
            for at, by, ejected in self.grants
        )

    async def has_renewals(self, decider):
        return self.count(decider) >= 2


async def send_traffic(group):
    """Send requests through all entry instances until cancelled."""
    caller = PooledClient()
    try:
        while True:
            for entry in group.instance_ids("entry"):
                headers = {"Host": "rota-desk.example"}
                with contextlib.suppress(ClientError):
                    await caller.request(
                        group.front_address(entry), "GET", "/rota", headers
                    )
    finally:
        caller.close()


def test_a_leader_frozen_for_longer_than_its_lease(processes, deploy, record_property):
    """Guards against a leader that continues to lead when its process is resumed after
    its lease has expired."""

    async def scenario():
        group = processes(control_count=3, entry_count=3)
        old = await start(group)
        await deploy(group)
        for number in range(1, 5):
            faults = {"mode": "fail", "ratio": 1.0} if number == 1 else {}
            group.start_backend(f"b{number}", faults=faults)
        traffic = asyncio.create_task(send_traffic(group))
        async with EjectionRecordObserver(group) as records:
            await wait_until(partial(records.has_renewals, old))
            await freeze_old_leader(group, old, records)
        traffic.cancel()

    async def freeze_old_leader(group, old, records):
        operator = Operator(group)
        rest = [name for name in group.instance_ids("control") if name != old]
        group.signal(old, signal.SIGSTOP)
        frozen_s = time.monotonic()
        # These wait in the old leader's listener until it is resumed.
        late = trial_change(8, 1, "late")
        waiting = asyncio.gather(
            operator.send_once(old, "trial/apply", late, 20_000),
            read_trial(group, old, 20_000),
        )
        new = await wait_until(partial(group.leader, rest), LEADER_CHANGE_LIMIT_S)
        no_leader_s = time.monotonic() - frozen_s
        answer = await operator.send("trial/apply", trial_change(9, 1, "newer"), new)
        assert (answer.status, answer.body["version"]) == (200, 2)
        # Longer than the silence after which peers close their links.
        await wait_until(partial(is_past, frozen_s + 3.2))
        woken_s = time.monotonic()
        async with Observer(group, [old], TRIAL) as observer:
            group.signal(old, signal.SIGCONT)
            for answer in await waiting:
                assert answer is None or answer.status in (421, 503), answer
            await assert_not_leading(group, old)
            await wait_until(partial(observer.has_reached, old, 2), IN_FORCE_LIMIT_S)
            in_force_s = time.monotonic() - woken_s
            # The new decider grants only after a full lease, in which the old one could
            # still act.
            await wait_until(partial(is_past, woken_s + 2.5))
        observer.assert_never_older()
        assert records.count(old, woken_s) == 0
        trail = await operator.audit()
        verify(trail)
        digests = [e.digest for e in trail if e.operator and e.outcome == "done"]
        assert len(digests) == 3, trail
        record_measurements(
            record_property,
            until_new_leader_s=round(no_leader_s, 2),
            in_force_after_wake_s=round(in_force_s, 2),
        )

    asyncio.run(scenario())


async def is_past(at_s):
    """Return True once the monotonic clock has reached `at_s`."""
    return time.monotonic() >= at_s


async def can_serve(group, name):
    """Return True if an entry instance forwards a request and answers with 200."""
    caller = PooledClient(1_000)
    try:
        headers = {"Host": "rota-desk.example"}
        answer = await caller.request(
            group.front_address(name), "GET", "/rota", headers
        )
        return answer.status == 200
    finally:
        caller.close()


async def all_may_be_behind(group, expected):
    """Return True if `may_be_behind` of all entry instances is `expected`."""
    statuses = [await group.status(name) for name in group.instance_ids("entry")]
    return all(status["may_be_behind"] is expected for status in statuses)


def test_entry_instances_serve_without_any_control_instance(
    processes, deploy, record_property
):
    """Guards against entry instances that can't serve or start without control."""

    async def scenario():
        group = processes(control_count=3, entry_count=3)
        await start(group)
        digest = await deploy(group)
        for name in ("b1", "b2"):
            group.start_backend(name)
        entries = group.instance_ids("entry")
        for name in entries:
            await wait_until(partial(can_serve, group, name))
        assert await all_may_be_behind(group, False)
        for name in group.instance_ids("control"):
            group.kill(name)
        killed_s = time.monotonic()
        group.kill("entry-3")
        group.start("entry-3")
        started_s = time.monotonic()
        await wait_until(partial(group.status, "entry-3"))
        await wait_until(partial(can_serve, group, "entry-3"), IN_FORCE_LIMIT_S)
        serves_after_s = time.monotonic() - started_s
        while not await all_may_be_behind(group, True):
            assert time.monotonic() - killed_s < DETECTION_LIMIT_S
            for name in entries:
                assert await can_serve(group, name)
        behind_after_s = time.monotonic() - killed_s
        for name in entries:
            held = (await group.status(name))["environments"]["rota-desk/production"]
            assert (held["digest"], len(held["healthy"])) == (digest, 2)
        for name in group.instance_ids("control"):
            group.start(name)
        await wait_until(group.leader)
        body = trial_change(3, 1, "after-control-is-back")
        answer = await Operator(group).send("trial/apply", body)
        assert (answer.status, answer.body["version"]) == (200, 2)
        answered_s = time.monotonic()
        async with Observer(group, entries, TRIAL) as observer:
            for name in entries:
                await wait_until(
                    partial(observer.has_reached, name, 2), IN_FORCE_LIMIT_S
                )
        in_force_s = time.monotonic() - answered_s
        await wait_until(partial(all_may_be_behind, group, False), DETECTION_LIMIT_S)
        record_measurements(
            record_property,
            restarted_entry_serves_after_s=round(serves_after_s, 2),
            behind_after_s=round(behind_after_s, 2),
            in_force_after_control_is_back_s=round(in_force_s, 2),
        )

    asyncio.run(scenario())


async def voter_status(group, name):
    """Return the leader's status of one voter."""
    status = (await group.control("GET", "/v1/control")).body
    return next(v for v in status["voters"] if v["instance_id"] == name)


async def is_replaced(group, name):
    return (await voter_status(group, name))["replaced"]


async def may_lose_one(group):
    """Return `may_lose_one` as `cardamomrun control` reports it."""
    return (await group.run_command("control"))["may_lose_one"]


def replica_id_of(answer, name):
    return {v["instance_id"]: v["replica_id"] for v in answer["voters"]}.get(name)


def test_a_wiped_instance_is_replaced_and_a_second_one_lost(processes, record_property):
    """Guards against a wiped instance that votes again with its old identity, and
    against a repair after which one more loss stops the group."""

    async def scenario():
        group = processes(control_count=5, entry_count=0)
        leader = await start(group)
        operator = Operator(group)
        digests = []

        async def apply(count):
            for _ in range(count):
                version = len(digests)
                body = trial_change(version + 1, version, version)
                answer = await operator.send("trial/apply", body)
                assert (answer.status, answer.body["version"]) == (200, version + 1)
                digests.append(answer.body["digest"])

        await apply(20)
        assert await may_lose_one(group)
        wiped = next(n for n in group.instance_ids("control") if n != leader)
        group.kill(wiped)
        folder = group.folder / "data" / wiped
        shutil.rmtree(folder)
        folder.mkdir()
        group.start(wiped)
        await wait_until(partial(group.control_status, wiped))
        await wait_until(partial(is_replaced, group, wiped))
        assert (await group.control_status(wiped))["last_index"] == 0
        assert not (await voter_status(group, wiped))["caught_up"]
        await apply(5)
        removed = await group.run_command("voters", "remove", wiped)
        assert replica_id_of(removed, wiped) is None
        repaired_s = time.monotonic()
        added = await group.run_command(
            "voters", "add", wiped, group.peer_address(wiped)
        )
        assert replica_id_of(added, wiped)
        await wait_until(partial(may_lose_one, group))
        repaired_s = time.monotonic() - repaired_s
        entry = await voter_status(group, wiped)
        assert entry["caught_up"] and not entry["is_learner"]
        assert not entry["replaced"]
        leader = await wait_until(group.leader)
        group.kill(leader)
        await wait_until(group.leader, LEADER_CHANGE_LIMIT_S)
        await apply(5)
        trail = await operator.audit()
        verify(trail)
        done = [e for e in trail if (e.action, e.outcome) == ("apply", "done")]
        assert [e.digest for e in done] == digests
        changes = [e.action for e in trail if e.operator and e.environment == "control"]
        assert changes == [f"remove {wiped}", f"add {wiped}"]
        record_measurements(record_property, add_until_counted_s=round(repaired_s, 2))

    asyncio.run(scenario())


async def member_ids(group, name):
    status = await group.status(name)
    return {member["instance_id"] for member in status["members"]}


async def all_know_all_members(group):
    found = [await member_ids(group, name) for name in group.hosts]
    return all(members == set(group.hosts) for members in found)


def test_nobody_flaps_behind_one_way_cuts(processes):
    """Guards against a healthy instance that leaves the directory because one other
    instance does not receive its messages."""

    async def scenario(relays):
        group = processes(control_count=1, entry_count=6)
        await group.start_relays(relays)
        group.start_all()
        await wait_until(partial(all_know_all_members, group))
        relays.block(["entry-1"], ["entry-2"])
        relays.block(["entry-3"], ["entry-1"])
        relays.block(["entry-5"], ["entry-6"])
        # Detection of silence, reopening and suspicion take 7 s; a flap shows by then.
        until_s = time.monotonic() + 8.0
        while time.monotonic() < until_s:
            for name in group.hosts:
                missing = set(group.hosts) - await member_ids(group, name)
                assert not missing, f"{name} does not list {missing}"
        logs = [group.read_log(name) for name in group.hosts]
        assert any("peer suspected" in log for log in logs), (
            "the blocked directions had no effect"
        )
        assert not any("member failed" in log for log in logs)

    async def run_with_relays():
        async with Relays() as relays:
            await scenario(relays)

    asyncio.run(run_with_relays())


async def directory_addresses(group, name):
    """Return the addresses in the directory answer of an entry instance."""
    url = f"http://{group.front_address(name)}/.cardamomrun/addresses"
    answer = await call("GET", url)
    return set(answer.body["addresses"]) if answer.status == 200 else set()


async def directories_list(group, names):
    """Return True if the directories of these instances list exactly these."""
    expected = {group.front_address(name) for name in names}
    found = await asyncio.gather(*(directory_addresses(group, name) for name in names))
    return all(addresses == expected for addresses in found)


async def kill_at_once(group, count, record_property):
    """Kill entry instances and measure when all directories have removed them."""
    entries = group.instance_ids("entry")
    for name in group.hosts:
        # Answers list all instances, so that one answer shows every wrong one.
        group.start(name, directory_count=100)
    await wait_until(partial(directories_list, group, entries), 60)
    killed = random.Random(8).sample(entries, count)
    left = [name for name in entries if name not in killed]
    started_s = time.monotonic()
    for name in killed:
        group.kill(name)
    await wait_until(partial(directories_list, group, left), DETECTION_LIMIT_S)
    record_measurements(
        record_property,
        entry_count=len(entries),
        killed_count=count,
        left_out_after_s=round(time.monotonic() - started_s, 2),
    )


def test_killed_entry_instances_leave_the_directory(processes, record_property):
    """Guards against callers that are sent to dead instances after a rack is lost."""
    group = processes(control_count=1, entry_count=12)
    asyncio.run(kill_at_once(group, 3, record_property))


@pytest.mark.soak
def test_ten_of_forty_entry_instances_leave_the_directory(processes, record_property):
    """Guards against dead instances in the directory when many overlay neighbours die
    together."""
    group = processes(control_count=1, entry_count=40)
    asyncio.run(kill_at_once(group, 10, record_property))


@pytest.mark.soak
@pytest.mark.timeout(400)
@pytest.mark.parametrize("snapshot_entry_count", [100, 1_000_000])
@pytest.mark.parametrize("change_count", [300, 3_000])
def test_recovery_time_of_a_control_instance(
    processes, record_property, change_count, snapshot_entry_count
):
    """Guards against recovery that grows with the number of changes ever made."""

    async def scenario():
        group = processes(control_count=3, entry_count=0)
        group.control_settings = {"snapshot_entry_count": snapshot_entry_count}
        leader = await start(group)
        operator = Operator(group)
        for version in range(change_count):
            body = trial_change(version + 1, version, version)
            answer = await operator.send("trial/apply", body, leader)
            assert answer.status == 200
        leader = await wait_until(group.leader)
        name = next(n for n in group.instance_ids("control") if n != leader)
        group.kill(name)
        started_s = time.monotonic()
        group.start(name)
        await wait_until(partial(group.status, name))
        status = await wait_until(
            partial(status_if_caught_up, group, name), IN_FORCE_LIMIT_S
        )
        record_measurements(
            record_property,
            log_entry_count=status["last_index"],
            snapshot_entry_count=snapshot_entry_count,
            recovery_from_process_start_s=round(time.monotonic() - started_s, 2),
        )

    asyncio.run(scenario())


@pytest.mark.soak
@pytest.mark.parametrize("cut_s", [6, 20])
def test_an_entry_instance_catches_up_after_a_long_cut(
    processes, record_property, cut_s
):
    """Guards against a reconnect backoff that is longer than the target."""

    async def scenario(relays):
        group = processes(control_count=1, entry_count=5)
        await group.start_relays(relays)
        await start(group)
        await wait_until(partial(all_know_all_members, group))
        operator = Operator(group)
        assert (await operator.send("trial/apply", trial_change(1, 0, 1))).status == 200
        others = [name for name in group.hosts if name != "entry-3"]
        async with Observer(group, ["entry-3"], TRIAL) as observer:
            await wait_until(
                partial(observer.has_reached, "entry-3", 1), IN_FORCE_LIMIT_S
            )
            relays.block(["entry-3"], others)
            relays.block(others, ["entry-3"])
            cut_at_s = time.monotonic()
            assert (
                await operator.send("trial/apply", trial_change(2, 1, 2))
            ).status == 200
            await wait_until(partial(is_past, cut_at_s + cut_s), cut_s + 1)
            assert observer.version("entry-3") == 1
            relays.heal()
            healed_s = time.monotonic()
            await wait_until(
                partial(observer.has_reached, "entry-3", 2), IN_FORCE_LIMIT_S
            )
            record_measurements(
                record_property,
                cut_s=cut_s,
                in_force_after_heal_s=round(time.monotonic() - healed_s, 2),
            )

    async def run_with_relays():
        async with Relays() as relays:
            await scenario(relays)

    asyncio.run(run_with_relays())


@pytest.mark.parametrize(
    "checked",
    [
        b"",
        b"no cbor",
        encode(Acknowledgement()),
        cbor2.dumps(["environment-document", [1]]),
    ],
)
def test_a_parsed_form_that_is_not_understood(checked):
    """Guards against an entry instance that keeps an old version because it does not
    understand the parsed form of another release."""
    data = json.dumps(document()).encode()
    body = EnvironmentBody(TRIAL, 1, 1, document_digest(data), data, checked)
    store = Store(SystemClock())
    environments = LiveEnvironments(store)
    store.put(
        Record.from_content(RecordKind.ENVIRONMENT, TRIAL, "control-1", (0, 1), body)
    )
    assert environments.get(TRIAL).document == load_document(data, "document")
