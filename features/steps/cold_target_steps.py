"""Steps on the decision whether a target is cold, and on the owner's bound."""

import re
from random import Random

from behave import given, then, use_step_matcher, when
from behave.runner import Context
from direct_target_steps import parse_membership
from group_route_steps import probe, send

from jaylatch_core.clock import MILLISECONDS_PER_SECOND, wall
from jaylatch_core.deployment import (
    Deployment,
    DeploymentNumber,
    EngineProfile,
    ModelProfile,
    ServiceProfile,
)
from jaylatch_core.ids import (
    AccountId,
    Epoch,
    FailureDomainId,
    GroupId,
    InstanceId,
    RequestDigest,
    Term,
)
from jaylatch_core.messages.control import Group, GroupState
from jaylatch_core.messages.places import (
    CandidateLimit,
    PlaceCandidate,
    PlacesFull,
    PlaceTaken,
    QueueTerms,
    TakePlace,
)
from jaylatch_core.messages.targets import TargetCheckIn
from jaylatch_core.settings import ColdSettings
from jaylatch_decisions.places import LimitTable, PlaceQueues, PlaceTable
from jaylatch_decisions.targets import TargetRegistry
from jaylatch_decisions.targets.coldness import ColdFacts, is_cold
from jaylatch_node.control.targets import TargetController

SERVICE = "s"
PLAIN_SLOTS = 6
ENGINE = EngineProfile(24, (ModelProfile("model", 1),))
COLD_RATE = 4.0
COLD_SLOTS_OF_OWNER = 100
ASK = re.compile(r"(?P<name>\w)(?P<cold>\*?)(?:/(?P<rate>[\d.]+))?(?:x(?P<count>\d+))?@(?P<at>.+)")

use_step_matcher("re")


@given(r'the coldness facts "(?P<facts>[^"]*)"')
def step_cold_facts(context: Context, facts: str) -> None:
    appeared, reported, left, traffic, uptime = facts.split()
    context.facts = ColdFacts(
        float(appeared),
        float(reported),
        None if left == "-" else float(left),
        traffic == "before",
        None if uptime == "-" else float(uptime),
    )


@then(r"the target is (?P<state>cold|warm) at time (?P<now>[\d.]+), with a cold time of 3 s")
def step_target_is(context: Context, state: str, now: str) -> None:
    assert is_cold(float(now), context.facts, 3.0) == (state == "cold")


@given(
    r"(?P<kind>plain|engine) targets of a service with a cold time of 3 s and a cold rate of"
    r" (?P<rate>\d+)"
)
def step_cold_service(context: Context, kind: str, rate: str) -> None:
    context.is_engine = kind == "engine"
    profile = ServiceProfile(SERVICE, 100, ENGINE if context.is_engine else None, 3.0, float(rate))
    context.deployment = Deployment(DeploymentNumber(1), (), (profile,))
    context.registry = TargetRegistry(3.0, started_at=0.0)
    context.sequence = 0


@when(r'the heartbeats "(?P<heartbeats>[^"]*)" arrive at a leader that has served')
def step_heartbeats(context: Context, heartbeats: str) -> None:
    for text in heartbeats.split():
        at, heartbeat = read_heartbeat(context, text)
        context.registry.record_heartbeat(at, heartbeat)
    context.targets = TargetController(context.registry, 1, send, probe, True, 90.0)
    context.targets.use_deployment(context.deployment)


@when(r"a heartbeat of a target that started (?P<started>.+) arrives at a leader that has served")
def step_first_heartbeat(context: Context, started: str) -> None:
    amount, _, rest = started.partition(" s ")
    seconds = float(amount) if rest else 0.0
    start = wall() + (seconds if rest == "later" else -seconds)
    born_at = int(start * MILLISECONDS_PER_SECOND) if rest else 0
    step_heartbeats(context, f"a.{born_at}=0@1")


def read_heartbeat(context: Context, text: str) -> tuple[float, TargetCheckIn]:
    """Return the time and the heartbeat of "NAME.BORN=COLD_LEFT@T"."""
    rest, _, at = text.partition("@")
    name_and_born, _, left = rest.partition("=")
    name, _, born = name_and_born.partition(".")
    context.sequence += 1
    heartbeat = TargetCheckIn(
        InstanceId(name),
        SERVICE,
        "10.0.0.1:80",
        FailureDomainId("x"),
        FailureDomainId("x"),
        int(born),
        context.sequence,
        False,
        PLAIN_SLOTS,
        parse_membership("g@1/0/open") if context.is_engine else None,
        cold_left=float(left),
    )
    return float(at), heartbeat


@then(r'the routes at time (?P<now>[\d.]+) are "(?P<routes>[^"]*)"')
def step_cold_routes(context: Context, now: str, routes: str) -> None:
    if context.is_engine:
        group = Group(GroupId("g"), Epoch(1), "model", (InstanceId("a"),), GroupState.ACTIVE)
        listed = context.targets.group_routes(float(now), [group])
        found = [(route.head, route.slots, route.is_cold) for route in listed]
    else:
        services = context.targets.service_routes(float(now))
        found = [(route.instance, route.slots, route.is_cold) for route in services]
    texts = [f"{name}:{slots}" + (" cold" if cold else "") for name, slots, cold in found]
    assert " ".join(texts) == routes, texts


@then(r'a heartbeat "(?P<text>[^"]*)" changes routes: (?P<changes>yes|no)')
def step_changes_routes(context: Context, text: str, changes: str) -> None:
    at, heartbeat = read_heartbeat(context, text)
    assert context.registry.changes_routes(at, heartbeat) == (changes == "yes")


@given(r'an owner that (?P<owner>.+), and knows "(?P<warm>[^"]*)" to be warm')
def step_cold_owner(context: Context, owner: str, warm: str) -> None:
    context.owner_state = (owner, warm)
    context.cold_owner = make_owner(owner, warm)


def make_owner(owner: str, warm: str) -> PlaceTable:
    """Return a new owner that leads or does not, and knows some targets to be warm."""
    limits = LimitTable(ColdSettings())
    known = [InstanceId(name) for name in warm if name != "-"]
    if owner.startswith("leads since time "):
        limits.cold.begin_term(float(owner.rpartition(" ")[2]), Term(1))
        limits.cold.set_state(True, known)
    else:
        assert owner == "does not lead"
        limits.cold.set_state(False, known)
    return PlaceTable(request_limits=limits)


@when(r'it is asked for places "(?P<asks>[^"]*)"')
def step_cold_asks(context: Context, asks: str) -> None:
    context.cold_answers = []
    for text in asks.split():
        ask = ASK.fullmatch(text)
        assert ask is not None, text
        rate = COLD_RATE if ask["rate"] is None else float(ask["rate"])
        candidate = PlaceCandidate(
            InstanceId(ask["name"]), COLD_SLOTS_OF_OWNER, None, rate, bool(ask["cold"])
        )
        for _ in range(int(ask["count"] or 1)):
            permit = f"p{len(context.cold_answers)}"
            request = TakePlace(permit, (candidate,), 90.0, RequestDigest(permit))
            context.cold_answers.append(context.cold_owner.take(float(ask["at"]), request))


@when(
    r'a request that can wait 0.5 s asks it at time (?P<at>\d+) for "(?P<name>\w)",'
    r" with a cold rate of (?P<rate>\d+)"
)
def step_ranked_ask(context: Context, at: str, name: str, rate: str) -> None:
    terms = QueueTerms(0, AccountId("x"), 0.5, 1.0, "model")
    candidate = PlaceCandidate(InstanceId(name), COLD_SLOTS_OF_OWNER, None, float(rate), True)
    request = TakePlace("ranked", (candidate,), 90.0, RequestDigest("ranked"), queueing=terms)
    context.cold_answers.append(PlaceQueues(context.cold_owner).take(float(at), request))


@then(r"its refusals, at least (?P<count>\d+), (?P<state>state|do not state) that it does not lead")
def step_unled_refusals(context: Context, count: str, state: str) -> None:
    refusals = [item for item in context.cold_answers if not isinstance(item, PlaceTaken)]
    assert len(refusals) >= int(count), context.cold_answers
    assert all(isinstance(item, PlacesFull) for item in refusals), refusals
    assert {item.is_unled for item in refusals} == {state == "state"}, refusals


@then(r'its answers are "(?P<answers>[^"]*)"')
def step_cold_answers(context: Context, answers: str) -> None:
    found = [
        item.instance if isinstance(item, PlaceTaken) else f"{item.wait:.2f}"
        for item in context.cold_answers
    ]
    assert found == answers.split(), found
    assert all(isinstance(item, PlaceTaken) or item.wait > 0 for item in context.cold_answers)


@when(
    r'it is asked 30 times for places at "a" with 12 slots, cold, and "b" with 24 slots',
)
def step_shared_work(context: Context) -> None:
    candidates = (
        PlaceCandidate(InstanceId("a"), 12, None, 100.0, True),
        PlaceCandidate(InstanceId("b"), 24, None, 100.0, False),
    )
    context.taken = []
    for number in range(30):
        request = TakePlace(f"p{number}", candidates, 90.0, RequestDigest(f"p{number}"))
        answer = context.cold_owner.take(10.0 + number / 1000, request)
        assert isinstance(answer, PlaceTaken)
        context.taken.append(answer.instance)


@then(r'"a" got (?P<first>\d+) and "b" got (?P<second>\d+) of them')
def step_work(context: Context, first: str, second: str) -> None:
    found = (context.taken.count("a"), context.taken.count("b"))
    assert found == (int(first), int(second)), found


@then(
    r"it answers (?P<count>\d+) random requests without cold rates as a plain table does,"
    r" seeds 0 to (?P<last>\d+)"
)
def step_unchanged(context: Context, count: str, last: str) -> None:
    for seed in range(int(last) + 1):
        random = Random(seed)
        owner, plain = make_owner(*context.owner_state), PlaceTable()
        now = 10.0
        refusals = 0
        for number in range(int(count)):
            now += random.expovariate(50.0)
            candidates = tuple(
                PlaceCandidate(
                    InstanceId(f"t{item}"),
                    random.choice((0, 8)),
                    CandidateLimit(20.0, 0.1) if random.random() < 0.2 else None,
                )
                for item in random.sample(range(5), 3)
            )
            request = TakePlace(f"p{number}", candidates, 2.0, RequestDigest(f"d{number % 100}"))
            answer = owner.take(now, request)
            assert answer == plain.take(now, request), (seed, number)
            refusals += isinstance(answer, PlacesFull)
            released = f"p{random.randrange(number + 1)}"
            owner.release(released)
            plain.release(released)
        assert 0 < refusals < int(count)
