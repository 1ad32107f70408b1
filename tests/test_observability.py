"""Metrics and logs of running nodes match docs/interfaces.md."""

import asyncio
import json
import re
from pathlib import Path

import pytest

from cardamomrun_backends.metrics import (
    DETECTION_SECONDS,
    EJECTIONS_HELD_BACK,
    EJECTIONS_HONOURED,
    EjectionMetrics,
)
from cardamomrun_base.http_client import call
from cardamomrun_base.interfaces import AttemptResult
from cardamomrun_base.model import BackendBody, BackendPhase

from .processes import wait_until

PAGE = (Path(__file__).parent.parent / "docs" / "interfaces.md").read_text()
HOST = "rota-desk.example"
# Enough concurrent requests that each report of both instances contains first attempts
# at the failing server.
BURST_COUNT = 20
SAMPLE = re.compile(r"^(\w+)(?:\{(.*)\})? (\S+)$", re.MULTILINE)


def _documented_metrics() -> dict[str, tuple[str, set[str]]]:
    """Return the type and labels of each metric on the page."""
    section = PAGE.split("## 8. Metrics")[1].split("## 9.")[0]
    rows = re.findall(r"\| `(\w+)` \| (\w+) \| (.*?) \|", section)
    return {
        name: (metric_type, set(re.findall(r"`(\w+)`", labels)))
        for name, metric_type, labels in rows
    }


async def _metrics(group, name) -> str:
    return (await call("GET", f"http://{group.admin_address(name)}/metrics")).body


async def _sample_sums(group, name) -> dict[str, float]:
    """Return the sum over all label values of each sample."""
    totals: dict[str, float] = {}
    for sample, _, value in SAMPLE.findall(await _metrics(group, name)):
        totals[sample] = totals.get(sample, 0.0) + float(value)
    return totals


async def _get(group, entry, path="/", headers=None):
    url = f"http://{group.front_address(entry)}{path}"
    return await call("GET", url, headers={"Host": HOST, **(headers or {})})


async def _make_failing(group, server_id):
    settings = json.loads((group.folder / f"{server_id}.jsonc").read_text())
    url = f"http://{settings['host']}:{settings['port']}/.backend/faults"
    # A server that fails every request is avoided before it has given evidence.
    await call("PUT", url, body={"mode": "fail", "ratio": 0.7})


async def _confirm(group, entry, request_id):
    headers = {
        "Host": HOST,
        "Idempotency-Key": "slot-1",
        "Cardamomrun-Request-Id": request_id,
    }
    url = f"http://{group.front_address(entry)}/confirmations"
    return await call("POST", url, body={}, headers=headers)


def _log_entries(group, name, request_id) -> list[dict]:
    lines = [line for line in group.read_log(name).splitlines() if line.startswith("{")]
    entries = [json.loads(line) for line in lines]
    return [entry for entry in entries if entry.get("request_id") == request_id]


@pytest.fixture
def fleet(processes, deploy):
    """Return a running group with a document in force and 4 healthy servers."""

    async def start(group):
        await deploy(group)
        for entry in group.instance_ids("entry"):
            await wait_until(lambda name=entry: _sees_all_healthy(group, name))

    group = processes(control_count=1, entry_count=2)
    group.start_all()
    for number in range(1, 5):
        group.start_backend(f"rota-{number}")
    asyncio.run(start(group))
    return group


async def _sees_all_healthy(group, name) -> bool:
    return len((await group.servers(name))["healthy"]) == 4


def _check_exported(text: str) -> set[str]:
    """Check the types and labels of exported metrics and return the metric names."""
    documented = _documented_metrics()
    types = dict(re.findall(r"^# TYPE (\w+) (\w+)$", text, re.MULTILINE))
    assert {name: documented[name][0] for name in types} == types
    for sample, labels, _ in SAMPLE.findall(text):
        name = sample
        if name not in documented:
            name = re.sub(r"_(bucket|sum|count)$", "", sample)
        metric_type, allowed = documented[name]
        allowed = allowed | ({"le"} if metric_type == "histogram" else set())
        assert set(re.findall(r'(\w+)="', labels)) <= allowed, sample
    return set(types)


def test_each_listed_metric_is_exported_without_other_labels(fleet):
    """Guards against listed metrics without data and against unlisted labels."""

    async def answered():
        return (await _get(fleet, "entry-1")).status == 200

    async def run():
        await wait_until(answered)
        await _confirm(fleet, "entry-1", "observed-1")
        for name in fleet.hosts:
            assert _check_exported(await _metrics(fleet, name)) == set(
                _documented_metrics()
            )
        control = await _sample_sums(fleet, "control-1")
        assert control["cardamomrun_control_leads"] == 1
        assert control["cardamomrun_control_last_index"] > 0
        entry = await _sample_sums(fleet, "entry-1")
        assert entry["cardamomrun_claims_total"] == 1
        assert entry["cardamomrun_added_seconds_count"] >= 1
        # The stand-ins take 5 ms, which the fleet does not add.
        server_s = 0.004 * entry["cardamomrun_added_seconds_count"]
        total_s = entry["cardamomrun_request_seconds_sum"]
        assert entry["cardamomrun_added_seconds_sum"] < total_s - server_s
        assert entry["cardamomrun_servers"] == 4
        # Half of 4 servers in production, and the minimum floor of 1 in trial.
        assert entry["cardamomrun_floor_count"] == 3
        assert entry["cardamomrun_version_in_force"] == 2
        assert entry["cardamomrun_members"] == 3
        assert entry["cardamomrun_peer_bytes_total"] > 0
        assert entry["process_resident_memory_bytes"] > 0

    asyncio.run(run())


def test_an_ejection_is_counted_with_its_detection_time(fleet):
    """Guards against an ejection without a measured detection time."""

    async def burst():
        entries = fleet.instance_ids("entry")
        gets = [_get(fleet, entry) for entry in entries for _ in range(BURST_COUNT)]
        await asyncio.gather(*gets)
        values = [await _sample_sums(fleet, entry) for entry in entries]
        return all(v.get("cardamomrun_detection_seconds_count") for v in values)

    async def run():
        await _make_failing(fleet, "rota-1")
        await wait_until(burst)
        control = await _sample_sums(fleet, "control-1")
        assert control["cardamomrun_ejections_granted_total"] >= 1
        for name in fleet.instance_ids("entry"):
            entry = await _sample_sums(fleet, name)
            assert entry["cardamomrun_ejections_honoured_total"] >= 1
            assert 0 < entry["cardamomrun_detection_seconds_sum"] < 20

    asyncio.run(run())


def _server(environment: str) -> BackendBody:
    return BackendBody(
        environment, "rota-1", 1, "127.0.0.1:1", "kelowna-a", 4, 400, "entry-1",
        BackendPhase.SERVING,
    )  # fmt: skip


def _metric_value(metric, suffix: str, environment: str) -> float:
    # Collecting the whole registry would also read gauges of other tests' objects, whose
    # event loop is closed.
    labels = {"environment": environment}
    (family,) = metric.collect()
    samples = [sample for sample in family.samples if sample.labels == labels]
    return sum(sample.value for sample in samples if sample.name.endswith(suffix))


def test_an_ejection_that_the_floor_forbids_is_counted_once():
    """Guards against ejections that the floor prevents without being counted."""
    metrics = EjectionMetrics()
    one_server, two_servers = ("rota-1",), ("rota-1", "rota-2")
    for wanted, honoured in (
        (two_servers, one_server),
        (two_servers, one_server),
        (two_servers, two_servers),
        ((), ()),
    ):
        metrics.record_ejections("held/trial", wanted, honoured, 0)
    assert _metric_value(EJECTIONS_HELD_BACK, "_total", "held/trial") == 1
    assert _metric_value(EJECTIONS_HONOURED, "_total", "held/trial") == 2


@pytest.mark.parametrize(
    ("bad_ms", "arrival_ms", "detection_s"),
    [
        ((0, 500, 900), 1_000, 1.0),
        # A fault before a quiet period is another fault.
        ((0, 40_000), 42_000, 2.0),
        # Evidence from other instances alone gives no detection time here.
        ((), 1_000, 0.0),
        ((0,), 31_000, 0.0),
    ],
)
def test_detection_time_counts_from_the_first_bad_attempt(
    bad_ms, arrival_ms, detection_s
):
    """Guards against a detection time that includes an earlier fault."""
    environment = f"detected-{arrival_ms}-{len(bad_ms)}/trial"
    metrics = EjectionMetrics()
    for now_ms in bad_ms:
        metrics.record_attempt(_server(environment), AttemptResult.FAILED, now_ms)
        metrics.record_attempt(_server(environment), AttemptResult.GOOD, now_ms + 1)
    metrics.record_ejections(environment, ("rota-1",), ("rota-1",), arrival_ms)
    metrics.record_ejections(environment, ("rota-1",), (), arrival_ms + 1)
    total_s = _metric_value(DETECTION_SECONDS, "_sum", environment)
    assert total_s == pytest.approx(detection_s)


def test_a_request_is_followed_by_its_id(fleet):
    """Guards against a request that cannot be traced through the logs by its id."""

    async def confirmed():
        answer = await _confirm(fleet, "entry-1", "followed-1")
        return answer if answer.status == 200 else None

    async def failed():
        await _get(fleet, "entry-1", headers={"Cardamomrun-Request-Id": "followed-2"})
        return _log_entries(fleet, "entry-1", "followed-2")

    async def run():
        answer = await wait_until(confirmed)
        assert answer.body["request_id"] == "followed-1"
        resent = await _confirm(fleet, "entry-2", "followed-1")
        assert resent.body["request_id"] == "followed-1"
        fleet.kill("rota-2")
        fleet.kill("rota-3")
        return await wait_until(failed)

    attempts = asyncio.run(run())
    won = _log_entries(fleet, "entry-1", "followed-1")[-1]
    assert won["text"].startswith("front: won the claim")
    refused = _log_entries(fleet, "entry-2", "followed-1")[-1]
    assert refused["text"] == "front: answers with 409 already-done"
    assert (refused["outcome"], refused["instance_id"]) == ("done", "entry-2")
    assert attempts[0]["text"].startswith("upstream: an attempt failed: ")
    assert attempts[0]["server_id"] in ("rota-2", "rota-3")
    assert all(entry["text"].startswith(_expected_prefix(entry)) for entry in attempts)


def _expected_prefix(entry: dict) -> str:
    return entry["message_type"].removeprefix("cardamomrun:") + ": "
