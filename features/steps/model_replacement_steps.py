"""Steps in which the configuration changes the models of a led fleet, in simulated time."""

import re

from behave import given, then, use_step_matcher, when
from behave.runner import Context
from evacuation_leader_steps import split_members
from features.support.evacuation_fleet import EvacuationFleet

from jaylatch_core.messages.control import FormGroup
from jaylatch_core.messages.membership import View
from jaylatch_decisions.targets import CloseGroup

SETTLING_SECONDS = 4.0
CHECKED_SECONDS = 14.0
"""Time from the last change to the end of a scenario."""
STAGING_SECONDS = 1.0
APPLY_BOUND = 2.0
"""Seconds after a change in which groups of the former size may serve."""
CHANGE = re.compile(r"@ ([\d.]+) (\S+)")

use_step_matcher("re")


def parse_models(text: str) -> dict[str, int]:
    """Return the sizes of models that are written as ``m=2,k=3``."""
    return {name: int(size) for name, _, size in (item.partition("=") for item in text.split(","))}


@given(
    r'a led fleet of "(?P<model>\w)=(?P<size>\d)" with the groups "(?P<groups>[^"]*)"'
    r' and the free engines "(?P<free>[^"]*)"'
)
def step_model_fleet(context: Context, model: str, size: str, groups: str, free: str) -> None:
    fleet = context.fleet = EvacuationFleet({model: int(size)}, STAGING_SECONDS)
    for group in groups.split():
        for member in split_members(group):
            fleet.add(member, staged=(model,))
        fleet.state.apply(FormGroup(model, split_members(group)))
    for name in free.split():
        fleet.add(name, staged=(model,))
    context.runner.run(fleet.advance(SETTLING_SECONDS))
    fleet.views.clear()
    context.changes = [(0.0, {model: int(size)})]


@when(r'the configuration changes "(?P<changes>[^"]*)", while heads work for (?P<work>\d+) s')
def step_change(context: Context, changes: str, work: str) -> None:
    context.runner.run(change(context, changes, float(work)))


async def change(context: Context, changes: str, work: float) -> None:
    """Put the changes in force at their times; the heads of now work until then."""
    fleet: EvacuationFleet = context.fleet
    started_at = fleet.now
    heads = [fleet.targets[group.head] for group in fleet.state.groups.values()]
    for head in heads:
        head.is_busy = work > 0
        head.orders.clear()
    context.heads, context.finished_at = heads, started_at + work
    for at, subject in CHANGE.findall(changes):
        await run_until(context, started_at + float(at))
        if subject == "elect":
            fleet.elect(2)
            continue
        fleet.publish(parse_models(subject))
        context.changes.append((fleet.now, parse_models(subject)))
    await run_until(context, fleet.now + CHECKED_SECONDS)


async def run_until(context: Context, end: float) -> None:
    fleet: EvacuationFleet = context.fleet
    while fleet.now < end - 0.05:
        if fleet.now >= context.finished_at:
            for head in context.heads:
                head.is_busy = False
        await fleet.advance(0.1)


def sizes_allowed(context: Context, at: float) -> set[tuple[str, int]]:
    """Return the models, with their sizes, of the configurations whose groups may serve at ``at``.

    They are those that have been in force within the bound.
    """
    ends = [since for since, _ in context.changes[1:]] + [float("inf")]
    return {
        item
        for (since, models), end in zip(context.changes, ends, strict=True)
        if since <= at < end + APPLY_BOUND
        for item in models.items()
    }


def sizes_routed(fleet: EvacuationFleet, view: View) -> list[tuple[str, int]]:
    """Return model and size of each group that gets new requests."""
    return [
        (route.model, fleet.group_sizes[route.group, route.epoch])
        for route in view.groups
        if not route.is_ending
    ]


@then(r"no request is sent to a group of a former size later than 2 s after a change")
def step_no_former(context: Context) -> None:
    fleet: EvacuationFleet = context.fleet
    for at, view in fleet.views:
        wrong = set(sizes_routed(fleet, view)) - sizes_allowed(context, at)
        assert not wrong, (at, wrong)


@then(
    r'the model "(?P<last>\w=\d)" is without a group for (?P<gap>\d+) s at most,'
    r" and in force after (?P<time>\d+) s"
)
def step_in_force(context: Context, last: str, gap: str, time: str) -> None:
    model, size = next(iter(parse_models(last).items()))
    fleet: EvacuationFleet = context.fleet
    served = [
        (at, [known for name, known in sizes_routed(fleet, view) if name == model])
        for at, view in fleet.views
    ]
    without = 0.1 * sum(not sizes for _, sizes in served)
    assert without <= int(gap) + 0.05, served
    changed_at = context.changes[-1][0]
    in_force_at = next((at for at, sizes in served if at >= changed_at and size in sizes), None)
    assert in_force_at is not None and in_force_at <= changed_at + int(time) + 0.05, served
    assert set(served[-1][1]) == {size}, served[-1]


@then(r"the heads' work is finished")
def step_finished(context: Context) -> None:
    for head in context.heads:
        cut = [item for item in head.orders if isinstance(item, CloseGroup)]
        assert not cut and head.cut_work == 0, (head.name, head.orders)
