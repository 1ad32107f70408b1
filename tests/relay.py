"""A TCP relay whose open connections can be made silent without closing them."""

import asyncio
from contextlib import suppress
from enum import Flag, auto

__all__ = ["Direction", "Relay"]

CHUNK_BYTES = 65_536


class Direction(Flag):
    """Directions of a connection, as seen from its client."""

    REQUESTS = auto()
    ANSWERS = auto()


class _Connection:
    def __init__(self) -> None:
        self.dropped = Direction(0)
        self.writers: list[asyncio.StreamWriter] = []


class Relay:
    """Forwards connections on `host`, at a free port, to `target` (`host:port`)."""

    def __init__(self, host: str, target: str) -> None:
        self.address = ""
        self._host = host
        self._target = target
        self._open: set[_Connection] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def connection_count(self) -> int:
        """Number of connections that are open, silent ones too."""
        return len(self._open)

    async def start(self) -> None:
        """Open the listener and set `address`."""
        self._server = await asyncio.start_server(self._accept, self._host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{self._host}:{port}"

    def silence(self, dropped: Direction) -> None:
        """Drop all data of these directions on the connections open now."""
        for connection in self._open:
            connection.dropped = dropped

    def reset(self) -> None:
        """Reset the connections open now."""
        for connection in self._open:
            for writer in connection.writers:
                writer.transport.abort()

    def stop(self) -> None:
        """Close the listener and all connections."""
        self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.ensure_future(self._relay(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, port = self._target.rsplit(":", 1)
        connection = _Connection()
        writers = connection.writers
        writers.append(writer)
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
            writers.append(target_writer)
            self._open.add(connection)
            await asyncio.gather(
                _pump(reader, target_writer, connection, Direction.REQUESTS),
                _pump(target_reader, writer, connection, Direction.ANSWERS),
            )
        except OSError:
            pass
        finally:
            self._open.discard(connection)
            for one in writers:
                one.close()


async def _pump(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    connection: _Connection,
    direction: Direction,
) -> None:
    while data := await reader.read(CHUNK_BYTES):
        if direction not in connection.dropped:
            writer.write(data)
            await writer.drain()
    # The end of a dropped direction is not passed on either.
    if direction not in connection.dropped:
        with suppress(OSError):
            writer.write_eof()
