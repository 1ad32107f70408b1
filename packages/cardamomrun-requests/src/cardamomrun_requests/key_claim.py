"""The claim of a request's idempotency key, from winning to settling."""

import asyncio
from dataclasses import dataclass

from cardamomrun_base.interfaces import (
    AlreadyDone,
    ClaimKey,
    ClaimResult,
    KeyMismatch,
    NoQuorum,
    StillRunning,
    UnknownEnd,
    Won,
)
from cardamomrun_base.outcomes import Outcome, Unknown
from cardamomrun_requests import metrics
from cardamomrun_requests.ended import EndedError, RunState
from cardamomrun_requests.request_path import RETRY_AFTER_S, RequestPath

__all__ = ["KeyClaim"]

EARLIER_STATUS = "Cardamomrun-Earlier-Status"
SETTLE_WAIT_S = 1.0

VERDICTS = {
    Won: "won",
    AlreadyDone: "done",
    StillRunning: "running",
    UnknownEnd: "unknown",
    KeyMismatch: "mismatch",
    NoQuorum: "no-quorum",
}


@dataclass(frozen=True)
class _EarlierDone(Unknown):
    """An earlier request with the same key was run; the caller is told `done`."""

    tag: str = "done"  # type: ignore[assignment]


class KeyClaim:
    """The claim of one request; without a key nothing is claimed."""

    def __init__(self, path: RequestPath, state: RunState) -> None:
        self.done_status: int | None = None
        self._path = path
        self._state = state
        self._won: Won | None = None

    async def win(self, key: ClaimKey) -> None:
        """Claim a key. Raises `EndedError` if the request must not run."""
        task = self._path.background.spawn(self._path.claims.claim(key))
        try:
            result = await asyncio.shield(task)
        except asyncio.CancelledError:
            # The keepers may grant the key after the caller left.
            self._path.background.spawn(self._release_late(task))
            raise
        metrics.CLAIMS.labels(VERDICTS[type(result)]).inc()
        if not isinstance(result, Won):
            raise self._error(result)
        self._won = result

    def check_start(self) -> None:
        """Raise `EndedError` if it is too late to send the first byte."""
        won = self._won
        if won is not None and self._path.clock.now_ms() >= won.start_before_ms:
            raise self._state.error(
                "claim-expired",
                "The request could not start in time after its key was claimed.",
                "retry with the same key",
                503,
                RETRY_AFTER_S,
            )

    async def settle(self) -> None:
        """Tell the keepers the end.

        The answer's end waits for this, so that a resend right after it finds the
        end; the task goes on if the caller leaves meanwhile.
        """
        settling = self._path.background.spawn(self._settle())
        await asyncio.wait({settling}, timeout=SETTLE_WAIT_S)

    async def _settle(self) -> None:
        won, self._won = self._won, None
        if won is None:
            return
        if self.done_status is not None:
            await self._path.claims.settle_done(won, self.done_status)
        elif self._state.maybe_run:
            await self._path.claims.settle_unknown(won)
        else:
            await self._path.claims.release(won)

    async def _release_late(self, task: "asyncio.Task[ClaimResult]") -> None:
        result = await task
        if isinstance(result, Won):
            await self._path.claims.release(result)

    def _error(self, result: ClaimResult) -> EndedError:
        match result:
            case AlreadyDone(status):
                outcome: Outcome = _EarlierDone(
                    "A request with this key was run before.", "use its answer", 409
                )
                return EndedError(
                    "already-done", outcome, {EARLIER_STATUS: str(status)}
                )
            case StillRunning():
                outcome = Unknown(
                    "A request with this key is running.", "ask again later", 409
                )
                return EndedError("still-running", outcome)
            case UnknownEnd():
                outcome = Unknown(
                    "It is not known whether a request with this key was run.",
                    "find out before a resend with a new key",
                    409,
                )
                return EndedError("unknown-end", outcome)
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
