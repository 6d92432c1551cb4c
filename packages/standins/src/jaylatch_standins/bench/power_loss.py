"""Return after all control and entry processes lost power: the parts of the time to a request."""

import json
from argparse import Namespace
from asyncio import run, sleep, timeout
from datetime import datetime
from pathlib import Path
from tempfile import TemporaryDirectory
from time import time
from uuid import uuid4

from jaylatch_standins.bench.base import Benchmark as BaseBenchmark
from jaylatch_standins.bench.base import Figure, percentile
from jaylatch_standins.caller import Caller
from jaylatch_standins.cluster import Cluster, ClusterPlan
from jaylatch_standins.deployment import ACCOUNT_KEYS, SERVICE
from jaylatch_standins.quorum import start_quorum, wait_for_configuration

NAME = "power_loss"
LOSSES = 6
SETTLE_SECONDS = 3.0
RETRY_SECONDS = 0.01
WAIT_TIMEOUT = 60.0
SERVED_OBJECTIVE_SECONDS = 1.2
LOG_TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"


class Benchmark(BaseBenchmark):
    """Kills and restarts real processes; the targets and their agents go on."""

    help = "time from a loss of power to the first request, by its parts"

    def handle(self, options: Namespace) -> None:
        """Emit all figures."""
        for controls in (3, 5):
            with TemporaryDirectory() as folder:
                parts = run(_measure(Path(folder), controls))
            labels: dict[str, str | int | float] = {"controls": controls, "losses": LOSSES}
            for name, values in parts.items():
                objective = SERVED_OBJECTIVE_SECONDS if name == "quorum_to_served" else None
                for label, fraction in (("p50", 0.5), ("longest", 1.0)):
                    value = percentile(values, fraction)
                    self.emit(Figure(NAME, f"{name}_{label}", value, "s", objective, labels))


async def _measure(folder: Path, controls: int) -> dict[str, list[float]]:
    plan = ClusterPlan(controls=controls, entries=1, domains=1, engines=0, services={SERVICE: 1})
    cluster, _ = start_quorum(folder, plan, has_proxies=False)
    parts: dict[str, list[float]] = {}
    try:
        await wait_for_configuration(cluster)
        _log_events(cluster)
        await _serve(cluster)
        for _ in range(LOSSES):
            for name, seconds in (await _lose_power(cluster)).items():
                parts.setdefault(name, []).append(seconds)
    finally:
        cluster.stop()
    return parts


def _log_events(cluster: Cluster) -> None:
    """Let the processes write the time line to their logs from their next start on."""
    for node in cluster.nodes.values():
        with node.edited_settings() as settings:
            settings["log"] = {"events": True}


async def _lose_power(cluster: Cluster) -> dict[str, float]:
    """Restart the processes; return the parts of the time until an order is served."""
    names = [name for name in cluster.nodes if name.startswith(("control", "entry"))]
    for name in names:
        cluster.kill(name)
    read_from = {name: _log(cluster, name).stat().st_size for name in names}
    restarted_at = time()
    for name in names:
        cluster.start_node(name)
    await _serve(cluster)
    served_at = time()
    # A process that was not needed may start after that.
    await sleep(SETTLE_SECONDS)
    events = {name: _events(_log(cluster, name), read_from[name]) for name in names}
    starts = sorted(events[name]["process.started"] for name in cluster.controls)
    quorum_at = starts[len(starts) // 2]
    leases = {name: items["lease.held"] for name, items in events.items() if "lease.held" in items}
    entry = next(name for name in names if name.startswith("entry"))
    first_lease_at = min(leases.values())
    return {
        "restart_to_quorum": quorum_at - restarted_at,
        "quorum_to_all": starts[-1] - quorum_at,
        "quorum_to_first_lease": first_lease_at - quorum_at,
        "first_lease_to_entry_lease": leases[entry] - first_lease_at,
        "entry_lease_to_served": served_at - leases[entry],
        "quorum_to_served": served_at - quorum_at,
    }


async def _serve(cluster: Cluster) -> None:
    """Send an order until it is answered. Its key makes a repetition harmless."""
    order = uuid4().hex
    caller = Caller(cluster.entries[0], ACCOUNT_KEYS["skarvik"])
    async with timeout(WAIT_TIMEOUT):
        while not (await caller.order(SERVICE, "orders", order, order)).is_complete:
            await sleep(RETRY_SECONDS)


def _log(cluster: Cluster, name: str) -> Path:
    return cluster.folder / f"{name}.log"


def _events(path: Path, offset: int) -> dict[str, float]:
    """Return the wall-clock time of the first event of each name after ``offset``."""
    found: dict[str, float] = {}
    for line in path.read_bytes()[offset:].decode(errors="replace").splitlines():
        if line.startswith("{"):
            record = json.loads(line)
            at = datetime.strptime(record["asctime"], LOG_TIME_FORMAT).timestamp()
            if "event" in record:
                found.setdefault(record["event"], at)
    return found
