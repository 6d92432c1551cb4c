"""The leader's status report for operators."""

from collections.abc import Iterable

from jaylatch_core.ids import InstanceId
from jaylatch_core.messages.administration import EvacuationStatus, NodeStatus, StatusReport
from jaylatch_decisions.control import ControlState
from jaylatch_decisions.leases import LeaseTable
from jaylatch_node.control.group_metrics import GroupMetrics


def build_status(
    now: float,
    leader: InstanceId,
    state: ControlState,
    leases: LeaseTable,
    outdated: Iterable[InstanceId],
    metrics: GroupMetrics,
    evacuations: tuple[EvacuationStatus, ...],
) -> StatusReport:
    """Return the complete state; ``outdated`` holders do not yet apply the newest generations."""
    nodes = tuple(
        NodeStatus(
            holder.renewal.instance,
            tuple(role.value for role in holder.renewal.roles),
            holder.renewal.failure_domain,
            holder.renewal.stream,
            holder.renewal.configuration,
            holder.renewal.preset_in_force,
            holder.lapses_at - now,
            holder.renewal.member,
        )
        for holder in leases.live(now)
    )
    return StatusReport(
        leader,
        state.generation,
        state.configuration,
        state.preset,
        nodes,
        tuple(state.groups.values()),
        tuple(f"{scope.value}/{subject}" for scope, subject in sorted(state.drains)),
        tuple(outdated),
        metrics.group_downtime,
        metrics.stranded_seconds,
        tuple(holder.renewal.instance for holder in leases.all() if now >= holder.lapses_at),
        leases.knows_all(now),
        evacuations,
    )
