"""Steps on the streams between processes."""

from asyncio import sleep
from time import monotonic

from behave import given, then, use_step_matcher, when
from behave.runner import Context
from returns.pipeline import is_successful

from jaylatch_core.events import EventLog
from jaylatch_core.messages.administration import MetricsReport, ReadMetrics
from jaylatch_core.messages.frames import Body
from jaylatch_node.observability import Metrics
from jaylatch_node.streams import PeerPool, StreamConnection, StreamServer, Traffic
from jaylatch_standins.ports import LOOPBACK, free_addresses
from jaylatch_standins.proxy import FaultProxy

LONGEST_WAIT = 15.0

use_step_matcher("re")


@given(r"two processes connected through a proxy")
def step_connected(context: Context) -> None:
    context.runner.run(connect(context))


@when(
    r"the present connection goes silent"
    r" and a call with a timeout of (?P<timeout>[\d.]+) s is made each (?P<interval>[\d.]+) s"
)
def step_silence(context: Context, timeout: str, interval: str) -> None:
    context.took = context.runner.run(call_until_answered(context, float(timeout), float(interval)))


@then(r"a call is answered within (?P<limit>\d+) s")
def step_answered(context: Context, limit: str) -> None:
    assert context.took < float(limit), context.took


async def connect(context: Context) -> None:
    """Start a server behind a proxy, and a peer of it that has called it once."""
    traffic = Traffic(Metrics())
    listen, proxied = free_addresses(2)
    context.server = StreamServer(EventLog("server"), traffic, answer)
    context.server.listen(int(listen.rpartition(":")[2]), LOOPBACK)
    context.proxy = FaultProxy(listen)
    context.proxy.listen(int(proxied.rpartition(":")[2]), LOOPBACK)
    peers = PeerPool(EventLog("client"), traffic, lambda connection, call, body: None)
    context.peer = peers.get(proxied)
    assert is_successful(await context.peer.call(ReadMetrics(), LONGEST_WAIT))


async def call_until_answered(context: Context, timeout: float, interval: float) -> float:
    """Return the seconds from the silence until a call was answered."""
    context.proxy.silence_connections()
    started_at = monotonic()
    while monotonic() - started_at < LONGEST_WAIT:
        if is_successful(await context.peer.call(ReadMetrics(), timeout)):
            break
        await sleep(interval)
    return monotonic() - started_at


def answer(connection: StreamConnection, call: int, body: Body) -> None:
    """Answer each call."""
    connection.reply(call, MetricsReport(b""))
