from collections import Counter

import pytest

from cardamomrun_base.model import Record, RecordKind, RoutingBody
from cardamomrun_base.routing_document import RouteKind, ServiceWeight
from cardamomrun_gateway.table import RoutingTable, WeightedSplit

from .builders import HOST, FakeStore, document, route, routing_record

ROUTES = [route("/a/"), route("/a/b/"), route("/c/", host="Other.Example")]
MATCHES = {
    "prefix": (HOST, "/a/x", "route /a/"),
    "longest prefix": (HOST, "/a/b/x", "route /a/b/"),
    "the prefix itself": (HOST, "/a/", "route /a/"),
    "no slash after the prefix": (HOST, "/ab", None),
    "below no prefix": (HOST, "/x/a/", None),
    "port and case of the host": ("ROTA.example:8080", "/a/x", "route /a/"),
    "case of a declared host": ("other.example", "/c/x", "route /c/"),
    "route of another host": ("other.example", "/a/x", None),
    "unknown host": ("unknown.example", "/a/x", None),
    "no host": ("", "/a/x", None),
}


@pytest.mark.parametrize("name", MATCHES)
def test_host_and_longest_prefix_select_the_route(name):
    host, path, expected = MATCHES[name]
    store = FakeStore()
    table = RoutingTable(store)
    store.put(routing_record(document(routes=ROUTES)))
    found = table.match(host, path)
    assert (found and found.name) == expected


def test_an_older_document_is_ignored():
    store = FakeStore()
    table = RoutingTable(store)
    store.put(routing_record(document(5, routes=[route("/five/")])))
    for callback in store.callbacks[RecordKind.ROUTING]:
        callback(routing_record(document(4, routes=[route("/four/")])))
    assert table.number == 5
    assert table.match(HOST, "/four/x") is None


def test_an_unreadable_document_is_ignored():
    store = FakeStore()
    table = RoutingTable(store)
    store.put(routing_record(document(5)))
    body = RoutingBody(6, "digest", b"not compressed")
    store.put(Record.from_content(RecordKind.ROUTING, "routing", "c1", (0, 6), body))
    assert table.number == 5


@pytest.mark.parametrize("weights", [(90, 10), (50, 50), (1, 0), (70, 20, 10)])
@pytest.mark.parametrize("offset", [0.0, 0.35, 0.9])
def test_the_first_requests_already_follow_the_weights(weights, offset):
    split = tuple(ServiceWeight(f"s{i}", weight) for i, weight in enumerate(weights))
    weighted_split = WeightedSplit(route(split=split), offset)
    counts = Counter(weighted_split.next_service() for _ in range(40))
    for part in split:
        share = part.weight / sum(weights)
        assert abs(counts[part.service] / 40 - share) <= 0.06


def test_services_with_idempotent_routes_are_known():
    store = FakeStore()
    table = RoutingTable(store)
    routes = [
        route("/a/", split=(ServiceWeight("x", 1.0), ServiceWeight("y", 0.0))),
        route("/b/", RouteKind.UPLOAD, split=(ServiceWeight("z", 1.0),)),
    ]
    store.put(routing_record(document(1, routes, ("x", "y", "z"))))
    assert table.idempotent_services == {"x"}
