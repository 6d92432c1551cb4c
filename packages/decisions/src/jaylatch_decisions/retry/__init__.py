"""Limits on the load that retries add."""

from jaylatch_decisions.retry.budget import RetryBudget

__all__ = ["RetryBudget"]
