"""Groups whose members are in several failure domains.

When no domain has enough instances left for a complete group of a model, but idle instances in
several domains have staged it, a slower group across domains serves until a domain can complete one
of its own, which takes as long as a load from the weight store.
"""

from collections import Counter
from collections.abc import Iterable, Mapping

from jaylatch_core.ids import FailureDomainId, GroupId, InstanceId
from jaylatch_core.messages.control import Group
from jaylatch_decisions.groups.facts import InstanceFacts, PlanInput

MAX_SCARCE_GROUPS = 1
"""Maximum number of serving groups of a model for which groups may span domains: with more, an idle
instance is more useful as a spare of its own domain than in a slow group."""


def home_domain(group: Group, known: Mapping[InstanceId, InstanceFacts]) -> FailureDomainId:
    """Return the domain of the group, which is that of its first known member."""
    for member in group.members:
        if member in known:
            return known[member].failure_domain
    return FailureDomainId("")


def remote_members(group: Group, known: Mapping[InstanceId, InstanceFacts]) -> list[InstanceId]:
    """Return the members that are not in the group's own domain."""
    home = home_domain(group, known)
    return [
        member
        for member in group.members
        if member in known and known[member].failure_domain != home
    ]


def scarce_models(facts: PlanInput) -> frozenset[str]:
    """Return the models with a broken group for which instances of any domain may be used."""
    broken = Counter(group.model for group in facts.broken_groups)
    complete = Counter(group.model for group in facts.groups) - broken
    return frozenset(
        model
        for model in broken.keys() & facts.spanning_models
        if complete[model] <= MAX_SCARCE_GROUPS
    )


def groups_to_recall(facts: PlanInput) -> frozenset[GroupId]:
    """Return the spanning groups that free instances of their own domain can now complete.

    They must be drained, so that their remote members can be replaced.
    """
    known = {item.instance: item for item in facts.instances}
    assigned = facts.assigned
    recalled = set()
    for group in facts.groups:
        remote = remote_members(group, known)
        home = home_domain(group, known)
        replacements = [
            item
            for item in known.values()
            if item.failure_domain == home
            and item.instance not in assigned
            and may_replace(item, group.model)
        ]
        if remote and len(replacements) >= len(remote) and group.id not in facts.outdated:
            recalled.add(group.id)
    return frozenset(recalled)


def may_replace(item: InstanceFacts, model: str) -> bool:
    """Return whether a free instance can join a group of ``model`` in a short time."""
    is_free = item.is_usable and not item.is_drained and item.epoch == 0 and item.is_settled
    staged = item.staged_models
    return is_free and not item.staging_model and (staged is None or model in staged)


def least_complete_first(groups: Iterable[Group], lost: frozenset[InstanceId]) -> list[Group]:
    """Return ``groups`` by the number of lost members, most first."""
    return sorted(groups, key=lambda group: (-len(lost & set(group.members)), group.epoch))
