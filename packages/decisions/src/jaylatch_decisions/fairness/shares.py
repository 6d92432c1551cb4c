"""Weighted max-min fairness: the unused part of an account's share goes to the others."""

from math import inf

import msgspec

from jaylatch_core.ids import AccountId

TOLERANCE = 0.02
"""Fraction by which a demand may exceed the fair level before it counts as over share."""


class AccountDemand(msgspec.Struct, frozen=True):
    """Demand of an account, in target seconds a second, and its configured share."""

    account: AccountId
    demand: float
    share: float


def fair_level(demands: list[AccountDemand], capacity: float) -> float:
    """Return the capacity for each unit of share; infinite if all demands can be met.

    Accounts that demand less than the level receive their demand; the level is the remaining
    capacity for each unit of share of the others.
    """
    ordered = sorted(demands, key=lambda item: item.demand / item.share)
    remaining = capacity
    shares = sum(item.share for item in ordered)
    for item in ordered:
        level = remaining / shares
        if item.demand > level * item.share:
            return level
        remaining -= item.demand
        shares -= item.share
    return inf


def find_over_share(demands: list[AccountDemand], capacity: float) -> frozenset[AccountId]:
    """Return the accounts that demand more than the fair level grants them."""
    level = fair_level(demands, capacity) * (1 + TOLERANCE)
    return frozenset(item.account for item in demands if item.demand > level * item.share)
