"""Typed timeline events, and the bounded log of recent events of a process."""

from collections import deque
from collections.abc import Callable

import msgspec

from jaylatch_core.ids import Epoch, Generation, GroupId, InstanceId, RequestId

DEFAULT_EVENT_CAPACITY = 4096
NO_REQUEST = RequestId("")
NO_GROUP = GroupId("")
NO_GENERATION = Generation(0)
NO_EPOCH = Epoch(0)


class Event(msgspec.Struct, frozen=True):
    """One event. ``at`` is wall-clock seconds, ``counter`` orders events of equal time.

    ``at`` and ``counter`` form a hybrid logical clock: they advance past every stamp that the
    process has received, so an effect never sorts before its cause. ``sequence`` counts the events
    of one incarnation of a process from 1, so that a reader can detect events no longer kept.
    """

    at: float
    counter: int
    node: str
    name: str
    subject: str = ""
    request: RequestId = NO_REQUEST
    detail: str = ""
    group: GroupId = NO_GROUP
    generation: Generation = NO_GENERATION
    epoch: Epoch = NO_EPOCH
    sequence: int = 0


class EventFilter(msgspec.Struct, frozen=True):
    """Filter for events; an empty field matches all.

    ``target`` matches events of the process beside the target and events about the target.
    ``since`` and ``until`` are wall-clock seconds (``until`` 0: no end).
    """

    request: str = ""
    group: str = ""
    target: str = ""
    node: str = ""
    since: float = 0.0
    until: float = 0.0

    def matches(self, event: Event) -> bool:
        """Return whether ``event`` passes the filter."""
        is_in_time = event.at >= self.since and (not self.until or event.at <= self.until)
        return (
            is_in_time
            and self.request in ("", event.request)
            and (not self.group or self.group in (event.group, event.subject))
            and (not self.target or self.target in (event.node, event.subject))
            and self.node in ("", event.node)
        )


EVERY_EVENT = EventFilter()


class EventGap(msgspec.Struct, frozen=True):
    """Events of ``node`` that are missing: ``dropped`` are no longer kept.

    With ``is_unreachable``, the process did not answer and its events are unknown.
    """

    node: InstanceId
    dropped: int = 0
    is_unreachable: bool = False


class EventLog:
    """Recent events of one process, oldest dropped first; ``sink`` receives each recorded event."""

    def __init__(
        self,
        node: str,
        capacity: int = DEFAULT_EVENT_CAPACITY,
        sink: Callable[[Event], None] | None = None,
    ) -> None:
        self._node = node
        self._sink = sink
        self._events: deque[Event] = deque(maxlen=capacity)
        self._at = 0.0
        self._counter = 0
        self._sequence = 0

    @property
    def stamp(self) -> tuple[float, int]:
        """Return the latest hybrid logical clock value (seconds, counter)."""
        return self._at, self._counter

    @property
    def dropped(self) -> int:
        """Return the number of events of this incarnation that are no longer kept."""
        return self._sequence - len(self._events)

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
        *,
        group: GroupId = NO_GROUP,
        generation: Generation = NO_GENERATION,
        epoch: Epoch = NO_EPOCH,
    ) -> Event:
        """Append an event at wall-clock time ``now`` and return it.

        ``name`` is the value of an ``EventName``.
        """
        self.observe(now, 0.0, 0)
        self._sequence += 1
        event = Event(
            self._at,
            self._counter,
            self._node,
            getattr(name, "value", name),
            subject,
            request,
            detail,
            group,
            generation,
            epoch,
            self._sequence,
        )
        self._events.append(event)
        if self._sink is not None:
            self._sink(event)
        return event

    def recent(self, wanted: EventFilter = EVERY_EVENT) -> tuple[Event, ...]:
        """Return the kept events that pass ``wanted``, oldest first."""
        return tuple(event for event in self._events if wanted.matches(event))


def merge_events(events: list[Event]) -> list[Event]:
    """Return the events of several processes in the order of their hybrid logical clocks."""
    return sorted(events, key=lambda event: (event.at, event.counter, event.node, event.sequence))
