"""Notices that give places back, where a connection is lost or an owner is slow.

Load pattern: an owner is paused or slow for a second or more. Gateways give up after 50 ms, close
connections that stay silent and connect again. The owner then reads the notices on the new
connections and the requests on the old ones in any order. Times are seconds of the monotonic clock.
"""

from collections import deque
from typing import Generic, TypeVar

T = TypeVar("T")

NOTICE_RETENTION = 10.0
"""Seconds for which notices are kept on both sides: longer than the time limits of most requests,
after which a place is free in any case."""
MAX_NOTICES = 4096
"""Notices that are kept; the oldest are dropped first."""


class EarlyNotices:
    """The permits, at an owner, of places that were given back before they were requested."""

    def __init__(self) -> None:
        self._recorded_at: dict[str, float] = {}

    def record(self, now: float, permit: str) -> None:
        """Record a notice whose permit is not known, or no longer."""
        self._recorded_at.pop(permit, None)
        self._recorded_at[permit] = now
        while len(self._recorded_at) > MAX_NOTICES:
            del self._recorded_at[next(iter(self._recorded_at))]

    def contains(self, now: float, permit: str) -> bool:
        """Return whether the place of ``permit`` was given back already."""
        recorded_at = self._recorded_at.get(permit)
        return recorded_at is not None and now < recorded_at + NOTICE_RETENTION


class SentNotices(Generic[T]):
    """The notices, at a gateway, that may have to be sent to one owner again."""

    def __init__(self) -> None:
        self._sent: deque[tuple[float, T]] = deque(maxlen=MAX_NOTICES)

    def record(self, now: float, notice: T) -> None:
        """Record a notice that was sent, or dropped for want of a connection."""
        self._drop_old(now)
        self._sent.append((now, notice))

    def recent(self, now: float) -> list[T]:
        """Return the notices that a lost connection may not have delivered."""
        self._drop_old(now)
        return [notice for _, notice in self._sent]

    def _drop_old(self, now: float) -> None:
        while self._sent and self._sent[0][0] <= now - NOTICE_RETENTION:
            self._sent.popleft()
