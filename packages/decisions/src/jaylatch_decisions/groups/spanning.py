"""Groups whose members are in several failure domains.

Answers the loss of so many members that no domain has a whole group of a model left, while hosts
that hold the model stand idle in several domains: a slow group serves until a domain can complete
one of its own, which takes as long as a load from the weight store.
"""

from collections import Counter
from collections.abc import Iterable, Mapping

from jaylatch_core.ids import FailureDomainId, GroupId, InstanceId
from jaylatch_core.messages.control import Group
from jaylatch_decisions.groups.facts import InstanceFacts, PlanInput

SCARCE_GROUPS = 1
"""Serving groups of a model up to which groups may span domains: with more, an idle host protects
its own domain's group better than it serves in a slow one."""


def home_of(group: Group, known: Mapping[InstanceId, InstanceFacts]) -> FailureDomainId:
    """Return the domain that the group belongs to, which is its first known member's."""
    for member in group.members:
        if member in known:
            return known[member].failure_domain
    return FailureDomainId("")


def far_members(group: Group, known: Mapping[InstanceId, InstanceFacts]) -> list[InstanceId]:
    """Return the members that are not in the group's own domain."""
    home = home_of(group, known)
    return [
        member
        for member in group.members
        if member in known and known[member].failure_domain != home
    ]


def scarce_models(facts: PlanInput) -> frozenset[str]:
    """Return the models with a broken group for which hosts of any domain may be used."""
    broken = Counter(group.model for group in facts.broken_groups)
    whole = Counter(group.model for group in facts.groups) - broken
    return frozenset(
        model for model in broken.keys() & facts.spanning_models if whole[model] <= SCARCE_GROUPS
    )


def groups_to_recall(facts: PlanInput) -> frozenset[GroupId]:
    """Return the spanning groups that hosts of their own domain can complete by now.

    They are to end their work, so that their far members can be replaced.
    """
    known = {item.instance: item for item in facts.instances}
    assigned = facts.assigned
    recalled = set()
    for group in facts.groups:
        far = far_members(group, known)
        home = home_of(group, known)
        near = [
            item
            for item in known.values()
            if item.failure_domain == home
            and item.instance not in assigned
            and may_replace(item, group.model)
        ]
        if far and len(near) >= len(far):
            recalled.add(group.id)
    return frozenset(recalled)


def may_replace(item: InstanceFacts, model: str) -> bool:
    """Return whether a free instance can join a group of ``model`` in a short time."""
    is_free = item.is_usable and not item.is_drained and item.epoch == 0 and item.is_settled
    staged = item.staged_models
    return is_free and not item.staging_model and (staged is None or model in staged)


def least_whole_first(groups: Iterable[Group], lost: frozenset[InstanceId]) -> list[Group]:
    """Return ``groups`` by the number of lost members, most first."""
    return sorted(groups, key=lambda group: (-len(lost & set(group.members)), group.epoch))
