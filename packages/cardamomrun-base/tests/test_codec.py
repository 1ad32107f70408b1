"""Messages decode to what was encoded, and invalid bytes are refused."""

import cbor2
import pytest

from cardamomrun_base.codec import CodecError, decode, encode
from cardamomrun_base.documents import load_document
from cardamomrun_base.messages import Acknowledgement, BackendEvidence, Report
from cardamomrun_base.model import LeaderBody, Record, RecordKind

BAD_BYTES = [
    ("empty", b""),
    ("not CBOR", b"\xff\xff\xff"),
    ("unknown name", cbor2.dumps(["nobody", []])),
    ("missing fields", cbor2.dumps(["leader", ["a"]])),
    ("wrong type", cbor2.dumps(["leader", ["a", "x", "b", "c"]])),
    ("not a list", cbor2.dumps(7)),
]


def test_a_record_decodes_to_an_equal_record():
    """Guards against fields that change position or type in transit."""
    body = LeaderBody("control-1", 3, "127.0.0.1:1", "127.0.0.1:2")
    record = Record.from_content(
        RecordKind.LEADER, "control", "control-1", (3, 1), body
    )
    arrived = decode(encode(record))
    assert arrived == record
    assert arrived.content == body
    assert decode(encode(Acknowledgement())) == Acknowledgement()


def test_a_checked_document_decodes_to_an_equal_document():
    """Guards against entry instances that use another document than was checked."""
    document = load_document(
        b'{"service": "s", "hosts": ["h"], "routes": [{"prefix": "/"}]}', "s"
    )
    assert decode(encode(document)) == document


def test_a_report_on_50_servers_fits_its_share_of_the_traffic_budget():
    """Guards against field names on the wire, which doubled a report to 5,264 bytes.

    Two reports a second may use half of the budget of 6 KB/s for control traffic.
    """
    evidence = tuple(
        BackendEvidence("rota-desk/production", f"rota-{n}", 12, 1, 0, 0)
        for n in range(50)
    )
    report = Report("entry-1", "kelowna-a", 7, evidence, (("a/trial", 3),), False)
    data = encode(report)
    assert decode(data) == report
    assert len(data) < 2_000


@pytest.mark.parametrize(("case", "data"), BAD_BYTES)
def test_invalid_bytes_raise_a_typed_error(case, data):
    """Guards against a peer whose bytes end a task with an untyped exception."""
    with pytest.raises(CodecError):
        decode(data)
