"""Reserves: members of serving groups that also store a model of another, scarcer group.

Load pattern: a domain holds one large group of a model, many small ones of another and no spare for
the large one, and members are lost every few seconds. Without a reserve each loss in the large
group stops a fifth of its model's work for the quarter of a minute that a load takes. A load in the
background costs a serving member nothing. When the large group loses a member, the group of the
reserve is converted: one small group ends in place of the large one's long wait.
"""

from collections import defaultdict
from collections.abc import Iterator

from jaylatch_core.configuration import ModelSpecification
from jaylatch_core.ids import FailureDomainId, InstanceId
from jaylatch_core.messages.control import Group
from jaylatch_decisions.groups.facts import InstanceFacts, PlanInput
from jaylatch_decisions.groups.spanning import home_domain, remote_members
from jaylatch_decisions.groups.supply import can_give_group, count_complete


def plan_reserves(facts: PlanInput) -> dict[InstanceId, str]:
    """Return the members of serving groups that should store another model, and that model.

    Each domain gets one reserve for each model whose groups there are complete, and that no free
    instance or other member stores or loads, if another model could better spare a group.
    """
    if facts.may_join_cold:
        return {}
    known = {item.instance: item for item in facts.instances}
    broken = {group.id for group in facts.broken_groups}
    groups: dict[FailureDomainId, list[Group]] = defaultdict(list)
    for group in facts.groups:
        groups[home_domain(group, known)].append(group)
    reserves: dict[InstanceId, str] = {}
    for domain in sorted(groups.keys() - facts.changing_domains):
        serving = [
            group
            for group in groups[domain]
            if group.id not in broken and not remote_members(group, known)
        ]
        exposed = {group.model for group in groups[domain]}
        exposed -= {group.model for group in groups[domain] if group.id in broken}
        for model in (item for item in facts.configuration.models if item.name in exposed):
            if _has_reserve(facts, domain, model.name, serving, known):
                continue
            donors = (group for group in serving if _can_spare(facts, group.model, model))
            chosen = next(_storable_members(donors, known, reserves), None)
            if chosen is not None:
                reserves[chosen] = model.name
    return reserves


def _has_reserve(
    facts: PlanInput,
    domain: FailureDomainId,
    model: str,
    serving: list[Group],
    known: dict[InstanceId, InstanceFacts],
) -> bool:
    """Return whether an instance outside the model's groups stores the model or loads it."""
    members = [known[item] for group in serving if group.model != model for item in group.members]
    free = [item for item in facts.free_instances if item.failure_domain == domain]
    return any(
        item.staging_model == model or model in (item.staged_models or ())
        for item in (*free, *members)
    )


def _can_spare(facts: PlanInput, donor: str, model: ModelSpecification) -> bool:
    """Return whether ``donor`` could give up a group if ``model`` lost one."""
    complete = count_complete(facts)
    models = (item for item in facts.configuration.models if item.name == donor)
    return any(
        can_give_group(item, complete[donor], model, complete[model.name] - 1) for item in models
    )


def _storable_members(
    groups: Iterator[Group], known: dict[InstanceId, InstanceFacts], taken: dict[InstanceId, str]
) -> Iterator[InstanceId]:
    """Iterate over the members that could store another model; a head comes last in its group."""
    for group in groups:
        if taken.keys().isdisjoint(group.members):
            yield from (item for item in reversed(group.members) if not known[item].staging_model)
