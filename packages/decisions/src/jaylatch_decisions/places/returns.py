"""Times at which refused callers are told to return, so that they find room.

Load pattern: each refused caller returns once. Callers that return together are refused together,
and callers that return during the burst that displaced them are refused again.
"""

from enum import IntEnum

from jaylatch_core.ids import RequestDigest
from jaylatch_core.messages.places import QueueTerms, TakePlace

MIN_RETURN_DELAY = 0.2
"""Seconds; shorter delays bring a caller back into the same peak."""
RETURN_FRACTION = 1 / 3
"""Part of the time that a caller has left for which it follows a delay: beyond it callers return
when they like."""
MAX_RETURN_DELAY = 4.0
"""Seconds, also for a request whose time limit allows more."""
MIN_SPARE_FRACTION = 0.02
"""Part of a model's places that returning requests may always use."""
LATE_SPREAD = 0.75
"""Part of the longest delay from which on callers are spread for whom no room is known."""
EARLY_TOLERANCE = 0.05
"""Seconds before its time at which a return still counts as agreed."""
LATE_TOLERANCE = 1.0
"""Seconds after its time until which it counts as agreed."""
RETENTION = 4.0
"""Seconds after its time for which a refused request is recognised."""
MAX_AGREED = 4096
"""Agreed returns that are remembered; the oldest are dropped first."""
GOLDEN_RATIO = 0.6180339887
"""Multiples of it, modulo 1, are spread evenly at any number."""


class ReturnOrder(IntEnum):
    """Order of the requests of a rank: new ones go first, because they can still be in time.

    Those that return are late already. If they went first, they would fill the places for as long
    as the load lasts: every request would first be refused and then answered late. Those that
    return at their agreed time go before the others.
    """

    NEW = 0
    AGREED = 1
    LATE = 2


class ReturnSchedule:
    """The agreed returns of one model's refused requests."""

    def __init__(self) -> None:
        self._next_slots: dict[int, float] = {}
        self._agreed: dict[RequestDigest, float] = {}
        self._unplaced = 0

    def take_return(self, now: float, digest: RequestDigest) -> ReturnOrder:
        """Return the order of a request, and forget its refusal."""
        at = self._agreed.pop(digest, None)
        if at is None or now > abs(at) + RETENTION:
            return ReturnOrder.NEW
        is_agreed = at - EARLY_TOLERANCE <= now <= at + LATE_TOLERANCE
        return ReturnOrder.AGREED if at > 0 and is_agreed else ReturnOrder.LATE

    def agree(
        self,
        now: float,
        request: TakePlace,
        terms: QueueTerms,
        backlog: float,
        left: float,
        total: float,
    ) -> float:
        """Return the seconds after which a refused request has room.

        ``backlog`` is the time after which a place is free of requests that go before it, ``left``
        the number of the ``total`` places that requests of its and more urgent ranks leave.
        """
        # The duration of a place exceeds the time limit by a margin of less than a second.
        answer_time = terms.service_time + max(terms.max_wait, 0.0)
        left_over = max(request.duration - 1.0 - answer_time, 0.0)
        followed = request.duration * RETURN_FRACTION
        longest = min(left_over, followed, MAX_RETURN_DELAY)
        earliest = max(backlog, MIN_RETURN_DELAY)
        spare = max(left, total * MIN_SPARE_FRACTION, 1e-3)
        at = max(now + earliest, self._next_slots.get(terms.rank, 0.0))
        if at - now <= longest:
            self._next_slots[terms.rank] = at + terms.service_time / spare
            self._remember(request.digest, at)
            return at - now
        self._unplaced += 1
        self._remember(request.digest, -now - longest)
        spread = self._unplaced * GOLDEN_RATIO % 1.0
        latest = max(longest, earliest)
        return latest * (LATE_SPREAD + (1.0 - LATE_SPREAD) * spread)

    def _remember(self, digest: RequestDigest, at: float) -> None:
        self._agreed.pop(digest, None)
        self._agreed[digest] = at
        while len(self._agreed) > MAX_AGREED:
            del self._agreed[next(iter(self._agreed))]
