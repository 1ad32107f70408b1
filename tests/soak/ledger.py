"""What callers and backend servers saw, and the promises that follow from it."""

import time
from collections import Counter, defaultdict
from dataclasses import dataclass, field

__all__ = ["Ledger", "Sent"]

# These tell a caller that its request was not run and never will be.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# A server gets no new work later than this after its departure was acknowledged; the
# promise is 2 s, and the rest allows for a loaded machine.
DRAIN_S = 2.5


@dataclass(frozen=True)
class Sent:
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
    """Everything that one run saw; times are of the monotonic clock, in seconds."""

    sent: dict[str, Sent] = field(default_factory=dict)
    runs: dict[str, list[tuple[str, float]]] = field(
        default_factory=lambda: defaultdict(list)
    )
    statuses: dict[str, int] = field(default_factory=dict)
    departed_s: dict[str, float] = field(default_factory=dict)
    faults: list[str] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)
    served_count: int = 0
    cuts: Counter[str] = field(default_factory=Counter)

    def ran(self, request_id: str, server_id: str, seen: Sent) -> None:
        """Note that a server began to work on a request."""
        now_s = time.monotonic()
        self.runs[request_id].append((server_id, now_s))
        sent = self.sent.get(request_id)
        if sent is None:
            self._break(f"{server_id} ran {request_id!r}, which no caller sent")
        elif sent != seen:
            self._break(f"{request_id} reached {server_id} changed: {seen}")
        elif not sent.is_idempotent and len(self.runs[request_id]) > 1:
            self._break(f"{request_id} ran twice: {self.runs[request_id]}")
        if self.statuses.get(request_id) in NOT_RUN_STATUSES:
            self._break(f"{request_id} ran after {self.statuses[request_id]}")
        departed_s = self.departed_s.get(server_id, now_s)
        if now_s - departed_s > DRAIN_S:
            late_s = now_s - departed_s
            self._break(f"{server_id} got {request_id} {late_s:.2f} s after it left")

    def answered(self, request_id: str, status: int, body: bytes, echo: str) -> None:
        """Note a whole answer that reached the caller."""
        self.statuses[request_id] = status
        if status in NOT_RUN_STATUSES and self.runs.get(request_id):
            sent = self.sent[request_id]
            if not sent.is_idempotent:
                self._break(f"{request_id} got {status} and ran")
        if status != 200:
            return
        self.served_count += 1
        if echo != request_id or not body.startswith(f"{request_id} ".encode()):
            self._break(f"{request_id} got another answer: {echo} {body[:60]!r}")

    def fault(self, text: str) -> None:
        """Note an injected fault, for the report of a broken promise."""
        self.faults.append(f"{time.monotonic():.3f} {text}")

    def _break(self, text: str) -> None:
        self.broken.append(f"{time.monotonic():.3f} {text}")

    def broke(self, text: str) -> None:
        """Note a broken promise that was seen elsewhere."""
        self._break(text)
