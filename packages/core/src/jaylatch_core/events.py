"""Typed events of the time line, and the bounded log in which a process keeps its recent ones."""

from collections import deque

import msgspec

from jaylatch_core.ids import RequestId

DEFAULT_EVENT_CAPACITY = 4096
NO_REQUEST = RequestId("")


class Event(msgspec.Struct, frozen=True):
    """One event. ``at`` is wall-clock seconds, ``counter`` orders events of equal time.

    ``at`` and ``counter`` form a hybrid logical clock: they grow past every stamp that the process
    has received, so an effect never sorts before its cause.
    """

    at: float
    counter: int
    node: str
    name: str
    subject: str = ""
    request: RequestId = NO_REQUEST
    detail: str = ""


class EventLog:
    """Recent events of one process, oldest dropped first."""

    def __init__(self, node: str, capacity: int = DEFAULT_EVENT_CAPACITY) -> None:
        self._node = node
        self._events: deque[Event] = deque(maxlen=capacity)
        self._at = 0.0
        self._counter = 0

    @property
    def stamp(self) -> tuple[float, int]:
        """Return the latest hybrid logical clock value (seconds, counter)."""
        return self._at, self._counter

    def observe(self, now: float, at: float, counter: int) -> None:
        """Advance the clock past a stamp received from another process."""
        latest = max(now, at, self._at)
        if latest == self._at and latest == at:
            self._counter = max(self._counter, counter) + 1
        elif latest == at:
            self._counter = counter + 1
        elif latest == self._at:
            self._counter += 1
        else:
            self._counter = 0
        self._at = latest

    def record(
        self,
        now: float,
        name: str,
        subject: str = "",
        request: RequestId = NO_REQUEST,
        detail: str = "",
    ) -> Event:
        """Append an event at wall-clock time ``now`` and return it."""
        self.observe(now, 0.0, 0)
        event = Event(self._at, self._counter, self._node, name, subject, request, detail)
        self._events.append(event)
        return event

    def recent(self) -> tuple[Event, ...]:
        """Return the kept events, oldest first."""
        return tuple(self._events)
