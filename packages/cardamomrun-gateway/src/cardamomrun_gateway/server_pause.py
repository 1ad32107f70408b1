"""The pause that a backend server asks of one instance."""

from dataclasses import dataclass

__all__ = ["ServerPause"]

# An instance returns after the pause within this share of it, at most `SPREAD_MAX_MS`
# later, so that a fleet doesn't return to a server in one instant.
SPREAD_RATIO = 0.25
SPREAD_MAX_MS = 1_000.0


@dataclass
class ServerPause:
    """When a server that asked for a pause may get requests of this instance again.

    After the pause one request goes to the server as a trial, the next ones once it was
    answered. `spread_ratio`, from 0 to 1, is the place of this instance in the return
    of the fleet. Times are of the local clock, in ms.
    """

    spread_ratio: float = 0.0
    until_ms: float = float("-inf")
    is_trial_due: bool = False

    def ask(self, now_ms: float, duration_ms: float) -> None:
        """Begin a pause; the longest of several counts."""
        spread_ms = min(SPREAD_MAX_MS, SPREAD_RATIO * duration_ms) * self.spread_ratio
        self.until_ms = max(self.until_ms, now_ms + duration_ms + spread_ms)
        self.is_trial_due = True

    def is_over(self, now_ms: float) -> bool:
        """Return True unless the server wants no request now."""
        return now_ms >= self.until_ms

    def allows_request(self, now_ms: float, in_flight_count: int) -> bool:
        """Return True if a request may be sent; a trial must be the only one.

        `in_flight_count` are the attempts of this instance at the server.
        """
        return self.is_over(now_ms) and not (self.is_trial_due and in_flight_count)

    def wait_ms(self, now_ms: float) -> float:
        """Return what is left of the pause."""
        return max(0.0, self.until_ms - now_ms)

    def record_response(self, started_ms: float) -> None:
        """End the trial if an attempt from after the pause was answered."""
        if started_ms >= self.until_ms:
            self.is_trial_due = False
