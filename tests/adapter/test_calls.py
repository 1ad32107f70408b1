"""Each call of the platform, served with fakes of the node's parts."""

import asyncio
from types import SimpleNamespace

import pytest
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from cardamomrun_base.clock import SystemClock
from cardamomrun_base.errors import DocumentError, UnavailableError
from cardamomrun_bench.scripted_server import free_port
from cardamomrun_platform.calls import open_listeners
from cardamomrun_platform.manifest import decode_manifest
from cardamomrun_requests.client_memory import ClientMemory

from .builders import check_in, manifest, node_settings


def no_majority():
    return UnavailableError("no majority.", remedy="none")


class FakeControl:
    def __init__(self):
        self.document = None
        self.error = None

    async def put(self, document, operator):
        self._raise()
        self.document = document

    async def read(self):
        self._raise()
        return self.document

    def _raise(self):
        if self.error is not None:
            raise self.error


class FakeRegistry:
    def __init__(self):
        self.calls = []
        self.error = None

    async def announce(self, announcement):
        if self.error is not None:
            raise self.error
        self.calls.append(("announce", announcement.server_id))

    async def leave(self, server_id, incarnation):
        if self.error is not None:
            raise self.error
        self.calls.append(("leave", server_id, incarnation))


class FakeNode:
    def __init__(self):
        self.is_ready = True
        self.control = FakeControl()
        self.registry = FakeRegistry()
        self.known_addresses = ["10.1.0.35:8144"]
        self.addresses = SimpleNamespace(addresses=self._addresses)
        self.client_memory = ClientMemory(node_settings(), SystemClock())
        self.queried_domains = []

    def _addresses(self, failure_domain):
        self.queried_domains.append(failure_domain)
        return self.known_addresses


def serve_call(node, method, path, body=None):
    """Open the listeners, send one request and return its status and body."""

    async def main():
        address = f"127.0.0.1:{free_port()}"
        metrics = f"127.0.0.1:{free_port()}"
        settings = SimpleNamespace(
            node=SimpleNamespace(directory_ttl_ms=1_000),
            ready_address=address if "ready" in path else None,
            directory_address=address if "resolve" in path else None,
            control_address=address if "rpc" in path else None,
            metrics_address=metrics,
        )
        listeners = open_listeners(settings, node)
        try:
            request = HTTPRequest(f"http://{address}{path}", method, body=body)
            answer = await AsyncHTTPClient().fetch(request, raise_error=False)
            return answer.code, answer.body
        finally:
            for listener in listeners:
                listener.stop()

    return asyncio.run(main())


@pytest.mark.parametrize(("is_ready", "status"), [(True, 200), (False, 503)])
def test_ready(is_ready, status):
    node = FakeNode()
    node.is_ready = is_ready
    assert serve_call(node, "GET", "/v1/ready")[0] == status


def test_resolve_returns_addresses_and_their_time_to_live():
    node = FakeNode()
    query = "name=a.example&region=bc-interior&zone=vernon-a"
    status, body = serve_call(node, "GET", f"/v1/resolve?{query}")
    assert status == 200
    assert body == b'{"addresses": ["10.1.0.35:8144"], "ttl_s": 1.0}'
    assert node.queried_domains == ["vernon-a"]


def test_resolve_without_any_address_answers_503():
    node = FakeNode()
    node.known_addresses = []
    assert serve_call(node, "GET", "/v1/resolve?zone=vernon-a")[0] == 503


@pytest.mark.parametrize(("memory_mb", "status"), [(104.0, 200), (64.0, 503)])
def test_a_manifest_of_some_megabytes_is_taken_if_there_is_memory(memory_mb, status):
    """Guards against a document of 28,000 organisations that is refused."""
    node = FakeNode()
    node.client_memory = ClientMemory(node_settings(memory_mb=memory_mb), SystemClock())
    body = manifest(padding="x" * 5_000_000)
    assert serve_call(node, "POST", PUT, body)[0] == status
    assert (node.control.document is not None) == (status == 200)


def test_a_long_body_of_a_small_call_is_not_read():
    """Guards against memory for bodies that no call needs."""
    assert serve_call(FakeNode(), "POST", "/v1/ready", bytes(100_000))[0] != 200


PUT = "/v1/rpc?call=config.put"
GET = "/v1/rpc?call=config.get"
CHECK_IN = "/v1/rpc?call=instances.heartbeat&of=i-1"
LEAVE = "/v1/rpc?call=instances.deregister&of=i-1"
# Path, body, error of the node's part, status.
CALLS = {
    "put": (PUT, manifest(), None, 200),
    "put, unreadable": (PUT, manifest()[:-9], None, 400),
    "put, invalid": (PUT, manifest(), DocumentError("odd.", remedy="none"), 400),
    "put, no majority": (PUT, manifest(), no_majority(), 503),
    "get, nothing yet": (GET, b"", None, 503),
    "get, not sure": (GET, b"", no_majority(), 503),
    "check-in": (CHECK_IN, check_in(), None, 200),
    "check-in, draining, no majority": (
        CHECK_IN, check_in(state="draining"), no_majority(), 503,
    ),
    "check-in, unreadable": (CHECK_IN, b"{", None, 400),
    "check-in, unknown state": (CHECK_IN, check_in(state="odd"), None, 400),
    "leave": (LEAVE, b"", None, 200),
    "leave, no majority": (LEAVE, b"", no_majority(), 503),
    "leave, unreadable": (LEAVE, b"{", None, 400),
    "unknown call": ("/v1/rpc?call=odd", b"", None, 404),
    "no call": ("/v1/rpc", b"", None, 404),
}  # fmt: skip


@pytest.mark.parametrize("name", CALLS)
def test_calls(name):
    path, body, error, status = CALLS[name]
    node = FakeNode()
    node.control.error = node.registry.error = error
    assert serve_call(node, "POST", path, body)[0] == status


def test_a_read_returns_the_bytes_that_were_put():
    node = FakeNode()
    node.control.document = decode_manifest(manifest("0000000a"))
    assert serve_call(node, "POST", GET, b"") == (200, manifest("0000000a"))


def test_check_ins_and_deregistrations_reach_the_registry():
    node = FakeNode()
    serve_call(node, "POST", CHECK_IN, check_in())
    serve_call(node, "POST", LEAVE, b'{"born": 7}')
    assert node.registry.calls == [("announce", "i-1"), ("leave", "i-1", 7)]


def test_callers_are_served_if_the_metrics_port_is_in_use():
    """Guards against an instance that does not start because its metrics port is in use."""

    async def main():
        address = f"127.0.0.1:{free_port()}"
        settings = SimpleNamespace(
            node=SimpleNamespace(directory_ttl_ms=1_000),
            ready_address=address,
            directory_address=None,
            control_address=None,
            metrics_address=address,
        )
        listeners = open_listeners(settings, FakeNode())
        answer = await AsyncHTTPClient().fetch(f"http://{address}/v1/ready")
        assert answer.code == 200
        for listener in listeners:
            listener.stop()

    asyncio.run(main())
