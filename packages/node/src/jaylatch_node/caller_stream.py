"""Streams of callers' connections, which bound the head of each request."""

import socket
from collections.abc import Awaitable, Callable
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders
from tornado.iostream import IOStream, StreamClosedError

from jaylatch_core.deployment import ConnectionLimits
from jaylatch_node.deadlines import time_limit
from jaylatch_node.targets import RefusalKind

DISCARD_TIME = 1.0
"""Seconds for which what a refused caller still sends is read and discarded before its connection
is closed. A close with unread bytes resets the connection, and the caller may lose the answer."""
DISCARD_SIZE = 64 * 1024
"""Bytes that are read and discarded at once."""
FIRST_BYTE = rb"(?s)(?=.)"
"""Matches as soon as there is a byte, and consumes none."""

HeadRefusal = Callable[[RefusalKind], bytes]
"""Returns the whole answer to a request whose head is refused."""


class CallerStream(IOStream):
    """Reads each head of a request under the limits in force when its first byte arrives.

    The HTTP library fixes the limit when it begins to wait for the head, which on a kept connection
    is at the end of the request before, and closes the connection without an answer above it.
    """

    def __init__(
        self,
        connection: socket.socket,
        limits: Callable[[], ConnectionLimits],
        refuse_head: HeadRefusal,
    ) -> None:
        super().__init__(connection)
        self._limits = limits
        self._refuse_head = refuse_head

    def read_until_regex(self, regex: bytes, max_bytes: int | None = None) -> Awaitable[bytes]:
        """Read the head of a request, which is all that the HTTP library reads in this way."""
        return self._read_head()

    async def _read_head(self) -> bytes:
        await super().read_until_regex(FIRST_BYTE)
        limits = self._limits()
        reading = super().read_until_regex(_head_within(limits.header_bytes))
        try:
            async with time_limit(limits.header_timeout):
                head = await reading
        except TimeoutError:
            await self.write(self._refuse_head(RefusalKind.HEAD_TIMED_OUT))
            self.close()
            raise StreamClosedError from None
        if len(head) > limits.header_bytes:
            await self.write(self._refuse_head(RefusalKind.HEAD_TOO_LARGE))
            await self._discard()
            raise StreamClosedError
        return head

    async def _discard(self) -> None:
        """Discard what still arrives, and close the connection."""
        try:
            async with time_limit(DISCARD_TIME):
                while True:
                    await self.read_bytes(DISCARD_SIZE, partial=True)
        except (TimeoutError, StreamClosedError):
            self.close()


class CallerHTTPServer(HTTPServer):
    """An HTTP server whose connections are read by ``CallerStream``."""

    def bound_heads(self, limits: Callable[[], ConnectionLimits], refuse_head: HeadRefusal) -> None:
        """Set the source of the limits, and the refusal of a head beyond them; call this first."""
        self._limits = limits
        self._refuse_head = refuse_head

    def handle_stream(self, stream: IOStream, address: tuple[Any, ...]) -> None:
        """Serve a connection that was accepted."""
        caller = CallerStream(stream.socket, self._limits, self._refuse_head)
        super().handle_stream(caller, address)


def closing_answer(status: int, reason: str, headers: HTTPHeaders, body: bytes) -> bytes:
    """Return the bytes of an answer after which the connection is closed."""
    headers["Content-Length"] = str(len(body))
    headers["Connection"] = "close"
    lines = [f"HTTP/1.1 {status} {reason}", *(f"{k}: {v}" for k, v in headers.get_all())]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def _head_within(limit: int) -> bytes:
    """Return the pattern of a head, or of one byte more than ``limit`` where no head ends."""
    return rb"(?s)\A(?:.{0,%d}?\r?\n\r?\n|.{%d})" % (limit, limit + 1)
