"""Retirement of groups that the configuration no longer wants.

Load pattern: the configuration changes the size of a model, or replaces a model, under full load,
where nearly all instances are members of the groups that no longer fit. A retiring group admits no
new work, and is dissolved once nothing is in flight. Groups of a former size retire one at a time,
so that some group of the model serves while the next one is formed.
"""

from jaylatch_core.configuration import ModelSpecification
from jaylatch_core.ids import FailureDomainId, GroupId, InstanceId
from jaylatch_core.messages.control import Group
from jaylatch_decisions.groups.facts import InstanceFacts, PlanInput
from jaylatch_decisions.groups.spanning import home_domain
from jaylatch_decisions.groups.weighing import instances_for_group


def retiring_groups(facts: PlanInput) -> frozenset[GroupId]:
    """Return the groups that should end: outdated ones, and those beyond the wanted number.

    Of the groups beyond the wanted number those with most lost members retire first. Groups of a
    former size retire one at a time; all of them do that are broken or whose time has expired.
    """
    broken = {group.id for group in facts.broken_groups}
    retiring = {
        group.id
        for group in facts.groups
        if facts.configuration.model(group.model) is None
        or group.id in facts.outdated & (facts.expired | broken)
    }
    for model in facts.configuration.models:
        own = [group for group in facts.groups if group.model == model.name]
        current = [group for group in own if group.id not in facts.outdated]
        former = [group for group in own if group.id in facts.outdated - retiring]
        retiring |= _beyond_wanted(model, current, facts.lost_members)
        if former:
            retiring |= _Replacement(facts, model, current, former).next_retiring()
    return frozenset(retiring)


def _beyond_wanted(
    model: ModelSpecification, groups: list[Group], lost: frozenset[InstanceId]
) -> set[GroupId]:
    if model.groups == 0:
        return set()
    ordered = sorted(groups, key=lambda group: (len(lost & set(group.members)), group.epoch))
    return {group.id for group in ordered[model.groups :]}


class _Replacement:
    """Replacement of the ``former`` groups of a model by groups of the configured size."""

    def __init__(
        self, facts: PlanInput, model: ModelSpecification, current: list[Group], former: list[Group]
    ) -> None:
        self._facts = facts
        self._model = model
        self._current = current
        self._former = former
        self._known = {item.instance: item for item in facts.instances}

    def next_retiring(self) -> set[GroupId]:
        """Return the former group that ends next, or nothing while a group takes its place.

        The last serving group goes on until another one of the model serves, unless its members
        are what that one lacks.
        """
        if self._is_formable():
            return set()
        ending = min(self._former, key=lambda item: (not self._is_formable(item), item.epoch))
        others = [group for group in (*self._current, *self._former) if group is not ending]
        if any(self._serves(group) for group in others):
            return {ending.id}
        is_forming = any(group not in self._facts.broken_groups for group in self._current)
        return {ending.id} if self._is_formable(ending) and not is_forming else set()

    def _serves(self, group: Group) -> bool:
        head = self._known.get(group.head)
        is_open = head is not None and head.is_serving and head.epoch == group.epoch
        return is_open and group not in self._facts.broken_groups

    def _is_formable(self, ended: Group | None = None) -> bool:
        """Return whether a domain can complete one more group, once ``ended`` has left."""
        domains = {item.failure_domain for item in self._known.values()}
        return any(self._is_formable_in(domain, ended) for domain in domains)

    def _is_formable_in(self, domain: FailureDomainId, ended: Group | None) -> bool:
        joinable = [
            item
            for item in self._facts.instances
            if item.failure_domain == domain and self._may_join(item, ended)
        ]
        return any(count <= len(joinable) for count in self._needs_in(domain))

    def _needs_in(self, domain: FailureDomainId) -> list[int]:
        """Return how many instances of the domain form a group, and how many repair broken ones."""
        needs = [
            len(self._facts.lost_members & set(group.members))
            for group in self._current
            if group in self._facts.broken_groups and home_domain(group, self._known) == domain
        ]
        if not self._model.groups or len(self._current) < self._model.groups:
            protected = sum(
                home_domain(group, self._known) == domain
                for group in self._facts.groups
                if group.id not in self._facts.outdated
                and (self._facts.may_join_cold or group.model == self._model.name)
            )
            needs.append(instances_for_group(self._facts, self._model, protected))
        return needs

    def _may_join(self, item: InstanceFacts, ended: Group | None) -> bool:
        """Return whether the instance is, or is about to be, free for a group of the model."""
        if not item.is_usable or item.is_drained:
            return False
        if ended is not None and item.instance in ended.members:
            return True
        if item.instance in self._facts.members:
            return False
        staged = item.staged_models
        is_staged = staged is None or (self._model.name in staged and not item.staging_model)
        return self._facts.may_join_cold or is_staged
