"""Steps on planned stops under load."""

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

NO_NEW_WORK_BOUND = 3.0
"""Seconds after which a target that is leaving gets no new work."""
WAIT = 40.0
LEADER_CHANGE_TIME = 6.0
CALLERS = 8
TOKENS = 150


@given("two failure domains with groups and long completions under way")
def step_domains(context: Context) -> None:
    start_domains(context, 1)


@given(
    "two failure domains with groups, {controls:d} control instances and long completions under way"
)
def step_controlled_domains(context: Context, controls: int) -> None:
    start_domains(context, controls)


def start_domains(context: Context, controls: int) -> None:
    plan = ClusterPlan(controls=controls, domains=2, engine_options=("--ledger-tokens",))
    context.cluster = Cluster(context.folder, plan, configuration_text(), hash_key(OPERATOR_TOKEN))
    context.cluster.start()
    context.runner.run(wait_for_groups(context.cluster, 2))


@when("a planned stop of {scope} begins under load")
def step_drain(context: Context, scope: str) -> None:
    context.runner.run(drain(context, scope))


async def drain(context: Context, scope: str) -> None:
    cluster = context.cluster
    load = SteadyLoad(cluster.entries, CALLERS, TOKENS)
    load.start()
    await sleep(1.0)
    group = await DomainFaults(cluster, "domain-1", {}).wait_for_group()
    match scope:
        case "the head":
            kind, subject, stopped = "instance", group["members"][0], group["members"][:1]
        case "the group":
            kind, subject, stopped = "group", group["id"], []
        case _:
            kind, subject = "failure_domain", "domain-1"
            stopped = [name for name in cluster.nodes if name.startswith("engine-1")]
    body = msgspec.json.encode({"scope": kind, "subject": subject, "is_draining": True})
    operator = create_operator(cluster)
    accepted = await operator.put("drains", body)
    assert accepted["type"] == "CommandAccepted", accepted
    context.drained_at = time()

    async def is_done() -> bool:
        drains = await operator.get("drains")
        return drains is not None and all(item["is_done"] for item in drains)

    await wait_until(is_done, WAIT, f"the planned stop of {scope}")
    await sleep(NO_NEW_WORK_BOUND)
    await load.stop()
    context.outcomes = load.outcomes
    context.stopped = stopped
    context.targets = {node["instance"]: node["member"] for node in await operator.get("targets")}


@when("the control leader is killed under load")
def step_kill_leader(context: Context) -> None:
    async def run() -> None:
        cluster = context.cluster
        operator = create_operator(cluster)
        load = SteadyLoad(cluster.entries, CALLERS, TOKENS)
        load.start()
        await sleep(1.0)
        context.killed_at = time()
        cluster.kill((await operator.get("status"))["leader"])
        await sleep(LEADER_CHANGE_TIME)
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


@then("every answer was whole")
def step_all_whole(context: Context) -> None:
    assert len(context.outcomes) >= CALLERS
    broken = [outcome for outcome in context.outcomes if not outcome.is_complete]
    assert not broken, broken[:5]
    cuts = [line for line in read_ledger(context.cluster.ledger) if line.what == "cancel"]
    assert not cuts, cuts[:5]


@then("the stopped engines started nothing after the bound, and are free")
def step_no_new_work(context: Context) -> None:
    lines = read_ledger(context.cluster.ledger)
    late = [
        line
        for line in lines
        if line.what == "start"
        and line.target in context.stopped
        and line.at > context.drained_at + NO_NEW_WORK_BOUND
    ]
    assert not late, late[:5]
    placed = [name for name in context.stopped if context.targets[name]["epoch"]]
    assert not placed, placed
