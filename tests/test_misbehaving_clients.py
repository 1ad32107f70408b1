"""Clients that break the limits: processes stay alive, small and able to serve.

Each test starts a control machine and an entry machine with lowered limits. It checks
only what doesn't depend on the speed of the computer: that the process is alive, its
largest resident memory, its open descriptors, and that one ordinary request succeeds.
"""

import asyncio
import contextlib
import os
import re

import pytest

from .adapter.builders import check_in, manifest, route_fields
from .adapter.processes import (
    CONTROL_PORT,
    DIRECTORY_PORT,
    FRONT_PORT,
    READY_PORT,
    Fleet,
    fetch,
    wait_for_success,
)

# Limits that the settings of the started machines state. The idle process uses about
# half of the memory of an entry machine.
ENTRY_LIMITS = {"memory_mb": 100, "max_fds": 400, "link_mbps": 1_000.0}
CONTROL_LIMITS = {"memory_mb": 160, "max_fds": 400, "link_mbps": 1_000.0}
CLIENT_COUNT = 60
# Without a bound on the work for a connection, each of these delays every turn of the
# event loop by some milliseconds.
SMALL_CHUNK_CLIENT_COUNT = 200
# More than the descriptors that the machine may open.
IDLE_CLIENT_COUNT = 600
BODY_BYTES = 8_000_000
CHUNK_BYTES = 65_536
SMALL_CHUNK_COUNT = 100_000
FAR_TOO_LONG_BYTES = 80_000_000
FIELD_COUNT = 3_000
PIPELINED_COUNT = 2_000
LARGE_RESPONSE_BYTES = 2_000_000
# How long the crowd has to send before the ordinary request, and the request may take.
CROWD_S = 2.0
REQUEST_S = 10.0
ROUTE_TIMEOUT_MS = 8_000
KIB_PER_MB = 1_000_000 / 1_024

COUNTS = {"in_one_byte_chunks": SMALL_CHUNK_CLIENT_COUNT}
ROUTED, UNROUTED = "/a/x", "/unknown"
ID_LINE = re.compile(rb"cardamomrun-attempt-id: ([^\r]+)", re.IGNORECASE)
LENGTH_LINE = re.compile(rb"content-length: ([0-9]+)", re.IGNORECASE)


class BackendServer:
    """Discards request bodies and responds; the response for `/a/large` is large."""

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self._server.sockets[0].getsockname()[1]

    def stop(self):
        self._server.close()

    async def _serve(self, reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, OSError, ValueError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                await self._discard_body(reader, head)
                body = b"ok"
                if head.split(b" ")[1] == b"/a/large":
                    body = bytes(LARGE_RESPONSE_BYTES)
                writer.write(
                    b"HTTP/1.1 200 OK\r\nCardamomrun-Attempt-Id: %b\r\n"
                    b"Cardamomrun-Response-Seal: seal\r\nContent-Length: %d\r\n\r\n%b"
                    % (ID_LINE.search(head)[1], len(body), body)
                )
                await writer.drain()
        writer.close()

    async def _discard_body(self, reader, head):
        length = LENGTH_LINE.search(head)
        if length is not None:
            await self._discard(reader, int(length[1]))
        elif b"chunked" in head.lower():
            while size := int(await reader.readline(), 16):
                await self._discard(reader, size + 2)
            await reader.readline()

    async def _discard(self, reader, size):
        while size:
            part = await reader.read(min(size, CHUNK_BYTES))
            if not part:
                raise asyncio.IncompleteReadError(b"", size)
            size -= len(part)


def head(path, method="POST", **fields):
    fields = {"host": "a.example", "cardamomrun-attempt-id": "crowd", **fields}
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def in_one_piece(path):
    yield head(path, content_length=BODY_BYTES)
    yield bytes(BODY_BYTES - 1)


def in_chunks(path):
    yield head(path, transfer_encoding="chunked")
    chunk = b"%x\r\n%b\r\n" % (CHUNK_BYTES, bytes(CHUNK_BYTES))
    for _ in range(BODY_BYTES // CHUNK_BYTES):
        yield chunk
    yield b"2\r\nx"


def in_small_pieces(path):
    yield head(path, content_length=100_000)
    for _ in range((100_000 - 64) // 64):
        yield bytes(64)
        yield None


def in_one_byte_chunks(path):
    yield head(path, transfer_encoding="chunked")
    for _ in range(SMALL_CHUNK_COUNT // 1_000):
        yield b"1\r\nx\r\n" * 1_000


def far_too_long(path):
    yield head(path, content_length=FAR_TOO_LONG_BYTES)
    for _ in range(FAR_TOO_LONG_BYTES // BODY_BYTES):
        yield bytes(BODY_BYTES)


def endless_chunks(path):
    yield head(path, transfer_encoding="chunked")
    chunk = b"%x\r\n%b\r\n" % (CHUNK_BYTES, bytes(CHUNK_BYTES))
    for _ in range(FAR_TOO_LONG_BYTES // CHUNK_BYTES):
        yield chunk


def many_short_fields(path):
    fields = b"".join(b"%x:\r\n" % number for number in range(FIELD_COUNT))
    yield head(path, "GET")[:-2] + fields + b"\r\n"


def pipelined(path):
    for _ in range(PIPELINED_COUNT // 100):
        yield head(path, "GET") * 100


def half_a_head(path):
    yield head(path)[:40]


def slow_head(path):
    for number in range(1_000):
        yield head(path)[:-2] if number == 0 else b"a: b\r\n"
        yield None


def slow_body(path):
    yield head(path, content_length=BODY_BYTES)
    for _ in range(1_000):
        yield b"x"
        yield None


def large_responses(path):
    target = "/a/large" if path == ROUTED else path
    yield head(target, "GET") * 4


SCENARIOS = [
    in_one_piece,
    in_chunks,
    in_small_pieces,
    in_one_byte_chunks,
    far_too_long,
    endless_chunks,
    many_short_fields,
    pipelined,
    half_a_head,
    slow_head,
    slow_body,
    large_responses,
]


async def misbehave(address, parts):
    """Send `parts`, then keep the connection open; None is a pause of 50 ms."""
    host, _, port = address.rpartition(":")
    with contextlib.suppress(OSError):
        _, writer = await asyncio.open_connection(host, int(port), limit=1_024)
        try:
            for part in parts:
                if part is None:
                    await asyncio.sleep(0.05)
                else:
                    writer.write(part)
                    await writer.drain()
            await asyncio.Event().wait()
        finally:
            writer.transport.abort()


async def ordinary_request(front):
    headers = {"Host": "a.example", "Cardamomrun-Attempt-Id": "ordinary"}
    async with asyncio.timeout(REQUEST_S):
        return await fetch(front, ROUTED, b"order", **headers)


class Machines:
    """A control machine, an entry machine and a backend server that stays announced."""

    def __init__(self, folder):
        self.fleet = Fleet(folder, entry_count=1)
        self.fleet.control = self.fleet.control[:1]
        self.control_ip, self.entry_ip = self.fleet.control[0], self.fleet.entry[0]
        self.control = f"{self.control_ip}:{CONTROL_PORT}"
        self.directory = f"{self.control_ip}:{DIRECTORY_PORT}"
        self.front = f"{self.entry_ip}:{FRONT_PORT}"
        self.ready = f"{self.entry_ip}:{READY_PORT}"

    async def start(self):
        self.server = BackendServer()
        address = f"127.0.0.1:{await self.server.start()}"
        self.fleet.start(
            self.control_ip,
            ["control", "directory"],
            {"control": self.control, "directory": self.directory},
            str(self.fleet.folder / "control"),
            limits=CONTROL_LIMITS,
        )
        self.fleet.start(
            self.entry_ip,
            ["edge"],
            {"front": self.front, "ready": self.ready},
            None,
            limits=ENTRY_LIMITS,
        )
        route = route_fields(
            host="a.example",
            path_prefix="/a/",
            timeout_ms=ROUTE_TIMEOUT_MS,
            slo_latency_ms=ROUTE_TIMEOUT_MS,
        )
        body = manifest(routes=[route])
        call = "/v1/rpc?call="
        await wait_for_success(lambda: fetch(self.control, f"{call}config.put", body))

        async def announce():
            path = f"{call}instances.heartbeat&of=i-1"
            announcement = check_in(address=address, slots=100)
            return await fetch(self.control, path, announcement)

        async def announce_for_ever():
            while True:
                await announce()
                await asyncio.sleep(1.0)

        await wait_for_success(announce)
        self._announcing = asyncio.create_task(announce_for_ever())
        await wait_for_success(lambda: fetch(self.ready, "/v1/ready"))
        await wait_for_success(lambda: ordinary_request(self.front))

    def stop(self):
        self._announcing.cancel()
        self.server.stop()

    def memory_kib(self, ip):
        """Return the largest resident memory that the process of a machine has had."""
        with open(f"/proc/{self.fleet.running[ip].pid}/status") as status:
            return int(re.search(r"VmHWM:\s+(\d+)", status.read())[1])

    def descriptor_count(self, ip):
        return len(os.listdir(f"/proc/{self.fleet.running[ip].pid}/fd"))

    def check(self, ip, limits):
        """Check that a process lives within the limits of its machine."""
        assert self.fleet.running[ip].poll() is None
        assert self.memory_kib(ip) <= limits["memory_mb"] * KIB_PER_MB
        assert self.descriptor_count(ip) <= limits["max_fds"]


async def play(machines, ip, limits, clients, ask):
    """Let clients misbehave, and check the process with them and without them."""
    crowd = [asyncio.create_task(client) for client in clients]
    await asyncio.sleep(CROWD_S)
    machines.check(ip, limits)
    during = await ask()
    for client in crowd:
        client.cancel()
    await asyncio.gather(*crowd, return_exceptions=True)
    afterwards = await ask()
    machines.check(ip, limits)
    assert (during.code, afterwards.code) == (200, 200)


@pytest.fixture
def machines(tmp_path):
    machines = Machines(tmp_path)
    yield machines
    machines.fleet.stop()


def run_scenario(machines, ip, limits, address, parts, ask, count=CLIENT_COUNT):
    async def main():
        await machines.start()
        clients = [misbehave(address, parts()) for _ in range(count)]
        await play(machines, ip, limits, clients, ask)
        machines.stop()

    asyncio.run(main())


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda item: item.__name__)
@pytest.mark.parametrize("path", [ROUTED, UNROUTED], ids=["routed", "unrouted"])
def test_front_listener(machines, scenario, path):
    """Guards against a front listener that clients exhaust or keep from serving."""
    run_scenario(
        machines,
        machines.entry_ip,
        ENTRY_LIMITS,
        machines.front,
        lambda: scenario(path),
        lambda: ordinary_request(machines.front),
        COUNTS.get(scenario.__name__, CLIENT_COUNT),
    )


def test_idle_connections(machines):
    """Guards against connections without requests that use up all descriptors."""
    run_scenario(
        machines,
        machines.entry_ip,
        ENTRY_LIMITS,
        machines.front,
        list,
        lambda: ordinary_request(machines.front),
        IDLE_CLIENT_COUNT,
    )


@pytest.mark.parametrize(
    "scenario",
    [
        in_one_piece,
        in_one_byte_chunks,
        endless_chunks,
        many_short_fields,
        pipelined,
        half_a_head,
    ],
    ids=lambda item: item.__name__,
)
def test_ready_listener(machines, scenario):
    """Guards against calls of the platform that exhaust an entry instance."""
    run_scenario(
        machines,
        machines.entry_ip,
        ENTRY_LIMITS,
        machines.ready,
        lambda: scenario("/v1/ready"),
        lambda: ordinary_request(machines.front),
        COUNTS.get(scenario.__name__, CLIENT_COUNT),
    )


@pytest.mark.parametrize("scenario", [in_one_piece, endless_chunks, half_a_head])
def test_control_listener(machines, scenario):
    """Guards against control calls that exhaust a control instance."""
    run_scenario(
        machines,
        machines.control_ip,
        CONTROL_LIMITS,
        machines.control,
        lambda: scenario("/v1/rpc?call=config.put"),
        lambda: fetch(machines.directory, "/v1/resolve"),
    )
