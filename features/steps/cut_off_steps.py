"""Steps on groups whose heartbeats stop while gateways still receive tokens from them."""

import msgspec
from behave import given, then, use_step_matcher, when
from behave.runner import Context
from direct_target_steps import HEARTBEAT_TIMEOUT_SECONDS

from jaylatch_core.deployment import (
    Deployment,
    DeploymentNumber,
    EngineProfile,
    ModelProfile,
    ServiceProfile,
)
from jaylatch_core.enums import Role
from jaylatch_core.events import EventLog
from jaylatch_core.ids import (
    Epoch,
    FailureDomainId,
    Generation,
    GroupId,
    Incarnation,
    InstanceId,
    Term,
)
from jaylatch_core.messages.control import ControlCommand, FormGroup, Group
from jaylatch_core.messages.frames import Body
from jaylatch_core.messages.membership import (
    GroupProgress,
    GroupRoute,
    LeaseGrant,
    RenewLease,
    View,
)
from jaylatch_core.messages.targets import (
    MemberState,
    PublishDeployment,
    ReportedMembership,
    TargetCheckIn,
)
from jaylatch_core.settings import LeaseSettings
from jaylatch_decisions.control import ControlState
from jaylatch_decisions.leases import HeldLease
from jaylatch_decisions.targets import EngineOrder, ProbeOutcome, TargetRecord, TargetRegistry
from jaylatch_node.blackboard import Blackboard, GrantBoard, Identity
from jaylatch_node.control.leader import LeaderController
from jaylatch_node.control.targets import TargetController
from jaylatch_node.gateway.directory import TargetDirectory
from jaylatch_node.targets import OrderOutcome

MODEL, SERVICE = "m", "engines"
DOMAIN = FailureDomainId("domain")
STARTED_AT = 100.0
TICK_SECONDS = 0.1
RENEWAL_TICKS = 5
PROGRESS_AGE_SECONDS = 0.2
OBSERVED_SECONDS = 14.0

use_step_matcher("re")


class SilentConnection:
    """A connection whose messages are of no interest."""

    def send(self, body: Body) -> None:
        """Drop a message."""


@given(r"a group of 3 whose heartbeats stop, and a gateway that renews its lease each 0.5 s")
def step_group(context: Context) -> None:
    state = ControlState()
    engine = EngineProfile(24, (ModelProfile(MODEL, 3),))
    services = (ServiceProfile(SERVICE, 100, engine),)
    state.apply(PublishDeployment(Deployment(DeploymentNumber(1), services=services), b""))
    members = tuple(InstanceId(name) for name in "abc")
    state.apply(FormGroup(MODEL, members))
    (group,) = state.groups.values()
    registry = TargetRegistry(HEARTBEAT_TIMEOUT_SECONDS, STARTED_AT - HEARTBEAT_TIMEOUT_SECONDS)
    for rank in range(len(members)):
        registry.record_heartbeat(STARTED_AT, make_heartbeat(group, rank))

    context.state = state
    context.group = group
    create_leader(context, state, registry)


def create_leader(context: Context, state: ControlState, registry: TargetRegistry) -> None:
    async def propose(command: ControlCommand) -> object:
        return None

    async def send(record: TargetRecord, order: EngineOrder, fence: int) -> OrderOutcome:
        return OrderOutcome.UNKNOWN

    async def probe(record: TargetRecord, is_repeated: bool) -> ProbeOutcome:
        return ProbeOutcome.UNREACHABLE

    identity = Identity(InstanceId("c-1"), Incarnation("c"), DOMAIN, "10.0.0.9:1")
    board = Blackboard(identity, EventLog("c-1"), GrantBoard(HeldLease(0.0)))
    targets = TargetController(registry, 1, send, probe, True, STARTED_AT)
    context.leader = LeaderController(
        board, state, LeaseSettings(), Term(1), propose, STARTED_AT, targets
    )


def make_heartbeat(group: Group, rank: int) -> TargetCheckIn:
    state = MemberState.OPEN if rank == 0 else MemberState.READY
    return TargetCheckIn(
        group.members[rank],
        SERVICE,
        f"10.0.0.{rank}:80",
        DOMAIN,
        DOMAIN,
        1,
        1,
        False,
        membership=ReportedMembership(group.id, group.epoch, rank, state),
        staged_models=(MODEL,),
    )


def make_renewal(progress: tuple[GroupProgress, ...]) -> RenewLease:
    return RenewLease(
        InstanceId("g-1"),
        Incarnation("g"),
        (Role.GATEWAY,),
        DOMAIN,
        "10.0.0.8:1",
        Generation(0),
        Generation(0),
        0,
        None,
        progress=progress,
    )


@given(r"a leader that has just been elected and hears from the group (?P<heard>[\d.]+) s later")
def step_new_leader(context: Context, heard: str) -> None:
    context.registry = TargetRegistry(HEARTBEAT_TIMEOUT_SECONDS, STARTED_AT)
    create_leader(context, context.state, context.registry)
    context.heard_at = STARTED_AT + float(heard)


@when(
    r"the gateway renews its lease at once and again after that, with the view"
    r' "(?P<view>none|of an earlier leader)"'
)
def step_renews_twice(context: Context, view: str) -> None:
    async def run() -> None:
        known = 0 if view == "none" else 7
        context.leader.tick(STARTED_AT)
        first = renew(context, STARTED_AT, known)
        known = first.view.version if first.view is not None else known
        for rank in range(len(context.group.members)):
            context.registry.record_heartbeat(context.heard_at, make_heartbeat(context.group, rank))
        context.leader.on_targets_changed(context.heard_at)
        context.grant = renew(context, context.heard_at, known)

    context.runner.run(run())


def renew(context: Context, now: float, view: int) -> LeaseGrant:
    renewal = msgspec.structs.replace(make_renewal(()), view=view)
    return context.leader.renew(now, renewal, SilentConnection())


@then(r"the second grant (?P<second>lists the group|leaves it its own)")
def step_second_grant(context: Context, second: str) -> None:
    view = context.grant.view
    if second == "lists the group":
        assert view is not None and [route.group for route in view.groups] == [context.group.id]
    else:
        assert view is None, view


@when(
    r"the gateway reports progress of (?P<reported>.+) until (?P<until>[\d.]+) s after the last"
    r" heartbeat"
)
def step_progress(context: Context, reported: str, until: str) -> None:
    group = context.group
    named = {
        "its epoch": (GroupProgress(group.id, group.epoch, PROGRESS_AGE_SECONDS),),
        "an older epoch": (GroupProgress(group.id, Epoch(group.epoch - 1), PROGRESS_AGE_SECONDS),),
        "another group": (GroupProgress(GroupId("x"), group.epoch, PROGRESS_AGE_SECONDS),),
        "nothing": (),
    }[reported]

    async def run() -> None:
        context.listed_until = 0.0
        for tick in range(round(OBSERVED_SECONDS / TICK_SECONDS)):
            passed = tick * TICK_SECONDS
            if tick % RENEWAL_TICKS == 0:
                progress = named if passed <= float(until) else ()
                renewal = make_renewal(progress)
                context.leader.renew(STARTED_AT + passed, renewal, SilentConnection())
            context.leader.tick(STARTED_AT + passed)
            grant = context.leader.renew(STARTED_AT + passed, make_renewal(()), SilentConnection())
            if grant.view is not None and grant.view.groups:
                context.listed_until = passed

    context.runner.run(run())


@then(
    r"the group is listed until (?P<first>[\d.]+) s to (?P<last>[\d.]+) s after the last heartbeat"
)
def step_listed(context: Context, first: str, last: str) -> None:
    assert float(first) <= context.listed_until <= float(last), context.listed_until


@when(
    r"a probe sent (?P<sent_after>\d+) s later is not answered"
    r" and it is seen at work at (?P<seen>[\d.]+) s"
)
def step_seen(context: Context, sent_after: str, seen: str) -> None:
    context.now += float(sent_after)
    assert context.registry.mark_lost(InstanceId("a"), context.now)
    context.registry.confirm(float(seen), InstanceId("a"))


@then(r"after (?P<seconds>[\d.]+) s more the target a is (?P<state>lost|usable)")
def step_state(context: Context, seconds: str, state: str) -> None:
    is_usable = context.registry.is_usable(context.now + float(seconds), InstanceId("a"))
    assert is_usable is (state == "usable"), is_usable


@given(r'a gateway with the groups "(?P<groups>[^"]*)", of which "(?P<active>[^"]*)" sends events')
def step_directory(context: Context, groups: str, active: str) -> None:
    context.directory = TargetDirectory()
    context.groups = groups
    update_view(context, 1)
    send_events(context, active.partition("@")[0], STARTED_AT)


def update_view(context: Context, version: int) -> None:
    routes = tuple(
        GroupRoute(
            GroupId(name),
            Epoch(int(epoch)),
            MODEL,
            InstanceId(f"head-{name}"),
            f"10.0.0.1:{ord(name)}",
            DOMAIN,
            SERVICE,
            24,
        )
        for name, _, epoch in (item.partition("@") for item in context.groups.split())
    )
    context.directory.update(View(version, routes, ()))


def send_events(context: Context, group: str, now: float) -> None:
    (load,) = [item for item in context.directory.candidates(SERVICE, MODEL) if item.group == group]
    load.progress_at = now


def report(context: Context, since: float, now: float) -> list[str]:
    found = context.directory.progress_since(since, now)
    return [f"{item.group}@{item.epoch}" for item in found]


@then(r'it reports "(?P<group>[^"]*)" once, and again after further events')
def step_reported(context: Context, group: str) -> None:
    assert report(context, STARTED_AT - 1, STARTED_AT + 0.1) == [group]
    assert report(context, STARTED_AT + 0.1, STARTED_AT + 0.6) == []
    send_events(context, group.partition("@")[0], STARTED_AT + 0.7)
    assert report(context, STARTED_AT + 0.6, STARTED_AT + 1.1) == [group]


@then(
    r'it reports nothing of "(?P<group>\w+)" once that has a new epoch'
    r" and has sent nothing under it"
)
def step_new_epoch(context: Context, group: str) -> None:
    context.groups = f"{group}@9"
    update_view(context, 2)
    assert report(context, STARTED_AT + 0.6, STARTED_AT + 1.6) == []


use_step_matcher("parse")
