"""Settings files, manifests and check-ins as the platform sends them."""

import json
from ipaddress import ip_address

from cardamomrun_base.settings import FleetSettings, NodeSettings, Role

SERVICE = "huvo11a"


def settings_fields(**changes):
    values = {
        "node_name": "core-kelowna-a-1",
        "role": "control",
        "machine_class": "core",
        "serves": ["control"],
        "ip": "127.0.0.1",
        "zone": "kelowna-a",
        "region": "bc-interior",
        "zones": {"kelowna-a": "bc-interior"},
        "listen": {"control": "127.0.0.1:8146"},
        "internal_ports": [7660, 7675],
        "seeds": ["127.0.0.1:8146", "10.2.0.31:8146"],
        "bootstrap": True,
        "counts_as_fault": True,
        "limits": {"memory_mb": 296, "link_mbps": 2.0},
        "data_dir": "/data/control",
        "bounds": [
            "drain_ms=2000",
            "grace_s=6",
            "retry_budget_ratio=0.2",
            "budget_window_s=10",
            "budget_slack=62",
            "floor_share=0.7",
            "mode=word",
        ],
        "a field of a later release": 1,
    }
    return values | changes


def settings_text(fields, metrics_port=7661):
    """Return a settings file as the deploy template renders it."""
    return json.dumps({"metrics_port": metrics_port, "machine": fields})


def route_fields(**changes):
    values = {
        "name": "r-1",
        "host": "ficu95.example",
        "path_prefix": "/pufi791/",
        "route_type": "unsafe",
        "timeout_ms": 1500,
        "slo_latency_ms": 1200,
        "priority": 1,
        "service": SERVICE,
        "max_attempts": 2,
    }
    return values | changes


def manifest(version="00000007", **changes):
    values = {
        "version": version,
        "routes": [route_fields()],
        "services": [
            {
                "name": SERVICE,
                "health_path": "/health",
                "max_conns": 390,
                "protocol": "h1",
                "tls": False,
            }
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }
    return json.dumps(values | changes).encode()


def check_in(**changes):
    values = {
        "service": SERVICE,
        "address": "10.128.0.9:8080",
        "zone": "kelowna-a",
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "warmup_left_ms": 0,
        "seq": 4,
        "born": 1_776_274_009_457,
    }
    values |= changes
    return json.dumps({k: v for k, v in values.items() if v is not None}).encode()


def node_settings(**changes):
    values = {
        "instance_id": "127.0.0.1",
        "region": "bc-interior",
        "failure_domain": "kelowna-a",
        "roles": (Role.CONTROL,),
        "host": ip_address("127.0.0.1"),
        "front_port": 1,
        "admin_port": 1,
        "peer_port": 1,
        "fleet": FleetSettings(trusts_network=True),
    }
    return NodeSettings(**(values | changes))
