"""Steps on entries and agents that are stopped by SIGTERM while requests run."""

import signal
from asyncio import Task, create_task, gather, sleep
from collections import Counter
from time import monotonic

import msgspec
from behave import given, then, use_step_matcher, when
from behave.runner import Context
from features.support.gateway import Answer, RawCaller

from jaylatch_standins.caller import Caller, CallerOutcome
from jaylatch_standins.cluster import OPERATOR_TOKEN, Cluster, ClusterPlan
from jaylatch_standins.deployment import (
    ACCOUNT_KEYS,
    MODEL,
    SERVICE,
    configuration_text,
    hash_key,
    wait_for_groups,
    wait_until,
)
from jaylatch_standins.ledger import read_ledger

RUNNING_COUNT = 4
"""Requests that run when the signal comes."""
LATE_COUNT = 4
"""Kept connections on which requests follow."""
LATE_INTERVAL = 0.1
TOKENS_PER_SECOND = 100
START_TIMEOUT = 60.0
PAUSE = 0.5
"""Seconds for which the first requests run before the signal."""

use_step_matcher("re")


@given(r"a deployment whose orders take (?P<work>\d+) s, with a grace period of (?P<grace>\d+) s")
def step_deployment(context: Context, work: str, grace: str) -> None:
    context.work, context.grace = float(work), float(grace)
    plan = ClusterPlan(
        controls=1,
        entries=2,
        domains=1,
        engines=2,
        services={SERVICE: 2},
        service_options=("--order-time", work),
    )
    text, token = configuration_text(), hash_key(OPERATOR_TOKEN)
    context.cluster = Cluster(context.folder, plan, text, token)
    for node in context.cluster.nodes.values():
        with node.edited_settings() as settings:
            for role in {"entry", "agent"} & settings.keys():
                settings[role]["grace"] = context.grace
    context.cluster.start()
    context.runner.run(wait_until_served(context.cluster))


async def wait_until_served(cluster: Cluster) -> None:
    await wait_for_groups(cluster, 1)

    async def is_served() -> bool:
        answers = [await make_caller(cluster, n).read(SERVICE, "stock/x", 2.0) for n in (0, 1)]
        return all(answer.is_complete for answer in answers)

    await wait_until(is_served, START_TIMEOUT, "the service answers at both entries")


def make_caller(cluster: Cluster, entry: int) -> Caller:
    return Caller(cluster.entries[entry], ACCOUNT_KEYS["skarvik"])


@when(
    r"(?P<process>an entry|a service's agent) gets SIGTERM while"
    r" (?P<kind>keyed orders|other orders|streams) run and others follow on kept connections"
)
def step_stop(context: Context, process: str, kind: str) -> None:
    context.runner.run(stop_while_requests_run(context, process, kind))


async def stop_while_requests_run(context: Context, process: str, kind: str) -> None:
    cluster = context.cluster
    running = [create_task(send(context, kind, number)) for number in range(RUNNING_COUNT)]
    await sleep(PAUSE)
    name = "entry-1" if process == "an entry" else find_busy_agent(cluster)
    stopped = cluster.processes.pop(name)
    stopped.send_signal(signal.SIGTERM)
    signalled_at = monotonic()
    context.late = []
    context.is_over = False
    late = [create_task(follow(context, number)) for number in range(LATE_COUNT)]
    while stopped.poll() is None:
        assert monotonic() < signalled_at + context.grace + 1.0, "the process has not ended"
        await sleep(0.02)
    context.took, context.exit_code = monotonic() - signalled_at, stopped.returncode
    context.before = [await task for task in running]
    context.is_over = True
    await gather(*late)


def find_busy_agent(cluster: Cluster) -> str:
    starts = [line.target for line in read_ledger(cluster.ledger) if line.what == "start"]
    return next(name for name in reversed(starts) if name.startswith("service"))


def send(context: Context, kind: str, number: int) -> Task[CallerOutcome]:
    caller = make_caller(context.cluster, 0)
    if kind == "streams":
        tokens = int(context.work * TOKENS_PER_SECOND)
        return caller.complete(MODEL, f"prompt {number}", tokens, is_streamed=True)
    key = f"key-{number}" if kind == "keyed orders" else None
    return caller.order(SERVICE, "orders", f"order-{number}", key)


async def follow(context: Context, number: int) -> None:
    """Send one order after another on a kept connection; note what was answered."""
    caller = await RawCaller.connect(context.cluster.entries[0])
    turn = 0
    while not context.is_over:
        turn += 1
        order = f"late-{number}-{turn}"
        head = f"POST /services/{SERVICE}/orders HTTP/1.1\r\nHost: x\r\n"
        head += f"Authorization: Bearer {ACCOUNT_KEYS['skarvik']}\r\nX-Request-Timeout: 10\r\n"
        head += f"Content-Length: {len(order)}\r\n\r\n"
        answer: Answer = await caller.ask((head + order).encode(), 12.0)
        context.late.append((order, answer))
        if answer.status == 0 or answer.headers.get("Connection") == "close":
            return
        await sleep(LATE_INTERVAL)


@then(r"each of those that ran before was (?P<outcome>answered|refused as unsure)")
def step_before(context: Context, outcome: str) -> None:
    if outcome == "answered":
        assert all(item.is_complete for item in context.before), context.before
    else:
        found = {(item.status, item.outcome) for item in context.before}
        assert found == {(503, "unknown")}, context.before


@then(r"each of those that followed was answered, or refused and never run")
def step_late(context: Context) -> None:
    ran = {line.order for line in read_ledger(context.cluster.ledger)}
    for order, answer in context.late:
        if answer.status == 200:
            assert answer.is_complete and order.encode() in answer.body, (order, answer)
            continue
        outcome = msgspec.json.decode(answer.body)["outcome"] if answer.body else ""
        # One that was never read may be refused by the end of its connection.
        is_unread = answer.status == 0 and order not in ran
        is_refused = outcome == "not_run" and order not in ran
        assert is_unread or is_refused or outcome == "unknown", (order, answer, order in ran)
    assert context.late, "no request followed"


@then(r"no order ran twice, and the process ended by itself within (?P<grace>\d+) s")
def step_ended(context: Context, grace: str) -> None:
    lines = read_ledger(context.cluster.ledger)
    starts = Counter(line.order for line in lines if line.what == "start" and line.order)
    assert max(starts.values(), default=0) <= 1, starts
    assert context.exit_code == 0 and context.took < float(grace), context.took
