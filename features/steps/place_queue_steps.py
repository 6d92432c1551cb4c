"""Steps on the queue by rank for the places of a model, without a network."""

from random import Random

from behave import given, then, use_step_matcher, when
from behave.runner import Context
from support.queue_load import ENGINE, MODEL, OWNERS, WEIGHTS, Kind, QueueLoad, Tally

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
from jaylatch_decisions.places.service_times import ExpectedTimes, compute_times

DURATION_SECONDS = 5.0
LONGEST_RETURN_SECONDS = 4.0
KINDS = {
    "measured": (
        Kind("answers", 0, 73.8, 0.252, 6.0),
        Kind("notices", 1, 6.6, 0.503, 8.0),
        Kind("digests", 2, 3.5, 1.003, 8.0),
    ),
    "equal": (
        Kind("answers", 0, 28.0, 0.252, 6.0),
        Kind("notices", 1, 28.0, 0.503, 8.0),
        Kind("digests", 2, 28.0, 1.003, 8.0),
    ),
}

use_step_matcher("re")


@given(r'a queue by rank for the targets "(?P<targets>[^"]*)"')
def step_queue(context: Context, targets: str) -> None:
    context.queues = PlaceQueues()
    pairs = (text.split(":") for text in targets.split())
    context.candidates = tuple(
        PlaceCandidate(InstanceId(name), int(slots)) for name, slots in pairs
    )
    context.outcomes = []


@when(r'the queue is told "(?P<messages>[^"]*)"')
def step_told(context: Context, messages: str) -> None:
    for message in messages.split():
        text, _, time = message.partition("@")
        now = float(time)
        if text == "tick":
            context.queues.advance(now)
        elif text[0] == "-":
            context.queues.release(now, text[1:])
        else:
            permit, rank, account, wait, service = text[1:].split(":")
            answer = context.queues.take(
                now,
                make_request(context, permit, int(rank), account, wait, service, text[0] == "*"),
            )
            context.outcomes.append(f"{permit}:{describe(answer)}")
        context.outcomes += [
            f"{outcome.permit}:{describe(outcome)}" for outcome in context.queues.take_outcomes()
        ]


def make_request(
    context: Context,
    permit: str,
    rank: int,
    account: str,
    wait: str,
    service: str,
    is_resumed: bool = False,
) -> TakePlace:
    terms = QueueTerms(rank, AccountId(account), float(wait), float(service), MODEL)
    return TakePlace(
        permit,
        context.candidates,
        DURATION_SECONDS,
        RequestDigest(permit[0]),
        is_resumed,
        queueing=terms,
    )


def describe(answer: object) -> str:
    match answer:
        case PlaceTaken(instance, _):
            return f"taken:{instance}"
        case PlaceGranted(_, instance, _):
            return f"granted:{instance}"
        case PlaceQueued(position):
            return f"queued:{position}"
        case PlacesFull():
            return "full"
        case PlaceDenied():
            return "denied"
    raise AssertionError(answer)


@then(r'the outcomes at the queue are "(?P<outcomes>[^"]*)"')
def step_outcomes(context: Context, outcomes: str) -> None:
    assert context.outcomes == outcomes.split(), context.outcomes


@when(r"(?P<count>\d+) requests of 1 s arrive within 0.1 s, which may wait for 0.2 s")
def step_many_arrive(context: Context, count: str) -> None:
    context.answers = [
        context.queues.take(
            number / (10 * int(count)), make_request(context, f"{number}", 0, "x", "0.2", "1.0")
        )
        for number in range(int(count))
    ]


@then(r"(?P<count>\d+) get a place, and the others are told times of which no two are the same")
def step_told_times(context: Context, count: str) -> None:
    context.refused = [item for item in context.answers if isinstance(item, PlacesFull)]
    taken = [item for item in context.answers if isinstance(item, PlaceTaken)]
    assert len(taken) == int(count) and len(taken) + len(context.refused) == len(context.answers)
    times = {round(item.retry_after, 3) for item in context.refused}
    assert len(times) == len(context.refused), times


@then(r"none is told a time before a place is free, or after 4 s")
def step_times_in_bounds(context: Context) -> None:
    for item in context.refused:
        assert 0.9 <= item.retry_after <= LONGEST_RETURN_SECONDS, item


@when(
    r"(?P<count>\d+) requests without terms are sent to it and to a table of places,"
    r" seed (?P<seed>\d+)"
)
def step_without_terms(context: Context, count: str, seed: str) -> None:
    random = Random(int(seed))
    table = PlaceTable()
    context.pairs = []
    now = 0.0
    for number in range(int(count)):
        now += random.expovariate(20.0)
        permit = f"{number}"
        if random.random() < 0.2:
            ended = f"{random.randrange(number + 1)}"
            context.queues.release(now, ended)
            table.release(ended)
        digest = RequestDigest(f"{random.randrange(200)}")
        request = TakePlace(permit, context.candidates, 2.0, digest, random.random() < 0.1)
        context.pairs.append((context.queues.take(now, request), table.take(now, request)))


@then(r"each answer of the two is the same")
def step_same(context: Context) -> None:
    for ours, present in context.pairs:
        assert ours == present, (ours, present)


@given(
    r"callers of 24 accounts, of which three send half of all, with a mix of"
    r" (?P<mix>measured|equal) requests"
)
def step_callers(context: Context, mix: str) -> None:
    context.kinds = KINDS[mix]
    context.weights = WEIGHTS


@given(
    r"callers of 24 accounts, of which one sends (?P<part>[\d.]+) of all, with a mix of"
    r" measured requests"
)
def step_flooding_account(context: Context, part: str) -> None:
    others = len(WEIGHTS) - 1
    context.kinds = KINDS["measured"]
    context.weights = (float(part) * others / (1 - float(part)), *[1.0] * others)


@then(
    r"the queue serves at least (?P<part>[\d.]+) of the requests of the other accounts,"
    r" and more than an order by arrival"
)
def step_other_accounts(context: Context, part: str) -> None:
    def tally_others(owner: str) -> Tally:
        return add_up(
            [
                tally
                for replay in context.replays[owner]
                for account, tally in replay.by_account.items()
                if account != "a0"
            ]
        )

    ours, theirs = tally_others("queue by rank"), tally_others("first-come order")
    print(f"others: {ours}; by arrival {theirs}")
    assert ours.part_served >= float(part), (ours, theirs)
    assert ours.in_time > theirs.in_time, (ours, theirs)


@when(r"(?P<kind>\w+) come at (?P<factor>\d+) times their rate for 4 s, seeds 0 to (?P<last>\d+)")
def step_burst(context: Context, kind: str, factor: str, last: str) -> None:
    context.replays = {}
    for name, make_owner in OWNERS.items():
        context.replays[name] = [
            QueueLoad(make_owner(), context.kinds, kind, float(factor), seed, context.weights).run()
            for seed in range(int(last) + 1)
        ]
        for item in context.kinds:
            tally = total(context, name, item.name)
            print(f"{name}, {item.name} (rank {item.rank}): {tally}")


def total(context: Context, owner: str, kind: str, source: str = "by_kind") -> Tally:
    return add_up([getattr(replay, source)[kind] for replay in context.replays[owner]])


def add_up(tallies: list[Tally]) -> Tally:
    return Tally(
        sum(item.offered for item in tallies),
        sum(item.in_time for item in tallies),
        sum(item.late for item in tallies),
        sum(item.refused_once for item in tallies),
        sum(item.refused_twice for item in tallies),
    )


@then(
    r"the queue serves at least (?P<answers>[\d.]+), (?P<notices>[\d.]+) and (?P<digests>[\d.]+)"
    r" of answers, notices and digests"
)
def step_parts(context: Context, answers: str, notices: str, digests: str) -> None:
    for kind, part in (("answers", answers), ("notices", notices), ("digests", digests)):
        tally = total(context, "queue by rank", kind)
        assert tally.part_served >= float(part), (kind, tally, tally.part_served)


@then(r"it serves at least (?P<factor>[\d.]+) times as many answers in time as the present table")
def step_more_in_time(context: Context, factor: str) -> None:
    ours = total(context, "queue by rank", "answers").in_time
    present = total(context, "present table", "answers").in_time
    assert ours >= float(factor) * present, (ours, present)


@then(
    r"it refuses at most (?P<factor>[\d.]+) times as many answers twice as"
    r" (?P<owner>the present table|an order by arrival)"
)
def step_fewer_twice(context: Context, factor: str, owner: str) -> None:
    name = {"the present table": "present table", "an order by arrival": "first-come order"}[owner]
    ours = total(context, "queue by rank", "answers").refused_twice
    theirs = total(context, name, "answers").refused_twice
    assert ours <= float(factor) * theirs, (ours, theirs)


@then(r"its largest tenth of prompts of each kind is served at least half as often as the kind")
def step_large(context: Context) -> None:
    for kind in context.kinds:
        large = total(context, "queue by rank", kind.name, "large")
        all_sizes = total(context, "queue by rank", kind.name)
        print(
            f"{kind.name}: largest tenth {large.part_served:.2f}, all {all_sizes.part_served:.2f}"
        )
        assert large.part_served >= 0.5 * all_sizes.part_served, (kind, large, all_sizes)


@then(r"each kind and each account is served at least a quarter as often as all")
def step_floor(context: Context) -> None:
    replays = context.replays["queue by rank"]
    kinds = [total(context, "queue by rank", kind.name) for kind in context.kinds]
    floor = 0.25 * add_up(kinds).part_served
    accounts = {account for replay in replays for account in replay.by_account}
    tallies = [add_up([replay.by_account[item] for replay in replays]) for item in accounts]
    for tally in (*kinds, *tallies):
        assert tally.part_served >= floor, (tally, floor)


@then(
    r"no caller waits beyond its objective, and the mean error of the expected times is below"
    r" (?P<limit>[\d.]+)"
)
def step_waits(context: Context, limit: str) -> None:
    replays = context.replays["queue by rank"]
    assert not any(replay.waits_beyond for replay in replays)
    errors = [error for replay in replays for error in replay.errors]
    print(f"mean error of the expected times: {sum(errors) / len(errors):.3f}")
    assert sum(errors) / len(errors) < float(limit), sum(errors) / len(errors)


@given(
    r"expected times of requests that take (?P<ratio>[\d.]+) times as long as their profile says"
)
def step_times(context: Context, ratio: str) -> None:
    context.times, context.ratio = ServiceTimes(), float(ratio)


@when(r"(?P<count>\d+) of them have been measured")
def step_measured(context: Context, count: str) -> None:
    random = Random(1)
    for _ in range(int(count)):
        prompt, answer = random.randint(100, 3000), random.randint(20, 60)
        measured = measure(context, prompt, answer, random.uniform(0.8, 1.2))
        context.times.record(ENGINE, MODEL, prompt, answer, measured)


@then(r"the next one's expected times have an error below (?P<limit>[\d.]+)")
def step_error(context: Context, limit: str) -> None:
    for prompt, answer in ((200, 30), (2500, 50)):
        expected = context.times.expect(ENGINE, MODEL, prompt, answer)
        measured = measure(context, prompt, answer, 1.0)
        for ours, theirs in (
            (expected.first_token, measured.first_token),
            (expected.service, measured.service),
        ):
            assert abs(ours - theirs) < float(limit) * theirs, (expected, measured)


def measure(context: Context, prompt: int, answer: int, variation: float) -> ExpectedTimes:
    computed = compute_times(ENGINE, MODEL, prompt, answer)
    factor = context.ratio * variation
    return ExpectedTimes(computed.first_token * factor, computed.service * factor)
