"""Steps that start a cluster of real processes and inject faults."""

from asyncio import create_task, sleep

from behave import given, then, when
from behave.runner import Context

from jaylatch_standins.caller import Caller
from jaylatch_standins.cluster import OPERATOR_TOKEN, Cluster, ClusterPlan
from jaylatch_standins.deployment import (
    ACCOUNT_KEYS,
    MODEL,
    SERVICE,
    configuration_text,
    hash_key,
    read_status,
    wait_for_groups,
    wait_until,
)
from jaylatch_standins.ledger import read_ledger

ACCOUNT_KEY = ACCOUNT_KEYS["skarvik"]
PROMPT = "clippers"
WAIT_TIMEOUT = 60.0
"""Seconds."""


def start_cluster(context: Context, plan: ClusterPlan) -> Cluster:
    context.cluster = Cluster(context.folder, plan, configuration_text(), hash_key(OPERATOR_TOKEN))
    context.cluster.start()
    return context.cluster


@given("a running deployment with {groups:d} serving groups")
def step_deployment(context: Context, groups: int) -> None:
    plan = ClusterPlan(domains=groups, services={SERVICE: 1})
    cluster = start_cluster(context, plan)
    context.runner.run(wait_for_groups(cluster, groups, WAIT_TIMEOUT))


@then("a streamed completion through entry {number:d} is complete")
def step_streamed(context: Context, number: int) -> None:
    caller = Caller(context.cluster.entries[number - 1], ACCOUNT_KEY)
    outcome = context.runner.run(caller.complete(MODEL, PROMPT, 20, is_streamed=True))
    assert outcome.is_complete, outcome


@then("a non-streamed completion through entry {number:d} is complete")
def step_not_streamed(context: Context, number: int) -> None:
    caller = Caller(context.cluster.entries[number - 1], ACCOUNT_KEY)
    outcome = context.runner.run(caller.complete(MODEL, PROMPT, 20, is_streamed=False))
    assert outcome.is_complete, outcome


@then("an order through entry 1, resent through entry 2, runs once and gets the same answer")
def step_resent_order(context: Context) -> None:
    async def send() -> list[bytes]:
        callers = [Caller(entry, ACCOUNT_KEY) for entry in context.cluster.entries]
        outcomes = [await item.order(SERVICE, "orders", "dye", "key-1") for item in callers]
        assert all(outcome.status == 200 for outcome in outcomes), outcomes
        return [outcome.body for outcome in outcomes]

    first, second = context.runner.run(send())
    assert first == second
    runs = [line for line in read_ledger(context.cluster.ledger) if line.what == "start"]
    assert [line.order for line in runs if line.order] == ["dye"], runs


@then("an account with an unknown key is refused with status {status:d} and outcome {outcome}")
def step_unknown_key(context: Context, status: int, outcome: str) -> None:
    caller = Caller(context.cluster.entries[0], "wrong")
    result = context.runner.run(caller.complete(MODEL, PROMPT, 5, is_streamed=False))
    assert (result.status, result.outcome) == (status, outcome), result


@when("a completion of {tokens:d} tokens is streamed and {fault} mid-stream")
def step_fault(context: Context, tokens: int, fault: str) -> None:
    context.outcome = context.runner.run(stream_through_fault(context, tokens, fault))


async def stream_through_fault(context: Context, tokens: int, fault: str) -> object:
    cluster = context.cluster
    caller = Caller(cluster.entries[0], ACCOUNT_KEY)
    task = create_task(
        caller.complete(MODEL, PROMPT, tokens, is_streamed=True, timeout=WAIT_TIMEOUT)
    )

    async def has_started() -> bool:
        return any(line.what == "start" for line in read_ledger(cluster.ledger))

    await wait_until(has_started, WAIT_TIMEOUT, "the engine has started the completion")
    await sleep(0.5)
    status = await read_status(cluster)
    head = next(line.target for line in read_ledger(cluster.ledger) if line.what == "start")
    group = next(item for item in status["groups"] if item["members"][0] == head)
    match fault:
        case "the head's agent is killed":
            cluster.kill(head)
        case "the head's engine is killed":
            cluster.kill(f"{head}/target")
        case "the other member's engine is killed":
            cluster.kill(f"{group['members'][1]}/target")
        case _:
            cluster.kill(status["leader"])
    return await task


@then("the streamed completion is complete")
def step_completion_complete(context: Context) -> None:
    assert context.outcome.is_complete, context.outcome
