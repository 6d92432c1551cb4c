"""How many loads from the weight store may begin.

Answers the store's limit: a burst of repairs begins no more loads in a window than the store bears.
"""

BURST = 3.0
"""Loads that may begin at once; the store's own slack on top of its rate."""
FIRST_START_BURST = 1000.0
"""Loads that may begin at once while no group has ever served: no request waits for others."""
RATE_PART = 0.9
"""Part of the store's rate that is used, for the difference of two clocks."""


class LoadBudget:
    """A token bucket. Times are seconds of the monotonic clock."""

    def __init__(self, now: float, is_first_start: bool) -> None:
        self._saved = FIRST_START_BURST if is_first_start else BURST
        self._at = now

    def take(self, now: float, rate: float) -> bool:
        """Take one load at ``rate`` loads a second (0: no limit); returns False if none is left."""
        if rate <= 0:
            return True
        if self._saved < BURST:
            self._saved = min(self._saved + (now - self._at) * rate * RATE_PART, BURST)
        self._at = now
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True

    def end_first_start(self) -> None:
        """Keep to the store's rate from now on."""
        self._saved = min(self._saved, BURST)
