"""Changes of the set of voters as control instances join.

Handles a control instance that is permanently lost and replaced at another address, and a
deployment whose initial settings name fewer instances than it needs to tolerate losses.
"""

from jaylatch_core.ids import InstanceId

VOTER_LOSS_TIMEOUT = 3.0
"""Seconds without contact after which a voter may be replaced. A restart takes 1 s; a voter that
returns after it was replaced has lost only its vote and asks to be admitted again."""


def plan_voter_changes(
    voters: tuple[InstanceId, ...],
    joining: InstanceId,
    wanted: int,
    unresponsive: list[InstanceId],
) -> list[tuple[InstanceId, ...]]:
    """Return the successive sets of voters, one change each, that make ``joining`` a voter.

    ``wanted`` is the intended number of voters; ``unresponsive`` lists the voters that count as
    lost. The list is empty if the instance is a voter already, or if the set is complete and no
    voter is lost.
    """
    if joining in voters:
        return []
    added = (*voters, joining)
    if len(voters) < wanted:
        return [added]
    lost = next((item for item in unresponsive if item in voters), None)
    if lost is None:
        return []
    return [added, tuple(item for item in added if item != lost)]
