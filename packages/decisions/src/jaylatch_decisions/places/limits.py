"""Limits of targets for the requests of all gateways, kept by the owner of their places.

These are the limits that targets state, and the bounds of those that may be cold.

The requests of all gateways draw on one bucket for each target, so a stated limit is shared by
demand: one gateway with callers can use all of it. Buckets are in memory only. Gateways name the
limits that they know with each request, so an owner that starts or takes over knows them at once;
it begins with one request for each target.
"""

from dataclasses import dataclass

from jaylatch_core.ids import InstanceId
from jaylatch_core.messages.places import CandidateLimit, PlaceCandidate
from jaylatch_core.settings import ColdSettings
from jaylatch_decisions.places.cold import ColdLimits
from jaylatch_decisions.rates import RateBucket

BURST_SECONDS = 0.25
"""Seconds of a limit that may be used at once, beside one request."""
MIN_RATE = 0.1
"""Requests a second to a target that takes none: its answer tells whether the limit still holds."""
LIMIT_RETENTION = 120.0
"""Seconds after which a limit is forgotten that no answer has stated again, at owners and
gateways."""
STAND_IN_FRACTION = 0.25
"""Fraction of a limit that an owner grants in place of one that may still grant all of it."""

NO_OVERAGE = ColdSettings()


@dataclass
class _KnownLimit:
    """The newest known statement of a target, and what is left of it."""

    rate: float | None
    stated_at: float
    bucket: RateBucket


class LimitTable:
    """The limits of the targets whose places this process owns."""

    def __init__(self, cold: ColdSettings = NO_OVERAGE) -> None:
        self.cold = ColdLimits(cold)
        self._limits: dict[InstanceId, _KnownLimit] = {}

    def record(self, now: float, candidate: PlaceCandidate) -> None:
        """Record the limits that a gateway knows, unless a newer statement is known."""
        self.cold.record(now, candidate)
        match candidate.limit:
            case CandidateLimit(rate, age):
                self._update(now, candidate.instance, rate, now - age)

    def wait(self, now: float, instance: InstanceId, fraction: float) -> float:
        """Return the seconds until the target may get a request, 0 if it may get one now.

        ``fraction`` is the part of a stated limit that this process may grant.
        """
        return max(self._stated_wait(now, instance, fraction), self.cold.wait(now, instance))

    def take(self, now: float, instance: InstanceId) -> None:
        """Count a request to the target."""
        self.cold.take(now, instance)
        known = self._limits.get(instance)
        if known is not None and known.rate is not None:
            known.bucket.take()

    def _stated_wait(self, now: float, instance: InstanceId, fraction: float) -> float:
        known = self._limits.get(instance)
        if known is None or known.rate is None or now >= known.stated_at + LIMIT_RETENTION:
            return 0.0
        rate = max(known.rate * fraction, MIN_RATE)
        return known.bucket.wait(now, rate, 1.0 + rate * BURST_SECONDS)

    def _update(
        self, now: float, instance: InstanceId, rate: float | None, stated_at: float
    ) -> None:
        known = self._limits.get(instance)
        if known is None:
            self._forget_old(now)
            self._limits[instance] = _KnownLimit(rate, stated_at, RateBucket(now, 1.0))
        elif stated_at >= known.stated_at:
            known.rate, known.stated_at = rate, stated_at

    def _forget_old(self, now: float) -> None:
        oldest = now - LIMIT_RETENTION
        self._limits = {
            instance: known for instance, known in self._limits.items() if known.stated_at > oldest
        }
