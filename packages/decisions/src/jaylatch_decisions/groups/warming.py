"""Warm-up of free instances for the models that they have staged.

An engine whose last group was of the same model joins another one several times faster than one
that has only staged the weights, which shortens the downtime of a group that loses a member. A
warm-up is a short membership of a group of one that is never opened.
"""

from collections.abc import Mapping

from jaylatch_core.ids import InstanceId
from jaylatch_decisions.groups.facts import PlanInput
from jaylatch_decisions.groups.spanning import home_domain, may_replace


def plan_warm_ups(facts: PlanInput, warm: Mapping[InstanceId, str]) -> dict[InstanceId, str]:
    """Return the model to warm up for, by free instance.

    ``warm`` maps each instance to the model of its last group, as far as known. No instance is
    warmed up for a model that a broken group of its domain is waiting for, nor in a domain that
    is changing: it may complete a group there.
    """
    if facts.may_join_cold:
        return {}
    known = {item.instance: item for item in facts.instances}
    assigned = facts.assigned
    waiting = {(home_domain(group, known), group.model) for group in facts.broken_groups}
    wanted = {model.name for model in facts.configuration.models}
    changing = facts.changing_domains
    warm_ups: dict[InstanceId, str] = {}
    for item in facts.instances:
        if item.instance in assigned or item.failure_domain in changing:
            continue
        for model in item.staged_models or ():
            is_useful = model in wanted and warm.get(item.instance) != model
            is_unclaimed = (item.failure_domain, model) not in waiting
            if is_useful and is_unclaimed and may_replace(item, model):
                warm_ups[item.instance] = model
                break
    return warm_ups
