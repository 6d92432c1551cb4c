"""Weighted max-min fairness: what an account leaves of its share is lent to the others."""

from math import inf

import msgspec

from jaylatch_core.ids import AccountId

TOLERANCE = 0.02


class AccountDemand(msgspec.Struct, frozen=True):
    """What an account asks for, in target seconds a second, and its configured share."""

    account: AccountId
    demand: float
    share: float


def fair_level(demands: list[AccountDemand], capacity: float) -> float:
    """Return the capacity for each unit of share; infinite if all demands can be met.

    Accounts that ask for less than the level get what they ask for, and the level is what remains
    for each unit of share of the others.
    """
    ordered = sorted(demands, key=lambda item: item.demand / item.share)
    left = capacity
    shares = sum(item.share for item in ordered)
    for item in ordered:
        level = left / shares
        if item.demand > level * item.share:
            return level
        left -= item.demand
        shares -= item.share
    return inf


def find_over_share(demands: list[AccountDemand], capacity: float) -> frozenset[AccountId]:
    """Return the accounts that ask for more than the fair level gives them."""
    level = fair_level(demands, capacity) * (1 + TOLERANCE)
    return frozenset(item.account for item in demands if item.demand > level * item.share)
