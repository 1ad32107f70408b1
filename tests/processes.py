"""Starts nodes and stand-in backend servers as processes for tests and experiments."""

import asyncio
import itertools
import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, TypeVar

from cardamomrun_base.errors import CardamomrunError, UnavailableError
from cardamomrun_base.http_client import CallAnswer, call
from cardamomrun_bench.caller import CallerError

__all__ = ["OPERATOR_TOKEN", "Processes", "document", "until"]

FRONT_PORT, ADMIN_PORT, PEER_PORT, BACKEND_PORT = 18080, 18081, 18082, 18090
OPERATOR_TOKEN = "operator-token-of-the-tests"
ANNOUNCEMENT_TOKEN = "announcement-token-of-the-tests"
FAILURE_DOMAINS = ("kelowna-a", "kelowna-b", "vernon-a", "penticton-a")
POLL_S = 0.05

Result = TypeVar("Result")
_network_numbers = itertools.count(1)


async def until(
    probe: Callable[[], Awaitable[Result]], timeout_s: float = 20.0
) -> Result:
    """Return the first true result of `probe`, or fail after `timeout_s`."""
    deadline_s = time.monotonic() + timeout_s
    last: Any = None
    while time.monotonic() < deadline_s:
        try:
            last = await probe()
        except (CardamomrunError, CallerError) as error:
            last = error
        else:
            if last:
                return last
        await asyncio.sleep(POLL_S)
    raise AssertionError(f"not reached within {timeout_s} s; last: {last!r}")


def document(**changes: Any) -> dict[str, Any]:
    """Return a document of rota-desk with some keys replaced."""
    value = {
        "service": "rota-desk",
        "hosts": ["rota-desk.example"],
        "floor": {"healthy_ratio": 0.5},
        "routes": [
            {"prefix": "/"},
            {
                "prefix": "/confirmations",
                "idempotency": "non-idempotent",
                "idempotency_key": "required",
            },
        ],
    }
    return {**value, **changes}


class Processes:
    """Processes on loopback addresses of their own, with their files in `folder`."""

    def __init__(
        self, folder: Path, control_count: int = 1, entry_count: int = 2
    ) -> None:
        self.folder = folder
        # The process id keeps runs at the same time on different addresses.
        network = f"127.{20 + os.getpid() % 200}.{next(_network_numbers)}"
        self.hosts = {
            f"control-{n}": f"{network}.{n}" for n in range(1, control_count + 1)
        }
        self.hosts |= {
            f"entry-{n}": f"{network}.{20 + n}" for n in range(1, entry_count + 1)
        }
        self._network = network
        self._backend_count = 0
        self._running: dict[str, subprocess.Popen[bytes]] = {}
        self._write_secrets()

    def names(self, role: str) -> list[str]:
        """Return the instance ids of a role."""
        return [name for name in self.hosts if name.startswith(role)]

    def front(self, name: str) -> str:
        """Return the front address of an instance."""
        return f"{self.hosts[name]}:{FRONT_PORT}"

    def admin(self, name: str) -> str:
        """Return the admin address of an instance."""
        return f"{self.hosts[name]}:{ADMIN_PORT}"

    def peer(self, name: str) -> str:
        """Return the peer address of an instance."""
        return f"{self.hosts[name]}:{PEER_PORT}"

    def start(self, name: str, **changes: Any) -> None:
        """Start a node; `changes` replace keys of its settings."""
        path = self.folder / f"{name}.jsonc"
        path.write_text(json.dumps({**self._settings(name), **changes}))
        command = ["-m", "cardamomrun_node.main", "run", "--settings", str(path)]
        self._spawn(name, command)

    def start_all(self, **changes: Any) -> None:
        """Start all nodes."""
        for name in self.hosts:
            self.start(name, **changes)

    def start_backend(self, name: str, **changes: Any) -> str:
        """Start a stand-in backend server of rota-desk and return its address."""
        self._backend_count += 1
        number = self._backend_count
        settings = {
            "service": "rota-desk",
            "stage": "production",
            "server_id": name,
            "failure_domain": FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)],
            "host": f"{self._network}.{100 + number}",
            "port": BACKEND_PORT,
            "announce_to": [self.admin(entry) for entry in self.names("entry")],
            "token": ANNOUNCEMENT_TOKEN,
            "service_time_ms": 5,
            **changes,
        }
        path = self.folder / f"{name}.jsonc"
        path.write_text(json.dumps(settings))
        command = ["-m", "cardamomrun_bench.backend_server", "--settings", str(path)]
        self._spawn(name, command)
        return f"{settings['host']}:{settings['port']}"

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self._running[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process at once and reap it."""
        process = self._running.pop(name)
        process.kill()
        process.wait()

    def wait(self, name: str, timeout_s: float = 20.0) -> int:
        """Wait for the end of a process and return its exit code."""
        return self._running.pop(name).wait(timeout_s)

    def is_running(self, name: str) -> bool:
        """Return False if a process has ended by itself."""
        return self._running[name].poll() is None

    def stop(self) -> None:
        """Kill all processes."""
        for name in list(self._running):
            self.kill(name)

    def log(self, name: str) -> str:
        """Return what a process wrote to standard error."""
        return (self.folder / f"{name}.log").read_text()

    async def control(
        self, method: str, path: str, body: Any = None, name: str | None = None
    ) -> CallAnswer:
        """Call the operators' interface, on `name` or on the leader."""
        names = [name] if name else self.names("control")
        answer = None
        for candidate in names:
            url = f"http://{self.admin(candidate)}{path}"
            try:
                answer = await call(method, url, body=body, token=OPERATOR_TOKEN)
            except CardamomrunError:
                continue
            if answer.status not in (421, 503):
                return answer
        if answer is None:
            raise UnavailableError(
                "no control instance answered.", remedy="wait for their start"
            )
        return answer

    async def servers(self, entry: str) -> dict[str, Any]:
        """Return the backend servers of rota-desk as an entry instance sees them."""
        path = "/v1/environments/rota-desk/production/servers"
        url = f"http://{self.admin(entry)}{path}"
        return (await call("GET", url, token=ANNOUNCEMENT_TOKEN)).body

    async def status(self, name: str) -> dict[str, Any]:
        """Return `/v1/status` of an instance."""
        return (await call("GET", f"http://{self.admin(name)}/v1/status")).body

    def _spawn(self, name: str, arguments: list[str]) -> None:
        with (self.folder / f"{name}.log").open("ab") as log:
            self._running[name] = subprocess.Popen(
                [sys.executable, *arguments], stdout=log, stderr=log
            )

    def _write_secrets(self) -> None:
        (self.folder / "fleet.key").write_text("fleet-key-of-the-tests-" + "0" * 32)
        operators = {"tester": OPERATOR_TOKEN, "second": f"second-{OPERATOR_TOKEN}"}
        (self.folder / "operators.jsonc").write_text(json.dumps(operators))
        tokens = {"rota-desk": [ANNOUNCEMENT_TOKEN]}
        (self.folder / "announcements.jsonc").write_text(json.dumps(tokens))

    def _settings(self, name: str) -> dict[str, Any]:
        number = int(name.rsplit("-", 1)[1])
        settings: dict[str, Any] = {
            "instance_id": name,
            "region": "bc-interior",
            "failure_domain": FAILURE_DOMAINS[(number - 1) % len(FAILURE_DOMAINS)],
            "roles": [name.split("-")[0]],
            "host": self.hosts[name],
            "front_port": FRONT_PORT,
            "admin_port": ADMIN_PORT,
            "peer_port": PEER_PORT,
            "fleet": {"key_file": "fleet.key", "seeds": self._seeds(name)},
            "announcement_tokens_file": "announcements.jsonc",
            "directory_ttl_ms": 1_000,
            "roster_settle_ms": 500,
        }
        if name.startswith("control"):
            data_folder = self.folder / "data" / name
            data_folder.mkdir(parents=True, exist_ok=True)
            settings["control"] = {
                "data_folder": str(data_folder),
                "operator_tokens_file": "operators.jsonc",
                "voters": [
                    {"instance_id": voter, "peer_address": self.peer(voter)}
                    for voter in self.names("control")
                ],
            }
        return settings

    def _seeds(self, name: str) -> list[str]:
        seeds = [*self.names("control")[:3], *self.names("entry")[:2]]
        return [self.peer(seed) for seed in seeds if seed != name]
