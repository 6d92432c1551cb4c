"""Listening side of the streams."""

from collections.abc import Callable

from tornado.iostream import IOStream
from tornado.tcpserver import TCPServer

from jaylatch_core.events import EventLog
from jaylatch_node.streams.connection import BodyHandler, StreamConnection
from jaylatch_node.streams.traffic import Traffic

ConnectionHandler = Callable[[StreamConnection], None]


class StreamServer(TCPServer):
    """Accepts streams and notifies handlers of the start and end of each connection."""

    def __init__(self, events: EventLog, traffic: Traffic, handler: BodyHandler) -> None:
        super().__init__()
        self._events = events
        self._traffic = traffic
        self._handler = handler
        self._open_handlers: list[ConnectionHandler] = []
        self._close_handlers: list[ConnectionHandler] = []

    def on_open(self, handler: ConnectionHandler) -> None:
        """Call ``handler`` with each new connection."""
        self._open_handlers.append(handler)

    def on_close(self, handler: ConnectionHandler) -> None:
        """Call ``handler`` with each connection that has ended."""
        self._close_handlers.append(handler)

    async def handle_stream(self, stream: IOStream, address: tuple[str, int]) -> None:
        """Serve one accepted stream until it closes."""
        connection = StreamConnection(stream, self._events, self._traffic, self._handler)
        try:
            for handler in self._open_handlers:
                handler(connection)
            await connection.run()
        finally:
            connection.close()
            for handler in self._close_handlers:
                handler(connection)
