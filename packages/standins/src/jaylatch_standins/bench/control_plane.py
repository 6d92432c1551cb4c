"""Control plane: time until a change is in force, loss of a member, and idle cost."""

from argparse import Namespace
from asyncio import run, sleep
from pathlib import Path
from tempfile import TemporaryDirectory
from time import monotonic, time

from jaylatch_standins.bench.base import Benchmark as BaseBenchmark
from jaylatch_standins.bench.base import Figure, percentile
from jaylatch_standins.caller import Operator
from jaylatch_standins.cluster import OPERATOR_TOKEN, Cluster, ClusterPlan
from jaylatch_standins.deployment import (
    configuration_text,
    create_operator,
    hash_key,
    wait_for_groups,
    wait_until,
)
from jaylatch_standins.domain_faults import DomainFaults
from jaylatch_standins.ledger import read_ledger
from jaylatch_standins.process_cost import ProcessCost
from jaylatch_standins.steady_load import SteadyLoad

NAME = "control_plane"
CHANGE_COUNT = 30
WAIT_TIMEOUT = 60.0
IDLE_TIME = 10.0
SETTLE_TIME = 5.0
"""Seconds."""
LOAD_TIME = 0.5
"""Seconds that a stand-in engine takes to load."""
IN_FORCE_OBJECTIVE = 1.0
STOP_OBJECTIVE = 1.5
SERVE_AGAIN_OBJECTIVE = 2.0
"""Seconds; the load time of an engine is added to the last one."""
CORE_PERCENT_OBJECTIVE = 1.0
MEMORY_OBJECTIVE = 48.0
"""MiB."""
PROCESS_COUNTS = (15, 30, 60)


class Benchmark(BaseBenchmark):
    """Measures deployments of real processes; their size is the number of jaylatch processes."""

    help = (
        "time until a change is in force, time to stop and to serve again after a loss, idle cost"
    )

    def handle(self, options: Namespace) -> None:
        """Emit the figures of each size, then those of the loss of a member."""
        for size in PROCESS_COUNTS:
            with TemporaryDirectory() as folder:
                for figure in run(_measure_changes(Path(folder), size)):
                    self.emit(figure)
        with TemporaryDirectory() as folder:
            for figure in run(_measure_member_loss(Path(folder))):
                self.emit(figure)


async def _measure_changes(folder: Path, size: int) -> list[Figure]:
    plan = ClusterPlan(controls=3, entries=3, domains=3, engines=(size - 6) // 3)
    cluster = Cluster(folder, plan, configuration_text(), hash_key(OPERATOR_TOKEN))
    operator = create_operator(cluster)
    # Starts only the daemons: the stand-in engines would use memory that the daemons need.
    for name in cluster.nodes:
        cluster.start_node(name)
    try:
        await _wait_for_nodes(operator, size - plan.controls)
        await sleep(SETTLE_TIME)
        leader = (await operator.get("status"))["leader"]
        roles = {"control leader": leader, "entry": "entry-1"}
        costs = await _measure_idle_costs(cluster, size, roles)
        times = [await _measure_change_time(operator, number) for number in range(CHANGE_COUNT)]
    finally:
        cluster.stop()
    labels: dict[str, str | int | float] = {"processes": size, "changes": CHANGE_COUNT}
    quantiles = [
        Figure(
            NAME,
            f"change_in_force_{name}",
            percentile(times, share),
            "s",
            IN_FORCE_OBJECTIVE,
            labels,
        )
        for name, share in (("p50", 0.5), ("p99", 0.99))
    ]
    return quantiles + costs


async def _measure_change_time(operator: Operator, number: int) -> float:
    """Apply a configuration and return the seconds until it is in force at all lease holders."""
    status = await operator.get("status")
    document = configuration_text() + f"[peak]\nqueue_limit = {number}\n"
    headers = {"X-Expected-Generation": str(status["generation"])}
    started_at = monotonic()
    answer = await operator.put("configuration", document.encode(), headers)
    generation = answer["generation"]
    while True:
        status = await operator.get("status")
        is_in_force = status["generation"] >= generation and not status["not_in_force"]
        if is_in_force and status["knows_all_holders"]:
            return monotonic() - started_at


async def _wait_for_nodes(operator: Operator, number: int) -> None:
    async def are_known() -> bool:
        status = await operator.get("status")
        return bool(status and "nodes" in status and len(status["nodes"]) >= number)

    await wait_until(are_known, WAIT_TIMEOUT, f"{number} lease holders")


async def _measure_idle_costs(cluster: Cluster, size: int, roles: dict[str, str]) -> list[Figure]:
    costs = {role: ProcessCost(cluster.processes[name].pid) for role, name in roles.items()}
    await sleep(IDLE_TIME)
    figures = []
    for role, cost in costs.items():
        labels: dict[str, str | int | float] = {"processes": size, "role": role}
        share, memory = 100 * cost.core_share(), cost.memory()
        figures.append(Figure(NAME, "core_at_rest", share, "%", CORE_PERCENT_OBJECTIVE, labels))
        figures.append(Figure(NAME, "memory_at_rest", memory, "MB", MEMORY_OBJECTIVE, labels))
    return figures


async def _measure_member_loss(folder: Path) -> list[Figure]:
    plan = ClusterPlan(controls=1, domains=1, engines=4, engine_options=("--ledger-tokens",))
    cluster = Cluster(folder, plan, configuration_text(), hash_key(OPERATOR_TOKEN))
    cluster.start()
    try:
        await wait_for_groups(cluster, 1, WAIT_TIMEOUT)
        domain = DomainFaults(cluster, "domain-1", {})
        await sleep(SETTLE_TIME)
        costs = await _measure_idle_costs(cluster, len(cluster.nodes), {"agent": "engine-1-1"})
        load = SteadyLoad(cluster.entries, callers=4, tokens=40)
        load.start()
        await sleep(SETTLE_TIME)
        group = await domain.wait_for_group()
        lost_at = time()
        domain.kill_instance(group["members"][1])
        await _wait_for_token(cluster, group["epoch"])
        await load.stop()
    finally:
        cluster.stop()
    lines = [line for line in read_ledger(cluster.ledger) if line.what == "token"]
    last_old_token_at = max(
        line.at for line in lines if int(line.detail.split()[1]) == group["epoch"]
    )
    first_new_token_at = min(
        line.at for line in lines if int(line.detail.split()[1]) > group["epoch"]
    )
    serve_again_objective = SERVE_AGAIN_OBJECTIVE + LOAD_TIME
    return [
        *costs,
        Figure(NAME, "stop_after_loss", max(last_old_token_at - lost_at, 0.0), "s", STOP_OBJECTIVE),
        Figure(
            NAME, "serve_again_after_loss", first_new_token_at - lost_at, "s", serve_again_objective
        ),
    ]


async def _wait_for_token(cluster: Cluster, after_epoch: int) -> None:
    async def has_token() -> bool:
        return any(
            line.what == "token" and int(line.detail.split()[1]) > after_epoch
            for line in read_ledger(cluster.ledger)
        )

    await wait_until(has_token, WAIT_TIMEOUT, f"a token under an epoch above {after_epoch}")
