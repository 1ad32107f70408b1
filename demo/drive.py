"""Drives the demonstration: python demo/drive.py FOLDER NAME=PID..."""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path
from typing import Any

from cardamomrun_base.errors import CardamomrunError
from cardamomrun_base.http_client import CallResponse, call
from cardamomrun_operators.main import main as run_command

ENTRY_ADMIN = {"entry-1": "127.20.0.11:18081", "entry-2": "127.20.0.12:18081"}
CONTROL_ADMIN = "127.20.0.1:18081"
# An accepted document is in force everywhere within this time.
IN_FORCE_LIMIT_S = 4.0
FRONT_OF_ENTRY_1 = "127.20.0.11:18080"
FRONT_OF_ENTRY_2 = "127.20.0.12:18080"
HOST = "rota-desk.example"
STEP_TIMEOUT_S = 30
ANNOUNCEMENT_TOKEN = "demonstration-rota-desk-token"
SERVERS_PATH = "/v1/environments/rota-desk/production/servers"


class Demonstration:
    """The steps of the demonstration, each of which prints what it observed."""

    def __init__(self, folder: Path, pids: dict[str, int]) -> None:
        self._folder = folder
        self._pids = pids
        self._step_count = 0

    def print_step(self, sentence: str) -> None:
        """Print one numbered step."""
        self._step_count += 1
        print(f"{self._step_count:2}. {sentence}", flush=True)

    async def run(self) -> None:
        """Run all steps in order; raise at the first that fails."""
        await self._start()
        await self._publish_document()
        await self._serve_request()
        await self._confirm_once()
        await self._lose_backend_server()
        await self._stop_gracefully()

    async def _start(self) -> None:
        for address in (CONTROL_ADMIN, *ENTRY_ADMIN.values()):
            await _wait_for(lambda a=address: _is_up(f"http://{a}/v1/status"))
        self.print_step("one control instance and two entry instances run")

    async def _publish_document(self) -> None:
        document = str(self._folder / "rota-desk.jsonc")
        await self._run_operator_command("check", document)
        await self._run_operator_command("apply", document)
        self.print_step(
            "the document was checked and put in force in the trial environment"
        )
        await self._run_operator_command("promote", "rota-desk")
        promoted_s = time.monotonic()
        for address in (FRONT_OF_ENTRY_1, FRONT_OF_ENTRY_2):
            await _wait_for(lambda a=address: _knows_host(a))
        elapsed_s = time.monotonic() - promoted_s
        if elapsed_s > IN_FORCE_LIMIT_S:
            raise SystemExit(f"the document is in force after {elapsed_s:.1f} s only")
        self.print_step(
            f"exactly its bytes were promoted to production; {elapsed_s:.1f} s later "
            "they were in force at both entry instances"
        )

    async def _serve_request(self) -> None:
        await _wait_for(lambda: _has_healthy_servers(2))
        self.print_step("two backend servers announced themselves")
        addresses = await _wait_for(lambda: _fetch_addresses(2))
        self.print_step(
            f"a caller asked which addresses to use: {', '.join(addresses)}"
        )
        answer = await _request(addresses[0], "GET", "/rota")
        _expect_status(answer, 200)
        self.print_step(f"it got the whole answer, run by {answer.body['server_id']}")

    async def _confirm_once(self) -> None:
        key = {"Idempotency-Key": "demo-slot-1"}
        first = await _wait_for(lambda: _try_confirmation(key))
        again = await _request(FRONT_OF_ENTRY_2, "POST", "/confirmations", key)
        _expect_status(again, 409)
        self.print_step(
            f"a confirmation ran once on {first.body['server_id']}; its resend "
            "through the other entry instance was answered without running it again"
        )

    async def _lose_backend_server(self) -> None:
        os.kill(self._pids["backend-1"], signal.SIGKILL)
        killed_s = time.monotonic()
        for _ in range(20):
            answer = await _request(FRONT_OF_ENTRY_2, "GET", "/rota")
            _expect_status(answer, 200)
        self.print_step(
            "backend-1 was killed; 20 requests in a row were still answered"
        )
        await _wait_for(lambda: _has_healthy_servers(1))
        elapsed_s = time.monotonic() - killed_s
        self.print_step(
            f"{elapsed_s:.1f} s after the kill no instance lists it any more"
        )

    async def _stop_gracefully(self) -> None:
        os.kill(self._pids["entry-1"], signal.SIGTERM)
        await _wait_for(lambda: _fetch_addresses(1))
        self.print_step(
            "entry-1 got SIGTERM and first left the list of addresses for callers"
        )
        for name in ("entry-2", "control-1", "backend-2"):
            os.kill(self._pids[name], signal.SIGTERM)
        self.print_step("the other processes got SIGTERM")

    async def _run_operator_command(self, *arguments: str) -> None:
        settings = str(self._folder / "cardamomrun.jsonc")
        sys.argv = ["cardamomrun", f"--settings={settings}", *arguments]
        print(f"    $ cardamomrun {' '.join(arguments)}", flush=True)
        await asyncio.to_thread(run_command)


async def _wait_for(probe: Any) -> Any:
    """Return the first true result of `probe`; exit after `STEP_TIMEOUT_S`."""
    deadline_s = time.monotonic() + STEP_TIMEOUT_S
    while time.monotonic() < deadline_s:
        try:
            result = await probe()
        except CardamomrunError:
            result = None
        if result:
            return result
        await asyncio.sleep(0.1)
    raise SystemExit(f"no success within {STEP_TIMEOUT_S} s")


async def _is_up(url: str) -> bool:
    return (await call("GET", url)).status == 200


async def _has_healthy_servers(count: int) -> bool:
    for address in ENTRY_ADMIN.values():
        answer = await call(
            "GET",
            f"http://{address}{SERVERS_PATH}",
            token=ANNOUNCEMENT_TOKEN,
        )
        if len(answer.body["healthy"]) != count:
            return False
    return True


async def _fetch_addresses(count: int) -> list[str] | None:
    url = f"http://{FRONT_OF_ENTRY_2}/.cardamomrun/addresses"
    addresses = (await call("GET", url)).body["addresses"]
    return addresses if len(addresses) == count else None


async def _knows_host(address: str) -> bool:
    return (await _request(address, "GET", "/rota")).status != 404


async def _try_confirmation(headers: dict[str, str]) -> CallResponse | None:
    answer = await _request(FRONT_OF_ENTRY_1, "POST", "/confirmations", headers)
    return answer if answer.status == 200 else None


async def _request(
    address: str, method: str, path: str, headers: dict[str, str] | None = None
) -> CallResponse:
    body = {"slot": 1} if method == "POST" else None
    all_headers = {"Host": HOST, **(headers or {})}
    return await call(method, f"http://{address}{path}", body=body, headers=all_headers)


def _expect_status(answer: CallResponse, status: int) -> None:
    if answer.status != status:
        raise SystemExit(f"expected status {status}, got {answer}")


def _parse_pids(arguments: list[str]) -> dict[str, int]:
    pairs = (word.split("=") for word in arguments)
    return {name: int(pid) for name, pid in pairs}


if __name__ == "__main__":
    asyncio.run(Demonstration(Path(sys.argv[1]), _parse_pids(sys.argv[2:])).run())
