"""The operators' HTTP interface on the admin listener.

Status codes: 200 done; 400 malformed request; 401 token missing or wrong; 404 not
found; 409 conflict; 421 another instance leads; 422 invalid document; 503 not done,
since there is no majority or a write failed; 504 unknown outcome, send again with the
same number.
"""

import base64
import binascii
import json
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import asdict, dataclass
from functools import wraps
from typing import Any

from prometheus_client import Counter
from pydantic import TypeAdapter, ValidationError
from tornado.web import RequestHandler, URLSpec

from cardamomrun_base.clock import Clock
from cardamomrun_base.documents import document_digest
from cardamomrun_base.errors import (
    CardamomrunError,
    ConflictError,
    CredentialError,
    DocumentError,
    NotLeaderError,
    StorageError,
    UnavailableError,
)
from cardamomrun_base.logs import ComponentLog
from cardamomrun_base.model import Stage, environment_id
from cardamomrun_base.settings import Voter
from cardamomrun_control.agreement import Agreement
from cardamomrun_control.audit import GENESIS_HASH, AuditEntry, AuditError, verify
from cardamomrun_control.checked import CheckedDocuments
from cardamomrun_control.errors import UnknownOutcomeError
from cardamomrun_control.state import (
    ApplyDocument,
    ChangeResult,
    ControlState,
    DocumentVersion,
    PromoteDocument,
    RefusedAttempt,
    RollBackDocument,
)
from cardamomrun_control.tokens import OperatorTokens

__all__ = ["OperatorContext", "operator_routes"]

SERVICE = r"(?P<service>[a-z0-9][a-z0-9.-]{0,62})"
STAGE = r"(?P<stage>trial|production)"
AUDIT_PAGE_COUNT = 1_000
# Limits what a refused request adds to the audit trail, in characters.
OUTCOME_LENGTH = 500

PostMethod = Callable[..., Awaitable[None]]

# The first match wins, so a class comes before its base.
STATUS_BY_ERROR = (
    (UnknownOutcomeError, 504),
    (NotLeaderError, 421),
    (UnavailableError, 503),
    (StorageError, 503),
    (DocumentError, 422),
    (ConflictError, 409),
    (CredentialError, 401),
)

REMEDIES = {
    "version-conflict": "read the current version, then use a new change number",
    "change-number-conflict": "choose a change number that was not used before",
    "digest-conflict": "promote the digest that the trial runs, with a new number",
    "unknown-version": "choose a version of the history, with a new change number",
}

_voter_adapter = TypeAdapter(Voter)
_refusals = Counter(
    "cardamomrun_operator_refusals", "Requests of operators refused for their token"
)
_log = ComponentLog("operator")


class BadRequestError(CardamomrunError):
    """The request is not of the documented form."""

    kind = "bad-request"


class NotFoundError(CardamomrunError):
    """The environment has no document."""

    kind = "not-found"


@dataclass
class OperatorContext:
    """Dependencies of the handlers; `tokens` is set when the service starts."""

    clock: Clock
    agreement: Agreement
    state: ControlState
    checked: CheckedDocuments
    tokens: OperatorTokens | None = None
    refused_count: int = 0


def operator_routes(context: OperatorContext) -> list[URLSpec]:
    """Return the URL specifications of the operators' interface."""
    environment = rf"/v1/environments/{SERVICE}"
    table: list[tuple[str, type[RequestHandler]]] = [
        (rf"{environment}/trial/apply", ApplyHandler),
        (rf"{environment}/production/promote", PromoteHandler),
        (rf"{environment}/{STAGE}/rollback", RollBackHandler),
        (rf"{environment}/{STAGE}/history", HistoryHandler),
        (rf"{environment}/{STAGE}", EnvironmentHandler),
        (r"/v1/audit", AuditHandler),
        (r"/v1/control/voters", VotersHandler),
        (r"/v1/control", ControlHandler),
    ]
    return [URLSpec(pattern, cls, {"context": context}) for pattern, cls in table]


class OperatorHandler(RequestHandler):
    """Checks the token and converts typed errors into JSON responses."""

    def initialize(self, context: OperatorContext) -> None:
        self.context = context
        self.operator = ""
        self.digest = ""

    def prepare(self) -> None:
        if self.context.tokens is None:
            raise UnavailableError(
                "The control role has not started.", remedy="ask again in a second"
            )
        authorization = self.request.headers.get("Authorization", "")
        try:
            self.operator = self.context.tokens.operator(authorization)
        except CredentialError:
            self.context.refused_count += 1
            _refusals.inc()
            _log.warning(
                f"refused a request from {self.request.remote_ip}: wrong token",
                path=self.request.path,
            )
            raise

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        error = kwargs["exc_info"][1] if "exc_info" in kwargs else None
        if isinstance(error, CardamomrunError):
            self.set_status(_status_of(error))
            self.finish(_error_body(error))
            return
        body = {
            "error": "http",
            "message": self._reason,
            "remedy": "docs/interfaces.md lists the paths and methods",
        }
        self.finish(body)

    def log_exception(self, typ: Any, value: Any, tb: Any) -> None:
        if not isinstance(value, CardamomrunError):
            super().log_exception(typ, value, tb)

    def fields(self, **types: type) -> Any:
        """Return the fields of the JSON body; all are required."""
        body = _parse_json(self.request.body)
        if not isinstance(body, dict) or set(body) != set(types):
            raise _bad_request_error(
                f"the body must have the fields {', '.join(types)}"
            )
        for name, kind in types.items():
            if type(body[name]) is not kind:
                raise _bad_request_error(f"{name} must be of type {kind.__name__}")
            if kind is int and not 0 <= body[name] < 2**63:
                raise _bad_request_error(f"{name} is out of range")
        return body

    async def answer_change(self, command: Any) -> None:
        """Propose a change and respond with its result."""
        result: ChangeResult = await self.context.agreement.propose(command)
        body: dict[str, Any] = {
            "environment": result.environment,
            "change_number": command.change_number,
        }
        if result.is_done:
            body |= {"version": result.version, "digest": result.digest}
        else:
            self.set_status(409)
            body |= {
                "error": result.outcome,
                "message": f"The change was refused: {result.detail}.",
                "remedy": REMEDIES[result.outcome],
                "current_version": result.version,
                "current_digest": result.digest,
            }
        self.finish(body)

    async def audit_refusal(
        self, action: str, service: str, stage: str, error: CardamomrunError
    ) -> None:
        """Add a refused request to the audit trail, before the response is sent."""
        command = RefusedAttempt(
            self.operator,
            self.context.clock.wall_ms(),
            environment_id(service, stage) if service else "control",
            action,
            self.digest,
            f"{error.kind}: {error.message}"[:OUTCOME_LENGTH],
        )
        await self.context.agreement.propose(command)


def audited(action: str, fixed_stage: str = "") -> Callable[[PostMethod], PostMethod]:
    """Decorate a POST method to audit requests that the handler itself refuses.

    Refusals of the state machine are audited when the command is applied.
    """

    def decorate(post: PostMethod) -> PostMethod:
        @wraps(post)
        async def audited_post(
            self: Any, service: str = "", stage: str = fixed_stage
        ) -> None:
            path = {"service": service, "stage": stage}
            if fixed_stage or not service:
                del path["stage"]
            if not service:
                del path["service"]
            try:
                await post(self, **path)
            except (BadRequestError, DocumentError, ConflictError) as error:
                await self.audit_refusal(action, service, stage, error)
                raise

        return audited_post

    return decorate


class ApplyHandler(OperatorHandler):
    """Puts a document in force in the trial stage."""

    @audited("apply", Stage.TRIAL)
    async def post(self, service: str) -> None:
        body = self.fields(document=str, change_number=int, expected_version=int)
        document = _decode_base64(body["document"])
        self.digest = document_digest(document)
        await self._check(document, service)
        command = ApplyDocument(
            self.operator,
            body["change_number"],
            body["expected_version"],
            self.context.clock.wall_ms(),
            service,
            document,
        )
        await self.answer_change(command)

    async def _check(self, document: bytes, service: str) -> None:
        loaded = await self.context.checked.check(document, "document")
        if loaded.service != service:
            raise DocumentError(
                f"document: key service: it is {loaded.service}, the path has "
                f"{service}.",
                remedy="send the document to the path of its service",
            )


class PromoteHandler(OperatorHandler):
    """Copies the trial's document to production."""

    @audited("promote", Stage.PRODUCTION)
    async def post(self, service: str) -> None:
        body = self.fields(digest=str, change_number=int, expected_version=int)
        command = PromoteDocument(
            self.operator,
            body["change_number"],
            body["expected_version"],
            self.context.clock.wall_ms(),
            service,
            body["digest"],
        )
        await self.answer_change(command)


class RollBackHandler(OperatorHandler):
    """Puts the document of an earlier version in force again."""

    @audited("rollback")
    async def post(self, service: str, stage: str) -> None:
        body = self.fields(to_version=int, change_number=int, expected_version=int)
        command = RollBackDocument(
            self.operator,
            body["change_number"],
            body["expected_version"],
            self.context.clock.wall_ms(),
            service,
            stage,
            body["to_version"],
        )
        await self.answer_change(command)


class EnvironmentHandler(OperatorHandler):
    """Returns the document in force."""

    async def get(self, service: str, stage: str) -> None:
        await self.context.agreement.confirm_leadership()
        environment = environment_id(service, stage)
        body = self.context.state.body(environment)
        if body is None:
            raise _not_found_error(environment)
        document = base64.b64encode(body.document).decode()
        self.finish(
            _version_fields(self.context.state.current(environment))
            | {"environment": environment, "document": document}
        )


class HistoryHandler(OperatorHandler):
    """Returns the versions that a rollback can name, oldest first."""

    async def get(self, service: str, stage: str) -> None:
        await self.context.agreement.confirm_leadership()
        environment = environment_id(service, stage)
        history = self.context.state.history(environment)
        if not history:
            raise _not_found_error(environment)
        versions = [_version_fields(version) for version in history]
        self.finish({"environment": environment, "versions": versions})


class AuditHandler(OperatorHandler):
    """Returns audit entries, at most `AUDIT_PAGE_COUNT` from a given number on.

    `chain` is "intact", or states which of these entries is missing or was edited.
    """

    async def get(self) -> None:
        given = self.get_query_argument("from", "1")
        if not given.isascii() or not given.isdecimal() or len(given) > 18:
            raise _bad_request_error("from must be the number of an audit entry")
        await self.context.agreement.confirm_leadership()
        start = max(int(given), 1) - 1
        audit = self.context.state.audit
        entries = audit[start : start + AUDIT_PAGE_COUNT]
        before = audit[start - 1].hash if 0 < start <= len(audit) else GENESIS_HASH
        self.finish(
            {
                "entries": [asdict(entry) for entry in entries],
                "last_number": len(audit),
                "chain": _chain_state(entries, before),
            }
        )


class ControlHandler(OperatorHandler):
    """Returns this instance's status and the leader's view of the voters."""

    async def get(self) -> None:
        self.finish(asdict(await self.context.agreement.status_with_leader()))


class VotersHandler(OperatorHandler):
    """Adds or removes one voter."""

    @audited("change voters")
    async def post(self) -> None:
        agreement = self.context.agreement
        body = self.fields(action=str, instance_id=str, peer_address=str)
        if body["action"] == "add":
            voter = _parse_voter(body["instance_id"], body["peer_address"])
            voters = await agreement.add_voter(
                self.operator, voter.instance_id, voter.peer_address
            )
        elif body["action"] == "remove":
            voters = await agreement.remove_voter(self.operator, body["instance_id"])
        else:
            raise _bad_request_error("action must be add or remove")
        self.finish({"voters": [asdict(entry) for entry in voters.entries]})


def _chain_state(entries: Sequence[AuditEntry], previous_hash: str) -> str:
    try:
        verify(entries, previous_hash)
    except AuditError as error:
        return str(error)
    return "intact"


def _parse_json(data: bytes) -> Any:
    try:
        return json.loads(data)
    except ValueError:
        return None


def _parse_voter(instance_id: str, peer_address: str) -> Voter:
    try:
        return _voter_adapter.validate_python(
            {"instance_id": instance_id, "peer_address": peer_address}
        )
    except ValidationError as error:
        raise _bad_request_error(
            "instance_id must be a name and peer_address host:port"
        ) from error


def _status_of(error: CardamomrunError) -> int:
    if isinstance(error, BadRequestError):
        return 400
    if isinstance(error, NotFoundError):
        return 404
    for error_type, status in STATUS_BY_ERROR:
        if isinstance(error, error_type):
            return status
    return 500


def _error_body(error: CardamomrunError) -> dict[str, Any]:
    body: dict[str, Any] = {
        "error": error.kind,
        "message": error.message,
        "remedy": error.remedy,
    }
    if isinstance(error, NotLeaderError):
        body["leader_admin_address"] = error.leader_admin_address
    return body


def _version_fields(version: DocumentVersion) -> dict[str, Any]:
    return asdict(version)


def _decode_base64(text: str) -> bytes:
    try:
        return base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError) as error:
        raise _bad_request_error("document must be in base64") from error


def _bad_request_error(reason: str) -> BadRequestError:
    return BadRequestError(
        f"The request is malformed: {reason}.",
        remedy="docs/interfaces.md gives the form of each request",
    )


def _not_found_error(environment: str) -> NotFoundError:
    return NotFoundError(
        f"{environment} has no document.",
        remedy="check the name, or apply a document first",
    )
