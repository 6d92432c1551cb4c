"""Groups of direct targets that finish their work before they are regrouped or dissolved."""

from collections.abc import Collection, Iterable

from jaylatch_core.deployment import Deployment
from jaylatch_core.ids import Epoch, GroupId, InstanceId
from jaylatch_core.messages.control import Group
from jaylatch_decisions.targets import TargetRegistry
from jaylatch_node.control.target_routes import SERVING_STATES

DRAIN_LIMIT = 8.0
"""Seconds after which a group with a leaving member is regrouped even if its streams have not
finished: the member stays for at least 2 s, and for at most 10 s while the head has work."""
DEPARTED_HEAD_TIME = 2.5
"""Seconds after which a group is regrouped if its head departs without draining first: such a head
serves for slightly more than 2 s."""


class EndingGroups:
    """Tells which groups end, because a member leaves or by recall, and which have ended."""

    def __init__(self, registry: TargetRegistry) -> None:
        self._registry = registry
        self._recalled_at: dict[GroupId, float] = {}
        self._recall_limit = DRAIN_LIMIT

    def use_deployment(self, deployment: Deployment) -> None:
        """Give recalled groups the time of the longest request that may be under way there.

        The routes of earlier deployments count too: what was admitted goes on.
        """
        longest = max((route.timeout for route in deployment.routes), default=0.0)
        self._recall_limit = max(self._recall_limit, longest)

    def recall(self, now: float, groups: Collection[GroupId]) -> None:
        """Make these groups, and no others, finish their work so that members can be replaced."""
        self._recalled_at = {group: self._recalled_at.get(group, now) for group in groups}

    def is_ending(self, group: Group) -> bool:
        """Return whether a member has announced that it leaves, or the group is recalled."""
        return group.id in self._recalled_at or self._leaving_since(group) is not None

    def ended_heads(self, now: float, groups: Iterable[Group]) -> dict[InstanceId, Epoch]:
        """Return the heads, with their epoch, of the groups that end and have no more work."""
        return {group.head: group.epoch for group in groups if self._has_ended(now, group)}

    def _has_ended(self, now: float, group: Group) -> bool:
        if not self.is_ending(group):
            return False
        head = self._registry.record(group.head)
        if head is not None and head.departed_at is not None:
            # It sends no more heartbeats, so its state is unknown.
            return now >= head.departed_at + DEPARTED_HEAD_TIME
        return self._is_closed(group) or now >= self._time_limit(group)

    def _time_limit(self, group: Group) -> float:
        """Return when the group ends even if its head still has work."""
        recalled_at = self._recalled_at.get(group.id)
        leaving_since = self._leaving_since(group)
        limits = [recalled_at + self._recall_limit] if recalled_at is not None else []
        limits += [leaving_since + DRAIN_LIMIT] if leaving_since is not None else []
        return min(limits)

    def _is_closed(self, group: Group) -> bool:
        """Return whether the head is unknown or reports that it does not serve."""
        record = self._registry.record(group.head)
        membership = record.heartbeat.membership if record is not None else None
        return membership is None or membership.state not in SERVING_STATES

    def _leaving_since(self, group: Group) -> float | None:
        """Return when the first member announced that it leaves, or None."""
        records = [self._registry.record(member) for member in group.members]
        since = [item.draining_since for item in records if item is not None]
        return min((item for item in since if item is not None), default=None)
