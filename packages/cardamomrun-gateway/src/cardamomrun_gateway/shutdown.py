"""The planned stop of an instance, and which requests can end before it."""

from cardamomrun_base.clock import Clock
from cardamomrun_gateway.routed_request import RoutedRequest

__all__ = ["Shutdown"]

# Time before the end of the grace period in which no request may still be in flight: the
# stop is noticed late on a busy instance, and clients have to get the ends of responses.
RESERVE_MS = 500.0
# In this first share of the grace period, attempts begin that will likely end in time;
# later only those that are certain to.
LIKELY_RATIO = 0.25


class Shutdown:
    """The grace period of an instance, which begins when it is asked to stop.

    After the grace period, whoever asked may kill the process, and a request in flight
    loses its response. `grace_ms` is the length of the period.
    """

    def __init__(self, clock: Clock, grace_ms: float) -> None:
        self._clock = clock
        self._grace_ms = grace_ms
        self._begun_ms: float | None = None

    @property
    def has_begun(self) -> bool:
        """True once the instance was asked to stop."""
        return self._begun_ms is not None

    @property
    def elapsed_ms(self) -> float:
        """The time since the instance was asked to stop; 0 before."""
        return 0.0 if self._begun_ms is None else self._clock.now_ms() - self._begun_ms

    @property
    def remaining_ms(self) -> float:
        """The time that is left for requests; not negative."""
        return max(0.0, self._grace_ms - RESERVE_MS - self.elapsed_ms)

    def begin(self) -> None:
        """Begin the grace period; later calls don't extend it."""
        if self._begun_ms is None:
            self._begun_ms = self._clock.now_ms()

    def has_time_for(self, routed: RoutedRequest, likely_ms: float) -> bool:
        """Return True if an attempt of a request may begin now.

        Early in the stop it is enough that the `likely_ms`, which attempts rarely
        exceed, fit into what is left. Later the request must end in time even if it
        uses all of its time: by then clients have had time to learn of the stop, and
        one that comes anyway loses little by going to another instance at once.
        """
        if self._begun_ms is None:
            return True
        needed_ms = routed.remaining_ms(self._clock)
        if self.elapsed_ms < LIKELY_RATIO * self._grace_ms:
            needed_ms = min(needed_ms, likely_ms)
        return needed_ms <= self.remaining_ms
