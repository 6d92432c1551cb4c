"""Retry budget of an entry, which limits retries to a fixed share of the requests."""


class RetryBudget:
    """Token bucket of retries: each request adds a fraction of one, up to ``burst``."""

    def __init__(self, burst: float) -> None:
        self._burst = burst
        self._available = burst

    @property
    def available(self) -> float:
        """Return the retries that may be made now."""
        return self._available

    def earn(self, ratio: float) -> None:
        """Count a first attempt; ``ratio`` is the number of retries allowed for each."""
        self._available = min(self._available + ratio, self._burst)

    def spend(self) -> bool:
        """Take one retry; returns False if the budget is used up."""
        if self._available < 1.0:
            return False
        self._available -= 1.0
        return True

    def give_back(self) -> None:
        """Return a retry that was taken and not made."""
        self._available = min(self._available + 1.0, self._burst)
