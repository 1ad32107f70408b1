"""What backend servers say of themselves in responses: that they leave, or want a pause.

An instance that gets such a response obeys it at once: it stops using that run of the
server for good, whatever announcements follow, or sends it nothing until the pause is
over. It also tells the other entry instances, which avoid the server as long as enough
others are left: what an instance has only heard of is no proof, and may not take a
service below its floor.
"""

import math

import cbor2
from tornado.httputil import HTTPHeaders

from cardamomrun_base.clock import MS_PER_S, Clock
from cardamomrun_base.headers import RETRY_AFTER, GatewayHeaders
from cardamomrun_base.interfaces import Fleet
from cardamomrun_base.logs import ComponentLog
from cardamomrun_base.settings import Role
from cardamomrun_gateway import metrics
from cardamomrun_gateway.fleet_load import FleetLoad, Server
from cardamomrun_gateway.load_reports import LoadReports
from cardamomrun_gateway.report_relays import Address, address_of
from cardamomrun_gateway.server_connections import ServerConnections

__all__ = ["ServerNotices", "parse_retry_after"]

# Older instances ignore datagrams of a kind that they don't know.
NOTICE = b"\x0c"
# Value of the header by which a server says that it leaves.
IS_LEAVING = "1"
STATUS_UNAVAILABLE = 503
# How much of a malformed header value is logged.
LOGGED_CHARS = 40

_log = ComponentLog("load")


class ServerNotices:
    """Obeys what servers say of themselves, and tells other instances."""

    def __init__(
        self,
        clock: Clock,
        header_names: GatewayHeaders,
        fleet: Fleet,
        load: FleetLoad,
        connections: ServerConnections,
        reports: LoadReports,
    ) -> None:
        self._clock = clock
        self._header_names = header_names
        self._fleet = fleet
        self._load = load
        self._connections = connections
        self._reports = reports
        reports.add_handler(NOTICE, self._on_notice)

    def record_response(
        self, server: Server, status: int, headers: HTTPHeaders
    ) -> bool:
        """Obey the head of a response; return True if it asks for a pause."""
        self._record_departure(server, headers)
        return status == STATUS_UNAVAILABLE and self._record_pause(server, headers)

    def record_relayed_response(
        self, server_id: str, incarnation: int, headers: HTTPHeaders
    ) -> None:
        """Obey the head of a response that another instance passed on."""
        server = self._load.get(server_id)
        if server is not None and server.body.incarnation == incarnation:
            self._record_departure(server, headers)

    def _record_departure(self, server: Server, headers: HTTPHeaders) -> None:
        stated = headers.get(self._header_names.leaving, "").strip()
        if stated != IS_LEAVING or not self._load.retire(server):
            return
        self._connections.close_idle(server)
        metrics.SERVER_NOTICES.labels(server.body.service, "leaves", "own").inc()
        _log.info(
            "a backend server says that it leaves",
            server_id=server.body.server_id,
            service=server.body.service,
            incarnation=server.body.incarnation,
        )
        self._tell_others(server, math.inf)

    def _record_pause(self, server: Server, headers: HTTPHeaders) -> bool:
        stated = headers.get(RETRY_AFTER)
        if stated is None:
            return False
        pause_s = parse_retry_after(headers)
        if pause_s is None:
            _log.warning(
                "a backend server asks for a pause that is no number of seconds",
                server_id=server.body.server_id,
                retry_after=stated[:LOGGED_CHARS],
            )
        if not pause_s:
            return False
        now_ms, pause_ms = self._clock.now_ms(), pause_s * MS_PER_S
        server.pause.ask(now_ms, pause_ms)
        metrics.SERVER_NOTICES.labels(server.body.service, "pauses", "own").inc()
        _log.info(
            "a backend server asks for a pause",
            server_id=server.body.server_id,
            service=server.body.service,
            pause_s=pause_s,
        )
        if not server.is_avoided(now_ms):
            server.avoided_until_ms = now_ms + pause_ms
            self._tell_others(server, pause_ms)
        return True

    def _tell_others(self, server: Server, duration_ms: float) -> None:
        data = NOTICE + cbor2.dumps([server.key, duration_ms])
        for member in self._fleet.members():
            if (
                Role.ENTRY in member.roles
                and member.instance_id != self._fleet.instance_id
            ):
                self._reports.send(data, address_of(member.peer_address))

    def _on_notice(self, body: bytes, sender: Address) -> None:
        key, duration_ms = _decode_notice(body)
        server = self._load.by_key(key)
        now_ms = self._clock.now_ms()
        if server is None or server.avoided_until_ms >= now_ms + duration_ms:
            return
        server.avoided_until_ms = now_ms + duration_ms
        notice = "leaves" if math.isinf(duration_ms) else "pauses"
        metrics.SERVER_NOTICES.labels(server.body.service, notice, "others").inc()
        _log.info(
            f"another instance says that a backend server {notice}",
            server_id=server.body.server_id,
            service=server.body.service,
            told_by=sender[0],
        )


def parse_retry_after(headers: HTTPHeaders) -> float | None:
    """Return the seconds of a Retry-After header, or None without a valid one.

    >>> parse_retry_after(HTTPHeaders({"Retry-After": "0.5"}))
    0.5
    """
    try:
        retry_after_s = float(headers[RETRY_AFTER])
    except (KeyError, ValueError):
        return None
    is_valid = math.isfinite(retry_after_s) and retry_after_s >= 0
    return retry_after_s if is_valid else None


def _decode_notice(body: bytes) -> tuple[int, float]:
    """Return the key of a server and for how long to avoid it, in ms."""
    try:
        key, duration_ms = cbor2.loads(body)
    except (cbor2.CBORError, TypeError, ValueError) as error:
        raise ValueError(f"not a notice of a server: {error}") from error
    if not isinstance(key, int) or not isinstance(duration_ms, (int, float)):
        raise ValueError("not a notice of a server")
    if math.isnan(duration_ms):
        raise ValueError("a notice of a server without a time")
    return key, float(duration_ms)
