"""Runs instances as processes on loopback addresses and sends them signals."""

import os
import re
import shutil
import signal
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path

from ..adapter.builders import settings_fields, settings_text

__all__ = ["Instance", "Instances"]

PEER_PORT, CONTROL_PORT, DIRECTORY_PORT = 17660, 18146, 18143
FRONT_PORT, READY_PORT = 18144, 18140
CONTROL_COUNT = 3
# Control instances have the numbers up to this one, also those that replace others.
MAX_CONTROL_COUNT = 18
# The addresses from .200 on are those of backend servers.
MAX_ENTRY_COUNT = 180


class Instance:
    """The process of one instance, with its settings, data folder and log."""

    def __init__(
        self,
        folder: Path,
        ip: str,
        seeds: Callable[[], list[str]],
        *,
        bootstrap: bool = True,
    ) -> None:
        self.ip = ip
        self.is_control = int(ip.rpartition(".")[2]) <= MAX_CONTROL_COUNT
        self.is_paused = False
        self.is_removed = False
        self.is_stopping = False
        self._is_killed = False
        self._folder = folder
        self._seeds = seeds
        self._bootstrap = bootstrap
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def is_running(self) -> bool:
        """True while the process has not ended."""
        return self._process is not None and self._process.poll() is None

    def start(self) -> None:
        """Start the process; only the first start bootstraps the voters."""
        path = self._folder / f"{self.ip}.json"
        path.write_text(settings_text(self._settings_fields()))
        self._bootstrap = self.is_stopping = self._is_killed = False
        with (self._folder / f"{self.ip}.log").open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-P", "-m", "cardamomrun_platform"],
                env=os.environ | {"CARDAMOMRUN_CONFIG": str(path)},
                stdout=log,
                stderr=log,
            )

    @property
    def unexpected_exit_code(self) -> int | None:
        """The exit code of a process that nobody stopped or killed, or None."""
        if self._process is None or self.is_stopping or self._is_killed:
            return None
        return self._process.poll()

    @property
    def process_id(self) -> int | None:
        """The id of the last started process, or None before the first start."""
        return None if self._process is None else self._process.pid

    def remove(self, number: signal.Signals) -> None:
        """Take the machine away for good; SIGSTOP stands for a loss of power."""
        self.is_removed = True
        self.signal(number)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to this process, if it runs."""
        if self.is_running:
            assert self._process is not None
            self._process.send_signal(number)
            self.is_paused = number is signal.SIGSTOP
            self.is_stopping |= number is signal.SIGTERM
            self._is_killed |= number is signal.SIGKILL

    def leader_term(self) -> int:
        """Return the last term in which this instance led, by its log; 0 if it never did."""
        text = (self._folder / f"{self.ip}.log").read_text(encoding="utf-8")
        return max(
            map(int, re.findall(r"control: leads in term (\d+)", text)), default=0
        )

    def kill(self) -> int | None:
        """Kill the process if it runs; return its exit code."""
        if self._process is None:
            return None
        self.signal(signal.SIGKILL)
        return self._process.wait()

    def delete_data(self) -> None:
        """Delete the data folder; the process must have ended."""
        shutil.rmtree(self._folder / self.ip, ignore_errors=True)

    def _settings_fields(self) -> dict[str, object]:
        ip = self.ip
        listen = {"directory": f"{ip}:{DIRECTORY_PORT}"}
        if self.is_control:
            listen |= {"control": f"{ip}:{CONTROL_PORT}"}
        else:
            listen |= {"front": f"{ip}:{FRONT_PORT}", "ready": f"{ip}:{READY_PORT}"}
        return settings_fields(
            node_name=ip,
            ip=ip,
            serves=["control", "directory"]
            if self.is_control
            else ["edge", "directory"],
            listen=listen,
            data_dir=str(self._folder / ip) if self.is_control else None,
            internal_ports=[PEER_PORT, PEER_PORT + 9],
            seeds=self._seeds(),
            bootstrap=self._bootstrap,
        )


class Instances:
    """Control and entry instances of one run."""

    def __init__(
        self,
        folder: Path,
        network: str,
        entry_count: int,
        control_count: int = CONTROL_COUNT,
    ) -> None:
        self._folder = folder
        self._network = network
        self._next_control_number = control_count + 1
        control = [f"{network}.{n}" for n in range(1, control_count + 1)]
        first = MAX_CONTROL_COUNT + 1
        entry = [f"{network}.{n}" for n in range(first, first + entry_count)]
        assert entry_count <= MAX_ENTRY_COUNT
        self.all = [Instance(folder, ip, self._seeds) for ip in (*control, *entry)]

    @property
    def control(self) -> list[Instance]:
        """The control instances that were not removed."""
        return [i for i in self.all if i.is_control and not i.is_removed]

    @property
    def entry(self) -> list[Instance]:
        """The entry instances."""
        return [instance for instance in self.all if not instance.is_control]

    def _seeds(self) -> list[str]:
        """Return the seeds of a settings file that is written now, as at each start."""
        return self.control_addresses()[:CONTROL_COUNT]

    def add_control(self) -> Instance:
        """Start a control instance at a new address, with an empty disk."""
        ip = f"{self._network}.{self._next_control_number}"
        assert self._next_control_number <= MAX_CONTROL_COUNT
        self._next_control_number += 1
        added = Instance(self._folder, ip, self._seeds, bootstrap=False)
        self.all.append(added)
        added.start()
        return added

    def control_addresses(self) -> list[str]:
        """Return the addresses that backend servers and operators call."""
        return [f"{instance.ip}:{CONTROL_PORT}" for instance in self.control]

    def directory_addresses(self) -> list[str]:
        """Return the addresses at which callers look up the front."""
        return [
            f"{instance.ip}:{DIRECTORY_PORT}"
            for instance in self.all
            if not instance.is_removed
        ]

    def stop(self) -> None:
        """Kill all processes of this run."""
        for instance in self.all:
            instance.kill()
