"""Steps that run a leader's duties on simulated time, and record the orders to its engines."""

from asyncio import sleep

from behave import given, then, use_step_matcher, when
from behave.runner import Context

from jaylatch_core.deployment import (
    Deployment,
    DeploymentNumber,
    EngineProfile,
    ModelProfile,
    ServiceProfile,
)
from jaylatch_core.events import EventLog
from jaylatch_core.ids import (
    FailureDomainId,
    Incarnation,
    InstanceId,
    Term,
)
from jaylatch_core.messages.control import ControlCommand
from jaylatch_core.messages.targets import PublishDeployment, TargetCheckIn
from jaylatch_core.settings import LeaseSettings
from jaylatch_decisions.control import ControlState
from jaylatch_decisions.leases import HeldLease
from jaylatch_decisions.targets import (
    EngineOrder,
    JoinGroup,
    ProbeOutcome,
    TargetRecord,
    TargetRegistry,
)
from jaylatch_node.blackboard import Blackboard, GrantBoard, Identity
from jaylatch_node.control.leader import LeaderController
from jaylatch_node.control.targets import TargetController
from jaylatch_node.targets import OrderOutcome

DOMAIN = FailureDomainId("domain")
MODEL = "f"
SERVICE = "engines"
HEARTBEAT_TIMEOUT_SECONDS = 3.0
STARTED_AT = 100.0
TICK_SECONDS = 0.1

use_step_matcher("re")


@given(r"a leader whose groups have served, and a model of (?P<size>\d) instances")
def step_leader(context: Context, size: str) -> None:
    state = ControlState()
    engine = EngineProfile(24, (ModelProfile(MODEL, int(size)),))
    deployment = Deployment(DeploymentNumber(1), services=(ServiceProfile(SERVICE, 100, engine),))
    state.apply(PublishDeployment(deployment, b""))
    context.deployment = deployment
    context.orders = []
    context.registry = TargetRegistry(
        HEARTBEAT_TIMEOUT_SECONDS, STARTED_AT - HEARTBEAT_TIMEOUT_SECONDS
    )

    async def propose(command: ControlCommand) -> object:
        return state.apply(command)

    async def send(record: TargetRecord, order: EngineOrder, fence: int) -> OrderOutcome:
        context.orders.append((record.heartbeat.instance, order))
        return context.outcome

    async def probe(record: TargetRecord, is_repeated: bool) -> ProbeOutcome:
        return ProbeOutcome.ANSWERED

    identity = Identity(InstanceId("c-1"), Incarnation("c"), DOMAIN, "10.0.0.9:1")
    board = Blackboard(identity, EventLog("c-1"), GrantBoard(HeldLease(0.0)))
    context.outcome = OrderOutcome.ACCEPTED
    context.targets = TargetController(context.registry, 1, send, probe, True, STARTED_AT)
    context.leader = LeaderController(
        board, state, LeaseSettings(), Term(1), propose, STARTED_AT, context.targets
    )


@when(
    r'instances "(?P<instances>[^"]*)" that hold it report one after the other,'
    r" (?P<gap>[\d.]+) s apart"
)
def step_report(context: Context, instances: str, gap: str) -> None:
    context.reports = {
        STARTED_AT + number * float(gap): name for number, name in enumerate(instances.split())
    }


@then(r"within (?P<limit>\d) s three of them join one group, which is their first order")
def step_joined_first(context: Context, limit: str) -> None:
    async def run_duties() -> None:
        now = STARTED_AT
        while now < STARTED_AT + int(limit):
            for at in [item for item in context.reports if item <= now]:
                record_heartbeat(context, now, context.reports.pop(at))
            context.leader.tick(now)
            await sleep(0)
            await sleep(0)
            now += TICK_SECONDS

    context.runner.run(run_duties())
    first_orders: dict[InstanceId, EngineOrder] = {}
    for instance, order in context.orders:
        first_orders.setdefault(instance, order)
    joins = [order for order in first_orders.values() if isinstance(order, JoinGroup)]
    group = next(order for order in joins if len(order.members) == 3)
    assert [first_orders[item] for item in group.members] == [group] * 3, context.orders


@given(r"an engine that holds nothing and answers orders with (?P<outcome>\w+)")
def step_engine(context: Context, outcome: str) -> None:
    context.outcome = OrderOutcome(outcome)
    context.targets.use_deployment(context.deployment)


@when(r"(?P<time>\d+) s pass after its first order")
def step_time_passes(context: Context, time: str) -> None:
    async def order_while_idle() -> None:
        for tick in range(round(int(time) / TICK_SECONDS)):
            now = STARTED_AT + tick * TICK_SECONDS
            record_heartbeat(context, now, "a", sequence=tick, staged=())
            (context.engine,) = context.targets.facts(now, ())
            is_loading = bool(context.engine.staging_model)
            staging = {} if is_loading else {context.engine.instance: MODEL}
            context.targets.send_orders(now, (), staging, {})
            await sleep(0)
            await sleep(0)

    context.runner.run(order_while_idle())


@then(r'the leader takes it to be loading "(?P<model>[^"]*)" and has sent (?P<number>\d+) orders')
def step_taken_to_load(context: Context, model: str, number: str) -> None:
    assert context.engine.staging_model == model, context.engine
    assert len(context.orders) == int(number), context.orders


def record_heartbeat(
    context: Context, now: float, name: str, sequence: int = 1, staged: tuple[str, ...] = (MODEL,)
) -> None:
    heartbeat = TargetCheckIn(
        InstanceId(name),
        SERVICE,
        f"10.0.1.{ord(name)}:80",
        DOMAIN,
        DOMAIN,
        born_at=1,
        sequence=sequence,
        is_draining=False,
        staged_models=staged,
    )
    assert context.registry.record_heartbeat(now, heartbeat)
