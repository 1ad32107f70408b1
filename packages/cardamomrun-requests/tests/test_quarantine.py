"""Crash quarantine: what counts as a crash, and how many servers a request crashes."""

import asyncio
import socket
from dataclasses import replace

import pytest

from cardamomrun_base.interfaces import Attempt, ServiceView
from cardamomrun_base.model import (
    BackendBody,
    BackendPhase,
    Record,
    RecordKind,
    backend_key,
)
from cardamomrun_requests.quarantine import ConnectResult, CrashQuarantine, _connect

from .claims_builders import FakeFleet, LoopClock, node_settings, run

SERVICE = "s/production"


class Service:
    """Backend servers and the entry instances that see them, on virtual time."""

    def __init__(self, count=30, instances=2):
        self.servers = {f"b{n}": server_of(f"b{n}") for n in range(count)}
        self.state = dict.fromkeys(self.servers, ConnectResult.OPEN)
        self.fleets = [FakeFleet(None, f"i{n}") for n in range(instances)]
        for fleet in self.fleets:
            fleet.store.peers = [one.store for one in self.fleets if one is not fleet]
        for server in self.servers.values():
            self.announce(server)
        self.quarantines = [
            CrashQuarantine(
                node_settings(), LoopClock(), fleet, self, connect=self.connect
            )
            for fleet in self.fleets
        ]

    def view(self, environment):
        return ServiceView(environment, tuple(self.servers), (), (), (), (), 0)

    async def connect(self, address):
        await sleep_ms(1)
        return self.state[address]

    def announce(self, server, counter=0):
        self.servers[server.server_id] = server
        key = backend_key(SERVICE, server.server_id)
        version = (server.incarnation, counter)
        self.fleets[0].store.put(
            Record.from_content(RecordKind.BACKEND, key, "i0", version, server)
        )

    def attempt(self, name):
        return Attempt(SERVICE, self.servers[name], 0.0)

    async def crash(self, name, fingerprint="f", at=0, end=ConnectResult.REFUSED):
        """End a server while it runs a request of instance `at`."""
        attempt = self.attempt(name)
        self.state[name] = end
        return await self.quarantines[at].confirm_crash(attempt, fingerprint)

    def quarantined(self, fingerprint="f"):
        return [one.is_quarantined(SERVICE, fingerprint) for one in self.quarantines]


def server_of(name):
    return BackendBody(SERVICE, name, 1, name, "d", 4, 400, "i0", BackendPhase.SERVING)


async def sleep_ms(duration_ms):
    await asyncio.sleep(duration_ms / 1_000)


@pytest.mark.parametrize("count", [2, 6, 30])
def test_second_server_quarantines_everywhere_for_a_time(count):
    """Guards against a third crash, also in small services, and an endless quarantine."""

    async def main():
        service = Service(count)
        assert await service.crash("b0")
        assert service.quarantined() == [False, False]
        assert await service.crash("b1", at=1)
        assert service.quarantined() == [True, True]
        assert service.quarantined("other customer") == [False, False]
        await sleep_ms(599_000)
        assert service.quarantined() == [True, True]
        await sleep_ms(2_000)
        assert service.quarantined() == [False, False]

    run(main())


def test_crashes_far_apart_or_of_one_server_do_not_quarantine():
    """Guards against a quarantine from two crashes that do not count together."""

    async def main():
        service = Service()
        assert await service.crash("b0")
        service.announce(replace(service.servers["b0"], incarnation=2))
        assert await service.crash("b0")
        assert not any(service.quarantined())
        await sleep_ms(601_000)
        assert await service.crash("b1")
        assert not any(service.quarantined())

    run(main())


async def port_closes_late(service):
    async def close():
        await sleep_ms(200)
        service.state["b0"] = ConnectResult.REFUSED

    closing = asyncio.create_task(close())
    counted = await service.crash("b0", end=ConnectResult.OPEN)
    await closing
    return counted


async def busy_while_it_crashes(service):
    async def refuse():
        await sleep_ms(200)
        service.state["b0"] = ConnectResult.REFUSED

    refusing = asyncio.create_task(refuse())
    counted = await service.crash("b0", end=ConnectResult.UNREACHABLE)
    await refusing
    return counted


async def restarts_at_once(service):
    attempt = service.attempt("b0")
    service.announce(replace(service.servers["b0"], incarnation=2))
    return await service.quarantines[0].confirm_crash(attempt, "f")


async def only_the_connection_closed(service):
    return await service.crash("b0", end=ConnectResult.OPEN)


async def unreachable(service):
    return await service.crash("b0", end=ConnectResult.UNREACHABLE)


async def drains(service):
    service.announce(replace(service.servers["b0"], phase=BackendPhase.DRAINING), 1)
    return await service.crash("b0")


async def mass_restart_known(service):
    for number in range(1, 8):
        service.announce(replace(server_of(f"b{number}"), incarnation=2))
    return await service.crash("b0")


async def mass_restart_long_ago(service):
    await mass_restart_known(service)
    await sleep_ms(6_000)
    return await service.crash("b9")


async def planned_restart(service):
    for number in range(1, 20):
        server = service.servers[f"b{number}"]
        service.announce(replace(server, phase=BackendPhase.DRAINING), 1)
        service.announce(replace(server, incarnation=2))
    return await service.crash("b0")


CRASH_CASES = {
    "a crash during planned restarts": (planned_restart, True),
    "a dying process that closes its port late": (port_closes_late, True),
    "a server that is back before the check": (restarts_at_once, True),
    "a machine that is too busy to refuse at first": (busy_while_it_crashes, True),
    "a mass restart that is over": (mass_restart_long_ago, True),
    "a silent connection taken as a crash": (only_the_connection_closed, False),
    "a partition taken as a crash": (unreachable, False),
    "a planned stop taken as a crash": (drains, False),
    "a mass restart taken as a crash": (mass_restart_known, False),
}


@pytest.mark.parametrize("guards_against_misjudging", CRASH_CASES)
def test_what_counts_as_a_crash(guards_against_misjudging):
    happens, counts = CRASH_CASES[guards_against_misjudging]

    async def main():
        service = Service()
        begun_ms = LoopClock().now_ms()
        assert await happens(service) is counts
        assert LoopClock().now_ms() - begun_ms < 7_000

    run(main())


@pytest.mark.parametrize("count", [6, 30])
def test_mass_restart_that_is_recognised_late(count):
    """Guards against a quarantine from crashes counted before a mass restart is known."""

    async def main():
        service = Service(count)
        await service.crash("b0")
        await service.crash("b1")
        for number in range(2, count):
            service.announce(replace(server_of(f"b{number}"), incarnation=2))
        await sleep_ms(100)
        assert service.quarantined() == [False, False]

    run(main())


def test_two_requests_with_one_crash_each_are_not_quarantined():
    """Guards against a quarantine of two requests that met one crash each."""

    async def main():
        service = Service()
        assert await service.crash("b0", "f")
        assert await service.crash("b1", "g")
        assert not any(service.quarantined("f") + service.quarantined("g"))

    run(main())


@pytest.mark.parametrize("crashes_servers", [True, False])
def test_burst_of_a_suspect_request_is_serialized(crashes_servers):
    """Guards against a burst that crashes many servers, or that is blocked for long."""

    async def main():
        service = Service(instances=1)
        quarantine = service.quarantines[0]
        ran = []

        async def request(name):
            async with quarantine.attempt_permit(SERVICE, "f") as may_run:
                if not may_run:
                    return
                ran.append(name)
                await sleep_ms(20)
                if crashes_servers or name == "b0":
                    await service.crash(name)

        first = asyncio.create_task(request("b0"))
        await sleep_ms(20.5)
        begun_ms = LoopClock().now_ms()
        await asyncio.gather(first, *(request(f"b{number}") for number in range(1, 20)))
        assert len(ran) == (2 if crashes_servers else 20)
        assert LoopClock().now_ms() - begun_ms < 100

    run(main())


def test_wait_for_a_decision_is_bounded():
    """Guards against requests that wait without limit for a crash decision."""

    async def main():
        service = Service(instances=1)

        async def hang(address):
            await sleep_ms(60_000)
            return ConnectResult.OPEN

        service.quarantines[0]._connect = hang
        deciding = asyncio.create_task(service.crash("b0"))
        await sleep_ms(1)
        begun_ms = LoopClock().now_ms()
        await service.quarantines[0].wait_decided("f")
        assert LoopClock().now_ms() - begun_ms <= 1_001
        deciding.cancel()

    run(main())


def test_connect_distinguishes_open_and_refusing_ports():
    """Guards against confusing an open port with a refusing one."""

    async def main():
        with socket.create_server(("127.0.0.1", 0)) as listener:
            address = f"127.0.0.1:{listener.getsockname()[1]}"
            assert await _connect(address) is ConnectResult.OPEN
        assert await _connect(address) is ConnectResult.REFUSED

    asyncio.run(main())
