"""Rate limits for log lines of each kind; free of I/O, ``now`` is an argument.

They prevent a load far above the usual, or an error that repeats with each request, from filling
the disk or taking processor time from the requests. Suppressed lines are counted.
"""

from dataclasses import dataclass

BURST_SECONDS = 2.0
"""Largest burst of a kind: the lines that its limit allows in this many seconds."""


@dataclass
class _Bucket:
    available: float
    updated_at: float
    suppressed: int = 0


class LogBudget:
    """Token buckets, one for each kind of line. Times are seconds of the monotonic clock."""

    def __init__(self) -> None:
        self._buckets: dict[str, _Bucket] = {}

    def take(self, now: float, name: str, limit: float) -> bool:
        """Take a token for a line of kind ``name``; returns False over ``limit`` lines a second."""
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
        """Return the number of lines suppressed since the last call, by kind."""
        suppressed = {
            name: bucket.suppressed for name, bucket in self._buckets.items() if bucket.suppressed
        }
        for name in suppressed:
            self._buckets[name].suppressed = 0
        return suppressed
