"""Steps on targets that ask a gateway for rest."""

from asyncio import StreamReader, StreamWriter, sleep
from time import monotonic

import msgspec
from behave import given, then, use_step_matcher, when
from behave.runner import Context
from features.steps.gateway_path_steps import KIND_PATTERN, ask, expected_events, grant_targets
from features.support.gateway import Answer, Received

from jaylatch_core.ids import Epoch
from jaylatch_core.messages.places import PlaceTaken, TakePlace

REST_SECONDS = 1.5
REFUSAL_SECONDS = 0.3
FAILURES = (502, 503)
ABSENCE_SECONDS = 0.1

use_step_matcher("re")


@given(r"(?P<owner>an owner|no owner) that grants places")
def step_owner(context: Context, owner: str) -> None:
    async def ask_owner(address: str, body: TakePlace, timeout: float) -> object:
        return PlaceTaken(body.candidates[0].instance, 0.1) if owner == "an owner" else None

    context.harness.client.ask = ask_owner


@when(rf"4 requests of kind (?P<kind>{KIND_PATTERN}) are sent, (?P<what>.+), and 4 more are sent")
def step_requests(context: Context, kind: str, what: str) -> None:
    context.kind = kind
    context.has_failing_target = False
    context.sent_at = {}
    context.answers = context.runner.run(send_around(context, kind, what))


async def send_around(context: Context, kind: str, what: str) -> list[Answer]:
    answers = [await ask_timed(context, f"r{number}") for number in range(4)]
    others = [item for item in context.targets if item is not context.first_used]
    match what:
        case "the groups get a new epoch":
            view = context.harness.board.grant.view
            groups = tuple(msgspec.structs.replace(item, epoch=Epoch(2)) for item in view.groups)
            renewed = msgspec.structs.replace(view, version=view.version + 1, groups=groups)
            context.harness.board.grant.view = renewed
            context.harness.role.on_grant()
        case "that target is not in the view for 0.1 s":
            grant_targets(context, others)
            await sleep(ABSENCE_SECONDS)
            grant_targets(context, context.targets)
        case "the other target fails":
            others[0].script = close_connection
            context.has_failing_target = True
    return answers + [await ask_timed(context, f"s{number}") for number in range(4)]


async def ask_timed(context: Context, request: str) -> Answer:
    context.sent_at[request] = monotonic()
    return await ask(context, context.kind, request)


async def close_connection(request: Received, reader: StreamReader, writer: StreamWriter) -> bool:
    return False


@then(r"that target received 1 request in its rest, and each caller got its answer")
def step_kept(context: Context) -> None:
    rest_ends_at = context.sent_at["r0"] + REST_SECONDS
    requests = [request.headers["X-Id"] for request in context.first_used.received]
    in_rest = [request for request in requests if context.sent_at[request] < rest_ends_at]
    assert in_rest == ["r0"], in_rest
    assert_answers(context)


def assert_answers(context: Context) -> None:
    """Check that all callers were answered but those after the other target had failed."""
    expected = 4 if context.has_failing_target else 8
    for number, answer in enumerate(context.answers[:expected]):
        assert answer.status == 200 and answer.is_complete, (number, answer)
        if context.kind == "stream":
            assert answer.body == expected_events(), answer
    for answer in context.answers[expected:]:
        assert answer.status in FAILURES, answer


@then(r"that target received 1 request in all, and each caller got its answer")
def step_left_alone(context: Context) -> None:
    assert len(context.first_used.received) == 1, context.first_used.received
    assert_answers(context)


@then(r"1.5 s later that target receives requests again")
def step_used_again(context: Context) -> None:
    async def send() -> None:
        await sleep(REST_SECONDS)
        for number in range(12):
            await ask(context, context.kind, f"t{number}")

    context.runner.run(send())
    assert len(context.first_used.received) > 1, context.first_used.received


@when(rf"3 requests of kind (?P<kind>{KIND_PATTERN}) are sent in a row")
def step_three(context: Context, kind: str) -> None:
    async def send() -> list[tuple[float, float, Answer]]:
        found = []
        for number in range(3):
            began_at = monotonic()
            answer = await ask(context, kind, f"r{number}")
            found.append((began_at, monotonic(), answer))
        return found

    context.refusals = context.runner.run(send())


@then(r"each was refused within 0.3 s, with a retry delay that ends after the rest")
def step_refused(context: Context) -> None:
    rest_ends_at = context.refusals[0][0] + REST_SECONDS
    for began_at, ended_at, answer in context.refusals:
        assert answer.status == 503, answer
        assert ended_at - began_at < REFUSAL_SECONDS, (began_at, ended_at)
        assert ended_at + float(answer.headers["X-Retry-After"]) > rest_ends_at, answer


@then(r"the targets received (?P<count>\d+) requests")
def step_received(context: Context, count: str) -> None:
    found = sum(len(item.received) for item in context.targets)
    assert found == int(count), found
