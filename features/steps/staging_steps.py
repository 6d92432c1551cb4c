"""Steps on staging, and on plans that keep to hosts which hold the model."""

from behave import given, then, use_step_matcher
from behave.runner import Context

from jaylatch_core.configuration import Configuration, ModelSpecification
from jaylatch_core.enums import GroupState
from jaylatch_core.ids import Epoch, FailureDomainId, GroupId, InstanceId
from jaylatch_core.messages.control import DissolveGroup, FormGroup, Group, RepairGroup
from jaylatch_decisions.groups import InstanceFacts, PlanInput, plan_groups, plan_staging

MODELS = (ModelSpecification("v", 4, 0, 1.0), ModelSpecification("f", 3, 0, 1.0))
DOMAIN = FailureDomainId("domain")

LONG_KNOWN = 60.0
LONG_LOST = 10.0
"""Seconds; longer than survivors wait for a lost member."""

use_step_matcher("re")


@given(r'the instances "(?P<instances>[^"]*)" of one domain')
def step_instances(context: Context, instances: str) -> None:
    context.instances = []
    for text in instances.split():
        name, _, state = text.partition("=")
        held, _, loading = state.rstrip("!?").partition(">")
        context.instances.append(
            InstanceFacts(
                InstanceId(name),
                DOMAIN,
                not state.endswith("!"),
                False,
                Epoch(0),
                False,
                0,
                staged_models=tuple(item for item in held if item != "-"),
                staging_model=loading,
                unusable_for=LONG_LOST if state.endswith("!") else 0.0,
                known_for=0.0 if state.endswith("?") else LONG_KNOWN,
            )
        )


@given("the first start of the deployment")
def step_first_start(context: Context) -> None:
    context.may_join_cold = True


@given(r'the groups of it "(?P<groups>[^"]*)"')
def step_domain_groups(context: Context, groups: str) -> None:
    context.groups = []
    for number, text in enumerate(groups.split(), start=1):
        model, members = text.split(":")
        ids = tuple(InstanceId(member) for member in members)
        group = Group(GroupId(f"g{number}"), Epoch(number), model, ids, GroupState.ACTIVE)
        context.groups.append(group)


def plan_input(context: Context) -> PlanInput:
    configuration = Configuration(models=MODELS)
    return PlanInput(
        configuration,
        configuration.ordinary,
        tuple(context.groups),
        {},
        tuple(context.instances),
        may_join_cold=getattr(context, "may_join_cold", False),
    )


@then(r'they stage "(?P<staging>[^"]*)"')
def step_staging(context: Context, staging: str) -> None:
    found = plan_staging(plan_input(context))
    assert " ".join(f"{name}:{model}" for name, model in found.items()) == staging, found


@then(r'the plan is "(?P<plan>[^"]*)"')
def step_plan(context: Context, plan: str) -> None:
    found = []
    models = {group.id: group.model for group in context.groups}
    for command in plan_groups(plan_input(context)):
        match command:
            case FormGroup(model, members):
                found.append(f"form {model}:{''.join(members)}")
            case RepairGroup(group, _, members):
                found.append(f"repair {models[group]}:{''.join(members)}")
            case DissolveGroup(group, _):
                members = next(item.members for item in context.groups if item.id == group)
                found.append(f"dissolve {models[group]}:{''.join(members)}")
            case _:
                found.append(repr(command))
    assert ", ".join(found) == plan, found
