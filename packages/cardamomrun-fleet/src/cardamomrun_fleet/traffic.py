"""Counts what an instance sends, by kind of message and failure domain."""

from collections.abc import Iterable
from enum import StrEnum
from typing import Any

from cardamomrun_base.codec import message_name
from cardamomrun_base.interfaces import RecordStore
from cardamomrun_base.model import (
    InstanceId,
    MemberBody,
    MemberPhase,
    Record,
    RecordKind,
)
from cardamomrun_fleet import metrics
from cardamomrun_fleet.exchange import Delivery, FloodedBatch

__all__ = [
    "MessageKind",
    "Share",
    "TrafficMeter",
    "kind_of",
    "kind_of_encoded",
    "message_shares",
]

# Values of the label `failure_domain`.
OWN = "own"
OTHER = "other"
UNKNOWN = "unknown"
# Payload of a ping of the websockets library.
PING_BYTES = 4
# A CBOR head of this major type holds lengths below 24 in its lower five bits.
TEXT_HEAD = 0x60
SHORT_LENGTH_END = 24

# A kind of message, and how many bytes of a frame belong to it.
Share = tuple[str, int]


class MessageKind(StrEnum):
    """Kinds of messages; records are flooded as `flood-` and the kind of the record."""

    SERVER_REQUEST = "server-request"
    SERVER_RESPONSE = "server-response"
    RELAYED_REQUEST = "relayed-request"
    RELAYED_RESPONSE = "relayed-response"
    ANNOUNCEMENT = "announcement"
    LOAD_REPORT = "load-report"
    RELAY_MESSAGE = "relay-message"
    SERVER_NOTICE = "server-notice"
    PERMIT = "permit"
    QUOTA = "quota"
    DOCUMENT = "document"
    PING = "ping"
    FLOOD = "flood"
    FLOOD_FINGERPRINTS = "flood-fingerprints"
    EXCHANGE = "exchange"
    EXCHANGE_RECORDS = "exchange-records"
    CONTROL_LOG = "control-log"
    LEADER = "leader"
    CLAIM = "claim"
    OTHER = "other"


# By the name on the wire, since most packages that define messages import this one.
_KIND_BY_MESSAGE_NAME = {
    "flooded": MessageKind.FLOOD,
    "delivery": MessageKind.FLOOD,
    "announced": MessageKind.FLOOD_FINGERPRINTS,
    "pull": MessageKind.FLOOD_FINGERPRINTS,
    "prune": MessageKind.FLOOD_FINGERPRINTS,
    "records": MessageKind.EXCHANGE_RECORDS,
    "snapshot-request": MessageKind.EXCHANGE,
    "digests-request": MessageKind.EXCHANGE,
    "digests": MessageKind.EXCHANGE,
    "fingerprints": MessageKind.EXCHANGE,
    "wanted": MessageKind.EXCHANGE,
    "control-vote": MessageKind.CONTROL_LOG,
    "control-append": MessageKind.CONTROL_LOG,
    "control-vote-answer": MessageKind.CONTROL_LOG,
    "control-append-answer": MessageKind.CONTROL_LOG,
    "control-snapshot-answer": MessageKind.CONTROL_LOG,
    "control-identity-answer": MessageKind.CONTROL_LOG,
    "control-resignation": MessageKind.CONTROL_LOG,
    "control-snapshot-chunk": MessageKind.CONTROL_LOG,
    "control-identity-request": MessageKind.CONTROL_LOG,
    "control-newest-number": MessageKind.LEADER,
    "control-forward": MessageKind.LEADER,
    "control-status-request": MessageKind.LEADER,
    "report": MessageKind.LEADER,
    "control-newest-number-answer": MessageKind.LEADER,
    "control-forward-answer": MessageKind.LEADER,
    "control-status": MessageKind.LEADER,
    "report-answer": MessageKind.LEADER,
    "control-document-request": MessageKind.DOCUMENT,
    "claim": MessageKind.CLAIM,
    "claim-update": MessageKind.CLAIM,
    "claim-answer": MessageKind.CLAIM,
}


def kind_of(message_type: type) -> MessageKind:
    """Return the kind of a message on a link; an answer has that of its request."""
    return _KIND_BY_MESSAGE_NAME.get(message_name(message_type), MessageKind.OTHER)


def kind_of_encoded(message: bytes) -> MessageKind:
    """Return the kind of an encoded message or answer, before it is decoded."""
    name, _ = _short_text(message, 1)
    return _KIND_BY_MESSAGE_NAME.get(name, MessageKind.OTHER)


def message_shares(content: Any) -> tuple[Share, ...]:
    """Return the kinds in a message; the first one also gets what is left of it."""
    if isinstance(content, (FloodedBatch, Delivery)) and content.records:
        return tuple(
            (f"{MessageKind.FLOOD}-{_record_kind(data)}", len(data))
            for data, _ in content.records
        )
    return ((kind_of(type(content)), 0),)


def _record_kind(encoded: bytes) -> str:
    """Return the kind of an encoded record without decoding the rest of it."""
    # A list of two with the name of the message, then a list that begins with the kind.
    kind, _ = _short_text(encoded, _short_text(encoded, 1)[1] + 1)
    return kind if kind in _RECORD_KINDS else MessageKind.OTHER


def _short_text(data: bytes, start: int) -> tuple[str, int]:
    """Return the short text at `start` and where it ends; empty if there is none."""
    length = data[start] - TEXT_HEAD if start < len(data) else -1
    if not 0 <= length < SHORT_LENGTH_END:
        return "", start + 1
    end = start + 1 + length
    return data[start + 1 : end].decode(errors="replace"), end


_RECORD_KINDS = frozenset(RecordKind)


class TrafficMeter:
    """Counts messages of one instance in the metrics of its process.

    Knows the failure domains of the other instances from their member records.
    """

    def __init__(self, failure_domain: str, store: RecordStore) -> None:
        self._failure_domain = failure_domain
        self._scope_by_id: dict[InstanceId, str] = {}
        self._scope_by_address: dict[tuple[str, int], str] = {}
        # Looking up the children of a metric costs more than counting.
        self._children: dict[tuple[str, str], tuple[Any, Any]] = {}
        for record in store.all(RecordKind.MEMBER):
            self._on_member(record)
        store.subscribe(RecordKind.MEMBER, self._on_member)

    def count_frame(
        self, peer_id: InstanceId, frame_bytes: int, shares: Iterable[Share]
    ) -> None:
        """Count a frame sent on a link; what `shares` leave belongs to the first."""
        scope = self._scope_by_id.get(peer_id, UNKNOWN)
        left_bytes = frame_bytes - sum(share_bytes for _, share_bytes in shares)
        for kind, share_bytes in shares:
            self._count(kind, scope, share_bytes + left_bytes)
            left_bytes = 0

    def count_ping(self, peer_id: InstanceId) -> None:
        """Count a ping sent on a link."""
        scope = self._scope_by_id.get(peer_id, UNKNOWN)
        self._count(MessageKind.PING, scope, PING_BYTES)

    def count_datagram(self, kind: str, address: Any, size_bytes: int) -> None:
        """Count a datagram sent to the peer port of an instance."""
        scope = self._scope_by_address.get(address[:2], UNKNOWN)
        self._count(kind, scope, size_bytes)

    def count_server_exchange(
        self, failure_domain: str, sent_bytes: int, received_bytes: int
    ) -> None:
        """Count a request to a backend server, and the response to it."""
        scope = self._scope_of(failure_domain)
        self._count(MessageKind.SERVER_REQUEST, scope, sent_bytes)
        self._count(MessageKind.SERVER_RESPONSE, scope, received_bytes)

    def count_relayed_exchange(
        self, front_address: str, sent_bytes: int, received_bytes: int
    ) -> None:
        """Count a request that another instance was asked to run, and its response."""
        address = _host_and_port(front_address)
        scope = UNKNOWN
        if address is not None:
            scope = self._scope_by_address.get(address, UNKNOWN)
        self._count(MessageKind.RELAYED_REQUEST, scope, sent_bytes)
        self._count(MessageKind.RELAYED_RESPONSE, scope, received_bytes)

    def count_announcement(self, failure_domain: str) -> None:
        """Count an announcement of a backend server, whose size is not known here."""
        self._count(MessageKind.ANNOUNCEMENT, self._scope_of(failure_domain), 0)

    def _scope_of(self, failure_domain: str) -> str:
        return OWN if failure_domain == self._failure_domain else OTHER

    def _count(self, kind: str, scope: str, size_bytes: int) -> None:
        children = self._children.get((kind, scope))
        if children is None:
            children = (
                metrics.TRAFFIC_BYTES.labels(kind, scope),
                metrics.TRAFFIC_MESSAGES.labels(kind, scope),
            )
            self._children[kind, scope] = children
        bytes_child, messages_child = children
        if size_bytes:
            bytes_child.inc(size_bytes)
        messages_child.inc()

    def _on_member(self, record: Record) -> None:
        body: MemberBody = record.content
        addresses = [
            address
            for text in (body.peer_address, body.front_address)
            if (address := _host_and_port(text)) is not None
        ]
        if body.phase is MemberPhase.GONE:
            self._scope_by_id.pop(body.instance_id, None)
            for address in addresses:
                self._scope_by_address.pop(address, None)
            return
        scope = self._scope_of(body.failure_domain)
        self._scope_by_id[body.instance_id] = scope
        self._scope_by_address.update(dict.fromkeys(addresses, scope))


def _host_and_port(address: str) -> tuple[str, int] | None:
    host, _, port = address.rpartition(":")
    return (host.strip("[]"), int(port)) if port.isdecimal() else None
