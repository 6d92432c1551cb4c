"""Engines, plain targets and gateways in several failure domains, led in simulated time."""

from asyncio import sleep
from dataclasses import dataclass, field

from jaylatch_core.deployment import (
    Deployment,
    DeploymentNumber,
    EngineProfile,
    ModelProfile,
    ServiceProfile,
)
from jaylatch_core.enums import DrainScope, Role
from jaylatch_core.events import EventLog
from jaylatch_core.ids import (
    CommandId,
    Epoch,
    FailureDomainId,
    Generation,
    GroupId,
    Incarnation,
    InstanceId,
    Term,
)
from jaylatch_core.messages.control import ControlCommand, SetDrain
from jaylatch_core.messages.frames import Body
from jaylatch_core.messages.membership import RenewLease, View
from jaylatch_core.messages.targets import (
    MemberState,
    PublishDeployment,
    ReportedMembership,
    TargetCheckIn,
)
from jaylatch_core.settings import LeaseSettings
from jaylatch_decisions.control import ControlState
from jaylatch_decisions.leases import HeldLease
from jaylatch_decisions.targets import (
    CloseGroup,
    DrainGroup,
    EngineOrder,
    JoinGroup,
    LeaveGroup,
    OpenGroup,
    ProbeOutcome,
    StageModel,
    TargetRecord,
    TargetRegistry,
)
from jaylatch_node.blackboard import Blackboard, GrantBoard, Identity
from jaylatch_node.control.leader import LeaderController
from jaylatch_node.control.targets import TargetController
from jaylatch_node.targets import OrderOutcome

TICK_SECONDS = 0.1
HEARTBEAT_TICKS = 5
RENEWAL_TICKS = 5
HEARTBEAT_TIMEOUT_SECONDS = 3.0
STARTED_AT = 100.0
ENGINE_SERVICE, PLAIN_SERVICE = "models", "orders"
ENGINE_SLOTS, PLAIN_SLOTS = 24, 6
NEVER = float("inf")
OBSERVER = "g-0"
"""A gateway that renews its lease in each round."""


@dataclass
class Target:
    """One target; an engine follows the leader's orders at once, and stages in a given time."""

    name: InstanceId
    domain: FailureDomainId
    number: int
    is_engine: bool = True
    staged: tuple[str, ...] = ()
    membership: ReportedMembership | None = None
    is_busy: bool = False
    is_stopped: bool = False
    staging: str = ""
    staged_at: float = NEVER
    reports: int = 0
    cut_work: int = 0
    orders: list[EngineOrder] = field(default_factory=list)


@dataclass
class Gateway:
    """A gateway that renews its lease every half second unless it is cut off."""

    name: str
    view: View = View(0, (), ())
    is_cut_off: bool = False

    def send(self, body: Body) -> None:
        """Ignore an announcement: this gateway learns all by its renewals."""


class EvacuationFleet:
    """A leader with its targets; ``commands`` are those that it has committed."""

    def __init__(self, models: dict[str, int], staging_seconds: float = 1.0) -> None:
        self.now = STARTED_AT
        self.state = ControlState()
        self.group_sizes: dict[tuple[GroupId, Epoch], int] = {}
        self.commands: list[ControlCommand] = []
        self.targets: dict[InstanceId, Target] = {}
        self.gateways = {OBSERVER: Gateway(OBSERVER)}
        self.views: list[tuple[float, View]] = []
        self._staging_seconds = staging_seconds
        self._ticks = 0
        self._sent = 0
        self.publish(models)
        self.registry = TargetRegistry(HEARTBEAT_TIMEOUT_SECONDS, STARTED_AT - 10.0)
        self.elect(1)

    def publish(self, models: dict[str, int]) -> None:
        """Put a deployment in force that gives each model a size."""
        number = DeploymentNumber(self.state.deployment.number + 1)
        profiles = tuple(ModelProfile(name, size, 1.0) for name, size in models.items())
        services = (
            ServiceProfile(ENGINE_SERVICE, 100, EngineProfile(ENGINE_SLOTS, profiles)),
            ServiceProfile(PLAIN_SERVICE, 100),
        )
        self.state.apply(PublishDeployment(Deployment(number, services=services), b""))

    def elect(self, term: int) -> None:
        """Make a new leader, which knows the committed state and the registered targets."""
        identity = Identity(
            InstanceId(f"c-{term}"), Incarnation("c"), FailureDomainId("control"), "10.0.0.9:1"
        )
        board = Blackboard(identity, EventLog("c"), GrantBoard(HeldLease(0.0)))
        controller = TargetController(
            self.registry, term, self._send_order, self._probe, True, self.now
        )
        self.leader = LeaderController(
            board, self.state, LeaseSettings(), Term(term), self._propose, self.now, controller
        )

    def add(self, name: str, staged: tuple[str, ...] = (), is_engine: bool = True) -> Target:
        """Add a target; the first letter of its name is that of its domain."""
        domain = FailureDomainId({"n": "north", "s": "south", "e": "east"}[name[0]])
        target = Target(InstanceId(name), domain, len(self.targets), is_engine, staged)
        self.targets[target.name] = target
        self.report(target)
        return target

    def set_drain(self, domain: str, is_draining: bool, operator: str = "operator") -> None:
        """Commit an order of an operator."""
        self._sent += 1
        command = SetDrain(
            CommandId(f"order-{self._sent}"),
            DrainScope.FAILURE_DOMAIN,
            domain,
            is_draining,
            operator,
            self.now,
        )
        self.state.apply(command)

    async def advance(self, seconds: float) -> None:
        """Let the time pass in rounds of the leader."""
        for _ in range(round(seconds / TICK_SECONDS)):
            self.now += TICK_SECONDS
            self._ticks += 1
            for target in self.targets.values():
                self._follow(target)
            self.leader.tick(self.now)
            for gateway in self.gateways.values():
                if gateway.name == OBSERVER or self._ticks % RENEWAL_TICKS == 0:
                    self.renew(gateway)
            for _ in range(4):
                await sleep(0)
            self.views.append((self.now, self.view))

    @property
    def view(self) -> View:
        """Return the view of the gateway that is always in contact."""
        return self.gateways[OBSERVER].view

    def renew(self, gateway: Gateway) -> None:
        """Renew the lease of a gateway unless it is cut off."""
        if gateway.is_cut_off:
            return
        renewal = RenewLease(
            InstanceId(gateway.name),
            Incarnation("1"),
            (Role.GATEWAY,),
            FailureDomainId("edge"),
            "10.0.0.8:1",
            Generation(0),
            Generation(0),
            gateway.view.version,
            None,
        )
        grant = self.leader.renew(self.now, renewal, gateway)
        if grant.view is not None:
            gateway.view = grant.view

    def _follow(self, target: Target) -> None:
        """Stage as ordered, finish work, and send a heartbeat when one is due."""
        if target.is_stopped:
            return
        if self.now >= target.staged_at:
            target.staged, target.staging, target.staged_at = (target.staging,), "", NEVER
        membership = target.membership
        is_closing = membership is not None and membership.state is MemberState.CLOSING
        if is_closing and not target.is_busy:
            self._set_state(target, MemberState.READY)
            self.report(target)
        if self._ticks % HEARTBEAT_TICKS == target.number % HEARTBEAT_TICKS:
            self.report(target)

    def report(self, target: Target) -> None:
        """Send a heartbeat."""
        target.reports += 1
        self.registry.record_heartbeat(
            self.now,
            TargetCheckIn(
                target.name,
                ENGINE_SERVICE if target.is_engine else PLAIN_SERVICE,
                f"10.0.1.{target.number}:80",
                target.domain,
                FailureDomainId(f"{target.domain}-fabric"),
                born_at=1,
                sequence=target.reports,
                is_draining=False,
                slots=ENGINE_SLOTS if target.is_engine else PLAIN_SLOTS,
                membership=target.membership,
                staged_models=target.staged,
            ),
        )

    def _set_state(self, target: Target, state: MemberState) -> None:
        known = target.membership
        assert known is not None
        target.membership = ReportedMembership(known.group, known.epoch, known.rank, state)

    async def _send_order(
        self, record: TargetRecord, order: EngineOrder, fence: int
    ) -> OrderOutcome:
        target = self.targets[record.heartbeat.instance]
        target.orders.append(order)
        target.cut_work += target.is_busy and isinstance(order, CloseGroup | JoinGroup | LeaveGroup)
        match order:
            case JoinGroup(group, epoch, _, members):
                rank = members.index(target.name)
                self.group_sizes[group, epoch] = len(members)
                target.membership = ReportedMembership(group, epoch, rank, MemberState.READY)
            case OpenGroup():
                self._set_state(target, MemberState.OPEN)
            case DrainGroup():
                self._set_state(target, MemberState.CLOSING)
            case CloseGroup():
                self._set_state(target, MemberState.READY)
            case LeaveGroup():
                target.membership = None
            case StageModel(model):
                target.staging, target.staged_at = model, self.now + self._staging_seconds
        self.report(target)
        return OrderOutcome.ACCEPTED

    async def _probe(self, record: TargetRecord, is_repeated: bool) -> ProbeOutcome:
        return ProbeOutcome.ANSWERED

    async def _propose(self, command: ControlCommand) -> object:
        self.commands.append(command)
        return self.state.apply(command)
