"""Runs a small deployment on loopback addresses, with stand-ins for its surroundings.

The programs are the project's own, started with the command of the deploy file. The
operator, the requesters and the targets are stand-ins that speak what PROTOCOL.md says.
Only the standard library is used.
"""

# ruff: noqa: D103

import asyncio
import contextlib
import itertools
import json
import os
import random
import signal
import subprocess
import tempfile
import time
from pathlib import Path

REPOSITORY = Path(__file__).resolve().parents[2]
COMMAND = ["python3", "-P", "-m", "cardamomrun_platform"]
# Names, bounds and machines are those of the site sfc-gateway-grown, with fewer machines.
ZONES = ("karachi-a", "hyderabad-b", "sukkur-c", "larkana-d")
REGION = "pk-south"
HOST = "ficu95.example"
SERVICE = "huvo11a"
OTHER_SERVICE = "wuno96b"
PEER_PORT, METRICS_PORT = 27660, 27661
CONTROL_PORT, DIRECTORY_PORT, FRONT_PORT, READY_PORT = 28146, 28143, 28144, 28140
HEARTBEAT_S = 1.5
RUN_LIMIT_S = 110
BOUNDS = [
    "seed_lag_s=3",
    "addr_reuse_s=2",
    "stability_window_ms=3000",
    "ack_ms=4000",
    "catch_up_s=6",
    "drain_ms=2000",
    "grace_s=6",
    "loss_slack_ms=200",
    "config_apply_ms=2000",
    "rollback_slack_ms=250",
    "max_stretch_ms=5000",
    "retry_budget_ratio=0.2",
    "budget_window_s=10",
    "budget_slack=180",
    "recover_s=15",
    "ttl_max_s=5",
    "probes_per_s=3",
    "floor_share=0.7",
]


class CaseError(Exception):
    """The case could not run; it shows nothing."""


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self._file = path.open("w")
        self._started_s = time.monotonic()

    def write(self, text):
        age_s = time.monotonic() - self._started_s
        self._file.write(f"{age_s:8.3f} {text}\n")
        self._file.flush()


class Node:
    """One process of the system, with its settings, data folder and log."""

    def __init__(self, folder, ip, zone, seeds, is_control):
        self.ip = ip
        self.zone = zone
        self.is_control = is_control
        self.seeds = seeds
        self.bootstrap = True
        self.process = None
        self._folder = folder

    def start(self):
        path = self._folder / f"{self.ip}.json"
        path.write_text(self._settings_text())
        self.bootstrap = False
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(REPOSITORY / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["CARDAMOMRUN_CONFIG"] = str(path)
        with (self._folder / f"{self.ip}.log").open("ab") as log:
            self.process = subprocess.Popen(
                COMMAND, env=environment, cwd=REPOSITORY, stdout=log, stderr=log
            )

    @property
    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.is_running:
            self.process.send_signal(number)

    def kill(self):
        if self.process is not None:
            self.signal(signal.SIGKILL)
            self.process.wait()

    @property
    def log_text(self):
        path = self._folder / f"{self.ip}.log"
        return path.read_text(errors="replace") if path.exists() else ""

    def _settings_text(self):
        # What `deploy/settings.json.template` gives for the settings of DEPLOY.md.
        ip = self.ip
        listen = {"directory": f"{ip}:{DIRECTORY_PORT}"}
        if self.is_control:
            listen["control"] = f"{ip}:{CONTROL_PORT}"
        else:
            listen["front"] = f"{ip}:{FRONT_PORT}"
            listen["ready"] = f"{ip}:{READY_PORT}"
        fields = {
            "node_name": f"{'core' if self.is_control else 'edge'}-{ip}",
            "role": "control" if self.is_control else "entry",
            "machine_class": "core" if self.is_control else "edge",
            "serves": ["control" if self.is_control else "edge", "directory"],
            "ip": ip,
            "zone": self.zone,
            "region": REGION,
            "zones": dict.fromkeys(ZONES, REGION),
            "listen": listen,
            "internal_ports": [PEER_PORT, PEER_PORT + 15],
            "seeds": self.seeds,
            "bootstrap": self.bootstrap,
            "counts_as_fault": self.is_control,
            "limits": {
                "cpu_share": 0.645 if self.is_control else 0.43,
                "cores": 1,
                "memory_mb": 296 if self.is_control else 200,
                "max_fds": 4096 if self.is_control else 4100,
                "link_mbps": 1000.0 if self.is_control else 2.0,
                "disk_mb": 256 if self.is_control else 0,
            },
            "data_dir": str(self._folder / ip) if self.is_control else None,
            "discovery": "registration",
            "entry": "directory",
            "heartbeat_ms": int(HEARTBEAT_S * 1_000),
            "contracts": [
                "base",
                "drain",
                "config",
                "cost",
                "retry",
                "recover",
                "health",
                "pool",
            ],
            "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "config_mode": "highest",
        }
        return json.dumps({"metrics_port": METRICS_PORT, "machine": fields})


class Fleet:
    """Control and entry processes; use it as an asynchronous context manager."""

    def __init__(self, record, entry_count=2, control_count=3):
        self.record = record
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        folder = Path(self._temporary.name)
        pid = os.getpid()
        self.network = f"127.{30 + pid % 200}.{1 + pid // 200 % 250}"
        control = [f"{self.network}.{n}" for n in range(1, 1 + control_count)]
        entry = [f"{self.network}.{n}" for n in range(11, 11 + entry_count)]
        seeds = [f"{ip}:{CONTROL_PORT}" for ip in control[:3]]
        self.folder = folder
        self.control = [
            Node(folder, ip, ZONES[n % 4], seeds, True) for n, ip in enumerate(control)
        ]
        self.entry = [
            Node(folder, ip, ZONES[n % 4], seeds, False) for n, ip in enumerate(entry)
        ]
        self._next_host = itertools.count(101)
        self.targets = []

    @property
    def nodes(self):
        return [*self.control, *self.entry]

    def replace_control(self, lost):
        """Kill a control machine for good; return its successor, not started yet.

        The successor has another address, an empty disk and no `bootstrap`.
        """
        lost.kill()
        self.control.remove(lost)
        seeds = [f"{node.ip}:{CONTROL_PORT}" for node in self.control[:3]]
        node = Node(self.folder, f"{self.network}.9", lost.zone, seeds, True)
        node.bootstrap = False
        self.control.append(node)
        return node

    def new_address(self):
        """Return a loopback address that nothing uses, for a stand-in."""
        return f"{self.network}.{next(self._next_host)}"

    def control_addresses(self):
        return [f"{node.ip}:{CONTROL_PORT}" for node in self.control]

    async def __aenter__(self):
        if not (REPOSITORY / "target" / "deps").is_dir():
            raise CaseError("target/deps is missing: run the build of the deploy file")
        try:
            for node in self.nodes:
                node.start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_):
        for node in self.nodes:
            node.kill()
        for target in self.targets:
            await target.stop()
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            for node in self.nodes:
                (Path(kept) / f"{node.ip}.log").write_text(node.log_text)
        self._temporary.cleanup()

    async def wait_ready(self, limit_s=40.0):
        """Wait until each entry node says that it is ready."""
        end_s = time.monotonic() + limit_s
        for node in self.entry:
            while True:
                answer = await call(f"{node.ip}:{READY_PORT}", "GET", "/v1/ready")
                if answer is not None and answer.status == 200:
                    break
                if time.monotonic() > end_s:
                    raise CaseError(f"{node.ip} is not ready after {limit_s} s")
                await asyncio.sleep(0.1)


class Answer:
    """A response as its bytes came; `is_complete` is False if it broke off."""

    def __init__(self, status, headers, body, is_complete=True):
        self.status = status
        self.headers = headers
        self.body = body
        self.is_complete = is_complete

    def __repr__(self):
        return f"{self.status} {len(self.body)} bytes, complete: {self.is_complete}"


async def read_head(reader):
    """Return the first line and the headers, in lower case; None at the end."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        field = await reader.readline()
        if not field.strip():
            return line.decode("latin1").strip(), headers
        name, _, value = field.decode("latin1").partition(":")
        headers[name.strip().lower()] = value.strip()


async def read_body(reader, headers, *, to_end=False):
    """Return the body that the headers declare (RFC 9112, section 6)."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = bytearray()
        while True:
            line = await reader.readline()
            size = int(line.partition(b";")[0], 16)
            if size == 0:
                while (await reader.readline()).strip():
                    pass
                return bytes(body)
            body += await reader.readexactly(size)
            await reader.readline()
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    # Without a declared length a request has no body, and a response ends with its
    # connection.
    return await reader.read() if to_end else b""


def head_bytes(first_line, headers):
    lines = [first_line, *(f"{name}: {value}" for name, value in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin1")


async def open_connection(address, timeout_s=1.0):
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout_s):
        return await asyncio.open_connection(host, int(port), limit=1 << 20)


async def call(address, method, path, body=None, headers=None, timeout_s=1.0):
    """Make one call on a new connection; None if there was no complete answer."""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await open_connection(address)
            try:
                fields = {"Host": address, "Connection": "close"} | (headers or {})
                if body is not None:
                    fields["Content-Length"] = str(len(body))
                    fields.setdefault("Content-Type", "application/json")
                writer.write(head_bytes(f"{method} {path} HTTP/1.1", fields))
                writer.write(body or b"")
                head = await read_head(reader)
                if head is None:
                    return None
                content = await read_body(reader, head[1], to_end=True)
                return Answer(int(head[0].split()[1]), head[1], content)
            finally:
                writer.close()
    except (OSError, TimeoutError, ValueError, EOFError):
        return None


# The operator


def route(name, prefix, kind, **changes):
    fields = {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "route_type": kind,
        "timeout_ms": 2_500,
        "slo_latency_ms": 1_000,
        "priority": 1,
        "service": SERVICE,
        "max_attempts": 2,
    }
    return {k: v for k, v in (fields | changes).items() if v is not None}


def manifest(number, routes, services=(SERVICE, OTHER_SERVICE)):
    return {
        "version": f"{number:08x}",
        "routes": routes,
        "services": [
            {
                "name": name,
                "health_path": "/health",
                "max_conns": 390,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 67_108_864,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
    }


class Operator:
    """Sends manifests and reads them, at any node that serves `control`."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._random = random.Random(1)

    async def put_bytes(self, body, limit_s=30.0):
        """Send until there is a clear response; return its status.

        A 5xx, a 408, a 429 or no response within a second is no clear response.
        """
        end_s = time.monotonic() + limit_s
        while time.monotonic() < end_s:
            address = self._random.choice(self._fleet.control_addresses())
            answer = await call(address, "POST", "/v1/rpc?call=config.put", body)
            status = None if answer is None else answer.status
            self._fleet.record.write(f"operator: config.put to {address}: {status}")
            if status is not None and status < 500 and status not in (408, 429):
                return status
            await asyncio.sleep(0.2)
        return None

    async def put(self, content, limit_s=30.0):
        return await self.put_bytes(json.dumps(content).encode(), limit_s)

    async def put_first(self, content):
        """Send the first manifest, without which a case can't run."""
        status = await self.put(content)
        if status != 200:
            raise CaseError(f"the first manifest is answered with {status}")

    async def get(self, limit_s=10.0):
        """Return the body of the newest manifest, or None."""
        end_s = time.monotonic() + limit_s
        while time.monotonic() < end_s:
            address = self._random.choice(self._fleet.control_addresses())
            answer = await call(address, "POST", "/v1/rpc?call=config.get", b"")
            if answer is not None and answer.status == 200:
                return answer.body
            await asyncio.sleep(0.2)
        return None


# The targets


class Run:
    """One request that a target began to work on."""

    def __init__(self, target_id, attempt_id, method, path, body, at_s):
        self.target_id = target_id
        self.attempt_id = attempt_id
        self.method = method
        self.path = path
        self.body = body
        self.at_s = at_s


class Target:
    """A sound target: checks in, and runs the requests that name it."""

    def __init__(self, fleet, service=SERVICE, zone=ZONES[0], slots=4, work_s=0.05):
        self.id = f"i-{random.randrange(1 << 32):08x}"
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.runs = []
        self.state = "ready"
        self.born_ms = int(time.time() * 1_000)
        self.departed_s = None
        self.acknowledged_s = None
        self._fleet = fleet
        self._host = fleet.new_address()
        self._sequence = itertools.count(1)
        self._server = None
        self._task = None
        self._free = asyncio.Semaphore(slots)
        self._control = random.choice(fleet.control_addresses())
        self._connections = set()
        fleet.targets.append(self)

    async def start(self, announces=True):
        self._server = await asyncio.start_server(
            self._serve, self._host, 0, limit=1 << 20, backlog=512
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{self._host}:{port}"
        self._fleet.record.write(f"target {self.id}: {self.address}, {self.service}")
        if announces:
            self._task = asyncio.create_task(self._check_in_regularly())

    async def stop(self):
        """End at once, as in a crash."""
        if self._server is not None:
            self._server.close()
        tasks = [*self._connections]
        if self._task is not None:
            tasks.append(self._task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def check_in_body(self):
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "warmup_left_ms": 0,
            "seq": next(self._sequence),
            "born": self.born_ms,
        }

    async def check_in(self):
        """Check in once; the next node is called if this one does not answer."""
        body = json.dumps(self.check_in_body()).encode()
        path = f"/v1/rpc?call=instances.heartbeat&of={self.id}"
        answer = await call(self._control, "POST", path, body)
        is_done = answer is not None and 200 <= answer.status < 300
        if not is_done:
            status = None if answer is None else answer.status
            self._fleet.record.write(
                f"target {self.id}: check-in at {self._control}: {status}"
            )
            self._control = random.choice(self._fleet.control_addresses())
        else:
            self.acknowledged_s = time.monotonic()
        return is_done

    async def wait_acknowledged(self, limit_s=30.0):
        end_s = time.monotonic() + limit_s
        while self.acknowledged_s is None:
            if time.monotonic() > end_s:
                raise CaseError(f"target {self.id} is not acknowledged")
            await asyncio.sleep(0.05)

    async def _check_in_regularly(self):
        while True:
            is_done = await self.check_in()
            await asyncio.sleep(HEARTBEAT_S if is_done else 0.1)

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._connections.add(task)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                line, headers = head
                method, path, _ = line.split(" ")
                if not await self.answer(reader, writer, method, path, headers):
                    break
        except (OSError, EOFError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self._connections.discard(task)
            writer.close()

    async def answer(self, reader, writer, method, path, headers):
        """Answer one request; return False to close the connection."""
        body = await read_body(reader, headers)
        attempt_id = headers.get("cardamomrun-attempt-id")
        if method == "GET" and path == "/health":
            await self.respond(
                writer, 200, b"", None, {"Cardamomrun-Instance-Id": self.id}
            )
            return True
        if attempt_id is None:
            await self.refuse(writer, 400, None)
            return True
        if headers.get("cardamomrun-expect-instance", self.id) != self.id:
            await self.refuse(writer, 421, attempt_id)
            return True
        self.begin(attempt_id, method, path, body)
        async with self._free:
            await asyncio.sleep(self.work_s)
        await self.respond(writer, 200, self.body_for(attempt_id), attempt_id)
        return True

    def begin(self, attempt_id, method, path, body):
        self.runs.append(Run(self.id, attempt_id, method, path, body, time.monotonic()))
        self._fleet.record.write(
            f"target {self.id}: runs {attempt_id} {method} {path[:60]}, "
            f"{len(body)} bytes"
        )

    def body_for(self, attempt_id):
        return f"{self.service} {attempt_id} ".encode() + b"x" * 500

    async def respond(self, writer, status, body, attempt_id, more=None):
        headers = {"Content-Length": str(len(body))} | (more or {})
        if attempt_id is not None:
            headers["Cardamomrun-Attempt-Id"] = attempt_id
            headers["Cardamomrun-Response-Seal"] = f"seal.{attempt_id}"
        writer.write(head_bytes(f"HTTP/1.1 {status} Status", headers) + body)
        await writer.drain()

    async def refuse(self, writer, status, attempt_id):
        headers = {"Content-Length": "0", "Cardamomrun-Not-Executed": "1"}
        if attempt_id is not None:
            headers["Cardamomrun-Attempt-Id"] = attempt_id
        writer.write(head_bytes(f"HTTP/1.1 {status} Refused", headers))
        await writer.drain()


# The requesters


class Requester:
    """Sends requests, each on a connection of its own."""

    _numbers = itertools.count(1)

    def __init__(self, record, name="q"):
        self._record = record
        self._name = name

    async def send(
        self, front, method, path, body=b"", *, is_chunked=False, deadline_ms=2_500
    ):
        """Send one request attempt; return its id and the answer, or None."""
        attempt_id = f"{self._name}{next(self._numbers):06x}"
        headers = {
            "Host": HOST,
            "Cardamomrun-Attempt-Id": attempt_id,
            "Cardamomrun-Deadline-Ms": str(deadline_ms),
        }
        if is_chunked:
            headers["Transfer-Encoding"] = "chunked"
        elif body:
            headers["Content-Length"] = str(len(body))
        answer = None
        with contextlib.suppress(OSError, TimeoutError, EOFError, ValueError):
            async with asyncio.timeout(deadline_ms / 1_000 + 0.5):
                answer = await self._exchange(
                    front, method, path, headers, body, is_chunked
                )
        self._record.write(
            f"requester: {attempt_id} {method} {path[:60]} to {front}, "
            f"{len(body)} bytes: {answer}"
        )
        return attempt_id, answer

    async def _exchange(self, front, method, path, headers, body, is_chunked):
        reader, writer = await open_connection(front)
        sending = None
        try:
            writer.write(head_bytes(f"{method} {path} HTTP/1.1", headers))
            sending = asyncio.create_task(_send_body(writer, body, is_chunked))
            head = await read_head(reader)
            if head is None:
                return None
            status = int(head[0].split()[1])
            try:
                content = await read_body(reader, head[1], to_end=True)
            except EOFError:
                return Answer(status, head[1], b"", is_complete=False)
            return Answer(status, head[1], content)
        finally:
            if sending is not None:
                sending.cancel()
                await asyncio.wait({sending})
                if not sending.cancelled():
                    sending.exception()
            writer.close()


async def _send_body(writer, body, is_chunked, part_bytes=65_536):
    for start in range(0, len(body), part_bytes):
        part = body[start : start + part_bytes]
        if is_chunked:
            writer.write(f"{len(part):x}\r\n".encode() + part + b"\r\n")
        else:
            writer.write(part)
        await writer.drain()
    if is_chunked:
        writer.write(b"0\r\n\r\n")
    await writer.drain()


def has_trouble():
    """Return False if the case runs without its disruption (`TROUBLE=0`)."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(folder, play):
    """Run `play(record)`; exit with 1 if it returns broken rules and 0 if it does not.

    Exits with 2 if the case could not run.
    """
    record = Record(folder / "record.txt")
    try:
        broken = asyncio.run(_run_limited(play, record))
    except (Exception, asyncio.CancelledError) as error:
        record.write(f"the case could not run: {error!r}")
        raise SystemExit(2) from error
    for text in broken:
        record.write(f"BROKEN {text}")
        print(text)
    record.write("the rule was broken" if broken else "the rule held")
    raise SystemExit(1 if broken else 0)


async def _run_limited(play, record):
    # A termination ends the processes too.
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    async with asyncio.timeout(RUN_LIMIT_S):
        return await play(record)
