"""The audit trail: entries chained by SHA-256, so that gaps and edits are detected."""

import hashlib
import json
from collections.abc import Sequence
from dataclasses import asdict, dataclass, replace

__all__ = ["GENESIS_HASH", "AuditEntry", "AuditError", "with_hash", "verify"]

GENESIS_HASH = "0" * 64


class AuditError(ValueError):
    """An entry of the trail is missing, out of order or was edited."""


@dataclass(frozen=True)
class AuditEntry:
    """One change or refused attempt; `number` counts from 1 without gaps."""

    number: int
    at_ms: int
    operator: str
    action: str
    environment: str
    from_version: int
    to_version: int
    digest: str
    outcome: str
    previous_hash: str
    hash: str = ""


def with_hash(entry: AuditEntry) -> AuditEntry:
    """Return the entry with its hash."""
    return replace(entry, hash=_hash(entry))


def verify(entries: Sequence[AuditEntry], previous_hash: str = GENESIS_HASH) -> None:
    """Check consecutive entries that follow the one with the hash `previous_hash`.

    Raises `AuditError`, which names the first entry that is missing or invalid.
    """
    number = entries[0].number if entries else 1
    if previous_hash == GENESIS_HASH and number != 1:
        raise AuditError(f"audit entry 1 is missing, the first is {number}")
    for entry in entries:
        if entry.number != number or entry.previous_hash != previous_hash:
            raise AuditError(f"audit entry {number} is missing or not in its place")
        if _hash(entry) != entry.hash:
            raise AuditError(f"audit entry {number} was edited")
        previous_hash = entry.hash
        number += 1


def _hash(entry: AuditEntry) -> str:
    fields = asdict(entry)
    del fields["hash"]
    text = json.dumps(fields, sort_keys=True, separators=(",", ":"))
    return hashlib.sha256(text.encode()).hexdigest()
