"""Simulation of the choices of many gateways between targets, without a network.

Each target serves its requests in order on its slots. A gateway knows its own requests, the load
that the answers to it report, and in some cases reports of all targets with a given age. Policies
that count for all gateways decide after a message delay.
"""

import heapq
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from hashlib import blake2b
from random import Random

from jaylatch_core.ids import FailureDomainId, InstanceId
from jaylatch_decisions.balancing import Candidate, GatewayBalancer, WorkTable, least_work
from jaylatch_decisions.targets import TargetLoad, choose_target

DOMAIN = FailureDomainId("d")
NETWORK_SECONDS = 0.001
"""One-way delay between a gateway and a target."""
OWNER_SECONDS = 0.001
"""One-way delay between a gateway and the process that counts for all."""
OWNER_TIMEOUT = 0.025
"""Seconds for which a gateway waits for an owner that does not answer, once in each pause."""
OWNER_PAUSE = 1.0
SAMPLE_SECONDS = 0.01
REPORT_INTERVAL = 0.1
"""Seconds between two reports of all targets in cases with reports of a given age."""
WARM_UP_SECONDS = 1.0
EXPIRY_SECONDS = {"plain": 2.0, "streams": 8.5}
"""Seconds after which a request is no longer counted: half a second after its caller's timeout."""
TELL_INTERVAL = 0.2
LAST_SECONDS = 5.0
EVENT_START = 4.0
EVENT_END = 7.0
PAUSE_SECONDS = 1.0
GREY_SHARE = 0.3
GREY_FACTOR = 8.0
SLOW_FACTOR = 3.0


@dataclass(frozen=True)
class Kind:
    """Requests of one kind: the range of their durations, and the part of all requests."""

    name: str
    low: float
    high: float
    weight: float

    @property
    def mean(self) -> float:
        """Return the mean duration."""
        return (self.low + self.high) / 2


PLAIN_KINDS = (Kind("lookup", 0.015, 0.045, 0.3), Kind("booking", 0.04, 0.09, 0.7))
STREAM_KINDS = (Kind("answer", 0.3, 1.2, 0.8), Kind("digest", 0.8, 2.4, 0.2))


@dataclass(frozen=True)
class Case:
    """A load before targets. ``use`` is the part of the slots that is needed in the mean.

    ``report_age`` 0: reports come only with own answers. ``event``: steady, burst, slow, grey,
    paused, appears or vanishes; it concerns the first target between seconds 4 and 7.
    """

    gateways: int
    paces: tuple[float, ...]
    slots: int
    use: float
    report_age: float = 0.0
    event: str = "steady"
    owner_lost: bool = False
    kinds: tuple[Kind, ...] = PLAIN_KINDS
    seconds: float = 10.0

    @property
    def expiry(self) -> float:
        """Return the seconds after which a request is no longer counted."""
        return EXPIRY_SECONDS["plain" if self.kinds is PLAIN_KINDS else "streams"]


@dataclass
class Request:
    """One request; ``work`` is its duration at a target of pace 1."""

    number: int
    gateway: int
    kind: Kind
    work: float
    at: float
    target: int = -1
    sent_at: float = 0.0


@dataclass
class Target:
    """A target's slots and queue. ``busy`` and ``queue`` hold what it has received."""

    instance: InstanceId
    slots: int
    pace: float
    is_listed: bool = True
    is_paused: bool = False
    factor: float = 1.0
    is_grey: bool = False
    busy: int = 0
    queue: deque[Request] = field(default_factory=deque)
    held: list[Request] = field(default_factory=list)

    @property
    def load(self) -> int:
        """Return the requests that run or wait."""
        return self.busy + len(self.queue)


@dataclass
class Result:
    """Measures of one run. ``largest`` is the largest load over the mean, both times the pace.

    ``idle`` is the number of seconds in which a target that could serve had half of its slots free
    while requests waited at another, ``idle_stretch`` the longest of these without a break.
    ``messages`` are those between instances. ``last_share`` is what the first target got in the
    last seconds, relative to an even share.
    """

    largest: float
    idle: float
    idle_stretch: float
    p99: float
    counts: dict[str, int]
    messages: int = 0
    last_share: float = 0.0


class Policy:
    """What all gateways of a run use to choose. The base class chooses at random."""

    owner_delay = 0.0
    answer_delay = 0.0

    def __init__(self, case: Case, random: Random) -> None:
        self.random = random
        self.case = case
        self.messages = 0

    def choose(self, now: float, gateway: int, request: Request, listed: list[Target]) -> Target:
        """Return the target of a request."""
        return self.random.choice(listed)

    def sent(self, now: float, request: Request, target: Target) -> None:
        """Learn that a request goes to a target."""

    def answered(self, now: float, request: Request, target: Target, load: int) -> None:
        """Learn of a complete answer that reports a load."""

    def reported(self, now: float, target: Target, load: int, age: float) -> None:
        """Learn of a report to all gateways that is some seconds old."""


class Reported(Policy):
    """Today's choice: the least of the own requests and the decaying report."""

    def __init__(self, case: Case, random: Random) -> None:
        super().__init__(case, random)
        self.loads: list[dict[InstanceId, TargetLoad]] = [{} for _ in range(case.gateways)]

    def _load(self, gateway: int, target: Target) -> TargetLoad:
        known = self.loads[gateway]
        if target.instance not in known:
            known[target.instance] = TargetLoad(target.instance, target.slots, DOMAIN)
        return known[target.instance]

    def choose(self, now: float, gateway: int, request: Request, listed: list[Target]) -> Target:
        by_id = {item.instance: item for item in listed}
        chosen = choose_target(
            now, [self._load(gateway, item) for item in listed], DOMAIN, self.random
        )
        assert chosen is not None
        return by_id[chosen.instance]

    def sent(self, now: float, request: Request, target: Target) -> None:
        self._load(request.gateway, target).own_in_flight += 1

    def answered(self, now: float, request: Request, target: Target, load: int) -> None:
        known = self._load(request.gateway, target)
        # As in the gateway, the report is taken while the request still counts.
        known.record_report(now, load)
        known.own_in_flight -= 1

    def reported(self, now: float, target: Target, load: int, age: float) -> None:
        for gateway in range(self.case.gateways):
            self._load(gateway, target).record_report(now, load)


class LeastLoaded(Reported):
    """Plain least-loaded: the least of the last reports as they are."""

    def _weight(self, gateway: int, target: Target) -> tuple[float, float]:
        return self._load(gateway, target).reported / target.slots, self.random.random()

    def choose(self, now: float, gateway: int, request: Request, listed: list[Target]) -> Target:
        return min(listed, key=lambda item: self._weight(gateway, item))


class TwoChoices(LeastLoaded):
    """The lesser of the last reports of two random targets."""

    def choose(self, now: float, gateway: int, request: Request, listed: list[Target]) -> Target:
        return super().choose(
            now, gateway, request, self.random.sample(listed, min(2, len(listed)))
        )


class OwnWork(Policy):
    """Expected work of all candidates, as counted by each gateway for itself."""

    sample_size: int | None = None
    subset_size = 0

    def __init__(self, case: Case, random: Random) -> None:
        super().__init__(case, random)
        self.balancers = [GatewayBalancer(random) for _ in range(case.gateways)]

    def choose(self, now: float, gateway: int, request: Request, listed: list[Target]) -> Target:
        if self.subset_size and len(listed) > self.subset_size:
            start = gateway * self.subset_size % len(listed)
            listed = (listed + listed)[start : start + self.subset_size]
        if self.sample_size is not None:
            listed = self.random.sample(listed, min(self.sample_size, len(listed)))
        chosen = self.balancers[gateway].choose(now, describe(listed), DOMAIN)
        return next(item for item in listed if item.instance == chosen)

    def sent(self, now: float, request: Request, target: Target) -> None:
        self.balancers[request.gateway].start(
            now, str(request.number), target.instance, request.kind.name, now + self.case.expiry
        )

    def answered(self, now: float, request: Request, target: Target, load: int) -> None:
        self.balancers[request.gateway].record_report(now, target.instance, load)
        self.balancers[request.gateway].finish(now, str(request.number))

    def reported(self, now: float, target: Target, load: int, age: float) -> None:
        for balancer in self.balancers:
            balancer.record_report(now, target.instance, load, age)


class OwnWorkTwo(OwnWork):
    """The same over two random candidates."""

    sample_size = 2


class OwnWorkSubset(OwnWork):
    """The same over a fixed third of the targets for each gateway, at least two."""

    def __init__(self, case: Case, random: Random) -> None:
        super().__init__(case, random)
        self.subset_size = max(len(case.paces) // 3, 2)


class OwnWorkHashed(OwnWork):
    """The same over a third of the targets, at least three, by hashes of gateway and target."""

    def choose(self, now: float, gateway: int, request: Request, listed: list[Target]) -> Target:
        size = max(len(listed) // 3, 3)
        ranked = sorted(
            listed, key=lambda item: blake2b(f"{gateway}/{item.instance}".encode()).digest()
        )
        return super().choose(now, gateway, request, ranked[:size])


class ToldWork(OwnWork):
    """Each gateway tells the others every 0.2 s what it has in flight; two random candidates."""

    sample_size = 2

    def __init__(self, case: Case, random: Random) -> None:
        super().__init__(case, random)
        self._told_at = 0.0

    def choose(self, now: float, gateway: int, request: Request, listed: list[Target]) -> Target:
        if now >= self._told_at + TELL_INTERVAL:
            self._told_at = now
            self.messages += self.case.gateways * (self.case.gateways - 1)
            for target in listed:
                total = sum(item.count(now, target.instance) for item in self.balancers)
                for balancer in self.balancers:
                    balancer.record_report(now, target.instance, total)
        return super().choose(now, gateway, request, listed)

    def answered(self, now: float, request: Request, target: Target, load: int) -> None:
        self.balancers[request.gateway].finish(now, str(request.number))


class OwnerWork(OwnWork):
    """One process counts for all gateways; without it each falls back to its own work."""

    owner_delay = OWNER_SECONDS

    def __init__(self, case: Case, random: Random) -> None:
        super().__init__(case, random)
        self.table = WorkTable()
        self._asks_from = [0.0] * case.gateways

    def _is_lost(self, now: float) -> bool:
        return self.case.owner_lost and EVENT_START <= now < EVENT_END

    def choose(self, now: float, gateway: int, request: Request, listed: list[Target]) -> Target:
        self.answer_delay = OWNER_SECONDS
        if self._is_lost(now):
            is_asked = now >= self._asks_from[gateway]
            self.answer_delay = OWNER_TIMEOUT if is_asked else -OWNER_SECONDS
            if is_asked:
                self._asks_from[gateway] = now + OWNER_PAUSE
            return super().choose(now, gateway, request, listed)
        chosen = self.decide(now, listed)
        self.messages += 3
        expires_at = now + self.case.expiry
        self.table.start(now, str(request.number), chosen, request.kind.name, expires_at)
        return next(item for item in listed if item.instance == chosen)

    def decide(self, now: float, listed: list[Target]) -> InstanceId:
        """Return the choice of the process that counts."""
        candidates = self.random.sample(describe(listed), len(listed))
        return least_work(now, self.table, candidates)[0]

    def answered(self, now: float, request: Request, target: Target, load: int) -> None:
        super().answered(now, request, target, load)
        if not self._is_lost(now):
            self.table.finish(now, str(request.number))


class OwnerRemaining(OwnerWork):
    """The owner knows the exact work that each request has left, and the pace of each target."""

    def __init__(self, case: Case, random: Random) -> None:
        super().__init__(case, random)
        self.left: dict[str, dict[int, tuple[float, float]]] = {}

    def decide(self, now: float, listed: list[Target]) -> InstanceId:
        return min((self._work(now, item), self.random.random(), item.instance) for item in listed)[
            2
        ]

    def sent(self, now: float, request: Request, target: Target) -> None:
        super().sent(now, request, target)
        duration = request.work * target.pace
        self.left.setdefault(target.instance, {})[request.number] = (now + duration, duration)

    def answered(self, now: float, request: Request, target: Target, load: int) -> None:
        super().answered(now, request, target, load)
        del self.left[target.instance][request.number]

    def _work(self, now: float, target: Target) -> float:
        known = self.left.get(target.instance, {}).values()
        return sum(max(end - now, 0.1 * whole) for end, whole in known) / target.slots


class OwnerCount(OwnerWork):
    """One process counts for all gateways, without the pace of the targets."""

    def decide(self, now: float, listed: list[Target]) -> InstanceId:
        return min(
            (self.table.count(now, item.instance) / item.slots, self.random.random(), item.instance)
            for item in listed
        )[2]


def describe(listed: list[Target]) -> list[Candidate]:
    """Return the targets as candidates."""
    return [Candidate(item.instance, item.slots, DOMAIN) for item in listed]


POLICIES: dict[str, Callable[[Case, Random], Policy]] = {
    "reported load (before)": Reported,
    "random": Policy,
    "least loaded": LeastLoaded,
    "two choices": TwoChoices,
    "own work": OwnWork,
    "own work, two": OwnWorkTwo,
    "own work, subset": OwnWorkSubset,
    "own work, hashed": OwnWorkHashed,
    "told every 0.2 s": ToldWork,
    "owner, count": OwnerCount,
    "owner, work left": OwnerRemaining,
    "owner, work": OwnerWork,
}


class EvenLoad:
    """Replays one seeded history of arrivals with a policy."""

    def __init__(self, case: Case, policy: str, seed: int) -> None:
        self._case = case
        # The arrivals of a seed are the same for all policies.
        self._arrivals = Random(f"arrivals {seed}")
        self._random = Random(f"policy {seed}")
        self._policy = POLICIES[policy](case, self._random)
        self._targets = [
            Target(InstanceId(f"t{n}"), case.slots, pace) for n, pace in enumerate(case.paces)
        ]
        self._steps: list[tuple[float, int, Callable[[], None]]] = []
        self._order = 0
        self._now = 0.0
        self._waits: list[float] = []
        self._counts = {item.instance: 0 for item in self._targets}
        self._last_counts = dict(self._counts)
        self._sum_of_means = self._sum_of_largest = 0.0
        self._idle = self._stretch = self._longest = 0.0

    def run(self) -> Result:
        """Run the case until all requests are answered."""
        case = self._case
        self._schedule_arrivals()
        self._schedule_events()
        for n in range(int(case.seconds / SAMPLE_SECONDS)):
            self._at(n * SAMPLE_SECONDS, self._sample)
        if case.report_age:
            for n in range(int(case.seconds / REPORT_INTERVAL)):
                self._at(n * REPORT_INTERVAL, self._report)
        while self._steps:
            self._now, _, step = heapq.heappop(self._steps)
            step()
        waits = sorted(self._waits)
        return Result(
            self._sum_of_largest / max(self._sum_of_means, 1e-9),
            self._idle,
            self._longest,
            waits[int(len(waits) * 0.99)],
            dict(self._counts),
            self._policy.messages,
            self._last_counts[self._targets[0].instance]
            * len(self._targets)
            / max(sum(self._last_counts.values()), 1),
        )

    def _at(self, time: float, step: Callable[[], None]) -> None:
        self._order += 1
        heapq.heappush(self._steps, (time, self._order, step))

    def _schedule_arrivals(self) -> None:
        case, random = self._case, self._arrivals
        mean = sum(kind.mean * kind.weight for kind in case.kinds)
        capacity = case.slots * sum(1 / pace for pace in case.paces) / mean
        now, number = 0.0, 0
        while now < case.seconds:
            is_burst = case.event == "burst" and EVENT_START <= now < EVENT_END
            now += random.expovariate(case.use * capacity * (3.0 if is_burst else 1.0))
            kind = random.choices(case.kinds, [item.weight for item in case.kinds])[0]
            work = random.uniform(kind.low, kind.high)
            request = Request(number, random.randrange(case.gateways), kind, work, now)
            number += 1
            self._at(now + self._policy.owner_delay, self._step(self._choose, request))

    def _schedule_events(self) -> None:
        first = self._targets[0]

        def change(**values: object) -> Callable[[], None]:
            def step() -> None:
                for name, value in values.items():
                    setattr(first, name, value)
                self._start_queued(first)

            return step

        match self._case.event:
            case "slow":
                self._at(EVENT_START, change(factor=SLOW_FACTOR))
                self._at(EVENT_END, change(factor=1.0))
            case "grey":
                self._at(EVENT_START, change(is_grey=True))
                self._at(EVENT_END, change(is_grey=False))
            case "paused":
                self._at(EVENT_START, change(is_paused=True))
                self._at(EVENT_START + PAUSE_SECONDS, lambda: self._resume(first))
            case "vanishes":
                self._at(EVENT_START, change(is_listed=False))
                self._at(EVENT_END, change(is_listed=True))
            case "appears":
                first.is_listed = False
                self._at(EVENT_START, change(is_listed=True))

    def _step(self, method: Callable[[Request], None], request: Request) -> Callable[[], None]:
        return lambda: method(request)

    def _choose(self, request: Request) -> None:
        listed = [item for item in self._targets if item.is_listed]
        target = self._policy.choose(self._now, request.gateway, request, listed)
        request.target = self._targets.index(target)
        request.sent_at = self._now + self._policy.answer_delay
        self._policy.sent(self._now, request, target)
        self._counts[target.instance] += 1
        if self._now >= self._case.seconds - LAST_SECONDS:
            self._last_counts[target.instance] += 1
        self._at(request.sent_at + NETWORK_SECONDS, self._step(self._receive, request))

    def _receive(self, request: Request) -> None:
        target = self._targets[request.target]
        target.queue.append(request)
        self._start_queued(target)

    def _start_queued(self, target: Target) -> None:
        while target.queue and target.busy < target.slots and not target.is_paused:
            request = target.queue.popleft()
            target.busy += 1
            is_grey = target.is_grey and self._random.random() < GREY_SHARE
            factor = target.factor * (GREY_FACTOR if is_grey else 1.0)
            duration = request.work * target.pace * factor
            self._at(self._now + duration, self._step(self._finish, request))

    def _finish(self, request: Request) -> None:
        target = self._targets[request.target]
        if target.is_paused:
            target.held.append(request)
            return
        load = target.load
        target.busy -= 1
        self._start_queued(target)
        self._at(self._now + NETWORK_SECONDS, lambda: self._answer(request, load))

    def _answer(self, request: Request, load: int) -> None:
        target = self._targets[request.target]
        self._policy.answered(self._now, request, target, load)
        if request.at >= WARM_UP_SECONDS:
            self._waits.append(self._now - request.at - request.work)

    def _resume(self, target: Target) -> None:
        target.is_paused = False
        held, target.held = target.held, []
        for request in held:
            self._finish(request)
        self._start_queued(target)

    def _report(self) -> None:
        age = self._case.report_age
        for target in self._targets:
            load = target.load
            self._at(
                self._now + age,
                lambda t=target, n=load: self._policy.reported(  # type: ignore[misc]
                    self._now, t, n, age
                ),
            )

    def _sample(self) -> None:
        if self._now < WARM_UP_SECONDS:
            return
        serving = [item for item in self._targets if item.is_listed and not item.is_paused]
        loads = [item.load * item.pace / item.slots for item in serving]
        self._sum_of_largest += max(loads)
        self._sum_of_means += sum(loads) / len(loads)
        is_waiting = any(item.queue for item in self._targets if item.is_listed)
        is_idle = any(item.load <= item.slots / 2 for item in serving)
        self._stretch = self._stretch + SAMPLE_SECONDS if is_waiting and is_idle else 0.0
        self._longest = max(self._longest, self._stretch)
        self._idle += SAMPLE_SECONDS if self._stretch else 0.0
