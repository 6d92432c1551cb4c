"""Routes of the view to direct targets: heads of groups, and plain services."""

from collections.abc import Callable, Collection, Iterable, Mapping

from jaylatch_core.deployment import EngineProfile
from jaylatch_core.ids import FailureDomainId, GroupId, InstanceId
from jaylatch_core.messages.control import Group
from jaylatch_core.messages.membership import GroupRoute, ServiceRoute
from jaylatch_core.messages.targets import MemberState, TargetCheckIn
from jaylatch_decisions.places import returning_slots
from jaylatch_decisions.targets import TargetRecord, TargetRegistry
from jaylatch_decisions.targets.coldness import cold_slots
from jaylatch_decisions.targets.orders import EngineState, is_complete

SERVING_STATES = (MemberState.OPEN, MemberState.CLOSING)
"""States in which a head has, or may have, requests in flight."""

SlotFraction = Callable[[Iterable[InstanceId]], float]
"""Returns the fraction of the slots that targets use together while load returns to them."""


def all_slots(members: Iterable[InstanceId]) -> float:
    """Return 1: all slots are used."""
    return 1.0


ColdCheck = Callable[[TargetRecord], bool]
"""Returns whether a target is taken for cold."""


def never_cold(record: TargetRecord) -> bool:
    """Return False: no target is taken for cold."""
    return False


def group_routes(
    groups: Iterable[Group],
    ending: Collection[GroupId],
    registry: TargetRegistry,
    states: Mapping[InstanceId, EngineState],
    engines: Mapping[str, EngineProfile],
    slot_fraction: SlotFraction,
    takes_for_cold: ColdCheck = never_cold,
) -> list[GroupRoute]:
    """Return the routes to the complete groups whose head serves.

    A group in ``ending`` is listed as such for as long as its head has work.
    """
    routes = []
    for group in groups:
        record = registry.record(group.head)
        if record is None or group.head not in states:
            continue
        is_ending = group.id in ending
        head = states[group.head].membership
        if head is None or (head.group, head.epoch) != (group.id, group.epoch):
            continue
        if is_ending:
            is_listed = head.state in SERVING_STATES
        else:
            is_listed = head.state is MemberState.OPEN and is_complete(group, states)
        if not is_listed:
            continue
        heartbeat = record.heartbeat
        slots = _slots(group, heartbeat, registry, engines[heartbeat.service])
        is_cold = takes_for_cold(record)
        routes.append(
            GroupRoute(
                group.id,
                group.epoch,
                group.model,
                group.head,
                heartbeat.address,
                heartbeat.failure_domain,
                heartbeat.service,
                _usable_slots(slots, slot_fraction(group.members), is_cold),
                is_ending,
                is_cold,
            )
        )
    return routes


def service_routes(
    now: float,
    registry: TargetRegistry,
    services: Collection[str],
    evacuated: Collection[FailureDomainId],
    slot_fraction: SlotFraction,
    takes_for_cold: ColdCheck = never_cold,
) -> list[ServiceRoute]:
    """Return the routes to the usable targets of ``services``, those ``evacuated`` left out."""
    return [
        ServiceRoute(
            record.heartbeat.service,
            record.heartbeat.instance,
            record.heartbeat.address,
            record.heartbeat.failure_domain,
            _usable_slots(
                record.heartbeat.slots,
                slot_fraction((record.heartbeat.instance,)),
                takes_for_cold(record),
            ),
            takes_for_cold(record),
        )
        for record in registry.all()
        if record.heartbeat.service in services
        and record.draining_since is None
        and record.heartbeat.failure_domain not in evacuated
        and registry.is_usable(now, record.heartbeat.instance)
    ]


def _usable_slots(slots: int, fraction: float, is_cold: bool) -> int:
    """Return the slots of a target to which load returns, or that is cold."""
    returning = returning_slots(slots, fraction)
    return min(returning, cold_slots(slots)) if is_cold else returning


def _slots(
    group: Group, head: TargetCheckIn, registry: TargetRegistry, engine: EngineProfile
) -> int:
    """Return the number of concurrent requests at which the group is as fast as others."""
    records = [registry.record(member) for member in group.members]
    domains = {item.heartbeat.fabric_domain for item in records if item is not None}
    if len(domains) < 2 or engine.span_factor <= 0:
        return engine.slots
    pace = next((item.pace for item in engine.models if item.name == group.model), 1.0)
    return max(round(engine.slots / max(engine.span_factor * pace, 1.0)), 1)
