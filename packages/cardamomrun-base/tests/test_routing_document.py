"""Routing documents between releases that know different fields."""

import zlib
from dataclasses import dataclass

import cbor2
import pytest

from cardamomrun_base.codec import decode, encode, message
from cardamomrun_base.errors import DocumentError
from cardamomrun_base.routing_document import (
    FrontLimits,
    Organisation,
    RoutedService,
    RouteKind,
    RoutingDocument,
    RoutingRoute,
    ServiceWeight,
    pack_routing,
    unpack_routing,
)

KEY = "qezu-8302-secret"
DOCUMENT_FIELD_COUNT = 5
ROUTE_FIELD_COUNT = 9


@dataclass(frozen=True)
class OldRoute:
    """A route as releases without organisations know it."""

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_ms: float
    objective_ms: float
    rank: int
    attempt_count: int
    split: tuple[ServiceWeight, ...]


@message("test-old-routing-document")
@dataclass(frozen=True)
class OldDocument:
    """A document as releases without organisations know it."""

    number: int
    routes: tuple[OldRoute, ...]
    services: tuple[RoutedService, ...]
    limits: FrontLimits = FrontLimits()
    source: bytes = b""


ORGANISATIONS = (Organisation("yefi830", (KEY,), 1, 181.0, 2.5),)


def document(organisations=ORGANISATIONS):
    route = RoutingRoute(
        "r", "a.example", "/a/", RouteKind.IDEMPOTENT, 900.0, 500.0, 0, 2,
        (ServiceWeight("s", 1.0),), is_public=True, is_download=True,
    )  # fmt: skip
    return RoutingDocument(
        4, (route,), (RoutedService("s"),), organisations=organisations
    )


@pytest.mark.parametrize("organisations", [None, (), ORGANISATIONS])
def test_organisations_survive_packing(organisations):
    """Guards against a list without organisations that is read as none required."""
    content = document(organisations)
    assert unpack_routing(pack_routing(content)) == content


def test_an_older_release_reads_a_new_document():
    _, items = cbor2.loads(encode(document()))
    old = decode(cbor2.dumps(["test-old-routing-document", items]))
    assert (old.number, old.routes[0].prefix) == (4, "/a/")
    # A download is retried like any idempotent route.
    assert old.routes[0].kind is RouteKind.IDEMPOTENT


def test_a_document_of_an_older_release_requires_no_keys():
    name, items = cbor2.loads(encode(document()))
    items = items[:DOCUMENT_FIELD_COUNT]
    items[1] = [route[:ROUTE_FIELD_COUNT] for route in items[1]]
    old = decode(cbor2.dumps([name, items]))
    assert old.organisations is None
    assert (old.routes[0].is_public, old.routes[0].is_download) == (False, False)


def test_the_error_about_an_unreadable_document_has_no_key():
    """Guards against the codec's error text, which is logged and quoted the values."""
    name, items = cbor2.loads(encode(document()))
    items[-1][0][3] = KEY
    with pytest.raises(DocumentError) as caught:
        unpack_routing(zlib.compress(cbor2.dumps([name, items])))
    assert KEY not in str(caught.value)
    assert "organisations.0.requests_per_s" in str(caught.value)
