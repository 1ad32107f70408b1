"""Requests that end the backend servers which run them."""

import asyncio
from dataclasses import replace

import pytest

from cardamomrun_base.model import BackendPhase, CrashBody, Record, RecordKind
from cardamomrun_base.routing_document import RouteKind, ServiceWeight
from cardamomrun_bench.scripted_server import parse_response
from cardamomrun_gateway.crash_guard import CrashGuard, RequestIdentity
from cardamomrun_gateway.fleet_load import FleetLoad
from cardamomrun_gateway.server_health import AttemptEnd

from .builders import (
    NAMES,
    SERVICE,
    FakeFleet,
    OffsetClock,
    document,
    gateway,
    request,
    route,
    server_body,
    server_record,
    until,
)
from .ending_servers import EndingServer, EndsAfterHead, EndsAndIsBack, FallsSilent

OTHER_SERVICE = "rota-desk-next"
SPLIT = (ServiceWeight(SERVICE, 1.0), ServiceWeight(OTHER_SERVICE, 1.0))
ROUTES = [
    route("/b/", RouteKind.NON_IDEMPOTENT),
    route("/split/", RouteKind.NON_IDEMPOTENT, split=SPLIT),
]
# The rule of the users' platform counts requests from this long after the third end.
WINDOW_S = 3.0
DEADLINE_MS = 300
# What a client that waits for its response never reaches, and one that leaves.
PATIENCE_S, IMPATIENCE_S = 5.0, 0.1
FIRST = RequestIdentity("first", "client")
CLIENTS = ("127.0.0.1", "127.0.0.2", "127.0.0.3")

# How the servers end, the request's path, the clients that send it in turn, and how long
# they wait.
ENDS = {
    "a new connection is refused": (EndingServer, "/b/x", CLIENTS[:1], PATIENCE_S),
    "in the middle of the response": (EndsAfterHead, "/b/x", CLIENTS[:1], PATIENCE_S),
    "and the next boot listens at once": (
        EndsAndIsBack,
        "/b/x",
        CLIENTS[:1],
        PATIENCE_S,
    ),
    "and the machine is silent": (FallsSilent, "/b/x", CLIENTS[:1], PATIENCE_S),
    "silently, and the client leaves": (FallsSilent, "/b/x", CLIENTS[:1], IMPATIENCE_S),
    "of two services of a split": (EndingServer, "/split/x", CLIENTS[:1], PATIENCE_S),
    "with a client of several addresses": (EndingServer, "/b/x", CLIENTS, PATIENCE_S),
}


async def send(running, path, client, patience_s=PATIENCE_S):
    """Send a request from a client's address; return the response if it waits for it."""
    reader, writer = await asyncio.open_connection(
        "127.0.0.1", running.settings.front_port, local_addr=(client, 0)
    )
    deadline = {NAMES.deadline_ms: str(DEADLINE_MS)}
    writer.write(request("POST", path, b"ends servers", **deadline))
    try:
        async with asyncio.timeout(patience_s):
            return parse_response(await reader.read())
    except TimeoutError:
        return None
    finally:
        writer.close()


def ended_count(servers):
    return sum(len(server.heads) for server in servers)


def announce_next_boot(running, server_id):
    body = running.store.get("routed-server", server_id).content
    later = replace(body, incarnation=body.incarnation + 1)
    running.store.put(server_record(later))


@pytest.mark.parametrize("end", ENDS)
def test_a_request_that_ended_three_servers_reaches_no_more(end):
    """Guards against ends of servers that are not counted for the request they ran."""
    server_class, path, clients, patience_s = ENDS[end]

    async def main():
        servers = [server_class() for _ in range(8)]
        content = document(routes=ROUTES, services=(SERVICE, OTHER_SERVICE))
        async with gateway(*servers, content=content) as running:
            for number in range(5, 9):
                body = running.load.get(f"b{number}").body
                running.store.put(
                    server_record(replace(body, service=OTHER_SERVICE), counter=4)
                )
            for number in range(3):
                client = clients[number % len(clients)]
                await send(running, path, client, patience_s)
            reached_count = ended_count(servers)
            assert reached_count >= 2
            await until(lambda: sum(s.ended.is_set() for s in servers) == reached_count)
            if server_class is EndsAndIsBack:
                for number, server in enumerate(servers, 1):
                    if server.ended.is_set():
                        announce_next_boot(running, f"b{number}")
            await asyncio.sleep(WINDOW_S)
            for number in range(4):
                refused = await send(running, path, clients[number % len(clients)])
                assert (refused.status, refused.outcome) == (503, "not-run")
            assert ended_count(servers) == reached_count

    asyncio.run(main())


class Guarded:
    """A crash guard and what it sees of the servers `b1` to `b8`."""

    def __init__(self):
        self.clock = OffsetClock()
        self.fleet = FakeFleet("e1")
        self.store = self.fleet.store
        for number in range(1, 9):
            self.store.put(server_record(server_body(f"b{number}")))
        self.load = FleetLoad(self.clock, self.store, "e1")
        self.guard = CrashGuard(self.clock, self.fleet, self.load)

    def crash(self, server_id, identity):
        """Merge a crash record of another instance."""
        crash = CrashBody(SERVICE, identity.fingerprint, server_id, 1, "e2")
        key = f"{identity.fingerprint}/{server_id}/1"
        self.store.put(
            Record.from_content(RecordKind.CRASH, key, "e2", (0, 0), crash, 600_000)
        )

    def is_blocked(self, identity=FIRST):
        self.guard.sweep()
        return self.guard.is_blocked(identity, SERVICE)

    def respond(self, server_id, after_ms):
        """Record a response to an attempt begun so long from now."""
        now_ms = self.clock.now_ms()
        health = self.load.get(server_id).health
        health.record_end(AttemptEnd.GOOD, now_ms + after_ms, now_ms + after_ms + 100)


def test_a_server_that_goes_on_responding_does_not_count_as_crashed():
    """Guards against innocent requests blocked by instances that lost their paths."""
    guarded = Guarded()
    guarded.crash("b1", FIRST)
    guarded.crash("b2", FIRST)
    assert guarded.is_blocked()
    guarded.respond("b1", after_ms=-100)
    assert guarded.is_blocked()
    guarded.respond("b1", after_ms=500)
    assert not guarded.is_blocked()
    # It stays so once the server has left.
    guarded.store.put(
        server_record(server_body("b1", phase=BackendPhase.GONE), counter=4)
    )
    assert not guarded.is_blocked()


def test_a_server_that_leaves_as_announced_does_not_count_as_crashed():
    """Guards against crashes counted for servers that are replaced as planned."""
    guarded = Guarded()
    for number in (1, 2):
        name = f"b{number}"
        guarded.guard.watch(guarded.load.get(name), FIRST)
        leaving = server_body(name, phase=BackendPhase.DRAINING)
        guarded.store.put(server_record(leaving, counter=4))
        address = leaving.address
        successor = server_body(f"c{number}", incarnation=9, address=address)
        guarded.store.put(server_record(successor))
    assert not guarded.is_blocked()


@pytest.mark.parametrize("count", [2, 3])
def test_crashes_of_one_request_count_whatever_else_crashes(count):
    """Guards against two requests that crash servers in turn and excuse each other."""
    guarded = Guarded()
    for number in range(1, count + 1):
        guarded.crash(f"b{number}", RequestIdentity("first", f"client-{number}"))
        guarded.crash(f"b{number + 4}", RequestIdentity("second", "client"))
    assert guarded.is_blocked(RequestIdentity("first", "client-9")) == (count == 3)
    assert guarded.is_blocked(RequestIdentity("second", "client"))


def test_a_mass_restart_does_not_block_a_request_of_many_clients():
    """Guards against a popular request blocked because it ran on failing servers."""
    guarded = Guarded()
    for number in range(1, 4):
        guarded.crash(f"b{number}", RequestIdentity("popular", f"client-{number}"))
        guarded.crash(f"b{number + 4}", RequestIdentity(f"other-{number}", "client"))
    assert not guarded.is_blocked(RequestIdentity("popular", "client-9"))
