"""Entry machines that hold an older document than the acknowledged one."""

import asyncio
import signal

import pytest

from .builders import manifest, route_fields
from .processes import (
    CONTROL_PORT,
    FRONT_PORT,
    READY_PORT,
    WAIT_S,
    Fleet,
    fetch,
    wait_for_success,
)

CALL = "/v1/rpc?call="
OLD_ROUTE = {"host": "a.example", "path_prefix": "/old/"}
ADDED_ROUTE = {"name": "r-2", "host": "a.example", "path_prefix": "/added/"}
# Recovery data is saved each 500 ms.
SAVED_S = 1.5
# Links that are silent for 3 s are closed.
LINKS_LOST_S = 5.0
# The time without an exchange after which an instance may be behind, and a second.
BEHIND_S = 6.0
OBSERVATION_COUNT = 30
OBSERVATION_SPACING_S = 0.1
UNAVAILABLE = 503


@pytest.fixture
def fleet(tmp_path):
    fleet = Fleet(tmp_path)
    yield fleet
    fleet.stop()


def control_address(ip):
    return f"{ip}:{CONTROL_PORT}"


async def put(ip, version, *routes):
    body = manifest(version, routes=[route_fields(**route) for route in routes])
    await wait_for_success(
        lambda: fetch(control_address(ip), f"{CALL}config.put", body)
    )


async def status_of_added_route(ip):
    headers = {"Host": "a.example", "Cardamomrun-Attempt-Id": "id-1"}
    answer = await fetch(f"{ip}:{FRONT_PORT}", "/added/x", b"order", **headers)
    return getattr(answer, "code", None)


async def until_answering(ip):
    async with asyncio.timeout(WAIT_S):
        while await status_of_added_route(ip) is None:
            await asyncio.sleep(0.1)


def leads(fleet, ip):
    return b"control: leads in term" in (fleet.folder / f"{ip}.log").read_bytes()


async def restart_with_control_that_is_behind(fleet):
    """Kill all; start the entry machines and a control machine without the last change."""
    fleet.start_all()
    await put(fleet.control[0], "00000001", OLD_ROUTE)
    await asyncio.sleep(SAVED_S)
    behind = next(ip for ip in fleet.control if not leads(fleet, ip))
    others = [ip for ip in fleet.control if ip != behind]
    fleet.running[behind].send_signal(signal.SIGSTOP)
    await put(others[0], "00000002", OLD_ROUTE, ADDED_ROUTE)
    fleet.stop()
    fleet.restart(behind)
    for ip in fleet.entry:
        fleet.restart(ip)


def test_a_route_is_not_denied_before_control_has_confirmed_the_document(fleet):
    """Guards against 404 for an acknowledged route after a restart of all machines."""

    async def main():
        await restart_with_control_that_is_behind(fleet)
        seen = set()
        for ip in fleet.entry:
            await until_answering(ip)
        for _ in range(OBSERVATION_COUNT):
            seen |= {await status_of_added_route(ip) for ip in fleet.entry}
            await asyncio.sleep(OBSERVATION_SPACING_S)
        assert seen == {UNAVAILABLE}

    asyncio.run(main())


def test_a_route_is_not_denied_without_contact_to_the_fleet(fleet):
    """Guards against 404 for an acknowledged route from an instance that is cut off."""

    async def main():
        fleet.start_all()
        await put(fleet.control[0], "00000001", OLD_ROUTE)
        for ip in fleet.entry:
            await wait_for_success(
                lambda ip=ip: fetch(f"{ip}:{READY_PORT}", "/v1/ready")
            )
        await asyncio.sleep(SAVED_S)
        cut_off = fleet.entry[0]
        others = [ip for ip in fleet.running if ip != cut_off]
        fleet.running[cut_off].send_signal(signal.SIGSTOP)
        await asyncio.sleep(LINKS_LOST_S)
        await put(fleet.control[0], "00000002", OLD_ROUTE, ADDED_ROUTE)
        for ip in others:
            fleet.running[ip].send_signal(signal.SIGSTOP)
        fleet.running[cut_off].send_signal(signal.SIGCONT)
        await asyncio.sleep(BEHIND_S)
        assert await status_of_added_route(cut_off) == UNAVAILABLE

    asyncio.run(main())
