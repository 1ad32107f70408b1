"""A TCP relay that can drop the data of open connections without closing them."""

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
        self._connections: set[_Connection] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def connection_count(self) -> int:
        """Number of open connections, including those whose data is dropped."""
        return len(self._connections)

    async def start(self) -> None:
        """Open the listener and set `address`."""
        self._server = await asyncio.start_server(self._accept, self._host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{self._host}:{port}"

    def drop_data(self, dropped: Direction) -> None:
        """From now on drop these directions on all connections that are open now."""
        for connection in self._connections:
            connection.dropped = dropped

    def reset(self) -> None:
        """Abort all connections that are open now."""
        for connection in self._connections:
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
            self._connections.add(connection)
            await asyncio.gather(
                _pump(reader, target_writer, connection, Direction.REQUESTS),
                _pump(target_reader, writer, connection, Direction.ANSWERS),
            )
        except OSError:
            pass
        finally:
            self._connections.discard(connection)
            for open_writer in writers:
                open_writer.close()


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
    # The end of the stream of a dropped direction is not forwarded either.
    if direction not in connection.dropped:
        with suppress(OSError):
            writer.write_eof()
