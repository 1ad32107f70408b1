"""Has another entry instance serve a request, once this one can't reach servers."""

import json

from tornado.httputil import HTTPHeaders, ResponseStartLine

from cardamomrun_base import headers as names
from cardamomrun_base.clock import Clock
from cardamomrun_base.headers import GatewayHeaders
from cardamomrun_base.logs import ComponentLog
from cardamomrun_base.outcomes import Done, NotRun
from cardamomrun_fleet.traffic import TrafficMeter
from cardamomrun_gateway import metrics
from cardamomrun_gateway.held_body import HeldBody
from cardamomrun_gateway.organisations import encode_header_text
from cardamomrun_gateway.paths import PeerPaths
from cardamomrun_gateway.routed_request import RoutedRequest
from cardamomrun_gateway.server_attempt import (
    NotExecuted,
    ResponseLost,
    Result,
    ServerResponse,
    drain,
)
from cardamomrun_gateway.server_notices import ServerNotices, parse_retry_after
from cardamomrun_requests.sending import send_until_head
from cardamomrun_requests.upstream import (
    ConnectError,
    EchoedHeader,
    UpstreamConnection,
    UpstreamResponse,
    open_stream,
)

__all__ = ["LEAVING_KIND", "PATHS_LOST_KIND", "RequestRelay"]

CONNECT_TIMEOUT_MS = 200.0
# Instances asked for one request. With two in three of them cut off, six of seven
# requests find one that isn't within five.
MAX_ASKED_COUNT = 5
# Kind of the error by which an instance says that it can't reach servers either.
PATHS_LOST_KIND = "paths-lost"
# Kind of the error by which an instance says that it stops.
LEAVING_KIND = "leaving"
# Errors after which another instance is asked: they say nothing about the servers.
ASK_ANOTHER_KINDS = frozenset(
    (LEAVING_KIND, PATHS_LOST_KIND, "no-document", "no-route")
)

_log = ComponentLog("front")


class RequestRelay:
    """Sends one request to other instances until one serves it.

    The other instance sees a client's request with additional headers, makes the
    attempts and applies all limits. The organisation's name takes the place of its key,
    which was checked and counted here. It never asks a third one. `close` ends a request
    that is in flight, and so cancels it there.
    """

    def __init__(
        self,
        clock: Clock,
        header_names: GatewayHeaders,
        peers: PeerPaths,
        notices: ServerNotices,
        own_address: str,
        routed: RoutedRequest,
        meter: TrafficMeter,
    ) -> None:
        self._meter = meter
        self._clock = clock
        self._header_names = header_names
        self._peers = peers
        self._notices = notices
        self._own_address = own_address
        self._routed = routed
        self.may_have_run = False
        self._connection: UpstreamConnection | None = None
        self._address = ""
        self._asked: set[str] = set()

    async def run(self) -> Result:
        """Return the response of a server, or why there is none."""
        result: Result = NotExecuted("no instance reaches backend servers")
        while len(self._asked) < MAX_ASKED_COUNT:
            address = self._peers.choose(self._asked)
            if address is None or not self._routed.request.body.resendable:
                break
            self._asked.add(address)
            kind, result = await self._ask(address)
            if kind not in ASK_ANOTHER_KINDS:
                break
            if kind != LEAVING_KIND:
                self._peers.mark_lost(address)
        self._record(result)
        return result

    def close(self) -> None:
        """Close the connection to the other instance."""
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.close()
            counts = connection.take_byte_counts()
            self._meter.count_relayed_exchange(self._address, *counts)

    def _record(self, result: Result) -> None:
        label = {ServerResponse: "served", NotExecuted: "not-run", ResponseLost: "lost"}
        tag = label[type(result)]
        metrics.RELAYED.labels(self._routed.service, tag).inc()
        _log.info(
            f"had another instance serve a request: {tag}",
            request_id=self._routed.request.request_id,
            asked=" ".join(self._asked),
        )

    async def _ask(self, address: str) -> tuple[str, Result]:
        """Return the kind of the other instance's error, if any, and the result."""
        self.close()
        try:
            stream = await open_stream(address, CONNECT_TIMEOUT_MS)
        except ConnectError:
            return PATHS_LOST_KIND, NotExecuted("an instance could not be reached")
        self._connection = connection = UpstreamConnection(stream)
        self._address = address
        request = self._routed.request
        self.may_have_run = True
        identity = EchoedHeader(names.REQUEST_ID, request.request_id)
        answer = connection.start(
            request.method,
            request.target,
            self._headers(),
            request.body.buffered_start(),
            identity,
        )
        head = await send_until_head(connection, answer, request.body)
        if head is None:
            return "", ResponseLost("another instance gave no response")
        return await self._classify(address, answer, *head)

    def _headers(self) -> HTTPHeaders:
        headers = self._routed.forwarded_headers(
            self._header_names, self._routed.remaining_ms(self._clock)
        )
        headers[names.RELAYED_FOR] = self._routed.request.remote_ip
        headers[names.RELAYED_BY] = self._own_address
        hop_names = [names.RELAYED_FOR, names.RELAYED_BY]
        organisation = self._routed.organisation
        if organisation is not None:
            headers[names.RELAYED_ORGANISATION] = encode_header_text(organisation.name)
            hop_names.append(names.RELAYED_ORGANISATION)
        # Named here, headers end at the other instance.
        headers["Connection"] = ", ".join(("close", *hop_names))
        return headers

    async def _classify(
        self,
        address: str,
        answer: UpstreamResponse,
        start_line: ResponseStartLine,
        headers: HTTPHeaders,
    ) -> tuple[str, Result]:
        tag = headers.get(names.OUTCOME)
        if tag == Done.tag:
            self._peers.mark_serving(address)
            self._record_departure(headers)
            return "", ServerResponse(start_line, headers, HeldBody(), answer.body)
        kind = _error_kind(await drain(answer))
        if tag == NotRun.tag:
            self.may_have_run = False
            reason = f"another instance did not run it: {kind}"
            return kind, NotExecuted(reason, parse_retry_after(headers))
        return "", ResponseLost(f"another instance responded with {start_line.code}")

    def _record_departure(self, headers: HTTPHeaders) -> None:
        server_id, _, incarnation = headers.get(names.RELAYED_SERVER, "").partition("/")
        if incarnation.isdecimal():
            self._notices.record_relayed_response(server_id, int(incarnation), headers)


def _error_kind(body: bytes) -> str:
    try:
        kind = json.loads(body)["error"]
    except (ValueError, TypeError, KeyError):
        return ""
    return kind if isinstance(kind, str) else ""
