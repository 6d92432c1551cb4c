"""One HTTP/1.1 connection to a direct target.

tornado's connection class frames the messages on a stream that this module owns, so that a request
is never resent without the gateway's knowledge, and bytes that belong to no request are detected.
"""

import socket
from asyncio import CancelledError, Task, create_task, ensure_future, shield
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPInputError,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError, UnsatisfiableReadError

from jaylatch_core.control_peers import is_address
from jaylatch_core.http_status import is_final, is_interim
from jaylatch_core.settings import split_address
from jaylatch_core.units import KIBIBYTE, MEBIBYTE
from jaylatch_node.deadlines import time_limit
from jaylatch_node.sockets import bound_buffers, detect_dead_peer, peek

HEADER_LIMIT = 32 * KIBIBYTE
BODY_LIMIT = 16 * MEBIBYTE
CHUNK_SIZE = 64 * KIBIBYTE
UNACKNOWLEDGED_TIMEOUT = 1.0
"""Seconds for which a request may stay unacknowledged: a lost packet is retransmitted sooner."""
PIECE_SIZE = 256 * KIBIBYTE
"""Bytes of a request's body that are written at once: a target that reads slowly costs one piece,
no second copy of the body."""
STALE_ANSWERS_LIMIT = 2
"""Answers to earlier requests that are skipped on a connection before it is closed."""

DataHandler = Callable[[bytes], Awaitable[None] | None]
"""Called for each chunk of a response's body. No more is read until what it returns is done."""

_PARAMETERS = HTTP1ConnectionParameters(
    max_header_size=HEADER_LIMIT, max_body_size=BODY_LIMIT, chunk_size=CHUNK_SIZE
)


@dataclass(frozen=True)
class OutboundRequest:
    """A request as it is sent. The connection adds the headers for framing."""

    method: str
    target: str
    headers: HTTPHeaders
    body: bytes = b""


@dataclass(frozen=True)
class ResponseHead:
    """Status line and headers of a response."""

    status: int
    reason: str
    headers: HTTPHeaders


class ExchangeFailed(Enum):
    """Cause of an incomplete exchange. Only ``NOT_CONNECTED`` proves that nothing was sent."""

    NOT_CONNECTED = "not_connected"
    CLOSED = "closed"
    MALFORMED = "malformed"
    INCOMPLETE = "incomplete"


class TargetStream(IOStream):
    """A stream that exposes whether something has arrived that was not consumed."""

    @property
    def has_unread(self) -> bool:
        """Return whether bytes, or the end, have arrived in the buffer or are yet to be read."""
        return self._read_buffer_size > 0 or peek(self.socket) is not None


class Exchange(HTTPMessageDelegate):
    """Receives one response. ``on_head`` returns whether it answers the current request.

    ``on_invalid`` is called for a head whose number is no status code.
    """

    def __init__(
        self,
        on_head: Callable[[ResponseHead], bool],
        on_data: DataHandler,
        on_complete: Callable[[], None],
        on_invalid: Callable[[], None],
    ) -> None:
        self.head: ResponseHead | None = None
        self.is_complete = False
        self.is_skipped = False
        self._on_invalid = on_invalid
        self._on_head = on_head
        self._on_data = on_data
        self._on_complete = on_complete

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Handle the head of a response; ignore an interim one."""
        assert isinstance(start_line, ResponseStartLine)
        if is_interim(start_line.code):
            return
        if not is_final(start_line.code):
            self._on_invalid()
            return
        head = ResponseHead(start_line.code, start_line.reason, headers)
        self.is_skipped = not self._on_head(head)
        if not self.is_skipped:
            self.head = head

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Handle a chunk of the body."""
        return None if self.is_skipped or self.head is None else self._on_data(chunk)

    def finish(self) -> None:
        """Mark the response as complete according to its framing."""
        self.is_complete = True
        if not self.is_skipped:
            self._on_complete()


class TargetConnection:
    """A connection that carries one request at a time."""

    def __init__(self, stream: TargetStream) -> None:
        self._stream = stream
        self._was_closed_here = False
        self._writer: Task[None] | None = None
        self._unwritten = 0
        self._has_answered = False
        self.idle_since = 0.0
        self.usable_until = float("inf")

    @classmethod
    async def connect(cls, address: str, timeout: float) -> "TargetConnection | None":
        """Return a new connection, or None if there is none within ``timeout`` seconds.

        A host name is no address: looking it up would block the event loop.
        """
        if not is_address(address):
            return None
        raw = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        bound_buffers(raw, socket.SO_SNDBUF, socket.SO_RCVBUF)
        stream = TargetStream(raw, max_buffer_size=BODY_LIMIT)
        try:
            async with time_limit(timeout):
                await stream.connect(split_address(address))
        except (StreamClosedError, TimeoutError, OSError):
            stream.close()
            return None
        except BaseException:
            stream.close()
            raise
        detect_dead_peer(raw, UNACKNOWLEDGED_TIMEOUT)
        return cls(stream)

    @property
    def stream(self) -> TargetStream:
        """Return the stream below HTTP."""
        return self._stream

    @property
    def unwritten(self) -> int:
        """Return the bytes of the request that wait until the target has read earlier ones."""
        return self._unwritten

    @property
    def has_answered(self) -> bool:
        """Return whether an answer has arrived before the one that is read now."""
        return self._has_answered

    @property
    def is_reusable(self) -> bool:
        """Return whether the connection is open and nothing unexpected has arrived on it."""
        return not self._stream.closed() and not self._stream.has_unread

    def close(self) -> None:
        """Close the connection; an exchange in progress ends as CLOSED or INCOMPLETE."""
        self._was_closed_here = True
        self._stream.close()

    def watch(self, on_close: Callable[[], None]) -> None:
        """Call ``on_close`` when an idle connection ends."""
        self._stream.set_close_callback(on_close)

    def unwatch(self) -> None:
        """Stop watching."""
        self._stream.set_close_callback(None)

    async def exchange(
        self,
        request: OutboundRequest,
        on_head: Callable[[ResponseHead], bool],
        on_data: DataHandler,
        on_unsent: Callable[[], None] = lambda: None,
    ) -> ExchangeFailed | None:
        """Send a request and read its response; return None if the response is complete.

        ``on_head`` returns False for a response that answers an earlier request; it is skipped.
        ``on_unsent`` is called if the target does not take the whole request at once.
        """
        headers = request.headers
        if request.body or request.method not in ("GET", "HEAD", "DELETE"):
            headers["Content-Length"] = str(len(request.body))
        try:
            connection = HTTP1Connection(self._stream, True, _PARAMETERS)
            sent = connection.write_headers(
                RequestStartLine(request.method, request.target, "HTTP/1.1"),
                headers,
                request.body[:PIECE_SIZE] or None,
            )
            sent.add_done_callback(lambda future: future.exception())
            if len(request.body) > PIECE_SIZE:
                self._unwritten = len(request.body) - PIECE_SIZE
                self._writer = create_task(self._write_rest(connection, sent, request.body))
            else:
                connection.finish()
            if self._unwritten or self._stream.writing():
                on_unsent()
            for _ in range(STALE_ANSWERS_LIMIT):
                exchange = Exchange(on_head, on_data, self._end_writing, self._stream.close)
                await self._read(connection, exchange)
                self._has_answered = True
                if not exchange.is_skipped:
                    return self._classify(exchange)
                if self._stream.closed():
                    return ExchangeFailed.CLOSED
        except StreamClosedError:
            return ExchangeFailed.CLOSED
        except (HTTPInputError, UnsatisfiableReadError, ValueError, UnicodeError):
            self._stream.close()
            return ExchangeFailed.MALFORMED
        except BaseException:
            self._stream.close()
            raise
        finally:
            if self._writer is not None:
                self._writer.cancel()
                self._writer = None
            self._unwritten = 0
        self._stream.close()
        return ExchangeFailed.MALFORMED

    async def _read(self, connection: HTTP1Connection, exchange: Exchange) -> None:
        """Read a response in a task of its own.

        The HTTP library logs and drops a cancellation that arrives while a chunk is handled. The
        reading ends with the stream, which the cancelled exchange closes.
        """
        reading = ensure_future(connection.read_response(exchange))
        reading.add_done_callback(lambda task: task.cancelled() or task.exception())
        try:
            await shield(reading)
        except CancelledError:
            exchange.is_skipped = True
            raise

    async def _write_rest(
        self, connection: HTTP1Connection, sent: Awaitable[None], body: bytes
    ) -> None:
        """Write the body after its first piece, each piece when the one before has been taken."""
        try:
            await sent
            for begin in range(PIECE_SIZE, len(body), PIECE_SIZE):
                piece = body[begin : begin + PIECE_SIZE]
                self._unwritten -= len(piece)
                await connection.write(piece)
            connection.finish()
        except StreamClosedError:
            # The reader of the response sees the end of the connection.
            return

    def _end_writing(self) -> None:
        """Close a connection whose target has answered without reading the whole request."""
        if self._writer is not None and not self._writer.done():
            self._stream.close()

    def _classify(self, exchange: Exchange) -> ExchangeFailed | None:
        if exchange.head is None:
            return ExchangeFailed.MALFORMED
        # A body without a length ends with its connection; after a reset, or a close by this
        # process, it is incomplete.
        headers = exchange.head.headers
        is_framed = "Content-Length" in headers or "Transfer-Encoding" in headers
        was_cut = self._was_closed_here and not is_framed
        was_reset = self._stream.closed() and self._stream.error is not None
        if not exchange.is_complete or was_reset or was_cut:
            return ExchangeFailed.INCOMPLETE
        if exchange.head.headers.get("Connection", "").lower() == "close":
            self._stream.close()
        return None
