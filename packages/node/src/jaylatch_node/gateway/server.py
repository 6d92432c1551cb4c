"""HTTP server for callers, below tornado's web framework so that bodies pass unchanged."""

import logging
import socket
import sys
from asyncio import Task, TimerHandle, create_task, get_running_loop
from collections.abc import Awaitable, Callable
from typing import Protocol

from tornado.http1connection import HTTP1Connection
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream

from jaylatch_core.clock import monotonic
from jaylatch_core.deployment import ConnectionLimits
from jaylatch_node.caller_stream import DISCARD_TIME, CallerHTTPServer
from jaylatch_node.gateway.caller import Caller
from jaylatch_node.gateway.held import HeldKind, HeldMemory, Holding
from jaylatch_node.gateway.metrics import HeldMetrics
from jaylatch_node.observability import Metrics
from jaylatch_node.planned_stop import UnreadAnswers
from jaylatch_node.sockets import bound_buffers
from jaylatch_node.targets import RefusalKind

RequestHandler = Callable[[RequestStartLine, HTTPHeaders, bytes, Caller], Awaitable[None]]

IDLE_MARGIN = 5.0
"""Seconds added to the stated idle timeout, so that a request at its very end is still served."""
SWEEP_INTERVAL = 1.0
"""Seconds between two checks of the idle connections."""
CHUNK_SIZE = 64 * 1024
"""Bytes of a body that are read at once."""
UNBOUNDED = sys.maxsize
"""Body size that the HTTP library never finds exceeded, because it is bounded here."""

_log = logging.getLogger("jaylatch.gateway")


class UnreadRefusals(Protocol):
    """Refuses requests that are not read to their end."""

    def refuse_for_memory(
        self, start_line: RequestStartLine, headers: HTTPHeaders, caller: Caller
    ) -> None:
        """Refuse a request for whose body there is no memory."""

    def refuse_body(
        self, start_line: RequestStartLine, headers: HTTPHeaders, caller: Caller
    ) -> None:
        """Refuse a request whose body is larger than the limit."""

    def refuse_head(self, kind: RefusalKind) -> bytes:
        """Return the whole answer to a request of which no head could be read."""


class GatewayServer(HTTPServerConnectionDelegate):
    """Accepts callers' connections and passes each complete request to ``handle``.

    Without ``memory`` there is no bound for the process, and nothing is refused.
    """

    def __init__(
        self,
        handle: RequestHandler,
        limits: ConnectionLimits,
        memory: HeldMemory | None = None,
        refusals: UnreadRefusals | None = None,
    ) -> None:
        self._handle = handle
        self.refusals = refusals or _NoAnswers()
        self.memory = memory or HeldMemory(0, HeldMetrics(Metrics()))
        self._is_draining = False
        self._messages: set[_InboundMessage] = set()
        self._unread = UnreadAnswers()
        self._idle: set[_InboundMessage] = set()
        self._sweep_timer: TimerHandle | None = None
        self._limits = limits
        # Without an idle timeout: the library would keep to the one of a connection's last request.
        self._http = CallerHTTPServer(self, chunk_size=CHUNK_SIZE)
        self._http.bound_heads(lambda: self._limits, self.refusals.refuse_head)

    @property
    def in_flight(self) -> int:
        """Return the number of requests whose answer has not been written to its connection."""
        return len(self._messages) + self._unread.count

    @property
    def limits(self) -> ConnectionLimits:
        """Return the limits in force."""
        return self._limits

    def apply_limits(self, limits: ConnectionLimits) -> None:
        """Use ``limits`` for all connections, from the next request on each of them."""
        self._limits = limits

    def listen(self, port: int, address: str, *, backlog: int) -> None:
        """Accept connections; the kernel holds up to ``backlog`` until then."""
        self._http.listen(port, address, backlog=backlog)
        self._sweep()

    def drain(self) -> None:
        """Close each connection after its next answer."""
        self._is_draining = True

    def stop(self) -> None:
        """Accept no more connections."""
        self._http.stop()
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the receiver of one request."""
        assert isinstance(request_conn, HTTP1Connection)
        request_conn.stream.set_nodelay(True)
        bound_buffers(request_conn.stream.socket, socket.SO_SNDBUF)
        message = _InboundMessage(self, request_conn)
        self._idle.add(message)
        return message

    def mark_active(self, message: "_InboundMessage") -> None:
        """Mark a connection as not idle: a request has begun to arrive, or it has ended."""
        self._idle.discard(message)

    def close_idle(self) -> None:
        """Close the connections on which no request has begun to arrive."""
        for message in tuple(self._idle):
            if message.is_idle:
                message.close()
                self._idle.discard(message)

    def interrupt(self) -> None:
        """Cancel the handling of all requests, which are then answered as failed."""
        for message in tuple(self._messages):
            message.interrupt()

    def is_draining(self) -> bool:
        """Return whether connections are closed after their next answer."""
        return self._is_draining

    def start_handling(self, message: "_InboundMessage") -> Task[None]:
        """Start handling a complete request."""
        self._messages.add(message)
        return create_task(self._run(message))

    def _sweep(self) -> None:
        """Close the connections that have been idle for too long.

        Forget those that have been closed, of which the HTTP library tells nobody.
        """
        expired_at = monotonic() - self._limits.idle_timeout - IDLE_MARGIN
        for message in self._idle:
            if message.is_idle and message.idle_since < expired_at:
                message.close()
        self._idle = {message for message in self._idle if not message.is_closed}
        self._unread.forget_read()
        self._sweep_timer = get_running_loop().call_later(SWEEP_INTERVAL, self._sweep)

    async def _run(self, message: "_InboundMessage") -> None:
        try:
            if message.is_refused:
                self.refusals.refuse_for_memory(message.start_line, message.headers, message.caller)
            else:
                body = message.take_body()
                await self._handle(message.start_line, message.headers, body, message.caller)
        except Exception:
            # The caller must not wait for an answer that will not come.
            _log.exception("a request was not answered; its connection is closed")
            message.caller.abort()
        finally:
            message.release_body()
            self._messages.discard(message)
            self._unread.add(message.stream)


class _NoAnswers:
    """Closes the connection of a request that is refused before it is read."""

    def refuse_for_memory(
        self, start_line: RequestStartLine, headers: HTTPHeaders, caller: Caller
    ) -> None:
        """Refuse a request for whose body there is no memory."""
        caller.abort()

    def refuse_body(
        self, start_line: RequestStartLine, headers: HTTPHeaders, caller: Caller
    ) -> None:
        """Refuse a request whose body is larger than the limit."""
        caller.abort()

    def refuse_head(self, kind: RefusalKind) -> bytes:
        """Return no answer."""
        return b""


class _InboundMessage(HTTPMessageDelegate):
    """Receives one request; its handling is cancelled when the caller disconnects."""

    start_line: RequestStartLine
    headers: HTTPHeaders

    def __init__(self, server: GatewayServer, connection: HTTP1Connection) -> None:
        self._server = server
        self._connection = connection
        self.idle_since = monotonic()
        self._chunks: list[bytes] = []
        self._held_body: Holding | None = None
        self._body_limit = 0
        self._body_size = 0
        self._task: Task[None] | None = None
        self.is_refused = False
        self.caller = Caller(connection, server.is_draining, server.memory, self._drop)

    @property
    def is_closed(self) -> bool:
        """Return whether the connection has been closed."""
        return self._connection.stream.closed()

    @property
    def stream(self) -> IOStream:
        """Return the stream below HTTP."""
        return self._connection.stream

    @property
    def is_idle(self) -> bool:
        """Return whether nothing has been read that the HTTP library has yet to pass on."""
        return self._connection.stream.reading()

    def take_body(self) -> bytes:
        """Return the complete body, whose chunks are dropped."""
        body = b"".join(self._chunks)
        self._chunks.clear()
        return body

    def release_body(self) -> None:
        """Hold the body no longer."""
        self._chunks.clear()
        if self._held_body is not None:
            self._held_body.release()
            self._held_body = None

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Handle the head of the request."""
        assert isinstance(start_line, RequestStartLine)
        self.start_line = start_line
        self.headers = headers
        self.caller.expects_body = start_line.method != "HEAD"
        self._connection.set_max_body_size(UNBOUNDED)
        self._server.mark_active(self)
        self._body_limit = self._server.limits.body_bytes
        length = headers.get("Content-Length", "")
        if length.isdecimal() and int(length) > self._body_limit:
            self._refuse_body()

    def data_received(self, chunk: bytes) -> None:
        """Handle a chunk of the body, which is not kept if there is no memory for it."""
        if self.is_refused:
            return
        self._body_size += len(chunk)
        if self._body_size > self._body_limit:
            self._refuse_body()
            return
        self._chunks.append(chunk)
        if self._held_body is None:
            self._held_body = self._server.memory.hold(HeldKind.BODY, self._refuse)
        self._held_body.add(len(chunk))
        if not self._server.memory.has_room_for_request():
            self._refuse()

    def finish(self) -> None:
        """Handle the request, which is now complete, unless its connection has been closed."""
        if self.caller.has_finished:
            self.caller.stop_reading()
            return
        if self.is_closed:
            # The HTTP library reports the end of a connection only until the body is complete.
            self.release_body()
            return
        if self._held_body is not None:
            self._held_body.complete()
        if not self._server.memory.has_room_for_request():
            self._refuse()
        self._connection.set_close_callback(self.on_connection_close)
        self._task = self._server.start_handling(self)

    def close(self) -> None:
        """Close the connection without reading further."""
        self._connection.close()

    def on_connection_close(self) -> None:
        """Stop work for a caller that has disconnected."""
        self.caller.disconnect()
        self._server.mark_active(self)
        self.release_body()
        self.interrupt()

    def interrupt(self) -> None:
        """Cancel the handling of the request."""
        if self._task is not None:
            self._task.cancel()

    def _refuse_body(self) -> None:
        """Refuse the request at once, and drop the rest of its body for a while."""
        self.is_refused = True
        self.release_body()
        # The HTTP library would ask for the body after the answer.
        self.headers.pop("Expect", None)
        self.caller.close_after_answer()
        self._server.refusals.refuse_body(self.start_line, self.headers, self.caller)
        get_running_loop().call_later(DISCARD_TIME, self.caller.stop_reading)

    def _refuse(self) -> None:
        """Drop the body; the request is refused once the caller has sent the rest of it."""
        self.is_refused = True
        self.release_body()

    def _drop(self) -> None:
        """Stop the work for a caller that does not read, and close its connection."""
        self.interrupt()
        self.close()
