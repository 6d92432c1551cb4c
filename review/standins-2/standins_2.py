"""Stand-ins of the platform for the scripts of the second review, on the standard library alone.

They follow the users' pages: servers of a plain service, an operator, clients and the settings
files, with the bounds of the site nammibar. ``System`` starts the project's own programs with the
commands of its deploy file. Every address is a loopback address.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from asyncio import StreamReader, StreamWriter, create_task, open_connection, sleep
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
FRONT_PORT, READY_PORT, CONTROL_PORT, SERVER_PORT, INTERNAL_PORT = 8227, 8220, 8229, 8080, 7340
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
PLAIN_SERVICE = "wuno96b"
HEARTBEAT = 1.2
ACK_LIMIT = 1.0
"""Seconds after which a server or the operator calls the next instance."""


class Record:
    """What was sent, answered and run, in ``record.txt``."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the script began."""
        return time.monotonic() - self._began_at

    def write(self, text: str) -> None:
        """Add a line with the time."""
        self._file.write(f"{self.now():8.3f}  {text}\n")
        self._file.flush()


@dataclass
class Answer:
    """An answer; ``status`` 0: none. ``is_whole``: it ended according to its framing."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False


async def read_head(reader: StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers of a message."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader: StreamReader, headers: dict[str, str], into: bytearray) -> None:
    """Read a body with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            into += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
        return
    into += await reader.readexactly(int(headers.get("content-length", "0")))


async def call(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    limit: float = ACK_LIMIT,
) -> Answer:
    """Send one request on a new connection; return the answer, status 0 without one in time."""
    answer = Answer()
    received = bytearray()
    writer: StreamWriter | None = None
    try:
        async with asyncio.timeout(limit):
            host, _, port = address.rpartition(":")
            reader, writer = await open_connection(host, int(port))
            lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
            lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
            lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            line, answer.headers = await read_head(reader)
            answer.status = int(line.split()[1])
            await read_body(reader, answer.headers, received)
            answer.is_whole = True
    except (OSError, EOFError, TimeoutError, ValueError):
        pass
    finally:
        answer.body = bytes(received)
        if writer is not None:
            writer.close()
    return answer


def free_prefix() -> str:
    """Return the first three numbers of a loopback network whose ports are not in use."""
    numbers = random.SystemRandom()
    while True:
        prefix = f"127.{numbers.randint(2, 250)}.{numbers.randint(2, 250)}"
        try:
            for port in (FRONT_PORT, READY_PORT, CONTROL_PORT, SERVER_PORT, INTERNAL_PORT):
                with socket.socket() as probe:
                    probe.bind((f"{prefix}.1", port))
        except OSError:
            continue
        return prefix


ZONES = ("is-south-a", "is-south-b", "is-south-c")


class System:
    """The project's programs: control on each machine with a disk, gateways on the same ones."""

    def __init__(self, record: Record, gateways: int = 1) -> None:
        self.record = record
        self.prefix = free_prefix()
        self.folder = Path(tempfile.mkdtemp(prefix="jaylatch-review-"))
        self.ips = [f"{self.prefix}.{number}" for number in (1, 2, 3)]
        self.gateway_ips = self.ips[-gateways:]
        self.seeds = self.controls
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self._commands = self._read_commands()
        self._is_first = True
        self._machines = len(self.ips)

    @property
    def controls(self) -> list[str]:
        """Return the addresses for servers and the operator."""
        return [f"{ip}:{CONTROL_PORT}" for ip in self.ips]

    @property
    def fronts(self) -> list[str]:
        """Return the addresses for clients."""
        return [f"{ip}:{FRONT_PORT}" for ip in self.gateway_ips]

    def _read_commands(self) -> dict[str, list[str]]:
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        return {name: role["run"].split() for name, role in deploy["roles"].items()}

    def start(self) -> None:
        """Start all processes for the first time."""
        for number, ip in enumerate(self.ips):
            self.start_process("control", ip, number)
        for ip in self.gateway_ips:
            self.start_process("gateway", ip, self.ips.index(ip))
        self._is_first = False

    def add_core_machine(self) -> str:
        """Start control on another machine, at a new address and with an empty disk."""
        self._machines += 1
        ip = f"{self.prefix}.{self._machines}"
        self.ips.append(ip)
        self.start_process("control", ip, self._machines - 1)
        return ip

    async def end_planned(self, ip: str, grace: float = 8.0) -> None:
        """End control on a machine that is removed: SIGTERM, and SIGKILL after the grace."""
        name = f"control-{ip}"
        self.signal(name, signal.SIGTERM)
        process = self.processes.pop(name)
        until = time.monotonic() + grace
        while process.poll() is None and time.monotonic() < until:
            await sleep(0.02)
        process.kill()
        process.wait()
        self.ips.remove(ip)
        self.record.write(f"control on {ip} has ended, exit code {process.returncode}")

    def start_process(self, role: str, ip: str, number: int = 0) -> None:
        """Start one process of ``role``."""
        name = f"{role}-{ip}"
        data = self.folder / f"data-{ip}"
        data.mkdir(exist_ok=True)
        zone = ZONES[number % len(ZONES)]
        lines = [
            f"nodeName=edge-{zone}-{ip}",
            f"role={role}",
            "machineClass=edge",
            "serves=edge,control",
            f"ip={ip}",
            f"zone={zone}",
            "region=is-south",
            *(f"zones.{item}=is-south" for item in ZONES),
            f"listen.front={ip}:{FRONT_PORT}",
            f"listen.ready={ip}:{READY_PORT}",
            f"listen.control={ip}:{CONTROL_PORT}",
            f"internalPortRange={INTERNAL_PORT},{INTERNAL_PORT + 15}",
            f"seeds={','.join(self.seeds)}",
            f"bootstrap={str(self._is_first).lower()}",
            "inTolerance=true",
            "limits.cpuShare=0.968",
            "limits.cores=2",
            "limits.memoryMb=300",
            "limits.maxFds=4100",
            "limits.linkMbps=1000.0",
            "limits.diskMb=64",
            f"dataDir={data}",
            "discovery=registration",
            "entry=vip",
            f"heartbeatMs={HEARTBEAT * 1000:.0f}",
            "contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,gangs",
            "faultTolerance.machines=1",
            "faultTolerance.zones=0",
            "faultTolerance.regions=0",
            "bounds.seedLagS=3",
            "bounds.reuseAfterS=2",
            "bounds.contactMs=3000",
            "bounds.ackMs=4000",
            "bounds.catchUpS=4",
            "bounds.drainMs=2000",
            "bounds.graceS=8",
            "bounds.lossSlackMs=200",
            "bounds.configApplyMs=2000",
            "bounds.downgradeMs=250",
            "bounds.outerMs=5000",
            "bounds.strictRevoke=true",
            "bounds.revokeMs=5000",
            "bounds.retryRatio=0.2",
            "bounds.retryWindowS=10",
            "bounds.budgetSlack=404",
            "bounds.recoverS=12",
            "bounds.passMs=120",
            "bounds.retryAfterS=0",
            "bounds.stallMs=4000",
            "bounds.fencing=true",
            "bounds.ceilingWindowS=5",
            "bounds.burstFactor=1.1",
            "configMode=highest",
        ]
        settings = self.folder / f"{name}.conf"
        settings.write_text("\n".join(lines) + "\n")
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        }
        environment |= {
            "JAYLATCH_BOOT": str(settings),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                self._commands[role],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=environment,
            )
        self.record.write(f"started {role} on {ip}")

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process."""
        self.record.write(f"{number.name} to {name}")
        self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process and wait for its end."""
        self.signal(name, signal.SIGKILL)
        self.processes.pop(name).wait()

    def stop(self) -> None:
        """End all processes and remove the folder."""
        for process in self.processes.values():
            with suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        if os.environ.get("KEEP"):
            print(self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def put_config(self, document: dict[str, Any], patience: float = 15.0) -> bool:
        """Send a configuration until it is acknowledged."""
        body = json.dumps(document).encode()
        until = time.monotonic() + patience
        headers = {"Content-Type": "application/json"}
        while time.monotonic() < until:
            for address in self.controls:
                answer = await call(address, "PUT", "/v1/config", headers, body)
                if answer.status == 200:
                    self.record.write(f"operator: version {document['version']} acknowledged")
                    return True
            await sleep(0.2)
        return False

    async def read_config(self) -> tuple[int, dict[str, Any]]:
        """Read the configuration once, at one instance after another; return status and content."""
        status, content = 0, {}
        for address in self.controls:
            answer = await call(address, "GET", "/v1/config")
            status = answer.status or status
            if answer.status == 200:
                content = json.loads(answer.body)
                break
        self.record.write(f"operator: read {status}, version {content.get('version')}")
        return status, content


class PlainServer:
    """A server of a plain service; it answers at once, and its heartbeats never stop."""

    def __init__(self, system: System, number: int, zone: str) -> None:
        self.system = system
        self.record = system.record
        self.id = f"i-{number:08x}"
        self.zone = zone
        self.address = f"{system.prefix}.{200 + number}:{SERVER_PORT}"
        self.runs: list[str] = []
        self._sequence = 0
        self._born = int(time.time() * 1000)

    async def start(self) -> None:
        """Listen and begin to send heartbeats."""
        host, _, port = self.address.rpartition(":")
        self._listener = await asyncio.start_server(self._serve, host, int(port))
        self._task = create_task(self._beat())

    async def _beat(self) -> None:
        while True:
            self._sequence += 1
            body = {
                "service": PLAIN_SERVICE,
                "addr": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": 6,
                "state": "ready",
                "coldLeftMs": 0,
                "seq": self._sequence,
                "born": self._born,
            }
            path, data = f"/v1/instances/{self.id}", json.dumps(body).encode()
            for address in tuple(self.system.controls):
                answer = await call(
                    address, "PUT", path, {"Content-Type": "application/json"}, data
                )
                if answer.status == 200:
                    break
            await sleep(HEARTBEAT)

    async def _serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        with suppress(EOFError, OSError, ValueError, asyncio.CancelledError):
            while True:
                _, headers = await read_head(reader)
                body = bytearray()
                await read_body(reader, headers, body)
                attempt = headers.get("attempt-id", "")
                if headers.get("expect-instance", self.id) != self.id:
                    writer.write(plain(421, b"", **{"Attempt-Id": attempt}))
                    continue
                self.runs.append(attempt)
                self.record.write(f"server {self.id}: runs {attempt}")
                stamp = {"Attempt-Id": attempt, "Server-Stamp": f"stamp-{attempt}-{self.id}"}
                writer.write(plain(200, b"placed", **stamp))
                await writer.drain()
        writer.close()


def plain(status: int, body: bytes = b"", **headers: str) -> bytes:
    """Return a complete answer."""
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def plain_document(version: int) -> dict[str, Any]:
    """Return a configuration with one plain service and a route of safe requests."""
    route = {
        "name": "r-fi6y7z5",
        "host": HOST,
        "pathPrefix": "/puxa403/",
        "type": "safe",
        "timeoutMs": 2500,
        "goalMs": 200,
        "priority": 2,
        "service": PLAIN_SERVICE,
        "maxAttempts": 2,
        "public": False,
        "sticky": False,
        "resumable": False,
    }
    service = {
        "name": PLAIN_SERVICE,
        "healthPath": "/healthz",
        "maxConns": 104,
        "protocol": "h1",
        "tls": False,
    }
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    return {
        "version": version,
        "routeList": [route],
        "services": [service],
        "limits": limits,
        "tenants": [{"name": "hule930", "apiKeys": [KEY], "priority": 1}],
    }


_attempts = random.SystemRandom().getrandbits(40)


def new_attempt() -> str:
    """Return the id of a client attempt."""
    global _attempts
    _attempts += 1
    return f"{_attempts:016x}"


async def send_plain(system: System) -> Answer:
    """Send one safe request of a client to the first gateway."""
    attempt = new_attempt()
    headers = {
        "Attempt-Id": attempt,
        "Deadline-Ms": "2501",
        "Authorization": f"Bearer {KEY}",
    }
    answer = await call(system.fronts[0], "POST", "/puxa403/2f", headers, b"body", 2.501)
    system.record.write(f"client: {attempt} answered {answer.status}, whole: {answer.is_whole}")
    return answer
