"""The claim of a request's idempotency key, from acquiring to settling it."""

import asyncio
from dataclasses import dataclass

from cardamomrun_base.interfaces import (
    AlreadyDone,
    ClaimGranted,
    ClaimKey,
    ClaimResult,
    KeyMismatch,
    NoQuorum,
    StillRunning,
    UnknownOutcome,
)
from cardamomrun_base.outcomes import Outcome, Unknown
from cardamomrun_requests import metrics
from cardamomrun_requests.ended import RequestError, RunState
from cardamomrun_requests.request_path import RETRY_AFTER_S, RequestServices

__all__ = ["KeyClaim"]

EARLIER_STATUS = "Cardamomrun-Earlier-Status"
SETTLE_TIMEOUT_S = 1.0

VERDICT_LABELS = {
    ClaimGranted: "won",
    AlreadyDone: "done",
    StillRunning: "running",
    UnknownOutcome: "unknown",
    KeyMismatch: "mismatch",
    NoQuorum: "no-quorum",
}


@dataclass(frozen=True)
class _AlreadyDoneOutcome(Unknown):
    """An earlier request with the same key was run; the outcome is `done`."""

    tag: str = "done"  # type: ignore[assignment]


class KeyClaim:
    """The claim of one request; does nothing if no key was acquired."""

    def __init__(self, services: RequestServices, state: RunState) -> None:
        self.done_status: int | None = None
        self._services = services
        self._state = state
        self._won: ClaimGranted | None = None

    async def acquire(self, key: ClaimKey) -> None:
        """Claim a key. Raises `RequestError` if the request must not run."""
        task = self._services.background.spawn(self._services.claims.claim(key))
        try:
            result = await asyncio.shield(task)
        except asyncio.CancelledError:
            # The keepers may grant the key after the client disconnected.
            self._services.background.spawn(self._release_if_won(task))
            raise
        metrics.CLAIMS.labels(VERDICT_LABELS[type(result)]).inc()
        if not isinstance(result, ClaimGranted):
            raise self._error(result)
        self._won = result

    def check_not_expired(self) -> None:
        """Raise `RequestError` if it is too late to send the first byte."""
        won = self._won
        if won is not None and self._services.clock.now_ms() >= won.start_before_ms:
            raise self._state.error(
                "claim-expired",
                "The request could not start in time after its key was claimed.",
                "retry with the same key",
                503,
                RETRY_AFTER_S,
            )

    async def settle(self) -> None:
        """Report the end of the request to the keepers.

        Waits at most `SETTLE_TIMEOUT_S`. The response ends only after this, so that a
        resend right after it finds the claim settled. The report goes on in the
        background if the client disconnects.
        """
        settling = self._services.background.spawn(self._settle())
        await asyncio.wait({settling}, timeout=SETTLE_TIMEOUT_S)

    async def _settle(self) -> None:
        won, self._won = self._won, None
        if won is None:
            return
        if self.done_status is not None:
            await self._services.claims.settle_done(won, self.done_status)
        elif self._state.maybe_run:
            await self._services.claims.settle_unknown(won)
        else:
            await self._services.claims.release(won)

    async def _release_if_won(self, task: "asyncio.Task[ClaimResult]") -> None:
        result = await task
        if isinstance(result, ClaimGranted):
            await self._services.claims.release(result)

    def _error(self, result: ClaimResult) -> RequestError:
        match result:
            case AlreadyDone(status):
                outcome: Outcome = _AlreadyDoneOutcome(
                    "A request with this key was run before.", "use its answer", 409
                )
                return RequestError(
                    "already-done", outcome, {EARLIER_STATUS: str(status)}
                )
            case StillRunning():
                outcome = Unknown(
                    "A request with this key is running.", "ask again later", 409
                )
                return RequestError("still-running", outcome)
            case UnknownOutcome():
                outcome = Unknown(
                    "It is not known whether a request with this key was run.",
                    "find out before a resend with a new key",
                    409,
                )
                return RequestError("unknown-end", outcome)
            case KeyMismatch():
                return self._state.error(
                    "key-mismatch",
                    "The key was used for a different request.",
                    "use a new key",
                    422,
                )
            case _:
                assert isinstance(result, NoQuorum)
                return self._state.error(
                    "no-quorum",
                    "Too few keepers of the key answered.",
                    "retry later with the same key",
                    503,
                    RETRY_AFTER_S,
                )
