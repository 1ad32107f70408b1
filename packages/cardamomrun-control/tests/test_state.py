import pytest

from cardamomrun_base.documents import document_digest
from cardamomrun_control.audit import AuditError, verify
from cardamomrun_control.state import (
    ApplyDocument,
    ControlState,
    PromoteDocument,
    RefusedAttempt,
    RollBackDocument,
)

from .builders import document

SERVICE = "rota-desk"
DOCUMENT_A, DOCUMENT_B = document(), document(deadline_ms=500)


def apply(number, expected, content=DOCUMENT_A, operator="alice", at_ms=1):
    return ApplyDocument(operator, number, expected, at_ms, SERVICE, content)


def promote(number, expected, content=DOCUMENT_A):
    digest = document_digest(content)
    return PromoteDocument("alice", number, expected, 1, SERVICE, digest)


def roll_back(number, expected, to_version):
    return RollBackDocument("alice", number, expected, 1, SERVICE, "trial", to_version)


CHANGE_CASES = [
    ("resent", [apply(1, 0), apply(1, 0, at_ms=9)], "done", 1),
    ("resent later", [apply(1, 0), apply(2, 1, DOCUMENT_B), apply(1, 0)], "done", 1),
    (
        "same number",
        [apply(1, 0), apply(1, 0, DOCUMENT_B)],
        "change-number-conflict",
        1,
    ),
    ("same number, bob", [apply(1, 0), apply(1, 1, DOCUMENT_B, "bob")], "done", 2),
    ("race", [apply(1, 0), apply(1, 0, DOCUMENT_B, "bob")], "version-conflict", 1),
    ("refusal resent", [apply(1, 3), apply(2, 0), apply(1, 3)], "version-conflict", 0),
    ("promote", [apply(1, 0), promote(2, 0)], "done", 1),
    ("promote nothing", [promote(2, 0)], "digest-conflict", 0),
    (
        "promote old",
        [apply(1, 0), apply(2, 1, DOCUMENT_B), promote(3, 0)],
        "digest-conflict",
        0,
    ),
    (
        "roll back",
        [apply(1, 0), apply(2, 1, DOCUMENT_B), roll_back(3, 2, 1)],
        "done",
        3,
    ),
    ("roll back to none", [apply(1, 0), roll_back(2, 1, 7)], "unknown-version", 1),
]


@pytest.mark.parametrize("restarts", [False, True])
@pytest.mark.parametrize(("name", "commands", "outcome", "version"), CHANGE_CASES)
def test_change_outcomes(name, commands, outcome, version, restarts):
    """Guards against a change made twice or over an unseen one, also after restart."""
    state = ControlState()
    for index, command in enumerate(commands, 1):
        if restarts:
            snapshot, state = state.snapshot(), ControlState()
            state.restore(snapshot)
        result = state.apply(command, index)
    assert (result.outcome, result.version) == (outcome, version)
    for _ in range(3):
        count = len(state.audit)
        assert state.apply(commands[-1], 99) == result
        assert len(state.audit) - count == (outcome == "change-number-conflict")
    verify(state.audit)


def test_history_is_bounded_and_keeps_its_bytes():
    """Guards against endless growth, and a rollback without its document."""
    state = ControlState()
    for number in range(1, 31):
        state.apply(apply(number, number - 1, document(deadline_ms=100 + number)), 1)
    versions = [version.version for version in state.history(f"{SERVICE}/trial")]
    assert versions == list(range(21, 31)) and len(state._documents) == 10
    assert state.apply(roll_back(99, 30, 21), 1).version == 31
    assert state.body(f"{SERVICE}/trial").document == document(deadline_ms=121)


def test_audit_shows_gaps_and_edits():
    """Guards against undetected removals and edits of audit entries."""
    state = ControlState()
    for number in range(1, 5):
        state.apply(apply(number, number - 1), number)
    state.apply(
        RefusedAttempt("bob", 5, f"{SERVICE}/trial", "apply", "0", "document"), 5
    )
    verify(state.audit)
    verify(state.audit[2:], state.audit[1].hash)
    for position in range(4):
        with pytest.raises(AuditError, match=f"entry {position + 1} "):
            verify(state.audit[:position] + state.audit[position + 1 :])
        edited = list(state.audit)
        edited[position] = type(edited[0])(
            **{**vars(edited[position]), "operator": "eve"}
        )
        with pytest.raises(AuditError, match=f"entry {position + 1} was edited"):
            verify(edited)
