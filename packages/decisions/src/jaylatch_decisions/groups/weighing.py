"""Trade-offs between group downtime and stranded accelerators, by the configured weights."""

from jaylatch_core.configuration import GroupWeights, ModelSpecification, PresetPolicy
from jaylatch_decisions.groups.facts import PlanInput

MAX_REPAIR_TIMEOUT = 2.0
"""Maximum seconds for which the survivors of a broken group wait for a lost member."""


def kept_spares(weights: GroupWeights, policy: PresetPolicy) -> int:
    """Return how many instances of a failure domain with a group are kept free.

    A spare shortens the downtime of a group that loses a member, and is itself stranded until then.
    Where a stranded accelerator costs more than a group's downtime, it is better used in a group.
    """
    is_downtime_costlier = weights.group_downtime >= weights.stranded_accelerator
    return policy.spares_per_domain if is_downtime_costlier else 0


def instances_for_group(facts: PlanInput, model: ModelSpecification, protected: int) -> int:
    """Return how many free instances of a domain a new group requires, including the spares.

    A spare protects the groups of its domain; where ``protected`` is 0, none is kept.
    """
    spares = kept_spares(facts.configuration.weights, facts.policy) if protected > 0 else 0
    return model.instances_per_group + spares


def repair_timeout(weights: GroupWeights) -> float:
    """Return the seconds to wait for a lost member before its group is dissolved.

    If the member returns, the survivors need no new load, whose duration would be downtime. Until
    then the wait strands them.
    """
    total = weights.group_downtime + weights.stranded_accelerator
    return MAX_REPAIR_TIMEOUT * weights.group_downtime / total if total > 0 else 0.0
