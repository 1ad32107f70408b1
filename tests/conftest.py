"""Fixtures for tests with real processes."""

import base64
import json

import pytest

from .processes import Processes, document, wait_until


@pytest.fixture
def processes(tmp_path):
    """Return a factory of process groups that are killed at the end of the test."""
    groups = []

    def build(**counts) -> Processes:
        group = Processes(tmp_path, **counts)
        groups.append(group)
        return group

    yield build
    for group in groups:
        group.stop()


@pytest.fixture
def deploy():
    """Return a coroutine function that applies and promotes a document.

    It waits until the document is in force on all entry instances, and returns its
    digest.
    """

    async def put_in_force(group: Processes, **changes) -> str:
        data = json.dumps(document(**changes)).encode()
        base = "/v1/environments/rota-desk"
        body = {
            "document": base64.b64encode(data).decode(),
            "change_number": 1,
            "expected_version": 0,
        }
        answer = await wait_until(
            lambda: _answer_if_accepted(group, f"{base}/trial/apply", body)
        )
        digest = answer.body["digest"]
        body = {"digest": digest, "change_number": 2, "expected_version": 0}
        await wait_until(
            lambda: _answer_if_accepted(group, f"{base}/production/promote", body)
        )
        for name in group.instance_ids("entry"):
            await wait_until(lambda name=name: _is_in_force(group, name, digest))
        return digest

    return put_in_force


async def _answer_if_accepted(group, path, body):
    answer = await group.control("POST", path, body)
    return answer if answer.status == 200 else None


async def _is_in_force(group, name, digest):
    environments = (await group.status(name))["environments"]
    production = environments.get("rota-desk/production", {})
    return production.get("digest") == digest
