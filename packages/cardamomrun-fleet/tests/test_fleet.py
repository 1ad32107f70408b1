"""Several fleets in one process, linked through a loopback address."""

import asyncio
from dataclasses import dataclass, replace

import pytest

from cardamomrun_base.clock import SystemClock
from cardamomrun_base.codec import message
from cardamomrun_base.errors import (
    CredentialError,
    PeerTimeoutError,
    PeerUnreachableError,
)
from cardamomrun_base.model import LeaderBody, Record, RecordKind
from cardamomrun_fleet import Fleet
from cardamomrun_fleet.fleet import EXCHANGE_RECORD_COUNT
from cardamomrun_fleet.links import LinkPurpose
from cardamomrun_fleet.store import BUCKET_COUNT, FINGERPRINT_BYTES, Store

from .builders import (
    CuttableFleet,
    crash_process,
    crash_record,
    member_ids,
    node_settings,
    relays_between,
    running,
    until,
)
from .unpaused_time import LoopClock, UnpausedLoop


@message("test-echo")
@dataclass(frozen=True)
class Echo:
    text: str


def holds(fleet, key, text="a"):
    record = fleet.store.get(RecordKind.CRASH, key)
    return record is not None and record.content.fingerprint == text


@pytest.mark.parametrize("count", [2, 5])
def test_a_record_reaches_all_and_a_newcomer(tmp_path, count):
    """Guards against lost floods and against new instances that start empty."""

    async def check():
        async with running(tmp_path, count) as fleets:
            assert fleets[0].store.put(crash_record())
            for fleet in fleets:
                await until(lambda f=fleet: holds(f, "k"), "record at all")
            seeds = [fleet._settings.peer_address for fleet in fleets[:2]]
            new_instance = Fleet(
                node_settings(tmp_path, "new", seeds=seeds), SystemClock()
            )
            assert new_instance.may_be_behind()
            await new_instance.start()
            try:
                assert holds(new_instance, "k")
                assert not new_instance.may_be_behind()
            finally:
                await new_instance.stop()
            for fleet in fleets:
                await until(lambda f=fleet: "new" not in member_ids(f), "new is gone")

    asyncio.run(check())


def test_a_delivered_record_is_held_by_peers_when_delivery_returns(tmp_path):
    """Guards against records that are lost with the instance that wrote them."""

    async def check():
        async with running(tmp_path, 4) as fleets:
            count = await fleets[0].deliver(
                crash_record(), copy_count=2, timeout_ms=1_000
            )
            assert count >= 2
            assert sum(holds(fleet, "k") for fleet in fleets[1:]) >= 2
            await crash_process(fleets[0])
            for fleet in fleets[1:]:
                await until(lambda f=fleet: holds(f, "k"), "record at all others")

    asyncio.run(check())


def test_a_few_changes_leave_at_once_and_a_long_series_together(tmp_path):
    """Guards against needless delay of single changes, and a flood for each of many."""

    async def check():
        loop = asyncio.get_running_loop()
        async with running(tmp_path, 2, clock=LoopClock()) as (one, two):
            await asyncio.sleep(0.5)
            for number in range(3):
                begun_s = loop.time()
                one.store.put(crash_record(f"few-{number}"))
                await until(lambda n=number: holds(two, f"few-{n}"), "one change")
                assert loop.time() - begun_s < 0.03
            sent_count = one.traffic.sent_count
            for number in range(100):
                one.store.put(crash_record(f"many-{number}"))
                await asyncio.sleep(0.002)
            await until(lambda: holds(two, "many-99"), "the last change")
            assert one.traffic.sent_count - sent_count < 40

    with asyncio.Runner(loop_factory=UnpausedLoop) as runner:
        runner.run(check())


def test_one_exchange_transfers_all_changes_of_a_small_fleet(tmp_path):
    """Guards against a change that is found late because most other records differ too."""

    async def check():
        async with running(tmp_path, 2) as (one, two):
            # Records that arrive before it has caught up are not flooded.
            one._has_caught_up = False
            for number in range(600):
                one._store.merge(crash_record(f"k{number}"), source="lost")
            await two._exchange(two._overlay_link(one.instance_id))
            missing = [n for n in range(600) if not holds(two, f"k{n}")]
            assert not missing

    asyncio.run(check())


def test_a_paused_peer_does_not_hold_up_exchanges_with_others(tmp_path):
    """Guards against a departure that arrives late after its flood was lost."""

    async def check():
        async with running(tmp_path, 3) as (paused, one, two):

            async def never(*_):
                await asyncio.sleep(60)

            paused._on_request = paused._exchange = never
            for link in [link for links in paused._links.values() for link in links]:
                link.abort()
            for fleet in (one, two):
                await until(
                    lambda f=fleet: paused.instance_id in f.linked_peers(), "linked"
                )
            # By then each has asked the paused peer.
            await asyncio.sleep(1.0)
            one._has_caught_up = False
            one._store.merge(crash_record(), source="lost")
            await until(lambda: holds(two, "k"), "record at the other", limit_s=2.0)

    asyncio.run(check())


def test_an_exchange_of_a_large_store_is_bounded():
    store = Store(SystemClock())
    for number in range(5_000):
        store.put(crash_record(f"k{number}"))
    buckets = store.first_buckets(range(BUCKET_COUNT), EXCHANGE_RECORD_COUNT)
    count = len(store.fingerprints(buckets)) // FINGERPRINT_BYTES
    assert EXCHANGE_RECORD_COUNT <= count < 2 * EXCHANGE_RECORD_COUNT


def test_seeds_that_change_are_tried_at_once(tmp_path):
    """Guards against an instance that stays isolated as its first seeds are gone."""

    async def check():
        gone = node_settings(tmp_path, "gone").peer_address
        one = Fleet(node_settings(tmp_path, "n0", seeds=[gone]), SystemClock())
        two = Fleet(node_settings(tmp_path, "n1"), SystemClock())
        await asyncio.gather(one.start(), two.start())
        try:
            one.use_seeds((two._settings.peer_address,))
            await until(lambda: one.linked_peers() == {"n1"}, "linked", limit_s=2.0)
        finally:
            await asyncio.gather(one.stop(), two.stop())

    asyncio.run(check())


def test_delivery_counts_only_peers_that_confirm(tmp_path):
    async def check():
        async with running(tmp_path, 2, fleet_class=CuttableFleet) as (one, two):
            async with relays_between(one, two) as relays:
                await until(lambda: "n1" in one.linked_peers(), "linked by a relay")
                for relay in relays:
                    relay.forward = relay.backward = False
                assert (
                    await one.deliver(crash_record(), copy_count=1, timeout_ms=100) == 0
                )

    asyncio.run(check())


def test_requests_are_answered_time_out_or_find_no_peer(tmp_path):
    """Guards against lost answers, and `PeerUnreachableError` for sent requests."""

    async def answer(peer_id, content):
        if content.text == "slow":
            await asyncio.sleep(5)
        if content.text == "faulty":
            raise ValueError
        return Echo(f"{peer_id}:{content.text}")

    async def check():
        async with running(tmp_path, 2) as (one, two):
            two.handle(Echo, answer)
            texts = [f"{number}" for number in range(50)]
            requests = [one.request("n1", Echo(t), timeout_ms=2_000) for t in texts]
            answers = await asyncio.gather(*requests)
            assert answers == [Echo(f"n0:{text}") for text in texts]
            for text in ("slow", "faulty"):
                with pytest.raises(PeerTimeoutError):
                    await one.request("n1", Echo(text), timeout_ms=100)
            with pytest.raises(PeerUnreachableError):
                await one.request("nobody", Echo(""), timeout_ms=100)
            one.add_address("nobody", "127.0.0.1:9")
            with pytest.raises(PeerUnreachableError):
                await one.request("nobody", Echo(""), timeout_ms=500)

    asyncio.run(check())


def test_a_peer_with_a_wrong_key_is_refused(tmp_path):
    """Guards against links with peers that lack the fleet key."""

    async def check():
        async with running(tmp_path, 2) as (one, _):
            seeds = [one._settings.peer_address]
            settings = node_settings(tmp_path, "x", seeds=seeds, key=b"x" * 32)
            refused = Fleet(settings, SystemClock())
            await refused.start()
            try:
                assert refused.may_be_behind()
                assert one.refusal_counts["wrong"] >= 1
                with pytest.raises(CredentialError, match="refused this instance"):
                    await refused._connect(seeds[0], LinkPurpose.OVERLAY)
                assert member_ids(one) == {"n0", "n1"}
            finally:
                await refused.stop()

    asyncio.run(check())


def test_a_stopped_peer_is_taken_as_failed_and_returns(tmp_path):
    """Guards against failed members that are listed, and failures that never end."""

    async def check():
        async with running(tmp_path, 3) as fleets:
            one, two, three = fleets
            await crash_process(three)
            for fleet in (one, two):
                live = {"n0", "n1"}
                await until(lambda f=fleet, ids=live: member_ids(f) == ids, "n2 failed")
            seeds = [fleet._settings.peer_address for fleet in (one, two)]
            new_instance = Fleet(
                node_settings(tmp_path, "new", seeds=seeds), SystemClock()
            )
            await new_instance.start()
            fleets.append(new_instance)
            assert member_ids(new_instance) == {"n0", "n1", "new"}
            again = Fleet(three._settings, SystemClock())
            fleets[2] = again
            await again.start()
            assert again.incarnation > three.incarnation
            for fleet in (one, two, new_instance):
                await until(lambda f=fleet: "n2" in member_ids(f), "n2 is back")

    asyncio.run(check())


def test_a_one_way_cut_makes_neither_side_failed(tmp_path):
    """Guards against one broken path that makes healthy instances failed."""

    async def check(fleets, relays):
        one, two = fleets[:2]
        await until(lambda: "n1" in one.linked_peers(), "linked by a relay")
        # Bytes from n0 to n1 are dropped, whoever opened the connection.
        relays[0].forward = relays[1].backward = False
        failed = []
        for fleet in fleets:
            fleet.membership._mark_failed = lambda *args: failed.append(args)
        before = one.incarnation, two.incarnation
        await until(lambda: one.incarnation > before[0], "n0 refuted a suspicion")
        await until(lambda: two.incarnation > before[1], "n1 refuted a suspicion")
        end_ms = one._clock.now_ms() + 4 * one._settings.fleet.suspicion_ms
        await until(lambda: one._clock.now_ms() > end_ms, "four suspicion times")
        assert failed == []
        one.store.put(crash_record("through-others"))
        await until(lambda: holds(two, "through-others"), "others forward it")
        relays[0].forward = relays[1].backward = True
        await until(lambda: "n1" in one.linked_peers(), "linked again")

    async def run():
        async with running(tmp_path, 4, fleet_class=CuttableFleet) as fleets:
            async with relays_between(*fleets[:2]) as relays:
                await check(fleets, relays)

    asyncio.run(run())


def test_an_old_record_never_replaces_a_new_one_after_reconnecting(tmp_path):
    """Guards against a peer with old records that reverts newer ones."""

    async def check(one, two, relays):
        for relay in relays:
            relay.forward = relay.backward = False
        await until(lambda: not two.linked_peers(), "cut")
        two.store.put(crash_record(version=(0, 1), text="old"))
        one.store.put(crash_record(version=(0, 2), text="new"))
        seen = []
        one.store.subscribe(RecordKind.CRASH, seen.append)
        two.store.subscribe(RecordKind.CRASH, seen.append)
        await until(two.may_be_behind, "n1 knows that it may be behind")
        for relay in relays:
            relay.forward = relay.backward = True
        await until(lambda: holds(two, "k", "new"), "the new record", 15)
        await until(lambda: not two.may_be_behind(), "n1 is current")
        assert holds(one, "k", "new")
        assert [record.content.fingerprint for record in seen] == ["new"]

    async def run():
        async with running(tmp_path, 2, fleet_class=CuttableFleet) as (one, two):
            async with relays_between(one, two) as relays:
                await check(one, two, relays)

    asyncio.run(run())


def test_an_instance_without_control_may_be_behind(tmp_path):
    """Guards against a partitioned instance that counts as current without control."""

    async def check():
        async with running(tmp_path, 2) as (one, two):
            await until(lambda: not one.may_be_behind(), "n0 has caught up")
            now_ms = SystemClock().wall_ms()
            two.store.put(_leader_record(1, now_ms))
            await until(one.may_be_behind, "the leader is not a member")
            member = replace(two.membership.get("n1"), roles=("control",))
            version = two.membership.incarnation + 1, 1
            member = replace(member, instance_id="control-1")
            record = Record.from_content(
                RecordKind.MEMBER, "control-1", "control-1", version, member
            )
            two.store.put(record)
            await until(lambda: not one.may_be_behind(), "control is a member again")
            # Only a minority of the control instances is reachable, and no leader.
            two.store.put(_leader_record(2, now_ms - 200_000))
            await until(one.may_be_behind, "the last confirmation is too old")
            two.store.put(_leader_record(3, now_ms))
            await until(
                lambda: not one.may_be_behind(), "the leader confirmed its record again"
            )

    asyncio.run(check())


def _leader_record(counter, confirmed_wall_ms):
    body = LeaderBody(
        "control-1",
        1,
        "127.0.0.1:1",
        "127.0.0.1:2",
        confirmed_wall_ms=confirmed_wall_ms,
    )
    return Record.from_content(
        RecordKind.LEADER, "control", "control-1", (1, counter), body
    )
