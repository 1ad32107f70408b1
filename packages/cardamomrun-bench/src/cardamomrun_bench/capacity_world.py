"""Settings, records and documents of the sizes that the capacity measurements need."""

import itertools
import json
import os
import random
from ipaddress import ip_address
from pathlib import Path

from cardamomrun_base.codec import encode
from cardamomrun_base.documents import (
    EnvironmentDocument,
    Limits,
    Route,
    document_digest,
)
from cardamomrun_base.model import (
    BackendBody,
    BackendPhase,
    CrashBody,
    EnvironmentBody,
    MemberBody,
    MemberPhase,
    Record,
    RecordKind,
    backend_key,
)
from cardamomrun_base.settings import ControlSettings, FleetSettings, NodeSettings, Role

__all__ = [
    "DOMAINS",
    "HOST",
    "backend_record",
    "document_bytes",
    "environment_record",
    "filler_bytes",
    "filler_record",
    "member_record",
    "node_settings",
    "service_name",
]

DOMAINS = ("kelowna-a", "kelowna-b", "karachi-a", "hyderabad-b")
REGIONS = ("bc-interior", "bc-interior", "pk-south", "pk-south")
SLOT_COUNT = 4
CONNECTION_COUNT = 400
# Each process has a loopback address of its own; the ports lie below the range from
# which the system takes ports for outgoing connections.
_pid = os.getpid()
HOST = f"127.{60 + _pid // 62_500 % 60}.{_pid // 250 % 250}.{_pid % 250 + 1}"
_ports = itertools.count(20_000)


def node_settings(
    folder: Path,
    number: int,
    seeds: tuple[str, ...] = (),
    *,
    control: ControlSettings | None = None,
    host: str = HOST,
) -> NodeSettings:
    """Return the settings of instance `number`, with the default intervals."""
    key_file = folder / "fleet.key"
    if not key_file.exists():
        key_file.write_bytes(b"capacity-key-" + b"0" * 32)
    return NodeSettings(
        instance_id=f"i{number}",
        region=REGIONS[number % len(DOMAINS)],
        failure_domain=DOMAINS[number % len(DOMAINS)],
        roles=(Role.ENTRY,) if control is None else (Role.CONTROL,),
        host=ip_address(host),
        front_port=next(_ports),
        admin_port=next(_ports),
        peer_port=next(_ports),
        fleet=FleetSettings(key_file=key_file, seeds=seeds),
        announcement_tokens_file=folder / "announcements.jsonc",
        control=control,
    )


def service_name(number: int) -> str:
    """Return the name of a service, as long as the names in use today."""
    return f"service-{number:04d}"


def member_record(number: int) -> Record:
    """Return the record of an instance."""
    name = f"entry-{number:04d}"
    address = f"10.20.{number // 250}.{number % 250}"
    body = MemberBody(
        instance_id=name,
        incarnation=1_790_000_000_000,
        region=REGIONS[number % len(DOMAINS)],
        failure_domain=DOMAINS[number % len(DOMAINS)],
        roles=("entry",),
        front_address=f"{address}:8080",
        admin_address=f"{address}:8081",
        peer_address=f"{address}:8082",
        phase=MemberPhase.SERVING,
    )
    return Record.from_content(
        RecordKind.MEMBER, name, name, (1_790_000_000_000, 1), body
    )


def backend_record(
    number: int, service_count: int = 110, address: str | None = None
) -> Record:
    """Return the record of a backend server of one of `service_count` services."""
    environment = f"{service_name(number % service_count)}/production"
    server_id = f"server-{number:05d}"
    body = BackendBody(
        environment=environment,
        server_id=server_id,
        incarnation=1_790_000_000_000,
        address=address or f"10.30.{number // 250}.{number % 250}:8000",
        failure_domain=DOMAINS[number % len(DOMAINS)],
        slots=SLOT_COUNT,
        connections=CONNECTION_COUNT,
        registrar_id=f"entry-{number % 420:04d}",
        phase=BackendPhase.SERVING,
    )
    key = backend_key(environment, server_id)
    return Record.from_content(
        RecordKind.BACKEND, key, body.registrar_id, (1_790_000_000_000, 0), body
    )


def document_bytes(number: int, route_count: int, **changes: object) -> bytes:
    """Return a document with routes such as those in use today."""
    routes = [{"prefix": "/"}] + [
        {"prefix": f"/area-{index:05d}/orders", "deadline_ms": 5_000}
        for index in range(1, route_count)
    ]
    name = service_name(number)
    value = {"service": name, "hosts": [f"{name}.example"], "routes": routes, **changes}
    return json.dumps(value).encode()


def environment_record(
    number: int,
    route_count: int,
    limits: dict[str, int] | None = None,
    *,
    is_checked: bool = True,
) -> Record:
    """Return the record of a document in force in production.

    `is_checked` adds the encoded form, without which instances parse the document.
    """
    changes = {"limits": limits} if limits else {}
    data = document_bytes(number, route_count, **changes)
    environment = f"{service_name(number)}/production"
    checked = encode(_checked(number, route_count, limits)) if is_checked else b""
    body = EnvironmentBody(environment, 1, 1, document_digest(data), data, checked)
    return Record.from_content(
        RecordKind.ENVIRONMENT, environment, "control-1", (0, 1), body
    )


def _checked(
    number: int, route_count: int, limits: dict[str, int] | None
) -> EnvironmentDocument:
    routes = [Route("/")]
    for index in range(1, route_count):
        routes.append(Route(f"/area-{index:05d}/orders", deadline_ms=5_000))
    name = service_name(number)
    return EnvironmentDocument(
        name, (f"{name}.example",), tuple(routes), limits=Limits(**(limits or {}))
    )


def filler_record(number: int, size: int, rng: random.Random) -> Record:
    """Return a record whose encoded form has about `size` bytes."""
    overhead = 70
    text = rng.randbytes(max(1, (size - overhead) // 2)).hex()
    body = CrashBody("service-0000/production", text, "server-00001", 1, "i0")
    return Record.from_content(
        RecordKind.CRASH, f"filler-{size}-{number}", "i0", (0, 1), body, 600_000
    )


def filler_bytes(size: int) -> int:
    """Return the exact size of the encoded form of `filler_record`."""
    return len(encode(filler_record(0, size, random.Random(0))))
