import asyncio
from dataclasses import replace

from cardamomrun_base.model import Kind, MemberPhase, Record
from cardamomrun_control.publisher import Publisher

from .builders import Cluster, LoopClock, member, until, virtual_time
from .test_state import apply


def publisher(replica):
    return Publisher(
        replica.settings, LoopClock(), replica.fleet, replica.agreement, replica.state
    )


@virtual_time
async def test_restarted_instance_publishes_nothing_older(tmp_path):
    """Guards against a revert by an instance that is behind and cannot confirm."""
    async with Cluster(tmp_path, snapshot_entry_count=10) as cluster:
        leader = await cluster.leader()
        for number in range(1, 21):
            await leader.agreement.propose(apply(number, number - 1))
        await cluster.converged()
        behind = next(r for r in cluster.running() if r is not leader)
        body = leader.state.body("rota-desk/trial")
        await behind.crash()
        await behind.start()
        cluster.network.isolate(behind.name)
        newer = replace(body, version=25)
        record = Record.of(Kind.ENVIRONMENT, body.environment, "x", (0, 25), newer)
        behind.fleet.store.put(record)
        publisher(behind).publish()
        assert 0 < behind.state.current(body.environment).version < 25
        held = behind.fleet.store.get(Kind.ENVIRONMENT, body.environment)
        assert held == record and not behind.agreement.holds_lease()


@virtual_time
async def test_leader_record_and_roster(tmp_path):
    """Guards against a roster from unsettled members, or changed within retention."""
    async with Cluster(tmp_path) as cluster:
        leader = await cluster.leader()
        leader.fleet.member_list = [member("e2"), member("e1")]
        work = publisher(leader)
        leader.agreement.on_commit = work.publish
        task = asyncio.ensure_future(work.run())
        start = asyncio.get_running_loop().time()
        store = leader.fleet.store
        await asyncio.sleep(0.5)
        leader.fleet.member_list.append(member("e3", MemberPhase.STARTING))
        leader.fleet.member_list.append(member("e4"))
        await until(lambda: store.get(Kind.ROSTER, "claims"))
        assert asyncio.get_running_loop().time() - start >= 1.5
        body = store.get(Kind.ROSTER, "claims").content
        names = [keeper.instance_id for keeper in body.members]
        assert (names, body.epoch) == (["e1", "e2", "e4"], 1)
        changed = asyncio.get_running_loop().time()
        leader.fleet.member_list = [member("e1", incarnation=2)]
        await until(lambda: store.get(Kind.ROSTER, "claims").counter == 2, 120)
        assert asyncio.get_running_loop().time() - changed >= 59
        roster = store.get(Kind.ROSTER, "claims").content
        assert roster.previous_members == body.members
        record = store.get(Kind.LEADER, "control")
        assert record.content.instance_id == leader.name
        assert record.epoch == leader.agreement.term
        task.cancel()
