"""Faults of one failure domain of a running deployment; each waits for the repair."""

from asyncio import sleep
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import msgspec

from jaylatch_core.settings import LISTEN_BACKLOG
from jaylatch_standins.cluster import Cluster
from jaylatch_standins.deployment import read_status, serving_groups, wait_until
from jaylatch_standins.ledger import Ledger, read_ledger
from jaylatch_standins.ports import LOOPBACK
from jaylatch_standins.proxy import FaultProxy

REPAIR_TIMEOUT = 40.0
"""Seconds to wait until the domain has a serving group again."""
PAUSE_TIME = 5.0
"""Seconds for which an agent is paused: longer than its lease."""
BLOCK_TIME = 7.0
"""Seconds for which traffic with control is held back: longer than a lease."""
DOWNTIME = 3.0
"""Seconds between the kill of a domain and its restart."""

Fault = Callable[["DomainFaults"], Awaitable[None]]


class DomainFaults:
    """Injects faults into the group of one domain. ``name`` is the domain's id."""

    def __init__(self, cluster: Cluster, name: str, proxies: dict[str, list[FaultProxy]]) -> None:
        self._cluster = cluster
        self._name = name
        self._proxies = proxies

    @property
    def name(self) -> str:
        """Return the domain's id."""
        return self._name

    async def group(self) -> dict[str, Any] | None:
        """Return the domain's serving group, or None."""
        status = await read_status(self._cluster)
        if not status or "groups" not in status:
            return None
        serving = serving_groups(status)
        for group in status["groups"]:
            is_in_domain = self._cluster.nodes[group["members"][0]].domain == self._name
            if is_in_domain and group["id"] in serving:
                return dict(group)
        return None

    async def wait_for_group(self, after_epoch: int = 0) -> dict[str, Any]:
        """Wait until the domain has a serving group with an epoch above ``after_epoch``."""
        found: list[dict[str, Any]] = []

        async def is_serving() -> bool:
            group = await self.group()
            if group is not None and group["epoch"] > after_epoch:
                found.append(group)
            return bool(found)

        await wait_until(
            is_serving, REPAIR_TIMEOUT, f"a group of {self._name} above epoch {after_epoch}"
        )
        return found[0]

    def kill_engine(self, name: str) -> None:
        """Kill an engine."""
        self._record(name, "killed")
        self._cluster.kill(f"{name}/target")

    def kill_instance(self, name: str) -> None:
        """Kill the engine and the agent of an instance."""
        self._record(name, "killed")
        self._cluster.kill_instance(name)

    def start_instance(self, name: str) -> None:
        """Start the agent and the engine of an instance again."""
        self._cluster.start_node(name)
        self._cluster.start_target(name)

    async def lose_member_engine(self) -> None:
        """Kill the engine of the second member."""
        group = await self.wait_for_group()
        self.kill_engine(group["members"][1])
        await self.wait_for_group(group["epoch"])

    async def lose_member(self) -> None:
        """Kill the second member's instance."""
        group = await self.wait_for_group()
        self.kill_instance(group["members"][1])
        await self.wait_for_group(group["epoch"])

    async def lose_head(self) -> None:
        """Kill the head's instance."""
        group = await self.wait_for_group()
        self.kill_instance(group["members"][0])
        await self.wait_for_group(group["epoch"])

    async def lose_two_in_a_row(self) -> None:
        """Kill a member and, right after the repair, the spare that replaced it."""
        group = await self.wait_for_group()
        self.kill_instance(group["members"][1])
        repaired = await self.wait_for_group(group["epoch"])
        self.kill_instance(next(iter(set(repaired["members"]) - set(group["members"]))))
        await self.wait_for_group(repaired["epoch"])

    async def restart_agent_mid_order(self) -> None:
        """Kill and restart the agent of a joining spare while its order is in flight."""
        group = await self.wait_for_group()
        self.kill_instance(group["members"][1])
        joining: list[str] = []

        async def is_ordered() -> bool:
            joining.extend(
                line.target
                for line in read_ledger(self._cluster.ledger)
                if line.what == "order_received"
                and line.detail.split()[0] == group["id"]
                and int(line.detail.split()[1]) > group["epoch"]
                and line.target not in group["members"]
            )
            return bool(joining)

        await wait_until(is_ordered, REPAIR_TIMEOUT, f"an order to a spare of {self._name}")
        self._cluster.kill(joining[0])
        self._cluster.start_node(joining[0])
        await self.wait_for_group(group["epoch"])

    async def pause_member(self) -> None:
        """Pause the second member's agent for longer than its lease, then resume it."""
        await self._pause(1)

    async def pause_head(self) -> None:
        """Pause the head's agent for longer than its lease, then resume it."""
        await self._pause(0)

    async def block_grants_to_head(self) -> None:
        """Hold back all data from control to the head for longer than its lease."""
        await self._block("blocks_backward")

    async def block_renewals_of_head(self) -> None:
        """Hold back all data from the head to control for longer than its lease."""
        await self._block("blocks_forward")

    async def restart_domain(self) -> None:
        """Kill every engine instance of the domain, then start them again."""
        group = await self.wait_for_group()
        names = [
            name
            for name, node in self._cluster.nodes.items()
            if node.domain == self._name and name.startswith("engine")
        ]
        for name in names:
            self.kill_instance(name)
        await sleep(DOWNTIME)
        for name in names:
            self.start_instance(name)
        await self.wait_for_group(group["epoch"])

    async def _pause(self, rank: int) -> None:
        group = await self.wait_for_group()
        name = group["members"][rank]
        self._cluster.pause(name)
        await sleep(PAUSE_TIME)
        self._cluster.resume(name)
        await self.wait_for_group(group["epoch"])

    async def _block(self, direction: str) -> None:
        group = await self.wait_for_group()
        proxies = self._proxies[group["members"][0]]
        for proxy in proxies:
            setattr(proxy, direction, True)
        await sleep(BLOCK_TIME)
        for proxy in proxies:
            setattr(proxy, direction, False)
        await self.wait_for_group(group["epoch"])

    def _record(self, name: str, what: str) -> None:
        Ledger(self._cluster.ledger, name).record(what, "")


FAULTS: dict[str, Fault] = {
    "a member's engine dies": DomainFaults.lose_member_engine,
    "a member dies": DomainFaults.lose_member,
    "the head dies": DomainFaults.lose_head,
    "a member dies and its successor too": DomainFaults.lose_two_in_a_row,
    "a joining agent restarts mid-order": DomainFaults.restart_agent_mid_order,
    "a member's agent pauses": DomainFaults.pause_member,
    "the head's agent pauses": DomainFaults.pause_head,
    "the head gets no grants": DomainFaults.block_grants_to_head,
    "the head's renewals are lost": DomainFaults.block_renewals_of_head,
    "the domain goes dark and returns": DomainFaults.restart_domain,
}


def put_proxies_before_control(cluster: Cluster, name: str) -> list[FaultProxy]:
    """Route an instance's connections to control through fault proxies.

    Must be called before the instance is started.
    """
    path: Path = cluster.nodes[name].settings
    settings = msgspec.toml.decode(path.read_bytes())
    proxies = []
    for peer in settings["control"]["peers"]:
        proxy = FaultProxy(peer["address"])
        proxy.listen(0, LOOPBACK, backlog=LISTEN_BACKLOG)
        port = next(iter(proxy._sockets.values())).getsockname()[1]
        peer["address"] = f"{LOOPBACK}:{port}"
        proxies.append(proxy)
    path.write_bytes(msgspec.toml.encode(settings))
    return proxies
