"""The control plane: a change in force, a member's loss, and what a process costs at rest."""

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
CHANGES = 30
WAIT = 60.0
REST_TIME = 10.0
SETTLING_TIME = 5.0
LOAD_TIME = 0.5
"""Seconds that a stand-in engine takes to load."""
CHANGE_TARGET = 1.0
STOP_TARGET = 1.5
SERVE_TARGET = 2.0
CORE_SHARE_TARGET = 1.0
MEMORY_TARGET = 48.0
SIZES = (15, 30, 60)


class Benchmark(BaseBenchmark):
    """Measures with real processes; the sizes are numbers of jaylatch processes."""

    help = "change in force, time to stop and to serve again after a loss, cost at rest"

    def handle(self, options: Namespace) -> None:
        """Emit the figures."""
        for size in SIZES:
            with TemporaryDirectory() as folder:
                for figure in run(_measure_changes(Path(folder), size)):
                    self.emit(figure)
        with TemporaryDirectory() as folder:
            for figure in run(_measure_losses(Path(folder))):
                self.emit(figure)


async def _measure_changes(folder: Path, size: int) -> list[Figure]:
    plan = ClusterPlan(controls=3, entries=3, domains=3, engines=(size - 6) // 3)
    cluster = Cluster(folder, plan, configuration_text(), hash_key(OPERATOR_TOKEN))
    operator = create_operator(cluster)
    # Only the daemons: the stand-in engines would take the memory that the size needs.
    for name in cluster.nodes:
        cluster.start_node(name)
    try:
        await _wait_for_nodes(operator, size - plan.controls)
        await sleep(SETTLING_TIME)
        leader = (await operator.get("status"))["leader"]
        names = {"control leader": leader, "entry": "entry-1"}
        costs = await _costs_at_rest(cluster, size, names)
        times = [await _time_change(operator, number) for number in range(CHANGES)]
    finally:
        cluster.stop()
    labels: dict[str, str | int | float] = {"processes": size, "changes": CHANGES}
    quantiles = [
        Figure(
            NAME, f"change_in_force_{name}", percentile(times, share), "s", CHANGE_TARGET, labels
        )
        for name, share in (("p50", 0.5), ("p99", 0.99))
    ]
    return quantiles + costs


async def _time_change(operator: Operator, number: int) -> float:
    """Apply a configuration; returns the seconds until every lease holder acts under it."""
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

    await wait_until(are_known, WAIT, f"{number} lease holders")


async def _costs_at_rest(cluster: Cluster, size: int, names: dict[str, str]) -> list[Figure]:
    costs = {role: ProcessCost(cluster.processes[name].pid) for role, name in names.items()}
    await sleep(REST_TIME)
    figures = []
    for role, cost in costs.items():
        labels: dict[str, str | int | float] = {"processes": size, "role": role}
        share, memory = 100 * cost.core_share(), cost.memory()
        figures.append(Figure(NAME, "core_at_rest", share, "%", CORE_SHARE_TARGET, labels))
        figures.append(Figure(NAME, "memory_at_rest", memory, "MB", MEMORY_TARGET, labels))
    return figures


async def _measure_losses(folder: Path) -> list[Figure]:
    plan = ClusterPlan(controls=1, domains=1, engines=4, engine_options=("--ledger-tokens",))
    cluster = Cluster(folder, plan, configuration_text(), hash_key(OPERATOR_TOKEN))
    cluster.start()
    try:
        await wait_for_groups(cluster, 1, WAIT)
        domain = DomainFaults(cluster, "domain-1", {})
        await sleep(SETTLING_TIME)
        costs = await _costs_at_rest(cluster, len(cluster.nodes), {"agent": "engine-1-1"})
        load = SteadyLoad(cluster.entries, callers=4, tokens=40)
        load.start()
        await sleep(SETTLING_TIME)
        group = await domain.wait_for_group()
        lost_at = time()
        domain.kill_instance(group["members"][1])
        await _wait_for_token(cluster, group["epoch"])
        await load.stop()
    finally:
        cluster.stop()
    lines = [line for line in read_ledger(cluster.ledger) if line.what == "token"]
    last_old = max(line.at for line in lines if int(line.detail.split()[1]) == group["epoch"])
    first_new = min(line.at for line in lines if int(line.detail.split()[1]) > group["epoch"])
    serve_target = SERVE_TARGET + LOAD_TIME
    return [
        *costs,
        Figure(NAME, "stop_after_loss", max(last_old - lost_at, 0.0), "s", STOP_TARGET),
        Figure(NAME, "serve_again_after_loss", first_new - lost_at, "s", serve_target),
    ]


async def _wait_for_token(cluster: Cluster, after_epoch: int) -> None:
    async def has_token() -> bool:
        return any(
            line.what == "token" and int(line.detail.split()[1]) > after_epoch
            for line in read_ledger(cluster.ledger)
        )

    await wait_until(has_token, WAIT, f"a token under an epoch above {after_epoch}")
