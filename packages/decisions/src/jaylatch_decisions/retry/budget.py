"""Retry budget of an entry: retries stay a fixed share of the requests, whatever fails."""


class RetryBudget:
    """Each request earns a part of a retry; what is saved is bounded by ``burst``."""

    def __init__(self, burst: float) -> None:
        self._burst = burst
        self._saved = burst

    @property
    def available(self) -> float:
        """Return the retries that may be made now."""
        return self._saved

    def earn(self, ratio: float) -> None:
        """Count a first attempt; ``ratio`` is the retries allowed for each of them."""
        self._saved = min(self._saved + ratio, self._burst)

    def spend(self) -> bool:
        """Take one retry; returns False if the budget is used up."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True
