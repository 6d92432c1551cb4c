"""Bounded queue of an entry in which every request can still meet its deadline.

The queue is ordered by deadline. When a request would be late, the least valuable one at or before
it is dropped (Moore and Hodgson's rule, with the weight for each second of work in place of the
length). If any accounts are above their fair share, only their requests are considered.
"""

from bisect import insort
from collections.abc import Callable, Iterator, Sequence
from enum import Enum
from typing import Protocol

import msgspec

from jaylatch_core.ids import AccountId, RequestId
from jaylatch_decisions.fairness import DemandMeter, find_over_share

MIN_RETRY_AFTER = 1.0
"""Seconds."""


class DropReason(Enum):
    """Reason for which a request leaves the queue unserved."""

    OVERLOADED = "overloaded"
    OVER_SHARE = "account_over_share"
    TOO_LATE = "deadline_too_near"


class QueuedRequest(msgspec.Struct, frozen=True):
    """A request in the queue. ``work`` is the seconds for which it will occupy a target.

    ``rank`` orders the queue: the deadline, or the time of arrival where admission is not adaptive.
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
    """A dropped request; ``retry_after`` is in seconds."""

    id: RequestId
    reason: DropReason
    retry_after: float


class Capacity(msgspec.Struct, frozen=True):
    """Capacity of the entry: concurrent attempts, and target seconds of work already running."""

    slots: float
    running: float

    def start_times(self, now: float, works: Sequence[float]) -> Iterator[float]:
        """Yield when requests of these works start, in turn."""
        ahead = self.running
        for work in works:
            yield now + ahead / self.slots
            ahead += work


class Forecast(Protocol):
    """When queued requests start: ``slots`` at a time, after ``running`` seconds of work."""

    @property
    def slots(self) -> float:
        """Return the number of requests that run at a time."""

    @property
    def running(self) -> float:
        """Return the target seconds of work that run already."""

    def start_times(self, now: float, works: Sequence[float]) -> Iterator[float]:
        """Yield when requests of these works start, in turn."""


VictimRule = Callable[[float, list[QueuedRequest], frozenset[AccountId]], QueuedRequest]
"""Chooses which of some requests gives way, at a time and with the accounts above their share."""


def least_value(
    now: float, items: list[QueuedRequest], over_share: frozenset[AccountId]
) -> QueuedRequest:
    """Return the request of the least value a second, of accounts above their share if any."""
    over_share_items = [item for item in items if item.account in over_share]
    return min(over_share_items or items, key=lambda item: item.density)


class AdmissionQueue:
    """The requests of one model or service that wait for a target."""

    def __init__(self, choose_victim: VictimRule = least_value) -> None:
        self._choose_victim = choose_victim
        self._items: list[QueuedRequest] = []
        self._meter = DemandMeter()

    def __len__(self) -> int:
        return len(self._items)

    def __iter__(self) -> Iterator[QueuedRequest]:
        return iter(self._items)

    def demand(self, now: float) -> float:
        """Return the offered work of all accounts, in target seconds a second."""
        return sum(item.demand for item in self._meter.demands(now))

    def over_share(self, now: float, slots: float) -> frozenset[AccountId]:
        """Return the accounts that ask for more than their shares of ``slots``."""
        return find_over_share(self._meter.demands(now), slots)

    def offered(self, now: float) -> dict[AccountId, float]:
        """Return the offered work of each account, in target seconds a second."""
        return {item.account: item.demand for item in self._meter.demands(now)}

    def offer(self, now: float, item: QueuedRequest, capacity: Forecast, limit: int) -> list[Drop]:
        """Add a request and return the dropped ones, which may include the new one."""
        self.add(now, item)
        return self.trim(now, capacity, limit)

    def add(self, now: float, item: QueuedRequest) -> None:
        """Add a request without dropping any."""
        self._meter.offer(now, item.account, item.share, item.work)
        insort(self._items, item, key=_rank)

    def trim(self, now: float, capacity: Forecast, limit: int) -> list[Drop]:
        """Drop and return requests until the rest can be in time and number at most ``limit``."""
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
                over_share = self.over_share(now, capacity.slots)
            items = self._items[: position + 1]
            victim = self._choose_victim(now, items, over_share)
            drops.append(self._drop(victim, _drop_reason(victim, items, over_share), capacity))

    def head(self) -> QueuedRequest | None:
        """Return the next request to be sent, or None."""
        return self._items[0] if self._items else None

    def remove(self, request: RequestId) -> None:
        """Remove a request that was sent, or whose caller disconnected."""
        self._items = [item for item in self._items if item.id != request]

    def _first_late(self, now: float, capacity: Forecast) -> int | None:
        """Return the position of the first request that would be late; None without targets."""
        if capacity.slots <= 0:
            return None
        starts = capacity.start_times(now, [item.work for item in self._items])
        for position, (item, starts_at) in enumerate(zip(self._items, starts, strict=True)):
            if starts_at + item.work > item.deadline:
                return position
        return None

    def _drop(self, item: QueuedRequest, reason: DropReason, capacity: Forecast) -> Drop:
        self.remove(item.id)
        backlog = capacity.running + sum(other.work for other in self._items)
        wait = backlog / capacity.slots if capacity.slots > 0 else 0.0
        return Drop(item.id, reason, max(wait, MIN_RETRY_AFTER))


def _drop_reason(
    victim: QueuedRequest, items: list[QueuedRequest], over_share: frozenset[AccountId]
) -> DropReason:
    """Return why the victim is dropped: its account's share, or an overload of all accounts."""
    is_general_overload = {item.account for item in items} <= over_share
    if victim.account not in over_share or is_general_overload:
        return DropReason.OVERLOADED
    return DropReason.OVER_SHARE


def _rank(item: QueuedRequest) -> float:
    return item.rank
