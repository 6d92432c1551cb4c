"""Supply of groups to the models, compared over all failure domains.

Members are lost by chance, and a domain that repairs its groups sees only those. Without this
comparison the model that has lost more groups also loses its spares, one domain at a time, to the
model that has lost fewer.
"""

from collections import Counter
from math import inf

import msgspec

from jaylatch_core.configuration import ModelSpecification
from jaylatch_decisions.groups.facts import PlanInput

GROUP_TOLERANCE = 0.25
"""Fraction of a group by which the better supplied of two models must differ, so that shares that
are no whole groups do not move groups back and forth."""
SHORT_BY = 0.5
"""Fraction of a group that a model must lack to be short."""


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
    for item in facts.free_instances:
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


def supply_of(model: ModelSpecification, groups: int) -> float:
    """Return ``groups`` of the model for its share; infinite for a model without a share."""
    return groups / model.share if model.share > 0 else inf


def short_models(facts: PlanInput) -> frozenset[str]:
    """Return the models that have fewer complete groups for their share than another model has.

    A model is short if it lacks more than half a group, and if the configuration wants one more.
    """
    complete = count_complete(facts)
    models = facts.configuration.models
    highest = max(
        (supply_of(model, complete[model.name]) for model in models if model.share > 0),
        default=0.0,
    )
    return frozenset(
        model.name
        for model in models
        if (model.groups == 0 or complete[model.name] < model.groups)
        and complete[model.name] + SHORT_BY <= highest * model.share
    )


def can_give_group(
    donor: ModelSpecification, donor_groups: int, model: ModelSpecification, groups: int
) -> bool:
    """Return whether the worse supplied of two models gains if ``donor`` gives up a group.

    ``donor_groups`` and ``groups`` are the complete groups that each has before; ``model`` has or
    gets one more for it.
    """
    if donor.name == model.name or donor.share <= 0:
        return False
    left = supply_of(donor, donor_groups - 1)
    return left * model.share >= groups + GROUP_TOLERANCE
