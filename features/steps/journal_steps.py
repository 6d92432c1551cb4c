"""Steps that test the state of the order journal."""

from behave import given, then, when
from behave.runner import Context

from jaylatch_core.enums import ClaimVerdict
from jaylatch_core.ids import AccountId, AttemptId, IdempotencyKey, Incarnation, InstanceId
from jaylatch_core.messages.journal import (
    AbandonOrder,
    ClaimOrder,
    CompleteOrder,
    DispatchOrder,
    JournalCommand,
    OrderName,
    ReleaseOrder,
    StoredAnswer,
)
from jaylatch_decisions.journal import JournalState

INSTANCE = InstanceId("service-1")
INCARNATION = Incarnation("run-1")
ANSWER = StoredAnswer(200, "text/plain", b"done")
DIGESTS = {"the same body": "digest-1", "another body": "digest-2"}


def order_name(key: str, account: str = "skarvik") -> OrderName:
    return OrderName(AccountId(account), IdempotencyKey(key))


def make_command(kind: str, order: OrderName, attempt: str) -> JournalCommand:
    name = AttemptId(attempt)
    match kind:
        case "claim":
            return ClaimOrder(order, DIGESTS["the same body"], name, INSTANCE, INCARNATION, 0.0)
        case "dispatch":
            return DispatchOrder(order, name, INSTANCE, INCARNATION, 0.0)
        case "release":
            return ReleaseOrder(order, name, INCARNATION)
        case "complete":
            return CompleteOrder(order, name, ANSWER, 1.0)
        case _:
            return AbandonOrder(order, name, INCARNATION)


HISTORIES = {
    "none": [],
    "claimed": ["claim"],
    "released": ["claim", "release"],
    "completed": ["claim", "complete"],
    "abandoned": ["claim", "abandon"],
}


@given('a journal in which attempt "{attempt}" of order "{key}" has been {history}')
def step_journal(context: Context, attempt: str, key: str, history: str) -> None:
    context.journal = JournalState()
    for kind in HISTORIES[history]:
        context.journal.apply(make_command(kind, order_name(key), attempt))


@given('attempt "{attempt}" has claimed order "{key}"')
def step_has_claimed(context: Context, attempt: str, key: str) -> None:
    verdict = context.journal.apply(make_command("claim", order_name(key), attempt))
    assert verdict.verdict is ClaimVerdict.GRANTED


@when('attempt "{attempt}" claims order "{key}" with {body}')
def step_claim(context: Context, attempt: str, key: str, body: str) -> None:
    claim = ClaimOrder(
        order_name(key), DIGESTS[body], AttemptId(attempt), INSTANCE, INCARNATION, 0.0
    )
    context.verdict = context.journal.apply(claim)


@when('attempt "{attempt}" of another account claims order "{key}"')
def step_claim_of_other_account(context: Context, attempt: str, key: str) -> None:
    context.verdict = context.journal.apply(
        make_command("claim", order_name(key, "nammi"), attempt)
    )


@when('attempt "{attempt}" sends a late {kind}')
def step_late(context: Context, attempt: str, kind: str) -> None:
    context.journal.apply(make_command(kind, order_name("A"), attempt))


@then("the verdict is {verdict}")
def step_verdict(context: Context, verdict: str) -> None:
    assert context.verdict.verdict.value == verdict, context.verdict


@then('attempt "{attempt}" still holds the claim on order "{key}"')
def step_still_holds(context: Context, attempt: str, key: str) -> None:
    verdict = context.journal.apply(make_command("dispatch", order_name(key), attempt))
    assert verdict.verdict is ClaimVerdict.GRANTED, verdict
    assert verdict.attempt == attempt
