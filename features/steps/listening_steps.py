"""Steps that open many connections to a server that is too busy to accept them."""

import select
import socket
from time import monotonic

from behave import given, then, use_step_matcher
from behave.runner import Context
from tornado.httpserver import HTTPServer

from jaylatch_core.deployment import ConnectionLimits
from jaylatch_core.events import EventLog
from jaylatch_core.settings import split_address
from jaylatch_node.gateway.server import GatewayServer
from jaylatch_node.listening import listen_at
from jaylatch_node.observability import Metrics
from jaylatch_node.streams import StreamServer, Traffic
from jaylatch_standins.ports import free_addresses

use_step_matcher("parse")

SERVERS = {
    "stream server": lambda: StreamServer(
        EventLog("test"), Traffic(Metrics()), lambda connection, call, body: None
    ),
    "entry server": lambda: HTTPServer(lambda request: None),
    "gateway server": lambda: GatewayServer(lambda *request: None, ConnectionLimits()),
}


@given("a {server} whose process is busy")
def step_busy_server(context: Context, server: str) -> None:
    context.make_server = SERVERS[server]


@then("{number:d} connections opened at once are established within {limit:d} ms")
def step_connect(context: Context, number: int, limit: int) -> None:
    async def listen_and_connect() -> int:
        address = free_addresses(1)[0]
        server = context.make_server()
        listen_at(server, address, "stream")
        try:
            # This blocks the loop, so that the server accepts nothing meanwhile.
            return _count_established(split_address(address), number, limit / 1000)
        finally:
            server.stop()

    established = context.runner.run(listen_and_connect())
    assert established == number, f"{established} of {number} connections were established"


def _count_established(address: tuple[str, int], number: int, timeout: float) -> int:
    """Open ``number`` connections at once; return how many are established in ``timeout`` s."""
    sockets = [socket.socket(socket.AF_INET, socket.SOCK_STREAM) for _ in range(number)]
    poll = select.poll()
    established: set[int] = set()
    try:
        for item in sockets:
            item.setblocking(False)
            item.connect_ex(address)
            poll.register(item, select.POLLOUT)
        deadline = monotonic() + timeout
        while len(established) < number and (left := deadline - monotonic()) > 0:
            for descriptor, _ in poll.poll(left * 1000):
                established.add(descriptor)
                poll.unregister(descriptor)
        errors = [item.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) for item in sockets]
        assert not any(errors), f"connections failed with errors {set(errors)}"
        return len(established)
    finally:
        for item in sockets:
            item.close()
