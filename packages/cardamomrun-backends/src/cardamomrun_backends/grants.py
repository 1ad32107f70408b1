"""Ejections granted by deciders, as one instance honours them."""

from dataclasses import dataclass

from cardamomrun_base.clock import Clock
from cardamomrun_base.interfaces import RecordStore
from cardamomrun_base.model import (
    EjectionsBody,
    EnvironmentId,
    Record,
    RecordKind,
    ServerId,
)

__all__ = ["Grants"]


@dataclass(frozen=True)
class _Grant:
    version: tuple[int, int]
    body: EjectionsBody
    received_ms: float


class Grants:
    """The ejections in force; a lease runs on this instance's clock from its receipt.

    A grant is accepted only with a higher version than any seen before, even after the
    lease ended and the record left the store: a grant of an earlier decider, or a late
    copy of a known one, must not start a new lease.
    """

    def __init__(self, clock: Clock, store: RecordStore) -> None:
        self._clock = clock
        self._grants: dict[EnvironmentId, _Grant] = {}
        store.subscribe(RecordKind.EJECTIONS, self._on_record)
        for record in store.all(RecordKind.EJECTIONS):
            self._on_record(record)

    def ejected(self, environment: EnvironmentId) -> tuple[ServerId, ...]:
        """Return the servers to eject, in the decider's order; empty without a lease."""
        body = self._in_force(environment)
        return () if body is None else body.server_ids

    def probation(self, environment: EnvironmentId) -> tuple[ServerId, ...]:
        """Return the servers that returned from an ejection a short while ago."""
        body = self._in_force(environment)
        return () if body is None else body.probation_server_ids

    def _in_force(self, environment: EnvironmentId) -> EjectionsBody | None:
        grant = self._grants.get(environment)
        if grant is None:
            return None
        age_ms = self._clock.now_ms() - grant.received_ms
        return grant.body if age_ms < grant.body.lease_ms else None

    def _on_record(self, record: Record) -> None:
        body: EjectionsBody = record.content
        current = self._grants.get(body.environment)
        if current is not None and current.version >= record.version:
            return
        now_ms = self._clock.now_ms()
        self._grants[body.environment] = _Grant(record.version, body, now_ms)
