"""Steps that run the planner against random losses, returns, drains and changes of the models."""

import msgspec
from behave import then, when
from behave.runner import Context
from hypothesis import HealthCheck, given, seed, settings
from hypothesis import strategies as st
from returns.pipeline import is_successful

from jaylatch_core.configuration import (
    Configuration,
    GroupWeights,
    ModelSpecification,
    PresetPolicy,
)
from jaylatch_core.ids import Epoch, FailureDomainId, InstanceId
from jaylatch_core.messages.control import ControlCommand, FormGroup, RepairGroup
from jaylatch_decisions.control import ControlState
from jaylatch_decisions.groups import InstanceFacts, PlanInput, plan_groups

DOMAIN_COUNT = 3
INSTANCES_PER_DOMAIN = 6
ROUND_DURATION = 0.5
"""Seconds."""
SETTLING_ROUNDS = 60
SLOW_INTERVAL_ROUNDS = 3
"""A slow instance follows the control state only in every third round."""
SEED = 4

instances = st.integers(0, DOMAIN_COUNT * INSTANCES_PER_DOMAIN - 1)
events = st.one_of(
    st.tuples(st.just("lose"), instances),
    st.tuples(st.just("return"), instances),
    st.tuples(st.just("drain"), instances),
    st.tuples(st.just("undrain"), instances),
    st.tuples(st.just("slow"), instances),
    st.tuples(st.just("dark"), st.integers(0, DOMAIN_COUNT - 1)),
    st.tuples(st.just("rounds"), st.integers(1, 6)),
    st.tuples(st.just("wish"), st.integers(0, 3)),
    st.tuples(st.just("size"), st.integers(1, 4)),
)
models = st.lists(st.tuples(st.integers(1, 4), st.integers(0, 4)), min_size=1, max_size=2).map(
    lambda pairs: tuple(
        ModelSpecification(f"m{number}", size, groups)
        for number, (size, groups) in enumerate(pairs)
    )
)


class PlannerSimulation:
    """Instances that follow the control state at once or some rounds later."""

    def __init__(self, configuration: Configuration, policy: PresetPolicy) -> None:
        self.configuration = configuration
        self.policy = policy
        self.state = ControlState()
        self.names = [
            InstanceId(f"{domain}-{number}")
            for domain in range(DOMAIN_COUNT)
            for number in range(INSTANCES_PER_DOMAIN)
        ]
        self.lost_for: dict[InstanceId, float] = {}
        self.drained: set[InstanceId] = set()
        self.epochs = dict.fromkeys(self.names, Epoch(0))
        self.slow: set[InstanceId] = set()
        self.round = 0
        self.faults: list[str] = []

    def apply_event(self, event: tuple[str, int]) -> None:
        """Apply one random event."""
        kind, number = event
        match kind:
            case "lose":
                self.lost_for.setdefault(self.names[number], 0.0)
            case "return":
                self.lost_for.pop(self.names[number], None)
            case "drain":
                self.drained.add(self.names[number])
            case "undrain":
                self.drained.discard(self.names[number])
            case "slow":
                self.slow ^= {self.names[number]}
            case "dark":
                for name in self.names[
                    number * INSTANCES_PER_DOMAIN : (number + 1) * INSTANCES_PER_DOMAIN
                ]:
                    self.lost_for.setdefault(name, 0.0)
            case "wish":
                self._change_first_model(groups=number)
            case "size":
                self._change_first_model(instances_per_group=number)
            case _:
                for _ in range(number):
                    self.run_round()

    def run_round(self) -> int:
        """Plan, apply the commands, let the instances follow; return the number of commands."""
        commands = plan_groups(self.input())
        for command in commands:
            self._check_new_members(command)
            result = self.state.apply(command)
            if not is_successful(result):
                self.faults.append(f"refused: {command}: {result.failure().detail}")
        self._check_groups()
        self.round += 1
        for name in self.names:
            if name in self.slow and self.round % SLOW_INTERVAL_ROUNDS:
                continue
            if name not in self.lost_for:
                group = self.state.group_of(name)
                self.epochs[name] = group.epoch if group is not None else Epoch(0)
            else:
                self.lost_for[name] += ROUND_DURATION
        return len(commands)

    def input(self) -> PlanInput:
        facts = tuple(self._facts(name) for name in self.names)
        groups = tuple(self.state.groups.values())
        return PlanInput(self.configuration, self.policy, groups, dict(self.state.occupied), facts)

    def formable_groups(self) -> list[str]:
        """Return the groups that free instances other than the spares could still form."""
        restored = ControlState.load(self.state.dump())
        facts = self.input()
        unoccupied = PlanInput(
            facts.configuration, facts.policy, tuple(restored.groups.values()), {}, facts.instances
        )
        return [str(item) for item in plan_groups(unoccupied) if isinstance(item, FormGroup)]

    def _facts(self, name: InstanceId) -> InstanceFacts:
        group = self.state.group_of(name)
        return InstanceFacts(
            name,
            FailureDomainId(name[0]),
            name not in self.lost_for,
            name in self.drained,
            self.epochs[name],
            self.epochs[name] > 0,
            0,
            draining_epoch=group.epoch if group is not None else Epoch(0),
            unusable_for=self.lost_for.get(name, 0.0),
        )

    def _change_first_model(self, **changes: int) -> None:
        first, *others = self.configuration.models
        changed = msgspec.structs.replace(first, **changes)
        self.configuration = msgspec.structs.replace(self.configuration, models=(changed, *others))

    def _check_new_members(self, command: ControlCommand) -> None:
        if not isinstance(command, FormGroup | RepairGroup):
            return
        group = self.state.groups.get(getattr(command, "group", None))
        staying = group.members if group is not None else ()
        unreleased = [
            name for name in command.members if name not in staying and self.epochs[name] > 0
        ]
        if unreleased:
            self.faults.append(f"two groups: {unreleased} still act for another: {command}")

    def _check_groups(self) -> None:
        members = [member for group in self.state.groups.values() for member in group.members]
        if len(members) != len(set(members)):
            self.faults.append(f"two groups: {members}")
        for group in self.state.groups.values():
            if len({member[0] for member in group.members}) != 1:
                self.faults.append(f"two domains: {group}")
            if any(
                member in self.state.occupied and self.epochs[member] > group.epoch
                for member in group.members
            ):
                self.faults.append(f"two groups: {group} has an unreleased member")


@when(
    "{number:d} random histories of losses, returns, drains and changes of the models run"
    " until the planner is idle"
)
def step_histories(context: Context, number: int) -> None:
    context.faults = []
    context.unfinished = []

    @seed(SEED)
    @settings(
        max_examples=number,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(
        models,
        st.lists(events, min_size=5, max_size=40),
        st.sampled_from([(10.0, 1.0), (1.0, 10.0), (1.0, 1.0)]),
        st.integers(0, 2),
    )
    def run_history(
        wanted: tuple[ModelSpecification, ...],
        history: list[tuple[str, int]],
        weights: tuple[float, float],
        spares: int,
    ) -> None:
        configuration = Configuration(models=wanted, weights=GroupWeights(*weights))
        simulation = PlannerSimulation(configuration, PresetPolicy(spares_per_domain=spares))
        for event in history:
            simulation.apply_event(event)
        counts = [simulation.run_round() for _ in range(SETTLING_ROUNDS)]
        if any(counts[-5:]):
            context.unfinished.append(f"planner is not idle: {plan_groups(simulation.input())}")
        context.unfinished += simulation.formable_groups()
        context.faults += simulation.faults
        assert not context.faults and not context.unfinished

    run_history()


@then("the planner never proposed a command that the state refused")
def step_accepted(context: Context) -> None:
    assert not [fault for fault in context.faults if "refused" in fault], context.faults[:5]


@then("no instance was ever in two groups, and no group in two failure domains")
def step_disjoint(context: Context) -> None:
    assert not [fault for fault in context.faults if "two" in fault], context.faults[:5]


@then("in the end no free instance was left that a wanted group could use")
def step_in_use(context: Context) -> None:
    assert not context.unfinished, context.unfinished[:5]
