"""Starts the adapter's processes, serves a request and stops an instance gracefully."""

import asyncio
import json
import signal

import pytest

from cardamomrun_bench.scripted_server import ScriptedServer, Step

from .builders import check_in, manifest, route_fields
from .processes import (
    CONTROL_PORT,
    DIRECTORY_PORT,
    FRONT_PORT,
    READY_PORT,
    WAIT_S,
    Fleet,
    fetch,
    wait_for_success,
)

ANSWER = (
    b"HTTP/1.1 200 OK\r\nCardamomrun-Attempt-Id: id-1\r\n"
    b"Cardamomrun-Response-Seal: seal\r\nContent-Length: 2\r\n\r\nok"
)


@pytest.fixture
def fleet(tmp_path):
    fleet = Fleet(tmp_path)
    yield fleet
    fleet.stop()


def test_a_fleet_forms_serves_and_stops(fleet):
    """Guards against parts that work in isolation but not as running processes."""

    async def main():
        server = ScriptedServer([Step(ANSWER)])
        port = await server.start()
        control = [f"{ip}:{CONTROL_PORT}" for ip in fleet.control]
        rpc = "/v1/rpc?call="
        fleet.start_all()
        body = manifest(routes=[route_fields(host="a.example", path_prefix="/a/")])
        await wait_for_success(lambda: fetch(control[1], f"{rpc}config.put", body))
        read = await wait_for_success(
            lambda: fetch(control[2], f"{rpc}config.get", b"")
        )
        assert read.body == body
        check_in_body = check_in(address=f"127.0.0.1:{port}")
        path = f"{rpc}instances.heartbeat&of=i-1"
        await wait_for_success(lambda: fetch(control[0], path, check_in_body))
        for ip in fleet.entry:
            await wait_for_success(
                lambda ip=ip: fetch(f"{ip}:{READY_PORT}", "/v1/ready")
            )
        directory = f"{fleet.control[0]}:{DIRECTORY_PORT}"
        found = await wait_for_success(
            lambda: fetch(directory, "/v1/resolve?zone=kelowna-a")
        )
        assert set(json.loads(found.body)["addresses"]) == {
            f"{ip}:{FRONT_PORT}" for ip in fleet.entry
        }
        headers = {"Host": "a.example", "Cardamomrun-Attempt-Id": "id-1"}
        front = f"{fleet.entry[0]}:{FRONT_PORT}"
        served = await wait_for_success(
            lambda: fetch(front, "/a/x", b"order", **headers)
        )
        assert served.body == b"ok"
        assert b"Cardamomrun-Expect-Instance: i-1" in server.heads[-1]
        stopping = fleet.running[fleet.entry[0]]
        stopping.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.5)
        ready = await fetch(f"{fleet.entry[0]}:{READY_PORT}", "/v1/ready")
        assert ready.code == 503
        assert (await fetch(front, "/a/x", b"order", **headers)).code == 200
        await asyncio.to_thread(stopping.wait, WAIT_S)
        assert stopping.returncode == 0
        server.stop()

    asyncio.run(main())
