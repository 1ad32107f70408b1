"""Blocks requests that crash the backend servers which run them."""

from enum import StrEnum

from cardamomrun_base.clock import Clock
from cardamomrun_base.interfaces import Fleet
from cardamomrun_base.logs import ComponentLog
from cardamomrun_base.model import CrashBody, Record, RecordKind
from cardamomrun_gateway import metrics
from cardamomrun_gateway.fleet_load import Server
from cardamomrun_requests.upstream import (
    ConnectError,
    ConnectRefusedError,
    open_stream,
)

__all__ = ["CrashGuard"]

# One crash may have another cause and proves nothing; waiting for a third one would
# cost the service another server.
CRASHES_TO_BLOCK = 2
# How long a request is blocked and its crashes are counted.
BLOCK_MS = 600_000
# The machine of a crashed server refuses a connection at once.
CONFIRM_TIMEOUT_MS = 200.0

_log = ComponentLog("crashes")


class Finding(StrEnum):
    """What a new connection to a backend server shows."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"


class CrashGuard:
    """Counts server crashes by the fingerprint of the request that the server ran.

    Crashes are replicated records, so all instances block the same requests. A crash
    counts if a connection ended before a response and the server refuses a new one.
    """

    def __init__(self, clock: Clock, fleet: Fleet) -> None:
        self._clock = clock
        self._fleet = fleet
        self._crashes: dict[str, dict[str, float]] = {}
        fleet.store.subscribe(RecordKind.CRASH, self._on_record)
        for record in fleet.store.all(RecordKind.CRASH):
            self._on_record(record)

    def is_blocked(self, fingerprint: str) -> bool:
        """Return True if enough servers crashed on it: `CRASHES_TO_BLOCK`."""
        crashes = self._crashes.get(fingerprint)
        if crashes is None:
            return False
        oldest_ms = self._clock.now_ms() - BLOCK_MS
        recent = {key: at_ms for key, at_ms in crashes.items() if at_ms > oldest_ms}
        if not recent:
            del self._crashes[fingerprint]
        return len(recent) >= CRASHES_TO_BLOCK

    async def check_crash(
        self, server: Server, fingerprint: str, client: str = ""
    ) -> None:
        """Publish a crash record if the server now refuses connections.

        `client` is the address of the request's client, for the log.
        """
        finding = await _connect(server)
        metrics.CRASH_CHECKS.labels(server.body.service, finding).inc()
        _log.info(
            f"checked a backend server that gave no response: {finding}",
            server_id=server.body.server_id,
            incarnation=server.body.incarnation,
            fingerprint=fingerprint,
            client=client,
        )
        # An unreachable server may be alive; only a refusal shows that it ended.
        if finding is Finding.REFUSED:
            self._publish(server, fingerprint)

    def _publish(self, server: Server, fingerprint: str) -> None:
        body = server.body
        _log.warning(
            "a backend server crashed while it ran a request",
            server_id=body.server_id,
            incarnation=body.incarnation,
            fingerprint=fingerprint,
        )
        crash = CrashBody(
            body.service,
            fingerprint,
            body.server_id,
            body.incarnation,
            self._fleet.instance_id,
        )
        key = f"{fingerprint}/{body.server_id}/{body.incarnation}"
        owner_id = self._fleet.instance_id
        self._fleet.store.put(
            Record.from_content(
                RecordKind.CRASH, key, owner_id, (0, 0), crash, BLOCK_MS
            )
        )

    def _on_record(self, record: Record) -> None:
        body: CrashBody = record.content
        crashes = self._crashes.setdefault(body.fingerprint, {})
        server_key = f"{body.server_id}/{body.server_incarnation}"
        crashes.setdefault(server_key, self._clock.now_ms())


async def _connect(server: Server) -> Finding:
    try:
        stream = await open_stream(server.body.address, CONFIRM_TIMEOUT_MS)
    except ConnectRefusedError:
        return Finding.REFUSED
    except ConnectError:
        return Finding.UNREACHABLE
    stream.close()
    return Finding.ACCEPTED
