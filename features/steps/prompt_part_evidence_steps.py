"""Steps on the evidence against parts of prompts."""

from behave import given, then, use_step_matcher
from behave.runner import Context

from jaylatch_core.ids import InstanceId, PromptPartId, RequestDigest
from jaylatch_decisions.quarantine import AnsweredParts, PartEvidence, SharedParts

QUARANTINE_SECONDS = 600.0
INTERVAL_SECONDS = 0.1
WARM_UP_SECONDS = 5.0

use_step_matcher("re")


def parse_parts(text: str) -> SharedParts:
    return tuple(PromptPartId(part) for part in text.replace(".", " ").split())


@given(r'the deaths and answers "(?P<history>[^"]*)"')
def step_history(context: Context, history: str) -> None:
    context.evidence = PartEvidence(0.0)
    now = 0.0
    for item in history.split(";"):
        now += INTERVAL_SECONDS
        match item.split():
            case ["answered", *parts]:
                context.evidence.clear(parse_parts(" ".join(parts)))
            case [seconds, "s"]:
                now += float(seconds)
            case ["new", "leader"]:
                context.evidence = PartEvidence(now, context.evidence.quarantined)
            case ["late" | "alive", target, *requests]:
                record_interruptions(context.evidence, now, target, requests)
            case [target, *requests]:
                record_interruptions(context.evidence, now, target, requests)
                context.evidence.record_death(now, InstanceId(target))
        context.evidence.expire(now, QUARANTINE_SECONDS)


def record_interruptions(
    evidence: PartEvidence, now: float, target: str, requests: list[str]
) -> None:
    for request in requests:
        digest, parts = request.split("=")
        evidence.record_interruption(
            now, InstanceId(target), RequestDigest(digest), parse_parts(parts)
        )


@then(r'the quarantined parts are "(?P<parts>[^"]*)"')
def step_quarantined(context: Context, parts: str) -> None:
    assert context.evidence.quarantined == parse_parts(parts), context.evidence.quarantined
    assert set(context.evidence.quarantined) <= set(context.evidence.suspected)


@given(
    r"a gateway that started (?P<age>\d+) s ago"
    r' and has answers to prompts with "(?P<parts>[^"]*)"'
)
def step_answers(context: Context, age: str, parts: str) -> None:
    context.answered = AnsweredParts(WARM_UP_SECONDS - float(age))
    context.answered.record(0.0, parse_parts(parts))


@then(
    r'(?P<later>\d+) s later it reports "(?P<unproven>[^"]*)"'
    r' of an interrupted request with "(?P<parts>[^"]*)"'
)
def step_unproven(context: Context, later: str, unproven: str, parts: str) -> None:
    context.now = float(later)
    found = context.answered.unproven(context.now, parse_parts(parts))
    assert found == parse_parts(unproven), found


@then(r'it reports an answer to "(?P<proven>[^"]*)" of the suspected parts "(?P<parts>[^"]*)"')
def step_proven(context: Context, proven: str, parts: str) -> None:
    found = context.answered.proven(context.now, parse_parts(parts))
    assert found == parse_parts(proven), found


use_step_matcher("parse")
