"""A stand-in backend server that may name a limit for its requests."""

import asyncio
import re
import time

__all__ = ["LimitedServer"]

ID_LINE = re.compile(rb"Cardamomrun-Attempt-Id: ([^\r]+)")
EXPECTED_LINE = re.compile(rb"Cardamomrun-Expect-Instance: ([^\r]+)")


class LimitedServer:
    """Answers each request after `service_time_s` and records when it arrived.

    While `limit` is not None, each answer names it in `Server-Limit`.
    """

    def __init__(self, server_id, limit=None, service_time_s=0.08):
        self.server_id = server_id
        self.limit = limit
        self.arrivals_s = []
        self.first_named_s = None
        self.service_time_s = service_time_s

    async def start(self):
        """Listen on a free loopback port and return it."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self._server.sockets[0].getsockname()[1]

    def stop(self):
        self._server.close()

    def most_arrivals(self, window_s, from_s):
        """Return the largest number of arrivals within any window from a time on."""
        times_s = [at_s for at_s in self.arrivals_s if at_s >= from_s]
        return max(
            (
                sum(start_s <= at_s < start_s + window_s for at_s in times_s)
                for start_s in times_s
            ),
            default=0,
        )

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.arrivals_s.append(time.monotonic())
                assert EXPECTED_LINE.search(head)[1] == self.server_id.encode()
                await asyncio.sleep(self.service_time_s)
                writer.write(self._answer(ID_LINE.search(head)[1]))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def _answer(self, request_id):
        limit_line = b""
        if self.limit is not None:
            limit_line = b"Server-Limit: %b\r\n" % str(self.limit).encode()
            self.first_named_s = self.first_named_s or time.monotonic()
        return (
            b"HTTP/1.1 200 OK\r\nCardamomrun-Attempt-Id: %b\r\n"
            b"Cardamomrun-Response-Seal: seal\r\n%bContent-Length: 2\r\n\r\nok"
            % (request_id, limit_line)
        )
