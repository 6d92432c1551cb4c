"""Steps that test which nodes the leader notifies of a change."""

from behave import given, then, when
from behave.runner import Context

from jaylatch_core.configuration import Configuration, KindSpecification, ModelSpecification
from jaylatch_core.enums import DrainScope, Preset, Role
from jaylatch_core.events import EventLog
from jaylatch_core.ids import (
    CommandId,
    FailureDomainId,
    Generation,
    Incarnation,
    InstanceId,
    Term,
)
from jaylatch_core.messages.control import (
    ApplyConfiguration,
    ControlCommand,
    FormGroup,
    PreparePreset,
    SetDrain,
)
from jaylatch_core.messages.frames import Body
from jaylatch_core.messages.membership import LeaseGrant, RenewLease, ViewChanged
from jaylatch_core.settings import LeaseSettings
from jaylatch_decisions.control import ControlState
from jaylatch_decisions.leases import HeldLease
from jaylatch_node.blackboard import Blackboard, GrantBoard, Identity
from jaylatch_node.control.leader import LeaderController

NODES = ("entry", "a-1", "a-2", "a-3", "a-4")
DOMAIN = FailureDomainId("domain-1")
MODEL = "assistant"
CONFIGURATION = Configuration(models=(ModelSpecification(MODEL),))


class RecordingConnection:
    """Records the bodies sent to one node."""

    def __init__(self) -> None:
        self.sent: list[Body] = []

    def send(self, body: Body) -> None:
        """Record a body."""
        self.sent.append(body)


def make_renewal(name: str) -> RenewLease:
    role = Role.ENTRY if name == "entry" else Role.AGENT
    return RenewLease(
        InstanceId(name),
        Incarnation(name),
        (role,),
        DOMAIN,
        f"10.0.0.1:{NODES.index(name) + 1}",
        Generation(0),
        Generation(0),
        0,
        None,
    )


def apply(context: Context, command: ControlCommand) -> None:
    context.state.apply(command)


def renew(context: Context, name: str) -> LeaseGrant:
    return context.leader.renew(context.now, make_renewal(name), context.connections[name])


@given("a leader with an entry, the agents a-1 to a-4 in one failure domain, and a configuration")
def step_leader(context: Context) -> None:
    async def propose(command: ControlCommand) -> object:
        return context.state.apply(command)

    identity = Identity(InstanceId("c-1"), Incarnation("c"), DOMAIN, "10.0.0.9:1")
    board = Blackboard(identity, EventLog("c-1"), GrantBoard(HeldLease(0.0)))
    context.now = 100.0
    context.state = ControlState()
    apply(context, ApplyConfiguration(CommandId("first"), Generation(0), CONFIGURATION))
    context.leader = LeaderController(
        board, context.state, LeaseSettings(), Term(1), propose, context.now
    )
    context.connections = {name: RecordingConnection() for name in NODES}


@given("all of them hold leases and have been notified of all changes")
def step_all_notified(context: Context) -> None:
    for name in NODES:
        renew(context, name)
    context.leader.tick(context.now)
    for connection in context.connections.values():
        connection.sent.clear()


@when("nothing changes")
def step_nothing(context: Context) -> None:
    context.leader.tick(context.now)


@when("the instances a-1 and a-2 form a group")
def step_form(context: Context) -> None:
    apply(context, FormGroup(MODEL, (InstanceId("a-1"), InstanceId("a-2"))))
    context.leader.tick(context.now)


@when("the configuration changes")
def step_configuration(context: Context) -> None:
    changed = Configuration(models=CONFIGURATION.models, kinds=(KindSpecification("mix"),))
    apply(context, ApplyConfiguration(CommandId("second"), context.state.generation, changed))
    context.leader.tick(context.now)


@when("a drain of a-4 begins")
def step_drain(context: Context) -> None:
    apply(context, SetDrain(CommandId("drain"), DrainScope.INSTANCE, "a-4", True))
    context.leader.tick(context.now)


@when("the preset is prepared")
def step_prepare(context: Context) -> None:
    generation = context.state.preset.generation
    apply(context, PreparePreset(CommandId("preset"), generation, Preset.PEAK))
    context.leader.tick(context.now)


@then("exactly {names} are notified to renew")
def step_notified(context: Context, names: str) -> None:
    expected = set() if names == "none" else set(names.split())
    notified = {
        name
        for name, connection in context.connections.items()
        if any(isinstance(body, ViewChanged) for body in connection.sent)
    }
    assert notified == expected, notified


@then('the grant of "{entry}" has a view and that of "{agent}" has none')
def step_views(context: Context, entry: str, agent: str) -> None:
    assert renew(context, entry).view is not None
    assert renew(context, agent).view is None
