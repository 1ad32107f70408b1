"""The failure rule without links, and the selection of overlay peers."""

import pytest

from cardamomrun_base.clock import ManualClock
from cardamomrun_base.model import (
    MemberBody,
    MemberPhase,
    Record,
    RecordKind,
    SuspicionBody,
)
from cardamomrun_fleet.membership import FAILED_MEMBER_RETENTION_MS, Membership
from cardamomrun_fleet.overlay import select_peers
from cardamomrun_fleet.store import Store

from .builders import node_settings

SUSPICION_MS = 500


def member(name, incarnation=1, phase=MemberPhase.SERVING, domain="d"):
    return MemberBody(name, incarnation, "r", domain, (), "", "", "", phase)


class MembershipFixture:
    """Membership of `me`, other members of incarnation 1, and a manual clock."""

    def __init__(self, tmp_path, names):
        self.clock = ManualClock(1_000)
        self.store = Store(self.clock)
        settings = node_settings(tmp_path, "me")
        self.membership = Membership(settings, self.clock, self.store)
        self.membership.publish()
        for name in names:
            self.put(member(name))

    def put(self, body):
        version = body.incarnation, list(MemberPhase).index(body.phase)
        record = Record.from_content(
            RecordKind.MEMBER, body.instance_id, "", version, body
        )
        self.store.put(record)

    def suspect(self, observer, target="x", incarnation=1, active=True):
        body = SuspicionBody(target, incarnation, observer, "d", active)
        version = incarnation, 1 if active else 2
        key = f"{target}/{observer}"
        self.store.put(
            Record.from_content(RecordKind.SUSPICION, key, observer, version, body)
        )

    def has_failed(self, after_ms=0):
        self.membership.tick()
        self.clock.advance_ms(after_ms)
        self.membership.tick()
        return self.membership.is_failed("x")


RULE = [
    ("one of many observers", "xabc", [("a", "x")], False),
    ("two observers", "xabc", [("a", "x"), ("b", "x")], True),
    ("the only other member", "x", [("me", "x")], True),
    ("one of two possible observers", "xa", [("me", "x")], False),
    ("last survivor of three", "xa", [("me", "x"), ("me", "a")], True),
    ("observer without a record", "xabc", [("a", "x"), ("z", "x")], False),
]


@pytest.mark.parametrize(("name", "members", "suspicions", "fails"), RULE)
def test_failure_rule(tmp_path, name, members, suspicions, fails):
    """Guards against failures declared by one observer, and undetected failures."""
    fixture = MembershipFixture(tmp_path, members)
    for observer, target in suspicions:
        fixture.suspect(observer, target)
    assert not fixture.has_failed(after_ms=SUSPICION_MS - 1), name
    assert fixture.has_failed(after_ms=1) is fails, name


def test_refuted_withdrawn_and_old_suspicions_do_not_count(tmp_path):
    """Guards against a live member that stays considered failed."""
    fixture = MembershipFixture(tmp_path, "xabc")
    for observer in "ab":
        fixture.suspect(observer)
    assert fixture.has_failed(after_ms=SUSPICION_MS)
    fixture.put(member("x", incarnation=2))
    assert not fixture.has_failed(after_ms=SUSPICION_MS)
    for observer in "ab":
        fixture.suspect(observer, incarnation=2)
    assert fixture.has_failed(after_ms=SUSPICION_MS)
    fixture.suspect("a", incarnation=2, active=False)
    assert not fixture.has_failed(after_ms=SUSPICION_MS)


def test_a_failed_member_is_dropped_after_ten_minutes(tmp_path):
    """Guards against failed members that are kept forever or reintroduced."""
    fixture = MembershipFixture(tmp_path, "xabc")
    for observer in "ab":
        fixture.suspect(observer)
    assert fixture.has_failed(after_ms=FAILED_MEMBER_RETENTION_MS - 1)
    fixture.clock.advance_ms(1)
    fixture.membership.tick()
    fixture.put(member("x"))
    assert fixture.store.get(RecordKind.MEMBER, "x") is None


def test_overlay_spreads_over_failure_domains():
    """Guards against an overlay that the loss of a failure domain partitions."""
    bodies = [member(f"m{n}", domain="abcd"[n % 4]) for n in range(40)]
    for body in bodies:
        chosen = select_peers(body.instance_id, body.failure_domain, bodies, 4)
        domains = [
            other.failure_domain for other in bodies if other.instance_id in chosen
        ]
        assert len(chosen) == 4
        assert domains.count(body.failure_domain) == 2
