"""Steps that test staging, warm-ups, and plans restricted to instances that hold the model."""

import msgspec
from behave import given, then, use_step_matcher
from behave.runner import Context

from jaylatch_core.configuration import Configuration, ModelSpecification
from jaylatch_core.enums import GroupState
from jaylatch_core.ids import Epoch, FailureDomainId, GroupId, InstanceId
from jaylatch_core.messages.control import DissolveGroup, FormGroup, Group, RepairGroup
from jaylatch_decisions.groups import (
    InstanceFacts,
    PlanInput,
    groups_to_recall,
    plan_conversion,
    plan_groups,
    plan_staging,
    plan_warm_ups,
    short_models,
)

MODELS = (ModelSpecification("v", 4, 0, 1.0), ModelSpecification("f", 3, 0, 1.0))
DOMAIN = FailureDomainId("domain")

LEFT_EPOCH = Epoch(90)
KNOWN_DURATION = 60.0
"""Seconds; an instance known for this long is not recently seen."""
LOST_DURATION = 10.0
"""Seconds; longer than survivors wait for a lost member."""

use_step_matcher("re")


@given(r'the instances "(?P<instances>[^"]*)" of one domain')
def step_instances(context: Context, instances: str) -> None:
    context.instances = parse_instances(instances, DOMAIN)


@given(r'the instances "(?P<instances>[^"]*)" of the domain (?P<domain>\w+)')
def step_domain_instances(context: Context, instances: str, domain: str) -> None:
    known = getattr(context, "instances", [])
    context.instances = known + parse_instances(instances, FailureDomainId(domain))


@given(r"a weight store that serves (?P<limit>\d+) loads at full speed")
def step_parallel_loads(context: Context, limit: str) -> None:
    context.parallel_loads = int(limit)


@given("groups that may span domains")
def step_may_span(context: Context) -> None:
    context.spanning_models = frozenset(model.name for model in MODELS)


@given(r"only groups of (?P<model>\w+) may span domains")
def step_model_may_span(context: Context, model: str) -> None:
    context.spanning_models = frozenset({model})


@given(r'"(?P<heads>[^"]*)" have no more work')
def step_idle_heads(context: Context, heads: str) -> None:
    epochs = {group.head: group.epoch for group in context.groups}
    context.instances = [
        (
            msgspec.structs.replace(item, draining_epoch=epochs[item.instance])
            if item.instance in heads.split()
            else item
        )
        for item in context.instances
    ]


def parse_instances(instances: str, domain: FailureDomainId) -> list[InstanceFacts]:
    found = []
    for text in instances.split():
        name, _, state = text.partition("=")
        held, _, loading = state.rstrip("!?%").partition(">")
        found.append(
            InstanceFacts(
                InstanceId(name),
                domain,
                not state.endswith("!"),
                state.endswith("%"),
                Epoch(0),
                False,
                0,
                staged_models=tuple(item for item in held if item != "-"),
                staging_model=loading,
                unusable_for=LOST_DURATION if state.endswith("!") else 0.0,
                known_for=0.0 if state.endswith("?") else KNOWN_DURATION,
            )
        )
    return found


@given("the first start of the deployment")
def step_first_start(context: Context) -> None:
    context.may_join_cold = True


@given(r'the formed groups "(?P<groups>[^"]*)"')
def step_domain_groups(context: Context, groups: str) -> None:
    context.groups = []
    add_groups(context, groups)
    leaving = {item.instance for item in context.instances if item.is_drained}
    heads = {group.head for group in context.groups if leaving & set(group.members)}
    if heads:
        step_idle_heads(context, " ".join(heads))


def add_groups(context: Context, groups: str) -> None:
    for number, text in enumerate(groups.split(), start=1):
        model, members = text.split(":")
        ids = tuple(InstanceId(member) for member in members)
        group = Group(GroupId(f"g{number}"), Epoch(number), model, ids, GroupState.ACTIVE)
        context.groups.append(group)


def plan_input(context: Context) -> PlanInput:
    configuration = Configuration(models=getattr(context, "models", MODELS))
    return PlanInput(
        configuration,
        configuration.ordinary,
        tuple(context.groups),
        getattr(context, "occupied", {}),
        tuple(context.instances),
        may_join_cold=getattr(context, "may_join_cold", False),
        spanning_models=getattr(context, "spanning_models", frozenset()),
        parallel_loads=getattr(context, "parallel_loads", 0),
    )


@then(r'the groups to recall are "(?P<groups>[^"]*)"')
def step_recalled(context: Context, groups: str) -> None:
    assert groups_to_recall(plan_input(context)) == set(groups.split())


@given(r'the last groups were "(?P<warm>[^"]*)"')
def step_last_groups(context: Context, warm: str) -> None:
    pairs = (text.split(":") for text in warm.split())
    context.warm = {InstanceId(name): model for name, model in pairs}


@then(r'they are warmed up "(?P<warm_ups>[^"]*)"')
def step_warm_ups(context: Context, warm_ups: str) -> None:
    found = plan_warm_ups(plan_input(context), context.warm)
    assert " ".join(f"{name}:{model}" for name, model in found.items()) == warm_ups, found


@then(r'they stage "(?P<staging>[^"]*)"')
def step_staging(context: Context, staging: str) -> None:
    facts = plan_input(context)
    found = plan_staging(facts, plan_conversion(facts))
    assert " ".join(f"{name}:{model}" for name, model in found.items()) == staging, found


@then(r'the plan is "(?P<plan>[^"]*)"')
def step_plan(context: Context, plan: str) -> None:
    found = []
    models = {group.id: group.model for group in context.groups}
    facts = plan_input(context)
    for command in plan_groups(facts, plan_conversion(facts)):
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


@then(r'the short models are "(?P<models>[^"]*)"')
def step_short_models(context: Context, models: str) -> None:
    found = short_models(plan_input(context))
    assert " ".join(sorted(found)) == models, found


@then(r'the conversion is "(?P<conversion>[^"]*)"')
def step_conversion(context: Context, conversion: str) -> None:
    found = plan_conversion(plan_input(context))
    text = ""
    if found is not None:
        loads = " ".join(found.loads)
        text = f"{found.group} to {found.model}: {'ready' if found.is_ready else loads}"
    assert text.strip() == conversion, found


@given(r'"(?P<names>[^"]*)" have not left their last group')
def step_leaving(context: Context, names: str) -> None:
    leaving = [item for item in context.instances if item.instance in names.split()]
    context.occupied = {item.instance: LEFT_EPOCH for item in leaving}


@given(r'models "(?P<models>[^"]*)"')
def step_models(context: Context, models: str) -> None:
    parsed = []
    for text in models.split():
        name, _, numbers = text.partition("=")
        share, _, wanted = numbers.partition("/")
        parsed.append(ModelSpecification(name, 1, int(wanted or 0), float(share)))
    context.models = tuple(parsed)


@given(r'complete groups "(?P<groups>[^"]*)"')
def step_complete_groups(context: Context, groups: str) -> None:
    """Make groups of one instance each, in a domain of its own."""
    context.instances, context.groups = [], []
    for text in groups.split():
        model, number = text.split("=")
        names = [f"{model}{index}" for index in range(int(number))]
        for name in names:
            context.instances += parse_instances(f"{name}={model}", FailureDomainId(name))
            epoch = Epoch(len(context.groups) + 1)
            context.groups.append(
                Group(GroupId(name), epoch, model, (InstanceId(name),), GroupState.ACTIVE)
            )


@then(r'giving up a group of "(?P<giving>[^"]*)" leaves enough: (?P<result>\w*)')
def step_gives_up(context: Context, giving: str, result: str) -> None:
    found = plan_conversion(plan_input(context))
    if giving:
        assert (found is not None) == (result == "yes"), found
        assert found is None or found.group.startswith(giving), found
    else:
        assert found is None, found
