"""Records what callers and backend servers see, and checks the guarantees on it."""

import time
from bisect import bisect_right
from collections import Counter, defaultdict
from dataclasses import dataclass, field

__all__ = ["GRACE_S", "Ledger", "LostRequest", "SentRequest", "count_between"]

# These statuses tell a caller that its request did not run and never will.
NOT_RUN_STATUSES = frozenset((401, 408, 421, 429, 503))
# A server gets no new work later than this after its departure was acknowledged; the
# guarantee is 2 s, and the rest allows for a loaded machine.
DRAIN_S = 2.5
# An instance that has passed on an answer with the word that its server leaves sends that
# server nothing that was sent to it later than this afterwards.
LEAVE_S = 2.0
# From `PAUSE_SETTLE_S` after a server asked an instance for a pause to its end, at most
# `PAUSE_COUNT` requests of the instance reach it.
PAUSE_SETTLE_S = 0.5
PAUSE_COUNT = 2
# From `LIMIT_SETTLE_S` after a server first named a limit, it gets at most one and a
# half times what that allows and `LIMIT_SLACK_COUNT` requests in any `LIMIT_WINDOW_S`.
LIMIT_SETTLE_S = 3.0
LIMIT_WINDOW_S = 4.0
LIMIT_SLACK_COUNT = 5
# An instance is killed this long after SIGTERM. Requests sent until `EXCUSED_S` after it
# may be lost if their server is at work in the last sixth of the grace period.
GRACE_S = 6.0
EXCUSED_S = 3.0
LAST_SIXTH_S = 5 / 6 * GRACE_S
# A planned stop accounts for losses until this long after the grace period, unless an
# unplanned fault came later than `STABILITY_S` before the request.
AFTER_GRACE_S = 1.0
STABILITY_S = 3.0
# Servers get at most this share of the requests of a window, and the slack, as arrivals
# beyond the first of a request. The settings of the instances say the same.
RETRY_RATIO = 0.2
RETRY_SLACK_COUNT = 62
RETRY_WINDOW_S = 10.0
# A request that no server ran may be lost if its connection ends this soon.
LOSS_SLACK_S = 0.2


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


@dataclass(frozen=True)
class LostRequest:
    """A request whose connection ended without a complete answer, in time."""

    request_id: str
    entry_ip: str
    sent_s: float
    ended_s: float


@dataclass
class Ledger:
    """Records of one run; times are of the monotonic clock, in seconds."""

    sent: dict[str, SentRequest] = field(default_factory=dict)
    runs: dict[str, list[tuple[str, float]]] = field(
        default_factory=lambda: defaultdict(list)
    )
    arrivals_s: dict[str, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )
    statuses: dict[str, int] = field(default_factory=dict)
    departed_s: dict[str, float] = field(default_factory=dict)
    faults: list[str] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    limited_arrivals_s: dict[str, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )
    run_ends_s: dict[str, float] = field(default_factory=dict)
    sent_to: dict[str, tuple[str, float]] = field(default_factory=dict)
    left_s: dict[tuple[str, str], float] = field(default_factory=dict)
    pauses_s: dict[tuple[str, str], tuple[float, float]] = field(default_factory=dict)
    in_pause: Counter[tuple[str, str]] = field(default_factory=Counter)
    lost: list[LostRequest] = field(default_factory=list)
    stops_s: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    unplanned_s: list[tuple[float, float]] = field(default_factory=list)
    # Faults that stopped or paused instances.
    disturbed_s: list[tuple[float, float]] = field(default_factory=list)
    behind_close: set[str] = field(default_factory=set)
    checked: Counter[str] = field(default_factory=Counter)
    served_count: int = 0
    caller_errors: Counter[str] = field(default_factory=Counter)

    def record_arrival(self, request_id: str) -> None:
        """Record that a server received a request, whatever it does with it."""
        self.arrivals_s[request_id].append(time.monotonic())

    def check_retries(self) -> None:
        """Check the retry budget in each window; call after the run."""
        retries_s = sorted(
            at_s for times in self.arrivals_s.values() for at_s in times[1:]
        )
        # Instances count no requests without a valid key.
        sent_s = sorted(
            at_s
            for request_id, (_, at_s) in self.sent_to.items()
            if self.statuses.get(request_id) != 401
        )
        for end_s in retries_s:
            count = count_between(retries_s, end_s - RETRY_WINDOW_S, end_s)
            request_count = max(
                count_between(
                    sent_s, end_s - earlier_s - RETRY_WINDOW_S, end_s - earlier_s
                )
                for earlier_s in (0.0, RETRY_WINDOW_S / 2, RETRY_WINDOW_S)
            )
            allowed_count = RETRY_RATIO * request_count + RETRY_SLACK_COUNT
            if count > allowed_count:
                self._append_violation(
                    f"servers got {count} retries in the {RETRY_WINDOW_S} s before "
                    f"{end_s:.3f}, {allowed_count:.0f} are allowed"
                )
                return

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
        self._check_leaving(request_id, server_id)
        departed_s = self.departed_s.get(server_id, now_s)
        if now_s - departed_s > DRAIN_S:
            late_s = now_s - departed_s
            self._append_violation(
                f"{server_id} got {request_id} {late_s:.2f} s after its departure"
            )

    def record_restart(self, entry_ip: str) -> None:
        """Forget what an instance knew, since it was started or paused."""
        for known in (self.left_s, self.pauses_s):
            for key in [key for key in known if key[0] == entry_ip]:
                del known[key]

    def record_leaving(self, request_id: str, server_id: str) -> None:
        """Record that a caller got an answer that says that its server leaves."""
        entry_ip = self.sent_to[request_id][0]
        self.left_s.setdefault((entry_ip, server_id), time.monotonic())

    def record_pause(self, request_id: str, server_id: str, end_s: float) -> None:
        """Record a request to a server that pauses, and check that there are few."""
        now_s = time.monotonic()
        key = (self.sent_to[request_id][0], server_id)
        asked_s, known_end_s = self.pauses_s.get(key, (now_s, 0.0))
        if known_end_s != end_s:
            self.pauses_s[key] = (now_s, end_s)
            self.in_pause[key] = 0
        elif now_s > asked_s + PAUSE_SETTLE_S:
            self.in_pause[key] += 1
            if self.in_pause[key] > PAUSE_COUNT:
                self._append_violation(
                    f"{server_id} got {request_id} in the pause that it had asked of "
                    f"{key[0]} {now_s - asked_s:.2f} s before"
                )

    def _check_leaving(self, request_id: str, server_id: str) -> None:
        entry_ip, sent_s = self.sent_to.get(request_id, ("", 0.0))
        left_s = self.left_s.get((entry_ip, server_id))
        if left_s is not None and sent_s > left_s + LEAVE_S:
            self._append_violation(
                f"{server_id} got {request_id}, sent {sent_s - left_s:.2f} s after "
                f"{entry_ip} had passed on that it leaves"
            )

    def record_run_end(self, request_id: str) -> None:
        """Record that a server has done the work of a request."""
        self.run_ends_s[request_id] = time.monotonic()

    def check_lost(self) -> None:
        """Check that planned stops have lost no request; call after the run."""
        for lost in self.lost:
            for stop_s in self.stops_s.get(lost.entry_ip, ()):
                if self._is_lost_by_stop(lost, stop_s):
                    ran = "ran" if lost.request_id in self.runs else "did not run"
                    self._append_violation(
                        f"{lost.request_id} {ran} and was lost, sent "
                        f"{lost.sent_s - stop_s:.2f} s and ended "
                        f"{lost.ended_s - stop_s:.2f} s after SIGTERM to "
                        f"{lost.entry_ip}"
                    )

    def _is_lost_by_stop(self, lost: LostRequest, stop_s: float) -> bool:
        if not stop_s <= lost.ended_s <= stop_s + GRACE_S + AFTER_GRACE_S:
            return False
        if any(
            start_s <= lost.ended_s and end_s >= lost.sent_s - STABILITY_S
            for start_s, end_s in self.unplanned_s
        ):
            return False
        if lost.request_id not in self.runs:
            return lost.ended_s - lost.sent_s > LOSS_SLACK_S
        works_late = (
            self.run_ends_s.get(lost.request_id, float("inf")) >= stop_s + LAST_SIXTH_S
        )
        return not (works_late and lost.sent_s <= stop_s + EXCUSED_S)

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

    def check_download(
        self, request_id: str, status: int, body: bytes, expected: bytes
    ) -> None:
        """Check the body of a download that its client takes as complete."""
        if 200 <= status < 300:
            self.checked["downloads"] += 1
            if body != expected:
                self._append_violation(
                    f"{request_id} has {len(body)} bytes in its body, which differs "
                    f"from the {len(expected)} of its server"
                )

    def record_behind_close(self, request_id: str) -> None:
        """Record a request behind a response that closed the connection."""
        self.behind_close.add(request_id)
        self.checked["behind close"] += 1

    def check_behind_close(self) -> None:
        """Check that requests behind the end of a connection did not run."""
        for request_id in sorted(self.behind_close & self.runs.keys()):
            self._append_violation(
                f"{request_id} ran behind a response that closed its connection"
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


def count_between(times_s: list[float], from_s: float, until_s: float) -> int:
    """Return how many of the sorted times are later than `from_s` and not after `until_s`."""
    return bisect_right(times_s, until_s) - bisect_right(times_s, from_s)
