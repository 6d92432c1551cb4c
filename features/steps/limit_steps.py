"""Steps on the limits of requests that targets state."""

from behave import given, then, use_step_matcher, when
from behave.runner import Context
from support.limit_load import LimitHistory

from jaylatch_core.ids import InstanceId, RequestDigest
from jaylatch_core.messages.places import (
    CandidateLimit,
    PlaceCandidate,
    PlacesFull,
    PlaceTaken,
    TakePlace,
)

LONG_DURATION_SECONDS = 500.0

use_step_matcher("re")


@given(
    r"(?P<gateways>\d+) gateways of which (?P<busy>\d+) have callers,"
    r" and (?P<targets>\d+) targets with a limit of (?P<limit>[\d.]+) a second"
)
def step_gateways(context: Context, gateways: str, busy: str, targets: str, limit: str) -> None:
    context.fleet = (int(gateways), int(busy), int(targets), float(limit))


@when(
    r"requests come at (?P<load>[\d.]+) times the limits for 40 s and (?P<event>.+),"
    r" seeds 0 to (?P<last>\d)"
)
def step_histories(context: Context, load: str, event: str, last: str) -> None:
    context.histories = [
        LimitHistory(*context.fleet, float(load), event, seed) for seed in range(int(last) + 1)
    ]
    for history in context.histories:
        history.run()


@then(r"in no 4 s a target gets more than its limit allows")
def step_within_limit(context: Context) -> None:
    for history in context.histories:
        assert history.most_in_window() <= history.allowed(), (
            history.seed,
            history.most_in_window(),
            history.allowed(),
        )


@then(r"at least (?P<part>[\d.]+) of the limits is used")
def step_used(context: Context, part: str) -> None:
    for history in context.histories:
        assert history.used() >= float(part), (history.seed, history.used())


@when(r'requests are asked for with the limits "(?P<requests>[^"]*)"')
def step_requests(context: Context, requests: str) -> None:
    for number, text in enumerate(requests.split()):
        wanted, _, time = text.partition("@")
        names, _, stated = wanted.partition("=")
        candidates = tuple(
            PlaceCandidate(item.instance, item.slots, parse_limit(item.instance, names, stated))
            for item in context.candidates
            if item.instance in names
        )
        request = TakePlace(
            f"r-{number}", candidates, LONG_DURATION_SECONDS, RequestDigest(f"d-{number}"), False
        )
        context.answer = context.places.take(float(time), request)


def parse_limit(instance: InstanceId, names: str, stated: str) -> CandidateLimit | None:
    """Return the limit of the first of ``names``, which "RATE~AGE" states."""
    if not stated or instance != names[0]:
        return None
    rate, _, age = stated.partition("~")
    return CandidateLimit(None if rate == "none" else float(rate), float(age))


@then(r'the last answer is "(?P<answer>[^"]*)" with a wait of (?P<wait>[\d.]+) s')
def step_answer_and_wait(context: Context, answer: str, wait: str) -> None:
    found = context.answer
    name = found.instance if isinstance(found, PlaceTaken) else "full"
    found_wait = found.wait if isinstance(found, PlacesFull) else 0.0
    assert f"{name} {found.load:.1f}" == answer, found
    assert abs(found_wait - float(wait)) < 0.01, found
