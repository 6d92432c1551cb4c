"""Control instances and an entry against the number of agents and the rate of changes."""

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
DOMAINS = 8
AGENTS_PER_PROCESS = 80
WINDOW = 10.0
SETTLE_TIME = 3.0
FORMATION_TIMEOUT = 120.0
FORMED_SHARE = 0.9
AGENTS_FOR_CHANGES = 80
IN_FORCE_LIMIT = 18.0

Emit = Callable[[str, str, Mapping[str, float], Mapping[str, float]], None]


async def measure_agents(folder: Path, agents: int, emit: Emit) -> None:
    """Emit what the control instances and an entry use while nothing changes."""
    cluster, groups, seconds = await _start(folder, agents)
    try:
        sizes = {"agents": agents, "groups": groups, "entries": 1}
        meter = await Meter.start(cluster, await control_roles(cluster))
        await sleep(WINDOW)
        for role, usage in (await meter.read()).items():
            emit("agents", role, sizes, usage)
        emit("agents", "all", sizes, {"seconds_to_form": seconds})
        seconds = await _time_change(cluster, 1)
        emit("agents", "all", sizes, {"seconds_to_force": seconds})
    finally:
        cluster.stop()


async def measure_changes(folder: Path, rate: float, emit: Emit) -> None:
    """Emit the same while the configuration changes ``rate`` times a second."""
    cluster, groups, _ = await _start(folder, AGENTS_FOR_CHANGES)
    try:
        sizes = {"agents": AGENTS_FOR_CHANGES, "groups": groups, "entries": 1, "changes": rate}
        meter = await Meter.start(cluster, await control_roles(cluster))
        changing = create_task(_change_forever(cluster, rate)) if rate else None
        await sleep(WINDOW)
        for role, usage in (await meter.read()).items():
            emit("changes", role, sizes, usage)
        if changing is not None:
            changing.cancel()
    finally:
        cluster.stop()


async def _start(folder: Path, agents: int) -> tuple[Cluster, int, float]:
    """Start a deployment whose agents are stand-ins; returns it, its groups and the seconds.

    On a busy machine some groups are always in repair, so a share of them is enough.
    """
    plan = ClusterPlan(controls=3, entries=1, domains=1, engines=0)
    text = configuration_text(INSTANCES_PER_GROUP)
    cluster = Cluster(folder, plan, text, hash_key(OPERATOR_TOKEN))
    cluster.start()
    streams = [cluster.nodes[name].stream for name in cluster.controls]
    for first in range(0, agents, AGENTS_PER_PROCESS):
        command = [sys.executable, "-m", "jaylatch_standins.agents", "--control", *streams]
        command += ["--first", str(first), "--count", str(min(AGENTS_PER_PROCESS, agents - first))]
        cluster.start_process(f"agents-{first}", [*command, "--domains", str(DOMAINS)])
    groups = DOMAINS * ((agents // DOMAINS - 1) // INSTANCES_PER_GROUP)
    try:
        seconds = await wait_for_groups(cluster, int(groups * FORMED_SHARE), FORMATION_TIMEOUT)
        await sleep(SETTLE_TIME)
        formed = len((await create_operator(cluster).get("status"))["groups"])
    except BaseException:
        cluster.stop()
        raise
    return cluster, formed, seconds


async def _time_change(cluster: Cluster, number: int) -> float:
    """Change the configuration and return the seconds until every holder acts under it."""
    operator = create_operator(cluster)
    started_at = monotonic()
    generation = await _change(cluster, number)

    async def is_in_force() -> bool:
        status = await operator.get("status")
        return bool(status and status["generation"] >= generation and not status["not_in_force"])

    await wait_until(is_in_force, IN_FORCE_LIMIT, "the change is in force")
    return monotonic() - started_at


async def _change(cluster: Cluster, number: int) -> int:
    operator = create_operator(cluster)
    status = await operator.get("status")
    text = configuration_text(INSTANCES_PER_GROUP) + f"[weights]\ngroup_downtime = {number + 1}.0\n"
    headers = {"X-Expected-Generation": str(status["generation"])}
    answer = await operator.put("configuration", text.encode(), headers)
    return int(answer["generation"])


async def _change_forever(cluster: Cluster, rate: float) -> None:
    number = 0
    while True:
        number += 1
        await _change(cluster, number)
        await sleep(1 / rate)
