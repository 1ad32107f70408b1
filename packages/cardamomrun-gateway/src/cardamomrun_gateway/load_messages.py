"""The form of load reports on the wire.

Instances report in CBOR. Relays send many more messages, most of them about servers and
ends of attempts, and pack those into records of fixed size.
"""

import struct
from collections.abc import Callable, Iterable

import cbor2
import xxhash

from cardamomrun_base.model import InstanceId
from cardamomrun_gateway.load_model import (
    AttemptInWork,
    DomainEnd,
    DomainLoad,
    EndedAttempt,
    InstanceLoad,
    ServerWork,
    ServiceCount,
)
from cardamomrun_gateway.server_health import AttemptEnd

__all__ = [
    "batches",
    "decode_domain_load",
    "decode_load",
    "encode_domain_load",
    "encode_load",
    "service_key",
    "split_batch",
]

# Datagrams above this size are split on the way, and lost if any part is.
DATAGRAM_BYTES = 1_300

# Flags, relay key, incarnation, sequence, and the counts of the four lists.
HEAD = struct.Struct("!BIQIHHBH")
# Server key, attempts, age of the oldest one and time since an accepted one.
WORK = struct.Struct("!IBBB")
# Server key, tag of the instance, end, duration in ms, age.
END = struct.Struct("!IHBHB")
FIRST_END = struct.Struct("!Q")
COUNT = struct.Struct("!III")
TAKEN = struct.Struct("!IH")
HAS_WORK = 1
# Units of ages that have one byte, in ms.
OLDEST_UNIT_MS = 50.0
ACCEPTED_UNIT_MS = 5.0
END_AGE_UNIT_MS = 10.0
BYTE_MAX = 255
DURATION_MAX_MS = 65_535
NEVER_ACCEPTED = 255


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


def decode_load(
    data: bytes, last_end: Callable[[InstanceId, int], int] | None = None
) -> InstanceLoad:
    """Return the report in `data`, or raise `ValueError`.

    Ends up to `last_end(instance_id, incarnation)` are left out: each end is told
    several times, and decoding them all is most of the cost of a report.
    """
    try:
        instance_id, incarnation, sequence, in_work, ended, counts = cbor2.loads(data)
        known = 0
        if last_end is not None:
            known = last_end(str(instance_id), int(incarnation))
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
                if seq > known
            ),
            tuple(ServiceCount(int(key), int(n), int(more)) for key, n, more in counts),
        )
    except (ValueError, TypeError, cbor2.CBORError) as error:
        raise ValueError(f"not a load report: {error}") from error


def encode_domain_load(load: DomainLoad) -> bytes:
    """Return the packed form; ages are rounded to the units above."""
    work = load.in_work or ()
    parts = [
        HEAD.pack(
            HAS_WORK if load.in_work is not None else 0,
            load.relay_key,
            load.incarnation,
            load.sequence,
            len(work),
            len(load.ended),
            len(load.counts),
            len(load.taken),
        )
    ]
    for one in work:
        accepted = NEVER_ACCEPTED
        if one.accepted_ms is not None:
            accepted = _in_units(one.accepted_ms, ACCEPTED_UNIT_MS, NEVER_ACCEPTED - 1)
        count = min(BYTE_MAX, one.count)
        oldest = _in_units(one.oldest_ms, OLDEST_UNIT_MS)
        parts.append(WORK.pack(one.server_key, count, oldest, accepted))
    if load.ended:
        parts.append(FIRST_END.pack(load.ended[0].ended.sequence))
    for end in load.ended:
        ended = end.ended
        duration_ms = min(DURATION_MAX_MS, max(0, round(ended.duration_ms)))
        age = _in_units(ended.age_ms, END_AGE_UNIT_MS)
        parts.append(
            END.pack(
                ended.server_key, end.instance_tag, int(ended.end), duration_ms, age
            )
        )
    parts += [
        COUNT.pack(c.service_key, c.request_count, c.extra_count) for c in load.counts
    ]
    parts += [TAKEN.pack(*one) for one in load.taken]
    return b"".join(parts)


def decode_domain_load(data: bytes) -> DomainLoad:
    """Return the message in `data`, or raise `ValueError`."""
    try:
        return _decode_domain_load(data)
    except (struct.error, ValueError) as error:
        raise ValueError(f"not a load message of a relay: {error}") from error


def _decode_domain_load(data: bytes) -> DomainLoad:
    head = HEAD.unpack_from(data)
    flags, relay_key, incarnation, sequence = head[:4]
    work_count, end_count, count_count, taken_count = head[4:]
    first_end_bytes = FIRST_END.size if end_count else 0
    expected_bytes = (
        HEAD.size
        + work_count * WORK.size
        + first_end_bytes
        + end_count * END.size
        + count_count * COUNT.size
        + taken_count * TAKEN.size
    )
    if len(data) != expected_bytes:
        raise ValueError(f"it has {len(data)} bytes of {expected_bytes}")
    place = HEAD.size
    work = tuple(
        ServerWork(
            key,
            count,
            oldest * OLDEST_UNIT_MS,
            None if accepted == NEVER_ACCEPTED else accepted * ACCEPTED_UNIT_MS,
        )
        for key, count, oldest, accepted in _records(WORK, data, place, work_count)
    )
    place += work_count * WORK.size
    ended: tuple[DomainEnd, ...] = ()
    if end_count:
        (first,) = FIRST_END.unpack_from(data, place)
        place += first_end_bytes
        ended = tuple(
            DomainEnd(
                tag,
                EndedAttempt(
                    first + index,
                    key,
                    AttemptEnd(end),
                    float(duration_ms),
                    age * END_AGE_UNIT_MS,
                ),
            )
            for index, (key, tag, end, duration_ms, age) in enumerate(
                _records(END, data, place, end_count)
            )
        )
        place += end_count * END.size
    counts = tuple(
        ServiceCount(*one) for one in _records(COUNT, data, place, count_count)
    )
    place += count_count * COUNT.size
    taken = tuple(_records(TAKEN, data, place, taken_count))
    return DomainLoad(
        relay_key,
        incarnation,
        sequence,
        work if flags & HAS_WORK else None,
        ended,
        counts,
        taken,
    )


def _records(
    form: struct.Struct, data: bytes, place: int, count: int
) -> Iterable[tuple]:
    return form.iter_unpack(memoryview(data)[place : place + count * form.size])


def _in_units(value_ms: float, unit_ms: float, most: int = BYTE_MAX) -> int:
    return min(most, max(0, round(value_ms / unit_ms)))


def batches(bodies: list[bytes]) -> Iterable[bytes]:
    """Yield the messages in lists that fit a datagram, if each one does."""
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
    """Return the messages in a datagram of `batches`, or raise `ValueError`."""
    try:
        found = cbor2.loads(data)
    except cbor2.CBORError as error:
        raise ValueError(f"not a batch of load messages: {error}") from error
    if not isinstance(found, list) or not all(isinstance(b, bytes) for b in found):
        raise ValueError("not a batch of load messages")
    return found
