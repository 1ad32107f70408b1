"""An instance that cannot reach backend servers while other instances can."""

import asyncio
import contextlib
import socket
from dataclasses import replace

import pytest
from prometheus_client import REGISTRY

from cardamomrun_base.clock import MS_PER_S
from cardamomrun_base.routing_document import RouteKind, ServiceWeight
from cardamomrun_bench.scripted_server import ScriptedServer, Step, free_port
from cardamomrun_gateway import link_queue
from cardamomrun_gateway.address_book import EntryAddresses
from cardamomrun_gateway.fleet_load import FleetLoad
from cardamomrun_gateway.paths import OwnPaths, PeerPaths
from cardamomrun_gateway.server_health import AttemptEnd
from cardamomrun_requests.upstream import ConnectError, open_stream

from .builders import (
    ROUTES,
    SERVICE,
    FakeFleet,
    Gateway,
    OffsetClock,
    document,
    gateway,
    gateway_settings,
    member,
    member_record,
    no_report,
    not_run,
    relay_message,
    request,
    response,
    route,
    server_body,
    server_record,
    until,
)

SERVER_COUNT = 6
# The rule of the users' platform counts requests from this long after the cut.
WINDOW_S = 3.0


@contextlib.contextmanager
def refusing_address():
    # The port stays taken: a server of the test could get it otherwise.
    with socket.socket() as holder:
        holder.bind(("127.0.0.1", 0))
        yield f"127.0.0.1:{holder.getsockname()[1]}"


@contextlib.contextmanager
def silent_address():
    """Yield an address whose connections stay unanswered, as behind a cut."""
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.create_server(("127.0.0.1", 0)))
        listener.listen(0)
        for _ in range(4):
            filler = stack.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex(listener.getsockname())
        yield f"127.0.0.1:{listener.getsockname()[1]}"


class Pair:
    """Two instances, `e1` with lost paths to the servers that `e2` reaches."""

    def __init__(self, servers, lost_addresses, ports):
        content = document(routes=ROUTES)
        names = [f"b{number}" for number in range(1, SERVER_COUNT + 1)]
        lost = [
            server_body(name, address=address)
            for name, address in zip(names, lost_addresses, strict=True)
        ]
        good = [
            server_body(name, address=f"127.0.0.1:{port}")
            for name, port in zip(names, ports, strict=True)
        ]
        self.servers = servers
        self.cut_off = Gateway(content, lost, "e1")
        self.other = Gateway(content, good, "e2")
        members = [
            member(name, port=running.settings.front_port)
            for name, running in (("e1", self.cut_off), ("e2", self.other))
        ]
        for running in (self.cut_off, self.other):
            running.fleet.listed = members

    def run_count(self):
        return sum(len(server.heads) for server in self.servers)


@contextlib.asynccontextmanager
async def pair(address=refusing_address, steps=None):
    servers = [
        ScriptedServer(list(steps or [Step(response())])) for _ in range(SERVER_COUNT)
    ]
    with contextlib.ExitStack() as stack:
        lost = [stack.enter_context(address()) for _ in servers]
        built = Pair(servers, lost, [await server.start() for server in servers])
        await built.cut_off.front.start()
        await built.other.front.start()
        try:
            yield built
        finally:
            await built.cut_off.front.stop()
            await built.other.front.stop()
            for server in servers:
                server.stop()


@pytest.mark.parametrize("address", [refusing_address, silent_address])
@pytest.mark.parametrize("path", ["/a/x", "/b/x", "/c/x"])
def test_an_instance_that_lost_its_paths_still_serves_its_clients(address, path):
    """Guards against clients that fail only because of the instance they use."""

    async def main():
        async with pair(address) as running:
            cut_off = running.cut_off
            method = "GET" if path == "/a/x" else "POST"
            loop = asyncio.get_running_loop()
            end = loop.time() + WINDOW_S
            while loop.time() < end:
                await cut_off.call(method, path, b"" if method == "GET" else b"body")
                await asyncio.sleep(0.1)
            before = running.run_count()
            for _ in range(10):
                received = await cut_off.call(
                    method, path, b"" if method == "GET" else b"body"
                )
                assert (received.status, received.body) == (200, b"ok")
            assert running.run_count() == before + 10

    asyncio.run(main())


def test_servers_are_not_suspected_because_of_an_instance_that_lost_its_paths():
    """Guards against a fleet that stops using healthy servers one instance can't reach."""
    clock = OffsetClock()
    store = FakeFleet("e1").store
    for number in range(1, SERVER_COUNT + 1):
        store.put(server_record(server_body(f"b{number}")))
    load = FleetLoad(clock, store, "e1")
    servers = list(load.servers_of("rota-desk"))
    ended = [
        (number, server.key, AttemptEnd.REFUSED, 1.0, 5.0 * SERVER_COUNT - 5.0 * number)
        for number, server in enumerate(servers, 1)
    ]
    load.merge(relay_message(ended=ended), no_report)
    assert not [server for server in servers if server.health.is_suspected]


async def lose_paths(running):
    """Send requests until the instance knows that its paths are lost."""
    async with asyncio.timeout(WINDOW_S):
        while not running.cut_off.paths.are_lost:
            await running.cut_off.call("POST", "/b/lose")


def test_two_instances_that_lost_their_paths_do_not_ask_each_other_in_turn():
    """Guards against requests that go round between instances."""

    async def main():
        async with pair() as running:
            await lose_paths(running)
            for server in list(running.other.load.servers_of("rota-desk")):
                body = replace(server.body, address=f"127.0.0.1:{free_port()}")
                running.other.store.put(server_record(body, counter=4))
            async with asyncio.timeout(WINDOW_S):
                while not running.other.paths.are_lost:
                    await running.other.call("POST", "/b/lose")
            received = await running.cut_off.call("POST", "/b/x", b"body")
            assert (received.status, received.outcome) == (503, "not-run")
            assert running.cut_off.peers.choose(set()) is None

    asyncio.run(main())


def test_a_lost_response_of_another_instance_is_not_replaced_by_a_second_run():
    """Guards against a request that runs twice because it went through two instances."""

    async def main():
        async with pair(steps=[Step(b"", "reset")]) as running:
            await lose_paths(running)
            before = running.run_count()
            received = await running.cut_off.call("POST", "/b/x", b"body")
            assert (received.status, received.outcome) == (502, "unknown")
            assert running.run_count() == before + 1

    asyncio.run(main())


def test_a_client_that_leaves_ends_the_request_at_the_other_instance():
    """Guards against servers that work for clients that have left."""

    async def main():
        async with pair() as running:
            await lose_paths(running)
            for server in running.servers:
                server.steps = [Step(b"", "hang")]
            before = running.run_count()
            _, writer = await running.cut_off.connect()
            writer.write(request("POST", "/b/x", b"body"))
            await until(lambda: running.run_count() == before + 1)
            writer.close()
            await until(
                lambda: all(
                    s.closed_count == s.connection_count for s in running.servers
                )
            )

    asyncio.run(main())


def test_an_instance_uses_its_own_paths_again_once_they_are_back():
    """Guards against a detour that outlasts the cut."""

    async def main():
        async with pair() as running:
            await lose_paths(running)
            cut_off = running.cut_off
            for server in running.other.load.servers_of("rota-desk"):
                cut_off.store.put(server_record(server.body, counter=4))
            await until(lambda: not cut_off.paths.are_lost)
            received = await cut_off.call("POST", "/b/x", b"body")
            assert received.status == 200
            assert received.headers["cardamomrun-instance"] == "e1"

    asyncio.run(main())


def test_the_headers_between_instances_reach_no_server():
    """Guards against names of the fleet's instances in requests to servers."""

    async def main():
        async with pair() as running:
            await lose_paths(running)
            received = await running.cut_off.call("POST", "/b/x", b"body", x_kept="1")
            assert received.status == 200
            heads = [head.lower() for s in running.servers for head in s.heads]
            assert heads and all(b"x-kept: 1" in head for head in heads[-1:])
            assert not [head for head in heads if b"relayed" in head]

    asyncio.run(main())


def test_a_relayed_request_is_counted_once():
    """Guards against detours between failure domains that show in no figure."""

    def counted(kind):
        labels = {"kind": kind, "failure_domain": "other"}
        names = ("bytes", "messages")
        return [
            REGISTRY.get_sample_value(f"cardamomrun_traffic_{name}_total", labels) or 0
            for name in names
        ]

    async def main():
        async with pair() as running:
            await lose_paths(running)
            port = running.other.settings.front_port
            running.cut_off.store.put(member_record("e2", "vernon-a", port))
            sent, received = counted("relayed-request"), counted("relayed-response")
            body = b"u" * 3_000
            assert (await running.cut_off.call("POST", "/b/x", body)).status == 200
            await until(lambda: counted("relayed-request") != sent)
            byte_count, count = counted("relayed-request")
            assert count - sent[1] == 1
            assert len(body) < byte_count - sent[0] < len(body) + 1_000
            assert counted("relayed-response")[0] > received[0]

    asyncio.run(main())


def test_a_service_that_is_down_does_not_look_like_lost_paths():
    """Guards against one dead service that makes instances refuse all others."""
    dead = ServiceWeight("dead", 1.0)
    content = document(
        routes=[*ROUTES, route("/dead/", RouteKind.NON_IDEMPOTENT, split=(dead,))],
        services=("rota-desk", "dead"),
    )

    async def main():
        servers = [ScriptedServer([Step(response())]) for _ in range(SERVER_COUNT)]
        async with gateway(*servers, content=content) as running:
            for number in range(11, 15):
                address = f"127.0.0.1:{free_port()}"
                body = server_body(f"b{number}", service="dead", address=address)
                running.store.put(server_record(body))
            for _ in range(5):
                received = await running.call("POST", "/dead/x", b"body")
                assert received.status == 503
                await asyncio.sleep(0.05)
                assert not running.paths.are_lost
                assert (await running.call("POST", "/b/x", b"body")).status == 200

    asyncio.run(main())


def test_one_server_that_refuses_connections_does_not_look_like_lost_paths():
    """Guards against checks and detours because of servers that are down."""
    paths = OwnPaths(OffsetClock())
    for _ in range(10):
        paths.record_failure(1, SERVER_COUNT)
    assert not paths.is_suspected
    for key in (2, 3, 4, 5, 6):
        paths.record_response(float("inf"))
        paths.record_failure(key, SERVER_COUNT)
    assert not paths.is_suspected
    paths.record_failure(7, SERVER_COUNT)
    paths.record_failure(8, SERVER_COUNT)
    assert paths.is_suspected and not paths.are_lost


def test_clients_are_led_to_instances_that_reach_servers():
    """Guards against a directory that goes on naming instances without paths."""
    clock = OffsetClock()
    fleet = FakeFleet("e1")
    fleet.listed = [member(f"e{number}", port=number) for number in (1, 2, 3)]
    paths, peers = OwnPaths(clock), PeerPaths(clock, fleet, "kelowna-a")
    load = FleetLoad(clock, fleet.store, "e1", paths)
    book = EntryAddresses(gateway_settings(), clock, fleet, load, paths, peers)
    paths.are_lost = True
    peers.mark_lost("127.0.0.1:2")
    assert book.addresses("kelowna-a") == ["127.0.0.1:3"]
    peers.mark_lost("127.0.0.1:3")
    assert len(book.addresses("kelowna-a")) == 3


def test_a_request_that_servers_shed_is_not_sent_by_one_instance_after_the_other():
    """Guards against attempts beyond the retry budget of the instance that makes them."""

    async def main():
        async with pair() as running:
            await lose_paths(running)
            for server in running.servers:
                server.steps = [Step(not_run())]
            # A kept connection has the step before.
            running.other.connections.close()
            third = Gateway(document(routes=ROUTES), [], "e3")
            await third.front.start()
            try:
                for server in running.other.load.servers_of("rota-desk"):
                    third.store.put(server_record(server.body))
                running.cut_off.fleet.listed = [
                    *running.cut_off.fleet.listed,
                    member("e3", port=third.settings.front_port),
                ]
                third.fleet.listed = running.cut_off.fleet.listed
                before = running.run_count()
                received = await running.cut_off.call("POST", "/b/x", b"body")
                assert (received.status, received.outcome) == (503, "not-run")
                assert running.run_count() - before <= SERVER_COUNT
            finally:
                await third.front.stop()

    asyncio.run(main())


def test_a_request_that_servers_refused_needs_budget_to_run_elsewhere():
    """Guards against retries at another instance that nobody counts."""

    async def main():
        released = asyncio.Event()
        steps = [Step(not_run(), response_released=released)]
        refusing, serving = ScriptedServer(steps), ScriptedServer([Step(response())])
        async with gateway(refusing) as running, gateway(serving, name="e2") as other:
            for instance, name in ((running, "e2"), (other, "e1")):
                port = (other if name == "e2" else running).settings.front_port
                instance.fleet.listed = [member(name, port=port)]
            for _ in range(100):
                running.reports.count_retry(SERVICE)
            call = asyncio.create_task(running.call("POST", "/b/x", b"body"))
            await until(lambda: refusing.heads)
            running.paths.are_lost = True
            released.set()
            received = await call
            assert (received.status, received.outcome) == (503, "not-run")
            assert serving.heads == []

    asyncio.run(main())


# A link of 3.9 Mbit/s needs this long for an upload of 290 kB. Until then whatever the
# instance sends or receives waits behind it.
LINK_MBPS = 3.9
QUEUE_S = 0.6


def test_a_queue_in_the_own_link_is_no_lost_path(monkeypatch):
    """Guards against instances that take an upload on their narrow link for a cut."""
    idle_from_s = []

    async def open_behind_queue(address, timeout_ms):
        loop = asyncio.get_running_loop()
        wait_s = max(0.0, idle_from_s[0] - loop.time())
        await asyncio.sleep(min(wait_s, timeout_ms / MS_PER_S))
        if wait_s > timeout_ms / MS_PER_S:
            raise ConnectError("timed out")
        return await open_stream(address, timeout_ms)

    async def upload(running):
        part = b"x" * int(LINK_MBPS * 125_000 * 0.05)
        count = round(QUEUE_S / 0.05)
        head = request("POST", "/c/x", content_length=str(len(part) * count))
        reader, writer = await running.connect()
        writer.write(head)
        for _ in range(count):
            writer.write(part)
            await asyncio.sleep(0.05)
        status = (await reader.readline()).split()[1]
        writer.close()
        return status

    async def main():
        servers = [ScriptedServer([Step(response())]) for _ in range(SERVER_COUNT)]
        async with gateway(*servers, link_mbps=LINK_MBPS) as running:
            monkeypatch.setattr(link_queue, "open_stream", open_behind_queue)
            idle_from_s.append(asyncio.get_running_loop().time() + QUEUE_S)
            uploading = asyncio.create_task(upload(running))
            await asyncio.sleep(0.05)
            calls = [running.call("POST", "/b/x", b"body") for _ in range(3)]
            received = await asyncio.gather(*calls)
            assert [answer.status for answer in received] == [200] * 3
            assert await uploading == b"200"
            assert not running.paths.are_lost
            charged = [
                s for s in running.load.servers_of(SERVICE) if s.health.unreached_by
            ]
            assert charged == []

    asyncio.run(main())
