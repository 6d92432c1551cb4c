"""Steps on the evidence against parts of prompts."""

from behave import given, then, use_step_matcher, when
from behave.runner import Context
from features.support.part_load import PartLoad

from jaylatch_core.ids import InstanceId, PromptPartId, RequestDigest
from jaylatch_decisions.quarantine import AnsweredParts, PartEvidence, SharedParts

QUARANTINE_SECONDS = 600.0
INTERVAL_SECONDS = 0.4
PROOF_SECONDS = 1.0
"""Longer than it takes a gateway to report an answer."""
HISTORY_SECONDS = 60.0
DEATHS_TO_JUDGE = 5
MOST_DEATHS = 8
"""Five, and the three requests that the users allow after them."""
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
            case ["at", "once"]:
                return
            case ["new", "leader"]:
                context.evidence = PartEvidence(now, context.evidence.quarantined)
            case ["late" | "alive", target, *requests]:
                record_interruptions(context.evidence, now, target, requests)
            case [target, *requests]:
                record_interruptions(context.evidence, now, target, requests)
                context.evidence.record_death(now, InstanceId(target))
        context.evidence.expire(now, QUARANTINE_SECONDS)
    context.evidence.expire(now + PROOF_SECONDS, QUARANTINE_SECONDS)


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


@when(
    r"(?P<histories>\d+) histories of 60 s run from seed (?P<seed>\d+)"
    r" with (?P<rate>[\d.]+) fatal requests a second"
)
def step_histories(context: Context, histories: str, seed: str, rate: str) -> None:
    first = int(seed)
    context.outcomes = [
        PartLoad(number, float(rate), HISTORY_SECONDS).run()
        for number in range(first, first + int(histories))
    ]


@then(r"the fatal part ended at most 8 targets in each," r" and was quarantined if there were 5")
def step_fatal_stopped(context: Context) -> None:
    for outcome in context.outcomes:
        assert outcome.fatal_deaths <= MOST_DEATHS, outcome
        assert outcome.quarantined_at or outcome.fatal_deaths < DEATHS_TO_JUDGE, outcome


@then(r"a sound part was quarantined for over a second in at most (?P<most>\d+) of them")
def step_few_wrong(context: Context, most: str) -> None:
    wrong = [item.wrong for item in context.outcomes if max(item.wrong.values(), default=0.0) > 1]
    assert len(wrong) <= int(most), wrong


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
