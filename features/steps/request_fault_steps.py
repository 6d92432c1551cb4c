"""Steps that inject faults into requests and check every caller's outcome against the ledger."""

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
WAIT_SECONDS = 60.0
TIMEOUT_SECONDS = 4.0
RESEND_TIMEOUT_SECONDS = 6.0
HEAL_AFTER_SECONDS = 1.5
INJECT_AFTER_SECONDS = 0.3
TOKENS_PER_COMPLETION = 60
ENGINE = "engine-1-1"
OTHER_ENGINE = "engine-1-2"
SERVICE_AGENT = "service-1-3"
FAULTS_WITHOUT_ANSWER = {"kill entry"}
FAULTS_WITH_UNKNOWN_OUTCOME = {"kill agent", "kill target", "target connection drop"}


@dataclass
class SentRequest:
    """One send of a request, and its runs in the ledger when its outcome arrived."""

    entry: int
    outcome: CallerOutcome
    runs: int


@dataclass
class Trial:
    """One request and the fault that was injected into it."""

    name: str
    fault: str
    sent: list[SentRequest] = field(default_factory=list)

    def find_contradictions(self, kind: str, runs: int) -> list[str]:
        """Return the contradictions to the ledger or to the guarantees."""
        found = []
        if kind != "completions" and runs > 1:
            found.append(f"ran {runs} times")
        for item in self.sent:
            found += [f"entry {item.entry + 1}: {text}" for text in self._contradictions(item)]
        last = self.sent[-1].outcome
        if kind == "keyed orders":
            if last.outcome == "not_run" and runs:
                found.append("the last outcome was not_run")
            if last.status != 200 and self.fault not in FAULTS_WITH_UNKNOWN_OUTCOME:
                found.append(f"the last resend was not answered: {last.status} {last.code}")
        if (
            kind == "completions"
            and not last.is_complete
            and self.fault not in FAULTS_WITHOUT_ANSWER
        ):
            found.append(f"incomplete: {last.status} {last.code}")
        return [f"{self.name} ({self.fault}): {text}" for text in found]

    def _contradictions(self, item: SentRequest) -> list[str]:
        outcome, runs = item.outcome, item.runs
        contradictions = []
        if outcome.status == 200 and not outcome.is_complete and b'"error"' not in outcome.body:
            contradictions.append("an incomplete answer that carries no error")
        if outcome.status == 200 and runs == 0:
            contradictions.append("an answer, but the ledger has no run")
        if outcome.outcome == "not_run" and runs:
            contradictions.append(f"not_run, but the ledger has {runs} runs")
        if outcome.outcome == "ran" and not runs:
            contradictions.append("ran, but the ledger has no run")
        may_be_lost = item.entry == 0 and self.fault in FAULTS_WITHOUT_ANSWER
        if outcome.status == 0 and not may_be_lost:
            contradictions.append("no answer")
        return contradictions


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


@when("each of these faults is injected into {kind} while {point}: {faults}")
def step_faults(context: Context, kind: str, point: str, faults: str) -> None:
    fault_trials = FaultTrials(context.cluster, kind, point)
    context.kind = kind
    context.trials = context.runner.run(fault_trials.run(faults.split(", ")))


@then("each caller got an accurate outcome, and nothing ran twice")
def step_outcomes(context: Context) -> None:
    lines = read_ledger(context.cluster.ledger)
    found = []
    for trial in context.trials:
        found += trial.find_contradictions(context.kind, runs_of(lines, trial.name))
    assert not found, "\n".join(found)


def runs_of(lines: list[LedgerLine], name: str) -> int:
    return sum(line.what == "start" and name in (line.order, line.prompt) for line in lines)


class FaultTrials:
    """Sends one request for each fault and injects the fault at one point of its progress."""

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
            trials.append(await self._run_trial(Trial(f"{self._kind}-{number}", fault)))
        return trials

    async def _run_trial(self, trial: Trial) -> Trial:
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
        first = create_task(self._send(trial, 0, TIMEOUT_SECONDS))
        await self._wait_for_point(trial)
        if self._point != "unsent":
            injector.inject(trial.fault)
        if self._point == "sent and unread" and trial.fault != "kill agent":
            self._cluster.resume(self._agent)
        resends = [self._resend_later(trial)] if self._kind == "keyed orders" else []
        await gather(first, self._heal_later(injector), *resends)
        if self._kind == "keyed orders":
            await self._wait_ready(f"{trial.name}-probe")
            await self._send(trial, 1, RESEND_TIMEOUT_SECONDS)
        return trial

    async def _wait_for_point(self, trial: Trial) -> None:
        what = {
            "started": "start",
            "mid-stream": "start",
            "answered but not delivered": "end",
        }.get(self._point)
        deadline = monotonic() + TIMEOUT_SECONDS
        while what is not None and monotonic() < deadline:
            lines = read_ledger(self._cluster.ledger)
            if any(line.what == what and trial.name in (line.order, line.prompt) for line in lines):
                break
            await sleep(0.02)
        if self._point in ("mid-stream", "sent and unread"):
            await sleep(INJECT_AFTER_SECONDS)

    async def _heal_later(self, injector: FaultInjector) -> None:
        await sleep(HEAL_AFTER_SECONDS)
        injector.heal()

    async def _resend_later(self, trial: Trial) -> None:
        await sleep(INJECT_AFTER_SECONDS)
        await self._send(trial, 1, RESEND_TIMEOUT_SECONDS)

    async def _send(self, trial: Trial, entry: int, timeout: float) -> None:
        caller = Caller(self._cluster.entries[entry], KEY)
        outcome = await self._call(caller, trial.name, timeout)
        runs = runs_of(read_ledger(self._cluster.ledger), trial.name)
        trial.sent.append(SentRequest(entry, outcome, runs))

    def _call(self, caller: Caller, name: str, timeout: float) -> Awaitable[CallerOutcome]:
        match self._kind:
            case "completions":
                return caller.complete(
                    MODEL, name, TOKENS_PER_COMPLETION, is_streamed=True, timeout=timeout
                )
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

        await wait_until(is_ready, WAIT_SECONDS, "every target serves and both entries answer")
