"""A planned stop of an entry machine, as the platform does it: SIGTERM, then SIGKILL."""

import asyncio
import signal
import time

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

GRACE_S = 6.0
WORK_S = 3.2
DEADLINE_MS = 6_000
SENDING_S = 4.0
SPACING_S = 0.05
SERVER_COUNT = 25
SLOTS = 6


@pytest.fixture
def fleet(tmp_path):
    fleet = Fleet(tmp_path)
    yield fleet
    fleet.stop()


async def start_fleet(fleet, servers):
    """Start all machines with backend servers, and wait until they serve."""
    control = [f"{ip}:{CONTROL_PORT}" for ip in fleet.control]
    fleet.start_all()
    body = manifest(
        routes=[
            route_fields(
                host="a.example",
                path_prefix="/a/",
                timeout_ms=DEADLINE_MS,
                slo_latency_ms=2_219,
            )
        ]
    )
    call = "/v1/rpc?call="
    await wait_for_success(lambda: fetch(control[0], f"{call}config.put", body))
    for server in servers:
        address = f"127.0.0.1:{await server.start()}"
        body = check_in(address=address, slots=SLOTS)
        path = f"{call}instances.heartbeat&of={server.server_id}"
        await wait_for_success(
            lambda path=path, body=body: fetch(control[0], path, body)
        )
    for ip in fleet.entry:
        await wait_for_success(lambda ip=ip: fetch(f"{ip}:{READY_PORT}", "/v1/ready"))
    await asyncio.sleep(1.0)


async def send(client, front, number):
    """Send a request that may run once; return its status, or None without answer."""
    headers = {
        "Host": "a.example",
        "Cardamomrun-Attempt-Id": f"id-{number}",
        "Cardamomrun-Deadline-Ms": str(DEADLINE_MS),
    }
    try:
        answer = await client.request(front, "POST", "/a/x", headers, b"order")
    except ClientError:
        return None
    return answer.status


@pytest.mark.parametrize("opens_before", [False, True])
def test_no_request_that_ran_loses_its_answer_to_a_planned_stop(fleet, opens_before):
    """Guards against requests taken late in the grace period (incident LOST)."""

    async def main():
        servers = [
            LimitedServer(f"i-{number}", service_time_s=WORK_S)
            for number in range(SERVER_COUNT)
        ]
        await start_fleet(fleet, servers)
        ip = fleet.entry[0]
        front, process = f"{ip}:{FRONT_PORT}", fleet.running[ip]
        count = int(SENDING_S / SPACING_S)
        clients = [PooledClient(timeout_ms=DEADLINE_MS + 1_000) for _ in range(count)]
        if opens_before:
            # Their next requests come on open connections.
            await asyncio.gather(*(fetch_unknown(client, front) for client in clients))
        term_s = time.monotonic()
        process.send_signal(signal.SIGTERM)
        sending = []
        for number, client in enumerate(clients):
            sending.append(asyncio.create_task(send(client, front, number)))
            await asyncio.sleep(SPACING_S)
        await asyncio.sleep(term_s + GRACE_S - time.monotonic())
        process.kill()
        statuses = await asyncio.gather(*sending)
        run_count = sum(len(server.arrivals_s) for server in servers)
        assert statuses.count(200) == run_count > 0
        assert set(statuses) <= {200, 503, None}
        for server in servers:
            server.stop()

    asyncio.run(main())


async def fetch_unknown(client, front):
    """Open a connection by a request that no route matches, and keep it."""
    answer = await client.request(front, "GET", "/unknown", {"Host": "a.example"})
    assert answer.status == 404
