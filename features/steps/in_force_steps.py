"""Steps that change configuration and preset under faults and verify the timeline."""

from asyncio import gather, sleep
from typing import Any

from behave import given, then, when
from behave.runner import Context

from jaylatch_standins.caller import Operator
from jaylatch_standins.cluster import OPERATOR_TOKEN, Cluster, ClusterPlan
from jaylatch_standins.deployment import (
    configuration_text,
    hash_key,
    wait_for_groups,
    wait_until,
)
from jaylatch_standins.generation_verifier import GenerationVerifier

WAIT_TIMEOUT = 60.0
"""Seconds."""
PAUSE_DURATION = 5.0
"""Seconds; longer than a lease."""
PRESET_SWITCHES = 10
RETRY_INTERVAL = 0.1
"""Seconds."""
PRESETS = ("peak", "maintenance", "ordinary")


@given("a deployment of 3 control instances, 3 entries and 4 agents")
def step_deployment(context: Context) -> None:
    plan = ClusterPlan(controls=3, entries=3, domains=1, engines=4)
    context.cluster = Cluster(context.folder, plan, configuration_text(), hash_key(OPERATOR_TOKEN))
    context.cluster.start()
    context.runner.run(wait_for_groups(context.cluster, 1))


@when(
    "{number:d} configurations are applied and presets switched by concurrent operators, while an"
    " entry is paused, an agent is killed and the control leader is killed"
)
def step_changes(context: Context, number: int) -> None:
    context.runner.run(change_under_faults(context, number))


async def change_under_faults(context: Context, number: int) -> None:
    operators = [Operator(entry, OPERATOR_TOKEN) for entry in context.cluster.entries[:2]]
    context.switched = 0
    await gather(
        apply_configurations(operators[0], number),
        *(switch_presets(context, operator) for operator in operators),
        inject_faults(context, operators[0]),
    )
    context.operator = operators[0]


async def apply_configurations(operator: Operator, number: int) -> None:
    applied = 0
    while applied < number:
        status = await operator.get("status")
        if not status or "generation" not in status:
            await sleep(RETRY_INTERVAL)
            continue
        document = configuration_text() + f"[peak]\nqueue_limit = {status['generation']}\n"
        headers = {"X-Expected-Generation": str(status["generation"])}
        answer = await operator.put("configuration", document.encode(), headers)
        applied += answer is not None and answer["type"] == "CommandAccepted"


async def switch_presets(context: Context, operator: Operator) -> None:
    while context.switched < PRESET_SWITCHES:
        preset = await operator.get("preset")
        if preset and "prepared_generation" in preset and not preset["prepared_generation"]:
            generation = preset["generation"]
            body = f'{{"preset": "{PRESETS[generation % len(PRESETS)]}"}}'.encode()
            headers = {"X-Expected-Generation": str(generation)}
            answer = await operator.put("preset", body, headers)
            context.switched += answer is not None and answer["type"] == "CommandAccepted"
        await sleep(RETRY_INTERVAL)


async def inject_faults(context: Context, operator: Operator) -> None:
    cluster: Cluster = context.cluster
    cluster.pause("entry-3")
    cluster.kill("engine-1-4")
    await sleep(PAUSE_DURATION)
    cluster.resume("entry-3")
    cluster.start_node("engine-1-4")
    leader = (await read_status(operator))["leader"]
    cluster.kill(leader)
    await sleep(1.0)
    cluster.start_node(leader)


async def read_status(operator: Operator) -> Any:
    found: list[Any] = []

    async def has_status() -> bool:
        status = await operator.get("status")
        if status and "leader" in status:
            found.append(status)
        return bool(found)

    await wait_until(has_status, WAIT_TIMEOUT, "a status report arrives")
    return found[0]


@then("at no instant were two presets in force at two processes")
def step_one_preset(context: Context) -> None:
    context.verifier = GenerationVerifier(
        context.runner.run(context.operator.get("timeline"))["events"]
    )
    assert len(context.verifier.presets) >= PRESET_SWITCHES, context.verifier.presets
    faults = context.verifier.outdated_presets()
    assert not faults, faults


@then("no process returned to an earlier generation")
def step_no_reversal(context: Context) -> None:
    assert len(context.verifier.configurations) > 1
    faults = context.verifier.reversed_generations()
    assert not faults, faults


@then("the last configuration and the last preset are in force everywhere")
def step_last_in_force(context: Context) -> None:
    async def is_in_force() -> bool:
        status = await read_status(context.operator)
        is_switched = status["preset"]["prepared_generation"] == 0
        return bool(is_switched and status["knows_all_holders"] and not status["not_in_force"])

    context.runner.run(
        wait_until(is_in_force, WAIT_TIMEOUT, "the last changes are in force everywhere")
    )
