"""Steps on an agent's load controller with a target that generates long answers."""

from typing import cast

from behave import given, then, when
from behave.runner import Context

from jaylatch_core.configuration import Configuration, PresetPolicy
from jaylatch_core.events import EventLog
from jaylatch_core.ids import (
    AccountId,
    AttemptId,
    Epoch,
    FailureDomainId,
    GroupId,
    Incarnation,
    InstanceId,
    RequestId,
)
from jaylatch_core.messages.requests import ModelWork, StartAttempt
from jaylatch_decisions.leases import HeldLease
from jaylatch_node.agent.load import LoadController
from jaylatch_node.blackboard import Blackboard, GrantBoard, Identity
from jaylatch_node.streams import StreamConnection

ANSWER_TOKENS = 60
CONCURRENCY_CEILING = 64
CONNECTION = cast(StreamConnection, object())


@given(
    "an agent whose engine generates a token per answer every {token_time:g} s, without queueing"
)
def step_agent(context: Context, token_time: float) -> None:
    instance = InstanceId("engine-1")
    policy = PresetPolicy(target_concurrency=CONCURRENCY_CEILING)
    context.board = Blackboard(
        Identity(instance, Incarnation("run"), FailureDomainId("domain-1"), "127.0.0.1:1"),
        EventLog(instance),
        GrantBoard(HeldLease(0.0), configuration=Configuration(ordinary=policy)),
    )
    context.load = LoadController(context.board, adapts_limit=True)
    context.token_time = token_time


@when("it is offered as many answers of 60 tokens as its limit allows for {seconds:g} s")
def step_offer(context: Context, seconds: float) -> None:
    attempts: list[AttemptId] = []
    for step in range(int(seconds / context.token_time)):
        now = step * context.token_time
        for attempt in attempts:
            context.load.count_tokens(now, attempt, 1)
        while context.board.member.in_flight < context.load.limit:
            attempts.append(AttemptId(f"attempt-{len(attempts)}"))
            context.load.begin(now, CONNECTION, make_start(attempts[-1]))


@then("its limit is at least {limit:d}")
def step_limit(context: Context, limit: int) -> None:
    assert context.load.limit >= limit, context.load.limit


def make_start(attempt: AttemptId) -> StartAttempt:
    return StartAttempt(
        attempt,
        RequestId("request"),
        AccountId("skarvik"),
        Incarnation("run"),
        GroupId("group"),
        Epoch(1),
        0.0,
        60.0,
        ModelWork("assistant", "prompt", ANSWER_TOKENS, 0, 0),
    )
