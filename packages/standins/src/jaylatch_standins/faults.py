"""Named faults of a running cluster and their recovery."""

from dataclasses import dataclass

from jaylatch_standins.cluster import Cluster

DELAY = 0.3
"""Seconds in each direction."""


@dataclass(frozen=True)
class FaultSite:
    """The processes that faults affect: an agent, the caller's entry and a control instance."""

    agent: str
    entry: str
    control: str


class FaultInjector:
    """Injects one fault at a time and heals it: resumes or restarts the affected processes."""

    def __init__(self, cluster: Cluster, site: FaultSite) -> None:
        self._cluster = cluster
        self._site = site
        self._paused: list[str] = []
        self._killed: list[str] = []

    def inject(self, fault: str) -> None:
        """Start a fault. Raises ValueError for an unknown name."""
        site = self._site
        stream = self._cluster.proxies[f"{site.agent}/stream"]
        match fault:
            case "none":
                pass
            case "delay":
                stream.delay = DELAY
            case "drop":
                stream.drop_connections()
                stream.refuses = True
            case "cut mid-frame":
                stream.truncates_next = True
            case "half-open":
                stream.blocks_forward = stream.blocks_backward = True
            case "agent unreachable":
                stream.blocks_forward = True
            case "entry unreachable":
                stream.blocks_backward = True
            case "target connection drop":
                self._cluster.proxies[f"{site.agent}/target"].drop_connections()
            case "journal unreachable":
                for control in self._cluster.controls:
                    proxy = self._cluster.proxies[f"{site.entry}/{control}"]
                    proxy.blocks_forward = proxy.blocks_backward = True
            case "pause agent":
                self._pause(site.agent)
            case "pause target":
                self._pause(f"{site.agent}/target")
            case "pause entry":
                self._pause(site.entry)
            case "pause control leader":
                self._pause(site.control)
            case "kill agent":
                self._kill(site.agent)
            case "kill target":
                self._kill(f"{site.agent}/target")
            case "kill entry":
                self._kill(site.entry)
            case "kill control leader":
                self._kill(site.control)
            case _:
                raise ValueError(f"unknown fault {fault!r}")

    def heal(self) -> None:
        """End the fault and restore the affected processes."""
        for proxy in self._cluster.proxies.values():
            proxy.heal()
        for name in self._paused:
            self._cluster.resume(name)
        for name in self._killed:
            if name.endswith("/target"):
                self._cluster.start_target(name.removesuffix("/target"))
            else:
                self._cluster.start_node(name)
        self._paused.clear()
        self._killed.clear()

    def _pause(self, name: str) -> None:
        self._cluster.pause(name)
        self._paused.append(name)

    def _kill(self, name: str) -> None:
        self._cluster.kill(name)
        self._killed.append(name)
