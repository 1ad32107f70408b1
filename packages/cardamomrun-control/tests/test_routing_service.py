import asyncio

import pytest

from cardamomrun_base.errors import DocumentError, UnavailableError
from cardamomrun_base.messages import ConfirmedNumber
from cardamomrun_base.model import (
    ROUTING_KEY,
    BackendPhase,
    Record,
    RecordKind,
    RoutedServerBody,
)
from cardamomrun_control.newest_number import SHARED_MS, NewestNumberRequest
from cardamomrun_control.routing_service import RECOVERY_SPACING_MS
from cardamomrun_control.status import LEADER_KEY

from .builders import RoutingCluster, real_time, retry, routing, until

NAMES = ("c1", "c2", "c3", "c4", "c5")
FAST_SETTINGS = {"election_timeout_ms": 300, "heartbeat_ms": 40, "voter_lost_ms": 1_000}


def follower(cluster):
    return next(i for i in cluster.running() if not i.holds_lease)


@real_time
async def test_any_instance_accepts_and_returns_documents(tmp_path):
    async with RoutingCluster(tmp_path, **FAST_SETTINGS) as cluster:
        await cluster.wait_for_leader()
        other = follower(cluster)
        source = b'{"version": "00000003"}'
        result = await retry(lambda: other.control.put(routing(3, source), "op"))
        assert (result.number, result.has_changed) == (3, True)
        for instance in cluster.running():
            document = await retry(instance.control.read)
            assert document.source == source


@real_time
async def test_any_instance_retires_a_server_at_the_first_call(tmp_path):
    """Guards against a retirement that is committed but not acknowledged."""
    async with RoutingCluster(tmp_path, **FAST_SETTINGS) as cluster:
        leader = await cluster.wait_for_leader()
        await retry(lambda: leader.control.put(routing(3), "op"))
        await follower(cluster).control.retire("b1", 7, is_gone=False)
        assert leader.control.is_retired("b1", 7)


@real_time
async def test_peers_have_a_retirement_when_it_is_acknowledged(tmp_path):
    """Guards against a retirement lost with the instances that acknowledged it."""
    async with RoutingCluster(tmp_path, **FAST_SETTINGS) as cluster:
        leader = await cluster.wait_for_leader()
        await retry(lambda: leader.control.retire("b1", 7, is_gone=False))
        holders = [
            i
            for i in cluster.running()
            if i.fleet.store.get(RecordKind.ROUTED_SERVER, "b1")
        ]
        assert len(holders) >= 3


@real_time
async def test_a_retirement_that_no_peer_confirms_is_not_acknowledged(tmp_path):
    async with RoutingCluster(tmp_path, **FAST_SETTINGS) as cluster:
        leader = await cluster.wait_for_leader()
        await retry(lambda: leader.control.retire("b1", 7, is_gone=False))
        cluster.network.isolate(leader.name)
        leader.control._delivered_retirements.clear()
        with pytest.raises(UnavailableError):
            await leader.control.retire("b1", 7, is_gone=False)


@real_time
async def test_a_document_that_is_not_newer_is_acknowledged_and_ignored(tmp_path):
    async with RoutingCluster(tmp_path, **FAST_SETTINGS) as cluster:
        leader = await cluster.wait_for_leader()
        await retry(lambda: leader.control.put(routing(3, b"first"), "op"))
        for number, source in ((3, b"other"), (2, b"older"), (3, b"first")):
            result = await leader.control.put(routing(number, source), "op")
            assert (result.number, result.has_changed) == (3, False)
        assert (await leader.control.read()).source == b"first"


@real_time
async def test_an_invalid_document_is_refused_also_if_it_is_old(tmp_path):
    async with RoutingCluster(tmp_path, **FAST_SETTINGS) as cluster:
        leader = await cluster.wait_for_leader()
        await retry(lambda: leader.control.put(routing(3), "op"))
        for number in (2, 3, 4):
            invalid = routing(number)
            invalid = type(invalid)(number, invalid.routes, ())
            with pytest.raises(DocumentError):
                await leader.control.put(invalid, "op")


@real_time
async def test_without_a_majority_nothing_is_acknowledged_or_read(tmp_path):
    """Guards against an isolated instance that acknowledges or reads old documents."""
    async with RoutingCluster(tmp_path, **FAST_SETTINGS) as cluster:
        leader = await cluster.wait_for_leader()
        await retry(lambda: leader.control.put(routing(3), "op"))
        cluster.network.isolate(leader.name)
        with pytest.raises(UnavailableError):
            await leader.control.read()
        with pytest.raises(UnavailableError):
            await leader.control.put(routing(4), "op")
        with pytest.raises(UnavailableError):
            await leader.control.retire("b1", 1, is_gone=False)


@real_time
async def test_committed_changes_are_published_by_every_instance(tmp_path):
    async with RoutingCluster(tmp_path, **FAST_SETTINGS) as cluster:
        leader = await cluster.wait_for_leader()
        await retry(lambda: leader.control.put(routing(3), "op"))
        await retry(lambda: leader.control.retire("b1", 7, is_gone=False))

        def published():
            stores = [i.fleet.store for i in cluster.running()]
            documents = [s.get(RecordKind.ROUTING, ROUTING_KEY) for s in stores]
            servers = [s.get(RecordKind.ROUTED_SERVER, "b1") for s in stores]
            return all(documents) and all(servers)

        await until(published, limit_s=10)
        bodies = {
            i.fleet.store.get(RecordKind.ROUTING, ROUTING_KEY).body
            for i in cluster.running()
        }
        assert len(bodies) == 1
        record = leader.fleet.store.get(RecordKind.ROUTED_SERVER, "b1")
        assert record.content.phase is BackendPhase.DRAINING
        assert record.epoch == 7


@real_time
async def test_all_restart_and_nothing_acknowledged_is_lost(tmp_path):
    async with RoutingCluster(tmp_path, **FAST_SETTINGS) as cluster:
        leader = await cluster.wait_for_leader()
        await retry(lambda: leader.control.put(routing(3, b"kept"), "op"))
        await retry(lambda: leader.control.retire("b1", 7, is_gone=True))
        for instance in cluster.running():
            await instance.crash()
        for instance in cluster.instances.values():
            await instance.start()
        leader = await cluster.wait_for_leader()
        assert (await retry(leader.control.read)).source == b"kept"
        assert leader.control.is_retired("b1", 7)
        assert not leader.control.is_retired("b1", 8)


@real_time
async def test_the_cluster_forms_from_seeds_and_admits_the_others(tmp_path):
    async with RoutingCluster(tmp_path, 5, **FAST_SETTINGS) as cluster:
        await cluster.wait_for_voters(NAMES)


@real_time
async def test_a_wiped_voter_returns_with_a_new_identity(tmp_path):
    """Guards against a wiped voter that votes without its old folder's promises."""
    async with RoutingCluster(tmp_path, 5, **FAST_SETTINGS) as cluster:
        await cluster.wait_for_voters(NAMES)
        leader = await cluster.wait_for_leader()
        await leader.control.put(routing(3, b"kept"), "op")
        wiped = follower(cluster)
        old_id = wiped.control.agreement._durable_log.replica_id
        await wiped.crash(wipe=True)
        await wiped.start()
        await cluster.wait_for_voters(NAMES)
        assert wiped.control.agreement._durable_log.replica_id != old_id
        await until(lambda: wiped.control._state.routing.number == 3, limit_s=10)


@real_time
async def test_a_lost_voter_is_replaced_by_a_newcomer(tmp_path):
    fields = {**FAST_SETTINGS, "voter_count": 5}
    async with RoutingCluster(tmp_path, 6, **fields) as cluster:
        voters = await cluster.wait_for_voter_count(5)
        lost = next(name for name in voters if not cluster.instances[name].holds_lease)
        await cluster.instances[lost].crash()
        await cluster.wait_for_voters(cluster.instances.keys() - {lost})


@real_time
async def test_a_lost_voter_without_a_newcomer_is_kept(tmp_path):
    """Guards against a majority that shrinks with each machine that fails."""
    async with RoutingCluster(tmp_path, 5, **FAST_SETTINGS) as cluster:
        await cluster.wait_for_voters(NAMES)
        lost = follower(cluster)
        await lost.crash()
        await asyncio.sleep(2.0)
        leader = await cluster.wait_for_leader()
        voters = leader.control.agreement.status().voters
        assert {voter.instance_id for voter in voters} == set(NAMES)


@real_time
async def test_an_instance_knows_that_it_is_cut_off(tmp_path):
    async with RoutingCluster(tmp_path, **FAST_SETTINGS) as cluster:
        assert not any(i.control.has_lost_contact() for i in cluster.running())
        await cluster.wait_for_leader()
        await retry(lambda: cluster.running()[0].control.put(routing(1), "op"))
        cut_off = follower(cluster)
        cluster.network.isolate(cut_off.name)
        await until(cut_off.control.has_lost_contact, limit_s=10)
        cluster.network.heal()
        await until(lambda: not cut_off.control.has_lost_contact(), limit_s=10)


@real_time
async def test_a_restarted_instance_knows_the_servers_before_there_is_a_leader(
    tmp_path,
):
    """Guards against clients that wait for announcements after a full restart."""
    async with RoutingCluster(tmp_path, **FAST_SETTINGS) as cluster:
        leader = await cluster.wait_for_leader()
        await retry(lambda: leader.control.put(routing(3), "op"))
        server = RoutedServerBody(
            "rota-desk", "b1", 5, "10.0.0.1:80", "kelowna-a", 4, BackendPhase.SERVING
        )
        for instance in cluster.running():
            record = Record.from_content(
                RecordKind.ROUTED_SERVER, "b1", "c1", (5, 2), server
            )
            instance.fleet.store.put(record)
        await asyncio.sleep(1.5)
        for instance in cluster.running():
            await instance.crash()
        restarted = cluster.instances["c1"]
        await restarted.start()
        store = restarted.fleet.store
        assert store.get(RecordKind.ROUTED_SERVER, "b1").content == server
        assert restarted.control._state.routing.number == 3
        assert not restarted.control.agreement.is_leader
        await cluster.instances["c2"].start()
        await cluster.wait_for_leader()
        await until(lambda: store.get(RecordKind.ROUTING, ROUTING_KEY), limit_s=0.5)


@real_time
async def test_a_damaged_recovery_file_is_not_used(tmp_path):
    async with RoutingCluster(tmp_path, **FAST_SETTINGS) as cluster:
        leader = await cluster.wait_for_leader()
        await retry(lambda: leader.control.put(routing(3, b"kept"), "op"))
        await asyncio.sleep(1.0)
        for instance in cluster.running():
            await instance.crash()
            folder = instance.settings.control.data_folder
            (folder / "recovery").write_bytes(b"damaged")
        for instance in cluster.instances.values():
            await instance.start()
        leader = await cluster.wait_for_leader()
        assert (await retry(leader.control.read)).source == b"kept"


@real_time
async def test_every_control_instance_names_the_newest_document(tmp_path):
    async with RoutingCluster(tmp_path, **FAST_SETTINGS) as cluster:
        await cluster.wait_for_leader()
        await retry(lambda: follower(cluster).control.put(routing(3), "op"))
        for instance in cluster.running():
            # What was confirmed before the change was put counts until it is too old.
            await asyncio.sleep(SHARED_MS / 1_000)
            newest = await retry(instance.control.newest.get)
            assert newest.number == 3


@real_time
async def test_no_number_is_confirmed_before_a_majority_confirms_the_leader(tmp_path):
    """Guards against an old document that is taken as the newest after a restart."""
    async with RoutingCluster(tmp_path, **FAST_SETTINGS) as cluster:
        leader = await cluster.wait_for_leader()
        await retry(lambda: leader.control.put(routing(3), "op"))
        for instance in cluster.running():
            await instance.crash()
        # Without the others, this instance can't know what they have acknowledged.
        alone = cluster.instances[leader.name]
        await alone.start()
        with pytest.raises(UnavailableError):
            await alone.control.newest.get()
        for name, instance in cluster.instances.items():
            if name != alone.name:
                await instance.start()
        newest = await retry(alone.control.newest.get)
        assert newest.number == 3


@real_time
async def test_a_number_is_as_old_as_the_last_word_of_the_majority(tmp_path):
    """Guards against a leader that is cut off and confirms what it knows as the newest."""
    async with RoutingCluster(tmp_path, **FAST_SETTINGS) as cluster:
        leader = await cluster.wait_for_leader()
        await retry(lambda: leader.control.put(routing(3), "op"))
        cluster.network.isolate(leader.name)
        cut_ms = leader.control._clock.now_ms()
        await asyncio.sleep(0.2)
        newest = await leader.control.newest.get()
        assert newest.age_ms >= leader.control._clock.now_ms() - cut_ms - 50


@real_time
async def test_a_recovered_document_is_not_published_before_a_leader_confirms_it(
    tmp_path,
):
    """Guards against an older document in force after all instances lost power."""
    async with RoutingCluster(tmp_path, **FAST_SETTINGS) as cluster:
        leader = await cluster.wait_for_leader()
        await retry(lambda: leader.control.put(routing(3), "op"))
        alone = cluster.instances[leader.name]
        await asyncio.sleep(RECOVERY_SPACING_MS / 1_000 + 0.2)
        for instance in cluster.running():
            await instance.crash()
        await alone.start()
        assert alone.control._state.routing.number == 3
        await asyncio.sleep(0.3)
        assert alone.fleet.store.get(RecordKind.ROUTING, ROUTING_KEY) is None
        for name, instance in cluster.instances.items():
            if name != alone.name:
                await instance.start()
        for instance in cluster.running():
            store = instance.fleet.store
            await until(lambda s=store: s.get(RecordKind.ROUTING, ROUTING_KEY), 10)
            assert store.get(RecordKind.ROUTING, ROUTING_KEY).content.number == 3


@real_time
async def test_an_instance_without_a_vote_names_the_newest_document(tmp_path):
    """Guards against questions that only the voters among the instances answer."""
    fields = {**FAST_SETTINGS, "voter_count": 3}
    async with RoutingCluster(tmp_path, count=5, **fields) as cluster:
        leader = await cluster.wait_for_leader()
        await retry(lambda: leader.control.put(routing(3), "op"))
        key = (RecordKind.LEADER, LEADER_KEY)
        await until(lambda: leader.fleet.store.get(*key) is not None)
        await cluster.wait_for_voters(("c1", "c2", "c3"))
        for name in ("c4", "c5"):
            instance = cluster.instances[name]
            instance.fleet.store.put(leader.fleet.store.get(*key))
            assert (await retry(instance.control.read)).number == 3
            assert (await instance.control.newest.get()).number == 3


@real_time
async def test_instances_that_ask_at_once_share_one_question_to_the_leader(tmp_path):
    """Guards against a leader that is asked by every entry instance of a large fleet."""
    async with RoutingCluster(tmp_path, **FAST_SETTINGS) as cluster:
        leader = await cluster.wait_for_leader()
        await retry(lambda: leader.control.put(routing(3), "op"))
        # Each instance asks on its own until it has published the first document.
        stores = [instance.fleet.store for instance in cluster.running()]
        await until(lambda: all(s.get(RecordKind.ROUTING, ROUTING_KEY) for s in stores))
        # The answer to that question counts for a while.
        await asyncio.sleep(2 * SHARED_MS / 1_000)
        asked = []
        answer = leader.fleet.handlers[NewestNumberRequest]

        async def count(peer_id, request):
            asked.append(peer_id)
            return await answer(peer_id, request)

        leader.fleet.handlers[NewestNumberRequest] = count
        newest = follower(cluster).control.newest
        await asyncio.gather(*(newest.get() for _ in range(50)))
        assert len(asked) == 1


@real_time
async def test_a_leader_without_a_majority_does_not_confirm_a_recovered_document(
    tmp_path,
):
    """Guards against an older document that a cut-off leader confirms after a restart."""
    async with RoutingCluster(tmp_path, **FAST_SETTINGS) as cluster:
        leader = await cluster.wait_for_leader()
        await retry(lambda: leader.control.put(routing(3), "op"))
        restarted = follower(cluster)
        await restarted.crash()
        await restarted.start()
        # The leader's last majority is older than the start of the instance.
        restarted.control.newest.get = lambda: asyncio.sleep(
            0, ConfirmedNumber(3, 60_000.0)
        )
        await asyncio.sleep(1.0)
        assert restarted.fleet.store.get(RecordKind.ROUTING, ROUTING_KEY) is None


@real_time
async def test_an_instance_without_a_document_does_not_keep_asking(tmp_path):
    """Guards against instances without a vote that ask the leader for ever."""
    fields = {**FAST_SETTINGS, "voter_count": 3}
    async with RoutingCluster(tmp_path, count=4, **fields) as cluster:
        leader = await cluster.wait_for_leader()
        await retry(lambda: leader.control.put(routing(3), "op"))
        newest = cluster.instances["c4"].control.newest
        ask, calls = newest.get, []

        async def count():
            calls.append(1)
            return await ask()

        newest.get = count
        await asyncio.sleep(2.0)
        assert len(calls) <= 1
