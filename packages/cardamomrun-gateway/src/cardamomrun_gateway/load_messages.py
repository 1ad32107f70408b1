"""Wire format of load reports and relay messages.

Instances report in CBOR. Relays send many more messages, mostly about servers and ends
of attempts, which are packed into records of fixed size.
"""

import struct
from collections.abc import Callable, Iterable

import cbor2
import xxhash

from cardamomrun_base.model import InstanceId
from cardamomrun_gateway.load_model import (
    DomainEnd,
    DomainLoad,
    EndedAttempt,
    InFlightAttempt,
    InstanceLoad,
    ServerLoad,
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

# Larger datagrams may be fragmented, and are lost with any fragment.
DATAGRAM_BYTES = 1_300

# Flags, relay key, incarnation, sequence, and the lengths of the four lists.
HEAD = struct.Struct("!BIQIHHBH")
# Server key, attempts in flight, age of the oldest and of the latest accepted one.
SERVER_LOAD = struct.Struct("!IBBB")
# Server key, tag of the instance, end, duration in ms, age.
END = struct.Struct("!IHBHB")
FIRST_END = struct.Struct("!Q")
COUNT = struct.Struct("!III")
INCLUDED_REPORT = struct.Struct("!IH")
HAS_SERVER_LOADS = 1
# Units of ages that are encoded in one byte, in ms.
OLDEST_UNIT_MS = 50.0
ACCEPTED_UNIT_MS = 5.0
END_AGE_UNIT_MS = 10.0
BYTE_MAX = 255
DURATION_MAX_MS = 65_535
NEVER_ACCEPTED = 255
END_BY_NUMBER = {int(end): end for end in AttemptEnd}


def service_key(service: str) -> int:
    """Return the 32-bit hash that identifies a service in reports."""
    return xxhash.xxh32_intdigest(service.encode())


def encode_load(load: InstanceLoad) -> bytes:
    """Return the CBOR form of a report; ages and durations in whole milliseconds."""
    in_flight = [[a.server_key, round(a.age_ms)] for a in load.in_flight]
    ended = [
        [e.sequence, e.server_key, int(e.end), round(e.duration_ms), round(e.age_ms)]
        for e in load.ended
    ]
    counts = [[c.service_key, c.request_count, c.retry_count] for c in load.counts]
    head = [load.instance_id, load.incarnation, load.sequence]
    return cbor2.dumps([*head, in_flight, ended, counts])


def decode_load(
    data: bytes, last_end: Callable[[InstanceId, int], int] | None = None
) -> InstanceLoad:
    """Return the report in `data`, or raise `ValueError`.

    Ends up to `last_end(instance_id, incarnation)` are left out: each end is sent
    several times, and decoding them all is most of the cost of a report.
    """
    try:
        instance_id, incarnation, sequence, in_flight, ended, counts = cbor2.loads(data)
        known_end = 0
        if last_end is not None:
            known_end = last_end(str(instance_id), int(incarnation))
        return InstanceLoad(
            str(instance_id),
            int(incarnation),
            int(sequence),
            tuple(InFlightAttempt(int(key), float(age)) for key, age in in_flight),
            tuple(
                EndedAttempt(
                    int(seq), int(key), END_BY_NUMBER[end], float(duration), float(age)
                )
                for seq, key, end, duration, age in ended
                if seq > known_end
            ),
            tuple(
                ServiceCount(int(key), int(n), int(retries))
                for key, n, retries in counts
            ),
        )
    except (ValueError, TypeError, KeyError, cbor2.CBORError) as error:
        raise ValueError(f"not a load report: {error}") from error


def encode_domain_load(load: DomainLoad) -> bytes:
    """Return the packed form of a message; ages are rounded to the units above."""
    server_loads = load.in_flight or ()
    parts = [
        HEAD.pack(
            HAS_SERVER_LOADS if load.in_flight is not None else 0,
            load.relay_key,
            load.incarnation,
            load.sequence,
            len(server_loads),
            len(load.ended),
            len(load.counts),
            len(load.included_reports),
        )
    ]
    for server_load in server_loads:
        accepted = NEVER_ACCEPTED
        if server_load.accepted_ms is not None:
            accepted = _in_units(
                server_load.accepted_ms, ACCEPTED_UNIT_MS, NEVER_ACCEPTED - 1
            )
        count = min(BYTE_MAX, server_load.attempt_count)
        oldest = _in_units(server_load.oldest_ms, OLDEST_UNIT_MS)
        parts.append(SERVER_LOAD.pack(server_load.server_key, count, oldest, accepted))
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
        COUNT.pack(c.service_key, c.request_count, c.retry_count) for c in load.counts
    ]
    parts += [INCLUDED_REPORT.pack(*report) for report in load.included_reports]
    return b"".join(parts)


def decode_domain_load(data: bytes) -> DomainLoad:
    """Return the relay message in `data`, or raise `ValueError`."""
    try:
        return _decode_domain_load(data)
    except (struct.error, ValueError, KeyError) as error:
        raise ValueError(f"not a load message of a relay: {error}") from error


def _decode_domain_load(data: bytes) -> DomainLoad:
    head = HEAD.unpack_from(data)
    flags, relay_key, incarnation, sequence = head[:4]
    server_count, end_count, count_count, report_count = head[4:]
    first_end_bytes = FIRST_END.size if end_count else 0
    expected_bytes = (
        HEAD.size
        + server_count * SERVER_LOAD.size
        + first_end_bytes
        + end_count * END.size
        + count_count * COUNT.size
        + report_count * INCLUDED_REPORT.size
    )
    if len(data) != expected_bytes:
        raise ValueError(f"it has {len(data)} bytes of {expected_bytes}")
    offset = HEAD.size
    server_loads = tuple(
        ServerLoad(
            key,
            count,
            oldest * OLDEST_UNIT_MS,
            None if accepted == NEVER_ACCEPTED else accepted * ACCEPTED_UNIT_MS,
        )
        for key, count, oldest, accepted in _records(
            SERVER_LOAD, data, offset, server_count
        )
    )
    offset += server_count * SERVER_LOAD.size
    ended: tuple[DomainEnd, ...] = ()
    if end_count:
        (first,) = FIRST_END.unpack_from(data, offset)
        offset += first_end_bytes
        ended = tuple(
            DomainEnd(
                tag,
                EndedAttempt(
                    first + index,
                    key,
                    END_BY_NUMBER[end],
                    float(duration_ms),
                    age * END_AGE_UNIT_MS,
                ),
            )
            for index, (key, tag, end, duration_ms, age) in enumerate(
                _records(END, data, offset, end_count)
            )
        )
        offset += end_count * END.size
    counts = tuple(
        ServiceCount(*fields) for fields in _records(COUNT, data, offset, count_count)
    )
    offset += count_count * COUNT.size
    included_reports = tuple(_records(INCLUDED_REPORT, data, offset, report_count))
    return DomainLoad(
        relay_key,
        incarnation,
        sequence,
        server_loads if flags & HAS_SERVER_LOADS else None,
        ended,
        counts,
        included_reports,
    )


def _records(
    record_format: struct.Struct, data: bytes, offset: int, count: int
) -> Iterable[tuple]:
    return record_format.iter_unpack(
        memoryview(data)[offset : offset + count * record_format.size]
    )


def _in_units(value_ms: float, unit_ms: float, max_units: int = BYTE_MAX) -> int:
    units = round(value_ms / unit_ms)
    if units < 0:
        return 0
    return units if units < max_units else max_units


def batches(bodies: list[bytes]) -> Iterable[bytes]:
    """Yield encoded lists of messages that fit a datagram, if each message does."""
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
    """Return the messages in a list from `batches`, or raise `ValueError`."""
    try:
        messages = cbor2.loads(data)
    except cbor2.CBORError as error:
        raise ValueError(f"not a batch of load messages: {error}") from error
    if not isinstance(messages, list) or not all(
        isinstance(b, bytes) for b in messages
    ):
        raise ValueError("not a batch of load messages")
    return messages
