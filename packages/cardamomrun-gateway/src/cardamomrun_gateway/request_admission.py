"""Decides from its head whether a request is served, and by which route and service."""

from collections.abc import Callable

from cardamomrun_base import headers as names
from cardamomrun_base.outcomes import NotRun
from cardamomrun_base.routing_document import Organisation, RoutingRoute
from cardamomrun_gateway import metrics
from cardamomrun_gateway.organisations import (
    Identified,
    KeyMissing,
    KeyUnconfirmed,
    KeyUnknown,
    identify,
)
from cardamomrun_gateway.refusals import RequestFailedError, refusal
from cardamomrun_gateway.routed_request import RoutedRequest
from cardamomrun_gateway.server_attempt import AttemptDependencies
from cardamomrun_gateway.table import RoutingTable
from cardamomrun_requests.request import ClientRequest

__all__ = ["RequestAdmission"]

# Retry-After of an instance that has just started; it has the document from its peers
# by then.
RETRY_AFTER_START_S = 0.3
# Retry-After of a request without a route while a newer document may have one. Another
# instance may know; where control is unreachable, none does.
RETRY_AFTER_UNCONFIRMED_S = 0.5
# Kind of the error where a newer document could give another result.
UNCONFIRMED_KIND = "document-unconfirmed"
# RFC 6750 wants an error only where a key was sent.
CHALLENGES = {
    KeyMissing.tag: 'Bearer realm="cardamomrun"',
    KeyUnknown.tag: 'Bearer realm="cardamomrun", error="invalid_token"',
}


class RequestAdmission:
    """Admits requests by the routing document in force.

    `may_be_revoked` returns True while keys must not be accepted, since a newer document
    may have removed them.
    """

    def __init__(
        self,
        attempt_tools: AttemptDependencies,
        table: RoutingTable,
        has_newest_document: Callable[[], bool],
        may_be_revoked: Callable[[], bool],
    ) -> None:
        self._attempt_tools = attempt_tools
        self._table = table
        self._has_newest_document = has_newest_document
        self._may_be_revoked = may_be_revoked

    def admit(
        self, request: ClientRequest, arrived_ms: float, *, is_relayed: bool
    ) -> RoutedRequest:
        """Return the request with its route, or raise `RequestFailedError`.

        `is_relayed`: another instance asks for it, which has counted it and checked its
        key.
        """
        document = self._table.document
        if document is None:
            raise refusal(
                "no-document", "No routing document is known yet.", RETRY_AFTER_START_S
            )
        host = request.headers.get("Host", "")
        route = self._table.match(host, request.path)
        if route is None:
            raise self._no_route_error()
        organisation = self._identify(request, route, is_relayed=is_relayed)
        request.body.max_bytes = document.limits.body_bytes
        service = self._table.choose_service(route)
        if not is_relayed:
            self._attempt_tools.reports.count_request(service)
        deadline_ms = arrived_ms + self._time_limit_ms(request, route)
        return RoutedRequest(
            request,
            route,
            service,
            document.number,
            arrived_ms,
            deadline_ms,
            organisation,
            hides_key=document.organisations is not None or organisation is not None,
        )

    def _identify(
        self, request: ClientRequest, route: RoutingRoute, *, is_relayed: bool
    ) -> Organisation | None:
        """Return the organisation of a request, or raise `RequestFailedError`."""
        decision = identify(
            request.headers,
            route,
            self._table.organisations,
            is_relayed=is_relayed,
            may_be_revoked=self._may_be_revoked(),
        )
        if isinstance(decision, Identified):
            return decision.organisation
        raise self._key_error(decision)

    def _key_error(
        self, decision: KeyMissing | KeyUnknown | KeyUnconfirmed
    ) -> RequestFailedError:
        if isinstance(decision, KeyUnconfirmed) or not self._has_newest_document():
            metrics.KEY_REJECTIONS.labels(UNCONFIRMED_KIND).inc()
            return refusal(
                UNCONFIRMED_KIND,
                "A newer document may have other keys.",
                RETRY_AFTER_UNCONFIRMED_S,
            )
        metrics.KEY_REJECTIONS.labels(decision.tag).inc()
        outcome = NotRun(
            "The request has no API key, or one that is not valid.",
            "send the header Authorization: Bearer with a valid key",
            401,
        )
        challenge = {names.AUTHENTICATE: CHALLENGES[decision.tag]}
        return RequestFailedError(decision.tag, outcome, challenge)

    def _no_route_error(self) -> RequestFailedError:
        if not self._has_newest_document():
            return refusal(
                UNCONFIRMED_KIND,
                "No route has this host and path; a newer document may have one.",
                RETRY_AFTER_UNCONFIRMED_S,
            )
        outcome = NotRun(
            "No route has this host and path.", "add a route to the document", 404
        )
        return RequestFailedError("no-route", outcome)

    def _time_limit_ms(self, request: ClientRequest, route: RoutingRoute) -> float:
        requested = request.headers.get(
            self._attempt_tools.header_names.deadline_ms, ""
        )
        try:
            return max(1.0, min(float(requested), route.timeout_ms))
        except ValueError:
            return route.timeout_ms
