"""Steps that lose members of a simulated fleet of large and small groups."""

from random import Random

from behave import given, then, use_step_matcher, when
from behave.runner import Context
from support.staged_fleet import SimulatedModel, StagedFleet

MODELS = (SimulatedModel("large", 32, 16.0, 1.6), SimulatedModel("small", 8, 12.0, 1.1))
DOMAIN_COUNT = 5
ENGINES_PER_DOMAIN = 73
GROUPS_PER_DOMAIN = {"large": 1, "small": 5}
LOSS_GAP_SECONDS = 9.0
OBSERVED_SECONDS = 20.0

use_step_matcher("re")


@given(r"a fleet with few large and many small groups")
def step_fleet(context: Context) -> None:
    context.fleet = create_fleet(0)


def create_fleet(seed: int) -> StagedFleet:
    fleet = StagedFleet(MODELS, DOMAIN_COUNT, ENGINES_PER_DOMAIN, GROUPS_PER_DOMAIN, Random(seed))
    fleet.prepare()
    return fleet


@when(r'members of "(?P<losses>[^"]*)" are lost in one domain, 9 s apart')
def step_losses(context: Context, losses: str) -> None:
    *earlier, last = losses.split()
    for model in earlier:
        context.fleet.lose_member(model, "d0")
        context.fleet.outage(model, LOSS_GAP_SECONDS)
    context.fleet.lose_member(last, "d0")
    context.outage = context.fleet.outage("large", OBSERVED_SECONDS)


@then(r"all groups of the large model serve again within (?P<bound>\d+) s of the last loss")
def step_outage(context: Context, bound: str) -> None:
    assert context.outage <= float(bound), context.outage


@when(r"a member is lost each (?P<gap>\d+) s for (?P<seconds>\d+) s, seeds 0 to (?P<last>\d+)")
def step_random_losses(context: Context, gap: str, seconds: str, last: str) -> None:
    context.served = [
        create_fleet(seed).run(float(seconds), float(gap)) for seed in range(int(last) + 1)
    ]


@then(r"the served part of each model is within 0.1 of the mean of both, for every seed")
def step_balanced(context: Context) -> None:
    for served in context.served:
        mean = sum(served.values()) / len(served)
        assert all(abs(part - mean) <= 0.1 for part in served.values()), context.served


use_step_matcher("parse")
