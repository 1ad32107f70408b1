import asyncio
import json
from dataclasses import replace
from functools import partial
from types import SimpleNamespace

from cardamomrun_base.codec import decode
from cardamomrun_base.documents import load_document
from cardamomrun_base.model import MemberPhase, Record, RecordKind
from cardamomrun_control import checked
from cardamomrun_control.publisher import Publisher
from cardamomrun_control.state import ControlState

from .builders import (
    Cluster,
    FakeFleet,
    LoopClock,
    Network,
    document,
    member,
    real_time,
    settings,
    until,
    virtual_time,
)
from .test_state import apply, promote


def make_publisher(replica):
    return Publisher(
        replica.settings, LoopClock(), replica.fleet, replica.agreement, replica.state
    )


class FakeRosterReports:
    def __init__(self):
        self.epochs = {}

    def roster_epoch(self, instance_id):
        return self.epochs.get(instance_id)


@virtual_time
async def test_restarted_instance_publishes_nothing_older(tmp_path):
    """Guards against older records from an instance that is behind and isolated."""
    async with Cluster(tmp_path, snapshot_entry_count=10) as cluster:
        leader = await cluster.wait_for_leader()
        for number in range(1, 21):
            await leader.agreement.propose(apply(number, number - 1))
        await cluster.wait_for_convergence()
        lagging = next(r for r in cluster.running() if r is not leader)
        body = leader.state.body("rota-desk/trial")
        await lagging.crash()
        await lagging.start()
        cluster.network.isolate(lagging.name)
        newer = replace(body, version=25)
        record = Record.from_content(
            RecordKind.ENVIRONMENT, body.environment, "x", (0, 25), newer
        )
        lagging.fleet.store.put(record)
        make_publisher(lagging).publish()
        assert 0 < lagging.state.current(body.environment).version < 25
        held = lagging.fleet.store.get(RecordKind.ENVIRONMENT, body.environment)
        assert held == record and not lagging.agreement.holds_lease()


@virtual_time
async def test_leader_record_and_roster(tmp_path):
    """Guards against a roster from unsettled members, or changed within retention."""
    async with Cluster(tmp_path) as cluster:
        leader = await cluster.wait_for_leader()
        leader.fleet.member_list = [member("e2"), member("e1")]
        publisher = make_publisher(leader)
        leader.agreement.on_commit = publisher.publish
        task = asyncio.ensure_future(publisher.run())
        start = asyncio.get_running_loop().time()
        store = leader.fleet.store
        await asyncio.sleep(0.5)
        leader.fleet.member_list.append(member("e3", MemberPhase.STARTING))
        leader.fleet.member_list.append(member("e4"))
        await until(lambda: store.get(RecordKind.ROSTER, "claims"))
        assert asyncio.get_running_loop().time() - start >= 1.5
        body = store.get(RecordKind.ROSTER, "claims").content
        names = [keeper.instance_id for keeper in body.members]
        assert (names, body.epoch) == (["e1", "e2", "e4"], 1)
        changed = asyncio.get_running_loop().time()
        leader.fleet.member_list = [member("e1", incarnation=2)]
        await until(lambda: store.get(RecordKind.ROSTER, "claims").counter == 2, 120)
        assert asyncio.get_running_loop().time() - changed >= 59
        roster = store.get(RecordKind.ROSTER, "claims").content
        assert roster.previous_members == body.members
        record = store.get(RecordKind.LEADER, "control")
        assert record.content.instance_id == leader.name
        assert record.epoch == leader.agreement.term
        task.cancel()


@virtual_time
async def test_joint_phase_and_confirmations(tmp_path):
    """Guards against a change during a joint phase, and leases that are not renewed."""
    async with Cluster(tmp_path) as cluster:
        leader = await cluster.wait_for_leader()
        leader.fleet.member_list = [member("e1"), member("e2")]
        publisher = make_publisher(leader)
        reports = FakeRosterReports()
        publisher.set_roster_reports(reports)
        leader.agreement.on_commit = publisher.publish
        task = asyncio.ensure_future(publisher.run())
        store = leader.fleet.store

        def epoch():
            record = store.get(RecordKind.ROSTER, "claims")
            return record.content.epoch if record else 0

        await until(lambda: epoch() == 1)
        leader.fleet.member_list = [member("e1")]
        await until(lambda: epoch() == 2, 120)
        leader.fleet.member_list = [member("e1"), member("e3")]
        reports.epochs["e1"] = 2
        await asyncio.sleep(150)  # e2 has not reported, and its lease has not ended
        assert epoch() == 2
        reports.epochs["e2"] = 2
        await asyncio.sleep(59)
        assert epoch() == 2
        await until(lambda: epoch() == 3)
        roster = store.get(RecordKind.ROSTER, "claims").content
        assert [keeper.instance_id for keeper in roster.members] == ["e1"]
        assert roster.previous_members == ()
        await until(lambda: epoch() == 4)
        await until(
            lambda: store.get(RecordKind.LEADER, "control").content.roster_epoch == 4, 1
        )
        body = store.get(RecordKind.LEADER, "control").content
        await asyncio.sleep(61)
        later = store.get(RecordKind.LEADER, "control").content
        assert 60_000 <= later.confirmed_wall_ms - body.confirmed_wall_ms <= 61_000
        task.cancel()


@real_time
async def test_a_document_is_parsed_once_and_a_long_one_on_a_thread(
    tmp_path, monkeypatch
):
    """Guards against repeated parsing, and long parsing on the event loop."""
    parsed_in = []

    def load(data, name):
        try:
            asyncio.get_running_loop()
            parsed_in.append("loop")
        except RuntimeError:
            parsed_in.append("thread")
        return load_document(data, name)

    def holds(key, version):
        record = fleet.store.get(*key)
        return record is not None and record.counter == version

    monkeypatch.setattr(checked, "load_document", load)
    state = ControlState()
    fleet = FakeFleet("c1", Network())
    publisher = Publisher(
        settings(tmp_path), LoopClock(), fleet, SimpleNamespace(), state
    )
    routes = [{"prefix": f"/route-{n}"} for n in range(300)]
    long = {**json.loads(document()), "routes": routes}
    documents = [document(), json.dumps(long).encode()]
    for version, data in enumerate(documents):
        state.apply(apply(2 * version + 1, version, data), 2 * version + 1)
        publisher.publish()
        state.apply(promote(2 * version + 2, version, data), 2 * version + 2)
        publisher.publish()
        for stage in ("trial", "production"):
            key = (RecordKind.ENVIRONMENT, f"rota-desk/{stage}")
            await until(partial(holds, key, version + 1))
            body = fleet.store.get(*key).content
            assert decode(body.checked) == load_document(data, "document")
    assert parsed_in == ["loop", "thread"]
