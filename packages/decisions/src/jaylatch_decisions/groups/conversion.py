"""Conversion of a serving group into one of another model.

When a model is short of groups and no domain has enough free instances for one of its groups, the
members of a group of a better supplied model load the short model while they serve. Only then does
their group end its work, so that both models wait for seconds instead of for a load from the
weight store.
"""

from collections import Counter
from collections.abc import Iterator

import msgspec

from jaylatch_core.configuration import ModelSpecification
from jaylatch_core.ids import FailureDomainId, GroupId, InstanceId
from jaylatch_core.messages.control import Group
from jaylatch_decisions.groups.facts import InstanceFacts, PlanInput
from jaylatch_decisions.groups.spanning import home_domain, remote_members
from jaylatch_decisions.groups.supply import (
    can_give_group,
    count_complete,
    short_models,
    supply_of,
)
from jaylatch_decisions.groups.weighing import kept_spares


class Conversion(msgspec.Struct, frozen=True):
    """A group to end so that its members can join a group of ``model``.

    ``loads`` are the instances that must be ordered to load the model; the group ends when
    ``is_ready``, after all loads.
    """

    group: GroupId
    model: str
    loads: tuple[InstanceId, ...]
    is_ready: bool


def plan_conversion(facts: PlanInput) -> Conversion | None:
    """Return the conversion that needs the fewest loads for the shortest model, or None.

    The model that gives up a group remains better supplied than the other one is now.
    """
    short = short_models(facts)
    if not short or facts.may_join_cold:
        return None
    complete = count_complete(facts)
    models = {model.name: model for model in facts.configuration.models}
    model = models[min(short, key=lambda name: (supply_of(models[name], complete[name]), name))]
    needs = _Needs(facts, model)
    donors = {
        name
        for name, other in models.items()
        if can_give_group(other, complete[name], model, complete[model.name])
    }
    choices = [
        conversion
        for group in needs.convertible_groups
        if group.model in donors and (conversion := needs.convert(group)) is not None
    ]
    if any(len(needs.free(domain)) >= needs.count(domain) for domain in needs.domains):
        # Staging on free instances completes a group, but a reserve completes it sooner.
        choices = [item for item in choices if item.is_ready]
    return min(choices, key=lambda item: (len(item.loads), item.group), default=None)


class _Needs:
    """What each domain lacks for one more complete group of one model."""

    def __init__(self, facts: PlanInput, model: ModelSpecification) -> None:
        self._facts = facts
        self._model = model
        self._known = {item.instance: item for item in facts.instances}
        self._broken = facts.broken_groups
        self._own_groups_in = Counter(
            home_domain(group, self._known) for group in facts.groups if group.model == model.name
        )

    @property
    def domains(self) -> frozenset[FailureDomainId]:
        """Return the domains with usable instances."""
        return frozenset(item.failure_domain for item in self._facts.instances if item.is_usable)

    @property
    def convertible_groups(self) -> Iterator[Group]:
        """Iterate over the complete groups whose members are all in one domain.

        Outdated groups end in an order of their own.
        """
        for group in self._facts.groups:
            is_staying = group.id not in self._facts.outdated and group not in self._broken
            if is_staying and not remote_members(group, self._known):
                yield group

    def free(self, domain: FailureDomainId) -> list[InstanceFacts]:
        """Return the free instances of a domain."""
        return [item for item in self._facts.free_instances if item.failure_domain == domain]

    def count(self, domain: FailureDomainId) -> int:
        """Return how many instances repair a broken group of the domain, or form a new one."""
        lacking = [
            sum(
                member not in self._known or not self._known[member].is_usable
                for member in group.members
            )
            for group in self._broken
            if group.model == self._model.name and home_domain(group, self._known) == domain
        ]
        if lacking:
            return min(lacking)
        spares = kept_spares(self._facts.configuration.weights, self._facts.policy)
        return self._model.instances_per_group + (spares if self._own_groups_in[domain] else 0)

    def convert(self, group: Group) -> Conversion | None:
        """Return the conversion of ``group``, or None if its domain has too few instances."""
        domain = home_domain(group, self._known)
        available = [*self.free(domain), *(self._known[member] for member in group.members)]
        count = self.count(domain)
        if len(available) < count:
            return None
        # Instances that need no load come first, then those whose load has begun.
        chosen = sorted(
            available, key=lambda item: (not self._has_staged(item), not self._is_loading(item))
        )
        missing = [item for item in chosen[:count] if not self._has_staged(item)]
        loads = tuple(item.instance for item in missing if not item.staging_model)
        return Conversion(group.id, self._model.name, loads, not missing)

    def _has_staged(self, item: InstanceFacts) -> bool:
        return not item.staging_model and self._model.name in (item.staged_models or ())

    def _is_loading(self, item: InstanceFacts) -> bool:
        return item.staging_model == self._model.name
