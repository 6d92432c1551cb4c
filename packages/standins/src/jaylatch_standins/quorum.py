"""A control quorum of real processes under faults, with checked configuration changes."""

from asyncio import Task, create_task, sleep
from pathlib import Path
from time import monotonic
from typing import Any
from uuid import uuid4

import msgspec
from tornado.netutil import bind_sockets

from jaylatch_standins.caller import Operator
from jaylatch_standins.cluster import OPERATOR_TOKEN, Cluster, ClusterPlan
from jaylatch_standins.deployment import configuration_text, create_operator, hash_key, wait_until
from jaylatch_standins.ports import LOOPBACK
from jaylatch_standins.proxy import FaultProxy

WAIT_TIMEOUT = 60.0
"""Seconds to wait for a condition or for the acceptance of a change."""
RETRY_DELAY = 0.02
"""Seconds before a change is sent again."""
READ_INTERVAL = 0.02
"""Seconds between two reads of the state."""
Links = dict[tuple[str, str], FaultProxy]
"""The proxy for the connections of each control instance to each other one: (source, target)."""


def start_quorum(
    folder: Path, plan: ClusterPlan, *, has_proxies: bool, journal_shards: int = 2
) -> tuple[Cluster, Links]:
    """Start the processes of ``plan``. Must be called on the event loop that runs the proxies."""
    cluster = Cluster(folder, plan, configuration_text(), hash_key(OPERATOR_TOKEN))
    links = _put_proxies_between(cluster) if has_proxies else {}
    for node in cluster.nodes.values():
        with node.edited_settings() as settings:
            settings["control"]["journal_shards"] = journal_shards
    cluster.start()
    return cluster, links


def isolate(links: Links, name: str, *, is_isolated: bool) -> None:
    """Block or unblock all traffic between one control instance and the others."""
    for pair, proxy in links.items():
        if name in pair:
            proxy.blocks_forward = is_isolated
            proxy.blocks_backward = is_isolated


async def wait_for_configuration(cluster: Cluster) -> None:
    """Wait until the initial configuration is in force."""
    operator = create_operator(cluster)

    async def has_configuration() -> bool:
        status = await operator.get("status")
        return bool(status and status.get("generation", 0) >= 1)

    await wait_until(has_configuration, WAIT_TIMEOUT, "the initial configuration")


class ConfigurationHistory:
    """Applies configuration changes one by one and checks concurrent reads against them.

    Change N adds an account with N in its id, so that each state read identifies its change.
    ``accepted`` is the last accepted generation, ``slowest`` the longest change in seconds.
    """

    def __init__(self, cluster: Cluster) -> None:
        self._operator: Operator = create_operator(cluster)
        self._reader: Task[None] | None = None
        self.accepted = 1
        self.reads = 0
        self.slowest = 0.0
        self.violations: list[str] = []

    def start_reading(self) -> None:
        """Start to read the state repeatedly."""
        self._reader = create_task(self._read())

    def stop_reading(self) -> None:
        """Stop reading."""
        if self._reader is not None:
            self._reader.cancel()

    async def change(self, timeout: float = WAIT_TIMEOUT) -> None:
        """Apply one change, resent under one command id until it is accepted."""
        text = _configuration_for_change(self.accepted + 1)
        headers = {
            "X-Command-Id": uuid4().hex,
            "X-Expected-Generation": str(self.accepted),
        }
        started_at = monotonic()
        while True:
            answer = await self._operator.put("configuration", text, headers)
            kind = answer.get("type") if answer else None
            if kind == "CommandAccepted":
                break
            if kind not in (None, "Unavailable"):
                self.violations.append(f"change {self.accepted + 1} was answered with {answer}")
                return
            if monotonic() - started_at > timeout:
                self.violations.append(
                    f"change {self.accepted + 1} was not accepted within {timeout} s"
                )
                return
            await sleep(RETRY_DELAY)
        self.accepted += 1
        self.slowest = max(self.slowest, monotonic() - started_at)

    async def check_final(self) -> None:
        """Read once more and check that the state is the last accepted change."""
        status = await self._wait_for_status()
        self._verify(status, self.accepted)

    async def _read(self) -> None:
        while True:
            minimum = self.accepted
            status = await self._operator.get("status")
            if status and "generation" in status:
                self._verify(status, minimum)
            await sleep(READ_INTERVAL)

    def _verify(self, status: dict[str, Any], minimum: int) -> None:
        self.reads += 1
        generation = status["generation"]
        if generation < minimum:
            self.violations.append(f"read generation {generation} after {minimum} was accepted")
        accounts = [item["id"] for item in status["configuration"]["accounts"]]
        if generation > 1 and f"change-{generation}" not in accounts:
            self.violations.append(f"generation {generation} contains the accounts {accounts}")

    async def _wait_for_status(self) -> dict[str, Any]:
        found: dict[str, Any] = {}

        async def is_read() -> bool:
            found.update(await self._operator.get("status") or {})
            return "generation" in found

        await wait_until(is_read, WAIT_TIMEOUT, "a confirmed read")
        return found


def _configuration_for_change(number: int) -> bytes:
    account = f'[[accounts]]\nid = "change-{number}"\nkey_hashes = ["{hash_key(str(number))}"]\n'
    return (configuration_text() + account).encode()


def _put_proxies_between(cluster: Cluster) -> Links:
    """Put a separate proxy between each control instance and each other one."""
    links: Links = {}
    for source in cluster.controls:
        path = cluster.nodes[source].settings
        settings = msgspec.toml.decode(path.read_bytes())
        for peer in settings["control"]["peers"]:
            target = peer["instance"]
            if target != source:
                proxy = FaultProxy(cluster.nodes[target].stream)
                sockets = bind_sockets(0, LOOPBACK)
                proxy.add_sockets(sockets)
                links[(source, target)] = proxy
                peer["address"] = f"{LOOPBACK}:{sockets[0].getsockname()[1]}"
        path.write_bytes(msgspec.toml.encode(settings))
    return links
