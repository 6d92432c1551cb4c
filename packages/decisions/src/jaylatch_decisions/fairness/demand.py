"""Measurement of the demand of each account as a decaying average."""

from math import exp

from jaylatch_core.ids import AccountId
from jaylatch_decisions.fairness.shares import AccountDemand

TIME_CONSTANT = 2.0
"""Seconds in which a rate decays to 1/e."""
NEGLIGIBLE_RATE = 1e-4
"""Target seconds a second at or below which an account is dropped."""


class DemandMeter:
    """Offered work of each account in target seconds a second, averaged over ``TIME_CONSTANT``."""

    def __init__(self) -> None:
        self._rates: dict[AccountId, float] = {}
        self._shares: dict[AccountId, float] = {}
        self._updated_at = 0.0

    def offer(self, now: float, account: AccountId, share: float, work: float) -> None:
        """Count a request of ``work`` target seconds, whether it is admitted or not."""
        self._decay(now)
        self._rates[account] = self._rates.get(account, 0.0) + work / TIME_CONSTANT
        self._shares[account] = share

    def demands(self, now: float) -> list[AccountDemand]:
        """Return the current demands."""
        self._decay(now)
        return [
            AccountDemand(account, rate, self._shares[account])
            for account, rate in self._rates.items()
        ]

    def _decay(self, now: float) -> None:
        if now <= self._updated_at:
            return
        factor = exp((self._updated_at - now) / TIME_CONSTANT)
        self._updated_at = now
        self._rates = {
            account: decayed
            for account, rate in self._rates.items()
            if (decayed := rate * factor) > NEGLIGIBLE_RATE
        }
