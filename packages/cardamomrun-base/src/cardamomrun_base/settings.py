"""Settings of a node, read from one file of JSON with comments."""

from dataclasses import dataclass, fields, replace
from enum import StrEnum
from functools import cache
from pathlib import Path
from typing import Annotated, Any

from pydantic import Field, IPvAnyAddress, TypeAdapter

from cardamomrun_base.checked_json import (
    STRICT,
    Identifier,
    check_fields,
    parse_file_text,
)
from cardamomrun_base.errors import SettingsError
from cardamomrun_base.model import DEFAULT_LINK_MBPS

__all__ = [
    "ClientSettings",
    "ControlSettings",
    "FleetSettings",
    "NodeSettings",
    "Role",
    "TlsSettings",
    "Voter",
    "load_settings",
]

Port = Annotated[int, Field(ge=1, le=65_535)]
PeerAddress = Annotated[str, Field(pattern=r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$")]


class Role(StrEnum):
    """Roles that a node may have."""

    ENTRY = "entry"
    CONTROL = "control"


@dataclass(frozen=True)
class Voter:
    """A control instance that is a voter when the log is created."""

    __pydantic_config__ = STRICT

    instance_id: Identifier
    peer_address: PeerAddress


@dataclass(frozen=True)
class ControlSettings:
    """Settings of the control role.

    `voters` is read only when the data folder is empty; later changes go through the
    log. It is empty on an instance that joins a cluster. Where the leader maintains the
    voters by itself, `voter_count` is how many it admits, lost ones not counted, and
    `voter_lost_ms` the silence after which a voter counts as lost.
    """

    __pydantic_config__ = STRICT

    data_folder: Path
    voters: Annotated[tuple[Voter, ...], Field(max_length=8)]
    operator_tokens_file: Path | None = None
    voter_count: Annotated[int, Field(ge=1, le=32)] = 7
    voter_lost_ms: Annotated[int, Field(ge=1_000, le=86_400_000)] = 3_000
    election_timeout_ms: Annotated[int, Field(ge=100, le=60_000)] = 1_000
    heartbeat_ms: Annotated[int, Field(ge=10, le=10_000)] = 200
    snapshot_entry_count: Annotated[int, Field(ge=10, le=1_000_000)] = 1_000


@dataclass(frozen=True)
class FleetSettings:
    """Settings of peer links and membership."""

    __pydantic_config__ = STRICT

    key_file: Path | None = None
    # Accepts peers without authentication; only for a network closed to others.
    trusts_network: bool = False
    seeds: tuple[PeerAddress, ...] = ()
    overlay_links: Annotated[int, Field(ge=1, le=32)] = 4
    ping_ms: Annotated[int, Field(ge=50, le=60_000)] = 1_000
    silence_ms: Annotated[int, Field(ge=100, le=60_000)] = 3_000
    suspicion_ms: Annotated[int, Field(ge=100, le=60_000)] = 3_000
    exchange_ms: Annotated[int, Field(ge=50, le=60_000)] = 1_000


@dataclass(frozen=True)
class TlsSettings:
    """Certificate and key of the peer listener, and the CA that signs peers."""

    __pydantic_config__ = STRICT

    certificate_file: Path
    key_file: Path
    authority_file: Path


@dataclass(frozen=True)
class GatewaySettings:
    """Settings of instances that run a routing document.

    The retry budget bounds the retries of the whole fleet for a service:
    `retry_ratio` of its requests in `retry_window_ms`, and `retry_slack_count` more.
    `grace_ms` is the longest time that the shutdown of an instance may take.
    `hedge_ratio` is the share of the requests that may be repeated which may get a second
    attempt while the first one is slow; 0 is none. Without it, attempts that are overdue
    get one within the retry budget.

    With `has_strict_revocation`, requests with keys are refused once the routing document
    was last confirmed longer than `revoke_ms` ago. An organisation may exceed its quota
    in `quota_window_ms` by `quota_over_ratio`, and by `quota_slack_count` requests.
    """

    __pydantic_config__ = STRICT

    retry_ratio: Annotated[float, Field(ge=0, le=1)] = 0.2
    retry_window_ms: Annotated[int, Field(ge=1_000, le=600_000)] = 10_000
    retry_slack_count: Annotated[int, Field(ge=0, le=100_000)] = 20
    floor_ratio: Annotated[float, Field(ge=0, le=1)] = 0.7
    grace_ms: Annotated[int, Field(ge=500, le=600_000)] = 6_000
    report_idle_ms: Annotated[int, Field(ge=20, le=10_000)] = 250
    connection_idle_ms: Annotated[int, Field(ge=100, le=600_000)] = 4_000
    hedge_ratio: Annotated[float, Field(ge=0, le=0.5)] | None = None
    has_strict_revocation: bool = False
    revoke_ms: Annotated[int, Field(ge=1_000, le=600_000)] = 5_000
    quota_window_ms: Annotated[int, Field(ge=1_000, le=600_000)] = 5_000
    quota_over_ratio: Annotated[float, Field(ge=0, le=1)] = 0.1
    quota_slack_count: Annotated[int, Field(ge=0, le=100_000)] = 20


@dataclass(frozen=True)
class ClientSettings:
    """Bounds for what clients and callers may use of a process.

    The memory for them is `memory_ratio` of what `process_mb` leaves of the machine's.
    They may use `descriptor_ratio` of its descriptors.
    """

    __pydantic_config__ = STRICT

    process_mb: Annotated[float, Field(ge=1, le=1_000_000)] = 64.0
    memory_ratio: Annotated[float, Field(gt=0, le=1)] = 0.5
    descriptor_ratio: Annotated[float, Field(gt=0, le=1)] = 0.6
    # Routing documents state their own.
    head_timeout_ms: Annotated[int, Field(ge=100, le=600_000)] = 10_000
    min_body_bytes_per_s: Annotated[int, Field(ge=0, le=1_000_000)] = 500
    body_rate_ms: Annotated[int, Field(ge=1_000, le=600_000)] = 5_000
    response_stall_ms: Annotated[int, Field(ge=1_000, le=600_000)] = 30_000


@dataclass(frozen=True)
class NodeSettings:
    """All settings of one node."""

    __pydantic_config__ = STRICT

    instance_id: Identifier
    region: Identifier
    failure_domain: Identifier
    roles: Annotated[tuple[Role, ...], Field(min_length=1, max_length=2)]
    host: IPvAnyAddress
    front_port: Port
    admin_port: Port
    peer_port: Port
    fleet: FleetSettings
    announcement_tokens_file: Path | None = None
    control: ControlSettings | None = None
    tls: TlsSettings | None = None
    directory_ttl_ms: Annotated[int, Field(ge=100, le=600_000)] = 5_000
    # Time until all others know that an instance stops; until then they still list its
    # address. Over connected links this takes well under a second.
    departure_heard_ms: Annotated[int, Field(ge=0, le=60_000)] = 1_000
    directory_count: Annotated[int, Field(ge=1, le=100)] = 4
    report_ms: Annotated[int, Field(ge=50, le=60_000)] = 500
    announcement_ttl_ms: Annotated[int, Field(ge=200, le=60_000)] = 2_500
    idempotency_retention_ms: Annotated[int, Field(ge=1_000, le=86_400_000)] = 600_000
    roster_settle_ms: Annotated[int, Field(ge=100, le=600_000)] = 3_000
    # Keepers use the last roster for so long if no control instance is available, which
    # may last for hours.
    roster_lease_ms: Annotated[int, Field(ge=1_000, le=604_800_000)] = 21_600_000
    advertised_peer_address: PeerAddress | None = None
    link_mbps: Annotated[float, Field(ge=0.1, le=100_000)] = DEFAULT_LINK_MBPS
    gateway: GatewaySettings | None = None
    # What the machine has for this process; None: as much as it needs, and the limit of
    # the operating system.
    memory_mb: Annotated[float, Field(ge=16, le=100_000_000)] | None = None
    max_fds: Annotated[int, Field(ge=64, le=100_000_000)] | None = None
    clients: ClientSettings = ClientSettings()

    @property
    def front_address(self) -> str:
        """Address of the listener for clients, `host:port`."""
        return f"{self.host}:{self.front_port}"

    @property
    def admin_address(self) -> str:
        """Address of the listener for backend servers and operators, `host:port`."""
        return f"{self.host}:{self.admin_port}"

    @property
    def peer_address(self) -> str:
        """Address of the peer listener, `host:port`."""
        return f"{self.host}:{self.peer_port}"

    @property
    def published_peer_address(self) -> str:
        """Address at which other nodes reach the peer listener, e.g. through a relay."""
        return self.advertised_peer_address or self.peer_address


@cache
def _settings_adapter() -> TypeAdapter:
    # Built on first use: it takes longer than to read a file, and nodes that get their
    # settings in another way don't need it.
    return TypeAdapter(NodeSettings)


def load_settings(path: Path) -> NodeSettings:
    """Read and check a settings file; relative paths in it are relative to the file.

    Raises `SettingsError` with file, line, key and remedy.
    """
    parsed = parse_file_text(_read_text(path), str(path), SettingsError)
    settings = check_fields(_settings_adapter(), parsed, str(path), SettingsError)
    _check_roles(settings, path)
    _check_secrets(settings, path)
    return _with_absolute_paths(settings, path.resolve().parent)


def _read_text(path: Path) -> str:
    try:
        return path.read_text(encoding="utf-8")
    except OSError as error:
        raise SettingsError(
            f"{path}: cannot be read ({error.strerror}).",
            remedy="check the path and its permissions",
        ) from error
    except UnicodeDecodeError as error:
        raise SettingsError(
            f"{path}: the file is not UTF-8.", remedy="save it as UTF-8"
        ) from error


def _with_absolute_paths(settings: NodeSettings, folder: Path) -> NodeSettings:
    tls = settings.tls and _resolve_paths(settings.tls, folder)
    control = settings.control and _resolve_paths(settings.control, folder)
    fleet = _resolve_paths(settings.fleet, folder)
    settings = _resolve_paths(settings, folder)
    return replace(settings, tls=tls, control=control, fleet=fleet)


def _resolve_paths(section: Any, folder: Path) -> Any:
    paths = {
        field.name: folder / getattr(section, field.name)
        for field in fields(section)
        if isinstance(getattr(section, field.name), Path)
    }
    return replace(section, **paths)


def _check_secrets(settings: NodeSettings, path: Path) -> None:
    """Check that key and token files are set where the node needs them."""
    fleet, control = settings.fleet, settings.control
    missing = {
        "fleet.key_file": fleet.key_file is None and not fleet.trusts_network,
        "announcement_tokens_file": settings.announcement_tokens_file is None,
        "control.operator_tokens_file": (
            control is not None and control.operator_tokens_file is None
        ),
    }
    for key, is_missing in missing.items():
        if is_missing:
            raise SettingsError(
                f"{path}: key {key}: Field required.",
                remedy="add the key; docs/interfaces.md gives its meaning",
            )


def _check_roles(settings: NodeSettings, path: Path) -> None:
    if Role.CONTROL in settings.roles and settings.control is None:
        raise SettingsError(
            f"{path}: key control: role control is given without its settings.",
            remedy="add the object control, or remove the role",
        )
