"""Requests are served end to end by separate processes."""

import asyncio
import json
import signal

from cardamomrun_base.headers import IDEMPOTENCY_KEY, OUTCOME
from cardamomrun_bench.caller import PooledClient

from .processes import wait_until

HOST = {"Host": "rota-desk.example"}


async def _all_see_healthy(group, count):
    for entry in group.instance_ids("entry"):
        if len((await group.servers(entry))["healthy"]) != count:
            return False
    return True


def test_whole_path_with_a_lost_backend_server_and_planned_stops(processes, deploy):
    """Guards against parts that work alone but not as separate processes."""

    async def scenario():
        group = processes(control_count=1, entry_count=2)
        group.start_all()
        await deploy(group)
        for name in ("b1", "b2"):
            group.start_backend(name)
        await wait_until(lambda: _all_see_healthy(group, 2))
        caller = PooledClient()
        front = group.front_address("entry-1")
        answer = await caller.request(front, "GET", "/rota", HOST)
        assert answer.status == 200
        assert answer.headers[OUTCOME] == "done"
        group.kill("b1")
        for _ in range(20):
            answer = await caller.request(front, "GET", "/rota", HOST)
            assert json.loads(answer.body)["server_id"] == "b2"
        await wait_until(lambda: _all_see_healthy(group, 1), timeout_s=3.5)
        caller.close()
        for name in ("entry-1", "entry-2", "control-1"):
            group.signal(name, signal.SIGTERM)
        for name in ("entry-1", "entry-2", "control-1"):
            assert group.wait(name) == 0

    asyncio.run(scenario())


def test_a_key_used_through_two_instances_at_once_runs_once(processes, deploy):
    """Guards against a confirmation that runs twice when its caller resends it."""

    async def scenario():
        group = processes(control_count=1, entry_count=3)
        group.start_all()
        await deploy(group)
        backend = group.start_backend("b1", service_time_ms=50)
        await wait_until(lambda: _all_see_healthy(group, 1))
        caller = PooledClient()

        async def confirm(entry, number):
            headers = {
                **HOST,
                IDEMPOTENCY_KEY: f"slot-{number}",
                "Execution-Id": f"slot-{number}",
            }
            return await caller.request(
                group.front_address(entry), "POST", "/confirmations", headers, b"{}"
            )

        async def is_accepted():
            return (await confirm("entry-1", "warm-up")).status == 200

        await wait_until(is_accepted)
        for number in range(20):
            answers = await asyncio.gather(
                *(confirm(entry, number) for entry in group.instance_ids("entry"))
            )
            statuses = sorted(answer.status for answer in answers)
            assert statuses.count(200) == 1, statuses
        executions = await caller.request(backend, "GET", "/.backend/executions")
        counts = json.loads(executions.body)
        assert set(counts.values()) == {1}
        assert len(counts) == 21
        caller.close()

    asyncio.run(scenario())
