"""The leader's controller of evacuations of failure domains, for one term of leadership."""

import logging
from collections.abc import Collection, Iterable
from dataclasses import dataclass

from jaylatch_core.clock import wall
from jaylatch_core.exceptions import DomainUnknown, Unavailable
from jaylatch_core.ids import FailureDomainId, GroupId, InstanceId
from jaylatch_core.log_records import EvacuationChanged
from jaylatch_core.messages.administration import EvacuationStatus
from jaylatch_core.messages.control import EvacuationOrder, Group
from jaylatch_decisions.control import ControlState
from jaylatch_decisions.groups import (
    InstanceFacts,
    evacuated_groups,
    held_groups,
    remaining_instances,
)
from jaylatch_decisions.leases import LeaseTable
from jaylatch_decisions.places import returning_fraction
from jaylatch_node.control.routes import uses_views
from jaylatch_node.control.target_routes import SERVING_STATES
from jaylatch_node.control.targets import TargetController
from jaylatch_node.observability import log_record

HOLD_MARGIN = 1.5
"""Seconds before the end of the bound at which the last groups of a model stop. A lost announcement
costs 0.5 s, a slow call 0.3 s, a connection to a target 0.35 s and a round of the leader 0.1 s."""
CLOSE_DELAY = 1.0
"""Seconds after which a head that is listed as ending is ordered to finish its work: by then the
gateways know, so that no request is sent to it in vain."""

_log = logging.getLogger("jaylatch.control")


@dataclass
class _Evacuation:
    """One evacuation. ``withdrawn_in`` is the first view that names the domain (0: none yet).

    ``is_withdrawn``: no group of the domain goes on. ``in_force_at`` is a time of the wall clock.
    """

    order: EvacuationOrder
    hold_until: float
    is_withdrawn: bool = False
    withdrawn_in: int = 0
    in_force_at: float | None = None


class EvacuationController:
    """Follows the evacuations that the control quorum has committed.

    Those that were in force before this term are in force at once: how much of their time is left
    is not known. ``bound`` is the number of seconds until no new work may reach a domain.
    """

    def __init__(
        self,
        state: ControlState,
        targets: TargetController | None,
        leases: LeaseTable,
        bound: float,
        now: float,
    ) -> None:
        self._state = state
        self._targets = targets
        self._leases = leases
        self._hold_time = max(bound - HOLD_MARGIN, 0.0)
        self._running: dict[FailureDomainId, _Evacuation] = {}
        self._returned_at: dict[FailureDomainId, float] = {}
        self._fractions: dict[FailureDomainId, float] = {}
        self._domains: dict[InstanceId, FailureDomainId] = {}
        self._groups: frozenset[GroupId] = frozenset()
        self._held: frozenset[GroupId] = frozenset()
        self._ending_since: dict[GroupId, float] = {}
        for order in state.evacuations.values():
            self._begin(order, now, "taken over")

    @property
    def domains(self) -> Collection[FailureDomainId]:
        """Return the domains for which an evacuation is ordered."""
        return self._running.keys()

    @property
    def withdrawn(self) -> tuple[FailureDomainId, ...]:
        """Return the domains in which no group goes on."""
        return tuple(sorted(item for item, known in self._running.items() if known.is_withdrawn))

    @property
    def ending(self) -> frozenset[GroupId]:
        """Return the groups that take no new work."""
        return frozenset(self._ending_since)

    def closing(self, now: float) -> frozenset[GroupId]:
        """Return the groups whose heads should finish their work."""
        ending = self._ending_since.items()
        return frozenset(group for group, since in ending if now >= since + CLOSE_DELAY)

    def update(self, now: float) -> None:
        """Follow the committed orders and the state of the targets."""
        orders = self._state.evacuations
        for domain in [item for item in self._running if item not in orders]:
            self._end(now, domain)
        for order in orders.values():
            if order.domain not in self._running:
                self._begin(order, now + self._hold_time, "ordered")
        self._update_fractions(now)
        if self._running:
            self._update_groups(now)
        else:
            self._groups = self._held = frozenset()
            self._domains, self._ending_since = {}, {}

    def slot_fraction(self, members: Iterable[InstanceId]) -> float:
        """Return the fraction of the slots that targets use while load returns to them."""
        if not self._fractions or self._targets is None:
            return 1.0
        records = (self._targets.registry.record(member) for member in members)
        domains = (item.heartbeat.failure_domain for item in records if item is not None)
        return min((self._fractions.get(domain, 1.0) for domain in domains), default=1.0)

    def remaining_groups(self) -> tuple[Group, ...]:
        """Return the groups outside the evacuated domains."""
        groups = self._state.groups.values()
        return tuple(group for group in groups if group.id not in self._groups)

    def remaining_instances(self, instances: Iterable[InstanceFacts]) -> list[InstanceFacts]:
        """Return the instances that the planner may use."""
        if not self._running:
            return list(instances)
        groups = [self._state.groups[item] for item in self._groups if item in self._state.groups]
        return remaining_instances(instances, self._evacuated_targets(), groups)

    def record_view(self, now: float, version: int) -> None:
        """Record the version of the current view, and which domains all gateways keep away from."""
        for known in self._running.values():
            if known.is_withdrawn and not known.withdrawn_in:
                known.withdrawn_in = version
            is_open = known.withdrawn_in and known.in_force_at is None
            if is_open and self._is_known_everywhere(now, known.withdrawn_in):
                known.in_force_at = wall()
                self._log(known.order, "in force")

    def status(self) -> tuple[EvacuationStatus, ...]:
        """Return the evacuations for operators, and what is under way there."""
        return tuple(
            EvacuationStatus(
                domain,
                known.order.operator,
                known.order.at,
                known.in_force_at,
                tuple(sorted(self._held_in(domain))),
                tuple(group.head for group in self._groups_in(domain) if self._is_working(group)),
            )
            for domain, known in sorted(self._running.items())
        )

    def check_domain(
        self, now: float, domain: FailureDomainId, configured: Collection[FailureDomainId]
    ) -> DomainUnknown | Unavailable | None:
        """Return why an order for ``domain`` is refused, or None if the domain is known.

        Without ``configured`` domains every name is. Otherwise known are also those of registered
        targets and lease holders, and those evacuated now, so that any evacuation can be ended.
        """
        if not domain:
            return DomainUnknown("the failure domain has no name; name one of the settings")
        if not configured or domain in configured or domain in self._state.evacuations:
            return None
        holders = {holder.renewal.failure_domain for holder in self._leases.all()}
        if domain in holders.union(self._target_domains()):
            return None
        if not self._leases.knows_all(now):
            return Unavailable(f"failure domain {domain!r} is not known yet; ask again")
        known = ", ".join(sorted(holders.union(self._target_domains(), configured)))
        return DomainUnknown(f"failure domain {domain!r} does not exist; known are {known}")

    # Orders

    def _begin(self, order: EvacuationOrder, hold_until: float, state: str) -> None:
        self._returned_at.pop(order.domain, None)
        self._running[order.domain] = _Evacuation(order, hold_until)
        self._log(order, state)

    def _end(self, now: float, domain: FailureDomainId) -> None:
        del self._running[domain]
        self._returned_at[domain] = now
        operator = self._state.ended_by.get(domain, "")
        log_record(_log, EvacuationChanged(domain=domain, state="ended", operator=operator))

    def _log(self, order: EvacuationOrder, state: str, holding: Collection[GroupId] = ()) -> None:
        log_record(
            _log,
            EvacuationChanged(
                domain=order.domain,
                state=state,
                operator=order.operator,
                holding=tuple(sorted(holding)),
            ),
        )

    def _is_known_everywhere(self, now: float, version: int) -> bool:
        """Return whether every holder of a lease that routes by views has this one or a later."""
        return self._leases.knows_all(now) and all(
            holder.renewal.view >= version
            for holder in self._leases.live(now)
            if uses_views(holder.renewal)
        )

    def _update_fractions(self, now: float) -> None:
        fractions = {
            domain: returning_fraction(now - since) for domain, since in self._returned_at.items()
        }
        self._fractions = {item: value for item, value in fractions.items() if value < 1.0}
        self._returned_at = {item: self._returned_at[item] for item in self._fractions}

    # Groups

    def _update_groups(self, now: float) -> None:
        groups = self._direct_groups()
        self._remember_domains(groups)
        self._groups = evacuated_groups(groups, self._domains, self._running)
        held = self._find_held(now, groups)
        for domain, known in self._running.items():
            if known.is_withdrawn:
                continue
            holding = held & self._groups_of(domain, groups)
            if not holding:
                known.is_withdrawn = True
                self._log(known.order, "stopped")
            elif not self._held & holding:
                self._log(known.order, "holding", holding)
        self._held = held
        self._ending_since = {
            group: self._ending_since.get(group, now) for group in self._groups - held
        }

    def _direct_groups(self) -> tuple[Group, ...]:
        """Return the groups of direct targets; those of agents are drained by their assignments."""
        if self._targets is None:
            return ()
        models = {model.name for model in self._state.deployment.engine_models}
        return tuple(
            group
            for group in self._state.groups.values()
            if group.model in models or not self._domains.keys().isdisjoint(group.members)
        )

    def _remember_domains(self, groups: Iterable[Group]) -> None:
        """Remember the domain of each member: a stopped target is forgotten by the registry."""
        known: dict[InstanceId, FailureDomainId] = {}
        for member in (member for group in groups for member in group.members):
            record = self._targets.registry.record(member) if self._targets is not None else None
            if record is not None:
                known[member] = record.heartbeat.failure_domain
            elif member in self._domains:
                known[member] = self._domains[member]
        self._domains = known

    def _find_held(self, now: float, groups: tuple[Group, ...]) -> frozenset[GroupId]:
        """Return the last groups of their models in domains whose time is not over."""
        over = [
            domain
            for domain, known in self._running.items()
            if known.is_withdrawn or now >= known.hold_until
        ]
        if self._targets is None or len(over) == len(self._running):
            return frozenset()
        routes = self._targets.group_routes(now, groups)
        serving = {route.group for route in routes if not route.is_ending}
        registry = self._targets.registry
        usable_elsewhere = sum(
            record.heartbeat.service in self._targets.engine_services
            and record.heartbeat.failure_domain not in self._running
            and record.draining_since is None
            and registry.is_usable(now, record.heartbeat.instance)
            for record in registry.all()
        )
        held = held_groups(groups, self._groups, serving, usable_elsewhere)
        return held - evacuated_groups(groups, self._domains, over)

    def _groups_of(self, domain: FailureDomainId, groups: Iterable[Group]) -> frozenset[GroupId]:
        return evacuated_groups(groups, self._domains, (domain,))

    def _held_in(self, domain: FailureDomainId) -> frozenset[GroupId]:
        return self._held & self._groups_of(domain, self._direct_groups())

    def _groups_in(self, domain: FailureDomainId) -> list[Group]:
        """Return the groups with a member in the domain that take no new work."""
        groups = self._direct_groups()
        ending = self._groups_of(domain, groups) & self.ending
        return [group for group in groups if group.id in ending]

    def _is_working(self, group: Group) -> bool:
        """Return whether the head reports a state in which it may have requests in flight."""
        record = self._targets.registry.record(group.head) if self._targets is not None else None
        membership = record.heartbeat.membership if record is not None else None
        if membership is None or (membership.group, membership.epoch) != (group.id, group.epoch):
            return False
        return membership.state in SERVING_STATES

    def _target_domains(self) -> set[FailureDomainId]:
        if self._targets is None:
            return set()
        return {record.heartbeat.failure_domain for record in self._targets.registry.all()}

    def _evacuated_targets(self) -> frozenset[InstanceId]:
        if self._targets is None or not self._running:
            return frozenset()
        return frozenset(
            record.heartbeat.instance
            for record in self._targets.registry.all()
            if record.heartbeat.failure_domain in self._running
        )
