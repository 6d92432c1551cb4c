"""How many lines of each kind a process logs; free of I/O, ``now`` is an argument.

Answers a load far above the usual, and an error that repeats with each request: neither may fill
the disk or take the processor from the requests. What is left out is counted.
"""

from dataclasses import dataclass

BURST_SECONDS = 2.0
"""Seconds of a kind's limit that may be written at once."""


@dataclass
class _Bucket:
    available: float
    updated_at: float
    suppressed: int = 0


class LogBudget:
    """A token bucket for each kind of line. Times are seconds of the monotonic clock."""

    def __init__(self) -> None:
        self._buckets: dict[str, _Bucket] = {}

    def take(self, now: float, name: str, limit: float) -> bool:
        """Take one line of kind ``name``; returns False beyond ``limit`` lines a second."""
        bucket = self._buckets.get(name)
        if bucket is None:
            bucket = self._buckets[name] = _Bucket(limit * BURST_SECONDS, now)
        bucket.available = min(
            bucket.available + (now - bucket.updated_at) * limit, limit * BURST_SECONDS
        )
        bucket.updated_at = now
        if bucket.available < 1.0:
            bucket.suppressed += 1
            return False
        bucket.available -= 1.0
        return True

    def take_suppressed(self) -> dict[str, int]:
        """Return the lines left out since the last call, by kind."""
        suppressed = {
            name: bucket.suppressed for name, bucket in self._buckets.items() if bucket.suppressed
        }
        for name in suppressed:
            self._buckets[name].suppressed = 0
        return suppressed
