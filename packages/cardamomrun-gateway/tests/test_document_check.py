"""Tests of the check for the newest document, with a network in memory."""

import asyncio
import contextlib
from dataclasses import replace

from cardamomrun_base.errors import PeerTimeoutError, UnavailableError
from cardamomrun_base.messages import ConfirmedNumber
from cardamomrun_base.model import Record, RecordKind, RoutingBody
from cardamomrun_gateway.document_check import (
    CONFIRMED_MS,
    DocumentAnswers,
    DocumentCheck,
)
from cardamomrun_gateway.table import RoutingTable

from .builders import (
    FakeFleet,
    OffsetClock,
    document,
    gateway,
    member,
    route,
    routing_record,
    until,
)

# Bound of the stated target for a change to be in force everywhere.
IN_FORCE_S = 2.0


class Port:
    """Carries datagrams between instances at once; those in `cut_off` get none."""

    def __init__(self, network, address):
        self.network, self.address, self.handlers = network, address, {}
        network[address] = self
        self.is_cut = False

    def add_handler(self, kind, handler):
        self.handlers[kind] = handler

    def send(self, data, address):
        other = self.network[address]
        if not self.is_cut and not other.is_cut:
            other.handlers[data[:1]](data[1:], self.address)


class Control:
    """A control instance that confirms `number`, or nothing if that is None."""

    def __init__(self, network, name, port, domain):
        self.member = replace(
            member(name, domain, port=port), roles=("control",), instance_id=name
        )
        self.port = Port(network, ("127.0.0.1", port))
        self.number = 1
        self.asked_count = 0
        self.documents = {}
        DocumentAnswers(self, self.port)

    async def get(self):
        self.asked_count += 1
        if self.number is None:
            raise UnavailableError("no leader is known.", remedy="ask again")
        return ConfirmedNumber(self.number, 0.0)


class EntryFleet(FakeFleet):
    def __init__(self, controls):
        super().__init__("e1", [control.member for control in controls])
        self.controls = {c.member.instance_id: c for c in controls}

    async def request(self, instance_id, message, *, timeout_ms):
        control = self.controls[instance_id]
        if control.port.is_cut or message.number not in control.documents:
            raise PeerTimeoutError("no answer.", remedy="none")
        return control.documents[message.number]


class Entry:
    """An entry instance with document 1 and two control instances, one of its domain."""

    def __init__(self):
        network = {}
        self.near = Control(network, "c1", 1, "kelowna-a")
        self.far = Control(network, "c2", 2, "vernon-a")
        self.clock = OffsetClock()
        self.fleet = EntryFleet([self.near, self.far])
        self.fleet.store.put(routing_record(document(1)))
        self.table = RoutingTable(self.fleet.store)
        self.check = DocumentCheck(
            self.clock,
            self.fleet,
            self.table,
            Port(network, ("127.0.0.1", 9)),
            "kelowna-a",
        )

    @contextlib.asynccontextmanager
    async def running(self):
        task = asyncio.create_task(self.check.run())
        try:
            yield self
        finally:
            task.cancel()


def test_a_document_whose_flood_was_lost_is_in_force_in_time():
    """Guards against an instance that keeps an old document until a peer corrects it."""

    async def main():
        async with Entry().running() as entry:
            await until(lambda: entry.check.is_current)
            newer = routing_record(document(2, routes=[route("/new/")]))
            for control in (entry.near, entry.far):
                control.number, control.documents = 2, {2: newer}
            async with asyncio.timeout(IN_FORCE_S):
                await until(lambda: entry.table.number == 2)
                await until(lambda: entry.check.is_current)

    asyncio.run(main())


def test_a_document_that_is_known_to_be_newer_makes_the_old_one_unconfirmed():
    async def main():
        async with Entry().running() as entry:
            await until(lambda: entry.check.is_current)
            entry.near.number = entry.far.number = 2
            await until(lambda: not entry.check.is_current)

    asyncio.run(main())


def test_no_document_is_confirmed_before_control_has_answered():
    """Guards against a restarted instance that takes its peers' document as the newest."""

    async def main():
        entry = Entry()
        entry.near.number = entry.far.number = None
        async with entry.running():
            await until(lambda: entry.near.asked_count + entry.far.asked_count >= 3)
            assert not entry.check.is_current
            entry.near.number = entry.far.number = 1
            await until(lambda: entry.check.is_current)

    asyncio.run(main())


def test_a_starting_instance_waits_for_control_but_not_for_long():
    """Guards against a front that opens with an old document, or never opens."""

    async def main():
        entry = Entry()
        entry.near.number = entry.far.number = None
        async with entry.running():
            await entry.check.wait_first(50.0)
            entry.near.number = entry.far.number = 1
            async with asyncio.timeout(IN_FORCE_S):
                await entry.check.wait_first(60_000.0)
            assert entry.check.is_current

    asyncio.run(main())


def test_a_confirmation_lapses():
    async def main():
        async with Entry().running() as entry:
            await until(lambda: entry.check.is_current)
            entry.near.port.is_cut = entry.far.port.is_cut = True
            entry.clock.offset_ms += CONFIRMED_MS
            assert not entry.check.is_current

    asyncio.run(main())


def test_another_control_instance_is_asked_if_one_does_not_answer():
    """Guards against an instance that waits for a control instance that is lost."""

    async def main():
        entry = Entry()
        entry.near.port.is_cut = True
        async with entry.running():
            await until(lambda: entry.check.is_current)
            assert entry.far.asked_count >= 1

    asyncio.run(main())


def test_a_confirmation_counts_from_the_question():
    """Guards against an answer that was late on its way and counts as new."""
    entry = Entry()
    held = []
    entry.near.port.send = lambda data, address: held.append((data, address))
    entry.fleet.listed = [entry.near.member]

    async def main():
        async with entry.running():
            await until(lambda: held)
            entry.clock.offset_ms += CONFIRMED_MS
            for data, address in held:
                entry.near.port.network[address].handlers[data[:1]](data[1:], None)
            assert not entry.check.is_current

    asyncio.run(main())


def test_no_route_is_answered_only_from_a_confirmed_document():
    """Guards against 404 for a route that an acknowledged document has added."""

    async def main():
        async with gateway(content=document(routes=[route("/a/")])) as running:
            running.has_newest_document = False
            received = await running.call(path="/new/x")
            assert (received.status, received.outcome) == (503, "not-run")
            running.has_newest_document = True
            received = await running.call(path="/new/x")
            assert (received.status, received.outcome) == (404, "not-run")

    asyncio.run(main())


def test_a_document_that_cannot_be_read_is_not_fetched_for_ever():
    """Guards against instances of an older release that fetch a document all the time."""

    async def main():
        entry = Entry()
        body = RoutingBody(2, "digest", b"of a later release")
        unreadable = Record.from_content(
            RecordKind.ROUTING, "routing", "c1", (0, 2), body
        )
        entry.fleet.store.put(unreadable)
        assert entry.table.number == 1
        fetches = []
        for control in (entry.near, entry.far):
            control.number, control.documents = 2, {2: unreadable}

        async def request(instance_id, message, *, timeout_ms):
            fetches.append(instance_id)
            return unreadable

        entry.fleet.request = request
        async with entry.running():
            await asyncio.sleep(2.0)
        assert len(fetches) <= 1

    asyncio.run(main())


def test_the_age_of_a_confirmation_counts_for_the_document_in_force():
    """Guards against strict revocation that accepts keys of a superseded document."""

    async def main():
        entry = Entry()
        assert entry.check.confirmed_age_ms == float("inf")
        async with entry.running():
            await until(lambda: entry.check.is_current)
            entry.clock.offset_ms += 60_000.0
            await until(lambda: entry.check.confirmed_age_ms < 30_000.0)
            # The newer document is known to exist but does not arrive.
            entry.near.number = entry.far.number = 2
            await until(lambda: entry.check._newest == 2)
            entry.clock.offset_ms += 60_000.0
            await until(lambda: entry.check._confirmed_ms > entry.clock.now_ms() - 500)
            assert 60_000.0 <= entry.check.confirmed_age_ms < 90_000.0
            entry.fleet.store.put(routing_record(document(2)))
            assert entry.check.confirmed_age_ms < 30_000.0

    asyncio.run(main())
