"""Checks that all instances together keep to the limit that a backend server names."""

import asyncio
import contextlib
import itertools
import signal
import time
from collections import Counter
from statistics import median

import pytest

from cardamomrun_bench.caller import ClientError, PooledClient

from .builders import check_in, manifest, route_fields
from .limited_server import LimitedServer
from .processes import (
    CONTROL_PORT,
    FRONT_PORT,
    READY_PORT,
    Fleet,
    fetch,
    wait_for_success,
)

HOST = "a.example"
# What the platform allows: one and a half times the limit and 5 requests in any 4 s,
# from 3 s after the server first named it.
WINDOW_S = 4.0
SETTLE_S = 3.0
TRAFFIC_S = 9.0
SEND_INTERVAL_S = 0.012
ENTRY_COUNT = 4


def allowed_count(limit):
    return 1.5 * WINDOW_S * limit + 5


@pytest.fixture
def fleet(tmp_path):
    fleet = Fleet(tmp_path, ENTRY_COUNT)
    yield fleet
    fleet.stop()


@contextlib.asynccontextmanager
async def serving(fleet, servers):
    """Run the fleet in front of the servers."""
    fleet.start_all()
    control = [f"{ip}:{CONTROL_PORT}" for ip in fleet.control]
    rpc = "/v1/rpc?call="
    body = manifest(routes=[route_fields(host=HOST, path_prefix="/a/")])
    await wait_for_success(lambda: fetch(control[0], f"{rpc}config.put", body))
    for server in servers:
        announced = check_in(address=f"127.0.0.1:{await server.start()}")
        path = f"{rpc}instances.heartbeat&of={server.server_id}"
        await wait_for_success(lambda p=path, b=announced: fetch(control[0], p, b))
    for ip in fleet.entry:
        await wait_for_success(lambda ip=ip: fetch(f"{ip}:{READY_PORT}", "/v1/ready"))
    await asyncio.sleep(0.5)
    try:
        yield
    finally:
        for server in servers:
            server.stop()


async def send_traffic(fleet, duration_s=TRAFFIC_S):
    """Send requests that may run once to all instances in turn; return the answers."""
    client = PooledClient(timeout_ms=3_000)
    answers = []

    async def call(number, ip):
        headers = {"Host": HOST, "Cardamomrun-Attempt-Id": f"id-{number}"}
        headers["Cardamomrun-Deadline-Ms"] = "1500"
        address = f"{ip}:{FRONT_PORT}"
        sent_s = time.monotonic()
        with contextlib.suppress(ClientError):
            answer = await client.request(address, "POST", "/a/x", headers, b"order")
            answers.append((answer, time.monotonic() - sent_s))

    end_s = time.monotonic() + duration_s
    async with asyncio.TaskGroup() as group:
        for number, ip in zip(itertools.count(), itertools.cycle(fleet.entry)):
            if time.monotonic() > end_s:
                break
            group.create_task(call(number, ip))
            await asyncio.sleep(SEND_INTERVAL_S)
    client.close()
    return answers


def test_a_server_that_names_a_limit_gets_no_more_from_all_instances_together(fleet):
    async def main():
        limited = LimitedServer("i-1", limit=2)
        others = [LimitedServer("i-2"), LimitedServer("i-3")]
        async with serving(fleet, [limited, *others]):
            answers = await send_traffic(fleet)
        arrived = limited.most_arrivals(WINDOW_S, limited.first_named_s + SETTLE_S)
        assert 1 <= arrived <= allowed_count(limited.limit)
        statuses = Counter(answer.status for answer, _ in answers)
        assert statuses[200] >= 0.98 * sum(statuses.values()), statuses

    asyncio.run(main())


def test_a_service_whose_servers_all_name_limits_is_used_and_refuses_the_rest_at_once(
    fleet,
):
    async def main():
        servers = [LimitedServer(f"i-{n}", limit=8) for n in (1, 2, 3)]
        async with serving(fleet, servers):
            answers = await send_traffic(fleet)
        for server in servers:
            arrived = server.most_arrivals(WINDOW_S, server.first_named_s + SETTLE_S)
            assert arrived <= allowed_count(server.limit)
        took_s = {200: [], 503: []}
        for answer, answered_s in answers:
            took_s[answer.status].append(answered_s)
            if answer.status == 503:
                assert float(answer.headers["Retry-After"]) > 0
        # At least half of what the servers take.
        capacity = TRAFFIC_S * sum(server.limit for server in servers)
        assert len(took_s[200]) >= 0.5 * capacity
        # A request that is refused at once doesn't take as long as half of the work.
        work_s = servers[0].service_time_s
        assert median(took_s[503]) < median(took_s[200]) - work_s / 2

    asyncio.run(main())


def test_a_limit_holds_while_instances_are_paused_in_turn(fleet):
    async def main():
        limited = LimitedServer("i-1", limit=2)
        others = [LimitedServer("i-2"), LimitedServer("i-3")]
        async with serving(fleet, [limited, *others]):
            sending = asyncio.create_task(send_traffic(fleet, 14.0))
            for ip in fleet.entry:
                await asyncio.sleep(2.0)
                fleet.running[ip].send_signal(signal.SIGSTOP)
                await asyncio.sleep(1.5)
                fleet.running[ip].send_signal(signal.SIGCONT)
            await sending
        arrived = limited.most_arrivals(WINDOW_S, limited.first_named_s + SETTLE_S)
        assert arrived <= allowed_count(limited.limit)

    asyncio.run(main())
