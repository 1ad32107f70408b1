"""Starts nodes and stand-in backend servers as processes for tests."""

import asyncio
import itertools
import json
import math
import os
import signal
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, TypeVar

from cardamomrun_base.errors import CardamomrunError, UnavailableError
from cardamomrun_base.http_client import CallResponse, call
from cardamomrun_base.settings import NodeSettings, load_settings
from cardamomrun_bench.caller import ClientError
from cardamomrun_control.audit import AuditEntry

from .relay_between_nodes import Relays

__all__ = [
    "OPERATOR_TOKEN",
    "Observer",
    "Operator",
    "Processes",
    "document",
    "wait_until",
]

FRONT_PORT, ADMIN_PORT, PEER_PORT, BACKEND_PORT = 18080, 18081, 18082, 18090
RELAY_PORT = 18083
OPERATOR_TOKEN = "operator-token-of-the-tests"
ANNOUNCEMENT_TOKEN = "announcement-token-of-the-tests"
FAILURE_DOMAINS = ("kelowna-a", "kelowna-b", "vernon-a", "penticton-a")
POLL_S = 0.05

Result = TypeVar("Result")
_network_numbers = itertools.count(1)


async def wait_until(
    probe: Callable[[], Awaitable[Result]], timeout_s: float = 20.0
) -> Result:
    """Call `probe` until its result is true, and return that result.

    Errors of the fleet and of callers count as false. Raises AssertionError after
    `timeout_s`.
    """
    deadline_s = time.monotonic() + timeout_s
    last: Any = None
    while time.monotonic() < deadline_s:
        try:
            last = await probe()
        except (CardamomrunError, ClientError) as error:
            last = error
        else:
            if last:
                return last
        await asyncio.sleep(POLL_S)
    raise AssertionError(f"not reached within {timeout_s} s; last: {last!r}")


def document(**changes: Any) -> dict[str, Any]:
    """Return an environment document of rota-desk with some keys replaced."""
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
    """A fleet of processes on its own loopback addresses, with its files in `folder`."""

    def __init__(
        self, folder: Path, control_count: int = 1, entry_count: int = 2
    ) -> None:
        self.folder = folder
        # The process id gives concurrent test runs different addresses.
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
        # Keys added to the settings of all control instances.
        self.control_settings: dict[str, Any] = {}
        # True if nodes reach each other through relays; see `start_relays`.
        self.is_relayed = False
        self._write_secrets()

    def instance_ids(self, role: str) -> list[str]:
        """Return the instance ids of a role."""
        return [name for name in self.hosts if name.startswith(role)]

    def front_address(self, name: str) -> str:
        """Return the front address of an instance."""
        return f"{self.hosts[name]}:{FRONT_PORT}"

    def admin_address(self, name: str) -> str:
        """Return the admin address of an instance."""
        return f"{self.hosts[name]}:{ADMIN_PORT}"

    def peer_address(self, name: str) -> str:
        """Return the peer address that other instances use, a relay's if there is one."""
        return f"{self.hosts[name]}:{RELAY_PORT if self.is_relayed else PEER_PORT}"

    async def start_relays(self, relays: Relays) -> None:
        """Start a relay in front of each peer listener; call before the nodes start."""
        self.is_relayed = True
        for name, host in self.hosts.items():
            await relays.listen(name, self.peer_address(name), f"{host}:{PEER_PORT}")

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
            "announce_to": [
                self.admin_address(entry) for entry in self.instance_ids("entry")
            ],
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
        """Send SIGKILL to a process and reap it."""
        process = self._running.pop(name)
        process.kill()
        process.wait()

    def wait(self, name: str, timeout_s: float = 20.0) -> int:
        """Wait for the end of a process and return its exit code."""
        return self._running.pop(name).wait(timeout_s)

    def is_running(self, name: str) -> bool:
        """Return False if a started process has exited by itself."""
        return self._running[name].poll() is None

    def stop(self) -> None:
        """Kill all processes."""
        for name in list(self._running):
            self.kill(name)

    def read_log(self, name: str) -> str:
        """Return what a process wrote to standard error."""
        return (self.folder / f"{name}.log").read_text()

    async def control(
        self, method: str, path: str, body: Any = None, name: str | None = None
    ) -> CallResponse:
        """Call the operators' interface of `name`, or of the leader.

        Returns the last answer if all instances answer 421 or 503. Raises
        UnavailableError if none answers.
        """
        names = [name] if name else self.instance_ids("control")
        answer = None
        for candidate in names:
            url = f"http://{self.admin_address(candidate)}{path}"
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

    async def leader(self, names: list[str] | None = None) -> str | None:
        """Return the control instance that holds the leader lease, or None."""
        names = [n for n in names or self.instance_ids("control") if n in self._running]
        statuses = await asyncio.gather(*(self.control_status(n) for n in names))
        for name, status in zip(names, statuses, strict=True):
            if status is not None and status["holds_lease"]:
                return name
        return None

    async def control_status(self, name: str) -> dict[str, Any] | None:
        """Return `/v1/control` of an instance, or None if it does not answer."""
        url = f"http://{self.admin_address(name)}/v1/control"
        try:
            answer = await call("GET", url, token=OPERATOR_TOKEN, timeout_ms=500)
        except CardamomrunError:
            return None
        return answer.body if answer.status == 200 else None

    def observer_settings(self, name: str) -> NodeSettings:
        """Return the settings of an entry instance that runs inside a test."""
        self.hosts[name] = f"{self._network}.90"
        path = self.folder / f"{name}.jsonc"
        path.write_text(json.dumps(self._settings(name)))
        del self.hosts[name]
        return load_settings(path)

    async def run_command(self, *arguments: str) -> Any:
        """Run a command of the command line and return its JSON output."""
        (self.folder / "token").write_text(OPERATOR_TOKEN)
        control = [self.admin_address(name) for name in self.instance_ids("control")]
        settings = {"control": control, "token_file": "token", "timeout_ms": 5_000}
        path = self.folder / "cardamomrun.jsonc"
        path.write_text(json.dumps(settings))
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *("-m", "cardamomrun_operators.main", f"--settings={path}"),
            *(*arguments, "--json"),
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
        )
        output, errors = await process.communicate()
        assert process.returncode == 0, errors.decode()
        return json.loads(output)

    async def servers(self, entry: str) -> dict[str, Any]:
        """Return the backend servers of rota-desk as an entry instance sees them."""
        path = "/v1/environments/rota-desk/production/servers"
        url = f"http://{self.admin_address(entry)}{path}"
        return (await call("GET", url, token=ANNOUNCEMENT_TOKEN)).body

    async def status(self, name: str) -> dict[str, Any]:
        """Return `/v1/status` of an instance."""
        return (await call("GET", f"http://{self.admin_address(name)}/v1/status")).body

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
        if self.is_relayed:
            settings["advertised_peer_address"] = self.peer_address(name)
        if name.startswith("control"):
            data_folder = self.folder / "data" / name
            data_folder.mkdir(parents=True, exist_ok=True)
            settings["control"] = {
                "data_folder": str(data_folder),
                "operator_tokens_file": "operators.jsonc",
                "voters": [
                    {"instance_id": voter, "peer_address": self.peer_address(voter)}
                    for voter in self.instance_ids("control")
                ],
                **self.control_settings,
            }
        return settings

    def _seeds(self, name: str) -> list[str]:
        seeds = [*self.instance_ids("control")[:3], *self.instance_ids("entry")[:2]]
        return [self.peer_address(seed) for seed in seeds if seed != name]


class Operator:
    """Sends changes of rota-desk and resends those whose outcome is unknown."""

    def __init__(self, group: Processes, token: str = OPERATOR_TOKEN) -> None:
        self.group = group
        self.token = token
        self.resend_count = 0

    async def send(
        self, path: str, body: Any, first: str | None = None, timeout_s: float = 10.0
    ) -> CallResponse:
        """Send a change to one instance after another until the outcome is definite.

        `first` is the instance asked first. Raises AssertionError after `timeout_s`.
        """
        names = self.group.instance_ids("control")
        names.sort(key=lambda name: name != first)
        deadline_s = time.monotonic() + timeout_s
        for name in itertools.cycle(names):
            assert time.monotonic() < deadline_s, f"no answer within {timeout_s} s"
            answer = await self.send_once(name, path, body)
            if answer is not None and answer.status not in (421, 503, 504):
                return answer
            self.resend_count += 1
            await asyncio.sleep(POLL_S / 5)
        raise AssertionError("there is no control instance")

    async def send_once(
        self, name: str, path: str, body: Any, timeout_ms: int = 1_500
    ) -> CallResponse | None:
        """Send a change to one instance; return its answer, or None if the call fails."""
        url = (
            f"http://{self.group.admin_address(name)}/v1/environments/rota-desk/{path}"
        )
        try:
            return await call(
                "POST", url, body=body, token=self.token, timeout_ms=timeout_ms
            )
        except CardamomrunError:
            return None

    async def audit(self) -> list[AuditEntry]:
        """Return the whole audit trail from the leader."""
        entries: list[AuditEntry] = []
        while True:
            answer = await self.group.control(
                "GET", f"/v1/audit?from={len(entries) + 1}"
            )
            assert answer.status == 200, answer
            assert answer.body["chain"] == "intact"
            entries += [AuditEntry(**entry) for entry in answer.body["entries"]]
            if len(entries) == answer.body["last_number"]:
                return entries


class Observer:
    """Polls which version of an environment each instance has in force."""

    def __init__(self, group: Processes, names: list[str], environment: str) -> None:
        self._group = group
        self._environment = environment
        self.digests: set[str] = set()
        # Changes of the version by instance, with the time of the sample in seconds.
        self.seen: dict[str, list[tuple[float, int]]] = {name: [] for name in names}
        self._tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> "Observer":
        self._tasks = [asyncio.create_task(self._sample(name)) for name in self.seen]
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def version(self, name: str) -> int:
        """Return the version last seen at an instance; 0 if there was none."""
        return self.seen[name][-1][1] if self.seen[name] else 0

    async def has_reached(self, name: str, version: int) -> bool:
        """Return True if the last version seen at an instance is at least this one."""
        return self.version(name) >= version

    def reached_s(self, name: str, version: int) -> float:
        """Return when an instance first had at least this version; infinity if never."""
        return next((at for at, seen in self.seen[name] if seen >= version), math.inf)

    def assert_never_older(self) -> None:
        """Fail if the version of an instance ever decreased."""
        for name, samples in self.seen.items():
            versions = [version for _, version in samples]
            assert versions == sorted(versions), f"{name} went back: {versions}"

    async def _sample(self, name: str) -> None:
        while True:
            try:
                status = await self._group.status(name)
            except CardamomrunError:
                status = {}
            held = status.get("environments", {}).get(self._environment)
            if held is not None:
                self.digests.add(held["digest"])
                if held["version"] != self.version(name):
                    self.seen[name].append((time.monotonic(), held["version"]))
            await asyncio.sleep(POLL_S)
