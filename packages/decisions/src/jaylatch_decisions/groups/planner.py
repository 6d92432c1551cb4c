"""The planner: a pure function from what is known of the instances to the next commands.

It proposes at most one change for each group and uses each free instance once, so the commands of
one call do not depend on each other.
"""

from collections import defaultdict

import msgspec

from jaylatch_core.configuration import Configuration, ModelSpecification, PresetPolicy
from jaylatch_core.ids import Epoch, FailureDomainId, InstanceId
from jaylatch_core.messages.control import (
    ConfirmRelease,
    ControlCommand,
    DissolveGroup,
    FormGroup,
    Group,
    RepairGroup,
)


class InstanceFacts(msgspec.Struct, frozen=True):
    """What the leader knows of one instance with a model engine.

    ``is_usable``: it renewed its lease of late and its engine is healthy. ``epoch`` is the one it
    last reported (0: in no group).
    """

    instance: InstanceId
    failure_domain: FailureDomainId
    is_usable: bool
    is_drained: bool
    epoch: Epoch
    is_serving: bool
    in_flight: int


class PlanInput(msgspec.Struct, frozen=True):
    """Everything the planner decides by."""

    configuration: Configuration
    policy: PresetPolicy
    groups: tuple[Group, ...]
    occupied: dict[InstanceId, Epoch]
    instances: tuple[InstanceFacts, ...]


def plan_groups(facts: PlanInput) -> list[ControlCommand]:
    """Return the commands that bring the groups closer to what the configuration wants."""
    planner = _Planner(facts)
    commands: list[ControlCommand] = planner.confirm_releases()
    commands += planner.mend_groups()
    commands += planner.form_groups()
    return commands


class _Planner:
    def __init__(self, facts: PlanInput) -> None:
        self._facts = facts
        self._known = {item.instance: item for item in facts.instances}
        self._free: dict[FailureDomainId, list[InstanceId]] = defaultdict(list)
        taken = {member for group in facts.groups for member in group.members}
        for item in sorted(facts.instances, key=lambda item: item.instance):
            is_available = item.is_usable and not item.is_drained
            is_unassigned = item.instance not in taken and item.instance not in facts.occupied
            if is_available and is_unassigned and item.epoch == 0:
                self._free[item.failure_domain].append(item.instance)

    def confirm_releases(self) -> list[ControlCommand]:
        """Free the instances that reported, under a live lease, to be in no group."""
        commands: list[ControlCommand] = []
        for instance, epoch in self._facts.occupied.items():
            item = self._known.get(instance)
            if item is not None and item.is_usable and item.epoch == 0:
                commands.append(ConfirmRelease(instance, epoch))
        return commands

    def mend_groups(self) -> list[ControlCommand]:
        """Replace lost or drained members; dissolve what cannot be mended and is not wanted."""
        commands: list[ControlCommand] = []
        for group in self._facts.groups:
            command = self._mend(group)
            if command is not None:
                commands.append(command)
        return commands

    def form_groups(self) -> list[ControlCommand]:
        """Form the wanted groups from free instances of one failure domain, leaving spares."""
        commands: list[ControlCommand] = []
        for model in self._facts.configuration.models:
            existing = sum(group.model == model.name for group in self._facts.groups)
            for domain in sorted(self._free):
                formed = self._form_in_domain(model, domain, existing)
                existing += len(formed)
                commands += formed
        return commands

    def _mend(self, group: Group) -> ControlCommand | None:
        if self._facts.configuration.model(group.model) is None:
            return self._dissolve_when_idle(group)
        lost = [member for member in group.members if self._is_lost(member)]
        if lost:
            return self._replace(group, lost)
        drained = [member for member in group.members if self._known[member].is_drained]
        if drained and self._is_idle(group):
            return self._replace(group, drained) or DissolveGroup(group.id, group.epoch)
        return None

    def _replace(self, group: Group, leaving: list[InstanceId]) -> ControlCommand | None:
        staying = [member for member in group.members if member not in leaving]
        if not staying:
            return DissolveGroup(group.id, group.epoch)
        spares = self._free[self._known[staying[0]].failure_domain]
        if len(spares) < len(leaving):
            return None
        joining = [spares.pop(0) for _ in leaving]
        return RepairGroup(group.id, group.epoch, tuple(staying + joining))

    def _dissolve_when_idle(self, group: Group) -> ControlCommand | None:
        return DissolveGroup(group.id, group.epoch) if self._is_idle(group) else None

    def _is_lost(self, member: InstanceId) -> bool:
        item = self._known.get(member)
        return item is None or not item.is_usable

    def _is_idle(self, group: Group) -> bool:
        head = self._known.get(group.head)
        if head is None or head.epoch != group.epoch:
            return False
        return not head.is_serving and head.in_flight == 0

    def _form_in_domain(
        self, model: ModelSpecification, domain: FailureDomainId, existing: int
    ) -> list[ControlCommand]:
        commands: list[ControlCommand] = []
        free = self._free[domain]
        size = model.instances_per_group
        needed = size + self._facts.policy.spares_per_domain
        while len(free) >= needed and (model.groups == 0 or existing < model.groups):
            members = tuple(free[:size])
            del free[:size]
            existing += 1
            commands.append(FormGroup(model.name, members))
        return commands
