import asyncio
import contextlib
import socket
from dataclasses import replace

import pytest

from cardamomrun_base.clock import ManualClock
from cardamomrun_base.settings import GatewaySettings, Role
from cardamomrun_gateway.fleet_load import FleetLoad
from cardamomrun_gateway.load_messages import (
    batches,
    decode_domain_load,
    decode_load,
    encode_domain_load,
    encode_load,
    service_key,
    split_batch,
)
from cardamomrun_gateway.load_model import ServiceCount
from cardamomrun_gateway.load_reports import LoadReports
from cardamomrun_gateway.own_load import OwnLoad
from cardamomrun_gateway.report_relays import (
    AVOID_MS,
    COLLECT_MAX_MS,
    COLLECT_MS,
    SILENT_MS,
    RelaySelector,
    collect_ms,
    relay_order,
)
from cardamomrun_gateway.retry_budget import RetryBudget
from cardamomrun_gateway.server_health import AttemptEnd

from .builders import (
    SERVICE,
    FakeFleet,
    OffsetClock,
    gateway_settings,
    instance_report,
    member,
    relay_message,
    server_body,
    server_record,
)

WAIT_S = 5.0
FIRST, SECOND = ("10.0.0.1", 1), ("10.0.0.2", 1)


def test_a_report_survives_its_encoding():
    load = instance_report(
        "e2", 3, in_flight=[(1, 5.0)], ended=[(4, 2, AttemptEnd.RESET, 1.0, 7.0)],
        counts=[ServiceCount(9, 100, 3)],
    )  # fmt: skip
    assert decode_load(encode_load(load)) == load


@pytest.mark.parametrize("data", [b"", b"\xff", b"\x80", b"\x86abc", b"\xa1\x01\x02"])
def test_invalid_reports_are_rejected(data):
    with pytest.raises(ValueError, match="not a load report"):
        decode_load(data)


def test_an_unknown_end_is_rejected():
    load = instance_report("e1", 3, ended=[(5, 7, 99, 12.0, 3.0)])
    with pytest.raises(ValueError, match="not a load report"):
        decode_load(encode_load(load))
    message = relay_message("relay", 3, ended=[(4, 2, 99, 1.0, 70.0)])
    with pytest.raises(ValueError, match="not a load message"):
        decode_domain_load(encode_domain_load(message))


def test_a_relay_message_survives_its_encoding():
    load = relay_message(
        "relay", 3, in_flight=[(1, 2, 150.0, 25.0), (2**32 - 1, 255, 0.0, None)],
        ended=[(4, 2, AttemptEnd.RESET, 1.0, 70.0), (5, 9, AttemptEnd.GOOD, 900.0, 0.0)],
        incarnation=2**40, counts=[ServiceCount(9, 100, 3)], included=[("e2", 65_535)],
    )  # fmt: skip
    assert decode_domain_load(encode_domain_load(load)) == load
    ends_only = replace(load, in_flight=None)
    assert decode_domain_load(encode_domain_load(ends_only)) == ends_only


@pytest.mark.parametrize("cut", [1, 7, 40])
def test_a_truncated_or_extended_relay_message_is_rejected(cut):
    data = encode_domain_load(relay_message(in_flight=[(1, 2, 150.0, 25.0)]))
    for invalid in (data[:-cut], data + b"x" * cut, b""):
        with pytest.raises(ValueError, match="not a load message"):
            decode_domain_load(invalid)


def test_batches_fit_datagrams_and_keep_all_messages():
    bodies = [bytes([n]) * 400 for n in range(10)]
    parts = list(batches(bodies))
    assert all(len(part) <= 1_400 for part in parts)
    assert [body for part in parts for body in split_batch(part)] == bodies


@pytest.mark.parametrize("data", [b"", b"\xff", b"\xa0", b"\x81\x01"])
def test_invalid_batches_are_rejected(data):
    with pytest.raises(ValueError, match="not a batch"):
        split_batch(data)


def test_a_silent_relay_is_replaced_by_the_next_one():
    """Guards against a domain that receives nothing after its relay has failed."""
    selector = RelaySelector()
    selector.candidates = [FIRST, SECOND]
    selector.mark_alive(FIRST, 100.0)
    assert selector.pick(SILENT_MS) == (FIRST, [])
    # The next one is pinged as soon as the first one is silent.
    assert selector.pick(101.0 + SILENT_MS) == (FIRST, [SECOND])
    selector.mark_alive(SECOND, 200.0 + SILENT_MS)
    assert selector.pick(102.0 + 2 * SILENT_MS) == (SECOND, [])
    selector.mark_alive(SECOND, 2 * SILENT_MS + AVOID_MS)
    assert selector.pick(103.0 + 2 * SILENT_MS + AVOID_MS) == (SECOND, [FIRST])


def test_no_report_is_lost_while_a_failed_relay_is_tried_again():
    """Guards against a gap in a domain's reports for each failed candidate."""
    selector = RelaySelector()
    selector.candidates = [FIRST, SECOND, ("10.0.0.3", 1)]
    for now_ms in range(0, 20_000, 50):
        selector.mark_alive(("10.0.0.3", 1), now_ms)
        if now_ms > 2 * SILENT_MS + 100:
            assert selector.pick(now_ms)[0] == ("10.0.0.3", 1)
        else:
            selector.pick(now_ms)


def test_a_relay_that_sends_again_is_used_again():
    selector = RelaySelector()
    selector.candidates = [FIRST, SECOND]
    selector.pick(0.0)
    selector.mark_alive(SECOND, SILENT_MS)
    assert selector.pick(1.0 + SILENT_MS)[0] == SECOND
    selector.mark_alive(FIRST, 2.0 + SILENT_MS)
    assert selector.pick(3.0 + SILENT_MS)[0] == FIRST


def test_relays_are_ordered_by_link_then_control_instances_last():
    """Guards against relays that saturate their own link with reports."""
    entries = [replace(member(f"e{n}", port=n), link_mbps=2.0) for n in (1, 2, 3)]
    control = replace(member("c1", port=9), roles=("control",), link_mbps=1_000.0)
    order = relay_order([*entries, control])
    assert order[0] == ("127.0.0.1", 9)
    equal_links = [replace(instance, link_mbps=2.0) for instance in (control, *entries)]
    assert relay_order(equal_links)[-1] == ("127.0.0.1", 9)


@pytest.mark.parametrize(
    ("batch_bytes", "link_mbps", "expected_ms"),
    [(2_000, 1_000.0, COLLECT_MS), (500, 2.0, 50.0), (90_000, 2.0, COLLECT_MAX_MS)],
)
def test_reports_use_a_limited_share_of_a_narrow_link(
    batch_bytes, link_mbps, expected_ms
):
    """Guards against reports that saturate a narrow link."""
    assert collect_ms(batch_bytes, link_mbps) == expected_ms


def test_each_end_is_sent_for_a_limited_time():
    """Guards against ends lost with a datagram, and reports that repeat old ends."""
    clock = ManualClock()
    own = OwnLoad(clock, "e1")
    for _ in range(20):
        own.attempt_ended(own.attempt_started(7), AttemptEnd.GOOD)
    counts = []
    for _ in range(12):
        counts.append(len(own.next_report().ended))
        clock.advance_ms(50.0)
    assert counts[:8] == [20] * 8
    assert counts[-1] == 0


class Instance:
    """The load reports of one instance, over loopback datagrams."""

    def __init__(self, name, domain, port, roles=(Role.ENTRY,)):
        self.clock = OffsetClock()
        self.fleet = FakeFleet(name)
        self.settings = gateway_settings(name, domain, roles, peer_port=port)
        self.load = FleetLoad(self.clock, self.fleet.store, name)
        self.fleet.store.put(server_record(server_body("b1")))
        self.budget = RetryBudget(GatewaySettings(), self.clock)
        self.reports = LoadReports(
            self.settings, self.clock, self.fleet, self.load, self.budget
        )

    @property
    def server(self):
        return self.load.get("b1")


def free_ports(count):
    sockets = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
    for udp_socket in sockets:
        udp_socket.bind(("127.0.0.1", 0))
    ports = [udp_socket.getsockname()[1] for udp_socket in sockets]
    for udp_socket in sockets:
        udp_socket.close()
    return ports


def test_starts_and_ends_reach_all_instances_of_all_domains():
    async def main():
        ports = free_ports(4)
        domains = ["kelowna-a", "kelowna-a", "vernon-a", "vernon-a"]
        instances = [
            Instance(f"e{i}", domain, port)
            for i, (domain, port) in enumerate(zip(domains, ports, strict=True))
        ]
        listed = [
            member(f"e{i}", domain, port=port)
            for i, (domain, port) in enumerate(zip(domains, ports, strict=True))
        ]
        for instance in instances:
            instance.fleet.listed = listed
            await instance.reports.start(1)
        try:
            first = instances[0]
            token = first.reports.attempt_started(first.server)
            await until(lambda: all(i.server.in_flight_count == 1 for i in instances))
            first.reports.attempt_ended(token, first.server, AttemptEnd.RESET)
            await until(lambda: all(i.server.in_flight_count == 0 for i in instances))
            assert all(i.server.health.is_suspected for i in instances)
        finally:
            for instance in instances:
                instance.reports.stop()

    asyncio.run(main())


def test_a_control_instance_gets_copies_if_no_relay_reaches_it():
    """Guards against a directory that lists failed instances while the relay is out."""

    async def main():
        ports = free_ports(4)
        names = ["e0", "e1", "e2", "c1"]
        listed = [
            member(name, port=port) for name, port in zip(names, ports, strict=True)
        ]
        roles = {"c1": (Role.CONTROL,)}
        listed[3] = replace(listed[3], roles=("control",))
        instances = [
            Instance(name, "kelowna-a", port, roles.get(name, (Role.ENTRY,)))
            for name, port in zip(names, ports, strict=True)
        ]
        for instance in instances:
            # No entry instance knows the control instance, so no relay sends to it.
            instance.fleet.listed = (
                listed if instance.fleet.instance_id == "c1" else (listed[:3])
            )
            await instance.reports.start(1)
        tasks = [asyncio.create_task(i.reports.run()) for i in instances]
        try:
            last_seen_ms = instances[3].load.last_seen_ms
            await until(lambda: all(last_seen_ms(name) for name in names[:3]))
        finally:
            for task in tasks:
                task.cancel()
            for instance in instances:
                instance.reports.stop()

    asyncio.run(main())


REQUEST_PAUSE_S = 0.02
LONG_AFTER_START_MS = 60_000.0


async def serve_requests(instances, seconds):
    """Count a request and a retry at each instance in each `REQUEST_PAUSE_S`."""
    count = 0
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    while loop.time() < end:
        for instance in instances:
            instance.reports.count_request(SERVICE)
            instance.reports.count_retry(SERVICE)
            token = instance.reports.attempt_started(instance.server)
            instance.reports.attempt_ended(token, instance.server, AttemptEnd.GOOD)
        count += len(instances)
        await asyncio.sleep(REQUEST_PAUSE_S)
    return count


@contextlib.asynccontextmanager
async def domain(count, **settings):
    """Run the load reports of the entry instances of one domain."""
    ports = free_ports(count)
    listed = [member(f"e{i}", port=port) for i, port in enumerate(ports)]
    instances = [Instance(f"e{i}", "kelowna-a", port) for i, port in enumerate(ports)]
    for instance in instances:
        instance.fleet.listed = list(listed)
        instance.budget.update_settings(GatewaySettings(**settings))
        await instance.reports.start(1)
    tasks = [asyncio.create_task(i.reports.run()) for i in instances]
    try:
        yield instances
    finally:
        for task in tasks:
            task.cancel()
        for instance in instances:
            instance.reports.stop()


def test_changes_of_the_relay_change_no_count_of_the_retry_budget(monkeypatch):
    """Guards against retries beyond the budget after a relay was cut off for a while."""

    async def main():
        async with domain(4) as instances:
            address = relay_order(instances[0].fleet.listed)[0]
            (relay,) = (i for i in instances if i.settings.peer_port == address[1])
            others = [instance for instance in instances if instance is not relay]
            for instance in instances:
                instance.clock.offset_ms = LONG_AFTER_START_MS
            counted = await serve_requests(instances, 1.5)
            for _ in range(2):
                with monkeypatch.context() as cut:
                    cut.setattr(relay.reports, "send", lambda *_: None)
                    cut.setattr(relay.reports, "datagram_received", lambda *_: None)
                    counted += await serve_requests(others, 1.2)
                counted += await serve_requests(instances, 1.2)
            await asyncio.sleep(1.0)
            for instance in others:
                state = instance.budget.state(service_key(SERVICE))
                assert state.requests <= counted
                assert 0.9 * counted <= state.retries <= 1.1 * counted

    asyncio.run(main())


def test_retries_before_a_pause_of_an_instance_are_counted_after_it(monkeypatch):
    """Guards against retries lost because the relay forgot the instance meanwhile."""

    async def main():
        async with domain(3) as instances:
            address = relay_order(instances[0].fleet.listed)[0]
            others = [i for i in instances if i.settings.peer_port != address[1]]
            paused, watching = others
            for instance in instances:
                instance.clock.offset_ms = LONG_AFTER_START_MS
            counted = await serve_requests(instances, 1.0)
            with monkeypatch.context() as pause:
                pause.setattr(paused.reports, "_flush", lambda **_: None)
                for _ in range(20):
                    paused.reports.count_retry(SERVICE)
                await asyncio.sleep(1.5)
            await asyncio.sleep(1.0)
            state = watching.budget.state(service_key(SERVICE))
            assert counted + 15 <= state.retries <= counted + 40

    asyncio.run(main())


def test_an_instance_that_hears_nobody_spends_no_more_than_its_share():
    """Guards against a retry budget that each part of a divided fleet spends."""

    async def main():
        async with domain(2, retry_slack_count=60) as instances:
            first = instances[0]
            others = [member(f"e{n}", port=n) for n in range(2, 44)]
            first.fleet.failed = first.fleet.listed[1:] + others
            first.fleet.listed = first.fleet.listed[:1]
            await asyncio.sleep(0.6)
            allowed_count = 0
            first.reports.count_request(SERVICE)
            for _ in range(60):
                if first.reports.allows_retry(SERVICE):
                    first.reports.count_retry(SERVICE)
                    allowed_count += 1
                await asyncio.sleep(0.05)
            assert allowed_count <= 5

    asyncio.run(main())


async def until(condition):
    async with asyncio.timeout(WAIT_S):
        while not condition():
            await asyncio.sleep(0.005)
