"""Deadlines of requests."""

from cardamomrun_base.clock import MS_PER_S, Clock

__all__ = ["Deadline"]

# The largest time-out that a document may hold.
MAX_DEADLINE_MS = 600_000


class Deadline:
    """The time after which a request is given up."""

    def __init__(self, clock: Clock, duration_ms: float) -> None:
        self._clock = clock
        self._end_ms = clock.now_ms() + duration_ms

    @classmethod
    def from_header(cls, clock: Clock, header: str | None, route_ms: int) -> "Deadline":
        """Return the client's deadline, or the route's if none is given.

        Raises `ValueError` if the header is not a whole number of milliseconds.
        """
        if header is None:
            return cls(clock, route_ms)
        if not (header.isascii() and header.isdigit()):
            raise ValueError("the deadline is not a whole number of milliseconds")
        return cls(clock, min(int(header), MAX_DEADLINE_MS))

    def remaining_ms(self) -> float:
        """Return the time left, never negative."""
        return max(0.0, self._end_ms - self._clock.now_ms())

    def remaining_s(self, limit_ms: float | None = None) -> float:
        """Return the time left, at most `limit_ms`, in seconds."""
        left = self.remaining_ms()
        return (left if limit_ms is None else min(left, limit_ms)) / MS_PER_S

    def expired(self) -> bool:
        """Return True once no time is left."""
        return self.remaining_ms() <= 0
