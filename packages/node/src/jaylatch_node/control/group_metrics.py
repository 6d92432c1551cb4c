"""Metrics of a leader's term: group downtime and stranded accelerators."""

from collections.abc import Iterable

from jaylatch_core.ids import Epoch
from jaylatch_core.messages.control import Group
from jaylatch_decisions.groups import InstanceFacts


class GroupMetrics:
    """Group downtime and stranded accelerator time, both as totals in seconds.

    A stranded accelerator is a usable instance outside any serving group.
    """

    def __init__(self, now: float) -> None:
        self.group_downtime = 0.0
        self.stranded_seconds = 0.0
        self._measured_at = now

    def skip_to(self, now: float) -> None:
        """Exclude the time until ``now``, for which the facts are incomplete."""
        self._measured_at = now

    def add(self, now: float, facts: list[InstanceFacts], groups: Iterable[Group]) -> None:
        """Add the time since the last call, according to the current facts."""
        elapsed = now - self._measured_at
        self._measured_at = now
        usable = [item for item in facts if item.is_usable]
        serving = {item.instance: item.epoch for item in usable if item.is_serving}
        stranded = {item.instance for item in usable}
        for group in groups:
            if serving.get(group.head, Epoch(0)) == group.epoch:
                stranded -= set(group.members)
            else:
                self.group_downtime += elapsed
        self.stranded_seconds += elapsed * len(stranded)
