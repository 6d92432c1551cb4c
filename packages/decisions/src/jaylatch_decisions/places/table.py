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
from collections.abc import Sequence
from dataclasses import dataclass
from math import inf

from jaylatch_core.ids import InstanceId, RequestDigest
from jaylatch_core.messages.places import (
    HeldPlace,
    PlaceCandidate,
    PlacesFull,
    PlaceTaken,
    TakePlace,
)
from jaylatch_decisions.places.limits import LimitTable
from jaylatch_decisions.places.notices import EarlyNotices

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
DEFAULT_SERVICE_TIME = 1.0
"""Seconds for which a request without a stated service time is expected to hold its place."""
MAX_REFUSALS = 4096
"""Refused requests that are remembered; the oldest are dropped first."""


@dataclass(frozen=True)
class PlaceLimits:
    """Maximum requests for each slot of a target, by what is known of the request."""

    new: float = NEW_REQUEST_LOAD_LIMIT
    returning: float = RETURNING_REQUEST_LOAD_LIMIT
    resumed: float = RESUMED_STREAM_LOAD_LIMIT


DEFAULT_LIMITS = PlaceLimits()


@dataclass(frozen=True)
class FoundPlace:
    """The least loaded target, with its requests for each slot including the new one.

    ``wait`` is the number of seconds until one has not reached its request limit, 0 if one has not.
    """

    instance: InstanceId
    load: float
    wait: float


@dataclass(frozen=True)
class ExpectedEnd:
    """When a request that got its place at ``granted_at`` is expected to end."""

    granted_at: float
    service_time: float

    @property
    def at(self) -> float:
        """Return the expected end."""
        return self.granted_at + self.service_time


class PlaceTable:
    """The permits of the models whose places this process owns."""

    def __init__(
        self, limits: PlaceLimits = DEFAULT_LIMITS, request_limits: LimitTable | None = None
    ) -> None:
        self._load_limits = limits
        self._request_limits = request_limits or LimitTable()
        self._expiries: defaultdict[InstanceId, dict[str, float]] = defaultdict(dict)
        self._ends: dict[str, ExpectedEnd] = {}
        self._first_expiries: dict[InstanceId, float] = {}
        self._holders: dict[str, InstanceId] = {}
        self._refused: dict[RequestDigest, float] = {}
        self._early_notices = EarlyNotices()

    def take(
        self, now: float, request: TakePlace, fraction: float = 1.0
    ) -> PlaceTaken | PlacesFull:
        """Grant a place at the least loaded candidate below its limit, or report its load.

        ``fraction`` is the part of each limit that this process may grant.
        """
        self.release(request.permit)
        if not request.candidates or self.is_given_back(now, request.permit):
            # The gateway does not wait for the answer to a request that it has given up.
            return PlacesFull(0.0)
        self.record_limits(now, request)
        found = self.find(now, request.candidates, fraction)
        if found.wait > 0 or found.load > self._load_limit(now, request):
            self._remember_refusal(now, request.digest)
            return PlacesFull(found.load, found.wait, is_unled=self.is_unled(request))
        self._refused.pop(request.digest, None)
        self.grant(now, request, found.instance)
        return PlaceTaken(found.instance, found.load)

    def is_unled(self, request: TakePlace) -> bool:
        """Return whether a candidate has a cold rate and this process does not lead."""
        is_leading = self._request_limits.cold.is_leading
        return not is_leading and any(item.cold_rate for item in request.candidates)

    def record_limits(self, now: float, request: TakePlace) -> None:
        """Record the limits of the candidates that the gateway knows."""
        for item in request.candidates:
            self._request_limits.record(now, item)

    def find(
        self, now: float, candidates: tuple[PlaceCandidate, ...], fraction: float
    ) -> FoundPlace:
        """Return the least loaded of the candidates that have not reached their request limits."""
        waits = {
            item.instance: self._request_limits.wait(now, item.instance, fraction)
            for item in candidates
        }
        wait = min(waits.values())
        load, instance = min(
            (self._load_with(now, item), item.instance)
            for item in candidates
            if wait > 0 or not waits[item.instance]
        )
        return FoundPlace(instance, load, wait)

    def grant(self, now: float, request: TakePlace, instance: InstanceId) -> None:
        """Count a place at ``instance`` for the request, and the request by its limit."""
        self._request_limits.take(now, instance)
        work = request.queueing.service_time if request.queueing else DEFAULT_SERVICE_TIME
        self.hold(now, HeldPlace(request.permit, instance, request.duration, work))

    def hold(self, now: float, place: HeldPlace) -> None:
        """Count a place that a request holds already."""
        self.release(place.permit)
        expires_at = now + place.duration
        self._expiries[place.instance][place.permit] = expires_at
        first = self._first_expiries.get(place.instance, expires_at)
        self._first_expiries[place.instance] = min(first, expires_at)
        self._holders[place.permit] = place.instance
        self._ends[place.permit] = ExpectedEnd(now, place.ends_in)

    def give_back(self, now: float, permit: str) -> None:
        """Handle a gateway's notice; one that overtook its request bars the place."""
        self.record_notice(now, permit)
        self.release(permit)

    def record_notice(self, now: float, permit: str) -> None:
        """Bar the place of a request that was given up before it arrived."""
        if permit not in self._holders:
            self._early_notices.record(now, permit)

    def is_given_back(self, now: float, permit: str) -> bool:
        """Return whether the notice that gives a place back has come before its request."""
        return self._early_notices.contains(now, permit)

    def release(self, permit: str) -> InstanceId | None:
        """Release the place of a request that has ended, and return where it was.

        An unknown permit is ignored.
        """
        instance = self._holders.pop(permit, None)
        if instance is not None:
            self._expiries[instance].pop(permit, None)
            self._ends.pop(permit, None)
        return instance

    def free_times(
        self, now: float, instance: InstanceId, slots: int, fraction: float
    ) -> list[float]:
        """Return when each of the target's ``slots`` places is expected to be free, in order.

        A time in the past is that of a request that is overdue.
        """
        count = self._count(now, instance)
        ends = sorted(self._ends[permit].at for permit in self._expiries[instance])
        times = [now] * max(slots - count, 0) + ends[max(count - slots, 0) :]
        earliest = now + self._request_limits.wait(now, instance, fraction)
        return [max(time, earliest) for time in times] if earliest > now else times

    def loads(self, now: float, candidates: Sequence[PlaceCandidate]) -> list[float]:
        """Return the requests for each slot of the targets whose places are counted."""
        return [self._count(now, item.instance) / item.slots for item in candidates if item.slots]

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
        # Places are released long before they expire, so that few calls have to look at each.
        if expiries and self._first_expiries[instance] <= now:
            for permit in [item for item, until in expiries.items() if until <= now]:
                self.release(permit)
            self._first_expiries[instance] = min(expiries.values(), default=inf)
        return len(expiries)

    def _remember_refusal(self, now: float, digest: RequestDigest) -> None:
        self._refused.pop(digest, None)
        self._refused[digest] = now
        while len(self._refused) > MAX_REFUSALS:
            del self._refused[next(iter(self._refused))]
