"""Steps on drains under load."""

from asyncio import sleep
from time import time

import msgspec
from behave import given, then, when
from behave.runner import Context

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
from jaylatch_standins.steady_load import SteadyLoad

NO_NEW_WORK_BOUND_SECONDS = 3.0
"""Time after the start of a drain from which its targets get no new work."""
DRAIN_TIMEOUT_SECONDS = 40.0
LEADER_CHANGE_SECONDS = 6.0
CALLERS = 8
TOKENS_PER_ANSWER = 150


@given("two failure domains with groups and long completions in progress")
def step_domains(context: Context) -> None:
    start_domains(context, 1)


@given(
    "two failure domains with groups, {controls:d} control instances"
    " and long completions in progress"
)
def step_domains_with_controls(context: Context, controls: int) -> None:
    start_domains(context, controls)


def start_domains(context: Context, controls: int) -> None:
    plan = ClusterPlan(controls=controls, domains=2, engine_options=("--ledger-tokens",))
    context.cluster = Cluster(context.folder, plan, configuration_text(), hash_key(OPERATOR_TOKEN))
    context.cluster.start()
    context.runner.run(wait_for_groups(context.cluster, 2))


@when("a drain of {scope} begins under load")
def step_drain(context: Context, scope: str) -> None:
    context.runner.run(drain(context, scope))


async def drain(context: Context, scope: str) -> None:
    cluster = context.cluster
    load = SteadyLoad(cluster.entries, CALLERS, TOKENS_PER_ANSWER)
    load.start()
    await sleep(1.0)
    group = await DomainFaults(cluster, "domain-1", {}).wait_for_group()
    match scope:
        case "the head":
            kind, subject, drained = "instance", group["members"][0], group["members"][:1]
        case "the group":
            kind, subject, drained = "group", group["id"], []
        case _:
            kind, subject = "failure_domain", "domain-1"
            drained = [name for name in cluster.nodes if name.startswith("engine-1")]
    body = msgspec.json.encode({"scope": kind, "subject": subject, "is_draining": True})
    operator = create_operator(cluster)
    accepted = await operator.put("drains", body)
    assert accepted["type"] == "CommandAccepted", accepted
    context.drained_at = time()

    async def is_done() -> bool:
        drains = await operator.get("drains")
        return drains is not None and all(item["is_done"] for item in drains)

    await wait_until(is_done, DRAIN_TIMEOUT_SECONDS, f"the drain of {scope}")
    await sleep(NO_NEW_WORK_BOUND_SECONDS)
    await load.stop()
    context.outcomes = load.outcomes
    context.drained = drained
    context.targets = {node["instance"]: node["member"] for node in await operator.get("targets")}


@when("the control leader is killed under load")
def step_kill_leader(context: Context) -> None:
    async def run() -> None:
        cluster = context.cluster
        operator = create_operator(cluster)
        load = SteadyLoad(cluster.entries, CALLERS, TOKENS_PER_ANSWER)
        load.start()
        await sleep(1.0)
        context.killed_at = time()
        cluster.kill((await operator.get("status"))["leader"])
        await sleep(LEADER_CHANGE_SECONDS)
        await load.stop()
        context.outcomes = load.outcomes
        context.events = (await operator.get("timeline"))["events"]

    context.runner.run(run())


@then("no group was broken")
def step_none_broken(context: Context) -> None:
    broken = [
        event
        for event in context.events
        if event["name"] == "group.broken" and event["at"] > context.killed_at
    ]
    assert not broken, broken


@then("every answer was complete")
def step_all_complete(context: Context) -> None:
    assert len(context.outcomes) >= CALLERS
    incomplete = [outcome for outcome in context.outcomes if not outcome.is_complete]
    assert not incomplete, incomplete[:5]
    cancelled = [line for line in read_ledger(context.cluster.ledger) if line.what == "cancel"]
    assert not cancelled, cancelled[:5]


@then("the drained engines started no request after the bound and belong to no group")
def step_no_new_work(context: Context) -> None:
    lines = read_ledger(context.cluster.ledger)
    late = [
        line
        for line in lines
        if line.what == "start"
        and line.target in context.drained
        and line.at > context.drained_at + NO_NEW_WORK_BOUND_SECONDS
    ]
    assert not late, late[:5]
    grouped = [name for name in context.drained if context.targets[name]["epoch"]]
    assert not grouped, grouped
