"""A backend server that follows a script, for tests of the request path."""

import asyncio
import socket
import struct
from dataclasses import dataclass, field

__all__ = [
    "ReceivedResponse",
    "ScriptedServer",
    "Step",
    "free_port",
    "ok_response",
    "parse_response",
]


@dataclass
class Step:
    """How a scripted server handles one request.

    `then` says what happens to the connection after the response `data`: keep, close,
    reset or hang (wait until the client closes it). `early` responds before the body
    is read, `unread` before anything is read. The response waits for `release`.
    """

    data: bytes = b""
    connection_action: str = "keep"
    responds_before_body: bool = False
    responds_before_reading: bool = False
    response_released: asyncio.Event | None = None


def ok_response(body: bytes = b"ok") -> bytes:
    """Return a complete response with status 200."""
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


@dataclass
class ScriptedServer:
    """A raw-socket backend server that handles each request by the next step.

    The last step repeats. Records the heads and bodies of the requests received.
    Clearing `reading` pauses the reading of bodies.
    """

    steps: list[Step]
    server_id: str = "b1"
    heads: list[bytes] = field(default_factory=list)
    bodies: list[bytes] = field(default_factory=list)
    connection_count: int = 0
    closed_count: int = 0
    body_bytes: int = 0
    body_reading_enabled: asyncio.Event = field(default_factory=asyncio.Event)
    keep_bodies: bool = True

    async def start(self) -> int:
        """Listen on a free loopback port and return it."""
        self.body_reading_enabled.set()
        self._writers: list[asyncio.StreamWriter] = []
        self._server = await asyncio.start_server(
            self._handle_connection, "127.0.0.1", 0
        )
        return self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        self._server.close()

    def unsent_bytes(self) -> int:
        """Return the bytes in this process's write buffers."""
        return sum(item.transport.get_write_buffer_size() for item in self._writers)

    async def _handle_connection(self, reader, writer) -> None:
        self.connection_count += 1
        self._writers.append(writer)
        try:
            while await self._handle_request(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.closed_count += 1
            writer.close()

    async def _handle_request(self, reader, writer) -> bool:
        step = self.steps[min(len(self.heads), len(self.steps) - 1)]
        if not step.responds_before_reading:
            head = await reader.readuntil(b"\r\n\r\n")
            self.heads.append(head)
            if not step.responds_before_body:
                self.bodies.append(await self._read_body(reader, head))
        if step.response_released is not None:
            await step.response_released.wait()
        writer.write(step.data)
        await writer.drain()
        if step.connection_action == "hang":
            await reader.read()
        if step.connection_action == "reset":
            linger = struct.pack("ii", 1, 0)
            connection = writer.get_extra_info("socket")
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        return step.connection_action == "keep"

    async def _read_body(self, reader, head: bytes) -> bytes:
        fields = dict(
            line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:] if line
        )
        if b"transfer-encoding" not in fields:
            return await self._read(reader, int(fields.get(b"content-length", b"0")))
        parts = []
        while size := int(await reader.readline(), 16):
            parts.append(await self._read(reader, size))
            await reader.readexactly(2)
        await reader.readexactly(2)
        return b"".join(parts)

    async def _read(self, reader, size: int) -> bytes:
        parts = []
        while size:
            await self.body_reading_enabled.wait()
            part = await reader.read(min(size, 65_536))
            if not part:
                raise asyncio.IncompleteReadError(b"", size)
            size -= len(part)
            self.body_bytes += len(part)
            if self.keep_bodies:
                parts.append(part)
        return b"".join(parts)


@dataclass(frozen=True)
class ReceivedResponse:
    """A response as a client received it; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def outcome(self) -> str:
        return self.headers.get("cardamomrun-outcome", "")


def parse_response(data: bytes) -> ReceivedResponse:
    """Parse a response from all bytes received on a connection."""
    head, _, body = data.partition(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    fields = (line.split(": ", 1) for line in lines[1:])
    headers = {name.lower(): value for name, value in fields}
    return ReceivedResponse(int(lines[0].split()[1]), headers, body)


def free_port() -> int:
    """Return a loopback port that nothing listens on."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        return listener.getsockname()[1]
