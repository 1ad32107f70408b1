import pytest

from cardamomrun_control import routing_state
from cardamomrun_control.routing_state import PutRouting, RetireServer, RoutingState
from cardamomrun_control.state import ControlState


def put(number, packed=b"x", digest="d"):
    return PutRouting("operator", 5, number, digest, packed)


def retire(server_id="b1", incarnation=1, is_gone=False):
    return RetireServer(5, server_id, incarnation, is_gone)


# Numbers and contents in log order, and the content in force after them.
LOG_ORDERS = {
    "rising": ([(1, b"a"), (4, b"b")], b"b"),
    "an older one late": ([(4, b"b"), (1, b"a")], b"b"),
    "the same again": ([(4, b"b"), (4, b"b")], b"b"),
    "the same number with other content": ([(4, b"b"), (4, b"c")], b"b"),
    "two operators": ([(4, b"b"), (5, b"c"), (5, b"d"), (4, b"e")], b"c"),
    "number zero first": ([(0, b"a")], b"a"),
}


@pytest.mark.parametrize("name", LOG_ORDERS)
def test_the_first_document_of_the_highest_number_is_in_force(name):
    commands, expected = LOG_ORDERS[name]
    state = RoutingState()
    for number, packed in commands:
        result = state.put(put(number, packed))
        assert result.number == state.number
    assert state.packed == expected


def test_put_reports_whether_the_document_changed():
    state = RoutingState()
    assert state.put(put(4)).has_changed
    assert not state.put(put(4)).has_changed
    assert not state.put(put(3)).has_changed


def test_a_later_incarnation_and_being_gone_win():
    """Guards against a late announcement that brings a server back."""
    state = RoutingState()
    state.retire(retire(incarnation=2))
    state.retire(retire(incarnation=1, is_gone=True))
    assert (state.retired("b1").incarnation, state.retired("b1").is_gone) == (2, False)
    state.retire(retire(incarnation=2, is_gone=True))
    state.retire(retire(incarnation=2))
    assert state.retired("b1").is_gone


def test_the_number_of_retired_servers_is_bounded(monkeypatch):
    monkeypatch.setattr(routing_state, "RETIRED_COUNT", 3)
    state = RoutingState()
    for number in range(5):
        state.retire(retire(f"b{number}"))
    assert [entry.server_id for entry in state.all_retired()] == ["b2", "b3", "b4"]


def test_a_snapshot_keeps_the_document_and_retired_servers():
    state = ControlState()
    state.apply(put(7, b"content"), 1)
    state.apply(retire("b1", 3, is_gone=True), 2)
    restored = ControlState()
    restored.restore(state.snapshot())
    assert restored.routing.packed == b"content"
    assert restored.routing.number == 7
    assert restored.routing.retired("b1").is_gone
    assert restored.snapshot() == state.snapshot()


def test_each_put_is_in_the_audit_trail():
    state = ControlState()
    state.apply(put(7, digest="first"), 1)
    state.apply(put(7, digest="other"), 2)
    entries = [(e.action, e.to_version, e.digest, e.outcome) for e in state.audit]
    assert entries == [("put", 7, "first", "done"), ("put", 7, "other", "kept")]
