import pytest

from cardamomrun_base.errors import DocumentError
from cardamomrun_base.routing_document import RouteKind, check_routing
from cardamomrun_platform.manifest import decode_manifest

from .builders import SERVICE, manifest, route_fields


def test_platform_fields_are_mapped_to_a_routing_document():
    document = decode_manifest(manifest("0000000c"))
    (route,) = document.routes
    assert document.number == 12
    assert route.kind is RouteKind.NON_IDEMPOTENT
    assert (route.timeout_ms, route.objective_ms) == (1500, 1200)
    assert (route.rank, route.attempt_count) == (1, 2)
    assert [(part.service, part.weight) for part in route.split] == [(SERVICE, 1.0)]
    assert document.limits.body_bytes == 67108864


def test_a_split_keeps_its_weights():
    split = [{"service": SERVICE, "weight": 90}, {"service": "other", "weight": 10}]
    fields = route_fields(traffic_split=split)
    del fields["service"]
    (route,) = decode_manifest(manifest(routes=[fields])).routes
    assert [part.weight for part in route.split] == [90, 10]


def test_the_source_is_kept_byte_for_byte():
    body = manifest()
    assert decode_manifest(body).source == body


UNREADABLE = {
    "cut short": manifest()[:-40],
    "empty": b"",
    "not an object": b"[1]",
    "bytes that are not UTF-8": b"\xff\xfe{",
    "no version": manifest(version=None),
    "version of another type": manifest(version=7),
    "version of another form": manifest(version="7"),
    "no routes": manifest(routes=None),
    "routes of another type": manifest(routes={"r": 1}),
    "a route without host": manifest(routes=[{"name": "r"}]),
    "an unknown kind": manifest(routes=[route_fields(route_type="odd")]),
    "a timeout that is a text": manifest(routes=[route_fields(timeout_ms="x")]),
    "a timeout of zero": manifest(routes=[route_fields(timeout_ms=0)]),
    "a weight that is a text": manifest(
        routes=[route_fields(traffic_split=[{"service": SERVICE, "weight": "x"}])]
    ),
    "no limits": manifest(limits=None),
}
INVALID = {
    "unknown service": manifest(routes=[route_fields(service="none")]),
    "same host and prefix": manifest(
        routes=[route_fields(), route_fields(name="r-2", route_type="safe")]
    ),
    "weights of zero": manifest(
        routes=[route_fields(traffic_split=[{"service": SERVICE, "weight": 0}])]
    ),
    "no parts": manifest(routes=[route_fields(traffic_split=[])]),
    "objective far above the time-out": manifest(
        routes=[route_fields(slo_latency_ms=61_500)]
    ),
    "empty host": manifest(routes=[route_fields(host="")]),
}


@pytest.mark.parametrize("name", UNREADABLE)
def test_unreadable_manifests_are_refused(name):
    with pytest.raises(DocumentError):
        decode_manifest(UNREADABLE[name])


@pytest.mark.parametrize("name", INVALID)
def test_invalid_manifests_are_refused(name):
    with pytest.raises(DocumentError):
        check_routing(decode_manifest(INVALID[name]))


def test_an_objective_just_below_a_minute_above_the_time_out_is_valid():
    fields = route_fields(slo_latency_ms=61_499)
    check_routing(decode_manifest(manifest(routes=[fields])))
