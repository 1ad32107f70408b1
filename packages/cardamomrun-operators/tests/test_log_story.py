import json

import pytest

from cardamomrun_operators.log_story import build_timeline, parse_lines


def line(at_s, text, instance_id="e1", **fields):
    content = {"timestamp": 1_000 + at_s, "instance_id": instance_id, "text": text}
    return json.dumps(content | fields)


CHOSE = line(
    0.0, "front: chose a backend server: best", request_id="r1", server_id="b1"
)
CASES = {
    "refused under load": (
        [
            line(
                0.1,
                "front: refuses a request: no backend server has room",
                request_id="r1",
                service="rota-desk",
                held_ms=125,
                servers=28,
                doubted=9,
                in_work=120,
            ),
            line(0.1, "front: answers with 503 full", request_id="r1"),
        ],
        "refused after 125 ms: 120 requests in work at 28 servers of rota-desk, "
        "9 of them in doubt",
    ),
    "unknown after a server broke off": (
        [
            CHOSE,
            line(0.002, "attempt: ends with reset", request_id="r1", server_id="b1"),
            line(0.003, "front: answers with 502 unknown", request_id="r1"),
            line(
                -1.0,
                "load: trusts a backend server",
                instance_id="e2",
                server_id="b1",
                cause="good",
            ),
        ],
        "server b1 ended the connection without an answer, so it is not known "
        "whether it ran the request; it had been trusted for 1002 ms, by good",
    ),
    "late through a sick server": (
        [
            CHOSE,
            line(
                0.9,
                "front: an attempt is overdue",
                request_id="r1",
                server_id="b1",
                usual_ms=900,
            ),
            line(1.4, "attempt: ends with good", request_id="r1", server_id="b1"),
        ],
        "server b1 took longer than 900 ms; it was trusted until then",
    ),
    "unknown id": ([line(0.0, "x", request_id="r2")], "no line names it"),
}


@pytest.mark.parametrize("name", CASES)
def test_the_cause_of_a_failed_request(name):
    texts, cause = CASES[name]
    assert build_timeline("r1", parse_lines(texts)).cause == cause


def test_lines_of_several_processes_are_in_order_of_time():
    texts = [
        line(0.2, "second", request_id="r1"),
        "  -9.5425 edge-1 " + line(0.1, "first", instance_id="e2", request_id="r1"),
        line(0.15, "other", request_id="r2"),
        "not a log line",
        "{broken",
    ]
    timeline = build_timeline("r1", parse_lines(texts))
    assert [item.text for item in timeline.lines] == ["first", "second"]


def test_lines_that_instances_log_alike_are_shown_once():
    doubts = [
        line(0.05, "load: doubts a backend server", f"e{i}", server_id="b1")
        for i in range(40)
    ]
    timeline = build_timeline("r1", parse_lines([CHOSE, *doubts]))
    assert len(timeline.lines) == 2


def test_a_server_can_be_followed():
    texts = [CHOSE, line(0.5, "load: doubts a backend server", server_id="b1")]
    assert len(build_timeline("b1", parse_lines(texts)).lines) == 2
