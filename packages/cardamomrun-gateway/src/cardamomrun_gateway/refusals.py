"""The errors with which an entry instance ends a request itself.

Which error a request gets, and when its client should return, is decided here; when a
request is refused is decided by the modules that raise these errors.
"""

import random

from cardamomrun_base.clock import MS_PER_S
from cardamomrun_base.logs import ComponentLog
from cardamomrun_base.outcomes import NotRun, Outcome, Unknown
from cardamomrun_gateway import metrics
from cardamomrun_gateway.fleet_load import FleetLoad
from cardamomrun_gateway.placement import Placement
from cardamomrun_gateway.rate_limit import ReturnTimes
from cardamomrun_gateway.routed_request import RoutedRequest
from cardamomrun_gateway.server_attempt import (
    AttemptDependencies,
    NotExecuted,
    ResponseLost,
)

__all__ = ["RETRY_SOON_S", "Refusals", "RequestFailedError", "refusal"]

# Retry-After of a refusal, as a share of the expected response time: a slot gets free
# within about one of these.
RETRY_AFTER_RATIO = 0.5
# Retry-After of a refusal that is independent of the load: other servers have room.
RETRY_SOON_S = 0.2
# Longest Retry-After while all servers pause; others may start meanwhile.
RETRY_AFTER_PAUSE_S = 60.0

_log = ComponentLog("front")


class RequestFailedError(Exception):
    """Ends the request with an error response of the gateway itself."""

    def __init__(
        self, kind: str, outcome: Outcome, headers: dict[str, str] | None = None
    ) -> None:
        super().__init__(kind)
        self.kind = kind
        self.outcome = outcome
        self.headers = headers


def refusal(
    kind: str, reason: str, retry_after_s: float, status: int = 503
) -> RequestFailedError:
    """Return the error for a request that was not run and may be sent again."""
    outcome = NotRun(reason, "send it again later", status, round(retry_after_s, 3))
    return RequestFailedError(kind, outcome)


class Refusals:
    """Returns the errors for requests that no backend server has room for."""

    def __init__(
        self, attempt_tools: AttemptDependencies, load: FleetLoad, placement: Placement
    ) -> None:
        self._attempt_tools = attempt_tools
        self._clock = attempt_tools.clock
        self._load = load
        self._placement = placement
        self._return_times: dict[str, ReturnTimes] = {}

    def no_room(self, routed: RoutedRequest, waited_ms: float) -> RequestFailedError:
        """Return the refusal of a request that found no server with a free slot."""
        expected_ms = self._attempt_tools.route_times.expected_ms(routed.route)
        self._log_no_room(routed, waited_ms)
        metrics.REFUSALS.labels(routed.service, "full").inc()
        return refusal(
            "full",
            "No backend server has room.",
            expected_ms * RETRY_AFTER_RATIO / MS_PER_S,
        )

    def paused(
        self, routed: RoutedRequest, waited_ms: float, pause_wait_ms: float
    ) -> RequestFailedError:
        """Return the refusal of a request whose servers have all asked for a pause.

        Clients are told to return one after the other from the end of the first pause.
        """
        self._log_no_room(routed, waited_ms)
        metrics.REFUSALS.labels(routed.service, "paused").inc()
        return_times = self._return_times.setdefault(
            f"{routed.service} after pauses", ReturnTimes(random.Random())
        )
        expected_ms = self._attempt_tools.route_times.expected_ms(routed.route)
        slots = self._placement.slot_count(routed.service)
        entry_count = self._attempt_tools.reports.entry_count
        delay_ms = return_times.next_delay_ms(
            self._clock.now_ms() + pause_wait_ms,
            slots * MS_PER_S / expected_ms / entry_count,
            routed.remaining_ms(self._clock) - pause_wait_ms,
        )
        reason = "All backend servers have asked for a pause."
        retry_after_s = (pause_wait_ms + delay_ms) / MS_PER_S
        return refusal("paused", reason, min(RETRY_AFTER_PAUSE_S, retry_after_s))

    def no_permit(self, routed: RoutedRequest, waited_ms: float) -> RequestFailedError:
        """Return the refusal of a request that the servers' limits leave no room for."""
        self._log_no_room(routed, waited_ms)
        metrics.REFUSALS.labels(routed.service, "limited").inc()
        return_times = self._return_times.setdefault(
            routed.service, ReturnTimes(random.Random())
        )
        per_s = self._placement.granted_per_s(routed.service)
        delay_ms = return_times.next_delay_ms(
            self._clock.now_ms(),
            per_s / self._attempt_tools.reports.entry_count,
            routed.remaining_ms(self._clock),
        )
        reason = "All backend servers limit their requests."
        return refusal("limited", reason, delay_ms / MS_PER_S)

    def _log_no_room(self, routed: RoutedRequest, waited_ms: float) -> None:
        servers = list(self._load.servers_of(routed.service))
        now_ms = self._clock.now_ms()
        _log.info(
            "refuses a request: no backend server has room",
            request_id=routed.request.request_id,
            route=routed.route.name,
            service=routed.service,
            held_ms=round(waited_ms),
            servers=len(servers),
            doubted=sum(server.health.is_suspected for server in servers),
            in_work=sum(server.in_flight_count for server in servers),
            limited=sum(server.limit is not None for server in servers),
            paused=sum(not server.pause.is_over(now_ms) for server in servers),
        )

    def attempts_failed(
        self,
        last: NotExecuted | ResponseLost,
        routed: RoutedRequest,
        *,
        may_have_run: bool,
    ) -> RequestFailedError:
        """Return the error of a request whose `last` attempt has failed."""
        if isinstance(last, NotExecuted) and not may_have_run:
            retry_after_s = last.retry_after_s
            # A server's Retry-After beyond the deadline of the request shows nothing
            # about other servers.
            remaining_s = routed.remaining_ms(self._clock) / MS_PER_S
            if retry_after_s is None or retry_after_s > remaining_s:
                retry_after_s = RETRY_SOON_S
            metrics.REFUSALS.labels(routed.service, "not-run").inc()
            return refusal("not-run", f"Not run: {last.reason}.", retry_after_s)
        outcome = Unknown(
            f"Unknown whether it was run: {last.reason}.",
            "ask the application before sending it again",
        )
        return RequestFailedError("unknown", outcome)
