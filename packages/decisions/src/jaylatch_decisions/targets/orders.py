"""Orders that bring the engines of direct targets into the committed groups.

A pure comparison of the wanted groups with the reports of the engines, so that an order that was
lost, carried out late, or given by an earlier leader shows in the next report and is corrected.
Faults covered: lost answers to orders, orders that are carried out seconds late, a leader that is
replaced between two orders, and engines that restart.
"""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from jaylatch_core.ids import Epoch, GroupId, InstanceId
from jaylatch_core.messages.control import Group
from jaylatch_core.messages.targets import MemberState, ReportedMembership


@dataclass(frozen=True)
class JoinGroup:
    """Make an instance a member; the first of ``members`` is the head."""

    group: GroupId
    epoch: Epoch
    model: str
    members: tuple[InstanceId, ...]


@dataclass(frozen=True)
class OpenGroup:
    """Let the head of a complete group serve."""

    group: GroupId
    epoch: Epoch


@dataclass(frozen=True)
class DrainGroup:
    """Let the head stop serving once the requests under way have ended."""

    group: GroupId
    epoch: Epoch


@dataclass(frozen=True)
class CloseGroup:
    """Let the head stop serving; requests under way are evicted."""

    group: GroupId
    epoch: Epoch


@dataclass(frozen=True)
class LeaveGroup:
    """Release an instance from a group at once."""

    group: GroupId
    epoch: Epoch


@dataclass(frozen=True)
class StageModel:
    """Load a model on to the instance, so that a later join is fast."""

    model: str


EngineOrder = JoinGroup | OpenGroup | DrainGroup | CloseGroup | LeaveGroup | StageModel


WARM_UP_PREFIX = "warm-up-"
"""Prefix of the ids of warm-up groups."""


def warm_up_order(instance: InstanceId, epoch: Epoch, model: str) -> JoinGroup:
    """Return the order that makes a free engine ready for a group of ``model``."""
    return JoinGroup(GroupId(f"{WARM_UP_PREFIX}{instance}"), epoch, model, (instance,))


def is_warming_up(membership: ReportedMembership) -> bool:
    """Return whether the engine is still warming up."""
    is_warm_up = membership.group.startswith(WARM_UP_PREFIX)
    return is_warm_up and membership.state is MemberState.JOINING


@dataclass(frozen=True)
class EngineState:
    """The last report of a usable engine."""

    instance: InstanceId
    membership: ReportedMembership | None
    staged_models: tuple[str, ...]


def plan_orders(
    groups: Iterable[Group],
    engines: Mapping[InstanceId, EngineState],
    leaving: Collection[GroupId] = (),
) -> dict[InstanceId, EngineOrder]:
    """Return at most one order for each engine; groups in ``leaving`` are only drained."""
    orders: dict[InstanceId, EngineOrder] = {}
    assigned: set[InstanceId] = set()
    for group in groups:
        assigned.update(group.members)
        if group.id in leaving:
            orders.update(_drain_orders(group, engines))
        else:
            orders.update(_group_orders(group, engines))
    for instance, engine in engines.items():
        if instance in assigned or engine.membership is None:
            continue
        if not is_warming_up(engine.membership):
            orders[instance] = _release(engine.membership)
    return orders


def is_complete(group: Group, engines: Mapping[InstanceId, EngineState]) -> bool:
    """Return whether every member reports that it is ready or open under the group's epoch."""
    return all(
        member in engines and _is_ready_in(group, engines[member].membership)
        for member in group.members
    )


def _group_orders(
    group: Group, engines: Mapping[InstanceId, EngineState]
) -> dict[InstanceId, EngineOrder]:
    orders: dict[InstanceId, EngineOrder] = {}
    for member in group.members:
        engine = engines.get(member)
        if engine is None:
            continue
        order = _member_order(group, engine.membership)
        if order is not None:
            orders[member] = order
    if not orders and is_complete(group, engines):
        head = engines[group.head].membership
        if head is not None and head.state is MemberState.READY:
            orders[group.head] = OpenGroup(group.id, group.epoch)
    return orders


def _drain_orders(
    group: Group, engines: Mapping[InstanceId, EngineState]
) -> dict[InstanceId, EngineOrder]:
    membership = engines[group.head].membership if group.head in engines else None
    if membership is None or membership.state is not MemberState.OPEN:
        return {}
    if (membership.group, membership.epoch) != (group.id, group.epoch):
        return {}
    return {group.head: DrainGroup(group.id, group.epoch)}


def _member_order(group: Group, membership: ReportedMembership | None) -> EngineOrder | None:
    """Return the order that brings one member into the group, or None if it has joined."""
    if membership is not None and membership.group != group.id:
        # The engine must have left one group before it joins another.
        return _release(membership)
    if membership is None or membership.epoch < group.epoch:
        return JoinGroup(group.id, group.epoch, group.model, group.members)
    return None


def _release(membership: ReportedMembership) -> EngineOrder:
    is_head = membership.rank == 0
    if is_head and membership.state in (MemberState.OPEN, MemberState.CLOSING):
        return CloseGroup(membership.group, membership.epoch)
    return LeaveGroup(membership.group, membership.epoch)


def _is_ready_in(group: Group, membership: ReportedMembership | None) -> bool:
    return (
        membership is not None
        and (membership.group, membership.epoch) == (group.id, group.epoch)
        and membership.state in (MemberState.READY, MemberState.OPEN)
    )
