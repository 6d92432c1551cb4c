"""Bounded queue of an entry, kept so that everything in it can still be in time.

The queue is ordered by deadline. When a request would be late, the least valuable one at or before
it gives way (Moore and Hodgson's rule, with the value of a target second in place of the length):
of the accounts above their fair share, if there are any, the request with the least weight for
each second of work.
"""

from bisect import insort
from enum import Enum

import msgspec

from jaylatch_core.ids import AccountId, RequestId
from jaylatch_decisions.fairness import DemandMeter, find_over_share

MINIMUM_RETRY_AFTER = 1.0


class DropReason(Enum):
    """Why a request leaves the queue unserved."""

    OVERLOADED = "overloaded"
    OVER_SHARE = "account_over_share"
    TOO_LATE = "deadline_too_near"


class QueuedRequest(msgspec.Struct, frozen=True):
    """A request in the queue. ``work`` is the seconds for which it will occupy a target.

    ``rank`` orders the queue: the deadline, or the time of arrival for a baseline.
    """

    id: RequestId
    account: AccountId
    share: float
    weight: float
    deadline: float
    work: float
    rank: float

    @property
    def density(self) -> float:
        """Return the weight for each second of work."""
        return self.weight / max(self.work, 1e-6)


class Drop(msgspec.Struct, frozen=True):
    """A request that gave way; ``retry_after`` is in seconds."""

    id: RequestId
    reason: DropReason
    retry_after: float


class Capacity(msgspec.Struct, frozen=True):
    """What the entry may use: attempts at once, and target seconds already running."""

    slots: float
    running: float


class AdmissionQueue:
    """The requests of one model or service that wait for a target."""

    def __init__(self) -> None:
        self._items: list[QueuedRequest] = []
        self._meter = DemandMeter()

    def __len__(self) -> int:
        return len(self._items)

    def offer(self, now: float, item: QueuedRequest, capacity: Capacity, limit: int) -> list[Drop]:
        """Add a request and return those that give way, which may include it."""
        self._meter.offer(now, item.account, item.share, item.work)
        insort(self._items, item, key=_rank)
        return self.trim(now, capacity, limit)

    def trim(self, now: float, capacity: Capacity, limit: int) -> list[Drop]:
        """Return and remove what can no longer be in time, and what exceeds ``limit``."""
        drops = [
            self._drop(item, DropReason.TOO_LATE, capacity)
            for item in list(self._items)
            if now + item.work > item.deadline
        ]
        over_share: frozenset[AccountId] | None = None
        while True:
            position = self._first_late(now, capacity)
            if position is None and len(self._items) > limit:
                position = len(self._items) - 1
            if position is None:
                return drops
            if over_share is None:
                over_share = find_over_share(self._meter.demands(now), capacity.slots)
            victim, reason = _choose_victim(self._items[: position + 1], over_share)
            drops.append(self._drop(victim, reason, capacity))

    def head(self) -> QueuedRequest | None:
        """Return the request that is next to be sent."""
        return self._items[0] if self._items else None

    def remove(self, request: RequestId) -> None:
        """Remove a request that is sent, or whose caller has gone."""
        self._items = [item for item in self._items if item.id != request]

    def _first_late(self, now: float, capacity: Capacity) -> int | None:
        """Return the position of the first request that would be late; None without targets."""
        if capacity.slots <= 0:
            return None
        ahead = capacity.running
        for position, item in enumerate(self._items):
            starts_at = now + ahead / capacity.slots
            if starts_at + item.work > item.deadline:
                return position
            ahead += item.work
        return None

    def _drop(self, item: QueuedRequest, reason: DropReason, capacity: Capacity) -> Drop:
        self.remove(item.id)
        backlog = capacity.running + sum(other.work for other in self._items)
        wait = backlog / capacity.slots if capacity.slots > 0 else 0.0
        return Drop(item.id, reason, max(wait, MINIMUM_RETRY_AFTER))


def _choose_victim(
    items: list[QueuedRequest], over_share: frozenset[AccountId]
) -> tuple[QueuedRequest, DropReason]:
    accounts = {item.account for item in items}
    greedy = [item for item in items if item.account in over_share]
    is_shared_fault = not greedy or accounts <= over_share
    victim = min(greedy or items, key=lambda item: item.density)
    return victim, DropReason.OVERLOADED if is_shared_fault else DropReason.OVER_SHARE


def _rank(item: QueuedRequest) -> float:
    return item.rank
