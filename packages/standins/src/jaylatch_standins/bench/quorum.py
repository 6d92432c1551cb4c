"""Control quorum: commit latency, loss of the leader, restart, order rate and idle cost."""

import os
from argparse import Namespace
from asyncio import gather, run, sleep
from pathlib import Path
from tempfile import TemporaryDirectory
from time import monotonic, perf_counter

from jaylatch_standins.bench.base import Benchmark as BaseBenchmark
from jaylatch_standins.bench.base import Figure, percentile
from jaylatch_standins.caller import Caller
from jaylatch_standins.cluster import Cluster, ClusterPlan
from jaylatch_standins.deployment import ACCOUNT_KEYS, SERVICE, create_operator, wait_until
from jaylatch_standins.quorum import ConfigurationHistory, start_quorum, wait_for_configuration

NAME = "quorum"
LEADER_LOSS_COUNT = 5
CHANGE_COUNT = 1000
IDLE_SECONDS = 10.0
SETTLE_SECONDS = 3.0
SHARD_COUNTS = (1, 4, 16)
ORDER_COUNT = 400
CONCURRENT_ORDERS = 40
CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
KIBIBYTE = 1024
PAGE_KIBIBYTES = os.sysconf("SC_PAGE_SIZE") / KIBIBYTE
ACCEPTING_GAP_OBJECTIVE_SECONDS = 2.0
RESTART_OBJECTIVE_SECONDS = 1.0
CORE_SHARE_OBJECTIVE = 0.01
TRAFFIC_OBJECTIVE_KIBIBYTES_PER_SECOND = 4.0
MEMORY_OBJECTIVE_MEBIBYTES = 48.0


class Benchmark(BaseBenchmark):
    """Measures real processes that store their data in a temporary folder."""

    help = "commit latency, leader loss, restart, order rate and idle cost of the control quorum"

    def handle(self, options: Namespace) -> None:
        """Emit all figures."""
        for measure in (_measure_changes, _measure_leader_loss, _measure_orders):
            with TemporaryDirectory() as folder:
                for figure in run(measure(Path(folder))):
                    self.emit(figure)
        for shards in SHARD_COUNTS:
            with TemporaryDirectory() as folder:
                for figure in run(_measure_idle_usage(Path(folder), shards)):
                    self.emit(figure)


async def _measure_changes(folder: Path) -> list[Figure]:
    """Measure the latency of sequential changes, then the restart of all control processes."""
    cluster, _ = start_quorum(folder, _plan(), has_proxies=False)
    try:
        await wait_for_configuration(cluster)
        history = ConfigurationHistory(cluster)
        times = []
        for _ in range(CHANGE_COUNT):
            started_at = perf_counter()
            await history.change()
            times.append(perf_counter() - started_at)
        restart_time = await _restart_all(cluster, history)
        violations = len(history.violations)
    finally:
        cluster.stop()
    labels: dict[str, str | int | float] = {"changes": CHANGE_COUNT}
    return [
        Figure(NAME, "change_p50", percentile(times, 0.5) * 1000, "ms", None, labels),
        Figure(NAME, "change_p99", percentile(times, 0.99) * 1000, "ms", None, labels),
        Figure(
            NAME,
            "restart_until_confirmed_read",
            restart_time,
            "s",
            RESTART_OBJECTIVE_SECONDS,
            labels,
        ),
        Figure(NAME, "wrong_after_restart", violations, "changes", 0, labels),
    ]


async def _restart_all(cluster: Cluster, history: ConfigurationHistory) -> float:
    for name in cluster.controls:
        cluster.kill(name)
    started_at = monotonic()
    for name in cluster.controls:
        cluster.start_node(name)
    await history.check_final()
    return monotonic() - started_at


async def _measure_leader_loss(folder: Path) -> list[Figure]:
    """Kill the leader repeatedly and measure the time until a change is accepted again."""
    cluster, _ = start_quorum(folder, _plan(), has_proxies=False)
    gaps = []
    try:
        await wait_for_configuration(cluster)
        history = ConfigurationHistory(cluster)
        for _ in range(LEADER_LOSS_COUNT):
            await sleep(SETTLE_SECONDS)
            leader = (await create_operator(cluster).get("status"))["leader"]
            started_at = monotonic()
            cluster.kill(leader)
            await history.change()
            gaps.append(monotonic() - started_at)
            cluster.start_node(leader)
    finally:
        cluster.stop()
    objective = ACCEPTING_GAP_OBJECTIVE_SECONDS
    labels: dict[str, str | int | float] = {"losses": LEADER_LOSS_COUNT}
    return [
        Figure(NAME, "no_change_accepted_p50", percentile(gaps, 0.5), "s", objective, labels),
        Figure(NAME, "no_change_accepted_longest", max(gaps), "s", objective, labels),
    ]


async def _measure_orders(folder: Path) -> list[Figure]:
    """Measure the rate of concurrent orders: each takes several commits, which share disk syncs."""
    plan = _plan()
    plan.services = {SERVICE: 1}
    cluster, _ = start_quorum(folder, plan, has_proxies=False)
    try:
        await wait_for_configuration(cluster)
        caller = Caller(cluster.entries[0], ACCOUNT_KEYS["skarvik"])

        async def is_served() -> bool:
            return (await caller.order(SERVICE, "orders", "first", "first")).is_complete

        await wait_until(is_served, 60.0, "the service answers")
        started_at = perf_counter()
        numbers = list(range(ORDER_COUNT))
        for first in range(0, ORDER_COUNT, CONCURRENT_ORDERS):
            batch = numbers[first : first + CONCURRENT_ORDERS]
            await gather(*(caller.order(SERVICE, "orders", f"o{n}", f"k{n}") for n in batch))
        rate = ORDER_COUNT / (perf_counter() - started_at)
    finally:
        cluster.stop()
    return [
        Figure(NAME, "journaled_orders", rate, "orders/s", None, {"at_once": CONCURRENT_ORDERS})
    ]


async def _measure_idle_usage(folder: Path, shards: int) -> list[Figure]:
    """Measure the CPU usage, memory and traffic of the control processes without requests."""
    cluster, links = start_quorum(folder, _plan(), has_proxies=True, journal_shards=shards)
    try:
        await wait_for_configuration(cluster)
        await sleep(SETTLE_SECONDS)
        pids = {name: cluster.processes[name].pid for name in cluster.controls}
        usage_before = {name: _read_usage(pid) for name, pid in pids.items()}
        forwarded_before = {pair: proxy.bytes_forwarded for pair, proxy in links.items()}
        await sleep(IDLE_SECONDS)
        usage_after = {name: _read_usage(pid) for name, pid in pids.items()}
        forwarded = {pair: links[pair].bytes_forwarded - forwarded_before[pair] for pair in links}
    finally:
        cluster.stop()
    cpu = max((usage_after[name][0] - usage_before[name][0]) / IDLE_SECONDS for name in pids)
    memory = max(item[1] for item in usage_after.values())
    bytes_per_instance = [
        sum(size for pair, size in forwarded.items() if name in pair) for name in pids
    ]
    rate = max(bytes_per_instance) / IDLE_SECONDS / KIBIBYTE
    labels: dict[str, str | int | float] = {"journal_shards": shards}
    return [
        Figure(NAME, "rest_cpu_most", cpu, "cores", CORE_SHARE_OBJECTIVE, labels),
        Figure(NAME, "rest_memory_most", memory, "MiB", MEMORY_OBJECTIVE_MEBIBYTES, labels),
        Figure(
            NAME,
            "rest_bytes_both_ways_most",
            rate,
            "KiB/s",
            TRAFFIC_OBJECTIVE_KIBIBYTES_PER_SECOND,
            labels,
        ),
    ]


def _plan() -> ClusterPlan:
    return ClusterPlan(controls=3, entries=1, domains=1, engines=0)


def _read_usage(pid: int) -> tuple[float, float]:
    """Return the CPU time in seconds and the resident memory in MiB of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    cpu = (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_SECOND
    return cpu, int(fields[21]) * PAGE_KIBIBYTES / KIBIBYTE
