"""Announcements, expired leases and takeover by another registrar."""

import pytest

from cardamomrun_backends.registry import Announcement, Registry
from cardamomrun_backends.servers import KnownServers
from cardamomrun_base.clock import ManualClock
from cardamomrun_base.errors import ConflictError
from cardamomrun_base.model import BackendPhase, RecordKind

from .builders import ENVIRONMENT, FakeFleet, member, publish, server, settings

KEY = f"{ENVIRONMENT}/b1"


def announcement(phase=BackendPhase.SERVING, incarnation=1):
    return Announcement(incarnation, "127.0.0.2:9000", "kelowna-a", 4, 400, phase)


class Registrar:
    def __init__(self, instance_id="entry-1", clock=None):
        self.clock = clock or ManualClock()
        self.fleet = FakeFleet(instance_id)
        self.store = self.fleet.store
        self.registry = Registry(settings(instance_id), self.clock, self.fleet)

    def announce(self, *arguments):
        return self.registry.announce(ENVIRONMENT, "b1", announcement(*arguments))

    def body(self):
        return self.store.get(RecordKind.BACKEND, KEY).content

    def run_ms(self, duration_ms):
        for _ in range(duration_ms // 100):
            self.clock.advance_ms(100)
            self.registry.expire_leases()


def linked_registrars():
    former, clock = Registrar("entry-1"), None
    current = Registrar("entry-2", former.clock if clock is None else clock)
    former.store.linked_stores.append(current.store)
    current.store.linked_stores.append(former.store)
    return former, current


def test_renewal_publishes_nothing():
    # Guards against replicating renewals, which would be 3,700 records a second.
    registrar = Registrar()
    for _ in range(5):
        lease = registrar.announce()
    assert (lease.ttl_ms, lease.renew_ms, lease.registrar_id) == (2500, 1000, "entry-1")
    assert len(registrar.store.published) == 1
    registrar.announce(BackendPhase.DRAINING)
    assert registrar.store.get(RecordKind.BACKEND, KEY).version == (1, 1)


def test_silent_server_is_gone_after_its_ttl():
    # Guards P5: a server must be gone 2.5 s after its last renewal, not before.
    registrar = Registrar()
    registrar.announce()
    registrar.run_ms(2_400)
    assert registrar.body().phase is BackendPhase.SERVING
    registrar.run_ms(200)
    assert registrar.body().phase is BackendPhase.GONE
    assert registrar.store.get(RecordKind.BACKEND, KEY).lifetime_ms == 600_000


def test_takeover_stops_the_former_registrar():
    # Guards against a former registrar that publishes a moved server as gone.
    former, current = linked_registrars()
    former.announce()
    current.announce()
    assert current.store.get(RecordKind.BACKEND, KEY).version == (1, 1)
    for _ in range(10):
        former.run_ms(1_000)
        current.announce()
    assert current.body() == former.body()
    assert (current.body().phase, current.body().registrar_id) == ("serving", "entry-2")


def test_restarted_registrar_tracks_its_former_servers():
    # Guards against servers that never expire after their registrar restarted.
    registrar = Registrar()
    registrar.announce()
    registrar.registry = Registry(settings(), registrar.clock, registrar.fleet)
    registrar.run_ms(2_700)
    assert registrar.body().phase is BackendPhase.GONE


def test_pause_of_the_process_loses_no_server():
    # Guards against a registrar that publishes all its servers as gone after a pause.
    registrar = Registrar()
    registrar.announce()
    registrar.registry.expire_leases()
    registrar.clock.advance_ms(10_000)
    registrar.registry.expire_leases()
    assert registrar.body().phase is BackendPhase.SERVING


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
    registrar = Registrar()
    registrar.announce(*first)
    with pytest.raises(ConflictError):
        registrar.announce(*then)
    assert (registrar.body().phase, registrar.body().incarnation) == first


def test_leave_is_not_counted_as_lost():
    # Guards against a higher floor after a deployment that replaced servers.
    registrar = Registrar()
    known = KnownServers(registrar.clock, registrar.fleet)
    registrar.announce()
    registrar.registry.leave(ENVIRONMENT, "b1", 1)
    assert registrar.body().phase is BackendPhase.GONE
    assert known.in_environment(ENVIRONMENT).announced_count == 0


def test_servers_of_a_failed_registrar_have_a_grace():
    # Guards against losing servers at once, or never, after their registrar failed.
    clock = ManualClock()
    fleet = FakeFleet("entry-2", [member("entry-1"), member("entry-2")])
    publish(fleet.store, server("b1"))
    known = KnownServers(clock, fleet)
    fleet.listed_members = [member("entry-2")]
    is_serving = []
    for _ in range(5):
        clock.advance_ms(1_000)
        is_serving.append("b1" in known.in_environment(ENVIRONMENT).serving)
    assert is_serving == [True, True, True, False, False]
    fleet.listed_members = [member("entry-1"), member("entry-2")]
    clock.advance_ms(1_000)
    assert known.is_current(server("b1"))


def test_gone_records_expire():
    # Guards against servers lost long ago that still count towards the floor.
    registrar = Registrar()
    known = KnownServers(registrar.clock, registrar.fleet)
    registrar.announce()
    registrar.run_ms(2_600)
    assert known.in_environment(ENVIRONMENT).announced_count == 1
    registrar.clock.advance_ms(600_001)
    assert known.in_environment(ENVIRONMENT).announced_count == 0
