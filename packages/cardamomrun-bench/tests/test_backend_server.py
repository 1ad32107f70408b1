"""Tests of the stand-in backend server, its fault modes and the load tool."""

import asyncio
import hashlib
import json
import socket
from dataclasses import replace

import pytest
from tornado.web import Application, RequestHandler

from cardamomrun_base.clock import SystemClock
from cardamomrun_bench.backend_server import BackendServer, BackendServerSettings
from cardamomrun_bench.caller import ClientError, PooledClient
from cardamomrun_bench.faults import FaultMode, Faults
from cardamomrun_bench.load import LoadPlan, run_load


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def _settings(**changes) -> BackendServerSettings:
    settings = BackendServerSettings(
        service="rota-desk",
        stage="production",
        server_id="b1",
        failure_domain="kelowna-a",
        host="127.0.0.1",
        port=_free_port(),
        service_time_ms=1,
        drain_ms=0,
    )
    return replace(settings, **changes)


async def _send_request(settings, method="GET", body=b"", timeout_ms=2_000):
    server = BackendServer(settings, SystemClock())
    server.start()
    address = f"{settings.host}:{settings.port}"
    caller = PooledClient(timeout_ms)
    try:
        headers = {"Execution-Id": "e1"}
        response = await caller.request(address, method, "/x", headers, body)
        return server, response
    finally:
        caller.close()
        await server.stop()


def test_deregistration_carries_the_announced_incarnation():
    """Guards against a stopping server that deregisters its restarted successor."""
    calls = []

    class Admin(RequestHandler):
        def _record(self):
            calls.append((self.request.method, json.loads(self.request.body)))
            self.write({"renew_ms": 60_000})

        put = delete = _record

    async def scenario():
        address = f"127.0.0.1:{_free_port()}"
        admin = Application([(r"/v1/.*/servers/b1", Admin)])
        listener = admin.listen(int(address.split(":")[1]), "127.0.0.1")
        server = BackendServer(_settings(announce_to=(address,)), SystemClock())
        server.start()
        await server.stop()
        listener.stop()

    asyncio.run(scenario())
    announced = {body["incarnation"] for method, body in calls if method == "PUT"}
    method, departure = calls[-1]
    assert method == "DELETE"
    assert announced == {departure["incarnation"]}


STATUSES = [
    (FaultMode.NONE, 200),
    (FaultMode.FAIL, 500),
    (FaultMode.SLOW, 200),
    (FaultMode.SHED, 503),
    (FaultMode.NOT_RUN, 503),
]


@pytest.mark.parametrize(("mode", "status"), STATUSES)
def test_fault_modes_with_a_response(mode, status):
    """Guards against experiments whose fault is never injected."""
    settings = _settings(faults=Faults(mode=mode, slow_factor=2))
    _, response = asyncio.run(_send_request(settings))
    assert response.status == status


@pytest.mark.parametrize(
    "mode", [FaultMode.CUT, FaultMode.CLOSE_EARLY, FaultMode.SILENT]
)
def test_fault_modes_without_a_complete_response(mode):
    """Guards against a client that accepts a truncated response as complete."""
    settings = _settings(faults=Faults(mode=mode))
    with pytest.raises(ClientError):
        asyncio.run(_send_request(settings, timeout_ms=300))


def test_response_carries_the_digest_and_the_execution_id():
    """Guards against load runs that cannot match responses to requests."""
    body = b"petals" * 1_000
    server, response = asyncio.run(_send_request(_settings(), "POST", body))
    seen = json.loads(response.body)
    assert seen["body_sha256"] == hashlib.sha256(body).hexdigest()
    assert seen["execution_id"] == "e1"
    assert server.executions == {"e1": 1}


def test_load_counts_every_request():
    """Guards against a load tool that loses requests from its result."""

    async def scenario():
        settings = _settings(slots=100)
        server = BackendServer(settings, SystemClock())
        server.start()
        address = f"{settings.host}:{settings.port}"
        plan = LoadPlan((address,), "h", 200, 0.5, write_ratio=0.5)
        result = await run_load(plan, SystemClock())
        await server.stop()
        return server, result

    server, result = asyncio.run(scenario())
    assert result.statuses["200"] == result.sent_count
    assert result.wrong_answer_count == 0
    assert set(result.execution_ids) <= set(server.executions)
    assert set(server.executions.values()) == {1}
