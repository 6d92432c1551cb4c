"""Connecting side of the streams: one persistent connection to each address."""

import logging
import socket
from asyncio import Event, Task, create_task, sleep
from collections.abc import Callable
from contextlib import suppress

from returns.result import Failure as Err
from tornado.iostream import IOStream, StreamClosedError

from jaylatch_core.clock import monotonic
from jaylatch_core.control_peers import is_address
from jaylatch_core.events import EventLog
from jaylatch_core.exceptions import StreamClosed
from jaylatch_core.messages.frames import Body
from jaylatch_core.settings import split_address
from jaylatch_node.deadlines import time_limit
from jaylatch_node.streams.connection import BodyHandler, CallResult, StreamConnection
from jaylatch_node.streams.traffic import Traffic

CONNECT_TIMEOUT = 1.0
"""Seconds within which a connection must be made."""
RECONNECT_DELAY = 0.1
"""Seconds between the end of a connection or of an attempt to connect and the next attempt."""
IO_BUFFER_SIZE = 64 * 1024 * 1024
"""Limit in bytes of a connection's read buffer."""

_log = logging.getLogger("jaylatch.streams")

PeerHandler = Callable[["Peer"], None]


class Peer:
    """Persistent connection to the process at an address. Reconnects until it is closed."""

    def __init__(
        self, address: str, events: EventLog, traffic: Traffic, handler: BodyHandler
    ) -> None:
        self._address = address
        self._events = events
        self._traffic = traffic
        self._handler = handler
        self._connection: StreamConnection | None = None
        self._connect_handlers: list[PeerHandler] = []
        self._disconnect_handlers: list[PeerHandler] = []
        self._is_connected = Event()
        self._connected_at = 0.0
        self._task: Task[None] = create_task(self._run())

    @property
    def address(self) -> str:
        """Return the peer's ``IP:port``."""
        return self._address

    @property
    def connection(self) -> StreamConnection | None:
        """Return the open connection, or None."""
        connection = self._connection
        return connection if connection is not None and connection.is_open else None

    @property
    def connected_at(self) -> float:
        """Return when the current connection was made, in seconds of the monotonic clock."""
        return self._connected_at

    def reset(self) -> None:
        """Close a connection that seems to be dead; the peer then reconnects."""
        if self._connection is not None:
            self._connection.close()

    def on_connect(self, handler: PeerHandler) -> None:
        """Call ``handler`` each time a connection has been made."""
        self._connect_handlers.append(handler)

    def on_disconnect(self, handler: PeerHandler) -> None:
        """Call ``handler`` after each loss of the connection."""
        self._disconnect_handlers.append(handler)

    def send(self, body: Body) -> bool:
        """Send a body; returns False if it was dropped because there is no connection."""
        connection = self.connection
        if connection is None:
            return False
        connection.send(body)
        return True

    async def call(self, body: Body, timeout: float) -> CallResult:
        """Send a call and return its reply, or a failure if there is none.

        Waits for the connection first; the wait and the call each take at most ``timeout`` seconds.
        """
        with suppress(TimeoutError):
            async with time_limit(timeout):
                await self._is_connected.wait()
        connection = self.connection
        if connection is None:
            return Err(StreamClosed(f"{self._address} is not connected; the call was not sent"))
        return await connection.call(body, timeout)

    def close(self) -> None:
        """Close the connection and stop reconnecting."""
        self._task.cancel()
        if self._connection is not None:
            self._connection.close()

    async def _run(self) -> None:
        while True:
            try:
                stream = await self._connect()
                if stream is not None:
                    await self._serve(stream)
            except Exception:
                # The peer must be reached again, whatever one of its messages has caused.
                _log.exception("unexpected error on the connection to %s", self._address)
            await sleep(RECONNECT_DELAY)

    async def _connect(self) -> IOStream | None:
        if not is_address(self._address):
            return None
        raw = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        stream = IOStream(raw, max_buffer_size=IO_BUFFER_SIZE)
        try:
            async with time_limit(CONNECT_TIMEOUT):
                await stream.connect(split_address(self._address))
        except (StreamClosedError, TimeoutError, OSError):
            stream.close()
            return None
        return stream

    async def _serve(self, stream: IOStream) -> None:
        connection = StreamConnection(
            stream, self._events, self._traffic, self._handler, self._address
        )
        self._connection = connection
        self._connected_at = monotonic()
        self._is_connected.set()
        try:
            for handler in self._connect_handlers:
                handler(self)
            await connection.run()
        finally:
            connection.close()
            self._connection = None
            self._is_connected.clear()
            for handler in self._disconnect_handlers:
                handler(self)


class PeerPool:
    """One ``Peer`` for each address that this process connects to."""

    def __init__(self, events: EventLog, traffic: Traffic, handler: BodyHandler) -> None:
        self._events = events
        self._traffic = traffic
        self._handler = handler
        self._peers: dict[str, Peer] = {}

    def get(self, address: str) -> Peer:
        """Return the peer at ``address``, connecting to it if it is new."""
        peer = self._peers.get(address)
        if peer is None:
            peer = Peer(address, self._events, self._traffic, self._handler)
            self._peers[address] = peer
        return peer

    def close_except(self, addresses: set[str]) -> None:
        """Close all peers but those at ``addresses``."""
        for address in [item for item in self._peers if item not in addresses]:
            self._peers.pop(address).close()

    def close(self) -> None:
        """Close all peers."""
        self.close_except(set())
