"""Records, settings, running fleets, and a relay that drops one direction."""

import asyncio
import contextlib
import itertools
import os
import time

from cardamomrun_base.clock import SystemClock
from cardamomrun_base.model import (
    CrashBody,
    MemberBody,
    MemberPhase,
    Record,
    RecordKind,
)
from cardamomrun_base.settings import FleetSettings, NodeSettings, Role
from cardamomrun_fleet import Fleet


def crash_record(key="k", version=(0, 1), text="a", lifetime_ms=None):
    body = CrashBody("rota-desk/trial", text, "b1", 1, "e1")
    return Record.from_content(RecordKind.CRASH, key, "e1", version, body, lifetime_ms)


def member_record(name, domain, port=1, phase=MemberPhase.SERVING, counter=1):
    body = MemberBody(
        name, 1, "bc-interior", domain, ("entry",), f"127.0.1.1:{port}", "",
        f"127.0.0.1:{port}", phase,
    )  # fmt: skip
    return Record.from_content(RecordKind.MEMBER, name, name, (1, counter), body)


# Each test process uses its own loopback address, and ports below the ephemeral range.
# Otherwise another process or an outgoing connection could occupy the port of a fleet
# before it starts.
_pid = os.getpid()
HOST = f"127.{1 + _pid // 62_500 % 254}.{_pid // 250 % 250}.{_pid % 250 + 1}"
_ports = itertools.count(20_000)


def node_settings(tmp_path, name, *, seeds=(), domain="kelowna-a", key=b"k" * 32):
    key_file = tmp_path / f"{name}.key"
    key_file.write_bytes(key)
    fleet = FleetSettings(
        key_file=key_file,
        seeds=tuple(seeds),
        ping_ms=100,
        silence_ms=300,
        suspicion_ms=500,
        exchange_ms=100,
    )
    return NodeSettings(
        instance_id=name,
        region="bc-interior",
        failure_domain=domain,
        roles=(Role.ENTRY,),
        host=HOST,
        front_port=1,
        admin_port=2,
        peer_port=next(_ports),
        fleet=fleet,
        announcement_tokens_file=tmp_path / "tokens",
    )


async def until(condition, what, limit_s=8.0):
    """Wait until `condition()` is true; fail with `what` after `limit_s`."""
    end_s = time.monotonic() + limit_s
    while not condition():
        assert time.monotonic() < end_s, f"not reached within {limit_s} s: {what}"
        await asyncio.sleep(0.01)


def member_ids(fleet):
    return {body.instance_id for body in fleet.members()}


async def crash_process(fleet):
    """End a fleet like a killed process: without phase gone, connections reset."""
    fleet._stopping = True
    fleet._server.close(close_connections=False)
    tasks = [*fleet._tasks, *fleet._link_tasks.values()]
    for task in tasks:
        task.cancel()
    for links in list(fleet._links.values()):
        for link in list(links):
            link.abort()
    await asyncio.gather(*tasks, return_exceptions=True)


@contextlib.asynccontextmanager
async def running(tmp_path, count, *, fleet_class=Fleet, clock=None):
    """Run `count` linked fleets, with the first two as seeds; stop them at exit."""
    clock = clock or SystemClock()
    fleets = []
    try:
        for number in range(count):
            seeds = [fleet._settings.peer_address for fleet in fleets[:2]]
            settings = node_settings(tmp_path, f"n{number}", seeds=seeds)
            fleets.append(fleet_class(settings, clock))
            await fleets[-1].start()
        names = {fleet.instance_id for fleet in fleets}
        for fleet in fleets:
            await until(lambda f=fleet: member_ids(f) == names, "all know all members")
            others = names - {fleet.instance_id}
            await until(lambda f=fleet, o=others: f.linked_peers() == o, "all linked")
        yield fleets
    finally:
        await asyncio.gather(*(f.stop() for f in fleets), return_exceptions=True)


class CuttableFleet(Fleet):
    """A fleet that connects to the addresses in `relays` through their relays."""

    def __init__(self, settings, clock):
        super().__init__(settings, clock)
        self.relays = {}

    async def _connect(self, address, purpose):
        return await super()._connect(self.relays.get(address, address), purpose)


@contextlib.asynccontextmanager
async def relays_between(one, two):
    """Route the links between two fleets through relays, one for each opener."""
    relays = []
    for opener, listener in ((one, two), (two, one)):
        address = listener._settings.peer_address
        relay = Relay(address)
        relays.append(relay)
        opener.relays[address] = await relay.start()
    for link in list(one._links[two.instance_id]):
        link.abort()
    yield relays
    for relay in relays:
        relay.close()


class Relay:
    """Forwards bytes between an opener and one address; can drop either direction."""

    def __init__(self, target):
        self._host, port = target.rsplit(":", 1)
        self._port = int(port)
        self.forward = self.backward = True
        self._writers = []
        self._tasks = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def close(self):
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        self._writers.append(writer)
        with contextlib.suppress(OSError):
            target_reader, target_writer = await asyncio.open_connection(
                self._host, self._port
            )
            self._writers.append(target_writer)
            await asyncio.gather(
                self._forward_bytes(reader, target_writer, lambda: self.forward),
                self._forward_bytes(target_reader, writer, lambda: self.backward),
            )

    async def _forward_bytes(self, reader, writer, is_open):
        while data := await reader.read(65_536):
            if is_open():
                writer.write(data)
        writer.close()
