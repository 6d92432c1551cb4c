"""Splits a byte stream of server-sent events into complete events.

A target may end in the middle of an event. Only complete events are forwarded, so that the stream
can resume at another target after the last one.
"""

from jaylatch_core.units import KIBIBYTE

MAX_EVENT_SIZE = 256 * KIBIBYTE
"""Bytes without the end of an event after which a stream is given up: events hold a few tokens."""
MAX_ID_DIGITS = 18
"""Digits of an event's id that is read as a number: any such number fits into a message."""
END_OF_EVENT = b"\n\n"
ID_FIELD = b"id:"


class EventSplitter:
    """Buffers the part of the stream after the last complete event.

    Events up to ``last_id`` are dropped, so that a resumed stream contains no duplicates.
    """

    def __init__(self, last_id: int = -1) -> None:
        self._pending = bytearray()
        self._last_id = last_id
        self._is_broken = False

    @property
    def last_id(self) -> int:
        """Return the id of the last complete event, or -1 if there was none."""
        return self._last_id

    @property
    def has_partial(self) -> bool:
        """Return whether the buffer holds an incomplete event."""
        return bool(self._pending)

    @property
    def pending_size(self) -> int:
        """Return the size of the incomplete event in bytes."""
        return len(self._pending)

    @property
    def is_broken(self) -> bool:
        """Return whether an event id was skipped, or an event is too large, since ``restart``."""
        return self._is_broken

    def restart(self) -> None:
        """Begin the stream of another target, which continues after the last complete event."""
        self._pending.clear()
        self._is_broken = False

    def feed(self, data: bytes) -> bytes:
        """Return the events that ``data`` completes, unchanged.

        After a gap in the event ids, events with an id are dropped until ``restart``.
        """
        # The end of an event may be divided between two pieces.
        searched = max(len(self._pending) - len(END_OF_EVENT) + 1, 0)
        self._pending += data
        end = self._pending.rfind(END_OF_EVENT, searched)
        if end < 0:
            if len(self._pending) > MAX_EVENT_SIZE:
                self._is_broken = True
                self._pending.clear()
            return b""
        complete = bytes(self._pending[: end + len(END_OF_EVENT)])
        del self._pending[: end + len(END_OF_EVENT)]
        return b"".join(self._filter_event(event) for event in _split(complete))

    def _filter_event(self, event: bytes) -> bytes:
        """Return ``event``, or no bytes if it is a duplicate or follows a gap."""
        number = _read_id(event)
        if number is None:
            return event
        if number <= self._last_id:
            return b""
        if self._is_broken or 0 <= self._last_id < number - 1:
            self._is_broken = True
            return b""
        self._last_id = number
        return event


def _split(complete: bytes) -> list[bytes]:
    return [part + END_OF_EVENT for part in complete.split(END_OF_EVENT)[:-1]]


def _read_id(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            value = line[len(ID_FIELD) :].strip()
            return int(value) if value.isdigit() and len(value) <= MAX_ID_DIGITS else None
    return None
