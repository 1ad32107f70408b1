"""Operators may give several routes one name, and a name to another route later."""

from dataclasses import replace

import pytest

from cardamomrun_base.routing_document import ServiceWeight
from cardamomrun_base.settings import GatewaySettings
from cardamomrun_gateway.hedging import Hedging
from cardamomrun_gateway.routed_request import RouteTimes
from cardamomrun_gateway.table import RoutingTable

from .builders import HOST, FakeStore, document, route, routing_record


def named_alike(**fields):
    """Return two routes of one name, with a split each."""
    return [
        route(
            prefix,
            name="copied",
            split=tuple(ServiceWeight(service, 1.0) for service in services),
            **fields,
        )
        for prefix, services in (("/a/", ("x", "y")), ("/b/", ("v", "w")))
    ]


def test_routes_of_one_name_keep_their_own_services():
    """Guards against requests of one route that run at the services of another."""
    store = FakeStore()
    table = RoutingTable(store)
    store.put(routing_record(document(1, named_alike(), ("v", "w", "x", "y"))))
    for path, services in {"/a/1": {"x", "y"}, "/b/1": {"v", "w"}}.items():
        found = table.match(HOST, path)
        assert {table.choose_service(found) for _ in range(20)} == services


def test_routes_of_one_name_keep_their_own_response_times():
    """Guards against attempts judged by the response times of another route."""
    slow, fast = named_alike(is_download=True)
    times = RouteTimes()
    for _ in range(200):
        times.record(slow, 900.0)
        times.record(fast, 90.0)
        times.record_bytes(slow, 9_000_000)
        times.record_bytes(fast, 9_000)
    assert times.expected_ms(slow) == pytest.approx(900.0, rel=0.01)
    assert times.expected_ms(fast) == pytest.approx(90.0, rel=0.01)
    assert times.download_bytes(slow) == pytest.approx(9_000_000, rel=0.01)
    assert times.download_bytes(fast) == pytest.approx(9_000, rel=0.01)


def test_routes_of_one_name_keep_their_own_delay_of_hedges():
    """Guards against hedges that start by the quantile of another route."""
    slow, fast = named_alike()
    times = RouteTimes()
    hedging = Hedging(GatewaySettings(hedge_ratio=0.05), times)
    for _ in range(2_000):
        for known, duration_ms in ((slow, 900.0), (fast, 90.0)):
            times.record(known, duration_ms)
            hedging.record(known, duration_ms)
    assert hedging.delay_ms(slow) > 900.0
    assert hedging.delay_ms(fast) < 200.0


def test_what_was_learned_of_a_route_ends_with_it():
    """Guards against a new route that is judged by the times of one that was removed."""
    removed, kept = named_alike(is_download=True)
    times = RouteTimes()
    hedging = Hedging(GatewaySettings(hedge_ratio=0.05), times)
    store = FakeStore()
    table = RoutingTable(store)

    def forget_removed_routes(changed):
        times.keep_only(changed.patterns)
        hedging.keep_only(changed.patterns)

    table.on_change = forget_removed_routes
    first = [times.expected_ms(removed), hedging.delay_ms(removed)]
    for known in (removed, kept):
        times.record(known, 9_000.0)
        times.record_bytes(known, 9)
        hedging.record(known, 9_000.0)
    learned = [times.expected_ms(kept), times.download_bytes(kept)]
    delay_ms = hedging.delay_ms(kept)
    services = ("v", "w", "x", "y")
    store.put(routing_record(document(2, [replace(kept, name="other")], services)))
    assert [times.expected_ms(removed), hedging.delay_ms(removed)] == first
    assert [times.expected_ms(kept), times.download_bytes(kept)] == learned
    assert hedging.delay_ms(kept) == delay_ms
