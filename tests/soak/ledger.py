"""Records what callers and backend servers see, and checks the guarantees on it."""

import time
from collections import Counter, defaultdict
from dataclasses import dataclass, field

__all__ = ["Ledger", "SentRequest"]

# These statuses tell a caller that its request did not run and never will.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# A server gets no new work later than this after its departure was acknowledged; the
# guarantee is 2 s, and the rest allows for a loaded machine.
DRAIN_S = 2.5
# From `LIMIT_SETTLE_S` after a server first named a limit, it gets at most one and a
# half times what that allows and `LIMIT_SLACK_COUNT` requests in any `LIMIT_WINDOW_S`.
LIMIT_SETTLE_S = 3.0
LIMIT_WINDOW_S = 4.0
LIMIT_SLACK_COUNT = 5


@dataclass(frozen=True)
class SentRequest:
    """A request as its caller sent it."""

    method: str
    path: str
    body: bytes

    @property
    def is_idempotent(self) -> bool:
        """True if it may run more than once."""
        return self.method == "GET"


@dataclass
class Ledger:
    """Records of one run; times are of the monotonic clock, in seconds."""

    sent: dict[str, SentRequest] = field(default_factory=dict)
    runs: dict[str, list[tuple[str, float]]] = field(
        default_factory=lambda: defaultdict(list)
    )
    statuses: dict[str, int] = field(default_factory=dict)
    departed_s: dict[str, float] = field(default_factory=dict)
    faults: list[str] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    limited_arrivals_s: dict[str, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )
    served_count: int = 0
    caller_errors: Counter[str] = field(default_factory=Counter)

    def record_run(self, request_id: str, server_id: str, seen: SentRequest) -> None:
        """Record that a server began to run a request, and check that it may."""
        now_s = time.monotonic()
        self.runs[request_id].append((server_id, now_s))
        sent = self.sent.get(request_id)
        if sent is None:
            self._append_violation(
                f"{server_id} ran {request_id!r}, which no caller sent"
            )
        elif sent != seen:
            self._append_violation(
                f"{request_id} was changed on its way to {server_id}: {seen}"
            )
        elif not sent.is_idempotent and len(self.runs[request_id]) > 1:
            self._append_violation(f"{request_id} ran twice: {self.runs[request_id]}")
        if self.statuses.get(request_id) in NOT_RUN_STATUSES:
            self._append_violation(
                f"{request_id} ran after its answer {self.statuses[request_id]}"
            )
        departed_s = self.departed_s.get(server_id, now_s)
        if now_s - departed_s > DRAIN_S:
            late_s = now_s - departed_s
            self._append_violation(
                f"{server_id} got {request_id} {late_s:.2f} s after its departure"
            )

    def record_answer(
        self, request_id: str, status: int, body: bytes, echo: str
    ) -> None:
        """Record a complete response that reached the caller, and check it."""
        self.statuses[request_id] = status
        if status in NOT_RUN_STATUSES and self.runs.get(request_id):
            sent = self.sent[request_id]
            if not sent.is_idempotent:
                self._append_violation(
                    f"{request_id} ran and was answered with {status}"
                )
        if status != 200:
            return
        self.served_count += 1
        if echo != request_id or not body.startswith(f"{request_id} ".encode()):
            self._append_violation(
                f"{request_id} got the answer to another request: {echo} {body[:60]!r}"
            )

    def record_limited_arrival(self, server_id: str, limit_per_s: float) -> None:
        """Record a request at a server that names a limit, and check the limit."""
        now_s = time.monotonic()
        arrivals_s = self.limited_arrivals_s[server_id]
        arrivals_s.append(now_s)
        from_s = max(arrivals_s[0] + LIMIT_SETTLE_S, now_s - LIMIT_WINDOW_S)
        count = sum(at_s >= from_s for at_s in arrivals_s)
        if count > 1.5 * LIMIT_WINDOW_S * limit_per_s + LIMIT_SLACK_COUNT:
            self._append_violation(
                f"{server_id} got {count} requests in {LIMIT_WINDOW_S} s and names a "
                f"limit of {limit_per_s} a second"
            )

    def record_fault(self, text: str) -> None:
        """Record an injected fault, for the report of a violation."""
        self.faults.append(f"{time.monotonic():.3f} {text}")

    def _append_violation(self, text: str) -> None:
        self.violations.append(f"{time.monotonic():.3f} {text}")

    def record_violation(self, text: str) -> None:
        """Record a violated guarantee that was found elsewhere."""
        self._append_violation(text)
