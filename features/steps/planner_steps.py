"""Steps that test the group planner over several models and domains, and load permits."""

from behave import given, then, when
from behave.runner import Context

from jaylatch_core.configuration import (
    Configuration,
    GroupWeights,
    ModelSpecification,
    PresetPolicy,
)
from jaylatch_core.enums import GroupState
from jaylatch_core.ids import Epoch, FailureDomainId, GroupId, InstanceId
from jaylatch_core.messages.control import (
    ControlCommand,
    DissolveGroup,
    FormGroup,
    Group,
    RepairGroup,
)
from jaylatch_decisions.groups import (
    InstanceFacts,
    LoadRequest,
    PlanInput,
    grant_load_permits,
    plan_groups,
)


@given("weights of {downtime:d} for downtime and {stranded:d} for stranded accelerators")
def step_weights(context: Context, downtime: int, stranded: int) -> None:
    context.weights = GroupWeights(downtime, stranded)


@given('models "{models}" with {spares:d} spare a domain')
def step_models(context: Context, models: str, spares: int) -> None:
    context.models = tuple(parse_model(text) for text in models.split())
    context.policy = PresetPolicy(spares_per_domain=spares)


def parse_model(text: str) -> ModelSpecification:
    name, numbers = text.split("=")
    size, groups = numbers.split("x")
    return ModelSpecification(name, int(size), int(groups))


@given('groups of several domains "{groups}" and free instances "{free}"')
@given('groups of several domains "{groups}" and free instances ""')
@given('groups of several domains "" and free instances "{free}"')
def step_groups_of_domains(context: Context, groups: str = "", free: str = "") -> None:
    texts = [text.split() for text in groups.split(";") if text.strip()]
    context.groups = tuple(
        Group(
            GroupId(str(number)),
            Epoch(number),
            model,
            tuple(InstanceId(member) for member in members),
            GroupState.ACTIVE,
        )
        for number, (model, *members) in enumerate(texts, start=1)
    )
    context.free = free.split()


@when('the planner runs with instances "{lost}" lost for {seconds:g} seconds')
@when('the planner runs with instances "" lost for {seconds:g} seconds')
def step_plan_lost(context: Context, seconds: float, lost: str = "") -> None:
    members = [(str(member), group.epoch) for group in context.groups for member in group.members]
    named = members + [(name, Epoch(0)) for name in context.free]
    facts = tuple(
        InstanceFacts(
            InstanceId(name),
            FailureDomainId(name[0]),
            name not in lost.split(),
            False,
            epoch,
            epoch > 0,
            0,
            unusable_for=seconds if name in lost.split() else 0.0,
        )
        for name, epoch in named
    )
    configuration = Configuration(models=context.models, weights=context.weights)
    plan = PlanInput(configuration, context.policy, context.groups, {}, facts)
    context.commands = [NamedCommand(command) for command in plan_groups(plan)]


class NamedCommand:
    """Formats a command as in the feature's tables: a group is named by its number."""

    def __init__(self, command: ControlCommand) -> None:
        self._command = command

    def __str__(self) -> str:
        match self._command:
            case FormGroup(members=members):
                return f"form {' '.join(members)}"
            case RepairGroup(group=group, members=members):
                return f"repair {group} {' '.join(members)}"
            case DissolveGroup(group=group):
                return f"dissolve {group}"
            case _:
                return type(self._command).__name__


@given('groups that wait for loads "{waiting}" and permits already held by "{held}"')
@given('groups that wait for loads "{waiting}" and permits already held by ""')
def step_waiting(context: Context, waiting: str, held: str = "") -> None:
    context.requests = []
    epochs = {}
    for text in waiting.split(";"):
        epoch, names = text.split(":")
        members = tuple(InstanceId(name) for name in names.split())
        epochs.update(dict.fromkeys(members, Epoch(int(epoch))))
        group = Group(GroupId(epoch), Epoch(int(epoch)), "m", members, GroupState.ACTIVE)
        context.requests.append(LoadRequest(group, members))
    context.held = frozenset(
        (InstanceId(name), epochs.get(InstanceId(name), Epoch(9))) for name in held.split()
    )


@when("permits are granted with a limit of {limit:d}")
def step_permits(context: Context, limit: int) -> None:
    context.permits = grant_load_permits(context.requests, context.held, limit)


@then('instances "{names}" may load')
def step_may_load(context: Context, names: str) -> None:
    assert sorted(instance for instance, _ in context.permits) == names.split()
