"""Bounds on what retries may add."""

from jaylatch_decisions.retry.budget import RetryBudget

__all__ = ["RetryBudget"]
