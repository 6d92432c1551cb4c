"""Behaviour of an entry that is partitioned from control: missed answers against staleness.

With a short lease, the entry soon refuses requests; with a lease that outlasts the partition, it
serves under a stale configuration.
"""

from argparse import Namespace
from asyncio import run, sleep
from pathlib import Path
from tempfile import TemporaryDirectory
from time import monotonic

from jaylatch_standins.bench.base import Benchmark as BaseBenchmark
from jaylatch_standins.bench.base import Figure
from jaylatch_standins.caller import Caller
from jaylatch_standins.cluster import OPERATOR_TOKEN, Cluster, ClusterPlan
from jaylatch_standins.deployment import (
    ACCOUNT_KEYS,
    MODEL,
    configuration_text,
    create_operator,
    hash_key,
    wait_for_groups,
)
from jaylatch_standins.domain_faults import put_proxies_before_control

NAME = "cut_off"
PARTITION_TIME = 15.0
CALL_INTERVAL = 0.1
"""Seconds."""
TOKENS_PER_ANSWER = 5
LEASE_DURATIONS = {"refuse after the lease": 4.0, "serve stale": 60.0}
"""Seconds of the lease in each mode."""


class Benchmark(BaseBenchmark):
    """Partitions one entry from control while a configuration is applied through the other."""

    help = "missed answers and staleness of an entry that is partitioned from control"

    def handle(self, options: Namespace) -> None:
        """Emit the figures of each mode."""
        for mode, lease_duration in LEASE_DURATIONS.items():
            with TemporaryDirectory() as folder:
                for name, value, unit in run(_measure(Path(folder), lease_duration)):
                    labels: dict[str, str | int | float] = {"way": mode, "cut": PARTITION_TIME}
                    self.emit(Figure(NAME, name, value, unit, labels=labels))


async def _measure(folder: Path, lease_duration: float) -> list[tuple[str, float, str]]:
    plan = ClusterPlan(controls=1, domains=1)
    cluster = Cluster(folder, plan, configuration_text(), hash_key(OPERATOR_TOKEN))
    for node in cluster.nodes.values():
        with node.edited_settings() as settings:
            settings["lease"] = {"duration": lease_duration}
    proxies = put_proxies_before_control(cluster, "entry-2")
    cluster.start()
    try:
        await wait_for_groups(cluster, 1, 2 * lease_duration + PARTITION_TIME)
        for proxy in proxies:
            proxy.blocks_forward = proxy.blocks_backward = True
        return await _call_during_partition(cluster)
    finally:
        cluster.stop()


async def _call_during_partition(cluster: Cluster) -> list[tuple[str, float, str]]:
    operator = create_operator(cluster)
    status = await operator.get("status")
    headers = {"X-Expected-Generation": str(status["generation"])}
    document = configuration_text() + "[peak]\nqueue_limit = 7\n"
    await operator.put("configuration", document.encode(), headers)
    caller = Caller(cluster.entries[1], ACCOUNT_KEYS["skarvik"])
    started_at = monotonic()
    calls, missed, stale_for, in_force_after = 0, 0, 0.0, PARTITION_TIME
    while (elapsed := monotonic() - started_at) < PARTITION_TIME:
        outcome = await caller.complete(
            MODEL, f"prompt {calls}", TOKENS_PER_ANSWER, is_streamed=False
        )
        calls += 1
        missed += not outcome.is_complete
        stale_for = elapsed if outcome.is_complete else stale_for
        status = await operator.get("status")
        is_in_force = status["knows_all_holders"] and not status["not_in_force"]
        in_force_after = min(in_force_after, elapsed) if is_in_force else in_force_after
        await sleep(CALL_INTERVAL)
    return [
        ("missed_answers", 100 * missed / calls, "%"),
        ("answered_under_old_configuration", stale_for, "s"),
        ("change_in_force_everywhere", in_force_after, "s"),
    ]
