"""Requests that wait for a place of a model, in the order of their ranks.

Load pattern: one kind of requests arrives at several times its rate for some seconds, and each
refused caller returns once. Without order, the places go to whoever asks first, so a burst of a
less urgent kind displaces a more urgent one. Here a request waits while a place can become free in
time for it, and is refused as soon as it is certain that none does. Ranks share one forecast of
the free places, in order, so a less urgent request never costs a more urgent one its place. Within
a rank, accounts above their weighted max-min share give way first. Refused callers are told when
there is room, spread over what the ranks leave, and come before others that return; new requests go
before them, because these can still be in time.
"""

from collections import Counter
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from jaylatch_core.ids import InstanceId, RequestId
from jaylatch_core.messages.places import (
    PlaceCandidate,
    PlaceDenied,
    PlaceGranted,
    PlaceQueued,
    PlacesFull,
    PlacesHeld,
    PlaceTaken,
    QueueTerms,
    TakePlace,
)
from jaylatch_decisions.admission import Drop, QueuedRequest
from jaylatch_decisions.places.classes import EQUAL_SHARE, ClassQueue, RequestClass
from jaylatch_decisions.places.forecast import PlaceForecast
from jaylatch_decisions.places.returns import ReturnOrder, ReturnSchedule
from jaylatch_decisions.places.table import FoundPlace, PlaceTable

QUEUED_LOAD_LIMIT = 1.0
"""Maximum requests for each slot: one that waits at the target can no longer be overtaken."""
MAX_WAITING = 2048
"""Waiting requests of one class; more are refused. Bounds the memory and the time of a forecast."""
FORECAST_LIFETIME = 0.02
"""Seconds for which the expected ends of requests in flight are not computed anew."""
CANDIDATE_RETENTION = 0.5
"""Seconds for which a target counts as one of the model after a gateway has named it."""

Outcome = PlaceGranted | PlaceDenied


@dataclass(frozen=True)
class _Waiting:
    """A waiting request; ``fraction`` is the part of request limits that may be granted to it."""

    request: TakePlace
    terms: QueueTerms
    since: float
    fraction: float
    candidates: dict[InstanceId, PlaceCandidate]
    targets: tuple[InstanceId, ...]


class PlaceQueue:
    """The waiting requests of one model. Outcomes are returned once, and each ends a wait."""

    def __init__(self, table: PlaceTable, load_limit: float = QUEUED_LOAD_LIMIT) -> None:
        self._table = table
        self._load_limit = load_limit
        self._classes: dict[RequestClass, ClassQueue] = {}
        self._waiting: dict[str, tuple[RequestClass, _Waiting]] = {}
        self._known: dict[InstanceId, tuple[int, float]] = {}
        self._returns = ReturnSchedule()
        self._forecast: tuple[float, PlaceForecast] | None = None
        self._target_sets: Counter[tuple[InstanceId, ...]] = Counter()
        self._last_found = FoundPlace(InstanceId(""), 0.0, 0.0)

    def __len__(self) -> int:
        return len(self._waiting)

    def age(self, now: float) -> float:
        """Return the seconds for which the oldest request has waited."""
        return now - min((item.since for _, item in self._waiting.values()), default=now)

    def offer(
        self, now: float, request: TakePlace, terms: QueueTerms, fraction: float
    ) -> list[Outcome]:
        """Add a request; return the outcomes, which may include its own.

        Less urgent requests that it displaces are refused by the next ``advance``.
        """
        for candidate in request.candidates:
            self._known[candidate.instance] = (candidate.slots, now)
        key = RequestClass(terms.rank, self._returns.take_return(now, request.digest))
        candidates = {item.instance: item for item in request.candidates}
        targets = tuple(candidates)
        # What is free for requests with the same candidates, these have already got.
        may_be_free = targets not in self._target_sets
        self._target_sets[targets] += 1
        waiting = _Waiting(request, terms, now, fraction, candidates, targets)
        self._waiting[request.permit] = (key, waiting)
        due = now + max(terms.max_wait, 0.0)
        work = max(terms.service_time, 1e-3)
        if key not in self._classes:
            self._classes[key] = ClassQueue()
            self._classes = dict(sorted(self._classes.items()))
        class_queue = self._classes[key]
        order = class_queue.order(now, terms.account, due) if len(class_queue.queue) else due
        class_queue.queue.add(
            now,
            QueuedRequest(
                RequestId(request.permit), terms.account, EQUAL_SHARE, work, due + work, work, order
            ),
        )
        granted = self._grant_free(now) if may_be_free else []
        return granted + self._refuse_late(now, key)

    def withdraw(self, permit: str) -> None:
        """Remove a request that no longer waits, if it did."""
        found = self._forget(permit)
        if found is not None:
            self._classes[found[0]].queue.remove(RequestId(permit))

    def _forget(self, permit: str) -> tuple[RequestClass, _Waiting] | None:
        found = self._waiting.pop(permit, None)
        if found is not None:
            targets = found[1].targets
            self._target_sets[targets] -= 1
            if not self._target_sets[targets]:
                del self._target_sets[targets]
        return found

    def position(self, permit: str) -> int:
        """Return the number of requests that go before a waiting one."""
        position = 0
        for class_queue in self._classes.values():
            for item in class_queue.queue:
                if item.id == permit:
                    return position
                position += 1
        return position

    def use_freed(self, now: float, instance: InstanceId) -> list[Outcome]:
        """Grant the places that have become free at one target."""
        granted: list[Outcome] = []
        for waiting in self._in_order():
            candidate = waiting.candidates.get(instance)
            if candidate is None:
                continue
            _, load = self._free_load(now, (candidate,), waiting.fraction)
            if not load:
                break
            granted.append(self._grant(now, waiting, instance, load))
        return granted

    def advance(self, now: float) -> list[Outcome]:
        """Grant free places in order, and refuse the requests that cannot be in time."""
        if not self._waiting:
            return []
        return self._grant_free(now) + self._refuse_late(now)

    def _in_order(self) -> Iterator[_Waiting]:
        for class_queue in self._classes.values():
            for item in class_queue.queue:
                yield self._waiting[item.id][1]

    def _free_load(
        self, now: float, candidates: tuple[PlaceCandidate, ...], fraction: float
    ) -> tuple[InstanceId, float]:
        """Return the best target and its load with one more request, 0 if it may get none."""
        found = self._last_found = self._table.find(now, candidates, fraction)
        is_free = not found.wait and found.load <= self._load_limit
        return found.instance, found.load if is_free else 0.0

    def _grant_free(self, now: float) -> list[Outcome]:
        granted: list[Outcome] = []
        full: set[tuple[InstanceId, ...]] = set()
        for waiting in self._in_order():
            targets = waiting.targets
            if targets in full:
                continue
            instance, load = self._free_load(now, waiting.request.candidates, waiting.fraction)
            if load:
                granted.append(self._grant(now, waiting, instance, load))
            else:
                full.add(targets)
                if len(full) == len(self._target_sets):
                    break
        return granted

    def _grant(
        self, now: float, waiting: _Waiting, instance: InstanceId, load: float
    ) -> PlaceGranted:
        permit = waiting.request.permit
        key, _ = self._waiting[permit]
        self.withdraw(permit)
        terms = waiting.terms
        self._classes[key].count_served(now, terms.account, terms.service_time)
        self._table.grant(now, waiting.request, instance)
        if self._forecast is not None:
            self._forecast[1].occupy(now, terms.service_time)
        return PlaceGranted(permit, instance, load, now - waiting.since)

    def _refuse_late(self, now: float, only: RequestClass | None = None) -> list[Outcome]:
        """Refuse what cannot be in time, rank by rank with the places that the others leave.

        With ``only``, requests of other classes are not refused.
        """
        if not self._waiting:
            return []
        forecast = self._renew_forecast(now)
        left = total = float(forecast.size)
        denied: list[Outcome] = []
        for key, class_queue in self._classes.items():
            if only is not None and key > only:
                break
            queue = class_queue.queue
            class_queue.slots = forecast.slots
            if len(queue) and only in (None, key):
                drops = queue.trim(now, forecast, MAX_WAITING)
            else:
                drops = []
            if only == key and not drops:
                break
            left -= queue.demand(now) if key.order is ReturnOrder.NEW else 0.0
            forecast = forecast.after(now, [item.work for item in queue], left)
            backlog = forecast.first_free(now)
            denied += [self._deny(now, drop, key, backlog, left, total) for drop in drops]
        return denied

    def _renew_forecast(self, now: float) -> PlaceForecast:
        """Return the forecast of the places without the waiting requests."""
        if self._forecast is not None and now < self._forecast[0] + FORECAST_LIFETIME:
            return self._forecast[1]
        oldest = now - CANDIDATE_RETENTION
        self._known = {
            instance: known for instance, known in self._known.items() if known[1] > oldest
        }
        fraction = next(iter(self._waiting.values()))[1].fraction
        free_times: list[float] = []
        for instance, (slots, _) in self._known.items():
            places = int(slots * self._load_limit)
            free_times += self._table.free_times(now, instance, places, fraction)
        works = [waiting.terms.service_time for _, waiting in self._waiting.values()]
        forecast = PlaceForecast(now, free_times, len(free_times), sum(works) / len(works))
        self._forecast = (now, forecast)
        return forecast

    def _deny(
        self, now: float, drop: Drop, key: RequestClass, backlog: float, left: float, total: float
    ) -> PlaceDenied:
        """Refuse a dropped request, and agree on a time of its return."""
        forgotten = self._forget(drop.id)
        assert forgotten is not None
        waiting, found = forgotten[1], self._last_found
        retry_after = self._returns.agree(
            now, waiting.request, waiting.terms, max(backlog, found.wait), left, total
        )
        return PlaceDenied(waiting.request.permit, found.load, drop.reason.value, retry_after)


class PlaceQueues:
    """The places and the waiting requests of all models whose places this process owns.

    Requests without terms, and resumed streams, are answered at once by the table of places.
    """

    def __init__(
        self, table: PlaceTable | None = None, load_limit: float = QUEUED_LOAD_LIMIT
    ) -> None:
        self._table = table or PlaceTable()
        self._load_limit = load_limit
        self._queues: dict[str, PlaceQueue] = {}
        self._models: dict[str, str] = {}
        self._outcomes: list[Outcome] = []

    @property
    def is_empty(self) -> bool:
        """Return whether no request waits."""
        return not any(map(len, self._queues.values()))

    def take(
        self, now: float, request: TakePlace, fraction: float = 1.0
    ) -> PlaceTaken | PlacesFull | PlaceQueued:
        """Grant a place, let the request wait, or refuse it.

        ``fraction`` is the part of each request limit that this process may grant.
        """
        terms = request.queueing
        if terms is None or request.is_resumed or not request.candidates:
            return self._table.take(now, request, fraction)
        if self._table.is_given_back(now, request.permit):
            # The gateway does not wait for the answer to a request that it has given up.
            return PlacesFull(0.0)
        self.release(now, request.permit)
        self._table.record_limits(now, request)
        queue = self._queues.get(terms.model)
        if queue is None:
            queue = self._queues[terms.model] = PlaceQueue(self._table, self._load_limit)
        answer: PlaceTaken | PlacesFull | None = None
        for outcome in queue.offer(now, request, terms, fraction):
            match outcome:
                case PlaceGranted(permit, instance, load) if permit == request.permit:
                    answer = PlaceTaken(instance, load)
                case PlaceDenied(permit, load, reason, retry_after) if permit == request.permit:
                    is_unled = self._table.is_unled(request)
                    answer = PlacesFull(load, 0.0, reason, retry_after, is_unled)
                case _:
                    self._outcomes.append(outcome)
        if answer is None:
            self._models[request.permit] = terms.model
            return PlaceQueued(queue.position(request.permit))
        return answer

    def give_back(self, now: float, permit: str) -> None:
        """Handle a gateway's notice that a request has ended or waits no more."""
        if permit not in self._models:
            self._table.record_notice(now, permit)
        self.release(now, permit)

    def release(self, now: float, permit: str) -> None:
        """Release the place of a request that has ended, or end its waiting."""
        model = self._models.pop(permit, None)
        if model is not None:
            self._queues[model].withdraw(permit)
        instance = self._table.release(permit)
        if instance is not None:
            for queue in self._queues.values():
                if len(queue):
                    self._outcomes += queue.use_freed(now, instance)

    def hold(self, now: float, held: PlacesHeld) -> None:
        """Count places that were granted by another owner."""
        for place in held.places:
            self._table.hold(now, place)

    def advance(self, now: float) -> None:
        """Grant what has become free by time, and refuse what can no longer be in time."""
        for queue in self._queues.values():
            self._outcomes += queue.advance(now)

    def take_outcomes(self) -> list[Outcome]:
        """Return the outcomes of waiting requests since the last call."""
        outcomes, self._outcomes = self._outcomes, []
        for outcome in outcomes:
            self._models.pop(outcome.permit, None)
        return outcomes

    def loads(self, now: float, candidates: Sequence[PlaceCandidate]) -> list[float]:
        """Return the requests for each slot of the targets whose places are counted."""
        return self._table.loads(now, candidates)

    def lengths(self, now: float) -> dict[str, tuple[int, float]]:
        """Return the length of each model's queue, and the age of its oldest request."""
        return {model: (len(queue), queue.age(now)) for model, queue in self._queues.items()}
