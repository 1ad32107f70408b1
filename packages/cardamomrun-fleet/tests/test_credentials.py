"""Mutual authentication with the fleet key."""

from dataclasses import replace

import pytest

from cardamomrun_base.errors import CredentialError
from cardamomrun_fleet.credentials import (
    Challenge,
    Credentials,
    Hello,
    PeerRefusedError,
    Proof,
    Refusal,
    load_fleet_key,
)

KEY = b"k" * 32


def handshake(alter=lambda hello, challenge, proof: (hello, challenge, proof), key=KEY):
    """Authenticate an opener with `key` to a listener; `alter` changes the messages."""
    opener, listener = Credentials(key, "a"), Credentials(KEY, "b")
    hello = Hello("a", 1, opener.new_nonce())
    challenge = Challenge("b", 2, listener.new_nonce())
    proof = opener.opener_proof(hello, challenge)
    hello, challenge, proof = alter(hello, challenge, proof)
    listener.check_nonce(hello.instance_id, hello.nonce)
    listener.check_opener(hello, challenge, proof)
    return opener, listener, hello, challenge


def test_both_sides_accept_the_same_key():
    """Guards against a listener that is accepted without a valid proof."""
    opener, listener, hello, challenge = handshake()
    proof = listener.listener_proof(hello, challenge)
    opener.check_nonce("b", challenge.nonce)
    opener.check_listener(hello, challenge, proof)
    wrong_proof = Credentials(b"x" * 32, "b").listener_proof(hello, challenge)
    with pytest.raises(PeerRefusedError) as refused:
        opener.check_listener(hello, challenge, wrong_proof)
    assert refused.value.refusal is Refusal.WRONG
    assert opener.refusal_counts == {Refusal.WRONG: 1}


def with_listener_proof(hello, challenge, proof):
    return hello, challenge, Credentials(KEY, "x").listener_proof(hello, challenge)


ALTERED = [
    ("no proof", lambda h, c, p: (h, c, Proof(b"")), Refusal.MISSING),
    ("no nonce", lambda h, c, p: (replace(h, nonce=b""), c, p), Refusal.MISSING),
    ("other opener", lambda h, c, p: (replace(h, instance_id="z"), c, p), "wrong"),
    ("other listener", lambda h, c, p: (h, replace(c, instance_id="z"), p), "wrong"),
    ("other incarnation", lambda h, c, p: (replace(h, incarnation=9), c, p), "wrong"),
    ("proof for old nonce", lambda h, c, p: (h, replace(c, nonce=KEY), p), "wrong"),
    ("reflected proof", with_listener_proof, Refusal.WRONG),
    ("reflected nonce", lambda h, c, p: (replace(h, nonce=c.nonce), c, p), "replayed"),
]


@pytest.mark.parametrize(("name", "alter", "refusal"), ALTERED)
def test_altered_handshakes_are_refused(name, alter, refusal):
    """Guards against replayed, reflected and redirected proofs."""
    with pytest.raises(PeerRefusedError) as refused:
        handshake(alter)
    assert refused.value.refusal == refusal, name


def test_a_wrong_key_is_refused():
    """Guards against an opener without the fleet key."""
    with pytest.raises(PeerRefusedError) as refused:
        handshake(key=b"x" * 32)
    assert refused.value.refusal is Refusal.WRONG


def test_a_replayed_hello_is_refused_and_counted():
    """Guards against a recorded handshake that is replayed."""
    _, listener, hello, _ = handshake()
    with pytest.raises(PeerRefusedError) as refused:
        listener.check_nonce("a", hello.nonce)
    assert refused.value.refusal is Refusal.REPLAYED
    assert listener.refusal_counts == {Refusal.REPLAYED: 1}


@pytest.mark.parametrize("content", [None, b"", b" short \n"])
def test_unusable_key_files_are_refused(tmp_path, content):
    """Guards against a fleet that runs without a secret key."""
    path = tmp_path / "key"
    if content is not None:
        path.write_bytes(content)
    with pytest.raises(CredentialError, match="key"):
        load_fleet_key(path)
