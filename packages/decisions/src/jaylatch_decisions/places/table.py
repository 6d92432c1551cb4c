"""Permits to send to a target, counted centrally over all gateways.

Gateways that rely on load reports overload the targets when the load is near or above capacity:
with reports that were a second old, eleven gateways sent 60 to 76 requests to targets of 24 slots,
whose first answers then came after 1.2 s to 1.9 s. The count here is exact except for lost
messages; a place that is never released expires with its request. Times are seconds of the
monotonic clock.

Load pattern: more requests than the targets can serve, for seconds; each refused caller returns
once. If those who return were preferred, they would fill all places as long as the load lasts:
every request would first be refused and then answered late. So new requests come first, which can
still be in time, and those who return get the places that would otherwise stay empty.
"""

from collections import defaultdict
from dataclasses import dataclass

from jaylatch_core.ids import InstanceId, RequestDigest
from jaylatch_core.messages.places import PlaceCandidate, PlacesFull, PlaceTaken, TakePlace
from jaylatch_decisions.places.limits import LimitTable

NEW_REQUEST_LOAD_LIMIT = 1.1
"""Maximum requests for each slot at which a new one is admitted: one in ten waits for a slot, which
becomes free within a tenth of a second."""
RETURNING_REQUEST_LOAD_LIMIT = 1.0
"""The same for a request that was refused before and is late already: it gets a slot that is free,
but makes no new one wait."""
RESUMED_STREAM_LOAD_LIMIT = 2.0
"""The same for a resumed stream, as a refusal fails its caller for good."""
REFUSAL_RETENTION = 4.0
"""Seconds for which a refused request is recognised: callers are asked to return within two."""
MAX_REFUSALS = 4096
"""Refused requests that are remembered; the oldest are dropped first."""


@dataclass(frozen=True)
class PlaceLimits:
    """Maximum requests for each slot of a target, by what is known of the request."""

    new: float = NEW_REQUEST_LOAD_LIMIT
    returning: float = RETURNING_REQUEST_LOAD_LIMIT
    resumed: float = RESUMED_STREAM_LOAD_LIMIT


DEFAULT_LIMITS = PlaceLimits()


class PlaceTable:
    """The permits of the models whose places this process owns."""

    def __init__(
        self, limits: PlaceLimits = DEFAULT_LIMITS, request_limits: LimitTable | None = None
    ) -> None:
        self._load_limits = limits
        self._request_limits = request_limits or LimitTable()
        self._expiries: defaultdict[InstanceId, dict[str, float]] = defaultdict(dict)
        self._holders: dict[str, InstanceId] = {}
        self._refused: dict[RequestDigest, float] = {}

    def take(
        self, now: float, request: TakePlace, fraction: float = 1.0
    ) -> PlaceTaken | PlacesFull:
        """Grant a place at the least loaded candidate below its limit, or report its load.

        ``fraction`` is the part of each limit that this process may grant.
        """
        self.release(request.permit)
        if not request.candidates:
            return PlacesFull(0.0)
        for item in request.candidates:
            self._request_limits.record(now, item)
        waits = {
            item.instance: self._request_limits.wait(now, item.instance, fraction)
            for item in request.candidates
        }
        wait = min(waits.values())
        load, instance = min(
            (self._load_with(now, item), item.instance)
            for item in request.candidates
            if wait > 0 or not waits[item.instance]
        )
        if wait > 0 or load > self._load_limit(now, request):
            self._remember_refusal(now, request.digest)
            return PlacesFull(load, wait)
        self._refused.pop(request.digest, None)
        self._request_limits.take(now, instance)
        self._expiries[instance][request.permit] = now + request.duration
        self._holders[request.permit] = instance
        return PlaceTaken(instance, load)

    def release(self, permit: str) -> None:
        """Release the place of a request that has ended; an unknown permit is ignored."""
        instance = self._holders.pop(permit, None)
        if instance is not None:
            self._expiries[instance].pop(permit, None)

    def _load_with(self, now: float, candidate: PlaceCandidate) -> float:
        """Return the requests for each slot of the target with one more."""
        if not candidate.slots:
            return 0.0
        return (self._count(now, candidate.instance) + 1) / candidate.slots

    def _load_limit(self, now: float, request: TakePlace) -> float:
        if request.is_resumed:
            return self._load_limits.resumed
        refused_at = self._refused.get(request.digest)
        is_returning = refused_at is not None and now < refused_at + REFUSAL_RETENTION
        return self._load_limits.returning if is_returning else self._load_limits.new

    def _count(self, now: float, instance: InstanceId) -> int:
        expiries = self._expiries[instance]
        for permit in [item for item, until in expiries.items() if until <= now]:
            self.release(permit)
        return len(expiries)

    def _remember_refusal(self, now: float, digest: RequestDigest) -> None:
        self._refused.pop(digest, None)
        self._refused[digest] = now
        while len(self._refused) > MAX_REFUSALS:
            del self._refused[next(iter(self._refused))]
