"""How the configured weights decide between group downtime and stranded accelerators."""

from jaylatch_core.configuration import GroupWeights, PresetPolicy

LONGEST_PATIENCE = 2.0
"""Seconds for which the survivors of a broken group wait for a lost member at most."""


def kept_spares(weights: GroupWeights, policy: PresetPolicy) -> int:
    """Return how many instances of a failure domain with a group are kept free.

    A spare shortens the downtime of a group that loses a member, and is itself stranded until then.
    Where a stranded accelerator costs more than a group's downtime, it is better used in a group.
    """
    is_downtime_dearer = weights.group_downtime >= weights.stranded_accelerator
    return policy.spares_per_domain if is_downtime_dearer else 0


def patience(weights: GroupWeights) -> float:
    """Return the seconds to wait for a lost member before its group is given up.

    The return of the member spares the survivors a load, which is downtime; the wait strands them.
    """
    total = weights.group_downtime + weights.stranded_accelerator
    return LONGEST_PATIENCE * weights.group_downtime / total if total > 0 else 0.0
