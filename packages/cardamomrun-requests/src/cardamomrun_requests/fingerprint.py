"""Fingerprint of a request, to recognise one that crashes backend servers."""

import hashlib

__all__ = ["BODY_PREFIX_BYTES", "fingerprint"]

BODY_PREFIX_BYTES = 65_536
DIGEST_BYTES = 16


def fingerprint(
    environment: str,
    method: str,
    target: str,
    customer: str,
    *,
    idempotency_key: str | None,
    body_prefix: bytes = b"",
) -> str:
    """Return the hash that identifies a request when it is resent.

    `target` is path and query. The body counts only without an idempotency key, and
    only its first 64 KiB (`docs/design.md`, section 4.6).

    >>> first = fingerprint("s/trial", "POST", "/a", "c", idempotency_key="k")
    >>> first == fingerprint("s/trial", "POST", "/a", "d", idempotency_key="k")
    False
    """
    if idempotency_key is not None:
        identity = b"key:" + idempotency_key.encode()
    else:
        identity = b"body:" + body_prefix[:BODY_PREFIX_BYTES]
    head = [part.encode() for part in (environment, method, target, customer)]
    # The length in front of each part distinguishes "ab" + "c" from "a" + "bc".
    framed = [b"%d:%b" % (len(part), part) for part in (*head, identity)]
    # A cryptographic hash, since a client that could make two requests collide could
    # have another customer's request quarantined.
    return hashlib.blake2b(b"".join(framed), digest_size=DIGEST_BYTES).hexdigest()
