"""Progress of drains."""

import msgspec

from jaylatch_core.enums import DrainScope
from jaylatch_core.ids import InstanceId
from jaylatch_core.messages.administration import NodeStatus, StatusReport


class DrainProgress(msgspec.Struct, frozen=True):
    """Progress of one drain. ``waiting_for`` lists the instances that may still be active.

    The requests of agents only are counted in ``in_flight``; a direct target is waited for until
    it reports that it has finished its work.
    """

    scope: DrainScope
    subject: str
    in_flight: int
    waiting_for: tuple[InstanceId, ...]
    is_done: bool


def drain_progress(status: StatusReport) -> list[DrainProgress]:
    """Return the progress of each drain in ``status``."""
    return [_progress(status, *text.split("/", 1)) for text in status.drained]


def _progress(status: StatusReport, scope: str, subject: str) -> DrainProgress:
    members = {member for group in status.groups for member in group.members}
    nodes = [node for node in status.nodes if _is_covered(status, node, scope, subject)]
    waiting = tuple(node.instance for node in nodes if _is_active(node, members))
    in_flight = sum(node.member.in_flight for node in nodes if node.member is not None)
    is_in_force = True
    for evacuation in status.evacuations:
        if (scope, subject) == (DrainScope.FAILURE_DOMAIN.value, evacuation.domain):
            heads = (group.head for group in status.groups if group.id in evacuation.holding)
            waiting += (*heads, *evacuation.working)
            is_in_force = evacuation.in_force_at is not None
    is_done = not waiting and status.knows_all_holders and is_in_force
    return DrainProgress(DrainScope(scope), subject, in_flight, waiting, is_done)


def _is_covered(status: StatusReport, node: NodeStatus, scope: str, subject: str) -> bool:
    match DrainScope(scope):
        case DrainScope.INSTANCE:
            return node.instance == subject
        case DrainScope.FAILURE_DOMAIN:
            return node.failure_domain == subject
        case DrainScope.GROUP:
            return any(
                group.id == subject and node.instance in group.members for group in status.groups
            )


def _is_active(node: NodeStatus, members: set[InstanceId]) -> bool:
    member = node.member
    if member is None:
        return False
    is_in_group = node.instance in members or member.epoch > 0
    return is_in_group or member.is_serving or member.in_flight > 0
