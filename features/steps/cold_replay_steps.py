"""Steps on the replay of the decisions on cold targets."""

from behave import given, then, use_step_matcher, when
from behave.runner import Context
from support.cold_load import BOUND, ColdHistory

use_step_matcher("re")


@given(
    r"(?P<gateways>\d+) gateways before targets whose cold bound is (?P<bound>\d+) requests in any"
    r" second"
)
def step_cold_fleet(context: Context, gateways: str, bound: str) -> None:
    assert float(bound) == BOUND
    context.gateways = int(gateways)


@when(
    r"a failure domain comes back cold under a burst while (?P<event>.+?),"
    r" seeds (?P<first>\d+) to (?P<last>\d+)(?:, with (?P<mutant>.+))?"
)
def step_cold_histories(
    context: Context, event: str, first: str, last: str, mutant: str | None
) -> None:
    context.histories = [
        ColdHistory(context.gateways, event, seed, mutant or "").run()
        for seed in range(int(first), int(last) + 1)
    ]


@then(r"no target got more than (?P<most>\d+) requests in a second in which it was cold")
def step_cold_bound_held(context: Context, most: str) -> None:
    for history in context.histories:
        assert history.most_in_second() <= int(most), (history.seed, history.most_in_second())


@then(r"a target got more than (?P<most>\d+) requests in a second in which it was cold")
def step_cold_bound_broken(context: Context, most: str) -> None:
    assert any(history.most_in_second() > int(most) for history in context.histories)


@then(r"a returned target got at least (?P<part>[\d.]+) of its bound while it was cold")
def step_cold_bound_used(context: Context, part: str) -> None:
    for history in context.histories:
        assert history.used() >= float(part), (history.seed, history.used())
