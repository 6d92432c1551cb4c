"""The leader's controller of groups that the configuration no longer wants, for one term."""

import logging
from collections.abc import Iterable
from math import inf

from jaylatch_core.ids import GroupId
from jaylatch_core.log_records import GroupsRetired
from jaylatch_decisions.control import ControlState
from jaylatch_decisions.groups import outdated_groups
from jaylatch_node.observability import log_record

EXPIRY_MARGIN = 0.6
"""Seconds before the end of the bound at which the last groups of a former size are closed: a round
of the leader takes 0.1 s, an order to a target 0.35 s if it has to connect."""
CLOSE_DELAY = 0.2
"""Seconds after which the head of a retiring group is ordered to finish its work: by then nearly
all gateways know, so that few requests are sent to it in vain."""

_log = logging.getLogger("jaylatch.control")


class RetirementController:
    """Follows the outdated groups, and those that retire.

    An outdated group of direct targets may serve until ``bound`` seconds after its configuration
    changed. Those of a change before this term may not serve any more: how much of their time is
    left is not known.
    """

    def __init__(self, state: ControlState, bound: float) -> None:
        self._state = state
        self._hold_time = max(bound - EXPIRY_MARGIN, 0.0)
        self._outdated_since: dict[GroupId, float] | None = None
        self._retiring_since: dict[GroupId, float] = {}
        self._logged = GroupsRetired(deployment=0, outdated=(), retiring=())

    @property
    def retiring(self) -> frozenset[GroupId]:
        """Return the groups that take no new work."""
        return frozenset(self._retiring_since)

    def closing(self, now: float) -> frozenset[GroupId]:
        """Return the groups whose heads should finish their work."""
        retiring = self._retiring_since.items()
        return frozenset(group for group, since in retiring if now >= since + CLOSE_DELAY)

    def follow_configuration(self, now: float) -> None:
        """Note since when groups are outdated."""
        groups = tuple(self._state.groups.values())
        outdated = outdated_groups(self._state.effective_configuration(), groups)
        known = self._outdated_since
        first_seen = -inf if known is None else now
        self._outdated_since = {group: (known or {}).get(group, first_seen) for group in outdated}

    def expired(self, now: float) -> frozenset[GroupId]:
        """Return the outdated groups that may serve no longer.

        Those of agents may: agents learn of the drain of their group by their leases.
        """
        direct = {model.name for model in self._state.deployment.engine_models}
        outdated = (self._outdated_since or {}).items()
        return frozenset(
            group
            for group, since in outdated
            if now >= since + self._hold_time and self._state.groups[group].model in direct
        )

    def update(self, now: float, retiring: Iterable[GroupId]) -> None:
        """Record which groups retire; one that the configuration wants again goes on."""
        self._retiring_since = {group: self._retiring_since.get(group, now) for group in retiring}
        self._log_changes()

    def _log_changes(self) -> None:
        record = GroupsRetired(
            deployment=self._state.deployment.number,
            outdated=tuple(sorted(self._outdated_since or ())),
            retiring=tuple(sorted(self._retiring_since)),
        )
        logged, self._logged = self._logged, record
        if (record.outdated, record.retiring) != (logged.outdated, logged.retiring):
            log_record(_log, record)
