"""Supply of groups to the models, compared over all failure domains.

Members are lost by chance, and a domain that repairs its groups sees only those. Without this
comparison the model that has lost more groups also loses its spares, one domain at a time, to the
model that has lost fewer.
"""

from collections import Counter

import msgspec

from jaylatch_decisions.groups.facts import PlanInput

SHARE_TOLERANCE = 1.1
"""Factor by which one model may have more groups for its share than another and count as equal."""


class ModelSupply(msgspec.Struct, frozen=True):
    """Groups of one model, and the instances in no group that store it or load it.

    ``broken`` of the ``groups`` lack a member.
    """

    model: str
    groups: int
    broken: int
    free: int
    loading: int


def count_supply(facts: PlanInput) -> tuple[ModelSupply, ...]:
    """Return the supply of each model of the configuration."""
    groups = Counter(group.model for group in facts.groups)
    broken = Counter(group.model for group in facts.broken_groups)
    free = Counter[str]()
    loading = Counter[str]()
    assigned = facts.assigned
    for item in facts.instances:
        if item.instance in assigned or not item.is_usable or item.is_drained:
            continue
        if item.staging_model:
            loading[item.staging_model] += 1
        else:
            free.update(item.staged_models or ())
    return tuple(
        ModelSupply(
            model.name,
            groups[model.name],
            broken[model.name],
            free[model.name],
            loading[model.name],
        )
        for model in facts.configuration.models
    )


def count_complete(facts: PlanInput) -> Counter[str]:
    """Return the number of complete groups of each model."""
    complete = Counter(group.model for group in facts.groups)
    complete.subtract(group.model for group in facts.broken_groups)
    return complete


def short_models(facts: PlanInput) -> frozenset[str]:
    """Return the models that have fewer complete groups for their share than another model has.

    A model is short if one more complete group would still not give it more than the other.
    ``SHARE_TOLERANCE`` ignores the fractions of a group by which shares differ.
    """
    complete = count_complete(facts)
    models = facts.configuration.models
    highest = max((complete[model.name] / model.share for model in models), default=0.0)
    return frozenset(
        model.name
        for model in models
        if (complete[model.name] + 1) / model.share <= highest * SHARE_TOLERANCE
    )
