"""Division of capacity between accounts."""

from jaylatch_decisions.fairness.demand import DemandMeter
from jaylatch_decisions.fairness.shares import AccountDemand, fair_level, find_over_share

__all__ = ["AccountDemand", "DemandMeter", "fair_level", "find_over_share"]
