import pytest

from cardamomrun_platform.check_ins import CheckInError, decode_check_in, decode_leave

from .builders import SERVICE, check_in


def test_names_of_the_platform_become_those_of_the_product():
    announcement = decode_check_in("i-1", check_in(warmup_left_ms=900))
    assert announcement.server_id == "i-1"
    assert announcement.service == SERVICE
    assert announcement.incarnation == 1_776_274_009_457
    assert announcement.sequence == 4
    assert announcement.failure_domain == "kelowna-a"
    assert announcement.warm_up_ms == 900
    assert not announcement.is_draining


def test_a_draining_state_is_told():
    assert decode_check_in("i-1", check_in(state="draining")).is_draining


def test_a_server_may_not_say_when_it_started():
    assert decode_check_in("i-1", check_in(born=None)).incarnation == 0


REFUSED = {
    "no service": check_in(service=None),
    "service of another type": check_in(service=5),
    "no address": check_in(address=None),
    "address without port": check_in(address="10.0.0.1"),
    "address with a name": check_in(address="server:80"),
    "unknown state": check_in(state="resting"),
    "state of another type": check_in(state=["ready"]),
    "no sequence": check_in(seq=None),
    "sequence of another type": check_in(seq="4"),
    "negative sequence": check_in(seq=-1),
    "start of another type": check_in(born="yesterday"),
    "start that is a fraction": check_in(born=1.5),
    "slots of another type": check_in(slots="4"),
    "unreadable bytes": b"\xff\x00",
    "cut short": check_in()[:-5],
    "not an object": b"[]",
    "empty": b"",
}


@pytest.mark.parametrize("name", REFUSED)
def test_check_ins_of_another_writer_are_refused(name):
    with pytest.raises(CheckInError):
        decode_check_in("i-1", REFUSED[name])


def test_a_check_in_without_an_id_is_refused():
    with pytest.raises(CheckInError):
        decode_check_in("", check_in())


@pytest.mark.parametrize(
    ("body", "incarnation"),
    [(b"", None), (b"{}", None), (b'{"born": 5}', 5)],
)
def test_a_last_call_may_name_the_incarnation(body, incarnation):
    assert decode_leave("i-1", body) == incarnation


@pytest.mark.parametrize("body", [b"{", b'{"born": "x"}', b"[]"])
def test_an_unreadable_last_call_is_refused(body):
    with pytest.raises(CheckInError):
        decode_leave("i-1", body)
