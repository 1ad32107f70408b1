"""The control state: environments, stored results, audit trail and claims roster.

`ControlState` applies typed commands in the order of the log. It is deterministic:
the leader that proposes a command sets its time.
"""

import hashlib
from dataclasses import astuple, dataclass, replace
from functools import singledispatchmethod
from typing import Any

from cardamomrun_base.codec import decode, encode, message
from cardamomrun_base.documents import document_digest
from cardamomrun_base.model import (
    EnvironmentBody,
    EnvironmentId,
    RosterBody,
    RosterMember,
    Stage,
    environment_id,
)
from cardamomrun_control.audit import GENESIS_HASH, AuditEntry, with_hash
from cardamomrun_control.routing_state import (
    PutRouting,
    PutRoutingResult,
    RetiredServer,
    RetireServer,
    RoutingSnapshot,
    RoutingState,
)

__all__ = [
    "ApplyDocument",
    "ChangeResult",
    "ChangeVoters",
    "ControlState",
    "DocumentVersion",
    "EndJointRoster",
    "PromoteDocument",
    "RefusedAttempt",
    "RollBackDocument",
    "SetRoster",
    "VoterEntry",
    "Voters",
]

# Rollback reaches this many versions back. The bytes are stored once per digest.
HISTORY_COUNT = 10
# At 290 changes a day, results are stored for more than two months.
FIRST_ANSWER_COUNT = 20_000

DONE = "done"
KEPT = "kept"
CONFLICT_VERSION = "version-conflict"
CONFLICT_NUMBER = "change-number-conflict"
REFUSED_DIGEST = "digest-conflict"
REFUSED_HISTORY = "unknown-version"


@message("control-apply")
@dataclass(frozen=True)
class ApplyDocument:
    """Put a document in force in the trial stage."""

    operator: str
    change_number: int
    expected_version: int
    at_ms: int
    service: str
    document: bytes


@message("control-promote")
@dataclass(frozen=True)
class PromoteDocument:
    """Copy the trial's document to production if it has the given digest."""

    operator: str
    change_number: int
    expected_version: int
    at_ms: int
    service: str
    digest: str


@message("control-rollback")
@dataclass(frozen=True)
class RollBackDocument:
    """Put the document of an earlier version in force again, as a new version."""

    operator: str
    change_number: int
    expected_version: int
    at_ms: int
    service: str
    stage: str
    to_version: int


@message("control-refused")
@dataclass(frozen=True)
class RefusedAttempt:
    """An authenticated change request that was refused before it was proposed."""

    operator: str
    at_ms: int
    environment: EnvironmentId
    action: str
    digest: str
    outcome: str


@message("control-set-roster")
@dataclass(frozen=True)
class SetRoster:
    """Set the keepers of claims and begin a joint phase.

    Ignored during a joint phase, and unless the epoch is still `expected_epoch`.
    """

    at_ms: int
    expected_epoch: int
    members: tuple[RosterMember, ...]


@message("control-end-joint-roster")
@dataclass(frozen=True)
class EndJointRoster:
    """Drop the previous keepers; ignored unless the epoch is `expected_epoch`."""

    at_ms: int
    expected_epoch: int


@dataclass(frozen=True)
class VoterEntry:
    """A control instance; a learner receives the log and has no vote."""

    instance_id: str
    peer_address: str
    replica_id: str
    is_learner: bool


@message("control-voters")
@dataclass(frozen=True)
class Voters:
    """The voters of a cluster; each newly created log has its own `cluster_id`."""

    cluster_id: str
    entries: tuple[VoterEntry, ...]


@message("control-change-voters")
@dataclass(frozen=True)
class ChangeVoters:
    """Replace the set of voters by one that differs in a single instance."""

    operator: str
    at_ms: int
    action: str
    voters: Voters


Change = ApplyDocument | PromoteDocument | RollBackDocument


@message("control-result")
@dataclass(frozen=True)
class ChangeResult:
    """The result of a change; `version` and `digest` are those now in force."""

    outcome: str
    environment: EnvironmentId
    version: int
    digest: str
    detail: str = ""

    @property
    def is_done(self) -> bool:
        """True if the change was made."""
        return self.outcome == DONE


@dataclass(frozen=True)
class DocumentVersion:
    """One version of an environment; `revision` is its index in the log."""

    version: int
    digest: str
    revision: int
    at_ms: int
    operator: str
    action: str


NO_VERSION = DocumentVersion(0, "", 0, 0, "", "")


@dataclass(frozen=True)
class _StoredResult:
    operator: str
    change_number: int
    content_hash: str
    result: ChangeResult


@message("control-state")
@dataclass(frozen=True)
class _StateSnapshot:
    histories: dict[EnvironmentId, tuple[DocumentVersion, ...]]
    documents: dict[str, bytes]
    answers: tuple[_StoredResult, ...]
    audit: tuple[AuditEntry, ...]
    roster: RosterBody
    routing: RoutingSnapshot = RoutingSnapshot()


NO_ROSTER = RosterBody(0, (), ())


class ControlState:
    """Environments with their history, stored results, audit trail and roster.

    The first result of each operator's change number is stored and returned again if
    the same change is resent.
    """

    def __init__(self) -> None:
        self._load(_StateSnapshot({}, {}, (), (), NO_ROSTER))

    def _load(self, snapshot: _StateSnapshot) -> None:
        self._histories = {
            key: list(value) for key, value in snapshot.histories.items()
        }
        self._documents = dict(snapshot.documents)
        self._stored_results = {
            (a.operator, a.change_number): a for a in snapshot.answers
        }
        self.audit = list(snapshot.audit)
        self.roster = snapshot.roster
        self.routing = RoutingState(snapshot.routing)

    def snapshot(self) -> bytes:
        """Return the whole state in encoded form."""
        histories = {key: tuple(value) for key, value in self._histories.items()}
        answers = tuple(self._stored_results.values())
        audit = tuple(self.audit)
        snapshot = _StateSnapshot(
            histories, self._documents, answers, audit, self.roster,
            self.routing.snapshot(),
        )  # fmt: skip
        return encode(snapshot)

    def restore(self, data: bytes) -> None:
        """Replace the state with one returned by `snapshot`."""
        self._load(decode(data))

    def environments(self) -> list[EnvironmentBody]:
        """Return the version and document in force in every environment."""
        bodies = [self.body(key) for key in self._histories]
        return [body for body in bodies if body is not None]

    def body(self, environment: EnvironmentId) -> EnvironmentBody | None:
        """Return the version and document in force in an environment, or None."""
        now = self.current(environment)
        if now.version == 0:
            return None
        document = self._documents[now.digest]
        return EnvironmentBody(
            environment, now.version, now.revision, now.digest, document
        )

    def current(self, environment: EnvironmentId) -> DocumentVersion:
        """Return the version in force; version 0 if there is none."""
        history = self._histories.get(environment)
        return history[-1] if history else NO_VERSION

    def history(self, environment: EnvironmentId) -> list[DocumentVersion]:
        """Return the versions that a rollback can name, oldest first."""
        return list(self._histories.get(environment, ()))

    @singledispatchmethod
    def apply(self, command: Any, index: int) -> Any:
        """Apply a committed command; `index` is its index in the log."""
        raise TypeError(f"unknown command {type(command).__name__}")

    @apply.register
    def _apply(self, command: ApplyDocument, index: int) -> ChangeResult:
        environment = environment_id(command.service, Stage.TRIAL)
        return self._change(command, environment, "apply", index)

    @apply.register
    def _promote(self, command: PromoteDocument, index: int) -> ChangeResult:
        environment = environment_id(command.service, Stage.PRODUCTION)
        return self._change(command, environment, "promote", index)

    @apply.register
    def _roll_back(self, command: RollBackDocument, index: int) -> ChangeResult:
        environment = environment_id(command.service, command.stage)
        return self._change(command, environment, "rollback", index)

    @apply.register
    def _refused(self, command: RefusedAttempt, index: int) -> None:
        version = self.current(command.environment).version
        self._append_audit_entry(
            command, command.environment, command.action, version, version,
            command.digest, command.outcome,
        )  # fmt: skip

    @apply.register
    def _set_roster(self, command: SetRoster, index: int) -> RosterBody:
        roster = self.roster
        if command.expected_epoch == roster.epoch and not roster.previous_members:
            self.roster = RosterBody(roster.epoch + 1, command.members, roster.members)
        return self.roster

    @apply.register
    def _end_joint_roster(self, command: EndJointRoster, index: int) -> RosterBody:
        roster = self.roster
        if command.expected_epoch == roster.epoch and roster.previous_members:
            self.roster = RosterBody(roster.epoch + 1, roster.members, ())
        return self.roster

    @apply.register
    def _put_routing(self, command: PutRouting, index: int) -> PutRoutingResult:
        before = self.routing.number
        result = self.routing.put(command)
        self._append_audit_entry(
            command, "routing", "put", before, result.number, command.digest,
            DONE if result.has_changed else KEPT,
        )  # fmt: skip
        return result

    @apply.register
    def _retire_server(self, command: RetireServer, index: int) -> RetiredServer:
        return self.routing.retire(command)

    @apply.register
    def _change_voters(self, command: ChangeVoters, index: int) -> Voters:
        self._append_audit_entry(command, "control", command.action, 0, 0, "", DONE)
        return command.voters

    def _change(
        self, command: Change, environment: EnvironmentId, action: str, index: int
    ) -> ChangeResult:
        key = (command.operator, command.change_number)
        content_hash = _content_hash(command)
        first = self._stored_results.get(key)
        if first is not None and first.content_hash == content_hash:
            return first.result
        before = self.current(environment)
        if first is not None:
            detail = f"number {command.change_number} was used for another change"
            result = self._make_result(environment, CONFLICT_NUMBER, detail)
        else:
            result = self._try_change(command, environment, action, index)
            self._store_result(_StoredResult(*key, content_hash, result))
        digest = result.digest if result.is_done else _named_digest(command)
        self._append_audit_entry(
            command, environment, action, before.version, result.version, digest,
            result.outcome,
        )  # fmt: skip
        return result

    def _try_change(
        self, command: Change, environment: EnvironmentId, action: str, index: int
    ) -> ChangeResult:
        now = self.current(environment)
        if command.expected_version != now.version:
            detail = f"version {command.expected_version} was expected"
            return self._make_result(environment, CONFLICT_VERSION, detail)
        document = self._document_for(command, environment)
        if isinstance(document, ChangeResult):
            return document
        digest = document_digest(document)
        version = DocumentVersion(
            now.version + 1, digest, index, command.at_ms, command.operator, action
        )
        self._documents[digest] = document
        history = self._histories.setdefault(environment, [])
        history.append(version)
        del history[:-HISTORY_COUNT]
        self._drop_unused_documents()
        return self._make_result(environment, DONE, "")

    def _document_for(
        self, command: Change, environment: EnvironmentId
    ) -> bytes | ChangeResult:
        """Return the document that the command puts in force, or a refusing result."""
        if isinstance(command, ApplyDocument):
            return command.document
        if isinstance(command, PromoteDocument):
            trial = self.body(environment_id(command.service, Stage.TRIAL))
            if trial is not None and trial.digest == command.digest:
                return trial.document
            runs = "no document" if trial is None else f"digest {trial.digest}"
            detail = f"the trial runs {runs}, not digest {command.digest}"
            return self._make_result(environment, REFUSED_DIGEST, detail)
        for version in self.history(environment):
            if version.version == command.to_version:
                return self._documents[version.digest]
        detail = f"version {command.to_version} is not in the history"
        return self._make_result(environment, REFUSED_HISTORY, detail)

    def _make_result(
        self, environment: EnvironmentId, outcome: str, detail: str
    ) -> ChangeResult:
        now = self.current(environment)
        return ChangeResult(outcome, environment, now.version, now.digest, detail)

    def _store_result(self, answer: _StoredResult) -> None:
        self._stored_results[answer.operator, answer.change_number] = answer
        if len(self._stored_results) > FIRST_ANSWER_COUNT:
            del self._stored_results[next(iter(self._stored_results))]

    def _drop_unused_documents(self) -> None:
        used = {v.digest for history in self._histories.values() for v in history}
        self._documents = {d: b for d, b in self._documents.items() if d in used}

    def _append_audit_entry(
        self, command: Any, environment: EnvironmentId, action: str,
        from_version: int, to_version: int, digest: str, outcome: str,
    ) -> None:  # fmt: skip
        previous = self.audit[-1].hash if self.audit else GENESIS_HASH
        entry = AuditEntry(
            len(self.audit) + 1, command.at_ms, command.operator, action, environment,
            from_version, to_version, digest, outcome, previous,
        )  # fmt: skip
        self.audit.append(with_hash(entry))


def _content_hash(command: Change) -> str:
    """Return a hash of what the operator sent, without the leader's time."""
    content = replace(command, at_ms=0)
    text = repr((type(command).__name__, astuple(content)))
    return hashlib.sha256(text.encode()).hexdigest()


def _named_digest(command: Change) -> str:
    if isinstance(command, ApplyDocument):
        return document_digest(command.document)
    if isinstance(command, PromoteDocument):
        return command.digest
    return ""
