"""Usage of a real agent by the number of entries that are connected to it."""

from asyncio import create_task, sleep
from collections.abc import Callable, Mapping
from pathlib import Path

from jaylatch_standins.bench.capacity_process import Meter
from jaylatch_standins.cluster import OPERATOR_TOKEN, Cluster, ClusterPlan
from jaylatch_standins.deployment import (
    configuration_text,
    create_operator,
    hash_key,
    wait_for_groups,
)
from jaylatch_standins.wire import connect, ignore

INSTANCES_PER_GROUP = 4
MEASUREMENT_WINDOW = 10.0
SETTLE_TIME = 2.0
"""Seconds."""

Emit = Callable[[str, str, Mapping[str, float], Mapping[str, float]], None]


async def measure_entries(folder: Path, entries: int, emit: Emit) -> None:
    """Emit the usage of the head's agent and another member's agent without requests."""
    plan = ClusterPlan(controls=1, entries=1, domains=1, engines=INSTANCES_PER_GROUP + 1)
    text = configuration_text(INSTANCES_PER_GROUP)
    cluster = Cluster(folder, plan, text, hash_key(OPERATOR_TOKEN))
    cluster.start()
    try:
        await wait_for_groups(cluster, 1)
        members = (await create_operator(cluster).get("status"))["groups"][0]["members"]
        roles = {"head agent": members[0], "member agent": members[1]}
        connections = [
            await connect(cluster.nodes[members[0]].stream, ignore) for _ in range(entries)
        ]
        readers = [create_task(connection.run()) for connection in connections]
        await sleep(SETTLE_TIME)
        meter = await Meter.start(cluster, roles)
        await sleep(MEASUREMENT_WINDOW)
        for role, usage in (await meter.read()).items():
            emit("entries", role, {"entries": 1 + entries}, usage)
        for reader in readers:
            reader.cancel()
    finally:
        cluster.stop()
