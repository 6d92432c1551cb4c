"""How long the journal keeps completed orders.

Time in the journal advances only with the wall clock that committed commands carry. One command
can move it at most ``MAXIMUM_STEP`` ahead, so that one entry whose clock is wrong cannot expire
the keys of all callers at once.
"""

from collections import deque
from collections.abc import Iterator

import msgspec

from jaylatch_core.messages.journal import OrderName

MAXIMUM_STEP = 1.0
SECONDS_PER_DAY = 86_400.0


class RetentionTimes(msgspec.Struct, frozen=True):
    """Seconds after completion for which an answer and its key are kept.

    A resend is answered whole within ``answer`` and with "it ran" within ``key``; the at-most-once
    promise covers ``key``.
    """

    answer: float = 1 * SECONDS_PER_DAY
    key: float = 7 * SECONDS_PER_DAY


DEFAULT_RETENTION = RetentionTimes()


class RetentionSnapshot(msgspec.Struct, frozen=True):
    """The content of a ``RetentionQueue``; each order with the second of its completion."""

    now: float
    answers: list[tuple[float, OrderName]]
    keys: list[tuple[float, OrderName]]


class RetentionQueue:
    """Completed orders by the time of their completion, oldest first."""

    def __init__(self, content: RetentionSnapshot | None = None) -> None:
        self._now = content.now if content is not None else 0.0
        self._answers = deque(content.answers if content is not None else ())
        self._keys = deque(content.keys if content is not None else ())

    def dump(self) -> RetentionSnapshot:
        """Return the whole content."""
        return RetentionSnapshot(self._now, list(self._answers), list(self._keys))

    def advance(self, at: float) -> None:
        """Move the time on towards ``at`` (wall-clock seconds); it never goes back."""
        if not self._now:
            self._now = at
        elif at > self._now:
            self._now = min(at, self._now + MAXIMUM_STEP)

    def add(self, order: OrderName) -> None:
        """Note that an order has completed."""
        self._answers.append((self._now, order))

    def take_answers(self, times: RetentionTimes) -> Iterator[OrderName]:
        """Yield the orders whose answer is to be dropped now."""
        while self._answers and self._answers[0][0] + times.answer < self._now:
            completed_at, order = self._answers.popleft()
            self._keys.append((completed_at, order))
            yield order

    def take_keys(self, times: RetentionTimes) -> Iterator[OrderName]:
        """Yield the orders whose key is to be dropped now."""
        while self._keys and self._keys[0][0] + times.key < self._now:
            yield self._keys.popleft()[1]
