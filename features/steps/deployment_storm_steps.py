"""Steps that publish deployments in quick succession and count the bytes that nodes receive."""

import zlib
from asyncio import sleep
from dataclasses import dataclass, field
from random import Random

import msgspec
from behave import given, then, use_step_matcher, when
from behave.runner import Context
from returns.result import Success

from jaylatch_core.compression import compress_large, expand
from jaylatch_core.deployment import (
    NO_DEPLOYMENT,
    Deployment,
    DeploymentNumber,
    RequestKind,
    RouteSpecification,
    ServiceProfile,
    ServiceShare,
)
from jaylatch_core.enums import Role
from jaylatch_core.events import EventLog
from jaylatch_core.ids import FailureDomainId, Generation, Incarnation, InstanceId, Term
from jaylatch_core.messages.control import ControlCommand
from jaylatch_core.messages.deployment_changes import DeploymentChange, pack_change, unpack_change
from jaylatch_core.messages.frames import Body, Frame, encode_frame
from jaylatch_core.messages.membership import LeaseGrant, MemberReport, RenewLease, ViewChanged
from jaylatch_core.messages.targets import PublishDeployment
from jaylatch_core.settings import LeaseSettings
from jaylatch_decisions.control import ControlState, apply_change
from jaylatch_decisions.control.deployment_history import DeploymentHistory
from jaylatch_decisions.leases import AnnouncedDeployments, HeldLease
from jaylatch_node.blackboard import Blackboard, GrantBoard, Identity
from jaylatch_node.control.leader import LeaderController
from jaylatch_node.leases import LeaseController

DOMAIN = FailureDomainId("domain-1")
SERVICE = "orders"
STARTED_AT = 100.0
SETTLING_TURNS = 12
"""Turns of the event loop in which a renewal and its answer are handled."""
HISTORY_LENGTH = 20

use_step_matcher("re")


def make_route(name: int, revision: int) -> RouteSpecification:
    prefix = f"/{Random(name).randrange(10**6)}-{name}/"
    shares = (ServiceShare(SERVICE, 1.0),)
    return RouteSpecification(
        f"r-{name}", "shop.example", prefix, RequestKind.IDEMPOTENT, 5 + revision, 0.2, shares
    )


def make_deployment(number: int, routes: dict[int, int]) -> Deployment:
    return Deployment(
        DeploymentNumber(number),
        tuple(make_route(name, revision) for name, revision in routes.items()),
        (ServiceProfile(SERVICE, 50),),
    )


@dataclass
class LinkedNode:
    """A node's lease controller on a link to the leader that counts the bytes of the grants."""

    context: Context
    name: str
    is_silent: bool = False
    bytes_received: list[int] = field(default_factory=list)

    def __post_init__(self) -> None:
        identity = Identity(InstanceId(self.name), Incarnation(self.name), DOMAIN, "10.0.0.1:1")
        self.board = Blackboard(identity, EventLog(self.name), GrantBoard(HeldLease(0.0)))
        self.leases = LeaseController(
            self.board, LeaseSettings(), (Role.GATEWAY,), self, _report_nothing
        )

    def send(self, body: Body) -> None:
        if isinstance(body, ViewChanged) and not self.is_silent:
            self.leases.note_deployment(body.deployment)

    def update_peers(self, peers: object) -> None:
        """The set of voters does not matter here."""

    async def call(self, log: str, body: RenewLease, timeout: float) -> Success[LeaseGrant]:
        while self.is_silent:
            await sleep(0)
        grant = self.context.leader.renew(self.context.now, body, self)
        self.bytes_received.append(len(encode_frame(Frame(1, 0.0, 0, grant))))
        await sleep(0)
        return Success(grant)


def _report_nothing(now: float) -> MemberReport | None:
    return None


@given(r"a leader with (?P<gateways>\d+) gateways? and a deployment of (?P<routes>\d+) routes")
def step_leader(context: Context, gateways: str, routes: str) -> None:
    async def propose(command: ControlCommand) -> object:
        return context.state.apply(command)

    identity = Identity(InstanceId("c-1"), Incarnation("c"), DOMAIN, "10.0.0.9:1")
    board = Blackboard(identity, EventLog("c-1"), GrantBoard(HeldLease(0.0)))
    context.now = STARTED_AT
    context.state = ControlState()
    context.routes = dict.fromkeys(range(int(routes)), 0)
    publish(context, 1)
    context.leader = LeaderController(
        board, context.state, LeaseSettings(), Term(1), propose, context.now
    )
    context.nodes = [LinkedNode(context, f"g-{number}") for number in range(int(gateways))]

    async def start() -> None:
        for node in context.nodes:
            node.leases.start()
        await settle()

    context.runner.run(start())


def publish(context: Context, number: int) -> None:
    deployment = make_deployment(number, context.routes)
    context.state.apply(PublishDeployment(deployment, b""))


async def settle() -> None:
    for _ in range(SETTLING_TURNS):
        await sleep(0)


def change_routes(context: Context, count: int, number: int) -> None:
    for name in Random(number).sample(sorted(context.routes), count):
        context.routes[name] += 1


@when(
    r"(?P<versions>\d+) documents with (?P<changed>\d+) changed routes each are committed"
    r" within (?P<seconds>\d+) s"
)
def step_storm(context: Context, versions: str, changed: str, seconds: str) -> None:
    context.first_sizes = [max(node.bytes_received) for node in context.nodes]

    async def run() -> None:
        for node in context.nodes:
            node.bytes_received.clear()
        for number in range(2, int(versions) + 2):
            change_routes(context, int(changed), number)
            publish(context, number)
            context.now += int(seconds) / int(versions)
            context.leader.tick(context.now)
            await settle()

    context.runner.run(run())


@when(
    r"(?P<versions>\d+) documents with (?P<changed>\d+) changed route each are committed"
    r" while the gateway is silent"
)
def step_silent(context: Context, versions: str, changed: str) -> None:
    async def run() -> None:
        (node,) = context.nodes
        node.is_silent = True
        for number in range(2, int(versions) + 2):
            change_routes(context, int(changed), number)
            publish(context, number)
            context.leader.tick(context.now)
        node.is_silent = False
        node.leases.renew_now()
        await settle()

    context.runner.run(run())


@then(r"each gateway applies the newest document")
def step_newest(context: Context) -> None:
    newest = context.state.deployment
    for node in context.nodes:
        applied = node.board.grant.deployment
        assert applied.number == newest.number, (node.name, applied.number, newest.number)
        assert set(applied.routes) == set(newest.routes), node.name
        assert applied.services == newest.services, node.name


@then(r"the grants to a gateway after the first took less than (?P<percent>\d+)% of a document")
def step_small_grants(context: Context, percent: str) -> None:
    document = len(msgspec.msgpack.encode(context.state.deployment))
    for node in context.nodes:
        received = sum(node.bytes_received)
        assert received < document * int(percent) / 100, (node.name, received, document)


@then(r"a document took less than (?P<percent>\d+)% of its plain form")
def step_compressed(context: Context, percent: str) -> None:
    document = len(msgspec.msgpack.encode(context.state.deployment))
    (node,) = context.nodes
    largest = max(node.bytes_received)
    assert largest < document * int(percent) / 100, (largest, document)


@when(r"(?P<histories>\d+) histories of 20 documents run from seed (?P<seed>\d+)")
def step_histories(context: Context, histories: str, seed: str) -> None:
    context.faults = []
    for number in range(int(histories)):
        run_history(Random(int(seed) * 1000 + number), context.faults)


def run_history(random: Random, faults: list[str]) -> None:
    """Publish documents with random edits; a node applies changes late, twice or never."""
    history = DeploymentHistory()
    routes: dict[int, int] = {}
    published = {NO_DEPLOYMENT: Deployment(NO_DEPLOYMENT)}
    node = published[NO_DEPLOYMENT]
    delayed: list[bytes] = []
    number = 0
    for _ in range(HISTORY_LENGTH):
        number += random.randint(1, 5)
        for name in random.sample(range(40), random.randint(0, 12)):
            if random.random() < 0.3:
                routes.pop(name, None)
            else:
                routes[name] = random.randint(0, 3)
        deployment = make_deployment(number, routes)
        history.publish(deployment)
        published[deployment.number] = deployment
        delayed += [history.change_since(node.number)] * random.choice((0, 1, 2))
        random.shuffle(delayed)
        for change in [delayed.pop() for _ in range(random.randint(0, len(delayed)))]:
            node = apply_packed(node, change)
            check_node(node, published, faults)
    node = apply_packed(node, history.change_since(node.number))
    check_node(node, published, faults)
    if node.number != number:
        faults.append(f"ends with {node.number}, not {number}")


def apply_packed(node: Deployment, packed: bytes) -> Deployment:
    change = unpack_change(packed)
    if change.number < node.number:
        return node
    return apply_change(node, change) or node


def check_node(
    node: Deployment, published: dict[DeploymentNumber, Deployment], faults: list[str]
) -> None:
    expected = published[node.number]
    if set(node.routes) != set(expected.routes) or len(node.routes) != len(expected.routes):
        faults.append(f"deployment {node.number} has other routes than were published")
    if node.services != expected.services:
        faults.append(f"deployment {node.number} has other services than were published")


@then(r"each node's deployment was always one that was published, and in the end the newest")
def step_histories_hold(context: Context) -> None:
    assert not context.faults, context.faults[:5]


@given(r"a node that applies a deployment")
def step_node(context: Context) -> None:
    context.execute_steps("Given a leader with 1 gateway and a deployment of 20 routes")


@when(r"it receives a grant whose change is (?P<damage>.+)")
def step_damaged(context: Context, damage: str) -> None:
    (node,) = context.nodes
    context.before = node.board.grant.deployment
    whole = pack_change(DeploymentChange(NO_DEPLOYMENT, DeploymentNumber(2), context.before.routes))
    other_base = DeploymentChange(DeploymentNumber(9), DeploymentNumber(10))
    changes = {
        "no MessagePack": b"\xc1\xff",
        "cut off": zlib.compress(whole)[:-9],
        "of another base": pack_change(other_base),
        "a bomb of 64 MiB": zlib.compress(bytes(64 * 1024 * 1024)),
    }
    grant = LeaseGrant(
        1.0, Generation(0), node.board.grant.preset, None, None, None, False, changes[damage]
    )
    node.leases._accept(STARTED_AT, grant)


@then(r"it still applies that deployment and answers the next grant")
def step_unchanged(context: Context) -> None:
    (node,) = context.nodes
    assert node.board.grant.deployment is context.before
    change_routes(context, 1, 2)
    publish(context, 2)

    async def run() -> None:
        context.leader.tick(context.now)
        await settle()

    context.runner.run(run())
    step_newest(context)


@given(r"a command that publishes a deployment of (?P<routes>\d+) routes")
def step_command(context: Context, routes: str) -> None:
    deployment = make_deployment(1, dict.fromkeys(range(int(routes)), 0))
    context.command = PublishDeployment(deployment, b"")
    context.plain = msgspec.msgpack.encode(context.command)


@when(r"it is written (?P<how>by this version|without compression)")
def step_written(context: Context, how: str) -> None:
    is_plain = how == "without compression"
    context.written = context.plain if is_plain else compress_large(context.plain)


@then(
    r"it takes (?P<size>its plain form|less than 25% of its plain form)"
    r" and reads back as the same command"
)
def step_read_back(context: Context, size: str) -> None:
    if size == "its plain form":
        assert context.written == context.plain
    else:
        assert len(context.written) < 0.25 * len(context.plain), len(context.written)
    decoded = msgspec.msgpack.decode(expand(context.written), type=PublishDeployment)
    assert decoded == context.command


@given(
    r"the deployments (?P<announced>[\d ]+) announced (?P<gap>[\d.]+) s apart while 4 is in force"
)
def step_announced(context: Context, announced: str, gap: str) -> None:
    context.announced = AnnouncedDeployments()
    for position, number in enumerate(announced.split()):
        at = STARTED_AT + position * float(gap)
        context.announced.note(at, DeploymentNumber(int(number)), DeploymentNumber(4))


@when(r"the node applies (?P<number>\d+)")
def step_applies(context: Context, number: str) -> None:
    context.announced.apply(DeploymentNumber(int(number)))


@then(
    r"(?P<age>[\d.]+) s after the first announcement the missing deployment is"
    r" (?P<state>overdue|not overdue)"
)
def step_overdue(context: Context, age: str, state: str) -> None:
    is_overdue = context.announced.is_overdue(STARTED_AT + float(age), 1.0)
    assert is_overdue is (state == "overdue"), is_overdue


use_step_matcher("parse")
