"""Steps on the gate that permits or withholds an engine's orders."""

from behave import given, then, use_step_matcher, when
from behave.runner import Context

from jaylatch_core.ids import InstanceId
from jaylatch_decisions.groups import OrderGate, OrderTiming

TIMING = OrderTiming(order_timeout=2.0, member_timeout=1.0, drift=0.1)

use_step_matcher("re")


@given(r"an agent that started at (?P<at>\S+) with an engine that (?P<fencing>\S+) fencing numbers")
def step_agent(context: Context, at: str, fencing: str) -> None:
    context.gate = OrderGate(TIMING, float(at))
    context.checks_fencing = fencing == "check"


@given(
    r'an order of unknown outcome at "(?P<unknown>[^"]*)"'
    r' and a ready answer to head "(?P<head>[^"]*)" at "(?P<at>[^"]*)"'
)
def step_history(context: Context, unknown: str, head: str, at: str) -> None:
    if unknown:
        context.gate.record_unknown_order(float(unknown))
    if head:
        context.gate.record_ready_answer(float(at), InstanceId(head))


@when(
    r'an engine that is (?P<place>\S+) is to act under head "(?P<head>[^"]*)" at (?P<now>\S+)',
)
def step_ask(context: Context, place: str, head: str, now: str) -> None:
    next_head = InstanceId(head) if head else None
    context.is_settled = context.gate.is_settled(float(now), context.checks_fencing)
    context.may_order = context.gate.may_order(
        float(now), context.checks_fencing, next_head, place == "placed"
    )


@then(r"the state is (?P<trust>\S+) and an order is (?P<verdict>\S+)")
def step_verdict(context: Context, trust: str, verdict: str) -> None:
    found = (
        "settled" if context.is_settled else "unsettled",
        "permitted" if context.may_order else "withheld",
    )
    assert found == (trust, verdict), found


use_step_matcher("parse")
