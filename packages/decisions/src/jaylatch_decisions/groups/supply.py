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
"""Fraction of a group by which a model may exceed its share: shares are seldom whole groups."""


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

    A model is short if one more complete group would still not give it more than the other, and if
    the configuration wants one more.
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
        and may_gain_group(model, complete[model.name], highest)
    )


def may_gain_group(model: ModelSpecification, complete: int, supply: float) -> bool:
    """Return whether one more group gives ``model`` no more for its share than ``supply``."""
    return complete + 1 <= supply * model.share + GROUP_TOLERANCE
