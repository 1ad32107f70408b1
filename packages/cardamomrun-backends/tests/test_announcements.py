"""The HTTP interface through which backend servers announce themselves."""

import json
import os
import tempfile
from pathlib import Path

from tornado.testing import AsyncHTTPTestCase
from tornado.web import Application

from cardamomrun_backends.announcements import (
    REFUSALS,
    AnnouncementTokens,
    announcement_routes,
)
from cardamomrun_backends.registry import Registry
from cardamomrun_base.model import BackendPhase

from .builders import Instance, publish, server, settings

PATH = "/v1/environments/rota-desk/production/servers"
GOOD = {
    "incarnation": 2,
    "address": "127.0.0.2:9000",
    "failure_domain": "kelowna-a",
    "slots": 4,
    "connections": 400,
    "phase": "serving",
}
REFUSED = [
    # (path, token, body, status, error)
    (f"{PATH}/b1", None, GOOD, 401, "credentials"),
    (f"{PATH}/b1", "", GOOD, 401, "credentials"),
    (f"{PATH}/b1", "wrong", GOOD, 401, "credentials"),
    (f"{PATH}/b1", "secret-\u00e9", GOOD, 401, "credentials"),
    (f"{PATH}/b1", "secret-2", GOOD, 403, "forbidden"),
    (f"{PATH}/B_1", "secret-1", GOOD, 400, "bad-request"),
    (PATH.replace("production", "test") + "/b1", "secret-1", GOOD, 400, "bad-request"),
    (f"{PATH}/b1", "secret-1", [], 400, "bad-request"),
    (f"{PATH}/b1", "secret-1", {**GOOD, "slots": 0}, 400, "bad-request"),
    (f"{PATH}/b1", "secret-1", {**GOOD, "phase": "gone"}, 400, "bad-request"),
    (f"{PATH}/b1", "secret-1", {**GOOD, "address": "host:1"}, 400, "bad-request"),
    (
        f"{PATH}/b1",
        "secret-1",
        {**GOOD, "address": "1.2.3.4:99999"},
        400,
        "bad-request",
    ),
    (f"{PATH}/b1", "secret-1", {**GOOD, "extra": "x" * 20_000}, 400, "bad-request"),
    (f"{PATH}/b1", "secret-1", {**GOOD, "incarnation": 1}, 409, "conflict"),
]
REFUSED_DEPARTURES = [
    # (query, body, status)
    ("", {"incarnation": 1}, 409),
    ("?incarnation=1", None, 409),
    ("?incarnation=1", {"incarnation": 2}, 409),
    ("", None, 400),
    ("", {}, 400),
    ("", [], 400),
    ("", {"incarnation": "x"}, 400),
    ("", {"incarnation": -1}, 400),
    ("", {"incarnation": 2, "phase": "gone"}, 400),
    ("?incarnation=", None, 400),
    ("?incarnation=x", None, 400),
    ("?incarnation=" + "9" * 5_000, None, 400),
]


class AnnouncementsTest(AsyncHTTPTestCase):
    def get_app(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.tokens = Path(self.folder.name) / "tokens.json"
        self.tokens.write_text(
            '{"rota-desk": ["secret-1", "next-1"], // two while they are replaced\n'
            ' "board-works": ["secret-2"]}'
        )
        self.instance = Instance()
        registry = Registry(settings(), self.instance.clock, self.instance.fleet)
        tokens = AnnouncementTokens(self.tokens)
        return Application(
            announcement_routes(registry, self.instance.backends, tokens)
        )

    def call(self, method, path, token="secret-1", body=None):
        headers = {} if token is None else {"Authorization": f"Bearer {token}"}
        data = None if body is None else json.dumps(body)
        answer = self.fetch(
            path,
            method=method,
            headers=headers,
            body=data,
            allow_nonstandard_methods=True,
        )
        return answer.code, json.loads(answer.body)

    def test_server_announces_drains_and_leaves(self):
        # Guards against responses that a backend server cannot use.
        lease = {"ttl_ms": 2500, "renew_ms": 1000, "registrar_id": "entry-1"}
        for token in ("secret-1", "next-1"):
            assert self.call("PUT", f"{PATH}/b1", token, GOOD) == (200, lease)
        status, listed = self.call("GET", PATH)
        assert (status, listed["healthy"], listed["floor_count"]) == (200, ["b1"], 1)
        self.call("PUT", f"{PATH}/b1", body={**GOOD, "phase": "draining"})
        assert self.call("GET", PATH)[1]["draining"] == ["b1"]
        assert self.call("DELETE", f"{PATH}/b1?incarnation=1")[0] == 409
        assert self.call("DELETE", f"{PATH}/b1?incarnation=x")[0] == 400
        assert self.call("DELETE", f"{PATH}/b1?incarnation=2")[0] == 200
        assert self.call("GET", PATH)[1]["draining"] == []

    def test_leaving_requires_the_current_incarnation(self):
        # Guards against an earlier run that ends late and removes its successor.
        publish(self.instance.store, server("b1", BackendPhase.SERVING, incarnation=2))
        before = self.instance.view()
        for query, body, status in REFUSED_DEPARTURES:
            path = f"{PATH}/b1{query}"
            code, content = self.call("DELETE", path, body=body)
            assert (code, bool(content["remedy"])) == (status, True), (query, body)
            assert self.instance.view() == before, (query, body)
        assert self.call("DELETE", f"{PATH}/b1", body={"incarnation": 2}) == (200, {})
        assert self.call("GET", PATH)[1]["healthy"] == []
        assert self.call("DELETE", f"{PATH}/b9", body={"incarnation": 2}) == (200, {})

    def test_refusals_are_typed_and_counted(self):
        # Guards against unauthorized servers and refusals without a remedy.
        publish(self.instance.store, server("b1", BackendPhase.SERVING, incarnation=2))
        before = self.instance.view()
        for path, token, body, status, kind in REFUSED:
            counted = REFUSALS.labels(status=str(status))
            count = counted._value.get()
            code, content = self.call("PUT", path, token, body)
            assert (code, content["error"]) == (status, kind), (path, token, body)
            assert content["remedy"] and "secret" not in json.dumps(content)
            assert counted._value.get() == count + 1
        assert self.instance.view() == before
        assert self.call("GET", PATH, None)[0] == 401
        assert self.call("DELETE", f"{PATH}/b1", "secret-2")[0] == 403

    def test_tokens_are_replaced_without_restart(self):
        # Guards against a restart for each new token, and a lockout by an invalid file.
        for text, modified_s in [('{"rota-desk": ["new"]}', 1), ("{", 2)]:
            self.tokens.write_text(text)
            os.utime(self.tokens, (modified_s, modified_s))
            assert self.call("GET", PATH, "secret-1")[0] == 401
            assert self.call("GET", PATH, "new")[0] == 200
