"""Counts of datagrams, requests to backend servers and their announcements."""

import asyncio
from types import SimpleNamespace

import pytest
from prometheus_client import REGISTRY

from cardamomrun_base.clock import ManualClock
from cardamomrun_base.messages import (
    ClaimAnswer,
    ClaimRequest,
    ClaimUpdate,
    ConfirmedNumber,
    DocumentRequest,
    Report,
    ReportAnswer,
)
from cardamomrun_base.settings import GatewaySettings
from cardamomrun_bench.scripted_server import ScriptedServer, Step
from cardamomrun_control import messages as control
from cardamomrun_control.newest_number import NewestNumberRequest
from cardamomrun_control.routing_service import ForwardRequest, ForwardResponse
from cardamomrun_control.status import Status, StatusRequest
from cardamomrun_fleet.traffic import MessageKind, TrafficMeter, kind_of
from cardamomrun_gateway import document_check, load_reports, permits, server_notices
from cardamomrun_gateway.datagram_kinds import datagram_kind
from cardamomrun_gateway.fleet_load import FleetLoad
from cardamomrun_gateway.load_reports import LoadReports
from cardamomrun_gateway.retry_budget import RetryBudget
from cardamomrun_gateway.server_registry import RoutedAnnouncement, ServerRegistry

from .builders import (
    FakeFleet,
    FakeStore,
    document,
    gateway,
    gateway_settings,
    member_record,
    response,
    route,
    server_body,
    server_record,
)


def counted(kind, scope="own"):
    """Return the bytes and messages counted so far."""
    labels = {"kind": kind, "failure_domain": scope}
    names = ("cardamomrun_traffic_bytes_total", "cardamomrun_traffic_messages_total")
    return [REGISTRY.get_sample_value(name, labels) or 0 for name in names]


def difference(before, after):
    return [now - then for now, then in zip(after, before, strict=True)]


@pytest.mark.parametrize(
    "data,kind",
    [
        (load_reports.REPORT, "load-report"),
        (load_reports.URGENT_REPORT, "load-report"),
        (load_reports.LEAVE, "load-report"),
        (load_reports.LOCAL_BATCH, "relay-message"),
        (load_reports.REMOTE_MESSAGE, "relay-message"),
        (load_reports.URGENT_REMOTE_MESSAGE, "relay-message"),
        (load_reports.COPY_REQUEST, "relay-message"),
        (load_reports.PING, "ping"),
        (load_reports.PONG, "ping"),
        (permits.ASK, "permit"),
        (permits.ANSWER, "permit"),
        (server_notices.NOTICE, "server-notice"),
        (document_check.ASK, "document"),
        (document_check.ANSWER, "document"),
        (b"\xf0", "other"),
        (b"", "other"),
    ],
)
def test_each_datagram_has_its_kind(data, kind):
    """Guards against a changed first byte, by which a datagram counts as another."""
    assert datagram_kind(data) == kind


@pytest.mark.parametrize("scope,domain", [("own", "kelowna-a"), ("other", "vernon-a")])
def test_a_datagram_is_counted_once_when_it_is_sent(scope, domain):
    """Guards against bytes counted twice, before the port is open, or elsewhere."""
    fleet, clock, sent = FakeFleet("e1"), ManualClock(), []
    load = FleetLoad(clock, fleet.store, "e1")
    budget = RetryBudget(GatewaySettings(), clock)
    settings = gateway_settings("e1", "kelowna-a")
    reports = LoadReports(settings, clock, fleet, load, budget)
    fleet.store.put(member_record("e2", domain, port=9))
    before = counted("permit", scope)
    reports.send(permits.ASK + b"12345", ("127.0.0.1", 9))
    assert counted("permit", scope) == before
    reports._transport = SimpleNamespace(
        is_closing=lambda: False, sendto=lambda *message: sent.append(message)
    )
    reports.send(permits.ASK + b"12345", ("127.0.0.1", 9))
    assert len(sent) == 1
    assert difference(before, counted("permit", scope)) == [6, 1]


@pytest.mark.parametrize("scope,domain", [("own", "kelowna-a"), ("other", "vernon-a")])
def test_a_request_and_its_response_are_counted_by_the_domain_of_the_server(
    scope, domain
):
    """Guards against requests that cross failure domains and are not counted so."""
    reply = response(b"o" * 700)
    server = ScriptedServer([Step(reply), Step(reply)])

    async def check():
        async with gateway(server, content=document(routes=[route()])) as running:
            port = running.load.get("b1").body.address.rpartition(":")[2]
            body = server_body(
                "b1", domain=domain, address=f"127.0.0.1:{port}", incarnation=2
            )
            running.store.put(server_record(body))
            kinds = ("server-request", "server-response")
            before = [counted(kind, scope) for kind in kinds]
            upload = b"u" * 300
            for _ in range(2):
                received = await running.call("POST", body=upload)
                assert received.status == 200
            sent, answered = (
                difference(then, counted(kind, scope))
                for then, kind in zip(before, kinds, strict=True)
            )
        heads = [head for head in server.heads if head.startswith(b"POST")]
        assert sent == [sum(map(len, heads)) + 2 * len(upload), 2]
        assert answered == [2 * len(reply), 2]

    asyncio.run(check())


@pytest.mark.parametrize("scope,domain", [("own", "kelowna-a"), ("other", "vernon-a")])
def test_an_announcement_is_counted_by_the_domain_of_its_server(scope, domain):
    """Guards against announcements that are left out or counted twice."""
    fleet = FakeFleet("c1")
    control_stand_in = SimpleNamespace(
        is_retired=lambda *_: False, has_lost_contact=lambda: False
    )
    registry = ServerRegistry(
        ManualClock(), fleet, control_stand_in, TrafficMeter("kelowna-a", FakeStore())
    )
    announcement = RoutedAnnouncement(
        "b1", 100, 4, "rota-desk", "10.0.0.1:80", domain, 4, False, 0
    )
    before = counted("announcement", scope)
    asyncio.run(registry.announce(announcement))
    assert difference(before, counted("announcement", scope)) == [0, 1]


KINDS = {
    MessageKind.CONTROL_LOG: [
        control.VoteRequest,
        control.VoteResponse,
        control.AppendRequest,
        control.AppendResponse,
        control.Resignation,
        control.SnapshotChunk,
        control.SnapshotResponse,
        control.IdentityRequest,
        control.IdentityResponse,
    ],
    MessageKind.LEADER: [
        NewestNumberRequest,
        ConfirmedNumber,
        ForwardRequest,
        ForwardResponse,
        StatusRequest,
        Status,
        Report,
        ReportAnswer,
    ],
    MessageKind.DOCUMENT: [DocumentRequest],
    MessageKind.CLAIM: [ClaimRequest, ClaimAnswer, ClaimUpdate],
}


@pytest.mark.parametrize("kind", KINDS)
def test_messages_of_other_packages_have_their_kind(kind):
    """Guards against a renamed message that counts as another kind from then on."""
    assert {kind_of(message_type) for message_type in KINDS[kind]} == {kind}
