"""Lease state of a holder. Times are seconds of the holder's monotonic clock."""


class HeldLease:
    """A lease that starts at the time at which its renewal was sent."""

    def __init__(self, drift: float) -> None:
        self._drift = drift
        self._expires_at = 0.0

    @property
    def expires_at(self) -> float:
        """Return the time after which the holder must not act."""
        return self._expires_at

    def extend(self, sent_at: float, duration: float) -> None:
        """Apply a grant that answers the renewal sent at ``sent_at``; never shortens the lease."""
        self._expires_at = max(self._expires_at, sent_at + duration * (1 - self._drift))

    def is_valid(self, now: float) -> bool:
        """Return whether the holder may act at ``now``."""
        return now < self._expires_at
