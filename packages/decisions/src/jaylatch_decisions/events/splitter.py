"""Splits a byte stream of server-sent events into complete events.

A target may end in the middle of an event. Only complete events are forwarded, so that the stream
can resume at another target after the last one.
"""

END_OF_EVENT = b"\n\n"
ID_FIELD = b"id:"


class EventSplitter:
    """Buffers the part of the stream after the last complete event.

    Events up to ``last_id`` are dropped, so that a resumed stream contains no duplicates.
    """

    def __init__(self, last_id: int = -1) -> None:
        self._pending = b""
        self._last_id = last_id
        self._has_gap = False

    @property
    def last_id(self) -> int:
        """Return the id of the last complete event, or -1 if there was none."""
        return self._last_id

    @property
    def has_partial(self) -> bool:
        """Return whether the buffer holds an incomplete event."""
        return bool(self._pending)

    @property
    def has_gap(self) -> bool:
        """Return whether an event id was skipped since the last ``restart``."""
        return self._has_gap

    def restart(self) -> None:
        """Begin the stream of another target, which continues after the last complete event."""
        self._pending = b""
        self._has_gap = False

    def feed(self, data: bytes) -> bytes:
        """Return the events that ``data`` completes, unchanged.

        After a gap in the event ids, events with an id are dropped until ``restart``.
        """
        self._pending += data
        end = self._pending.rfind(END_OF_EVENT)
        if end < 0:
            return b""
        complete = self._pending[: end + len(END_OF_EVENT)]
        self._pending = self._pending[end + len(END_OF_EVENT) :]
        return b"".join(self._filter_event(event) for event in _split(complete))

    def _filter_event(self, event: bytes) -> bytes:
        """Return ``event``, or no bytes if it is a duplicate or follows a gap."""
        number = _read_id(event)
        if number is None:
            return event
        if number <= self._last_id:
            return b""
        if self._has_gap or 0 <= self._last_id < number - 1:
            self._has_gap = True
            return b""
        self._last_id = number
        return event


def _split(complete: bytes) -> list[bytes]:
    return [part + END_OF_EVENT for part in complete.split(END_OF_EVENT)[:-1]]


def _read_id(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            value = line[len(ID_FIELD) :].strip()
            return int(value) if value.isdigit() else None
    return None
