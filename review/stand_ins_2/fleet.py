"""Starts a small deployment on loopback addresses, as the deploy file says.

The processes are those of `deploy/system.toml`, with settings rendered from its template.
The fields are those of the users' page DEPLOY.md for the site sfc-gateway.
"""

import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import tomllib
from pathlib import Path

__all__ = ["Machine", "Machines", "free_network"]

REPOSITORY = Path(__file__).resolve().parents[2]
PEER_PORT, CONTROL_PORT, DIRECTORY_PORT = 17660, 18146, 18143
FRONT_PORT, READY_PORT, METRICS_PORT = 18144, 18140, 7661
ZONES = ("karachi-a", "hyderabad-b", "sukkur-c")
BOUNDS = (
    "seed_lag_s=3", "addr_reuse_s=2", "stability_window_ms=3000", "ack_ms=4000",
    "catch_up_s=4", "drain_ms=2000", "grace_s=6", "loss_slack_ms=200",
    "config_apply_ms=2000", "rollback_slack_ms=250", "max_stretch_ms=5000",
    "retry_budget_ratio=0.2", "budget_window_s=10", "budget_slack=56", "recover_s=15",
    "ttl_max_s=5", "probes_per_s=3", "floor_share=0.7",
)  # fmt: skip


def free_network() -> str:
    """Return a network 127.x.y on which the ports of the machines are free."""
    rng = random.Random(os.getpid())
    while True:
        network = f"127.{rng.randint(30, 250)}.{rng.randint(1, 250)}"
        try:
            for port in (PEER_PORT, CONTROL_PORT, FRONT_PORT, DIRECTORY_PORT):
                with socket.socket() as probe:
                    probe.bind((f"{network}.1", port))
        except OSError:
            continue
        return network


class Machine:
    """One machine with one role; its process can be signalled and started again."""

    def __init__(
        self, folder: Path, role: str, ip: str, zone: str, seeds: list[str]
    ) -> None:
        deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())
        self._role = deploy["roles"][role]
        self._role_name = role
        self._folder = folder
        self.zone = zone
        self._seeds = seeds
        self.ip = ip
        self.is_gone = False
        self.log = folder / f"{ip}.log"
        self.process: subprocess.Popen[bytes] | None = None

    def start(self, *, bootstrap: bool) -> None:
        """Write the settings and start the process."""
        template = (REPOSITORY / self._role["template"]).read_text()
        fields = json.dumps(self._fields(bootstrap))
        path = self._folder / f"{self.ip}.json"
        path.write_text(template.replace("{{.|json}}", fields))
        (self._folder / self.ip).mkdir(exist_ok=True)
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                if name in os.environ}  # fmt: skip
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                self._role["run"].split(),
                cwd=REPOSITORY,
                env=kept
                | {
                    "PYTHONPATH": str(REPOSITORY / "target/deps"),
                    "CARDAMOMRUN_CONFIG": str(path),
                },
                stdout=log,
                stderr=log,
            )

    @property
    def is_running(self) -> bool:
        """True while the process has not ended and the machine has power."""
        is_alive = self.process is not None and self.process.poll() is None
        return is_alive and not self.is_gone

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def remove(self) -> None:
        """Take the machine away for good: it answers nothing, and resets nothing."""
        self.signal(signal.SIGSTOP)
        self.is_gone = True

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None:
            self.signal(signal.SIGKILL)
            self.process.wait()

    def _fields(self, bootstrap: bool) -> dict[str, object]:
        ip, serves = self.ip, self._role["serves"]
        listen = {"directory": f"{ip}:{DIRECTORY_PORT}"}
        if "control" in serves:
            listen["control"] = f"{ip}:{CONTROL_PORT}"
        else:
            listen |= {"front": f"{ip}:{FRONT_PORT}", "ready": f"{ip}:{READY_PORT}"}
        has_disk = self._role["on"] == "core"
        return {
            "node_name": f"{self._role['on']}-{ip}",
            "role": self._role_name,
            "machine_class": self._role["on"],
            "serves": serves,
            "ip": ip,
            "zone": self.zone,
            "region": "pk-south",
            "zones": dict.fromkeys(ZONES, "pk-south"),
            "listen": listen,
            "internal_ports": [PEER_PORT, PEER_PORT + 15],
            "seeds": self._seeds,
            "bootstrap": bootstrap,
            "counts_as_fault": has_disk,
            "limits": {
                "cpu_share": 0.645 if has_disk else 0.86,
                "cores": 1,
                "memory_mb": 296 if has_disk else 300,
                "max_fds": 4096 if has_disk else 4100,
                "link_mbps": 1000.0,
                "disk_mb": 256 if has_disk else 0,
            },
            "data_dir": str(self._folder / ip) if has_disk else None,
            "discovery": "registration",
            "entry": "directory",
            "heartbeat_ms": 1500,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover",
                          "health"],
            "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": list(BOUNDS),
            "config_mode": "highest",
        }  # fmt: skip


class Machines:
    """The machines of one run, in a temporary folder that is removed at the end."""

    def __init__(
        self, core_count: int, edge_count: int, first_core_number: int = 1
    ) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="cardamomrun-review-")
        self.folder = folder = Path(self._folder.name)
        self.network = network = free_network()
        self._next_core_number = first_core_number + core_count
        core_numbers = range(first_core_number, self._next_core_number)
        core_ips = [f"{network}.{n}" for n in core_numbers]
        edge_ips = [f"{network}.{n}" for n in range(181, 181 + edge_count)]
        self.seeds = [f"{ip}:{CONTROL_PORT}" for ip in core_ips[:3]]
        self.core = [
            Machine(folder, "control", ip, ZONES[n % 3], self.seeds)
            for n, ip in enumerate(core_ips)
        ]
        self.edge = [
            Machine(folder, "entry", ip, ZONES[n % 3], self.seeds)
            for n, ip in enumerate(edge_ips)
        ]

    @property
    def all(self) -> list[Machine]:
        """All machines."""
        return [*self.core, *self.edge]

    @property
    def control_addresses(self) -> list[str]:
        """The addresses that targets and the operator call: those that run."""
        running = [machine for machine in self.core if machine.is_running]
        return [f"{machine.ip}:{CONTROL_PORT}" for machine in running]

    def add_core(self, zone: str) -> Machine:
        """Add and start a core machine, with an empty disk and at a new address.

        Its seeds are three core machines that run now.
        """
        running = [machine for machine in self.core if machine.is_running]
        seeds = [f"{machine.ip}:{CONTROL_PORT}" for machine in running[:3]]
        ip = f"{self.network}.{self._next_core_number}"
        self._next_core_number += 1
        added = Machine(self.folder, "control", ip, zone, seeds)
        added.start(bootstrap=False)
        self.core.append(added)
        return added

    def start(self) -> None:
        """Start the whole system for the first time, with empty disks."""
        for machine in self.all:
            machine.start(bootstrap=True)

    def stop(self) -> None:
        """Kill all processes and remove the folder."""
        for machine in self.all:
            machine.signal(signal.SIGCONT)
            machine.kill()
        self._folder.cleanup()
