"""How many lines of each kind a process logs; free of I/O, ``now`` is an argument.

Answers a load far above the usual, and an error that repeats with each request: neither may fill
the disk or take the processor from the requests. What is left out is counted.
"""

from dataclasses import dataclass

BURST_SECONDS = 2.0
"""Seconds of a kind's limit that may be written at once."""


@dataclass
class _Kind:
    saved: float
    at: float
    suppressed: int = 0


class LogBudget:
    """A token bucket for each kind of line. Times are seconds of the monotonic clock."""

    def __init__(self) -> None:
        self._kinds: dict[str, _Kind] = {}

    def take(self, now: float, name: str, limit: float) -> bool:
        """Take one line of kind ``name``; returns False beyond ``limit`` lines a second."""
        kind = self._kinds.get(name)
        if kind is None:
            kind = self._kinds[name] = _Kind(limit * BURST_SECONDS, now)
        kind.saved = min(kind.saved + (now - kind.at) * limit, limit * BURST_SECONDS)
        kind.at = now
        if kind.saved < 1.0:
            kind.suppressed += 1
            return False
        kind.saved -= 1.0
        return True

    def take_suppressed(self) -> dict[str, int]:
        """Return the lines left out since the last call, by kind."""
        left_out = {name: kind.suppressed for name, kind in self._kinds.items() if kind.suppressed}
        for name in left_out:
            self._kinds[name].suppressed = 0
        return left_out
