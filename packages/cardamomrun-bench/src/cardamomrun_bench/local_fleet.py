"""Runs nodes and stand-in backend servers as processes on loopback addresses."""

import asyncio
import base64
import json
import os
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from types import TracebackType
from typing import Any, TypeVar

from cardamomrun_base.errors import CardamomrunError
from cardamomrun_base.http_client import CallResponse, call
from cardamomrun_bench.caller import ClientError

__all__ = ["HOST", "SERVICE", "LocalFleet"]

SERVICE, HOST = "rota-desk", "rota-desk.example"
FAILURE_DOMAINS = ("kelowna-a", "kelowna-b", "vernon-a", "penticton-a")
FRONT_PORT, ADMIN_PORT, PEER_PORT, BACKEND_PORT = 18080, 18081, 18082, 18090
CONTROL = "control-1"
OPERATOR_TOKEN = "operator-token-of-the-experiments"
ANNOUNCEMENT_TOKEN = "announcement-token-of-the-experiments"
READY_TIMEOUT_S = 30.0
POLL_S = 0.1
STOP_TIMEOUT_S = 10.0

Result = TypeVar("Result")


class LocalFleet:
    """One control node, entry nodes and backend servers, killed on context exit."""

    def __init__(
        self, folder: Path, entry_count: int, backend_count: int, service_time_ms: float
    ) -> None:
        # Derived from the process id so that concurrent runs use different addresses.
        self._network = f"127.{220 + os.getpid() % 30}.{os.getpid() // 30 % 250}"
        self._folder = folder
        self._service_time_ms = service_time_ms
        self._backend_count = backend_count
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._hosts = {CONTROL: f"{self._network}.1"}
        self.entries = [f"entry-{number + 1}" for number in range(entry_count)]
        for number, name in enumerate(self.entries):
            self._hosts[name] = f"{self._network}.{20 + number}"

    def __enter__(self) -> "LocalFleet":
        self._write_secrets()
        for number, name in enumerate(self._hosts):
            self._start_node(name, number)
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for process in self._processes.values():
            process.kill()
        for process in self._processes.values():
            process.wait(STOP_TIMEOUT_S)

    def front(self, name: str) -> str:
        """Return the front address of an entry instance."""
        return f"{self._hosts[name]}:{FRONT_PORT}"

    def backends(self) -> tuple[str, ...]:
        """Return the addresses of the backend servers."""
        hosts = (f"{self._network}.{100 + n}" for n in range(self._backend_count))
        return tuple(f"{host}:{BACKEND_PORT}" for host in hosts)

    def pid(self, name: str) -> int:
        """Return the process id of a node."""
        return self._processes[name].pid

    async def make_ready(self) -> None:
        """Deploy the document, start the backend servers and wait for readiness.

        Returns when every entry instance sees all of them as healthy; raises
        `TimeoutError` after `READY_TIMEOUT_S` in each step.
        """
        data = json.dumps(_environment_document()).encode()
        path = f"/v1/environments/{SERVICE}"
        document = base64.b64encode(data).decode()
        response = await self._post_change(f"{path}/trial/apply", 1, document=document)
        digest = response.body["digest"]
        await self._post_change(f"{path}/production/promote", 2, digest=digest)
        for number in range(self._backend_count):
            self._start_backend(number)
        await _wait_for(self._all_healthy)

    async def _post_change(self, path: str, number: int, **values: str) -> CallResponse:
        body = {**values, "change_number": number, "expected_version": 0}
        url = f"http://{self._admin(CONTROL)}{path}"

        async def accepted() -> CallResponse | None:
            response = await call("POST", url, body=body, token=OPERATOR_TOKEN)
            return response if response.status == 200 else None

        return await _wait_for(accepted)

    async def _all_healthy(self) -> bool:
        path = f"/v1/environments/{SERVICE}/production/servers"
        for name in self.entries:
            url = f"http://{self._admin(name)}{path}"
            response = await call("GET", url, token=ANNOUNCEMENT_TOKEN)
            if len(response.body.get("healthy", ())) != self._backend_count:
                return False
        return True

    def _admin(self, name: str) -> str:
        return f"{self._hosts[name]}:{ADMIN_PORT}"

    def _peer(self, name: str) -> str:
        return f"{self._hosts[name]}:{PEER_PORT}"

    def _start_node(self, name: str, number: int) -> None:
        settings: dict[str, Any] = {
            "instance_id": name,
            "region": "bc-interior",
            "failure_domain": FAILURE_DOMAINS[(number - 1) % len(FAILURE_DOMAINS)],
            "roles": [name.split("-")[0]],
            "host": self._hosts[name],
            "front_port": FRONT_PORT,
            "admin_port": ADMIN_PORT,
            "peer_port": PEER_PORT,
            "fleet": {"key_file": "fleet.key", "seeds": self._seeds(name)},
            "announcement_tokens_file": "announcements.jsonc",
            "roster_settle_ms": 500,
        }
        if name == CONTROL:
            data_folder = self._folder / "data"
            data_folder.mkdir()
            voter = {"instance_id": name, "peer_address": self._peer(name)}
            settings["control"] = {
                "data_folder": str(data_folder),
                "operator_tokens_file": "operators.jsonc",
                "voters": [voter],
            }
        path = self._write(f"{name}.jsonc", settings)
        self._start_process(
            name, ["cardamomrun_node.main", "run", "--settings", str(path)]
        )

    def _seeds(self, name: str) -> list[str]:
        return [self._peer(seed) for seed in (CONTROL, self.entries[0]) if seed != name]

    def _start_backend(self, number: int) -> None:
        name = f"server-{number}"
        settings = {
            "service": SERVICE,
            "stage": "production",
            "server_id": name,
            "failure_domain": FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)],
            "host": f"{self._network}.{100 + number}",
            "port": BACKEND_PORT,
            "announce_to": [self._admin(entry) for entry in self.entries],
            "token": ANNOUNCEMENT_TOKEN,
            "service_time_ms": self._service_time_ms,
        }
        path = self._write(f"{name}.jsonc", settings)
        self._start_process(
            name, ["cardamomrun_bench.backend_server", "--settings", str(path)]
        )

    def _start_process(self, name: str, arguments: list[str]) -> None:
        with (self._folder / f"{name}.log").open("ab") as log:
            self._processes[name] = subprocess.Popen(
                [sys.executable, "-m", *arguments], stdout=log, stderr=log
            )

    def _write_secrets(self) -> None:
        (self._folder / "fleet.key").write_text(
            "fleet-key-of-the-experiments-" + "0" * 32
        )
        self._write("operators.jsonc", {"experiment": OPERATOR_TOKEN})
        self._write("announcements.jsonc", {SERVICE: [ANNOUNCEMENT_TOKEN]})

    def _write(self, name: str, value: Any) -> Path:
        path = self._folder / name
        path.write_text(json.dumps(value))
        return path


def _environment_document() -> dict[str, Any]:
    return {
        "service": SERVICE,
        "hosts": [HOST],
        "routes": [
            {"prefix": "/"},
            {
                "prefix": "/confirmations",
                "idempotency": "non-idempotent",
                "idempotency_key": "required",
            },
        ],
    }


async def _wait_for(probe: Callable[[], Awaitable[Result | None]]) -> Result:
    """Poll `probe` and return its first true result.

    Raises `TimeoutError` after `READY_TIMEOUT_S`.
    """
    deadline_s = time.monotonic() + READY_TIMEOUT_S
    last_error: object = None
    while time.monotonic() < deadline_s:
        try:
            result = await probe()
        except (CardamomrunError, ClientError) as error:
            last_error = error
        else:
            if result:
                return result
        await asyncio.sleep(POLL_S)
    raise TimeoutError(
        f"not ready within {READY_TIMEOUT_S} s; last error: {last_error!r}"
    )
