"""Stops requests that crash the backend servers which run them."""

from cardamomrun_base.clock import Clock
from cardamomrun_base.interfaces import Fleet
from cardamomrun_base.logs import PartLog
from cardamomrun_base.model import CrashBody, Kind, Record
from cardamomrun_gateway.fleet_load import Server
from cardamomrun_requests.upstream import (
    ConnectError,
    ConnectRefusedError,
    open_stream,
)

__all__ = ["CrashGuard"]

# Two servers may die at the same time of another cause, so that one death proves
# nothing; a third one would be one too many.
DEATHS_TO_STOP = 2
# How long a request is stopped, and its deaths are remembered.
STOP_MS = 600_000
# A dead server's machine refuses at once.
CONFIRM_TIMEOUT_MS = 200.0

_log = PartLog("crashes")


class CrashGuard:
    """Counts deaths by the fingerprint of the request that the server was running.

    The deaths are records that all instances hold. A death counts if a connection
    ended before an answer and the server then refuses a new one.
    """

    def __init__(self, clock: Clock, fleet: Fleet) -> None:
        self._clock = clock
        self._fleet = fleet
        self._deaths: dict[str, dict[str, float]] = {}
        fleet.store.subscribe(Kind.CRASH, self._on_record)
        for record in fleet.store.all(Kind.CRASH):
            self._on_record(record)

    def is_stopped(self, fingerprint: str) -> bool:
        """Return True if servers died of requests with this fingerprint."""
        deaths = self._deaths.get(fingerprint)
        if deaths is None:
            return False
        oldest_ms = self._clock.now_ms() - STOP_MS
        recent = {key: at_ms for key, at_ms in deaths.items() if at_ms > oldest_ms}
        if not recent:
            del self._deaths[fingerprint]
        return len(recent) >= DEATHS_TO_STOP

    async def examine(self, server: Server, fingerprint: str) -> None:
        """Find out whether a server died of a request, and tell all instances."""
        try:
            stream = await open_stream(server.body.address, CONFIRM_TIMEOUT_MS)
        except ConnectRefusedError:
            self._publish(server, fingerprint)
        except ConnectError:
            # A lost path looks the same; only a refusal shows that the process ended.
            return
        else:
            stream.close()

    def _publish(self, server: Server, fingerprint: str) -> None:
        body = server.body
        _log.warning(
            "a backend server died while it ran a request",
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
            Record.of(Kind.CRASH, key, owner_id, (0, 0), crash, STOP_MS)
        )

    def _on_record(self, record: Record) -> None:
        body: CrashBody = record.content
        deaths = self._deaths.setdefault(body.fingerprint, {})
        place = f"{body.server_id}/{body.server_incarnation}"
        deaths.setdefault(place, self._clock.now_ms())
