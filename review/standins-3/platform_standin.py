"""A small deployment on loopback addresses: the project's programs, and the platform's part.

Each machine has an IP address of its own. A program gets a settings file like the platform's, and
is started with the command of the deploy file.
"""

import json
import os
import shutil
import socket
import subprocess
import tempfile
from asyncio import StreamReader, StreamWriter, open_connection, run, sleep, wait_for
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import SystemRandom
from time import monotonic
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "shop.example"
KEY = "key-one"
TENANT = "tenant-one"
HEARTBEAT_MS = 1200
CONTROL_COUNT = 3
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
"""Whether the disruption takes place."""


def free_prefix() -> str:
    """Return the first three numbers of a range of loopback addresses."""
    random = SystemRandom()
    return f"127.{random.randint(1, 250)}.{random.randint(1, 250)}"


def free_ports(address: str, count: int) -> list[int]:
    """Return ports on which nothing listens at ``address``."""
    sockets = [socket.socket() for _ in range(count)]
    for item in sockets:
        item.bind((address, 0))
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


class Record:
    """The record of a run, with seconds since its start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started_at = monotonic()

    @property
    def now(self) -> float:
        """Return the seconds since the start."""
        return monotonic() - self._started_at

    def write(self, text: str) -> None:
        """Write one line."""
        line = f"{self.now:8.3f} {text}"
        print(line, flush=True)
        self._file.write(line + "\n")
        self._file.flush()


class Platform:
    """Control processes and gateways; ends only the processes that it started."""

    def __init__(self, record: Record, gateways: int = 1, **bounds: object) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self._bounds = bounds
        self._prefix = free_prefix()
        self.ips = [f"{self._prefix}.{number}" for number in range(1, CONTROL_COUNT + 1)]
        self._gateways = gateways
        ports = free_ports(self.ips[0], 4)
        while ports[3] + 1 in ports:
            ports = free_ports(self.ips[0], 4)
        self._front, self._ready, self._control, self._internal = ports

    def address(self, number: int) -> str:
        """Return an address of the range for a server or a proxy, ``number`` from 10 on."""
        return f"{self._prefix}.{number}"

    def front(self, machine: int = 0) -> str:
        """Return the address that clients call."""
        return f"{self.ips[machine]}:{self._front}"

    def control(self, machine: int = 0) -> str:
        """Return the address that servers and the operator call."""
        return f"{self.ips[machine]}:{self._control}"

    def controls(self) -> list[str]:
        """Return all control addresses."""
        return [self.control(machine) for machine in range(CONTROL_COUNT)]

    def start(self) -> None:
        """Start all programs for the first time."""
        for machine in range(CONTROL_COUNT):
            self.start_process(machine, "control", is_first=True)
        for machine in range(self._gateways):
            self.start_process(machine, "gateway", is_first=True)

    def start_process(self, machine: int, role: str, *, is_first: bool = False) -> None:
        """Start one program."""
        ip = self.ips[machine]
        name = f"{role}-{machine}"
        data = self.folder / f"data-{machine}"
        data.mkdir(exist_ok=True)
        fields: dict[str, object] = {
            "nodeName": name,
            "role": role,
            "ip": ip,
            "zone": f"zone-{machine}",
            "internalPortRange": f"{self._internal},{self._internal + 15}",
            "seeds": ",".join(self.controls()),
            "bootstrap": str(is_first).lower(),
            "listen.front": f"{ip}:{self._front}",
            "listen.ready": f"{ip}:{self._ready}",
            "listen.control": f"{ip}:{self._control}",
            "dataDir": data if role == "control" else "",
            "heartbeatMs": HEARTBEAT_MS,
            "limits.memoryMb": 300,
            "faultTolerance.machines": 1,
            "bounds.graceS": 8,
            "bounds.revokeMs": 5000,
            "bounds.configApplyMs": 2000,
            "bounds.drainMs": 2000,
            "bounds.contactMs": 3000,
            "bounds.retryRatio": 0.2,
            "bounds.budgetSlack": 416,
            "bounds.strictRevoke": "true",
        }
        fields |= {f"zones.zone-{number}": "region-1" for number in range(CONTROL_COUNT)}
        fields |= {f"bounds.{key}": value for key, value in self._bounds.items()}
        settings = self.folder / f"{name}.conf"
        settings.write_text("".join(f"{key}={value}\n" for key, value in fields.items()))
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        }
        environment |= {"PYTHONPATH": str(ROOT / "target/deps"), "JAYLATCH_BOOT": str(settings)}
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                ["python3", "-m", "jaylatch_platform", role],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=environment,
            )

    async def wait_until_ready(self, machine: int = 0, limit: float = 20.0) -> None:
        """Wait until the platform would send clients to a gateway."""
        until = monotonic() + limit
        while monotonic() < until:
            answer = await call(f"{self.ips[machine]}:{self._ready}", "GET", "/v1/readyz")
            if answer.status == 200:
                return
            await sleep(0.1)
        raise NotRunError(f"the gateway on machine {machine} is not ready")

    async def publish(
        self, document: dict[str, Any], machine: int = 0, limit: float = 20.0
    ) -> None:
        """Send a configuration until it is acknowledged, to one control process after another."""
        body = json.dumps(document).encode()
        until = monotonic() + limit
        while monotonic() < until:
            answer = await call(self.control(machine), "PUT", "/v1/config", body)
            if answer.status == 200:
                self.record.write(f"operator: version {document['version']} acknowledged")
                return
            machine = (machine + 1) % CONTROL_COUNT
            await sleep(0.2)
        raise NotRunError("no configuration was acknowledged")

    def stop(self) -> None:
        """Kill the processes that still run, and remove the folder."""
        for process in self.processes.values():
            process.kill()
            process.wait()
        self.processes.clear()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class NotRunError(Exception):
    """The case could not run."""


def run_case(case: Callable[[Record, Platform], Awaitable[bool]], path: Path) -> int:
    """Run a case; return 1 if it finds the rule broken, 0 if the rule held, 2 if it could not run.

    It ends all processes of the case.
    """
    record = Record(path)
    platform = Platform(record)
    try:
        return int(bool(run(case(record, platform))))  # type: ignore[arg-type]
    except Exception as error:
        record.write(f"could not run: {error!r}")
        return 2
    finally:
        platform.stop()


class Answer:
    """An HTTP answer; ``status`` is 0 if there was none."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes, error: str = "") -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.error = error


async def read_message(reader: StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Return the first line, the headers by lower-case name, and the body of a message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in head[1:] if line)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readline()
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return head[0], headers, body


async def call(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    limit: float = 1.0,
) -> Answer:
    """Send one request on a new channel; return its answer."""
    host, _, port = address.rpartition(":")
    writer: StreamWriter | None = None
    try:
        reader, writer = await wait_for(open_connection(host, int(port)), limit)
        fields = {"Host": HOST, "Content-Length": str(len(body)), **(headers or {})}
        head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body)
        line, answered, content = await wait_for(read_message(reader), limit)
        return Answer(int(line.split()[1]), answered, content)
    except Exception as error:
        return Answer(0, {}, b"", repr(error))
    finally:
        if writer is not None:
            writer.close()


def route(name: str, kind: str, service: str, **changes: object) -> dict[str, Any]:
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "type": kind,
        "timeoutMs": 2500,
        "goalMs": 200,
        "priority": 1,
        "service": service,
        "maxAttempts": 1 if kind == "unsafe" else 2,
        "public": False,
        "sticky": False,
    } | changes


def document(version: int, routes: list[dict[str, Any]], **changes: object) -> dict[str, Any]:
    """Return a configuration with plain services only."""
    services = sorted({item["service"] for item in routes})
    return {
        "version": version,
        "routeList": routes,
        "services": [
            {"name": name, "healthPath": "/healthz", "maxConns": 104} for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1}],
    } | changes
