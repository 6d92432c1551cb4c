"""Callers of an HTTP interface that may have given up before their call is handled."""

from asyncio import sleep

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPServerRequest
from tornado.ioloop import PeriodicCallback

from jaylatch_core.clock import monotonic
from jaylatch_decisions.stalls import StallRecord
from jaylatch_node.sockets import peek

CHECK_INTERVAL_MS = 100
ROUND_TRIP_BOUND = 0.1
"""Seconds. After an interruption of the link, the end of a connection follows the last bytes by a
round trip to the caller."""


def has_left(request: HTTPServerRequest) -> bool:
    """Return whether the caller has closed its connection, and so sends its call elsewhere."""
    connection = request.connection
    assert isinstance(connection, HTTP1Connection)
    stream = connection.stream
    return stream.closed() or peek(stream.socket) == b""


async def is_waiting(request: HTTPServerRequest) -> bool:
    """Return whether the caller still waits, after the time in which its end would arrive."""
    await sleep(ROUND_TRIP_BOUND)
    return not has_left(request)


class StallWatch:
    """Notices that this process stood still: what it reads next may be older than it seems.

    The end of a connection may still be on its way then, so ``has_left`` does not show that.
    """

    def __init__(self) -> None:
        self._record = StallRecord(monotonic())
        self._timer = PeriodicCallback(self._tick, CHECK_INTERVAL_MS)

    def start(self) -> None:
        """Begin; call on the running loop."""
        self._record = StallRecord(monotonic())
        self._timer.start()

    def stop(self) -> None:
        """End."""
        self._timer.stop()

    def may_read_old_calls(self) -> bool:
        """Return whether calls that are read now may have waited for the end of a stall."""
        return self._record.is_recent(monotonic())

    def _tick(self) -> None:
        self._record.note_turn(monotonic())
