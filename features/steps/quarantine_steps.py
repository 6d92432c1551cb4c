"""Steps on the evidence for the quarantine and on the quarantine in a running deployment."""

from asyncio import create_task, gather, sleep

from behave import given, then, use_step_matcher, when
from behave.runner import Context

from jaylatch_core.ids import RequestDigest, TargetDeathId
from jaylatch_core.messages.membership import TargetDeath
from jaylatch_decisions.quarantine import EvidenceTable, QuarantineStatus
from jaylatch_standins.caller import Caller, CallerOutcome
from jaylatch_standins.cluster import OPERATOR_TOKEN, Cluster, ClusterPlan
from jaylatch_standins.deployment import (
    ACCOUNT_KEYS,
    MODEL,
    configuration_text,
    create_operator,
    hash_key,
    wait_for_groups,
    wait_until,
)
from jaylatch_standins.engine import POISON
from jaylatch_standins.ledger import read_ledger

QUARANTINE_SECONDS = 60.0
WAIT_SECONDS = 60.0
INNOCENT_TOKENS = 100
SERVING_ENGINES = 4

use_step_matcher("re")


@given(r'the evidence "(?P<evidence>[^"]*)"')
def step_evidence(context: Context, evidence: str) -> None:
    context.evidence = EvidenceTable()
    for item in evidence.split():
        if item.startswith("+"):
            context.evidence.clear([RequestDigest(item[1:])])
            continue
        target, digests = item.split(":")
        death = TargetDeath(
            TargetDeathId(target), tuple(RequestDigest(name) for name in digests.split(","))
        )
        context.evidence.record_deaths(0.0, [death])


@when(r"(?P<age>\d+) s of a quarantine of 60 s have passed")
def step_age(context: Context, age: str) -> None:
    context.statuses = {
        name: context.evidence.status(float(age), RequestDigest(name), QUARANTINE_SECONDS)
        for name in ("a", "b", "p")
    }


@then(
    r'the quarantined requests are "(?P<quarantined>[^"]*)"'
    r' and the suspects are "(?P<suspects>[^"]*)"'
)
def step_statuses(context: Context, quarantined: str, suspects: str) -> None:
    found = context.statuses
    assert [
        n for n in found if found[n] is QuarantineStatus.QUARANTINED
    ] == quarantined.split(), found
    assert [n for n in found if found[n] is QuarantineStatus.SUSPECT] == suspects.split(), found


@given(r"a deployment of 5 engines for the quarantine")
def step_quarantine_deployment(context: Context) -> None:
    plan = ClusterPlan(controls=1, entries=2, domains=1, engines=SERVING_ENGINES + 1)
    configuration = configuration_text(instances_per_group=1)
    context.cluster = Cluster(context.folder, plan, configuration, hash_key(OPERATOR_TOKEN))
    context.cluster.start()
    context.runner.run(wait_for_groups(context.cluster, SERVING_ENGINES, WAIT_SECONDS))


@when(
    r"(?P<innocents>\d+) innocent completions run"
    r" and a poisonous one is sent (?P<times>\d+) times through both entries"
)
def step_poison(context: Context, innocents: str, times: str) -> None:
    context.runner.run(send_poison(context, int(innocents), int(times)))


async def send_poison(context: Context, innocents: int, times: int) -> None:
    callers = [Caller(entry, ACCOUNT_KEYS["skarvik"]) for entry in context.cluster.entries]

    def complete(caller: Caller, prompt: str) -> object:
        return caller.complete(
            MODEL, prompt, INNOCENT_TOKENS, is_streamed=True, timeout=WAIT_SECONDS
        )

    tasks = [
        create_task(complete(callers[number % 2], f"innocent {number}"))
        for number in range(innocents)
    ]

    async def have_started() -> bool:
        starts = [line for line in read_ledger(context.cluster.ledger) if line.what == "start"]
        return len(starts) >= innocents

    await wait_until(have_started, WAIT_SECONDS, "the innocent completions run")
    context.poisonous = []
    for number in range(times):
        context.poisonous.append(await complete(callers[number % 2], f"{POISON} dye"))
        await sleep(0.1)
    context.innocent = await gather(*tasks)


@then(r"at most (?P<most>\d+) engines have died")
def step_ended(context: Context, most: str) -> None:
    deaths = [line for line in read_ledger(context.cluster.ledger) if line.what == "death"]
    assert 1 <= len(deaths) <= int(most), deaths


@then(r"the last poisonous request was refused as quarantined with outcome not_run")
def step_refused(context: Context) -> None:
    last: CallerOutcome = context.poisonous[-1]
    assert (last.code, last.outcome) == ("quarantined", "not_run"), context.poisonous


@then(r"all innocent completions are complete")
def step_innocent(context: Context) -> None:
    assert all(outcome.is_complete for outcome in context.innocent), context.innocent


@then(r"the timeline records why each request was sent to its target and why the last was refused")
def step_reasons(context: Context) -> None:
    timeline = context.runner.run(create_operator(context.cluster).get("timeline"))
    events = timeline["events"]
    started = [event for event in events if event["name"] == "attempt.started"]
    routed = {event["request"]: event for event in events if event["name"] == "request.routed"}
    assert started
    for event in started:
        assert "limit=" in routed[event["request"]]["detail"], event
    refused = [event for event in events if event["name"] == "request.quarantined"]
    assert refused[-1]["detail"] == "not_run", refused
