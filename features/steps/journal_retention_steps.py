"""Steps that test the journal's retention and snapshots."""

from behave import given, then, when
from behave.runner import Context

from jaylatch_core.ids import AccountId, AttemptId, IdempotencyKey, Incarnation, InstanceId
from jaylatch_core.messages.journal import (
    AbandonOrder,
    ClaimOrder,
    CompleteOrder,
    DispatchOrder,
    OrderName,
    OrderVerdict,
    ReleaseOrder,
    StoredAnswer,
)
from jaylatch_decisions.journal import JournalState, RetentionTimes

INSTANCE = InstanceId("service-1")
FIRST = AttemptId("first")


def order_name(key: str) -> OrderName:
    return OrderName(AccountId("skarvik"), IdempotencyKey(key))


def claim(journal: JournalState, key: str, attempt: str, at: float) -> OrderVerdict:
    incarnation = Incarnation("run-1")
    command = ClaimOrder(
        order_name(key), "digest", AttemptId(attempt), INSTANCE, incarnation, 0.0, "", at
    )
    return journal.apply(command)


@given("a journal that keeps answers for {answer:d} s and keys for {key:d} s")
def step_times(context: Context, answer: int, key: int) -> None:
    context.journal = JournalState(RetentionTimes(answer, key))


@given("an order that completed at {at:d} s")
def step_completed(context: Context, at: int) -> None:
    context.at = float(at)
    claim(context.journal, "A", FIRST, context.at)
    answer = StoredAnswer(200, "text/plain", b"done")
    context.journal.apply(CompleteOrder(order_name("A"), FIRST, answer, context.at))


@when("the journal's time has reached {at:d} s")
def step_time(context: Context, at: int) -> None:
    while context.at < at:
        context.at += 1.0
        claim(context.journal, f"other-{context.at}", "other", context.at)


@when("a claim of another order carries the time {at:d} s")
def step_wrong_clock(context: Context, at: int) -> None:
    claim(context.journal, "B", "other", float(at))


@given('a journal in which an order was dispatched from incarnation "{old}" to incarnation "{new}"')
def step_dispatched(context: Context, old: str, new: str) -> None:
    context.journal = JournalState()
    context.at = 100.0
    claim(context.journal, "A", FIRST, context.at)
    context.journal.apply(DispatchOrder(order_name("A"), FIRST, INSTANCE, Incarnation(new), 1.0))


@when('a late {command} about incarnation "{incarnation}" arrives')
def step_late_command(context: Context, command: str, incarnation: str) -> None:
    kind = {"release": ReleaseOrder, "abandon": AbandonOrder}[command]
    context.journal.apply(kind(order_name("A"), FIRST, Incarnation(incarnation)))


@when("the journal is written as a snapshot and loaded")
def step_snapshot(context: Context) -> None:
    context.journal = JournalState.load(context.journal.dump())


@then("a claim of the same order gets {verdict}")
def step_claim_again(context: Context, verdict: str) -> None:
    found = claim(context.journal, "A", "again", context.at)
    assert found.verdict.value == verdict, found
