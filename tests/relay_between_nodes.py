"""TCP relays in front of peer listeners that can block traffic in one direction.

Other nodes reach a node through the relay whose address it advertises. A relay reads
the opener of a link from its first message, so that traffic can be blocked by pairs of
instances.
"""

import asyncio
import contextlib
from collections.abc import Iterable

from cardamomrun_base.codec import decode
from cardamomrun_fleet.credentials import Hello

__all__ = ["Relays"]

CHUNK_BYTES = 65_536
LENGTH_IN_2_BYTES, LENGTH_IN_8_BYTES = 126, 127


class Relays:
    """Relays of one group of nodes, and the directions that are blocked.

    Bytes in a blocked direction wait, as in a TCP connection whose packets are lost,
    and arrive after `heal`.
    """

    def __init__(self) -> None:
        self._blocked: set[tuple[str, str]] = set()
        self._unblocked = asyncio.Event()
        self._servers: list[asyncio.Server] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> "Relays":
        return self

    async def __aexit__(self, *_: object) -> None:
        for server in self._servers:
            server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def listen(self, name: str, address: str, target: str) -> None:
        """Relay connections to `address` to the listener of `name` at `target`."""

        async def accept(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            task = asyncio.current_task()
            assert task is not None
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            with contextlib.suppress(OSError, asyncio.CancelledError):
                await self._relay(name, target, reader, writer)
            writer.transport.abort()

        host, port = address.rsplit(":", 1)
        self._servers.append(await asyncio.start_server(accept, host, int(port)))

    def block(self, senders: Iterable[str], receivers: Iterable[str]) -> None:
        """Block all data from any of `senders` to any of `receivers`."""
        receivers = list(receivers)
        self._blocked |= {
            (sender, receiver) for sender in senders for receiver in receivers
        }

    def heal(self) -> None:
        """Unblock all directions and forward the data that waited."""
        self._blocked.clear()
        self._unblocked.set()
        self._unblocked = asyncio.Event()

    async def _relay(
        self,
        name: str,
        target: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        host, port = target.rsplit(":", 1)
        target_reader, target_writer = await asyncio.open_connection(host, int(port))
        opener = _OpenerParser()
        pumps = [
            asyncio.create_task(self._pump(reader, target_writer, opener, name, True)),
            asyncio.create_task(self._pump(target_reader, writer, opener, name, False)),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()
            await asyncio.gather(*pumps, return_exceptions=True)
            target_writer.transport.abort()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        opener: "_OpenerParser",
        name: str,
        is_inbound: bool,
    ) -> None:
        while chunk := await reader.read(CHUNK_BYTES):
            if is_inbound and not opener.name:
                opener.feed(chunk)
            while self._is_blocked(opener.name, name, is_inbound):
                await self._unblocked.wait()
            writer.write(chunk)
            await writer.drain()
        # A close does not pass through a blocked direction either.
        while self._is_blocked(opener.name, name, is_inbound):
            await self._unblocked.wait()

    def _is_blocked(self, opener: str, listener: str, is_inbound: bool) -> bool:
        pair = (opener, listener) if is_inbound else (listener, opener)
        return pair in self._blocked


class _OpenerParser:
    """Parses the instance id of the opener from the first websocket message."""

    def __init__(self) -> None:
        self.name = ""
        self._data = b""

    def feed(self, chunk: bytes) -> None:
        """Add received bytes; set `name` once the message is complete."""
        self._data += chunk
        _, separator, frame = self._data.partition(b"\r\n\r\n")
        if not separator or len(frame) < 2:
            return
        length, start = frame[1] & 0x7F, 2
        if length == LENGTH_IN_2_BYTES:
            length, start = int.from_bytes(frame[2:4], "big"), 4
        assert length != LENGTH_IN_8_BYTES, "the first message is longer than a hello"
        mask, masked = frame[start : start + 4], frame[start + 4 :]
        if len(masked) < length:
            return
        payload = bytes(b ^ mask[i % 4] for i, b in enumerate(masked[:length]))
        hello = decode(payload)
        assert isinstance(hello, Hello)
        self.name = hello.instance_id
