"""Planned stops of the roles that answer callers: how long they wait, and for what."""

from asyncio import sleep
from collections.abc import Callable

from tornado.iostream import IOStream

from jaylatch_core.clock import monotonic

END_MARGIN = 0.4
"""Seconds before the end of the grace period at which what still runs is interrupted."""
POLL_INTERVAL = 0.05
"""Seconds between two checks whether work is left."""


class PlannedStop:
    """The time that a role has for a stop that begins at ``now``; ``grace`` is in seconds."""

    def __init__(self, now: float, grace: float) -> None:
        self._until = now + grace - END_MARGIN

    async def wait_while(self, has_work: Callable[[], bool]) -> None:
        """Wait until no work is left or the time is up."""
        while has_work() and monotonic() < self._until:
            await sleep(POLL_INTERVAL)

    async def flush(self) -> None:
        """Let the last messages leave with the next turns of the loop."""
        await sleep(POLL_INTERVAL)


class UnreadAnswers:
    """Connections with a written answer of which a part waits until the caller has read more."""

    def __init__(self) -> None:
        self._streams: set[IOStream] = set()

    @property
    def count(self) -> int:
        """Return the number of these connections."""
        self.forget_read()
        return len(self._streams)

    def add(self, stream: IOStream) -> None:
        """Record a connection to which an answer has been written."""
        if stream.writing() and not stream.closed():
            self.forget_read()
            self._streams.add(stream)

    def forget_read(self) -> None:
        """Forget the connections whose answers have been read, or that are closed."""
        self._streams = {item for item in self._streams if item.writing() and not item.closed()}
