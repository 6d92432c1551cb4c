"""Steps that strike requests with faults and check every caller's outcome against the ledger."""

from asyncio import create_task, gather, sleep
from collections.abc import Awaitable
from dataclasses import dataclass, field
from time import monotonic

from behave import given, then, when
from behave.runner import Context

from jaylatch_standins.caller import Caller, CallerOutcome
from jaylatch_standins.cluster import OPERATOR_TOKEN, Cluster, ClusterPlan
from jaylatch_standins.deployment import (
    ACCOUNT_KEYS,
    MODEL,
    SERVICE,
    configuration_text,
    create_operator,
    hash_key,
    read_status,
    wait_until,
)
from jaylatch_standins.faults import FaultInjector, FaultSite
from jaylatch_standins.ledger import LedgerLine, read_ledger

KEY = ACCOUNT_KEYS["skarvik"]
WAIT = 60.0
TIMEOUT = 4.0
RESEND_TIMEOUT = 6.0
HEAL_AFTER = 1.5
STRIKE_AFTER = 0.3
TOKENS = 60
ENGINE = "engine-1-1"
OTHER_ENGINE = "engine-1-2"
SERVICE_AGENT = "service-1-3"
UNANSWERED = {"kill entry"}
MAY_STAY_UNKNOWN = {"kill agent", "kill target", "target connection drop"}


@dataclass
class Sent:
    """One send of a request, and what the ledger said when its outcome arrived."""

    entry: int
    outcome: CallerOutcome
    runs: int


@dataclass
class Trial:
    """One request that met a fault."""

    name: str
    fault: str
    sent: list[Sent] = field(default_factory=list)

    def faults_found(self, kind: str, runs: int) -> list[str]:
        """Return what contradicts the ledger or the promises."""
        found = []
        if kind != "completions" and runs > 1:
            found.append(f"ran {runs} times")
        for item in self.sent:
            found += [f"entry {item.entry + 1}: {text}" for text in self._lies(item)]
        last = self.sent[-1].outcome
        if kind == "keyed orders":
            if last.outcome == "not_run" and runs:
                found.append("the last word was not_run")
            if last.status != 200 and self.fault not in MAY_STAY_UNKNOWN:
                found.append(f"the last resend was not answered: {last.status} {last.code}")
        if kind == "completions" and not last.is_complete and self.fault not in UNANSWERED:
            found.append(f"not whole: {last.status} {last.code}")
        return [f"{self.name} ({self.fault}): {text}" for text in found]

    def _lies(self, item: Sent) -> list[str]:
        outcome, runs = item.outcome, item.runs
        lies = []
        if outcome.status == 200 and not outcome.is_complete and b'"error"' not in outcome.body:
            lies.append("a torn answer that does not say so")
        if outcome.status == 200 and runs == 0:
            lies.append("an answer to what has not run")
        if outcome.outcome == "not_run" and runs:
            lies.append(f"not_run, but the ledger has {runs} runs")
        if outcome.outcome == "ran" and not runs:
            lies.append("ran, but the ledger has no run")
        may_be_lost = item.entry == 0 and self.fault in UNANSWERED
        if outcome.status == 0 and not may_be_lost:
            lies.append("no answer at all")
        return lies


@given("a deployment behind proxies, with one order service and two groups")
def step_proxied(context: Context) -> None:
    plan = ClusterPlan(
        domains=1,
        engines=2,
        services={SERVICE: 1},
        engine_options=("--token-time", "0.01", "--load-time", "0.3"),
        service_options=("--order-time", "0.6"),
        has_proxies=True,
    )
    text = configuration_text(instances_per_group=1)
    text += "[ordinary]\nspares_per_domain = 0\n"
    context.cluster = Cluster(context.folder, plan, text, hash_key(OPERATOR_TOKEN))


@when("{kind} meet each of these faults while {point}: {faults}")
def step_faults(context: Context, kind: str, point: str, faults: str) -> None:
    strike = Strike(context.cluster, kind, point)
    context.kind = kind
    context.trials = context.runner.run(strike.run(faults.split(", ")))


@then("each caller was told the truth, and nothing ran twice")
def step_truth(context: Context) -> None:
    lines = read_ledger(context.cluster.ledger)
    found = []
    for trial in context.trials:
        found += trial.faults_found(context.kind, runs_of(lines, trial.name))
    assert not found, "\n".join(found)


def runs_of(lines: list[LedgerLine], name: str) -> int:
    return sum(line.what == "start" and name in (line.order, line.prompt) for line in lines)


class Strike:
    """Sends one request for each fault and strikes it at one point of its life."""

    def __init__(self, cluster: Cluster, kind: str, point: str) -> None:
        self._cluster = cluster
        self._kind = kind
        self._point = point
        self._agent = ENGINE if kind == "completions" else SERVICE_AGENT

    async def run(self, faults: list[str]) -> list[Trial]:
        self._cluster.start_proxies()
        self._cluster.start()
        trials = []
        for number, fault in enumerate(faults):
            await self._wait_ready(f"probe-{number}")
            trials.append(await self._strike(Trial(f"{self._kind}-{number}", fault)))
        return trials

    async def _strike(self, trial: Trial) -> Trial:
        status = await read_status(self._cluster)
        site = FaultSite(self._agent, "entry-1", status["leader"])
        injector = FaultInjector(self._cluster, site)
        stream = self._cluster.proxies[f"{self._agent}/stream"]
        if self._point == "unsent":
            injector.inject(trial.fault)
        if self._point == "sent and unread":
            self._cluster.pause(self._agent)
        if self._point == "answered but not delivered":
            stream.blocks_backward = True
        first = create_task(self._send(trial, 0, TIMEOUT))
        await self._wait_for_point(trial)
        if self._point != "unsent":
            injector.inject(trial.fault)
        if self._point == "sent and unread" and trial.fault != "kill agent":
            self._cluster.resume(self._agent)
        resends = [self._resend_soon(trial)] if self._kind == "keyed orders" else []
        await gather(first, self._heal_soon(injector), *resends)
        if self._kind == "keyed orders":
            await self._wait_ready(f"{trial.name}-probe")
            await self._send(trial, 1, RESEND_TIMEOUT)
        return trial

    async def _wait_for_point(self, trial: Trial) -> None:
        what = {
            "started": "start",
            "mid-stream": "start",
            "answered but not delivered": "end",
        }.get(self._point)
        give_up_at = monotonic() + TIMEOUT
        while what is not None and monotonic() < give_up_at:
            lines = read_ledger(self._cluster.ledger)
            if any(line.what == what and trial.name in (line.order, line.prompt) for line in lines):
                break
            await sleep(0.02)
        if self._point in ("mid-stream", "sent and unread"):
            await sleep(STRIKE_AFTER)

    async def _heal_soon(self, injector: FaultInjector) -> None:
        await sleep(HEAL_AFTER)
        injector.heal()

    async def _resend_soon(self, trial: Trial) -> None:
        await sleep(STRIKE_AFTER)
        await self._send(trial, 1, RESEND_TIMEOUT)

    async def _send(self, trial: Trial, entry: int, timeout: float) -> None:
        caller = Caller(self._cluster.entries[entry], KEY)
        outcome = await self._call(caller, trial.name, timeout)
        runs = runs_of(read_ledger(self._cluster.ledger), trial.name)
        trial.sent.append(Sent(entry, outcome, runs))

    def _call(self, caller: Caller, name: str, timeout: float) -> Awaitable[CallerOutcome]:
        match self._kind:
            case "completions":
                return caller.complete(MODEL, name, TOKENS, is_streamed=True, timeout=timeout)
            case "keyed orders":
                return caller.order(SERVICE, "orders", name, name, timeout)
            case _:
                return caller.order(SERVICE, "orders", name, None, timeout)

    async def _wait_ready(self, probe: str) -> None:
        """Wait until every target serves and both entries answer."""
        operator = create_operator(self._cluster)

        async def is_ready() -> bool:
            status = await operator.get("status")
            nodes = status.get("nodes", []) if status else []
            serving = [node for node in nodes if node["member"] and node["member"]["is_serving"]]
            if len(serving) < 3:
                return False
            callers = [Caller(entry, KEY) for entry in self._cluster.entries]
            reads = [caller.read(SERVICE, "stock/blades", 2.0) for caller in callers]
            completions = [
                caller.complete(MODEL, f"{probe}-{number}", 2, is_streamed=False, timeout=2.0)
                for number, caller in enumerate(callers)
            ]
            outcomes = await gather(*reads, *completions)
            return all(outcome.status == 200 for outcome in outcomes)

        await wait_until(is_ready, WAIT, "every target serves and both entries answer")
