"""Steps on targets that fall silent in the middle of a stream."""

from asyncio import create_task, sleep
from time import monotonic

from behave import given, then, use_step_matcher, when
from behave.runner import Context
from features.steps.gateway_path_steps import ask, grant_heads
from features.support.gateway import Answer

from jaylatch_core.messages.places import PlacesFull, PlaceTaken, TakePlace
from jaylatch_core.settings import GatewaySettings

DISTURBANCE_SECONDS = 0.4
"""Seconds after the request at which the disturbance comes: the target is silent by then."""

use_step_matcher("re")


@given(r"(?P<what>.+) when a target is silent")
def step_disturbance(context: Context, what: str) -> None:
    context.disturbance = what
    if what == "the retry budget is used up":
        context.gateway_settings = GatewaySettings(evidence_warm_up=0.001, repeat_burst=0.0)


@when(r"a request of kind stream is sent, and the disturbance comes")
def step_disturbed_request(context: Context) -> None:
    context.answer = context.runner.run(ask_disturbed(context))


async def ask_disturbed(context: Context) -> Answer:
    if context.disturbance == "the other target is full":
        context.free_after = float("inf")
        set_owner(context)
    if context.disturbance == "an error ends the first search":
        context.free_after = 0.0
        set_owner(context, has_error=True)
    answer = create_task(ask(context, "stream"))
    await sleep(DISTURBANCE_SECONDS)
    silent = context.first_used
    others = [target for target in context.targets if target is not silent]
    match context.disturbance:
        case "the other target leaves the view":
            grant_heads(context, [silent])
        case "the silent target leaves the view":
            grant_heads(context, others)
        case "both targets leave the view":
            grant_heads(context, [])
        case "the document changes":
            grant_heads(context, context.targets)
        case (
            "nothing else happens"
            | "the retry budget is used up"
            | "the other target is full"
            | "an error ends the first search"
        ):
            pass
        case _:
            raise AssertionError(context.disturbance)
    return await answer


@when(r"a request of kind stream is sent, and its target leaves the view twice")
def step_lost_twice(context: Context) -> None:
    context.answer = context.runner.run(ask_while_lost_twice(context))


async def ask_while_lost_twice(context: Context) -> Answer:
    answer = create_task(ask(context, "stream"))
    await sleep(DISTURBANCE_SECONDS)
    others = [target for target in context.targets if target is not context.first_used]
    grant_heads(context, [])
    await sleep(DISTURBANCE_SECONDS)
    grant_heads(context, context.targets)
    await sleep(0.1)
    grant_heads(context, others)
    context.lost_at = monotonic()
    result = await answer
    context.took = monotonic() - context.lost_at
    return result


@then(r"the answer was complete within (?P<time>[\d.]+) s of the second loss")
def step_soon_after_loss(context: Context, time: str) -> None:
    assert context.took < float(time), context.took


@given(
    r"the owner of the places reports all as full from the second request on,"
    r" until (?P<until>[\d.]+) s later"
)
def step_full_for_a_time(context: Context, until: str) -> None:
    context.free_after = float(until)
    set_owner(context)


def set_owner(context: Context, has_error: bool = False) -> None:
    """Let an owner grant the first place, and report all targets as full for a time after that.

    The time counts from the second request for a place. With ``has_error`` that request fails.
    """
    free_at = 0.0
    has_granted = False

    async def ask_owner(address: str, body: TakePlace, timeout: float) -> object:
        nonlocal free_at, has_granted
        if has_granted and not free_at:
            free_at = monotonic() + context.free_after
            if has_error:
                raise ValueError("an error in the choice of a target")
        has_granted = True
        if monotonic() < free_at:
            return PlacesFull(1.2)
        return PlaceTaken(body.candidates[0].instance, 0.1)

    context.harness.client.ask = ask_owner


@then(r"the gateway has renewed its lease (?P<count>\d) time beside the usual renewals")
def step_renewals(context: Context, count: str) -> None:
    assert context.harness.renewals == int(count), context.harness.renewals
