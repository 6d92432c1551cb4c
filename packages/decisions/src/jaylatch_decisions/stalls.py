"""Stalls of a process, such as a suspended machine, a stopped process or a starved loop.

Answers the load of a process that wakes with calls in its sockets whose callers have given up: an
order among them may have been replaced by a later one of the same caller.
"""

STALL_TIME = 0.5
"""Seconds between two turns of the loop that count as a stall; half of the time after which a
caller gives up."""
BACKLOG_TIME = 1.0
"""Seconds after a stall within which the calls that waited for its end are read."""


class StallRecord:
    """When the loop last made a turn, and when its last stall ended."""

    def __init__(self, now: float) -> None:
        self._turned_at = now
        self._stalled_until = float("-inf")

    def note_turn(self, now: float) -> None:
        """Record a turn of the loop."""
        if now >= self._turned_at + STALL_TIME:
            self._stalled_until = now
        self._turned_at = now

    def is_recent(self, now: float) -> bool:
        """Return whether a stall has just ended, noted or not."""
        return now >= self._turned_at + STALL_TIME or now < self._stalled_until + BACKLOG_TIME
