"""Time to the first token through an entry."""

from argparse import Namespace
from asyncio import run
from pathlib import Path
from tempfile import TemporaryDirectory

from jaylatch_standins.bench.base import Benchmark as BaseBenchmark
from jaylatch_standins.bench.base import Figure, percentile
from jaylatch_standins.caller import Caller
from jaylatch_standins.cluster import OPERATOR_TOKEN, Cluster, ClusterPlan
from jaylatch_standins.deployment import (
    ACCOUNT_KEYS,
    MODEL,
    configuration_text,
    hash_key,
    wait_for_groups,
)

REQUEST_COUNT = 100
TOKENS_PER_ANSWER = 20
PERCENTILES = {"p50": 0.5, "p95": 0.95, "p99": 0.99}


class Benchmark(BaseBenchmark):
    """Measures sequential requests without other load."""

    help = "time to the first token through an entry"

    def handle(self, options: Namespace) -> None:
        """Emit the percentiles in milliseconds."""
        with TemporaryDirectory() as folder:
            for name, value in run(_measure(Path(folder))).items():
                self.emit(Figure("first_token", name, value * 1000, "ms"))


async def _measure(folder: Path) -> dict[str, float]:
    plan = ClusterPlan(controls=1, entries=1, domains=1)
    cluster = Cluster(folder, plan, configuration_text(), hash_key(OPERATOR_TOKEN))
    cluster.start()
    try:
        await wait_for_groups(cluster, 1)
        caller = Caller(cluster.entries[0], ACCOUNT_KEYS["skarvik"])
        times = []
        for number in range(REQUEST_COUNT):
            outcome = await caller.complete(
                MODEL, f"prompt {number}", TOKENS_PER_ANSWER, is_streamed=True
            )
            times.append(outcome.first_token)
    finally:
        cluster.stop()
    return {name: percentile(times, fraction) for name, fraction in PERCENTILES.items()}
