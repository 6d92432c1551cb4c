"""Steps that run a leader's probes against servers that fall silent, crash or are cut off."""

import socket
from asyncio import Event, StreamReader, StreamWriter, create_task, gather, sleep, start_server
from collections.abc import Coroutine
from contextlib import suppress

from behave import given, then, use_step_matcher, when
from behave.runner import Context
from cut_off_steps import SilentConnection, make_renewal
from features.support.gateway import DOMAIN, MODEL, PlainDialect, read_request

from jaylatch_core.clock import monotonic
from jaylatch_core.deployment import (
    Deployment,
    DeploymentNumber,
    EngineProfile,
    ModelProfile,
    ServiceProfile,
)
from jaylatch_core.events import EventLog
from jaylatch_core.ids import Incarnation, InstanceId, Term
from jaylatch_core.messages.control import ControlCommand, FormGroup, Group
from jaylatch_core.messages.targets import (
    MemberState,
    PublishDeployment,
    ReportedMembership,
    SuspectTarget,
    TargetCheckIn,
)
from jaylatch_core.settings import LeaseSettings
from jaylatch_decisions.control import ControlState
from jaylatch_decisions.leases import HeldLease
from jaylatch_decisions.targets import EngineOrder, StageModel, TargetRecord, TargetRegistry
from jaylatch_node.blackboard import Blackboard, GrantBoard, Identity
from jaylatch_node.control.leader import LeaderController
from jaylatch_node.control.targets import TargetController
from jaylatch_node.targets import OrderOutcome
from jaylatch_node.targets.orders import EngineOrderClient
from jaylatch_standins.ports import free_addresses

SERVICE = "engines"
SERVER_NAMES = ("a", "b", "c", "d")
"""The members of the group, its head first, and the spare."""
HEARTBEAT_TIMEOUT_SECONDS = 20.0
"""Longer than a scenario, so that only probes show a loss."""
REPORT_INTERVAL_SECONDS = 0.5
FIRST_SUSPICION_SECONDS = 0.2
"""Time without an event after which a gateway suspects a head."""
SUSPICION_INTERVAL_SECONDS = 0.4
OBSERVED_SECONDS = 3.0
TICK_SECONDS = 0.05

use_step_matcher("re")


class FaultyServer:
    """A server that answers health checks and orders, until a fault is set."""

    def __init__(self, name: str) -> None:
        self.name = InstanceId(name)
        self.address = free_addresses(1)[0]
        self.reports = True
        self.received = 0
        self.connections = 0
        self._host, _, port = self.address.rpartition(":")
        self._port = int(port)
        self._status = "200 OK"
        self._resets = False
        self._answers = Event()
        self._answers.set()
        self._muted: set[StreamWriter] = set()
        self._writers: set[StreamWriter] = set()
        self._sockets: list[socket.socket] = []

    async def start(self) -> None:
        """Accept connections and answer requests."""
        self._listener = await start_server(self._serve, self._host, self._port)

    async def be_silent(self, seconds: float) -> None:
        """Accept connections, but send nothing; then go on with what has arrived."""
        self.reports = False
        self._answers.clear()
        await sleep(seconds)
        self._answers.set()
        self.reports = True

    async def be_silent_when_full(self, seconds: float) -> None:
        """Be silent, and reset new connections, as a server does beyond its number of them."""
        self._resets = True
        await self.be_silent(seconds)
        self._resets = False

    async def crash(self) -> None:
        """Close all connections and refuse new ones."""
        self.reports = False
        self._listener.close()
        for writer in self._writers:
            writer.transport.abort()

    async def cut_off(self) -> None:
        """Leave the connections open without an answer, and new ones without an acceptance."""
        self.reports = False
        self._answers.clear()
        self._listener.close()
        full = socket.socket()
        full.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        full.bind((self._host, self._port))
        # The kernel drops the first packets of connections beyond a full backlog.
        full.listen(0)
        self._sockets.append(full)
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            with suppress(BlockingIOError):
                filler.connect((self._host, self._port))
            self._sockets.append(filler)

    async def be_replaced(self) -> None:
        """Answer as a server that has the address, but another id."""
        self.reports = False
        self._status = "421 Misdirected Request"
        for writer in self._writers:
            writer.transport.abort()

    async def mute_open_connections(self) -> None:
        """Answer on new connections only."""
        self._muted = set(self._writers)

    def close(self) -> None:
        """End all that is open."""
        self._answers.set()
        self._listener.close()
        for writer in self._writers:
            writer.transport.abort()
        for item in self._sockets:
            item.close()

    async def _serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        self.connections += 1
        if self._resets:
            writer.transport.abort()
            return
        self._writers.add(writer)
        with suppress(EOFError, ConnectionError):
            while True:
                await read_request(reader)
                self.received += 1
                await self._answers.wait()
                if writer not in self._muted:
                    writer.write(f"HTTP/1.1 {self._status}\r\nContent-Length: 0\r\n\r\n".encode())
        self._writers.discard(writer)
        writer.close()


@given(
    r"the leader of a group of 3 and a spare, to whose servers it holds"
    r" (?P<connection>no|old) connections"
)
def step_leader_of_servers(context: Context, connection: str) -> None:
    context.runner.run(start_leader(context, connection == "old"))


async def start_leader(context: Context, has_connections: bool) -> None:
    state = ControlState()
    engine = EngineProfile(24, (ModelProfile(MODEL, 3),))
    services = (ServiceProfile(SERVICE, 100, engine),)
    state.apply(PublishDeployment(Deployment(DeploymentNumber(1), services=services), b""))
    context.servers = {name: FaultyServer(name) for name in SERVER_NAMES}
    state.apply(FormGroup(MODEL, tuple(InstanceId(name) for name in SERVER_NAMES[:3])))
    (context.group,) = state.groups.values()
    context.state = state
    now = monotonic()
    context.registry = TargetRegistry(HEARTBEAT_TIMEOUT_SECONDS, now - HEARTBEAT_TIMEOUT_SECONDS)
    context.client = EngineOrderClient(PlainDialect())
    for server in context.servers.values():
        await server.start()
        report_server(context, server, 1)
        if has_connections:
            record = context.registry.record(server.name)
            orders = [context.client.send(record, StageModel(MODEL), 1) for _ in range(2)]
            assert await gather(*orders) == [OrderOutcome.ACCEPTED] * 2
            assert server.connections == 2, server.connections

    async def propose(command: ControlCommand) -> object:
        return state.apply(command)

    async def send(record: TargetRecord, order: EngineOrder, fence: int) -> OrderOutcome:
        return OrderOutcome.ACCEPTED

    identity = Identity(InstanceId("c-1"), Incarnation("c"), DOMAIN, "10.0.0.9:1")
    board = Blackboard(identity, EventLog("c-1"), GrantBoard(HeldLease(0.0)))
    targets = TargetController(context.registry, 1, send, context.client.probe, True, now)
    context.leader = LeaderController(board, state, LeaseSettings(), Term(1), propose, now, targets)


def report_server(context: Context, server: FaultyServer, sequence: int) -> None:
    """Record a heartbeat of a member, under the group's first epoch, or of the spare."""
    group: Group = context.group
    membership = None
    if server.name in group.members:
        rank = group.members.index(server.name)
        state = MemberState.OPEN if rank == 0 else MemberState.READY
        membership = ReportedMembership(group.id, group.epoch, rank, state)
    context.registry.record_heartbeat(
        monotonic(),
        TargetCheckIn(
            server.name,
            SERVICE,
            server.address,
            DOMAIN,
            DOMAIN,
            1,
            sequence,
            False,
            membership=membership,
            staged_models=(MODEL,),
        ),
    )


@when(
    r"the group's (?P<name>head|member) (?P<fault>.+), and gateways suspect the head"
    r" (?P<suspected>once|each 0.4 s)"
)
def step_fault(context: Context, name: str, fault: str, suspected: str) -> None:
    server = context.servers["a" if name == "head" else "b"]
    context.runner.run(observe(context, start_fault(server, fault), suspected == "once"))


async def start_fault(server: FaultyServer, fault: str) -> None:
    match fault.split():
        case ["is", "silent", "for", "good"]:
            await server.be_silent(2 * OBSERVED_SECONDS)
        case ["is", "silent", "for", seconds, "s"]:
            await server.be_silent(float(seconds))
        case ["is", "silent", "for", seconds, "s", "and", "crashes"]:
            await server.be_silent(float(seconds))
            await server.crash()
        case ["is", "silent", "for", seconds, "s", "and", "full"]:
            await server.be_silent_when_full(float(seconds))
        case ["refuses", "connections"]:
            await server.crash()
        case ["accepts", "no", "connections"]:
            await server.cut_off()
        case ["answers", "as", "another", "instance"]:
            await server.be_replaced()
        case ["mutes", "old", "channels"]:
            await server.mute_open_connections()
        case _:
            raise AssertionError(fault)


async def observe(
    context: Context, fault: Coroutine[object, object, None], is_suspected_once: bool
) -> None:
    """Let the leader act for some seconds; record when it first leaves the group."""
    context.leader.tick(monotonic())
    assert is_listed(context), "the group is not listed at first"
    started_at = monotonic()
    running = create_task(fault)
    context.left_after = None
    suspect_at, report_at, sequence = FIRST_SUSPICION_SECONDS, REPORT_INTERVAL_SECONDS, 1
    while (passed := monotonic() - started_at) < OBSERVED_SECONDS:
        if passed >= suspect_at:
            suspect_at += float("inf") if is_suspected_once else SUSPICION_INTERVAL_SECONDS
            context.leader.suspect(monotonic(), SuspectTarget(context.group.head))
        if passed >= report_at:
            report_at += REPORT_INTERVAL_SECONDS
            sequence += 1
            for server in context.servers.values():
                if server.reports:
                    report_server(context, server, sequence)
        context.leader.tick(monotonic())
        if not is_listed(context) and context.left_after is None:
            context.left_after = monotonic() - started_at - FIRST_SUSPICION_SECONDS
        await sleep(TICK_SECONDS)
    running.cancel()
    for server in context.servers.values():
        server.close()
    context.client.close()
    await sleep(TICK_SECONDS)


def is_listed(context: Context) -> bool:
    """Return whether a gateway is granted the group under the epoch that it has served in."""
    grant = context.leader.renew(monotonic(), make_renewal(()), SilentConnection())
    routes = grant.view.groups if grant.view is not None else ()
    return [(item.group, item.epoch) for item in routes] == [
        (context.group.id, context.group.epoch)
    ]


@then(r"the group stays listed under its epoch")
def step_stays_listed(context: Context) -> None:
    assert context.left_after is None, context.left_after
    (group,) = context.state.groups.values()
    assert group == context.group, group


@then(r"the group is left within (?P<first>[\d.]+) to (?P<last>[\d.]+) s")
def step_left(context: Context, first: str, last: str) -> None:
    assert context.left_after is not None, "the group is listed all the while"
    assert float(first) <= context.left_after <= float(last), context.left_after


@then(r"the leader has sent it at most (?P<most>\d) probes")
def step_few_probes(context: Context, most: str) -> None:
    assert 1 <= context.servers["a"].received <= int(most), context.servers["a"].received


use_step_matcher("parse")
