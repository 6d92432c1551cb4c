"""Requests of callers that an entry has not answered yet, for a planned stop."""

from typing import Protocol

from tornado.iostream import IOStream

from jaylatch_node.planned_stop import PlannedStop, UnreadAnswers


class OpenRequest(Protocol):
    """A request whose answer has not been written."""

    def interrupt(self) -> None:
        """Answer at once; what the target does is not known."""


class OpenRequests:
    """The open requests of an entry, and whether it takes new ones."""

    def __init__(self) -> None:
        self._requests: set[OpenRequest] = set()
        self._unread = UnreadAnswers()
        self.is_ready = True
        self.is_admitting = True

    @property
    def count(self) -> int:
        """Return the requests without an answer, and the answers that callers have yet to read."""
        return len(self._requests) + self._unread.count

    def add(self, request: OpenRequest) -> None:
        """Record a request that has begun to arrive."""
        self._requests.add(request)

    def discard(self, request: OpenRequest, stream: IOStream) -> None:
        """Record that a request has been answered or that its caller has left."""
        self._requests.discard(request)
        self._unread.add(stream)

    async def drain(self, stop: PlannedStop) -> None:
        """Refuse new requests; wait for the open ones, and interrupt those left in the end."""
        self.is_ready = self.is_admitting = False
        await stop.wait_while(lambda: bool(self.count))
        for request in tuple(self._requests):
            request.interrupt()
        await stop.flush()
