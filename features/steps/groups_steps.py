"""Steps that test the group planner in one failure domain; instances are single letters."""

from behave import given, then, use_step_matcher, when
from behave.runner import Context

from jaylatch_core.configuration import Configuration, ModelSpecification, PresetPolicy
from jaylatch_core.enums import GroupState
from jaylatch_core.ids import Epoch, FailureDomainId, GroupId, InstanceId
from jaylatch_core.messages.control import (
    DissolveGroup,
    FormGroup,
    Group,
    RepairGroup,
)
from jaylatch_decisions.groups import InstanceFacts, PlanInput, plan_groups

MODEL = "assistant"
DOMAIN = FailureDomainId("domain-1")

use_step_matcher("re")


@given(r"a model that spans (?P<size>\d+) instances with (?P<spares>\d+) spares a domain")
def step_model(context: Context, size: str, spares: str) -> None:
    context.configuration = Configuration(models=(ModelSpecification(MODEL, int(size)),))
    context.policy = PresetPolicy(spares_per_domain=int(spares))


@given(
    r'instances "(?P<names>[^"]*)" of which "(?P<lost>[^"]*)" are lost'
    r' and "(?P<drained>[^"]*)" are drained'
)
def step_instances(context: Context, names: str, lost: str, drained: str) -> None:
    context.names = names.split()
    context.lost = lost.split()
    context.drained = drained.split()


@given(r'groups "(?P<groups>[^"]*)" of which "(?P<idle>[^"]*)" are idle')
def step_groups(context: Context, groups: str, idle: str) -> None:
    context.idle = idle.split()
    members = tuple(InstanceId(name) for name in groups.split())
    group = Group(GroupId("g"), Epoch(7), MODEL, members, GroupState.ACTIVE)
    context.groups = (group,) if members else ()


@when("the planner runs")
def step_plan(context: Context) -> None:
    grouped = {member for group in context.groups for member in group.members}
    facts = tuple(
        InstanceFacts(
            InstanceId(name),
            DOMAIN,
            name not in context.lost,
            name in context.drained,
            Epoch(7 if name in grouped else 0),
            name in grouped and name not in context.idle,
            0,
            draining_epoch=Epoch(7 if name in context.idle else 0),
            unusable_for=60.0,
        )
        for name in context.names
    )
    context.commands = plan_groups(
        PlanInput(context.configuration, context.policy, context.groups, {}, facts)
    )


@then(r'the commands are "(?P<expected>[^"]*)"')
def step_commands(context: Context, expected: str) -> None:
    found = "; ".join(describe_command(command) for command in context.commands)
    assert found == expected, f"{found!r} is not {expected!r}"


def describe_command(command: object) -> str:
    match command:
        case FormGroup():
            return f"form {' '.join(command.members)}"
        case RepairGroup():
            return f"repair {' '.join(command.members)}"
        case DissolveGroup():
            return "dissolve"
        case _:
            return str(command)


use_step_matcher("parse")
