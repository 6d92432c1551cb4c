"""Steps on the simulated choices of many gateways, and on the learned pace of targets."""

from functools import cache
from random import Random

from behave import given, then, use_step_matcher, when
from behave.runner import Context
from features.support.even_load import PLAIN_KINDS, STREAM_KINDS, Case, EvenLoad, Result

from jaylatch_core.ids import InstanceId
from jaylatch_decisions.balancing import Candidate, WorkTable, least_work

MILLISECONDS = 1000
BASELINES = ("reported load (before)", "random", "least loaded")
OWNER = "owner, work"
OWN = "own work"
KINDS = {"plain": PLAIN_KINDS, "stream": STREAM_KINDS}
DURATIONS = {"short": 0.02, "long": 0.08}
RUN_SECONDS = 8.0
WARM_UP_REQUESTS = 20
CHOICES = 100
EXPIRY_SECONDS = 2.0

use_step_matcher("re")


@cache
def simulate(case: Case, policy: str, seeds: int) -> list[Result]:
    return [EvenLoad(case, policy, seed).run() for seed in range(seeds)]


def mean(results: list[Result], name: str) -> float:
    return float(sum(getattr(item, name) for item in results) / len(results))


@given(
    r'(?P<gateways>\d+) gateways, and targets of pace "(?P<paces>[\d. ]+)"'
    r" with (?P<slots>\d+) slots, of which (?P<use>[\d.]+) are used"
    r"(?P<lost>, and the owner is lost)?"
)
def step_case(
    context: Context, gateways: str, paces: str, slots: str, use: str, lost: str | None
) -> None:
    values = tuple(float(item) for item in paces.split())
    context.case = Case(int(gateways), values, int(slots), float(use), owner_lost=bool(lost))


@given(
    r"(?P<gateways>\d+) gateways, and (?P<targets>\d+) targets with (?P<slots>\d+) slots, "
    r"of which (?P<use>[\d.]+) are used, each third one of pace (?P<pace>[\d.]+)"
)
def step_many_targets(
    context: Context, gateways: str, targets: str, slots: str, use: str, pace: str
) -> None:
    paces = tuple(float(pace) if n % 3 == 0 else 1.0 for n in range(int(targets)))
    context.case = Case(int(gateways), paces, int(slots), float(use))


@when(
    r"(?P<kind>plain|stream) requests arrive(?: for (?P<seconds>\d+) s)? with reports "
    r'(?P<age>on own answers|[\d.]+ s old) and the event "(?P<event>\w+)", seeds 0 to (?P<last>\d+)'
)
def step_load(
    context: Context, kind: str, seconds: str | None, age: str, event: str, last: str
) -> None:
    case: Case = context.case
    context.case = Case(
        case.gateways,
        case.paces,
        case.slots,
        case.use,
        0.0 if age == "on own answers" else float(age.split()[0]),
        event,
        case.owner_lost,
        KINDS[kind],
        float(seconds) if seconds else RUN_SECONDS,
    )
    context.seeds = int(last) + 1


def results(context: Context, policy: str) -> list[Result]:
    return simulate(context.case, policy, context.seeds)


@then(r"choices of an owner let 99 in 100 wait at most (?P<limit>\d+) ms")
def step_owner_wait(context: Context, limit: str) -> None:
    waits = [item.p99 * MILLISECONDS for item in results(context, OWNER)]
    assert max(waits) <= float(limit), waits


@then(
    r"(?:they|choices of an owner) leave no target idle beside an overloaded one"
    r" for more than (?P<limit>\d+) ms"
)
def step_owner_idle(context: Context, limit: str) -> None:
    stretches = [item.idle_stretch * MILLISECONDS for item in results(context, OWNER)]
    assert max(stretches) <= float(limit), stretches


@then(r"their largest load over the mean is below that of reported load, random and least loaded")
def step_owner_largest(context: Context) -> None:
    largest = mean(results(context, OWNER), "largest")
    others = {name: mean(results(context, name), "largest") for name in BASELINES}
    assert all(largest < other for other in others.values()), (largest, others)


@then(r"a gateway's own choices have a smaller largest load, idle time and wait than reported load")
def step_own_better(context: Context) -> None:
    for name in ("largest", "idle", "p99"):
        own = mean(results(context, OWN), name)
        before = mean(results(context, BASELINES[0]), name)
        assert own < before, (name, own, before)


@then(r"these choices let 99 in 100 wait at most (?P<limit>\d+) ms")
def step_own_wait(context: Context, limit: str) -> None:
    waits = [item.p99 * MILLISECONDS for item in results(context, OWN)]
    assert max(waits) <= float(limit), waits


@then(
    r"at the end the first target gets at least (?P<part>[\d.]+) of an even share"
    r" from the choices of an owner"
)
def step_recovered(context: Context, part: str) -> None:
    shares = [item.last_share for item in results(context, OWNER)]
    assert min(shares) >= float(part), shares


# Pace


@given(
    r"targets a and b that answer short requests in (?P<short>[\d.]+) s"
    r" and long ones in (?P<long>[\d.]+) s"
)
def step_paces(context: Context, short: str, long: str) -> None:
    assert {"short": float(short), "long": float(long)} == DURATIONS
    context.work_table = WorkTable()
    context.now = 10.0
    for number in range(WARM_UP_REQUESTS):
        for kind in DURATIONS:
            for name in ("a", "b"):
                run_request(context, name, kind, DURATIONS[kind], f"{number}{kind}{name}")


def run_request(context: Context, name: str, kind: str, duration: float, permit: str) -> None:
    end = context.now + duration
    context.work_table.start(context.now, permit, InstanceId(name), kind, end + EXPIRY_SECONDS)
    context.work_table.finish(end, permit)


@when(
    r"b answers (?P<count>\d+) requests of the kind (?P<kind>\w+)"
    r" at (?P<factor>[\d.]+) times the duration"
)
def step_durations(context: Context, count: str, kind: str, factor: str) -> None:
    for number in range(int(count)):
        # a answers as before meanwhile, which keeps the mean of the kind.
        run_request(context, "a", kind, DURATIONS[kind], f"a{number}")
        run_request(context, "b", kind, DURATIONS[kind] * float(factor), f"b{number}")


@when(r"(?P<seconds>\d+) s go by")
def step_time_passes(context: Context, seconds: str) -> None:
    context.now += 0.3 + float(seconds)


@when(
    r"(?P<count>\d+) requests at b have been in flight for (?P<seconds>[\d.]+) s"
    r" and (?P<others>\d+) at a for 0 s"
)
def step_in_flight(context: Context, count: str, seconds: str, others: str) -> None:
    for name, number, age in (("b", count, float(seconds)), ("a", others, 0.0)):
        for item in range(int(number)):
            start = context.now - age
            context.work_table.start(
                start, f"{name}{item}", InstanceId(name), "short", start + EXPIRY_SECONDS
            )


@then(r"a request goes to (?P<choice>a|b|both) with the least expected work")
def step_choice(context: Context, choice: str) -> None:
    candidates = [Candidate(InstanceId(name), 4) for name in ("a", "b")]
    chosen = {
        least_work(context.now, context.work_table, Random(seed).sample(candidates, 2))[0]
        for seed in range(CHOICES)
    }
    assert chosen == ({"a", "b"} if choice == "both" else {choice}), chosen
