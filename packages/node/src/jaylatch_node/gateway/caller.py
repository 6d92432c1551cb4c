"""The caller's side of one request: the answer, and whether the caller is still connected."""

from asyncio import Future
from collections.abc import Callable
from enum import Enum

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders, ResponseStartLine
from tornado.iostream import StreamClosedError

from jaylatch_core.clock import monotonic
from jaylatch_core.units import KIBIBYTE
from jaylatch_node.gateway.held import HeldKind, HeldMemory, Holding
from jaylatch_node.sockets import reset_on_close

LARGE_BODY = 64 * KIBIBYTE
"""Bytes from which a body is written apart from its head, which would copy it."""


class AnswerState(Enum):
    """How much of its one answer a caller has been sent."""

    NONE = "none"
    BEGUN = "begun"
    WHOLE = "whole"


class AnswerOrderError(RuntimeError):
    """A part of an answer was to be written where it would corrupt what the caller has."""

    def __init__(self, expected: AnswerState, state: AnswerState) -> None:
        super().__init__(f"the caller's answer is {state.value}, not {expected.value}")


class Caller:
    """Writes one answer, complete or as a stream; writes nothing after a disconnect.

    Each write raises AnswerOrderError if it does not fit what was written before.
    ``expects_body`` is False for a HEAD request, whose answer has no body.
    """

    def __init__(
        self,
        connection: HTTP1Connection,
        must_close: Callable[[], bool],
        memory: HeldMemory,
        on_drop: Callable[[], None],
    ) -> None:
        self.memory = memory
        self._connection = connection
        self._must_close = must_close
        self._on_drop = on_drop
        self._unsent: Holding | None = None
        self.expects_body = True
        self._is_sending = False
        self._state = AnswerState.NONE
        self.started_at = 0.0
        self.is_disconnected = False

    @property
    def has_started(self) -> bool:
        """Return whether the caller has been sent a part of its answer, or all of it."""
        return self._state is not AnswerState.NONE

    @property
    def has_finished(self) -> bool:
        """Return whether the caller has been sent its whole answer."""
        return self._state is AnswerState.WHOLE

    def send_answer(self, status: int, reason: str, headers: HTTPHeaders, body: bytes) -> None:
        """Send a complete answer."""
        if self.is_disconnected:
            return
        headers["Content-Length"] = str(len(body))
        self._start(status, reason, headers, body if self.expects_body else b"")
        self._finish()

    def close_after_answer(self) -> None:
        """Close the connection after the answer, which is sent before the whole request is read.

        It stays open until ``stop_reading``: a close with unread bytes resets it.
        """
        self._is_sending = True

    def stop_reading(self) -> None:
        """End the connection on which the rest of a refused request was read."""
        if self._is_sending and not self.is_disconnected:
            self._is_sending = False
            self._connection.finish()

    def start_stream(self, status: int, reason: str, headers: HTTPHeaders, data: bytes) -> None:
        """Send the head of a stream and its first events."""
        if not self.is_disconnected:
            self._start(status, reason, headers, data)

    def send(self, data: bytes) -> None:
        """Send further events."""
        if not self.is_disconnected:
            self._require(AnswerState.BEGUN)
            self._ignore_disconnect(self._connection.write(data))
            self._hold_unsent()

    def wait_until_read(self) -> "Future[None] | None":
        """Return what resolves once the caller has read enough, or None if it is not behind."""
        return self._unsent.wait_until_read() if self._unsent is not None else None

    def finish(self) -> None:
        """End a stream that is complete."""
        if not self.is_disconnected:
            self._require(AnswerState.BEGUN)
            self._finish()

    def abort(self) -> None:
        """Close the connection, so that a partial answer does not look complete.

        After a complete answer, whose last bytes may not have been sent yet, do nothing.
        """
        if not self.has_finished:
            self.disconnect()
            if self.has_started and not self._connection._chunking_output:  # noqa: SLF001
                # Without chunks the regular end of the connection would look like that of the body.
                reset_on_close(self._connection.stream.socket)
            self._connection.close()

    def disconnect(self) -> None:
        """Write nothing more, and hold nothing more."""
        self.is_disconnected = True
        if self._unsent is not None:
            self._unsent.release()

    def drop(self) -> None:
        """Reset the connection of a caller that does not read, and stop the work for it."""
        self.is_disconnected = True
        reset_on_close(self._connection.stream.socket)
        self._on_drop()

    def _require(self, expected: AnswerState) -> None:
        if self._state is not expected:
            raise AnswerOrderError(expected, self._state)

    def _finish(self) -> None:
        if not self._is_sending:
            self._connection.finish()
        self._state = AnswerState.WHOLE
        if self._unsent is not None:
            self._unsent.end()

    def _hold_unsent(self) -> None:
        if self._unsent is None:
            self._unsent = self.memory.hold(HeldKind.UNSENT_ANSWER, self.drop)
        self._unsent.watch(self._connection.stream)

    def _start(self, status: int, reason: str, headers: HTTPHeaders, data: bytes) -> None:
        self._require(AnswerState.NONE)
        self._state = AnswerState.BEGUN
        self.started_at = monotonic()
        if self._is_sending or self._must_close():
            headers["Connection"] = "close"
            self._connection._disconnect_on_finish = True  # noqa: SLF001
        start_line = ResponseStartLine("HTTP/1.1", status, reason)
        is_large = len(data) > LARGE_BODY
        first = None if is_large else data or None
        self._ignore_disconnect(self._connection.write_headers(start_line, headers, first))
        if is_large:
            self._ignore_disconnect(self._connection.write(data))
        self._hold_unsent()

    def _ignore_disconnect(self, written: object) -> None:
        """Ignore failed writes to a disconnected caller: the close of its connection is handled."""
        add_done_callback = getattr(written, "add_done_callback", None)
        if add_done_callback is not None:
            add_done_callback(_take_exception)


def _take_exception(future: object) -> None:
    exception = getattr(future, "exception", lambda: None)()
    if exception is not None and not isinstance(exception, StreamClosedError):
        raise exception
