"""Mutual authentication of two instances by the fleet key, which is never sent."""

import hmac
import secrets
from collections import Counter, OrderedDict
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path

from cardamomrun_base.codec import message
from cardamomrun_base.errors import CredentialError
from cardamomrun_base.logs import ComponentLog
from cardamomrun_base.model import InstanceId

__all__ = [
    "Challenge",
    "Credentials",
    "Hello",
    "PeerRefusedError",
    "Proof",
    "Refusal",
    "load_fleet_key",
]

NONCE_BYTES = 32
MIN_KEY_BYTES = 16
# Used where the network is trusted: the handshake stays the same but proves nothing.
PUBLIC_KEY = b"cardamomrun trusted network"
# Bounds the memory for replay detection. A replayed older nonce fails all the same: the
# proof covers the fresh nonce of the other side.
SEEN_NONCE_COUNT = 4_096

log = ComponentLog("fleet")


class Refusal(StrEnum):
    """Why a peer was refused."""

    WRONG = "wrong"
    MISSING = "missing"
    REPLAYED = "replayed"


class PeerRefusedError(CredentialError):
    """A peer did not prove that it holds the fleet key."""

    kind = "peer-refused"

    def __init__(self, refusal: Refusal, peer_id: InstanceId) -> None:
        super().__init__(
            f"peer {peer_id or 'unknown'} refused: its proof is {refusal}.",
            remedy="install the same fleet key on all instances",
        )
        self.refusal = refusal


@message("hello")
@dataclass(frozen=True)
class Hello:
    """First message of the side that opened the connection."""

    instance_id: InstanceId
    incarnation: int
    nonce: bytes


@message("challenge")
@dataclass(frozen=True)
class Challenge:
    """Answer of the listener to `Hello`."""

    instance_id: InstanceId
    incarnation: int
    nonce: bytes


@message("proof")
@dataclass(frozen=True)
class Proof:
    """HMAC-SHA-256 over the sender's role, `Hello` and `Challenge`."""

    mac: bytes


def load_fleet_key(path: Path | None, *, trusts_network: bool = False) -> bytes:
    """Return the key in a file, without surrounding white space.

    Without a path returns a public key if `trusts_network` is set. Raises
    `CredentialError` if it is not, if the file cannot be read, or if the key is shorter
    than 16 bytes.
    """
    if path is None:
        if trusts_network:
            log.warning("peers are accepted without proof: fleet.trusts_network is set")
            return PUBLIC_KEY
        raise CredentialError(
            "the settings name no fleet key.",
            remedy="set fleet.key_file, or fleet.trusts_network on a closed network",
        )
    try:
        key = path.read_bytes().strip()
    except OSError as error:
        raise CredentialError(
            f"{path}: the fleet key cannot be read ({error.strerror}).",
            remedy="check the path and its permissions",
        ) from error
    if len(key) < MIN_KEY_BYTES:
        raise CredentialError(
            f"{path}: the fleet key has fewer than {MIN_KEY_BYTES} bytes.",
            remedy="create a random key of at least 32 characters",
        )
    return key


class Credentials:
    """Creates and checks proofs; counts refusals by kind.

    The opener sends its proof first, so that an unauthenticated peer never receives a
    MAC to attack offline. The MAC covers the role, so that a proof cannot be reflected
    to its sender.
    """

    def __init__(self, key: bytes, instance_id: InstanceId) -> None:
        self._key = key
        self._instance_id = instance_id
        self._seen_nonces: OrderedDict[bytes, None] = OrderedDict()
        self.refusal_counts: Counter[Refusal] = Counter()

    def new_nonce(self) -> bytes:
        """Return a fresh nonce; `check_nonce` refuses it if a peer reflects it."""
        nonce = secrets.token_bytes(NONCE_BYTES)
        self._record_nonce(nonce)
        return nonce

    def check_nonce(self, peer_id: InstanceId, nonce: bytes) -> None:
        """Raise `PeerRefusedError` if the nonce is malformed or was seen before."""
        if len(nonce) != NONCE_BYTES:
            raise self.refuse(Refusal.MISSING, peer_id)
        if nonce in self._seen_nonces:
            raise self.refuse(Refusal.REPLAYED, peer_id)
        self._record_nonce(nonce)

    def opener_proof(self, hello: Hello, challenge: Challenge) -> Proof:
        """Return the opener's proof."""
        return Proof(self._mac(b"opener", hello, challenge))

    def listener_proof(self, hello: Hello, challenge: Challenge) -> Proof:
        """Return the listener's proof."""
        return Proof(self._mac(b"listener", hello, challenge))

    def check_opener(self, hello: Hello, challenge: Challenge, proof: Proof) -> None:
        """Raise `PeerRefusedError` unless the opener's proof is valid."""
        expected = self.opener_proof(hello, challenge)
        self._check_proof(hello.instance_id, expected, proof)

    def check_listener(self, hello: Hello, challenge: Challenge, proof: Proof) -> None:
        """Raise `PeerRefusedError` unless the listener's proof is valid."""
        expected = self.listener_proof(hello, challenge)
        self._check_proof(challenge.instance_id, expected, proof)

    def refuse(self, refusal: Refusal, peer_id: InstanceId) -> PeerRefusedError:
        """Count and log a refusal; return the error to raise."""
        self.refusal_counts[refusal] += 1
        log.warning(f"peer refused: proof {refusal}", peer_id=peer_id)
        return PeerRefusedError(refusal, peer_id)

    def _check_proof(self, peer_id: InstanceId, expected: Proof, proof: Proof) -> None:
        if not proof.mac:
            raise self.refuse(Refusal.MISSING, peer_id)
        if not hmac.compare_digest(expected.mac, proof.mac):
            raise self.refuse(Refusal.WRONG, peer_id)

    def _mac(self, role: bytes, hello: Hello, challenge: Challenge) -> bytes:
        parts = [
            b"cardamomrun-peer-1",
            role,
            hello.instance_id.encode(),
            str(hello.incarnation).encode(),
            hello.nonce,
            challenge.instance_id.encode(),
            str(challenge.incarnation).encode(),
            challenge.nonce,
        ]
        # Length prefixes keep the boundaries of the parts unambiguous.
        data = b"".join(len(part).to_bytes(4, "big") + part for part in parts)
        return hmac.digest(self._key, data, "sha256")

    def _record_nonce(self, nonce: bytes) -> None:
        self._seen_nonces[nonce] = None
        if len(self._seen_nonces) > SEEN_NONCE_COUNT:
            self._seen_nonces.popitem(last=False)
