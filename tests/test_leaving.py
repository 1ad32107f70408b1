"""Callers notice neither a frozen backend server nor the planned stop of an instance."""

import asyncio
import json
import random
import signal
import time

from cardamomrun_base.http_client import call
from cardamomrun_bench.caller import ClientError, PooledClient

from .processes import wait_until

HOST = {"Host": "rota-desk.example"}
# Section 1 of the design page, P5.
REMOVAL_LIMIT_S = 3.0


async def _all_see_healthy(group, names):
    for entry in group.instance_ids("entry"):
        if sorted((await group.servers(entry))["healthy"]) != sorted(names):
            return False
    return True


def test_a_frozen_server_that_still_accepts_connections_gets_no_new_work(
    processes, deploy
):
    """Guards against a frozen server that keeps receiving requests because its port still
    accepts connections."""

    async def scenario():
        group = processes(control_count=1, entry_count=3)
        group.start_all()
        await deploy(group)
        names = ["b1", "b2", "b3"]
        for name in names:
            group.start_backend(name)
        await wait_until(lambda: _all_see_healthy(group, names))
        group.signal("b1", signal.SIGSTOP)
        await wait_until(
            lambda: _all_see_healthy(group, ["b2", "b3"]), timeout_s=REMOVAL_LIMIT_S
        )
        caller = PooledClient()
        for number in range(60):
            entry = group.instance_ids("entry")[number % 3]
            answer = await caller.request(group.front_address(entry), "GET", "/", HOST)
            assert json.loads(answer.body)["server_id"] != "b1"
        caller.close()

    asyncio.run(scenario())


class _DirectoryCaller:
    """A caller that refreshes its addresses when the directory's TTL expires."""

    def __init__(self, bootstrap: str, seed: int) -> None:
        self._bootstrap = bootstrap
        self._random = random.Random(seed)
        self._addresses: list[str] = []
        self._expires_s = 0.0
        self._caller = PooledClient()
        self.answered_count = 0
        self.failures: list[str] = []

    async def run(self, duration_s: float) -> None:
        """Send one request after another and count or record the outcomes."""
        end_s = time.monotonic() + duration_s
        while time.monotonic() < end_s:
            await self._refresh_addresses()
            await self._send_request()
        self._caller.close()

    async def _refresh_addresses(self) -> None:
        requested_s = time.monotonic()
        if requested_s < self._expires_s:
            return
        address = self._random.choice(self._addresses or [self._bootstrap])
        answer = await call("GET", f"http://{address}/.cardamomrun/addresses")
        self._addresses = answer.body["addresses"]
        self._expires_s = requested_s + answer.body["ttl_ms"] / 1_000

    async def _send_request(self) -> None:
        address = self._random.choice(self._addresses)
        try:
            answer = await self._caller.request(address, "POST", "/x", HOST, b"{}")
        except ClientError as error:
            self.failures.append(f"{address}: {error}")
            return
        if answer.status == 200:
            self.answered_count += 1
        else:
            self.failures.append(f"{address}: {answer.status} {answer.body!r}")


def test_callers_that_follow_the_directory_see_nothing_of_a_planned_stop(
    processes, deploy
):
    """Guards against requests that are cut or refused when an instance is stopped."""

    async def scenario():
        group = processes(control_count=1, entry_count=3)
        group.start_all()
        await deploy(group)
        for name in ("b1", "b2", "b3"):
            group.start_backend(name, slots=8)
        await wait_until(lambda: _all_see_healthy(group, ["b1", "b2", "b3"]))
        callers = [
            _DirectoryCaller(group.front_address("entry-3"), seed) for seed in range(8)
        ]
        running = asyncio.gather(*(caller.run(8) for caller in callers))
        await asyncio.sleep(1)
        group.signal("entry-1", signal.SIGTERM)
        await running
        assert group.wait("entry-1") == 0
        assert [caller.failures for caller in callers] == [[]] * len(callers)
        assert sum(caller.answered_count for caller in callers) > 500

    asyncio.run(scenario())
