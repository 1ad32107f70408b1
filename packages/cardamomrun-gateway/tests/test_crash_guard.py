"""Requests that end the backend servers which run them."""

import asyncio
from dataclasses import replace

import pytest

from cardamomrun_base.routing_document import RouteKind, ServiceWeight
from cardamomrun_bench.scripted_server import parse_response

from .builders import (
    NAMES,
    SERVICE,
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
CLIENTS = ("127.0.0.1", "127.0.0.2", "127.0.0.3")

# How the servers end, the request's path, and the clients that send it in turn.
ENDS = {
    "a new connection is refused": (EndingServer, "/b/x", CLIENTS[:1]),
    "in the middle of the response": (EndsAfterHead, "/b/x", CLIENTS[:1]),
    "and the next boot listens at once": (EndsAndIsBack, "/b/x", CLIENTS[:1]),
    "and the machine is silent": (FallsSilent, "/b/x", CLIENTS[:1]),
    "of two services of a split": (EndingServer, "/split/x", CLIENTS[:1]),
    "with a client of several addresses": (EndingServer, "/b/x", CLIENTS),
}


async def send(running, path, client="127.0.0.1", body=b"ends servers"):
    """Send a request from a client's address and return the response."""
    reader, writer = await asyncio.open_connection(
        "127.0.0.1", running.settings.front_port, local_addr=(client, 0)
    )
    deadline = {NAMES.deadline_ms: str(DEADLINE_MS)}
    writer.write(request("POST", path, body, **deadline))
    try:
        return parse_response(await reader.read())
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
    server_class, path, clients = ENDS[end]

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
                await send(running, path, clients[number % len(clients)])
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
