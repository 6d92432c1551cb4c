"""Rate limit for loads from the weight store.

A burst of repairs begins no more loads in a window than the store allows.
"""

BURST = 3.0
"""Loads that may begin at once, within the store's own tolerance above its rate."""
FIRST_START_BURST = 1000.0
"""Loads that may begin at once while no group has ever served: they delay no request then."""
RATE_FRACTION = 0.9
"""Fraction of the store's rate that is used, to allow for the drift between two clocks."""


class LoadBudget:
    """A token bucket. Times are seconds of the monotonic clock."""

    def __init__(self, now: float, is_first_start: bool) -> None:
        self._tokens = FIRST_START_BURST if is_first_start else BURST
        self._updated_at = now

    def take(self, now: float, rate: float) -> bool:
        """Take one load at ``rate`` loads a second (0: no limit); returns False if none is left."""
        if rate <= 0:
            return True
        if self._tokens < BURST:
            self._tokens = min(
                self._tokens + (now - self._updated_at) * rate * RATE_FRACTION, BURST
            )
        self._updated_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def end_first_start(self) -> None:
        """Apply the store's rate from now on."""
        self._tokens = min(self._tokens, BURST)
