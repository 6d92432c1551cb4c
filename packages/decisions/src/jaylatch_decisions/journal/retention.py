"""Retention of completed orders in the journal.

The journal's time advances only with the wall-clock times in committed commands. One command can
advance it by at most ``MAX_CLOCK_STEP``, so that one entry instance with a wrong clock cannot
expire the keys of all callers at once.
"""

from collections import deque
from collections.abc import Iterator

import msgspec

from jaylatch_core.messages.journal import OrderName

MAX_CLOCK_STEP = 1.0
"""Seconds."""
SECONDS_PER_DAY = 86_400.0


class RetentionTimes(msgspec.Struct, frozen=True):
    """Seconds after completion for which an answer and its key are kept.

    A resend gets the complete answer within ``answer``, and within ``key`` only the confirmation
    that the order ran. The at-most-once guarantee holds for ``key``.
    """

    answer: float = 1 * SECONDS_PER_DAY
    key: float = 7 * SECONDS_PER_DAY


DEFAULT_RETENTION = RetentionTimes()


class RetentionSnapshot(msgspec.Struct, frozen=True):
    """The content of a ``RetentionQueue``; each order with its completion time in seconds."""

    now: float
    answers: list[tuple[float, OrderName]]
    keys: list[tuple[float, OrderName]]


class RetentionQueue:
    """Completed orders by completion time, oldest first."""

    def __init__(self, content: RetentionSnapshot | None = None) -> None:
        self._now = content.now if content is not None else 0.0
        self._answers = deque(content.answers if content is not None else ())
        self._keys = deque(content.keys if content is not None else ())

    def dump(self) -> RetentionSnapshot:
        """Return the complete content."""
        return RetentionSnapshot(self._now, list(self._answers), list(self._keys))

    def advance(self, at: float) -> None:
        """Advance the time towards ``at`` (wall-clock seconds); it never moves backwards."""
        if not self._now:
            self._now = at
        elif at > self._now:
            self._now = min(at, self._now + MAX_CLOCK_STEP)

    def add(self, order: OrderName) -> None:
        """Add an order that has just completed."""
        self._answers.append((self._now, order))

    def take_answers(self, times: RetentionTimes) -> Iterator[OrderName]:
        """Yield and remove the orders whose answer has expired."""
        while self._answers and self._answers[0][0] + times.answer < self._now:
            completed_at, order = self._answers.popleft()
            self._keys.append((completed_at, order))
            yield order

    def take_keys(self, times: RetentionTimes) -> Iterator[OrderName]:
        """Yield and remove the orders whose key has expired."""
        while self._keys and self._keys[0][0] + times.key < self._now:
            yield self._keys.popleft()[1]
