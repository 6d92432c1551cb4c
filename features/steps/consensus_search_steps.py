"""Steps that search through the histories of the voters of a log."""

from behave import given, then, when
from behave.runner import Context
from support.consensus_search import FaultKind, SearchedHistory, search


@given("a log of {voters:d} voters, and {waiting:d} instances that wait for a vote")
def step_log(context: Context, voters: int, waiting: int) -> None:
    context.log = (voters, waiting)
    context.search_rule = ""


@given('each instance of it "{rule}"')
def step_search_rule(context: Context, rule: str) -> None:
    context.search_rule = rule


@when("every history of {duration:g} s with up to {budget:d} of the faults {kinds} is tried")
def step_search(context: Context, duration: float, budget: int, kinds: str) -> None:
    context.search = search(
        SearchedHistory(*context.log, context.search_rule),
        frozenset(FaultKind(kind) for kind in kinds.split(", ")),
        budget,
        duration,
    )


@then("none of at least {histories:d} histories broke a rule")
def step_none_broke(context: Context, histories: int) -> None:
    found = context.search
    print(f"{found.histories} histories, {found.states} states")
    assert not found.broken and found.histories >= histories, found


@then("one of them broke a rule")
def step_one_broke(context: Context) -> None:
    assert context.search.broken, context.search
