"""An instance that cannot reach backend servers while other instances can."""

import asyncio
import contextlib
import socket

import pytest

from cardamomrun_bench.scripted_server import ScriptedServer, Step, free_port
from cardamomrun_gateway.fleet_load import FleetLoad
from cardamomrun_gateway.server_health import AttemptEnd

from .builders import (
    ROUTES,
    FakeFleet,
    Gateway,
    OffsetClock,
    document,
    member,
    no_report,
    relay_message,
    response,
    server_body,
    server_record,
)

SERVER_COUNT = 6
# The rule of the users' platform counts requests from this long after the cut.
WINDOW_S = 3.0


@contextlib.contextmanager
def refusing_address():
    yield f"127.0.0.1:{free_port()}"


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
