"""Steps on processes that go on following control after an unexpected error."""

import logging
from asyncio import sleep
from typing import Any

from behave import given, then, use_step_matcher, when
from behave.runner import Context
from returns.result import Success

from jaylatch_core.clock import monotonic
from jaylatch_core.enums import Preset, Role
from jaylatch_core.events import EventLog
from jaylatch_core.ids import FailureDomainId, Generation, Incarnation, InstanceId
from jaylatch_core.messages.administration import MetricsReport, ReadMetrics
from jaylatch_core.messages.frames import Body
from jaylatch_core.messages.membership import LeaseGrant, PresetState, RenewLease
from jaylatch_core.settings import LeaseSettings
from jaylatch_decisions.leases import HeldLease
from jaylatch_node.blackboard import Blackboard, GrantBoard, Identity
from jaylatch_node.leases.controller import LeaseController
from jaylatch_node.observability import Metrics
from jaylatch_node.streams import Peer, PeerPool, StreamConnection, StreamServer, Traffic
from jaylatch_standins.deployment import wait_until
from jaylatch_standins.ports import LOOPBACK, free_addresses

SETTINGS = LeaseSettings(duration=1.0, renew_interval=0.1)
PRESET = PresetState(Preset.ORDINARY, Generation(0), Preset.ORDINARY, Generation(0))
WAIT_TIMEOUT = 2.0
"""Seconds."""

use_step_matcher("re")


class FailOnce:
    """Raises an error at its first call after ``arm``."""

    def __init__(self) -> None:
        self.is_armed = False
        self.has_failed = False

    def arm(self) -> None:
        """Let the next call fail."""
        self.is_armed = True

    def __call__(self, *arguments: object) -> None:
        if self.is_armed:
            self.is_armed, self.has_failed = False, True
            raise OverflowError("a number that no message can carry")


class Records(logging.Handler):
    """Keeps the log records of errors."""

    def __init__(self) -> None:
        super().__init__(logging.ERROR)
        self.records: list[logging.LogRecord] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Keep ``record``."""
        self.records.append(record)


class GrantingClient:
    """A control client whose calls are answered with a lease."""

    def __init__(self, on_call: FailOnce) -> None:
        self._on_call = on_call

    async def call(self, log: str, body: RenewLease, timeout: float) -> Success[LeaseGrant]:
        """Return a grant."""
        self._on_call()
        return Success(
            LeaseGrant(SETTINGS.duration, Generation(0), PRESET, None, None, None, False)
        )

    def update_peers(self, peers: object) -> None:
        """Ignore the voters."""


@given(r"a process that follows control through a lease")
def step_follower(context: Context) -> None:
    context.faults = {
        "the renewal is written": FailOnce(),
        "a granted view is handled": FailOnce(),
        "the member's state is reported": FailOnce(),
    }
    context.runner.run(follow(context))


async def follow(context: Context) -> None:
    identity = Identity(InstanceId("g"), Incarnation("1"), FailureDomainId("d"), "10.0.0.1:1")
    context.board = Blackboard(identity, EventLog("g"), GrantBoard(HeldLease(0.0)))
    client: Any = GrantingClient(context.faults["the renewal is written"])
    report: Any = context.faults["the member's state is reported"]
    leases = LeaseController(context.board, SETTINGS, (Role.GATEWAY,), client, report)
    leases.on_grant(context.faults["a granted view is handled"])
    leases.start()
    await wait_until(has_lease(context), WAIT_TIMEOUT, "the first lease")


def has_lease(context: Context) -> Any:
    async def is_valid() -> bool:
        return bool(context.board.grant.lease.is_valid(monotonic()))

    return is_valid


@when(r"there is an error once when (?P<what>.+)(?<!on the stream)")
def step_error(context: Context, what: str) -> None:
    context.records = Records()
    logging.getLogger().addHandler(context.records)
    try:
        context.runner.run(fail_once(context.faults[what]))
    finally:
        logging.getLogger().removeHandler(context.records)


async def fail_once(fault: FailOnce) -> None:
    fault.arm()
    await sleep(SETTINGS.duration + 2 * SETTINGS.renew_interval)
    assert fault.has_failed


@then(r"the error is logged, and the process holds a lease within 2 s")
def step_holds_lease(context: Context) -> None:
    assert context.records.records
    context.runner.run(wait_until(has_lease(context), WAIT_TIMEOUT, "a lease"))


# Streams


@given(r"a process with a peer")
def step_peer(context: Context) -> None:
    context.faults = {
        "a message is handled": FailOnce(),
        "the start of a stream is handled": FailOnce(),
        "the end of a stream is handled": FailOnce(),
    }
    context.runner.run(connect(context))


async def connect(context: Context) -> None:
    traffic = Traffic(Metrics())

    def answer(connection: StreamConnection, call: int, body: Body) -> None:
        connection.reply(call, MetricsReport(b""))
        connection.send(ReadMetrics())

    context.address = free_addresses(1)[0]
    server = StreamServer(EventLog("server"), traffic, answer)
    server.listen(int(context.address.rpartition(":")[2]), LOOPBACK)
    context.pool = PeerPool(EventLog("client"), traffic, context.faults["a message is handled"])
    context.peer = context.pool.get(context.address)
    context.peer.on_connect(context.faults["the start of a stream is handled"])
    context.peer.on_disconnect(context.faults["the end of a stream is handled"])
    await wait_until(is_connected(context.peer), WAIT_TIMEOUT, "a connection")


def is_connected(peer: Peer) -> Any:
    async def is_open() -> bool:
        return peer.connection is not None

    return is_open


@when(r"there is an error once when (?P<what>.+) on the stream")
def step_stream_error(context: Context, what: str) -> None:
    context.runner.run(fail_stream(context, what))


async def fail_stream(context: Context, what: str) -> None:
    fault: FailOnce = context.faults[what]
    fault.arm()
    if "message" in what:
        await context.peer.call(ReadMetrics(), WAIT_TIMEOUT)
    else:
        context.peer.reset()
    await sleep(0.3)
    assert fault.has_failed


@then(r"the process is connected to its peer again within 2 s")
def step_connected_again(context: Context) -> None:
    context.runner.run(wait_until(is_connected(context.peer), WAIT_TIMEOUT, "a connection"))


@when(r"it also has peers at (?P<first>\S+) and at (?P<second>\S+)")
def step_odd_peers(context: Context, first: str, second: str) -> None:
    context.runner.run(add_peers(context, (first, second)))


async def add_peers(context: Context, addresses: tuple[str, ...]) -> None:
    context.odd_peers = [context.pool.get(address) for address in addresses]
    await sleep(0.3)


@then(r"these go on connecting, and the first peer is connected")
def step_go_on(context: Context) -> None:
    ended = [peer.address for peer in context.odd_peers if peer._task.done()]
    assert not ended, ended
    assert context.peer.connection is not None
