"""Steps on the places of targets and on the choice of their owner."""

from behave import given, then, use_step_matcher, when
from behave.runner import Context
from support.place_load import Outcome, PlaceLoad

from jaylatch_core.ids import InstanceId, RequestDigest
from jaylatch_core.messages.places import PlaceCandidate, PlaceTaken, TakePlace
from jaylatch_decisions.places import OwnerTable, PlaceLimits, PlaceTable

FIRST, SECOND = 0, 1
LONG_DURATION_SECONDS = 9.0

use_step_matcher("re")


@given(r'an owner of the places of targets "(?P<targets>[^"]*)"')
def step_owner(context: Context, targets: str) -> None:
    context.places = PlaceTable()
    pairs = (text.split(":") for text in targets.split())
    context.candidates = tuple(
        PlaceCandidate(InstanceId(name), int(slots)) for name, slots in pairs
    )


@when(r'"(?P<count>\d+)" places are taken at time 0, for (?P<duration>\d+) s each')
def step_taken(context: Context, count: str, duration: str) -> None:
    for number in range(int(count)):
        request = TakePlace(
            f"s-{number}", context.candidates, float(duration), RequestDigest(""), True
        )
        assert isinstance(context.places.take(0.0, request), PlaceTaken)


@when(r'"(?P<messages>[^"]*)" arrive')
def step_messages(context: Context, messages: str) -> None:
    for message in messages.split():
        permit, _, time = message[1:].partition("@")
        if message[0] == "-":
            context.places.release(permit)
            continue
        digest = RequestDigest(permit[0])
        request = TakePlace(
            permit, context.candidates, LONG_DURATION_SECONDS, digest, permit[0] == "s"
        )
        context.answer = context.places.take(float(time), request)


@then(r'the last answer is "(?P<answer>[^"]*)"')
def step_answer(context: Context, answer: str) -> None:
    found = context.answer
    name = found.instance if isinstance(found, PlaceTaken) else "full"
    assert f"{name} {found.load:.1f}" == answer, found


@given(r"two targets of 24 slots, answers of 0.6 s to 1.8 s and first events due in 0.25 s")
def step_load(context: Context) -> None:
    """The figures are those of ``support.place_load``."""


@when(
    r"callers arrive for (?P<seconds>\d+) s at (?P<load>[\d.]+) times what these can serve,"
    r" seeds 0 to (?P<last>\d+)"
)
def step_overload(context: Context, seconds: str, load: str, last: str) -> None:
    def replay(limits: PlaceLimits) -> Outcome:
        total = Outcome()
        for seed in range(int(last) + 1):
            outcome = PlaceLoad(PlaceTable(limits), float(load), float(seconds), seed).run()
            total.in_time += outcome.in_time
            total.late += outcome.late
            total.refused += outcome.refused
        return total

    context.outcome = replay(PlaceLimits())
    context.preferring = replay(PlaceLimits(returning=1.4))
    context.unordered = replay(PlaceLimits(returning=PlaceLimits().new))


@then(r"the owner serves at least (?P<part>[\d.]+) of the callers that it serves in time")
def step_in_time(context: Context, part: str) -> None:
    outcome = context.outcome
    assert outcome.in_time >= float(part) * outcome.served, outcome


@then(
    r"it serves at least (?P<part>[\d.]+) times as many callers as an owner that prefers those"
    r" who return"
)
def step_served(context: Context, part: str) -> None:
    assert context.outcome.served >= float(part) * context.preferring.served, (
        context.outcome,
        context.preferring,
    )


@then(
    r"it serves at least as many callers in time as one that prefers those who return,"
    r" one without order"
)
def step_baselines(context: Context) -> None:
    for baseline in (context.preferring, context.unordered):
        assert context.outcome.in_time >= baseline.in_time, (context.outcome, baseline)


@given(r'the control instances "(?P<addresses>[^"]*)"')
def step_instances(context: Context, addresses: str) -> None:
    context.addresses = addresses.split()
    context.owners = OwnerTable()
    preferences = OwnerTable()
    context.choices = []
    for _ in sorted(context.addresses):
        chosen = preferences.choose(10.0, "m", sorted(context.addresses))
        preferences.record_failure(10.0, chosen)
        context.choices.append(chosen)


@when(r'those at "(?P<failed>[^"]*)" fail to answer at time 10')
def step_failed(context: Context, failed: str) -> None:
    failing = {"": [], "first": context.choices[:1], "all": context.choices}[failed]
    for address in failing:
        context.owners.record_failure(10.0, address)


@then(
    r"the owner of model (?P<model>\w) at time (?P<time>[\d.]+)"
    r" is (?P<owner>the first choice|the second choice|nobody)"
)
def step_owner_is(context: Context, model: str, time: str, owner: str) -> None:
    expected = {
        "the first choice": context.choices[FIRST],
        "the second choice": context.choices[SECOND],
        "nobody": None,
    }[owner]
    found = context.owners.choose(float(time), model, context.addresses)
    assert found == expected, (found, context.choices)
