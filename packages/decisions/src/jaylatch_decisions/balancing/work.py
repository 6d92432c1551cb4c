"""Expected work at each target, counted by one process for the requests that it sends or permits.

Load pattern: many gateways send to few targets, and each gateway alone sees too few answers to know
their load or pace. The owner of the places counts for all gateways with this table, and a gateway
without an owner counts for itself. Times are seconds of the monotonic clock.
"""

from collections import defaultdict
from dataclasses import dataclass

from jaylatch_core.ids import InstanceId
from jaylatch_decisions.balancing.pace import MAX_RATIO, PaceTable

SWEEP_INTERVAL = 0.1
"""Seconds between two searches for expired requests. These are rare: their end was not told."""
OVERDUE_RATIO = 2.0
"""Multiple of its mean duration after which a request in flight shows that its target is slow. No
complete answer shows it while the target is paused."""


@dataclass(frozen=True)
class _InFlight:
    instance: InstanceId
    kind: str
    started_at: float
    expires_at: float


class WorkTable:
    """Requests in flight at targets, and the learned pace of these."""

    def __init__(self) -> None:
        self._paces = PaceTable()
        self._in_flight: dict[str, _InFlight] = {}
        self._by_instance: defaultdict[InstanceId, dict[str, _InFlight]] = defaultdict(dict)
        self._swept_at = 0.0

    def __contains__(self, permit: str) -> bool:
        return permit in self._in_flight

    def start(
        self, now: float, permit: str, instance: InstanceId, kind: str, expires_at: float
    ) -> None:
        """Count a request until it ends, at the latest until ``expires_at``."""
        self.abandon(permit)
        item = _InFlight(instance, kind, now, expires_at)
        self._in_flight[permit] = item
        self._by_instance[instance][permit] = item

    def finish(self, now: float, permit: str) -> None:
        """Record the complete answer of a request."""
        item = self._in_flight.get(permit)
        if item is not None:
            self._paces.record(now, item.instance, item.kind, now - item.started_at)
            self.abandon(permit)

    def abandon(self, permit: str) -> None:
        """Count a request no longer that ended without a complete answer, if it is counted."""
        item = self._in_flight.pop(permit, None)
        if item is not None:
            at_instance = self._by_instance[item.instance]
            del at_instance[permit]
            if not at_instance:
                del self._by_instance[item.instance]

    def count(self, now: float, instance: InstanceId) -> int:
        """Return the number of requests in flight at a target."""
        if now >= self._swept_at + SWEEP_INTERVAL:
            self._swept_at = now
            for permit in [key for key, item in self._in_flight.items() if item.expires_at <= now]:
                self.abandon(permit)
        return len(self._by_instance.get(instance, ()))

    def pace(self, now: float, instance: InstanceId) -> float:
        """Return the factor on durations at a target, with the age of its oldest request."""
        learned = self._paces.pace(now, instance)
        oldest = next(iter(self._by_instance.get(instance, {}).values()), None)
        if oldest is None:
            return learned
        overdue = (now - oldest.started_at) / max(self._paces.mean(oldest.kind), 1e-6)
        return max(learned, min(overdue, MAX_RATIO)) if overdue > OVERDUE_RATIO else learned

    @property
    def mean_duration(self) -> float:
        """Return the mean duration of all requests, 0 if none has ended."""
        return self._paces.overall_mean
