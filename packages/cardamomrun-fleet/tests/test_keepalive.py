"""How soon the two ends of a link notice that messages are lost, and what it costs."""

import asyncio
import contextlib
import os
import signal
import socket
from types import SimpleNamespace

import pytest
from websockets.asyncio.client import ClientConnection
from websockets.asyncio.server import ServerConnection
from websockets.protocol import State

from cardamomrun_base.clock import MS_PER_S, SystemClock
from cardamomrun_base.messages import Acknowledgement
from cardamomrun_base.model import InstanceId
from cardamomrun_fleet import links
from cardamomrun_fleet.credentials import Credentials
from cardamomrun_fleet.exchange import DigestsRequest
from cardamomrun_fleet.handler_time import HandlerTime
from cardamomrun_fleet.links import Link, LinkPurpose, TrafficCounters
from cardamomrun_fleet.store import Store
from cardamomrun_fleet.traffic import TrafficMeter

from .builders import Relay, node_settings, until
from .unpaused_time import UnpausedLoop

PING_MS = 400
SILENCE_MS = 1_000
# Timers, the relay and the other cases that run at the same time. Shorter than a ping
# interval, so a detection that is late by one interval fails.
MARGIN_MS = 250
PHASES = (0.1, 0.5, 0.9)
# Ends a child process that a killed test left behind.
CHILD_LIMIT_S = 20


def run(coroutine):
    """Run in a loop whose time leaves out other processes, so that load can't fail it."""
    with asyncio.Runner(loop_factory=UnpausedLoop) as runner:
        runner.run(coroutine)


class _OlderEnd:
    """The keepalive of earlier releases: the one of the library, at both ends."""

    on_ping = None

    async def ping(self, *arguments):
        if self.on_ping is not None:
            self.on_ping()
        return await super().ping(*arguments)

    def message_answered(self, sent_s):
        pass


class OlderOpened(_OlderEnd, ClientConnection):
    pass


class OlderAccepted(_OlderEnd, ServerConnection):
    pass


BUILDS = {
    "both-new": (links._OpenedConnection, links._AcceptedConnection),
    "older-opener": (OlderOpened, links._AcceptedConnection),
    "older-listener": (links._OpenedConnection, OlderAccepted),
    # The reference: what the other builds must not exceed.
    "both-older": (OlderOpened, OlderAccepted),
}


class Meter(TrafficMeter):
    """Counts the pings of one end."""

    def __init__(self):
        super().__init__("kelowna-a", Store(SystemClock()))
        self.ping_count = 0

    def count_ping(self, peer_id: InstanceId) -> None:
        self.ping_count += 1


class End:
    """One end of a link, and when it stopped to use the connection."""

    def __init__(self, connection, *, outbound):
        self.connection = connection
        self.meter = Meter()
        self.link = Link(
            connection,
            "peer",
            1,
            outbound=outbound,
            purpose=LinkPurpose.OVERLAY,
            clock=SystemClock(),
            counters=TrafficCounters(),
            meter=self.meter,
            handler_time=HandlerTime(),
        )

    async def run(self):
        async def answer(link, content):
            return Acknowledgement()

        await self.link.run(lambda *_: None, answer)

    async def noticed_after_ms(self, limit_ms):
        """Return after how long this end begins to close, or infinity."""
        loop = asyncio.get_running_loop()
        begin_s = loop.time()
        while (passed_ms := (loop.time() - begin_s) * MS_PER_S) < limit_ms:
            if self.connection.protocol.state is not State.OPEN:
                return passed_ms
            await asyncio.sleep(0.005)
        return float("inf")


def settings_of(tmp_path, name, ping_ms, silence_ms=SILENCE_MS):
    settings = node_settings(tmp_path, name)
    fleet = settings.fleet.__class__(
        key_file=settings.fleet.key_file, ping_ms=ping_ms, silence_ms=silence_ms
    )
    return settings.__class__(**{**vars(settings), "fleet": fleet})


@contextlib.asynccontextmanager
async def linked(
    tmp_path,
    monkeypatch,
    build="both-new",
    *,
    opener_ping_ms=PING_MS,
    purpose=LinkPurpose.OVERLAY,
):
    """Yield the opener, the accepting end and the relay between them."""
    key = b"k" * 32
    opened_class, accepted_class = BUILDS[build]
    monkeypatch.setattr(links, "_OpenedConnection", opened_class)
    monkeypatch.setattr(links, "_AcceptedConnection", accepted_class)
    ends = SimpleNamespace(accepted=None)

    async def accept(connection, hello, purpose):
        ends.accepted = End(connection, outbound=False)
        await ends.accepted.run()

    listening = settings_of(tmp_path, "listener", PING_MS)
    opening = settings_of(tmp_path, "opener", opener_ping_ms, 10 * opener_ping_ms)
    if opener_ping_ms == PING_MS:
        opening = settings_of(tmp_path, "opener", PING_MS)
    credentials = Credentials(key, "listener")
    server = await links.listen(listening, credentials, lambda: 1, accept)
    relay = Relay(listening.peer_address)
    address = await relay.start()
    connection, _ = await links.open_link(
        opening, Credentials(key, "opener"), 1, address, purpose
    )
    opener = End(connection, outbound=True)
    task = asyncio.create_task(opener.run())
    try:
        await until(lambda: ends.accepted, "accepted")
        yield opener, ends.accepted, relay
    finally:
        relay.close()
        opener.link.abort()
        await asyncio.gather(task, return_exceptions=True)
        server.close()
        await server.wait_closed()


@contextlib.contextmanager
def forked(main):
    """Yield the id of a child process that runs a coroutine, and kill it at exit."""
    child_pid = os.fork()
    if child_pid == 0:
        signal.alarm(CHILD_LIMIT_S)
        try:
            asyncio.run(main)
        finally:
            os._exit(0)
    main.close()
    try:
        yield child_pid
    finally:
        os.kill(child_pid, signal.SIGKILL)
        os.waitpid(child_pid, 0)


async def cut_and_measure(opener, accepted, relay, phase, cut):
    await asyncio.sleep((1 + phase) * PING_MS / MS_PER_S)
    if "requests" in cut:
        relay.forward = False
    if "answers" in cut:
        relay.backward = False
    limit_ms = SILENCE_MS + 4 * PING_MS
    return await asyncio.gather(
        opener.noticed_after_ms(limit_ms), accepted.noticed_after_ms(limit_ms)
    )


@pytest.mark.parametrize("cut", ["requests", "answers", "requests-answers"])
@pytest.mark.parametrize("build", BUILDS)
def test_both_ends_notice_lost_messages_within_the_silence_time(
    build, cut, tmp_path, monkeypatch
):
    """Guards against an end that keeps a link on which messages no longer pass."""

    async def check():
        async with contextlib.AsyncExitStack() as stack:
            measured = []
            for phase in PHASES:
                link = linked(tmp_path, monkeypatch, build)
                ends = await stack.enter_async_context(link)
                measured.append(cut_and_measure(*ends, phase, cut))
            for times_ms in await asyncio.gather(*measured):
                assert max(times_ms) <= SILENCE_MS + MARGIN_MS, times_ms

    run(check())


@pytest.mark.parametrize("is_opener_paused", [True, False])
def test_a_paused_process_is_noticed_by_the_other_end(is_opener_paused, tmp_path):
    """Guards against a stopped process that keeps its links, as its kernel answers."""
    key = b"k" * 32
    listening = settings_of(tmp_path, "listener", PING_MS)
    opening = settings_of(tmp_path, "opener", PING_MS)

    async def listen(accept):
        credentials = Credentials(key, "listener")
        return await links.listen(listening, credentials, lambda: 1, accept)

    async def open_and_run(on_open):
        credentials, address = Credentials(key, "opener"), listening.peer_address
        for _ in range(100):
            with contextlib.suppress(OSError):
                purpose = LinkPurpose.OVERLAY
                connection, _ = await links.open_link(
                    opening, credentials, 1, address, purpose
                )
                break
            await asyncio.sleep(0.05)
        end = End(connection, outbound=True)
        on_open(end)
        await end.run()

    async def accept_and_run(on_open):
        async def accept(connection, hello, purpose):
            end = End(connection, outbound=False)
            on_open(end)
            await end.run()

        async with await listen(accept):
            await asyncio.sleep(CHILD_LIMIT_S)

    def ignore(end):
        pass

    child, own = accept_and_run, open_and_run
    if is_opener_paused:
        child, own = own, child

    async def check(child_pid):
        ends = []
        task = asyncio.create_task(own(ends.append))
        await until(lambda: ends, "linked")
        await asyncio.sleep(1.1 * PING_MS / MS_PER_S)
        os.kill(child_pid, signal.SIGSTOP)
        noticed_ms = await ends[0].noticed_after_ms(3 * SILENCE_MS)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        assert noticed_ms <= SILENCE_MS + MARGIN_MS

    with forked(child(ignore)) as child_pid:
        run(check(child_pid))


@pytest.mark.parametrize("build", BUILDS)
def test_a_link_without_messages_stays_open(build, tmp_path, monkeypatch):
    """Guards against an end that takes the other one's new or old keepalive as silence."""

    async def check():
        async with linked(tmp_path, monkeypatch, build) as (opener, accepted, _):
            await asyncio.sleep(3 * SILENCE_MS / MS_PER_S)
            assert not opener.link.closed
            assert not accepted.link.closed
            assert opener.meter.ping_count >= 5
            if build in ("both-new", "older-opener"):
                assert accepted.meter.ping_count == 0

    run(check())


def test_an_opener_that_pings_rarely_is_asked(tmp_path, monkeypatch):
    """Guards against links that close while the ping intervals of instances differ."""

    async def check():
        link = linked(tmp_path, monkeypatch, opener_ping_ms=10 * PING_MS)
        async with link as (_, accepted, relay):
            open_ms = 5 * SILENCE_MS / 2
            await asyncio.sleep(open_ms / MS_PER_S)
            assert not accepted.link.closed
            assert accepted.meter.ping_count >= 2
            relay.forward = False
            noticed_ms = await accepted.noticed_after_ms(3 * SILENCE_MS)
            assert noticed_ms <= SILENCE_MS + MARGIN_MS

    run(check())


def test_answers_stand_for_pongs(tmp_path, monkeypatch):
    """Guards against pings on a link whose requests are answered more often.

    Messages that only arrive prove nothing about those sent, so the opener still pings.
    """

    async def check():
        async with linked(tmp_path, monkeypatch) as (opener, accepted, relay):
            await opener.link.request(DigestsRequest(b""), timeout_ms=500)
            before = opener.meter.ping_count
            for _ in range(12):
                await opener.link.request(DigestsRequest(b""), timeout_ms=500)
                await asyncio.sleep(PING_MS / 4 / MS_PER_S)
            assert opener.meter.ping_count == before
            for _ in range(12):
                accepted.link.send(Acknowledgement())
                await asyncio.sleep(PING_MS / 4 / MS_PER_S)
            assert opener.meter.ping_count >= before + 2
            await opener.link.request(DigestsRequest(b""), timeout_ms=500)
            # Answers are lost, while requests still pass.
            relay.backward = False
            times_ms = await asyncio.gather(
                opener.noticed_after_ms(3 * SILENCE_MS),
                accepted.noticed_after_ms(3 * SILENCE_MS),
            )
            assert max(times_ms) <= SILENCE_MS + MARGIN_MS

    run(check())


def test_messages_of_the_peer_do_not_hide_that_own_ones_are_lost(tmp_path, monkeypatch):
    """Guards against an opener that hears its peer and keeps a link cut one way."""

    async def check():
        async with linked(tmp_path, monkeypatch) as (opener, accepted, relay):
            await asyncio.sleep(1.5 * PING_MS / MS_PER_S)
            relay.forward = False

            async def send():
                while accepted.link.send(Acknowledgement()):
                    await asyncio.sleep(0.05)

            sending = asyncio.create_task(send())
            noticed_ms = await opener.noticed_after_ms(3 * SILENCE_MS)
            assert noticed_ms <= SILENCE_MS + MARGIN_MS
            await sending

    run(check())


@pytest.mark.parametrize("purpose", LinkPurpose)
def test_the_accepting_end_bounds_unacknowledged_pongs(purpose, tmp_path, monkeypatch):
    """Guards against a cut that also keeps the opener's close frame from this end.

    The loss of acknowledgements can't be played on loopback without privileges, so only
    the limit is checked. Request links are pinged by both ends and need none.
    """

    async def check():
        link = linked(tmp_path, monkeypatch, purpose=purpose)
        async with link as (_, accepted, _):
            connection = accepted.connection.transport.get_extra_info("socket")
            expected_ms = SILENCE_MS - PING_MS if purpose == LinkPurpose.OVERLAY else 0

            def limit_ms():
                option = socket.TCP_USER_TIMEOUT
                return connection.getsockopt(socket.IPPROTO_TCP, option)

            await until(lambda: limit_ms() == expected_ms, "the limit is set")

    run(check())
