"""Callers of one model with a burst of one kind, before an owner of its places."""

import heapq
from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from random import Random
from typing import Protocol

from jaylatch_core.deployment import EngineProfile, ModelProfile
from jaylatch_core.ids import AccountId, InstanceId, RequestDigest
from jaylatch_core.messages.places import (
    PlaceCandidate,
    PlaceDenied,
    PlaceGranted,
    PlaceQueued,
    PlacesFull,
    PlaceTaken,
    QueueTerms,
    TakePlace,
)
from jaylatch_decisions.places import PlaceQueues, PlaceTable, ServiceTimes
from jaylatch_decisions.places.queue import Outcome
from jaylatch_decisions.places.service_times import ExpectedTimes, compute_times

MODEL = "m"
SLOTS = 24
ENGINE = EngineProfile(
    SLOTS, (ModelProfile(MODEL, 8, 1.0, 1.1),), step_time=0.02, sequence_time=0.0003, read_rate=20e3
)
GROUPS = tuple(PlaceCandidate(InstanceId(f"g{number}"), SLOTS) for number in range(6))
BURST_STARTS = 6.0
BURST_SECONDS = 4.0
TOTAL_SECONDS = 20.0
FOLLOWED_FRACTION = 1 / 3
"""Part of the time that a caller has left for which it follows a delay."""
TICK_SECONDS = 0.02
RELEASE_DELAY = 0.002
"""Seconds from the end of an answer until the owner hears of it."""
FULL_RETRY = 0.4
RETRY_JITTER = 0.5
MIN_WAIT_FRACTION = 0.25
TIME_VARIATION = 0.25
"""Largest relative error of the expected time of one answer."""
LARGE_ACCOUNTS = 3
ACCOUNTS = 24
LARGE_WEIGHT = 7.0
"""Requests of a large account for each of a small one: the three send half of all."""
WEIGHTS = (LARGE_WEIGHT,) * LARGE_ACCOUNTS + (1.0,) * (ACCOUNTS - LARGE_ACCOUNTS)
LARGE_PROMPT_PART = 0.1


@dataclass(frozen=True)
class Kind:
    """A kind of requests: rate in requests/s, latency objective and time limit in seconds."""

    name: str
    rank: int
    rate: float
    objective: float
    timeout: float


@dataclass
class Call:
    """One request of a caller."""

    number: int
    kind: Kind
    account: AccountId
    prompt_tokens: int
    answer_tokens: int
    arrived_at: float
    is_large: bool
    is_returning: bool = False
    asked_at: float = 0.0
    granted_at: float = 0.0
    expected: float = 0.0

    @property
    def permit(self) -> str:
        """Return the permit of this send."""
        return f"{self.number}/{int(self.is_returning)}"


@dataclass
class Tally:
    """Number of requests by what became of them."""

    offered: int = 0
    in_time: int = 0
    late: int = 0
    refused_once: int = 0
    refused_twice: int = 0

    @property
    def served(self) -> int:
        """Return the number of answers."""
        return self.in_time + self.late

    @property
    def part_served(self) -> float:
        """Return the part of the requests that were answered."""
        return self.served / max(self.offered, 1)


class Owner(Protocol):
    """What the replay needs of an owner of places."""

    def take(self, now: float, request: TakePlace) -> PlaceTaken | PlacesFull | PlaceQueued: ...

    def release(self, now: float, permit: str) -> None: ...

    def advance(self, now: float) -> None: ...

    def take_outcomes(self) -> list[Outcome]: ...


class PresentTable:
    """The owner for services without ranks: it answers at once."""

    def __init__(self) -> None:
        self._table = PlaceTable()

    def take(self, now: float, request: TakePlace) -> PlaceTaken | PlacesFull | PlaceQueued:
        """Answer at once."""
        return self._table.take(now, request)

    def release(self, now: float, permit: str) -> None:
        """Release a place."""
        self._table.release(permit)

    def advance(self, now: float) -> None:
        """Do nothing: nothing waits."""

    def take_outcomes(self) -> list[Outcome]:
        """Return nothing."""
        return []


class FirstCome:
    """An owner at which requests wait in the order of arrival, each until it would be late."""

    def __init__(self) -> None:
        self._table = PlaceTable()
        self._waiting: deque[tuple[float, TakePlace]] = deque()
        self._outcomes: list[Outcome] = []

    def take(self, now: float, request: TakePlace) -> PlaceTaken | PlacesFull | PlaceQueued:
        """Grant a place if none waits and one is free."""
        found = self._table.find(now, request.candidates, 1.0)
        if not self._waiting and found.load <= 1.0:
            self._table.grant(now, request, found.instance)
            return PlaceTaken(found.instance, found.load)
        assert request.queueing is not None
        self._waiting.append((now + request.queueing.max_wait, request))
        return PlaceQueued(len(self._waiting))

    def release(self, now: float, permit: str) -> None:
        """Release a place, and grant it to the next one."""
        self._table.release(permit)
        self.advance(now)

    def advance(self, now: float) -> None:
        """Refuse those that are late, and grant what is free."""
        while self._waiting:
            due, request = self._waiting[0]
            found = self._table.find(now, request.candidates, 1.0)
            if now > due:
                retry = FULL_RETRY * (1 + RETRY_JITTER * (int(request.digest) % 100 / 50 - 1))
                self._outcomes.append(PlaceDenied(request.permit, found.load, "late", retry))
            elif found.load <= 1.0:
                self._table.grant(now, request, found.instance)
                self._outcomes.append(PlaceGranted(request.permit, found.instance, found.load))
            else:
                return
            self._waiting.popleft()

    def take_outcomes(self) -> list[Outcome]:
        """Return the outcomes since the last call."""
        outcomes, self._outcomes = self._outcomes, []
        return outcomes


Rate = Callable[[Kind, float], float]


@dataclass
class QueueLoad:
    """Replays one history of arrivals before ``owner``."""

    owner: Owner
    kinds: tuple[Kind, ...]
    burst_kind: str
    burst_factor: float
    seed: int
    weights: tuple[float, ...] = WEIGHTS
    by_kind: dict[str, Tally] = field(default_factory=lambda: defaultdict(Tally))
    by_account: dict[AccountId, Tally] = field(default_factory=lambda: defaultdict(Tally))
    large: dict[str, Tally] = field(default_factory=lambda: defaultdict(Tally))
    longest_wait: float = 0.0
    waits_beyond: int = 0
    errors: list[float] = field(default_factory=list)

    def run(self) -> "QueueLoad":
        """Run until each caller has an answer or was refused twice."""
        self._random = Random(self.seed)
        self._order = count()
        self._steps: list[tuple[float, int, Callable[[float], None]]] = []
        self._busy = {group.instance: 0 for group in GROUPS}
        self._inside: dict[InstanceId, deque[Call]] = {item.instance: deque() for item in GROUPS}
        self._waiting: dict[str, Call] = {}
        self._times = ServiceTimes()
        self._add_arrivals()
        self._at(0.0, self._tick)
        while self._steps:
            now, _, step = heapq.heappop(self._steps)
            step(now)
            self._handle_outcomes(now)
        return self

    def _at(self, time: float, step: Callable[[float], None]) -> None:
        heapq.heappush(self._steps, (time, next(self._order), step))

    def _add_arrivals(self) -> None:
        weights = self.weights
        numbers = count()
        for kind in self.kinds:
            now = 0.0
            fastest = kind.rate * self.burst_factor
            while (now := now + self._random.expovariate(fastest)) < TOTAL_SECONDS:
                is_burst = BURST_STARTS <= now < BURST_STARTS + BURST_SECONDS
                is_fast = is_burst and kind.name == self.burst_kind
                if not is_fast and self._random.random() > 1 / self.burst_factor:
                    continue
                is_large = self._random.random() < LARGE_PROMPT_PART
                prompt = self._random.randint(2200, 3000) if is_large else 200
                prompt += self._random.randint(0, 600)
                account = AccountId(f"a{self._random.choices(range(ACCOUNTS), weights)[0]}")
                answer = self._random.randint(20, 60)
                call = Call(next(numbers), kind, account, prompt, answer, now, is_large)
                for tally in self._tallies(call):
                    tally.offered += 1
                self._at(now, lambda at, call=call: self._arrive(at, call))

    def _tallies(self, call: Call) -> list[Tally]:
        tallies = [self.by_kind[call.kind.name], self.by_account[call.account]]
        return [*tallies, self.large[call.kind.name]] if call.is_large else tallies

    def _arrive(self, now: float, call: Call) -> None:
        call.asked_at = now
        times = self._times.expect(ENGINE, MODEL, call.prompt_tokens, call.answer_tokens)
        objective = call.kind.objective
        max_wait = max(objective - times.first_token, objective * MIN_WAIT_FRACTION)
        terms = QueueTerms(call.kind.rank, call.account, max_wait, times.service, MODEL)
        call.expected = times.service
        left = call.kind.timeout - (now - call.arrived_at)
        digest = RequestDigest(str(call.number))
        request = TakePlace(call.permit, GROUPS, left + 0.5, digest, queueing=terms)
        match self.owner.take(now, request):
            case PlaceTaken(instance, _):
                self._granted(now, call, instance)
            case PlaceQueued():
                self._waiting[call.permit] = call
            case PlacesFull(_, _, _, retry_after):
                jitter = FULL_RETRY * (1 + self._random.uniform(-RETRY_JITTER, RETRY_JITTER))
                self._refused(now, call, retry_after or jitter)

    def _handle_outcomes(self, now: float) -> None:
        for outcome in self.owner.take_outcomes():
            call = self._waiting.pop(outcome.permit)
            waited = now - call.asked_at
            self.longest_wait = max(self.longest_wait, waited)
            self.waits_beyond += waited > call.kind.objective + TICK_SECONDS
            match outcome:
                case PlaceGranted(_, instance, _):
                    self._granted(now, call, instance)
                case PlaceDenied(_, _, _, retry_after):
                    self._refused(now, call, retry_after)

    def _refused(self, now: float, call: Call, retry_after: float) -> None:
        for tally in self._tallies(call):
            tally.refused_once += not call.is_returning
            tally.refused_twice += call.is_returning
        if not call.is_returning:
            call.is_returning = True
            left = call.kind.timeout - (now - call.arrived_at)
            delay = min(retry_after, left * FOLLOWED_FRACTION)
            self._at(now + delay, lambda at: self._arrive(at, call))

    def _granted(self, now: float, call: Call, instance: InstanceId) -> None:
        call.granted_at = now
        if self._busy[instance] < SLOTS:
            self._start(now, call, instance)
        else:
            self._inside[instance].append(call)

    def _start(self, now: float, call: Call, instance: InstanceId) -> None:
        self._busy[instance] += 1
        factor = 1 + self._random.uniform(-TIME_VARIATION, TIME_VARIATION)
        times = compute_times(ENGINE, MODEL, call.prompt_tokens, call.answer_tokens)
        is_in_time = now + times.first_token - call.arrived_at <= call.kind.objective
        for tally in self._tallies(call):
            tally.in_time += is_in_time
            tally.late += not is_in_time
        took = times.service * factor
        self._at(now + took, lambda at: self._finish(at, call, instance, times.first_token))

    def _finish(self, now: float, call: Call, instance: InstanceId, first_token: float) -> None:
        measured = ExpectedTimes(first_token, now - call.granted_at)
        self.errors.append(abs(call.expected - measured.service) / measured.service)
        self._times.record(ENGINE, MODEL, call.prompt_tokens, call.answer_tokens, measured)
        self._busy[instance] -= 1
        if self._inside[instance]:
            self._start(now, self._inside[instance].popleft(), instance)
        self._at(now + RELEASE_DELAY, lambda at: self.owner.release(at, call.permit))

    def _tick(self, now: float) -> None:
        self.owner.advance(now)
        if now < TOTAL_SECONDS + 10.0:
            self._at(now + TICK_SECONDS, self._tick)


OWNERS: dict[str, Callable[[], Owner]] = {
    "queue by rank": PlaceQueues,
    "present table": PresentTable,
    "first-come order": FirstCome,
}
