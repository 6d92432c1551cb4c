"""Weighted service under load and faults, compared with baselines on identical targets."""

from argparse import ArgumentParser, Namespace
from asyncio import create_task, gather, run, sleep
from dataclasses import dataclass
from pathlib import Path
from statistics import mean
from tempfile import TemporaryDirectory
from time import monotonic

from jaylatch_standins.bench.base import Benchmark as BaseBenchmark
from jaylatch_standins.bench.base import Figure, percentile
from jaylatch_standins.bench.policy_workload import (
    ACCOUNTS,
    KINDS,
    PREFILL_PER_CHARACTER,
    SLOTS_PER_ENGINE,
    SMALL_ACCOUNTS,
    TOKEN_TIME,
    WORKLOADS,
    Arrival,
    make_arrivals,
    offline_bound,
)
from jaylatch_standins.caller import Caller, CallerOutcome
from jaylatch_standins.cluster import OPERATOR_TOKEN, Cluster, ClusterPlan
from jaylatch_standins.deployment import MODEL, create_operator, hash_key, wait_for_groups

POLICIES = ("adaptive", "no_admission", "round_robin", "least_loaded")
FAULTS = ("none", "straggler", "dead-member", "dark-domain")
DOMAIN_COUNT = 2
ENGINES_PER_DOMAIN = 2
SEEDS = (1, 2, 3)
TRIAL_DURATION = 8.0
SETTLE_TIME = 1.5
"""Seconds."""
FAULT_AT = 2.0
"""Seconds after the start of a trial."""
SERVICE_OBJECTIVE = 0.95
"""Fraction of the offline bound."""


@dataclass(frozen=True)
class Trial:
    """One run of a workload under a policy."""

    policy: str
    workload: str
    fault: str
    seed: int


class Benchmark(BaseBenchmark):
    """Runs the policies sequentially with the same arrivals."""

    help = "weighted service under load and faults, compared with baselines"

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the policies, workloads, faults and seeds to run."""
        parser.add_argument("--policies", nargs="+", default=POLICIES, choices=POLICIES)
        parser.add_argument("--workloads", nargs="+", default=list(WORKLOADS), choices=WORKLOADS)
        parser.add_argument("--faults", nargs="+", default=("none",), choices=FAULTS)
        parser.add_argument("--seeds", nargs="+", type=int, default=SEEDS)

    def handle(self, options: Namespace) -> None:
        """Emit the figures of each trial."""
        for fault in options.faults:
            trials = [
                Trial(policy, workload, fault, seed)
                for workload in options.workloads
                for seed in options.seeds
                for policy in options.policies
            ]
            # The effects of a fault outlast its trial, so each trial with a fault has a separate
            # deployment. The baselines share another one, because their agents use a fixed limit.
            adaptive = [trial for trial in trials if trial.policy == "adaptive"]
            baselines = [trial for trial in trials if trial.policy != "adaptive"]
            batches = [adaptive, baselines] if fault == "none" else [[trial] for trial in trials]
            for batch in filter(None, batches):
                with TemporaryDirectory() as folder:
                    run(self._run_batch(Path(folder), batch))

    async def _run_batch(self, folder: Path, trials: list[Trial]) -> None:
        policies = tuple(dict.fromkeys(trial.policy for trial in trials))
        plan = ClusterPlan(
            controls=1,
            entries=2 * len(policies),
            domains=DOMAIN_COUNT,
            engines=ENGINES_PER_DOMAIN,
            engine_options=(
                *("--token-time", str(TOKEN_TIME)),
                *("--slots", str(SLOTS_PER_ENGINE)),
                *("--prefill-per-character", str(PREFILL_PER_CHARACTER)),
            ),
            entry_policies=policies,
            adapts_limit=policies == ("adaptive",),
        )
        cluster = Cluster(folder, plan, policy_configuration(), hash_key(OPERATOR_TOKEN))
        cluster.start()
        try:
            await wait_for_groups(cluster, DOMAIN_COUNT * ENGINES_PER_DOMAIN)
            for trial in trials:
                await sleep(SETTLE_TIME)
                first = policies.index(trial.policy)
                entries = cluster.entries[first :: len(policies)]
                await self._run_trial(cluster, entries, trial)
        finally:
            cluster.stop()

    async def _run_trial(self, cluster: Cluster, entries: list[str], trial: Trial) -> None:
        slots = DOMAIN_COUNT * ENGINES_PER_DOMAIN * SLOTS_PER_ENGINE
        arrivals = make_arrivals(WORKLOADS[trial.workload], trial.seed, TRIAL_DURATION, slots)
        callers = {
            (entry, account): Caller(entries[entry], account)
            for entry in range(len(entries))
            for account in ACCOUNTS
        }
        fault = create_task(_inject_fault(cluster, trial.fault))
        started_at = monotonic()
        tasks = []
        for arrival in arrivals:
            await sleep(max(started_at + arrival.at - monotonic(), 0))
            caller = callers[(arrival.entry, arrival.account)]
            tasks.append(create_task(_send(caller, arrival)))
        outcomes = await gather(*tasks)
        await fault
        status = await create_operator(cluster).get("status")
        self._emit_service(trial, arrivals, outcomes, slots)
        self._emit(trial, "group downtime", status["group_downtime"], "s")
        self._emit(trial, "stranded accelerators", status["stranded_seconds"], "accelerator s")

    def _emit_service(
        self, trial: Trial, arrivals: list[Arrival], outcomes: list[CallerOutcome], slots: int
    ) -> None:
        pairs = list(zip(arrivals, outcomes, strict=True))
        service = sum(
            arrival.kind.weight for arrival, outcome in pairs if _is_served(arrival, outcome)
        )
        bound = offline_bound(arrivals, slots)
        self._emit(trial, "weighted service", service, "weight")
        self._emit(trial, "share of the offline bound", service / bound, "", SERVICE_OBJECTIVE)
        served_shares = [_served_share(pairs, account) for account in SMALL_ACCOUNTS]
        self._emit(trial, "small accounts' share served", mean(served_shares), "")
        self._emit(trial, "worst small account's share served", min(served_shares), "")
        first_token_times = [
            outcome.first_token for arrival, outcome in pairs if _is_served(arrival, outcome)
        ]
        if first_token_times:
            self._emit(
                trial, "p95 to first token", percentile(first_token_times, 0.95) * 1000, "ms"
            )
        refusal_times = [outcome.duration for _, outcome in pairs if outcome.status >= 400]
        if refusal_times:
            self._emit(trial, "p95 to refusal", percentile(refusal_times, 0.95) * 1000, "ms")
        late_or_incomplete = sum(
            outcome.status == 200 and not _is_served(arrival, outcome) for arrival, outcome in pairs
        )
        self._emit(trial, "answered late or torn", late_or_incomplete, "requests")
        self._emit(trial, "sent", len(pairs), "requests")

    def _emit(
        self, trial: Trial, name: str, value: float, unit: str, objective: float | None = None
    ) -> None:
        labels: dict[str, str | int | float] = {
            "policy": trial.policy,
            "workload": trial.workload,
            "fault": trial.fault,
            "seed": trial.seed,
        }
        self.emit(Figure("policy", name, round(value, 4), unit, objective, labels))


def policy_configuration() -> str:
    """Return the configuration document for the benchmark."""
    accounts = "".join(
        f'[[accounts]]\nid = "{name}"\nkey_hashes = ["{hash_key(name)}"]\n' for name in ACCOUNTS
    )
    kinds = "".join(
        f'[[kinds]]\nname = "{kind.name}"\nweight = {kind.weight}\ndeadline = {kind.deadline}\n'
        for kind in KINDS
    )
    model = f'[[models]]\nname = "{MODEL}"\ninstances_per_group = 1\n'
    return f"{model}{accounts}{kinds}[ordinary]\nspares_per_domain = 0\n"


async def _send(caller: Caller, arrival: Arrival) -> CallerOutcome:
    kind = arrival.kind
    return await caller.complete(
        MODEL,
        arrival.prompt,
        kind.tokens,
        is_streamed=True,
        timeout=kind.deadline,
        kind=kind.name,
    )


async def _inject_fault(cluster: Cluster, fault: str) -> None:
    if fault == "none":
        return
    await sleep(FAULT_AT)
    match fault:
        case "dead-member":
            cluster.kill_instance("engine-1-1")
        case "dark-domain":
            for number in range(1, ENGINES_PER_DOMAIN + 1):
                cluster.kill_instance(f"engine-1-{number}")
        case "straggler":
            await _pause_repeatedly(cluster, "engine-1-1/target")


async def _pause_repeatedly(cluster: Cluster, name: str) -> None:
    """Pause and resume a process at short, equal intervals for the rest of the trial."""
    ends_at = monotonic() + TRIAL_DURATION - FAULT_AT
    while monotonic() < ends_at:
        cluster.pause(name)
        await sleep(0.1)
        cluster.resume(name)
        await sleep(0.1)


def _is_served(arrival: Arrival, outcome: CallerOutcome) -> bool:
    return outcome.is_complete and outcome.duration <= arrival.kind.deadline


def _served_share(pairs: list[tuple[Arrival, CallerOutcome]], account: str) -> float:
    sent = sum(arrival.kind.weight for arrival, _ in pairs if arrival.account == account)
    served = sum(
        arrival.kind.weight
        for arrival, outcome in pairs
        if arrival.account == account and _is_served(arrival, outcome)
    )
    return served / sent if sent else 1.0
