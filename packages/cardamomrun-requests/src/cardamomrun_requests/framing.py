"""Body framing and hop-by-hop headers of HTTP/1.1 messages (RFC 9110, RFC 9112)."""

from tornado.httputil import HTTPHeaders, HTTPInputError

__all__ = ["body_length", "end_to_end_headers", "has_no_body"]

HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
    )
)


def body_length(headers: HTTPHeaders) -> int | None:
    """Return the declared length, or None if it is chunked or undeclared.

    Raises `HTTPInputError` on framing that two parsers could read differently.

    >>> body_length(HTTPHeaders({"Content-Length": "5"}))
    5
    """
    length = headers.get("Content-Length")
    coding = headers.get("Transfer-Encoding")
    if coding is not None:
        if length is not None:
            raise HTTPInputError("Content-Length and Transfer-Encoding are both given")
        if coding.lower() != "chunked":
            raise HTTPInputError("the transfer coding is not known")
    if length is None:
        return None
    values = {value.strip() for value in length.split(",")}
    if len(values) != 1:
        raise HTTPInputError("the Content-Length values differ")
    value = values.pop()
    if not (value.isascii() and value.isdigit()):
        raise HTTPInputError("Content-Length is not a number")
    return int(value)


def end_to_end_headers(headers: HTTPHeaders) -> HTTPHeaders:
    """Return a copy without the hop-by-hop headers.

    >>> sorted(end_to_end_headers(HTTPHeaders({"Connection": "X-A", "X-A": "1", "B": "2"})))
    ['B']
    """
    named = headers.get("Connection", "").lower().split(",")
    dropped = HOP_BY_HOP | {name.strip() for name in named}
    kept = HTTPHeaders()
    for name, value in headers.get_all():
        if name.lower() not in dropped:
            kept.add(name, value)
    return kept


def has_no_body(method: str, status: int) -> bool:
    """Return True if a response has no body, regardless of its headers."""
    return method == "HEAD" or status in (204, 304) or status < 200
