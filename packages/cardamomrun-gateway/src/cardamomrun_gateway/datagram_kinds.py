"""What the datagrams on the peer port count as, by their first byte."""

from cardamomrun_fleet.traffic import MessageKind

__all__ = ["datagram_kind"]

# The modules that send these define the bytes; most of them import `load_reports`.
_KINDS = {
    b"\x01": MessageKind.LOAD_REPORT,
    b"\x02": MessageKind.LOAD_REPORT,
    b"\x03": MessageKind.RELAY_MESSAGE,
    b"\x04": MessageKind.RELAY_MESSAGE,
    b"\x05": MessageKind.RELAY_MESSAGE,
    b"\x06": MessageKind.RELAY_MESSAGE,
    b"\x07": MessageKind.PING,
    b"\x08": MessageKind.PING,
    b"\x09": MessageKind.LOAD_REPORT,
    b"\x0a": MessageKind.PERMIT,
    b"\x0b": MessageKind.PERMIT,
    b"\x0c": MessageKind.SERVER_NOTICE,
    b"\x0d": MessageKind.DOCUMENT,
    b"\x0e": MessageKind.DOCUMENT,
    b"\x0f": MessageKind.QUOTA,
    b"\x10": MessageKind.QUOTA,
    b"\x11": MessageKind.QUOTA,
}


def datagram_kind(data: bytes) -> MessageKind:
    """Return the kind of a datagram.

    >>> datagram_kind(bytes([7]))
    <MessageKind.PING: 'ping'>
    """
    return _KINDS.get(data[:1], MessageKind.OTHER)
