"""Permits for attempts at backend servers that state a limit, asked of their granters.

Question and answer are a datagram each, and either may be lost. Without an answer in
time the request has no permit, and a permit that the granter sent counts as used.
"""

import asyncio
import itertools
import math
from dataclasses import dataclass

import cbor2

from cardamomrun_base.clock import MS_PER_S, Clock
from cardamomrun_base.logs import ComponentLog
from cardamomrun_gateway import metrics
from cardamomrun_gateway.fleet_load import FleetLoad, Server
from cardamomrun_gateway.load_reports import LoadReports
from cardamomrun_gateway.rate_limit import Denied, Granted, StatedLimit
from cardamomrun_gateway.report_relays import Address, address_of
from cardamomrun_gateway.server_limits import ServerLimits

__all__ = ["Permit", "Permits"]

ASK = b"\x0a"
ANSWER = b"\x0b"
# A granter in another failure domain answers within a few milliseconds unless it is
# paused or unreachable.
ANSWER_TIMEOUT_MS = 50.0
# How long a granter that did not answer is not asked again.
NO_ANSWER_PAUSE_MS = 250.0
# A request must be sent within this time after its permit is free. Later ones could
# arrive together with those that were granted afterwards.
PERMIT_LIFETIME_MS = 250.0

_log = ComponentLog("limits")


@dataclass(frozen=True)
class Permit:
    """Allows one request to a server that states a limit, until `expires_ms`."""

    expires_ms: float

    def has_expired(self, clock: Clock) -> bool:
        """Return True once the request must not be sent any more."""
        return clock.now_ms() > self.expires_ms


class Permits:
    """Asks for permits, and grants those of the servers whose granter this is."""

    def __init__(
        self, clock: Clock, load: FleetLoad, limits: ServerLimits, reports: LoadReports
    ) -> None:
        self._clock = clock
        self._load = load
        self._limits = limits
        self._reports = reports
        self._numbers = itertools.count(1)
        self._pending: dict[int, asyncio.Future[Granted | Denied]] = {}
        reports.add_handler(ASK, self._on_ask)
        reports.add_handler(ANSWER, self._on_answer)

    async def acquire(
        self, server: Server, max_wait_ms: float, *, is_urgent: bool
    ) -> Permit | None:
        """Return a permit once it is free, or None if there is none in `max_wait_ms`.

        None also sets when the server's `limit` may have a permit next.
        """
        self._limits.refresh()
        limit = server.limit
        if limit is None:
            return Permit(float("inf"))
        asked_ms = self._clock.now_ms()
        result = await self._ask(server, limit, max_wait_ms, is_urgent=is_urgent)
        metrics.PERMITS.labels(server.body.service, _result_label(result)).inc()
        now_ms = self._clock.now_ms()
        if not isinstance(result, Granted):
            free_in_ms = NO_ANSWER_PAUSE_MS if result is None else result.free_in_ms
            # Later than the request can wait, or it would ask again at once.
            free_in_ms = max(free_in_ms, 1.0 + (max_wait_ms if is_urgent else 0.0))
            limit.free_at_ms[is_urgent] = now_ms + free_in_ms
            return None
        expires_ms = asked_ms + result.delay_ms + PERMIT_LIFETIME_MS
        if now_ms < asked_ms + result.delay_ms:
            await self._clock.sleep_ms(asked_ms + result.delay_ms - now_ms)
        return Permit(expires_ms)

    async def _ask(
        self, server: Server, limit: StatedLimit, max_wait_ms: float, *, is_urgent: bool
    ) -> Granted | Denied | None:
        if limit.bucket is not None:
            now_ms = self._clock.now_ms()
            return limit.bucket.take(
                limit.per_s, now_ms, max_wait_ms, is_urgent=is_urgent
            )
        if limit.granter is None:
            return None
        number = next(self._numbers)
        answer = asyncio.get_running_loop().create_future()
        self._pending[number] = answer
        fields = [number, server.key, max_wait_ms, is_urgent]
        address = address_of(limit.granter.peer_address)
        self._reports.send(ASK + cbor2.dumps(fields), address)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_MS / MS_PER_S):
                return await answer
        except TimeoutError:
            _log.info(
                "the granter of a backend server's permits does not answer",
                server_id=server.body.server_id,
                granter_id=limit.granter.instance_id,
            )
            return None
        finally:
            del self._pending[number]

    def _on_ask(self, body: bytes, sender: Address) -> None:
        number, key, max_wait_ms, is_urgent = _decode(body, 4)
        self._limits.refresh()
        server = self._load.by_key(int(key))
        limit = None if server is None else server.limit
        if limit is None or limit.bucket is None:
            # The instances disagree on the granter until their members are the same.
            result: Granted | Denied = Denied(NO_ANSWER_PAUSE_MS)
        else:
            result = limit.bucket.take(
                limit.per_s,
                self._clock.now_ms(),
                float(max_wait_ms),
                is_urgent=bool(is_urgent),
            )
        is_granted = isinstance(result, Granted)
        value_ms = result.delay_ms if isinstance(result, Granted) else result.free_in_ms
        self._reports.send(ANSWER + cbor2.dumps([number, is_granted, value_ms]), sender)

    def _on_answer(self, body: bytes, sender: Address) -> None:
        number, is_granted, value_ms = _decode(body, 3)
        pending = self._pending.get(number)
        if pending is not None and not pending.done():
            value_ms = float(value_ms)
            pending.set_result(Granted(value_ms) if is_granted else Denied(value_ms))


def _decode(body: bytes, field_count: int) -> list:
    """Return the fields of a message, or raise `ValueError`."""
    try:
        fields = cbor2.loads(body)
    except cbor2.CBORError as error:
        raise ValueError(f"not a message about permits: {error}") from error
    if (
        not isinstance(fields, list)
        or len(fields) != field_count
        or not all(
            isinstance(value, (int, float)) and math.isfinite(value) for value in fields
        )
    ):
        raise ValueError("not a message about permits")
    return fields


def _result_label(result: Granted | Denied | None) -> str:
    if result is None:
        return "no-answer"
    return "granted" if isinstance(result, Granted) else "denied"
