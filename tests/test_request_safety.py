"""Answers and executions of requests when processes on their path fail."""

import asyncio
import contextlib
import hashlib
import json
import signal
import time
from collections import Counter

import pytest

from cardamomrun_base.headers import IDEMPOTENCY_KEY, OUTCOME
from cardamomrun_base.http_client import call
from cardamomrun_bench.caller import PooledClient

from .processes import ANNOUNCEMENT_TOKEN, wait_until
from .relay import Direction, Relay

HOST = {"Host": "rota-desk.example"}
EXECUTIONS = "/.backend/executions"


def routes(**changes):
    """Return the routes of the tests; /confirmations requires an idempotency key."""
    keyed = {"idempotency": "non-idempotent", "idempotency_key": "required"}
    return [
        {"prefix": "/", **changes},
        {"prefix": "/confirmations", **keyed, **changes},
    ]


class FleetWithCaller:
    """A group of processes and a caller of its entry instances."""

    def __init__(self, group):
        self.group = group
        self.caller = PooledClient()
        self.backends = {}

    async def start(self, deploy, backend_count, *, backend=(), document=(), **node):
        self.group.start_all(**node)
        for number in range(1, backend_count + 1):
            name = f"b{number}"
            self.backends[name] = self.group.start_backend(name, **dict(backend))
        await deploy(self.group, **dict(document))
        await wait_until(lambda: self.all_see_healthy(backend_count))

    async def all_see_healthy(self, healthy_count):
        views = [
            await self.group.servers(entry)
            for entry in self.group.instance_ids("entry")
        ]
        return all(len(view["healthy"]) == healthy_count for view in views)

    async def send(self, entry, method, path, body=b"", **headers):
        address = self.group.front_address(entry)
        return await self.caller.request(address, method, path, HOST | headers, body)

    async def confirm(self, entry, key):
        headers = {IDEMPOTENCY_KEY: key, "Execution-Id": key}
        return await self.send(entry, "POST", "/confirmations", b"{}", **headers)

    async def all_keepers_ready(self):
        for entry in self.group.instance_ids("entry"):
            if (await self.confirm(entry, f"ready-{entry}")).status not in (200, 409):
                return False
        return True

    async def executions(self):
        total = Counter()
        for address in self.backends.values():
            answer = await self.caller.request(address, "GET", EXECUTIONS)
            total.update(json.loads(answer.body))
        return total

    async def all_backends_answer(self):
        await self.executions()
        return True

    async def has_run_once(self, key):
        return (await self.executions())[key] == 1


@pytest.fixture
def build_fleet(processes):
    fleets = []

    def build(**counts):
        fleets.append(
            FleetWithCaller(
                processes(**{"control_count": 1, "entry_count": 3, **counts})
            )
        )
        return fleets[-1]

    yield build
    for built in fleets:
        built.caller.close()


def test_resend_after_the_entry_instance_was_killed(build_fleet, deploy):
    """Guards against a resent confirmation that runs again after the entry instance that
    sent it was killed."""

    async def scenario():
        fleet = build_fleet()
        await fleet.start(deploy, 1, backend={"service_time_ms": 20})
        await wait_until(fleet.all_keepers_ready)
        await set_faults(fleet, {"mode": "slow", "slow_factor": 50.0})
        first = asyncio.create_task(fleet.confirm("entry-1", "lost"))
        await wait_until(lambda: fleet.has_run_once("lost"))
        fleet.group.kill("entry-1")
        await set_faults(fleet, {})
        await asyncio.wait({first})
        assert first.exception() is not None
        for entry in ("entry-2", "entry-3"):
            answer = await fleet.confirm(entry, "lost")
            assert (answer.status, answer.headers[OUTCOME]) == (409, "unknown")
        # Claims continue with 2 of 3 keepers, and a done key reports its first status.
        assert (await fleet.confirm("entry-2", "after")).status == 200
        answer = await fleet.confirm("entry-3", "after")
        assert (answer.status, answer.headers[OUTCOME]) == (409, "done")
        assert answer.headers["Cardamomrun-Earlier-Status"] == "200"
        executions = await fleet.executions()
        assert (executions["lost"], executions["after"]) == (1, 1)

    asyncio.run(scenario())


def test_instance_frozen_after_it_won_a_key(build_fleet, deploy):
    """Guards against a request that is sent after its claim may have expired."""
    document = {
        "routes": routes(attempt_timeout_ms=8_000, slow_ms=8_000),
        "limits": {"connections_per_server_count": 1},
    }

    async def scenario():
        fleet = build_fleet()
        # A claim must start within half the retention time, 2 s.
        await fleet.start(
            deploy,
            1,
            backend={"service_time_ms": 100},
            document=document,
            idempotency_retention_ms=4_000,
        )
        await wait_until(fleet.all_keepers_ready)

        def ask_directory():
            return fleet.send("entry-1", "GET", "/.cardamomrun/addresses")

        # Opens the caller's connections, so that later requests arrive in order.
        await asyncio.gather(*(ask_directory() for _ in range(3)))
        # The only connection of entry-1 is in use, so the next request wins its claim and
        # then waits.
        slow = {"mode": "slow", "slow_factor": 28.0}
        await set_faults(fleet, slow)
        holder = asyncio.create_task(fleet.send("entry-1", "GET", "/slow"))
        await wait_until(lambda: is_busy(fleet))
        await set_faults(fleet, {})
        frozen = asyncio.create_task(fleet.confirm("entry-1", "frozen"))
        # Each answer shows that entry-1 handled what was sent before it; a claim takes
        # several steps.
        for _ in range(20):
            await ask_directory()
        headers = {IDEMPOTENCY_KEY: "frozen"}
        other = await fleet.send("entry-2", "POST", "/confirmations", b"x", **headers)
        assert other.status == 422
        won_by_s = time.monotonic()
        fleet.group.signal("entry-1", signal.SIGSTOP)
        await asyncio.sleep(2.1 - (time.monotonic() - won_by_s))
        fleet.group.signal("entry-1", signal.SIGCONT)
        answer = await frozen
        assert (answer.status, answer.headers[OUTCOME]) == (503, "not-run")
        assert json.loads(answer.body)["error"] == "claim-expired"
        assert (await holder).status == 200
        assert (await fleet.executions())["frozen"] == 0

        async def runs_elsewhere():
            return (await fleet.confirm("entry-2", "frozen")).status == 200

        await wait_until(runs_elsewhere)
        assert (await fleet.executions())["frozen"] == 1

    asyncio.run(scenario())


async def set_faults(fleet, faults):
    for address in fleet.backends.values():
        await call("PUT", f"http://{address}/.backend/faults", body=faults)


async def is_busy(fleet):
    answer = await fleet.caller.request(fleet.backends["b1"], "GET", "/.backend/load")
    return json.loads(answer.body)["in_flight"] == 1


def test_request_that_crashes_servers(build_fleet, deploy):
    """Guards against a resent request that crashes one server after the other."""
    count = 8

    async def scenario():
        fleet = build_fleet()
        faults = {"crash_mark": "poison"}
        await fleet.start(deploy, count, backend={"faults": faults})

        def crashed_servers():
            return [name for name in fleet.backends if not fleet.group.is_running(name)]

        async def crashed_are_removed():
            views = [
                await fleet.group.servers(name)
                for name in fleet.group.instance_ids("entry")
            ]
            return not any(
                name in view[what]
                for name in crashed_servers()
                for view in views
                for what in ("healthy", "ejected", "avoided")
            )

        async def ordinary_requests_succeed():
            for entry in fleet.group.instance_ids("entry"):
                # Refused connections are retried, within a tenth of the requests.
                for number in range(30):
                    answer = await fleet.send(entry, "POST", f"/orders/{number}", b"x")
                    assert answer.status == 200

        await ordinary_requests_succeed()
        for number, entry in enumerate(("entry-1", "entry-2"), 1):
            answer = await fleet.send(entry, "POST", "/orders/poison", b"x")
            assert (answer.status, answer.headers[OUTCOME]) == (502, "unknown")
            assert len(crashed_servers()) == number
            await ordinary_requests_succeed()
            # The crash record was published before the removal of the server.
            await wait_until(crashed_are_removed)
        for _ in range(2):
            for entry in fleet.group.instance_ids("entry"):
                answer = await fleet.send(entry, "POST", "/orders/poison", b"x")
                assert (answer.status, answer.headers[OUTCOME]) == (503, "not-run")
                content = json.loads(answer.body)
                assert content["error"] == "quarantined"
                assert "change the request" in content["remedy"]
        await ordinary_requests_succeed()
        assert len(crashed_servers()) == 2
        for entry in fleet.group.instance_ids("entry"):
            view = await fleet.group.servers(entry)
            assert set(view["healthy"]) == set(fleet.backends) - set(crashed_servers())
            assert not view["ejected"] and not view["avoided"]

    asyncio.run(scenario())


def test_planned_stop_during_a_large_upload(build_fleet, deploy):
    """Guards against a planned stop that aborts a slow upload."""
    chunk = bytes(range(256)) * 400
    chunk_count = 200
    length = len(chunk) * chunk_count

    async def scenario():
        fleet = build_fleet(entry_count=2)
        await fleet.start(deploy, 1, directory_ttl_ms=100)
        host, port = fleet.group.front_address("entry-1").split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        head = f"POST /upload HTTP/1.1\r\nHost: {HOST['Host']}\r\n"
        writer.write(f"{head}Content-Length: {length}\r\n\r\n".encode())
        digest = hashlib.sha256()
        for number in range(chunk_count):
            # The remaining upload takes longer than all bounded waits of a stop, about 5 s.
            if number == 5:
                fleet.group.signal("entry-1", signal.SIGTERM)
            writer.write(chunk)
            digest.update(chunk)
            await writer.drain()
            await asyncio.sleep(0.03)
        answer = await asyncio.wait_for(reader.read(), 10)
        writer.close()
        head, _, body = answer.partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200 ")
        content = json.loads(body)
        assert content["body_bytes"] == length >= 20_000_000
        assert content["body_sha256"] == digest.hexdigest()
        assert fleet.group.wait("entry-1") == 0

    asyncio.run(scenario())


def test_drained_server_without_control(build_fleet, deploy):
    """Guards against requests to a draining server while control is unreachable."""

    async def scenario():
        fleet = build_fleet()
        await fleet.start(deploy, 3, backend={"drain_ms": 30_000})
        fleet.group.kill("control-1")

        async def send_load():
            for entry in fleet.group.instance_ids("entry"):
                for number in range(20):
                    headers = {"Execution-Id": f"{entry}-{number}"}
                    answer = await fleet.send(entry, "GET", "/rota", **headers)
                    assert answer.status == 200

        async def run_by_drained():
            address = fleet.backends["b1"]
            answer = await fleet.caller.request(address, "GET", EXECUTIONS)
            return sum(json.loads(answer.body).values())

        await send_load()
        assert await run_by_drained() > 0
        fleet.group.signal("b1", signal.SIGTERM)
        drained_by_s = time.monotonic() + 3
        await wait_until(lambda: fleet.all_see_healthy(2), timeout_s=3)
        before = await run_by_drained()
        while time.monotonic() < drained_by_s:
            await send_load()
        assert await run_by_drained() == before

    asyncio.run(scenario())


class RelayedBackends:
    """Stand-in backend servers, each announced at the address of a relay in front."""

    def __init__(self, group, addresses):
        self._group = group
        self.relays = {
            name: Relay("127.0.0.1", address) for name, address in addresses.items()
        }

    @contextlib.asynccontextmanager
    async def announced(self):
        for relay in self.relays.values():
            await relay.start()
        task = asyncio.create_task(self._announce())
        try:
            yield self
        finally:
            task.cancel()
            for relay in self.relays.values():
                relay.stop()

    async def _announce(self):
        admin = self._group.admin_address("entry-1")
        base = f"http://{admin}/v1/environments/rota-desk/production/servers"
        while True:
            for number, (name, relay) in enumerate(self.relays.items()):
                body = {
                    "incarnation": 1,
                    "address": relay.address,
                    "failure_domain": f"kelowna-{'ab'[number % 2]}",
                    "slots": 4,
                    "connections": 400,
                    "phase": "serving",
                }
                url = f"{base}/{name}"
                await call("PUT", url, body=body, token=ANNOUNCEMENT_TOKEN)
            await asyncio.sleep(0.5)


async def send_order(fleet, number):
    headers = {"Execution-Id": f"order-{number}"}
    answer = await fleet.send("entry-2", "POST", "/orders", b"x", **headers)
    return f"{answer.status} {answer.headers[OUTCOME]}"


@pytest.mark.parametrize("dropped", [Direction.ANSWERS, ~Direction(0)])
def test_pooled_connections_that_went_silent(build_fleet, deploy, dropped):
    """Guards against dead connections that cause ejections or lost or repeated requests."""
    count = 4

    async def scenario():
        fleet = build_fleet(entry_count=2)
        document = {"routes": routes(attempt_timeout_ms=300)}
        await fleet.start(deploy, 0, document=document)
        for number in range(1, count + 1):
            name = f"b{number}"
            fleet.backends[name] = fleet.group.start_backend(name, announce_to=[])
        # Announced only once they listen, since a refused connection is evidence too.
        await wait_until(fleet.all_backends_answer)
        servers = RelayedBackends(fleet.group, fleet.backends)
        async with servers.announced():
            await wait_until(lambda: fleet.all_see_healthy(count))
            relays = servers.relays.values()

            async def all_have_pooled_connections():
                names = [f"/rota/{number}" for number in range(40)]
                sent = [fleet.send("entry-2", "GET", name) for name in names]
                await asyncio.gather(*sent)
                return all(relay.connection_count for relay in relays)

            await wait_until(all_have_pooled_connections)
            for relay in relays:
                relay.drop_data(dropped)
            expected = {"200 done": 1, "504 unknown": dropped is Direction.ANSWERS}
            orders = await asyncio.gather(*(send_order(fleet, n) for n in range(16)))
            # Enough to eject a server if each counted as its failure.
            assert orders.count("504 unknown") >= 8
            executed = await fleet.executions()
            for number, outcome in enumerate(orders):
                assert executed[f"order-{number}"] == expected[outcome]
            for number in range(20):
                answer = await fleet.send("entry-2", "GET", f"/rota/{number}")
                assert answer.status == 200
            later = await fleet.executions()
            assert all(later[key] == executed[key] for key in executed)
            end_s = time.monotonic() + 1.5  # three reports to the decider
            while time.monotonic() < end_s:
                for entry in fleet.group.instance_ids("entry"):
                    view = await fleet.group.servers(entry)
                    assert len(view["healthy"]) == count, view
                await asyncio.sleep(0.1)

    asyncio.run(scenario())
