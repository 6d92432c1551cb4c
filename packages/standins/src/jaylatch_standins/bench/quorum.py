"""The control quorum: commits, the loss of its leader, restarts, and what it costs at rest."""

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
LEADER_LOSSES = 5
CHANGES = 1000
REST_SECONDS = 10.0
SETTLE_SECONDS = 3.0
SHARDS = (1, 4, 16)
ORDERS = 400
ORDERS_AT_ONCE = 40
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
KIBIBYTE = 1024
PAGE_KIBIBYTES = os.sysconf("SC_PAGE_SIZE") / KIBIBYTE
TARGET_ACCEPTING_GAP_SECONDS = 2.0
TARGET_RESTART_SECONDS = 1.0
TARGET_CORE_SHARE = 0.01
TARGET_KIBIBYTES_PER_SECOND = 4.0
TARGET_MEBIBYTES = 48.0


class Benchmark(BaseBenchmark):
    """Measures real processes with disks of their own folder."""

    help = "commits, leader loss, restart and idle cost of the control quorum"

    def handle(self, options: Namespace) -> None:
        """Emit all figures."""
        for measure in (_measure_changes, _measure_leader_loss, _measure_orders):
            with TemporaryDirectory() as folder:
                for figure in run(measure(Path(folder))):
                    self.emit(figure)
        for shards in SHARDS:
            with TemporaryDirectory() as folder:
                for figure in run(_measure_rest(Path(folder), shards)):
                    self.emit(figure)


async def _measure_changes(folder: Path) -> list[Figure]:
    """Measure the latency of changes, one at a time, then a restart of all control processes."""
    cluster, _ = start_quorum(folder, _plan(), has_proxies=False)
    try:
        await wait_for_configuration(cluster)
        history = ConfigurationHistory(cluster)
        times = []
        for _ in range(CHANGES):
            started_at = perf_counter()
            await history.change()
            times.append(perf_counter() - started_at)
        restart = await _restart_all(cluster, history)
        wrong = len(history.violations)
    finally:
        cluster.stop()
    labels: dict[str, str | int | float] = {"changes": CHANGES}
    return [
        Figure(NAME, "change_p50", percentile(times, 0.5) * 1000, "ms", None, labels),
        Figure(NAME, "change_p99", percentile(times, 0.99) * 1000, "ms", None, labels),
        Figure(NAME, "restart_until_confirmed_read", restart, "s", TARGET_RESTART_SECONDS, labels),
        Figure(NAME, "wrong_after_restart", wrong, "changes", 0, labels),
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
    """Kill the leader repeatedly; the slowest change tells how long none was accepted."""
    cluster, _ = start_quorum(folder, _plan(), has_proxies=False)
    gaps = []
    try:
        await wait_for_configuration(cluster)
        history = ConfigurationHistory(cluster)
        for _ in range(LEADER_LOSSES):
            await sleep(SETTLE_SECONDS)
            leader = (await create_operator(cluster).get("status"))["leader"]
            started_at = monotonic()
            cluster.kill(leader)
            await history.change()
            gaps.append(monotonic() - started_at)
            cluster.start_node(leader)
    finally:
        cluster.stop()
    target = TARGET_ACCEPTING_GAP_SECONDS
    labels: dict[str, str | int | float] = {"losses": LEADER_LOSSES}
    return [
        Figure(NAME, "no_change_accepted_p50", percentile(gaps, 0.5), "s", target, labels),
        Figure(NAME, "no_change_accepted_longest", max(gaps), "s", target, labels),
    ]


async def _measure_orders(folder: Path) -> list[Figure]:
    """Measure orders at once: each is several commits, which share syncs of the disk."""
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
        numbers = list(range(ORDERS))
        for first in range(0, ORDERS, ORDERS_AT_ONCE):
            batch = numbers[first : first + ORDERS_AT_ONCE]
            await gather(*(caller.order(SERVICE, "orders", f"o{n}", f"k{n}") for n in batch))
        rate = ORDERS / (perf_counter() - started_at)
    finally:
        cluster.stop()
    return [Figure(NAME, "journaled_orders", rate, "orders/s", None, {"at_once": ORDERS_AT_ONCE})]


async def _measure_rest(folder: Path, shards: int) -> list[Figure]:
    """Measure CPU, memory and bytes of each control process while nothing happens."""
    cluster, links = start_quorum(folder, _plan(), has_proxies=True, journal_shards=shards)
    try:
        await wait_for_configuration(cluster)
        await sleep(SETTLE_SECONDS)
        pids = {name: cluster.processes[name].pid for name in cluster.controls}
        before = {name: _usage(pid) for name, pid in pids.items()}
        passed_before = {pair: proxy.bytes_forwarded for pair, proxy in links.items()}
        await sleep(REST_SECONDS)
        after = {name: _usage(pid) for name, pid in pids.items()}
        passed = {pair: links[pair].bytes_forwarded - passed_before[pair] for pair in links}
    finally:
        cluster.stop()
    cpu = max((after[name][0] - before[name][0]) / REST_SECONDS for name in pids)
    memory = max(item[1] for item in after.values())
    sums = [sum(size for pair, size in passed.items() if name in pair) for name in pids]
    rate = max(sums) / REST_SECONDS / KIBIBYTE
    labels: dict[str, str | int | float] = {"journal_shards": shards}
    return [
        Figure(NAME, "rest_cpu_most", cpu, "cores", TARGET_CORE_SHARE, labels),
        Figure(NAME, "rest_memory_most", memory, "MiB", TARGET_MEBIBYTES, labels),
        Figure(
            NAME, "rest_bytes_both_ways_most", rate, "KiB/s", TARGET_KIBIBYTES_PER_SECOND, labels
        ),
    ]


def _plan() -> ClusterPlan:
    return ClusterPlan(controls=3, entries=1, domains=1, engines=0)


def _usage(pid: int) -> tuple[float, float]:
    """Return the CPU seconds and the resident MiB of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    cpu = (int(fields[11]) + int(fields[12])) / CLOCK_TICKS
    return cpu, int(fields[21]) * PAGE_KIBIBYTES / KIBIBYTE
