"""Limits that backend servers state for the requests of the whole fleet.

A server that needs relief states in its responses how many requests a second it accepts
from all instances together. The statement is a replicated record, so all instances know
it soon after the first response, and an instance that starts gets it with its snapshot.
For each such server one instance is the granter: an attempt needs one of its permits.
"""

import math

import xxhash

from cardamomrun_base.clock import Clock
from cardamomrun_base.interfaces import Fleet
from cardamomrun_base.logs import ComponentLog
from cardamomrun_base.model import (
    MemberBody,
    MemberPhase,
    RateLimitBody,
    Record,
    RecordKind,
    ServerId,
)
from cardamomrun_base.settings import Role
from cardamomrun_gateway.fleet_load import FleetLoad, Server
from cardamomrun_gateway.rate_limit import PermitBucket, StatedLimit

__all__ = ["ServerLimits", "parse_limit"]

# A limit that no response has confirmed for this long is forgotten.
LIMIT_LIFETIME_MS = 60_000
# An instance that sees an older limit confirmed publishes it again.
CONFIRM_INTERVAL_MS = 15_000.0
# A lower limit would leave no request to show that it has ended.
MIN_LIMIT_PER_S = 0.1
# An instance whose reports have not arrived for this long is no granter.
SILENT_GRANTER_MS = 1_000.0
REFRESH_MS = 250.0

_log = ComponentLog("limits")


class ServerLimits:
    """Keeps `Server.limit` of all servers up to date, with its granter."""

    def __init__(self, clock: Clock, fleet: Fleet, load: FleetLoad) -> None:
        self._clock = clock
        self._fleet = fleet
        self._load = load
        self._refreshed_ms = float("-inf")
        self._limited: dict[ServerId, Server] = {}
        fleet.store.subscribe(RecordKind.RATE_LIMIT, self._on_record)
        # Subscribed after `load`, which then knows the server.
        fleet.store.subscribe(RecordKind.ROUTED_SERVER, self._on_server)
        for record in fleet.store.all(RecordKind.RATE_LIMIT):
            self._on_record(record)

    def record_response(
        self,
        server: Server,
        limit_per_s: float | None,
        started_ms: float,
        *,
        is_success: bool,
    ) -> None:
        """Record the limit that a server stated in a response, or that it stated none.

        Only a successful response to an attempt that started after the limit was last
        stated shows that the limit has ended.
        """
        now_ms = self._clock.now_ms()
        known = server.limit
        if limit_per_s is None:
            if known is not None and is_success and started_ms > known.confirmed_ms:
                self._publish(server, None)
            return
        if known is None or known.per_s != limit_per_s:
            self._publish(server, limit_per_s)
            return
        known.confirmed_ms = now_ms
        if now_ms - known.published_ms > CONFIRM_INTERVAL_MS:
            self._publish(server, limit_per_s)

    def refresh(self) -> None:
        """Update limits and granters if the last time was `REFRESH_MS` ago."""
        now_ms = self._clock.now_ms()
        if now_ms - self._refreshed_ms < REFRESH_MS:
            return
        self._refreshed_ms = now_ms
        records = self._fleet.store.all(RecordKind.RATE_LIMIT)
        listed = {record.key for record in records}
        for server in [s for key, s in self._limited.items() if key not in listed]:
            self._end(server, "not confirmed")
        if records:
            granters = self._possible_granters()
            for record in records:
                self._apply(record, granters, is_new=False)

    def _publish(self, server: Server, limit_per_s: float | None) -> None:
        body = server.body
        held = self._fleet.store.get(RecordKind.RATE_LIMIT, body.server_id)
        counter = 1
        if held is not None and held.epoch == body.incarnation:
            counter = held.counter + 1
        self._fleet.store.put(
            Record.from_content(
                RecordKind.RATE_LIMIT,
                body.server_id,
                self._fleet.instance_id,
                (body.incarnation, counter),
                RateLimitBody(body.server_id, body.incarnation, limit_per_s),
                LIMIT_LIFETIME_MS,
            )
        )

    def _on_server(self, record: Record) -> None:
        limit_record = self._fleet.store.get(RecordKind.RATE_LIMIT, record.key)
        if limit_record is not None:
            self._on_record(limit_record)

    def _on_record(self, record: Record) -> None:
        self._apply(record, self._possible_granters(), is_new=True)

    def _apply(
        self, record: Record, granters: list[MemberBody], *, is_new: bool
    ) -> None:
        body: RateLimitBody = record.content
        server = self._load.get(body.server_id)
        if server is None or server.body.incarnation != body.incarnation:
            return
        if body.limit_per_s is None:
            self._end(server, "stated no more")
            return
        now_ms = self._clock.now_ms()
        limit = server.limit
        if limit is None or limit.per_s != body.limit_per_s:
            _log.info(
                "a backend server states a limit",
                server_id=body.server_id,
                service=server.body.service,
                per_s=body.limit_per_s,
                told_by="own"
                if record.owner_id == self._fleet.instance_id
                else "others",
            )
        if limit is None:
            limit = server.limit = StatedLimit(body.limit_per_s, now_ms, now_ms)
            self._limited[body.server_id] = server
        limit.per_s = body.limit_per_s
        if is_new:
            limit.confirmed_ms = limit.published_ms = now_ms
        self._set_granter(server, limit, granters)

    def _set_granter(
        self, server: Server, limit: StatedLimit, granters: list[MemberBody]
    ) -> None:
        domain = server.body.failure_domain
        candidates = [m for m in granters if m.failure_domain == domain] or granters
        granter = max(
            candidates, key=lambda member: _granter_rank(server, member), default=None
        )
        is_own = granter is not None and granter.instance_id == self._fleet.instance_id
        if is_own and limit.bucket is None:
            limit.bucket = PermitBucket(self._clock.now_ms())
        elif not is_own:
            limit.bucket = None
        limit.granter = granter

    def _possible_granters(self) -> list[MemberBody]:
        """Return the entry instances that serve and whose reports arrive."""
        oldest_ms = self._clock.now_ms() - SILENT_GRANTER_MS
        return [
            member
            for member in self._fleet.members()
            if member.phase is MemberPhase.SERVING
            and Role.ENTRY in member.roles
            and (
                member.instance_id == self._fleet.instance_id
                or (self._load.last_seen_ms(member.instance_id) or 0.0) >= oldest_ms
            )
        ]

    def _end(self, server: Server, cause: str) -> None:
        self._limited.pop(server.body.server_id, None)
        if server.limit is None:
            return
        server.limit = None
        _log.info(
            "the limit of a backend server has ended",
            server_id=server.body.server_id,
            service=server.body.service,
            cause=cause,
        )


def parse_limit(text: str | None) -> float | None:
    """Return the requests a second that a response header states; None if invalid.

    >>> parse_limit("2.5"), parse_limit("0"), parse_limit("nan"), parse_limit(None)
    (2.5, 0.1, None, None)
    """
    try:
        limit_per_s = float(text or "")
    except ValueError:
        return None
    if not math.isfinite(limit_per_s) or limit_per_s < 0:
        return None
    return max(MIN_LIMIT_PER_S, limit_per_s)


def _granter_rank(server: Server, member: MemberBody) -> int:
    text = f"{server.body.server_id}\0{member.instance_id}"
    return xxhash.xxh32_intdigest(text.encode())
