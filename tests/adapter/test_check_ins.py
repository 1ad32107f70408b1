import pytest

from cardamomrun_platform.check_ins import (
    CheckInError,
    decode_check_in,
    decode_deregistration,
)

from .builders import SERVICE, check_in


def test_platform_fields_are_mapped_to_an_announcement():
    announcement = decode_check_in("i-1", check_in(warmup_left_ms=900))
    assert announcement.server_id == "i-1"
    assert announcement.service == SERVICE
    assert announcement.incarnation == 1_776_274_009_457
    assert announcement.sequence == 4
    assert announcement.failure_domain == "kelowna-a"
    assert announcement.warm_up_ms == 900
    assert not announcement.is_draining


def test_a_draining_state_is_decoded():
    assert decode_check_in("i-1", check_in(state="draining")).is_draining


def test_the_start_time_is_optional():
    assert decode_check_in("i-1", check_in(born=None)).incarnation == 0


REFUSED = {
    "no version": check_in(version=None),
    "version of another type": check_in(version=1),
    "no zone": check_in(zone=None),
    "no slots": check_in(slots=None),
    "no state": check_in(state=None),
    "no warm-up": check_in(warmup_left_ms=None),
    "warm-up of another type": check_in(warmup_left_ms="0"),
    "warm-up that is negative": check_in(warmup_left_ms=-1),
    "warm-up without end": check_in(warmup_left_ms=float("inf")),
    "warm-up that is no number": check_in(warmup_left_ms=float("nan")),
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
def test_malformed_check_ins_are_refused(name):
    with pytest.raises(CheckInError):
        decode_check_in("i-1", REFUSED[name])


def test_a_check_in_without_an_id_is_refused():
    with pytest.raises(CheckInError):
        decode_check_in("", check_in())


@pytest.mark.parametrize(
    ("body", "incarnation"),
    [(b"", None), (b"{}", None), (b'{"born": 5}', 5)],
)
def test_a_deregistration_may_name_the_incarnation(body, incarnation):
    assert decode_deregistration("i-1", body) == incarnation


@pytest.mark.parametrize("body", [b"{", b'{"born": "x"}', b"[]"])
def test_a_malformed_deregistration_is_refused(body):
    with pytest.raises(CheckInError):
        decode_deregistration("i-1", body)
