"""Which free instances should be warmed up for the model that their hosts hold.

Answers the downtime of a group that loses a member: an engine whose last group was of the same
model joins another one several times faster than one that has only the weights on its host. A
warm-up is a short membership of a group of one that is never opened.
"""

from collections.abc import Mapping

from jaylatch_core.ids import InstanceId
from jaylatch_decisions.groups.facts import PlanInput
from jaylatch_decisions.groups.spanning import home_of, may_replace


def plan_warm_ups(facts: PlanInput, warm: Mapping[InstanceId, str]) -> dict[InstanceId, str]:
    """Return the model to warm up for, by free instance.

    ``warm`` has the model of the last group of each instance, as far as is known. No instance is
    taken from a broken group of its domain that could use it now.
    """
    if facts.may_join_cold:
        return {}
    known = {item.instance: item for item in facts.instances}
    assigned = facts.assigned
    waiting = {(home_of(group, known), group.model) for group in facts.broken_groups}
    wanted = {model.name for model in facts.configuration.models}
    warm_ups: dict[InstanceId, str] = {}
    for item in facts.instances:
        if item.instance in assigned or item.is_newcomer:
            continue
        for model in item.staged_models or ():
            is_useful = model in wanted and warm.get(item.instance) != model
            has_time = (item.failure_domain, model) not in waiting
            if is_useful and has_time and may_replace(item, model):
                warm_ups[item.instance] = model
                break
    return warm_ups
