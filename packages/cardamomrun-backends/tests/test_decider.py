"""Grants of the decider, how entry instances honour them, and reports."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import settings as test_settings
from hypothesis import strategies as st

from cardamomrun_backends.decider import Decider
from cardamomrun_backends.floor import avoidance_allowance
from cardamomrun_backends.reporter import Reporter
from cardamomrun_base.clock import ManualClock
from cardamomrun_base.errors import PeerTimeoutError
from cardamomrun_base.interfaces import AttemptResult
from cardamomrun_base.messages import Report, ReportAnswer
from cardamomrun_base.model import BackendPhase, LeaderBody, Record, RecordKind

from .builders import (
    DOMAINS,
    ENVIRONMENT,
    FakeEnvironments,
    FakeFleet,
    FakeLeadership,
    Instance,
    environment,
    evidence,
    grant,
    publish,
    server,
    servers,
    settings,
)

REMOVALS = ["ejected", "draining", "starting", "lost"]


@pytest.mark.parametrize("present", range(16))
def test_all_removals_share_one_floor(present):
    # Guards P1: ejected, draining, starting and lost servers share one allowance.
    kinds = [kind for bit, kind in enumerate(REMOVALS) if present >> bit & 1]
    instance = Instance(servers(20), env=environment(ratio=0.8))
    for place, kind in enumerate(REMOVALS):
        if kind in kinds and kind != "ejected":
            phase = BackendPhase.GONE if kind == "lost" else BackendPhase(kind)
            publish(instance.store, server(f"b{place}", phase), counter=1)
    other_count = len([kind for kind in kinds if kind != "ejected"])
    if "ejected" in kinds:
        grant(instance.store, 1, 0, ["b19", "b18", "b17", "b16", "b15", "b14"])
    allowed = 4 - other_count if "ejected" in kinds else 0
    assert instance.view().ejected == ("b19", "b18", "b17", "b16")[:allowed]
    assert instance.view().floor_count == 16
    assert len(instance.view().healthy) == 20 - other_count - allowed
    for name in ("b10", "b11", "b12", "b13", "b14"):
        for _ in range(2):
            instance.attempt(server(name), AttemptResult.UNREACHABLE)
    # The instance may avoid its share of the spare servers: its subset is 12 of 20.
    avoidable = avoidance_allowance(20 - other_count - allowed, 16, 12)
    assert len(instance.view().healthy) >= 20 - other_count - allowed - avoidable >= 16


@pytest.mark.parametrize("phase", [BackendPhase.DRAINING, BackendPhase.GONE])
def test_servers_that_leave_do_not_lower_the_floor(phase):
    # Guards P1: when 5 leaving servers of 20 were not counted, the floor fell to 12.
    instance = Instance(servers(20), env=environment(ratio=0.8))
    for place in range(5):
        publish(instance.store, server(f"b{place}", phase), counter=1)
    assert instance.view().floor_count == 16


def test_only_the_highest_decider_epoch_is_honoured():
    # Guards P1 while two deciders both believe that they lead.
    instance = Instance(servers(10))
    grant(instance.store, 3, 0, ["b1"])
    grant(instance.store, 2, 9, ["b2", "b3"])
    assert instance.view().ejected == ("b1",)
    instance.clock.advance_ms(5_000)
    del instance.store.records[RecordKind.EJECTIONS, ENVIRONMENT]
    assert instance.view().ejected == ()
    grant(instance.store, 2, 10, ["b2", "b3"])
    grant(instance.store, 3, 0, ["b1"])
    assert instance.view().ejected == ()
    grant(instance.store, 3, 1, ["b1"])
    assert instance.view().ejected == ("b1",)


def test_returned_server_starts_slowly():
    # Guards against full load on a server that was unhealthy a moment ago.
    instance = Instance(servers(10))
    instance.clock.advance_ms(20_000)
    grant(instance.store, 1, 0, ["b1"])
    assert "b1" not in instance.chosen()
    grant(instance.store, 1, 1, [])
    counts = [instance.choose().server_id for _ in range(1_000)].count("b1")
    assert 0 < counts < 50


@test_settings(max_examples=60, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["grant", "phase", "fail", "unreachable", "wait"]),
            st.integers(0, 9),
            st.integers(0, 9),
        ),
        max_size=40,
    ),
    st.sampled_from([0.0, 0.5, 0.7, 1.0]),
)
def test_healthy_never_below_the_floor(events, ratio):
    # Guards P1 over random orders of grants, phases, failures and expiries: an
    # instance never removes a server when it sees no more than the floor healthy.
    instance = Instance(servers(10), env=environment(ratio=ratio, count=2))
    phases = list(BackendPhase)
    for number, (event, first, second) in enumerate(events):
        if event == "grant":
            names = [f"b{i}" for i in range(10)]
            grant(instance.store, first, number, names[second:] + names[:first])
        elif event == "phase":
            body = server(f"b{first}", phases[second % 4])
            publish(instance.store, body, counter=number + 1)
        elif event == "wait":
            instance.clock.advance_ms(first * 1_000)
        else:
            result = AttemptResult("failed" if event == "fail" else event)
            for _ in range(3):
                instance.attempt(server(f"b{first}"), result)
        view = instance.view()
        removed = len(view.ejected) + len(view.avoided)
        assert not removed or len(view.healthy) >= view.floor_count
        assert not {*view.ejected, *view.avoided} & {*view.draining, *view.starting}
        choice = instance.choose()
        assert choice is None or choice.phase is not BackendPhase.DRAINING


class ControlInstance:
    """A control instance: a decider with its own store and clock."""

    def __init__(self, count=10, clock=None, term=1):
        self.clock = clock or ManualClock(1_000_000)
        self.fleet = FakeFleet("control-1")
        self.store = self.fleet.store
        for body in servers(count):
            publish(self.store, body)
        self.fleet.listed_members = [
            *FakeFleet("entry-1").listed_members,
            *self.fleet.listed_members,
        ]
        self.leadership = FakeLeadership(self.clock, term)
        self.decider = Decider(
            settings("control-1"),
            self.clock,
            self.fleet,
            FakeEnvironments(),
            self.leadership,
        )
        self.sequence = 0

    def report(self, failed_id="b3", sequence=None):
        """Send one report from each failure domain; return the last answer."""
        self.sequence += 1
        for domain in DOMAINS:
            items = [
                evidence(f"b{i}", good=2) for i in range(10) if f"b{i}" != failed_id
            ]
            if failed_id:
                items.append(evidence(failed_id, failed=2))
            number = self.sequence if sequence is None else sequence
            versions = ((ENVIRONMENT, 7),) if self.sequence == 1 else ()
            message = Report(domain, domain, number, tuple(items), versions, False, 3)
            handler = self.fleet.handlers[Report]
            answer = asyncio.run(handler(f"entry-{domain}", message))
        return answer

    def run_ms(self, duration_ms):
        for _ in range(duration_ms // 250):
            self.clock.advance_ms(250)
            self.decider.tick()

    def grants(self):
        return [r for r in self.store.published if r.kind is RecordKind.EJECTIONS]


def test_decider_waits_one_lease_then_grants_and_renews():
    # Guards P1: grants of an earlier decider must end before there are new ones.
    control = ControlInstance()
    for _ in range(4):
        assert control.report() == ReportAnswer(True, 1)
    control.run_ms(4_750)
    assert control.grants() == []
    control.run_ms(250)
    first = control.grants()[0]
    assert first.content.server_ids == ("b3",)
    assert (first.version, first.lifetime_ms) == ((1, 0), 5_000)
    control.run_ms(3_000)
    assert len(control.grants()) == 4


def test_decider_without_lease_refuses_and_publishes_nothing():
    # Guards P1 when a partitioned control instance has lost its leadership lease.
    control = ControlInstance()
    control.run_ms(6_000)
    control.report()
    count = len(control.grants())
    control.leadership.is_held = False
    control.run_ms(2_000)
    assert control.report() == ReportAnswer(False, 1)
    assert len(control.grants()) == count


@pytest.mark.parametrize("lease_ends", [False, True])
def test_lease_is_checked_again_before_publishing(lease_ends):
    # Guards P1 against a lease that ends while the decision is made.
    control = ControlInstance()
    control.run_ms(6_000)
    count = len(control.grants())
    for _ in range(3):
        control.report()
    # `tick` checks the lease at its start, before deciding and before publishing.
    answers = iter([True, True, not lease_ends])
    control.leadership.holds_lease = lambda: next(answers)
    control.run_ms(250)
    assert len(control.grants()) == count + (not lease_ends)


def test_new_term_starts_without_evidence_and_waits_again():
    # Guards against evidence and grants of an earlier term.
    control = ControlInstance()
    control.run_ms(6_000)
    control.report()
    control.leadership.is_held = False
    control.run_ms(250)
    control.leadership.acquire(2)
    control.run_ms(4_750)
    assert [r for r in control.grants() if r.epoch == 2] == []
    control.run_ms(500)
    (record,) = [r for r in control.grants() if r.epoch == 2]
    assert record.content.server_ids == ()


def test_roster_epochs_of_an_earlier_term_are_forgotten():
    # Guards P4: a joint phase must not end because of a report of an earlier term.
    control = ControlInstance()
    control.report()
    instance_id = f"entry-{DOMAINS[0]}"
    assert control.decider.roster_epoch(instance_id) == 3
    assert control.decider.roster_epoch("other") is None
    control.leadership.term += 1
    control.decider.tick()
    assert control.decider.roster_epoch(instance_id) is None


def test_repeated_report_counts_once():
    # Guards against evidence that is multiplied when answers are lost repeatedly.
    control = ControlInstance()
    control.run_ms(6_000)
    for _ in range(20):
        control.report(sequence=5)
    control.run_ms(500)
    assert all(record.content.server_ids == () for record in control.grants())
    status = control.decider.reported_statuses()["entry-vernon-a"]
    assert (status.versions, status.failure_domain) == ({ENVIRONMENT: 7}, "vernon-a")


class EntryInstance(Instance):
    """An entry instance with a reporter."""

    def __init__(self):
        super().__init__(servers(3))
        self.reporter = Reporter(
            settings(), self.clock, self.fleet, self.backends, FakeEnvironments()
        )
        self.lead("control-1", 1)

    def lead(self, instance_id, term):
        body = LeaderBody(instance_id, term, "", "")
        record = Record.from_content(
            RecordKind.LEADER, "control", instance_id, (term, 0), body
        )
        self.store.put(record)

    def report(self, answer):
        self.fleet.answers.append(answer)
        asyncio.run(self.reporter.report())
        return self.fleet.sent[-1]


TIMEOUT = PeerTimeoutError("no answer", remedy="wait")
ACCEPTED = ReportAnswer(True, 1)


def test_unanswered_report_is_repeated_unchanged():
    # Guards against evidence that is lost or counted twice when an answer is lost.
    entry = EntryInstance()
    entry.attempt(server("b1"), AttemptResult.FAILED)
    first = entry.report(TIMEOUT)
    entry.attempt(server("b1"), AttemptResult.GOOD)
    assert entry.report(ReportAnswer(False, 1)) == first
    assert entry.report(ACCEPTED) == first
    assert first[1].versions_in_force == ((ENVIRONMENT, 1),)
    second = entry.report(ACCEPTED)[1]
    assert second.evidence == (evidence("b1", good=1),)
    assert (second.sequence, second.versions_in_force) == (first[1].sequence + 1, ())


def test_new_leader_gets_all_versions_and_kept_evidence():
    # Guards against a new leader that does not learn the versions in force.
    entry = EntryInstance()
    entry.report(ACCEPTED)
    entry.attempt(server("b1"), AttemptResult.UNREACHABLE)
    entry.report(TIMEOUT)
    entry.lead("control-2", 2)
    leader_id, report = entry.report(ACCEPTED)
    assert leader_id == "control-2"
    assert report.evidence == (evidence("b1", unreachable=1),)
    assert report.versions_in_force == ((ENVIRONMENT, 1),)


def test_old_evidence_is_dropped():
    # Guards against ejections for old failures after a time without a decider.
    entry = EntryInstance()
    entry.report(ACCEPTED)
    entry.attempt(server("b1"), AttemptResult.FAILED)
    entry.report(TIMEOUT)
    entry.clock.advance_ms(10_000)
    report = entry.report(ACCEPTED)[1]
    assert report.evidence == ()
    assert report.versions_in_force == ((ENVIRONMENT, 1),)


def test_failures_cause_an_early_report():
    # Guards against failures that wait for the regular report. This wait was half of the
    # detection time of a server that fails all requests.
    for result, expected_ms in [(AttemptResult.FAILED, 125), (AttemptResult.SLOW, 500)]:
        entry = EntryInstance()
        entry.attempt(server("b1"), result)
        started_ms = entry.clock.now_ms()
        asyncio.run(entry.reporter._wait_until_due())
        assert entry.clock.now_ms() - started_ms == expected_ms


def test_failures_cause_an_urgent_decision():
    # Guards against failures that wait up to 250 ms for the regular decision.
    control = ControlInstance()
    control.run_ms(6_000)
    for _ in range(3):
        control.report()
    control.clock.advance_ms(50)
    control.decider.tick_urgent()
    assert control.grants()[-1].content.server_ids == ("b3",)


def test_reports_without_failures_cause_no_urgent_decision():
    # Guards against deciding for all environments 20 times a second.
    control = ControlInstance()
    control.run_ms(6_000)
    control.report(failed_id=None)
    before = len(control.grants())
    control.clock.advance_ms(2_000)
    control.decider.tick_urgent()
    assert len(control.grants()) == before
