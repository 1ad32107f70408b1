"""HTTP calls to admin listeners with tornado's curl client.

Not for the request path: libcurl resends a POST by itself if a reused connection closes
before the first response byte. The calls made here are idempotent by contract.
"""

import json
from dataclasses import dataclass
from typing import Any

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPRequest, HTTPResponse

from cardamomrun_base.clock import MS_PER_S
from cardamomrun_base.errors import UnavailableError

__all__ = ["CallResponse", "call"]

CONNECT_TIMEOUT_MS = 1_000


@dataclass(frozen=True)
class CallResponse:
    """An HTTP response; `body` is the decoded JSON, or the text if it is not JSON."""

    status: int
    body: Any


async def call(
    method: str,
    url: str,
    *,
    body: Any = None,
    token: str | None = None,
    headers: dict[str, str] | None = None,
    timeout_ms: int = 5_000,
) -> CallResponse:
    """Send a request with an optional JSON body and return the response of any status.

    Raises `UnavailableError` if no response arrived within `timeout_ms`.
    """
    all_headers = {"Content-Type": "application/json", **(headers or {})}
    if token is not None:
        all_headers["Authorization"] = f"Bearer {token}"
    request = HTTPRequest(
        url,
        method=method,
        headers=all_headers,
        body=None if body is None else json.dumps(body),
        allow_nonstandard_methods=True,
        connect_timeout=min(CONNECT_TIMEOUT_MS, timeout_ms) / MS_PER_S,
        request_timeout=timeout_ms / MS_PER_S,
        follow_redirects=False,
        prepare_curl_callback=_ignore_proxy_variables,
    )
    try:
        response = await CurlAsyncHTTPClient().fetch(request, raise_error=False)
    except CurlError as error:
        raise UnavailableError(
            f"no response from {url}: {error}.",
            remedy="check that the node is running and that the address is correct",
        ) from error
    return _decode_response(response)


def _ignore_proxy_variables(curl: Any) -> None:
    curl.setopt(pycurl.NOPROXY, "*")


def _decode_response(response: HTTPResponse) -> CallResponse:
    text = response.body.decode("utf-8", "replace") if response.body else ""
    try:
        return CallResponse(response.code, json.loads(text))
    except ValueError:
        return CallResponse(response.code, text)
