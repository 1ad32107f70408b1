"""Connections to backend servers, kept between requests."""

import re

from tornado.httputil import HTTPHeaders

from cardamomrun_base.clock import MS_PER_S, Clock
from cardamomrun_base.settings import GatewaySettings
from cardamomrun_gateway import metrics
from cardamomrun_gateway.fleet_load import FleetLoad, Server
from cardamomrun_requests.upstream import UpstreamConnection, open_stream

__all__ = ["FRESH_MS", "ServerConnections"]

# Connecting takes a few milliseconds. A lost SYN is sent again after a second, by
# when another server has answered.
CONNECT_TIMEOUT_MS = 200.0
# A server, or something on the way, may forget an idle connection within a few tenths
# of a second, and whatever is sent then is lost: requests that may run once use only
# connections that were just in use. A new one takes a few milliseconds.
FRESH_MS = 100.0
# Part of the server's own idle time after which a connection is not used any more.
KEEP_ALIVE_RATIO = 0.5
KEEP_ALIVE = re.compile(r"timeout=(\d+)")


class ServerConnections:
    """Idle connections by server; a connection serves one request at a time."""

    def __init__(
        self, settings: GatewaySettings, clock: Clock, load: FleetLoad
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._load = load
        self._idle: dict[int, list[_Idle]] = {}

    async def take(self, server: Server, *, is_idempotent: bool) -> UpstreamConnection:
        """Return a connection. Raises `ConnectError`; no byte of a request left."""
        held = self._idle.get(server.key, [])
        now_ms = self._clock.now_ms()
        while held:
            idle = held.pop()
            limit_ms = idle.limit_ms if is_idempotent else min(FRESH_MS, idle.limit_ms)
            if now_ms - idle.since_ms <= limit_ms and idle.connection.usable():
                idle.connection.rested_ms = now_ms - idle.since_ms
                return idle.connection
            idle.connection.close()
        stream = await open_stream(server.body.address, CONNECT_TIMEOUT_MS)
        metrics.CONNECTIONS.labels(server.body.service).inc()
        return UpstreamConnection(stream)

    def release(
        self, server: Server, connection: UpstreamConnection, headers: HTTPHeaders
    ) -> None:
        """Keep a connection whose answer was whole; close any other."""
        if not connection.reusable() or not self._load.is_current(server):
            connection.close()
            return
        connection.reused = True
        limit_ms = float(self._settings.connection_idle_ms)
        stated = KEEP_ALIVE.search(headers.get("Keep-Alive", ""))
        if stated is not None:
            stated_ms = int(stated[1]) * MS_PER_S * KEEP_ALIVE_RATIO
            limit_ms = min(limit_ms, stated_ms)
        idle = _Idle(connection, self._clock.now_ms(), limit_ms)
        self._idle.setdefault(server.key, []).append(idle)

    def sweep(self) -> None:
        """Close connections that were idle for long or that ended."""
        now_ms = self._clock.now_ms()
        for key, held in list(self._idle.items()):
            kept = []
            for idle in held:
                is_old = now_ms - idle.since_ms > idle.limit_ms
                if is_old or not idle.connection.usable():
                    idle.connection.close()
                else:
                    kept.append(idle)
            if kept:
                self._idle[key] = kept
            else:
                del self._idle[key]

    def close(self) -> None:
        """Close all idle connections."""
        for held in self._idle.values():
            for idle in held:
                idle.connection.close()
        self._idle.clear()


class _Idle:
    def __init__(
        self, connection: UpstreamConnection, since_ms: float, limit_ms: float
    ) -> None:
        self.connection = connection
        self.since_ms = since_ms
        self.limit_ms = limit_ms
