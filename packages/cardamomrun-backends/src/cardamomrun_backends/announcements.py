"""HTTP handlers of the admin listener through which backend servers announce themselves."""

import hmac
import json
import re
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from prometheus_client import Counter
from pydantic import ConfigDict, TypeAdapter, ValidationError
from tornado.web import RequestHandler, URLSpec

from cardamomrun_backends.registry import Announcement, Incarnation, Registry
from cardamomrun_base.errors import (
    CardamomrunError,
    ConflictError,
    CredentialError,
    SettingsError,
)
from cardamomrun_base.interfaces import Backends
from cardamomrun_base.jsonc import JsonWithCommentsError, parse
from cardamomrun_base.logs import ComponentLog
from cardamomrun_base.model import EnvironmentId, Stage, environment_id

__all__ = ["AnnouncementTokens", "announcement_routes"]

MAX_BODY_BYTES = 16_384
NAME = re.compile(r"[a-z0-9][a-z0-9.-]{0,62}")
BEARER = "Bearer "

STATUS_BAD_REQUEST = 400
STATUS_UNAUTHORIZED = 401
STATUS_FORBIDDEN = 403
STATUS_CONFLICT = 409

REFUSALS = Counter(
    "cardamomrun_announcements_refused",
    "Announcements refused, by HTTP status.",
    ["status"],
)


@dataclass(frozen=True)
class _LeaveRequest:
    """The body of a DELETE request."""

    __pydantic_config__ = ConfigDict(extra="forbid")

    incarnation: Incarnation


_announcement_adapter = TypeAdapter(Announcement)
_leave_adapter = TypeAdapter(_LeaveRequest)
_incarnation_adapter = TypeAdapter(Incarnation)
_tokens_adapter = TypeAdapter(dict[str, list[str]])
_log = ComponentLog("registry")


class BadRequestError(CardamomrunError):
    """The request is malformed or names something unknown."""

    kind = "bad-request"


class ForbiddenError(CardamomrunError):
    """The token is valid, but for another service."""

    kind = "forbidden"


class AnnouncementTokens:
    """Tokens per service, from a file of JSON with comments.

    The file is read again when its modification time changes, so that tokens can be
    replaced without a restart. If the file is invalid, the tokens read before stay valid.
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        self._modified_ns = path.stat().st_mtime_ns if path.exists() else 0
        self._tokens = _read_tokens(path)

    def check(self, service: str, authorization: str | None) -> None:
        """Raise `CredentialError` or `ForbiddenError` unless the token is the service's.

        All tokens are compared, each in constant time, so that the duration does not
        reveal how much of a token was right.
        """
        self._read_if_changed()
        token = _bearer_token(authorization)
        matching_services = [
            name
            for name, tokens in self._tokens.items()
            for known in tokens
            if hmac.compare_digest(known.encode(), token)
        ]
        if not matching_services:
            raise CredentialError(
                "The announcement token is missing or unknown.",
                remedy="send Authorization: Bearer with a token of the service",
            )
        if service not in matching_services:
            raise ForbiddenError(
                f"The announcement token is not valid for service {service}.",
                remedy=f"use a token that the tokens file lists under {service}",
            )

    def _read_if_changed(self) -> None:
        try:
            modified_ns = self._path.stat().st_mtime_ns
            if modified_ns == self._modified_ns:
                return
            self._modified_ns = modified_ns
            self._tokens = _read_tokens(self._path)
        except (OSError, SettingsError) as error:
            _log.error(f"the announcement tokens were not reloaded: {error}")


def announcement_routes(
    registry: Registry, backends: Backends, tokens: AnnouncementTokens
) -> list[URLSpec]:
    """Return the URL specifications for the admin listener."""
    base = r"/v1/environments/([^/]+)/([^/]+)/servers"
    parts = {"registry": registry, "backends": backends, "tokens": tokens}
    return [
        URLSpec(base, _ServersHandler, parts),
        URLSpec(base + r"/([^/]+)", _ServerHandler, parts),
    ]


class _Handler(RequestHandler):
    """Authorization and error responses of both handlers."""

    def initialize(
        self, registry: Registry, backends: Backends, tokens: AnnouncementTokens
    ) -> None:
        self.registry = registry
        self.backends = backends
        self.tokens = tokens

    def authorized_environment(self, service: str, stage: str) -> EnvironmentId:
        """Check the token and the stage; return the environment that the path names.

        Raises `CredentialError`, `ForbiddenError` or `BadRequestError`.
        """
        self.tokens.check(service, self.request.headers.get("Authorization"))
        if stage not in tuple(Stage):
            raise BadRequestError(
                f"The stage {stage!r} is unknown.",
                remedy="use trial or production in the path",
            )
        return environment_id(service, stage)

    def answer(self, status: int, content: dict[str, Any]) -> None:
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(content))

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        error = kwargs.get("exc_info", (None, None))[1]
        if not isinstance(error, CardamomrunError):
            kind, text = "error", self._reason
            remedy = "check method and path in docs/interfaces.md"
        else:
            kind, text, remedy = error.kind, error.message, error.remedy
            status_code = _status_of(error)
            self._count_refusal(status_code, error)
        self.answer(status_code, {"error": kind, "message": text, "remedy": remedy})

    def log_exception(self, typ: Any, value: Any, tb: Any) -> None:
        if not isinstance(value, CardamomrunError):
            super().log_exception(typ, value, tb)

    def _count_refusal(self, status: int, error: CardamomrunError) -> None:
        REFUSALS.labels(status=str(status)).inc()
        _log.warning(
            f"refused an announcement with status {status}: {error.message}",
            path=self.request.path,
            remote_ip=self.request.remote_ip,
        )


class _ServersHandler(_Handler):
    """Lists the servers of an environment as this instance sees them."""

    def get(self, service: str, stage: str) -> None:
        environment = self.authorized_environment(service, stage)
        self.answer(200, asdict(self.backends.view(environment)))


class _ServerHandler(_Handler):
    """Announces, renews (PUT) and removes (DELETE) one server."""

    def put(self, service: str, stage: str, server_id: str) -> None:
        environment = self.authorized_environment(service, stage)
        _check_name(server_id)
        announcement = _parse_announcement(self.request.body)
        lease = self.registry.announce(environment, server_id, announcement)
        self.answer(200, asdict(lease))

    def delete(self, service: str, stage: str, server_id: str) -> None:
        environment = self.authorized_environment(service, stage)
        _check_name(server_id)
        query = self.get_query_argument("incarnation", None)
        incarnation = _leaving_incarnation(query, self.request.body)
        self.registry.leave(environment, server_id, incarnation)
        self.answer(200, {})


def _status_of(error: CardamomrunError) -> int:
    if isinstance(error, CredentialError):
        return STATUS_UNAUTHORIZED
    if isinstance(error, ForbiddenError):
        return STATUS_FORBIDDEN
    if isinstance(error, ConflictError):
        return STATUS_CONFLICT
    return STATUS_BAD_REQUEST


def _bearer_token(authorization: str | None) -> bytes:
    if authorization is None or not authorization.startswith(BEARER):
        return b""
    return authorization.removeprefix(BEARER).strip().encode()


def _check_name(server_id: str) -> None:
    if NAME.fullmatch(server_id) is None:
        raise BadRequestError(
            f"The server id {server_id!r} is not a valid name.",
            remedy="use up to 63 lower-case letters, digits, dots and hyphens",
        )


def _leaving_incarnation(query: str | None, body: bytes) -> int:
    """Return the incarnation that leaves, from the query or else from the body.

    It is required, since otherwise an earlier run could remove its successor.
    """
    try:
        if query is not None:
            return _incarnation_adapter.validate_python(query)
        return _leave_adapter.validate_json(body).incarnation
    except ValidationError as error:
        raise BadRequestError(
            "The incarnation that leaves is missing or is not a number.",
            remedy="give the incarnation of the last announcement, as the body "
            '{"incarnation": 1} or as the query incarnation=1',
        ) from error


def _parse_announcement(body: bytes) -> Announcement:
    if len(body) > MAX_BODY_BYTES:
        raise BadRequestError(
            f"The body has {len(body)} bytes, more than {MAX_BODY_BYTES}.",
            remedy="send only the fields of an announcement",
        )
    try:
        announcement = _announcement_adapter.validate_json(body)
    except ValidationError as error:
        fault = error.errors(include_url=False)[0]
        field = ".".join(str(part) for part in fault["loc"]) or "(whole body)"
        raise BadRequestError(
            f"The body is not an announcement: {field}: {fault['msg']}.",
            remedy="send incarnation, address (ip:port), failure_domain, slots, "
            "connections and phase",
        ) from error
    if announcement.phase == "gone":
        raise BadRequestError(
            "The phase gone cannot be announced.",
            remedy="send DELETE to leave",
        )
    return announcement


def _read_tokens(path: Path) -> dict[str, list[str]]:
    try:
        parsed = parse(path.read_text(encoding="utf-8"))
        tokens = _tokens_adapter.validate_python(parsed.value)
    except (OSError, ValueError, JsonWithCommentsError) as error:
        raise SettingsError(
            f"{path}: the announcement tokens cannot be read.",
            remedy='give an object such as {"rota-desk": ["token"]}',
        ) from error
    if any(not token for known in tokens.values() for token in known):
        raise SettingsError(
            f"{path}: an announcement token is empty.",
            remedy="remove the empty token",
        )
    return tokens
