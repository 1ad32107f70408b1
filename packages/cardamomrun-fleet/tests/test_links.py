"""The bounded send queue of a link."""

import asyncio
from types import SimpleNamespace

from cardamomrun_base.clock import ManualClock
from cardamomrun_base.messages import Acknowledgement
from cardamomrun_fleet.exchange import RecordBatch
from cardamomrun_fleet.handler_time import HandlerTime
from cardamomrun_fleet.links import SEND_QUEUE_BYTES, Link, LinkPurpose, TrafficCounters
from cardamomrun_fleet.store import Store
from cardamomrun_fleet.traffic import TrafficMeter


def test_a_peer_that_does_not_read_is_disconnected():
    """Guards against a slow peer whose queued messages exhaust the memory."""
    aborted = []
    connection = SimpleNamespace(
        transport=SimpleNamespace(abort=lambda: aborted.append(True))
    )
    counters = TrafficCounters()
    link = Link(
        connection,
        "peer",
        1,
        outbound=True,
        purpose=LinkPurpose.OVERLAY,
        clock=ManualClock(),
        counters=counters,
        meter=TrafficMeter("kelowna-a", Store(ManualClock())),
        handler_time=HandlerTime(),
    )
    large = RecordBatch(((bytes(SEND_QUEUE_BYTES), 0),))
    assert link.send(large), "a single message may exceed the limit"
    assert not link.send(Acknowledgement())
    assert link.closed
    assert aborted
    assert counters.slow_peer_count == 1
    assert not link.send(Acknowledgement())
    assert not asyncio.run(link.stream(Acknowledgement())), (
        "a waiting sender must not hang"
    )
