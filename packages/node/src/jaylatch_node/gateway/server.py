"""The HTTP server that faces callers, below tornado's web framework: bodies pass unchanged."""

from asyncio import Task, create_task
from collections.abc import Awaitable, Callable

from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)

from jaylatch_core.deployment import ConnectionLimits
from jaylatch_node.gateway.caller import Caller

RequestHandler = Callable[[RequestStartLine, HTTPHeaders, bytes, Caller], Awaitable[None]]

IDLE_MARGIN = 5.0
"""Seconds beyond the stated idle time-out, so that a caller that uses the last of it is served."""
CHUNK_SIZE = 64 * 1024


class GatewayServer(HTTPServerConnectionDelegate):
    """Accepts callers' connections and hands each whole request on."""

    def __init__(self, handle: RequestHandler, limits: ConnectionLimits) -> None:
        self._handle = handle
        self._is_draining = False
        self._messages: set[_InboundMessage] = set()
        self._waiting: set[_InboundMessage] = set()
        self._http = HTTPServer(
            self,
            max_body_size=limits.body_bytes,
            max_header_size=limits.header_bytes,
            idle_connection_timeout=limits.idle_timeout + IDLE_MARGIN,
            chunk_size=CHUNK_SIZE,
        )

    @property
    def in_flight(self) -> int:
        """Return the number of requests that have no whole answer yet."""
        return len(self._messages)

    def listen(self, port: int, address: str) -> None:
        """Accept connections."""
        self._http.listen(port, address)

    def drain(self) -> None:
        """Let each connection end with its next answer."""
        self._is_draining = True

    def stop(self) -> None:
        """Accept no more connections."""
        self._http.stop()

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the receiver of one request."""
        assert isinstance(request_conn, HTTP1Connection)
        request_conn.stream.set_nodelay(True)
        message = _InboundMessage(self, request_conn)
        self._waiting.add(message)
        return message

    def end_waiting(self, message: "_InboundMessage") -> None:
        """Note that a request has begun to arrive on a connection, or that it has ended."""
        self._waiting.discard(message)

    def close_idle(self) -> None:
        """Close the connections on which no request has begun to arrive."""
        for message in tuple(self._waiting):
            message.close()
        self._waiting.clear()

    def is_draining(self) -> bool:
        """Return whether connections end with their next answer."""
        return self._is_draining

    def begin(self, message: "_InboundMessage") -> Task[None]:
        """Start to handle a whole request."""
        self._messages.add(message)
        return create_task(self._run(message))

    async def _run(self, message: "_InboundMessage") -> None:
        try:
            await self._handle(message.start_line, message.headers, message.body, message.caller)
        finally:
            self._messages.discard(message)


class _InboundMessage(HTTPMessageDelegate):
    """One request as it arrives; its handling ends when the caller goes."""

    start_line: RequestStartLine
    headers: HTTPHeaders

    def __init__(self, server: GatewayServer, connection: HTTP1Connection) -> None:
        self._server = server
        self._connection = connection
        self._pieces: list[bytes] = []
        self._task: Task[None] | None = None
        self.caller = Caller(connection, server.is_draining)

    @property
    def body(self) -> bytes:
        """Return the whole body."""
        return b"".join(self._pieces)

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Take the head."""
        assert isinstance(start_line, RequestStartLine)
        self.start_line = start_line
        self.headers = headers
        self._server.end_waiting(self)

    def data_received(self, chunk: bytes) -> None:
        """Take a piece of the body."""
        self._pieces.append(chunk)

    def finish(self) -> None:
        """Handle the request, which is whole now."""
        self._connection.set_close_callback(self.on_connection_close)
        self._task = self._server.begin(self)

    def close(self) -> None:
        """Close the connection unread."""
        self._connection.close()

    def on_connection_close(self) -> None:
        """Stop work for a caller that has gone."""
        self.caller.is_gone = True
        self._server.end_waiting(self)
        if self._task is not None:
            self._task.cancel()
