"""Steps on an agent whose engine streams but does not answer its probes."""

from asyncio import StreamReader, StreamWriter, sleep, start_server
from time import monotonic
from time import sleep as pause
from types import SimpleNamespace
from typing import cast

from behave import given, then, use_step_matcher, when
from behave.runner import Context
from tornado.httpclient import AsyncHTTPClient

from jaylatch_core.enums import TargetKind
from jaylatch_core.events import EventLog
from jaylatch_core.ids import (
    AccountId,
    AttemptId,
    Epoch,
    FailureDomainId,
    GroupId,
    Incarnation,
    InstanceId,
    RequestId,
    TargetId,
)
from jaylatch_core.messages.frames import Body
from jaylatch_core.messages.membership import TargetAnnouncement
from jaylatch_core.messages.requests import ModelWork, StartAttempt
from jaylatch_core.settings import AgentSettings, LeaseSettings
from jaylatch_decisions.leases import HeldLease
from jaylatch_node.agent.attempts import AttemptsController
from jaylatch_node.agent.membership import MembershipController
from jaylatch_node.blackboard import Blackboard, GrantBoard, Identity
from jaylatch_node.observability import Metrics
from jaylatch_node.streams import PeerPool, StreamConnection, Traffic
from jaylatch_standins.ports import LOOPBACK, free_addresses

TOKEN_SECONDS = 0.1
EVENT = b'data: {"choices":[{"text":"word","tokens":1}]}\n\n'
SETTINGS = AgentSettings()
INCARNATION = Incarnation("run")

use_step_matcher("re")


class Watcher:
    """A connection whose entry ignores what it is sent."""

    def send(self, body: Body) -> None:
        """Ignore a body."""


@given(r"an agent whose engine was healthy (?P<age>[\d.]+) s ago")
def step_agent(context: Context, age: str) -> None:
    instance = InstanceId("engine-1")
    identity = Identity(instance, INCARNATION, FailureDomainId("domain-1"), "127.0.0.1:1")
    context.board = Blackboard(identity, EventLog(instance), GrantBoard(HeldLease(0.0)))
    context.age = float(age)


@when(
    r"the engine (?P<streams>goes on with|falls silent in) a stream for (?P<seconds>[\d.]+) s"
    r" and answers no probe"
)
def step_stream(context: Context, streams: str, seconds: str) -> None:
    context.runner.run(stream(context, float(seconds), streams == "goes on with"))


async def stream(context: Context, seconds: float, goes_on: bool) -> None:
    """Run an attempt at an engine that only streams, and record whether it is healthy then."""

    async def serve(reader: StreamReader, writer: StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
        while goes_on:
            writer.write(EVENT)
            await sleep(TOKEN_SECONDS)
        await sleep(2 * seconds)

    (address,) = free_addresses(1)
    host, _, port = address.rpartition(":")
    assert host == LOOPBACK
    await start_server(serve, host, int(port))
    member = context.board.member
    member.announcement = TargetAnnouncement(TargetId("t"), TargetKind.ENGINE, address, True)
    member.epoch = Epoch(1)
    member.healthy_at = monotonic() - context.age
    admission = SimpleNamespace(is_admitting=lambda now: True)
    attempts = AttemptsController(
        context.board, SETTINGS, admission, AsyncHTTPClient(force_instance=True)
    )
    connection = cast(StreamConnection, Watcher())
    attempts.open_connection(connection)
    assert attempts.handle(connection, 0, make_start())
    await sleep(seconds)
    context.is_healthy = member.healthy_at > monotonic() - SETTINGS.member_timeout


@when(
    r"the agent is busy for (?P<busy>[\d.]+) s, and its engine answers no probe"
    r" for (?P<silence>[\d.]+) s after that"
)
def step_busy_agent(context: Context, busy: str, silence: str) -> None:
    async def run() -> None:
        peers = PeerPool(EventLog("agent"), Traffic(Metrics()), lambda connection, call, body: None)
        client = AsyncHTTPClient(force_instance=True)
        membership = MembershipController(
            context.board, SETTINGS, LeaseSettings(), peers, client, lambda: None, lambda: None
        )
        member = context.board.member
        member.healthy_at = monotonic() - context.age
        membership.start()
        await sleep(TOKEN_SECONDS)
        pause(float(busy))
        await sleep(float(silence))
        context.is_healthy = membership.report(monotonic()).is_target_healthy
        membership.stop()

    context.runner.run(run())


def make_start() -> StartAttempt:
    """Return the start of a long completion."""
    return StartAttempt(
        AttemptId("attempt"),
        RequestId("request"),
        AccountId("account"),
        INCARNATION,
        GroupId("group"),
        Epoch(1),
        monotonic(),
        60.0,
        ModelWork("model", "prompt", 1000, 0, 0),
    )


@then(r"the agent takes it for (?P<state>healthy|lost)")
def step_state(context: Context, state: str) -> None:
    assert context.is_healthy == (state == "healthy")
