"""Pace of targets, learned from the durations of complete answers.

Load pattern: one target of a service is slower than the others, for seconds or for good, while
requests of several kinds with durations from 15 ms to 90 ms arrive. A duration is compared with the
mean of its kind over all targets, so a target that gets more of the long kinds is not taken for a
slow one. Times are seconds of the monotonic clock.
"""

import math
from dataclasses import dataclass

from jaylatch_core.ids import InstanceId

HALF_LIFE = 3.0
"""Seconds after which half of what was learned of a target is forgotten, so that a target that has
recovered gets requests again although none shows its recovery."""
RETENTION_HALF_LIVES = 10.0
"""Half-lives after which a target is forgotten: a thousandth of what was learned is left."""
PACE_SMOOTHING = 0.15
"""Weight of a new duration: about the last ten requests count, so that one long answer moves no
target out of the noise band."""
MEAN_SMOOTHING = 0.05
"""Weight of a new duration in the mean of its kind, which all targets share."""
NOISE_BAND = 1.3
"""Ratio to the mean below which a target counts as equal to the others: durations of one kind vary
by 0.4 of their mean, and the mean of the last ten of them by 0.13."""
MAX_RATIO = 8.0
"""Bound of one measured ratio, so that a pause is forgotten within five half-lives."""


@dataclass
class _Pace:
    ratio: float = 1.0
    measured_at: float = 0.0


class PaceTable:
    """The time that each target takes, relative to the mean of its service (1: the mean)."""

    def __init__(self) -> None:
        self._means: dict[str, float] = {}
        self._overall: float | None = None
        self._paces: dict[InstanceId, _Pace] = {}

    def mean(self, kind: str, default: float = 1.0) -> float:
        """Return the mean duration of the requests of a kind."""
        return self._means.get(kind, default)

    @property
    def overall_mean(self) -> float:
        """Return the mean duration of all requests, 0 if none has ended."""
        return self._overall or 0.0

    def record(self, now: float, instance: InstanceId, kind: str, duration: float) -> None:
        """Record how long a target took for a complete answer."""
        overall = duration if self._overall is None else self._overall
        self._overall = overall + MEAN_SMOOTHING * (duration - overall)
        mean = self._means.get(kind)
        if mean is None:
            self._means[kind] = duration
            return
        known = self._paces.get(instance)
        if known is None:
            self._forget_old(now)
            known = self._paces[instance] = _Pace(measured_at=now)
        self._means[kind] = mean + MEAN_SMOOTHING * (min(duration, MAX_RATIO * mean) - mean)
        ratio = min(duration / max(mean, 1e-6), MAX_RATIO)
        known.ratio = self._decayed(now, known)
        known.ratio += PACE_SMOOTHING * (ratio - known.ratio)
        known.measured_at = now

    def pace(self, now: float, instance: InstanceId) -> float:
        """Return the factor on durations at the target, at least 1; 1 within the noise band."""
        known = self._paces.get(instance)
        if known is None:
            return 1.0
        ratio = self._decayed(now, known)
        return ratio if ratio > NOISE_BAND else 1.0

    def _forget_old(self, now: float) -> None:
        """Forget the targets of which nothing is left that was learned."""
        oldest = now - RETENTION_HALF_LIVES * HALF_LIFE
        self._paces = {
            instance: known for instance, known in self._paces.items() if known.measured_at > oldest
        }

    def _decayed(self, now: float, known: _Pace) -> float:
        return 1.0 + (known.ratio - 1.0) * math.exp2((known.measured_at - now) / HALF_LIFE)
