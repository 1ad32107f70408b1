"""The account of memory held for clients: who is closed, and what is refused."""

import asyncio
from dataclasses import replace

import pytest

from cardamomrun_base.settings import ClientSettings
from cardamomrun_requests.client_memory import (
    CONNECTION_BYTES,
    ClientMemory,
    Held,
    Phase,
)

from .builders import settings as node_settings

MB = 1_000_000


class FakeClock:
    def __init__(self):
        self.ms = 0.0

    def now_ms(self):
        return self.ms


class Clients:
    """An account with 20 MB and 60 connections, and who was closed."""

    def __init__(self, **changes):
        self.clock = FakeClock()
        values = {"memory_mb": 104.0, "max_fds": 100, "clients": ClientSettings()}
        settings = replace(node_settings(), **(values | changes))
        self.memory = ClientMemory(settings, self.clock)
        self.closed = []

    def open(self, name, phase=Phase.IDLE, held_bytes=0):
        account = self.memory.open(lambda phase: self.closed.append(name))
        if account is not None and phase is not Phase.IDLE:
            account.enter(phase)
            account.hold(Held.BODY, held_bytes)
        return account


def play(scenario):
    async def main():
        scenario()

    asyncio.run(main())


def test_the_limits_come_from_the_machine():
    clients = Clients()
    assert clients.memory.capacity_bytes == 20 * MB
    assert clients.memory.connection_limit == 60


def test_the_largest_that_is_stalled_the_longest_is_closed_first():
    """Guards against ordinary clients that pay for stalled ones."""

    def scenario():
        clients = Clients()
        clients.open("large", Phase.BODY, 9 * MB)
        clients.open("small", Phase.BODY, 3 * MB)
        clients.open("in work", Phase.WORK, 5 * MB)
        clients.clock.ms += 2_000
        new = clients.open("new", Phase.BODY)
        assert new.may_buffer(4 * MB)
        assert clients.closed == ["large"]

    play(scenario)


def test_without_a_stalled_client_the_new_body_is_refused():
    """Guards against a running upload that is broken off for a new one."""

    def scenario():
        clients = Clients()
        for number in range(4):
            clients.open(number, Phase.BODY, 5 * MB)
        new = clients.open("new", Phase.BODY)
        assert not new.admits_body(None)
        assert not new.may_buffer(MB)
        assert new.admits_body(1_000)
        assert clients.closed == []

    play(scenario)


def test_a_response_that_has_begun_makes_room():
    """Guards against slow readers whose responses together exceed the memory."""

    def scenario():
        clients = Clients()
        clients.open("in work", Phase.WORK, 5 * MB)
        for number in range(4):
            clients.open(number, Phase.RESPONSE, 3 * MB)
            clients.clock.ms += 100
        new = clients.open("new", Phase.RESPONSE)
        new.hold_response(5 * MB)
        assert clients.closed == [0]
        assert clients.memory.total_bytes <= clients.memory.capacity_bytes

    play(scenario)


def test_a_closed_connection_frees_what_it_held():
    """Guards against an account that fills up by itself."""

    def scenario():
        clients = Clients()
        account = clients.open("a", Phase.BODY, 5 * MB)
        assert clients.memory.total_bytes == 5 * MB + CONNECTION_BYTES
        account.end()
        account.end()
        account.hold(Held.BODY, MB)
        assert (clients.memory.total_bytes, clients.memory.connection_count) == (0, 0)

    play(scenario)


def test_of_too_many_connections_the_longest_idle_is_closed():
    """Guards against idle connections that keep ordinary clients out."""

    def scenario():
        clients = Clients()
        clients.open("in work", Phase.WORK)
        for number in range(59):
            clients.clock.ms += 1
            clients.open(number)
        assert clients.open("new") is not None
        assert clients.closed == [0]

    play(scenario)


def test_without_an_idle_connection_a_new_one_is_refused():
    def scenario():
        clients = Clients()
        for number in range(60):
            clients.open(number, Phase.WORK)
        assert clients.open("new") is None
        assert clients.closed == []

    play(scenario)


@pytest.mark.parametrize(
    ("bytes_per_s", "server_share", "is_closed"),
    [(0, 0.0, True), (400, 0.0, True), (700, 0.0, False), (100, 0.95, False)],
)
def test_only_the_time_that_the_client_takes_counts(
    bytes_per_s, server_share, is_closed
):
    """Guards against slow servers whose clients are closed for it."""

    def scenario():
        clients = Clients()
        account = clients.open("a")
        account.begin_body()
        for _ in range(200):
            clients.clock.ms += 100 * (1 - server_share)
            account.enter(Phase.WORK)
            account.count_body(bytes_per_s // 10)
            clients.clock.ms += 100 * server_share
            account.enter(Phase.BODY)
            clients.memory._sweep()
        assert bool(clients.closed) is is_closed

    play(scenario)


def test_a_head_that_trickles_is_closed():
    """Guards against a time limit that each byte extends."""

    def scenario():
        clients = Clients()
        clients.open("a", Phase.HEAD)
        clients.open("idle")
        clients.clock.ms += 10_001
        clients.memory._sweep()
        assert clients.closed == ["a"]

    play(scenario)
