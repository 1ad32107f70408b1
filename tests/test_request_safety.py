"""What callers are told, and what runs, when processes of the path fail."""

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
from cardamomrun_bench.caller import Caller

from .processes import ANNOUNCEMENT_TOKEN, until
from .relay import Direction, Relay

HOST = {"Host": "rota-desk.example"}
EXECUTIONS = "/.backend/executions"


def routes(**changes):
    """Return the routes of the tests; keyed requests go below /confirmations."""
    keyed = {"idempotency": "non-idempotent", "idempotency_key": "required"}
    return [
        {"prefix": "/", **changes},
        {"prefix": "/confirmations", **keyed, **changes},
    ]


class Path:
    """A group of processes with its caller."""

    def __init__(self, group):
        self.group = group
        self.caller = Caller()
        self.backends = {}

    async def start(self, deploy, backend_count, *, backend=(), document=(), **node):
        self.group.start_all(**node)
        for number in range(1, backend_count + 1):
            name = f"b{number}"
            self.backends[name] = self.group.start_backend(name, **dict(backend))
        await deploy(self.group, **dict(document))
        await until(lambda: self.sees(backend_count))

    async def sees(self, healthy_count):
        views = [await self.group.servers(one) for one in self.group.names("entry")]
        return all(len(view["healthy"]) == healthy_count for view in views)

    async def send(self, entry, method, path, body=b"", **headers):
        address = self.group.front(entry)
        return await self.caller.request(address, method, path, HOST | headers, body)

    async def confirm(self, entry, key):
        headers = {IDEMPOTENCY_KEY: key, "Execution-Id": key}
        return await self.send(entry, "POST", "/confirmations", b"{}", **headers)

    async def keepers_are_ready(self):
        for entry in self.group.names("entry"):
            if (await self.confirm(entry, f"ready-{entry}")).status not in (200, 409):
                return False
        return True

    async def executions(self):
        total = Counter()
        for address in self.backends.values():
            answer = await self.caller.request(address, "GET", EXECUTIONS)
            total.update(json.loads(answer.body))
        return total

    async def all_answer(self):
        await self.executions()
        return True

    async def has_run(self, key):
        return (await self.executions())[key] == 1


@pytest.fixture
def path(processes):
    made = []

    def build(**counts):
        made.append(Path(processes(**{"control_count": 1, "entry_count": 3, **counts})))
        return made[-1]

    yield build
    for one in made:
        one.caller.close()


def test_resend_after_the_entry_instance_was_killed(path, deploy):
    """Guards against a confirmation that runs again since its instance was lost."""

    async def scenario():
        one = path()
        await one.start(deploy, 1, backend={"service_time_ms": 20})
        await until(one.keepers_are_ready)
        await set_faults(one, {"mode": "slow", "slow_factor": 50.0})
        first = asyncio.create_task(one.confirm("entry-1", "lost"))
        await until(lambda: one.has_run("lost"))
        one.group.kill("entry-1")
        await set_faults(one, {})
        await asyncio.wait({first})
        assert first.exception() is not None
        for entry in ("entry-2", "entry-3"):
            answer = await one.confirm(entry, "lost")
            assert (answer.status, answer.headers[OUTCOME]) == (409, "unknown")
        # Claims go on with 2 of the 3 keepers, and a done key names its first status.
        assert (await one.confirm("entry-2", "after")).status == 200
        answer = await one.confirm("entry-3", "after")
        assert (answer.status, answer.headers[OUTCOME]) == (409, "done")
        assert answer.headers["Cardamomrun-Earlier-Status"] == "200"
        executions = await one.executions()
        assert (executions["lost"], executions["after"]) == (1, 1)

    asyncio.run(scenario())


def test_instance_frozen_after_it_won_a_key(path, deploy):
    """Guards against a request that is sent after its claim may have expired."""
    document = {
        "routes": routes(attempt_timeout_ms=8_000, slow_ms=8_000),
        "limits": {"connections_per_server_count": 1},
    }

    async def scenario():
        one = path()
        # A claim must start within half the retention time, 2 s.
        await one.start(
            deploy,
            1,
            backend={"service_time_ms": 100},
            document=document,
            idempotency_retention_ms=4_000,
        )
        await until(one.keepers_are_ready)

        def ask_directory():
            return one.send("entry-1", "GET", "/.cardamomrun/addresses")

        # Opens the connections of the caller, so that requests arrive in order.
        await asyncio.gather(*(ask_directory() for _ in range(3)))
        # The only connection of entry-1 is taken, so the next request waits with its
        # claim won.
        slow = {"mode": "slow", "slow_factor": 28.0}
        await set_faults(one, slow)
        holder = asyncio.create_task(one.send("entry-1", "GET", "/slow"))
        await until(lambda: is_busy(one))
        await set_faults(one, {})
        frozen = asyncio.create_task(one.confirm("entry-1", "frozen"))
        # Each answer shows that entry-1 handled what was sent before it; a claim takes
        # several steps.
        for _ in range(20):
            await ask_directory()
        headers = {IDEMPOTENCY_KEY: "frozen"}
        other = await one.send("entry-2", "POST", "/confirmations", b"x", **headers)
        assert other.status == 422
        won_by_s = time.monotonic()
        one.group.signal("entry-1", signal.SIGSTOP)
        await asyncio.sleep(2.1 - (time.monotonic() - won_by_s))
        one.group.signal("entry-1", signal.SIGCONT)
        answer = await frozen
        assert (answer.status, answer.headers[OUTCOME]) == (503, "not-run")
        assert json.loads(answer.body)["error"] == "claim-expired"
        assert (await holder).status == 200
        assert (await one.executions())["frozen"] == 0

        async def runs_elsewhere():
            return (await one.confirm("entry-2", "frozen")).status == 200

        await until(runs_elsewhere)
        assert (await one.executions())["frozen"] == 1

    asyncio.run(scenario())


async def set_faults(one, faults):
    for address in one.backends.values():
        await call("PUT", f"http://{address}/.backend/faults", body=faults)


async def is_busy(one):
    answer = await one.caller.request(one.backends["b1"], "GET", "/.backend/load")
    return json.loads(answer.body)["in_flight"] == 1


def test_request_that_crashes_servers(path, deploy):
    """Guards against a resent request that ends one server after the other."""
    count = 8

    async def scenario():
        one = path()
        faults = {"crash_mark": "poison"}
        await one.start(deploy, count, backend={"faults": faults})

        def dead():
            return [name for name in one.backends if not one.group.is_running(name)]

        async def dead_are_gone():
            views = [await one.group.servers(name) for name in one.group.names("entry")]
            return not any(
                name in view[what]
                for name in dead()
                for view in views
                for what in ("healthy", "ejected", "avoided")
            )

        async def ordinary_requests_succeed():
            for entry in one.group.names("entry"):
                # Refused connections are retried, within a tenth of the requests.
                for number in range(30):
                    answer = await one.send(entry, "POST", f"/orders/{number}", b"x")
                    assert answer.status == 200

        await ordinary_requests_succeed()
        for number, entry in enumerate(("entry-1", "entry-2"), 1):
            answer = await one.send(entry, "POST", "/orders/poison", b"x")
            assert (answer.status, answer.headers[OUTCOME]) == (502, "unknown")
            assert len(dead()) == number
            await ordinary_requests_succeed()
            # The crash record was published before that of the lost server.
            await until(dead_are_gone)
        for _ in range(2):
            for entry in one.group.names("entry"):
                answer = await one.send(entry, "POST", "/orders/poison", b"x")
                assert (answer.status, answer.headers[OUTCOME]) == (503, "not-run")
                content = json.loads(answer.body)
                assert content["error"] == "quarantined"
                assert "change the request" in content["remedy"]
        await ordinary_requests_succeed()
        assert len(dead()) == 2
        for entry in one.group.names("entry"):
            view = await one.group.servers(entry)
            assert set(view["healthy"]) == set(one.backends) - set(dead())
            assert not view["ejected"] and not view["avoided"]

    asyncio.run(scenario())


def test_planned_stop_during_a_large_upload(path, deploy):
    """Guards against a stop that cuts a slow upload."""
    piece = bytes(range(256)) * 400
    piece_count = 200
    length = len(piece) * piece_count

    async def scenario():
        one = path(entry_count=2)
        await one.start(deploy, 1, directory_ttl_ms=100)
        host, port = one.group.front("entry-1").split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        head = f"POST /upload HTTP/1.1\r\nHost: {HOST['Host']}\r\n"
        writer.write(f"{head}Content-Length: {length}\r\n\r\n".encode())
        digest = hashlib.sha256()
        for number in range(piece_count):
            # The rest takes longer than all bounded waits of a stop, about 5 s.
            if number == 5:
                one.group.signal("entry-1", signal.SIGTERM)
            writer.write(piece)
            digest.update(piece)
            await writer.drain()
            await asyncio.sleep(0.03)
        answer = await asyncio.wait_for(reader.read(), 10)
        writer.close()
        head, _, body = answer.partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200 ")
        content = json.loads(body)
        assert content["body_bytes"] == length >= 20_000_000
        assert content["body_sha256"] == digest.hexdigest()
        assert one.group.wait("entry-1") == 0

    asyncio.run(scenario())


def test_drained_server_without_control(path, deploy):
    """Guards against new work for a leaving server while control is unreachable."""

    async def scenario():
        one = path()
        await one.start(deploy, 3, backend={"drain_ms": 30_000})
        one.group.kill("control-1")

        async def send_load():
            for entry in one.group.names("entry"):
                for number in range(20):
                    headers = {"Execution-Id": f"{entry}-{number}"}
                    answer = await one.send(entry, "GET", "/rota", **headers)
                    assert answer.status == 200

        async def run_by_drained():
            address = one.backends["b1"]
            answer = await one.caller.request(address, "GET", EXECUTIONS)
            return sum(json.loads(answer.body).values())

        await send_load()
        assert await run_by_drained() > 0
        one.group.signal("b1", signal.SIGTERM)
        drained_by_s = time.monotonic() + 3
        await until(lambda: one.sees(2), timeout_s=3)
        before = await run_by_drained()
        while time.monotonic() < drained_by_s:
            await send_load()
        assert await run_by_drained() == before

    asyncio.run(scenario())


class RelayedServers:
    """Stand-ins that are announced by the address of a relay in front of each."""

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
        admin = self._group.admin("entry-1")
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


async def order(one, number):
    headers = {"Execution-Id": f"order-{number}"}
    answer = await one.send("entry-2", "POST", "/orders", b"x", **headers)
    return f"{answer.status} {answer.headers[OUTCOME]}"


@pytest.mark.parametrize("dropped", [Direction.ANSWERS, ~Direction(0)])
def test_pooled_connections_that_went_silent(path, deploy, dropped):
    """Guards against ejected servers and lost or repeated work by dead connections."""
    count = 4

    async def scenario():
        one = path(entry_count=2)
        document = {"routes": routes(attempt_timeout_ms=300)}
        await one.start(deploy, 0, document=document)
        for number in range(1, count + 1):
            name = f"b{number}"
            one.backends[name] = one.group.start_backend(name, announce_to=[])
        # Announced only when they listen, since a refused connection is evidence too.
        await until(one.all_answer)
        servers = RelayedServers(one.group, one.backends)
        async with servers.announced():
            await until(lambda: one.sees(count))
            relays = servers.relays.values()

            async def all_have_pooled_connections():
                names = [f"/rota/{number}" for number in range(40)]
                sent = [one.send("entry-2", "GET", name) for name in names]
                await asyncio.gather(*sent)
                return all(relay.connection_count for relay in relays)

            await until(all_have_pooled_connections)
            for relay in relays:
                relay.silence(dropped)
            expected = {"200 done": 1, "504 unknown": dropped is Direction.ANSWERS}
            orders = await asyncio.gather(*(order(one, n) for n in range(16)))
            # Enough for a server's ejection, if each were taken as its fault.
            assert orders.count("504 unknown") >= 8
            executed = await one.executions()
            for number, outcome in enumerate(orders):
                assert executed[f"order-{number}"] == expected[outcome]
            for number in range(20):
                answer = await one.send("entry-2", "GET", f"/rota/{number}")
                assert answer.status == 200
            later = await one.executions()
            assert all(later[key] == executed[key] for key in executed)
            end_s = time.monotonic() + 1.5  # three reports to the decider
            while time.monotonic() < end_s:
                for entry in one.group.names("entry"):
                    view = await one.group.servers(entry)
                    assert len(view["healthy"]) == count, view
                await asyncio.sleep(0.1)

    asyncio.run(scenario())
