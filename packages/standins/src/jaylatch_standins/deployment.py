"""Example deployment of the demo and the tests: its configuration, and waits for its state."""

from asyncio import sleep
from collections.abc import Awaitable, Callable
from hashlib import sha256
from time import monotonic
from typing import Any

from jaylatch_standins.caller import Operator
from jaylatch_standins.cluster import OPERATOR_TOKEN, Cluster

MODEL = "assistant"
SERVICE = "orders"
ACCOUNT_KEYS = {"skarvik": "key-skarvik", "nammi": "key-nammi", "lakkris": "key-lakkris"}
POLL_INTERVAL = 0.05
"""Seconds between two checks of a condition."""


def hash_key(key: str) -> str:
    """Return the SHA-256 hash under which the configuration stores a key."""
    return sha256(key.encode()).hexdigest()


def configuration_text(instances_per_group: int = 2) -> str:
    """Return the configuration document of the example deployment."""
    accounts = "".join(
        f'[[accounts]]\nid = "{name}"\nkey_hashes = ["{hash_key(key)}"]\n'
        for name, key in ACCOUNT_KEYS.items()
    )
    return (
        f'[[models]]\nname = "{MODEL}"\ninstances_per_group = {instances_per_group}\n'
        f'[[services]]\nname = "{SERVICE}"\n{accounts}'
    )


def create_operator(cluster: Cluster) -> Operator:
    """Return an administration client of the first entry."""
    return Operator(cluster.entries[0], OPERATOR_TOKEN)


async def wait_until(
    condition: Callable[[], Awaitable[bool]], timeout: float, description: str
) -> float:
    """Poll until ``condition`` is true and return the elapsed seconds. Raises TimeoutError."""
    started_at = monotonic()
    while not await condition():
        if monotonic() - started_at > timeout:
            raise TimeoutError(f"timed out after {timeout} s waiting for: {description}")
        await sleep(POLL_INTERVAL)
    return monotonic() - started_at


def serving_groups(status: dict[str, Any]) -> list[str]:
    """Return the ids of the groups whose head reports serving under the group's epoch."""
    serving = {
        node["instance"]: node["member"]["epoch"]
        for node in status["nodes"]
        if node["member"] and node["member"]["is_serving"]
    }
    return [
        group["id"]
        for group in status["groups"]
        if serving.get(group["members"][0]) == group["epoch"]
    ]


async def read_status(cluster: Cluster, timeout: float = 60.0) -> dict[str, Any]:
    """Return the leader's status report, retrying while there is no leader."""
    operator = create_operator(cluster)
    found: dict[str, Any] = {}

    async def is_reported() -> bool:
        cluster.raise_if_ended()
        report = await operator.get("status")
        found.update(report if report and "leader" in report else {})
        return bool(found)

    await wait_until(is_reported, timeout, "a status report")
    return found


async def wait_for_groups(cluster: Cluster, number: int, timeout: float = 60.0) -> float:
    """Wait until at least ``number`` groups serve and return the elapsed seconds."""
    operator = create_operator(cluster)

    async def are_serving() -> bool:
        cluster.raise_if_ended()
        status = await operator.get("status")
        return bool(status and "groups" in status and len(serving_groups(status)) >= number)

    return await wait_until(are_serving, timeout, f"{number} serving groups")
