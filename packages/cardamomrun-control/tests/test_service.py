import base64
import json
from contextlib import AsyncExitStack
from dataclasses import replace

import pytest
from tornado.httpclient import AsyncHTTPClient
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port
from tornado.web import Application

from cardamomrun_base.clock import SystemClock
from cardamomrun_base.model import RecordKind
from cardamomrun_control import ControlService

from .builders import (
    TOKEN,
    FakeFleet,
    Network,
    document,
    member,
    real_time,
    settings,
    until,
)

BASE = "/v1/environments/rota-desk"


class Node:
    """A control service with its operators' interface on a real listener."""

    def __init__(self, folder, name="c1", voters=("c1",), network=None, wait_ms=100):
        (folder / "tokens.json").write_text(
            f'{{"alice": "{TOKEN}", /* second */ "bob": "b"}}'
        )
        self.fleet = FakeFleet(name, network or Network())
        node_settings = settings(folder, name, voters, election_timeout_ms=wait_ms)
        self.service = ControlService(node_settings, SystemClock(), self.fleet)

    async def __aenter__(self):
        await self.service.start()
        socket, self.port = bind_unused_port(address="127.0.0.1")
        self.server = HTTPServer(Application(self.service.routes()))
        self.server.add_sockets([socket])
        return self

    async def __aexit__(self, *_):
        self.server.stop()
        await self.service.stop()

    async def leads(self):
        await until(self.service.leadership.holds_lease)

    async def call(self, path, body=None, token=TOKEN):
        response = await AsyncHTTPClient().fetch(
            f"http://127.0.0.1:{self.port}{path}",
            method="GET" if body is None else "POST",
            body=None if body is None else json.dumps(body),
            headers={"Authorization": f"Bearer {token}"},
            raise_error=False,
        )
        return response.code, json.loads(response.body)

    async def apply(self, number, expected, **fields):
        encoded = base64.b64encode(document(**fields)).decode()
        body = {"document": encoded, "change_number": number}
        return await self.call(
            f"{BASE}/trial/apply", body | {"expected_version": expected}
        )


@real_time
async def test_single_voter_works_end_to_end_and_after_restart(tmp_path):
    """Guards against a lost result, record or document at any step of a deployment."""
    async with Node(tmp_path) as node:
        await node.leads()
        status, first = await node.apply(1, 0)
        assert (status, first["version"]) == (200, 1)
        promote = {"digest": first["digest"], "change_number": 2}
        promoted = await node.call(
            f"{BASE}/production/promote", promote | {"expected_version": 0}
        )
        assert promoted[0] == 200 and promoted[1]["digest"] == first["digest"]
        assert (await node.apply(3, 1, deadline_ms=500))[0] == 200
        back = {"to_version": 1, "change_number": 4, "expected_version": 2}
        status, rolled = await node.call(f"{BASE}/trial/rollback", back)
        assert (status, rolled["version"]) == (200, 3)
        assert rolled["digest"] == first["digest"]
        await until(lambda: node.fleet.store.get(RecordKind.LEADER, "control"))
    async with Node(tmp_path) as node:
        await node.leads()
        assert await node.apply(1, 0) == (200, first)
        status, body = await node.call(f"{BASE}/production")
        assert base64.b64decode(body["document"]) == document()
        record = node.fleet.store.get(RecordKind.ENVIRONMENT, "rota-desk/trial")
        assert (record.version, record.content.document) == ((0, 3), document())
        audit = await node.call("/v1/audit?from=2")
        assert [e["outcome"] for e in audit[1]["entries"]][-1] == "done"
        assert audit[1]["chain"] == "intact"
        trail = node.service._state.audit
        trail[2] = replace(trail[2], operator="mallory")
        audit = await node.call("/v1/audit?from=2")
        assert audit[1]["chain"] == "audit entry 3 was edited"
        history = await node.call(f"{BASE}/trial/history")
        assert [v["version"] for v in history[1]["versions"]] == [1, 2, 3]


def voters(action):
    return {
        "action": action,
        "instance_id": "c1",
        "peer_address": "127.0.0.1:1",
    }


@pytest.mark.parametrize(
    ("path", "body", "token", "status", "error"),
    [
        (f"{BASE}/trial", None, "wrong", 401, "credentials"),
        (f"{BASE}/trial", None, TOKEN, 404, "not-found"),
        ("/v1/audit?from=x", None, TOKEN, 400, "bad-request"),
        (f"{BASE}/trial/apply", {"document": "e30="}, TOKEN, 400, "bad-request"),
        (
            f"{BASE}/trial/apply",
            {"document": "e30=", "change_number": 1, "expected_version": 0},
            TOKEN, 422, "document",
        ),
        (
            f"{BASE}/production/promote",
            {"digest": "0", "change_number": 1, "expected_version": 0},
            TOKEN, 409, "digest-conflict",
        ),
        (
            f"{BASE}/trial/rollback",
            {"to_version": 1, "change_number": 1, "expected_version": 4},
            TOKEN, 409, "version-conflict",
        ),
        ("/v1/control/voters", voters("remove"), TOKEN, 409, "conflict"),
        ("/v1/control/voters", voters("add"), TOKEN, 409, "conflict"),
        ("/v1/control/voters", voters("swap"), TOKEN, 400, "bad-request"),
    ],
)  # fmt: skip
@real_time
async def test_refusals_are_typed(tmp_path, path, body, token, status, error):
    """Guards against refusals without kind or remedy, or with a wrong status."""
    async with Node(tmp_path) as node:
        await node.leads()
        answer = await node.call(path, body, token)
        assert (answer[0], answer[1]["error"]) == (status, error)
        assert answer[1]["message"] and answer[1]["remedy"]
        audit = (await node.call("/v1/audit"))[1]["entries"]
        audited = body is not None
        assert any(e["operator"] == "alice" for e in audit) == audited


@real_time
async def test_instance_without_majority_answers_421(tmp_path):
    """Guards against a follower that answers from its own, possibly old, state."""
    async with Node(tmp_path, voters=("c1", "c2", "c3")) as node:
        for path in (f"{BASE}/trial", "/v1/audit"):
            status, body = await node.call(path)
            assert (status, body["error"]) == (421, "not-leader")
        assert (await node.apply(1, 0))[0] == 421
        assert (await node.call("/v1/control"))[1]["may_lose_one"] is None


@real_time
async def test_change_is_resent_to_the_next_leader(tmp_path):
    """Guards against a change lost or made twice when its response was lost."""
    network, names = Network(), ("c1", "c2", "c3")
    async with AsyncExitStack() as stack:
        nodes = [Node(tmp_path, name, names, network, 1_000) for name in names]
        for node in nodes:
            await stack.enter_async_context(node)
            node.fleet.member_list = [member(name) for name in names]
        await until(lambda: any(n.service.leadership.holds_lease() for n in nodes))
        leads = [node.service.leadership.holds_lease() for node in nodes]
        old = nodes[leads.index(True)]
        others = [node for node in nodes if node is not old]
        first = await old.apply(1, 0)
        status, body = await others[0].apply(2, 1)
        leader_name = old.fleet.instance_id
        assert (status, body["leader_admin_address"]) == (421, f"{leader_name}:1")
        network.isolate(leader_name)
        status, body = await old.apply(2, 1, deadline_ms=500)
        assert (status, body["error"]) in [(504, "unknown-end"), (503, "unavailable")]
        await until(lambda: any(n.service.leadership.holds_lease() for n in others))
        leads = [node.service.leadership.holds_lease() for node in others]
        new = others[leads.index(True)]
        assert await new.apply(1, 0) == first
        done = await new.apply(2, 1, deadline_ms=500)
        assert (done[0], done[1]["version"]) == (200, 2)
        network.heal()
        key = (RecordKind.ENVIRONMENT, "rota-desk/trial")
        await until(lambda: old.fleet.store.records[key].counter == 2)
        assert await new.apply(2, 1, deadline_ms=500) == done
