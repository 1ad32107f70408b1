"""A TCP relay in front of peer listeners that can stop one direction of the traffic.

A node that advertises the relay's address is reached through it. The opener of a link
is learnt from its first message, so that traffic can be cut by pairs of instances.
"""

import asyncio
import contextlib
from collections.abc import Iterable

from cardamomrun_base.codec import decode
from cardamomrun_fleet.credentials import Hello

__all__ = ["Relays"]

CHUNK_BYTES = 65_536
LENGTH_OF_2_BYTES, LENGTH_OF_8_BYTES = 126, 127


class Relays:
    """Relays of one group of nodes, and the directions that are cut.

    Bytes in a cut direction wait, as they do in a TCP connection whose packets are
    lost, and arrive late once the cut is healed.
    """

    def __init__(self) -> None:
        self._cuts: set[tuple[str, str]] = set()
        self._changed = asyncio.Event()
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

    def cut(self, senders: Iterable[str], receivers: Iterable[str]) -> None:
        """Stop all that goes from any of `senders` to any of `receivers`."""
        receivers = list(receivers)
        self._cuts |= {(one, other) for one in senders for other in receivers}

    def heal(self) -> None:
        """Pass everything on again."""
        self._cuts.clear()
        self._changed.set()
        self._changed = asyncio.Event()

    async def _relay(
        self,
        name: str,
        target: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        host, port = target.rsplit(":", 1)
        onward_reader, onward_writer = await asyncio.open_connection(host, int(port))
        opener = _Opener()
        pumps = [
            asyncio.create_task(self._pump(reader, onward_writer, opener, name, True)),
            asyncio.create_task(self._pump(onward_reader, writer, opener, name, False)),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()
            await asyncio.gather(*pumps, return_exceptions=True)
            onward_writer.transport.abort()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        opener: "_Opener",
        name: str,
        inward: bool,
    ) -> None:
        while chunk := await reader.read(CHUNK_BYTES):
            if inward and not opener.name:
                opener.take(chunk)
            while self._is_cut(opener.name, name, inward):
                await self._changed.wait()
            writer.write(chunk)
            await writer.drain()
        # A close does not pass through a cut either.
        while self._is_cut(opener.name, name, inward):
            await self._changed.wait()

    def _is_cut(self, opener: str, listener: str, inward: bool) -> bool:
        pair = (opener, listener) if inward else (listener, opener)
        return pair in self._cuts


class _Opener:
    """Finds the instance id in the first websocket message of a connection."""

    def __init__(self) -> None:
        self.name = ""
        self._data = b""

    def take(self, chunk: bytes) -> None:
        self._data += chunk
        _, separator, frame = self._data.partition(b"\r\n\r\n")
        if not separator or len(frame) < 2:
            return
        length, start = frame[1] & 0x7F, 2
        if length == LENGTH_OF_2_BYTES:
            length, start = int.from_bytes(frame[2:4], "big"), 4
        assert length != LENGTH_OF_8_BYTES, "the first message is longer than a hello"
        mask, masked = frame[start : start + 4], frame[start + 4 :]
        if len(masked) < length:
            return
        payload = bytes(b ^ mask[i % 4] for i, b in enumerate(masked[:length]))
        hello = decode(payload)
        assert isinstance(hello, Hello)
        self.name = hello.instance_id
