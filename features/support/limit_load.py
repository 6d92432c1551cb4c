"""Gateways before targets that state limits: a replay of the decisions alone, with their owners."""

from bisect import bisect_left
from dataclasses import dataclass, field
from itertools import count
from random import Random

from jaylatch_core.ids import InstanceId, RequestDigest
from jaylatch_core.messages.places import PlaceCandidate, PlaceTaken, TakePlace
from jaylatch_decisions.places import STAND_IN_FRACTION, PlaceTable
from jaylatch_decisions.targets import TargetConditions

SECONDS = 40.0
STATED_AT = 5.0
"""When the targets begin to state their limits."""
CONTACT_SECONDS = 3.0
TOLD_SECONDS = 0.5
WINDOW_SECONDS = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
ANSWER_SECONDS = 0.6
SLOTS = 24
OWNERS = 2


@dataclass
class LimitHistory:
    """One history: ``gateways`` with requests from ``busy`` of them, for ``targets`` targets.

    ``arrivals`` are the times of all requests by target, ``told_arrivals`` those from gateways that
    the target had told its limit half a second before or earlier, which alone the rule counts.
    """

    gateways: int
    busy: int
    targets: int
    limit: float
    load: float
    event: str
    seed: int
    arrivals: dict[InstanceId, list[float]] = field(default_factory=dict)
    told_arrivals: dict[InstanceId, list[float]] = field(default_factory=dict)
    refused: int = 0

    def run(self) -> None:
        """Replay the history; ``load`` is the demand as a multiple of the sum of the limits."""
        random = Random(self.seed)
        names = [InstanceId(f"t{number}") for number in range(self.targets)]
        self.arrivals = {name: [] for name in names}
        self.told_arrivals = {name: [] for name in names}
        self._told_at: dict[tuple[int, InstanceId], float] = {}
        self._conditions = [TargetConditions(random) for _ in range(self.gateways)]
        self._owners = [PlaceTable() for _ in range(OWNERS)]
        self._ends: list[tuple[float, int, str]] = []
        self._next_event_at = STATED_AT
        rate = self.load * self.limit * self.targets
        now = 0.0
        for number in count():
            now += random.expovariate(rate)
            if now >= SECONDS:
                break
            if self.event == "callers pause for 6 s again and again" and int(now / 6) % 2:
                continue
            self._disturb(now, random)
            self._release(now)
            self._send(now, random.randrange(self.busy), names, f"p{number}")

    def most_in_window(self) -> int:
        """Return the highest number of requests that a target got in a window of the rule."""
        most = 0
        for times in self.told_arrivals.values():
            judged = [at for at in times if at >= STATED_AT + CONTACT_SECONDS]
            for index, start in enumerate(judged):
                most = max(most, bisect_left(judged, start + WINDOW_SECONDS) - index)
        return most

    def allowed(self) -> float:
        """Return the number of requests that the rule allows in a window."""
        return LIMIT_FACTOR * WINDOW_SECONDS * self.limit + LIMIT_SLACK

    def used(self) -> float:
        """Return the fraction of the limits that was used while they were stated and known."""
        since = STATED_AT + CONTACT_SECONDS
        got = sum(at >= since for times in self.arrivals.values() for at in times)
        return got / ((SECONDS - since) * self.limit * self.targets)

    def _disturb(self, now: float, random: Random) -> None:
        if now < self._next_event_at:
            return
        self._next_event_at = now + 1.0
        match self.event:
            case "the owner restarts each second":
                self._owners[0] = PlaceTable()
            case "a gateway restarts each second":
                self._conditions[random.randrange(self.gateways)] = TargetConditions(random)

    def _owner(self, now: float, gateway: int) -> tuple[PlaceTable, float] | None:
        """Return the owner that answers the gateway, and the part of a limit that it grants."""
        match self.event:
            case "one gateway reaches no owner" if gateway == 0:
                return None
            case "half of the gateways reach no owner" if gateway % 2:
                return None
            case "no owner answers":
                return None
            case "owners answer by turns" if int(now * 4) % 2:
                return None
            case "half of the gateways reach only the second owner" if gateway % 2:
                return self._owners[1], STAND_IN_FRACTION
            case "the first owner is lost":
                return self._owners[int(now >= STATED_AT + 10.0)], 1.0
        return self._owners[0], 1.0

    def _send(self, now: float, gateway: int, names: list[InstanceId], permit: str) -> None:
        conditions = self._conditions[gateway]
        found = self._owner(now, gateway)
        conditions.record_owner(now, found is not None)
        target = None
        if found is None:
            target = next(
                (name for name in names if conditions.take_unshared(now, name, self.gateways)),
                None,
            )
        else:
            owner, fraction = found
            candidates = tuple(
                PlaceCandidate(name, SLOTS, conditions.stated_limit(now, name)) for name in names
            )
            request = TakePlace(permit, candidates, 8.0, RequestDigest(permit), False)
            answer = owner.take(now, request, fraction)
            if isinstance(answer, PlaceTaken):
                target = answer.instance
                self._ends.append((now + ANSWER_SECONDS, self._owners.index(owner), permit))
        if target is None:
            self.refused += 1
            return
        self.arrivals[target].append(now)
        if now >= self._told_at.get((gateway, target), SECONDS) + TOLD_SECONDS:
            self.told_arrivals[target].append(now)
        if now >= STATED_AT:
            self._told_at.setdefault((gateway, target), now)
            conditions.record_limit(now, target, self.limit)

    def _release(self, now: float) -> None:
        while self._ends and self._ends[0][0] <= now:
            _, owner, permit = self._ends.pop(0)
            self._owners[owner].release(permit)
