"""Backend servers that end under the request they run, each in its own way."""

import asyncio
import socket

from cardamomrun_bench.scripted_server import ScriptedServer, Step

from .builders import response

RUN_S = 0.02


class EndingServer(ScriptedServer):
    """Serves "good" requests; its process ends on any other."""

    def __init__(self):
        super().__init__([Step(response())])
        self.ended = asyncio.Event()

    async def _handle_request(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        if b"/good" in head:
            writer.write(response())
            return True
        self.heads.append(head)
        await asyncio.sleep(RUN_S)
        await self.end(writer)
        self.ended.set()
        await reader.read()
        return False

    async def end(self, writer):
        """Close the listener and reset the connection."""
        self.stop()
        writer.transport.abort()


class EndsAfterHead(EndingServer):
    """Ends after the head and the first bytes of its response."""

    async def end(self, writer):
        writer.write(response(b"whole")[:-2])
        await writer.drain()
        await asyncio.sleep(RUN_S)
        await super().end(writer)


class EndsAndIsBack(EndingServer):
    """Ends, and its next boot listens at the address before anyone can notice."""

    async def end(self, writer):
        writer.transport.abort()


class FallsSilent(EndingServer):
    """Its machine stops: connections stay open, new ones get no answer."""

    fillers = ()

    async def start(self):
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._server = await asyncio.start_server(
            self._handle_connection, sock=self._listener
        )
        self._writers = []
        self.body_reading_enabled.set()
        return self._listener.getsockname()[1]

    async def end(self, writer):
        """Fill the listener's queue, so that the kernel drops further SYNs."""
        asyncio.get_running_loop().remove_reader(self._listener)
        self._listener.listen(0)
        self.fillers = [socket.socket() for _ in range(4)]
        for filler in self.fillers:
            filler.setblocking(False)
            filler.connect_ex(self._listener.getsockname())

    def stop(self):
        for filler in self.fillers:
            filler.close()
        super().stop()
