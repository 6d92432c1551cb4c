"""Usage of control instances and an entry by number of agents and rate of changes."""

import sys
from asyncio import create_task, sleep
from collections.abc import Callable, Mapping
from pathlib import Path
from time import monotonic

from jaylatch_standins.bench.capacity_process import Meter, control_roles
from jaylatch_standins.cluster import OPERATOR_TOKEN, Cluster, ClusterPlan
from jaylatch_standins.deployment import (
    configuration_text,
    create_operator,
    hash_key,
    wait_for_groups,
    wait_until,
)

INSTANCES_PER_GROUP = 4
DOMAIN_COUNT = 8
AGENTS_PER_PROCESS = 80
MEASUREMENT_WINDOW = 10.0
SETTLE_TIME = 3.0
FORMATION_TIMEOUT = 120.0
"""Seconds."""
REQUIRED_GROUP_SHARE = 0.9
"""On a busy machine some groups are always in repair."""
AGENTS_FOR_CHANGES = 80
IN_FORCE_TIMEOUT = 18.0
"""Seconds."""

Emit = Callable[[str, str, Mapping[str, float], Mapping[str, float]], None]


async def measure_agents(folder: Path, agents: int, emit: Emit) -> None:
    """Emit the usage of control instances and an entry while the configuration is unchanged.

    Also emits the seconds until the groups formed, and until a change was in force.
    """
    cluster, groups, seconds = await _start_cluster(folder, agents)
    try:
        sizes = {"agents": agents, "groups": groups, "entries": 1}
        meter = await Meter.start(cluster, await control_roles(cluster))
        await sleep(MEASUREMENT_WINDOW)
        for role, usage in (await meter.read()).items():
            emit("agents", role, sizes, usage)
        emit("agents", "all", sizes, {"seconds_to_form": seconds})
        seconds = await _measure_change_time(cluster, 1)
        emit("agents", "all", sizes, {"seconds_to_force": seconds})
    finally:
        cluster.stop()


async def measure_changes(folder: Path, rate: float, emit: Emit) -> None:
    """Emit the usage of control instances and an entry at ``rate`` changes per second."""
    cluster, groups, _ = await _start_cluster(folder, AGENTS_FOR_CHANGES)
    try:
        sizes = {"agents": AGENTS_FOR_CHANGES, "groups": groups, "entries": 1, "changes": rate}
        meter = await Meter.start(cluster, await control_roles(cluster))
        changing = create_task(_apply_changes_forever(cluster, rate)) if rate else None
        await sleep(MEASUREMENT_WINDOW)
        for role, usage in (await meter.read()).items():
            emit("changes", role, sizes, usage)
        if changing is not None:
            changing.cancel()
    finally:
        cluster.stop()


async def _start_cluster(folder: Path, agents: int) -> tuple[Cluster, int, float]:
    """Start a deployment whose agents are stand-ins.

    Returns it, the number of its groups, and the seconds until the required share of them served.
    """
    plan = ClusterPlan(controls=3, entries=1, domains=1, engines=0)
    text = configuration_text(INSTANCES_PER_GROUP)
    cluster = Cluster(folder, plan, text, hash_key(OPERATOR_TOKEN))
    cluster.start()
    streams = [cluster.nodes[name].stream for name in cluster.controls]
    for first in range(0, agents, AGENTS_PER_PROCESS):
        command = [sys.executable, "-m", "jaylatch_standins.agents", "--control", *streams]
        command += ["--first", str(first), "--count", str(min(AGENTS_PER_PROCESS, agents - first))]
        cluster.start_process(f"agents-{first}", [*command, "--domains", str(DOMAIN_COUNT)])
    groups = DOMAIN_COUNT * ((agents // DOMAIN_COUNT - 1) // INSTANCES_PER_GROUP)
    try:
        formation_time = await wait_for_groups(
            cluster, int(groups * REQUIRED_GROUP_SHARE), FORMATION_TIMEOUT
        )
        await sleep(SETTLE_TIME)
        formed_groups = len((await create_operator(cluster).get("status"))["groups"])
    except BaseException:
        cluster.stop()
        raise
    return cluster, formed_groups, formation_time


async def _measure_change_time(cluster: Cluster, number: int) -> float:
    """Change the configuration and return the seconds until it is in force everywhere."""
    operator = create_operator(cluster)
    started_at = monotonic()
    generation = await _apply_change(cluster, number)

    async def is_in_force() -> bool:
        status = await operator.get("status")
        return bool(status and status["generation"] >= generation and not status["not_in_force"])

    await wait_until(is_in_force, IN_FORCE_TIMEOUT, "the change is in force")
    return monotonic() - started_at


async def _apply_change(cluster: Cluster, number: int) -> int:
    operator = create_operator(cluster)
    status = await operator.get("status")
    text = configuration_text(INSTANCES_PER_GROUP) + f"[weights]\ngroup_downtime = {number + 1}.0\n"
    headers = {"X-Expected-Generation": str(status["generation"])}
    answer = await operator.put("configuration", text.encode(), headers)
    return int(answer["generation"])


async def _apply_changes_forever(cluster: Cluster, rate: float) -> None:
    number = 0
    while True:
        number += 1
        await _apply_change(cluster, number)
        await sleep(1 / rate)
