"""Token bucket for a rate that may change. Times are seconds of the monotonic clock."""


class RateBucket:
    """Tokens of a rate that are not used yet; the rate and the burst are given with each call."""

    def __init__(self, now: float, tokens: float) -> None:
        self._tokens = tokens
        self._updated_at = now

    def wait(self, now: float, rate: float, burst: float) -> float:
        """Return the seconds until a token is there, 0 if there is one."""
        self._tokens = min(self._tokens + (now - self._updated_at) * rate, burst)
        self._updated_at = now
        return max(1.0 - self._tokens, 0.0) / rate

    def take(self) -> None:
        """Use one token."""
        self._tokens -= 1.0
