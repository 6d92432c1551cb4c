"""How the set of voters follows the control instances that exist.

Answers a control instance that is lost for good and replaced at another address, and a deployment
whose first settings name fewer instances than it needs to bear its losses.
"""

from jaylatch_core.ids import InstanceId

VOTER_LOSS_TIMEOUT = 3.0
"""Seconds of silence after which a voter may be replaced. A restart takes one; a voter that comes
back later than this has only lost its vote, and asks for it again."""


def plan_voter_changes(
    voters: tuple[InstanceId, ...],
    joining: InstanceId,
    wanted: int,
    silent: list[InstanceId],
) -> list[tuple[InstanceId, ...]]:
    """Return the sets of voters to go through, one change each, so that ``joining`` votes.

    ``silent`` are the voters that count as lost. There are none to go through if the instance votes
    already, or if the set is complete and nobody is lost.
    """
    if joining in voters:
        return []
    added = (*voters, joining)
    if len(voters) < wanted:
        return [added]
    lost = next((item for item in silent if item in voters), None)
    if lost is None:
        return []
    return [added, tuple(item for item in added if item != lost)]
