"""Seeded workloads of the policy benchmark, and the offline bound on their service."""

from bisect import bisect_left
from dataclasses import dataclass
from random import Random

TOKEN_TIME = 0.04
PREFILL_PER_CHARACTER = 0.0001
"""Seconds."""
SLOTS_PER_ENGINE = 4
SMALL_ACCOUNTS = tuple(f"shop-{number}" for number in range(1, 10))
GREEDY_ACCOUNT = "greedy"
ACCOUNTS = (GREEDY_ACCOUNT, *SMALL_ACCOUNTS)
LONG_PROMPT = 2000
"""Characters."""
SHARED_PREFIX = "The shop sells clippers, blades, dyes and chairs to salons.     "


@dataclass(frozen=True)
class RequestKind:
    """A kind of request. ``deadline`` is in seconds; ``frequency`` is the share of the requests."""

    name: str
    weight: float
    deadline: float
    tokens: int
    characters: int
    frequency: float


KINDS = (
    RequestKind("draft", 1.0, 2.0, 6, 120, 0.5),
    RequestKind("mix", 2.0, 1.2, 4, 80, 0.3),
    RequestKind("summary", 1.5, 4.0, 10, 600, 0.2),
)
LONG_KIND = RequestKind("summary", 1.5, 4.0, 10, LONG_PROMPT, 0.2)


@dataclass(frozen=True)
class Workload:
    """Load to offer, relative to capacity; ``greedy`` is the additional load of one account.

    Its representation is part of the random seed, so renaming it or a field changes the arrivals.
    """

    load: float
    greedy: float = 0.0
    has_long_prompts: bool = False
    has_shared_prefix: bool = False


WORKLOADS = {
    "counter-1x": Workload(0.9),
    "rush-1.5x": Workload(1.5),
    "rush-2x": Workload(2.0),
    "rush-4x": Workload(4.0),
    "small-alone": Workload(0.6),
    "small-greedy": Workload(0.6, greedy=2.0),
    "long-prompts": Workload(1.5, has_long_prompts=True),
    "shared-prefix": Workload(1.5, has_shared_prefix=True),
}


@dataclass(frozen=True)
class Arrival:
    """One request: sent ``at`` seconds after the start, to the entry with index ``entry``."""

    at: float
    entry: int
    account: str
    kind: RequestKind
    prompt: str

    @property
    def work(self) -> float:
        """Return the seconds for which the request occupies a slot of an otherwise idle engine."""
        prefill = len(self.prompt) * PREFILL_PER_CHARACTER
        return prefill + self.kind.tokens * TOKEN_TIME


def mean_work(kinds: tuple[RequestKind, ...]) -> float:
    """Return the mean time in seconds for which a request occupies a slot."""
    return sum(
        kind.frequency * (kind.tokens * TOKEN_TIME + kind.characters * PREFILL_PER_CHARACTER)
        for kind in kinds
    )


def make_arrivals(workload: Workload, seed: int, duration: float, slots: int) -> list[Arrival]:
    """Return Poisson arrivals in order of time, each at one of two entries chosen at random."""
    random = Random(f"{workload}/{seed}")
    kinds = (*KINDS[:2], LONG_KIND) if workload.has_long_prompts else KINDS
    capacity = slots / mean_work(kinds)
    arrivals = _poisson_arrivals(random, workload, kinds, workload.load * capacity, duration, ())
    if workload.greedy:
        greedy = (GREEDY_ACCOUNT,)
        extra = Random(f"greedy/{seed}")
        arrivals += _poisson_arrivals(
            extra, workload, kinds, workload.greedy * capacity, duration, greedy
        )
    return sorted(arrivals, key=lambda arrival: arrival.at)


def _poisson_arrivals(
    random: Random,
    workload: Workload,
    kinds: tuple[RequestKind, ...],
    rate: float,
    duration: float,
    accounts: tuple[str, ...],
) -> list[Arrival]:
    arrivals: list[Arrival] = []
    at = random.expovariate(rate)
    frequencies = [kind.frequency for kind in kinds]
    while at < duration:
        kind = random.choices(kinds, frequencies)[0]
        prefix = SHARED_PREFIX if workload.has_shared_prefix else f"{random.random():<64}"
        prompt = f"{prefix}{len(arrivals):05}".ljust(kind.characters, ".")
        account = random.choice(accounts or SMALL_ACCOUNTS)
        arrivals.append(Arrival(at, random.randrange(2), account, kind, prompt))
        at += random.expovariate(rate)
    return arrivals


def offline_bound(arrivals: list[Arrival], slots: int) -> float:
    """Return an upper bound on the weighted service that any schedule of the arrivals can reach.

    Takes requests in descending order of weight per slot second, partially if necessary, as long as
    the work due by each deadline fits into the slot seconds since the first arrival. The bound
    ignores arrival times and uses the service times of an idle engine.
    """
    first_arrival_at = min(arrival.at for arrival in arrivals)
    deadlines = sorted(arrival.at + arrival.kind.deadline for arrival in arrivals)
    remaining = [slots * (deadline - first_arrival_at) for deadline in deadlines]
    served = 0.0
    for arrival in sorted(arrivals, key=lambda item: item.kind.weight / item.work, reverse=True):
        first = bisect_left(deadlines, arrival.at + arrival.kind.deadline)
        work = min(arrival.work, min(remaining[first:]))
        served += arrival.kind.weight * work / arrival.work
        remaining[first:] = [capacity - work for capacity in remaining[first:]]
    return served
