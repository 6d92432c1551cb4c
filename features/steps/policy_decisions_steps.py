"""Steps that test the decisions on admission, fairness, limits and retries."""

from behave import given, then, use_step_matcher, when
from behave.runner import Context

from jaylatch_core.ids import AccountId, RequestId
from jaylatch_decisions.admission import (
    AdaptiveLimit,
    AdmissionQueue,
    AttemptSample,
    Capacity,
    QueuedRequest,
)
from jaylatch_decisions.fairness import AccountDemand, find_over_share
from jaylatch_decisions.retry import RetryBudget
from jaylatch_decisions.routing import has_room

NOW = 0.0
TOKENS = 10
TOKEN_TIME = 0.04
"""Seconds for each token."""

use_step_matcher("re")


def parse_pairs(text: str) -> dict[str, float]:
    pairs = (item.split(":") for item in text.split())
    return {name: float(value) for name, value in pairs}


@given(
    r"a queue of at most (?P<limit>\d+) requests before (?P<slots>\d+) slots"
    r" with (?P<running>\d+) s of running work"
)
def step_queue(context: Context, limit: str, slots: str, running: str) -> None:
    context.queue = AdmissionQueue()
    context.queue_limit = int(limit)
    context.capacity = Capacity(float(slots), float(running))


@when(r'the requests "(?P<requests>[^"]*)" arrive')
def step_arrive(context: Context, requests: str) -> None:
    context.drops = []
    for text in requests.split():
        name, account, weight, work, deadline = text.split(":")
        item = QueuedRequest(
            RequestId(name),
            AccountId(account),
            1.0,
            float(weight),
            float(deadline),
            float(work),
            float(deadline),
        )
        context.drops += context.queue.offer(NOW, item, context.capacity, context.queue_limit)


@then(r'"(?P<dropped>[^"]*)" are dropped and "(?P<sent>[^"]*)" are sent in this order')
def step_dropped(context: Context, dropped: str, sent: str) -> None:
    assert [f"{drop.id}:{drop.reason.value}" for drop in context.drops] == dropped.split()
    order = []
    while (head := context.queue.head()) is not None:
        order.append(head.id)
        context.queue.remove(head.id)
    assert order == sent.split(), order


@then(r"the dropped request may be retried after (?P<seconds>\d+) s")
def step_retry_after(context: Context, seconds: str) -> None:
    assert [drop.retry_after for drop in context.drops] == [float(seconds)], context.drops


@given(r'accounts that ask for "(?P<demands>[^"]*)" with the shares "(?P<shares>[^"]*)"')
def step_demands(context: Context, demands: str, shares: str) -> None:
    share_of = parse_pairs(shares)
    context.demands = [
        AccountDemand(AccountId(name), demand, share_of[name])
        for name, demand in parse_pairs(demands).items()
    ]


@when(r"a capacity of (?P<capacity>\d+) is divided")
def step_divide(context: Context, capacity: str) -> None:
    context.over = find_over_share(context.demands, float(capacity))


@then(r'the accounts above their share are "(?P<over>[^"]*)"')
def step_over(context: Context, over: str) -> None:
    assert context.over == set(over.split()), context.over


@given(r"an engine with (?P<slots>\d+) slots and a ceiling of (?P<ceiling>\d+)")
def step_engine(context: Context, slots: str, ceiling: str) -> None:
    context.slots = int(slots)
    context.ceiling = int(ceiling)


@when(r"(?P<attempts>\d+) attempts run as many at once as the limit allows")
def step_attempts(context: Context, attempts: str) -> None:
    """Record attempts at an engine that delays each one by its share of the excess load."""
    context.limit = AdaptiveLimit()
    service = TOKENS * TOKEN_TIME
    for _ in range(int(attempts)):
        in_flight = context.limit.value(context.ceiling)
        wait = max(in_flight / context.slots - 1, 0.0) * service
        sample = AttemptSample(
            100, TOKENS, wait + TOKEN_TIME, wait + service, wait + service, in_flight
        )
        context.limit.record(sample, context.ceiling)


@then(r"the limit is between (?P<low>\d+) and (?P<high>\d+)")
def step_limit(context: Context, low: str, high: str) -> None:
    limit = context.limit.value(context.ceiling)
    assert int(low) <= limit <= int(high), limit


@given(r"a retry budget with a burst of (?P<burst>\d+)")
def step_budget(context: Context, burst: str) -> None:
    context.budget = RetryBudget(float(burst))


@when(r"(?P<requests>\d+) requests earn (?P<ratio>[\d.]+) each and all are retried")
def step_retry_all(context: Context, requests: str, ratio: str) -> None:
    context.retries = 0
    for _ in range(int(requests)):
        context.budget.earn(float(ratio))
        context.retries += context.budget.spend()


@then(r"(?P<retries>\d+) retries are made")
def step_retries(context: Context, retries: str) -> None:
    assert context.retries == int(retries), context.retries


@given(r"a target with limit (?P<limit>\d+) that (?P<entries>\d+) entries compete for")
def step_target(context: Context, limit: str, entries: str) -> None:
    context.target = int(limit), int(entries)


@when(r"(?P<own>\d+) own attempts of (?P<total>\d+) in flight are known")
def step_in_flight(context: Context, own: str, total: str) -> None:
    context.has_room = has_room(int(own), int(total), *context.target)


@then(r"there is room for another attempt: (?P<room>yes|no)")
def step_room(context: Context, room: str) -> None:
    assert context.has_room is (room == "yes")
