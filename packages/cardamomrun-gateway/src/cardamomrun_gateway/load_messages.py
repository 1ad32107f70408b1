"""The form of load reports on the wire: CBOR lists, several in a datagram."""

from collections.abc import Iterable

import cbor2
import xxhash

from cardamomrun_gateway.fleet_load import (
    AttemptInWork,
    EndedAttempt,
    FleetLoad,
    InstanceLoad,
    ServiceCount,
)
from cardamomrun_gateway.server_health import AttemptEnd

__all__ = ["batches", "decode_load", "encode_load", "service_key", "split_batch"]

# Datagrams above this size are split on the way, and lost if any part is.
DATAGRAM_BYTES = 1_300


def service_key(service: str) -> int:
    """Return the short name of a service in reports."""
    return xxhash.xxh32_intdigest(service.encode())


def encode_load(load: InstanceLoad) -> bytes:
    """Return the CBOR form of a report; ages and durations in whole milliseconds."""
    in_work = [[a.server_key, round(a.age_ms)] for a in load.in_work]
    ended = [
        [e.sequence, e.server_key, int(e.end), round(e.duration_ms), round(e.age_ms)]
        for e in load.ended
    ]
    counts = [[c.service_key, c.request_count, c.extra_count] for c in load.counts]
    head = [load.instance_id, load.incarnation, load.sequence]
    return cbor2.dumps([*head, in_work, ended, counts])


def decode_load(data: bytes, load: FleetLoad | None = None) -> InstanceLoad:
    """Return the report in `data`, or raise `ValueError`.

    With `load`, ends that it has judged already are left out: each end is told several
    times, and decoding them all is most of the cost of a report.
    """
    try:
        instance_id, incarnation, sequence, in_work, ended, counts = cbor2.loads(data)
        judged = 0
        if load is not None:
            judged = load.judged_end(str(instance_id), int(incarnation))
        return InstanceLoad(
            str(instance_id),
            int(incarnation),
            int(sequence),
            tuple(AttemptInWork(int(key), float(age)) for key, age in in_work),
            tuple(
                EndedAttempt(
                    int(seq), int(key), AttemptEnd(end), float(took), float(age)
                )
                for seq, key, end, took, age in ended
                if seq > judged
            ),
            tuple(ServiceCount(int(key), int(n), int(more)) for key, n, more in counts),
        )
    except (ValueError, TypeError, cbor2.CBORError) as error:
        raise ValueError(f"not a load report: {error}") from error


def batches(bodies: list[bytes]) -> Iterable[bytes]:
    """Yield the reports in lists that fit a datagram."""
    batch: list[bytes] = []
    size_bytes = 0
    for body in bodies:
        if batch and size_bytes + len(body) > DATAGRAM_BYTES:
            yield cbor2.dumps(batch)
            batch, size_bytes = [], 0
        batch.append(body)
        size_bytes += len(body)
    if batch:
        yield cbor2.dumps(batch)


def split_batch(data: bytes) -> list[bytes]:
    """Return the reports in a datagram of `batches`, or raise `ValueError`."""
    try:
        found = cbor2.loads(data)
    except cbor2.CBORError as error:
        raise ValueError(f"not a batch of load reports: {error}") from error
    if not isinstance(found, list) or not all(isinstance(b, bytes) for b in found):
        raise ValueError("not a batch of load reports")
    return found
