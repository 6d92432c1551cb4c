"""Drains of agents' instances, of groups and of failure domains, as the leader applies them."""

from collections.abc import Collection

from jaylatch_core.enums import DrainScope
from jaylatch_core.ids import FailureDomainId, GroupId, InstanceId
from jaylatch_core.messages.control import Group
from jaylatch_decisions.control import ControlState
from jaylatch_decisions.leases import LeaseTable


class Drains:
    """The committed drains. The domain of an agent is that of its lease.

    Direct targets hold no lease: ``EvacuationController`` applies the drain of their domain.
    """

    def __init__(self, state: ControlState, leases: LeaseTable) -> None:
        self._state = state
        self._leases = leases

    def covers(self, instance: InstanceId, domain: FailureDomainId) -> bool:
        """Return whether the instance or its domain is drained."""
        drains = self._state.drains
        return (DrainScope.INSTANCE, instance) in drains or (
            DrainScope.FAILURE_DOMAIN,
            domain,
        ) in drains

    def is_draining(self, group: Group, retiring: Collection[GroupId]) -> bool:
        """Return whether the group takes no new work: it is drained or no longer configured."""
        configuration = self._state.effective_configuration()
        if group.id in retiring or configuration.model(group.model) is None:
            return True
        if not self._state.drains:
            return False
        if (DrainScope.GROUP, group.id) in self._state.drains:
            return True
        return any(self.covers(member, self._domain(member)) for member in group.members)

    def members_of_drained_groups(self) -> set[InstanceId]:
        """Return the members of the groups that are drained by name."""
        return {
            member
            for group in self._state.groups.values()
            if (DrainScope.GROUP, group.id) in self._state.drains
            for member in group.members
        }

    def _domain(self, instance: InstanceId) -> FailureDomainId:
        holder = self._leases.known(instance)
        return holder.renewal.failure_domain if holder is not None else FailureDomainId("")
