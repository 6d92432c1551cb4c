"""Steps on the streams between processes."""

import socket
from asyncio import all_tasks, sleep
from time import monotonic

from behave import given, then, use_step_matcher, when
from behave.runner import Context
from returns.pipeline import is_successful
from tornado.iostream import IOStream

from jaylatch_core.events import EventLog
from jaylatch_core.messages.administration import MetricsReport, ReadMetrics
from jaylatch_core.messages.frames import Body
from jaylatch_node.observability import Metrics
from jaylatch_node.sockets import detect_dead_peer
from jaylatch_node.streams import PeerPool, StreamConnection, StreamServer, Traffic
from jaylatch_standins.ports import LOOPBACK, free_addresses
from jaylatch_standins.proxy import FaultProxy

LONGEST_WAIT_SECONDS = 15.0
CLOSING_SECONDS = 0.5
"""Longer than the pause between two attempts to connect."""

use_step_matcher("re")


@when(
    r"(?P<peers>\d+) peers of an address that refuses connections"
    r" are each closed one turn of the loop later"
)
def step_close_peers(context: Context, peers: str) -> None:
    context.left_over = context.runner.run(close_peers(int(peers)))


async def close_peers(number: int) -> int:
    """Close each peer one turn later than the one before; return how many tasks still run."""
    (address,) = free_addresses(1)
    before = all_tasks()
    for turns in range(number):
        pool = PeerPool(EventLog("client"), Traffic(Metrics()), ignore)
        pool.get(address)
        for _ in range(turns):
            await sleep(0)
        pool.close()
    await sleep(CLOSING_SECONDS)
    left_over = all_tasks() - before
    while running := all_tasks() - before:
        # Ends what the scenario found, so that it does not outlive it.
        for task in running:
            task.cancel()
        await sleep(0)
    return len(left_over)


def ignore(connection: StreamConnection, call: int, body: Body) -> None:
    """Ignore a body."""


@then(r"none of them is connecting any more")
def step_none_left(context: Context) -> None:
    assert context.left_over == 0, context.left_over


@given(r"two processes connected through a proxy")
def step_connected(context: Context) -> None:
    context.runner.run(connect(context))


@when(
    r"the current connection becomes unresponsive"
    r" and a call with a timeout of (?P<timeout>[\d.]+) s is made each (?P<interval>[\d.]+) s"
)
def step_unresponsive(context: Context, timeout: str, interval: str) -> None:
    context.took = context.runner.run(call_until_answered(context, float(timeout), float(interval)))


@then(r"a call is answered within (?P<limit>\d+) s")
def step_answered(context: Context, limit: str) -> None:
    assert context.took < float(limit), context.took


async def connect(context: Context) -> None:
    """Start a server behind a proxy, and a client that has called it once."""
    traffic = Traffic(Metrics())
    listen, proxied = free_addresses(2)
    context.server = StreamServer(EventLog("server"), traffic, answer)
    context.server.listen(int(listen.rpartition(":")[2]), LOOPBACK)
    context.proxy = FaultProxy(listen)
    context.proxy.listen(int(proxied.rpartition(":")[2]), LOOPBACK)
    peers = PeerPool(EventLog("client"), traffic, lambda connection, call, body: None)
    context.peer = peers.get(proxied)
    assert is_successful(await context.peer.call(ReadMetrics(), LONGEST_WAIT_SECONDS))


async def call_until_answered(context: Context, timeout: float, interval: float) -> float:
    """Return the seconds until a call is answered after the connection became unresponsive."""
    context.proxy.stall_connections()
    started_at = monotonic()
    while monotonic() - started_at < LONGEST_WAIT_SECONDS:
        if is_successful(await context.peer.call(ReadMetrics(), timeout)):
            break
        await sleep(interval)
    return monotonic() - started_at


def answer(connection: StreamConnection, call: int, body: Body) -> None:
    """Answer each call."""
    connection.reply(call, MetricsReport(b""))


@given(r"a process whose peer closes the first (?P<number>\d+) connections at once")
def step_closing(context: Context, number: str) -> None:
    context.runner.run(connect_to_closing(context, int(number)))


async def connect_to_closing(context: Context, number: int) -> None:
    """Start a client of a proxy that closes the first connections."""
    traffic = Traffic(Metrics())
    listen, proxied = free_addresses(2)
    context.server = StreamServer(EventLog("server"), traffic, answer)
    context.server.listen(int(listen.rpartition(":")[2]), LOOPBACK)
    context.proxy = ClosingProxy(listen, number)
    context.proxy.listen(int(proxied.rpartition(":")[2]), LOOPBACK)
    peers = PeerPool(EventLog("client"), traffic, lambda connection, call, body: None)
    context.peer = peers.get(proxied)


class ClosingProxy(FaultProxy):
    """A proxy that closes the first connections and forwards the others."""

    def __init__(self, target: str, number: int) -> None:
        super().__init__(target)
        self._remaining = number

    async def handle_stream(self, stream: IOStream, address: tuple[str, int]) -> None:
        """Close the connection or forward it."""
        if self._remaining:
            self._remaining -= 1
            stream.close()
            return
        await super().handle_stream(stream, address)


@when(r"it calls repeatedly")
def step_calls(context: Context) -> None:
    async def call() -> float:
        started_at = monotonic()
        while monotonic() - started_at < LONGEST_WAIT_SECONDS:
            if is_successful(await context.peer.call(ReadMetrics(), 0.5)):
                break
            await sleep(0.05)
        return monotonic() - started_at

    context.took = context.runner.run(call())


@when(r"dead-peer detection is set on connections that have ended")
def step_closed_connections(context: Context) -> None:
    closed = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    closed.close()
    context.fault = None
    for connection in (None, closed):
        try:
            detect_dead_peer(connection, 1.0)
        except (OSError, AttributeError) as fault:
            context.fault = fault


@then(r"nothing fails")
def step_no_fault(context: Context) -> None:
    assert context.fault is None, context.fault
