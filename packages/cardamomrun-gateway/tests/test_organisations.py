"""Keys and names of organisations, as clients and backend servers see them."""

import asyncio
import contextlib
import json
from types import SimpleNamespace

import eliot
import pytest
from tornado.httputil import HTTPHeaders

from cardamomrun_base import headers as names
from cardamomrun_base.routing_document import Organisation, RouteKind
from cardamomrun_bench.scripted_server import ScriptedServer, Step, parse_response
from cardamomrun_gateway import metrics
from cardamomrun_gateway.crash_guard import RequestIdentity
from cardamomrun_gateway.organisations import (
    Identified,
    KeyMissing,
    KeyUnconfirmed,
    KeyUnknown,
    OrganisationIndex,
    combined_rank,
    identify,
)
from cardamomrun_gateway.request_admission import RequestAdmission
from cardamomrun_requests.request import ClientRequest

from .builders import (
    NAMES,
    document,
    gateway,
    member,
    request,
    response,
    route,
    routing_record,
    until,
)

KEY = "qezu-8302-secret"
BEARER = f"Bearer {KEY}"
ORGANISATION = Organisation("yefi830", (KEY, "second"), rank=1)
ROUTES = [
    route("/a/"),
    route("/b/", RouteKind.NON_IDEMPOTENT),
    route("/public/", is_public=True),
]
HOP = names.RELAYED_ORGANISATION
RELAYED = {names.RELAYED_BY: "127.0.0.1:1", names.RELAYED_FOR: "10.0.0.9"}
SERVED = Step(response())


def content(number=1, organisations=(ORGANISATION,)):
    return document(number, ROUTES, organisations=organisations)


def fields_of(head):
    lines = head.decode("latin1").lower().split("\r\n")[1:]
    return dict(line.split(": ", 1) for line in lines if line)


def decide(headers, path="/a/", organisations=(ORGANISATION,), **changes):
    values = {"is_relayed": False, "may_be_revoked": False} | changes
    (found,) = [item for item in ROUTES if item.prefix == path]
    return identify(
        HTTPHeaders(headers), found, OrganisationIndex(organisations), **values
    )


def test_a_key_beyond_ascii_is_found():
    """Guards against keys that a document accepts and no request can match."""
    organisation = Organisation("yefi830", ("clé",))
    sent = "Bearer clé".encode().decode("latin1")
    assert decide({"Authorization": sent}, organisations=(organisation,)) == (
        Identified(organisation)
    )


RELAYED_NAME = {HOP: "yefi830", "connection": f"close, {HOP}"}
KNOWN = Identified(ORGANISATION)
NOBODY = Identified(None)
DECISIONS = {
    "known key": ({"Authorization": BEARER}, {}, KNOWN),
    "second key": ({"Authorization": "bearer  second "}, {}, KNOWN),
    "no key": ({}, {}, KeyMissing()),
    "empty key": ({"Authorization": "Bearer "}, {}, KeyMissing()),
    "another scheme": ({"Authorization": f"Basic {KEY}"}, {}, KeyMissing()),
    "unknown key": ({"Authorization": "Bearer other"}, {}, KeyUnknown()),
    "two keys": ({"Authorization": f"{BEARER},{BEARER}"}, {}, KeyUnknown()),
    "no keys required": ({}, {"organisations": None}, NOBODY),
    "no organisation": (
        {"Authorization": BEARER}, {"organisations": ()}, KeyUnknown()
    ),
    "public": ({}, {"path": "/public/"}, NOBODY),
    "public, known key": ({"Authorization": BEARER}, {"path": "/public/"}, KNOWN),
    "public, unknown": ({"Authorization": "Bearer x"}, {"path": "/public/"}, NOBODY),
    "may be revoked": (
        {"Authorization": BEARER}, {"may_be_revoked": True}, KeyUnconfirmed()
    ),
    "may be revoked, no key": ({}, {"may_be_revoked": True}, KeyMissing()),
    "may be revoked, public": (
        {}, {"may_be_revoked": True, "path": "/public/"}, NOBODY
    ),
    "relayed": (RELAYED_NAME, {"is_relayed": True, "may_be_revoked": True}, KNOWN),
    "relayed, unknown name": (
        RELAYED_NAME | {HOP: "other"},
        {"is_relayed": True},
        Identified(Organisation("other", ())),
    ),
    "relayed with a key": ({"Authorization": BEARER}, {"is_relayed": True}, KNOWN),
    "relayed with neither": ({}, {"is_relayed": True}, KeyMissing()),
    "forged name": (RELAYED_NAME, {}, KeyMissing()),
    "forged name, passed on by an older release": (
        RELAYED_NAME | {"connection": f"close, {names.RELAYED_BY}"},
        {"is_relayed": True},
        KeyMissing(),
    ),
}  # fmt: skip


@pytest.mark.parametrize("name", DECISIONS)
def test_the_organisation_of_a_request(name):
    headers, changes, expected = DECISIONS[name]
    assert decide(headers, **changes) == expected


def test_requests_are_ordered_by_organisation_and_then_by_route():
    """Guards against a route's priority that outweighs the organisation's."""
    pairs = [(0, 0), (0, 1), (0, 2), (1, 0), (1, 2), (2, 0), (2, 10**9), (3, -1)]
    ranks = [
        combined_rank(Organisation("o", (), rank), route(rank=route_rank))
        for rank, route_rank in pairs
    ]
    assert ranks == sorted(set(ranks))
    assert ranks[:3] == [0, 1, 2]
    assert combined_rank(None, route(rank=2)) == 2


# Headers of the client, path, and the name that the server gets.
FORWARDED = {
    "key": ({"authorization": BEARER}, "/a/x", "yefi830"),
    "key and forged name": (
        {"authorization": BEARER, NAMES.organisation: "rival"}, "/a/x", "yefi830"
    ),
    "forged name": ({NAMES.organisation: "rival"}, "/public/x", None),
    "forged name with underscores": ({NAMES.organisation: "rival"}, "/public/x", None),
    "name of another instance": ({HOP: "yefi830"} | RELAYED, "/public/x", None),
    "public with key": ({"authorization": BEARER}, "/public/x", "yefi830"),
    "public with unknown key": ({"authorization": "Bearer x"}, "/public/x", None),
}  # fmt: skip


@pytest.mark.parametrize("name", FORWARDED)
def test_servers_get_the_name_and_not_the_key(name):
    """Guards against keys that reach servers, and names that clients choose."""
    headers, path, expected = FORWARDED[name]

    async def main():
        server = ScriptedServer([SERVED])
        async with gateway(server, content=content()) as running:
            data = request(path=path, **headers)
            if "underscores" in name:
                hyphens = NAMES.organisation.encode()
                data = data.replace(hyphens, hyphens.replace(b"-", b"_"))
            assert parse_response(await running.raw(data)).status == 200
            (head,) = server.heads
            assert fields_of(head).get(NAMES.organisation.lower()) == expected
            for hidden in (b"authorization", b"secret", b"rival", HOP.lower().encode()):
                assert hidden not in head.lower()

    asyncio.run(main())


def test_a_name_beyond_latin_1_reaches_the_server_as_utf_8():
    async def main():
        server = ScriptedServer([SERVED])
        named = content(organisations=(Organisation("Łódź", (KEY,)),))
        async with gateway(server, content=named) as running:
            received = await running.call(authorization=BEARER)
            assert received.status == 200
            assert f"{NAMES.organisation}: Łódź".encode() in server.heads[0]

    asyncio.run(main())


def test_a_document_without_organisations_changes_no_header():
    async def main():
        server = ScriptedServer([SERVED])
        async with gateway(server, content=content(organisations=None)) as running:
            sent = {"authorization": "Basic own", NAMES.organisation: "given"}
            assert (await running.call(**sent)).status == 200
            fields = fields_of(server.heads[0])
            assert fields["authorization"] == "basic own"
            assert fields[NAMES.organisation.lower()] == "given"

    asyncio.run(main())


def rejections(reason):
    return metrics.KEY_REJECTIONS.labels(reason)._value.get()


@pytest.mark.parametrize(
    ("headers", "kind"),
    [({}, "key-missing"), ({"authorization": "Bearer wrong"}, "key-unknown")],
)
def test_a_request_without_a_valid_key_is_rejected(headers, kind):
    async def main():
        server = ScriptedServer([SERVED])
        async with gateway(server, content=content()) as running:
            before = rejections(kind)
            received = await running.call("POST", "/b/x", b"1", **headers)
            assert (received.status, received.outcome) == (401, "not-run")
            assert received.headers["www-authenticate"].startswith("Bearer ")
            assert json.loads(received.body)["error"] == kind
            assert rejections(kind) == before + 1
            # A newer document may have the key.
            running.has_newest_document = False
            received = await running.call("POST", "/b/x", b"1", **headers)
            assert (received.status, received.outcome) == (503, "not-run")
            assert float(received.headers["retry-after"]) > 0
            assert (await running.call(path="/public/x", **headers)).status == 200
            assert len(server.heads) == 1

    asyncio.run(main())


def test_a_removed_key_is_rejected_on_an_open_connection():
    """Guards against a connection that goes on using the key that it began with."""

    async def main():
        server = ScriptedServer([SERVED])
        async with gateway(server, content=content()) as running:
            data = request(connection="keep-alive", authorization=BEARER)
            reader, writer = await running.connect()
            writer.write(data)
            await reader.readuntil(b"\r\n\r\nok")
            kept = Organisation("yefi830", ("second",))
            running.store.put(routing_record(content(2, (kept,))))
            writer.write(data)
            assert b" 401 " in await reader.readline()
            writer.close()
            assert len(server.heads) == 1

    asyncio.run(main())


def test_strict_revocation_rejects_keys_of_an_unconfirmed_document():
    async def main():
        server = ScriptedServer([SERVED])
        async with gateway(server, content=content()) as running:
            running.has_newest_document = False
            assert (await running.call(authorization=BEARER)).status == 200
            running.may_be_revoked = True
            received = await running.call(authorization=BEARER)
            assert (received.status, received.outcome) == (503, "not-run")
            assert (await running.call(path="/public/x")).status == 200
            assert len(server.heads) == 2

    asyncio.run(main())


@contextlib.asynccontextmanager
async def relaying(own, others):
    """Run an instance that lost its paths, and one that serves its requests."""
    server = ScriptedServer([SERVED])
    async with (
        gateway(content=own) as running,
        gateway(server, name="e2", content=others) as other,
    ):
        for instance, peer, name in ((running, other, "e2"), (other, running, "e1")):
            port = peer.settings.front_port
            instance.fleet.listed = [member(name, port=port)]
        running.paths.are_lost = True
        yield running, other, server


OTHER_DOCUMENTS = {
    "same": content(),
    "newer without the key": content(2, (Organisation("yefi830", ("second",)),)),
    "newer without the organisation": content(2, ()),
    "older without organisations": content(1, None),
}


@pytest.mark.parametrize("name", OTHER_DOCUMENTS)
@pytest.mark.parametrize("path", ["/a/x", "/public/x"])
def test_a_relayed_request_has_the_name_and_not_the_key(name, path):
    """Guards against keys that leave the instance, and keys that are checked twice."""

    async def main():
        both = relaying(content(), OTHER_DOCUMENTS[name])
        async with both as (running, other, server):
            other.may_be_revoked = True
            received = await running.call(
                path=path, authorization=BEARER, **{NAMES.organisation: "rival"}
            )
            assert received.status == 200
            assert received.headers["cardamomrun-instance"] == "e1"
            (head,) = server.heads
            assert fields_of(head)[NAMES.organisation.lower()] == "yefi830"
            for hidden in (b"authorization", b"secret", b"rival", HOP.lower().encode()):
                assert hidden not in head.lower()

    asyncio.run(main())


def test_a_forged_name_is_not_relayed():
    """Guards against a client that is believed because an instance passes it on."""

    async def main():
        both = relaying(content(), content())
        async with both as (running, _, server):
            # Client and instances have the same address here.
            running.peers.is_member = lambda host: False
            received = await running.call(path="/public/x", **{HOP: "yefi830"})
            assert received.status == 200
            assert NAMES.organisation.lower() not in fields_of(server.heads[0])

    asyncio.run(main())


def test_the_key_of_a_request_that_an_older_release_relays_is_looked_up():
    async def main():
        server = ScriptedServer([SERVED])
        async with gateway(server, content=content()) as running:
            running.fleet.listed = [member("e2")]
            received = await running.call(authorization=BEARER, **RELAYED)
            assert received.status == 200
            fields = fields_of(server.heads[0])
            assert fields[NAMES.organisation.lower()] == "yefi830"
            assert "authorization" not in fields
            received = await running.call(authorization="Bearer wrong", **RELAYED)
            assert received.status == 401

    asyncio.run(main())


@contextlib.contextmanager
def captured_logs():
    entries = []
    eliot.add_destinations(entries.append)
    try:
        yield entries
    finally:
        eliot.remove_destination(entries.append)


def test_the_log_of_requests_shows_no_key(monkeypatch):
    """Guards against keys in the log of rejections and of unexpected errors."""

    async def main():
        server = ScriptedServer([SERVED])
        async with gateway(server, content=content(organisations=())) as running:
            with captured_logs() as entries:
                assert (await running.call(authorization=BEARER)).status == 401

                def admit(self, request, arrived_ms, *, is_relayed):
                    raise ValueError(request.headers["Authorization"])

                monkeypatch.setattr(RequestAdmission, "admit", admit)
                assert (await running.call(authorization=BEARER)).status == 500
                await until(lambda: "unexpectedly" in str(entries))
            assert "ValueError at test_organisations.py" in str(entries)
            assert KEY not in str(entries)

    asyncio.run(main())


def test_crash_records_and_representations_do_not_depend_on_the_key():
    """Guards against keys in the records that instances store about crashes."""

    def client_request(key):
        body = SimpleNamespace(prefix=b"body")
        headers = HTTPHeaders({"Authorization": f"Bearer {key}"})
        return ClientRequest("GET", "/a", "HTTP/1.1", headers, body, "10.0.0.9", "id-1")

    first, second = client_request(KEY), client_request("second")
    assert RequestIdentity.of(first, "c") == RequestIdentity.of(second, "c")
    assert KEY not in repr(first)
