"""A local cluster of real jaylatch processes and stand-ins."""

import signal
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from jaylatch_core.settings import LISTEN_BACKLOG
from jaylatch_standins.ports import LOOPBACK, free_addresses
from jaylatch_standins.proxy import FaultProxy

OPERATOR_TOKEN = "operator-token"
STOP_TIMEOUT = 5.0
"""Seconds after which a process that does not stop is killed."""
ENTRY_ROTATION = 0.1
"""Seconds for which a stopping entry takes new callers; no balancer must notice its stop."""
LOG_TAIL_CHARACTERS = 2000
"""Characters at the end of the log of a failed process that are shown."""


class ProcessEndedError(RuntimeError):
    """A process of the cluster exited with a nonzero code."""


@dataclass
class ClusterPlan:
    """The processes of a cluster. ``engines`` and ``services`` are per failure domain.

    ``entry_policies`` is assigned to the entries round-robin; if empty, all use the default.
    """

    controls: int = 3
    entries: int = 2
    domains: int = 3
    engines: int = 3
    services: dict[str, int] = field(default_factory=dict)
    engine_options: tuple[str, ...] = ()
    service_options: tuple[str, ...] = ()
    has_fencing: bool = True
    has_proxies: bool = False
    entry_policies: tuple[str, ...] = ()
    adapts_limit: bool = True
    names_controls_by_address: bool = False


@dataclass
class Node:
    """Addresses and settings of one instance, and its target if it has one."""

    name: str
    domain: str
    stream: str
    http: str
    settings: Path
    target: str = ""
    target_command: list[str] | None = None

    @contextmanager
    def edited_settings(self) -> Iterator[dict[str, Any]]:
        """Yield the settings, and store them again as they are then."""
        settings = msgspec.toml.decode(self.settings.read_bytes())
        yield settings
        self.settings.write_bytes(msgspec.toml.encode(settings))


class Cluster:
    """A set of real processes that share one folder. Ends only processes that it started."""

    def __init__(
        self, folder: Path, plan: ClusterPlan, configuration: str, token_hash: str
    ) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self.folder = folder
        self.ledger = folder / "ledger.jsonl"
        self.nodes: dict[str, Node] = {}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.proxies: dict[str, FaultProxy] = {}
        self._plan = plan
        self._token_hash = token_hash
        self._configuration = folder / "configuration.toml"
        self._configuration.write_text(configuration)
        self._proxy_routes: dict[str, tuple[str, str]] = {}
        self._add_nodes()

    @property
    def entries(self) -> list[str]:
        """Return the HTTP addresses of the entries."""
        return [node.http for name, node in self.nodes.items() if name.startswith("entry")]

    @property
    def controls(self) -> list[str]:
        """Return the names of the control instances."""
        return [name for name in self.nodes if name.startswith("control")]

    def start_proxies(self) -> None:
        """Start the proxies on the running event loop; they forward only while it runs.

        Their names are ``AGENT/stream``, ``AGENT/target`` and ``ENTRY/CONTROL``.
        """
        for name, (address, target) in self._proxy_routes.items():
            self.proxies[name] = FaultProxy(target)
            self.proxies[name].listen(
                int(address.rpartition(":")[2]), LOOPBACK, backlog=LISTEN_BACKLOG
            )

    def start(self) -> None:
        """Start every process."""
        for name in self.nodes:
            self.start_node(name)
            self.start_target(name)

    def start_node(self, name: str) -> None:
        """Start the daemon of an instance."""
        command = [sys.executable, "-m", "jaylatch_node.daemon"]
        command += ["--config", str(self.nodes[name].settings)]
        self._spawn(name, command)

    def start_target(self, name: str) -> None:
        """Start the target of an instance, if it has one."""
        command = self.nodes[name].target_command
        if command is not None:
            self._spawn(f"{name}/target", command)

    def target_address(self, name: str) -> str:
        """Return the address at which the target of an instance listens."""
        return self.nodes[name].target

    def start_process(self, name: str, command: list[str]) -> None:
        """Start an additional process, for example one with simulated agents."""
        self._spawn(name, command)

    def kill(self, name: str) -> None:
        """Kill a process (SIGKILL)."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def kill_instance(self, name: str) -> None:
        """Kill the daemon and the target of an instance."""
        for process in (name, f"{name}/target"):
            if process in self.processes:
                self.kill(process)

    def raise_if_ended(self) -> None:
        """Raise ProcessEndedError, with the end of its log, if a process exited with an error."""
        for name, process in self.processes.items():
            if process.poll():
                log = (self.folder / f"{name.replace('/', '-')}.log").read_text(errors="replace")
                raise ProcessEndedError(
                    f"{name} exited unexpectedly with code {process.returncode}:\n"
                    f"{log[-LOG_TAIL_CHARACTERS:]}"
                )

    def pause(self, name: str) -> None:
        """Pause a process (SIGSTOP)."""
        self.processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a paused process (SIGCONT)."""
        self.processes[name].send_signal(signal.SIGCONT)

    def stop(self) -> None:
        """Terminate all remaining processes."""
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.terminate()
        for process in self.processes.values():
            try:
                process.wait(STOP_TIMEOUT)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self.processes.clear()

    def _spawn(self, name: str, command: list[str]) -> None:
        with (self.folder / f"{name.replace('/', '-')}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                command, stdin=subprocess.DEVNULL, stdout=log, stderr=log, cwd=self.folder
            )

    def _add_nodes(self) -> None:
        plan = self._plan
        names = [f"control-{number}" for number in range(1, plan.controls + 1)]
        streams = free_addresses(plan.controls)
        peers = [
            {"instance": self._control_id(name, stream), "address": stream}
            for name, stream in zip(names, streams, strict=True)
        ]
        for number, (name, stream) in enumerate(zip(names, streams, strict=True)):
            self._add_node(name, number % plan.domains + 1, "control", stream, "", peers)
        addresses = iter(free_addresses(2 * plan.entries))
        for number in range(plan.entries):
            name = f"entry-{number + 1}"
            domain = number % plan.domains + 1
            self._add_node(name, domain, "entry", next(addresses), next(addresses), peers)
        for domain in range(1, plan.domains + 1):
            self._add_targets(domain, peers)

    def _control_id(self, name: str, stream: str) -> str:
        return stream if self._plan.names_controls_by_address else name

    def add_control(self, name: str, domain: int, peers: list[str]) -> None:
        """Add a control instance that knows only the control addresses ``peers``."""
        (stream,) = free_addresses(1)
        known = [{"instance": address, "address": address} for address in (*peers, stream)]
        node = self._add_node(name, domain, "control", stream, "", known)
        with node.edited_settings() as settings:
            settings["control"]["voters"] = peers

    def _add_targets(self, domain: int, peers: list[dict[str, str]]) -> None:
        plan = self._plan
        kinds = [("engine", "")] * plan.engines
        kinds += [
            ("service", name) for name, replicas in plan.services.items() for _ in range(replicas)
        ]
        addresses = iter(free_addresses(3 * len(kinds)))
        for number, (kind, service) in enumerate(kinds, start=1):
            name = f"{kind}-{domain}-{number}"
            agent_stream, agent_http, listen = next(addresses), next(addresses), next(addresses)
            node = self._add_node(name, domain, "agent", agent_stream, agent_http, peers)
            command = [sys.executable, "-m", f"jaylatch_standins.{kind}", "--name", name]
            advertised = self._add_proxy(f"{name}/target", listen)
            command += ["--advertise", advertised]
            command += ["--listen", listen, "--agent", agent_http, "--ledger", str(self.ledger)]
            if kind == "engine":
                command += [*plan.engine_options, *(["--fencing"] if plan.has_fencing else [])]
            else:
                command += ["--service", service, *plan.service_options]
            node.target = listen
            node.target_command = command

    def _add_node(
        self,
        name: str,
        domain: int,
        role: str,
        stream: str,
        http: str,
        peers: list[dict[str, str]],
    ) -> Node:
        advertised = self._add_proxy(f"{name}/stream", stream) if role == "agent" else stream
        if role == "entry":
            peers = [
                {
                    **peer,
                    "address": self._add_proxy(f"{name}/{peer['instance']}", peer["address"]),
                }
                for peer in peers
            ]
        settings: dict[str, Any] = {
            "instance": self._control_id(name, stream) if role == "control" else name,
            "failure_domain": f"domain-{domain}",
            "roles": [role],
            "stream": advertised,
            "stream_listen": stream,
            "control": {
                "peers": peers,
                "data_folder": str(self.folder / name),
                "initial_configuration": str(self._configuration),
                "failure_domains": [f"domain-{item + 1}" for item in range(self._plan.domains)],
            },
        }
        if role == "entry":
            settings["entry"] = {
                "http": http,
                "operator_token_hashes": [self._token_hash],
                "rotation": ENTRY_ROTATION,
            }
            policies = self._plan.entry_policies
            if policies:
                settings["entry"]["policy"] = policies[len(self.entries) % len(policies)]
        if role == "agent":
            settings["agent"] = {"http": http, "adapts_limit": self._plan.adapts_limit}
        path = self.folder / f"{name}.toml"
        path.write_bytes(msgspec.toml.encode(settings))
        node = Node(name, f"domain-{domain}", advertised, http, path)
        self.nodes[name] = node
        return node

    def _add_proxy(self, name: str, address: str) -> str:
        """Return the address of a new proxy for ``address``, or ``address`` without proxies."""
        if not self._plan.has_proxies:
            return address
        (proxy,) = free_addresses(1)
        self._proxy_routes[name] = (proxy, address)
        return proxy
