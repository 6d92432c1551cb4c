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

    Events up to ``last_id`` are dropped, so that a resumed stream contains no duplicates. An event
    without an id can't be recognised as one, so a stream goes on elsewhere only behind one with an
    id, and begins there with the next one. Comments may be anywhere.
    """

    def __init__(self, last_id: int = -1) -> None:
        self._pending = bytearray()
        self._last_id = last_id
        self._is_broken = False
        self._has_passed = False
        self._is_resumed = False
        self._has_continued = False
        self._is_resumable = True

    @property
    def is_resumable(self) -> bool:
        """Return whether another target can go on behind the last event that was passed on."""
        return self._is_resumable

    @property
    def lacks_continuation(self) -> bool:
        """Return whether the present target has not gone on with the stream of an earlier one."""
        return self._is_resumed and not self._has_continued

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
        self._is_resumed = self._has_passed
        self._has_continued = False

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
        passed = b"".join(self._filter_event(event) for event in _split(complete))
        self._has_passed |= bool(passed)
        return passed

    def _filter_event(self, event: bytes) -> bytes:
        """Return ``event``, or no bytes if it is a duplicate or does not continue the stream."""
        number = _read_id(event)
        if number is None:
            return self._filter_unnumbered(event)
        if number <= self._last_id:
            return b""
        if self._is_broken or 0 <= self._last_id < number - 1:
            self._is_broken = True
            return b""
        self._last_id = number
        self._has_continued = self._is_resumable = True
        return event

    def _filter_unnumbered(self, event: bytes) -> bytes:
        if _is_comment(event):
            return event
        if self.lacks_continuation:
            self._is_broken = True
            return b""
        self._is_resumable = False
        return event


def _split(complete: bytes) -> list[bytes]:
    return [part + END_OF_EVENT for part in complete.split(END_OF_EVENT)[:-1]]


def _read_id(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            value = line[len(ID_FIELD) :].strip()
            return int(value) if value.isdigit() and len(value) <= MAX_ID_DIGITS else None
    return None


def _is_comment(event: bytes) -> bool:
    return all(line.startswith(b":") for line in event.split(b"\n") if line)
