"""Clients that read slowly, send ahead or misbehave, on connections of their own."""

import asyncio
import random
import socket
import time
import zlib
from collections.abc import Awaitable, Callable, Iterator
from contextlib import suppress

from .ledger import Ledger, SentRequest

__all__ = ["RawClients", "download_body"]

DOWNLOAD_RANGE_BYTES = (100_000, 600_000)
# Buffers of a slow client hold little, so that it keeps the instance from writing.
RECEIVE_BUFFER_BYTES = 16_384
# A slow client takes up to 3 s for 600 kB, longer than the deadline of the request.
SLOW_PAUSE_S = 0.08
SLOW_RATIO = 0.6
TALK_LIMIT_S = 12.0
MISBEHAVIOUR_S = 2.5
Answer = tuple[int, dict[str, str], bytes]
Talk = Callable[[str, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def download_body(request_id: str) -> bytes:
    """Return the body with which servers answer a download."""
    least, most = DOWNLOAD_RANGE_BYTES
    size_bytes = least + zlib.crc32(request_id.encode()) % (most - least)
    start = f"{request_id} 0 ".encode()
    return start + random.Random(request_id).randbytes(size_bytes - len(start))


class RawClients:
    """Clients of one run, with a random generator of their own.

    Requests that are not complete are not recorded as sent, so it is a violation if a
    server runs one.

    `draw_headers` returns the headers with the key of a request, given its id and
    whether it has to be inside the quota of its organisation.
    """

    def __init__(
        self,
        seed: int,
        ledger: Ledger,
        numbers: Iterator[int],
        draw_address: Callable[[random.Random], tuple[str, int]],
        draw_headers: Callable[[str, bool], dict[str, str]],
    ) -> None:
        self._rng = random.Random(f"raw clients of {seed}")
        self._ledger = ledger
        self._numbers = numbers
        self._draw_address = draw_address
        self._draw_headers = draw_headers

    async def download(self) -> None:
        """Get one download, slowly or at once, and check its body."""
        pause_s = SLOW_PAUSE_S if self._rng.random() < SLOW_RATIO else 0.0

        async def talk(
            ip: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            request_id, head = self._request(ip, "/d/")
            writer.write(head)
            answer = await _read_answer(reader, pause_s)
            self._record(request_id, answer)
            self._ledger.check_download(
                request_id, answer[0], answer[2], download_body(request_id)
            )

        await self._connect(talk)

    async def send_ahead(self) -> None:
        """Send 2 to 4 requests at once, a few times, and check the responses."""

        async def talk(
            ip: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            for _ in range(self._rng.randint(1, 4)):
                requests = [
                    self._request(ip, "/s/") for _ in range(self._rng.randint(2, 4))
                ]
                writer.write(b"".join(head for _, head in requests))
                for number, (request_id, _) in enumerate(requests, 1):
                    answer = await _read_answer(reader)
                    self._record(request_id, answer)
                    if answer[1].get("connection", "").lower() == "close":
                        for behind, _ in requests[number:]:
                            self._ledger.record_behind_close(behind)
                        return

        await self._connect(talk)

    async def misbehave(self) -> None:
        """Stop a body one byte short, send it byte by byte, or read nothing."""
        kind = self._rng.choice(("short", "bytes", "deaf"))

        async def talk(
            ip: str, _: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            end_s = time.monotonic() + MISBEHAVIOUR_S
            if kind == "deaf":
                for _ in range(4):
                    writer.write(self._request(ip, "/d/")[1])
            elif kind == "short":
                size_bytes = self._rng.choice((200, 60_000, 2_000_000))
                line = f"Content-Length: {size_bytes}"
                writer.write(self._request(ip, "/a/", line)[1])
                writer.write(b"x" * (size_bytes - 1))
            else:
                line = "Transfer-Encoding: chunked"
                writer.write(self._request(ip, "/a/", line)[1])
                while time.monotonic() < end_s:
                    writer.write(b"1\r\nx\r\n" * 20)
                    await writer.drain()
                    await asyncio.sleep(0.005)
            await asyncio.sleep(end_s - time.monotonic())

        await self._connect(talk)

    def _request(self, ip: str, prefix: str, line: str = "") -> tuple[str, bytes]:
        """Return a new request; it is recorded as sent if it is complete."""
        request_id = f"w-{next(self._numbers)}"
        path = f"{prefix}{request_id}"
        if not line:
            self._ledger.sent[request_id] = SentRequest("GET", path, b"")
            self._ledger.sent_to[request_id] = (ip, time.monotonic())
        headers = {
            "Host": "soak.example",
            "Cardamomrun-Attempt-Id": request_id,
            "Cardamomrun-Deadline-Ms": "1500",
        }
        headers |= self._draw_headers(request_id, prefix != "/s/")
        lines = [f"{'POST' if line else 'GET'} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines += [line] if line else []
        return request_id, "\r\n".join([*lines, "", ""]).encode()

    def _record(self, request_id: str, answer: Answer) -> None:
        status, headers, body = answer
        echo = headers.get("cardamomrun-attempt-id", "")
        if echo not in ("", request_id):
            self._ledger.record_violation(
                f"the response to {request_id} has the id {echo}"
            )
        self._ledger.record_answer(request_id, status, body, echo)

    async def _connect(self, talk: Talk) -> None:
        """Talk over a new connection, and bear its end: faults cut connections."""
        ip, port = self._draw_address(self._rng)
        connection = socket.socket()
        connection.setblocking(False)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        writer = None
        with suppress(OSError, EOFError, TimeoutError):
            async with asyncio.timeout(TALK_LIMIT_S):
                loop = asyncio.get_running_loop()
                await loop.sock_connect(connection, (ip, port))
                reader, writer = await asyncio.open_connection(
                    sock=connection, limit=RECEIVE_BUFFER_BYTES
                )
                await talk(ip, reader, writer)
        if writer is None:
            connection.close()
        else:
            writer.transport.abort()


async def _read_answer(reader: asyncio.StreamReader, pause_s: float = 0.0) -> Answer:
    """Return status, headers and body of a response, which is complete."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
    first, *lines = head.strip().split("\r\n")
    pairs = (line.partition(":") for line in lines)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    status = int(first.split()[1])
    if "content-length" in headers:
        body = await _read_bytes(reader, int(headers["content-length"]), pause_s)
    elif headers.get("transfer-encoding") == "chunked":
        body = b""
        while size_bytes := int(await reader.readuntil(b"\r\n"), 16):
            body += await _read_bytes(reader, size_bytes, pause_s)
            await reader.readexactly(2)
        await reader.readexactly(2)
    else:
        body = b"" if status in (204, 304) else await reader.read()
    return status, headers, body


async def _read_bytes(
    reader: asyncio.StreamReader, size_bytes: int, pause_s: float
) -> bytes:
    body = bytearray()
    while len(body) < size_bytes:
        body += await reader.readexactly(
            min(RECEIVE_BUFFER_BYTES, size_bytes - len(body))
        )
        await asyncio.sleep(pause_s)
    return bytes(body)
