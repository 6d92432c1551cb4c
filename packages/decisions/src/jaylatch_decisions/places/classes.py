"""Requests that compete for places as equals, and how their accounts stand.

Load pattern: a few accounts send most of the requests of a burst. Those that ask for more than
their weighted max-min share of the places come last and give way first, but none is starved.
"""

from dataclasses import dataclass
from math import inf

from jaylatch_core.ids import AccountId
from jaylatch_decisions.admission import AdmissionQueue, QueuedRequest
from jaylatch_decisions.fairness import DemandMeter
from jaylatch_decisions.places.returns import ReturnOrder

STANDING_LIFETIME = 0.02
"""Seconds for which what the accounts were served is not computed anew."""
SERVICE_FLOOR = 0.4
"""Part of the mean fraction that is served below which an account does not give way. A quarter is
required; the rest allows for the delay of the averages."""
OVER_SHARE_DELAY = 1000.0
"""Seconds by which requests of accounts above their share are ordered later: after all others."""
EQUAL_SHARE = 1.0
"""Share of each account: a deployment document states none."""


@dataclass(frozen=True, order=True)
class RequestClass:
    """Requests that compete as equals."""

    rank: int
    order: ReturnOrder


@dataclass(frozen=True)
class _Standing:
    """How the accounts of a class stand: what each was served, in place seconds a second.

    ``over_share`` are those that ask for more than their share. ``starved`` are those that are
    served far less often than all.
    """

    at: float
    served: dict[AccountId, float]
    over_share: frozenset[AccountId]
    starved: frozenset[AccountId]


class ClassQueue:
    """Waiting requests of one class, and what its accounts were served."""

    def __init__(self) -> None:
        self.queue = AdmissionQueue(self._choose_victim)
        self._served = DemandMeter()
        self._standing = _Standing(-inf, {}, frozenset(), frozenset())
        self.slots = inf

    def order(self, now: float, account: AccountId, due: float) -> float:
        """Return the key by which a request is ordered: by the share of its account, then by due.

        A request that is admitted may become late by the error of the forecast. With due time
        alone that would be as often one of an account that keeps to its share.
        """
        standing = self._renew_standing(now)
        is_later = account in standing.over_share and account not in standing.starved
        return due + (OVER_SHARE_DELAY if is_later else 0.0)

    def count_served(self, now: float, account: AccountId, work: float) -> None:
        """Count a request that has got a place."""
        self._served.offer(now, account, EQUAL_SHARE, work)

    def _choose_victim(
        self, now: float, items: list[QueuedRequest], over_share: frozenset[AccountId]
    ) -> QueuedRequest:
        """Return the request that gives way: of an account above its share that got the most.

        Accounts that are served far less often than the class give way only to each other.
        """
        standing = self._renew_standing(now)
        left = [item for item in items if item.account not in standing.starved] or items
        above = [item for item in left if item.account in over_share]
        if above:
            served = standing.served
            return max(above, key=lambda item: (served.get(item.account, 0.0), item.rank))
        return max(left, key=lambda item: item.rank)

    def _renew_standing(self, now: float) -> _Standing:
        if now < self._standing.at + STANDING_LIFETIME:
            return self._standing
        served = {item.account: item.demand for item in self._served.demands(now)}
        offered = self.queue.offered(now)
        floor = SERVICE_FLOOR * sum(served.values()) / max(sum(offered.values()), 1e-9)
        starved = frozenset(
            account for account, work in offered.items() if served.get(account, 0.0) < floor * work
        )
        over_share = self.queue.over_share(now, self.slots)
        self._standing = _Standing(now, served, over_share, starved)
        return self._standing
