"""Organisations, public routes and downloads in manifests and settings."""

import json

import pytest

from cardamomrun_base.errors import DocumentError, SettingsError
from cardamomrun_base.routing_document import RouteKind, check_routing
from cardamomrun_platform.manifest import decode_manifest
from cardamomrun_platform.settings import read_settings

from .builders import manifest, route_fields, settings_fields, settings_text

KEY = "qezu-8302-secret"


def tenant(name="yefi830", **changes):
    values = {"name": name, "api_keys": [KEY], "priority": 0}
    return values | {"rate_per_s": 181, "burst": 181} | changes


def decode(*tenants, **route_changes):
    document = decode_manifest(
        manifest(routes=[route_fields(**route_changes)], tenants=list(tenants))
    )
    check_routing(document)
    return document


def test_a_tenant_is_mapped_to_an_organisation():
    (organisation,) = decode(
        tenant(api_keys=["k1", "k2", "k1"], burst=2.5)
    ).organisations
    assert organisation.name == "yefi830"
    assert organisation.keys == ("k1", "k2", "k1")
    assert (organisation.rank, organisation.requests_per_s) == (0, 181.0)
    assert organisation.burst_count == 2.5


def test_a_tenant_needs_only_its_name():
    (organisation,) = decode({"name": "yefi830"}).organisations
    assert organisation.keys == ()
    assert (organisation.requests_per_s, organisation.burst_count) == (0.0, 0.0)


@pytest.mark.parametrize(("tenants", "expected"), [(None, None), ([], ())])
def test_only_a_list_of_tenants_requires_keys(tenants, expected):
    """Guards against a document with an empty list that is served without keys."""
    assert decode_manifest(manifest(tenants=tenants)).organisations == expected
    assert decode_manifest(manifest()).organisations is None


def test_public_routes_and_downloads_are_decoded():
    (route,) = decode(public=True, route_type="download").routes
    assert (route.is_public, route.is_download) == (True, True)
    assert route.kind is RouteKind.IDEMPOTENT
    (route,) = decode(route_type="safe").routes
    assert (route.is_public, route.is_download) == (False, False)


INVALID = {
    "a key in two tenants": manifest(tenants=[tenant(), tenant("other")]),
    "two tenants with a name": manifest(tenants=[tenant(), tenant(api_keys=[])]),
    "an empty name": manifest(tenants=[tenant("")]),
    "a name that is a key and breaks lines": manifest(tenants=[tenant(f"{KEY}\r\n")]),
    "a name that is a list": manifest(tenants=[tenant([KEY])]),
    "no name": manifest(tenants=[{"api_keys": [KEY]}]),
    "keys as a text": manifest(tenants=[tenant(api_keys=KEY)]),
    "a key in a list": manifest(tenants=[tenant(api_keys=[[KEY]])]),
    "a key that is a number": manifest(tenants=[tenant(api_keys=[KEY, 7])]),
    "a key that UTF-8 cannot encode": manifest(
        tenants=[tenant(api_keys=[f"{KEY}\ud800"])]
    ),
    "a negative rate": manifest(tenants=[tenant(rate_per_s=-1)]),
    "an infinite rate": manifest(tenants=[tenant(rate_per_s=float("inf"))]),
    "a rate that is no number": manifest(tenants=[tenant(rate_per_s=float("nan"))]),
    "a rate beyond all numbers": manifest(tenants=[tenant(rate_per_s=10**400)]),
    "a rate that is a key": manifest(tenants=[tenant(rate_per_s=KEY)]),
    "a negative burst": manifest(tenants=[tenant(burst=-0.5)]),
    "a burst that is a flag": manifest(tenants=[tenant(burst=True)]),
    "a priority that is a key": manifest(tenants=[tenant(priority=KEY)]),
    "a priority that is a fraction": manifest(tenants=[tenant(priority=0.5)]),
    "a priority that is a flag": manifest(tenants=[tenant(priority=False)]),
    "a public flag that is a text": manifest(routes=[route_fields(public=KEY)]),
    "a public flag that is a number": manifest(routes=[route_fields(public=1)]),
    "tenants that are an object": manifest(tenants={KEY: tenant()}),
    "a tenant that is a key": manifest(tenants=[KEY]),
    "a version that is a key": manifest(version=KEY),
    "a route type that is a key": manifest(routes=[route_fields(route_type=KEY)]),
    "a route type that is a list": manifest(routes=[route_fields(route_type=[KEY])]),
    "a route priority that is a key": manifest(routes=[route_fields(priority=KEY)]),
    "a weight that is a key": manifest(
        routes=[route_fields(traffic_split=[{"service": KEY, "weight": KEY}])]
    ),
    "an infinite connection count": manifest(
        services=[{"name": "s", "max_conns": float("inf")}], tenants=[tenant()]
    ),
    "cut after the tenants": json.dumps({"tenants": [tenant()]}).encode()[:-3],
    "not UTF-8 after the tenants": manifest(tenants=[tenant()]) + b"\xff",
    "nested too deeply": b"[" * 200_000,
}


@pytest.mark.parametrize("name", INVALID)
def test_an_invalid_document_is_refused_without_its_keys(name):
    """Guards against keys in the log line and response about a refused document."""
    with pytest.raises(DocumentError) as caught:
        check_routing(decode_manifest(INVALID[name]))
    error = caught.value
    assert KEY not in f"{error}{error!r}"
    # A traceback would print the errors that led to it too.
    assert error.__cause__ is None


def test_no_representation_shows_the_keys():
    """Guards against log lines that contain a document or an organisation."""
    document = decode(tenant())
    assert KEY not in repr(document)
    assert KEY not in repr(document.organisations)


def read_gateway(tmp_path, *bounds):
    path = tmp_path / "local.yaml"
    fields = settings_fields()
    fields["bounds"] = [*fields["bounds"], *bounds]
    path.write_text(settings_text(fields))
    return read_settings(path).node.gateway


def test_absent_bounds_mean_the_defaults(tmp_path):
    gateway = read_gateway(tmp_path)
    assert not gateway.has_strict_revocation
    assert (gateway.revoke_ms, gateway.quota_window_ms) == (5_000, 5_000)
    assert (gateway.quota_over_ratio, gateway.quota_slack_count) == (0.1, 20)


def test_bounds_of_organisations_are_decoded(tmp_path):
    gateway = read_gateway(
        tmp_path,
        "strict_revocation=true",
        "revoke_ms=3500",
        "quota_window_s=2.5",
        "quota_over=0.2",
        "quota_slack=7",
    )
    assert gateway.has_strict_revocation
    assert (gateway.revoke_ms, gateway.quota_window_ms) == (3_500, 2_500)
    assert (gateway.quota_over_ratio, gateway.quota_slack_count) == (0.2, 7)


def test_strict_revocation_of_another_word_is_refused(tmp_path):
    """Guards against a misspelt bound that silently leaves revoked keys in use."""
    with pytest.raises(SettingsError, match="yes"):
        read_gateway(tmp_path, "strict_revocation=yes")
    assert not read_gateway(tmp_path, "strict_revocation=false").has_strict_revocation
