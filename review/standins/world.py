"""Stand-ins for the cases of the review: machines, servers, an operator and clients.

They use the standard library alone and speak what the users' pages say. The machines run the
project's own programs with the commands of the deploy file, on loopback addresses.
"""

import os
import signal
import subprocess
import sys
import tempfile
from asyncio import (
    StreamReader,
    StreamWriter,
    Task,
    create_task,
    open_connection,
    sleep,
    start_server,
    timeout,
)
from dataclasses import dataclass, field
from json import dumps
from pathlib import Path
from random import SystemRandom
from time import monotonic
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
FRONT_PORT, READY_PORT, CONTROL_PORT, INTERNAL_PORT, SERVER_PORT = 20301, 20302, 20303, 20310, 20330
SEED_COUNT = 3
HOST = "shop.example"
KEY = "key-one"
CALL_TIMEOUT = 1.0
"""Seconds without a response after which a caller of control moves on to another node."""
STOP_TIMEOUT = 12.0
"""Seconds."""
BOUNDS = {
    "seedLagS": "3",
    "reuseAfterS": "2",
    "contactMs": "4000",
    "ackMs": "5000",
    "catchUpS": "6",
    "drainMs": "2500",
    "graceS": "8",
    "lossSlackMs": "200",
    "configApplyMs": "2500",
    "downgradeMs": "250",
    "outerMs": "6000",
    "strictRevoke": "true",
    "revokeMs": "5000",
    "retryRatio": "0.2",
    "retryWindowS": "10",
    "budgetSlack": "375",
    "coldOverage": "1.5",
    "coldSlack": "5",
    "evacuateMs": "5000",
    "recoverS": "15",
    "passMs": "200",
    "retryAfterS": "0",
    "stallMs": "6000",
    "fencing": "true",
    "ceilingWindowS": "5",
    "burstFactor": "1.1",
}
"""The bounds of the site kiertokaari-jaylatch-grown, as its page states them."""
NAMMIBAR_GROWN = {
    **{name: value for name, value in BOUNDS.items() if name[:4] not in ("cold", "evac")},
    "budgetSlack": "374",
    "stallMs": "4000",
}
NAMMIBAR = {
    **NAMMIBAR_GROWN,
    "contactMs": "3000",
    "ackMs": "4000",
    "catchUpS": "4",
    "drainMs": "2000",
    "configApplyMs": "2000",
    "outerMs": "5000",
    "budgetSlack": "404",
    "recoverS": "12",
    "passMs": "120",
}
"""The bounds of the sites nammibar-grown and nammibar, as their pages state them."""


class CannotRunError(Exception):
    """The case could not be brought to the point at which the rule is checked."""


class Record:
    """Writes what was sent, answered and run, with the seconds since the start of the case."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started_at = monotonic()

    def write(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{monotonic() - self._started_at:8.3f} {text}\n")
        self._file.flush()


@dataclass
class Answer:
    """An HTTP answer; ``is_complete`` is whether the whole body came. Status 0: none."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False


class Machines:
    """Machines with a disk, each with a control process and a gateway.

    ``seeds`` are those of the settings files that are written from now on, at each start
    of a process.
    """

    def __init__(
        self,
        record: Record,
        zones: tuple[str, ...],
        tolerated_losses: int = 1,
        bounds: dict[str, str] = BOUNDS,
    ) -> None:
        random = SystemRandom()
        self._record = record
        self._tolerated_losses = tolerated_losses
        self._bounds = bounds
        self._folder = tempfile.TemporaryDirectory()
        self.network = f"127.{random.randint(1, 254)}.{random.randint(1, 254)}"
        self.zones = zones
        self.ips = [f"{self.network}.{number + 1}" for number in range(len(zones))]
        self.processes: dict[tuple[str, str], subprocess.Popen[bytes]] = {}
        self.seeds = self.controls[:SEED_COUNT]

    @property
    def controls(self) -> list[str]:
        """Return the addresses that servers and the operator call."""
        return [f"{ip}:{CONTROL_PORT}" for ip in self.ips]

    @property
    def fronts(self) -> list[str]:
        """Return the addresses that clients call."""
        return [f"{ip}:{FRONT_PORT}" for ip in self.ips]

    def start(self) -> None:
        """Start all processes."""
        for ip in self.ips:
            for role in ("control", "gateway"):
                self.start_process(ip, role, is_first=True)

    def add(self, zone: str) -> str:
        """Start another machine, with an empty disk, at an address of its own; return that."""
        ip = f"{self.network}.{len(self.ips) + 1}"
        self.ips.append(ip)
        self.zones = (*self.zones, zone)
        self._record.write(f"machine {ip} starts in {zone}")
        for role in ("control", "gateway"):
            self.start_process(ip, role)
        return ip

    def lose(self, ip: str) -> None:
        """Kill the processes of a machine, which is gone for good."""
        self.signal(ip, signal.SIGKILL)
        for role in ("control", "gateway"):
            self.processes.pop((ip, role)).wait(STOP_TIMEOUT)

    def start_process(self, ip: str, role: str, is_first: bool = False) -> None:
        """Start one process; ``is_first``: the whole system starts for the first time."""
        folder = Path(self._folder.name)
        data = folder / f"data-{ip}"
        data.mkdir(exist_ok=True)
        zone = self.zones[self.ips.index(ip)]
        fields = {
            "nodeName": f"edge-{ip}",
            "role": role,
            "machineClass": "edge",
            "ip": ip,
            "zone": zone,
            "region": "region-one",
            "listen.front": f"{ip}:{FRONT_PORT}",
            "listen.ready": f"{ip}:{READY_PORT}",
            "listen.control": f"{ip}:{CONTROL_PORT}",
            "internalPortRange": f"{INTERNAL_PORT},{INTERNAL_PORT + 15}",
            "seeds": ",".join(self.seeds),
            "bootstrap": "true" if is_first else "false",
            "inTolerance": "true",
            "limits.memoryMb": "200",
            "limits.maxFds": "4100",
            "limits.diskMb": "64",
            "dataDir": str(data) if role == "control" else "",
            "heartbeatMs": "1200",
            "faultTolerance.machines": str(self._tolerated_losses),
            **{f"zones.{name}": "region-one" for name in self.zones},
            **{f"bounds.{name}": value for name, value in self._bounds.items()},
        }
        settings = folder / f"{role}-{ip}.conf"
        settings.write_text("".join(f"{name}={value}\n" for name, value in fields.items()))
        names = [name for name in ("PATH", "HOME", "LANG") if name in os.environ]
        with (folder / f"{role}-{ip}.log").open("ab") as log:
            self.processes[ip, role] = subprocess.Popen(
                [sys.executable, "-m", "jaylatch_platform", role],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={
                    **{name: os.environ[name] for name in names},
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "JAYLATCH_BOOT": str(settings),
                },
            )

    def log_of(self, ip: str, role: str) -> str:
        """Return what a process has written."""
        return (Path(self._folder.name) / f"{role}-{ip}.log").read_text(errors="replace")

    def leader(self) -> str:
        """Return the machine whose control process published the last view."""
        views = {ip: self.log_of(ip, "control").count('"message": "view"') for ip in self.ips}
        return max(views, key=lambda ip: views[ip])

    def signal(
        self, ip: str, number: signal.Signals, roles: tuple[str, ...] = ("control", "gateway")
    ) -> None:
        """Send a signal to the processes of a machine."""
        self._record.write(f"{number.name} to {' and '.join(roles)} of {ip}")
        for role in roles:
            self.processes[ip, role].send_signal(number)

    def stop(self) -> None:
        """Kill all processes, and remove their files."""
        for process in self.processes.values():
            process.send_signal(signal.SIGKILL)
            process.wait(STOP_TIMEOUT)
        self._folder.cleanup()


@dataclass
class Server:
    """A server of a plain service. ``runs`` are the times and ids of the requests that it ran."""

    name: str
    service: str
    zone: str
    address: str
    controls: list[str]
    record: Record
    body: bytes = b"in stock"
    runs: list[tuple[float, str]] = field(default_factory=list)
    acknowledged: int = 0
    _sequence: int = 0
    _tasks: list[Task[None]] = field(default_factory=list)

    async def start(self) -> None:
        """Listen, and report every heartbeat interval."""
        host, _, port = self.address.rpartition(":")
        self._listener = await start_server(self._serve, host, int(port))
        self._tasks.append(create_task(self._report()))

    def stop(self) -> None:
        """End."""
        self._listener.close()
        for task in self._tasks:
            task.cancel()

    async def _report(self) -> None:
        node = 0
        while True:
            self._sequence += 1
            body = {
                "service": self.service,
                "addr": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": 6,
                "state": "ready",
                "coldLeftMs": 0,
                "seq": self._sequence,
                "born": 1_700_000_000_000,
            }
            for _ in self.controls:
                address = self.controls[node % len(self.controls)]
                answer = await call(
                    "PUT", address, f"/v1/instances/{self.name}", dumps(body).encode()
                )
                if answer.status == 200:
                    self.acknowledged += 1
                    break
                node += 1
            await sleep(1.2)

    async def _serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                headers = parse_headers(head[1:])
                await reader.readexactly(int(headers.get("content-length", "0")))
                path = head[0].split(" ")[1]
                attempt = headers.get("attempt-id", "")
                if headers.get("expect-instance", self.name) != self.name:
                    lines = ["HTTP/1.1 421 Misdirected Request", "Not-Executed: 1"]
                    body = b""
                elif path in ("/v1/report", "/healthz"):
                    lines, body = ["HTTP/1.1 200 OK", f"Instance-Id: {self.name}"], b"{}"
                else:
                    self.runs.append((monotonic(), attempt))
                    self.record.write(f"run      {attempt} at {self.name} in {self.zone}")
                    lines, body = ["HTTP/1.1 200 OK", f"Server-Stamp: stamp-{attempt}"], self.body
                if attempt:
                    lines.append(f"Attempt-Id: {attempt}")
                lines.append(f"Content-Length: {len(body)}")
                writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
                await writer.drain()
        except (EOFError, ConnectionError):
            pass
        finally:
            writer.close()


class Operator:
    """Gives an order to a control node, and to the next one after a second without a response."""

    def __init__(self, controls: list[str], record: Record) -> None:
        self._controls = controls
        self._record = record

    async def order(self, method: str, path: str, body: bytes = b"", first: int = 0) -> float:
        """Give one order until it is acknowledged; return the time of the acknowledgement."""
        for turn in range(20):
            address = self._controls[(first + turn) % len(self._controls)]
            self._record.write(f"order    {method} {path} to {address}")
            answer = await call(method, address, path, body)
            self._record.write(f"order    {method} {path} at {address} answered {answer.status}")
            if answer.status == 200:
                return monotonic()
            await sleep(0.1)
        raise CannotRunError(f"{method} {path} was not acknowledged")


def parse_headers(lines: list[str]) -> dict[str, str]:
    """Return the headers of a message by their names in lower case."""
    pairs = (line.partition(":") for line in lines if line)
    return {name.strip().lower(): value.strip() for name, _, value in pairs}


async def call(method: str, address: str, path: str, body: bytes = b"") -> Answer:
    """Call an interface of control; give up, and close the channel, after a second."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {address}", "Content-Type: application/json"]
    lines += [f"Content-Length: {len(body)}"]
    try:
        async with timeout(CALL_TIMEOUT):
            return await exchange(address, "\r\n".join(lines).encode() + b"\r\n\r\n" + body)
    except (TimeoutError, OSError, EOFError, ValueError):
        return Answer(0)


async def ask(address: str, attempt: str, path: str, limit: float, method: str = "GET") -> Answer:
    """Send one request as a client; status 0 if there is no answer within ``limit`` seconds."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Attempt-Id: {attempt}"]
    lines += [f"Deadline-Ms: {limit * 1000:.0f}", f"Authorization: Bearer {KEY}"]
    if method != "GET":
        lines.append("Content-Length: 0")
    try:
        async with timeout(limit):
            return await exchange(address, "\r\n".join(lines).encode() + b"\r\n\r\n")
    except (TimeoutError, OSError, EOFError, ValueError):
        return Answer(0)


async def exchange(address: str, message: bytes) -> Answer:
    """Send one message on a channel of its own and return the answer."""
    host, _, port = address.rpartition(":")
    reader, writer = await open_connection(host, int(port))
    try:
        writer.write(message)
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        headers = parse_headers(head[1:])
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        return Answer(int(head[0].split(" ")[1]), headers, body, True)
    finally:
        writer.close()


def document(version: int = 1, **changes: Any) -> bytes:
    """Return a configuration with one plain service."""

    def route(name: str, kind: str, attempts: int) -> dict[str, Any]:
        return {
            "name": name,
            "host": HOST,
            "pathPrefix": f"/{name}/",
            "type": kind,
            "timeoutMs": 6000,
            "goalMs": 150,
            "priority": 1,
            "service": "orders",
            "maxAttempts": attempts,
            "public": False,
        }

    content = {
        "version": version,
        "routeList": [route("order", "unsafe", 1), route("stock", "safe", 2)],
        "services": [{"name": "orders", "healthPath": "/healthz", "maxConns": 100}],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "tenant-one", "apiKeys": [KEY], "priority": 1}],
    }
    return dumps(content | changes).encode()


async def restart(machines: Machines, ip: str, record: Record) -> None:
    """Stop the processes of a machine with SIGTERM, and start each one again once it has ended."""
    machines.signal(ip, signal.SIGTERM)
    left = {"control", "gateway"}
    while left:
        for role in sorted(left):
            code = machines.processes[ip, role].poll()
            if code is not None:
                record.write(f"{role} of {ip} has ended with {code} and starts again")
                left.discard(role)
                machines.start_process(ip, role)
        await sleep(0.05)


async def wait_until_served(machines: Machines, record: Record, limit: float = 40.0) -> None:
    """Wait until each gateway answers a client's request with success."""
    until = monotonic() + limit
    number = 0
    for front in machines.fronts:
        while True:
            number += 1
            try:
                answer = await ask(front, f"first-{number}", "/stock/1", 2.0)
            except OSError:
                answer = Answer(0)
            if answer.status == 200:
                break
            if monotonic() > until:
                raise CannotRunError(f"the gateway at {front} does not serve")
            await sleep(0.2)
    record.write("all gateways serve")
