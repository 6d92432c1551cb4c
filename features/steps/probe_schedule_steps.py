"""Steps on the times at which a leader probes a target, in simulated time."""

from behave import given, then, use_step_matcher, when
from behave.runner import Context

from jaylatch_core.ids import InstanceId
from jaylatch_decisions.targets.probes import ProbeSchedule

TARGET = InstanceId("a")
TICK_SECONDS = 0.05
OBSERVED_TICKS = 40

use_step_matcher("re")


@given(r"a leader whose probes of a target take (?P<duration>[\d.]+) s")
def step_leader(context: Context, duration: str) -> None:
    context.probe_seconds = float(duration)


@when(r'the target is suspected at "(?P<suspected>[^"]*)"')
def step_suspect(context: Context, suspected: str) -> None:
    schedule = ProbeSchedule()
    suspicions = {round(float(at) / TICK_SECONDS) for at in suspected.split()}
    context.probed_at = []
    for tick in range(OBSERVED_TICKS):
        now = tick * TICK_SECONDS
        if context.probed_at and now >= context.probed_at[-1] + context.probe_seconds:
            schedule.record_end(TARGET)
        due = schedule.take_due(now)
        due += schedule.request(now, [TARGET]) if tick in suspicions else []
        context.probed_at += [now] * len(due)


@then(r'it is probed at "(?P<probed>[^"]*)"')
def step_probed(context: Context, probed: str) -> None:
    expected = [float(at) for at in probed.split()]
    assert [round(at, 2) for at in context.probed_at] == expected, context.probed_at


use_step_matcher("parse")
