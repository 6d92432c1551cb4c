"""Callers of a model beyond what its targets can serve, before a table of their places."""

import heapq
from collections import deque
from dataclasses import dataclass, field
from itertools import count
from random import Random

from jaylatch_core.ids import InstanceId, RequestDigest
from jaylatch_core.messages.places import PlaceCandidate, PlaceTaken, TakePlace
from jaylatch_decisions.places import PlaceTable

SLOTS = 24
TARGETS = tuple(PlaceCandidate(InstanceId(name), SLOTS) for name in ("a", "b"))
MEAN_ANSWER_SECONDS = 1.2
FIRST_EVENT_SECONDS = 0.1
OBJECTIVE_SECONDS = 0.25
RETRY_SECONDS = 0.4
VARIATION = 0.5
"""Fraction by which answer times and retry delays vary."""
CALLER_SECONDS = 8.0


@dataclass(order=True)
class Caller:
    """A caller's next step: an arrival, or the end of its answer at ``target``."""

    at: float
    number: int
    arrived_at: float = field(compare=False)
    is_returning: bool = field(default=False, compare=False)
    target: InstanceId | None = field(default=None, compare=False)


@dataclass
class Outcome:
    """Number of callers by what they got."""

    in_time: int = 0
    late: int = 0
    refused: int = 0

    @property
    def served(self) -> int:
        """Return the number of callers with an answer."""
        return self.in_time + self.late


class PlaceLoad:
    """Replays one history of arrivals before ``places``."""

    def __init__(self, places: PlaceTable, load: float, seconds: float, seed: int) -> None:
        self._places = places
        self._random = Random(seed)
        self._steps: list[Caller] = []
        self._busy = {target.instance: 0 for target in TARGETS}
        self._waiting: dict[InstanceId, deque[Caller]] = {
            target.instance: deque() for target in TARGETS
        }
        self.outcome = Outcome()
        rate = load * len(TARGETS) * SLOTS / MEAN_ANSWER_SECONDS
        now = 0.0
        for number in count():
            now += self._random.expovariate(rate)
            if now > seconds:
                break
            heapq.heappush(self._steps, Caller(now, number, now))

    def run(self) -> Outcome:
        """Run until each caller has an answer or was refused for good."""
        while self._steps:
            caller = heapq.heappop(self._steps)
            if caller.target is None:
                self._arrive(caller)
            else:
                self._finish(caller, caller.target)
        return self.outcome

    def _arrive(self, caller: Caller) -> None:
        digest = RequestDigest(str(caller.number))
        request = TakePlace(str(caller.number), TARGETS, CALLER_SECONDS, digest, False)
        answer = self._places.take(caller.at, request)
        if isinstance(answer, PlaceTaken):
            if self._busy[answer.instance] < SLOTS:
                self._start(caller, answer.instance, caller.at)
            else:
                self._waiting[answer.instance].append(caller)
        elif caller.is_returning:
            self.outcome.refused += 1
        else:
            back_at = caller.at + RETRY_SECONDS * self._vary()
            heapq.heappush(self._steps, Caller(back_at, caller.number, caller.arrived_at, True))

    def _start(self, caller: Caller, target: InstanceId, now: float) -> None:
        self._busy[target] += 1
        if now + FIRST_EVENT_SECONDS - caller.arrived_at <= OBJECTIVE_SECONDS:
            self.outcome.in_time += 1
        else:
            self.outcome.late += 1
        ends_at = now + MEAN_ANSWER_SECONDS * self._vary()
        heapq.heappush(
            self._steps, Caller(ends_at, caller.number, caller.arrived_at, False, target)
        )

    def _finish(self, caller: Caller, target: InstanceId) -> None:
        self._places.release(str(caller.number))
        self._busy[target] -= 1
        if self._waiting[target]:
            self._start(self._waiting[target].popleft(), target, caller.at)

    def _vary(self) -> float:
        return 1 + self._random.uniform(-VARIATION, VARIATION)
