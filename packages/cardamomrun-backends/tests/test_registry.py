"""Announcements, takeover by another registrar, and silence."""

import pytest

from cardamomrun_backends.registry import Announcement, Registry
from cardamomrun_backends.servers import KnownServers
from cardamomrun_base.clock import ManualClock
from cardamomrun_base.errors import ConflictError
from cardamomrun_base.model import BackendPhase, Kind

from .builders import ENVIRONMENT, FakeFleet, member, publish, server, settings

KEY = f"{ENVIRONMENT}/b1"


def announcement(phase=BackendPhase.SERVING, incarnation=1):
    return Announcement(incarnation, "127.0.0.2:9000", "kelowna-a", 4, 400, phase)


class Node:
    def __init__(self, instance_id="entry-1", clock=None):
        self.clock = clock or ManualClock()
        self.fleet = FakeFleet(instance_id)
        self.store = self.fleet.store
        self.registry = Registry(settings(instance_id), self.clock, self.fleet)

    def announce(self, *arguments):
        return self.registry.announce(ENVIRONMENT, "b1", announcement(*arguments))

    def body(self):
        return self.store.get(Kind.BACKEND, KEY).content

    def run_ms(self, duration_ms):
        for _ in range(duration_ms // 100):
            self.clock.advance_ms(100)
            self.registry.sweep()


def linked_pair():
    one, clock = Node("entry-1"), None
    two = Node("entry-2", one.clock if clock is None else clock)
    one.store.linked.append(two.store)
    two.store.linked.append(one.store)
    return one, two


def test_renewal_publishes_nothing():
    # Guards against 3,700 records a second: only changes may be replicated.
    node = Node()
    for _ in range(5):
        lease = node.announce()
    assert (lease.ttl_ms, lease.renew_ms, lease.registrar_id) == (2500, 1000, "entry-1")
    assert len(node.store.published) == 1
    node.announce(BackendPhase.DRAINING)
    assert node.store.get(Kind.BACKEND, KEY).version == (1, 1)


def test_silent_server_is_gone_after_its_ttl():
    # Guards P5: a silent server must be gone 2.5 s after its last renewal, not before.
    node = Node()
    node.announce()
    node.run_ms(2_400)
    assert node.body().phase is BackendPhase.SERVING
    node.run_ms(200)
    assert node.body().phase is BackendPhase.GONE
    assert node.store.get(Kind.BACKEND, KEY).lifetime_ms == 600_000


def test_takeover_stops_the_former_registrar():
    # Guards against the former registrar publishing gone for a server that moved.
    one, two = linked_pair()
    one.announce()
    two.announce()
    assert two.store.get(Kind.BACKEND, KEY).version == (1, 1)
    for _ in range(10):
        one.run_ms(1_000)
        two.announce()
    assert two.body() == one.body()
    assert (two.body().phase, two.body().registrar_id) == ("serving", "entry-2")


def test_restarted_registrar_watches_its_former_servers():
    # Guards against servers that stay for ever when registrar and server both restart.
    node = Node()
    node.announce()
    node.registry = Registry(settings(), node.clock, node.fleet)
    node.run_ms(2_700)
    assert node.body().phase is BackendPhase.GONE


def test_pause_of_the_process_loses_no_server():
    # Guards against a paused registrar publishing all of its servers as gone.
    node = Node()
    node.announce()
    node.registry.sweep()
    node.clock.advance_ms(10_000)
    node.registry.sweep()
    assert node.body().phase is BackendPhase.SERVING


@pytest.mark.parametrize(
    ("first", "then"),
    [
        ((BackendPhase.SERVING, 2), (BackendPhase.SERVING, 1)),
        ((BackendPhase.DRAINING, 1), (BackendPhase.SERVING, 1)),
    ],
    ids=["older incarnation", "delayed announcement after drain"],
)
def test_older_announcement_is_refused(first, then):
    # Guards against a delayed announcement that undoes a newer one.
    node = Node()
    node.announce(*first)
    with pytest.raises(ConflictError):
        node.announce(*then)
    assert (node.body().phase, node.body().incarnation) == first


def test_leave_is_not_counted_as_lost():
    # Guards against deployments that raise the floor's base by the servers replaced.
    node = Node()
    known = KnownServers(node.clock, node.fleet)
    node.announce()
    node.registry.leave(ENVIRONMENT, "b1", 1)
    assert node.body().phase is BackendPhase.GONE
    assert known.of(ENVIRONMENT).announced_count == 0


def test_servers_of_a_failed_registrar_have_a_grace():
    # Guards against losing servers at once, or never, when their registrar fails.
    clock = ManualClock()
    fleet = FakeFleet("entry-2", [member("entry-1"), member("entry-2")])
    publish(fleet.store, server("b1"))
    known = KnownServers(clock, fleet)
    fleet.listed = [member("entry-2")]
    seen = []
    for _ in range(5):
        clock.advance_ms(1_000)
        seen.append("b1" in known.of(ENVIRONMENT).serving)
    assert seen == [True, True, True, False, False]
    fleet.listed = [member("entry-1"), member("entry-2")]
    clock.advance_ms(1_000)
    assert known.is_current(server("b1"))


def test_gone_records_expire():
    # Guards against servers lost long ago that count towards the floor for ever.
    node = Node()
    known = KnownServers(node.clock, node.fleet)
    node.announce()
    node.run_ms(2_600)
    assert known.of(ENVIRONMENT).announced_count == 1
    node.clock.advance_ms(600_001)
    assert known.of(ENVIRONMENT).announced_count == 0
