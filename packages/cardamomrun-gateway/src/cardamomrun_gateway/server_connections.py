"""Pool of connections to backend servers."""

import re

from tornado.httputil import HTTPHeaders

from cardamomrun_base.clock import MS_PER_S, Clock
from cardamomrun_base.settings import GatewaySettings
from cardamomrun_fleet.traffic import TrafficMeter
from cardamomrun_gateway import metrics
from cardamomrun_gateway.fleet_load import FleetLoad, Server
from cardamomrun_gateway.link_queue import LinkQueue
from cardamomrun_requests.upstream import UpstreamConnection

__all__ = ["NON_IDEMPOTENT_IDLE_MS", "ServerConnections"]

# Connecting takes a few milliseconds. A lost SYN is sent again only after a second, and
# by then another server has answered.
CONNECT_TIMEOUT_MS = 200.0
# A server or a middlebox may drop an idle connection within a few tenths of a second,
# and what is sent then is lost. So non-idempotent requests reuse only connections with
# a shorter idle time; a new connection takes a few milliseconds.
NON_IDEMPOTENT_IDLE_MS = 100.0
# Share of the server's stated idle timeout after which a connection is not reused.
KEEP_ALIVE_RATIO = 0.5
KEEP_ALIVE = re.compile(r"timeout=(\d+)")


class ServerConnections:
    """Keeps idle connections by server; a connection serves one request at a time."""

    def __init__(
        self,
        settings: GatewaySettings,
        clock: Clock,
        load: FleetLoad,
        link: LinkQueue,
        meter: TrafficMeter,
    ) -> None:
        self.meter = meter
        self._link = link
        self._settings = settings
        self._clock = clock
        self._load = load
        self._idle: dict[int, list[_IdleConnection]] = {}

    async def acquire(
        self, server: Server, *, is_idempotent: bool
    ) -> UpstreamConnection:
        """Return a kept or a new connection.

        Raises `ConnectError`; nothing of the request was sent then.
        """
        pool = self._idle.get(server.key, [])
        now_ms = self._clock.now_ms()
        while pool:
            idle = pool.pop()
            limit_ms = (
                idle.limit_ms
                if is_idempotent
                else min(NON_IDEMPOTENT_IDLE_MS, idle.limit_ms)
            )
            if now_ms - idle.since_ms <= limit_ms and idle.connection.usable():
                idle.connection.idle_ms = now_ms - idle.since_ms
                return idle.connection
            idle.connection.close()
        stream = await self._link.connect(server.body.address, CONNECT_TIMEOUT_MS)
        metrics.CONNECTIONS.labels(server.body.service).inc()
        return UpstreamConnection(stream)

    def release(
        self, server: Server, connection: UpstreamConnection, headers: HTTPHeaders
    ) -> None:
        """Keep a connection that can be reused; close any other.

        `headers` are those of the response, with the server's idle timeout.
        """
        failure_domain = server.body.failure_domain
        self.meter.count_server_exchange(failure_domain, *connection.take_byte_counts())
        if not connection.reusable() or not self._load.is_current(server):
            connection.close()
            return
        connection.reused = True
        limit_ms = float(self._settings.connection_idle_ms)
        stated = KEEP_ALIVE.search(headers.get("Keep-Alive", ""))
        if stated is not None:
            stated_ms = int(stated[1]) * MS_PER_S * KEEP_ALIVE_RATIO
            limit_ms = min(limit_ms, stated_ms)
        idle = _IdleConnection(connection, self._clock.now_ms(), limit_ms)
        self._idle.setdefault(server.key, []).append(idle)

    def close_idle(self, server: Server) -> None:
        """Close the idle connections to a server."""
        for idle in self._idle.pop(server.key, ()):
            idle.connection.close()

    def sweep(self) -> None:
        """Close connections that were idle for too long or that ended."""
        now_ms = self._clock.now_ms()
        for key, pool in list(self._idle.items()):
            kept = []
            for idle in pool:
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
        for pool in self._idle.values():
            for idle in pool:
                idle.connection.close()
        self._idle.clear()


class _IdleConnection:
    def __init__(
        self, connection: UpstreamConnection, since_ms: float, limit_ms: float
    ) -> None:
        self.connection = connection
        self.since_ms = since_ms
        self.limit_ms = limit_ms
