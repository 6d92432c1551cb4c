"""Conditions that targets state in their answers about the requests that they take.

A target that states a limit states it in each answer, until it takes any number of requests again.
Times are seconds of the monotonic clock.
"""

from dataclasses import dataclass

from jaylatch_core.ids import InstanceId


@dataclass(frozen=True)
class StatedLimit:
    """The requests a second that a target takes from all gateways together, None for any number."""

    rate: float | None
    stated_at: float


class TargetConditions:
    """What the newest answer of each target to this process states."""

    def __init__(self) -> None:
        self._limits: dict[InstanceId, StatedLimit] = {}

    def record_limit(self, now: float, instance: InstanceId, rate: float | None) -> bool:
        """Record the limit that an answer states; return whether the one before stated another."""
        known = self._limits.get(instance)
        if known is None and rate is None:
            return False
        self._limits[instance] = StatedLimit(rate, now)
        return known is None or known.rate != rate
